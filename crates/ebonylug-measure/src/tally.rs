//! What callers and engines see of a case, and the measures that follow from it.

use std::collections::{BTreeMap, HashSet};

use ebonylug_core::{AttemptId, Reason, Repeat};
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::deployment::Deployment;
use crate::engine::{BLOCK, Ended, SECOND};
use crate::workload::Job;

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Conclusion {
    /// The whole answer arrived.
    Answered,
    /// The request was refused as not run.
    Refused(Reason),
    /// The request ran and failed.
    Failed,
    /// It is not known whether the request ran.
    Unknown,
    /// The entry died with the request.
    Broken,
}

/// Whether a request is inside a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Run {
    /// It was never started, or may be resumed after preemption.
    #[default]
    Open,
    /// It was started.
    Started,
}

/// What is recorded of one request.
#[derive(Clone, Debug, Default)]
pub struct Record {
    run: Run,
    ever: bool,
    twice: u32,
    computed: f64,
    first: Option<u64>,
    end: Option<(u64, Conclusion)>,
    beside_batch: bool,
}

/// Records the facts of a case.
#[derive(Clone, Debug)]
pub struct Tally {
    records: Vec<Record>,
    started: HashSet<AttemptId>,
    refused_runs: u64,
    extra_conclusions: u64,
    preemptions: u64,
    /// The number of batch streams inside all targets.
    pub batch_running: usize,
}

impl Tally {
    /// Creates the records of `jobs` requests.
    #[must_use]
    pub fn new(jobs: usize) -> Self {
        Tally {
            records: vec![Record::default(); jobs],
            started: HashSet::new(),
            refused_runs: 0,
            extra_conclusions: 0,
            preemptions: 0,
            batch_running: 0,
        }
    }

    /// Adds the record of one more request, for a caller that sends again.
    pub fn add(&mut self) {
        self.records.push(Record::default());
    }

    /// Records that a target took an attempt in.
    pub fn started(&mut self, job: usize, attempt: AttemptId, batch: bool) {
        let record = &mut self.records[job];
        if record.run == Run::Started {
            record.twice += 1;
        }
        record.run = Run::Started;
        record.ever = true;
        self.started.insert(attempt);
        self.batch_running += usize::from(batch);
    }

    /// Records that an attempt left its target. Only a preempted one may be run on elsewhere.
    pub fn stopped(&mut self, job: usize, ended: &Ended, preempted: bool) {
        let record = &mut self.records[job];
        record.computed += ended.computed;
        if preempted {
            record.run = Run::Open;
            self.preemptions += 1;
        }
        self.batch_running -= usize::from(ended.batch);
    }

    /// Records that an entry took an attempt for refused as not run.
    pub fn refused(&mut self, attempt: AttemptId) {
        self.refused_runs += u64::from(self.started.contains(&attempt));
    }

    /// Records that the first token of a request reached its entry.
    pub fn first_token(&mut self, job: usize, at: u64) {
        self.records[job].first.get_or_insert(at);
    }

    /// Records what the caller was told. Returns false if it was told before.
    pub fn conclude(&mut self, job: usize, at: u64, conclusion: Conclusion) -> bool {
        let record = &mut self.records[job];
        if record.end.is_some() {
            self.extra_conclusions += 1;
            return false;
        }
        if let Conclusion::Refused(_) = conclusion {
            self.refused_runs += u64::from(record.ever);
        }
        record.end = Some((at, conclusion));
        record.beside_batch = self.batch_running > 0;
        true
    }

    /// Reports whether the caller was told how its request ended.
    #[must_use]
    pub fn is_concluded(&self, job: usize) -> bool {
        self.records[job].end.is_some()
    }

    /// Returns how a request ended.
    #[must_use]
    pub fn conclusion(&self, job: usize) -> Option<(u64, Conclusion)> {
        self.records[job].end
    }

    /// Computes the measures of the requests that arrived in `window`.
    #[must_use]
    pub fn measures(&self, deployment: &Deployment, jobs: &[Job], window: (u64, u64)) -> Measures {
        let mut measures = Measures {
            refused_runs: self.refused_runs,
            extra_conclusions: self.extra_conclusions,
            preemptions: self.preemptions,
            twice_orders: self.repeated_orders(deployment, jobs),
            ..Measures::default()
        };
        let mut needed = Needed::default();
        let mut fair = vec![0.0; deployment.organisations.len()];
        for (job, record) in jobs.iter().zip(&self.records) {
            measures.count(record);
            needed.count(job, record);
            let route = &deployment.routes[job.route];
            let in_time = record.in_time(job);
            let work = job.work(route);
            if let Some((end, _)) = record.end.filter(|_| in_time)
                && (window.0..window.1).contains(&end)
                && !route.service
            {
                if route.tier.is_interactive() {
                    measures.urgent_done += work;
                } else {
                    measures.batch_done += work;
                    fair[job.organisation] += job.tokens(route) as f64;
                }
            }
            let due = route.due == Some(1.0);
            if !due && !(window.0..window.1).contains(&job.at) {
                continue;
            }
            let tier = measures.tiers.entry(route.name).or_default();
            tier.count(job, record, job.tokens(route), in_time);
            let missed = !in_time;
            if route.tier.is_interactive() && route.tier.rank == 0 && missed && record.beside_batch
            {
                measures.missed_beside_batch += 1;
                let refused = matches!(record.end, Some((_, Conclusion::Refused(_))));
                measures.shed_beside_batch += u64::from(refused);
            }
        }
        measures.wasted = (needed.computed - needed.useful()).max(0.0);
        measures.computed = needed.computed;
        let weights = deployment.organisations.iter().map(|o| f64::from(o.weight));
        measures.fairness = jain(fair.iter().zip(weights).map(|(done, weight)| done / weight));
        measures
    }
}

impl Record {
    fn in_time(&self, job: &Job) -> bool {
        matches!(self.end, Some((at, Conclusion::Answered)) if at <= job.deadline)
    }
}

/// The measures of one case under one policy.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Measures {
    /// By route.
    pub tiers: BTreeMap<&'static str, Tier>,
    /// Work of interactive requests that were answered in time within the window.
    pub urgent_done: f64,
    /// Work of batch requests that were answered in time within the window.
    pub batch_done: f64,
    /// Requests of rank 0 that were shed or late while batch work ran.
    pub missed_beside_batch: u64,
    /// The part of these that was shed.
    pub shed_beside_batch: u64,
    /// Prompt tokens that were computed.
    pub computed: f64,
    /// The part that served no answer, or was computed before.
    pub wasted: f64,
    /// Attempts that were stopped to make room.
    pub preemptions: u64,
    /// Requests that were run again without having been preempted.
    pub twice: u64,
    /// The part of these that must not be repeated.
    pub twice_orders: u64,
    /// Requests whose caller was never told how they ended.
    pub lost: u64,
    /// Attempts and requests that were refused as not run although they ran.
    pub refused_runs: u64,
    /// Requests whose caller was told twice.
    pub extra_conclusions: u64,
    /// Jain's index over the weighted batch tokens of the organisations.
    pub fairness: f64,
    /// The highest excess of streams at a cold target.
    pub cold_excess: usize,
    /// Crashes of targets that were not planned.
    pub crashes: u64,
    /// How requests ended.
    pub conclusions: BTreeMap<String, u64>,
}

impl Measures {
    fn count(&mut self, record: &Record) {
        self.twice += u64::from(record.twice > 0);
        match record.end {
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

/// The measures of one route.
#[derive(Clone, Debug, Serialize)]
pub struct Tier {
    /// Requests that arrived.
    pub offered: u64,
    /// Requests that were answered in time.
    pub good: u64,
    /// Tokens that were offered.
    pub offered_tokens: u64,
    /// Tokens of requests that were answered in time.
    pub good_tokens: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// Requests that were answered too late.
    pub late: u64,
    /// Requests that failed or whose outcome is unknown.
    pub failed: u64,
    /// Times to the first token in milliseconds.
    #[serde(serialize_with = "quantiles")]
    pub first: Histogram<u64>,
}

impl Default for Tier {
    fn default() -> Self {
        Tier {
            offered: 0,
            good: 0,
            offered_tokens: 0,
            good_tokens: 0,
            refused: 0,
            late: 0,
            failed: 0,
            // One millisecond to one hour.
            first: Histogram::new_with_bounds(1, 3_600_000, 3).expect("the bounds are valid"),
        }
    }
}

impl Tier {
    /// Returns the part of the offered tokens that was answered in time.
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
        match record.end {
            Some((_, Conclusion::Answered)) => self.late += u64::from(!in_time),
            Some((_, Conclusion::Refused(_))) => self.refused += 1,
            _ => self.failed += 1,
        }
        if let Some(first) = record.first {
            self.first
                .saturating_record((first - job.at) * 1_000 / SECOND);
        }
    }
}

/// Prompt tokens that have to be computed once for the answers that were given.
#[derive(Default)]
struct Needed {
    computed: f64,
    own: u64,
    shared: HashSet<u64>,
}

impl Needed {
    fn count(&mut self, job: &Job, record: &Record) {
        self.computed += record.computed;
        if let Some((_, Conclusion::Answered)) = record.end
            && record.computed > 0.0
        {
            self.own += job.own;
            self.shared.extend(&job.shared);
        }
    }

    fn useful(&self) -> f64 {
        (self.own + self.shared.len() as u64 * BLOCK) as f64
    }
}

impl Tally {
    /// Counts the calls that must not be repeated and ran more than once, be it as one request
    /// or as a request that was sent again with the same key.
    #[must_use]
    pub fn repeated_orders(&self, deployment: &Deployment, jobs: &[Job]) -> u64 {
        let mut runs: BTreeMap<u64, u32> = BTreeMap::new();
        for (job, record) in jobs.iter().zip(&self.records) {
            let route = &deployment.routes[job.route];
            if route.repeat == Repeat::No && record.ever {
                *runs.entry(job.content).or_default() += 1 + record.twice;
            }
        }
        runs.values().filter(|runs| **runs > 1).count() as u64
    }
}

/// Returns Jain's index: 1 if all values are equal, 1/n if one has everything.
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

fn quantiles<S: serde::Serializer>(first: &Histogram<u64>, to: S) -> Result<S::Ok, S::Error> {
    let millis = |quantile| first.value_at_quantile(quantile);
    BTreeMap::from([("p50_ms", millis(0.5)), ("p95_ms", millis(0.95))]).serialize(to)
}
