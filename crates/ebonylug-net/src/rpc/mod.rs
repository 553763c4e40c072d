//! Control calls between processes, over tarpc.
//!
//! A connection starts with a handshake in which the client proves that it has the shared key. Each
//! call has a deadline. A call that was cancelled or timed out may have taken effect, so all calls
//! are idempotent.
//!
//! Messages are encoded with bincode: as JSON, the reports of 40 targets alone exceed the 13 KB/s
//! that control traffic may use per process.
//!
//! tarpc has no streams, so a report is requested by long polling: the call returns on a
//! significant change or after the heartbeat interval, and is the heartbeat of the connection in
//! both directions.

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

/// The heartbeat interval: the longest time between two reports of a sidecar.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum size of a message. The largest one carries a section of the configuration.
const MAX_MESSAGE_BYTES: usize = 8 << 20;

/// Maximum number of calls in flight per connection at the server.
const MAX_CALLS_IN_FLIGHT: usize = 64;

type RpcTransport<In, Out> = Transport<TcpStream, In, Out, Bincode<In, Out>>;

fn transport<In, Out>(stream: TcpStream) -> RpcTransport<In, Out>
where
    In: DeserializeOwned,
    Out: Serialize,
{
    let framed = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_MESSAGE_BYTES)
        .new_framed(stream);
    tarpc::serde_transport::new(framed, Bincode::default())
}

/// The server side of a connection, on which a service is executed.
pub type ServerChannel<Req, Resp> =
    BaseChannel<Req, Resp, RpcTransport<ClientMessage<Req>, Response<Resp>>>;

/// Creates the server side of an accepted connection.
#[must_use]
pub fn server_channel<Req, Resp>(stream: TcpStream) -> ServerChannel<Req, Resp>
where
    Req: DeserializeOwned,
    Resp: Serialize,
{
    let config = tarpc::server::Config {
        pending_response_buffer: MAX_CALLS_IN_FLIGHT,
    };
    BaseChannel::new(config, transport(stream))
}
