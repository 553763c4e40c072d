//! Detection of requests that crash the targets that run them.

use std::time::{Duration, Instant};

use ebonylug_core::{Fingerprint, Name};
use ebonylug_dispatch::CrashDetector;

const BAD: Fingerprint = Fingerprint(1);
const GOOD: Fingerprint = Fingerprint(2);

fn crash(
    crashes: &mut CrashDetector,
    now: Instant,
    target: &str,
    contents: &[Fingerprint],
) -> bool {
    let target = Name::new(target);
    for &content in contents {
        crashes.record_broken(now, &target, 1, content);
    }
    crashes.record_down(now, &target, 1)
}

/// Guards against a request that crashes one target after another because each entry sees only one of
/// the crashes.
#[test]
fn entries_combine_their_crashes() {
    let now = Instant::now();
    let mut entries = [CrashDetector::default(), CrashDetector::default()];
    assert!(crash(&mut entries[0], now, "engine-1", &[BAD, GOOD]));
    assert!(crash(&mut entries[1], now, "engine-2", &[BAD]));
    assert!(entries.iter().all(|entry| !entry.is_quarantined(BAD)));
    let log = entries[0].log().clone();
    assert!(entries[1].merge(now, &log));
    assert!(
        !entries[1].merge(now, &log),
        "the second merge adds nothing"
    );
    assert!(entries[1].is_quarantined(BAD));
    assert!(!entries[1].is_quarantined(GOOD));
    assert!(entries[1].changed_recently(now));
}

/// Guards against a frequent request that is quarantined because it ran on targets that crashed for
/// another reason.
#[test]
fn a_request_that_completes_elsewhere_is_not_quarantined() {
    let now = Instant::now();
    let mut crashes = CrashDetector::default();
    crashes.record_completed(GOOD);
    for target in ["engine-1", "engine-2", "engine-3"] {
        assert!(!crash(&mut crashes, now, target, &[GOOD]));
    }
    assert!(!crashes.is_quarantined(GOOD));
    // It completes for the first time between the break and the signal that the target is down.
    let target = Name::new("engine-4");
    crashes.record_broken(now, &target, 1, BAD);
    crashes.record_completed(BAD);
    assert!(!crashes.record_down(now, &target, 1));
}

/// Guards against broken connections that count as crashes: targets that lose responses keep running.
#[test]
fn a_broken_connection_alone_is_not_a_crash() {
    let mut now = Instant::now();
    let mut crashes = CrashDetector::default();
    for target in ["engine-1", "engine-2", "engine-3"] {
        let target = Name::new(target);
        crashes.record_broken(now, &target, 1, BAD);
        // No connection of the next run of the same target has broken.
        assert!(!crashes.record_down(now, &target, 2));
        now += Duration::from_secs(6);
        crashes.expire(now);
        assert!(!crashes.record_down(now, &target, 1));
    }
    assert!(crashes.is_empty());
}

/// Guards against a missed crash when the broken connection is detected after the target is down.
#[test]
fn a_break_detected_after_the_down_signal_counts() {
    let now = Instant::now();
    let mut crashes = CrashDetector::default();
    for target in ["engine-1", "engine-2"].map(Name::new) {
        assert!(!crashes.record_down(now, &target, 1));
        crashes.record_broken(now + Duration::from_secs(1), &target, 1, BAD);
    }
    assert!(crashes.is_quarantined(BAD));
}
