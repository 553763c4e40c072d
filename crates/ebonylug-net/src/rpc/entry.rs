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

/// Time for a call that is answered at once.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// What entries tell each other. All parts are merged so that repeats and old messages do no harm.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Gossip {
    /// The entry that sends.
    pub entry: Name,
    /// The life of its process.
    pub incarnation: Incarnation,
    /// The configuration revision in force there.
    pub revision: Revision,
    /// Recent evidence about versions in a move.
    pub evidence: Evidence,
    /// Known crashes.
    pub crashes: CrashLog,
    /// The state of moves.
    pub moves: Vec<MoveStatus>,
    /// The logical time of the message.
    pub stamp: Stamp,
}

/// The control calls of an entry. All are idempotent.
#[tarpc::service]
pub trait EntryControl {
    /// Takes over what the caller knows, and returns what this entry knows.
    async fn exchange(gossip: Gossip) -> Gossip;
    /// Returns a page of events of the time line as JSON, whose optional fields the binary form of
    /// other messages cannot express.
    async fn events(since: u64, limit: usize) -> Box<str>;
    /// Returns the head of the configuration in force, if there is one.
    async fn head() -> Option<Head>;
    /// Returns the manifest or a section of the configuration in force.
    async fn body(hash: ObjectHash) -> Option<Box<str>>;
}

/// A connection to an entry's control calls.
#[derive(Debug)]
pub struct EntryLink {
    link: Link<EntryControlClient>,
}

impl EntryLink {
    /// Creates a link that connects when it is first used.
    #[must_use]
    pub fn new(address: SocketAddr, key: SharedKey) -> Self {
        EntryLink {
            link: Link::new(address, key, client),
        }
    }

    /// Exchanges knowledge.
    ///
    /// # Errors
    ///
    /// Fails if the entry does not answer in time.
    pub async fn exchange(&self, gossip: Gossip) -> Result<Gossip> {
        let call = |client: EntryControlClient| async move {
            client.exchange(deadline(CALL_TIMEOUT), gossip).await
        };
        self.link.call(call).await
    }

    /// Returns the events with higher numbers than `since`, at most `limit`.
    ///
    /// # Errors
    ///
    /// Fails if the entry does not answer in time.
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

fn client(stream: TcpStream) -> EntryControlClient {
    EntryControlClient::new(tarpc::client::Config::default(), transport(stream)).spawn()
}
