//! How entries reach each other: messages in UDP datagrams, and tables in calls.

use std::io;
use std::net::SocketAddr;

use bincode::Options;
use bytes::Bytes;
use ebonylug_dispatch::Gossip;
use futures_util::future::LocalBoxFuture;
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use tokio::net::UdpSocket;

use crate::follow::PeerTable;
use crate::pool;

/// The maximum size of a message, which must fit into one datagram.
const MAX_MESSAGE_BYTES: usize = 60_000;
/// The maximum size of an encoded table. A configuration of 6,400 organisations takes a quarter of it.
const MAX_TABLE_BYTES: usize = 6 << 20;

/// Why a call to another entry failed.
pub type Error = Box<dyn std::error::Error + Send + Sync>;

/// The result of a call to another entry.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A connection of one entry to the others. Messages may be lost, and calls may fail or hang.
pub trait Transport {
    /// Returns the address at which other entries reach this one.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system does not provide the address.
    fn address(&self) -> io::Result<SocketAddr>;

    /// Sends a message to other entries.
    fn send<'a>(&'a self, gossip: &'a Gossip, to: &'a [SocketAddr]) -> LocalBoxFuture<'a, ()>;

    /// Waits for the next valid message. Returns it with the address of its sender.
    fn receive(&self) -> LocalBoxFuture<'_, (Gossip, SocketAddr)>;

    /// Fetches the changes of a table after a version, or the whole table, from another entry. Returns `None` if it
    /// has no version after `after`.
    fn fetch<'a>(
        &'a self,
        from: SocketAddr,
        table: &'a str,
        after: u64,
    ) -> LocalBoxFuture<'a, Result<Option<PeerTable>>>;
}

/// The transport of processes.
pub(crate) struct Sockets(UdpSocket);

impl Sockets {
    pub(crate) async fn bind(address: SocketAddr) -> io::Result<Self> {
        Ok(Sockets(UdpSocket::bind(address).await?))
    }
}

impl Transport for Sockets {
    fn address(&self) -> io::Result<SocketAddr> {
        self.0.local_addr()
    }

    fn send<'a>(&'a self, gossip: &'a Gossip, to: &'a [SocketAddr]) -> LocalBoxFuture<'a, ()> {
        Box::pin(async move {
            let bytes = match message_codec().serialize(gossip) {
                Ok(bytes) => bytes,
                Err(error) => {
                    tracing::error!(part = "peers", %error, "failed to encode a message");
                    return;
                }
            };
            for address in to {
                // Messages hold totals, so a later message makes up for a lost one.
                if let Err(error) = self.0.send_to(&bytes, address).await {
                    tracing::debug!(part = "peers", %address, %error, "failed to send a message");
                }
            }
        })
    }

    fn receive(&self) -> LocalBoxFuture<'_, (Gossip, SocketAddr)> {
        Box::pin(async {
            let mut buffer = vec![0; MAX_MESSAGE_BYTES];
            loop {
                let (length, from) = match self.0.recv_from(&mut buffer).await {
                    Ok(received) => received,
                    Err(error) => {
                        tracing::debug!(part = "peers", %error, "failed to receive a message");
                        continue;
                    }
                };
                match message_codec().deserialize(&buffer[..length]) {
                    Ok(gossip) => return (gossip, from),
                    Err(error) => {
                        tracing::warn!(part = "peers", %from, %error, "failed to decode a message");
                    }
                }
            }
        })
    }

    fn fetch<'a>(
        &'a self,
        from: SocketAddr,
        table: &'a str,
        after: u64,
    ) -> LocalBoxFuture<'a, Result<Option<PeerTable>>> {
        Box::pin(fetch(from, table, after))
    }
}

async fn fetch(from: SocketAddr, table: &str, after: u64) -> Result<Option<PeerTable>> {
    let mut connection = pool::connect(from).await?;
    let request = Request::get(format!("/{table}?{after}"))
        .header(header::HOST, from.to_string())
        .body(Full::default())?;
    let response = connection.sender.send_request(request).await?;
    match response.status() {
        StatusCode::OK => {
            let body = Limited::new(response.into_body(), MAX_TABLE_BYTES).collect();
            Ok(Some(table_codec().deserialize(&body.await?.to_bytes())?))
        }
        StatusCode::NO_CONTENT => Ok(None),
        status => Err(format!("unexpected status {status}").into()),
    }
}

/// Encodes a table for another entry.
pub(crate) fn encode_table(table: &PeerTable) -> Result<Bytes> {
    Ok(table_codec().serialize(table)?.into())
}

fn message_codec() -> impl Options {
    bincode::DefaultOptions::new().with_limit(MAX_MESSAGE_BYTES as u64)
}

fn table_codec() -> impl Options {
    bincode::DefaultOptions::new().with_limit(MAX_TABLE_BYTES as u64)
}
