//! Measures conflicting writes per takeover with and without a stagger, in virtual time.
//!
//! The holder is killed repeatedly, and replaced by a new process after another candidate has
//! acquired the lease. Run with `cargo run --release -p ebonylug-lease --example takeover`.

#[path = "../tests/simulation/mod.rs"]
mod simulation;

use std::time::Duration;

use ebonylug_lease::Settings;
use hdrhistogram::Histogram;
use simulation::{MILLI, Micros, SECOND, Scenario, Simulation};

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
        let scenario = Scenario {
            seed,
            candidates,
            settings,
            staggered: true,
            aligned,
            faults: 0,
            drift: 0,
            disruptions: false,
        };
        let mut simulation = Simulation::new(scenario);
        simulation.run(30 * SECOND);
        let before = simulation.trace.conflicts;
        for number in 0..TAKEOVERS {
            let delay = crash_holder(&mut simulation, 10_000 + number);
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

/// Kills the holder, and returns the time until another candidate holds the lease.
fn crash_holder(simulation: &mut Simulation, incarnation: u64) -> Micros {
    let holder = simulation.holder().expect("a candidate holds the lease");
    let count = simulation.trace.acquired.len();
    let start = simulation.now;
    simulation.kill(holder);
    while simulation.trace.acquired.len() == count {
        simulation.run(100 * MILLI);
    }
    let delay = simulation.trace.acquired[count].0 - start;
    simulation.replace(holder, incarnation);
    // Let the new holder renew the lease a few times, and vary the phase of the next crash.
    simulation.run(20 * SECOND + incarnation * 370 * MILLI % (3 * SECOND));
    delay
}
