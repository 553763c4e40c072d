mod admission;
mod cold;
mod hedge;
mod loads;
mod notices;
mod select;
mod silence;
mod slots;
mod targets;
mod warmth;

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use ebonylug_core::Name;
use slotmap::SlotMap;
use smallvec::SmallVec;

use crate::cold::ColdChange;
use crate::hash::{mix, unit_interval};
use crate::health::{HealthChange, Outcome};
use crate::owners::Owners;
use crate::pacing::Pacer;
use crate::placement::{Decision, Placement, PlacementRequest};
use crate::prompt_cache::PromptLocations;
use crate::queue::{WaitKey, WaitQueue, Waiter};
use crate::refusal::{Reason, Refusal};
use crate::removed_targets::RemovedTargets;
use crate::report_sharing::ReportSharing;
use crate::settings::SchedulerSettings;
use crate::silence::{RunTime, UsualSilence};
use crate::target::{TargetKey, TargetRecord};
use crate::target_notices::TargetNotices;
use crate::waiting::PeerWaiting;

pub use slots::{Revocation, Slot};
pub use warmth::ColdCheck;

use admission::Admission;

/// Mean of the time after which a caller should retry if no target may serve its request.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(400);

/// Assigns requests to targets as late as possible, and queues them in the entry until then.
#[derive(Debug)]
pub struct Scheduler {
    settings: SchedulerSettings,
    zone: Name,
    targets: SlotMap<TargetKey, TargetRecord>,
    names: HashMap<Name, TargetKey>,
    services: HashMap<Name, Vec<TargetKey>>,
    cold_rates: HashMap<Name, (f64, Duration)>,
    silences: HashMap<Name, UsualSilence>,
    run_time: RunTime,
    /// What is known of targets that are not listed.
    removed: RemovedTargets,
    /// Whether the rows of targets are known to be current.
    rows_current: bool,
    /// When this entry last checked a target in place of its owner.
    substitute_check: Option<Instant>,
    /// Changes that [`Scheduler::take_cold_changes`] has not returned yet.
    cold_changes: SmallVec<[ColdChange; 2]>,
    /// Requests sent to cold targets.
    cold_sends: u64,
    drained: HashSet<Name>,
    queue: WaitQueue,
    prompts: PromptLocations,
    pacers: HashMap<Name, Pacer>,
    owners: Owners,
    notices: TargetNotices,
    entries: usize,
    /// The least number of entries that share rates.
    min_sharing: usize,
    /// The number of entries by which the shares of rates were last computed.
    sharing_entries: usize,
    delay: Duration,
    /// The requests that wait at other entries.
    peer_waiting: PeerWaiting,
    /// Whether the configuration has no service with cold targets.
    all_warm: bool,
    /// Services of which a target has stated how slow its machine is.
    slowness_reported: HashSet<Name>,
    sharing: ReportSharing,
    admissions: HashMap<Name, Admission>,
    random_state: u64,
    load_version: u64,
}

impl Scheduler {
    /// Creates a scheduler without targets for an entry in `zone`. Each entry must use a different `seed`.
    #[must_use]
    pub fn new(settings: SchedulerSettings, zone: Name, seed: u64) -> Self {
        Scheduler {
            settings,
            zone,
            targets: SlotMap::with_key(),
            names: HashMap::new(),
            services: HashMap::new(),
            cold_rates: HashMap::new(),
            silences: HashMap::new(),
            run_time: RunTime::default(),
            removed: RemovedTargets::default(),
            rows_current: true,
            substitute_check: None,
            cold_changes: SmallVec::new(),
            cold_sends: 0,
            drained: HashSet::new(),
            queue: WaitQueue::default(),
            prompts: PromptLocations::default(),
            pacers: HashMap::new(),
            owners: Owners::default(),
            notices: TargetNotices::default(),
            entries: 1,
            min_sharing: 1,
            sharing_entries: 1,
            delay: Duration::ZERO,
            peer_waiting: PeerWaiting::default(),
            all_warm: false,
            slowness_reported: HashSet::new(),
            sharing: ReportSharing::default(),
            admissions: HashMap::new(),
            random_state: seed,
            load_version: 0,
        }
    }

    /// Sets the number of entries that share the targets, and the time until what one of them sends is
    /// known to the others.
    pub fn set_entries(&mut self, entries: usize, delay: Duration) {
        self.entries = entries.max(1);
        self.delay = delay;
    }

    /// Applies a changed number of entries to the shares of rates.
    fn settle_shares(&mut self, now: Instant) {
        let count = self.entries.max(self.min_sharing);
        let before = std::mem::replace(&mut self.sharing_entries, count);
        if before == count {
            return;
        }
        for record in self.targets.values_mut() {
            if let Some(cold) = &mut record.cold.rate {
                cold.settle(now, before);
            }
            record.warmth.settle(now, before);
            record.limit.settle(now, before);
        }
        for removed in self.removed.all_mut() {
            if let Some(cold) = &mut removed.cold.rate {
                cold.settle(now, before);
            }
            removed.limit.settle(now, before);
        }
    }

    /// Sets the least number of entries that share the rates of targets. It may be higher than that of the known
    /// entries.
    pub fn set_sharing_entries(&mut self, entries: usize) {
        self.min_sharing = entries;
    }

    /// Selects a target for a request, or queues or refuses the request.
    pub fn place(&mut self, now: Instant, request: PlacementRequest) -> Placement {
        self.settle_shares(now);
        if !self.has_target(&request) {
            return Placement::Refuse(self.refusal(Reason::NoTarget, NO_TARGET_RETRY_AFTER));
        }
        if let Some(refusal) = self.refuse_paused(now, &request) {
            return Placement::Refuse(refusal);
        }
        if self.uses_forecast(&request.service) {
            return self.place_by_forecast(now, request);
        }
        if self
            .queue
            .count_ahead(request.service.as_str(), request.rank)
            == 0
            && let Some(key) = self.send_now(now, &request)
        {
            return Placement::Send(key);
        }
        if request.max_wait.is_zero() || self.queue.len() >= self.settings.queue_capacity {
            return Placement::Refuse(self.refusal(Reason::Full, request.retry_after));
        }
        let deadline = now + request.max_wait;
        Placement::Wait(self.queue.insert(request, deadline))
    }

    /// Removes a request from the queue.
    pub fn cancel(&mut self, key: WaitKey) {
        self.queue.remove(key);
    }

    /// Returns decisions about queued requests, which removes them from the queue.
    pub fn poll(&mut self, now: Instant) -> SmallVec<[(WaitKey, Decision); 4]> {
        let mut decisions = SmallVec::new();
        self.run_time.advance(now);
        self.settle_shares(now);
        if self.queue.len() == 0 {
            return decisions;
        }
        // If no target accepts a request of some rank, none accepts another one of that or a less
        // urgent rank.
        let mut full: SmallVec<[(Name, u8); 4]> = SmallVec::new();
        for service in self.forecast_services() {
            self.poll_by_forecast(now, &service, &mut decisions);
        }
        let other = |(_, waiter): &(WaitKey, &Waiter)| !self.uses_forecast(&waiter.request.service);
        let keys = self.queue.iter().filter(other).map(|(key, _)| key);
        let keys: SmallVec<[WaitKey; 32]> = keys.collect();
        for key in keys {
            let Some(waiter) = self.queue.remove(key) else {
                continue;
            };
            let service = &waiter.request.service;
            let blocked = full
                .iter()
                .any(|(name, rank)| name == service && *rank <= key.rank);
            let chosen = if blocked {
                None
            } else {
                self.send_now(now, &waiter.request)
            };
            if let Some(target) = chosen {
                decisions.push((key, Decision::Send(target)));
            } else if waiter.deadline <= now {
                let refusal = self.refusal(Reason::Full, waiter.request.retry_after);
                decisions.push((key, Decision::Refuse(refusal)));
            } else {
                if !blocked && waiter.request.tried.is_empty() {
                    full.push((service.clone(), key.rank));
                }
                self.queue.reinsert(key, waiter);
            }
        }
        decisions
    }

    /// Returns a counter that increases when the load that this entry puts on targets changes.
    #[must_use]
    pub fn load_version(&self) -> u64 {
        self.load_version
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Removes `prompt` tokens from the backlog of a target once it has processed them or will never do
    /// so.
    pub fn finish_prefill(&mut self, key: TargetKey, prompt: u32) {
        if let Some(record) = self.targets.get_mut(key) {
            record.prefill = record.prefill.saturating_sub(prompt);
            self.load_version += 1;
        }
    }

    /// Records the end of a request at a target. `pace` is its time per unit of work, in seconds.
    /// Returns the resulting change of the target's health, if any.
    pub fn finish(
        &mut self,
        now: Instant,
        key: TargetKey,
        outcome: Outcome,
        pace: Option<f64>,
    ) -> Option<HealthChange> {
        if matches!(
            outcome,
            Outcome::Answered | Outcome::Failed | Outcome::Refused
        ) {
            self.record_sign(now, key);
        }
        let time = self.run_time.advance(now);
        let record = self.targets.get_mut(key)?;
        record.requests = record.requests.saturating_sub(1);
        if record.load() == 0 {
            record.silence.pause(time);
        }
        record.reported.record_finish();
        self.load_version += 1;
        if let Some(pacer) = self.pacers.get_mut(&record.info.service) {
            pacer.record_finish();
        }
        if let Some(admission) = self.admissions.get_mut(&record.info.service) {
            admission.forecast.record_finish(now);
        }
        if let Some(pace) = pace {
            record.record_pace(now, pace);
        }
        let change = record.health.record(now, outcome);
        // A target that is healthy again after an outage may have restarted and be cold.
        if change == Some(HealthChange::Restored) {
            self.mark_restored(now, key);
        }
        change
    }

    /// Selects a target with a free slot, and records that the request is sent there.
    fn send_now(&mut self, now: Instant, request: &PlacementRequest) -> Option<TargetKey> {
        let key = self.select_target(now, request)?;
        self.record_send(now, key, request);
        Some(key)
    }

    fn record_send(&mut self, now: Instant, key: TargetKey, request: &PlacementRequest) {
        if let Some(cache_key) = request.cache_key {
            self.prompts.record(now, cache_key, key);
        }
        let time = self.run_time.advance(now);
        let record = &mut self.targets[key];
        record.silence.begin(time);
        record.prefill = record.prefill.saturating_add(request.prompt);
        record.requests += 1;
        record.reported.record_send();
        self.load_version += 1;
        if let Some(pacer) = self.pacers.get_mut(&record.info.service) {
            pacer.record_send();
        }
        if let Some(cold) = &mut record.cold.rate {
            cold.record_send(now);
            self.cold_sends += u64::from(now < cold.until());
        }
        record.warmth.record_send(now, self.sharing_entries);
        record.limit.record_send(now);
        self.random_state = mix(self.random_state, record.hash).wrapping_add(1);
        if self.uses_forecast(&request.service) {
            self.charge_share(now, request);
        }
    }

    fn refusal(&mut self, reason: Reason, after: Duration) -> Refusal {
        // Spreads retries over 0.5 to 2 times the given time.
        let spread = 0.5 + 1.5 * self.random_unit();
        Refusal {
            reason,
            retry_after: after.mul_f64(spread),
            forecast: None,
        }
    }

    /// Returns a pseudorandom number from 0 to 1.
    fn random_unit(&mut self) -> f64 {
        self.random_state = mix(self.random_state, 1).wrapping_add(1);
        unit_interval(self.random_state)
    }
}

/// Returns the position of this entry's first send to a target among those of all entries, from 0 to 1.
fn send_phase(target: u64, random_state: u64) -> f64 {
    unit_interval(mix(target, random_state))
}
