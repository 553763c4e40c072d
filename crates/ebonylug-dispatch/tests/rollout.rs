//! Moves of a service to another version, at several entries.

use std::time::{Duration, SystemTime};

use ebonylug_core::{Incarnation, Name};
use ebonylug_dispatch::{Rollout, Stage, VersionFilter};
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

/// Simulates a move with 3 requests per step. Entries exchange messages every 100 ms if `connected`,
/// and never otherwise.
fn simulate(behaviour: Behaviour, connected: bool) -> Simulation {
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
            let (rollout, evidence) = &mut entries[(step as usize + request) % ENTRIES as usize];
            total_requests += 1;
            match rollout.choose_versions(false) {
                VersionFilter::Only(_) => {
                    new_requests += 1;
                    if fiftieth_bad.is_some_and(|time| now > time + Duration::from_secs(5)) {
                        late_requests += 1;
                    }
                    let sample = behaviour(progress, draw);
                    if !sample.success || sample.slow {
                        bad += 1;
                        if bad == 50 {
                            fiftieth_bad = Some(now);
                        }
                    }
                    rollout.record(now, evidence, "v2", sample);
                }
                VersionFilter::All | VersionFilter::Except(_) => {
                    let good = draw >= 2;
                    let sample = if good {
                        Sample::success()
                    } else {
                        Sample::failure()
                    };
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
