//! A loopback proxy that injects connection faults.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// How a proxy treats its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Mode {
    /// Forwards data in both directions.
    #[default]
    Forward,
    /// Forwards data after a delay.
    Delay(Duration),
    /// Resets existing and new connections.
    Reset,
    /// Blocks both directions.
    Block,
    /// Blocks data from the upstream.
    BlockResponses,
}

/// A proxy for one upstream address.
#[derive(Debug)]
pub(crate) struct Proxy {
    pub(crate) address: SocketAddr,
    mode: watch::Sender<Mode>,
}

/// Direction of the data, from the view of the client.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    Upstream,
    Downstream,
}

impl Proxy {
    /// Starts a proxy on a free port.
    pub(crate) async fn start(upstream: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (mode, changes) = watch::channel(Mode::Forward);
        tokio::spawn(async move {
            loop {
                if let Ok((client, _)) = listener.accept().await {
                    tokio::spawn(forward(client, upstream, changes.clone()));
                }
            }
        });
        Ok(Proxy { address, mode })
    }

    pub(crate) fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

async fn forward(client: TcpStream, upstream: SocketAddr, mut mode: watch::Receiver<Mode>) {
    let Ok(upstream) = TcpStream::connect(upstream).await else {
        return reset(&client);
    };
    for stream in [&client, &upstream] {
        // Without this option, Nagle's algorithm only delays small writes.
        let _ = stream.set_nodelay(true);
    }
    let abort = socket2::SockRef::from(&client).try_clone();
    let (client_read, client_write) = client.into_split();
    let (upstream_read, upstream_write) = upstream.into_split();
    let copies = futures_util::future::join(
        copy(
            client_read,
            upstream_write,
            Direction::Upstream,
            mode.clone(),
        ),
        copy(
            upstream_read,
            client_write,
            Direction::Downstream,
            mode.clone(),
        ),
    );
    tokio::select! {
        _ = copies => {}
        _ = mode.wait_for(|mode| *mode == Mode::Reset) => {
            if let Ok(socket) = abort {
                let _ = socket.set_linger(Some(Duration::ZERO));
            }
        }
    }
}

fn reset(stream: &TcpStream) {
    // Closing with a linger time of zero sends a reset. If the option cannot be set, the connection closes normally.
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    direction: Direction,
    mut mode: watch::Receiver<Mode>,
) {
    let mut buffer = vec![0; 16 << 10];
    loop {
        let Ok(count) = from.read(&mut buffer).await else {
            return;
        };
        if count == 0 {
            break;
        }
        let is_blocked = |mode: &Mode| {
            *mode == Mode::Block
                || (*mode == Mode::BlockResponses && direction == Direction::Downstream)
        };
        let current = *mode.borrow_and_update();
        if let Mode::Delay(time) = current {
            tokio::time::sleep(time).await;
        }
        // Blocked data is forwarded once the block ends, as TCP retransmits it after packet loss.
        if mode.wait_for(|mode| !is_blocked(mode)).await.is_err() {
            return;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
    let _ = to.shutdown().await;
}
