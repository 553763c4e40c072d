use std::collections::BTreeMap;
use std::fmt::Write;

use serde::{Deserialize, Serialize};

use crate::checker::{Checker, Guarantee, Violation};
use crate::history::{History, Outcome};
use crate::schedule::Schedule;

/// A schedule and the result of running it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ScheduleResult {
    /// The schedule, shrunk if the run failed and shrinking was requested.
    pub schedule: Schedule,
    /// Number of requests per outcome.
    #[serde(rename = "ends")]
    pub outcomes: BTreeMap<String, u64>,
    /// Number of checks per guarantee.
    #[serde(rename = "checked")]
    pub check_counts: BTreeMap<Guarantee, u64>,
    /// Violated guarantees.
    #[serde(rename = "breaches")]
    pub violations: Vec<Violation>,
}

impl ScheduleResult {
    /// Checks the history of a run.
    #[must_use]
    pub fn new(schedule: Schedule, history: &History) -> Self {
        let (violations, check_counts) = Checker::new(history).check_all();
        let mut outcomes: BTreeMap<String, u64> = BTreeMap::new();
        for request in &history.requests {
            *outcomes.entry(outcome_label(&request.outcome)).or_default() += 1;
        }
        ScheduleResult {
            schedule,
            outcomes,
            check_counts,
            violations,
        }
    }
}

fn outcome_label(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Served { .. } => "served".into(),
        Outcome::Status { code, signed: true } => format!("{code} of an engine"),
        Outcome::Status { code, .. } => code.to_string(),
        Outcome::Cut { .. } => "cut".into(),
        Outcome::Left => "left".into(),
        Outcome::Unsent => "unsent".into(),
        Outcome::Refused => "connection refused".into(),
        Outcome::Hung => "hung".into(),
    }
}

/// The results of all schedules that were run.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Report {
    /// One result per schedule, in order of completion.
    #[serde(rename = "played")]
    pub results: Vec<ScheduleResult>,
}

impl Report {
    /// Reports whether all guarantees held.
    #[must_use]
    pub fn passed(&self) -> bool {
        self.results
            .iter()
            .all(|result| result.violations.is_empty())
    }

    /// Formats violations and counts as text.
    #[must_use]
    pub fn summary(&self) -> String {
        let mut text = String::new();
        let mut outcomes: BTreeMap<&str, u64> = BTreeMap::new();
        let mut check_counts: BTreeMap<Guarantee, (u64, u64)> = BTreeMap::new();
        for result in &self.results {
            for (outcome, count) in &result.outcomes {
                *outcomes.entry(outcome).or_default() += count;
            }
            for (guarantee, count) in &result.check_counts {
                check_counts.entry(*guarantee).or_default().0 += count;
            }
            for violation in &result.violations {
                check_counts.entry(violation.guarantee).or_default().1 += 1;
                let seed = result.schedule.seed;
                let _ = writeln!(
                    text,
                    "seed {seed}: {:?}: {}",
                    violation.guarantee, violation.details
                );
            }
        }
        let _ = writeln!(text, "{} schedules", self.results.len());
        for (outcome, count) in outcomes {
            let _ = writeln!(text, "  {count:>8} {outcome}");
        }
        for (guarantee, (count, violated)) in check_counts {
            let _ = writeln!(text, "  {guarantee:?}: checked {count}, broken {violated}");
        }
        text
    }
}
