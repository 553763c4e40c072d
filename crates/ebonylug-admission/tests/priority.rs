//! Guards against urgent work that is refused while batch work runs, and against batch work that
//! takes room that is not its own.

mod support;

use ebonylug_admission::{Action, Admission, CrashId, CrashLog, Decision, Settings};
use ebonylug_core::{
    AttemptId, End, Fingerprint, Incarnation, Reason, Repeat, RequestId, Tier, Tokens,
};
use std::time::Instant;
use support::{INCARNATION, id, ms, offer, reason, warm};

const URGENT: Tier = Tier::interactive(0);
const BATCH: Tier = Tier::batch(0);

/// Without headroom, whose rule has a test of its own.
fn settings() -> Settings {
    Settings::model(INCARNATION).headroom(ms(0))
}

struct Running {
    tier: Tier,
    cost: u64,
    repeat: Repeat,
    /// Whether the first token has arrived, so that the whole prefill would be lost.
    started: bool,
}

const fn batch(cost: u64) -> Running {
    Running {
        tier: BATCH,
        cost,
        repeat: Repeat::Yes,
        started: false,
    }
}

const fn started(cost: u64) -> Running {
    Running {
        started: true,
        ..batch(cost)
    }
}

const fn once(cost: u64) -> Running {
    Running {
        repeat: Repeat::No,
        ..batch(cost)
    }
}

const fn urgent(cost: u64) -> Running {
    Running {
        tier: URGENT,
        ..batch(cost)
    }
}

/// Starts the attempts, and returns the time just after the last admission.
///
/// The target takes 1 ms for each prompt token.
fn fill(admission: &mut Admission, mut now: Instant, running: &[Running]) -> Instant {
    let mut order: Vec<_> = (0..).zip(running).collect();
    order.sort_by_key(|(_, r)| !r.started);
    for (request, r) in order {
        let mut o = offer(request, r.tier, r.cost);
        o.repeat = r.repeat;
        assert!(admission.offer(now, o).is_admit(), "request {request}");
        if r.started {
            now += ms(r.cost);
            admission.first_token(now, id(request, 0));
        }
    }
    now
}

/// Each row: what runs under a limit of 1,000, what is offered, and the expected preemptions
/// (or none if the offer is refused).
#[test]
fn preemption() {
    type Row<'a> = (&'a str, &'a [Running], Tier, u64, Option<&'a [u128]>);
    let table: &[Row] = &[
        ("fits", &[batch(500)], URGENT, 500, Some(&[])),
        ("batch does not preempt", &[batch(600)], BATCH, 500, None),
        ("preempts", &[batch(600)], URGENT, 500, Some(&[0])),
        (
            "least lost prefill",
            &[started(300), batch(300), started(400)],
            URGENT,
            300,
            Some(&[1]),
        ),
        (
            "one large unstarted stream",
            &[started(200), started(200), batch(600)],
            URGENT,
            400,
            Some(&[2]),
        ),
        (
            "no more than needed",
            &[started(100), started(200), started(700)],
            URGENT,
            700,
            Some(&[2]),
        ),
        (
            "never what must not repeat",
            &[once(600)],
            URGENT,
            500,
            None,
        ),
        ("never interactive work", &[urgent(600)], URGENT, 500, None),
        ("not enough", &[urgent(600), batch(300)], URGENT, 500, None),
        (
            "exactly enough",
            &[urgent(500), batch(500)],
            URGENT,
            500,
            Some(&[1]),
        ),
        (
            "least lost prefill for the room",
            &[started(100), started(100), started(100), batch(700)],
            URGENT,
            300,
            Some(&[3]),
        ),
        ("oversized alone", &[], URGENT, 5_000, Some(&[])),
        ("oversized batch alone", &[], BATCH, 5_000, Some(&[])),
        ("oversized batch waits", &[batch(1)], BATCH, 5_000, None),
        (
            "oversized preempts all",
            &[batch(400), started(500)],
            URGENT,
            5_000,
            Some(&[0, 1]),
        ),
        (
            "oversized beside interactive",
            &[urgent(1), batch(400)],
            URGENT,
            5_000,
            None,
        ),
    ];
    for (name, running, tier, cost, expected) in table {
        let (mut admission, now) = warm(settings());
        let now = fill(&mut admission, now, running);
        let decision = admission.offer(now + ms(1), offer(100, *tier, *cost));
        match (expected, &decision) {
            (Some(expected), Decision::Admit { preempt }) => {
                let expected: Vec<AttemptId> = expected.iter().map(|r| id(*r, 0)).collect();
                assert_eq!(preempt.to_vec(), expected, "{name}");
            }
            (None, Decision::Refuse(refusal)) => assert_eq!(refusal.reason, Reason::Full, "{name}"),
            _ => panic!("{name}: {decision:?}"),
        }
    }
}

/// Batch work must not enter the room of streams that are still being cancelled.
#[test]
fn preempted_streams_stay_accounted() {
    let (mut admission, now) = warm(settings());
    fill(&mut admission, now, &[batch(600)]);
    assert!(admission.offer(now, offer(1, URGENT, 500)).is_admit());
    assert_eq!(admission.report(now).used, Tokens(1_100));
    assert_eq!(admission.report(now).batch, Tokens(0));
    assert_eq!(
        reason(&admission.offer(now, offer(2, BATCH, 100))),
        Some(Reason::Full)
    );
    admission.finish(now, id(0, 0), End::Cancelled);
    assert!(admission.offer(now, offer(3, BATCH, 100)).is_admit());
}

#[test]
fn protected_batch_share() {
    let (mut admission, now) = warm(settings().batch_share(0.3));
    fill(&mut admission, now, &[batch(300), batch(300)]);
    let decision = admission.offer(now, offer(10, URGENT, 700));
    assert!(decision.is_admit());
    assert_eq!(
        reason(&admission.offer(now, offer(11, URGENT, 100))),
        Some(Reason::Full)
    );
}

#[test]
fn reservations() {
    let settings = settings().reservation(ms(100), 2);
    let (mut admission, now) = warm(settings);
    fill(&mut admission, now, &[urgent(600), urgent(400)]);
    let refused = |a: &mut Admission, request, tier, cost| {
        assert_eq!(
            reason(&a.offer(now, offer(request, tier, cost))),
            Some(Reason::Full)
        );
    };
    refused(&mut admission, 10, Tier::interactive(1), 300);
    assert_eq!(admission.report(now).reserved, Tokens(300));
    admission.finish(now, id(1, 0), End::Answered);
    refused(&mut admission, 11, BATCH, 200);
    assert!(admission.offer(now, offer(12, BATCH, 100)).is_admit());
    // A more urgent rank does not wait for the reservation; a less urgent one does.
    refused(&mut admission, 13, Tier::interactive(2), 301);
    let mut retry = offer(10, Tier::interactive(1), 300);
    retry.attempt.number = 1;
    assert!(admission.offer(now, retry).is_admit());
    assert_eq!(admission.report(now).reserved, Tokens(301));
    assert_eq!(admission.report(now + ms(100)).reserved, Tokens(0));
    for request in 20..25 {
        refused(&mut admission, request, URGENT, 200);
    }
    assert_eq!(
        admission.report(now).reserved,
        Tokens(400),
        "bounded in number"
    );
}

/// Guards against batch work that fills the target between two bursts of interactive work, only
/// to be preempted by the next burst. Each row: milliseconds since a burst of 800 tokens under a
/// limit of 1,000, the interactive work that still runs, and the room that batch work gets.
#[test]
fn batch_work_leaves_headroom() {
    let table = [
        (0, 0, 200),
        (100, 0, 600),
        (200, 0, 800),
        (0, 300, 200),
        (100, 300, 600),
        (50, 300, 435),
    ];
    for (passed, left, room) in table {
        let (mut admission, now) = warm(Settings::model(INCARNATION).headroom(ms(100)));
        let now = now + ms(1_000);
        fill(&mut admission, now, &[urgent(300), urgent(500)]);
        admission.finish(now, id(1, 0), End::Answered);
        if left == 0 {
            admission.finish(now, id(0, 0), End::Answered);
            // What runs is not urgent, or the empty target would take one request of any size.
            assert!(admission.offer(now, offer(2, BATCH, 1)).is_admit());
        }
        let (now, batch) = (now + ms(passed), u64::from(left == 0));
        let reserved = 1_000 - left - room;
        assert_eq!(admission.report(now).reserved, Tokens(reserved), "{passed}");
        let refused = admission.offer(now, offer(3, BATCH, room - batch + 1));
        assert_eq!(reason(&refused), Some(Reason::Full), "{passed}, {left}");
        let admitted = admission.offer(now, offer(4, BATCH, room - batch));
        assert!(admitted.is_admit(), "{passed}, {left}");
        // Interactive work takes the room without preempting anything.
        let urgent = admission.offer(now, offer(5, URGENT, reserved));
        let preempt = Decision::Admit {
            preempt: Default::default(),
        };
        assert_eq!(urgent, preempt, "{passed}, {left}");
    }
}

/// A suspect could take its neighbours down.
#[test]
fn suspects_run_alone() {
    let (mut admission, now) = warm(settings());
    let mut log = CrashLog::new();
    let crash = CrashId {
        incarnation: Incarnation(99),
        epoch: 1,
    };
    log.record(crash, [Fingerprint(1), Fingerprint(2)]);
    assert!(admission.merge_crashes(&log));
    fill(&mut admission, now, &[urgent(10)]);
    assert_eq!(
        reason(&admission.offer(now, offer(1, BATCH, 10))),
        Some(Reason::Full)
    );
    admission.finish(now, id(0, 0), End::Answered);

    let mut retry = offer(1, BATCH, 10);
    retry.attempt.number = 1;
    let suspect = retry.attempt;
    assert!(admission.offer(now, retry).is_admit());
    let mut next = offer(5, URGENT, 10);
    assert_eq!(
        reason(&admission.offer(now, next.clone())),
        Some(Reason::Full)
    );
    // Urgent work waits for a batch suspect only until the batch stream is cancelled.
    assert_eq!(admission.tick(now).to_vec(), [Action::Preempt(suspect)]);
    admission.finish(now, suspect, End::Answered);
    next.attempt.number = 1;
    assert!(admission.offer(now, next).is_admit());
    assert!(admission.offer(now, offer(1_000, BATCH, 10)).is_admit());
    let mut cleared = offer(1, BATCH, 10);
    cleared.attempt.request = RequestId(1_001);
    assert!(admission.offer(now, cleared).is_admit());
}
