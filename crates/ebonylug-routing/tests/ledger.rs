//! Attempts: what each outcome leads to, and which outcomes are ignored.

mod common;

use std::time::Duration;

use common::{Fixture, NIGHTLY, URGENT, refusal};
use ebonylug_core::{AttemptId, Outcome, Reason, Repeat, Tier, Tokens};
use ebonylug_routing::{Action, Cancelled, Disposition, Settings};

/// Guards against a rerun after an outcome that does not prove that nothing ran.
#[test]
fn only_refused_and_preempted_attempts_are_tried_again() {
    use Disposition::{Ended, Requeued, Shed};
    let preempted = Outcome::Preempted { received: 3 };
    let cases = [
        (Outcome::Answered, Repeat::Yes, Ended),
        (Outcome::Failed, Repeat::Yes, Ended),
        (Outcome::Unknown, Repeat::Yes, Ended),
        (preempted.clone(), Repeat::Yes, Requeued),
        (preempted, Repeat::No, Ended),
        (refusal(Reason::Full), Repeat::No, Requeued),
        (refusal(Reason::Leaving), Repeat::Yes, Requeued),
        (refusal(Reason::Incarnation), Repeat::Yes, Requeued),
        (refusal(Reason::Quarantined), Repeat::Yes, Shed),
        (refusal(Reason::Deadline), Repeat::Yes, Shed),
    ];
    for (outcome, repeat, expected) in cases {
        let mut fixture = Fixture::new(Settings::default(), 1, &[1_000, 1_000]);
        let mut request = fixture.request(NIGHTLY, 100);
        request.repeat = repeat;
        fixture.enqueue(request).expect("the queue has room");
        let first = fixture.dispatch().offer.attempt;
        let case = format!("{outcome:?}, {repeat:?}");
        assert_eq!(fixture.outcome(first, outcome.clone()), expected, "{case}");
        assert_eq!(
            fixture.outcome(first, outcome),
            Disposition::Ignored,
            "{case}, twice"
        );
        fixture.advance(10_000);
        let actions = fixture.router.poll(fixture.now);
        let again = matches!(actions.first(), Some(Action::Dispatch(next)) if next.offer.attempt.number == 1);
        let refused = matches!(actions.first(), Some(Action::Shed { .. }));
        assert_eq!(
            (again, refused),
            (expected == Requeued, expected == Shed),
            "{case}"
        );
    }
}

/// Guards against a late outcome of an old attempt that ends the present one, also if the
/// request was cancelled and came again with the same id.
#[test]
fn outcomes_of_old_attempts_are_ignored() {
    let mut fixture = Fixture::new(Settings::default(), 1, &[1_000, 1_000]);
    let request = fixture.request(URGENT, 100);
    let key = fixture
        .enqueue(request.clone())
        .expect("the queue has room");
    let first = fixture.dispatch();
    fixture.outcome(first.offer.attempt, refusal(Reason::Full));
    let second = fixture.dispatch();
    assert_ne!(
        second.target, first.target,
        "the target that refused is left alone"
    );
    assert_eq!(
        fixture.outcome(first.offer.attempt, Outcome::Answered),
        Disposition::Ignored
    );
    let cancelled = Cancelled::Sent {
        attempt: second.offer.attempt,
        target: second.target,
    };
    assert_eq!(fixture.router.cancel(key), cancelled);
    assert_eq!(fixture.router.cancel(key), Cancelled::Ended);
    fixture.advance(1_000);
    fixture.enqueue(request).expect("the first one has ended");
    let third = fixture.dispatch().offer.attempt;
    assert_eq!(third.number, 2);
    for number in [0, 1, 3] {
        let old = AttemptId { number, ..third };
        assert_eq!(fixture.outcome(old, Outcome::Failed), Disposition::Ignored);
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
    let mut request = fixture.request(NIGHTLY, 1_000);
    request.max_output = Tokens(500);
    request.deadline = Some(fixture.now + Duration::from_secs(60));
    let key = fixture.enqueue(request).expect("the queue has room");
    let first = fixture.dispatch();
    fixture.outcome(first.offer.attempt, Outcome::Preempted { received: 40 });
    let second = fixture.dispatch();
    assert_eq!((second.target, second.offer.offset), (first.target, 40));
    assert_eq!(
        (second.offer.prompt.0, second.offer.cached.0),
        (1, 999 + 40 - 1)
    );
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
    let cases: [(Tier, &[bool]); 2] = [
        (URGENT, &[true, true, true, false]),
        (NIGHTLY, &[true, false]),
    ];
    for (tier, immediate) in cases {
        let mut fixture = Fixture::new(settings.clone(), 1, &[1_000; 8]);
        fixture.put(tier, 100);
        let mut attempt = fixture.dispatch().offer.attempt;
        for (index, &expected) in immediate.iter().enumerate() {
            fixture.outcome(attempt, refusal(Reason::Full));
            let dispatches = fixture.dispatches();
            assert_eq!(dispatches.len() == 1, expected, "{tier:?}, refusal {index}");
            if let Some(dispatch) = dispatches.first() {
                attempt = dispatch.offer.attempt;
            }
        }
        let wake = fixture
            .router
            .next_wake(fixture.now)
            .expect("a retry becomes due");
        fixture.now = wake.max(fixture.now + Duration::from_millis(1_001));
        assert_eq!(
            fixture.dispatches().len(),
            1,
            "{tier:?} is sent once the budget allows it"
        );
    }
}

/// Guards against endless attempts, and against shedding an interactive request for it while
/// batch work runs.
#[test]
fn refusals_end_a_request_unless_it_is_protected() {
    let settings = Settings {
        max_refusals: 2,
        free_refusals: 9,
        ..Settings::default()
    };
    for (batch, expected) in [(0, Disposition::Shed), (50, Disposition::Requeued)] {
        let mut fixture = Fixture::new(settings.clone(), 1, &[1_000; 4]);
        fixture.report(0, |report| {
            report.used = Tokens(batch);
            report.batch = Tokens(batch);
        });
        fixture.put(URGENT, 100);
        let first = fixture.dispatch().offer.attempt;
        assert_eq!(
            fixture.outcome(first, refusal(Reason::Full)),
            Disposition::Requeued
        );
        let second = fixture.dispatch().offer.attempt;
        assert_eq!(
            fixture.outcome(second, refusal(Reason::Full)),
            expected,
            "batch {batch}"
        );
    }
}
