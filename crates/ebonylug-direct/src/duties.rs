//! Performs the duties of one entry at a time: the usage reports.
//!
//! `ebonylug-lease` decides which entry holds the duties, `ebonylug-duties` what it does. The calls are made
//! through a [`DutyPort`]. The lease is renewed by its own task, so that slow calls of reports do not delay it.

use std::collections::{BTreeMap, HashMap};
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};

use ebonylug_core::{Fence, Incarnation, Name};
use ebonylug_dispatch::{DutyOverview, Gossip, stable_hash};
use ebonylug_duties::{Action, Creation, Duties, Loaded, REPORT_PREFIX, Reports};
use ebonylug_lease::{Call, LeaseState, Reply, Stagger};
use ebonylug_platform::{Committed, Error, Result, Row, Transaction};
use smallvec::SmallVec;

use crate::entry::{Entry, millis};
use crate::peers::Exchange;

/// The number of reachable entries that compete for the duties. Each reads the lease from the store.
const CANDIDATES: usize = 3;
/// Interval at which the true time and the candidates are updated.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which the tasks look for something to do.
const STEP_INTERVAL: Duration = Duration::from_millis(50);
/// Time by which a holder stops before the others may take over.
const LEASE_MARGIN: Duration = Duration::from_millis(300);
/// Part of the lease time that a call of the platform's API may take. The API may be slow, and a renewed lease
/// lasts longer than this for most of the time until its next renewal.
const CALL_FRACTION: u32 = 2;
/// Interval between two messages with counts, for each entry that sends them. It bounds what the
/// candidates receive, and what the death of an entry loses to 0.4 % of a window of 5 s.
const COUNTS_INTERVAL: Duration = Duration::from_millis(20);
/// The shortest interval between two messages with counts, unless a window ends.
const MIN_COUNTS_INTERVAL: Duration = Duration::from_millis(200);
/// The longest interval. A lost message with the final counts of a window is repeated after it.
const MAX_COUNTS_INTERVAL: Duration = Duration::from_secs(2);

/// Interval at which silent entries are probed while an ended window waits for their counts.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Time-out of a probe. A refusal takes one round trip.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// The settings of the duties.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DutySettings {
    /// Time within which another entry's turn must not lie between two turns of an entry.
    pub lease: Duration,
    /// The usage reports.
    pub usage: ebonylug_duties::Settings,
}

/// The outcome of a call of the platform's API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The call was accepted.
    Accepted,
    /// The call was answered with another status.
    Rejected(u16),
    /// No answer was received, so that the call may have been accepted.
    Unknown(Box<str>),
}

/// What a call of the platform's API states about its sender.
#[derive(Clone, Copy, Debug)]
pub struct Sender<'a> {
    /// The entry that holds the duty.
    pub holder: &'a Name,
    /// The fencing token.
    pub fence: Fence,
}

/// The platform's store and API, as the duties use them.
pub trait DutyPort {
    /// Reads a row.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Row>>>;

    /// Reads all rows whose keys start with `prefix`.
    fn scan(&self, prefix: &str) -> impl Future<Output = Result<Vec<Row>>>;

    /// Applies a transaction.
    fn transact(&self, transaction: Transaction) -> impl Future<Output = Result<Committed>>;

    /// Encodes the report of a window.
    fn encode_usage(&self, window: u64, counts: &BTreeMap<Name, u64>) -> Box<str>;

    /// Sends a report. `may_send` is asked once the connection is open, immediately before the call is
    /// written to it. A call that has taken longer than `timeout` must not arrive any more.
    fn send_usage(
        &self,
        sender: Sender<'_>,
        body: &str,
        timeout: Duration,
        may_send: impl Fn() -> bool,
    ) -> impl Future<Output = CallOutcome>;
}

/// The state of the duties at one entry.
pub(crate) struct DutyState {
    duties: Duties,
    reports: Reports,
    lease: LeaseState,
    /// Time-out of a call of the platform's API.
    call_timeout: Duration,
    /// A monotonic time and the uptime at that time, which convert uptimes for the lease.
    base: (Instant, Duration),
    /// The candidates at the last tick, including this entry if it is one.
    candidates: SmallVec<[Name; CANDIDATES]>,
    ticked: Option<Duration>,
    /// When counts were last sent, and whether a window has ended since.
    told: Option<Duration>,
    ended: bool,
    entries: u32,
    /// Organisations that this entry has counted, by short hash.
    names: HashMap<u32, Name>,
    /// The fencing token of the lease held at the last step, and when it was acquired.
    held: Option<(Fence, Duration)>,
    accepted: Option<u64>,
    late: u64,
    left_out: u64,
}

impl DutyState {
    /// Returns an uptime as a monotonic time that includes suspensions.
    fn lease_time(&self, uptime: Duration) -> Instant {
        self.base.0 + uptime.saturating_sub(self.base.1)
    }

    fn fence(&self, uptime: Duration) -> Option<Fence> {
        self.lease.fence(self.lease_time(uptime))
    }

    /// Compares the reports in the store with those that entries know.
    fn settle(&mut self) {
        let withdrawn = self.reports.settle(&mut self.duties);
        if withdrawn > 0 {
            tracing::warn!(
                part = "duties",
                withdrawn,
                "usage differs from earlier reports"
            );
        }
    }

    /// Logs when the lease is acquired or lost.
    fn log_lease(&mut self, uptime: Duration) {
        let fence = self.fence(uptime);
        if fence == self.held.map(|(fence, _)| fence) {
            return;
        }
        match fence {
            Some(fence) => tracing::info!(part = "duties", %fence, "duties acquired"),
            None => tracing::warn!(part = "duties", "duties lost"),
        }
        self.held = fence.map(|fence| (fence, uptime));
    }
}

fn short_hash(name: &Name) -> u32 {
    (stable_hash(name.as_str()) >> 32) as u32
}

impl Entry {
    /// Makes this entry count requests and compete for the duties. To be called before it serves.
    pub fn enable_duties(&self, settings: DutySettings) {
        let uptime = self.uptime.uptime();
        let lease = ebonylug_lease::Settings {
            duration: settings.lease,
            clock_margin: LEASE_MARGIN.min(settings.lease / 4),
            renew_interval: settings.lease / 4,
            poll_interval: (settings.lease / 6).min(Duration::from_millis(500)),
            retry_delay: Duration::from_millis(150).min(settings.lease / 10),
            stagger: Stagger::default(),
        };
        let process = Incarnation(self.boot);
        let base = (self.clock.now(), uptime);
        let state = DutyState {
            duties: Duties::new(settings.usage, self.name.clone(), self.boot),
            reports: Reports::default(),
            lease: LeaseState::new("duties", self.name.clone(), process, lease, base.0),
            call_timeout: settings.lease / CALL_FRACTION,
            base,
            candidates: SmallVec::new(),
            ticked: None,
            told: None,
            ended: false,
            entries: 1,
            names: HashMap::new(),
            held: None,
            accepted: None,
            late: 0,
            left_out: 0,
        };
        self.duties.replace(Some(state));
        self.tick_duties();
    }

    /// Returns the time of day since 1970.
    fn wall(&self) -> Duration {
        let wall = self.clock.wall();
        wall.duration_since(std::time::UNIX_EPOCH)
            .unwrap_or_default()
    }

    /// Updates the true time and the candidates, and ends windows.
    pub(crate) fn tick_duties(&self) {
        let mut duties = self.duties.borrow_mut();
        let Some(state) = duties.as_mut() else {
            return;
        };
        let uptime = self.uptime.uptime();
        if state
            .ticked
            .is_some_and(|last| uptime < last + TICK_INTERVAL)
        {
            return;
        }
        state.ticked = Some(uptime);
        let mut reachable = self.reachable_peers();
        if self.stopped.get() {
            state.duties.stop();
        }
        state.ended |= state.duties.tick(uptime, self.wall(), reachable.clone());
        state.entries = u32::try_from(reachable.len() + 1).unwrap_or(u32::MAX);
        reachable.push(self.name.clone());
        reachable.sort_by_cached_key(|name| stable_hash(name.as_str()));
        state.candidates = reachable.into_iter().take(CANDIDATES).collect();
    }

    /// Counts a request that a target has begun.
    pub(crate) fn count_begun(&self, organisation: &Name) {
        if let Some(state) = self.duties.borrow_mut().as_mut() {
            let hash = short_hash(organisation);
            state.duties.count(self.uptime.uptime(), hash);
            let names = state.names.entry(hash);
            names.or_insert_with(|| organisation.clone());
        }
    }

    pub(crate) fn set_duty_time(&self, uptime: Duration, steady: Duration) {
        if let Some(state) = self.duties.borrow_mut().as_mut() {
            state.duties.set_steady(uptime, steady);
        }
    }

    /// Returns what this entry tells others about duties, if one is configured.
    pub(crate) fn duty_note(&self, told: bool) -> Option<ebonylug_duties::Note> {
        let mut duties = self.duties.borrow_mut();
        let state = duties.as_mut()?;
        let uptime = self.uptime.uptime();
        if self.stopped.get() {
            state.duties.stop();
        }
        let holds = state.fence(uptime).is_some();
        Some(state.duties.note(uptime, self.wall(), holds, told))
    }

    /// Applies what another entry tells about duties.
    pub(crate) fn receive_duties(&self, gossip: &Gossip) {
        if let (Some(state), Some(note)) = (self.duties.borrow_mut().as_mut(), &gossip.duties) {
            let uptime = self.uptime.uptime();
            let entry = Name::new(&gossip.entry);
            state.duties.receive(uptime, &entry, gossip.boot, note);
        }
    }

    /// Returns the entries that get this entry's counts now.
    pub(crate) fn take_duty_recipients(&self) -> SmallVec<[Name; 4]> {
        let mut duties = self.duties.borrow_mut();
        let Some(state) = duties.as_mut() else {
            return SmallVec::new();
        };
        let uptime = self.uptime.uptime();
        let interval =
            (COUNTS_INTERVAL * state.entries).clamp(MIN_COUNTS_INTERVAL, MAX_COUNTS_INTERVAL);
        let due = state.told.is_none_or(|told| uptime >= told + interval);
        if !due && !state.ended {
            return SmallVec::new();
        }
        state.told = Some(uptime);
        state.ended = false;
        let holder = state.duties.holder().cloned();
        state.candidates.iter().cloned().chain(holder).collect()
    }

    pub(crate) fn duty_overview(&self) -> Option<DutyOverview> {
        let duties = self.duties.borrow();
        let state = duties.as_ref()?;
        let uptime = self.uptime.uptime();
        let held = state.held.filter(|_| state.fence(uptime).is_some());
        let holder = match held {
            Some(_) => Some(&self.name),
            None => state.duties.holder(),
        };
        Some(DutyOverview {
            holder: holder.map(|name| name.as_str().into()),
            fence: held.map(|(fence, _)| fence.0),
            held_ms: held.map(|(_, since)| millis(uptime.saturating_sub(since))),
            reported: state.duties.reported(),
            accepted: state.accepted,
            open: state.reports.open(),
            late: state.late,
            left_out: state.left_out,
        })
    }

    /// Runs `f` with the state of the duties, if one is configured.
    fn with_duties<T>(&self, f: impl FnOnce(&mut DutyState, Duration) -> T) -> Option<T> {
        let mut duties = self.duties.borrow_mut();
        let state = duties.as_mut()?;
        Some(f(state, self.uptime.uptime()))
    }

    /// Returns the organisations with a count in a window.
    fn usage_counts(&self, window: u64) -> BTreeMap<Name, u64> {
        let config = self.config();
        let mut names: HashMap<u32, Name> = HashMap::new();
        for organisation in config.iter().flat_map(|config| config.organisations()) {
            names.insert(short_hash(&organisation.name), organisation.name.clone());
        }
        let known = self.with_duties(|state, _| (state.duties.sum(window), state.names.clone()));
        let (sum, counted) = known.unwrap_or_default();
        let mut counts = BTreeMap::new();
        for (hash, count) in sum {
            match names.get(&hash).or_else(|| counted.get(&hash)) {
                Some(name) => {
                    counts.insert(name.clone(), count);
                }
                None => tracing::error!(
                    part = "duties",
                    window,
                    count,
                    "counts of an unknown organisation"
                ),
            }
        }
        counts
    }
}

/// Competes for the duties and performs them, indefinitely.
pub async fn run(exchange: Rc<Exchange>, port: impl DutyPort) {
    let entry = exchange.entry();
    tokio::join!(
        run_lease(entry, &port),
        run_reports(entry, &port),
        run_probes(&exchange),
    );
}

/// Finds out which silent entries have been killed. Their last counts are final, so that reports need not
/// wait for them, and need not be left out as in a partition.
async fn run_probes(exchange: &Exchange) {
    loop {
        tokio::time::sleep(PROBE_INTERVAL).await;
        let silent = exchange.entry().with_duties(|state, uptime| {
            state.fence(uptime)?;
            let window = state.duties.next_window(uptime);
            Some(state.duties.silent(uptime, window))
        });
        for (name, boot) in silent.flatten().unwrap_or_default() {
            let Some(address) = exchange.address_of(&name) else {
                continue;
            };
            // Entries accept connections at the address of their datagrams. A frozen or unreachable one
            // does not refuse them.
            let connect = tokio::net::TcpStream::connect(address);
            let refused = match tokio::time::timeout(PROBE_TIMEOUT, connect).await {
                Ok(Err(error)) => error.kind() == std::io::ErrorKind::ConnectionRefused,
                Ok(Ok(_)) | Err(_) => false,
            };
            if refused {
                tracing::info!(part = "duties", peer = %name, "entry has ended");
                exchange
                    .entry()
                    .with_duties(|state, _| state.duties.end_boot(&name, boot));
            }
        }
    }
}

async fn run_lease(entry: &Entry, port: &impl DutyPort) {
    loop {
        tokio::time::sleep(STEP_INTERVAL).await;
        loop {
            let call = entry.with_duties(|state, uptime| {
                let now = state.lease_time(uptime);
                let competes =
                    state.candidates.contains(&entry.name) || state.lease.fence(now).is_some();
                let stopped = entry.stopped.get();
                let wall = entry.clock.wall();
                let call = (competes && !stopped).then(|| state.lease.tick(now, wall));
                state.log_lease(uptime);
                call.flatten()
                    .map(|call| (state.lease.key().to_owned(), call))
            });
            let Some(Some((key, call))) = call else {
                break;
            };
            let reply = match call {
                Call::Read => Reply::Read(port.get(&key).await),
                Call::Write(transaction) => Reply::Write(port.transact(transaction).await),
            };
            entry.with_duties(|state, uptime| {
                let now = state.lease_time(uptime);
                state.lease.apply_reply(now, reply);
                state.log_lease(uptime);
            });
        }
    }
}

async fn run_reports(entry: &Entry, port: &impl DutyPort) {
    loop {
        tokio::time::sleep(STEP_INTERVAL).await;
        loop {
            let next = entry.with_duties(|state, uptime| {
                let fence = state.fence(uptime)?;
                let action = state.reports.next(uptime, fence, &state.duties)?;
                Some((fence, action))
            });
            let Some(Some((fence, action))) = next else {
                break;
            };
            let done = match action {
                Action::Load => load(entry, port, fence).await,
                Action::Create(creation) => create(entry, port, creation).await,
                Action::Send { window, body } => send(entry, port, fence, window, &body).await,
                Action::LeaveOut {
                    window,
                    count,
                    reason,
                } => {
                    entry.with_duties(|state, _| state.left_out += count);
                    tracing::warn!(part = "duties", window, count, reason, "usage left out");
                    true
                }
            };
            if !done {
                break;
            }
        }
    }
}

/// Reads the rows of reports. Returns whether the next action may follow at once.
async fn load(entry: &Entry, port: &impl DutyPort, fence: Fence) -> bool {
    let rows = port.scan(REPORT_PREFIX).await;
    let loaded = rows.map(|rows| Loaded {
        rows: rows
            .into_iter()
            .map(|row| (row.key, row.version, row.value))
            .collect(),
    });
    let result = entry.with_duties(|state, uptime| {
        let valid = match &loaded {
            Ok(loaded) => state.reports.apply_load(fence, loaded),
            Err(_) => false,
        };
        if valid {
            state.settle();
        } else {
            state.reports.delay_store(uptime);
        }
        valid
    });
    match loaded {
        Err(error) => tracing::warn!(part = "duties", %error, "failed to read the reports"),
        Ok(_) if result == Some(false) => {
            tracing::error!(part = "duties", "the row of the last report is invalid");
        }
        Ok(_) => {}
    }
    result == Some(true)
}

/// Writes a report to the store. Returns whether the next action may follow at once.
async fn create(entry: &Entry, port: &impl DutyPort, creation: Creation) -> bool {
    let Creation { window, untold } = creation;
    let counts = entry.usage_counts(window);
    let requests: u64 = counts.values().sum();
    let body = port.encode_usage(window, &counts);
    let prepared = entry.with_duties(|state, uptime| {
        let version = state.lease.held_version(state.lease_time(uptime))?;
        let lease = (state.lease.key(), version);
        Some(state.reports.transaction(lease, window, &body))
    });
    let Some(Some(transaction)) = prepared else {
        // The lease is being renewed.
        return false;
    };
    let result = port.transact(transaction).await;
    entry.with_duties(|state, uptime| match &result {
        Ok(committed) => {
            state
                .reports
                .confirm_creation(window, committed.version, body);
            state.settle();
        }
        Err(error) => {
            state.reports.fail_creation();
            if !matches!(error, Error::Conflict { .. }) {
                state.reports.delay_store(uptime);
            }
        }
    });
    match &result {
        Ok(_) => {
            let organisations = counts.len();
            tracing::info!(
                part = "duties",
                window,
                requests,
                organisations,
                untold,
                "usage written"
            );
        }
        Err(error) => {
            tracing::warn!(part = "duties", window, %error, "failed to write the usage");
        }
    }
    // After a conflict, a renewal of the lease may have come between.
    result.is_ok()
}

/// Sends a report. Returns whether the next action may follow at once.
async fn send(entry: &Entry, port: &impl DutyPort, fence: Fence, window: u64, body: &str) -> bool {
    let timeout = entry.with_duties(|state, _| state.call_timeout);
    let timeout = timeout.unwrap_or_default();
    let holds = || {
        let left = entry.with_duties(|state, uptime| {
            let now = state.lease_time(uptime);
            (state.lease.fence(now) == Some(fence)).then(|| state.lease.time_left(now))
        });
        left.flatten()
            .is_some_and(|left| ebonylug_duties::may_send(left, timeout))
    };
    if !holds() {
        return false;
    }
    let sender = Sender {
        holder: &entry.name,
        fence,
    };
    let outcome = port.send_usage(sender, body, timeout, holds).await;
    let late = entry.with_duties(|state, uptime| {
        if outcome != CallOutcome::Accepted {
            state.reports.fail_send(uptime, window);
            return None;
        }
        state.reports.accept(window);
        state.accepted = state.accepted.max(Some(window));
        let end = state.duties.end_of(window);
        let after = state.duties.true_time(uptime).saturating_sub(end);
        let late = after > state.duties.settings().late;
        state.late += u64::from(late);
        Some((after, late))
    });
    entry.instruments.count_duty_call(
        "usage",
        match &outcome {
            CallOutcome::Accepted => "accepted",
            CallOutcome::Rejected(_) => "rejected",
            CallOutcome::Unknown(_) => "unknown",
        },
    );
    match (late.flatten(), outcome) {
        (Some((after, late)), _) => {
            let after_ms = millis(after);
            tracing::info!(part = "duties", window, after_ms, late, %fence, "usage accepted");
            true
        }
        (None, outcome) => {
            tracing::warn!(part = "duties", window, ?outcome, %fence, "usage not confirmed");
            false
        }
    }
}
