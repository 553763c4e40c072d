//! Retries and resumption of requests: reused request ids, preemption, and the retry budget.
//! `differential.rs` compares the effect of each outcome with a model.

mod common;

use common::{Fixture, NIGHTLY, URGENT, refusal};
use ebonylug_core::{AttemptId, Outcome, Reason, Tokens};
use ebonylug_routing::{Action, Disposition, Settings};

/// Guards against a late outcome that ends a later request with the same id, submitted after a
/// cancellation, and against a cancelled attempt that still counts as load at its target.
#[test]
fn attempt_numbers_increase_across_reused_ids() {
    let mut fixture = Fixture::new(Settings::default(), 1, &[1_000, 1_000]);
    let request = fixture.request(URGENT, 900);
    let key = fixture
        .enqueue(request.clone())
        .expect("the queue has room");
    let first = fixture.dispatch();
    assert_eq!(
        fixture.enqueue(request.clone()),
        Err(Reason::Invalid),
        "the first request has not ended"
    );
    fixture.outcome(first.offer.attempt, refusal(Reason::Full));
    let second = fixture.dispatch();
    assert_ne!(
        second.target, first.target,
        "the target that refused is paused"
    );
    fixture.router.cancel(key);
    fixture
        .enqueue(request)
        .expect("the first request was cancelled");
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

/// Guards against reporting a request that has run in part as not run, and against losing the
/// prefix that a preempted request has cached at its target.
#[test]
fn a_preempted_request_resumes_at_its_target_and_expires_as_aborted() {
    let mut fixture = Fixture::new(Settings::default(), 1, &[100_000; 8]);
    let key = fixture.submit_for("ropeworks", NIGHTLY, 1_000, Some(60));
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

/// Guards against retries that multiply the load, against interactive requests that exhaust the
/// budget because of stale reports, and against requests that never leave the retry wait.
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
        fixture.submit(tier, 100);
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

/// Guards against unlimited attempts, and against shedding an interactive request because of its
/// refusals while batch work waits or runs.
#[test]
fn refusals_end_a_request_unless_it_is_protected() {
    let settings = Settings {
        max_refusals: 2,
        ..Settings::default()
    };
    // Running batch tokens, whether a batch request waits, disposition of the second refusal.
    let cases = [
        (0, false, Disposition::Shed),
        (50, false, Disposition::Requeued),
        (0, true, Disposition::Requeued),
    ];
    for (batch, waiting, expected) in cases {
        let mut fixture = Fixture::new(settings.clone(), 1, &[1_000; 4]);
        for target in 0..4 {
            fixture.report_load(target, 500, batch);
        }
        if waiting {
            fixture.submit(NIGHTLY, 600);
        }
        fixture.submit(URGENT, 100);
        for expected in [Disposition::Requeued, expected] {
            let attempt = fixture.dispatch().offer.attempt;
            assert_eq!(fixture.outcome(attempt, refusal(Reason::Full)), expected);
        }
    }
}

/// Guards against an organisation that is charged for a refused request and then waits behind
/// others.
#[test]
fn a_refused_batch_request_keeps_its_fair_order() {
    let mut fixture = Fixture::new(Settings::default(), 1, &[1]);
    let first = fixture.submit_for("a", NIGHTLY, 100, None);
    fixture.submit_for("b", NIGHTLY, 100, None);
    for _ in 0..3 {
        let dispatch = fixture.dispatch();
        assert_eq!(dispatch.request, first);
        fixture.outcome(dispatch.offer.attempt, refusal(Reason::Full));
        fixture.report_load(0, 0, 0);
    }
}
