//! Tasks of one entry or sidecar, which are cancelled together, also when a test starts several of
//! them within one process.

use tokio::runtime::Handle;
use tokio::task::AbortHandle;
use tokio_util::sync::CancellationToken;

/// A set of tasks on one runtime that are cancelled together. Clones share their tasks.
#[derive(Clone, Debug)]
pub struct Tasks {
    runtime: Handle,
    cancellation: CancellationToken,
}

impl Tasks {
    /// Creates an empty set on the current Tokio runtime.
    ///
    /// # Panics
    ///
    /// Panics outside of a runtime.
    #[must_use]
    pub fn new() -> Self {
        Tasks {
            runtime: Handle::current(),
            cancellation: CancellationToken::new(),
        }
    }

    /// Spawns a task, from any thread. The handle aborts it alone.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) -> AbortHandle {
        let cancellation = self.cancellation.clone();
        let task = self.runtime.spawn(async move {
            // `None` means that the task was cancelled, which needs no handling.
            let _ = cancellation.run_until_cancelled(task).await;
        });
        task.abort_handle()
    }

    /// Waits until [`cancel_all`](Self::cancel_all) is called.
    pub fn cancelled(&self) -> impl Future<Output = ()> + Send + 'static {
        self.cancellation.clone().cancelled_owned()
    }

    /// Cancels all tasks at their next suspension point.
    pub fn cancel_all(&self) {
        self.cancellation.cancel();
    }
}

impl Default for Tasks {
    fn default() -> Self {
        Self::new()
    }
}
