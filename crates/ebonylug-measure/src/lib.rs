//! Measurements of the product against a naive policy in virtual time.
//!
//! The program compares the decision crates with a baseline on the same seeded cases. It is not
//! a simulator of a cluster: the fakes stand only at the interfaces of the decision crates, and
//! each is as small as the measure permits.
//!
//! * [`engine`] is a fake target: continuous batching as processor sharing, a prefix cache in
//!   limited memory, cold starts, and collapse above what it bears.
//! * [`workload`] draws requests with heavy-tailed lengths and bursts for the deployments of
//!   [`deployment`].
//! * [`world`] is the event loop. [`product`] runs real routers and admissions in it, and
//!   [`naive`] the baseline.
//! * [`tally`] records what callers and engines see, whatever the policy believes.
//! * [`dispatch`], [`soak`], [`rollout`] and [`capacity`] are measurements. Each prints the targets of the design page
//!   beside the figures; the targets are never moved.
//!
//! # Example
//!
//! ```
//! use ebonylug_measure::deployment::Deployment;
//! use ebonylug_measure::dispatch::{self, Length};
//! use ebonylug_measure::engine::SECOND;
//!
//! let length = Length { warm_up: 2 * SECOND, window: 3 * SECOND };
//! let case = dispatch::case(&Deployment::scaleward(), 0.7, length, 1);
//! assert_eq!(case.product.measures.lost, 0);
//! ```

pub mod cache;
pub mod capacity;
pub mod deployment;
pub mod dispatch;
pub mod engine;
pub mod faults;
pub mod naive;
pub mod product;
pub mod random;
pub mod report;
pub mod rollout;
pub mod soak;
pub mod tally;
pub mod workload;
pub mod world;

use std::sync::Mutex;

/// Threads that run cases; the machine is shared.
const THREADS: usize = 4;

/// Runs `work` on each item with a few threads; the results are in the order of the items.
pub fn parallel<T: Send, R: Send>(items: Vec<T>, work: impl Fn(T) -> R + Sync) -> Vec<R> {
    let results: Vec<Mutex<Option<R>>> = items.iter().map(|_| Mutex::new(None)).collect();
    let queue = Mutex::new(items.into_iter().enumerate());
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let next = queue.lock().expect("queue lock poisoned").next();
                    let Some((place, item)) = next else {
                        return;
                    };
                    let result = work(item);
                    *results[place].lock().expect("result lock poisoned") = Some(result);
                }
            });
        }
    });
    let take = |result: Mutex<Option<R>>| {
        let result = result.into_inner().expect("result lock poisoned");
        result.expect("each item was run")
    };
    results.into_iter().map(take).collect()
}
