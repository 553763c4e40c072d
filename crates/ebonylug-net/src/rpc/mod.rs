//! Control messages between the processes, over tarpc.
//!
//! A connection starts with a handshake that proves the shared key of the client to the server.
//! Deadlines are set on each call. A call that was cancelled or timed out may have taken effect;
//! for this reason only idempotent calls are offered here.
//!
//! Messages are encoded in a compact binary form: as JSON, the reports of 40 targets alone exceeded
//! the 13 KB/s that control may use for each node.
//!
//! tarpc has no streams, so a report is a long poll: it returns on a significant change or after
//! the heartbeat interval, and serves as the heartbeat of the connection in both directions.

mod entry;
mod link;
mod listen;
mod sidecar;

use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tarpc::serde_transport::Transport;
use tarpc::server::BaseChannel;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::{ClientMessage, Response};
use tokio::net::TcpStream;
use tokio_util::codec::LengthDelimitedCodec;

pub use entry::{
    EntryControl, EntryControlClient, EntryControlRequest, EntryControlResponse, EntryLink, Gossip,
};
pub use link::{Error, Result, write_page};
pub use listen::listen;
pub use sidecar::{
    Instructions, ReportSummary, SidecarControl, SidecarControlClient, SidecarControlRequest,
    SidecarControlResponse, SidecarLink, SidecarReport, crash_digest,
};

/// The interval of heartbeats: a report is sent at least this often.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// The largest control message: a section of the configuration, in bytes.
const MAX_MESSAGE_BYTES: usize = 8 << 20;

/// Bound on calls that one connection may have in flight at the server.
const MAX_CALLS: usize = 64;

type Wire<In, Out> = Transport<TcpStream, In, Out, Bincode<In, Out>>;

fn transport<In, Out>(stream: TcpStream) -> Wire<In, Out>
where
    In: DeserializeOwned,
    Out: Serialize,
{
    let framed = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_MESSAGE_BYTES)
        .new_framed(stream);
    tarpc::serde_transport::new(framed, Bincode::default())
}

/// The server's side of a connection, on which a service is executed.
pub type ServerChannel<Req, Resp> =
    BaseChannel<Req, Resp, Wire<ClientMessage<Req>, Response<Resp>>>;

/// Makes the server's side of an accepted connection.
#[must_use]
pub fn server_channel<Req, Resp>(stream: TcpStream) -> ServerChannel<Req, Resp>
where
    Req: DeserializeOwned,
    Resp: Serialize,
{
    let config = tarpc::server::Config {
        pending_response_buffer: MAX_CALLS,
    };
    BaseChannel::new(config, transport(stream))
}
