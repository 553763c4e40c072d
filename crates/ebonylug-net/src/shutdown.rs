//! Graceful shutdown.
//!
//! On SIGTERM a process reports "not ready" and refuses new work as not run. It accepts connections
//! until the platform's load balancer has removed it, finishes the work in flight, reports that
//! it is leaving, and exits. The signal handler of the HTTP library is not used, since it closes the
//! listener immediately and aborts streams after 30 s.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

/// The phase of a process with regard to its shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// New work is accepted.
    Running,
    /// The process is not ready: it accepts connections and refuses new work as not run.
    Draining,
    /// All work has ended or the timeout has passed.
    Stopped,
}

/// Tracks the phase and the work in flight, which must end before the process exits. Clones share
/// their state.
#[derive(Clone, Debug)]
pub struct Shutdown {
    phase: Arc<watch::Sender<Phase>>,
    active: Arc<watch::Sender<usize>>,
}

/// A piece of work in flight, which ends when the guard is dropped.
#[derive(Debug)]
pub struct WorkGuard {
    active: Arc<watch::Sender<usize>>,
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.active.send_modify(|count| *count -= 1);
    }
}

impl Shutdown {
    /// Creates a tracker in phase [`Phase::Running`] without work in flight.
    #[must_use]
    pub fn new() -> Self {
        Shutdown {
            phase: Arc::new(watch::Sender::new(Phase::Running)),
            active: Arc::new(watch::Sender::new(0)),
        }
    }

    /// Returns the current phase.
    #[must_use]
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Registers a piece of work, or returns `None` if new work must be refused.
    #[must_use]
    pub fn begin_work(&self) -> Option<WorkGuard> {
        // The work is counted before the phase is read, so that a drain that starts in between
        // waits for it.
        self.active.send_modify(|count| *count += 1);
        let work = WorkGuard {
            active: Arc::clone(&self.active),
        };
        (self.phase() == Phase::Running).then_some(work)
    }

    /// Returns the number of pieces of work in flight.
    #[must_use]
    pub fn active(&self) -> usize {
        *self.active.borrow()
    }

    /// Moves from [`Phase::Running`] to [`Phase::Draining`]; has no effect in later phases.
    pub fn drain(&self) {
        self.phase.send_if_modified(|phase| {
            let running = *phase == Phase::Running;
            if running {
                *phase = Phase::Draining;
            }
            running
        });
    }

    /// Waits until the process is in `phase` or a later one.
    pub async fn wait_for(&self, phase: Phase) {
        let mut changes = self.phase.subscribe();
        // Fails only if the sender is dropped, and `self` holds it.
        let _ = changes.wait_for(|now| *now >= phase).await;
    }

    /// Waits for `delay`, in which the load balancer removes the process, then at most `timeout`
    /// for all work to end. Moves to [`Phase::Stopped`].
    ///
    /// Returns the number of pieces of work that remain, which is 0 unless the timeout has passed.
    pub async fn finish(&self, delay: Duration, timeout: Duration) -> usize {
        tokio::time::sleep(delay).await;
        let mut active = self.active.subscribe();
        let ended = active.wait_for(|count| *count == 0);
        let _ = tokio::time::timeout(timeout, ended).await;
        let remaining = self.active();
        self.phase.send_replace(Phase::Stopped);
        remaining
    }
}

impl Default for Shutdown {
    fn default() -> Self {
        Self::new()
    }
}

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails if the handler cannot be installed.
pub async fn signal() -> std::io::Result<()> {
    use tokio::signal::unix::{SignalKind, signal};
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    Ok(())
}
