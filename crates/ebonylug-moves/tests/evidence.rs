//! Compares [`Evidence`] with a model that keeps all samples.
#![allow(missing_docs)]

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime};

use ebonylug_core::{Incarnation, Name};
use ebonylug_moves::{
    Bucket, Counts, Evidence, LatencyThresholds, MAX_BUCKETS, MAX_SERIES, Sample,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const PROCESSES: u64 = 3;

/// An operation on the evidence of one process.
#[derive(Clone, Debug)]
enum Op {
    /// Records a sample: process, whether the version is the new one, whether the route is the
    /// second one, seconds, and the sample.
    Record(u64, bool, bool, u64, Sample),
    /// Sends all evidence: sender, receiver, and whether the message is delayed until the end.
    Send(usize, usize, bool),
    /// Serializes and deserializes the evidence of a process.
    Serialize(usize),
}

fn sample() -> impl Strategy<Value = Sample> {
    (any::<[bool; 4]>(), 0..5_000u64).prop_map(|([success, slow, cold, overload], ms)| {
        let sample = if success {
            Sample::success()
        } else {
            Sample::failure()
        };
        let thresholds = slow.then_some(LatencyThresholds {
            ttft: Duration::from_millis(1),
            token_interval: Duration::from_millis(1),
        });
        let ttft = Duration::from_millis(ms);
        sample
            .with_latency(ttft, None, thresholds)
            .cold(cold)
            .overload(overload)
    })
}

fn op() -> impl Strategy<Value = Op> {
    let n = PROCESSES as usize;
    prop_oneof![
        6 => (0..PROCESSES, any::<bool>(), any::<bool>(), 0..60u64, sample())
            .prop_map(|(p, v, r, t, s)| Op::Record(p, v, r, t, s)),
        3 => (0..n, 0..n, any::<bool>()).prop_map(|(a, b, delayed)| Op::Send(a, b, delayed)),
        1 => (0..n).prop_map(Op::Serialize),
    ]
}

type Samples = BTreeMap<(bool, bool, u64), Vec<Sample>>;

fn time(seconds: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(1_000 + seconds)
}

fn version(new: bool) -> Name {
    if new { "v2".into() } else { "v1".into() }
}

fn route(other: bool) -> Name {
    if other {
        "summaries".into()
    } else {
        "quotations".into()
    }
}

fn check_ops(ops: Vec<Op>) -> Result<(), TestCaseError> {
    let mut processes = vec![Evidence::default(); PROCESSES as usize];
    let mut delayed: Vec<(usize, Evidence)> = Vec::new();
    let mut samples_by_bucket = Samples::new();
    for op in ops {
        match op {
            Op::Record(process, v, r, t, sample) => {
                let id = Incarnation(process);
                processes[process as usize].record(time(t), id, version(v), route(r), sample);
                samples_by_bucket
                    .entry((v, r, Bucket::of(time(t)).0))
                    .or_default()
                    .push(sample);
            }
            Op::Send(from, to, true) => delayed.push((to, processes[from].clone())),
            Op::Send(from, to, false) => {
                let message = processes[from].clone();
                processes[to].merge(&message);
                processes[to].merge(&message);
            }
            Op::Serialize(at) => {
                let text = serde_json::to_string(&processes[at]).expect("evidence is serializable");
                let read: Evidence =
                    serde_json::from_str(&text).expect("serialized evidence is readable");
                prop_assert_eq!(&read, &processes[at]);
                processes[at] = read;
            }
        }
    }
    for (to, message) in delayed.into_iter().rev() {
        processes[to].merge(&message);
    }
    // Merging the evidence of all processes in any order gives the sum of all samples.
    let mut forward = Evidence::default();
    processes.iter().for_each(|part| forward.merge(part));
    let mut backward = Evidence::default();
    processes
        .iter()
        .rev()
        .for_each(|part| backward.merge(&part.since(Bucket(0), None)));
    prop_assert_eq!(&forward, &backward);
    for ((v, r, bucket), samples) in &samples_by_bucket {
        let mut expected = Counts::default();
        samples.iter().for_each(|sample| expected.add(*sample));
        let total = forward.total(&version(*v), &route(*r), Bucket(*bucket));
        prop_assert_eq!(total, expected);
    }
    let buckets: usize = [(false, false), (false, true), (true, false), (true, true)]
        .iter()
        .map(|(v, r)| forward.totals(&version(*v), &route(*r), Bucket(0)).count())
        .sum();
    prop_assert_eq!(buckets, samples_by_bucket.len());
    Ok(())
}

/// Guards against counters that change when messages are duplicated, delayed or reordered.
#[test]
fn merging_equals_counting_all_samples() {
    let config = Config {
        cases: 300,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let ops = proptest::collection::vec(op(), 1..80);
    runner
        .run(&ops, check_ops)
        .expect("evidence agrees with the model");
}

/// Guards against responses and overload of cold targets that count against their version, and
/// against other failures of cold targets that are not counted.
#[test]
fn cold_responses_are_excluded() {
    let table = [
        (Sample::success(), [1, 0, 0, 0]),
        (Sample::success().slow(true), [1, 0, 1, 0]),
        (Sample::failure(), [0, 1, 0, 0]),
        (Sample::failure().overload(true), [0, 1, 0, 0]),
        (Sample::success().slow(true).cold(true), [0, 0, 0, 1]),
        (Sample::failure().overload(true).cold(true), [0, 0, 0, 1]),
        (Sample::failure().cold(true), [0, 1, 0, 0]),
    ];
    for (sample, expected) in table {
        let mut counts = Counts::default();
        counts.add(sample);
        let found = [counts.successes, counts.failures, counts.slow, counts.cold];
        assert_eq!(found, expected, "{sample:?}");
    }
}

/// Guards against unbounded growth, and against totals that still include evicted counters.
#[test]
fn evidence_is_bounded() {
    let mut evidence = Evidence::default();
    let buckets = MAX_BUCKETS as u64;
    for n in 0..2 * buckets {
        evidence.record(time(2 * n), Incarnation(1), "v1", "r", Sample::success());
    }
    assert_eq!(evidence.size(), (1, MAX_BUCKETS));
    let totals = evidence.totals(&"v1".into(), &"r".into(), Bucket(0));
    assert_eq!(
        totals.map(|(_, counts)| counts.successes).sum::<u64>(),
        buckets
    );
    for n in 0..2 * MAX_SERIES as u64 {
        let now = time(4 * buckets + 2 * n);
        evidence.record(now, Incarnation(100 + n), "v1", "r", Sample::success());
    }
    assert_eq!(evidence.size(), (MAX_SERIES, MAX_SERIES));
    let totals = evidence.totals(&"v1".into(), &"r".into(), Bucket(0));
    assert_eq!(totals.count(), MAX_SERIES);
}
