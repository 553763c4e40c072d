use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ebonylug_admission::CrashLog;
use ebonylug_core::{Clock, Fingerprint, Incarnation, Name};
use ebonylug_dispatch::{
    Config, CrashDetector, Decision, Freshness, Gossip, Peers, Placement, PlacementRequest, Quotas,
    Reason, Refusal, RetryBudget, RetryRule, Scheduler, Target, TargetKey,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::oneshot;

use crate::dialect::Dialect;
use crate::grant::{Grant, Ticket, Waiter};
use crate::instruments::Instruments;
use crate::moves::{MoveOrder, MoveReport, Moves};
use crate::peers::Content;
use crate::pool::{Pool, PooledConnection};
use crate::state::State;
use crate::uptime::Uptime;

/// One of so many requests that are served in time gets a line in the log; all others get one.
const SAMPLE: u64 = 100;
/// Time from one span in which messages hold the known crashes to the next.
const CRASHES_REPEAT: Duration = Duration::from_secs(8);
/// The length of such a span, in which each other entry gets a message.
const CRASHES_SPAN: Duration = Duration::from_millis(400);

/// What an entry is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of this entry.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// What may change while the entry runs.
    pub bounds: Bounds,
}

/// The settings that may change while an entry runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// How old the configuration may be for keys to be accepted.
    pub key_age: Duration,
    /// The bound on repeated sends over all entries.
    pub retries: RetryRule,
    /// Time from the signal to stop until the process must have ended.
    pub grace: Duration,
    /// Bytes of request bodies that are held at once.
    pub body_memory: usize,
}

/// The state of an entry. All of it is used by one thread.
pub struct Entry {
    pub(crate) name: Name,
    pub(crate) zone: Name,
    pub(crate) bounds: Cell<Bounds>,
    pub(crate) dialect: Dialect,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) uptime: Box<dyn Uptime>,
    pub(crate) pool: Pool,
    pub(crate) instruments: Instruments,
    pub(crate) body_bytes: Cell<usize>,
    pub(crate) stopping: Cell<bool>,
    /// Whether the entry serves nobody any more.
    pub(crate) stopped: Cell<bool>,
    pub(crate) active: Cell<usize>,
    /// Requests that were served in time.
    served: Cell<u64>,
    pub(crate) state: RefCell<State>,
    boot: u64,
    started: Instant,
}

impl Entry {
    /// Creates an entry without configuration and targets.
    #[must_use]
    pub fn new(
        settings: Settings,
        dialect: Dialect,
        clock: Arc<dyn Clock>,
        uptime: Box<dyn Uptime>,
        seed: u64,
    ) -> Rc<Self> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let boot = rng.random();
        let scheduler = ebonylug_dispatch::SchedulerSettings::default();
        let scheduler = Scheduler::new(scheduler, settings.zone.clone(), rng.random());
        let state = State {
            config: None,
            scheduler,
            quotas: Quotas::default(),
            budgets: HashMap::new(),
            freshness: Freshness::new(settings.bounds.key_age),
            peers: Peers::default(),
            waiters: HashMap::new(),
            rng,
            sequence: 0,
            targets_known: false,
            others_old: false,
            moves: Moves::new(Incarnation(boot)),
            crashes: CrashDetector::default(),
        };
        let started = clock.now();
        Rc::new(Entry {
            started,
            name: settings.name,
            zone: settings.zone,
            bounds: Cell::new(settings.bounds),
            dialect,
            clock,
            uptime,
            pool: Pool::default(),
            instruments: Instruments::new(),
            body_bytes: Cell::new(0),
            stopping: Cell::new(false),
            stopped: Cell::new(false),
            active: Cell::new(0),
            served: Cell::new(0),
            state: RefCell::new(state),
            boot,
        })
    }

    /// Returns the name of this entry.
    #[must_use]
    pub fn name(&self) -> &Name {
        &self.name
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn config(&self) -> Option<Rc<Config>> {
        self.state.borrow().config.clone()
    }

    /// Puts a configuration in force, unless it is older than the current one.
    pub fn apply_config(&self, config: Config) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let current = state.config.as_ref().map_or(0, |config| config.version);
        if config.version <= current {
            return;
        }
        tracing::info!(
            part = "config",
            version = config.version,
            before = current,
            "configuration in force"
        );
        let standing = state.peers.counts(now);
        state.quotas.update(now, &config, standing);
        for service in config.services() {
            state.scheduler.set_cold_limit(
                service.name.clone(),
                service.cold_rate,
                service.cold_time,
            );
        }
        state.config = Some(Rc::new(config));
    }

    /// Changes the settings that may change while the entry runs.
    pub fn set_bounds(&self, bounds: Bounds) {
        if bounds == self.bounds.get() {
            return;
        }
        tracing::info!(part = "server", ?bounds, before = ?self.bounds.get(), "bounds changed");
        self.bounds.set(bounds);
        let mut state = self.state.borrow_mut();
        state.freshness.set_max_age(bounds.key_age);
    }

    /// Notes that the configuration in force was current at `time` of the uptime clock.
    pub fn confirm_config(&self, time: Duration) {
        self.state.borrow_mut().freshness.confirm(time);
    }

    /// Returns how long ago the configuration was last known to be current. If another entry has a
    /// newer one, it is as old as can be: the read that waits for it is on a connection that delivers
    /// nothing.
    #[must_use]
    pub fn config_age(&self) -> Option<Duration> {
        let now = self.uptime.uptime();
        let state = self.state.borrow();
        let version = state.config.as_ref()?.version;
        if state.peers.newest_config() > version {
            return Some(Duration::MAX);
        }
        state.freshness.age(now)
    }

    /// Reports whether keys may be accepted.
    pub(crate) fn is_fresh(&self) -> bool {
        let now = self.uptime.uptime();
        self.state.borrow().freshness.is_fresh(now)
    }

    /// Reports whether the entry can serve callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let state = self.state.borrow();
        let keyed = state
            .config
            .as_ref()
            .is_some_and(|config| config.has_keys());
        let fresh = !keyed || state.freshness.is_fresh(self.uptime.uptime());
        !self.stopping.get() && state.config.is_some() && state.targets_known && fresh
    }

    /// Adds a target or takes over what has changed about it.
    pub fn put_target(self: &Rc<Self>, target: Target) {
        let now = self.clock.now();
        self.state.borrow_mut().put(now, target);
        self.dispatch_waiting();
    }

    /// Removes a target.
    pub fn remove_target(&self, name: &Name) {
        let now = self.clock.now();
        self.state.borrow_mut().remove(now, name);
    }

    /// Replaces all targets by a list.
    pub fn set_targets(self: &Rc<Self>, targets: Vec<Target>) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let listed: HashSet<Name> = targets.iter().map(|target| target.name.clone()).collect();
        let gone: Vec<Name> = state
            .scheduler
            .names()
            .filter(|name| !listed.contains(*name))
            .cloned()
            .collect();
        for name in gone {
            state.remove(now, &name);
        }
        for target in targets {
            state.put(now, target);
        }
        state.targets_known = true;
        drop(state);
        self.dispatch_waiting();
    }

    /// Sets the availability zones that get nothing.
    pub fn set_drained(&self, zones: HashSet<Name>) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        if state.scheduler.drained() != &zones {
            let names: Vec<&str> = zones.iter().map(Name::as_str).collect();
            let zones = names.join(",");
            tracing::info!(part = "targets", zones, "zones that get nothing");
        }
        state.scheduler.set_drained(now, zones);
    }

    /// Sets the time that all entries agree on, at an uptime of this machine.
    pub fn set_shared_time(&self, uptime: Duration, agreed: Duration) {
        self.state.borrow_mut().moves.agree(uptime, agreed);
    }

    /// Takes over the moves that operators have ordered.
    pub fn set_orders(&self, orders: &[MoveOrder]) {
        let now = self.uptime.uptime();
        self.state.borrow_mut().moves.set_orders(now, orders);
    }

    /// Decides about moves, and returns stages that the platform must be told.
    #[must_use]
    pub fn tick_moves(&self) -> Vec<MoveReport> {
        let now = self.uptime.uptime();
        self.state.borrow_mut().moves.tick(now)
    }

    /// Takes over a stage of a move that the platform knows.
    pub fn observe_move(&self, report: &MoveReport) {
        self.state.borrow_mut().moves.observe(report);
    }

    /// Draws a random number.
    pub(crate) fn draw(&self) -> u64 {
        self.state.borrow_mut().rng.random()
    }

    /// Returns what is listed about a target.
    pub(crate) fn target(&self, key: TargetKey) -> Option<Target> {
        self.state.borrow().scheduler.target(key).cloned()
    }

    /// Returns the name of a target that is listed.
    pub(crate) fn target_name(&self, key: TargetKey) -> Option<String> {
        let state = self.state.borrow();
        let target = state.scheduler.target(key)?;
        Some(target.name.as_str().to_owned())
    }

    /// Takes tokens out of an organisation's quota.
    pub(crate) fn take_quota(
        &self,
        organisation: &Name,
        tokens: f64,
        rank: u8,
    ) -> Result<(), Refusal> {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let standing = state.peers.counts(now);
        state
            .quotas
            .take(now, organisation, tokens, rank, standing)
            .map_err(|after| Refusal {
                reason: Reason::Quota,
                retry_after: after,
            })
    }

    /// Gives back tokens of a request that did not run.
    pub(crate) fn give_back_quota(&self, organisation: &Name, tokens: f64) {
        let mut state = self.state.borrow_mut();
        state.quotas.refund(organisation, tokens);
    }

    /// Counts a request's first send to a service.
    pub(crate) fn count_request(&self, service: &Name) {
        let now = self.clock.now();
        self.with_budget(service, |budget| budget.record_request(now));
    }

    /// Takes one repeated send out of the budget of a service.
    pub(crate) fn take_retry(&self, service: &Name) -> bool {
        let now = self.clock.now();
        let taken = self.with_budget(service, |budget| budget.take(now));
        self.instruments.count_retry(taken);
        taken
    }

    fn with_budget<T>(&self, service: &Name, f: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut state = self.state.borrow_mut();
        let entries = state.peers.known_count();
        let rule = self.bounds.get().retries.per_entry(entries);
        let budget = state
            .budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(rule));
        budget.set_rule(rule);
        f(budget)
    }

    /// Waits until a target may be used.
    pub(crate) async fn grant(self: &Rc<Self>, ask: PlacementRequest) -> Result<Grant, Refusal> {
        let now = self.clock.now();
        let prompt = ask.prompt;
        let asked = {
            let mut state = self.state.borrow_mut();
            state.refresh(now);
            let ask = state.with_versions(ask);
            state.scheduler.place(now, ask)
        };
        let key = match asked {
            Placement::Send(target) => return Ok(Grant::new(self, target, prompt)),
            Placement::Refuse(refusal) => return Err(refusal),
            Placement::Wait(key) => key,
        };
        let (sender, receiver) = oneshot::channel();
        let waiter = Waiter { sender, prompt };
        self.state.borrow_mut().waiters.insert(key, waiter);
        let _ticket = Ticket {
            entry: Rc::clone(self),
            key,
        };
        let refused = Refusal {
            reason: Reason::Full,
            retry_after: Duration::from_millis(500),
        };
        receiver.await.unwrap_or(Err(refused))
    }

    /// Reports whether a request is not to be run, since requests like it have crashed their targets.
    pub(crate) fn is_quarantined(&self, content: Fingerprint) -> bool {
        self.state.borrow().crashes.is_quarantined(content)
    }

    /// Notes that a request broke off at a target.
    pub(crate) fn note_broken(&self, target: TargetKey, content: Fingerprint) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        if let Some(target) = state.scheduler.target(target).cloned() {
            state
                .crashes
                .record_broken(now, &target.name, target.started_ms, content);
        }
    }

    /// Reports whether messages include the crash log: after a change, and periodically so that lost
    /// messages do no harm.
    pub(crate) fn sends_crash_log(&self) -> bool {
        let now = self.clock.now();
        let state = self.state.borrow();
        let repeat = millis(self.age()) % millis(CRASHES_REPEAT) < millis(CRASHES_SPAN);
        !state.crashes.is_empty() && (repeat || state.crashes.changed_recently(now))
    }

    /// Notes that a request has run to an end.
    pub(crate) fn note_finished(&self, content: Fingerprint) {
        self.state.borrow_mut().crashes.record_completed(content);
    }

    /// Returns a connection to the pool, within this entry's share of the connections that the target
    /// accepts from all entries.
    pub(crate) fn release_connection(&self, connection: PooledConnection) {
        let state = self.state.borrow();
        let target = state.scheduler.target(connection.target());
        let service = target.zip(state.config.as_ref());
        let service = service.and_then(|(target, config)| config.service(target.service.as_str()));
        let most = service.map_or(0, |service| service.max_connections as usize);
        let entries = state.peers.known_count();
        // Without a stated bound, only the pool's own one holds.
        let most = match most {
            0 => usize::MAX,
            most => (most / entries).max(1),
        };
        self.pool.release(connection, most);
    }

    /// Counts a request that was served in time. Reports whether it is one of those that get a line in the log.
    pub(crate) fn is_sampled(&self) -> bool {
        let served = self.served.get();
        self.served.set(served + 1);
        served.is_multiple_of(SAMPLE)
    }

    /// Returns a number that changes with each request that is sent or completes.
    pub(crate) fn load_version(&self) -> u64 {
        self.state.borrow().scheduler.load_version()
    }

    /// Returns the number of requests that wait.
    pub(crate) fn waiting(&self) -> usize {
        self.state.borrow().scheduler.waiting()
    }

    /// Carries out decisions about requests that wait.
    pub fn dispatch_waiting(self: &Rc<Self>) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        if state.scheduler.waiting() == 0 {
            return;
        }
        state.refresh(now);
        let mut ready = Vec::new();
        for (key, decision) in state.scheduler.poll(now) {
            ready.push((state.waiters.remove(&key), decision));
        }
        drop(state);
        for (waiter, decision) in ready {
            let Some(Waiter { sender, prompt }) = waiter else {
                continue;
            };
            let answer = match decision {
                Decision::Send(target) => Ok(Grant::new(self, target, prompt)),
                Decision::Refuse(refusal) => Err(refusal),
            };
            // A receiver that is gone drops the grant, which frees the target.
            let _ = sender.send(answer);
        }
    }

    /// Notes that a target says that it is cold.
    pub(crate) fn note_cold(&self, target: TargetKey, time: Duration) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        state.scheduler.mark_cold(now, target, time);
    }

    fn age(&self) -> Duration {
        self.clock.now().saturating_duration_since(self.started)
    }

    /// Makes the next message to the other entries, with the known crashes if it may hold them.
    pub(crate) fn gossip(&self, content: Content, crashes: bool) -> Gossip {
        let mut state = self.state.borrow_mut();
        state.sequence += 1;
        let (quotas, paces) = (content >= Content::Quotas, content >= Content::Paces);
        let running = state.scheduler.local_loads().collect();
        let (moves, evidence) = state.moves.news(self.uptime.uptime());
        Gossip {
            entry: self.name.as_str().into(),
            zone: self.zone.as_str().into(),
            boot: self.boot,
            sequence: state.sequence,
            config: state.config.as_ref().map_or(0, |config| config.version),
            interval: 0,
            sent: millis(self.uptime.uptime()),
            confirmed: state.freshness.confirmed().map(millis),
            // Until its last request has ended, the others must count what it uses.
            leaving: self.stopped.get(),
            age: u32::try_from(self.age().as_millis()).unwrap_or(u32::MAX),
            usage: match quotas {
                true => state.quotas.usage().collect(),
                false => Vec::new(),
            },
            loads: running,
            paces: match paces {
                true => state.scheduler.local_paces(self.clock.now()).collect(),
                false => Vec::new(),
            },
            moves,
            evidence,
            crashes: match quotas && crashes {
                true => state.crashes.log().clone(),
                false => CrashLog::new(),
            },
        }
    }

    /// Applies a message of another entry. Returns whether that entry was unknown before.
    pub(crate) fn handle_message(self: &Rc<Self>, gossip: Gossip) -> bool {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        state.moves.hear(&gossip.moves, &gossip.evidence);
        if state.crashes.merge(now, &gossip.crashes) {
            tracing::info!(part = "crashes", peer = %gossip.entry, "crashes learnt");
        }
        let age = Duration::from_millis(u64::from(gossip.age));
        state.quotas.adopt_levels(now, age, &gossip.usage);
        let Some(news) = state.peers.receive(now, self.uptime.uptime(), gossip) else {
            return false;
        };
        let version = state.config.as_ref().map_or(0, |config| config.version);
        if let Some((confirmed, time)) = news.confirmed
            && confirmed <= version
        {
            state.freshness.confirm(time);
        }
        for (organisation, tokens) in news.used {
            state.quotas.record_remote_usage(organisation, tokens);
        }
        state.peers_changed();
        drop(state);
        self.dispatch_waiting();
        news.joined
    }

    /// Returns the number of entries that are heard, with this one.
    #[must_use]
    pub fn reachable_entries(&self) -> usize {
        let now = self.clock.now();
        self.state.borrow().peers.counts(now).reachable
    }

    /// Returns the entries that are heard, those whose configuration was confirmed last first.
    pub(crate) fn sources(&self) -> Vec<Name> {
        self.state
            .borrow()
            .peers
            .reachable_entries(self.clock.now())
    }

    /// Notes an entry that the platform's table lists.
    pub(crate) fn list_peer(&self, name: Name) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        state.peers.add_listed(now, name);
        state.peers_changed();
    }

    /// Does what is due after some time: forgets entries and connections, and decides about requests that
    /// wait.
    pub fn tick(self: &Rc<Self>) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        state.tell_peers(now);
        state.peers.expire(now);
        state.crashes.expire(now);
        state.peers_changed();
        drop(state);
        self.pool.expire();
        self.dispatch_waiting();
    }
}

impl std::fmt::Debug for Entry {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Entry").finish_non_exhaustive()
    }
}

/// Returns whole milliseconds, for logs and messages.
pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
