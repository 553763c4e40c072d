//! Sockets that can fail on command.
//!
//! The listener of a fake closes and opens again on the same port, and each accepted connection
//! stays known until it ends. A crash can so break connections that wait for a handler, a stream
//! or the next request alike, and a handler learns that its caller has hung up even while it has
//! nothing to write.

use std::collections::HashMap;
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};

use tokio::io::Interest;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::runtime;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use xitca_io::net::Stream;
use xitca_server::net::{IntoListener, Listen};

/// Connections that the kernel holds before they are accepted.
const BACKLOG: u32 = 256;

/// One accepted connection.
pub(crate) struct Conn {
    pub(crate) peer: SocketAddr,
    /// Cancelled when either side has closed the connection.
    pub(crate) closed: CancellationToken,
    silent: AtomicBool,
    socket: std::net::TcpStream,
}

impl Conn {
    /// Whether no byte may be sent any more, although the connection stays open.
    pub(crate) fn is_silent(&self) -> bool {
        self.silent.load(Ordering::Relaxed)
    }

    /// Breaks the connection for both sides.
    pub(crate) fn abort(&self) {
        // The peer may have closed the connection already.
        let _ = self.socket.shutdown(Shutdown::Both);
    }
}

/// What the listener is to do.
#[derive(Clone)]
enum Mode {
    Open(Arc<TcpListener>),
    Closed,
    Stopped,
}

/// The sockets of one fake.
pub(crate) struct Net {
    pub(crate) addr: SocketAddr,
    /// Bound but not listening: keeps the port while the listener is closed.
    _hold: TcpSocket,
    mode: watch::Sender<Mode>,
    runtime: OnceLock<runtime::Handle>,
    conns: Mutex<HashMap<SocketAddr, Arc<Conn>>>,
    silence_new: AtomicBool,
}

impl Net {
    /// Binds `addr`. The listener opens when a server takes it.
    pub(crate) fn bind(addr: SocketAddr) -> io::Result<Arc<Net>> {
        let hold = socket(addr)?;
        Ok(Arc::new(Net {
            addr: hold.local_addr()?,
            _hold: hold,
            mode: watch::Sender::new(Mode::Closed),
            runtime: OnceLock::new(),
            conns: Mutex::default(),
            silence_new: AtomicBool::new(false),
        }))
    }

    /// Returns the connection with this peer, unless it has ended.
    pub(crate) fn conn(&self, peer: SocketAddr) -> Option<Arc<Conn>> {
        self.conns().get(&peer).cloned()
    }

    /// Refuses new connections and breaks all others except the one with `spared`.
    pub(crate) fn close(&self, spared: Option<SocketAddr>) {
        self.switch(Mode::Closed);
        for conn in self.conns().values() {
            if Some(conn.peer) != spared {
                conn.abort();
            }
        }
    }

    /// Accepts connections again.
    pub(crate) fn open(&self) -> io::Result<()> {
        let runtime = self.runtime.get().expect("the server has been started");
        let _context = runtime.enter();
        let listener = socket(self.addr)?.listen(BACKLOG)?;
        self.switch(Mode::Open(Arc::new(listener)));
        Ok(())
    }

    /// Runs `task` on the thread that accepts connections.
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let runtime = self.runtime.get().expect("the server has been started");
        runtime.spawn(task);
    }

    /// Silences all open connections for good.
    pub(crate) fn silence(&self) {
        for conn in self.conns().values() {
            conn.silent.store(true, Ordering::Relaxed);
        }
    }

    /// Decides whether connections that come in from now on are silent.
    pub(crate) fn silence_new(&self, silent: bool) {
        self.silence_new.store(silent, Ordering::Relaxed);
    }

    /// Breaks all connections for good.
    pub(crate) fn stop(&self) {
        self.close(None);
        self.switch(Mode::Stopped);
    }

    fn switch(&self, mode: Mode) {
        self.mode.send_if_modified(|old| {
            let keep = matches!(old, Mode::Stopped);
            if !keep {
                *old = mode;
            }
            !keep
        });
    }

    fn conns(&self) -> MutexGuard<'_, HashMap<SocketAddr, Arc<Conn>>> {
        self.conns.lock().expect("connections lock poisoned")
    }

    fn leave(&self, conn: &Arc<Conn>) {
        let mut conns = self.conns();
        // The peer's port may be in use by a new connection already.
        if conns
            .get(&conn.peer)
            .is_some_and(|new| Arc::ptr_eq(new, conn))
        {
            conns.remove(&conn.peer);
        }
    }

    fn enter(self: &Arc<Net>, stream: &std::net::TcpStream, peer: SocketAddr) -> io::Result<()> {
        let conn = Arc::new(Conn {
            peer,
            closed: CancellationToken::new(),
            silent: AtomicBool::new(self.silence_new.load(Ordering::Relaxed)),
            socket: stream.try_clone()?,
        });
        let watched = TcpStream::from_std(stream.try_clone()?)?;
        self.conns().insert(peer, conn.clone());
        let net = self.clone();
        tokio::spawn(async move {
            // Of the priority readiness, only the end of the read side ever happens here: it is
            // reported without reading, which is the server's part.
            let _ = watched.ready(Interest::PRIORITY).await;
            net.leave(&conn);
            conn.closed.cancel();
        });
        Ok(())
    }
}

/// The listener as the server sees it.
pub(crate) struct SwitchedListener(pub(crate) Arc<Net>);

impl IntoListener for SwitchedListener {
    type Listener = SwitchedListener;

    fn into_listener(self) -> io::Result<SwitchedListener> {
        // This runs inside the server's own runtime, which lives as long as the server.
        let _ = self.0.runtime.set(runtime::Handle::current());
        self.0.open()?;
        Ok(self)
    }
}

impl Listen for SwitchedListener {
    async fn accept(&self) -> io::Result<Stream> {
        let mut mode = self.0.mode.subscribe();
        loop {
            let current = mode.borrow_and_update().clone();
            let accepted = async {
                match current {
                    Mode::Open(listener) => listener.accept().await,
                    Mode::Closed => std::future::pending().await,
                    Mode::Stopped => Err(io::Error::other("stopped")),
                }
            };
            let (stream, peer) = tokio::select! {
                biased;
                _ = mode.changed() => continue,
                accepted = accepted => accepted?,
            };
            stream.set_nodelay(true)?;
            let stream = stream.into_std()?;
            self.0.enter(&stream, peer)?;
            return Ok(Stream::Tcp(stream, peer));
        }
    }
}

fn socket(addr: SocketAddr) -> io::Result<TcpSocket> {
    let socket = match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // The holding and the listening socket share the port. The option for reusing addresses
    // stays off: with it the kernel may give a held port to another process.
    socket.set_reuseport(true)?;
    socket.bind(addr)?;
    Ok(socket)
}
