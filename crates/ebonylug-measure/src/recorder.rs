//! Records what callers and engines observe in a case, and computes the measures from it.

use std::collections::{BTreeMap, HashSet};

use ebonylug_core::{AttemptId, Reason, Repeat};
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::deployment::Deployment;
use crate::engine::{BLOCK_TOKENS, EndedAttempt, SECOND};
use crate::workload::Job;

/// Outcome of a request for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Conclusion {
    /// The complete response arrived.
    Answered,
    /// The request was refused and reported as not run.
    Refused(Reason),
    /// The request failed and may have run.
    Failed,
    /// It is unknown whether the request ran.
    Unknown,
    /// The entry crashed before the request ended.
    Broken,
}

/// Whether another start of the request counts as a rerun.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum RunState {
    /// It has not been started, or may be resumed after preemption.
    #[default]
    Runnable,
    /// It has been started and was not preempted since.
    Started,
}

/// The recorded facts of one request.
#[derive(Clone, Debug, Default)]
pub struct Record {
    state: RunState,
    was_started: bool,
    reruns: u32,
    /// Prompt tokens computed by all attempts.
    computed: f64,
    first_token: Option<u64>,
    conclusion: Option<(u64, Conclusion)>,
    /// Whether batch streams ran at the time of the conclusion.
    during_batch: bool,
}

/// Records the facts of a case, independently of the policy.
#[derive(Clone, Debug)]
pub struct Recorder {
    records: Vec<Record>,
    started: HashSet<AttemptId>,
    refused_runs: u64,
    extra_conclusions: u64,
    preemptions: u64,
    /// Number of batch streams inside all targets.
    pub batch_running: usize,
}

impl Recorder {
    /// Creates the records for `jobs` requests.
    #[must_use]
    pub fn new(jobs: usize) -> Self {
        Recorder {
            records: vec![Record::default(); jobs],
            started: HashSet::new(),
            refused_runs: 0,
            extra_conclusions: 0,
            preemptions: 0,
            batch_running: 0,
        }
    }

    /// Adds a record for a request that a caller retries.
    pub fn add_request(&mut self) {
        self.records.push(Record::default());
    }

    /// Records that a target started an attempt.
    pub fn record_start(&mut self, job: usize, attempt: AttemptId, batch: bool) {
        let record = &mut self.records[job];
        if record.state == RunState::Started {
            record.reruns += 1;
        }
        record.state = RunState::Started;
        record.was_started = true;
        self.started.insert(attempt);
        self.batch_running += usize::from(batch);
    }

    /// Records that an attempt left its target. Only a preempted request may be resumed elsewhere.
    pub fn record_stop(&mut self, job: usize, ended: &EndedAttempt, preempted: bool) {
        let record = &mut self.records[job];
        record.computed += ended.computed;
        if preempted {
            record.state = RunState::Runnable;
            self.preemptions += 1;
        }
        self.batch_running -= usize::from(ended.batch);
    }

    /// Records that an entry treats an attempt as refused and not run.
    pub fn record_refusal(&mut self, attempt: AttemptId) {
        self.refused_runs += u64::from(self.started.contains(&attempt));
    }

    /// Records the time at which the first token of a request reached its entry.
    pub fn record_first_token(&mut self, job: usize, at: u64) {
        self.records[job].first_token.get_or_insert(at);
    }

    /// Records the conclusion of a request. Returns false if the request was concluded before.
    pub fn conclude(&mut self, job: usize, at: u64, conclusion: Conclusion) -> bool {
        let record = &mut self.records[job];
        if record.conclusion.is_some() {
            self.extra_conclusions += 1;
            return false;
        }
        if let Conclusion::Refused(_) = conclusion {
            self.refused_runs += u64::from(record.was_started);
        }
        record.conclusion = Some((at, conclusion));
        record.during_batch = self.batch_running > 0;
        true
    }

    /// Reports whether a request has a conclusion.
    #[must_use]
    pub fn is_concluded(&self, job: usize) -> bool {
        self.records[job].conclusion.is_some()
    }

    /// Returns the time and kind of the conclusion of a request.
    #[must_use]
    pub fn conclusion(&self, job: usize) -> Option<(u64, Conclusion)> {
        self.records[job].conclusion
    }

    /// Computes the measures of the requests that arrived in `window`, and the work done in it.
    #[must_use]
    pub fn measures(&self, deployment: &Deployment, jobs: &[Job], window: (u64, u64)) -> Measures {
        let mut measures = Measures {
            refused_runs: self.refused_runs,
            extra_conclusions: self.extra_conclusions,
            preemptions: self.preemptions,
            rerun_orders: self.count_rerun_orders(deployment, jobs),
            ..Measures::default()
        };
        let mut required = RequiredPrefill::default();
        let mut batch_tokens = vec![0.0; deployment.organisations.len()];
        for (job, record) in jobs.iter().zip(&self.records) {
            measures.count(record);
            required.count(job, record);
            let route = &deployment.routes[job.route];
            let in_time = record.in_time(job);
            let work = job.work(route);
            if let Some((end, _)) = record.conclusion.filter(|_| in_time)
                && (window.0..window.1).contains(&end)
                && !route.service
            {
                if route.tier.is_interactive() {
                    measures.urgent_done += work;
                } else {
                    measures.batch_done += work;
                    batch_tokens[job.organisation] += job.tokens(route) as f64;
                }
            }
            // Requests that are due at the end of the case count even if they arrive before the window.
            let due_at_end = route.due == Some(1.0);
            if !due_at_end && !(window.0..window.1).contains(&job.arrival) {
                continue;
            }
            let tier = measures.tiers.entry(route.name).or_default();
            tier.count(job, record, job.tokens(route), in_time);
            let missed = !in_time;
            if route.tier.is_interactive() && route.tier.rank == 0 && missed && record.during_batch
            {
                measures.missed_during_batch += 1;
                let refused = matches!(record.conclusion, Some((_, Conclusion::Refused(_))));
                measures.shed_during_batch += u64::from(refused);
            }
        }
        measures.wasted = (required.computed - required.tokens()).max(0.0);
        measures.computed = required.computed;
        let weights = deployment.organisations.iter().map(|o| f64::from(o.weight));
        measures.fairness = jain(
            batch_tokens
                .iter()
                .zip(weights)
                .map(|(done, weight)| done / weight),
        );
        measures
    }
}

impl Record {
    fn in_time(&self, job: &Job) -> bool {
        matches!(self.conclusion, Some((at, Conclusion::Answered)) if at <= job.deadline)
    }
}

/// Measures of one case under one policy.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Measures {
    /// Measures by name of the route.
    pub tiers: BTreeMap<&'static str, RouteMeasures>,
    /// Work of interactive requests that were answered in time within the window, in seconds of an
    /// engine with speed factor 1.
    pub urgent_done: f64,
    /// Work of batch requests that were answered in time within the window, in the same unit.
    pub batch_done: f64,
    /// Interactive requests of rank 0 that were shed or late while batch work ran.
    #[serde(rename = "missed_beside_batch")]
    pub missed_during_batch: u64,
    /// The requests among these that were shed.
    #[serde(rename = "shed_beside_batch")]
    pub shed_during_batch: u64,
    /// Prompt tokens that were computed.
    pub computed: f64,
    /// Computed prompt tokens that contributed to no response or were recomputed.
    pub wasted: f64,
    /// Attempts that were preempted.
    pub preemptions: u64,
    /// Requests that ran again without having been preempted.
    #[serde(rename = "twice")]
    pub reruns: u64,
    /// Calls that must not be repeated but ran more than once.
    #[serde(rename = "twice_orders")]
    pub rerun_orders: u64,
    /// Requests without a conclusion.
    pub lost: u64,
    /// Attempts and requests that were refused as not run although they had run.
    pub refused_runs: u64,
    /// Conclusions beyond the first one of a request.
    pub extra_conclusions: u64,
    /// Jain's fairness index over the weighted batch tokens of the organisations.
    pub fairness: f64,
    /// Highest number of streams above the limit of a cold target.
    pub cold_excess: usize,
    /// Number of target crashes that no fault injected.
    pub crashes: u64,
    /// Number of requests by conclusion.
    pub conclusions: BTreeMap<String, u64>,
}

impl Measures {
    fn count(&mut self, record: &Record) {
        self.reruns += u64::from(record.reruns > 0);
        match record.conclusion {
            None => self.lost += 1,
            Some((_, conclusion)) => {
                let name = match conclusion {
                    Conclusion::Refused(reason) => format!("refused {reason:?}").to_lowercase(),
                    other => format!("{other:?}").to_lowercase(),
                };
                *self.conclusions.entry(name).or_default() += 1;
            }
        }
    }
}

/// Measures of one route.
#[derive(Clone, Debug, Serialize)]
pub struct RouteMeasures {
    /// Requests that arrived.
    pub offered: u64,
    /// Requests that were answered in time.
    pub good: u64,
    /// Tokens of the requests that arrived.
    pub offered_tokens: u64,
    /// Tokens of the requests that were answered in time.
    pub good_tokens: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// Requests that were answered after their deadline.
    pub late: u64,
    /// Requests that failed or whose outcome is unknown.
    pub failed: u64,
    /// Times to the first token in milliseconds.
    #[serde(rename = "first", serialize_with = "quantiles")]
    pub ttft_ms: Histogram<u64>,
}

impl Default for RouteMeasures {
    fn default() -> Self {
        RouteMeasures {
            offered: 0,
            good: 0,
            offered_tokens: 0,
            good_tokens: 0,
            refused: 0,
            late: 0,
            failed: 0,
            // One millisecond to one hour.
            ttft_ms: Histogram::new_with_bounds(1, 3_600_000, 3).expect("the bounds are valid"),
        }
    }
}

impl RouteMeasures {
    /// Returns the fraction of the offered tokens that was answered in time; 1 without offered
    /// tokens.
    #[must_use]
    pub fn goodput(&self) -> f64 {
        if self.offered_tokens == 0 {
            return 1.0;
        }
        self.good_tokens as f64 / self.offered_tokens as f64
    }

    fn count(&mut self, job: &Job, record: &Record, tokens: u64, in_time: bool) {
        self.offered += 1;
        self.offered_tokens += tokens;
        if in_time {
            self.good += 1;
            self.good_tokens += tokens;
        }
        match record.conclusion {
            Some((_, Conclusion::Answered)) => self.late += u64::from(!in_time),
            Some((_, Conclusion::Refused(_))) => self.refused += 1,
            _ => self.failed += 1,
        }
        if let Some(first) = record.first_token {
            self.ttft_ms
                .saturating_record((first - job.arrival) * 1_000 / SECOND);
        }
    }
}

/// Prompt tokens that must be computed once for the responses that were given.
#[derive(Default)]
struct RequiredPrefill {
    computed: f64,
    own_tokens: u64,
    shared_blocks: HashSet<u64>,
}

impl RequiredPrefill {
    fn count(&mut self, job: &Job, record: &Record) {
        self.computed += record.computed;
        if let Some((_, Conclusion::Answered)) = record.conclusion
            && record.computed > 0.0
        {
            self.own_tokens += job.own_tokens;
            self.shared_blocks.extend(&job.shared_blocks);
        }
    }

    fn tokens(&self) -> f64 {
        (self.own_tokens + self.shared_blocks.len() as u64 * BLOCK_TOKENS) as f64
    }
}

impl Recorder {
    /// Counts the calls that must not be repeated but ran more than once, either within one request
    /// or through a retry by the caller with the same key.
    #[must_use]
    pub fn count_rerun_orders(&self, deployment: &Deployment, jobs: &[Job]) -> u64 {
        let mut runs: BTreeMap<u64, u32> = BTreeMap::new();
        for (job, record) in jobs.iter().zip(&self.records) {
            let route = &deployment.routes[job.route];
            if route.repeat == Repeat::No && record.was_started {
                *runs.entry(job.fingerprint).or_default() += 1 + record.reruns;
            }
        }
        runs.values().filter(|runs| **runs > 1).count() as u64
    }
}

/// Returns Jain's fairness index: 1 if all values are equal, 1/n if one value has the whole sum.
#[must_use]
pub fn jain(values: impl Iterator<Item = f64>) -> f64 {
    let (mut count, mut sum, mut squares) = (0.0, 0.0, 0.0);
    for value in values {
        count += 1.0;
        sum += value;
        squares += value * value;
    }
    if squares == 0.0 {
        return 1.0;
    }
    sum * sum / (count * squares)
}

fn quantiles<S: serde::Serializer>(ttft: &Histogram<u64>, to: S) -> Result<S::Ok, S::Error> {
    let millis = |quantile| ttft.value_at_quantile(quantile);
    BTreeMap::from([("p50_ms", millis(0.5)), ("p95_ms", millis(0.95))]).serialize(to)
}
