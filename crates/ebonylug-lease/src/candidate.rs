use std::sync::{Arc, Mutex, MutexGuard};

use ebonylug_core::{Clock, Fence};
use ebonylug_platform::Table;

use crate::{Call, LeaseState, Reply};

/// Calls in one step: read, write, read back, write again.
const MAX_CALLS: usize = 4;

/// Carries out the calls of a [`LeaseState`].
pub struct Candidate<T> {
    table: T,
    key: Box<str>,
    shared: Arc<Shared>,
    reported: Option<Fence>,
}

struct Shared {
    clock: Arc<dyn Clock>,
    state: Mutex<LeaseState>,
}

impl<T: Table> Candidate<T> {
    /// Creates a candidate.
    pub fn new(table: T, clock: Arc<dyn Clock>, state: LeaseState) -> Self {
        let key = state.key().into();
        let state = Mutex::new(state);
        Candidate {
            table,
            key,
            shared: Arc::new(Shared { clock, state }),
            reported: None,
        }
    }

    /// Makes the calls that are due. Returns a guard when the lease has been taken.
    ///
    /// To be called often (every 100 ms). A call that is cancelled counts as a lost reply.
    pub async fn step(&mut self) -> Option<Lease> {
        for _ in 0..MAX_CALLS {
            let clock = &self.shared.clock;
            let call = self.shared.lock().tick(clock.now(), clock.wall())?;
            let reply = match call {
                Call::Read => Reply::Read(self.table.get(&self.key).await),
                Call::Write(transaction) => Reply::Write(self.table.transact(transaction).await),
            };
            let now = clock.now();
            let held = {
                let mut state = self.shared.lock();
                state.apply_reply(now, reply);
                state.fence(now)
            };
            if held.is_some() && self.reported != held {
                self.reported = held;
                return held.map(|fence| self.guard(fence));
            }
        }
        None
    }

    /// Gives a lease back and tells the other candidates, so that they need not wait. If the
    /// table does not answer, they wait.
    pub async fn release(&mut self, lease: Lease) {
        drop(lease);
        let taken = self.step().await;
        debug_assert!(taken.is_none(), "a lease was taken after it was given up");
    }

    /// Becomes a candidate again after a lease was given back.
    pub fn campaign(&mut self) {
        let now = self.shared.clock.now();
        self.shared.lock().campaign(now);
    }

    fn guard(&self, fence: Fence) -> Lease {
        tracing::info!("lease: took {} with fencing number {fence}", self.key);
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

/// A lease that this process has taken. Giving it up is immediate when the guard is dropped;
/// [`Candidate::release`] also tells the other candidates.
#[must_use]
pub struct Lease {
    shared: Arc<Shared>,
    fence: Fence,
}

impl Lease {
    /// Returns the fencing number, which every order under this lease must carry.
    #[must_use]
    pub fn fence(&self) -> Fence {
        self.fence
    }

    /// Reports whether the lease is still held. To be checked before each order: the process may
    /// have been paused. A pause after the check is what the fencing number is for.
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
