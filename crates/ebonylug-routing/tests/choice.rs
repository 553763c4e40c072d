//! The choice of a target from stale reports.

mod common;

use std::time::Duration;

use common::{Fixture, NIGHTLY, URGENT, refusal, report};
use ebonylug_core::{Gate, Incarnation, Name, Outcome, Reason, RequestId, Tokens};
use ebonylug_routing::{Settings, TargetInfo, TargetKind, TargetState};
use rand::{RngExt, SeedableRng};

/// Guards against filling a target twice because its report is older than the own sends, and
/// against leaving it idle because the report is older than the own answers.
#[test]
fn own_work_corrects_a_stale_report() {
    let mut fixture = Fixture::new(Settings::default(), 1, &[1_000]);
    for _ in 0..6 {
        fixture.put(NIGHTLY, 400);
    }
    let sent = fixture.dispatches();
    assert_eq!(sent.len(), 2);
    fixture.advance(2);
    fixture.report(0, |report| report.used = Tokens(0));
    assert_eq!(
        fixture.dispatches().len(),
        0,
        "a report within the round trip lacks the sends"
    );
    fixture.advance(100);
    fixture.report(0, |report| {
        (report.used, report.batch) = (Tokens(800), Tokens(800))
    });
    assert_eq!(
        fixture.dispatches().len(),
        0,
        "the work is counted once, not forgotten"
    );
    fixture.outcome(sent[0].offer.attempt, Outcome::Answered);
    let third = fixture.dispatch();
    // The refused one never was in a report, so its end must not make room a second time.
    fixture.outcome(third.offer.attempt, refusal(Reason::Full));
    fixture.advance(100);
    assert_eq!(fixture.dispatches().len(), 1);
    fixture.advance(100);
    fixture.report(0, |report| {
        (report.used, report.batch) = (Tokens(400), Tokens(400))
    });
    assert_eq!(
        fixture.dispatches().len(),
        1,
        "a new report replaces the corrections"
    );
}

/// Guards against reports that arrive late and bring back an older state or an older life.
#[test]
fn late_reports_are_discarded() {
    let mut fixture = Fixture::new(Settings::default(), 1, &[1_000]);
    let first_life = fixture.reports[0].clone();
    fixture.report(0, |report| report.gate = Gate::Leaving);
    let leaving = fixture.reports[0].clone();
    fixture.report(0, |report| {
        (report.incarnation, report.gate) = (Incarnation(2), Gate::Leaving)
    });
    fixture.put(URGENT, 100);
    for late in [first_life, leaving] {
        fixture
            .router
            .report(fixture.now, fixture.targets[0], &late);
        assert_eq!(fixture.dispatches().len(), 0);
    }
    fixture.report(0, |report| report.gate = Gate::Open);
    assert_eq!(fixture.dispatch().offer.incarnation, Incarnation(2));
}

/// Guards against work for a target that must not or cannot take it.
#[test]
fn closed_targets_get_nothing() {
    let state =
        |fixture: &mut Fixture, state| fixture.router.set_target_state(fixture.targets[0], state);
    let cases: [(&str, Box<dyn Fn(&mut Fixture)>); 10] = [
        ("leaving", Box::new(move |f| state(f, TargetState::Leaving))),
        ("silent", Box::new(move |f| state(f, TargetState::Silent))),
        (
            "zone closed",
            Box::new(move |f| state(f, TargetState::ZoneClosed)),
        ),
        ("down", Box::new(move |f| state(f, TargetState::Down))),
        (
            "gate",
            Box::new(|f| f.report(0, |r| r.gate = Gate::ZoneClosed)),
        ),
        ("not up", Box::new(|f| f.report(0, |r| r.up = false))),
        (
            "no limit",
            Box::new(|f| f.report(0, |r| r.limit = Tokens(0))),
        ),
        (
            "zone factor",
            Box::new(|f| f.router.set_zone_factor(f.zones[0], 0.0, 0.0)),
        ),
        (
            "no share",
            Box::new(|f| f.router.set_shares(f.route, &[(f.versions[1], 1.0)])),
        ),
        (
            "share of zero",
            Box::new(|f| f.router.set_shares(f.route, &[(f.versions[0], 0.0)])),
        ),
    ];
    for (name, close) in cases {
        for tier in [URGENT, NIGHTLY] {
            let mut fixture = Fixture::new(Settings::default(), 1, &[1_000]);
            fixture.put(tier, 100);
            close(&mut fixture);
            assert_eq!(fixture.dispatches().len(), 0, "{name}, {tier:?}");
            fixture
                .router
                .set_target_state(fixture.targets[0], TargetState::Live);
            fixture.router.set_zone_factor(fixture.zones[0], 1.0, 1.0);
            fixture
                .router
                .set_shares(fixture.route, &[(fixture.versions[0], 1.0)]);
            fixture.report(0, |report| {
                (report.gate, report.up, report.limit) = (Gate::Open, true, Tokens(1_000))
            });
            assert_eq!(
                fixture.dispatches().len(),
                1,
                "{name}, {tier:?}, open again"
            );
        }
    }
}

/// Guards against sending what the sidecar will clearly refuse, and against holding back what
/// it would admit.
#[test]
fn room_depends_on_the_class() {
    // used, batch, reserved, factors; admitted: interactive, batch of 100 tokens; limit 1,000.
    let cases = [
        (0, 0, 0, [1.0, 1.0], [true, true]),
        (950, 0, 0, [1.0, 1.0], [false, false]),
        (950, 400, 0, [1.0, 1.0], [true, false]),
        (700, 0, 250, [1.0, 1.0], [true, false]),
        (700, 0, 0, [0.5, 1.0], [false, true]),
        (700, 0, 0, [1.0, 0.5], [true, false]),
        (300, 0, 0, [0.5, 0.0], [true, false]),
    ];
    for (used, batch, reserved, [interactive, factor], expected) in cases {
        for (tier, expected) in [URGENT, NIGHTLY].into_iter().zip(expected) {
            let mut fixture = Fixture::new(Settings::default(), 1, &[1_000]);
            fixture
                .router
                .set_zone_factor(fixture.zones[0], interactive, factor);
            fixture.report(0, |report| {
                report.used = Tokens(used);
                report.batch = Tokens(batch);
                report.reserved = Tokens(reserved);
            });
            fixture.put(tier, 100);
            let case = format!("{used} {batch} {reserved} {interactive} {factor} {tier:?}");
            assert_eq!(fixture.dispatches().len() == 1, expected, "{case}");
        }
    }
}

/// Guards against a cold target with a small limit that gets several requests at once, or none.
#[test]
fn an_idle_target_takes_one_request_above_its_limit() {
    for tier in [URGENT, NIGHTLY] {
        let mut fixture = Fixture::new(Settings::default(), 1, &[50]);
        fixture.put(tier, 400);
        fixture.put(tier, 10);
        assert_eq!(fixture.dispatches().len(), 1);
    }
}

/// Guards against sending again and again to a target that refuses, and against one that is
/// never tried again.
#[test]
fn a_refusal_pauses_the_target() {
    let settings = Settings {
        free_refusals: 99,
        ..Settings::default()
    };
    let mut fixture = Fixture::new(settings, 1, &[1_000]);
    fixture.put(URGENT, 100);
    for pause in [50, 100, 200] {
        let attempt = fixture.dispatch().offer.attempt;
        fixture.outcome(attempt, refusal(Reason::Full));
        fixture.advance(pause - 1);
        assert_eq!(fixture.dispatches().len(), 0, "within {pause} ms");
        assert_eq!(
            fixture.router.next_wake(fixture.now),
            Some(fixture.now + Duration::from_millis(1))
        );
        fixture.advance(1);
    }
    let attempt = fixture.dispatch().offer.attempt;
    fixture.outcome(attempt, refusal(Reason::Full));
    fixture.report(0, |_| {});
    let attempt = fixture.dispatch().offer.attempt;
    fixture.outcome(attempt, Outcome::Answered);
    // The refusal of a batch request says nothing about interactive ones.
    let batch = fixture.put(NIGHTLY, 100);
    let attempt = fixture.dispatch().offer.attempt;
    fixture.outcome(attempt, refusal(Reason::Full));
    let urgent = fixture.put(URGENT, 100);
    assert_eq!(fixture.dispatch().request, urgent);
    assert_ne!(urgent, batch);
}

/// Guards against herding: entries that see the same reports all choose the same target.
#[test]
fn entries_with_equal_reports_spread_over_the_targets() {
    let mut counts = [0; 20];
    for seed in 0..400 {
        let mut fixture = Fixture::new(Settings::default(), seed, &[10_000; 20]);
        // One target looks best to everybody.
        for target in 1..20 {
            fixture.report(target, |report| report.used = Tokens(1_000));
        }
        fixture.put(URGENT, 100);
        let target = fixture.dispatch().target;
        counts[fixture.index(target)] += 1;
    }
    // With 3 random choices of 20, the best target gets 3/20 of the requests, about 60.
    assert!(counts.iter().all(|&count| count < 100), "{counts:?}");
    assert!(counts.iter().all(|&count| count > 0), "{counts:?}");
}

/// Guards against equal shares for unequal engines, and against loading a cold one like others.
#[test]
fn faster_and_warmer_targets_get_more() {
    for (slow, cold) in [(500.0, false), (2_000.0, true)] {
        let mut fixture = Fixture::new(Settings::default(), 3, &[1_000_000; 8]);
        // The speed is learned from several reports.
        for target in (0..8).cycle().take(8 * 20) {
            fixture.report(target, |report| {
                report.rate = if target < 4 { slow } else { 2_000.0 };
                report.cold = cold && target < 4;
            });
        }
        let mut work = [0; 2];
        for _ in 0..400 {
            fixture.put(NIGHTLY, 1_000);
            let target = fixture.dispatch().target;
            work[usize::from(fixture.index(target) >= 4)] += 1;
        }
        let wanted = if cold { 0.5 } else { slow / 2_000.0 };
        let ratio = f64::from(work[0]) / f64::from(work[1]);
        assert!(
            (ratio - wanted).abs() < 0.15,
            "{work:?}, expected a ratio of {wanted}"
        );
    }
}

/// Guards against wasted prefill (a known prefix goes elsewhere) and against hot spots (a
/// popular prefix overloads its target), and against hints that survive a restart.
#[test]
fn a_prefix_is_followed_within_a_bound() {
    let mut fixture = Fixture::new(Settings::default(), 5, &[10_000; 10]);
    let send = |fixture: &mut Fixture| {
        let mut request = fixture.request(NIGHTLY, 1_000);
        request.prefix = (0..8).map(|block| 77 + block).collect();
        fixture.enqueue(request).expect("the queue has room");
        fixture.dispatch()
    };
    let first = send(&mut fixture);
    let home = fixture.index(first.target);
    assert_eq!(first.offer.cached, Tokens(0));
    let second = send(&mut fixture);
    assert_eq!(
        (second.target, second.offer.cached, second.offer.prompt),
        (first.target, Tokens(512), Tokens(487))
    );
    fixture.advance(100);
    // The home has room, but is above half of its limit and far above the average.
    fixture.report(home, |report| {
        (report.used, report.batch) = (Tokens(7_000), Tokens(7_000))
    });
    let third = send(&mut fixture);
    assert_ne!(third.target, first.target);
    // The second holder is gone with its cache, and the first one is free again.
    fixture
        .router
        .evicted(third.target, &[77, 78, 79, 80, 81, 82, 83, 84]);
    fixture.report(home, |report| {
        (report.used, report.batch) = (Tokens(0), Tokens(0))
    });
    assert_eq!(send(&mut fixture).target, first.target);
    fixture.report(home, |report| report.incarnation = Incarnation(9));
    assert_eq!(
        send(&mut fixture).offer.cached,
        Tokens(0),
        "a new incarnation has an empty cache"
    );
}

/// Guards against a version that gets more or less than its share, also while targets of
/// either version are full, and against shares that a requeue distorts.
#[test]
fn versions_follow_their_shares() {
    // Limits of the two versions, and whether the new one must get its whole share.
    for (old, new, whole) in [
        (1_000_000, 1_000_000, true),
        (1_000_000, 1_500, false),
        (2_000, 1_000_000, false),
    ] {
        let mut fixture = Fixture::new(Settings::default(), 1, &[old]);
        fixture.add(1, new);
        let [v1, v2] = fixture.versions;
        let share = 0.1;
        fixture
            .router
            .set_shares(fixture.route, &[(v1, 1.0 - share), (v2, share)]);
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(9);
        let mut counts = [0.0_f64; 2];
        let mut running = Vec::new();
        for _ in 0..2_000 {
            let mut request = fixture.request(NIGHTLY, 400);
            request.id = RequestId(rng.random());
            fixture.enqueue(request).expect("the queue has room");
            for dispatch in fixture.dispatches() {
                counts[fixture.index(dispatch.target)] += 1.0;
                running.push(dispatch.offer.attempt);
            }
            let sent = counts[0] + counts[1];
            // One request beyond the share, and the share of those that wait.
            let most = share * sent + 1.0 + share * Settings::default().lookahead as f64;
            assert!(counts[1] <= most, "{counts:?}, limits {old} and {new}");
            assert!(!whole || counts[1] >= share * sent - 1.0, "{counts:?}");
            if !running.is_empty() && rng.random_bool(0.9) {
                let attempt = running.remove(rng.random_range(0..running.len()));
                fixture.outcome(attempt, Outcome::Answered);
            }
        }
        assert!(counts[0] > 1_000.0, "{counts:?}, limits {old} and {new}");
    }
}

/// Guards against counting calls to plain services in tokens of their content.
#[test]
fn a_service_call_costs_one_token() {
    let mut fixture = Fixture::new(Settings::default(), 1, &[]);
    let info = TargetInfo {
        name: Name::new("billing-1"),
        zone: fixture.zones[0],
        version: fixture.versions[0],
        routes: [fixture.route].into_iter().collect(),
        kind: TargetKind::Service,
    };
    let target = fixture.router.add_target(info);
    fixture.router.report(fixture.now, target, &report(3));
    for _ in 0..5 {
        fixture.put(URGENT, 5_000);
    }
    let dispatches = fixture.dispatches();
    assert_eq!(dispatches.len(), 3);
    assert!(
        dispatches
            .iter()
            .all(|dispatch| dispatch.offer.cost() == Tokens(1))
    );
}
