mod loads;
mod notices;

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use ebonylug_core::Name;
use slotmap::SlotMap;
use smallvec::SmallVec;

use crate::choice::{Candidate, MAX_RELATIVE_PACE, MIN_RELATIVE_PACE, draw_weighted, score};
use crate::cold::ColdRate;
use crate::hash::{mix, stable_hash, unit_interval};
use crate::health::{Health, HealthChange, Outcome};
use crate::named_limit::NamedLimit;
use crate::owners::Owners;
use crate::pacing::{Pacer, ServiceLoad};
use crate::prompt_cache::PromptLocations;
use crate::queue::{WaitKey, WaitQueue};
use crate::refusal::{Reason, Refusal};
use crate::rollout::VersionFilter;
use crate::settings::SchedulerSettings;
use crate::target::{PeerLoad, Target, TargetKey, TargetRecord, TargetState};
use crate::target_notices::TargetNotices;

/// The longest time for which a target counts as cold after one report. A faulty target may report any time.
const MAX_COLD_TIME: Duration = Duration::from_secs(3_600);

/// A request to be placed on a target.
#[derive(Clone, Debug)]
pub struct PlacementRequest {
    /// The service that must serve the request.
    pub service: Name,
    /// The rank; 0 is the most urgent.
    pub rank: u8,
    /// Hash of the part of the prompt that is most worth caching.
    pub cache_key: Option<u64>,
    /// Targets that the request was already sent to.
    pub tried: SmallVec<[TargetKey; 2]>,
    /// Maximum time in the queue.
    pub max_wait: Duration,
    /// Mean of the time after which the caller should retry if the request is refused.
    pub retry_after: Duration,
    /// Whether the targets are model engines.
    pub model: bool,
    /// Number of prompt tokens.
    pub prompt: u32,
    /// The versions that may serve the request.
    pub versions: VersionFilter,
}

/// The immediate result of a [`PlacementRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// Send the request to this target now.
    Send(TargetKey),
    /// The request is queued until [`Scheduler::poll`] decides.
    Wait(WaitKey),
    /// Refuse the request.
    Refuse(Refusal),
}

/// A decision about a queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send the request to this target now.
    Send(TargetKey),
    /// Refuse the request.
    Refuse(Refusal),
}

/// Assigns requests to targets as late as possible, and queues them in the entry until then.
#[derive(Debug)]
pub struct Scheduler {
    settings: SchedulerSettings,
    zone: Name,
    targets: SlotMap<TargetKey, TargetRecord>,
    names: HashMap<Name, TargetKey>,
    services: HashMap<Name, Vec<TargetKey>>,
    cold_rates: HashMap<Name, (f64, Duration)>,
    drained: HashSet<Name>,
    queue: WaitQueue,
    prompts: PromptLocations,
    pacers: HashMap<Name, Pacer>,
    owners: Owners,
    notices: TargetNotices,
    entries: usize,
    delay: Duration,
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
            drained: HashSet::new(),
            queue: WaitQueue::default(),
            prompts: PromptLocations::default(),
            pacers: HashMap::new(),
            owners: Owners::default(),
            notices: TargetNotices::default(),
            entries: 1,
            delay: Duration::ZERO,
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

    /// Sets the maximum rate of requests per second to a cold target of a service, and its default cold time.
    /// The rate also applies to targets that are cold now: they may have been listed before it was known.
    pub fn set_cold_limit(&mut self, now: Instant, service: Name, rate: f64, time: Duration) {
        let keys = self.services.get(&service).cloned().unwrap_or_default();
        self.cold_rates.insert(service, (rate, time));
        for key in keys {
            let record = &mut self.targets[key];
            match &mut record.cold {
                // Without a rate, there is no limit.
                cold if rate <= 0.0 => *cold = None,
                Some(cold) => cold.set_rate(rate),
                None => {}
            }
            let until = record.cold_until.filter(|&until| until > now);
            if let Some(until) = until {
                self.limit_cold_rate(now, key, Some(until - now));
            }
        }
    }

    /// Sets the entries of this zone by which the targets are divided. `own` is this entry.
    pub fn set_owners(&mut self, own: &Name, others: impl Iterator<Item = u64>) {
        if self.owners.set(stable_hash(own.as_str()), others) {
            for record in self.targets.values_mut() {
                record.owned = self.owners.owns(record.hash);
            }
        }
    }

    /// Sets the availability zones whose targets get no requests. Targets of a zone that is
    /// no longer drained count as cold.
    pub fn set_drained(&mut self, now: Instant, zones: HashSet<Name>) {
        let restored: SmallVec<[TargetKey; 8]> = self
            .targets
            .iter()
            .filter(|(_, record)| {
                let zone = &record.info.zone;
                self.drained.contains(zone) && !zones.contains(zone)
            })
            .map(|(key, _)| key)
            .collect();
        self.drained = zones;
        for key in restored {
            self.limit_cold_rate(now, key, None);
        }
    }

    /// Adds a target or updates an existing one of the same name.
    pub fn put_target(&mut self, now: Instant, mut info: Target) -> TargetKey {
        let notices = self.notices.of(&info.name, info.started_ms);
        if notices.leaving {
            info.state = TargetState::Leaving;
        }
        let paused_until = notices.paused_until;
        let cold = info.cold;
        let key = match self.names.get(&info.name) {
            Some(&key) if self.targets[key].info.service == info.service => {
                let record = &mut self.targets[key];
                if record.info.started_ms != info.started_ms || record.info.address != info.address
                {
                    record.health = Health::default();
                    record.cold_report = None;
                    record.cold_until = None;
                    record.limit = NamedLimit::default();
                    record.pace = None;
                }
                record.paused_until = paused_until;
                record.info = info;
                key
            }
            _ => {
                let name = info.name.clone();
                self.remove_target(&name);
                let service = info.service.clone();
                let hash = stable_hash(info.name.as_str());
                let key = self.targets.insert(TargetRecord {
                    info,
                    hash,
                    requests: 0,
                    prefill: 0,
                    owned: self.owners.owns(hash),
                    peers: PeerLoad::default(),
                    health: Health::default(),
                    cold: None,
                    cold_report: None,
                    cold_until: None,
                    limit: NamedLimit::default(),
                    paused_until,
                    pace: None,
                    pace_measured: None,
                });
                self.services.entry(service).or_default().push(key);
                self.names.insert(name, key);
                key
            }
        };
        if !cold.is_zero() {
            self.limit_cold_rate(now, key, Some(cold));
        }
        key
    }

    /// Removes a target. Requests in flight there are not affected.
    pub fn remove_target(&mut self, name: &Name) {
        let Some(key) = self.names.remove(name) else {
            return;
        };
        if let Some(record) = self.targets.remove(key)
            && let Some(keys) = self.services.get_mut(&record.info.service)
        {
            keys.retain(|&other| other != key);
        }
    }

    /// Returns the names of all targets.
    pub fn names(&self) -> impl Iterator<Item = &Name> {
        self.names.keys()
    }

    /// Returns a target by its key.
    #[must_use]
    pub fn target(&self, key: TargetKey) -> Option<&Target> {
        self.targets.get(key).map(|record| &record.info)
    }

    /// Limits the send rate to a target that is or may be cold, for `time` or the default cold time.
    fn limit_cold_rate(&mut self, now: Instant, key: TargetKey, time: Option<Duration>) {
        let record = &mut self.targets[key];
        let limit = self.cold_rates.get(&record.info.service);
        let time = time.or(limit.map(|&(_, default_time)| default_time));
        let until = now + time.unwrap_or_default().min(MAX_COLD_TIME);
        record.cold_until = record.cold_until.max(Some(until));
        let Some(&(rate, _)) = limit else {
            return;
        };
        match &mut record.cold {
            Some(cold) if cold.until() > now => cold.extend(until),
            cold => {
                let phase = send_phase(record.hash, self.random_state);
                *cold = ColdRate::new(now, until, rate, phase);
            }
        }
    }

    /// Limits the send rate to a target that reported that it is cold for `time`.
    pub fn mark_cold(&mut self, now: Instant, key: TargetKey, time: Duration) {
        let Some(record) = self.targets.get_mut(key).filter(|_| !time.is_zero()) else {
            return;
        };
        record.cold_report = Some(now + time.min(MAX_COLD_TIME));
        self.limit_cold_rate(now, key, Some(time));
    }

    /// Selects a target for a request, or queues or refuses the request.
    pub fn place(&mut self, now: Instant, request: PlacementRequest) -> Placement {
        if !self.has_target(&request) {
            return Placement::Refuse(self.refusal(Reason::NoTarget, Duration::from_millis(400)));
        }
        if let Some(refusal) = self.refuse_paused(now, &request) {
            return Placement::Refuse(refusal);
        }
        if self
            .queue
            .count_ahead(request.service.as_str(), request.rank)
            == 0
            && let Some(key) = self.select_target(now, &request)
        {
            self.record_send(now, key, &request);
            return Placement::Send(key);
        }
        if request.max_wait.is_zero() || self.queue.len() >= self.settings.queue_capacity {
            return Placement::Refuse(self.refusal(Reason::Full, request.retry_after));
        }
        let deadline = now + request.max_wait;
        Placement::Wait(self.queue.insert(request, deadline))
    }

    /// Reports whether there is an eligible target, full or not, that the request was not sent to yet.
    #[must_use]
    pub fn has_target(&self, request: &PlacementRequest) -> bool {
        let eligible = |key: &TargetKey| {
            !request.tried.contains(key) && self.is_eligible(&self.targets[*key], request)
        };
        let keys = self.services.get(&request.service);
        keys.is_some_and(|keys| keys.iter().any(eligible))
    }

    /// Removes a request from the queue.
    pub fn cancel(&mut self, key: WaitKey) {
        self.queue.remove(key);
    }

    /// Returns decisions about queued requests, which removes them from the queue.
    pub fn poll(&mut self, now: Instant) -> SmallVec<[(WaitKey, Decision); 4]> {
        let mut decisions = SmallVec::new();
        if self.queue.len() == 0 {
            return decisions;
        }
        // If no target accepts a request of some rank, none accepts another one of that or a less
        // urgent rank.
        let mut full: SmallVec<[(Name, u8); 4]> = SmallVec::new();
        let keys: SmallVec<[WaitKey; 32]> = self.queue.iter().map(|(key, _)| key).collect();
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
                self.select_target(now, &waiter.request)
            };
            if let Some(target) = chosen {
                self.record_send(now, target, &waiter.request);
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
        let record = self.targets.get_mut(key)?;
        record.requests = record.requests.saturating_sub(1);
        self.load_version += 1;
        if let Some(pacer) = self.pacers.get_mut(&record.info.service) {
            pacer.record_finish();
        }
        if let Some(pace) = pace {
            record.record_pace(now, pace);
        }
        let change = record.health.record(now, outcome);
        // A target that is healthy again after an outage may have restarted and be cold.
        if change == Some(HealthChange::Restored) {
            self.limit_cold_rate(now, key, None);
        }
        change
    }

    /// Returns a target by its name.
    #[must_use]
    pub fn find(&self, name: &Name) -> Option<&Target> {
        self.target(*self.names.get(name)?)
    }

    /// Returns the availability zones whose targets get no requests.
    #[must_use]
    pub fn drained(&self) -> &HashSet<Name> {
        &self.drained
    }

    fn record_send(&mut self, now: Instant, key: TargetKey, request: &PlacementRequest) {
        if let Some(cache_key) = request.cache_key {
            self.prompts.record(now, cache_key, key);
        }
        let record = &mut self.targets[key];
        record.prefill = record.prefill.saturating_add(request.prompt);
        record.requests += 1;
        self.load_version += 1;
        if let Some(pacer) = self.pacers.get_mut(&record.info.service) {
            pacer.record_send();
        }
        if let Some(cold) = &mut record.cold {
            cold.record_send(now);
        }
        record.limit.record_send(now);
        self.random_state = mix(self.random_state, record.hash).wrapping_add(1);
    }

    fn is_eligible(&self, record: &TargetRecord, request: &PlacementRequest) -> bool {
        record.info.state == TargetState::Serving
            && !self.drained.contains(&record.info.zone)
            && request.versions.allows(&record.info.version)
            && record.info.service == request.service
    }

    fn request_limit(&self, record: &TargetRecord, request: &PlacementRequest) -> u32 {
        let slots = record.info.slots;
        match (request.model, request.rank) {
            (false, _) => slots + self.settings.target_queue,
            (true, 0) => slots + self.settings.engine_queue,
            (true, _) => slots,
        }
    }

    /// Reports whether the service has more free slots than its reserve for requests of this rank, and
    /// whether this entry may use one of them now.
    fn has_free_slots(&mut self, now: Instant, request: &PlacementRequest) -> bool {
        let reserve = self.settings.slot_reserve[usize::from(request.rank).min(2)];
        if !request.model || reserve <= 0.0 {
            return true;
        }
        let (mut free, mut slots) = (0, 0);
        for &key in self.services.get(&request.service).into_iter().flatten() {
            let record = &self.targets[key];
            if self.is_eligible(record, request) && record.accepts_requests(now, self.entries) {
                slots += record.info.slots;
                free += record.info.slots.saturating_sub(record.load());
            }
        }
        let reserved = reserve * f64::from(slots);
        let has_free = f64::from(free) > reserved;
        if !self.settings.has_many(self.entries) {
            return has_free;
        }
        let load = ServiceLoad {
            free,
            busy: slots - free,
            reserved,
            entries: self.entries,
            delay: self.delay,
        };
        let service = request.service.clone();
        let pacer = self
            .pacers
            .entry(service)
            .or_insert_with(|| Pacer::new(now));
        pacer.allows_send(now, request.rank, load) && has_free
    }

    /// Selects a target with a free slot.
    ///
    /// Entries learn of each other's requests with a delay. If all of them selected the best target,
    /// they would overload it several times over. Therefore a few targets are sampled with a
    /// probability proportional to their free slots, and the best of the sample is selected. The score
    /// scales prompt tokens by the pace of the target, so long prompts go to fast targets.
    ///
    /// A target that this entry recently sent the same cache key to has the prompt in its cache. It is
    /// preferred unless its load is much higher than that of the least loaded candidate.
    fn select_target(&mut self, now: Instant, request: &PlacementRequest) -> Option<TargetKey> {
        if !self.has_free_slots(now, request) {
            return None;
        }
        let keys = self.services.get(&request.service)?;
        let average = self.average_pace(now, keys);
        let weights = self.settings.weights(self.entries);
        let mut candidates: SmallVec<[Candidate; 32]> = SmallVec::new();
        for &key in keys {
            let record = &self.targets[key];
            let free = self
                .request_limit(record, request)
                .saturating_sub(record.load());
            if free == 0
                || request.tried.contains(&key)
                || !record.accepts_requests(now, self.entries)
                || !self.is_eligible(record, request)
            {
                continue;
            }
            let pace = record.shared_pace(now).map_or(1.0, |pace| pace / average);
            let pace = pace.clamp(MIN_RELATIVE_PACE, MAX_RELATIVE_PACE);
            if request.model && f64::from(record.backlog()) * pace > self.max_backlog(request) {
                continue;
            }
            let local = record.info.zone == self.zone;
            let weight = match (local, record.owned) {
                (false, _) => 1,
                (true, false) => weights.zone,
                (true, true) => weights.owner,
            };
            candidates.push(Candidate {
                key,
                load: record.load(),
                free: free * weight,
                score: score(record, request, pace)
                    * if local {
                        1.0
                    } else {
                        self.settings.remote_penalty
                    },
            });
        }
        if let Some(key) = self.cached_target(now, request, &candidates) {
            return Some(key);
        }
        let by_score = |a: &&Candidate, b: &&Candidate| a.score.total_cmp(&b.score);
        if request.prompt >= self.settings.long_prompt {
            return candidates.iter().min_by(by_score).map(|best| best.key);
        }
        let sampled = (1..=self.settings.sample_size)
            .filter_map(|n| draw_weighted(&candidates, mix(self.random_state, n)));
        sampled.min_by(by_score).map(|best| best.key)
    }

    fn max_backlog(&self, request: &PlacementRequest) -> f64 {
        f64::from(self.settings.max_backlog[usize::from(request.rank).min(2)])
    }

    fn average_pace(&self, now: Instant, keys: &[TargetKey]) -> f64 {
        let paces = keys
            .iter()
            .filter_map(|&key| self.targets[key].shared_pace(now));
        let (sum, count) = paces.fold((0.0, 0), |(sum, count), pace| (sum + pace, count + 1));
        if count == 0 {
            return 1.0;
        }
        (sum / f64::from(count)).max(f64::MIN_POSITIVE)
    }

    /// Returns the target that has the prompt in its cache, unless its load is too high.
    fn cached_target(
        &self,
        now: Instant,
        request: &PlacementRequest,
        candidates: &[Candidate],
    ) -> Option<TargetKey> {
        let key = self.prompts.find(now, request.cache_key?)?;
        let lowest = candidates.iter().map(|c| c.load).min()?;
        let cached = candidates.iter().find(|candidate| candidate.key == key)?;
        (cached.load <= lowest + self.settings.affinity_slack).then_some(key)
    }

    fn refusal(&mut self, reason: Reason, after: Duration) -> Refusal {
        // Spreads retries over 0.5 to 2 times the given time.
        let spread = 0.5 + 1.5 * self.random_unit();
        Refusal {
            reason,
            retry_after: after.mul_f64(spread),
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
