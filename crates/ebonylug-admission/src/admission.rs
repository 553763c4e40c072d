use std::time::Instant;

use ebonylug_core::{
    AttemptId, CrashCause, End, EngineReport, Fence, Gate, Incarnation, LoadReport, Offer, Reason,
    Refusal, Revision, RevokeOutcome, Tokens,
};
use smallvec::SmallVec;

use crate::baseline::Baseline;
use crate::cold_detector::ColdDetector;
use crate::headroom::Headroom;
use crate::history::AttemptHistory;
use crate::limit::Limit;
use crate::preemption::select_victims;
use crate::refusals::Refusals;
use crate::reservation::Reservations;
use crate::settings::TargetKind;
use crate::stream::{Stream, Streams, causes};
use crate::{Action, AttemptIds, CauseStatus, CrashId, CrashLog, Decision, Settings};

/// The maximum number of attempts divided by this is the number of records that batch work leaves
/// to interactive work.
const INTERACTIVE_RECORDS_DIVISOR: usize = 8;

/// Decides which of the attempts offered by entries run at one target.
///
/// See the [crate documentation](crate) for an example.
#[derive(Debug)]
pub struct Admission {
    settings: Settings,
    gate: Gate,
    revision: Revision,
    fence: Option<Fence>,
    up: bool,
    /// Number of starts of the target so far. Identifies its crashes, see [`CrashId`].
    epoch: u64,
    /// When the last stream ended or the last cold start began.
    empty_since: Instant,
    /// Sequence number of the load report. Increases with each change.
    sequence: u64,
    streams: Streams,
    history: AttemptHistory,
    refusals: Refusals,
    reservations: Reservations,
    headroom: Headroom,
    limit: Limit,
    baseline: Baseline,
    cold_detector: ColdDetector,
    crashes: CrashLog,
}

impl Admission {
    /// Creates the admission of a target that is down. It admits nothing before
    /// [`target_up`](Self::target_up), since the sidecar must first cancel the attempts of an
    /// earlier incarnation at the target.
    #[must_use]
    pub fn new(settings: Settings, now: Instant) -> Self {
        Admission {
            gate: Gate::Open,
            revision: Revision::default(),
            fence: None,
            up: false,
            epoch: 0,
            empty_since: now,
            sequence: 0,
            streams: Streams::default(),
            history: AttemptHistory::new(settings.retention, settings.max_tombstones),
            refusals: Refusals::new(settings.refusal_capacity, settings.retention, now),
            reservations: Reservations::new(settings.max_reservations),
            headroom: Headroom::new(settings.headroom, now),
            limit: Limit::new(&settings, now),
            baseline: Baseline::default(),
            cold_detector: ColdDetector::new(settings.slow_factor, settings.slow_samples),
            crashes: CrashLog::new(),
            settings,
        }
    }

    /// Decides whether an attempt runs now. A refused attempt is never admitted later.
    pub fn offer(&mut self, now: Instant, offer: Offer) -> Decision {
        self.advance(now);
        if self.was_admitted(offer.attempt) {
            return Decision::Join;
        }
        match self
            .check_rules(&offer)
            .and_then(|status| self.try_admit(now, &offer, status))
        {
            Ok(preempt) => Decision::Admit { preempt },
            Err(reason) => self.refuse(now, &offer, reason),
        }
    }

    /// Records the first token of an attempt, which ends its prefill.
    pub fn first_token(&mut self, now: Instant, attempt: AttemptId) {
        self.advance(now);
        let sample = self.streams.record_first_token(now, attempt);
        let Some(sample) = sample else {
            return;
        };
        self.limit.record_work(sample.prompt);
        if sample.admitted < self.limit.cold_since() {
            return;
        }
        let low = self.limit.is_low(&self.settings, sample.max_load);
        let comparable = low || self.baseline.has_similar(sample.prompt);
        if self.limit.is_cold() && !comparable {
            self.limit
                .record_incomparable(&self.settings, now, sample.max_load);
            return;
        }
        // A wrong estimate of the cached tokens must not be mistaken for a cold target.
        let uncached = self.baseline.expected(sample.prompt + sample.cached);
        let uncached_ratio = uncached.map_or(1.0, |expected| sample.time.as_secs_f64() / expected);
        let ratio = self
            .baseline
            .record_prefill(sample.time, sample.prompt, low);
        if low && !self.limit.is_cold() && self.cold_detector.observe_latency(uncached_ratio) {
            self.start_cold(now);
            return;
        }
        self.limit
            .record_first_token(&self.settings, now, &sample, ratio.min(uncached_ratio));
    }

    /// Records output tokens that were delivered since the last call for this attempt.
    pub fn progress(&mut self, now: Instant, attempt: AttemptId, tokens: Tokens) {
        self.advance(now);
        if !self.streams.contains(attempt) {
            return;
        }
        self.limit.record_work(tokens);
        let grow = self.settings.kind == TargetKind::Model;
        let Some(sample) = self.streams.record_progress(now, attempt, tokens, grow) else {
            return;
        };
        if sample.since < self.limit.cold_since() {
            return;
        }
        let low = self.limit.is_low(&self.settings, self.streams.load());
        let ratio = self.baseline.record_decode(sample.gap, low);
        self.limit
            .record_decode(&self.settings, sample.since, ratio);
    }

    /// Records the end of an attempt. Has no effect if the attempt is not running.
    pub fn finish(&mut self, now: Instant, attempt: AttemptId, end: End) {
        if end == End::Answered && matches!(self.settings.kind, TargetKind::Service { .. }) {
            self.first_token(now, attempt);
        }
        self.advance(now);
        let Some(stream) = self.streams.remove(now, attempt) else {
            return;
        };
        self.history.record_end(now, attempt, end);
        if self.streams.len() == 0 {
            self.empty_since = now;
        }
        match end {
            End::Answered => {
                for &cause in &stream.causes {
                    self.crashes.clear(cause);
                }
            }
            End::Failed if stream.admitted >= self.limit.cold_since() => {
                self.limit.record_failure(&self.settings);
            }
            End::Crashed => self.record_crash(&stream),
            End::Failed | End::Cancelled => {}
        }
    }

    /// Revokes an attempt and returns whether it was run. After [`RevokeOutcome::NotRun`] it never
    /// runs.
    ///
    /// `incarnation` is the one that the attempt was addressed to.
    pub fn revoke(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        incarnation: Incarnation,
    ) -> RevokeOutcome {
        self.advance(now);
        if incarnation != self.settings.incarnation {
            return RevokeOutcome::Unknown;
        }
        if self.streams.contains(attempt) {
            return RevokeOutcome::Running;
        }
        if self.history.ended(attempt).is_some() {
            return RevokeOutcome::Finished;
        }
        if self.history.add_tombstone(now, attempt) {
            return RevokeOutcome::NotRun;
        }
        RevokeOutcome::Unknown
    }

    /// Records an engine report. A report that indicates a restart begins a cold start.
    pub fn engine_report(&mut self, now: Instant, report: EngineReport) {
        self.advance(now);
        self.limit.set_waiting(report.waiting);
        if self.cold_detector.observe_report(report) && self.up {
            self.epoch += 1;
            self.start_cold(now);
        }
    }

    /// Records that the target went down. All running attempts end as [`End::Crashed`].
    pub fn target_down(&mut self, now: Instant) {
        self.advance(now);
        self.up = false;
        let running: Vec<AttemptId> = self.streams.iter().map(|(attempt, _)| attempt).collect();
        for attempt in running {
            self.finish(now, attempt, End::Crashed);
        }
        self.reservations.clear();
        self.start_cold(now);
    }

    /// Records that the target came up, and begins a cold start.
    pub fn target_up(&mut self, now: Instant) {
        self.advance(now);
        self.up = true;
        self.epoch += 1;
        self.cold_detector.reset();
        self.start_cold(now);
    }

    /// Sets the gate. Unless it is [`Gate::Open`], all new attempts are refused.
    pub fn set_gate(&mut self, gate: Gate) {
        self.sequence += 1;
        self.gate = gate;
    }

    /// Sets the current configuration revision. A lower revision has no effect.
    pub fn set_revision(&mut self, revision: Revision) {
        self.sequence += 1;
        self.revision = self.revision.max(revision);
    }

    /// Reports whether an order with this fencing token may be executed, and stores the highest
    /// token. Later orders with a lower token are rejected.
    pub fn check_fence(&mut self, fence: Fence) -> bool {
        if self.settings.enforce_fences && self.fence.is_some_and(|highest| fence < highest) {
            return false;
        }
        self.fence = self.fence.max(Some(fence));
        true
    }

    /// Merges the crash log of another process. Returns whether it contained anything new.
    pub fn merge_crashes(&mut self, other: &CrashLog) -> bool {
        self.sequence += 1;
        self.crashes.merge(other)
    }

    /// Releases a cause from quarantine. Only for orders of an operator.
    pub fn release(&mut self, cause: impl Into<CrashCause>) {
        self.sequence += 1;
        self.crashes.release(cause);
    }

    /// Returns the crash log, including merged crashes of other processes.
    #[must_use]
    pub fn crashes(&self) -> &CrashLog {
        &self.crashes
    }

    /// Returns the load report from which entries choose targets.
    #[must_use]
    pub fn report(&self, now: Instant) -> LoadReport {
        LoadReport {
            incarnation: self.settings.incarnation,
            sequence: self.sequence,
            revision: self.revision,
            gate: self.gate,
            up: self.up,
            cold: self.limit.is_cold(),
            limit: self.limit.tokens(),
            used: self.streams.load().tokens,
            batch: self.streams.preemptible(),
            rate: self.limit.rate(),
            reserved: self
                .withheld(now, self.reservations.total(now))
                .min(self.limit.tokens()),
        }
    }

    /// Returns the number of running attempts, ended attempts and tombstones in memory.
    #[must_use]
    pub fn record_count(&self) -> usize {
        self.streams.len() + self.history.len() + self.history.tombstone_count()
    }

    /// Expires records and returns the actions that are due at `now`.
    ///
    /// Must be called at least once per [window](Settings::window()), and after each refusal of
    /// interactive work, which may require that batch streams are preempted.
    pub fn tick(&mut self, now: Instant) -> SmallVec<[Action; 4]> {
        self.advance(now);
        let mut actions = SmallVec::new();
        self.history.expire(now, &mut actions);
        self.refusals.rotate(now);
        self.reservations.expire(now);
        for attempt in self.excess_batch(now) {
            self.streams.mark_preempted(attempt);
            actions.push(Action::Preempt(attempt));
        }
        actions
    }

    fn advance(&mut self, now: Instant) {
        self.sequence += 1;
        let used = self.streams.load().tokens;
        self.limit.advance(&self.settings, now, used);
    }

    /// Reports whether an attempt is running, or ended within the retention period.
    #[must_use]
    pub fn was_admitted(&self, attempt: AttemptId) -> bool {
        self.streams.contains(attempt) || self.history.ended(attempt).is_some()
    }

    /// Checks the rules that do not depend on the load.
    fn check_rules(&mut self, offer: &Offer) -> Result<CauseStatus, Reason> {
        let must_not_run =
            self.history.is_tombstoned(offer.attempt) || self.refusals.contains(offer.attempt);
        if must_not_run {
            return Err(Reason::Revoked);
        }
        if offer.incarnation != self.settings.incarnation {
            return Err(Reason::Incarnation);
        }
        if offer.revision < self.revision {
            return Err(Reason::Stale);
        }
        if offer.fence.is_some_and(|fence| !self.check_fence(fence)) {
            return Err(Reason::Stale);
        }
        match self.gate {
            Gate::Open => {}
            Gate::Leaving => return Err(Reason::Leaving),
            Gate::ZoneClosed => return Err(Reason::ZoneClosed),
        }
        if !self.up {
            return Err(Reason::Down);
        }
        if self.crashes.request_status(&causes(offer)) == CauseStatus::Quarantined {
            return Err(Reason::Quarantined);
        }
        // Many requests share a part. If each of them ran alone, they would occupy all targets.
        Ok(self.crashes.status(offer.fingerprint))
    }

    /// Admits the offer if there is capacity. Returns the attempts to preempt.
    fn try_admit(
        &mut self,
        now: Instant,
        offer: &Offer,
        status: CauseStatus,
    ) -> Result<AttemptIds, Reason> {
        if !self.has_record_space(offer) {
            return Err(Reason::Full);
        }
        let cost = self.cost(offer);
        if offer.tier.is_interactive() {
            let wanted = self.streams.non_preemptible() + cost;
            self.headroom.observe(now, wanted.min(self.limit.tokens()));
        }
        let suspect = status == CauseStatus::Suspect;
        let preempt =
            self.find_capacity(now, offer, cost, suspect)
                .ok_or(if self.limit.is_cold() {
                    Reason::Cold
                } else {
                    Reason::Full
                });
        if preempt.is_err() {
            if !suspect && !self.streams.has_exclusive() {
                self.limit.record_refusal(self.streams.load(), cost);
            }
            self.reserve(now, offer, cost, suspect);
        }
        let preempt = preempt?;
        for attempt in &preempt {
            self.streams.mark_preempted(*attempt);
        }
        self.admit(now, offer, cost, suspect);
        Ok(preempt)
    }

    /// Reports whether there is space for the record of the attempt, which is kept until its
    /// retention period is over.
    fn has_record_space(&self, offer: &Offer) -> bool {
        let bound = self.settings.max_attempts;
        let reserved = if offer.tier.is_interactive() {
            0
        } else {
            bound / INTERACTIVE_RECORDS_DIVISOR
        };
        self.streams.len() + self.history.len() < bound - reserved
    }

    fn cost(&self, offer: &Offer) -> Tokens {
        match self.settings.kind {
            TargetKind::Model => offer.cost().max(Tokens(1)),
            TargetKind::Service { .. } => Tokens(1),
        }
    }

    /// Returns the attempts to preempt for the offer, or `None` if capacity is insufficient.
    fn find_capacity(
        &self,
        now: Instant,
        offer: &Offer,
        cost: Tokens,
        suspect: bool,
    ) -> Option<AttemptIds> {
        let empty = self.streams.len() == 0;
        if self.streams.has_exclusive() || (suspect && !empty) {
            return None;
        }
        let reserved = self.reservations.reserved_against(now, offer.tier);
        if self.limit.is_cold() {
            let fits = self.limit.fits_cold(self.streams.load(), cost, reserved);
            return (fits || self.is_probe(now, offer)).then(AttemptIds::new);
        }
        if offer.tier.is_interactive() {
            return self.preempt_for(now, cost, reserved);
        }
        let next = self.streams.load().tokens + cost + self.withheld(now, reserved);
        let fits = next <= self.limit.tokens();
        let oversized = empty && reserved == Tokens::ZERO;
        (fits || oversized).then(AttemptIds::new)
    }

    /// Returns the tokens that batch work must leave free: the larger of the reserved tokens and of
    /// the headroom for interactive work.
    fn withheld(&self, now: Instant, reserved: Tokens) -> Tokens {
        let headroom = self.headroom.remaining(now, self.streams.non_preemptible());
        reserved.max(headroom)
    }

    /// Returns the batch streams to preempt for interactive work, which uses free capacity first.
    ///
    /// Reservations of more urgent requests only take free capacity: an interactive request is not
    /// refused while preempting batch streams alone would free enough.
    fn preempt_for(&self, now: Instant, cost: Tokens, reserved: Tokens) -> Option<AttemptIds> {
        let limit = self.limit.tokens();
        let active = self.streams.active();
        if active == Tokens::ZERO && reserved == Tokens::ZERO {
            return Some(AttemptIds::new());
        }
        let held = reserved.min(limit - active);
        let needed = active + held + cost - limit;
        if needed == Tokens::ZERO {
            return Some(AttemptIds::new());
        }
        let batch = self.streams.preemptible();
        let oversized = cost > limit && batch == active && batch > Tokens::ZERO;
        let needed = if oversized { batch } else { needed };
        let protected = limit.scale(self.settings.batch_share);
        select_victims(
            now,
            &self.streams,
            &self.baseline,
            needed,
            batch - protected,
        )
    }

    /// Reports whether an empty cold target may get one request above its limit.
    fn is_probe(&self, now: Instant, offer: &Offer) -> bool {
        let empty = self.streams.len() == 0;
        let waited = now.saturating_duration_since(self.empty_since) >= self.settings.cold_probe;
        let reserved = self.reservations.reserved_against(now, offer.tier);
        empty && waited && reserved == Tokens::ZERO
    }

    fn reserve(&mut self, now: Instant, offer: &Offer, cost: Tokens, suspect: bool) {
        if offer.tier.is_interactive() && !suspect {
            let tokens = cost.min(self.limit.tokens());
            let expires = now + self.settings.reservation;
            let request = offer.attempt.request;
            self.reservations
                .add(now, request, offer.tier.rank, tokens, expires);
        }
    }

    fn admit(&mut self, now: Instant, offer: &Offer, cost: Tokens, suspect: bool) {
        self.reservations.remove(offer.attempt.request);
        let mut stream = Stream::new(now, offer, cost);
        if self.settings.kind != TargetKind::Model {
            stream.prompt = cost;
            stream.cached = Tokens::ZERO;
        }
        stream.exclusive = suspect;
        stream.epoch = self.epoch;
        self.streams.insert(now, offer.attempt, stream);
        self.limit.record_admission(self.streams.load().tokens);
    }

    fn refuse(&mut self, now: Instant, offer: &Offer, reason: Reason) -> Decision {
        self.refusals.insert(now, offer.attempt);
        let retry_after = match reason {
            Reason::Full | Reason::Cold => Some(self.settings.window),
            _ => None,
        };
        Decision::Refuse(Refusal {
            reason,
            retry_after,
        })
    }

    /// Begins a cold start: resets the limit and the expected latencies, and keeps the estimated
    /// speed.
    fn start_cold(&mut self, now: Instant) {
        let rate = self.limit.rate();
        self.limit = Limit::new(&self.settings, now).with_rate(rate);
        self.baseline = Baseline::default();
        self.cold_detector.reset_latencies();
        self.empty_since = now;
    }

    /// Records a crash with all attempts that were in flight in the same epoch of the target.
    ///
    /// All of them are recorded when the first one ends. If each were recorded at its own end, the
    /// first one would be the only suspect until the others have ended.
    fn record_crash(&mut self, stream: &Stream) {
        let id = CrashId {
            incarnation: self.settings.incarnation,
            epoch: stream.epoch,
        };
        if self.crashes.contains(id, stream.fingerprint) {
            return;
        }
        let others = self.streams.iter().filter(|(_, s)| s.epoch == stream.epoch);
        let in_flight = others
            .map(|(_, s)| s)
            .chain([stream])
            .flat_map(|s| s.causes.iter().copied());
        self.crashes.record(id, in_flight);
    }

    /// Returns the batch streams to cancel because a cold target holds more than its limit and one
    /// request, or because an interactive request waits for an exclusive batch stream.
    fn excess_batch(&self, now: Instant) -> AttemptIds {
        let reserved = self.reservations.total(now).min(self.limit.tokens());
        let batch = self.streams.preemptible();
        let excess = match reserved {
            Tokens::ZERO if self.limit.is_cold() => self.cold_excess(),
            Tokens::ZERO => Tokens::ZERO,
            _ if self.streams.has_exclusive() => batch,
            // A reservation alone preempts nothing. The refused request usually goes to another
            // target, and a cold target whose batch streams are preempted gets no latency samples,
            // so it stays cold.
            _ if self.limit.is_cold() => self.cold_excess(),
            _ => Tokens::ZERO,
        };
        let needed = excess.min(batch);
        if needed == Tokens::ZERO {
            return AttemptIds::new();
        }
        select_victims(now, &self.streams, &self.baseline, needed, batch).unwrap_or_default()
    }

    /// Returns the load of a cold target in excess of its limit and its largest stream.
    fn cold_excess(&self) -> Tokens {
        let largest = self.streams.largest();
        self.streams.active() - self.limit.tokens() - largest
    }
}
