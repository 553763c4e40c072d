//! Order, fairness, shedding and forecasts of the queue.

mod common;

use std::collections::HashMap;

use common::{CHAT, Fixture, NIGHTLY, URGENT, WEEKLY};
use ebonylug_core::{Name, Outcome, Reason, Tier, Tokens};
use ebonylug_routing::{RequestKey, Settings};

const HOUR: u64 = 3_600;

/// Creates a router whose only target has no room.
fn closed(settings: Settings) -> Fixture {
    Fixture::new(settings, 1, &[0])
}

/// Runs the queue with one request at a time, and returns the requests in order.
fn drain(mut fixture: Fixture) -> Vec<RequestKey> {
    fixture.report(0, |report| report.limit = Tokens(1));
    let mut order = Vec::new();
    while let Some(dispatch) = fixture.dispatches().first() {
        order.push(dispatch.request);
        fixture.outcome(dispatch.offer.attempt, Outcome::Answered);
    }
    order
}

/// Guards against urgent requests that wait behind others.
#[test]
fn tiers_and_deadlines_set_the_order() {
    let mut fixture = closed(Settings::default());
    // Tier, deadline in hours, place in the expected order.
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
    for (tier, hours, place) in cases {
        expected[place] = fixture.put_for("a", tier, 100, hours.map(|hours| HOUR * hours));
    }
    assert_eq!(drain(fixture), expected);
}

/// Guards against an organisation with large or many requests that crowds out another.
#[test]
fn batch_capacity_is_shared_in_tokens() {
    for (weight, expected) in [(1, 0.5), (3, 0.75)] {
        let mut fixture = closed(Settings::default());
        let heavy = fixture.router.organisation_key(&Name::new("heavy"));
        fixture.router.set_weight(heavy, weight);
        let mut costs = HashMap::new();
        for _ in 0..200 {
            costs.insert(fixture.put_for("heavy", NIGHTLY, 5_000, None), 5_000.0);
        }
        for _ in 0..2_000 {
            fixture.put_for("light", NIGHTLY, 100, None);
        }
        let (mut total, mut own) = (0.0, 0.0);
        for key in drain(fixture) {
            let cost = costs.get(&key);
            own += cost.unwrap_or(&0.0);
            total += cost.unwrap_or(&100.0);
            // Until one of them has nothing left, fair order is off by one request of each.
            let off: f64 = own - expected * total;
            let fair = total > 250_000.0 || off.abs() <= 5_100.0;
            assert!(fair, "{own} of {total} tokens, weight {weight}");
        }
    }
}

/// Guards against fair order that makes a batch request miss its deadline.
#[test]
fn batch_work_near_its_deadline_goes_before_fair_order() {
    for (seconds, first) in [(61, false), (59, true)] {
        let mut fixture = closed(Settings::default());
        fixture.put_for("early", NIGHTLY, 10, None);
        fixture.put_for("late", NIGHTLY, 1_000, Some(30));
        fixture.put_for("early", NIGHTLY, 10, None);
        let near = fixture.put_for("late", NIGHTLY, 1_000, Some(seconds));
        assert_eq!(drain(fixture)[1] == near, first, "{seconds} s");
    }
}

/// Creates a target that does one batch request of 1,000 tokens per second, with 100 such
/// requests due after 130 s and 100 due in two days.
fn one_per_second() -> (Fixture, Vec<RequestKey>) {
    let mut fixture = Fixture::new(Settings::default(), 1, &[1_000]);
    let mut due = Vec::new();
    for _ in 0..100 {
        due.push(fixture.put_for("due", NIGHTLY, 1_000, Some(130)));
        fixture.put_for("other", NIGHTLY, 1_000, Some(48 * HOUR));
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

/// Guards against a large amount of work that becomes urgent only shortly before its deadline:
/// fair order up to the last minute would do 95 of the 100 requests in time.
#[test]
fn a_large_amount_of_work_becomes_urgent_early() {
    let (mut fixture, due) = one_per_second();
    let order = run_seconds(&mut fixture, 129);
    let done = order.iter().filter(|key| due.contains(key)).count();
    assert_eq!(done, due.len());
}

/// Guards against callers who learn only at the deadline that their work is late.
#[test]
fn late_batch_work_is_foretold() {
    let (mut fixture, _) = one_per_second();
    run_seconds(&mut fixture, 60);
    assert_eq!(fixture.router.batch_at_risk(fixture.now), []);
    for _ in 0..100 {
        fixture.put_for("due", NIGHTLY, 1_000, Some(70));
    }
    // 30 to 60 of the first 100 are done, so that 140 to 170 are due within 70 s.
    let late = fixture.router.batch_at_risk(fixture.now).len();
    assert!((70..=100).contains(&late), "{late} requests are at risk");
}

/// Guards against shedding urgent work before batch work, or while batch work runs, and
/// against a queue without a bound.
#[test]
fn the_lowest_tier_is_shed_first() {
    use Reason::{QueueFull, Shed};
    // What waits, batch tokens that run, the new request; which one is shed, or the refusal.
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
        let mut fixture = closed(Settings {
            capacity: 2,
            ceiling: 4,
            ..Settings::default()
        });
        fixture.load(0, 10, running);
        let keys: Vec<_> = waiting.iter().map(|&tier| fixture.put(tier, 100)).collect();
        let request = fixture.request(tier, 100);
        let accepted = fixture.enqueue(request).map(|_| ());
        assert_eq!(accepted, expected.map(|_| ()), "{case:?}");
        let shed = expected.ok().flatten().map(|index| (keys[index], Shed));
        assert_eq!(fixture.shed(), Vec::from_iter(shed), "{case:?}");
    }
}

/// Guards against a few huge requests that pass the bound on the number of requests.
#[test]
fn queued_work_is_bounded() {
    let mut fixture = closed(Settings {
        work: Tokens(1_000),
        ..Settings::default()
    });
    let first = fixture.put(NIGHTLY, 600);
    let second = fixture.request(NIGHTLY, 600);
    assert_eq!(fixture.enqueue(second), Err(Reason::QueueFull));
    fixture.put(URGENT, 5_000);
    assert_eq!(fixture.shed(), [(first, Reason::Shed)]);
}

/// Guards against answers that come after their deadline, and against a caller that waits for
/// a refusal that nothing triggers.
#[test]
fn expired_requests_are_shed_on_time() {
    let mut fixture = closed(Settings::default());
    let key = fixture.put_for("a", URGENT, 100, Some(3));
    assert_eq!(fixture.shed(), []);
    let due = fixture.router.request(key).and_then(|r| r.deadline);
    assert_eq!(fixture.router.next_wake(fixture.now), due);
    fixture.advance(3_000);
    assert_eq!(fixture.shed(), [(key, Reason::Deadline)]);
    assert_eq!(fixture.router.next_wake(fixture.now), None);
    let mut late = fixture.request(URGENT, 100);
    late.deadline = due;
    assert_eq!(fixture.enqueue(late), Err(Reason::Deadline));
}

/// Guards against small requests, and batch work, that take the room for which a large or an
/// interactive request waits; and against batch work that keeps interactive work out.
#[test]
fn room_is_kept_for_the_first_request() {
    for (first, second) in [(URGENT, NIGHTLY), (URGENT, URGENT), (NIGHTLY, NIGHTLY)] {
        let mut fixture = Fixture::new(Settings::default(), 1, &[1_000]);
        fixture.load(0, 600, 0);
        fixture.put(first, 500);
        fixture.put(second, 100);
        assert_eq!(fixture.dispatches(), [], "{first:?} {second:?}");
        fixture.load(0, 300, 0);
        assert_eq!(fixture.dispatches().len(), 2);
        fixture.put(URGENT, 150);
        let room = usize::from(second == NIGHTLY);
        assert_eq!(fixture.dispatches().len(), room, "{first:?} {second:?}");
    }
}

/// Guards against batch work of one route that takes the room for which an interactive request
/// of another route waits.
#[test]
fn room_is_kept_across_routes() {
    let mut fixture = Fixture::new(Settings::default(), 1, &[1_000, 1_000]);
    fixture.load(0, 600, 0);
    let mut urgent = fixture.request(URGENT, 500);
    urgent.route = fixture.other;
    fixture.enqueue(urgent).expect("the queue has room");
    for _ in 0..4 {
        fixture.put(NIGHTLY, 240);
    }
    // A poll may draw only targets that are kept, so there are several.
    let polls = (0..10).flat_map(|_| fixture.dispatches());
    let targets: Vec<_> = polls.map(|dispatch| dispatch.target).collect();
    assert_eq!(targets, [fixture.targets[1]; 4]);
}

/// Guards against estimates that ignore what was learned or the limit of the request, and
/// against tables that grow with the number of organisations.
#[test]
fn expected_output_is_learned_within_bounds() {
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
    let footprint = fixture.router.footprint();
    assert!(footprint <= 64 + 3, "{footprint} entries");
}

/// Guards against a batch request that takes the place of one that can still be done, although
/// its own answer would come too late. Each row: seconds to the deadline, and whether a request
/// of 100 tokens is sent after one of 100 tokens took ten seconds.
#[test]
fn batch_work_that_cannot_be_done_in_time_is_given_up() {
    let table = [(NIGHTLY, 4, false), (NIGHTLY, 6, true), (URGENT, 4, true)];
    for (tier, seconds, sent) in table {
        let mut fixture = Fixture::new(Settings::default(), 1, &[1_000]);
        fixture.put(NIGHTLY, 100);
        let first = fixture.dispatch();
        fixture.advance(10_000);
        fixture.outcome(first.offer.attempt, Outcome::Answered);
        let key = fixture.put_for("ropeworks", tier, 100, Some(seconds));
        if sent {
            assert_eq!(fixture.dispatch().request, key, "{tier:?}, {seconds} s");
        } else {
            assert_eq!(
                fixture.shed(),
                [(key, Reason::Deadline)],
                "in the same poll"
            );
        }
    }
}
