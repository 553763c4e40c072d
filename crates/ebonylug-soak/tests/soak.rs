//! The real programs under faults.

use std::path::{Path, PathBuf};
use std::time::Duration;

use ebonylug_soak::{Options, Played, Schedule, play};

fn played(name: &str, schedule: Schedule) -> Played {
    let soak = PathBuf::from(env!("CARGO_BIN_EXE_ebonylug-soak"));
    let entry = soak.with_file_name("ebonylug-adapter");
    assert!(
        entry.exists(),
        "build the workspace first: {}",
        entry.display()
    );
    let options = Options {
        entry,
        soak,
        folder: Path::new(env!("CARGO_TARGET_TMPDIR")).join(name),
    };
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let notes = runtime.block_on(play(&schedule, &options));
    Played::new(schedule, &notes.expect("the programs start"))
}

/// Guards against any broken promise under the faults of one seed. The seed covers planned stops, kills, pauses
/// and faults of the store and of engines.
#[test]
fn promises_are_kept_under_the_faults_of_a_seed() {
    let played = played("seed", Schedule::draw(SEED, Duration::from_secs(8)));
    assert!(played.breaches.is_empty(), "{:#?}", played.breaches);
    assert!(played.ends["served"] > 0, "{:?}", played.ends);
}

/// The seed that CI plays.
const SEED: u64 = 5;

/// Guards against a change of what a seed stands for, which makes findings that name seeds useless.
#[test]
fn a_seed_stands_for_one_schedule() {
    insta::assert_debug_snapshot!(Schedule::draw(SEED, Duration::from_secs(8)));
}

/// Guards against faults that were mended and come back: each file is a schedule that failed, made smaller, with
/// its cause.
#[test]
fn schedules_that_failed_are_kept() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/regressions");
    let Ok(files) = std::fs::read_dir(folder) else {
        return;
    };
    for file in files {
        let path = file.expect("the folder can be read").path();
        let text = std::fs::read_to_string(&path).expect("the file can be read");
        let case: Case = serde_json::from_str(&text).expect("it is a case");
        let name = path.file_stem().expect("it has a name").to_string_lossy();
        let played = played(&name, case.schedule);
        assert!(
            played.breaches.is_empty(),
            "{}: {:#?}",
            case.cause,
            played.breaches
        );
    }
}

#[derive(serde::Deserialize)]
struct Case {
    /// What was wrong.
    cause: String,
    schedule: Schedule,
}
