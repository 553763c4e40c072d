use std::collections::{BTreeMap, HashMap};
use std::fmt;

use ebonylug_standin::RunCounts;

use crate::deployment::{Deployment, Fake};
use crate::load::{Record, Seen};

/// The verdict on one promise.
#[derive(Clone, Debug)]
pub struct Verdict {
    /// The promise.
    pub promise: &'static str,
    /// Whether it was kept.
    pub kept: bool,
    /// What was counted.
    pub detail: String,
}

impl Verdict {
    /// Creates a verdict from a count that must be 0.
    #[must_use]
    pub fn none(promise: &'static str, count: usize, of: &str) -> Self {
        Verdict {
            promise,
            kept: count == 0,
            detail: format!("{count} {of}"),
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let word = if self.kept { "kept  " } else { "BROKEN" };
        write!(f, "{word} {}: {}", self.promise, self.detail)
    }
}

/// What all targets of a deployment have run.
#[must_use]
pub fn runs(deployment: &Deployment) -> Vec<RunCounts> {
    let nodes = deployment.nodes.values();
    nodes
        .map(|node| match &node.fake {
            Fake::Engine(engine) => engine.runs(),
            Fake::Service(service) => service.runs(),
        })
        .collect()
}

/// Judges the promises that every load can show.
#[must_use]
pub fn judge(deployment: &Deployment, records: &[Record]) -> Vec<Verdict> {
    let runs = runs(deployment);
    let requests = total(&runs, |runs| &runs.requests);
    let keys = total(&runs, |runs| &runs.keys);
    let twice = |counts: &HashMap<&str, u64>| counts.values().filter(|count| **count > 1).count();
    let false_refusals = records.iter().filter(|record| {
        let ran = |counts: &HashMap<&str, u64>, id: &Option<Box<str>>| {
            id.as_deref().is_some_and(|id| counts.contains_key(id))
        };
        record.seen == Seen::NotRun && (ran(&requests, &record.request) || ran(&keys, &record.key))
    });
    let count = |seen| records.iter().filter(|record| record.seen == seen).count();
    vec![
        Verdict::none(
            "dispatched at most once",
            twice(&requests),
            "requests ran twice",
        ),
        Verdict::none(
            "non-idempotent calls run at most once",
            twice(&keys),
            "keys ran twice",
        ),
        Verdict::none(
            "a refusal was not run",
            false_refusals.count(),
            "refused requests ran",
        ),
        Verdict::none(
            "each caller gets its own whole answer",
            count(Seen::Wrong),
            "answers were wrong",
        ),
        Verdict::none(
            "no request without an outcome",
            count(Seen::Broken),
            "connections broke",
        ),
    ]
}

/// Counts the records by stream and outcome.
#[must_use]
pub fn summary(records: &[Record]) -> String {
    let mut counts: BTreeMap<(&str, Seen), usize> = BTreeMap::new();
    for record in records {
        *counts.entry((record.stream, record.seen)).or_default() += 1;
    }
    let line = |((stream, seen), count): (&(&str, Seen), &usize)| {
        format!("  {stream}: {seen:?} {count}\n")
    };
    counts.iter().map(line).collect()
}

fn total<'a>(
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
