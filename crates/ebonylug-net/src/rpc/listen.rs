use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

use crate::key::{self, SharedKey};

/// Timeout of the handshake, in which the client proves the shared key.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of control connections of a process. With 410 entries that each use a subset of
/// 40 targets, a sidecar has connections from 27 entries on average.
const MAX_CONNECTIONS: usize = 1_024;
/// Delay after a failed accept, for example because too many files are open.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Accepts control connections, verifies the shared key of each and passes it to `serve`, until the
/// future is dropped.
pub async fn listen<F, Fut>(listener: TcpListener, key: SharedKey, serve: F)
where
    F: Fn(TcpStream) -> Fut + Clone + Send + 'static,
    Fut: Future<Output = ()> + Send + 'static,
{
    let slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    // Connections close with the listener, since a dropped `JoinSet` aborts its tasks.
    let mut tasks = tokio::task::JoinSet::new();
    loop {
        while tasks.try_join_next().is_some() {}
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                tracing::warn!(%error, "control: accept failed");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let Ok(slot) = Arc::clone(&slots).try_acquire_owned() else {
            tracing::warn!(%peer, "control: too many connections");
            continue;
        };
        let (key, serve) = (key.clone(), serve.clone());
        tasks.spawn(async move {
            let _slot = slot;
            match handshake(stream, &key).await {
                Ok(stream) => serve(stream).await,
                Err(error) => tracing::warn!(%peer, %error, "control: handshake failed"),
            }
        });
    }
}

async fn handshake(mut stream: TcpStream, key: &SharedKey) -> std::io::Result<TcpStream> {
    stream.set_nodelay(true)?;
    tokio::time::timeout(HANDSHAKE_TIMEOUT, key::verify(&mut stream, key))
        .await
        .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
    Ok(stream)
}
