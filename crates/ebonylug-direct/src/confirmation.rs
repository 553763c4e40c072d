//! Decides when the configuration of an entry counts as current.
//!
//! The store may have come back from an older copy, whose configuration another entry knows to be outdated.
//! An entry that starts therefore waits for the messages of the others, and an entry whose configuration is
//! older than that of another one does not take the store's word for it.

use std::time::Duration;

use ebonylug_core::Name;
use smallvec::SmallVec;

use crate::entry::Entry;
use crate::state::State;

/// The longest time for which an entry that starts waits for messages of the others. They answer an announcement
/// within some milliseconds, and one announcement may be lost.
const MAX_PEER_WAIT: Duration = Duration::from_millis(400);

impl State {
    /// Reports whether the entry, which started `age` ago, still waits for messages of the other entries.
    pub(crate) fn awaits_peers(&mut self, age: Duration) -> bool {
        if age >= MAX_PEER_WAIT || self.peers.has_heard_all() {
            self.awaits_peers = false;
        }
        self.awaits_peers
    }

    /// Records that the configuration was current at `time`, or defers it until the other entries agree.
    pub(crate) fn confirm_config(&mut self, age: Duration, time: Duration) {
        let version = self.config_version();
        if self.awaits_peers(age) || self.peers.newest_config() > version {
            self.deferred = self.deferred.max(Some(time));
        } else {
            self.freshness.confirm(time);
        }
    }

    /// Repeats a confirmation that was deferred.
    pub(crate) fn confirm_deferred(&mut self, age: Duration) {
        if let Some(time) = self.deferred.take() {
            self.confirm_config(age, time);
        }
    }
}

impl Entry {
    /// Records that the active configuration was current at `time`, an uptime of this machine. It does not count
    /// while another entry has a newer one, or while the entry has just started and has not heard the others.
    pub fn confirm_config(&self, time: Duration) {
        let age = self.age();
        self.state.borrow_mut().confirm_config(age, time);
    }

    /// Reports whether the entry has just started and waits for messages of the others.
    #[must_use]
    pub fn awaits_peers(&self) -> bool {
        let age = self.age();
        self.state.borrow_mut().awaits_peers(age)
    }

    /// Returns the reachable entries that have a newer configuration.
    pub(crate) fn peers_with_newer_config(&self) -> SmallVec<[Name; 4]> {
        let state = self.state.borrow();
        let version = state.config_version();
        let names = state.peers.with_newer_config(self.clock.now(), version);
        names.into_iter().cloned().collect()
    }
}
