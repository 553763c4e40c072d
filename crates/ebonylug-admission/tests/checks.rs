//! Guards against work that is admitted although a rule that does not depend on load forbids it,
//! and against a wrong order of the rules: the reason tells the entry whether to try elsewhere.

mod support;

use std::time::Instant;

use ebonylug_admission::{Admission, CrashId, CrashLog, Decision, Settings};
use ebonylug_core::{Fence, Gate, Incarnation, Offer, Reason, Revision, Revoked, Tier};
use support::{INCARNATION, id, offer, reason, warm};

type Prepare = fn(&mut Admission, Instant);
type Change = fn(&mut Offer);

fn quarantine(admission: &mut Admission, request: u64) {
    let mut log = CrashLog::new();
    for epoch in 1..=2 {
        let incarnation = Incarnation(99);
        log.record(
            CrashId { incarnation, epoch },
            [ebonylug_core::Fingerprint(request)],
        );
    }
    assert!(admission.merge_crashes(&log));
}

/// Each row violates its own rule and all later ones.
#[test]
fn reasons_in_order() {
    let violations: [(Reason, Prepare, Change); 8] = [
        (
            Reason::Full,
            |a, now| assert!(a.offer(now, offer(8, Tier::interactive(0), 950)).is_admit()),
            |_| {},
        ),
        (Reason::Quarantined, |a, _| quarantine(a, 1), |_| {}),
        (Reason::Down, |a, now| a.target_down(now), |_| {}),
        (
            Reason::ZoneClosed,
            |a, _| a.set_gate(Gate::ZoneClosed),
            |_| {},
        ),
        (
            Reason::Stale,
            |a, _| assert!(a.check_fence(Fence(5))),
            |o| o.fence = Some(Fence(4)),
        ),
        (
            Reason::Stale,
            |a, _| a.set_revision(Revision(3)),
            |o| o.revision = Revision(2),
        ),
        (
            Reason::Incarnation,
            |_, _| {},
            |o| o.incarnation = Incarnation(6),
        ),
        (
            Reason::Revoked,
            |a, now| assert_eq!(a.revoke(now, id(1, 0), INCARNATION), Revoked::NotRun),
            |_| {},
        ),
    ];
    for rows in 1..=violations.len() {
        let (mut admission, now) = warm(Settings::model(INCARNATION));
        let mut late = offer(1, Tier::interactive(0), 100);
        late.revision = Revision(3);
        for (_, prepare, change) in &violations[..rows] {
            prepare(&mut admission, now);
            change(&mut late);
        }
        let expected = violations[rows - 1].0;
        assert_eq!(
            reason(&admission.offer(now, late)),
            Some(expected),
            "row {rows}"
        );
    }
}

#[test]
fn other_gate_and_higher_numbers() {
    let (mut admission, now) = warm(Settings::model(INCARNATION));
    admission.set_gate(Gate::Leaving);
    let leaving = admission.offer(now, offer(1, Tier::batch(0), 10));
    assert_eq!(reason(&leaving), Some(Reason::Leaving));
    admission.set_gate(Gate::Open);
    admission.set_revision(Revision(3));
    admission.set_revision(Revision(2));
    assert_eq!(admission.report(now).revision, Revision(3));
    let mut newer = offer(2, Tier::batch(0), 10);
    newer.revision = Revision(4);
    newer.fence = Some(Fence(9));
    assert!(admission.offer(now, newer).is_admit());
    assert!(!admission.check_fence(Fence(8)));
}

/// A target that was admitted to before its sidecar cleaned up would hold unknown work.
#[test]
fn nothing_is_admitted_before_the_target_is_up() {
    let now = Instant::now();
    let mut admission = Admission::new(Settings::model(INCARNATION), now);
    let early = admission.offer(now, offer(1, Tier::interactive(0), 10));
    assert_eq!(reason(&early), Some(Reason::Down));
}

/// The entry may have moved a refused request to another target.
#[test]
fn a_refused_attempt_is_never_admitted() {
    let (mut admission, now) = warm(Settings::model(INCARNATION));
    admission.set_gate(Gate::Leaving);
    let first = offer(1, Tier::interactive(0), 10);
    assert_eq!(
        reason(&admission.offer(now, first.clone())),
        Some(Reason::Leaving)
    );
    admission.set_gate(Gate::Open);
    assert_eq!(
        reason(&admission.offer(now, first.clone())),
        Some(Reason::Revoked)
    );
    let mut retry = first;
    retry.attempt.number = 1;
    assert_eq!(
        admission.offer(now, retry),
        Decision::Admit {
            preempt: [].into_iter().collect()
        }
    );
}
