//! Measures conflicts per takeover with and without a stagger, in virtual time.
//!
//! The holder is killed again and again, and replaced by a new process once another candidate
//! has taken over. Run with `cargo run --release -p ebonylug-lease --example takeover`.

#[path = "../tests/simulation/mod.rs"]
mod simulation;

use std::time::Duration;

use ebonylug_lease::Settings;
use hdrhistogram::Histogram;
use simulation::{MILLI, Micros, SECOND, Simulation, World};

const SEEDS: u64 = 10;
const TAKEOVERS: u64 = 20;

fn main() {
    println!("candidates  ticks     stagger  conflicts/takeover  median s   p99 s");
    for candidates in [3, 10, 50, 200] {
        for aligned in [false, true] {
            for interval in [0, 20, 200] {
                measure(candidates, aligned, interval);
            }
        }
    }
}

fn measure(candidates: usize, aligned: bool, interval: u64) {
    let mut settings = Settings::default();
    settings.stagger.interval = Duration::from_millis(interval);
    let mut conflicts = 0;
    let mut delays = Histogram::<u64>::new(3).expect("3 digits are valid");
    for seed in 0..SEEDS {
        let world = World {
            seed,
            candidates,
            settings,
            staggered: true,
            aligned,
            faults: 0,
            drift: 0,
            pauses: false,
        };
        let mut simulation = Simulation::new(world);
        simulation.run(30 * SECOND);
        let before = simulation.trace.conflicts;
        for number in 0..TAKEOVERS {
            let delay = take_over(&mut simulation, 10_000 + number);
            delays.record(delay / MILLI).expect("within range");
        }
        conflicts += simulation.trace.conflicts - before;
    }
    println!(
        "{candidates:>10}  {:<8} {interval:>5} ms  {:>18.2}  {:>8.1}  {:>6.1}",
        if aligned { "aligned" } else { "random" },
        conflicts as f64 / (SEEDS * TAKEOVERS) as f64,
        delays.value_at_quantile(0.5) as f64 / 1_000.0,
        delays.value_at_quantile(0.99) as f64 / 1_000.0,
    );
}

/// Kills the holder and returns the time until another candidate holds the lease.
fn take_over(simulation: &mut Simulation, process: u64) -> Micros {
    let holder = simulation.holder().expect("somebody holds the lease");
    let taken = simulation.trace.taken.len();
    let start = simulation.now;
    simulation.kill(holder);
    while simulation.trace.taken.len() == taken {
        simulation.run(100 * MILLI);
    }
    let delay = simulation.trace.taken[taken].0 - start;
    simulation.replace(holder, process);
    // The new holder renews a few times, at a different phase each time.
    simulation.run(20 * SECOND + process * 370 * MILLI % (3 * SECOND));
    delay
}
