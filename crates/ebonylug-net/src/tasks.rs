//! Tasks that end with their process, also when several processes run in one for tests.

use tokio::runtime::Handle;
use tokio::task::AbortHandle;
use tokio_util::sync::CancellationToken;

/// Spawns tasks on one runtime and ends them all at once. Clones share their tasks.
#[derive(Clone, Debug)]
pub struct Tasks {
    runtime: Handle,
    ended: CancellationToken,
}

impl Tasks {
    /// Creates an empty set on the current runtime.
    ///
    /// # Panics
    ///
    /// Panics outside of a runtime.
    #[must_use]
    pub fn new() -> Self {
        Tasks {
            runtime: Handle::current(),
            ended: CancellationToken::new(),
        }
    }

    /// Starts a task, from any thread. The handle can end it before the others.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) -> AbortHandle {
        let ended = self.ended.clone();
        let task = self.runtime.spawn(async move {
            // What the task returns does not matter; it may have been ended.
            let _ = ended.run_until_cancelled(task).await;
        });
        task.abort_handle()
    }

    /// Waits until the tasks are ended.
    pub fn cancelled(&self) -> impl Future<Output = ()> + Send + 'static {
        self.ended.clone().cancelled_owned()
    }

    /// Ends all tasks at their next wait.
    pub fn cancel_all(&self) {
        self.ended.cancel();
    }
}

impl Default for Tasks {
    fn default() -> Self {
        Self::new()
    }
}
