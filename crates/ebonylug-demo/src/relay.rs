use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::Result;

/// A TCP relay on loopback that can stall its connections, like a middlebox that loses their state.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    /// The current generation of connections. Those of earlier generations are stalled.
    generation: Arc<watch::Sender<u64>>,
    accepted: Arc<AtomicUsize>,
    /// Aborts the tasks when the relay is dropped.
    _accepting: JoinSet<()>,
}

impl Relay {
    /// Starts a relay to `target`.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start(target: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let generation = Arc::new(watch::Sender::new(0));
        let mut accepting = JoinSet::new();
        let accepted = Arc::new(AtomicUsize::new(0));
        accepting.spawn(accept(
            listener,
            target,
            Arc::clone(&generation),
            Arc::clone(&accepted),
        ));
        Ok(Relay {
            address,
            generation,
            accepted,
            _accepting: accepting,
        })
    }

    /// Returns the address to connect to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of connections relayed so far.
    #[must_use]
    pub fn connection_count(&self) -> usize {
        self.accepted.load(Ordering::Relaxed)
    }

    /// Stalls all open connections permanently: they stay open, but no more bytes pass. New
    /// connections work.
    pub fn stall_connections(&self) {
        self.generation.send_modify(|generation| *generation += 1);
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    generation: Arc<watch::Sender<u64>>,
    accepted: Arc<AtomicUsize>,
) {
    let mut connections = JoinSet::new();
    loop {
        let Ok((client, _)) = listener.accept().await else {
            return;
        };
        let Ok(upstream) = TcpStream::connect(target).await else {
            continue;
        };
        accepted.fetch_add(1, Ordering::Relaxed);
        let (client_read, client_write) = client.into_split();
        let (upstream_read, upstream_write) = upstream.into_split();
        connections.spawn(forward(client_read, upstream_write, generation.subscribe()));
        connections.spawn(forward(upstream_read, client_write, generation.subscribe()));
    }
}

/// Forwards bytes until the connection ends. Once stalled, keeps both halves open.
async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut generation: watch::Receiver<u64>,
) {
    let mut buffer = vec![0; 16 << 10];
    loop {
        let read = tokio::select! {
            biased;
            changed = generation.changed() => match changed {
                Ok(()) => return std::future::pending().await,
                Err(_) => return,
            },
            read = from.read(&mut buffer) => read,
        };
        let Ok(count) = read else {
            return;
        };
        if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
