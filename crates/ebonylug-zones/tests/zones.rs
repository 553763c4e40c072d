//! Scenarios of zones in virtual time.
#![allow(missing_docs)]

use std::time::{Duration, Instant};

use ebonylug_core::{Class, Name, Revision};
use ebonylug_zones::{MAX_ZONES, Settings, ZoneMap, ZoneShare, ZoneState};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const TICK: Duration = Duration::from_millis(100);

/// Targets that report every second, each at its own phase and with jitter.
struct World {
    zones: Vec<Name>,
    /// Zone, name and time of the next report of each target.
    targets: Vec<(usize, Name, Duration)>,
    map: ZoneMap,
    base: Instant,
    time: Duration,
    rng: ChaCha8Rng,
    loss: f64,
}

impl World {
    fn new(zones: usize, per_zone: usize, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut targets = Vec::new();
        for zone in 0..zones {
            for n in 0..per_zone {
                let phase = Duration::from_millis(rng.random_range(0..1000));
                targets.push((zone, Name::new(&format!("t-{zone}-{n}")), phase));
            }
        }
        let mut world = World {
            zones: (0..zones).map(|z| Name::new(&format!("z-{z}"))).collect(),
            targets,
            map: ZoneMap::new(Settings::default()),
            base: Instant::now(),
            time: Duration::ZERO,
            rng,
            loss: 0.0,
        };
        world.run(Duration::from_secs(5), |_, _| true);
        world
    }

    fn now(&self) -> Instant {
        self.base + self.time
    }

    /// Runs for a while; `heard(target, zone)` says whose reports arrive.
    fn run(&mut self, length: Duration, heard: impl Fn(usize, usize) -> bool) {
        let end = self.time + length;
        while self.time < end {
            self.time += TICK;
            let now = self.now();
            for (index, (zone, name, next)) in self.targets.iter_mut().enumerate() {
                if *next > self.time {
                    continue;
                }
                *next += Duration::from_millis(self.rng.random_range(900..1100));
                let lost = self.rng.random_bool(self.loss);
                if heard(index, *zone) && !lost {
                    self.map.record_report(now, name, &self.zones[*zone]);
                }
            }
            self.map.tick(now);
        }
    }

    /// Returns after how long a zone has a state, up to a limit.
    fn until(
        &mut self,
        zone: usize,
        state: ZoneState,
        limit: Duration,
        heard: impl Fn(usize, usize) -> bool,
    ) -> Option<Duration> {
        let start = self.time;
        while self.time < start + limit {
            self.run(TICK, &heard);
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

/// Guards against a dark zone that keeps its work, and against taking fewer silent targets for
/// one. The bound on the time is the 3 s after which nothing may go to a lost zone.
#[test]
fn a_zone_is_dark_when_most_targets_are_silent() {
    let mut worst = Duration::ZERO;
    for (zones, per_zone) in [(3, 7), (4, 3), (3, 1), (8, 75), (2, 2)] {
        for seed in 0..50 {
            let mut world = World::new(zones, per_zone, seed);
            // In a zone of three, one dead target and a lost report of both others in the same
            // second look exactly like a dark zone, so there the reports of others are not lost.
            world.loss = if per_zone > 3 { 0.005 } else { 0.0 };
            if per_zone > 1 {
                world.run(seconds(20), |target, _| target != 0);
                assert_eq!(
                    world.state(0),
                    ZoneState::Open,
                    "one silent target of {per_zone}, seed {seed}"
                );
            }
            world.loss = 0.005;
            let dark = world.until(0, ZoneState::Unreachable, seconds(3), |_, zone| zone != 0);
            let dark = dark.expect("found within 3 s");
            worst = worst.max(dark);
            assert_eq!(world.share(0, Class::Interactive), 0.0);
            assert_eq!(world.share(0, Class::Batch), 0.0);
            for other in 1..zones {
                assert_eq!(world.share(other, Class::Interactive), 1.0);
                assert!(world.share(other, Class::Batch) < 0.8, "batch is slowed");
            }
        }
    }
    println!("worst time to find a dark zone: {worst:?}");
}

/// Guards against blaming the zones when this process is cut off, also when a zone really is
/// dark at the same time.
#[test]
fn silence_everywhere_is_no_dark_zone() {
    for seed in 0..50 {
        let mut world = World::new(3, 6, seed);
        world.run(seconds(10), |_, _| false);
        assert!(world.map.is_isolated());
        for zone in 0..3 {
            assert_eq!(world.state(zone), ZoneState::Open, "seed {seed}");
        }
        // Contact returns, but zone 1 was lost meanwhile.
        world.run(seconds(4), |_, zone| zone != 1);
        assert!(!world.map.is_isolated());
        assert_eq!(world.state(0), ZoneState::Open);
        assert_eq!(world.state(1), ZoneState::Unreachable);
        assert_eq!(world.state(2), ZoneState::Open);
        // Being cut off from a dark zone and the rest is not learned as a relation.
        assert!(world.map.correlated_zones(&world.zones[0]).is_empty());
    }
}

/// Guards against a stampede of work onto cold targets of a zone that returns, and against batch
/// work that returns before interactive work.
#[test]
fn a_zone_returns_slowly() {
    let mut world = World::new(3, 6, 1);
    world.run(seconds(10), |_, zone| zone != 0);
    world
        .until(0, ZoneState::Recovering, seconds(3), |_, _| true)
        .expect("returns");
    let mut last = world.share(0, Class::Interactive);
    assert!(last < 0.12, "starts with {last}");
    for _ in 0..19 {
        let share = world.share(0, Class::Interactive);
        assert!(share >= last && share - last < 0.1, "{last} to {share}");
        assert!(world.share(0, Class::Batch) <= share);
        last = share;
        world.run(seconds(1), |_, _| true);
    }
    assert!(last < 1.0);
    world.run(seconds(60), |_, _| true);
    assert_eq!(world.state(0), ZoneState::Open);
    assert_eq!(world.share(0, Class::Batch), 1.0);
    // The second loss within ten minutes makes the return slower.
    world.run(seconds(10), |_, zone| zone != 0);
    world
        .until(0, ZoneState::Recovering, seconds(3), |_, _| true)
        .expect("returns");
    world.run(seconds(20), |_, _| true);
    assert!(
        world.share(0, Class::Interactive) < 0.7,
        "a flapping zone returns slower"
    );
}

/// Guards against an order that arrives late and reverts a newer one, and against a drained zone
/// that returns because it is heard.
#[test]
fn orders_never_revert() {
    let zone = 0;
    let mut world = World::new(3, 4, 2);
    let name = world.zones[zone].clone();
    let steps = [
        (true, 5, true, ZoneState::Drained),
        (false, 4, false, ZoneState::Drained),
        (true, 5, true, ZoneState::Drained),
        (false, 7, true, ZoneState::Recovering),
        (true, 6, false, ZoneState::Recovering),
        (true, 8, true, ZoneState::Drained),
    ];
    for (drain, revision, applied, state) in steps {
        let now = world.now();
        let revision = Revision(revision);
        let done = match drain {
            true => world.map.drain(now, &name, revision),
            false => world.map.restore(now, &name, revision),
        };
        assert_eq!(done, applied, "{drain} {revision}");
        world.run(seconds(3), |_, _| true);
        assert_eq!(world.state(zone), state, "{drain} {revision}");
    }
    assert_eq!(world.share(0, Class::Interactive), 0.0);
    // A drained zone that is switched off and on again stays drained.
    world.run(seconds(5), |_, zone| zone != 0);
    world.run(seconds(5), |_, _| true);
    assert_eq!(world.state(0), ZoneState::Drained);
}

/// Guards against a drain of days that slows batch work elsewhere all the time.
#[test]
fn batch_work_elsewhere_recovers() {
    let mut world = World::new(3, 4, 3);
    let zone = world.zones[0].clone();
    world.map.drain(world.now(), &zone, Revision(1));
    assert!(world.share(1, Class::Batch) < 0.4);
    assert_eq!(world.share(1, Class::Interactive), 1.0);
    world.run(seconds(61), |_, _| true);
    assert_eq!(world.share(1, Class::Batch), 1.0);
}

/// Guards against zones on one power feed: two zones are lost at once (two faults), repeatedly.
/// Separate outages end the relation.
#[test]
fn zones_that_go_dark_together_are_related() {
    let mut world = World::new(4, 5, 4);
    for round in 0..2 {
        assert!(
            world.map.correlated_zones(&world.zones[0]).is_empty(),
            "round {round}"
        );
        world.run(seconds(8), |_, zone| zone > 1);
        assert_eq!(world.state(0), ZoneState::Unreachable);
        assert_eq!(world.state(1), ZoneState::Unreachable);
        assert_eq!(world.share(2, Class::Interactive), 1.0);
        world.run(seconds(200), |_, _| true);
    }
    assert_eq!(
        world.map.correlated_zones(&world.zones[0]),
        [world.zones[1].clone()]
    );
    // Only zone 0 goes dark: its relative gets little batch work, and all interactive work.
    world
        .until(0, ZoneState::Unreachable, seconds(3), |_, zone| zone != 0)
        .expect("dark");
    assert!(world.share(1, Class::Batch) <= 0.25);
    assert!(world.share(2, Class::Batch) > 0.4);
    assert_eq!(world.share(1, Class::Interactive), 1.0);
    world.run(seconds(100), |_, zone| zone != 0);
    assert_eq!(world.share(1, Class::Batch), 1.0, "the caution ends");
    assert!(
        world.map.correlated_zones(&world.zones[0]).is_empty(),
        "an outage alone counts against it"
    );
}

/// Guards against leaving instances that look like a dark zone.
#[test]
fn forgotten_targets_darken_nothing() {
    let mut world = World::new(3, 4, 5);
    let leaving: Vec<Name> = world.targets.iter().take(3).map(|t| t.1.clone()).collect();
    for target in &leaving {
        world.map.remove_target(target);
    }
    world.run(seconds(10), |target, _| target >= 3);
    assert_eq!(world.state(0), ZoneState::Open);
}

/// Guards against growth with bad input.
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
