//! The lease that allows one entry at a time to write the status of moves and end them.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use ebonylug_core::{Fence, Incarnation, Name};
use ebonylug_lease::{Candidate, Lease, LeaseState, Settings};

use crate::Shared;

/// The name of the lease in the store.
const LEASE_NAME: &str = "moves";
/// The interval at which the candidate acquires or renews the lease.
const STEP_INTERVAL: Duration = Duration::from_millis(100);

/// The lease of this entry, if it is the holder.
#[derive(Default)]
pub struct Leadership {
    lease: Mutex<Option<Lease>>,
}

impl Leadership {
    /// Returns the fencing token while the lease is valid.
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
/// Without moves, the lease is released, so that an idle deployment causes no load on the store.
pub async fn run(shared: Arc<Shared>, instance: Name, incarnation: Incarnation) {
    let state = LeaseState::new(
        LEASE_NAME,
        instance,
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
