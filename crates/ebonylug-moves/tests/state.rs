//! Rules of a move, one at a time: schedule, conflicts, capacity, store and lease, rollback, loads.
#![allow(missing_docs)]

use std::time::{Duration, SystemTime};

use ebonylug_core::{Fence, Incarnation};
use ebonylug_moves::{
    Capacity, Evidence, LoadPlan, LoadRate, LoadState, MoveAction, MoveReason, MoveSpec, MoveState,
    Phase, Sample, Share, StoreState, TargetLoad, find_conflict, scheduled_share,
};

const WINDOW_S: u64 = 1_000;
const LEASE: Option<Fence> = Some(Fence(3));

fn at(seconds: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(10_000 + seconds)
}

fn spec() -> MoveSpec {
    MoveSpec::new("m", "r", "old", "new").window(at(0), at(WINDOW_S))
}

fn state(warm: f64) -> MoveState {
    let mut state = MoveState::new(spec());
    state.set_capacity(Capacity { warm, planned: 1.0 });
    state
}

/// Ticks once per second while all requests to both versions succeed. Returns all actions.
fn run(state: &mut MoveState, from: u64, to: u64, store: StoreState) -> Vec<MoveAction> {
    let mut evidence = Evidence::default();
    let mut actions = Vec::new();
    for second in from..to {
        for _ in 0..5 {
            for version in ["old", "new"] {
                evidence.record(at(second), Incarnation(1), version, "r", Sample::success());
            }
        }
        actions.extend(state.tick(at(second), &evidence, store, LEASE));
    }
    actions
}

/// Guards against a schedule that exposes too much traffic early or leaves no time for observation
/// before the deadline.
#[test]
fn the_schedule_starts_small_and_is_full_early() {
    let table = [
        (0, 1.0),
        (49, 1.0),
        (50, 5.0),
        (199, 5.0),
        (400, 52.5),
        (600, 100.0),
        (5_000, 100.0),
    ];
    for (second, percent) in table {
        let share = scheduled_share(&spec(), at(second)).fraction() * 100.0;
        assert!((share - percent).abs() < 0.02, "{second} s: {share}");
    }
    assert_eq!(
        scheduled_share(&spec(), at(0) - Duration::from_secs(1)),
        Share::ZERO
    );
}

/// Guards against two operators that move one route to different versions at the same time.
#[test]
fn a_second_move_of_a_route_is_refused() {
    let first = MoveSpec::new("a", "r1", "old", "new").route("r2");
    let table = [
        ("b", "r2", Phase::Pending, true),
        ("b", "r2", Phase::Watching, true),
        ("b", "r2", Phase::Done, false),
        ("b", "r2", Phase::RolledBack, false),
        ("b", "r3", Phase::Ramping, false),
        ("a", "r1", Phase::Ramping, false),
    ];
    for (name, route, phase, refused) in table {
        let second = MoveSpec::new(name, route, "old", "other");
        let conflict = find_conflict(&second, [(&first, phase)]);
        assert_eq!(conflict.is_some(), refused, "{name} {route} {phase:?}");
    }
    let mut second = MoveState::new(spec());
    second.refuse(at(0), MoveReason::AnotherMove, "move a is in force");
    let actions = run(&mut second, 0, WINDOW_S, StoreState::Up);
    assert_eq!(second.phase(), Phase::Refused);
    assert!(
        !actions
            .iter()
            .any(|action| matches!(action, MoveAction::SetShare(_)))
    );
    assert_eq!(second.conditions()[0].reason, MoveReason::AnotherMove);
}

/// Guards against routing more traffic to the new version than its warm targets can serve.
#[test]
fn capacity_limits_the_share() {
    let mut short = state(1.0);
    short.set_capacity(Capacity {
        warm: 1.0,
        planned: 0.9,
    });
    run(&mut short, 0, 10, StoreState::Up);
    assert_eq!(short.phase(), Phase::Refused);
    assert_eq!(short.conditions()[0].reason, MoveReason::NotEnoughCapacity);

    let mut late = state(0.4);
    run(&mut late, 0, 1_100, StoreState::Up);
    assert_eq!(late.share(), Share::percent(40));
    assert_eq!(late.phase(), Phase::Ramping);
    let reasons: Vec<MoveReason> = late.conditions().iter().map(|c| c.reason).collect();
    assert!(reasons.contains(&MoveReason::NotEnoughCapacity));
    assert!(reasons.contains(&MoveReason::DeadlineMissed));
    late.set_capacity(Capacity {
        warm: 1.0,
        planned: 1.0,
    });
    run(&mut late, 1_100, 1_110, StoreState::Up);
    assert_eq!(late.phase(), Phase::Done);
    // The share drops immediately when warm targets become cold.
    let mut cold = state(1.0);
    run(&mut cold, 0, 500, StoreState::Up);
    assert!(cold.share() > Share::percent(50));
    cold.set_capacity(Capacity {
        warm: 0.1,
        planned: 1.0,
    });
    run(&mut cold, 500, 501, StoreState::Up);
    assert_eq!(cold.share(), Share::percent(10));
}

/// Guards against a share above the canary share without evidence in the first two fifths of the
/// window, and against a jump of the share afterwards.
#[test]
fn without_evidence_the_share_stays_at_the_canary() {
    let mut state = state(1.0);
    let mut last = Share::ZERO;
    for second in 0..WINDOW_S {
        state.tick(at(second), &Evidence::default(), StoreState::Up, None);
        let share = state.share();
        if second < 400 {
            assert!(share <= Share::percent(5), "{second} s: {share}");
        }
        assert!(
            share.fraction() - last.fraction() < 0.06,
            "{second} s: {share}"
        );
        last = share;
    }
    assert_eq!(state.phase(), Phase::Done);
}

/// Guards against writes without the lease or during an outage of the store, a lost reply that ends
/// the retries, and a release of the old version before the final status is stored.
#[test]
fn writes_need_lease_and_store() {
    let mut state = state(1.0);
    let evidence = Evidence::default();
    let written_status = |actions: &[MoveAction]| {
        actions.iter().rev().find_map(|action| match action {
            MoveAction::WriteStatus { status, .. } => Some(status.clone()),
            _ => None,
        })
    };
    state.tick(at(0), &evidence, StoreState::Up, None);
    assert!(written_status(&state.tick(at(1), &evidence, StoreState::Down, LEASE)).is_none());
    for second in 2..5 {
        // The reply to each write is lost.
        let actions = state.tick(at(second), &evidence, StoreState::Up, LEASE);
        assert!(written_status(&actions).is_some(), "{second} s");
    }
    let status = written_status(&state.tick(at(5), &evidence, StoreState::Up, LEASE))
        .expect("status written");
    state.confirm_write(&status);
    assert!(written_status(&state.tick(at(7), &evidence, StoreState::Up, LEASE)).is_none());

    let actions = run(&mut state, 8, 1_200, StoreState::Down);
    assert_eq!(state.phase(), Phase::Done);
    assert!(written_status(&actions).is_none());
    assert!(
        !actions
            .iter()
            .any(|a| matches!(a, MoveAction::ReleaseVersion { .. }))
    );
    let actions = run(&mut state, 1_200, 1_201, StoreState::Up);
    state.confirm_write(&written_status(&actions).expect("status written after the outage"));
    let actions = run(&mut state, 1_201, 1_202, StoreState::Up);
    let release = MoveAction::ReleaseVersion {
        version: "old".into(),
        fence: Fence(3),
    };
    assert_eq!(actions, [release]);
}

/// Guards against losing a rollback by a peer that happens at the same time as the end of the move,
/// and against undoing a rollback when an earlier status arrives later.
#[test]
fn a_rollback_overrides_the_end_until_the_deadline() {
    let mut other = state(1.0);
    other.tick(at(900), &Evidence::default(), StoreState::Up, None);
    other.abort(at(960), "stopped");
    let mut state = state(1.0);
    run(&mut state, 0, 970, StoreState::Down);
    assert_eq!(state.phase(), Phase::Done);
    let done = state.status();
    state.apply_status(at(971), &other.status());
    assert_eq!(
        (state.phase(), state.share()),
        (Phase::RolledBack, Share::ZERO)
    );
    state.apply_status(at(972), &done);
    let actions = run(&mut state, 972, 1_100, StoreState::Up);
    assert_eq!(
        (state.phase(), state.share()),
        (Phase::RolledBack, Share::ZERO)
    );
    assert!(
        !actions
            .iter()
            .any(|action| matches!(action, MoveAction::SetShare(_)))
    );
}

/// Guards against orders to load that exceed the rate limit of the weight store, are sent in one
/// burst, or are sent too late for the start.
#[test]
fn loads_are_spread() {
    let rate = LoadRate {
        burst: 2,
        interval: Duration::from_secs(10),
    };
    let mut loads: Vec<TargetLoad> = (0..10)
        .map(|n| TargetLoad {
            target: format!("t-{n}").as_str().into(),
            state: LoadState::Missing,
        })
        .collect();
    for (start, min_gap) in [(1_000, 30), (20, 9)] {
        let mut plan = LoadPlan::new(rate);
        loads
            .iter_mut()
            .for_each(|load| load.state = LoadState::Missing);
        let mut orders = Vec::new();
        for second in 0..1_200 {
            plan.set_targets(&loads);
            if let Some(target) = plan.next_load(at(second), at(start)) {
                let load = loads.iter_mut().find(|load| load.target == target);
                load.expect("known target").state = LoadState::Loading;
                orders.push(second);
            }
        }
        assert_eq!(orders.len(), 10, "one order per target");
        // The first two orders may use the burst; the rate limits the others.
        let gaps = orders.windows(2).skip(2).map(|pair| pair[1] - pair[0]);
        assert!(gaps.clone().all(|gap| gap >= min_gap), "{orders:?}");
        if start == 1_000 {
            assert!(orders[9] <= 800, "{orders:?}");
        }
    }
    // An order is repeated to a target that does not load, after a delay and only under the lease.
    let mut state = MoveState::new(spec()).with_load_rate(rate);
    state.set_targets(&loads);
    loads[0].state = LoadState::Missing;
    loads[1].state = LoadState::Cold;
    state.set_targets(&loads);
    let first_tick = at(0) - Duration::from_secs(300);
    let without_lease = state.tick(first_tick, &Evidence::default(), StoreState::Up, None);
    assert!(without_lease.is_empty());
    let mut orders = (0, 0);
    for second in 0..100 {
        let now = first_tick + Duration::from_secs(second);
        for action in state.tick(now, &Evidence::default(), StoreState::Down, LEASE) {
            match action {
                MoveAction::LoadVersion { fence, .. } if Some(fence) == LEASE => orders.0 += 1,
                MoveAction::WarmUp { fence, .. } if Some(fence) == LEASE => orders.1 += 1,
                other => panic!("unexpected {other:?}"),
            }
        }
    }
    assert_eq!(orders, (2, 10));
}
