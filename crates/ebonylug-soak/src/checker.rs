use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use crate::history::{Change, Execution, FaultScope, History, Outcome, RequestRecord};

/// Time without disturbance after which an entry must keep to bounds of time, in milliseconds: the platform's
/// `contact`, as the settings of the entries state it.
const CONTACT_MS: u64 = 3_000;
/// Time in which a configuration must be in force, and an engine that leaves be left alone.
const APPLY_LIMIT_MS: u64 = 2_000;
/// Time after which a key that was taken away must not be accepted.
const REVOCATION_LIMIT_MS: u64 = 5_000;
/// Time after which a zone that is taken out must get nothing.
const ZONE_DRAIN_LIMIT_MS: u64 = 5_000;
/// The window of quotas.
const QUOTA_WINDOW_MS: u64 = 8_000;
/// What a quota may be exceeded by: a tenth, and requests on their way.
const OVERSHOOT_FACTOR: f64 = 1.1;
/// Tokens beyond that.
const SLACK_TOKENS: f64 = 100.0;

/// Tokens that each request counts.
pub(crate) const REQUEST_TOKENS: u32 = 10;
/// Tokens per second, and at once, of the organisation with a quota.
pub(crate) const QUOTA_TOKENS: f64 = 100.0;
/// Keys from this number on belong to the organisation with a quota.
pub(crate) const FIRST_LIMITED_KEY: usize = 8;

/// What the pages promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Guarantee {
    /// A request that must not be repeated runs once at most.
    Once,
    /// A refused request does not run.
    Refused,
    /// A caller gets the whole answer of the engine to this request, and no piece of a stream is missing or twice.
    Whole,
    /// Engines get what callers sent.
    Unchanged,
    /// A configuration is in force in time, and never falls back in one life of an entry.
    Config,
    /// A key that was taken away is not accepted.
    Revoked,
    /// An engine that leaves, or whose zone is taken out, gets nothing.
    Drained,
    /// Quotas hold over all entries.
    Quota,
    /// An answer comes by the time limit.
    Answered,
    /// No request is cut by a planned stop, or without any fault.
    Kept,
    /// Processes end only as planned, and then in time.
    Ends,
}

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violation {
    /// Which.
    #[serde(rename = "promise")]
    pub guarantee: Guarantee,
    /// What was seen.
    #[serde(rename = "seen")]
    pub details: String,
}

/// Judges what was seen.
///
/// Promises with a bound of time are judged only where the entry was not disturbed for [`CONTACT`] before.
#[derive(Debug)]
pub struct Checker<'a> {
    history: &'a History,
    requests: HashMap<u64, &'a RequestRecord>,
    executions: HashMap<u64, Vec<&'a Execution>>,
}

/// Breaches, and how often each promise was checked.
type Checked = (Vec<Violation>, BTreeMap<Guarantee, u64>);

/// Collects breaches.
#[derive(Debug, Default)]
struct CheckResults {
    violations: Vec<Violation>,
    checked: BTreeMap<Guarantee, u64>,
}

impl CheckResults {
    fn record(&mut self, guarantee: Guarantee, holds: bool, details: impl FnOnce() -> String) {
        *self.checked.entry(guarantee).or_default() += 1;
        if !holds {
            let details = details();
            self.violations.push(Violation { guarantee, details });
        }
    }
}

impl<'a> Checker<'a> {
    /// Sorts notes by request.
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

    /// Returns the breaches, and how often each promise was checked.
    #[must_use]
    pub fn check_all(&self) -> Checked {
        let mut results = CheckResults::default();
        for request in &self.history.requests {
            self.check_request(&mut results, request);
        }
        for execution in &self.history.executions {
            self.check_execution(&mut results, execution);
        }
        self.check_version_order(&mut results);
        self.check_changes(&mut results);
        self.check_quota(&mut results);
        for (at, failure) in &self.history.process_failures {
            results.record(Guarantee::Ends, false, || {
                format!("at {}: {failure}", self.format_offset(*at))
            });
        }
        (results.violations, results.checked)
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

    /// Reports whether nothing of a kind was harmed in a time.
    fn is_undisturbed(&self, from: u64, to: u64, in_scope: impl Fn(FaultScope) -> bool) -> bool {
        let windows = self.history.fault_windows.iter();
        !windows
            .filter(|window| in_scope(window.scope))
            .any(|window| window.from <= to && window.to >= from)
    }

    /// Reports whether an entry was in touch with the store for long enough before a time, until another.
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

    /// A version whose effect a life of an entry has shown does not go.
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
                Change::Restored => {}
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
        // Counted once for each engine, since a kept promise shows as no run.
        results.record(Guarantee::Drained, true, String::new);
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
}
