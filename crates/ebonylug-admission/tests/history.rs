//! Records of ended, revoked and refused attempts.

mod support;

use std::time::Duration;

use ebonylug_admission::{Action, Decision, Settings};
use ebonylug_core::{End, Incarnation, Reason, RevokeOutcome, Tier};
use support::{INCARNATION, id, ms, offer, reason, warm};

/// Guards against a revoke that is answered with "not run" for an attempt that ran or may still
/// run.
#[test]
fn a_revoke_returns_whether_the_attempt_ran() {
    let (mut admission, now) = warm(Settings::model(INCARNATION).max_tombstones(1));
    for request in [1, 2] {
        assert!(
            admission
                .offer(now, offer(request, Tier::batch(0), 10))
                .is_admit()
        );
    }
    admission.finish(now, id(2, 0), End::Failed);
    let table = [
        (id(1, 0), INCARNATION, RevokeOutcome::Running),
        (id(2, 0), INCARNATION, RevokeOutcome::Finished),
        (id(1, 0), Incarnation(6), RevokeOutcome::Unknown),
        (id(3, 0), Incarnation(6), RevokeOutcome::Unknown),
        (id(3, 0), INCARNATION, RevokeOutcome::NotRun),
        (id(3, 0), INCARNATION, RevokeOutcome::NotRun),
        (id(4, 0), INCARNATION, RevokeOutcome::Unknown),
    ];
    for (attempt, incarnation, expected) in table {
        assert_eq!(
            admission.revoke(now, attempt, incarnation),
            expected,
            "{attempt}"
        );
    }
}

/// Guards against an ended attempt that runs again within the retention period, and against a
/// response that the sidecar keeps for longer: at the end of the period, it gets an action to drop
/// it.
#[test]
fn ended_attempts_are_recorded_for_the_retention_period() {
    let (mut admission, now) = warm(Settings::model(INCARNATION).retention(ms(1_000)));
    assert!(
        admission
            .offer(now, offer(1, Tier::batch(0), 10))
            .is_admit()
    );
    admission.finish(now, id(1, 0), End::Answered);
    assert!(admission.tick(now + ms(500)).is_empty());
    let again = admission.offer(now + ms(500), offer(1, Tier::batch(0), 10));
    assert_eq!(again, Decision::Join);
    let expired = admission.tick(now + ms(1_000));
    assert!(expired.contains(&Action::Expire(id(1, 0))));
    assert_eq!(admission.record_count(), 0);
}

/// Guards against an ended attempt that is evicted early, so that a late copy of its offer runs
/// again.
#[test]
fn a_full_history_refuses_and_never_evicts() {
    let retention = Duration::from_secs(60);
    let settings = Settings::model(INCARNATION)
        .max_attempts(16)
        .retention(retention);
    let (mut admission, now) = warm(settings);
    let mut admitted = Vec::new();
    for request in 0..40 {
        let tier = if request < 20 {
            Tier::batch(0)
        } else {
            Tier::interactive(0)
        };
        let decision = admission.offer(now, offer(request, tier, 1));
        if decision.is_admit() {
            admission.finish(now, id(request, 0), End::Answered);
            admitted.push(request);
        } else {
            assert_eq!(reason(&decision), Some(Reason::Full));
        }
    }
    // One record is used by the warm-up, and batch work leaves the last two to interactive work.
    assert_eq!(admitted, [0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 20, 21]);
    assert_eq!(admission.record_count(), 16);
    for request in admitted {
        let late = admission.offer(now, offer(request, Tier::batch(0), 1));
        assert_eq!(late, Decision::Join);
    }
    admission.tick(now + retention);
    let later = admission.offer(now + retention, offer(99, Tier::batch(0), 1));
    assert!(later.is_admit());
}

/// Guards against a refused attempt that is admitted within the retention period because the
/// generations of the filter have rotated.
#[test]
fn refusals_are_retained() {
    let settings = Settings::model(INCARNATION)
        .retention(ms(1_000))
        .refusal_capacity(4_096);
    let (mut admission, start) = warm(settings);
    admission.target_down(start);
    let sent = |i: u64| start + ms(i);
    for i in 0..3_000 {
        admission.offer(sent(i), offer(u128::from(i), Tier::batch(0), 1));
        admission.tick(sent(i));
        if i == 2_000 {
            admission.target_up(sent(i));
        }
        let old = u128::from(i.saturating_sub(999));
        let copy = admission.offer(sent(i), offer(old, Tier::batch(0), 1));
        assert!(!copy.is_admit(), "request {old} at {i} ms");
    }
}
