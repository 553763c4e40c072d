//! Target selection from stale reports.

mod common;

use std::time::Duration;

use common::{CHAT, Fixture, NIGHTLY, URGENT, refusal};
use ebonylug_core::{Gate, Incarnation, Outcome, Reason, RequestId, Tokens};
use ebonylug_routing::{Action, Settings, TargetKind};
use rand::{RngExt, SeedableRng};

fn fixture(limits: &[u64]) -> Fixture {
    Fixture::new(Settings::default(), 3, limits)
}

/// Guards against overloading a target because its report is older than the last dispatches, and
/// against leaving it idle because the report is older than the last responses.
#[test]
fn local_attempts_correct_a_stale_report() {
    let mut fixture = fixture(&[1_000]);
    for _ in 0..6 {
        fixture.submit(NIGHTLY, 400);
    }
    let sent = fixture.dispatches();
    assert_eq!(sent.len(), 2);
    fixture.advance(2);
    fixture.report_load(0, 0, 0);
    assert_eq!(
        fixture.dispatches(),
        [],
        "a report within the round trip does not cover the dispatches"
    );
    fixture.advance(100);
    fixture.report_load(0, 800, 800);
    assert_eq!(
        fixture.dispatches(),
        [],
        "the reported work counts exactly once"
    );
    fixture.outcome(sent[0].offer.attempt, Outcome::Answered);
    let third = fixture.dispatch();
    // No report has included the refused attempt, so its end must not free headroom twice.
    fixture.outcome(third.offer.attempt, refusal(Reason::Full));
    fixture.advance(100);
    fixture.dispatch();
    fixture.advance(100);
    fixture.report_load(0, 400, 400);
    fixture.dispatch();
}

/// Guards against late reports that restore an older state or an older incarnation.
#[test]
fn late_reports_are_discarded() {
    let mut fixture = fixture(&[1_000]);
    let old_report = fixture.reports[0].clone();
    fixture.report(0, |report| report.gate = Gate::Leaving);
    fixture.report(0, |report| report.incarnation = Incarnation(2));
    fixture.submit(URGENT, 100);
    fixture
        .router
        .apply_report(fixture.now, fixture.targets[0], &old_report);
    assert_eq!(fixture.dispatches(), []);
    fixture.report(0, |report| report.gate = Gate::Open);
    assert_eq!(fixture.dispatch().offer.incarnation, Incarnation(2));
}

/// Guards against dispatching requests that the sidecar is certain to refuse, and against holding
/// back requests that it would admit.
#[test]
fn headroom_depends_on_the_class() {
    // Used, batch and reserved tokens, zone factors; whether interactive and batch requests of
    // 100 tokens are dispatched at a limit of 1,000.
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
            fixture.report_load(0, used, batch);
            fixture.submit(tier, 100);
            assert_eq!(
                fixture.dispatches().len() == 1,
                expected,
                "{case:?} {tier:?}"
            );
        }
    }
}

/// Guards against a cold target with a small limit that gets several requests at once or none,
/// and against a large request that blocks all others.
#[test]
fn a_request_above_the_limit_waits_for_an_idle_target() {
    for tier in [URGENT, NIGHTLY] {
        let mut fixture = fixture(&[50]);
        fixture.report_load(0, 20, 0);
        let large = fixture.submit(tier, 400);
        let small = fixture.submit(tier, 10);
        assert_eq!(fixture.dispatch().request, small);
        fixture.submit(tier, 10);
        fixture.advance(100);
        fixture.report_load(0, 0, 0);
        assert_eq!(fixture.dispatch().request, large);
    }
}

/// Guards against repeated dispatch to a target that refuses, and against a target that is never
/// tried again after a refusal.
#[test]
fn a_refusal_pauses_the_target() {
    let mut fixture = fixture(&[1_000]);
    fixture.submit(URGENT, 100);
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
    fixture.report_load(0, 0, 0);
    fixture.dispatch();
    // A refusal of a batch request does not pause interactive work.
    fixture.submit(NIGHTLY, 100);
    let attempt = fixture.dispatch().offer.attempt;
    fixture.outcome(attempt, refusal(Reason::Full));
    let urgent = fixture.submit(URGENT, 100);
    assert_eq!(fixture.dispatch().request, urgent);
}

/// Guards against herding, where entries with the same reports all choose the same target.
#[test]
fn entries_with_equal_reports_spread_over_the_targets() {
    let mut counts = [0; 20];
    for seed in 0..400 {
        let mut fixture = Fixture::new(Settings::default(), seed, &[10_000; 20]);
        // One target has the least load in the reports of every entry.
        for target in 1..20 {
            fixture.report_load(target, 1_000, 0);
        }
        fixture.submit(URGENT, 100);
        let target = fixture.dispatch().target;
        counts[fixture.target_index(target)] += 1;
    }
    // With 3 random choices of 20, the best target gets 3/20 of the requests, about 60.
    assert!(
        counts.iter().all(|count| (1..100).contains(count)),
        "{counts:?}"
    );
}

/// Guards against equal load on engines of unequal speed, and against full load on cold targets.
#[test]
fn fast_and_warm_targets_get_more_requests() {
    for (slow, cold, expected) in [(500.0, false, 0.25), (2_000.0, true, 0.5)] {
        let mut fixture = fixture(&[1_000_000; 8]);
        // The speed is a moving average over several reports.
        for target in (0..8).cycle().take(8 * 20) {
            fixture.report(target, |report| {
                report.rate = if target < 4 { slow } else { 2_000.0 };
                report.cold = cold && target < 4;
            });
        }
        let mut sent = [0.0; 2];
        for _ in 0..400 {
            fixture.submit(NIGHTLY, 1_000);
            let target = fixture.dispatch().target;
            sent[usize::from(fixture.target_index(target) >= 4)] += 1.0;
        }
        let deviation: f64 = sent[0] / sent[1] - expected;
        assert!(deviation.abs() < 0.15, "{sent:?}, expected {expected}");
    }
}

/// Guards against repeated prefill of a prefix that is cached at another target, against hot
/// spots where a popular prefix overloads its target, and against hints that outlive the cache.
#[test]
fn prefix_affinity_is_bounded() {
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
    let holder = fixture.target_index(first);
    assert_eq!(cached, 0);
    assert_eq!(send(&mut fixture), (first, 8 * 64));
    fixture.advance(100);
    // The holder has headroom, but is above half of its limit and far above the average.
    fixture.report_load(holder, 7_000, 7_000);
    let (third, _) = send(&mut fixture);
    assert_ne!(third, first);
    // The second holder has evicted the prefix, and the first one is idle again.
    fixture.router.record_evicted(third, &blocks);
    fixture.report_load(holder, 0, 0);
    assert_eq!(send(&mut fixture), (first, 8 * 64));
    fixture.report(holder, |report| report.incarnation = Incarnation(9));
    assert_eq!(
        send(&mut fixture).1,
        0,
        "a new incarnation has an empty cache"
    );
}

/// Guards against preemption of batch streams while another target has free headroom.
#[test]
fn free_headroom_is_used_before_preemption() {
    let mut fixture = fixture(&[1_000; 8]);
    for target in 0..8 {
        fixture.report_load(target, 900, 900);
    }
    fixture.report_load(5, 400, 0);
    fixture.submit(URGENT, 500);
    let target = fixture.dispatch().target;
    assert_eq!(fixture.target_index(target), 5);
    // Without free headroom at any target, interactive work preempts batch work.
    fixture.submit(URGENT, 500);
    let target = fixture.dispatch().target;
    assert_ne!(fixture.target_index(target), 5);
}

/// Guards against repeated prefill at another target, both for batch requests whose shared prompt
/// is still being computed and for one whose target is full, and against blocking other requests
/// meanwhile.
#[test]
fn batch_work_waits_for_a_warm_cache() {
    let mut fixture = fixture(&[2_000; 4]);
    let blocks = [77, 78, 79, 80, 81, 82, 83, 84];
    let enqueue = |fixture: &mut Fixture, seconds: u64| {
        let mut request = fixture.request(NIGHTLY, 600);
        request.prefix = blocks.into_iter().collect();
        request.deadline = Some(fixture.now + Duration::from_secs(seconds));
        fixture.enqueue(request).expect("the queue has room")
    };
    enqueue(&mut fixture, 1_000);
    let first = fixture.dispatch();
    let holder = fixture.target_index(first.target);
    // While the prompt is being computed, requests that share it wait for up to a quarter of
    // their slack.
    let short_slack = enqueue(&mut fixture, 8);
    let second = enqueue(&mut fixture, 1_000);
    assert_eq!(fixture.dispatches(), []);
    let unrelated = fixture.submit(NIGHTLY, 600);
    assert_eq!(
        fixture.dispatch().request,
        unrelated,
        "a request that waits for a cache blocks no others"
    );
    let wake = fixture.now + Duration::from_secs(2);
    assert_eq!(fixture.router.next_wake(fixture.now), Some(wake));
    fixture.now = wake;
    let dispatch = fixture.dispatch();
    assert_eq!(
        (dispatch.request, dispatch.target),
        (short_slack, first.target)
    );
    // The response confirms that the cache is warm.
    fixture.outcome(first.offer.attempt, Outcome::Answered);
    let dispatch = fixture.dispatch();
    assert_eq!((dispatch.request, dispatch.target), (second, first.target));
    assert_eq!(dispatch.offer.cached, Tokens(8 * 64));
    // A request also waits for a full target, until that reports headroom.
    fixture.report_load(holder, 2_000, 0);
    let third = enqueue(&mut fixture, 1_000);
    assert_eq!(fixture.dispatches(), []);
    fixture.report_load(holder, 500, 0);
    let dispatch = fixture.dispatch();
    assert_eq!((dispatch.request, dispatch.target), (third, first.target));
}

/// Guards against a preempted request whose prompt is computed again elsewhere, and against one
/// that waits for its target without limit.
#[test]
fn a_preempted_request_waits_for_its_target() {
    for has_headroom in [true, false] {
        let mut fixture = fixture(&[2_000; 4]);
        let key = fixture.submit_for("ropeworks", NIGHTLY, 600, Some(1_000));
        let first = fixture.dispatch();
        let holder = fixture.target_index(first.target);
        fixture.advance(100);
        let preempted = Outcome::Preempted { received: 7 };
        fixture.outcome(first.offer.attempt, preempted);
        fixture.report_load(holder, 2_000, 0);
        assert_eq!(fixture.dispatches(), [], "the target is full");
        if has_headroom {
            fixture.report_load(holder, 1_500, 0);
        } else {
            fixture.advance(10_000);
        }
        let dispatch = fixture.dispatch();
        assert_eq!(dispatch.request, key);
        assert_eq!(dispatch.target == first.target, has_headroom);
        assert_eq!(dispatch.offer.cached > Tokens::ZERO, has_headroom);
    }
}

/// Guards against small or less urgent requests that take all the headroom that a large
/// interactive one waits for, and against a large request that blocks all others.
#[test]
fn a_waiting_interactive_request_holds_one_target() {
    let mut fixture = fixture(&[1_000; 4]);
    for target in 0..4 {
        fixture.report_load(target, 500 + 50 * target as u64, 0);
    }
    let large = fixture.submit(URGENT, 600);
    for _ in 0..6 {
        fixture.submit(CHAT, 100);
    }
    fixture.submit(NIGHTLY, 10);
    let sent: Vec<usize> = fixture
        .dispatches()
        .iter()
        .map(|sent| fixture.target_index(sent.target))
        .collect();
    assert_eq!(
        sent.len(),
        6,
        "{sent:?}: only batch work and the large request wait"
    );
    assert!(
        !sent.contains(&0),
        "{sent:?}: the target with the most headroom is held"
    );
    fixture.advance(100);
    fixture.report_load(0, 400, 0);
    assert_eq!(fixture.dispatches()[0].request, large);
}

/// Guards against a version that gets more or less than its share, including while the targets of
/// either version are full, while requests expire, and while the shares change at every step.
#[test]
fn versions_follow_their_shares() {
    // Share of the new version, limits of the old and the new one, and whether the new version
    // must get its exact share.
    let cases = [
        (0.1, 1_000_000, 1_000_000, true),
        (0.1, 1_000_000, 1_500, false),
        (0.1, 2_000, 1_000_000, false),
        (0.6, 2_000, 1_000_000, false),
    ];
    for (case @ (share, old, new, exact), varying) in cases
        .into_iter()
        .flat_map(|case| [(case, false), (case, true)])
    {
        let mut fixture = fixture(&[old]);
        fixture.add_target(1, new);
        fixture.set_shares([0.95, 0.05]);
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(9);
        let mut counts = [0.0; 2];
        let mut running = Vec::new();
        for step in 0..2_000 {
            let change = if varying {
                f64::from(step % 2) * 1e-6
            } else {
                0.0
            };
            fixture.set_shares([1.0 - share - change, share + change]);
            let mut request = fixture.request(NIGHTLY, 400);
            request.id = RequestId(rng.random());
            request.deadline = Some(fixture.now + Duration::from_secs(1));
            fixture.enqueue(request).expect("the queue has room");
            for action in fixture.router.poll(fixture.now) {
                let Action::Dispatch(dispatch) = action else {
                    assert!(old < 1_000_000, "the old version has headroom: {action:?}");
                    continue;
                };
                counts[fixture.target_index(dispatch.target)] += 1.0;
                running.push(dispatch.offer.attempt);
            }
            let own = share * (counts[0] + counts[1]);
            // The bound is one request above the share, plus the share of the lookahead.
            let lookahead_share = share * Settings::default().lookahead as f64;
            assert!(
                counts[1] <= own + 1.0 + lookahead_share,
                "{counts:?} {case:?}"
            );
            assert!(!exact || counts[1] >= own - 1.0, "{counts:?} {case:?}");
            if !running.is_empty() && rng.random_bool(0.7) {
                let attempt = running.remove(rng.random_range(0..running.len()));
                // A response would raise the mean latency so far that each later request would be
                // shed because it would miss its deadline.
                fixture.outcome(attempt, Outcome::Failed);
            }
            fixture.advance(20);
        }
        assert!(counts[0] + counts[1] > 1_000.0, "{counts:?} {case:?}");
    }
}

/// Guards against a burst above its share for a version that had no headroom, and against a
/// response from two versions. The router starts while the new version is being rolled out.
#[test]
fn overflow_requests_stay_with_the_fallback_version() {
    let mut fixture = fixture(&[]);
    fixture.add_target(0, 1_000_000);
    fixture.add_target(1, 0);
    fixture.set_shares([0.9, 0.1]);
    let mut attempts = Vec::new();
    for _ in 0..100 {
        fixture.submit(NIGHTLY, 100);
        attempts.push(fixture.dispatch().offer.attempt);
    }
    fixture.report(1, |report| report.limit = Tokens(1_000_000));
    fixture.set_shares([0.5, 0.5]);
    for attempt in attempts {
        fixture.outcome(attempt, Outcome::Preempted { received: 1 });
        let target = fixture.dispatch().target;
        assert_eq!(target, fixture.targets[0]);
    }
    fixture.set_shares([0.9, 0.1]);
    let mut new = 0;
    for _ in 0..20 {
        fixture.submit(NIGHTLY, 100);
        let target = fixture.dispatch().target;
        new += fixture.target_index(target);
    }
    assert!((1..=4).contains(&new), "{new} of 20 at a share of 0.1");
}

/// Guards against costing calls to plain services by the tokens of their content.
#[test]
fn a_service_call_costs_one_token() {
    let mut fixture = fixture(&[]);
    fixture.kind = TargetKind::Service;
    fixture.add_target(0, 3);
    fixture.set_shares([1.0, 0.0]);
    for _ in 0..5 {
        fixture.submit(URGENT, 5_000);
    }
    let costs: Vec<_> = fixture
        .dispatches()
        .iter()
        .map(|d| d.offer.cost().0)
        .collect();
    assert_eq!(costs, [1, 1, 1]);
}
