//! The order of steps of a planned stop.
//!
//! On SIGTERM a process reports "not ready" but still accepts connections for the lag of the
//! platform's balancer, refuses new work as not run, finishes what it runs, announces that it
//! leaves, and exits. The signal handler of the HTTP library is not used, since it closes the
//! listener at once and cuts running streams after 30 s.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

/// The phase of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// New work is accepted.
    Running,
    /// Not ready; connections are accepted, new work is refused as not run.
    Draining,
    /// All work has ended or the bound was reached.
    Stopped,
}

/// Counts work in flight and tells when the process may exit. Clones share their state.
#[derive(Clone, Debug)]
pub struct Stop {
    phase: Arc<watch::Sender<Phase>>,
    active: Arc<watch::Sender<usize>>,
}

/// One piece of work in flight. Dropping it ends the work.
#[derive(Debug)]
pub struct WorkGuard {
    active: Arc<watch::Sender<usize>>,
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.active.send_modify(|count| *count -= 1);
    }
}

impl Stop {
    /// Creates the state of a running process.
    #[must_use]
    pub fn new() -> Self {
        Stop {
            phase: Arc::new(watch::Sender::new(Phase::Running)),
            active: Arc::new(watch::Sender::new(0)),
        }
    }

    /// Returns the present phase.
    #[must_use]
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Registers a piece of work, or returns `None` if new work must be refused.
    #[must_use]
    pub fn begin(&self) -> Option<WorkGuard> {
        // Counted before the phase is read, so that a drain that starts in between waits for it.
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

    /// Starts the planned stop.
    pub fn drain(&self) {
        self.phase.send_if_modified(|phase| {
            let running = *phase == Phase::Running;
            if running {
                *phase = Phase::Draining;
            }
            running
        });
    }

    /// Waits until the phase is at least `phase`.
    pub async fn wait_for(&self, phase: Phase) {
        let mut changes = self.phase.subscribe();
        // The sender lives as long as `self`.
        let _ = changes.wait_for(|now| *now >= phase).await;
    }

    /// Waits for the balancer's lag and for all work to end, at most `bound` after the lag.
    ///
    /// Returns the number of pieces of work that remain, which is 0 unless the bound was reached.
    pub async fn finish(&self, lag: Duration, bound: Duration) -> usize {
        tokio::time::sleep(lag).await;
        let mut active = self.active.subscribe();
        let ended = active.wait_for(|count| *count == 0);
        let _ = tokio::time::timeout(bound, ended).await;
        let remaining = self.active();
        self.phase.send_replace(Phase::Stopped);
        remaining
    }
}

impl Default for Stop {
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
