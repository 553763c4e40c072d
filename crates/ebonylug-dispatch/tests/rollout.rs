//! Moves of a service to another version, at several entries.

use std::time::{Duration, SystemTime};

use ebonylug_core::{Incarnation, Name};
use ebonylug_dispatch::{ResponseLatency, Rollout, Stage, VersionFilter, VersionLatencies};
use ebonylug_moves::{Evidence, Sample};

const TIME_LIMIT: Duration = Duration::from_secs(12);
const STEP: Duration = Duration::from_millis(20);
const ENTRIES: u64 = 4;

/// Behaviour of the new version: the response at `progress` of the window, for a random `draw` from 0 to
/// 99.
type Behaviour = fn(progress: f64, draw: u64) -> Sample;

struct Simulation {
    stage: Stage,
    total_requests: u64,
    /// Requests that reached the new version.
    new_requests: u64,
    /// Requests that reached the new version more than 5 s after its 50th bad response.
    late_requests: u64,
    /// Progress of the window at which the first entry reached a final stage.
    end_progress: f64,
}

/// Simulates a move to a version with this behaviour, from one that fails 2 in 100 requests.
fn simulate(behaviour: Behaviour, connected: bool) -> Simulation {
    let respond = |_: usize, is_new, progress, draw| {
        if is_new {
            behaviour(progress, draw)
        } else {
            good(progress, draw)
        }
    };
    simulate_with(respond, connected)
}

/// Simulates a move with 3 requests per step. `respond` returns the response that an entry gets, from the
/// new version or the old one, at this progress of the window and for this random number from 0 to 99.
/// Entries exchange messages every 100 ms if `connected`, and never otherwise.
fn simulate_with(
    mut respond: impl FnMut(usize, bool, f64, u64) -> Sample,
    connected: bool,
) -> Simulation {
    let start = SystemTime::UNIX_EPOCH + Duration::from_secs(100);
    let mut entries: Vec<(Rollout, Evidence)> = (1..=ENTRIES)
        .map(|process| {
            let service = Name::new("pool");
            let rollout = Rollout::new(service, "v2", start, TIME_LIMIT, Incarnation(process));
            (rollout, Evidence::default())
        })
        .collect();
    let (mut total_requests, mut new_requests, mut bad, mut late_requests) = (0, 0, 0, 0);
    let (mut fiftieth_bad, mut end_progress) = (None, f64::INFINITY);
    let mut random = 7_u64;
    let steps = TIME_LIMIT.as_millis() / STEP.as_millis();
    for step in 0..u32::try_from(steps).expect("few steps") {
        let now = start + STEP * step;
        let progress = f64::from(step) / steps as f64;
        for request in 0..3 {
            random = random
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            let draw = (random >> 33) % 100;
            let entry = (step as usize + request) % ENTRIES as usize;
            let (rollout, evidence) = &mut entries[entry];
            total_requests += 1;
            match rollout.choose_versions(false) {
                VersionFilter::Only(_) => {
                    new_requests += 1;
                    if fiftieth_bad.is_some_and(|time| now > time + Duration::from_secs(5)) {
                        late_requests += 1;
                    }
                    let sample = respond(entry, true, progress, draw);
                    if !sample.success || sample.slow {
                        bad += 1;
                        if bad == 50 {
                            fiftieth_bad = Some(now);
                        }
                    }
                    rollout.record(now, evidence, "v2", sample);
                }
                VersionFilter::All | VersionFilter::Except(_) => {
                    let sample = respond(entry, false, progress, draw);
                    rollout.record(now, evidence, "v1", sample);
                }
            }
        }
        if connected && step % 5 == 0 {
            let messages: Vec<(Stage, Evidence)> = entries
                .iter()
                .map(|(rollout, evidence)| (rollout.stage(), evidence.clone()))
                .collect();
            for (rollout, evidence) in &mut entries {
                for (stage, remote) in &messages {
                    rollout.apply_stage(*stage);
                    evidence.merge(remote);
                }
            }
        }
        for (rollout, evidence) in &mut entries {
            if rollout.tick(now, evidence).is_some_and(Stage::is_final) {
                end_progress = f64::min(end_progress, progress);
            }
        }
    }
    Simulation {
        stage: entries[0].0.stage(),
        total_requests,
        new_requests,
        late_requests,
        end_progress,
    }
}

fn good(_: f64, draw: u64) -> Sample {
    if draw >= 2 {
        Sample::success()
    } else {
        Sample::failure()
    }
}

/// Guards against a good version that is not completed within its time limit.
#[test]
fn a_good_version_is_completed_in_time() {
    let result = simulate(good, true);
    assert_eq!(result.stage, Stage::Completed);
    assert!(
        result.end_progress < 1.0,
        "ended at {}",
        result.end_progress
    );
}

/// Guards against a bad version that gets more than a tenth of the requests, or any requests more than 5 s
/// after its 50th bad response. It fails all requests, fails a third of them, is slow, or becomes bad late in
/// the window.
#[test]
fn a_bad_version_gets_few_requests_and_is_rolled_back() {
    let cases: [(&str, Behaviour); 4] = [
        ("at once", |_, _| Sample::failure()),
        ("a third fails", |_, draw| {
            if draw < 33 {
                Sample::failure()
            } else {
                Sample::success()
            }
        }),
        ("slow", |_, draw| Sample::success().slow(draw < 60)),
        ("late", |progress, draw| {
            if progress > 0.5 && draw < 50 {
                Sample::failure()
            } else {
                Sample::success()
            }
        }),
    ];
    for (name, behaviour) in cases {
        for connected in [true, false] {
            let result = simulate(behaviour, connected);
            assert!(
                result.new_requests as f64 <= 0.1 * result.total_requests as f64 + 50.0,
                "{name}: {}",
                result.new_requests
            );
            assert_eq!(result.late_requests, 0, "{name}");
            assert_ne!(result.stage, Stage::Completed, "{name}");
            if connected {
                assert_eq!(result.stage, Stage::RolledBack, "{name}");
            }
        }
    }
}

/// Returns the time between two events at a target of one of two speeds, which serve 60 and 40 in 100
/// requests. `draw` is a random number from 0 to 99.
fn interval(draw: u64) -> Duration {
    let variation = 0.8 + 0.004 * (draw * 37 % 100) as f64;
    let target = if draw < 60 { 16.0 } else { 41.0 };
    Duration::from_secs_f64(target * variation / 1e3)
}

/// Simulates a move in which the entries compare latencies. `new_interval` returns the time between two
/// events of the new version. All responses succeed and meet their objective.
fn simulate_latency(new_interval: impl Fn(u64) -> Duration) -> Simulation {
    let service = Name::new("pool");
    let latency = |interval| {
        let first = Duration::from_millis(100);
        ResponseLatency::of_stream(first, 500, Some(interval))
    };
    let mut entries: Vec<VersionLatencies> = Vec::new();
    for _ in 0..ENTRIES {
        // The first responses come from the faster targets only.
        let mut latencies = VersionLatencies::default();
        for draw in 0..100 {
            latencies.record_old(&service, latency(interval(draw)));
        }
        entries.push(latencies);
    }
    let respond = |entry: usize, is_new: bool, _, draw| {
        let interval = if is_new {
            new_interval(draw)
        } else {
            interval(draw)
        };
        let latency = latency(interval);
        let latencies: &mut VersionLatencies = &mut entries[entry];
        if !is_new {
            latencies.record_old(&service, latency);
        }
        let slow = latencies.is_slow(&service, latency);
        Sample::success().slow(slow.expect("enough responses of the old version"))
    };
    simulate_with(respond, true)
}

/// Guards against a version that is several times slower than the old one and is completed because its
/// responses meet their objective while the load is low.
#[test]
fn a_slow_version_that_meets_its_objectives_is_rolled_back() {
    for factor in [3, 4] {
        let result = simulate_latency(|draw| interval(draw) * factor);
        assert_eq!(result.stage, Stage::RolledBack, "x {factor}");
        assert_eq!(result.late_requests, 0, "x {factor}");
        let allowed = 0.1 * result.total_requests as f64 + 50.0;
        assert!(result.new_requests as f64 <= allowed, "x {factor}");
    }
}

/// Guards against a good version that is rolled back because all its targets are of the slower kind, or
/// because it is compared with the first responses of the old version only.
#[test]
fn a_good_version_on_slower_targets_is_completed() {
    let result = simulate_latency(|draw| interval(60 + draw * 2 / 5));
    assert_eq!(result.stage, Stage::Completed);
}

/// Guards against a move that continues after another entry has ended it.
#[test]
fn a_final_stage_is_never_left() {
    let start = SystemTime::UNIX_EPOCH;
    let mut rollout = Rollout::new("pool".into(), "v2", start, TIME_LIMIT, Incarnation(1));
    rollout.apply_stage(Stage::RolledBack);
    rollout.apply_stage(Stage::Completed);
    rollout.apply_stage(Stage::Trial);
    assert_eq!(rollout.stage(), Stage::RolledBack);
    assert_eq!(
        rollout.choose_versions(false),
        VersionFilter::Except("v2".into())
    );
}

/// Guards against a retry that is sent to a version on trial.
#[test]
fn a_retry_avoids_the_new_version() {
    let start = SystemTime::UNIX_EPOCH;
    let mut rollout = Rollout::new("pool".into(), "v2", start, TIME_LIMIT, Incarnation(1));
    for _ in 0..200 {
        assert_eq!(
            rollout.choose_versions(true),
            VersionFilter::Except("v2".into())
        );
    }
}

/// Guards against an entry that was cut off, completed a move by itself, and keeps to it although the others have
/// rolled it back, and against one that keeps to its rollback.
#[test]
fn a_final_stage_that_one_entry_has_reached_alone_does_not_stay() {
    use Stage::{Completed, RolledBack, Switching, Trial};
    let start = SystemTime::UNIX_EPOCH + Duration::from_secs(100);
    // The stages before, from other entries and from the store, and the result.
    for (own, heard, stored, expected) in [
        (Switching, RolledBack, None, RolledBack),
        (Completed, RolledBack, None, RolledBack),
        (Completed, Trial, None, Completed),
        (Completed, Switching, None, Completed),
        (RolledBack, Completed, None, RolledBack),
        (RolledBack, Completed, Some(Completed), Completed),
        (Completed, Completed, Some(RolledBack), RolledBack),
        (Completed, RolledBack, Some(Completed), Completed),
        (RolledBack, RolledBack, Some(Trial), RolledBack),
    ] {
        let mut rollout = Rollout::new("pool".into(), "v2", start, TIME_LIMIT, Incarnation(1));
        rollout.apply_stage(own);
        rollout.apply_stage(heard);
        if let Some(stored) = stored {
            rollout.settle_stage(stored);
            // What the store has decided, no entry changes.
            for late in [RolledBack, Completed, Switching, Trial] {
                if stored.is_final() {
                    rollout.apply_stage(late);
                }
            }
        }
        assert_eq!(rollout.stage(), expected, "{own:?}, {heard:?}, {stored:?}");
    }
}
