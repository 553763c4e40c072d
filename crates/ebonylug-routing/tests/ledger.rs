//! Attempts that come back: resumption, repeated ids, and the retry budget. What each outcome
//! leads to is compared with a model in `differential.rs`.

mod common;

use common::{Fixture, NIGHTLY, URGENT, refusal};
use ebonylug_core::{AttemptId, Outcome, Reason, Tokens};
use ebonylug_routing::{Action, Disposition, Settings};

/// Guards against a late outcome that ends a request which was cancelled and came again with
/// the same id, and against a cancelled attempt that still counts at its target.
#[test]
fn attempt_numbers_rise_over_repeated_ids() {
    let mut fixture = Fixture::new(Settings::default(), 1, &[1_000, 1_000]);
    let request = fixture.request(URGENT, 900);
    let key = fixture
        .enqueue(request.clone())
        .expect("the queue has room");
    let first = fixture.dispatch();
    assert_eq!(
        fixture.enqueue(request.clone()),
        Err(Reason::Invalid),
        "it has not ended"
    );
    fixture.outcome(first.offer.attempt, refusal(Reason::Full));
    let second = fixture.dispatch();
    assert_ne!(
        second.target, first.target,
        "the target that refused is left alone"
    );
    fixture.router.cancel(key);
    fixture.enqueue(request).expect("the first one has ended");
    let third = fixture.dispatch().offer.attempt;
    assert_eq!(third.number, 2);
    for number in [0, 1, 3] {
        let other = AttemptId { number, ..third };
        assert_eq!(
            fixture.outcome(other, Outcome::Failed),
            Disposition::Ignored
        );
    }
    assert_eq!(
        fixture.outcome(third, Outcome::Answered),
        Disposition::Ended
    );
}

/// Guards against refusing as not run what has run in part, and against losing the prefix that
/// a preempted request has left at its target.
#[test]
fn a_preempted_request_resumes_at_its_target_and_expires_as_aborted() {
    let mut fixture = Fixture::new(Settings::default(), 1, &[100_000; 8]);
    let key = fixture.put_for("ropeworks", NIGHTLY, 1_000, Some(60));
    let first = fixture.dispatch();
    fixture.outcome(first.offer.attempt, Outcome::Preempted { received: 40 });
    let second = fixture.dispatch();
    assert_eq!((second.target, second.offer.offset), (first.target, 40));
    let prefill = (second.offer.prompt, second.offer.cached);
    assert_eq!(prefill, (Tokens(1), Tokens(999 + 40 - 1)));
    fixture.outcome(second.offer.attempt, Outcome::Preempted { received: 2 });
    fixture.advance(60_000);
    let actions = fixture.router.poll(fixture.now);
    let [
        Action::Abort {
            request, reason, ..
        },
    ] = actions.as_slice()
    else {
        panic!("expected an abort: {actions:?}");
    };
    assert_eq!((*request, *reason), (key, Reason::Deadline));
}

/// Guards against retries that multiply the load, against interactive requests that use the
/// budget up because of stale reports, and against requests that are stuck without a budget.
#[test]
fn retries_wait_for_the_budget_but_first_interactive_ones_do_not() {
    let settings = Settings {
        retry_burst: 1.0,
        retry_ratio: 0.0,
        retry_rate: 1.0,
        ..Settings::default()
    };
    for (tier, immediate) in [(URGENT, 3), (NIGHTLY, 1)] {
        let mut fixture = Fixture::new(settings.clone(), 1, &[1_000; 8]);
        fixture.put(tier, 100);
        for _ in 0..immediate {
            let attempt = fixture.dispatch().offer.attempt;
            fixture.outcome(attempt, refusal(Reason::Full));
        }
        let attempt = fixture.dispatch().offer.attempt;
        fixture.outcome(attempt, refusal(Reason::Full));
        assert_eq!(fixture.dispatches(), [], "{tier:?}");
        fixture.advance(999);
        assert_eq!(fixture.dispatches(), [], "{tier:?}");
        fixture.now = fixture
            .router
            .next_wake(fixture.now)
            .expect("a retry is due");
        fixture.dispatch();
    }
}

/// Guards against endless attempts, and against shedding an interactive request for it while
/// batch work runs.
#[test]
fn refusals_end_a_request_unless_it_is_protected() {
    let settings = Settings {
        max_refusals: 2,
        ..Settings::default()
    };
    // Batch work that runs, a batch request that waits, what becomes of the second refusal.
    let cases = [
        (0, false, Disposition::Shed),
        (50, false, Disposition::Requeued),
        (0, true, Disposition::Requeued),
    ];
    for (batch, waiting, expected) in cases {
        let mut fixture = Fixture::new(settings.clone(), 1, &[1_000; 4]);
        for target in 0..4 {
            fixture.load(target, 500, batch);
        }
        if waiting {
            fixture.put(NIGHTLY, 600);
        }
        fixture.put(URGENT, 100);
        for expected in [Disposition::Requeued, expected] {
            let attempt = fixture.dispatch().offer.attempt;
            assert_eq!(fixture.outcome(attempt, refusal(Reason::Full)), expected);
        }
    }
}

/// Guards against an organisation that loses its turn because of a refusal.
#[test]
fn a_refused_batch_request_keeps_its_turn() {
    let mut fixture = Fixture::new(Settings::default(), 1, &[1]);
    let first = fixture.put_for("a", NIGHTLY, 100, None);
    fixture.put_for("b", NIGHTLY, 100, None);
    for _ in 0..3 {
        let dispatch = fixture.dispatch();
        assert_eq!(dispatch.request, first);
        fixture.outcome(dispatch.offer.attempt, refusal(Reason::Full));
        fixture.load(0, 0, 0);
    }
}
