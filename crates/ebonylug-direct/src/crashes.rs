//! What an entry records about requests that crash targets, and what it refuses because of it.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ebonylug_core::CrashCause;
use ebonylug_dispatch::{CrashLog, CrashRecord, TargetKey};

use crate::entry::{Entry, millis};
use crate::pool::{self, Error, PooledConnection};

/// Interval at which the crash log is sent again, in case messages were lost.
const CRASH_LOG_INTERVAL: Duration = Duration::from_secs(8);
/// Time for which messages then include the crash log. Each other entry gets a message in this time.
const CRASH_LOG_WINDOW: Duration = Duration::from_millis(400);
/// Time after which a connection of a check is still open if its target is up. Closing all files of a process
/// takes some milliseconds. It is less than [`MAX_CHECK_WAIT`].
const SETTLE_TIME: Duration = Duration::from_millis(20);
/// Maximum time for which an attempt of a suspected request waits for the check of the target before. A host
/// that is up answers within one round trip; one that does not answer proves nothing.
const MAX_CHECK_WAIT: Duration = Duration::from_millis(50);

impl Entry {
    /// Reports whether a request is refused because requests with the same content or a common prompt
    /// part have crashed their targets.
    pub(crate) fn is_quarantined(&self, causes: &[CrashCause]) -> bool {
        self.state.borrow().crashes.is_quarantined(causes)
    }

    /// Reports whether requests with the same content or a common prompt part are known from crashes of targets.
    pub(crate) fn is_suspect(&self, causes: &[CrashCause]) -> bool {
        self.state.borrow().crashes.is_suspect(causes)
    }

    /// Records that the connection to a target failed while it ran a request, and checks whether the target
    /// is down.
    pub(crate) fn record_broken(self: &Rc<Self>, target: TargetKey, causes: &[CrashCause]) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let Some(info) = state.scheduler.target(target).cloned() else {
            return;
        };
        let (name, started_ms) = (&info.name, info.started_ms);
        if state.crashes.record_broken(now, name, started_ms, causes) {
            state.log_crash(&info);
        } else if state.crashes.awaits_down(name, started_ms)
            && self.checked.borrow_mut().insert(target)
        {
            tokio::task::spawn_local(check_target(Rc::clone(self), target));
        }
    }

    /// Waits until it is known whether a target is down at which a request broke, if the crash may quarantine
    /// the request. Otherwise, the next attempt would crash one more target. Requests that were in flight in
    /// no crash do not wait.
    pub(crate) async fn check_finished(&self, target: TargetKey, causes: &[CrashCause]) {
        if !self.state.borrow().crashes.is_suspect(causes) {
            return;
        }
        let finished = async {
            loop {
                let next = self.check_done.notified();
                if !self.checked.borrow().contains(&target) {
                    return;
                }
                next.await;
            }
        };
        if tokio::time::timeout(MAX_CHECK_WAIT, finished)
            .await
            .is_err()
        {
            tracing::debug!(part = "crashes", "the check of a target takes too long");
        }
    }

    /// Makes the entry wait for the crash records of the platform's store before it reports that it is ready.
    /// [`Entry::finish_crash_records`] ends the wait.
    pub fn await_crash_records(&self) {
        self.awaits_records.set(true);
    }

    /// Ends the wait for the crash records.
    pub fn finish_crash_records(&self) {
        self.awaits_records.set(false);
    }

    /// Adds the crashes of a record from the platform's store.
    pub fn restore_crashes(&self, crashes: &CrashLog) {
        self.state.borrow_mut().crashes.merge(crashes);
    }

    /// Returns the crash records that the platform's store must keep and does not have yet.
    #[must_use]
    pub fn take_crash_records(&self) -> Vec<CrashRecord> {
        self.state.borrow_mut().crashes.take_records()
    }

    /// Records that a target has run a request to completion.
    pub(crate) fn record_completed(&self, causes: &[CrashCause]) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        state.crashes.record_completed(now, causes);
    }

    /// Reports whether messages include the whole crash log, as they do periodically.
    pub(crate) fn sends_crash_log(&self) -> bool {
        let repeat = millis(self.age()) % millis(CRASH_LOG_INTERVAL) < millis(CRASH_LOG_WINDOW);
        repeat && !self.state.borrow().crashes.is_empty()
    }
}

/// Reports whether a failed connection shows that no process listens at the address.
fn is_down(error: &std::io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset
    )
}

/// Checks whether a target still accepts connections. Without the check, a crash would be noticed only
/// when the next request is sent there or the platform removes the target, which takes seconds. The
/// connection replaces the broken one.
async fn check_target(entry: Rc<Entry>, target: TargetKey) {
    if let Some(info) = entry.target(target) {
        match connect_twice(&entry, target, info.address).await {
            Ok(connection) => entry.release_connection(connection),
            Err(Error::Connect(error)) if is_down(&error) => {
                let now = entry.clock.now();
                entry.state.borrow_mut().record_down(now, &info);
            }
            // The network between this entry and the target may have failed instead.
            Err(error) => {
                tracing::debug!(part = "crashes", target = %info.name, %error, "target cannot be checked");
            }
        }
    }
    entry.checked.borrow_mut().remove(&target);
    entry.check_done.notify_waiters();
}

/// Opens a connection, and another one if it is closed at once. A process that ends may close its listener
/// after its connections, and still accept one in between.
async fn connect_twice(
    entry: &Entry,
    target: TargetKey,
    address: SocketAddr,
) -> pool::Result<PooledConnection> {
    let connection = entry.pool.open(target, address).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    if connection.is_closed() {
        return entry.pool.open(target, address).await;
    }
    Ok(connection)
}
