//! The map against a naive model that keeps every message and decides anew each time.
#![allow(missing_docs)]

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use ebonylug_core::{Class, Name, Revision};
use ebonylug_zones::{Settings, ZoneMap, ZoneState};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

#[derive(Clone, Debug)]
enum Op {
    Heard(u8),
    Forget(u8),
    Drain(u8, u64),
    Restore(u8, u64),
    Wait(u16),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        12 => (0..12u8).prop_map(Op::Heard),
        1 => (0..12u8).prop_map(Op::Forget),
        1 => (0..3u8, 0..20u64).prop_map(|(z, r)| Op::Drain(z, r)),
        1 => (0..3u8, 0..20u64).prop_map(|(z, r)| Op::Restore(z, r)),
        4 => (1..1500u16).prop_map(Op::Wait),
    ]
}

#[derive(Default)]
struct Model {
    last: BTreeMap<u8, u64>,
    orders: Vec<(u8, u64, bool)>,
    /// Until when a silent zone may be open after this process was cut off.
    grace: u64,
}

impl Model {
    /// The last order whose revision no order before it exceeded.
    fn is_drained(&self, zone: u8) -> bool {
        let mut newest = None;
        let mut drained = false;
        for (_, revision, drain) in self.orders.iter().filter(|order| order.0 == zone) {
            if newest.is_none_or(|newest| *revision >= newest) {
                newest = Some(*revision);
                drained = *drain;
            }
        }
        drained
    }

    /// Silent and all targets; target n is in zone n mod 3.
    fn count(&self, zone: u8, now: u64) -> (usize, usize) {
        let ages: Vec<u64> = self
            .last
            .iter()
            .filter(|(target, _)| **target % 3 == zone)
            .map(|(_, last)| now - last)
            .collect();
        let silent = |limit| ages.iter().filter(|age| **age > limit).count();
        let recent = ages.len() - silent(5_000);
        let few = recent <= 2 && silent(2_500) < ages.len();
        let most = ages.len().saturating_sub(usize::from(few));
        let count = silent(1_500).min(most);
        (count, ages.len())
    }
}

fn check(ops: Vec<Op>) -> Result<(), TestCaseError> {
    let base = Instant::now();
    let mut map = ZoneMap::new(Settings::default());
    let mut model = Model::default();
    let mut now = 0;
    for op in ops {
        let at = base + Duration::from_millis(now);
        let zone = |n: u8| Name::new(&format!("z-{}", n % 3));
        let target = |n: u8| Name::new(&format!("t-{n}"));
        match op {
            Op::Heard(n) => {
                map.record_report(at, &target(n), &zone(n));
                model.last.insert(n, now);
            }
            Op::Forget(n) => {
                map.remove_target(&target(n));
                model.last.remove(&n);
            }
            Op::Drain(z, r) => {
                map.drain(at, &zone(z), Revision(r));
                model.orders.push((z, r, true));
            }
            Op::Restore(z, r) => {
                map.restore(at, &zone(z), Revision(r));
                model.orders.push((z, r, false));
            }
            Op::Wait(ms) => now += u64::from(ms),
        }
        let at = base + Duration::from_millis(now);
        let cut_off = map.is_isolated();
        map.tick(at);
        if cut_off || map.is_isolated() {
            model.grace = now + 2_500;
        }
        let counts: Vec<(usize, usize)> = (0..3).map(|z| model.count(z, now)).collect();
        for z in 0..3u8 {
            let name = zone(z);
            let Some(state) = map.state(&name) else {
                continue;
            };
            let share = map.share(&name, Class::Interactive, at).factor();
            let batch = map.share(&name, Class::Batch, at).factor();
            prop_assert!((0.0..=1.0).contains(&share) && (0.0..=share).contains(&batch));
            prop_assert_eq!(state == ZoneState::Drained, model.is_drained(z));
            let (silent, all) = counts[z as usize];
            // A zone of which everybody is heard is not dark.
            if silent == 0 && !map.is_isolated() {
                prop_assert_ne!(state, ZoneState::Unreachable);
            }
            // A zone of which nobody is heard gets no work, unless this process is, or was just,
            // cut off.
            let dark = all > 0 && silent == all && !map.is_isolated() && now >= model.grace;
            if dark || state == ZoneState::Unreachable {
                prop_assert_eq!(share, 0.0);
            }
            if state == ZoneState::Drained {
                prop_assert_eq!(share, 0.0);
            }
        }
        let known = counts.iter().any(|(_, all)| *all > 0);
        let silent = counts.iter().all(|(silent, all)| silent == all);
        if known && silent {
            prop_assert!(map.is_isolated());
        }
    }
    Ok(())
}

/// Guards against states that depend on the order of reports, orders and ticks.
#[test]
fn the_map_agrees_with_a_naive_model() {
    let config = Config {
        cases: 400,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let ops = proptest::collection::vec(op(), 1..120);
    runner
        .run(&ops, check)
        .expect("the map agrees with the model");
}
