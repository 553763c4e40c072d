use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

use ebonylug_core::Name;
use ebonylug_dispatch::{
    Config, CrashDetector, Freshness, Peers, PlacementRequest, Quotas, RetryBudget, Scheduler,
    Target, TargetState, VersionFilter, WaitKey,
};
use rand_chacha::ChaCha8Rng;

use crate::entry::millis;
use crate::grant::Waiter;
use crate::moves::Moves;

/// What an entry knows. It is never borrowed across an `await`.
pub(crate) struct State {
    pub(crate) config: Option<Rc<Config>>,
    pub(crate) scheduler: Scheduler,
    pub(crate) quotas: Quotas,
    pub(crate) budgets: HashMap<Name, RetryBudget>,
    pub(crate) freshness: Freshness,
    pub(crate) peers: Peers,
    pub(crate) waiters: HashMap<WaitKey, Waiter>,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) sequence: u64,
    pub(crate) targets_known: bool,
    /// Whether the scheduler does not have what the other entries have told last.
    pub(crate) others_old: bool,
    pub(crate) moves: Moves,
    pub(crate) crashes: CrashDetector,
}

impl State {
    /// Notes that what the other entries have told has changed.
    pub(crate) fn peers_changed(&mut self) {
        self.others_old = true;
        self.scheduler.set_entries(self.peers.known_count());
    }

    /// Logs which entries are not heard any more, or again.
    pub(crate) fn tell_peers(&mut self, now: Instant) {
        for change in self.peers.take_changes(now) {
            let standing = self.peers.counts(now);
            let (heard, known) = (standing.reachable, standing.known);
            if change.lost {
                let silent_ms = millis(change.silent);
                tracing::warn!(part = "peers", peer = %change.entry, silent_ms, heard, known, "entry not heard");
            } else {
                tracing::info!(part = "peers", peer = %change.entry, heard, known, "entry heard again");
            }
        }
    }

    /// Tells the scheduler what the other entries have told. Only decisions about targets need it, and
    /// there are fewer of them than messages.
    pub(crate) fn refresh(&mut self, now: Instant) {
        if std::mem::take(&mut self.others_old) {
            self.scheduler.set_peer_loads(&self.peers.loads(now));
        }
    }

    /// Adds a target or takes over what has changed about it.
    pub(crate) fn put(&mut self, now: Instant, target: Target) {
        let known = self.scheduler.find(&target.name).cloned();
        if known
            .as_ref()
            .is_none_or(|known| !known.eq_ignoring_cold(&target))
        {
            tracing::info!(
                part = "targets",
                target = %target.name,
                service = %target.service,
                zone = %target.zone,
                address = %target.address,
                version = %target.version,
                state = ?target.state,
                cold_ms = millis(target.cold),
                "target listed"
            );
        }
        if let Some(known) = known.filter(|known| known.started_ms != target.started_ms) {
            self.note_down(now, &known);
        }
        self.scheduler.put_target(now, target);
    }

    /// Removes a target.
    pub(crate) fn remove(&mut self, now: Instant, name: &Name) {
        if let Some(known) = self.scheduler.find(name).cloned() {
            tracing::info!(part = "targets", target = %name, "target gone");
            // One that leaves as planned has not crashed.
            if known.state == TargetState::Serving {
                self.note_down(now, &known);
            }
        }
        self.scheduler.remove_target(name);
    }

    /// Notes that a target takes no connections, is gone, or has started anew.
    pub(crate) fn note_down(&mut self, now: Instant, target: &Target) {
        if self
            .crashes
            .record_down(now, &target.name, target.started_ms)
        {
            let crashes = self.crashes.log().len();
            tracing::info!(part = "crashes", target = %target.name, crashes, "target crashed under requests");
        }
    }

    /// Sets the versions that may serve a request. If no target of a version in a move can, others may.
    pub(crate) fn with_versions(&mut self, mut ask: PlacementRequest) -> PlacementRequest {
        let again = !ask.tried.is_empty();
        ask.versions = self.moves.choose(&ask.service, again);
        if !self.scheduler.has_target(&ask)
            && let VersionFilter::Only(version) = ask.versions
        {
            ask.versions = VersionFilter::Except(version);
        }
        ask
    }
}
