//! The lease under which one entry writes the status of moves and ends them.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use ebonylug_core::{Fence, Incarnation, Name};
use ebonylug_lease::{Candidate, Lease, LeaseState, Settings};

use crate::Shared;

/// The name of the lease.
const LEASE_NAME: &str = "moves";
/// The interval at which the lease is looked after.
const STEP_INTERVAL: Duration = Duration::from_millis(100);

/// The lease of this entry, while it holds it.
#[derive(Default)]
pub struct Leadership {
    lease: Mutex<Option<Lease>>,
}

impl Leadership {
    /// Returns the fencing number while the lease is valid.
    pub fn fence(&self) -> Option<Fence> {
        let lease = self.lock();
        lease
            .as_ref()
            .filter(|lease| lease.is_valid())
            .map(Lease::fence)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<Lease>> {
        self.lease.lock().expect("leadership lock poisoned")
    }
}

/// Campaigns for the lease while there are moves, until the future is dropped.
///
/// Without moves, the lease is given back, so that an idle deployment does not use the table.
pub async fn run(shared: Arc<Shared>, process: Name, incarnation: Incarnation) {
    let state = LeaseState::new(
        LEASE_NAME,
        process,
        incarnation,
        Settings::default(),
        shared.clock.now(),
    );
    let mut candidate = Candidate::new(shared.platform.clone(), Arc::clone(&shared.clock), state);
    let mut interval = tokio::time::interval(STEP_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if shared.moves.is_empty() {
            let lease = shared.leadership.lock().take();
            if let Some(lease) = lease {
                candidate.release(lease).await;
                candidate.campaign();
            }
            continue;
        }
        if let Some(lease) = candidate.step().await {
            let previous = shared.leadership.lock().replace(lease);
            drop(previous);
        }
    }
}
