use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use ebonylug_core::Name;
use slotmap::SlotMap;
use smallvec::SmallVec;

use crate::cold::ColdRate;
use crate::gossip::{PACE_UNIT, TargetLoad, TargetPace};
use crate::hash::{mix, short, stable_hash, unit};
use crate::health::{Health, HealthChange, Outcome};
use crate::overview::TargetOverview;
use crate::refusal::{Reason, Refusal};
use crate::rollout::VersionFilter;
use crate::settings::SchedulerSettings;
use crate::subject::Subjects;
use crate::target::{Known, PeerLoad, Target, TargetKey, TargetState};
use crate::waiting::{WaitKey, Waiting};

/// A request that needs a target.
#[derive(Clone, Debug)]
pub struct PlacementRequest {
    /// The service that serves it.
    pub service: Name,
    /// The rank; 0 is the most urgent.
    pub rank: u8,
    /// The hash of the prompt's part that is most worth caching.
    pub cache_key: Option<u64>,
    /// Targets that it was sent to.
    pub tried: SmallVec<[TargetKey; 2]>,
    /// How long it may wait.
    pub max_wait: Duration,
    /// When the caller should come back, on average, if the request is refused.
    pub retry_after: Duration,
    /// Whether the service is a model engine.
    pub model: bool,
    /// Tokens of the prompt.
    pub prompt: u32,
    /// The versions that may serve it.
    pub versions: VersionFilter,
}

/// The immediate answer to an [`PlacementRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// Send it to this target now.
    Send(TargetKey),
    /// It waits; [`Scheduler::poll`] decides.
    Wait(WaitKey),
    /// It is refused.
    Refuse(Refusal),
}

/// A later decision about a request that waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send it to this target now.
    Send(TargetKey),
    /// It is refused.
    Refuse(Refusal),
}

/// Binds requests to targets as late as possible.
#[derive(Debug)]
pub struct Scheduler {
    settings: SchedulerSettings,
    zone: Name,
    targets: SlotMap<TargetKey, Known>,
    names: HashMap<Name, TargetKey>,
    services: HashMap<Name, Vec<TargetKey>>,
    cold_rates: HashMap<Name, (f64, Duration)>,
    drained: HashSet<Name>,
    waiting: Waiting,
    subjects: Subjects,
    entries: usize,
    draws: u64,
    changes: u64,
}

impl Scheduler {
    /// Creates a scheduler without targets for an entry in `zone`; `seed` differs between entries.
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
            waiting: Waiting::default(),
            subjects: Subjects::default(),
            entries: 1,
            draws: seed,
            changes: 0,
        }
    }

    /// Sets how many entries share the targets.
    pub fn set_entries(&mut self, entries: usize) {
        self.entries = entries.max(1);
    }

    /// Sets the rate and time of cold targets of a service.
    pub fn set_cold_limit(&mut self, service: Name, rate: f64, time: Duration) {
        self.cold_rates.insert(service, (rate, time));
    }

    /// Sets the availability zones that get nothing.
    pub fn set_drained(&mut self, now: Instant, zones: HashSet<Name>) {
        let back: SmallVec<[TargetKey; 8]> = self
            .targets
            .iter()
            .filter(|(_, known)| {
                let zone = &known.info.zone;
                self.drained.contains(zone) && !zones.contains(zone)
            })
            .map(|(key, _)| key)
            .collect();
        self.drained = zones;
        for key in back {
            self.chill(now, key, None);
        }
    }

    /// Adds a target, or takes over what has changed about it.
    pub fn put_target(&mut self, now: Instant, info: Target) -> TargetKey {
        let cold = info.cold;
        let key = match self.names.get(&info.name) {
            Some(&key) if self.targets[key].info.service == info.service => {
                let known = &mut self.targets[key];
                if known.info.started_ms != info.started_ms || known.info.address != info.address {
                    known.health = Health::default();
                    known.pace = None;
                }
                known.info = info;
                key
            }
            _ => {
                let name = info.name.clone();
                self.remove_target(&name);
                let service = info.service.clone();
                let hash = stable_hash(info.name.as_str());
                let key = self.targets.insert(Known {
                    info,
                    hash,
                    own: 0,
                    prefill: 0,
                    others: PeerLoad::default(),
                    health: Health::default(),
                    cold: None,
                    pace: None,
                    paced: None,
                });
                self.services.entry(service).or_default().push(key);
                self.names.insert(name, key);
                key
            }
        };
        if !cold.is_zero() {
            self.chill(now, key, Some(cold));
        }
        key
    }

    /// Removes a target. Requests that run there are not touched.
    pub fn remove_target(&mut self, name: &Name) {
        let Some(key) = self.names.remove(name) else {
            return;
        };
        if let Some(known) = self.targets.remove(key)
            && let Some(keys) = self.services.get_mut(&known.info.service)
        {
            keys.retain(|&other| other != key);
        }
    }

    /// Returns the names of all targets.
    pub fn names(&self) -> impl Iterator<Item = &Name> {
        self.names.keys()
    }

    /// Returns what is listed about a target.
    #[must_use]
    pub fn target(&self, key: TargetKey) -> Option<&Target> {
        self.targets.get(key).map(|known| &known.info)
    }

    /// Limits the rate of sends to a target that is cold, or may be.
    fn chill(&mut self, now: Instant, key: TargetKey, time: Option<Duration>) {
        let known = &mut self.targets[key];
        let Some(&(rate, usual)) = self.cold_rates.get(&known.info.service) else {
            return;
        };
        let until = now + time.unwrap_or(usual);
        match &mut known.cold {
            Some(cold) if cold.until() > now => cold.extend(until),
            cold => {
                let phase = unit(mix(known.hash, self.draws));
                *cold = ColdRate::new(now, until, rate, self.entries, phase);
            }
        }
    }

    /// Notes that a target says that it is cold for `time`.
    pub fn mark_cold(&mut self, now: Instant, key: TargetKey, time: Duration) {
        if self.targets.contains_key(key) && !time.is_zero() {
            self.chill(now, key, Some(time));
        }
    }

    /// Sets what all other entries say of each target, by hash of its name.
    pub fn set_peer_loads(&mut self, running: &HashMap<u32, PeerLoad>) {
        for known in self.targets.values_mut() {
            known.others = running.get(&short(known.hash)).copied().unwrap_or_default();
        }
    }

    /// Returns what this entry has to say of the load of targets.
    pub fn local_loads(&self) -> impl Iterator<Item = TargetLoad> {
        self.targets.values().filter_map(|known| {
            let resting = known.health.on_trial();
            (known.own > 0 || resting).then(|| TargetLoad {
                unhealthy: resting,
                target: short(known.hash),
                requests: u16::try_from(known.own).unwrap_or(u16::MAX),
                prefill: known.prefill,
            })
        })
    }

    /// Returns the paces of targets that this entry has measured lately.
    pub fn local_paces(&self, now: Instant) -> impl Iterator<Item = TargetPace> {
        self.targets.values().filter_map(move |known| {
            let pace = known.recent_pace(now)?;
            Some(TargetPace {
                target: short(known.hash),
                pace: (pace / PACE_UNIT).clamp(1.0, f64::from(u16::MAX)) as u16,
            })
        })
    }

    /// Returns the slots of the targets of each service, and the requests of all entries there.
    #[must_use]
    pub fn service_loads(&self) -> BTreeMap<Name, (u32, u32)> {
        let mut services: BTreeMap<Name, (u32, u32)> = BTreeMap::new();
        for known in self.targets.values() {
            let (slots, running) = services.entry(known.info.service.clone()).or_default();
            *slots += known.info.slots;
            *running += known.load();
        }
        services
    }

    /// Returns what operators are shown of all targets, by service and name.
    #[must_use]
    pub fn overview(&self, now: Instant) -> Vec<TargetOverview> {
        let mut targets: Vec<TargetOverview> = self
            .targets
            .values()
            .map(|known| known.overview(now, self.drained.contains(&known.info.zone)))
            .collect();
        targets.sort();
        targets
    }

    /// Asks for a target.
    pub fn place(&mut self, now: Instant, ask: PlacementRequest) -> Placement {
        if !self.has_target(&ask) {
            return Placement::Refuse(self.refusal(Reason::NoTarget, Duration::from_millis(400)));
        }
        if self.waiting.ahead(ask.service.as_str(), ask.rank) == 0
            && let Some(key) = self.choose(now, &ask)
        {
            self.sent(now, key, &ask);
            return Placement::Send(key);
        }
        if ask.max_wait.is_zero() || self.waiting.len() >= self.settings.capacity {
            return Placement::Refuse(self.refusal(Reason::Full, ask.retry_after));
        }
        let until = now + ask.max_wait;
        Placement::Wait(self.waiting.insert(ask, until))
    }

    /// Reports whether there is a target that may serve a request, now or later.
    #[must_use]
    pub fn has_target(&self, ask: &PlacementRequest) -> bool {
        let usable =
            |key: &TargetKey| !ask.tried.contains(key) && self.is_usable(&self.targets[*key], ask);
        let keys = self.services.get(&ask.service);
        keys.is_some_and(|keys| keys.iter().any(usable))
    }

    /// Withdraws a request that waits.
    pub fn cancel(&mut self, key: WaitKey) {
        self.waiting.remove(key);
    }

    /// Decides about requests that wait.
    pub fn poll(&mut self, now: Instant) -> SmallVec<[(WaitKey, Decision); 4]> {
        let mut decisions = SmallVec::new();
        if self.waiting.len() == 0 {
            return decisions;
        }
        // A target that has no place for one request of a rank has none for the others.
        let mut full: SmallVec<[(Name, u8); 4]> = SmallVec::new();
        let keys: SmallVec<[WaitKey; 32]> = self.waiting.iter().map(|(key, _)| key).collect();
        for key in keys {
            let Some(waiter) = self.waiting.remove(key) else {
                continue;
            };
            let service = &waiter.ask.service;
            let blocked = full
                .iter()
                .any(|(name, rank)| name == service && *rank <= key.rank);
            let chosen = if blocked {
                None
            } else {
                self.choose(now, &waiter.ask)
            };
            if let Some(target) = chosen {
                self.sent(now, target, &waiter.ask);
                decisions.push((key, Decision::Send(target)));
            } else if waiter.until <= now {
                let refusal = self.refusal(Reason::Full, waiter.ask.retry_after);
                decisions.push((key, Decision::Refuse(refusal)));
            } else {
                if !blocked && waiter.ask.tried.is_empty() {
                    full.push((service.clone(), key.rank));
                }
                self.waiting.put_back(key, waiter);
            }
        }
        decisions
    }

    /// Returns a number that changes with each request that is sent or ends.
    #[must_use]
    pub fn load_version(&self) -> u64 {
        self.changes
    }

    /// Returns the number of requests that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Notes that a target has read a prompt of so many tokens, or will not read it any more.
    pub fn finish_prefill(&mut self, key: TargetKey, prompt: u32) {
        if let Some(known) = self.targets.get_mut(key) {
            known.prefill = known.prefill.saturating_sub(prompt);
            self.changes += 1;
        }
    }

    /// Notes the end of a request at a target. `pace` is its time for each unit of work, in seconds.
    /// Returns what that changes about the target's health.
    pub fn finish(
        &mut self,
        now: Instant,
        key: TargetKey,
        outcome: Outcome,
        pace: Option<f64>,
    ) -> Option<HealthChange> {
        let known = self.targets.get_mut(key)?;
        known.own = known.own.saturating_sub(1);
        self.changes += 1;
        if let Some(pace) = pace {
            known.learn(now, pace);
        }
        let change = known.health.note(now, outcome);
        // A target that comes back after an outage may have started anew, and then it is cold.
        if change == Some(HealthChange::Restored) {
            self.chill(now, key, None);
        }
        change
    }

    /// Returns what is listed about the target of a name.
    #[must_use]
    pub fn find(&self, name: &Name) -> Option<&Target> {
        self.target(*self.names.get(name)?)
    }

    /// Returns the availability zones that get nothing.
    #[must_use]
    pub fn drained(&self) -> &HashSet<Name> {
        &self.drained
    }

    fn sent(&mut self, now: Instant, key: TargetKey, ask: &PlacementRequest) {
        if let Some(subject) = ask.cache_key {
            self.subjects.note(now, subject, key);
        }
        let known = &mut self.targets[key];
        known.prefill = known.prefill.saturating_add(ask.prompt);
        known.own += 1;
        self.changes += 1;
        if let Some(cold) = &mut known.cold {
            cold.sent(now);
        }
        self.draws = mix(self.draws, known.hash).wrapping_add(1);
    }

    fn is_usable(&self, known: &Known, ask: &PlacementRequest) -> bool {
        known.info.state == TargetState::Serving
            && !self.drained.contains(&known.info.zone)
            && ask.versions.allows(&known.info.version)
            && known.info.service == ask.service
    }

    fn limit(&self, known: &Known, ask: &PlacementRequest) -> u32 {
        let slots = known.info.slots;
        match (ask.model, ask.rank) {
            (false, _) => slots + self.settings.queued,
            (true, 0) => slots + self.settings.beyond,
            (true, _) => slots,
        }
    }

    /// Reports whether enough slots are free for a request of this rank.
    fn has_room(&self, now: Instant, ask: &PlacementRequest) -> bool {
        let reserve = self.settings.reserve[usize::from(ask.rank).min(2)];
        if !ask.model || reserve <= 0.0 {
            return true;
        }
        let (mut free, mut slots) = (0, 0);
        for &key in self.services.get(&ask.service).into_iter().flatten() {
            let known = &self.targets[key];
            if self.is_usable(known, ask) && known.is_open(now) {
                slots += known.info.slots;
                free += known.info.slots.saturating_sub(known.load());
            }
        }
        f64::from(free) > reserve * f64::from(slots)
    }

    /// Chooses a target with a free place.
    ///
    /// Entries see each other's requests a little late. If all of them took the best target, they
    /// would fill it several times over. So a few targets are drawn, each in proportion to its free
    /// places, and the best one is taken. A long prompt weighs more at a slow target than a short one,
    /// so that long prompts go to fast targets.
    ///
    /// A target that this entry has sent the same subject to a moment ago has the prompt in its cache; it
    /// is taken unless it is much busier than the least busy one.
    fn choose(&self, now: Instant, ask: &PlacementRequest) -> Option<TargetKey> {
        if !self.has_room(now, ask) {
            return None;
        }
        let keys = self.services.get(&ask.service)?;
        let average = self.average_pace(now, keys);
        let mut candidates: SmallVec<[Candidate; 32]> = SmallVec::new();
        for &key in keys {
            let known = &self.targets[key];
            let free = self.limit(known, ask).saturating_sub(known.load());
            if free == 0
                || ask.tried.contains(&key)
                || !known.is_open(now)
                || !self.is_usable(known, ask)
            {
                continue;
            }
            let pace = known.shared_pace(now).map_or(1.0, |pace| pace / average);
            let pace = pace.clamp(MIN_PACE, MAX_PACE);
            if ask.model && f64::from(known.backlog()) * pace > self.backlog(ask) {
                continue;
            }
            let near = known.info.zone == self.zone;
            candidates.push(Candidate {
                key,
                load: known.load(),
                free: if near {
                    free * self.settings.near
                } else {
                    free
                },
                score: score(known, ask, pace) * if near { 1.0 } else { self.settings.far },
            });
        }
        if let Some(key) = self.home(now, ask, &candidates) {
            return Some(key);
        }
        let lower = |a: &&Candidate, b: &&Candidate| a.score.total_cmp(&b.score);
        if ask.prompt >= self.settings.long_prompt {
            return candidates.iter().min_by(lower).map(|best| best.key);
        }
        let drawn =
            (1..=self.settings.choices).filter_map(|n| draw(&candidates, mix(self.draws, n)));
        drawn.min_by(lower).map(|best| best.key)
    }

    fn backlog(&self, ask: &PlacementRequest) -> f64 {
        f64::from(self.settings.backlog[usize::from(ask.rank).min(2)])
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

    /// Returns the target that has the subject's prompt in its cache, if it is not too busy.
    fn home(
        &self,
        now: Instant,
        ask: &PlacementRequest,
        candidates: &[Candidate],
    ) -> Option<TargetKey> {
        let key = self.subjects.find(now, ask.cache_key?)?;
        let lowest = candidates.iter().map(|c| c.load).min()?;
        let home = candidates.iter().find(|candidate| candidate.key == key)?;
        (home.load <= lowest + self.settings.affinity).then_some(key)
    }

    fn refusal(&mut self, reason: Reason, after: Duration) -> Refusal {
        // Spreads returns over one and a half times the time.
        self.draws = mix(self.draws, 1).wrapping_add(1);
        Refusal {
            reason,
            retry_after: after.mul_f64(0.5 + 1.5 * unit(self.draws)),
        }
    }
}

/// A target that may be chosen.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    key: TargetKey,
    load: u32,
    free: u32,
    /// Lower is better.
    score: f64,
}

/// Bounds of a target's pace relative to the mean of its service.
const MIN_PACE: f64 = 0.3;
const MAX_PACE: f64 = 4.0;
/// Prompt tokens that take as long to read as one more request beside the others slows a target down.
const TOKENS_PER_REQUEST: f64 = 400.0;

/// Estimates when a target would answer, in tokens to read at average speed.
fn score(known: &Known, ask: &PlacementRequest, pace: f64) -> f64 {
    let failures = 1.0 + 4.0 * known.health.failures();
    let tokens = if ask.model {
        f64::from(known.backlog().saturating_add(ask.prompt))
    } else {
        0.0
    };
    (tokens + TOKENS_PER_REQUEST * f64::from(known.load() + 1)) * pace * failures
}

/// Draws a candidate in proportion to its free places.
fn draw(candidates: &[Candidate], random: u64) -> Option<&Candidate> {
    let total: u64 = candidates.iter().map(|c| u64::from(c.free)).sum();
    let mut place = random.checked_rem(total)?;
    candidates.iter().find(|candidate| {
        let free = u64::from(candidate.free);
        let found = place < free;
        place = place.saturating_sub(free);
        found
    })
}
