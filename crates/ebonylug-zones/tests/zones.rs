//! Zone outages, drains and recoveries in virtual time.
#![allow(missing_docs)]

use std::time::{Duration, Instant};

use ebonylug_core::{Class, Name, Revision};
use ebonylug_zones::{MAX_ZONES, Settings, ZoneMap, ZoneShare, ZoneState};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const TICK: Duration = Duration::from_millis(100);

/// Simulated targets that report every second, each with its own phase and with jitter.
struct Simulation {
    zones: Vec<Name>,
    /// Index of the zone, name, and time of the next report of each target.
    targets: Vec<(usize, Name, Duration)>,
    map: ZoneMap,
    base: Instant,
    time: Duration,
    rng: ChaCha8Rng,
    /// Probability that a report is lost.
    loss: f64,
}

impl Simulation {
    fn new(zones: usize, per_zone: usize, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut targets = Vec::new();
        for zone in 0..zones {
            for n in 0..per_zone {
                let phase = Duration::from_millis(rng.random_range(0..1000));
                targets.push((zone, Name::new(&format!("t-{zone}-{n}")), phase));
            }
        }
        let mut simulation = Simulation {
            zones: (0..zones).map(|z| Name::new(&format!("z-{z}"))).collect(),
            targets,
            map: ZoneMap::new(Settings::default()),
            base: Instant::now(),
            time: Duration::ZERO,
            rng,
            loss: 0.0,
        };
        simulation.run(Duration::from_secs(5), |_, _| true);
        simulation
    }

    fn now(&self) -> Instant {
        self.base + self.time
    }

    /// Runs for a duration. `delivers(target, zone)` selects the targets whose reports arrive.
    fn run(&mut self, duration: Duration, delivers: impl Fn(usize, usize) -> bool) {
        let end = self.time + duration;
        while self.time < end {
            self.time += TICK;
            let now = self.now();
            for (index, (zone, name, next)) in self.targets.iter_mut().enumerate() {
                if *next > self.time {
                    continue;
                }
                *next += Duration::from_millis(self.rng.random_range(900..1100));
                let lost = self.rng.random_bool(self.loss);
                if delivers(index, *zone) && !lost {
                    self.map.record_report(now, name, &self.zones[*zone]);
                }
            }
            self.map.tick(now);
        }
    }

    /// Returns the time until a zone has a state, or `None` if that takes longer than the limit.
    fn time_until(
        &mut self,
        zone: usize,
        state: ZoneState,
        limit: Duration,
        delivers: impl Fn(usize, usize) -> bool,
    ) -> Option<Duration> {
        let start = self.time;
        while self.time < start + limit {
            self.run(TICK, &delivers);
            if self.state(zone) == state {
                return Some(self.time - start);
            }
        }
        None
    }

    fn state(&self, zone: usize) -> ZoneState {
        self.map.state(&self.zones[zone]).expect("zone is known")
    }

    fn share(&self, zone: usize, class: Class) -> f64 {
        self.map
            .share(&self.zones[zone], class, self.now())
            .factor()
    }
}

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Guards against an unreachable zone that keeps its work, and against a zone that counts as
/// unreachable although only one of its targets is stale. A lost zone must get no work after 3 s.
#[test]
fn a_zone_is_unreachable_when_most_targets_are_stale() {
    let mut worst = Duration::ZERO;
    for (zones, per_zone) in [(3, 7), (4, 3), (3, 1), (8, 75), (2, 2)] {
        for seed in 0..50 {
            let mut simulation = Simulation::new(zones, per_zone, seed);
            // In a zone of three, a dead target and lost reports of the two others in the same
            // second cannot be distinguished from an outage, so small zones lose no reports here.
            simulation.loss = if per_zone > 3 { 0.005 } else { 0.0 };
            if per_zone > 1 {
                simulation.run(seconds(20), |target, _| target != 0);
                assert_eq!(
                    simulation.state(0),
                    ZoneState::Open,
                    "one stale target of {per_zone}, seed {seed}"
                );
            }
            simulation.loss = 0.005;
            let delay =
                simulation.time_until(0, ZoneState::Unreachable, seconds(3), |_, zone| zone != 0);
            let delay = delay.expect("detected within 3 s");
            worst = worst.max(delay);
            assert_eq!(simulation.share(0, Class::Interactive), 0.0);
            assert_eq!(simulation.share(0, Class::Batch), 0.0);
            for other in 1..zones {
                assert_eq!(simulation.share(other, Class::Interactive), 1.0);
                assert!(
                    simulation.share(other, Class::Batch) < 0.8,
                    "batch work is reduced"
                );
            }
        }
    }
    println!("longest time to detect an unreachable zone: {worst:?}");
}

/// Guards against marking zones unreachable when this process is isolated, also if one zone fails
/// during the isolation.
#[test]
fn an_isolated_process_leaves_the_zones_open() {
    for seed in 0..50 {
        let mut simulation = Simulation::new(3, 6, seed);
        simulation.run(seconds(10), |_, _| false);
        assert!(simulation.map.is_isolated());
        for zone in 0..3 {
            assert_eq!(simulation.state(zone), ZoneState::Open, "seed {seed}");
        }
        // The isolation ends, but zone 1 has failed meanwhile.
        simulation.run(seconds(4), |_, zone| zone != 1);
        assert!(!simulation.map.is_isolated());
        assert_eq!(simulation.state(0), ZoneState::Open);
        assert_eq!(simulation.state(1), ZoneState::Unreachable);
        assert_eq!(simulation.state(2), ZoneState::Open);
        // The isolation does not count as a joint outage of zone 1 and the others.
        assert!(
            simulation
                .map
                .correlated_zones(&simulation.zones[0])
                .is_empty()
        );
    }
}

/// Guards against overload of the cold targets of a recovering zone, and against batch work that
/// starts before interactive work.
#[test]
fn the_share_of_a_recovering_zone_rises_gradually() {
    let mut simulation = Simulation::new(3, 6, 1);
    simulation.run(seconds(10), |_, zone| zone != 0);
    simulation
        .time_until(0, ZoneState::Recovering, seconds(3), |_, _| true)
        .expect("starts to recover");
    let mut last = simulation.share(0, Class::Interactive);
    assert!(last < 0.12, "starts with {last}");
    for _ in 0..19 {
        let share = simulation.share(0, Class::Interactive);
        assert!(share >= last && share - last < 0.1, "{last} to {share}");
        assert!(simulation.share(0, Class::Batch) <= share);
        last = share;
        simulation.run(seconds(1), |_, _| true);
    }
    assert!(last < 1.0);
    simulation.run(seconds(60), |_, _| true);
    assert_eq!(simulation.state(0), ZoneState::Open);
    assert_eq!(simulation.share(0, Class::Batch), 1.0);
    // A second loss within ten minutes makes the ramp longer.
    simulation.run(seconds(10), |_, zone| zone != 0);
    simulation
        .time_until(0, ZoneState::Recovering, seconds(3), |_, _| true)
        .expect("starts to recover");
    simulation.run(seconds(20), |_, _| true);
    assert!(
        simulation.share(0, Class::Interactive) < 0.7,
        "a flapping zone has a longer ramp"
    );
}

/// Guards against a delayed order that reverts a newer one, and against a drained zone that gets
/// work again because its targets report.
#[test]
fn older_orders_are_not_applied() {
    let zone = 0;
    let mut simulation = Simulation::new(3, 4, 2);
    let name = simulation.zones[zone].clone();
    let steps = [
        (true, 5, true, ZoneState::Drained),
        (false, 4, false, ZoneState::Drained),
        (true, 5, true, ZoneState::Drained),
        (false, 7, true, ZoneState::Recovering),
        (true, 6, false, ZoneState::Recovering),
        (true, 8, true, ZoneState::Drained),
    ];
    for (drain, revision, applied, state) in steps {
        let now = simulation.now();
        let revision = Revision(revision);
        let done = match drain {
            true => simulation.map.drain(now, &name, revision),
            false => simulation.map.restore(now, &name, revision),
        };
        assert_eq!(done, applied, "{drain} {revision}");
        simulation.run(seconds(3), |_, _| true);
        assert_eq!(simulation.state(zone), state, "{drain} {revision}");
    }
    assert_eq!(simulation.share(0, Class::Interactive), 0.0);
    // A drained zone that is switched off and on again stays drained.
    simulation.run(seconds(5), |_, zone| zone != 0);
    simulation.run(seconds(5), |_, _| true);
    assert_eq!(simulation.state(0), ZoneState::Drained);
}

/// Guards against a long drain that reduces batch work in the other zones for its whole duration.
#[test]
fn batch_work_in_other_zones_recovers() {
    let mut simulation = Simulation::new(3, 4, 3);
    let zone = simulation.zones[0].clone();
    simulation.map.drain(simulation.now(), &zone, Revision(1));
    assert!(simulation.share(1, Class::Batch) < 0.4);
    assert_eq!(simulation.share(1, Class::Interactive), 1.0);
    simulation.run(seconds(61), |_, _| true);
    assert_eq!(simulation.share(1, Class::Batch), 1.0);
}

/// Guards against zones on a shared power feed that are not found to be correlated after two joint
/// outages, and against a correlation that separate outages do not end.
#[test]
fn joint_outages_make_zones_correlated() {
    let mut simulation = Simulation::new(4, 5, 4);
    for round in 0..2 {
        assert!(
            simulation
                .map
                .correlated_zones(&simulation.zones[0])
                .is_empty(),
            "round {round}"
        );
        simulation.run(seconds(8), |_, zone| zone > 1);
        assert_eq!(simulation.state(0), ZoneState::Unreachable);
        assert_eq!(simulation.state(1), ZoneState::Unreachable);
        assert_eq!(simulation.share(2, Class::Interactive), 1.0);
        simulation.run(seconds(200), |_, _| true);
    }
    assert_eq!(
        simulation.map.correlated_zones(&simulation.zones[0]),
        [simulation.zones[1].clone()]
    );
    // Only zone 0 fails: batch work in the correlated zone is throttled, interactive work is not.
    simulation
        .time_until(0, ZoneState::Unreachable, seconds(3), |_, zone| zone != 0)
        .expect("unreachable");
    assert!(simulation.share(1, Class::Batch) <= 0.25);
    assert!(simulation.share(2, Class::Batch) > 0.4);
    assert_eq!(simulation.share(1, Class::Interactive), 1.0);
    simulation.run(seconds(100), |_, zone| zone != 0);
    assert_eq!(
        simulation.share(1, Class::Batch),
        1.0,
        "the throttling ends"
    );
    assert!(
        simulation
            .map
            .correlated_zones(&simulation.zones[0])
            .is_empty(),
        "a separate outage decrements the count"
    );
}

/// Guards against leaving instances that make their zone appear unreachable.
#[test]
fn removed_targets_do_not_count_as_stale() {
    let mut simulation = Simulation::new(3, 4, 5);
    let leaving: Vec<Name> = simulation
        .targets
        .iter()
        .take(3)
        .map(|t| t.1.clone())
        .collect();
    for target in &leaving {
        simulation.map.remove_target(target);
    }
    simulation.run(seconds(10), |target, _| target >= 3);
    assert_eq!(simulation.state(0), ZoneState::Open);
}

/// Guards against unbounded growth on bad input.
#[test]
fn zones_are_bounded() {
    let mut map = ZoneMap::new(Settings::default());
    let now = Instant::now();
    for n in 0..2 * MAX_ZONES {
        let zone = Name::new(&format!("z-{n}"));
        assert_eq!(map.drain(now, &zone, Revision(1)), n < MAX_ZONES);
    }
    assert_eq!(map.share(&"z-1".into(), Class::Batch, now), ZoneShare::NONE);
}
