//! Moves of a service to another version, at several entries.

use std::time::{Duration, SystemTime};

use ebonylug_core::{Incarnation, Name};
use ebonylug_dispatch::{Rollout, Stage, VersionFilter};
use ebonylug_moves::{Evidence, Sample};

const LENGTH: Duration = Duration::from_secs(12);
const STEP: Duration = Duration::from_millis(20);
const ENTRIES: u64 = 4;

/// Behaviour of the new version: the response at `progress` of the window, for a random `draw` from 0 to
/// 99.
type Behaviour = fn(progress: f64, draw: u64) -> Sample;

struct Simulation {
    stage: Stage,
    all: u64,
    new: u64,
    /// Requests that reached the new version more than 5 s after its 50th bad response.
    late: u64,
    ended: f64,
}

/// Simulates a move with 3 requests per step. Entries exchange messages every 100 ms if `connected`,
/// and never otherwise.
fn simulate(behaviour: Behaviour, connected: bool) -> Simulation {
    let start = SystemTime::UNIX_EPOCH + Duration::from_secs(100);
    let mut entries: Vec<(Rollout, Evidence)> = (1..=ENTRIES)
        .map(|process| {
            let service = Name::new("pool");
            let rollout = Rollout::new(service, "v2", start, LENGTH, Incarnation(process));
            (rollout, Evidence::default())
        })
        .collect();
    let (mut all, mut new, mut bad, mut late) = (0, 0, 0, 0);
    let (mut fiftieth, mut ended) = (None, f64::INFINITY);
    let mut draw = 7_u64;
    let steps = LENGTH.as_millis() / STEP.as_millis();
    for step in 0..u32::try_from(steps).expect("few steps") {
        let now = start + STEP * step;
        let progress = f64::from(step) / steps as f64;
        for request in 0..3 {
            draw = draw
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            let roll = (draw >> 33) % 100;
            let (rollout, evidence) = &mut entries[(step as usize + request) % ENTRIES as usize];
            all += 1;
            match rollout.choose_versions(false) {
                VersionFilter::Only(_) => {
                    new += 1;
                    if fiftieth.is_some_and(|time| now > time + Duration::from_secs(5)) {
                        late += 1;
                    }
                    let sample = behaviour(progress, roll);
                    if !sample.success || sample.slow {
                        bad += 1;
                        if bad == 50 {
                            fiftieth = Some(now);
                        }
                    }
                    rollout.record(now, evidence, "v2", sample);
                }
                VersionFilter::All | VersionFilter::Except(_) => {
                    let good = roll >= 2;
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
                ended = f64::min(ended, progress);
            }
        }
    }
    Simulation {
        stage: entries[0].0.stage(),
        all,
        new,
        late,
        ended,
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
    assert!(result.ended < 1.0, "ended at {}", result.ended);
}

/// Guards against a bad version that gets more than a tenth of the requests, or any requests long after it
/// was detected: bad at once, in part, slow, and late in the window.
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
                result.new as f64 <= 0.1 * result.all as f64 + 50.0,
                "{name}: {}",
                result.new
            );
            assert_eq!(result.late, 0, "{name}");
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
    let mut rollout = Rollout::new("pool".into(), "v2", start, LENGTH, Incarnation(1));
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
    let mut rollout = Rollout::new("pool".into(), "v2", start, LENGTH, Incarnation(1));
    for _ in 0..200 {
        assert_eq!(
            rollout.choose_versions(true),
            VersionFilter::Except("v2".into())
        );
    }
}
