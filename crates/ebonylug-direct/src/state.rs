use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use ebonylug_core::Name;
use ebonylug_dispatch::{
    Config, CrashDetector, Freshness, Hedging, Peers, PlacementRequest, Quotas, RetryBudget,
    RowAge, Scheduler, Target, TargetKey, TargetState, VersionFilter, WaitKey,
};
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;

use crate::entry::millis;
use crate::moves::Moves;
use crate::slot::Waiter;

/// The mutable state of an entry. It is never borrowed across an `await`.
pub(crate) struct State {
    pub(crate) config: Option<Rc<Config>>,
    pub(crate) scheduler: Scheduler,
    pub(crate) quotas: Quotas,
    pub(crate) budgets: HashMap<Name, RetryBudget>,
    pub(crate) freshness: Freshness,
    /// Whether the entry has just started and has not heard all others.
    pub(crate) awaits_peers: bool,
    /// The latest time at which the store confirmed a configuration that does not count as current yet.
    pub(crate) deferred: Option<Duration>,
    pub(crate) peers: Peers,
    pub(crate) waiters: HashMap<WaitKey, Waiter>,
    pub(crate) rng: ChaCha8Rng,
    /// The sequence number of the last message to other entries.
    pub(crate) sequence: u64,
    /// Whether the complete list of targets has been received.
    pub(crate) targets_known: bool,
    /// Whether the scheduler lacks the latest loads of the other entries.
    pub(crate) loads_stale: bool,
    /// Whether changes of the targets' rows arrive.
    pub(crate) row_age: RowAge,
    pub(crate) moves: Moves,
    pub(crate) crashes: CrashDetector,
    pub(crate) hedging: Hedging,
    /// [`Moves::changes`] when the versions of the waiting requests were last revised.
    pub(crate) revised: u64,
}

impl State {
    /// Returns the version of the active configuration; 0 without one.
    pub(crate) fn config_version(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.version)
    }

    /// Updates the number of entries, and marks the peer loads as stale.
    pub(crate) fn mark_peers_changed(&mut self) {
        self.loads_stale = true;
        self.scheduler
            .set_entries(self.peers.known_count(), self.peers.longest_interval());
        self.scheduler
            .set_sharing_entries(self.peers.sharing_count());
    }

    /// Divides the targets of this zone among its reachable entries.
    pub(crate) fn update_owners(&mut self, now: Instant, own: &Name, zone: &Name) {
        let others = self.peers.reachable_in_zone(now, zone);
        self.scheduler.set_owners(own, others);
    }

    /// Logs which entries became unreachable, or reachable again.
    pub(crate) fn log_peer_changes(&mut self, now: Instant) {
        for change in self.peers.take_changes(now) {
            let counts = self.peers.counts(now);
            let (heard, known) = (counts.reachable, counts.known);
            if change.unreachable {
                let silent_ms = millis(change.message_age);
                tracing::warn!(part = "peers", peer = %change.entry, silent_ms, heard, known, "entry not heard");
            } else {
                tracing::info!(part = "peers", peer = %change.entry, heard, known, "entry heard again");
            }
        }
    }

    /// Logs which targets became cold. Returns the number of requests sent to cold targets so far.
    pub(crate) fn log_cold_targets(&mut self) -> u64 {
        let (changes, sends) = self.scheduler.take_cold_changes();
        for change in changes {
            let (source, left_ms) = (change.source.as_str(), millis(change.left));
            let target = &change.target;
            tracing::info!(part = "targets", target = %target.name, service = %target.service, source, left_ms, "target is cold");
        }
        sends
    }

    /// Passes the latest peer loads to the scheduler. Called before each scheduling decision rather
    /// than for each message, since messages are more frequent.
    pub(crate) fn refresh_peer_loads(&mut self, now: Instant) {
        if std::mem::take(&mut self.loads_stale) {
            self.scheduler.set_peer_loads(&self.peers.loads(now));
            self.scheduler.set_peer_waiting(self.peers.waiting(now));
        }
    }

    /// Adds or updates a target. `version` is that of the table, for the log.
    pub(crate) fn put_target(&mut self, now: Instant, target: Target, version: u64) {
        let current = self.scheduler.find(&target.name).cloned();
        let key = self.scheduler.put_target(now, target);
        let Some(target) = self.scheduler.target(key).cloned() else {
            return;
        };
        if current
            .as_ref()
            .is_none_or(|current| !current.eq_ignoring_cold(&target))
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
                started_ms = target.started_ms,
                table_version = version,
                "target listed"
            );
        }
        if let Some(current) = current.filter(|current| current.started_ms != target.started_ms) {
            self.record_down(now, &current);
        }
    }

    /// Removes a target. One that was still serving counts as down, because it may have crashed.
    pub(crate) fn remove_target(&mut self, now: Instant, name: &Name, version: u64) {
        if let Some(current) = self.scheduler.find(name).cloned() {
            tracing::info!(part = "targets", target = %name, table_version = version, "target gone");
            // A target that was draining has not crashed.
            if current.state == TargetState::Serving {
                self.record_down(now, &current);
            }
        }
        self.scheduler.remove_target(name);
    }

    /// Records that a target accepts no connections, was removed, or has restarted.
    pub(crate) fn record_down(&mut self, now: Instant, target: &Target) {
        if self
            .crashes
            .record_down(now, &target.name, target.started_ms)
        {
            self.log_crash(target);
        }
    }

    /// Logs that a target has crashed, and what is quarantined now.
    pub(crate) fn log_crash(&self, target: &Target) {
        let log = self.crashes.log();
        let quarantined: Vec<String> = log.quarantined().map(|cause| cause.to_string()).collect();
        let (crashes, quarantined) = (log.len(), quarantined.join(","));
        tracing::info!(part = "crashes", target = %target.name, crashes, quarantined, "target crashed under requests");
    }

    /// Logs that the limit of a target has changed, and which other entry told of it.
    pub(crate) fn log_limit(&self, key: TargetKey, peer: Option<&str>) {
        let Some(target) = self.scheduler.target(key) else {
            return;
        };
        let rate = self.scheduler.named_limit(key);
        let message = match rate {
            Some(_) => "target names a limit",
            None => "target names no limit any more",
        };
        tracing::info!(part = "targets", target = %target.name, service = %target.service, rate, peer, "{message}");
    }

    /// Sets the versions that may serve a request. If no target of the chosen version can, all other
    /// versions may.
    pub(crate) fn with_versions(&mut self, mut request: PlacementRequest) -> PlacementRequest {
        let retry = !request.tried.is_empty();
        request.versions = self.moves.choose_versions(&request.service, retry);
        self.admit_others(&mut request);
        request
    }

    /// Lets all other versions serve a request if no target of the only one that may can.
    fn admit_others(&self, request: &mut PlacementRequest) {
        if let VersionFilter::Only(version) = &request.versions
            && !self.scheduler.has_target(request)
        {
            request.versions = VersionFilter::Except(version.clone());
        }
    }

    /// Returns the versions that may serve a request whose versions were chosen earlier.
    pub(crate) fn revise_versions(&self, mut request: PlacementRequest) -> VersionFilter {
        let (service, versions) = (&request.service, &request.versions);
        request.versions = self.moves.revise_versions(service, versions);
        self.admit_others(&mut request);
        request.versions
    }

    /// Applies the moves to the waiting requests, whose versions were chosen when they arrived.
    pub(crate) fn revise_waiting(&mut self) {
        let changes = self.moves.changes();
        if std::mem::replace(&mut self.revised, changes) == changes {
            return;
        }
        let queued = self.scheduler.queued();
        let revised: SmallVec<[(WaitKey, VersionFilter); 8]> = queued
            .map(|(key, request)| (key, self.revise_versions(request.clone())))
            .collect();
        for (key, versions) in revised {
            if let Some(waiter) = self.waiters.get_mut(&key) {
                waiter.request.versions = versions.clone();
            }
            self.scheduler.set_versions(key, versions);
        }
    }
}
