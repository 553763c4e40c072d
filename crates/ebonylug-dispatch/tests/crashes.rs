//! Detection of requests that crash the targets that run them.

use std::time::{Duration, Instant};

use ebonylug_core::{CrashCause, Fingerprint, Name};
use ebonylug_dispatch::CrashDetector;

const BAD: CrashCause = CrashCause::Content(Fingerprint(1));
const GOOD: CrashCause = CrashCause::Content(Fingerprint(2));

fn crash(crashes: &mut CrashDetector, now: Instant, target: &str, contents: &[CrashCause]) -> bool {
    let target = Name::new(target);
    for &content in contents {
        crashes.record_broken(now, &target, 1, &[content]);
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
    assert!(entries.iter().all(|entry| !entry.is_quarantined(&[BAD])));
    let log = entries[0].log().clone();
    assert!(entries[1].merge(&log));
    assert!(!entries[1].merge(&log), "the second merge adds nothing");
    assert!(entries[1].is_quarantined(&[BAD]));
    assert!(!entries[1].is_quarantined(&[GOOD]));
    // The crash that the entry has detected itself is sent to its peers, the merged one is not.
    assert_eq!(entries[1].recent_changes(now, Duration::ZERO).len(), 1);
    // With many entries, a change is repeated until each of them has got a message.
    let later = now + Duration::from_secs(2);
    entries[1].expire(later);
    assert!(entries[1].recent_changes(later, Duration::ZERO).is_empty());
    assert_eq!(
        entries[1]
            .recent_changes(later, Duration::from_secs(3))
            .len(),
        1
    );
}

/// Guards against a frequent request that is quarantined because it ran on targets that crashed for
/// another reason.
#[test]
fn a_request_that_completes_elsewhere_is_not_quarantined() {
    let now = Instant::now();
    let mut crashes = CrashDetector::default();
    crashes.record_completed(now, &[GOOD]);
    for target in ["engine-1", "engine-2", "engine-3"] {
        assert!(!crash(&mut crashes, now, target, &[GOOD]));
    }
    assert!(!crashes.is_quarantined(&[GOOD]));
    // It completes for the first time between the break and the signal that the target is down.
    let target = Name::new("engine-4");
    crashes.record_broken(now, &target, 1, &[BAD]);
    crashes.record_completed(now, &[BAD]);
    assert!(!crashes.record_down(now, &target, 1));
}

/// Guards against broken connections that count as crashes: targets that lose responses keep running.
#[test]
fn a_broken_connection_alone_is_not_a_crash() {
    let mut now = Instant::now();
    let mut crashes = CrashDetector::default();
    for target in ["engine-1", "engine-2", "engine-3"] {
        let target = Name::new(target);
        crashes.record_broken(now, &target, 1, &[BAD]);
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
        crashes.record_broken(now + Duration::from_secs(1), &target, 1, &[BAD]);
    }
    assert!(crashes.is_quarantined(&[BAD]));
}

/// Returns a prompt part.
fn part(id: u64) -> CrashCause {
    CrashCause::PromptPart(Fingerprint(id))
}

/// Returns the causes of a request with a content of its own and these prompt parts.
fn prompt(content: u64, parts: &[u64]) -> Vec<CrashCause> {
    let parts = parts.iter().map(|&id| part(id));
    parts
        .chain([CrashCause::Content(Fingerprint(content))])
        .collect()
}

/// Records a crash of a target with these requests in flight.
fn crash_under(
    crashes: &mut CrashDetector,
    now: Instant,
    target: &str,
    requests: &[&[CrashCause]],
) {
    let target = Name::new(target);
    for causes in requests {
        crashes.record_broken(now, &target, 1, causes);
    }
    crashes.record_down(now, &target, 1);
}

/// Guards against different requests with a common prompt part that crash one target after another, and
/// against quarantine of what was in flight with them: the parts that they share with sound requests,
/// and a request that was resumed at several of the targets.
#[test]
fn only_the_part_that_all_crashes_have_in_common_is_quarantined() {
    const SHARED: u64 = 1;
    const HARMFUL: u64 = 2;
    const OTHER: u64 = 3;
    let now = Instant::now();
    let mut crashes = CrashDetector::default();
    let bystander = prompt(100, &[OTHER]);
    let sound = prompt(101, &[SHARED]);
    crashes.record_completed(now, &sound);
    for (n, target) in ["engine-1", "engine-2"].iter().enumerate() {
        let harmful = prompt(n as u64, &[SHARED, HARMFUL]);
        crash_under(&mut crashes, now, target, &[&harmful, &bystander]);
        assert!(!crashes.is_quarantined(&prompt(9, &[SHARED, HARMFUL])));
        assert!(!crashes.is_quarantined(&bystander), "after {target}");
    }
    crash_under(
        &mut crashes,
        now,
        "engine-3",
        &[&prompt(8, &[SHARED, HARMFUL])],
    );
    assert!(crashes.is_quarantined(&prompt(9, &[SHARED, HARMFUL])));
    for harmless in [&sound, &bystander, &prompt(102, &[SHARED, OTHER])] {
        assert!(!crashes.is_quarantined(harmless), "{harmless:?}");
    }
    let quarantined: Vec<CrashCause> = crashes.log().quarantined().collect();
    assert_eq!(quarantined, [part(HARMFUL)]);
}

/// Guards against a sound part that stays in quarantine because it was in flight in three crashes before
/// the entry knew of a completed run with it.
#[test]
fn a_completed_run_releases_a_prompt_part() {
    let now = Instant::now();
    let mut entries = [CrashDetector::default(), CrashDetector::default()];
    for (n, target) in ["engine-1", "engine-2", "engine-3"].iter().enumerate() {
        crash_under(&mut entries[0], now, target, &[&prompt(n as u64, &[1])]);
    }
    let log = entries[0].log().clone();
    entries[1].merge(&log);
    assert!(entries.iter().all(|entry| entry.is_quarantined(&[part(1)])));
    entries[1].record_completed(now, &prompt(9, &[1]));
    assert!(!entries[1].is_quarantined(&[part(1)]));
    let changes = entries[1].recent_changes(now, Duration::ZERO);
    assert!(entries[0].merge(&changes));
    assert!(!entries[0].is_quarantined(&[part(1)]));
    // A completed run says nothing about crashes long after it.
    let later = now + Duration::from_secs(61);
    for (n, target) in ["engine-4", "engine-5", "engine-6"].iter().enumerate() {
        let content = 10 + n as u64;
        crash_under(&mut entries[1], later, target, &[&prompt(content, &[1])]);
    }
    assert!(entries[1].is_quarantined(&[part(1)]));
}

/// Guards against a retried request that is not quarantined because a part of its prompt was in flight
/// in the same crashes, and against refusing other requests with that part.
#[test]
fn a_retried_request_is_quarantined_with_its_own_part() {
    let now = Instant::now();
    let mut crashes = CrashDetector::default();
    let retried = prompt(1, &[5]);
    for target in ["engine-1", "engine-2", "engine-3"] {
        crash_under(&mut crashes, now, target, &[&retried]);
    }
    assert!(crashes.is_quarantined(&retried));
    assert!(!crashes.is_quarantined(&prompt(2, &[5])));
}
