use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::net::TcpStream;

use ebonylug_admission::CrashLog;
use ebonylug_config::{Head, Source};
use ebonylug_core::{Incarnation, Name, Revision};
use ebonylug_events::{Page, Stamp};
use ebonylug_moves::{Evidence, MoveStatus};
use ebonylug_platform::ObjectHash;

use super::link::{Link, Result, deadline, read_page};
use super::transport;
use crate::key::SharedKey;

/// Timeout of a call to which the entry responds without waiting.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// The state that entries exchange. Merging it is idempotent, and stale parts have no effect.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Gossip {
    /// The name of the sending entry.
    pub entry: Name,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// The configuration revision that is active at the sender.
    pub revision: Revision,
    /// Recent evidence about the versions of moves.
    pub evidence: Evidence,
    /// The crashes that the sender has recorded.
    pub crashes: CrashLog,
    /// The state of moves.
    pub moves: Vec<MoveStatus>,
    /// The logical time of the message.
    pub stamp: Stamp,
}

/// The control calls of an entry. All are idempotent.
#[tarpc::service]
pub trait EntryControl {
    /// Merges the state of the caller, and returns the state of this entry.
    async fn exchange(gossip: Gossip) -> Gossip;
    /// Returns a page of timeline events. It is JSON, since bincode cannot encode its optional
    /// fields.
    async fn events(since: u64, limit: usize) -> Box<str>;
    /// Returns the head of the active configuration, if there is one.
    async fn head() -> Option<Head>;
    /// Returns the manifest or a section of the active configuration.
    async fn body(hash: ObjectHash) -> Option<Box<str>>;
}

/// A client of the control calls of an entry.
#[derive(Debug)]
pub struct EntryLink {
    link: Link<EntryControlClient>,
}

impl EntryLink {
    /// Creates a link that connects on its first call.
    #[must_use]
    pub fn new(address: SocketAddr, key: SharedKey) -> Self {
        EntryLink {
            link: Link::new(address, key, new_client),
        }
    }

    /// Sends the state of this entry and returns that of the peer.
    ///
    /// # Errors
    ///
    /// Fails if the entry does not respond in time.
    pub async fn exchange(&self, gossip: Gossip) -> Result<Gossip> {
        let call = |client: EntryControlClient| async move {
            client.exchange(deadline(CALL_TIMEOUT), gossip).await
        };
        self.link.call(call).await
    }

    /// Returns at most `limit` events with higher sequence numbers than `since`.
    ///
    /// # Errors
    ///
    /// Fails if the entry does not respond in time.
    pub async fn events(&self, since: u64, limit: usize) -> Result<Page> {
        let call = |client: EntryControlClient| async move {
            client.events(deadline(CALL_TIMEOUT), since, limit).await
        };
        read_page(&self.link.call(call).await?)
    }
}

impl Source for EntryLink {
    async fn head(&self) -> ebonylug_platform::Result<Option<Head>> {
        let call =
            |client: EntryControlClient| async move { client.head(deadline(CALL_TIMEOUT)).await };
        self.link
            .call(call)
            .await
            .map_err(|_| ebonylug_platform::Error::Unavailable)
    }

    async fn body(&self, hash: ObjectHash) -> ebonylug_platform::Result<Bytes> {
        let call = |client: EntryControlClient| async move {
            client.body(deadline(CALL_TIMEOUT), hash).await
        };
        let body = self
            .link
            .call(call)
            .await
            .map_err(|_| ebonylug_platform::Error::Unavailable)?;
        let body = body.ok_or(ebonylug_platform::Error::NotFound)?;
        Ok(Bytes::from(String::from(body)))
    }
}

fn new_client(stream: TcpStream) -> EntryControlClient {
    EntryControlClient::new(tarpc::client::Config::default(), transport(stream)).spawn()
}
