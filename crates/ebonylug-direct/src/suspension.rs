//! Notices that this entry was suspended. What arrives then from buffers is older than it looks.

use std::time::Duration;

use ebonylug_dispatch::TableKind;

use crate::entry::Entry;

/// Time without any work after which an entry counts as suspended. It works at each tick.
const MIN_SUSPENSION: Duration = Duration::from_millis(250);

/// The suspensions of an entry, in uptimes that include them.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Suspensions {
    /// When the entry last worked.
    worked: Option<Duration>,
    count: u64,
    /// When the entry woke, until a later read or message confirms the rows.
    woke: Option<Duration>,
}

impl Suspensions {
    /// Records that the entry works. Returns the length of a suspension that has just ended.
    fn record_work(&mut self, uptime: Duration) -> Option<Duration> {
        let length = uptime.saturating_sub(self.worked.replace(uptime)?);
        if length < MIN_SUSPENSION {
            return None;
        }
        self.count += 1;
        self.woke = Some(uptime);
        Some(length)
    }

    /// Reports whether nothing has confirmed the rows since the entry woke.
    pub(crate) fn is_outdated(&self) -> bool {
        self.woke.is_some()
    }
}

impl Entry {
    /// Notices a suspension. Called before facts are used that may have changed meanwhile.
    pub(crate) fn record_work(&self) {
        let uptime = self.uptime.uptime();
        let mut suspensions = self.suspensions.get();
        let ended = suspensions.record_work(uptime);
        self.suspensions.set(suspensions);
        let Some(length) = ended else {
            return;
        };
        let suspended_ms = crate::entry::millis(length);
        tracing::warn!(part = "entry", suspended_ms, "the entry was suspended");
        let now = self.clock.now();
        let tables = self.table_state();
        let mut state = self.state.borrow_mut();
        state.row_age.suspend();
        state.scheduler.forget_checks();
        let age = state.freshness.age(uptime);
        state.update_row_age(now, tables, age);
        drop(state);
        self.table_news.notify_waiters();
    }

    /// Returns how often this entry has been suspended.
    pub(crate) fn suspensions(&self) -> u64 {
        self.record_work();
        self.suspensions.get().count
    }

    /// Records that the store answered a read that was sent after `suspensions`.
    pub(crate) fn confirm_read(&self, table: TableKind, suspensions: u64) {
        if table == TableKind::Targets && self.suspensions() == suspensions {
            self.confirm_rows();
        }
    }

    /// Records that an entry that reads the targets' rows, and has none that this one lacks, sent a message at an uptime.
    pub(crate) fn confirm_message(&self, sent: Duration) {
        if self.suspensions.get().woke.is_some_and(|woke| sent >= woke) {
            self.confirm_rows();
        }
    }

    fn confirm_rows(&self) {
        let mut suspensions = self.suspensions.get();
        if suspensions.woke.take().is_some() {
            self.suspensions.set(suspensions);
            self.state.borrow_mut().row_age.confirm();
        }
    }
}
