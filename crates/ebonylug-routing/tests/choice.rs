//! The choice of a target from stale reports.

mod common;

use std::time::Duration;

use common::{CHAT, Fixture, NIGHTLY, URGENT, refusal};
use ebonylug_core::{Gate, Incarnation, Outcome, Reason, RequestId, Tokens};
use ebonylug_routing::{Action, Settings, TargetKind};
use rand::{RngExt, SeedableRng};

fn fixture(limits: &[u64]) -> Fixture {
    Fixture::new(Settings::default(), 3, limits)
}

/// Guards against filling a target twice because its report is older than the own sends, and
/// against leaving it idle because the report is older than the own answers.
#[test]
fn own_work_corrects_a_stale_report() {
    let mut fixture = fixture(&[1_000]);
    for _ in 0..6 {
        fixture.put(NIGHTLY, 400);
    }
    let sent = fixture.dispatches();
    assert_eq!(sent.len(), 2);
    fixture.advance(2);
    fixture.load(0, 0, 0);
    assert_eq!(
        fixture.dispatches(),
        [],
        "a report within the round trip lacks the sends"
    );
    fixture.advance(100);
    fixture.load(0, 800, 800);
    assert_eq!(
        fixture.dispatches(),
        [],
        "the work is counted once, not forgotten"
    );
    fixture.outcome(sent[0].offer.attempt, Outcome::Answered);
    let third = fixture.dispatch();
    // The refused one never was in a report, so its end must not make room a second time.
    fixture.outcome(third.offer.attempt, refusal(Reason::Full));
    fixture.advance(100);
    fixture.dispatch();
    fixture.advance(100);
    fixture.load(0, 400, 400);
    fixture.dispatch();
}

/// Guards against reports that arrive late and bring back an older state or an older life.
#[test]
fn late_reports_are_discarded() {
    let mut fixture = fixture(&[1_000]);
    let first_life = fixture.reports[0].clone();
    fixture.report(0, |report| report.gate = Gate::Leaving);
    fixture.report(0, |report| report.incarnation = Incarnation(2));
    fixture.put(URGENT, 100);
    fixture
        .router
        .apply_report(fixture.now, fixture.targets[0], &first_life);
    assert_eq!(fixture.dispatches(), []);
    fixture.report(0, |report| report.gate = Gate::Open);
    assert_eq!(fixture.dispatch().offer.incarnation, Incarnation(2));
}

/// Guards against sending what the sidecar will clearly refuse, and against holding back what
/// it would admit.
#[test]
fn room_depends_on_the_class() {
    // Used, batch, reserved, zone factors; whether interactive and batch work of 100 tokens
    // has room at a limit of 1,000.
    let cases = [
        (0, 0, 0, [1.0, 1.0], [true, true]),
        (950, 0, 0, [1.0, 1.0], [false, false]),
        (950, 400, 0, [1.0, 1.0], [true, false]),
        (700, 0, 250, [1.0, 1.0], [true, false]),
        (700, 0, 0, [0.5, 1.0], [false, true]),
        (700, 0, 0, [1.0, 0.5], [true, false]),
        (0, 0, 0, [0.5, 0.0], [true, false]),
        (0, 0, 0, [1.0, f64::NAN], [true, false]),
    ];
    for case @ (used, batch, reserved, [interactive, factor], expected) in cases {
        for (tier, expected) in [URGENT, NIGHTLY].into_iter().zip(expected) {
            let mut fixture = fixture(&[1_000]);
            let zone = fixture.zones[0];
            fixture.router.set_zone_factor(zone, interactive, factor);
            fixture.report(0, |report| report.reserved = Tokens(reserved));
            fixture.load(0, used, batch);
            fixture.put(tier, 100);
            assert_eq!(
                fixture.dispatches().len() == 1,
                expected,
                "{case:?} {tier:?}"
            );
        }
    }
}

/// Guards against a cold target with a small limit that gets several requests at once or none,
/// and against one large request that holds up all others.
#[test]
fn a_request_above_the_limit_waits_for_an_idle_target() {
    for tier in [URGENT, NIGHTLY] {
        let mut fixture = fixture(&[50]);
        fixture.load(0, 20, 0);
        let large = fixture.put(tier, 400);
        let small = fixture.put(tier, 10);
        assert_eq!(fixture.dispatch().request, small);
        fixture.put(tier, 10);
        fixture.advance(100);
        fixture.load(0, 0, 0);
        assert_eq!(fixture.dispatch().request, large);
    }
}

/// Guards against sending again and again to a target that refuses, and against one that is
/// never tried again.
#[test]
fn a_refusal_pauses_the_target() {
    let mut fixture = fixture(&[1_000]);
    fixture.put(URGENT, 100);
    for pause in [50, 100, 200] {
        let attempt = fixture.dispatch().offer.attempt;
        fixture.outcome(attempt, refusal(Reason::Full));
        fixture.advance(pause - 1);
        assert_eq!(fixture.dispatches(), [], "within {pause} ms");
        let end = fixture.now + Duration::from_millis(1);
        assert_eq!(fixture.router.next_wake(fixture.now), Some(end));
        fixture.now = end;
    }
    let attempt = fixture.dispatch().offer.attempt;
    fixture.outcome(attempt, refusal(Reason::Full));
    fixture.load(0, 0, 0);
    fixture.dispatch();
    // The refusal of a batch request says nothing about interactive ones.
    fixture.put(NIGHTLY, 100);
    let attempt = fixture.dispatch().offer.attempt;
    fixture.outcome(attempt, refusal(Reason::Full));
    let urgent = fixture.put(URGENT, 100);
    assert_eq!(fixture.dispatch().request, urgent);
}

/// Guards against herding: entries that see the same reports all choose the same target.
#[test]
fn entries_with_equal_reports_spread_over_the_targets() {
    let mut counts = [0; 20];
    for seed in 0..400 {
        let mut fixture = Fixture::new(Settings::default(), seed, &[10_000; 20]);
        // One target looks best to everybody.
        for target in 1..20 {
            fixture.load(target, 1_000, 0);
        }
        fixture.put(URGENT, 100);
        let target = fixture.dispatch().target;
        counts[fixture.index(target)] += 1;
    }
    // With 3 random choices of 20, the best target gets 3/20 of the requests, about 60.
    assert!(
        counts.iter().all(|count| (1..100).contains(count)),
        "{counts:?}"
    );
}

/// Guards against equal shares for unequal engines, and against loading a cold one like others.
#[test]
fn faster_and_warmer_targets_get_more() {
    for (slow, cold, expected) in [(500.0, false, 0.25), (2_000.0, true, 0.5)] {
        let mut fixture = fixture(&[1_000_000; 8]);
        // The speed is learned from several reports.
        for target in (0..8).cycle().take(8 * 20) {
            fixture.report(target, |report| {
                report.rate = if target < 4 { slow } else { 2_000.0 };
                report.cold = cold && target < 4;
            });
        }
        let mut sent = [0.0; 2];
        for _ in 0..400 {
            fixture.put(NIGHTLY, 1_000);
            let target = fixture.dispatch().target;
            sent[usize::from(fixture.index(target) >= 4)] += 1.0;
        }
        let off: f64 = sent[0] / sent[1] - expected;
        assert!(off.abs() < 0.15, "{sent:?}, expected {expected}");
    }
}

/// Guards against wasted prefill (a known prefix goes elsewhere), against hot spots (a popular
/// prefix overloads its target), and against hints that outlive the cache.
#[test]
fn a_prefix_is_followed_within_a_bound() {
    let mut fixture = fixture(&[10_000; 10]);
    let blocks = [77, 78, 79, 80, 81, 82, 83, 84];
    let send = |fixture: &mut Fixture| {
        let mut request = fixture.request(CHAT, 1_000);
        request.prefix = blocks.into_iter().collect();
        fixture.enqueue(request).expect("the queue has room");
        let dispatch = fixture.dispatch();
        (dispatch.target, dispatch.offer.cached.0)
    };
    let (first, cached) = send(&mut fixture);
    let home = fixture.index(first);
    assert_eq!(cached, 0);
    assert_eq!(send(&mut fixture), (first, 8 * 64));
    fixture.advance(100);
    // The home has room, but is above half of its limit and far above the average.
    fixture.load(home, 7_000, 7_000);
    let (third, _) = send(&mut fixture);
    assert_ne!(third, first);
    // The second holder has lost the prefix, and the first one is free again.
    fixture.router.record_evicted(third, &blocks);
    fixture.load(home, 0, 0);
    assert_eq!(send(&mut fixture), (first, 8 * 64));
    fixture.report(home, |report| report.incarnation = Incarnation(9));
    assert_eq!(
        send(&mut fixture).1,
        0,
        "a new incarnation has an empty cache"
    );
}

/// Guards against batch streams that are preempted although another target has free room.
#[test]
fn free_room_comes_before_preemption() {
    let mut fixture = fixture(&[1_000; 8]);
    for target in 0..8 {
        fixture.load(target, 900, 900);
    }
    fixture.load(5, 400, 0);
    fixture.put(URGENT, 500);
    let target = fixture.dispatch().target;
    assert_eq!(fixture.index(target), 5);
    // Without free room anywhere, urgent work does not wait for it.
    fixture.put(URGENT, 500);
    let target = fixture.dispatch().target;
    assert_ne!(fixture.index(target), 5);
}

/// Guards against prefill that is computed once more at another target: by batch requests whose
/// shared prompt is just being computed, and by one whose target is full. Others do not wait.
#[test]
fn batch_work_waits_for_a_warm_cache() {
    let mut fixture = fixture(&[2_000; 4]);
    let blocks = [77, 78, 79, 80, 81, 82, 83, 84];
    let put = |fixture: &mut Fixture, seconds: u64| {
        let mut request = fixture.request(NIGHTLY, 600);
        request.prefix = blocks.into_iter().collect();
        request.deadline = Some(fixture.now + Duration::from_secs(seconds));
        fixture.enqueue(request).expect("the queue has room")
    };
    put(&mut fixture, 1_000);
    let first = fixture.dispatch();
    let home = fixture.index(first.target);
    // The prompt is being computed: who shares it waits, up to a quarter of its slack.
    let hurried = put(&mut fixture, 8);
    let second = put(&mut fixture, 1_000);
    assert_eq!(fixture.dispatches(), []);
    let other = fixture.put(NIGHTLY, 600);
    assert_eq!(fixture.dispatch().request, other, "no one is held up");
    let wake = fixture.now + Duration::from_secs(2);
    assert_eq!(fixture.router.next_wake(fixture.now), Some(wake));
    fixture.now = wake;
    let dispatch = fixture.dispatch();
    assert_eq!((dispatch.request, dispatch.target), (hurried, first.target));
    // The answer shows that the cache is warm.
    fixture.outcome(first.offer.attempt, Outcome::Answered);
    let dispatch = fixture.dispatch();
    assert_eq!((dispatch.request, dispatch.target), (second, first.target));
    assert_eq!(dispatch.offer.cached, Tokens(8 * 64));
    // A full target is waited for as well, until it reports room.
    fixture.load(home, 2_000, 0);
    let third = put(&mut fixture, 1_000);
    assert_eq!(fixture.dispatches(), []);
    fixture.load(home, 500, 0);
    let dispatch = fixture.dispatch();
    assert_eq!((dispatch.request, dispatch.target), (third, first.target));
}

/// Guards against a preempted request that computes its prompt again elsewhere, and against one
/// that waits for its target for ever.
#[test]
fn a_preempted_request_waits_for_its_target() {
    for room in [true, false] {
        let mut fixture = fixture(&[2_000; 4]);
        let key = fixture.put_for("ropeworks", NIGHTLY, 600, Some(1_000));
        let first = fixture.dispatch();
        let home = fixture.index(first.target);
        fixture.advance(100);
        let preempted = Outcome::Preempted { received: 7 };
        fixture.outcome(first.offer.attempt, preempted);
        fixture.load(home, 2_000, 0);
        assert_eq!(fixture.dispatches(), [], "the target is full");
        if room {
            fixture.load(home, 1_500, 0);
        } else {
            fixture.advance(10_000);
        }
        let dispatch = fixture.dispatch();
        assert_eq!(dispatch.request, key);
        assert_eq!(dispatch.target == first.target, room);
        assert_eq!(dispatch.offer.cached > Tokens::ZERO, room);
    }
}

/// Guards against small or less urgent requests that take all the room that a large urgent one
/// waits for, and against a large one that holds up all others.
#[test]
fn an_urgent_request_that_waits_keeps_one_target() {
    let mut fixture = fixture(&[1_000; 4]);
    for target in 0..4 {
        fixture.load(target, 500 + 50 * target as u64, 0);
    }
    let large = fixture.put(URGENT, 600);
    for _ in 0..6 {
        fixture.put(CHAT, 100);
    }
    fixture.put(NIGHTLY, 10);
    let sent: Vec<usize> = fixture
        .dispatches()
        .iter()
        .map(|sent| fixture.index(sent.target))
        .collect();
    assert_eq!(
        sent.len(),
        6,
        "{sent:?}: batch work waits, the others go on"
    );
    assert!(
        !sent.contains(&0),
        "{sent:?}: the one with the most room is kept"
    );
    fixture.advance(100);
    fixture.load(0, 400, 0);
    assert_eq!(fixture.dispatches()[0].request, large);
}

/// Guards against a version that gets more or less than its share, also while the targets of
/// either version are full, while requests expire, and while the shares change all the time.
#[test]
fn versions_follow_their_shares() {
    // Share of the new version, limits of both, and whether it must get its whole share.
    let cases = [
        (0.1, 1_000_000, 1_000_000, true),
        (0.1, 1_000_000, 1_500, false),
        (0.1, 2_000, 1_000_000, false),
        (0.6, 2_000, 1_000_000, false),
    ];
    for (case @ (share, old, new, whole), moving) in cases
        .into_iter()
        .flat_map(|case| [(case, false), (case, true)])
    {
        let mut fixture = fixture(&[old]);
        fixture.add(1, new);
        fixture.shares([0.95, 0.05]);
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(9);
        let mut counts = [0.0; 2];
        let mut running = Vec::new();
        for step in 0..2_000 {
            let change = if moving {
                f64::from(step % 2) * 1e-6
            } else {
                0.0
            };
            fixture.shares([1.0 - share - change, share + change]);
            let mut request = fixture.request(NIGHTLY, 400);
            request.id = RequestId(rng.random());
            request.deadline = Some(fixture.now + Duration::from_secs(1));
            fixture.enqueue(request).expect("the queue has room");
            for action in fixture.router.poll(fixture.now) {
                let Action::Dispatch(dispatch) = action else {
                    assert!(old < 1_000_000, "the old version has room: {action:?}");
                    continue;
                };
                counts[fixture.index(dispatch.target)] += 1.0;
                running.push(dispatch.offer.attempt);
            }
            let own = share * (counts[0] + counts[1]);
            // One request beyond the share, and the share of those that wait.
            let ahead = share * Settings::default().lookahead as f64;
            assert!(counts[1] <= own + 1.0 + ahead, "{counts:?} {case:?}");
            assert!(!whole || counts[1] >= own - 1.0, "{counts:?} {case:?}");
            if !running.is_empty() && rng.random_bool(0.7) {
                let attempt = running.remove(rng.random_range(0..running.len()));
                // Not an answer: it would teach a pace at which each later request is hopeless.
                fixture.outcome(attempt, Outcome::Failed);
            }
            fixture.advance(20);
        }
        assert!(counts[0] + counts[1] > 1_000.0, "{counts:?} {case:?}");
    }
}

/// Guards against a burst above its share for a version that had no room, and against an
/// answer from two versions. The router is started while the version is on its way up.
#[test]
fn what_a_version_could_not_take_stays_with_the_other() {
    let mut fixture = fixture(&[]);
    fixture.add(0, 1_000_000);
    fixture.add(1, 0);
    fixture.shares([0.9, 0.1]);
    let mut attempts = Vec::new();
    for _ in 0..100 {
        fixture.put(NIGHTLY, 100);
        attempts.push(fixture.dispatch().offer.attempt);
    }
    fixture.report(1, |report| report.limit = Tokens(1_000_000));
    fixture.shares([0.5, 0.5]);
    for attempt in attempts {
        fixture.outcome(attempt, Outcome::Preempted { received: 1 });
        let target = fixture.dispatch().target;
        assert_eq!(target, fixture.targets[0]);
    }
    fixture.shares([0.9, 0.1]);
    let mut new = 0;
    for _ in 0..20 {
        fixture.put(NIGHTLY, 100);
        let target = fixture.dispatch().target;
        new += fixture.index(target);
    }
    assert!((1..=4).contains(&new), "{new} of 20 at a share of 0.1");
}

/// Guards against counting calls to plain services in tokens of their content.
#[test]
fn a_service_call_costs_one_token() {
    let mut fixture = fixture(&[]);
    fixture.kind = TargetKind::Service;
    fixture.add(0, 3);
    fixture.shares([1.0, 0.0]);
    for _ in 0..5 {
        fixture.put(URGENT, 5_000);
    }
    let costs: Vec<_> = fixture
        .dispatches()
        .iter()
        .map(|d| d.offer.cost().0)
        .collect();
    assert_eq!(costs, [1, 1, 1]);
}
