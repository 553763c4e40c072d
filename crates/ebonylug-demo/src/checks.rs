use std::collections::{BTreeMap, HashMap};
use std::fmt;

use ebonylug_standin::RunCounts;

use crate::deployment::{Deployment, FakeTarget};
use crate::load_generator::{Outcome, RequestRecord};

/// The result of checking one guarantee.
#[derive(Clone, Debug)]
pub struct CheckResult {
    /// The guarantee, as shown in the report.
    pub guarantee: &'static str,
    /// Whether the guarantee held.
    pub passed: bool,
    /// The observed count or state.
    pub detail: String,
}

impl CheckResult {
    /// Creates a result from a count of violations, which must be 0. `label` describes a violation in
    /// the plural.
    #[must_use]
    pub fn from_violations(guarantee: &'static str, count: usize, label: &str) -> Self {
        CheckResult {
            guarantee,
            passed: count == 0,
            detail: format!("{count} {label}"),
        }
    }
}

impl fmt::Display for CheckResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let word = if self.passed { "kept  " } else { "BROKEN" };
        write!(f, "{word} {}: {}", self.guarantee, self.detail)
    }
}

/// Returns the run counts of every target of a deployment.
#[must_use]
pub fn run_counts(deployment: &Deployment) -> Vec<RunCounts> {
    let nodes = deployment.nodes.values();
    nodes
        .map(|node| match &node.fake {
            FakeTarget::Engine(engine) => engine.runs(),
            FakeTarget::Service(service) => service.runs(),
        })
        .collect()
}

/// Checks the guarantees that apply to every workload.
#[must_use]
pub fn check_guarantees(deployment: &Deployment, records: &[RequestRecord]) -> Vec<CheckResult> {
    let runs = run_counts(deployment);
    let requests = sum_by_id(&runs, |runs| &runs.requests);
    let keys = sum_by_id(&runs, |runs| &runs.keys);
    let rerun_count =
        |counts: &HashMap<&str, u64>| counts.values().filter(|count| **count > 1).count();
    let false_refusals = records.iter().filter(|record| {
        let ran = |counts: &HashMap<&str, u64>, id: &Option<Box<str>>| {
            id.as_deref().is_some_and(|id| counts.contains_key(id))
        };
        record.outcome == Outcome::NotRun
            && (ran(&requests, &record.request_id) || ran(&keys, &record.key))
    });
    let count = |outcome| {
        records
            .iter()
            .filter(|record| record.outcome == outcome)
            .count()
    };
    vec![
        CheckResult::from_violations(
            "dispatched at most once",
            rerun_count(&requests),
            "requests ran twice",
        ),
        CheckResult::from_violations(
            "non-idempotent calls run at most once",
            rerun_count(&keys),
            "keys ran twice",
        ),
        CheckResult::from_violations(
            "a refusal was not run",
            false_refusals.count(),
            "refused requests ran",
        ),
        CheckResult::from_violations(
            "each caller gets its own whole answer",
            count(Outcome::Wrong),
            "answers were wrong",
        ),
        CheckResult::from_violations(
            "no request without an outcome",
            count(Outcome::Broken),
            "connections broke",
        ),
    ]
}

/// Counts the records by workload and outcome, one line each.
#[must_use]
pub fn outcome_summary(records: &[RequestRecord]) -> String {
    let mut counts: BTreeMap<(&str, Outcome), usize> = BTreeMap::new();
    for record in records {
        *counts.entry((record.workload, record.outcome)).or_default() += 1;
    }
    let line = |((workload, outcome), count): (&(&str, Outcome), &usize)| {
        format!("  {workload}: {outcome:?} {count}\n")
    };
    counts.iter().map(line).collect()
}

/// Sums the run counts of all targets by request id or idempotency key.
fn sum_by_id<'a>(
    runs: &'a [RunCounts],
    counts: impl Fn(&'a RunCounts) -> &'a BTreeMap<Box<str>, u64>,
) -> HashMap<&'a str, u64> {
    let mut total = HashMap::new();
    for runs in runs {
        for (id, count) in counts(runs) {
            *total.entry(&**id).or_default() += count;
        }
    }
    total
}
