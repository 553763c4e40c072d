//! Benchmarks of the product against a naive policy in virtual time.
//!
//! The program runs the decision crates and a baseline policy on the same seeded cases. It is not a
//! cluster simulator: only the interfaces of the decision crates have fakes, and each fake models
//! no more than the benchmarks need.
//!
//! * [`engine`] is a fake target: continuous batching as processor sharing, a prefix cache with
//!   bounded memory, cold starts, and crashes under overload.
//! * [`workload`] generates requests with heavy-tailed lengths and bursts for the deployments of
//!   [`deployment`].
//! * [`simulation`] is the event loop. [`product`] runs real routers and admission controllers in
//!   it, and [`naive`] the baseline.
//! * [`recorder`] records what callers and engines observe, independently of the policy's state.
//! * [`dispatch`], [`soak`], [`rollout`] and [`capacity`] are the benchmarks. Each prints the
//!   design targets beside the results; the targets are fixed independently of the results.
//!
//! # Example
//!
//! ```
//! use ebonylug_measure::deployment::Deployment;
//! use ebonylug_measure::dispatch::{self, CaseLength};
//! use ebonylug_measure::engine::SECOND;
//!
//! let length = CaseLength { warm_up: 2 * SECOND, window: 3 * SECOND };
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
pub mod recorder;
pub mod report;
pub mod rollout;
pub mod simulation;
pub mod soak;
pub mod workload;

use std::sync::Mutex;

/// Number of worker threads. Small, so that other work on the machine is not slowed down.
const THREADS: usize = 4;

/// Runs `work` on each item with `THREADS` threads. Results are in the order of the items.
pub fn parallel<T: Send, R: Send>(items: Vec<T>, work: impl Fn(T) -> R + Sync) -> Vec<R> {
    let results: Vec<Mutex<Option<R>>> = items.iter().map(|_| Mutex::new(None)).collect();
    let queue = Mutex::new(items.into_iter().enumerate());
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let next = queue.lock().expect("queue lock poisoned").next();
                    let Some((index, item)) = next else {
                        return;
                    };
                    let result = work(item);
                    *results[index].lock().expect("result lock poisoned") = Some(result);
                }
            });
        }
    });
    let take = |result: Mutex<Option<R>>| {
        let result = result.into_inner().expect("result lock poisoned");
        result.expect("each item has a result")
    };
    results.into_iter().map(take).collect()
}
