//! Order, fairness, shedding and deadline forecasts of the queue.

mod common;

use std::collections::HashMap;

use common::{CHAT, Fixture, NIGHTLY, URGENT, WEEKLY};
use ebonylug_core::{Name, Outcome, Reason, Tier, Tokens};
use ebonylug_routing::{RequestKey, Settings};

const HOUR: u64 = 3_600;

/// Creates a router whose only target has no headroom.
fn without_headroom(settings: Settings) -> Fixture {
    Fixture::new(settings, 1, &[0])
}

/// Runs all queued requests one at a time, and returns them in order of dispatch.
fn drain(mut fixture: Fixture) -> Vec<RequestKey> {
    fixture.report(0, |report| report.limit = Tokens(1));
    let mut order = Vec::new();
    while let Some(dispatch) = fixture.dispatches().first() {
        order.push(dispatch.request);
        fixture.outcome(dispatch.offer.attempt, Outcome::Answered);
    }
    order
}

/// Guards against requests that wait behind less urgent ones.
#[test]
fn tiers_and_deadlines_set_the_order() {
    let mut fixture = without_headroom(Settings::default());
    // Tier, deadline in hours, position in the expected order.
    let cases = [
        (WEEKLY, None, 7),
        (NIGHTLY, Some(9), 6),
        (NIGHTLY, Some(8), 5),
        (CHAT, Some(1), 4),
        (URGENT, None, 2),
        (URGENT, Some(3), 1),
        (URGENT, None, 3),
        (URGENT, Some(2), 0),
    ];
    let mut expected = [RequestKey::default(); 8];
    for (tier, hours, position) in cases {
        expected[position] = fixture.submit_for("a", tier, 100, hours.map(|hours| HOUR * hours));
    }
    assert_eq!(drain(fixture), expected);
}

/// Guards against an organisation with large or many requests that starves another.
#[test]
fn batch_capacity_is_shared_in_tokens() {
    for (weight, expected) in [(1, 0.5), (3, 0.75)] {
        let mut fixture = without_headroom(Settings::default());
        let heavy = fixture.router.organisation_key(&Name::new("heavy"));
        fixture.router.set_weight(heavy, weight);
        let mut costs = HashMap::new();
        for _ in 0..200 {
            costs.insert(fixture.submit_for("heavy", NIGHTLY, 5_000, None), 5_000.0);
        }
        for _ in 0..2_000 {
            fixture.submit_for("light", NIGHTLY, 100, None);
        }
        let (mut total, mut own) = (0.0, 0.0);
        for key in drain(fixture) {
            let cost = costs.get(&key);
            own += cost.unwrap_or(&0.0);
            total += cost.unwrap_or(&100.0);
            // While both have waiting requests, the split deviates from the expected one by at
            // most one request of each.
            let deviation: f64 = own - expected * total;
            let fair = total > 250_000.0 || deviation.abs() <= 5_100.0;
            assert!(fair, "{own} of {total} tokens, weight {weight}");
        }
    }
}

/// Guards against a batch request that misses its deadline because of fair order.
#[test]
fn batch_work_near_its_deadline_goes_before_fair_order() {
    for (seconds, first) in [(61, false), (59, true)] {
        let mut fixture = without_headroom(Settings::default());
        fixture.submit_for("early", NIGHTLY, 10, None);
        fixture.submit_for("late", NIGHTLY, 1_000, Some(30));
        fixture.submit_for("early", NIGHTLY, 10, None);
        let near = fixture.submit_for("late", NIGHTLY, 1_000, Some(seconds));
        assert_eq!(drain(fixture)[1] == near, first, "{seconds} s");
    }
}

/// Creates a target with a limit of 1,000 tokens and queues 200 batch requests of 1,000 tokens
/// each: 100 with a deadline after 130 s and 100 with a deadline after two days. [`run_seconds`]
/// then completes one request per second.
fn one_per_second() -> (Fixture, Vec<RequestKey>) {
    let mut fixture = Fixture::new(Settings::default(), 1, &[1_000]);
    let mut due = Vec::new();
    for _ in 0..100 {
        due.push(fixture.submit_for("due", NIGHTLY, 1_000, Some(130)));
        fixture.submit_for("other", NIGHTLY, 1_000, Some(48 * HOUR));
    }
    (fixture, due)
}

fn run_seconds(fixture: &mut Fixture, seconds: usize) -> Vec<RequestKey> {
    let mut order = Vec::new();
    for _ in 0..seconds {
        let dispatch = fixture.dispatch();
        order.push(dispatch.request);
        fixture.advance(1_000);
        fixture.outcome(dispatch.offer.attempt, Outcome::Answered);
    }
    order
}

/// Guards against a large amount of work that becomes urgent only shortly before its deadline: with
/// fair order up to the last minute, only 95 of the 100 requests would complete in time.
#[test]
fn a_large_amount_of_work_becomes_urgent_early() {
    let (mut fixture, due) = one_per_second();
    let order = run_seconds(&mut fixture, 129);
    let done = order.iter().filter(|key| due.contains(key)).count();
    assert_eq!(done, due.len());
}

/// Guards against batch work that is reported as late only when its deadline has passed.
#[test]
fn late_batch_work_is_forecast() {
    let (mut fixture, _) = one_per_second();
    run_seconds(&mut fixture, 60);
    assert_eq!(fixture.router.batch_at_risk(fixture.now), []);
    for _ in 0..100 {
        fixture.submit_for("due", NIGHTLY, 1_000, Some(70));
    }
    // 30 to 60 of the first 100 requests have completed, so 140 to 170 are due within 70 s.
    let late = fixture.router.batch_at_risk(fixture.now).len();
    assert!((70..=100).contains(&late), "{late} requests are at risk");
}

/// Guards against shedding interactive work before batch work, or while batch work runs, and
/// against an unbounded queue.
#[test]
fn the_lowest_tier_is_shed_first() {
    use Reason::{QueueFull, Shed};
    // Waiting requests, running batch tokens, new request; index of the shed one or the refusal.
    type Case<'a> = (&'a [Tier], u64, Tier, Result<Option<usize>, Reason>);
    let cases: [Case<'_>; 9] = [
        (&[NIGHTLY], 0, WEEKLY, Ok(None)),
        (&[NIGHTLY, WEEKLY], 0, NIGHTLY, Ok(Some(1))),
        (&[NIGHTLY, NIGHTLY], 0, WEEKLY, Err(QueueFull)),
        (&[NIGHTLY, URGENT], 0, URGENT, Ok(Some(0))),
        (&[URGENT, CHAT], 0, URGENT, Ok(Some(1))),
        (&[URGENT, URGENT], 0, NIGHTLY, Err(QueueFull)),
        (&[URGENT, URGENT], 0, URGENT, Err(QueueFull)),
        (&[URGENT, CHAT], 10, URGENT, Ok(None)),
        (
            &[URGENT, URGENT, URGENT, URGENT],
            10,
            URGENT,
            Err(QueueFull),
        ),
    ];
    for case @ (waiting, running, tier, expected) in cases {
        let mut fixture = without_headroom(Settings {
            capacity: 2,
            ceiling: 4,
            ..Settings::default()
        });
        fixture.report_load(0, 10, running);
        let keys: Vec<_> = waiting
            .iter()
            .map(|&tier| fixture.submit(tier, 100))
            .collect();
        let request = fixture.request(tier, 100);
        let accepted = fixture.enqueue(request).map(|_| ());
        assert_eq!(accepted, expected.map(|_| ()), "{case:?}");
        let shed = expected.ok().flatten().map(|index| (keys[index], Shed));
        assert_eq!(fixture.poll_shed(), Vec::from_iter(shed), "{case:?}");
    }
}

/// Guards against a few very large requests that stay below the bound on the request count.
#[test]
fn queued_work_is_bounded() {
    let mut fixture = without_headroom(Settings {
        work: Tokens(1_000),
        ..Settings::default()
    });
    let first = fixture.submit(NIGHTLY, 600);
    let second = fixture.request(NIGHTLY, 600);
    assert_eq!(fixture.enqueue(second), Err(Reason::QueueFull));
    fixture.submit(URGENT, 5_000);
    assert_eq!(fixture.poll_shed(), [(first, Reason::Shed)]);
}

/// Guards against responses after the deadline, and against an expired request that is not refused
/// because no wake-up is scheduled for its deadline.
#[test]
fn expired_requests_are_shed_on_time() {
    let mut fixture = without_headroom(Settings::default());
    let key = fixture.submit_for("a", URGENT, 100, Some(3));
    assert_eq!(fixture.poll_shed(), []);
    let due = fixture.router.request(key).and_then(|r| r.deadline);
    assert_eq!(fixture.router.next_wake(fixture.now), due);
    fixture.advance(3_000);
    assert_eq!(fixture.poll_shed(), [(key, Reason::Deadline)]);
    assert_eq!(fixture.router.next_wake(fixture.now), None);
    let mut late = fixture.request(URGENT, 100);
    late.deadline = due;
    assert_eq!(fixture.enqueue(late), Err(Reason::Deadline));
}

/// Guards against small requests and batch work that take the headroom for which a large or an
/// interactive request waits, and against waiting batch work that blocks interactive work.
#[test]
fn headroom_is_kept_for_the_first_request() {
    for (first, second) in [(URGENT, NIGHTLY), (URGENT, URGENT), (NIGHTLY, NIGHTLY)] {
        let mut fixture = Fixture::new(Settings::default(), 1, &[1_000]);
        fixture.report_load(0, 600, 0);
        fixture.submit(first, 500);
        fixture.submit(second, 100);
        assert_eq!(fixture.dispatches(), [], "{first:?} {second:?}");
        fixture.report_load(0, 300, 0);
        assert_eq!(fixture.dispatches().len(), 2);
        fixture.submit(URGENT, 150);
        let dispatched = usize::from(second == NIGHTLY);
        assert_eq!(
            fixture.dispatches().len(),
            dispatched,
            "{first:?} {second:?}"
        );
    }
}

/// Guards against batch work of one route that takes the headroom for which an interactive
/// request of another route waits.
#[test]
fn headroom_is_kept_across_routes() {
    let mut fixture = Fixture::new(Settings::default(), 1, &[1_000, 1_000]);
    fixture.report_load(0, 600, 0);
    let mut urgent = fixture.request(URGENT, 500);
    urgent.route = fixture.other_route;
    fixture.enqueue(urgent).expect("the queue has room");
    for _ in 0..4 {
        fixture.submit(NIGHTLY, 240);
    }
    // A single poll may sample only targets that are excluded, so it polls several times.
    let polls = (0..10).flat_map(|_| fixture.dispatches());
    let targets: Vec<_> = polls.map(|dispatch| dispatch.target).collect();
    assert_eq!(targets, [fixture.targets[1]; 4]);
}

/// Guards against estimates that ignore observed outputs or the limit of the request, and
/// against estimates whose number grows with the number of organisations.
#[test]
fn output_estimates_follow_observations_within_bounds() {
    let settings = Settings {
        estimates: 64,
        ..Settings::default()
    };
    let mut fixture = Fixture::new(settings, 1, &[1_000_000]);
    let known = fixture.router.organisation_key(&Name::new("known"));
    for _ in 0..50 {
        fixture
            .router
            .record_output(known, fixture.route, Tokens(80));
    }
    // Organisation, limit of the request, expected output.
    for (name, limit, expected) in [("known", 1_000, 80), ("known", 50, 50), ("new", 1_000, 80)] {
        let mut request = fixture.request(URGENT, 100);
        request.organisation = fixture.router.organisation_key(&Name::new(name));
        request.max_output = Tokens(limit);
        fixture.enqueue(request).expect("the queue has room");
        assert_eq!(
            fixture.dispatch().offer.output.0,
            expected,
            "{name}, {limit}"
        );
    }
    for index in 0..1_000 {
        let name = Name::new(&format!("organisation-{index}"));
        let org = fixture.router.organisation_key(&name);
        fixture.router.record_output(org, fixture.route, Tokens(10));
    }
    let records = fixture.router.record_count();
    assert!(records <= 64 + 3, "{records} records");
}

/// Guards against a batch request that would miss its deadline and displaces one that can still
/// meet its own. Each case has the tier, the seconds to the deadline, and whether a request of
/// 100 tokens is dispatched after another one of 100 tokens took ten seconds.
#[test]
fn batch_work_that_would_miss_its_deadline_is_shed() {
    let cases = [(NIGHTLY, 4, false), (NIGHTLY, 6, true), (URGENT, 4, true)];
    for (tier, seconds, sent) in cases {
        let mut fixture = Fixture::new(Settings::default(), 1, &[1_000]);
        fixture.submit(NIGHTLY, 100);
        let first = fixture.dispatch();
        fixture.advance(10_000);
        fixture.outcome(first.offer.attempt, Outcome::Answered);
        let key = fixture.submit_for("ropeworks", tier, 100, Some(seconds));
        if sent {
            assert_eq!(fixture.dispatch().request, key, "{tier:?}, {seconds} s");
        } else {
            assert_eq!(
                fixture.poll_shed(),
                [(key, Reason::Deadline)],
                "the poll that drops the request returns its refusal"
            );
        }
    }
}
