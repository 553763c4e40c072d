use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use tokio::sync::watch;

use ebonylug_config::{
    ApplyOutcome, ConfigState, FetchOutcome, Head, Publisher, Settings, Snapshot, SourceId,
    StoreSource, WatchUpdate, fetch, select_pollers,
};
use ebonylug_core::{Clock, Incarnation, Name, Revision};
use ebonylug_net::rpc::EntryLink;
use ebonylug_platform::{HttpPlatform, ObjectHash};
use ebonylug_resource::{Change, Document, Result};

use crate::view::CurrentConfig;

/// The interval at which [`ConfigState`] is polled for the next fetch.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Number of entries that poll the head row. The others receive new revisions from their peers.
const POLLERS: usize = 3;

/// Keeps the configuration of this entry up to date, and publishes changes.
pub struct Configuration {
    clock: Arc<dyn Clock>,
    platform: HttpPlatform,
    publisher: Publisher<HttpPlatform>,
    current: Arc<CurrentConfig>,
    state: Mutex<ConfigState>,
    peers: Mutex<HashMap<Name, Arc<EntryLink>>>,
    changed: watch::Sender<Revision>,
}

impl Configuration {
    /// Creates the state without an active configuration.
    pub fn new(
        platform: HttpPlatform,
        incarnation: Incarnation,
        current: Arc<CurrentConfig>,
        clock: Arc<dyn Clock>,
    ) -> Self {
        Configuration {
            publisher: Publisher::new(platform.clone(), incarnation),
            state: Mutex::new(ConfigState::new(Settings::default(), clock.now())),
            clock,
            platform,
            current,
            peers: Mutex::default(),
            changed: watch::Sender::new(Revision::default()),
        }
    }

    /// Sets the other entries, which are possible sources of the configuration.
    pub fn set_peers(&self, own: &Name, peers: HashMap<Name, Arc<EntryLink>>) {
        let mut names: Vec<Name> = peers.keys().cloned().collect();
        let mut state = self.lock();
        state.set_peers(names.clone());
        names.push(own.clone());
        let poller = select_pollers(&names, POLLERS).contains(own);
        state.set_poller(self.clock.now(), poller);
        drop(state);
        *self.peers.lock().expect("peers lock poisoned") = peers;
    }

    /// Records the active revision of a peer.
    pub fn record_revision(&self, peer: &Name, revision: Revision) {
        self.lock().record_revision(peer, revision);
    }

    /// Subscribes to the active revision.
    pub fn changes(&self) -> watch::Receiver<Revision> {
        self.changed.subscribe()
    }

    /// Returns the changes since a revision, or `None` before the first configuration.
    pub fn changes_since(&self, revision: Revision) -> Option<WatchUpdate> {
        self.lock().changes_since(revision)
    }

    /// Returns the head of the active configuration, to be sent to peers.
    pub fn head(&self) -> Option<Head> {
        Some(self.lock().snapshot()?.head().clone())
    }

    /// Returns a manifest or section of the active configuration, to be sent to peers.
    pub fn body(&self, hash: &ObjectHash) -> Option<Box<str>> {
        let state = self.lock();
        let body = state.snapshot()?.body(hash)?;
        Some(std::str::from_utf8(body).ok()?.into())
    }

    /// Publishes a change. It is active at this entry when the call returns.
    ///
    /// # Errors
    ///
    /// The problem states whether the change was invalid, conflicted with another one, or the store
    /// was unavailable.
    pub async fn publish(&self, change: &Change) -> Result<Arc<Document>> {
        let snapshot = self.publisher.publish(change).await?;
        let document = Arc::clone(snapshot.document());
        self.apply(snapshot);
        Ok(document)
    }

    /// Validates a change without publishing it.
    ///
    /// # Errors
    ///
    /// Same as for [`publish`](Self::publish).
    pub async fn dry_run(&self, change: &Change) -> Result<Document> {
        self.publisher.dry_run(change).await
    }

    /// Fetches new configurations until the future is dropped.
    pub async fn run(&self) {
        let mut interval = tokio::time::interval(TICK_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            let source = self.lock().tick(self.clock.now());
            if let Some(source) = source {
                self.fetch(source).await;
            }
        }
    }

    async fn fetch(&self, source: SourceId) {
        let known = self.lock().snapshot().cloned();
        let fetched = match &source {
            SourceId::Store => fetch(&StoreSource(self.platform.clone()), known.as_ref())
                .await
                .into(),
            SourceId::Peer(name) => match self.peer(name) {
                Some(peer) => fetch(&*peer, known.as_ref()).await.into(),
                None => FetchOutcome::Failed,
            },
        };
        let now: Instant = self.clock.now();
        let applied = self.lock().complete_fetch(now, &source, fetched);
        if applied == ApplyOutcome::Activated {
            self.activate();
        }
    }

    fn apply(&self, snapshot: Snapshot) {
        if self.lock().apply(snapshot) == ApplyOutcome::Activated {
            self.activate();
        }
    }

    fn activate(&self) {
        let snapshot = self.lock().snapshot().cloned();
        let Some(snapshot) = snapshot else {
            return;
        };
        let document = Arc::clone(snapshot.document());
        self.publisher.record(snapshot);
        let revision = document.revision();
        if self.current.apply(document) {
            tracing::info!(%revision, "config: revision active");
            self.changed.send_replace(revision);
        }
    }

    fn peer(&self, name: &Name) -> Option<Arc<EntryLink>> {
        let peers = self.peers.lock().expect("peers lock poisoned");
        peers.get(name).map(Arc::clone)
    }

    fn lock(&self) -> MutexGuard<'_, ConfigState> {
        self.state.lock().expect("configuration lock poisoned")
    }
}
