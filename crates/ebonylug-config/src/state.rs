use std::sync::Arc;
use std::time::{Duration, Instant};

use ebonylug_core::{Name, Revision};
use ebonylug_resource::Document;

use crate::{History, Result, Snapshot, WatchUpdate};

/// Intervals of [`ConfigState`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// How often a poller reads the head row.
    pub poll_interval: Duration,
    /// How often another process reads it, in case its peers are cut off from the pollers.
    pub fallback_interval: Duration,
    /// Wait after a fetch that failed.
    pub retry_delay: Duration,
    /// When a fetch that has not ended counts as failed.
    pub fetch_timeout: Duration,
}

impl Default for Settings {
    /// With these values a change reaches a poller within 1 s, and a process whose first source
    /// is silent has asked a second one 3 s after it heard of the revision. 1,010 processes that
    /// check every 30 s cause 34 reads per second, 2 % of what the store bears.
    fn default() -> Self {
        Settings {
            poll_interval: Duration::from_secs(1),
            fallback_interval: Duration::from_secs(30),
            retry_delay: Duration::from_millis(200),
            fetch_timeout: Duration::from_millis(1_500),
        }
    }
}

/// Where to fetch from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SourceId {
    /// The platform's table and object store.
    Store,
    /// Another process.
    Peer(Name),
}

/// How a fetch ended.
#[derive(Clone, Debug)]
pub enum FetchOutcome {
    /// The source has a higher revision.
    New(Box<Snapshot>),
    /// The source has no higher revision.
    NotNewer,
    /// The source did not answer, or its answer was not valid.
    Failed,
}

impl From<Result<Option<Snapshot>>> for FetchOutcome {
    fn from(result: Result<Option<Snapshot>>) -> Self {
        match result {
            Ok(Some(snapshot)) => FetchOutcome::New(Box::new(snapshot)),
            Ok(None) => FetchOutcome::NotNewer,
            Err(error) => {
                tracing::debug!("config: a fetch failed: {error}");
                FetchOutcome::Failed
            }
        }
    }
}

/// Whether a fetched configuration was put in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// It is in force now.
    Activated,
    /// There was none, or it was not higher than the one in force.
    Ignored,
}

/// The configuration in force in one process, and what to do to keep it current.
///
/// The owner calls [`tick`](Self::tick) often (every 100 ms), fetches from the source that it
/// names, and reports the result with [`complete_fetch`](Self::complete_fetch). At most one fetch runs.
#[derive(Debug)]
pub struct ConfigState {
    settings: Settings,
    snapshot: Option<Arc<Snapshot>>,
    history: History,
    peers: Vec<Name>,
    poller: bool,
    /// Peers that have announced a higher revision, most recent last.
    announced: Vec<(Name, Revision)>,
    fetching: Option<(SourceId, Instant)>,
    /// Counts the fetches of a process without a configuration.
    turn: usize,
    /// Whether the last source was a peer that announced a higher revision.
    announced_last: bool,
    next_poll: Instant,
    not_before: Instant,
}

/// Peers with a higher revision that are remembered; one is enough unless it fails.
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
            turn: 0,
            announced_last: false,
            next_poll: now,
            not_before: now,
        }
    }

    /// Sets the peers that a process without a configuration may ask.
    pub fn set_peers(&mut self, peers: Vec<Name>) {
        self.peers = peers;
    }

    /// Sets whether this process is one of the [`pollers`](crate::pollers).
    pub fn set_poller(&mut self, now: Instant, poller: bool) {
        if poller && !self.poller {
            self.next_poll = now;
        }
        self.poller = poller;
    }

    /// Reports that a message of a peer carried a revision.
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

    /// Returns the source to fetch from now, if any.
    pub fn tick(&mut self, now: Instant) -> Option<SourceId> {
        if let Some((source, started)) = self.fetching.take() {
            if now - started < self.settings.fetch_timeout {
                self.fetching = Some((source, started));
                return None;
            }
            self.failed(now, &source);
        }
        let source = self.choose(now)?;
        self.fetching = Some((source.clone(), now));
        Some(source)
    }

    /// Takes the result of a fetch, also of one that has timed out.
    pub fn complete_fetch(
        &mut self,
        now: Instant,
        source: &SourceId,
        fetched: FetchOutcome,
    ) -> ApplyOutcome {
        self.fetching.take_if(|(running, _)| running == source);
        match fetched {
            FetchOutcome::New(snapshot) => return self.apply(*snapshot),
            FetchOutcome::NotNewer if self.is_ready() => {}
            FetchOutcome::NotNewer | FetchOutcome::Failed => self.failed(now, source),
        }
        ApplyOutcome::Ignored
    }

    /// Puts a configuration in force unless it is not higher than the present one. Also for the
    /// process that published it.
    pub fn apply(&mut self, snapshot: Snapshot) -> ApplyOutcome {
        if snapshot.revision() <= self.revision() {
            return ApplyOutcome::Ignored;
        }
        if let Some(present) = &self.snapshot {
            self.history.record(present.document(), snapshot.document());
        }
        self.announced
            .retain(|(_, revision)| *revision > snapshot.revision());
        self.snapshot = Some(Arc::new(snapshot));
        ApplyOutcome::Activated
    }

    /// Reports whether a configuration is in force. Until then the process must not serve.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.snapshot.is_some()
    }

    /// Returns the revision in force, 0 if there is none.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.snapshot
            .as_ref()
            .map_or(Revision(0), |snapshot| snapshot.revision())
    }

    /// Returns the document in force.
    #[must_use]
    pub fn document(&self) -> Option<&Arc<Document>> {
        self.snapshot.as_ref().map(|snapshot| snapshot.document())
    }

    /// Returns the configuration in force with its bodies, for a fetch and for peers.
    #[must_use]
    pub fn snapshot(&self) -> Option<&Arc<Snapshot>> {
        self.snapshot.as_ref()
    }

    /// Returns what has changed since a revision; `None` if no configuration is in force.
    #[must_use]
    pub fn changes_since(&self, revision: Revision) -> Option<WatchUpdate> {
        let present = self.document()?;
        Some(self.history.update_since(revision, present))
    }

    fn failed(&mut self, now: Instant, source: &SourceId) {
        self.not_before = now + self.settings.retry_delay;
        // The peer has announced a higher revision, which the store must have as well.
        if matches!(source, SourceId::Peer(_)) {
            self.next_poll = self.next_poll.min(self.not_before);
        }
    }

    fn choose(&mut self, now: Instant) -> Option<SourceId> {
        if now < self.not_before {
            return None;
        }
        // A process without a configuration does not rely on announcements alone: it may not be able
        // to reach the peers that announce, and hear of them again and again.
        if !self.is_ready() && (self.announced.is_empty() || self.announced_last) {
            self.announced_last = false;
            return Some(self.first_source());
        }
        // Each announcement is tried once; if the peer fails, the next one is tried.
        if let Some((peer, _)) = self.announced.pop() {
            self.announced_last = true;
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

    /// Alternates between the store and the peers, since either may be unreachable at the start.
    fn first_source(&mut self) -> SourceId {
        let turn = self.turn;
        self.turn += 1;
        if turn.is_multiple_of(2) || self.peers.is_empty() {
            return SourceId::Store;
        }
        SourceId::Peer(self.peers[turn / 2 % self.peers.len()].clone())
    }
}
