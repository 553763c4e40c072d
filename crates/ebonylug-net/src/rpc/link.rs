use std::net::SocketAddr;
use std::time::Duration;

use tarpc::client::RpcError;
use tokio::net::TcpStream;
use tokio::sync::Mutex;

use ebonylug_events::Page;

use crate::key::{self, SharedKey};

/// How a control call failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No connection could be made.
    #[error("cannot connect: {0}")]
    Connect(#[from] std::io::Error),
    /// The call was not answered; it may have taken effect.
    #[error("no answer: {0}")]
    Call(#[from] RpcError),
    /// The answer is not valid.
    #[error("the answer is not valid: {0}")]
    Invalid(#[from] serde_json::Error),
}

/// The result of a control call.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Time to connect and prove the key.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A client that connects when needed and forgets its connection after a failed call, so that a
/// connection that has gone silent is replaced.
#[derive(Debug)]
pub(super) struct Link<C> {
    address: SocketAddr,
    key: SharedKey,
    make: fn(TcpStream) -> C,
    client: Mutex<Option<C>>,
}

impl<C: Clone> Link<C> {
    pub(super) fn new(address: SocketAddr, key: SharedKey, make: fn(TcpStream) -> C) -> Self {
        Link {
            address,
            key,
            make,
            client: Mutex::new(None),
        }
    }

    /// Makes one call; the connection is dropped when the call fails.
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
        let client = (self.make)(stream);
        *slot = Some(client.clone());
        Ok(client)
    }
}

/// Returns a context whose deadline is `time` from now.
pub(super) fn deadline(time: Duration) -> tarpc::context::Context {
    let mut context = tarpc::context::current();
    context.deadline = std::time::Instant::now() + time;
    context
}

/// Writes a page of events as control calls carry it.
///
/// # Panics
///
/// Panics if the page cannot be written as JSON, which is a defect of its type.
#[must_use]
pub fn write_page(page: &Page) -> Box<str> {
    serde_json::to_string(page)
        .expect("a page is plain data")
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
