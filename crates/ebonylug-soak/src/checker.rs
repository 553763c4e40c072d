use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use crate::history::{Change, Execution, FaultScope, History, Outcome, RequestRecord, RowState};

/// Time without disturbance after which time bounds apply to an entry. Equals `contact` in the settings of the
/// entries.
const CONTACT_MS: u64 = 3_000;
/// Time within which a configuration must be active, and a leaving engine must stop receiving requests.
const APPLY_LIMIT_MS: u64 = 2_000;
/// Time within which an answer of the store arrives.
const READ_MARGIN_MS: u64 = 100;
/// Time after which a revoked key must not be accepted.
const REVOCATION_LIMIT_MS: u64 = 5_000;
/// Time after which a drained zone must not receive requests.
const ZONE_DRAIN_LIMIT_MS: u64 = 5_000;
/// Window over which quotas are checked.
pub(crate) const QUOTA_WINDOW_MS: u64 = 8_000;
/// Factor by which a quota may be exceeded.
pub(crate) const OVERSHOOT_FACTOR: f64 = 1.1;
/// Tokens allowed beyond that factor, for requests in flight.
pub(crate) const SLACK_TOKENS: f64 = 100.0;

/// Requests per second that a cold engine may get.
pub(crate) const COLD_RATE: f64 = 11.0;
/// Requests in a second that a cold engine must not exceed: its rate, half more, and five.
const COLD_LIMIT: f64 = COLD_RATE * 1.5 + 5.0;
/// Time over which requests to cold engines are counted.
const COLD_WINDOW_MS: u64 = 1_000;

/// Tokens charged per request.
pub(crate) const REQUEST_TOKENS: u32 = 10;
/// Rate in tokens per second, and burst in tokens, of the organisation with a quota.
pub(crate) const QUOTA_TOKENS: f64 = 100.0;
/// Keys from this index on belong to the organisation with a quota.
pub(crate) const FIRST_LIMITED_KEY: usize = 8;

/// A guarantee that entries give.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Guarantee {
    /// A request that is not idempotent runs at most once.
    Once,
    /// A rejected request that is not idempotent does not run.
    Refused,
    /// A caller gets the engine's response to its own request, with no event of a stream missing or duplicated.
    Whole,
    /// Engines get only requests that callers sent, unchanged.
    Unchanged,
    /// A configuration becomes active in time, and an entry process never reverts to an older one.
    Config,
    /// A revoked key is not accepted.
    Revoked,
    /// An engine that is leaving or whose zone is drained gets no requests.
    Drained,
    /// Quotas hold across all entries.
    Quota,
    /// A cold engine gets no more requests in a second than its limit, from all entries.
    Cold,
    /// Every request gets a response by its deadline.
    Answered,
    /// No request is cut by a planned stop or in the absence of faults.
    Kept,
    /// Processes exit only when requested, and in time.
    Ends,
}

/// A violation of a guarantee.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violation {
    /// The violated guarantee.
    #[serde(rename = "promise")]
    pub guarantee: Guarantee,
    /// Description of the observation.
    #[serde(rename = "seen")]
    pub details: String,
}

/// Checks the guarantees on a [`History`].
///
/// The time bounds on configurations and drained engines are checked only if neither the entry nor its connection to
/// the store was disturbed during the preceding `contact` time of the settings.
#[derive(Debug)]
pub struct Checker<'a> {
    history: &'a History,
    requests: HashMap<u64, &'a RequestRecord>,
    executions: HashMap<u64, Vec<&'a Execution>>,
}

/// Violations, and the number of checks per guarantee.
type CheckOutcome = (Vec<Violation>, BTreeMap<Guarantee, u64>);

/// Collects violations and counts checks.
#[derive(Debug, Default)]
struct CheckResults {
    violations: Vec<Violation>,
    check_counts: BTreeMap<Guarantee, u64>,
}

impl CheckResults {
    fn record(&mut self, guarantee: Guarantee, holds: bool, details: impl FnOnce() -> String) {
        *self.check_counts.entry(guarantee).or_default() += 1;
        if !holds {
            let details = details();
            self.violations.push(Violation { guarantee, details });
        }
    }
}

impl<'a> Checker<'a> {
    /// Indexes the history by request id.
    #[must_use]
    pub fn new(history: &'a History) -> Self {
        let mut executions: HashMap<u64, Vec<&Execution>> = HashMap::new();
        for execution in &history.executions {
            executions.entry(execution.id).or_default().push(execution);
        }
        Checker {
            history,
            requests: history
                .requests
                .iter()
                .map(|request| (request.id, request))
                .collect(),
            executions,
        }
    }

    /// Returns the violations, and the number of checks per guarantee.
    #[must_use]
    pub fn check_all(&self) -> CheckOutcome {
        let mut results = CheckResults::default();
        for request in &self.history.requests {
            self.check_request(&mut results, request);
        }
        for execution in &self.history.executions {
            self.check_execution(&mut results, execution);
        }
        self.check_version_order(&mut results);
        self.check_changes(&mut results);
        self.check_notices(&mut results);
        self.check_known_leaving(&mut results);
        self.check_quota(&mut results);
        self.check_cold(&mut results);
        for (at, failure) in &self.history.process_failures {
            results.record(Guarantee::Ends, false, || {
                format!("at {}: {failure}", self.format_offset(*at))
            });
        }
        (results.violations, results.check_counts)
    }

    fn format_offset(&self, at: u64) -> String {
        let millis = at.saturating_sub(self.history.started);
        format!("{}.{:03} s", millis / 1_000, millis % 1_000)
    }

    fn describe(&self, request: &RequestRecord) -> String {
        format!(
            "request {:x} ({}) sent to entry {} (start {}) at {}, ended at {} with {:?}",
            request.id,
            request.kind.as_str(),
            request.entry.0,
            request.entry.1,
            self.format_offset(request.sent),
            self.format_offset(request.ended),
            request.outcome
        )
    }

    /// Reports whether no fault in scope was active between two times.
    fn is_undisturbed(&self, from: u64, to: u64, in_scope: impl Fn(FaultScope) -> bool) -> bool {
        let windows = self.history.fault_windows.iter();
        !windows
            .filter(|window| in_scope(window.scope))
            .any(|window| window.from <= to && window.to >= from)
    }

    /// Reports whether an entry and its connection to the store were undisturbed from [`CONTACT_MS`] before `from`
    /// until `to`.
    fn had_contact(&self, entry: usize, from: u64, to: u64) -> bool {
        let affects_entry =
            |scope| scope == FaultScope::Entry(entry) || scope == FaultScope::Store(entry);
        self.is_undisturbed(from.saturating_sub(CONTACT_MS), to, affects_entry)
    }

    fn executions_of(&self, id: u64) -> &[&Execution] {
        self.executions.get(&id).map_or(&[], Vec::as_slice)
    }

    fn check_request(&self, results: &mut CheckResults, request: &RequestRecord) {
        let executions = self.executions_of(request.id).len();
        if !request.kind.is_idempotent() {
            results.record(Guarantee::Once, executions <= 1, || {
                format!("{} ran {executions} times", self.describe(request))
            });
        }
        match &request.outcome {
            Outcome::Served { wrong } | Outcome::Cut { wrong } => {
                results.record(Guarantee::Whole, wrong.is_none(), || self.describe(request));
            }
            Outcome::Status {
                code: 408 | 421 | 429 | 503,
                signed: false,
            } => {
                let holds = executions == 0 || request.kind.is_idempotent();
                results.record(Guarantee::Refused, holds, || {
                    format!("{} ran", self.describe(request))
                });
            }
            Outcome::Status { .. }
            | Outcome::Left
            | Outcome::Unsent
            | Outcome::Refused
            | Outcome::Hung => {}
        }
        let entry = request.entry.0;
        let entry_undisturbed =
            self.is_undisturbed(request.sent.saturating_sub(1_000), request.ended, |scope| {
                scope == FaultScope::Entry(entry)
            });
        if entry_undisturbed {
            results.record(
                Guarantee::Answered,
                request.outcome != Outcome::Hung,
                || self.describe(request),
            );
            results.record(Guarantee::Kept, request.outcome != Outcome::Refused, || {
                self.describe(request)
            });
            let engines_undisturbed = self.is_undisturbed(
                request.sent.saturating_sub(CONTACT_MS),
                request.ended,
                |scope| scope == FaultScope::Engine,
            );
            let cut = matches!(request.outcome, Outcome::Cut { .. }) && executions > 0;
            let truncated = self
                .executions_of(request.id)
                .iter()
                .any(|execution| execution.truncated);
            if engines_undisturbed && !truncated {
                results.record(Guarantee::Kept, !cut, || self.describe(request));
            }
        }
    }

    fn check_execution(&self, results: &mut CheckResults, execution: &Execution) {
        let is_known = self.requests.contains_key(&execution.id);
        results.record(
            Guarantee::Unchanged,
            is_known && execution.mismatch.is_none(),
            || {
                format!(
                    "engine {} ran {:x}: {:?}, known: {is_known}",
                    execution.engine, execution.id, execution.mismatch
                )
            },
        );
    }

    /// Checks that an entry process that has served a route of some version does not reject it, or a route of an older
    /// version, as unknown later.
    fn check_version_order(&self, results: &mut CheckResults) {
        let mut generations: BTreeMap<(usize, u32), Vec<&RequestRecord>> = BTreeMap::new();
        for request in self
            .history
            .requests
            .iter()
            .filter(|request| request.route_version > 0)
        {
            generations.entry(request.entry).or_default().push(request);
        }
        for requests in generations.values() {
            let served = requests
                .iter()
                .filter(|request| matches!(request.outcome, Outcome::Served { .. }));
            let served: Vec<(u64, u64)> = served
                .map(|request| (request.ended, request.route_version))
                .collect();
            let missing = |request: &&&RequestRecord| {
                matches!(
                    request.outcome,
                    Outcome::Status {
                        code: 404,
                        signed: false
                    }
                )
            };
            for request in requests.iter().filter(missing) {
                let regressed = served.iter().any(|&(ended, version)| {
                    ended < request.sent && version >= request.route_version
                });
                results.record(Guarantee::Config, !regressed, || {
                    format!(
                        "{} after a newer version was served",
                        self.describe(request)
                    )
                });
            }
        }
    }

    fn check_changes(&self, results: &mut CheckResults) {
        for (at, change) in &self.history.changes {
            match change {
                Change::Config { version } => self.check_config(results, *at, *version),
                Change::Revoked { key } => self.check_revocation(results, *at, *key),
                Change::Leaving { engine } => {
                    self.check_drain(results, engine, *at + APPLY_LIMIT_MS, u64::MAX);
                }
                Change::Drained { engines } => {
                    let restored = self.history.changes.iter();
                    let restored =
                        restored.filter(|(time, change)| time > at && *change == Change::Restored);
                    let until = restored.map(|(time, _)| *time).next().unwrap_or(u64::MAX);
                    for engine in engines {
                        self.check_drain(results, engine, *at + ZONE_DRAIN_LIMIT_MS, until);
                    }
                }
                Change::Restored | Change::StoreRestored { .. } | Change::RowsExpired => {}
            }
        }
    }

    fn check_config(&self, results: &mut CheckResults, at: u64, version: u64) {
        let in_range = |request: &&RequestRecord| {
            request.route_version == version && request.sent > at + APPLY_LIMIT_MS
        };
        for request in self.history.requests.iter().filter(in_range) {
            if self.had_contact(request.entry.0, request.sent, request.ended) {
                let missing = matches!(
                    request.outcome,
                    Outcome::Status {
                        code: 404,
                        signed: false
                    }
                );
                results.record(Guarantee::Config, !missing, || {
                    format!(
                        "{}, acknowledged at {}",
                        self.describe(request),
                        self.format_offset(at)
                    )
                });
            }
        }
    }

    fn check_revocation(&self, results: &mut CheckResults, at: u64, key: usize) {
        let in_range = |request: &&RequestRecord| {
            request.key == key && request.sent > at + REVOCATION_LIMIT_MS
        };
        for request in self.history.requests.iter().filter(in_range) {
            let ran = !self.executions_of(request.id).is_empty();
            results.record(Guarantee::Revoked, !ran, || {
                format!(
                    "{} ran, its key was taken away at {}",
                    self.describe(request),
                    self.format_offset(at)
                )
            });
        }
    }

    fn check_drain(&self, results: &mut CheckResults, engine: &str, from: u64, to: u64) {
        for execution in self
            .history
            .executions
            .iter()
            .filter(|execution| execution.engine == engine)
        {
            let Some(request) = self.requests.get(&execution.id) else {
                continue;
            };
            let in_range = execution.started > from && execution.started < to;
            if in_range
                && self.had_contact(request.entry.0, from.max(request.sent), execution.started)
            {
                results.record(Guarantee::Drained, false, || {
                    format!(
                        "{} reached {engine} at {}",
                        self.describe(request),
                        self.format_offset(execution.started)
                    )
                });
            }
        }
        // Counted once per engine, since there is no execution to count when the guarantee holds.
        results.record(Guarantee::Drained, true, String::new);
    }

    /// Checks that an entry process which has passed on a response of an engine that leaves sends it no requests later,
    /// unless the process was disturbed in between.
    fn check_notices(&self, results: &mut CheckResults) {
        let mut first: HashMap<(&str, (usize, u32)), u64> = HashMap::new();
        let sent_by = |execution: &Execution| self.requests.get(&execution.id).copied();
        for execution in self.history.executions.iter().filter(|e| e.leaving) {
            let served =
                |request: &&RequestRecord| matches!(request.outcome, Outcome::Served { .. });
            if let Some(request) = sent_by(execution).filter(served) {
                let key = (execution.engine.as_str(), request.entry);
                let at = first.entry(key).or_insert(request.ended);
                *at = request.ended.min(*at);
            }
        }
        for execution in &self.history.executions {
            let Some(request) = sent_by(execution) else {
                continue;
            };
            let Some(&at) = first.get(&(execution.engine.as_str(), request.entry)) else {
                continue;
            };
            let scope = FaultScope::Entry(request.entry.0);
            let late = request.sent > at + APPLY_LIMIT_MS;
            if late && self.is_undisturbed(at, execution.started, |other| other == scope) {
                results.record(Guarantee::Drained, false, || {
                    format!(
                        "{} reached {}, which had told this entry at {} that it leaves",
                        self.describe(request),
                        execution.engine,
                        self.format_offset(at)
                    )
                });
            }
        }
        // Counted once per pair, since there is no execution to count when the guarantee holds.
        for _ in &first {
            results.record(Guarantee::Drained, true, String::new);
        }
    }

    /// Checks that an entry process to which the store has sent the leaving of an engine sends it no requests later,
    /// whatever the store says then, unless the process was disturbed in between.
    fn check_known_leaving(&self, results: &mut CheckResults) {
        let mut first: HashMap<(&str, usize), Vec<u64>> = HashMap::new();
        let writes = self.history.row_writes.iter();
        for write in writes.filter(|write| write.state != RowState::Serving) {
            for read in self
                .history
                .reads
                .iter()
                .filter(|read| read.has(write.version))
            {
                let store = FaultScope::Store(read.entry);
                // An answer that meets a fault may not arrive.
                if self.is_undisturbed(read.at, read.at + READ_MARGIN_MS, |scope| scope == store) {
                    let times = first.entry((&write.engine, read.entry)).or_default();
                    times.push(read.at);
                }
            }
        }
        for execution in &self.history.executions {
            let Some(request) = self.requests.get(&execution.id) else {
                continue;
            };
            let entry = request.entry.0;
            let Some(times) = first.get(&(execution.engine.as_str(), entry)) else {
                continue;
            };
            let scope = FaultScope::Entry(entry);
            let known = times.iter().find(|&&at| {
                execution.started > at + APPLY_LIMIT_MS
                    && self.started_before(request.entry, at)
                    && self.is_undisturbed(at, execution.started, |other| other == scope)
            });
            if let Some(&at) = known {
                results.record(Guarantee::Drained, false, || {
                    format!(
                        "{} reached {} at {}, whose leaving the store had told this entry at {}",
                        self.describe(request),
                        execution.engine,
                        self.format_offset(execution.started),
                        self.format_offset(at)
                    )
                });
            }
        }
        // Counted once per pair, since there is no execution to count when the guarantee holds.
        for _ in &first {
            results.record(Guarantee::Drained, true, String::new);
        }
    }

    /// Reports whether a process of an entry has served a request that was sent before a time.
    fn started_before(&self, entry: (usize, u32), at: u64) -> bool {
        let requests = self.history.requests.iter();
        let mut requests = requests.filter(|request| request.entry == entry);
        requests.any(|request| request.sent < at)
    }

    fn check_quota(&self, results: &mut CheckResults) {
        let limited = |execution: &&Execution| {
            let request = self.requests.get(&execution.id);
            request.is_some_and(|request| request.key >= FIRST_LIMITED_KEY)
        };
        let mut times: Vec<u64> = self
            .history
            .executions
            .iter()
            .filter(limited)
            .map(|execution| execution.started)
            .collect();
        times.sort_unstable();
        let limit = (QUOTA_TOKENS * (QUOTA_WINDOW_MS / 1_000) as f64 + QUOTA_TOKENS)
            * OVERSHOOT_FACTOR
            + SLACK_TOKENS;
        for (first, &from) in times.iter().enumerate() {
            let count = times[first..].partition_point(|&at| at < from + QUOTA_WINDOW_MS);
            let tokens = count as f64 * f64::from(REQUEST_TOKENS);
            results.record(Guarantee::Quota, tokens <= limit, || {
                format!(
                    "{tokens} of {limit} tokens in 8 s from {}",
                    self.format_offset(from)
                )
            });
        }
    }

    /// Checks how many requests a cold engine gets that are sent and arrive within a second. Reports the worst second
    /// of each engine.
    fn check_cold(&self, results: &mut CheckResults) {
        let mut arrivals: BTreeMap<&str, Vec<(u64, u64)>> = BTreeMap::new();
        for arrival in &self.history.cold_arrivals {
            if let Some(request) = self.requests.get(&arrival.id) {
                let times = arrivals.entry(&arrival.engine).or_default();
                times.push((request.sent, arrival.at));
            }
        }
        for (engine, times) in &mut arrivals {
            times.sort_unstable();
            let seconds = times.iter().enumerate().map(|(first, &(from, _))| {
                let inside = |&&(_, at): &&(u64, u64)| at < from + COLD_WINDOW_MS;
                (times[first..].iter().filter(inside).count(), from)
            });
            let Some((count, from)) = seconds.max_by_key(|&(count, _)| count) else {
                continue;
            };
            results.record(Guarantee::Cold, count as f64 <= COLD_LIMIT, || {
                format!(
                    "{count} of {COLD_LIMIT} requests in one second at {engine}, which was cold, from {}",
                    self.format_offset(from)
                )
            });
        }
    }
}
