//! Compares the map with a reference model that keeps every message and derives the states from all
//! of them.
#![allow(missing_docs)]

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use ebonylug_core::{Class, Name, Revision};
use ebonylug_zones::{Settings, ZoneMap, ZoneState};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// An event: a target, a zone with a revision, or a time in milliseconds.
#[derive(Clone, Debug)]
enum Op {
    Report(u8),
    Remove(u8),
    Drain(u8, u64),
    Restore(u8, u64),
    Wait(u16),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        12 => (0..12u8).prop_map(Op::Report),
        1 => (0..12u8).prop_map(Op::Remove),
        1 => (0..3u8, 0..20u64).prop_map(|(z, r)| Op::Drain(z, r)),
        1 => (0..3u8, 0..20u64).prop_map(|(z, r)| Op::Restore(z, r)),
        4 => (1..1500u16).prop_map(Op::Wait),
    ]
}

/// All messages so far. Times are in milliseconds.
#[derive(Default)]
struct Model {
    /// Time of the last report of each target.
    last_report: BTreeMap<u8, u64>,
    /// Zone, revision, and whether the zone is drained or restored.
    orders: Vec<(u8, u64, bool)>,
    /// End of the period after an isolation in which a stale zone may be open.
    grace_until: u64,
}

impl Model {
    /// Evaluates the last order whose revision is not exceeded by that of an earlier order.
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

    /// Returns the numbers of stale and of all targets of a zone; target n is in zone n mod 3.
    fn count(&self, zone: u8, now: u64) -> (usize, usize) {
        let ages: Vec<u64> = self
            .last_report
            .iter()
            .filter(|(target, _)| **target % 3 == zone)
            .map(|(_, last)| now - last)
            .collect();
        let stale = |limit| ages.iter().filter(|age| **age > limit).count();
        let recent = ages.len() - stale(5_000);
        let sparse = recent <= 2 && stale(2_500) < ages.len();
        let most = ages.len().saturating_sub(usize::from(sparse));
        let count = stale(1_500).min(most);
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
            Op::Report(n) => {
                map.record_report(at, &target(n), &zone(n));
                model.last_report.insert(n, now);
            }
            Op::Remove(n) => {
                map.remove_target(&target(n));
                model.last_report.remove(&n);
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
        let isolated = map.is_isolated();
        map.tick(at);
        if isolated || map.is_isolated() {
            model.grace_until = now + 2_500;
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
            let (stale, all) = counts[z as usize];
            // A zone without stale targets is reachable.
            if stale == 0 && !map.is_isolated() {
                prop_assert_ne!(state, ZoneState::Unreachable);
            }
            // A zone whose targets are all stale gets no work, unless this process is isolated or
            // was until recently.
            let unreachable =
                all > 0 && stale == all && !map.is_isolated() && now >= model.grace_until;
            if unreachable || state == ZoneState::Unreachable {
                prop_assert_eq!(share, 0.0);
            }
            if state == ZoneState::Drained {
                prop_assert_eq!(share, 0.0);
            }
        }
        let known = counts.iter().any(|(_, all)| *all > 0);
        let stale = counts.iter().all(|(stale, all)| stale == all);
        if known && stale {
            prop_assert!(map.is_isolated());
        }
    }
    Ok(())
}

/// Guards against states that depend on the interleaving of reports, orders and ticks.
#[test]
fn the_map_agrees_with_the_reference_model() {
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
