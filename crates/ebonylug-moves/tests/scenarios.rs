//! Statistics of complete moves over many seeds, compared with the required bounds on exposure,
//! false rollbacks and missed deadlines.
//!
//! The window of a move is four minutes, much shorter than in practice, so that the time to detect
//! a bad version is a large part of it.
#![allow(missing_docs)]

mod common;

use common::{Burst, Case, CaseResult, ColdStart, Onset, run_seeds};
use ebonylug_moves::{MoveReason, Phase};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Maximum fraction of the traffic that may go to a bad version before it is detectable.
const MAX_EXPOSURE: f64 = 0.05;

fn bursts(rng: &mut ChaCha8Rng, window: f64) -> Vec<Burst> {
    let count = rng.random_range(2..6);
    let burst = |rng: &mut ChaCha8Rng| {
        let from = rng.random_range(0.0..window);
        Burst {
            from,
            to: from + rng.random_range(3.0..25.0),
            fail: rng.random_range(0.05..0.9),
            slow: rng.random_range(0.2..0.95),
        }
    };
    (0..count).map(|_| burst(rng)).collect()
}

fn cold_starts(rng: &mut ChaCha8Rng, window: f64) -> Vec<ColdStart> {
    let second = rng.random_range(0.2..0.9) * window;
    vec![
        ColdStart {
            from: 0.0,
            to: 20.0,
            fraction: 1.0,
            mark_delay: 0.0,
        },
        // One of three targets becomes cold, and its responses are marked only after one second.
        ColdStart {
            from: second,
            to: second + 15.0,
            fraction: 0.33,
            mark_delay: 1.0,
        },
    ]
}

fn outage(rng: &mut ChaCha8Rng, window: f64) -> Option<(f64, f64)> {
    // Half the length of the ramp: at the start, twice in the middle, or across the deadline.
    let half = 0.2 * window;
    let from = [0.0, 0.3, 0.45, 0.9][rng.random_range(0..4)] * window;
    Some((from, from + half))
}

fn count(results: &[CaseResult], predicate: impl Fn(&CaseResult) -> bool) -> usize {
    results.iter().filter(|result| predicate(result)).count()
}

fn check_good(name: &str, results: &[CaseResult]) {
    let full = count(results, |r| r.full);
    let rolled_back = count(results, CaseResult::any_rolled_back);
    let written = count(results, |r| {
        r.stored
            .as_ref()
            .is_some_and(|status| status.phase == Phase::Done)
    });
    let all = results.len();
    for (seed, result) in results.iter().enumerate() {
        if let Some((time, cause)) = &result.cause {
            println!("{name}: seed {seed} rolled back after {time} s: {cause:?}");
        }
    }
    println!(
        "{name}: {full}/{all} full at the deadline, {written} written done, {rolled_back} rolled back"
    );
    assert!(
        !results.iter().any(|r| r.unfenced),
        "{name}: status written without lease or store"
    );
    // Required: fewer than 1 % false rollbacks; all other moves are done by the deadline.
    assert!(
        rolled_back * 100 < all,
        "{name}: {rolled_back} false rollbacks"
    );
    assert_eq!(full + rolled_back, all, "{name}: deadline missed");
    assert_eq!(
        written + rolled_back,
        all,
        "{name}: final status not written"
    );
}

fn check_bad(name: &str, results: &[CaseResult]) {
    let all = results.len();
    let rolled_back = count(results, CaseResult::rolled_back);
    let late: u64 = results.iter().map(|r| r.late).sum();
    let worst = results.iter().map(CaseResult::exposure).fold(0.0, f64::max);
    let mean = results.iter().map(CaseResult::exposure).sum::<f64>() / all as f64;
    let mut delays: Vec<f64> = results.iter().filter_map(|r| r.detection_delay).collect();
    delays.sort_by(f64::total_cmp);
    let median = delays.get(delays.len() / 2).copied().unwrap_or(f64::NAN);
    let slowest = delays.last().copied().unwrap_or(f64::NAN);
    println!(
        "{name}: {rolled_back}/{all} rolled back, exposed {:.2} % mean {:.2} % worst, {late} requests \
         later than 3 s, detectable after {median:.1} s median {slowest:.1} s worst",
        mean * 100.0,
        worst * 100.0,
    );
    let raised = count(results, |r| r.raised);
    assert_eq!(raised, 0, "{name}: a share rose after a rollback");
    assert_eq!(rolled_back, all, "{name}: not rolled back");
    assert_eq!(
        late, 0,
        "{name}: traffic more than 3 s after the bad version is detectable"
    );
    assert!(
        worst <= MAX_EXPOSURE,
        "{name}: {worst} of the traffic exposed"
    );
}

/// Guards against a good version that misses its deadline because of the schedule, a false positive
/// of the comparison, or an outage of the store.
#[test]
fn good_versions_finish_in_time() {
    let plain = run_seeds(500, |_| Case::default());
    check_good("good", &plain);
    let down = run_seeds(500, |rng| Case {
        outage: outage(rng, 240.0),
        ..Case::default()
    });
    check_good("good, store down for half the ramp", &down);
}

/// Guards against rollbacks of a good version because of a burst, a cold start or a crash, alone
/// and in combination.
#[test]
fn bursts_and_cold_starts_are_tolerated() {
    let burst = run_seeds(500, |rng| Case {
        bursts: bursts(rng, 240.0),
        ..Case::default()
    });
    check_good("good, bursts", &burst);
    let cold = run_seeds(150, |rng| Case {
        cold_starts: cold_starts(rng, 240.0),
        ..Case::default()
    });
    check_good("good, cold starts", &cold);
    let both = run_seeds(500, |rng| Case {
        bursts: bursts(rng, 240.0),
        cold_starts: cold_starts(rng, 240.0),
        outage: outage(rng, 240.0),
        crash: Some((rng.random_range(20..200).into(), 12)),
        ..Case::default()
    });
    check_good("good, bursts, cold starts, a crash and an outage", &both);
}

struct BadVersion {
    name: &'static str,
    onset: fn(&mut ChaCha8Rng) -> Onset,
    fail: f64,
    slow: f64,
    routes: usize,
    route: Option<usize>,
}

const BAD_VERSIONS: &[BadVersion] = &[
    BadVersion {
        name: "bad at once, all fail",
        onset: |_| Onset::At(0.0),
        fail: 1.0,
        slow: 0.05,
        routes: 1,
        route: None,
    },
    BadVersion {
        name: "bad at once, a third fail",
        onset: |_| Onset::At(0.0),
        fail: 0.33,
        slow: 0.05,
        routes: 1,
        route: None,
    },
    BadVersion {
        name: "bad at once, slow",
        onset: |_| Onset::At(0.0),
        fail: 0.01,
        slow: 0.7,
        routes: 1,
        route: None,
    },
    BadVersion {
        name: "bad late, all fail",
        onset: |rng| Onset::At(rng.random_range(60.0..225.0)),
        fail: 1.0,
        slow: 0.05,
        routes: 1,
        route: None,
    },
    BadVersion {
        name: "bad late, a third fail",
        onset: |rng| Onset::At(rng.random_range(60.0..215.0)),
        fail: 0.33,
        slow: 0.05,
        routes: 1,
        route: None,
    },
    BadVersion {
        name: "bad late, slow",
        onset: |rng| Onset::At(rng.random_range(60.0..215.0)),
        fail: 0.01,
        slow: 0.7,
        routes: 1,
        route: None,
    },
    BadVersion {
        name: "bad under load, half fail",
        onset: |rng| Onset::AboveShare(rng.random_range(0.1..0.9)),
        fail: 0.5,
        slow: 0.05,
        routes: 1,
        route: None,
    },
    BadVersion {
        name: "bad on one route of three",
        onset: |_| Onset::At(0.0),
        fail: 0.6,
        slow: 0.05,
        routes: 3,
        route: Some(2),
    },
    BadVersion {
        name: "bad late on one route of three",
        onset: |rng| Onset::At(rng.random_range(60.0..210.0)),
        fail: 0.6,
        slow: 0.05,
        routes: 3,
        route: Some(1),
    },
];

impl BadVersion {
    fn case(&self, rng: &mut ChaCha8Rng) -> Case {
        Case {
            onset: (self.onset)(rng),
            bad_fail: self.fail,
            bad_slow: self.slow,
            routes: self.routes,
            bad_route: self.route,
            ..Case::default()
        }
    }
}

/// Guards against bad versions that are not rolled back, or too late.
#[test]
fn bad_versions_are_rolled_back() {
    for bad in BAD_VERSIONS {
        let results = run_seeds(40, |rng| bad.case(rng));
        check_bad(bad.name, &results);
        let written = count(&results, |r| {
            r.stored
                .as_ref()
                .is_some_and(|status| status.phase == Phase::RolledBack)
        });
        assert_eq!(written, results.len(), "{}: rollback not written", bad.name);
    }
}

/// Guards against a rollback that depends on the store or on the lease: a bad version during an
/// outage of the store.
#[test]
fn bad_versions_are_rolled_back_while_the_store_is_down() {
    for bad in BAD_VERSIONS {
        let results = run_seeds(15, |rng| Case {
            outage: Some((0.0, 1_000.0)),
            ..bad.case(rng)
        });
        check_bad(&format!("store down, {}", bad.name), &results);
        assert!(results.iter().all(|r| r.stored.is_none()));
    }
}

/// Guards against a restart that loses a rollback and routes traffic to a bad version again.
#[test]
fn a_restarted_entry_keeps_a_rollback() {
    let results = run_seeds(40, |rng| Case {
        restart: Some(rng.random_range(10..235).into()),
        ..BAD_VERSIONS[0].case(rng)
    });
    check_bad("restart, bad at once", &results);
    let results = run_seeds(40, |rng| Case {
        restart: Some(rng.random_range(10..235).into()),
        outage: outage(rng, 240.0),
        ..Case::default()
    });
    check_good("restart and store down, good", &results);
}

/// Guards against moves of routes with little traffic that are refused or miss their deadline: they
/// proceed without a result of the comparison, and the reason is recorded.
#[test]
fn a_low_traffic_route_proceeds_and_records_the_reason() {
    let results = run_seeds(40, |_| Case {
        rate: 0.1,
        ..Case::default()
    });
    check_good("low traffic", &results);
    let recorded = count(&results, |r| r.has(MoveReason::TooLittleTraffic));
    assert_eq!(recorded, results.len());
}
