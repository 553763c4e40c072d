use std::sync::{Arc, Mutex, MutexGuard};

use ebonylug_core::{Clock, Fence};
use ebonylug_platform::Table;

use crate::{Call, LeaseState, Reply};

/// Maximum number of calls in one step: a read, a write, a read that verifies the write, and
/// another write.
const MAX_CALLS: usize = 4;

/// Acquires and renews a lease by making the calls of a [`LeaseState`] to the store.
pub struct Candidate<T> {
    store: T,
    key: Box<str>,
    shared: Arc<Shared>,
    /// Fencing token of the last guard that was returned.
    last_fence: Option<Fence>,
}

struct Shared {
    clock: Arc<dyn Clock>,
    state: Mutex<LeaseState>,
}

impl<T: Table> Candidate<T> {
    /// Creates a candidate that uses the row of `state` in `store`.
    pub fn new(store: T, clock: Arc<dyn Clock>, state: LeaseState) -> Self {
        let key = state.key().into();
        let state = Mutex::new(state);
        Candidate {
            store,
            key,
            shared: Arc::new(Shared { clock, state }),
            last_fence: None,
        }
    }

    /// Makes the calls that are due. Returns a guard when the lease has been acquired.
    ///
    /// To be called periodically, about every 100 ms. A cancelled call is treated like a call whose
    /// reply was lost.
    pub async fn step(&mut self) -> Option<Lease> {
        for _ in 0..MAX_CALLS {
            let clock = &self.shared.clock;
            let call = self.shared.lock().tick(clock.now(), clock.wall())?;
            let reply = match call {
                Call::Read => Reply::Read(self.store.get(&self.key).await),
                Call::Write(transaction) => Reply::Write(self.store.transact(transaction).await),
            };
            let now = clock.now();
            let fence = {
                let mut state = self.shared.lock();
                state.apply_reply(now, reply);
                state.fence(now)
            };
            if fence.is_some() && self.last_fence != fence {
                self.last_fence = fence;
                return fence.map(|fence| self.new_lease(fence));
            }
        }
        None
    }

    /// Releases a lease and marks the row as released, so that other candidates need not wait until
    /// the lease expires. If the store is unavailable, they wait.
    pub async fn release(&mut self, lease: Lease) {
        drop(lease);
        let acquired = self.step().await;
        debug_assert!(acquired.is_none(), "a lease was acquired after its release");
    }

    /// Starts to compete for the lease again after its release.
    pub fn campaign(&mut self) {
        let now = self.shared.clock.now();
        self.shared.lock().campaign(now);
    }

    fn new_lease(&self, fence: Fence) -> Lease {
        tracing::info!("lease: acquired {} with fencing token {fence}", self.key);
        Lease {
            shared: Arc::clone(&self.shared),
            fence,
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, LeaseState> {
        self.state.lock().expect("lease lock poisoned")
    }
}

/// Guard of a lease that this process has acquired.
///
/// Dropping the guard ends the lease in this process at once. [`Candidate::release`] also writes
/// the release to the store without waiting for the next step.
#[must_use]
pub struct Lease {
    shared: Arc<Shared>,
    fence: Fence,
}

impl Lease {
    /// Returns the fencing token, which every order under this lease must carry.
    #[must_use]
    pub fn fence(&self) -> Fence {
        self.fence
    }

    /// Reports whether the lease is still held. To be checked before each order, since the process
    /// may have been paused. The fencing token protects against a pause after the check.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        let now = self.shared.clock.now();
        self.shared.lock().fence(now) == Some(self.fence)
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let now = self.shared.clock.now();
        self.shared.lock().release(now, self.fence);
    }
}
