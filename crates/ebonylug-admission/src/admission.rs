use std::time::Instant;

use ebonylug_core::{
    AttemptId, End, EngineReport, Fence, Fingerprint, Gate, Incarnation, LoadReport, Offer, Reason,
    Refusal, Revision, Revoked, Tokens,
};
use smallvec::SmallVec;

use crate::baseline::Baseline;
use crate::coldness::Coldness;
use crate::headroom::Headroom;
use crate::ledger::Ledger;
use crate::limit::Limit;
use crate::preempt::victims;
use crate::refusals::Refusals;
use crate::reservation::Reservations;
use crate::settings::TargetKind;
use crate::stream::{Stream, Streams};
use crate::{Action, AttemptIds, CrashId, CrashLog, Decision, Settings, Verdict};

/// Part of the attempt memory that batch work leaves to interactive work.
const BATCH_MEMORY_SHARE: usize = 8;

/// Decides about each attempt that entries want to run at one target.
///
/// See the [crate documentation](crate) for an example.
#[derive(Debug)]
pub struct Admission {
    settings: Settings,
    gate: Gate,
    revision: Revision,
    fence: Option<Fence>,
    up: bool,
    epoch: u64,
    empty_since: Instant,
    sequence: u64,
    streams: Streams,
    ledger: Ledger,
    refusals: Refusals,
    reservations: Reservations,
    headroom: Headroom,
    limit: Limit,
    baseline: Baseline,
    coldness: Coldness,
    crashes: CrashLog,
}

impl Admission {
    /// Creates the admission of a target that is down. It admits nothing before
    /// [`target_up`](Self::target_up), since the sidecar must first cancel what an earlier
    /// incarnation left at the target.
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
            ledger: Ledger::new(settings.retention, settings.max_tombstones),
            refusals: Refusals::new(settings.refusal_capacity, settings.retention, now),
            reservations: Reservations::new(settings.max_reservations),
            headroom: Headroom::new(settings.headroom, now),
            limit: Limit::new(&settings, now),
            baseline: Baseline::default(),
            coldness: Coldness::new(settings.silent_factor, settings.silent_samples),
            crashes: CrashLog::new(),
            settings,
        }
    }

    /// Decides whether an attempt is run now.
    pub fn offer(&mut self, now: Instant, offer: Offer) -> Decision {
        self.step(now);
        if self.was_admitted(offer.attempt) {
            return Decision::Join;
        }
        match self
            .screen(&offer)
            .and_then(|verdict| self.place(now, &offer, verdict))
        {
            Ok(preempt) => Decision::Admit { preempt },
            Err(reason) => self.refuse(now, &offer, reason),
        }
    }

    /// Records the first token of an attempt, which ends its prefill.
    pub fn first_token(&mut self, now: Instant, attempt: AttemptId) {
        self.step(now);
        let first = self.streams.first_token(now, attempt);
        let Some(sample) = first else {
            return;
        };
        self.limit.worked(sample.prompt);
        if sample.admitted < self.limit.since() {
            return;
        }
        let low = self.limit.is_low(&self.settings, sample.most);
        let comparable = low || self.baseline.has_similar(sample.prompt);
        if self.limit.is_cold() && !comparable {
            self.limit.answered(&self.settings, now, sample.most);
            return;
        }
        // A wrong guess of the cached part must not look like a cold target.
        let whole = self.baseline.expected(sample.prompt + sample.cached);
        let slowness = whole.map_or(1.0, |usual| sample.time.as_secs_f64() / usual);
        let ratio = self.baseline.prefill(sample.time, sample.prompt, low);
        if low && !self.limit.is_cold() && self.coldness.sample(slowness) {
            self.cool(now);
            return;
        }
        self.limit
            .first_token(&self.settings, now, &sample, ratio.min(slowness));
    }

    /// Records output tokens that were delivered since the last call for this attempt.
    pub fn progress(&mut self, now: Instant, attempt: AttemptId, tokens: Tokens) {
        self.step(now);
        if !self.streams.contains(attempt) {
            return;
        }
        self.limit.worked(tokens);
        let grow = self.settings.kind == TargetKind::Model;
        let Some(sample) = self.streams.progress(now, attempt, tokens, grow) else {
            return;
        };
        if sample.from < self.limit.since() {
            return;
        }
        let low = self.limit.is_low(&self.settings, self.streams.load());
        let ratio = self.baseline.decode(sample.gap, low);
        self.limit
            .between_tokens(&self.settings, sample.from, ratio);
    }

    /// Records the end of an attempt. Has no effect on an attempt that does not run.
    pub fn finish(&mut self, now: Instant, attempt: AttemptId, end: End) {
        if end == End::Answered && matches!(self.settings.kind, TargetKind::Service { .. }) {
            self.first_token(now, attempt);
        }
        self.step(now);
        let Some(stream) = self.streams.remove(now, attempt) else {
            return;
        };
        self.ledger.end(now, attempt, end);
        if self.streams.len() == 0 {
            self.empty_since = now;
        }
        match end {
            End::Answered => self.crashes.clear(stream.fingerprint),
            End::Failed if stream.admitted >= self.limit.since() => {
                self.limit.failed(&self.settings);
            }
            End::Crashed => self.record_crash(&stream),
            End::Failed | End::Cancelled => {}
        }
    }

    /// Answers whether an attempt was run. After [`Revoked::NotRun`] it never will be.
    ///
    /// `incarnation` is the one that the attempt was addressed to.
    pub fn revoke(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        incarnation: Incarnation,
    ) -> Revoked {
        self.step(now);
        if incarnation != self.settings.incarnation {
            return Revoked::Unknown;
        }
        if self.streams.contains(attempt) {
            return Revoked::Running;
        }
        if self.ledger.ended(attempt).is_some() {
            return Revoked::Finished;
        }
        if self.ledger.bury(now, attempt) {
            return Revoked::NotRun;
        }
        Revoked::Unknown
    }

    /// Takes a report of the engine, which may show that it was restarted.
    pub fn engine_report(&mut self, now: Instant, report: EngineReport) {
        self.step(now);
        self.limit.reported(report.waiting);
        if self.coldness.observe(report) && self.up {
            self.epoch += 1;
            self.cool(now);
        }
    }

    /// Records that the target went down. Everything inside it ends as crashed.
    pub fn target_down(&mut self, now: Instant) {
        self.step(now);
        self.up = false;
        let running: Vec<AttemptId> = self.streams.iter().map(|(attempt, _)| attempt).collect();
        for attempt in running {
            self.finish(now, attempt, End::Crashed);
        }
        self.reservations.clear();
        self.cool(now);
    }

    /// Records that the target came up. It is cold.
    pub fn target_up(&mut self, now: Instant) {
        self.step(now);
        self.up = true;
        self.epoch += 1;
        self.coldness.restart();
        self.cool(now);
    }

    /// Sets whether new work is admitted at all.
    pub fn set_gate(&mut self, gate: Gate) {
        self.sequence += 1;
        self.gate = gate;
    }

    /// Sets the configuration revision in force. A lower revision has no effect.
    pub fn set_revision(&mut self, revision: Revision) {
        self.sequence += 1;
        self.revision = self.revision.max(revision);
    }

    /// Reports whether an order with this fencing number may be carried out, and remembers the
    /// number. Later orders with a lower number are refused.
    pub fn check_fence(&mut self, fence: Fence) -> bool {
        if self.settings.enforce_fences && self.fence.is_some_and(|highest| fence < highest) {
            return false;
        }
        self.fence = self.fence.max(Some(fence));
        true
    }

    /// Takes over the crashes that another process knows; returns whether any were new.
    pub fn merge_crashes(&mut self, other: &CrashLog) -> bool {
        self.sequence += 1;
        self.crashes.merge(other)
    }

    /// Releases a fingerprint from quarantine by order of an operator.
    pub fn release(&mut self, fingerprint: Fingerprint) {
        self.sequence += 1;
        self.crashes.release(fingerprint);
    }

    /// Returns the crashes that are known here.
    #[must_use]
    pub fn crashes(&self) -> &CrashLog {
        &self.crashes
    }

    /// Returns the state that entries choose targets by.
    #[must_use]
    pub fn report(&self, now: Instant) -> LoadReport {
        LoadReport {
            incarnation: self.settings.incarnation,
            sequence: self.sequence,
            revision: self.revision,
            gate: self.gate,
            up: self.up,
            cold: self.limit.is_cold(),
            limit: self.limit.value(),
            used: self.streams.load().tokens,
            batch: self.streams.preemptible(),
            rate: self.limit.rate(),
            reserved: self
                .kept(now, self.reservations.total(now))
                .min(self.limit.value()),
        }
    }

    /// Returns the number of attempts and tombstones that are held in memory.
    #[must_use]
    pub fn record_count(&self) -> usize {
        self.streams.len() + self.ledger.len() + self.ledger.tombstones()
    }

    /// Does what is due at `now`.
    ///
    /// To be called at least once in each window of the settings, and after each refusal of
    /// interactive work, which may call for batch streams to be preempted.
    pub fn tick(&mut self, now: Instant) -> SmallVec<[Action; 4]> {
        self.step(now);
        let mut actions = SmallVec::new();
        self.ledger.expire(now, &mut actions);
        self.refusals.rotate(now);
        self.reservations.expire(now);
        for attempt in self.overload(now) {
            self.streams.preempt(attempt);
            actions.push(Action::Preempt(attempt));
        }
        actions
    }

    fn step(&mut self, now: Instant) {
        self.sequence += 1;
        let used = self.streams.load().tokens;
        self.limit.roll(&self.settings, now, used);
    }

    /// Reports whether an attempt runs, or ended within the retention period.
    #[must_use]
    pub fn was_admitted(&self, attempt: AttemptId) -> bool {
        self.streams.contains(attempt) || self.ledger.ended(attempt).is_some()
    }

    /// Checks everything that does not depend on the load.
    fn screen(&mut self, offer: &Offer) -> Result<Verdict, Reason> {
        let known =
            self.ledger.is_tombstoned(offer.attempt) || self.refusals.contains(offer.attempt);
        if known {
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
        match self.crashes.verdict(offer.fingerprint) {
            Verdict::Quarantined => Err(Reason::Quarantined),
            verdict => Ok(verdict),
        }
    }

    /// Admits the offer if there is room for it; returns the attempts that make room.
    fn place(
        &mut self,
        now: Instant,
        offer: &Offer,
        verdict: Verdict,
    ) -> Result<AttemptIds, Reason> {
        if !self.has_memory(offer) {
            return Err(Reason::Full);
        }
        let cost = self.cost(offer);
        if offer.tier.is_interactive() {
            let wanted = self.streams.interactive() + cost;
            self.headroom.observe(now, wanted.min(self.limit.value()));
        }
        let suspect = verdict == Verdict::Suspect;
        let preempt = self
            .room(now, offer, cost, suspect)
            .ok_or(if self.limit.is_cold() {
                Reason::Cold
            } else {
                Reason::Full
            });
        if preempt.is_err() {
            if !suspect && !self.streams.has_alone() {
                self.limit.refused(self.streams.load(), cost);
            }
            self.reserve(now, offer, cost, suspect);
        }
        let preempt = preempt?;
        for attempt in &preempt {
            self.streams.preempt(*attempt);
        }
        self.admit(now, offer, cost, suspect);
        Ok(preempt)
    }

    /// Reports whether the attempt can be remembered until its retention period is over.
    ///
    /// Batch work leaves a part of the memory to interactive work.
    fn has_memory(&self, offer: &Offer) -> bool {
        let bound = self.settings.max_attempts;
        let kept = if offer.tier.is_interactive() {
            0
        } else {
            bound / BATCH_MEMORY_SHARE
        };
        self.streams.len() + self.ledger.len() < bound - kept
    }

    fn cost(&self, offer: &Offer) -> Tokens {
        match self.settings.kind {
            TargetKind::Model => offer.cost().max(Tokens(1)),
            TargetKind::Service { .. } => Tokens(1),
        }
    }

    /// Returns the attempts that must be preempted to make room, or nothing if there is no room.
    fn room(&self, now: Instant, offer: &Offer, cost: Tokens, suspect: bool) -> Option<AttemptIds> {
        let empty = self.streams.len() == 0;
        if self.streams.has_alone() || (suspect && !empty) {
            return None;
        }
        let reserved = self.reservations.against(now, offer.tier);
        if self.limit.is_cold() {
            let fits = self.limit.fits_cold(self.streams.load(), cost, reserved);
            return (fits || self.is_probe(now, offer)).then(AttemptIds::new);
        }
        if offer.tier.is_interactive() {
            return self.room_by_preemption(now, cost, reserved);
        }
        let next = self.streams.load().tokens + cost + self.kept(now, reserved);
        let fits = next <= self.limit.value();
        let oversized = empty && reserved == Tokens::ZERO;
        (fits || oversized).then(AttemptIds::new)
    }

    /// Returns the room that batch work leaves: what is reserved, or what interactive work is
    /// expected to need.
    fn kept(&self, now: Instant, reserved: Tokens) -> Tokens {
        let spare = self.headroom.spare(now, self.streams.interactive());
        reserved.max(spare)
    }

    /// Makes room for interactive work from free room first, then from batch streams.
    ///
    /// Reservations of more urgent requests take the free room only: an interactive request is
    /// not refused while batch streams alone would make enough room.
    fn room_by_preemption(
        &self,
        now: Instant,
        cost: Tokens,
        reserved: Tokens,
    ) -> Option<AttemptIds> {
        let limit = self.limit.value();
        let active = self.streams.active();
        if active == Tokens::ZERO && reserved == Tokens::ZERO {
            return Some(AttemptIds::new());
        }
        let held = reserved.min(limit - active);
        let need = active + held + cost - limit;
        if need == Tokens::ZERO {
            return Some(AttemptIds::new());
        }
        let batch = self.streams.preemptible();
        let oversized = cost > limit && batch == active && batch > Tokens::ZERO;
        let need = if oversized { batch } else { need };
        let protected = limit.scale(self.settings.batch_share);
        victims(now, &self.streams, &self.baseline, need, batch - protected)
    }

    /// Reports whether an empty cold target gets one request above its limit.
    fn is_probe(&self, now: Instant, offer: &Offer) -> bool {
        let empty = self.streams.len() == 0;
        let waited = now.saturating_duration_since(self.empty_since) >= self.settings.cold_probe;
        let reserved = self.reservations.against(now, offer.tier);
        empty && waited && reserved == Tokens::ZERO
    }

    fn reserve(&mut self, now: Instant, offer: &Offer, cost: Tokens, suspect: bool) {
        if offer.tier.is_interactive() && !suspect {
            let tokens = cost.min(self.limit.value());
            let expires = now + self.settings.reservation;
            let request = offer.attempt.request;
            self.reservations
                .keep(now, request, offer.tier.rank, tokens, expires);
        }
    }

    fn admit(&mut self, now: Instant, offer: &Offer, cost: Tokens, suspect: bool) {
        self.reservations.take(offer.attempt.request);
        let mut stream = Stream::new(now, offer, cost);
        if self.settings.kind != TargetKind::Model {
            stream.prompt = cost;
            stream.cached = Tokens::ZERO;
        }
        stream.alone = suspect;
        stream.epoch = self.epoch;
        self.streams.insert(now, offer.attempt, stream);
        self.limit.admitted(self.streams.load().tokens);
    }

    fn refuse(&mut self, now: Instant, offer: &Offer, reason: Reason) -> Decision {
        self.refusals.insert(now, offer.attempt);
        let after = match reason {
            Reason::Full | Reason::Cold => Some(self.settings.window),
            _ => None,
        };
        Decision::Refuse(Refusal { reason, after })
    }

    /// Begins a cold start.
    fn cool(&mut self, now: Instant) {
        let rate = self.limit.rate();
        self.limit = Limit::new(&self.settings, now).with_rate(rate);
        self.baseline = Baseline::default();
        self.coldness.reset();
        self.empty_since = now;
    }

    /// Records a crash with everything that was in flight in the same life of the target.
    ///
    /// The others are recorded together with the first attempt that ends: one of them alone would
    /// look like the only suspect until the rest have ended too.
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
            .map(|(_, s)| s.fingerprint)
            .chain([stream.fingerprint]);
        self.crashes.record(id, in_flight);
    }

    /// Returns batch streams to cancel: a cold target holds more than it has proved to handle,
    /// or an interactive request waits for a suspect batch stream that runs alone.
    fn overload(&self, now: Instant) -> AttemptIds {
        let reserved = self.reservations.total(now).min(self.limit.value());
        let batch = self.streams.preemptible();
        let excess = match reserved {
            Tokens::ZERO if self.limit.is_cold() => self.cold_excess(),
            Tokens::ZERO => Tokens::ZERO,
            _ if self.streams.has_alone() => batch,
            // A reservation alone preempts nothing: the refused request usually goes elsewhere, and
            // a cold target whose batch streams are preempted never proves what it can handle.
            _ if self.limit.is_cold() => self.cold_excess(),
            _ => Tokens::ZERO,
        };
        let need = excess.min(batch);
        if need == Tokens::ZERO {
            return AttemptIds::new();
        }
        victims(now, &self.streams, &self.baseline, need, batch).unwrap_or_default()
    }

    /// Returns the load on a cold target beyond its limit and one request.
    fn cold_excess(&self) -> Tokens {
        let largest = self.streams.largest();
        self.streams.active() - self.limit.value() - largest
    }
}
