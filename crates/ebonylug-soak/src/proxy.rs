//! A proxy on loopback that harms connections.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// What a proxy does with its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Mode {
    /// It passes bytes on.
    #[default]
    Pass,
    /// It passes bytes on after a time.
    Delay(Duration),
    /// It resets connections, and new ones.
    Reset,
    /// It passes nothing.
    Mute,
    /// It passes nothing of what the far end sends.
    OneWay,
}

/// A proxy before one address.
#[derive(Debug)]
pub(crate) struct Proxy {
    pub(crate) address: SocketAddr,
    mode: watch::Sender<Mode>,
}

/// The direction of bytes.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Way {
    To,
    From,
}

impl Proxy {
    /// Starts a proxy on a free port.
    pub(crate) async fn start(far: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (mode, seen) = watch::channel(Mode::Pass);
        tokio::spawn(async move {
            loop {
                if let Ok((near, _)) = listener.accept().await {
                    tokio::spawn(join(near, far, seen.clone()));
                }
            }
        });
        Ok(Proxy { address, mode })
    }

    pub(crate) fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

async fn join(near: TcpStream, far: SocketAddr, mut mode: watch::Receiver<Mode>) {
    let Ok(far) = TcpStream::connect(far).await else {
        return reset(&near);
    };
    for stream in [&near, &far] {
        // Without it, small parts only arrive later.
        let _ = stream.set_nodelay(true);
    }
    let abort = socket2::SockRef::from(&near).try_clone();
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let copies = futures_util::future::join(
        copy(near_read, far_write, Way::To, mode.clone()),
        copy(far_read, near_write, Way::From, mode.clone()),
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
    // Closing with a linger of zero resets; a failure closes as usual.
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    way: Way,
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
        let held = |mode: &Mode| *mode == Mode::Mute || (*mode == Mode::OneWay && way == Way::From);
        let now = *mode.borrow_and_update();
        if let Mode::Delay(time) = now {
            tokio::time::sleep(time).await;
        }
        // What is held comes later, as on a link whose packets are sent again.
        if mode.wait_for(|mode| !held(mode)).await.is_err() {
            return;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
    let _ = to.shutdown().await;
}
