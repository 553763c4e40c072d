use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ebonylug_core::{Clock, Incarnation, Name};
use ebonylug_dispatch::{
    Config, CrashDetector, Freshness, HedgeRule, Hedging, LoadReport, Peers, QuotaTolerance,
    Quotas, Reason, Refusal, RetryBudget, RetryRule, RowAge, Scheduler, TableState, Target,
    TargetKey,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::{Notify, watch};

use crate::dialect::Dialect;
use crate::duties::DutyState;
use crate::follow::ReadState;
use crate::instruments::Instruments;
use crate::memory::{MemoryBudget, MemoryLimit};
use crate::moves::{MoveOrder, MoveReport, Moves};
use crate::pool::{Pool, PooledConnection};
use crate::read_limits::ResponseLimits;
use crate::state::State;
use crate::suspension::Suspensions;
use crate::uptime::Uptime;

/// One in this many of the requests served in time is logged. All requests that fail, are refused or are
/// late are logged.
const LOG_SAMPLE_RATE: u64 = 100;

/// The settings of an entry.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of this entry.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Whether other entries may run or have run already. If so, their number and what organisations
    /// have used of their quotas are unknown until they are heard or listed.
    pub resuming: bool,
    /// The settings that may change while the entry runs.
    pub bounds: Bounds,
}

/// The settings that may change while an entry runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// The maximum age of the configuration at which keys are accepted.
    pub key_age: Duration,
    /// The limit on retries across all entries.
    pub retries: RetryRule,
    /// The limit on second attempts of slow requests across all entries.
    pub hedging: HedgeRule,
    /// How far organisations may exceed their quotas.
    pub quotas: QuotaTolerance,
    /// Time from the stop signal until the process must have exited.
    pub grace: Duration,
    /// The maximum total size of the request bodies held in memory, in bytes. All bodies and table rows
    /// together may take this and [`ResponseLimits::memory`].
    pub body_memory: usize,
    /// Limits on the responses of targets.
    pub responses: ResponseLimits,
}

/// The state of an entry, which is used by a single thread.
pub struct Entry {
    pub(crate) name: Name,
    pub(crate) zone: Name,
    pub(crate) bounds: Cell<Bounds>,
    pub(crate) dialect: Dialect,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) uptime: Box<dyn Uptime>,
    pub(crate) pool: Pool,
    pub(crate) instruments: Instruments,
    /// What this entry knows of the platform's tables.
    pub(crate) tables: Cell<TableState>,
    /// Whether this entry reads the orders and the targets itself.
    pub(crate) reads: Cell<[ReadState; 2]>,
    pub(crate) suspensions: Cell<Suspensions>,
    /// Notified when another entry may have a newer table, or this one was suspended.
    pub(crate) table_news: Notify,
    /// The memory that bodies and table rows take.
    pub(crate) memory: Arc<MemoryBudget>,
    pub(crate) stopping: Cell<bool>,
    /// Whether requests that are still open get their final answer, because the grace period ends.
    pub(crate) ending: watch::Sender<bool>,
    /// Whether the entry has stopped serving requests.
    pub(crate) stopped: Cell<bool>,
    /// The number of requests in progress.
    pub(crate) active: Cell<usize>,
    /// The number of open connections of callers.
    pub(crate) connections: Cell<usize>,
    /// Targets that are being checked for a crash.
    pub(crate) checked: RefCell<HashSet<TargetKey>>,
    /// Connections on which targets are asked whether they are cold, while rows may be missing.
    pub(crate) check_connections: RefCell<HashMap<TargetKey, PooledConnection>>,
    /// Notified when a check of a target has ended.
    pub(crate) check_done: Notify,
    /// Whether the entry waits for the crash records before it is ready.
    pub(crate) awaits_records: Cell<bool>,
    /// The number of requests served in time.
    served: Cell<u64>,
    pub(crate) state: RefCell<State>,
    /// The duties of one entry at a time, where one is configured.
    pub(crate) duties: RefCell<Option<DutyState>>,
    /// Random number that identifies this start of the entry.
    pub(crate) boot: u64,
    pub(crate) started: Instant,
}

impl Entry {
    /// Creates an entry without a configuration or targets.
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
        let scheduler_settings = ebonylug_dispatch::SchedulerSettings::default();
        let scheduler = Scheduler::new(scheduler_settings, settings.zone.clone(), rng.random());
        let mut quotas = if settings.resuming {
            Quotas::resuming()
        } else {
            Quotas::default()
        };
        quotas.set_tolerance(settings.bounds.quotas);
        let state = State {
            config: None,
            scheduler,
            quotas,
            budgets: HashMap::new(),
            freshness: Freshness::new(settings.bounds.key_age),
            awaits_peers: settings.resuming,
            deferred: None,
            peers: if settings.resuming {
                Peers::unlisted()
            } else {
                Peers::default()
            },
            waiters: HashMap::new(),
            rng,
            sequence: 0,
            targets_known: false,
            loads_stale: false,
            row_age: RowAge::default(),
            moves: Moves::new(Incarnation(boot)),
            crashes: CrashDetector::default(),
            hedging: Hedging::default(),
            revised: 0,
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
            tables: Cell::default(),
            reads: Cell::default(),
            suspensions: Cell::default(),
            table_news: Notify::new(),
            memory: Arc::default(),
            stopping: Cell::new(false),
            ending: watch::Sender::new(false),
            stopped: Cell::new(false),
            active: Cell::new(0),
            connections: Cell::new(0),
            checked: RefCell::default(),
            check_connections: RefCell::default(),
            check_done: Notify::new(),
            awaits_records: Cell::new(false),
            served: Cell::new(0),
            state: RefCell::new(state),
            duties: RefCell::default(),
            boot,
        })
    }

    /// Returns the limit on the memory of bodies and table rows.
    pub(crate) fn memory_limit(&self) -> MemoryLimit {
        let bounds = self.bounds.get();
        MemoryLimit {
            total: bounds.body_memory + bounds.responses.memory,
            overdraft: bounds.responses.body,
        }
    }

    /// Reports whether callers are refused because bodies and table rows take all of their memory.
    pub(crate) fn is_memory_exhausted(&self) -> bool {
        self.memory.is_exhausted(self.memory_limit())
    }

    /// Returns the name of this entry.
    #[must_use]
    pub fn name(&self) -> &Name {
        &self.name
    }

    /// Returns the active configuration.
    #[must_use]
    pub fn config(&self) -> Option<Rc<Config>> {
        self.state.borrow().config.clone()
    }

    /// Activates a configuration if its version is higher than the current one's.
    pub fn apply_config(&self, config: Config) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let current = state.config_version();
        if config.version <= current {
            return;
        }
        tracing::info!(
            part = "config",
            version = config.version,
            before = current,
            "configuration in force"
        );
        let counts = state.peers.counts(now);
        let phase = state.rng.random_range(0.0..1.0);
        state.quotas.update(now, &config, counts, phase);
        for service in config.services() {
            state.scheduler.set_cold_limit(
                now,
                service.name.clone(),
                service.cold_rate,
                service.cold_time,
            );
        }
        let all_warm = config.services().all(|service| service.cold_rate <= 0.0);
        state.scheduler.set_all_warm(all_warm);
        state.config = Some(Rc::new(config));
    }

    /// Replaces the settings that may change while the entry runs.
    pub fn set_bounds(&self, bounds: Bounds) {
        if bounds == self.bounds.get() {
            return;
        }
        tracing::info!(part = "server", ?bounds, before = ?self.bounds.get(), "bounds changed");
        self.bounds.set(bounds);
        let mut state = self.state.borrow_mut();
        state.freshness.set_max_age(bounds.key_age);
        state.quotas.set_tolerance(bounds.quotas);
    }
    /// Returns the time since the configuration was last known to be current. Returns
    /// [`Duration::MAX`] if another entry has a newer one, because this entry's pending read is then on
    /// a connection that no longer delivers data.
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

    /// Reports whether the configuration is recent enough to accept keys.
    pub(crate) fn is_fresh(&self) -> bool {
        let now = self.uptime.uptime();
        self.state.borrow().freshness.is_fresh(now)
    }

    /// Reports whether the entry can serve callers, for health checks.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let state = self.state.borrow();
        let has_keys = state
            .config
            .as_ref()
            .is_some_and(|config| config.has_keys());
        let fresh = !has_keys || state.freshness.is_fresh(self.uptime.uptime());
        let known = state.targets_known && !self.awaits_records.get();
        !self.stopping.get() && state.config.is_some() && known && fresh && !state.awaits_peers
    }

    /// Adds or updates a target.
    pub fn put_target(self: &Rc<Self>, target: Target) {
        let now = self.clock.now();
        let version = self.targets_version();
        self.state.borrow_mut().put_target(now, target, version);
        self.dispatch_waiting();
    }

    /// Removes a target.
    pub fn remove_target(&self, name: &Name) {
        let now = self.clock.now();
        let version = self.targets_version();
        self.state.borrow_mut().remove_target(now, name, version);
    }

    /// Returns the version of the table of targets that this entry has.
    fn targets_version(&self) -> u64 {
        self.tables.get().targets.version
    }

    /// Replaces all targets.
    pub fn set_targets(self: &Rc<Self>, targets: Vec<Target>) {
        let now = self.clock.now();
        let version = self.targets_version();
        let mut state = self.state.borrow_mut();
        let listed: HashSet<Name> = targets.iter().map(|target| target.name.clone()).collect();
        let removed: Vec<Name> = state
            .scheduler
            .names()
            .filter(|name| !listed.contains(*name))
            .cloned()
            .collect();
        for name in removed {
            state.remove_target(now, &name, version);
        }
        for target in targets {
            state.put_target(now, target, version);
        }
        state.targets_known = true;
        drop(state);
        self.dispatch_waiting();
    }

    /// Sets the drained availability zones, whose targets get no requests.
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

    /// Sets the time that all entries share, at an uptime of this machine.
    pub fn set_shared_time(&self, uptime: Duration, time: Duration) {
        self.set_duty_time(uptime, time);
        self.state.borrow_mut().moves.set_shared_time(uptime, time);
    }

    /// Replaces the moves that operators have requested. Has no effect before the shared time is set.
    pub fn set_orders(&self, orders: &[MoveOrder]) {
        let now = self.uptime.uptime();
        self.state.borrow_mut().moves.set_orders(now, orders);
    }

    /// Advances the moves, and returns the stages that the platform has not confirmed.
    #[must_use]
    pub fn tick_moves(&self) -> Vec<MoveReport> {
        let now = self.uptime.uptime();
        self.state.borrow_mut().moves.tick(now)
    }

    /// Adopts the stage of a move that the platform has stored.
    pub fn apply_move_report(&self, report: &MoveReport) {
        self.state.borrow_mut().moves.apply_report(report);
    }

    /// Makes [`Entry::tick_moves`] return the stages of all moves again, because the platform's store may have lost
    /// them. Returns the number of those that it had confirmed.
    pub fn forget_move_reports(&self) -> usize {
        self.state.borrow_mut().moves.forget_reports()
    }

    pub(crate) fn random(&self) -> u64 {
        self.state.borrow_mut().rng.random()
    }

    pub(crate) fn target(&self, key: TargetKey) -> Option<Target> {
        self.state.borrow().scheduler.target(key).cloned()
    }

    pub(crate) fn target_name(&self, key: TargetKey) -> Option<String> {
        let state = self.state.borrow();
        let target = state.scheduler.target(key)?;
        Some(target.name.as_str().to_owned())
    }

    /// Takes tokens from an organisation's quota.
    pub(crate) fn take_quota(
        &self,
        organisation: &Name,
        tokens: f64,
        rank: u8,
    ) -> Result<(), Refusal> {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let counts = state.peers.counts(now);
        state
            .quotas
            .take(now, organisation, tokens, rank, counts)
            .map_err(|retry_after| Refusal {
                reason: Reason::Quota,
                retry_after,
                forecast: None,
            })
    }

    /// Refunds the tokens of a request that was not sent to any target.
    pub(crate) fn refund_quota(&self, organisation: &Name, tokens: f64) {
        let mut state = self.state.borrow_mut();
        state.quotas.refund(organisation, tokens);
    }

    /// Counts a new request in the retry budget of a service.
    pub(crate) fn count_request(&self, service: &Name) {
        let now = self.clock.now();
        self.with_budget(service, |budget| budget.record_request(now));
    }

    /// Takes one retry from the retry budget of a service, if it has one.
    pub(crate) fn take_retry(&self, service: &Name) -> bool {
        let now = self.clock.now();
        let taken = self.with_budget(service, |budget| budget.take(now));
        self.instruments.count_retry(taken);
        taken
    }

    fn with_budget<T>(&self, service: &Name, f: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut state = self.state.borrow_mut();
        let entries = state.peers.sharing_count();
        let rule = self.bounds.get().retries.per_entry(entries);
        let budget = state
            .budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(rule));
        budget.set_rule(rule);
        f(budget)
    }

    /// Puts a connection back into the pool, within this entry's share of the connections that the target
    /// accepts from all entries.
    pub(crate) fn release_connection(&self, connection: PooledConnection) {
        let state = self.state.borrow();
        let target = state.scheduler.target(connection.target());
        let service = target.zip(state.config.as_ref());
        let service = service.and_then(|(target, config)| config.service(target.service.as_str()));
        let limit = service.map_or(0, |service| service.max_connections as usize);
        let entries = state.peers.known_count();
        // A limit of 0 means that only the pool's own limit applies.
        let max_idle = match limit {
            0 => usize::MAX,
            limit => (limit / entries).max(1),
        };
        self.pool.release(connection, max_idle);
    }

    /// Counts a request that was served in time, and reports whether it is logged.
    pub(crate) fn sample_log(&self) -> bool {
        let served = self.served.get();
        self.served.set(served + 1);
        served.is_multiple_of(LOG_SAMPLE_RATE)
    }

    /// Waits until the grace period of a planned stop ends.
    pub(crate) async fn grace_end(&self) {
        let mut ending = self.ending.subscribe();
        if ending.wait_for(|&ending| ending).await.is_err() {
            // The sender is a field of this entry, so it outlives the borrow.
            std::future::pending::<()>().await;
        }
    }

    /// Returns a number that changes with each request that is sent or completes.
    pub(crate) fn load_version(&self) -> u64 {
        self.state.borrow().scheduler.load_version()
    }

    pub(crate) fn mark_cold(&self, target: TargetKey, time: Duration) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        state.scheduler.mark_cold(now, target, time);
    }

    /// Records the requests per second that a target accepts from all entries together, or that it names no
    /// limit.
    pub(crate) fn record_limit(&self, target: TargetKey, rate: Option<f64>) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        if state.scheduler.record_limit(now, target, rate) {
            state.log_limit(target, None);
        }
    }

    /// Records what a response of a target said about the target's load.
    pub(crate) fn record_load_report(&self, target: TargetKey, report: LoadReport) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let service = state.scheduler.target(target).map(|t| t.service.clone());
        let Some(service) = service else {
            return;
        };
        let known = state.scheduler.reports_slowness(&service);
        state.scheduler.record_load_report(now, target, report);
        if !known && state.scheduler.reports_slowness(&service) {
            tracing::info!(part = "targets", %service, "targets state how slow they are");
        }
    }

    /// Performs periodic work: expires entries, crash records and idle connections, and dispatches
    /// waiting requests.
    pub fn tick(self: &Rc<Self>) {
        self.record_work();
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        state.scheduler.record_running(now);
        state.confirm_deferred(self.age());
        state.awaits_peers(self.age());
        state.log_peer_changes(now);
        state.peers.expire(now);
        state.crashes.expire(now);
        state.mark_peers_changed();
        state.update_owners(now, &self.name, &self.zone);
        let cold_sends = state.log_cold_targets();
        drop(state);
        self.instruments.set_cold_sends(cold_sends);
        self.check_cold_targets();
        self.tick_duties();
        self.pool.expire();
        self.dispatch_waiting();
    }
}

impl std::fmt::Debug for Entry {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Entry").finish_non_exhaustive()
    }
}

/// Returns a duration in whole milliseconds, saturating at `u64::MAX`.
pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
