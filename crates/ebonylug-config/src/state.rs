use std::sync::Arc;
use std::time::{Duration, Instant};

use ebonylug_core::{Name, Revision};
use ebonylug_resource::Document;

use crate::{History, Result, Snapshot, WatchUpdate};

/// Intervals and timeouts of [`ConfigState`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The interval at which a poller reads the head row.
    pub poll_interval: Duration,
    /// The interval at which other processes read it, in case their peers cannot reach a poller.
    pub fallback_interval: Duration,
    /// The delay after a failed fetch.
    pub retry_delay: Duration,
    /// The time after which a running fetch is counted as failed.
    pub fetch_timeout: Duration,
}

impl Default for Settings {
    /// With these values, a change reaches a poller within 1 s, and a process whose first source
    /// does not respond has called a second one 3 s after it received the revision. 1,010 processes
    /// that read the head row every 30 s cause 34 reads per second, 2 % of the store's capacity.
    fn default() -> Self {
        Settings {
            poll_interval: Duration::from_secs(1),
            fallback_interval: Duration::from_secs(30),
            retry_delay: Duration::from_millis(200),
            fetch_timeout: Duration::from_millis(1_500),
        }
    }
}

/// The source of a fetch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SourceId {
    /// The platform's table and object store.
    Store,
    /// Another process, by the name of its instance.
    Peer(Name),
}

/// The outcome of a fetch.
#[derive(Clone, Debug)]
pub enum FetchOutcome {
    /// The source has a configuration with a higher revision.
    New(Box<Snapshot>),
    /// The source has no higher revision.
    NotNewer,
    /// The source did not respond, or its response was invalid.
    Failed,
}

impl From<Result<Option<Snapshot>>> for FetchOutcome {
    fn from(result: Result<Option<Snapshot>>) -> Self {
        match result {
            Ok(Some(snapshot)) => FetchOutcome::New(Box::new(snapshot)),
            Ok(None) => FetchOutcome::NotNewer,
            Err(error) => {
                tracing::debug!("config: fetch failed: {error}");
                FetchOutcome::Failed
            }
        }
    }
}

/// Whether a configuration was activated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// It is the active configuration now.
    Activated,
    /// There was none, or its revision was not higher than the active one.
    Ignored,
}

/// The active configuration of one process, and the schedule of the fetches that keep it up to
/// date.
///
/// The owner calls [`tick`](Self::tick) every 100 ms, fetches from the returned source, and reports
/// the result with [`complete_fetch`](Self::complete_fetch). At most one fetch runs at a time.
#[derive(Debug)]
pub struct ConfigState {
    settings: Settings,
    snapshot: Option<Arc<Snapshot>>,
    history: History,
    peers: Vec<Name>,
    poller: bool,
    /// Peers that have announced a higher revision, the most recent last.
    announced: Vec<(Name, Revision)>,
    fetching: Option<(SourceId, Instant)>,
    /// Number of fetches from [`startup_source`](Self::startup_source), which selects the next one.
    startup_fetches: usize,
    /// Whether the last source was a peer that had announced a higher revision.
    last_announced: bool,
    next_poll: Instant,
    retry_at: Instant,
}

/// Maximum number of announcing peers to retain. One suffices unless its fetch fails.
const MAX_ANNOUNCED: usize = 8;

impl ConfigState {
    /// Creates the state of a process without a configuration.
    #[must_use]
    pub fn new(settings: Settings, now: Instant) -> Self {
        ConfigState {
            settings,
            snapshot: None,
            history: History::default(),
            peers: Vec::new(),
            poller: false,
            announced: Vec::new(),
            fetching: None,
            startup_fetches: 0,
            last_announced: false,
            next_poll: now,
            retry_at: now,
        }
    }

    /// Sets the peers from which a process without a configuration may fetch one.
    pub fn set_peers(&mut self, peers: Vec<Name>) {
        self.peers = peers;
    }

    /// Sets whether this process is one of the [pollers](crate::select_pollers). A new poller reads
    /// the head row at once.
    pub fn set_poller(&mut self, now: Instant, poller: bool) {
        if poller && !self.poller {
            self.next_poll = now;
        }
        self.poller = poller;
    }

    /// Records the active revision of a peer, as received in a message.
    pub fn record_revision(&mut self, peer: &Name, revision: Revision) {
        if revision <= self.revision() {
            return;
        }
        self.announced.retain(|(name, _)| name != peer);
        self.announced.push((peer.clone(), revision));
        if self.announced.len() > MAX_ANNOUNCED {
            self.announced.remove(0);
        }
    }

    /// Returns the source to fetch from now, if any. A running fetch that has timed out is counted
    /// as failed.
    pub fn tick(&mut self, now: Instant) -> Option<SourceId> {
        if let Some((source, started)) = self.fetching.take() {
            if now - started < self.settings.fetch_timeout {
                self.fetching = Some((source, started));
                return None;
            }
            self.record_failure(now, &source);
        }
        let source = self.select_source(now)?;
        self.fetching = Some((source.clone(), now));
        Some(source)
    }

    /// Handles the outcome of a fetch. A configuration is activated even if its fetch had already
    /// timed out.
    pub fn complete_fetch(
        &mut self,
        now: Instant,
        source: &SourceId,
        outcome: FetchOutcome,
    ) -> ApplyOutcome {
        self.fetching.take_if(|(running, _)| running == source);
        match outcome {
            FetchOutcome::New(snapshot) => return self.apply(*snapshot),
            FetchOutcome::NotNewer if self.is_ready() => {}
            FetchOutcome::NotNewer | FetchOutcome::Failed => self.record_failure(now, source),
        }
        ApplyOutcome::Ignored
    }

    /// Activates a configuration if its revision is higher than the active one. A process that
    /// published a configuration passes it here.
    pub fn apply(&mut self, snapshot: Snapshot) -> ApplyOutcome {
        if snapshot.revision() <= self.revision() {
            return ApplyOutcome::Ignored;
        }
        if let Some(current) = &self.snapshot {
            self.history.record(current.document(), snapshot.document());
        }
        self.announced
            .retain(|(_, revision)| *revision > snapshot.revision());
        self.snapshot = Some(Arc::new(snapshot));
        ApplyOutcome::Activated
    }

    /// Reports whether a configuration is active. Until then, the process must not serve requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.snapshot.is_some()
    }

    /// Returns the active revision, or 0 if there is none.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.snapshot
            .as_ref()
            .map_or(Revision(0), |snapshot| snapshot.revision())
    }

    /// Returns the active document.
    #[must_use]
    pub fn document(&self) -> Option<&Arc<Document>> {
        self.snapshot.as_ref().map(|snapshot| snapshot.document())
    }

    /// Returns the active configuration with its bodies, for a fetch and to serve it to peers.
    #[must_use]
    pub fn snapshot(&self) -> Option<&Arc<Snapshot>> {
        self.snapshot.as_ref()
    }

    /// Returns the changes since a revision; `None` if no configuration is active.
    #[must_use]
    pub fn changes_since(&self, revision: Revision) -> Option<WatchUpdate> {
        let current = self.document()?;
        Some(self.history.update_since(revision, current))
    }

    fn record_failure(&mut self, now: Instant, source: &SourceId) {
        self.retry_at = now + self.settings.retry_delay;
        // The peer has announced a higher revision, so the store has it as well.
        if matches!(source, SourceId::Peer(_)) {
            self.next_poll = self.next_poll.min(self.retry_at);
        }
    }

    fn select_source(&mut self, now: Instant) -> Option<SourceId> {
        if now < self.retry_at {
            return None;
        }
        // A process without a configuration does not rely on announcements alone: peers that it
        // cannot reach may keep announcing a revision.
        if !self.is_ready() && (self.announced.is_empty() || self.last_announced) {
            self.last_announced = false;
            return Some(self.startup_source());
        }
        // Each announcement is tried once. If its peer fails, the next one is tried.
        if let Some((peer, _)) = self.announced.pop() {
            self.last_announced = true;
            return Some(SourceId::Peer(peer));
        }
        if now < self.next_poll {
            return None;
        }
        let interval = if self.poller {
            self.settings.poll_interval
        } else {
            self.settings.fallback_interval
        };
        self.next_poll = now + interval;
        Some(SourceId::Store)
    }

    /// Alternates between the store and the peers, since either may be unreachable during startup.
    fn startup_source(&mut self) -> SourceId {
        let fetches = self.startup_fetches;
        self.startup_fetches += 1;
        if fetches.is_multiple_of(2) || self.peers.is_empty() {
            return SourceId::Store;
        }
        SourceId::Peer(self.peers[fetches / 2 % self.peers.len()].clone())
    }
}
