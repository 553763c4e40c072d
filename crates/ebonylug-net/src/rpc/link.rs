use std::net::SocketAddr;
use std::time::Duration;

use tarpc::client::RpcError;
use tokio::net::TcpStream;
use tokio::sync::Mutex;

use ebonylug_events::Page;

use crate::key::{self, SharedKey};

/// Why a control call failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No connection could be established.
    #[error("cannot connect: {0}")]
    Connect(#[from] std::io::Error),
    /// There was no response; the call may have taken effect.
    #[error("no response: {0}")]
    Call(#[from] RpcError),
    /// The response is not valid.
    #[error("the response is not valid: {0}")]
    Invalid(#[from] serde_json::Error),
}

/// The result of a control call.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Timeout to connect and prove the key.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A client that connects on demand and drops its connection after a failed call, so that a
/// connection that no longer delivers messages is replaced.
#[derive(Debug)]
pub(super) struct Link<C> {
    address: SocketAddr,
    key: SharedKey,
    new_client: fn(TcpStream) -> C,
    client: Mutex<Option<C>>,
}

impl<C: Clone> Link<C> {
    pub(super) fn new(address: SocketAddr, key: SharedKey, new_client: fn(TcpStream) -> C) -> Self {
        Link {
            address,
            key,
            new_client,
            client: Mutex::new(None),
        }
    }

    /// Executes one call, and drops the connection if the call fails.
    pub(super) async fn call<T, Fut>(&self, call: impl FnOnce(C) -> Fut) -> Result<T>
    where
        Fut: Future<Output = Result<T, RpcError>>,
    {
        let client = self.client().await?;
        let outcome = call(client).await;
        if outcome.is_err() {
            *self.client.lock().await = None;
        }
        Ok(outcome?)
    }

    async fn client(&self) -> Result<C> {
        let mut slot = self.client.lock().await;
        if let Some(client) = slot.as_ref() {
            return Ok(client.clone());
        }
        let connect = connect(self.address, &self.key);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connect)
            .await
            .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
        let client = (self.new_client)(stream);
        *slot = Some(client.clone());
        Ok(client)
    }
}

/// Returns a context with a deadline `timeout` from now.
pub(super) fn deadline(timeout: Duration) -> tarpc::context::Context {
    let mut context = tarpc::context::current();
    context.deadline = std::time::Instant::now() + timeout;
    context
}

/// Encodes a page of events for the response of a control call.
///
/// # Panics
///
/// Panics if the page cannot be serialized to JSON, which is a bug in its type.
#[must_use]
pub fn write_page(page: &Page) -> Box<str> {
    serde_json::to_string(page)
        .expect("a page serializes to JSON")
        .into()
}

pub(super) fn read_page(text: &str) -> Result<Page> {
    Ok(serde_json::from_str(text)?)
}

async fn connect(address: SocketAddr, key: &SharedKey) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    key::prove(&mut stream, key).await?;
    Ok(stream)
}
