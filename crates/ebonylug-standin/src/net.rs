//! Sockets with injected failures.
//!
//! The listener of a fake can be closed and reopened on the same port, and each accepted
//! connection is tracked until it ends. A simulated crash can therefore abort connections that
//! are waiting for a handler, streaming or idle, and a handler is notified when its client
//! disconnects even while it has nothing to write.

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

/// Maximum number of connections that the kernel queues before they are accepted.
const BACKLOG: u32 = 256;

/// An accepted connection.
pub(crate) struct Conn {
    pub(crate) peer: SocketAddr,
    /// Cancelled once either side has closed the connection.
    pub(crate) closed: CancellationToken,
    stalled: AtomicBool,
    socket: std::net::TcpStream,
}

impl Conn {
    /// Returns whether the connection is stalled: it stays open, but no more bytes are sent.
    pub(crate) fn is_stalled(&self) -> bool {
        self.stalled.load(Ordering::Relaxed)
    }

    /// Shuts down the connection in both directions.
    pub(crate) fn abort(&self) {
        // The peer may have closed the connection already.
        let _ = self.socket.shutdown(Shutdown::Both);
    }
}

/// The state of the listener.
#[derive(Clone)]
enum ListenerState {
    Open(Arc<TcpListener>),
    Closed,
    Stopped,
}

/// The sockets of one fake.
pub(crate) struct Sockets {
    pub(crate) addr: SocketAddr,
    /// Bound but not listening, so that the port stays reserved while the listener is closed.
    _reservation: TcpSocket,
    listener_state: watch::Sender<ListenerState>,
    runtime: OnceLock<runtime::Handle>,
    conns: Mutex<HashMap<SocketAddr, Arc<Conn>>>,
    stall_new: AtomicBool,
}

impl Sockets {
    /// Binds `addr`. The listener opens when the server starts.
    pub(crate) fn bind(addr: SocketAddr) -> io::Result<Arc<Sockets>> {
        let reservation = bind_socket(addr)?;
        Ok(Arc::new(Sockets {
            addr: reservation.local_addr()?,
            _reservation: reservation,
            listener_state: watch::Sender::new(ListenerState::Closed),
            runtime: OnceLock::new(),
            conns: Mutex::default(),
            stall_new: AtomicBool::new(false),
        }))
    }

    /// Returns the connection with `peer`, or `None` if it has ended.
    pub(crate) fn conn(&self, peer: SocketAddr) -> Option<Arc<Conn>> {
        self.conns().get(&peer).cloned()
    }

    /// Closes the listener and aborts all connections except the one with the peer `except`.
    pub(crate) fn close(&self, except: Option<SocketAddr>) {
        self.set_listener(ListenerState::Closed);
        for conn in self.conns().values() {
            if Some(conn.peer) != except {
                conn.abort();
            }
        }
    }

    /// Opens the listener.
    pub(crate) fn open(&self) -> io::Result<()> {
        let runtime = self.runtime.get().expect("the server has been started");
        let _context = runtime.enter();
        let listener = bind_socket(self.addr)?.listen(BACKLOG)?;
        self.set_listener(ListenerState::Open(Arc::new(listener)));
        Ok(())
    }

    /// Spawns `task` on the runtime that accepts connections.
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let runtime = self.runtime.get().expect("the server has been started");
        runtime.spawn(task);
    }

    /// Stalls all open connections permanently.
    pub(crate) fn stall_open(&self) {
        for conn in self.conns().values() {
            conn.stalled.store(true, Ordering::Relaxed);
        }
    }

    /// Sets whether connections accepted from now on are stalled.
    pub(crate) fn stall_new(&self, stalled: bool) {
        self.stall_new.store(stalled, Ordering::Relaxed);
    }

    /// Aborts all connections and stops the listener permanently.
    pub(crate) fn stop(&self) {
        self.close(None);
        self.set_listener(ListenerState::Stopped);
    }

    fn set_listener(&self, listener_state: ListenerState) {
        self.listener_state.send_if_modified(|old| {
            let keep = matches!(old, ListenerState::Stopped);
            if !keep {
                *old = listener_state;
            }
            !keep
        });
    }

    fn conns(&self) -> MutexGuard<'_, HashMap<SocketAddr, Arc<Conn>>> {
        self.conns.lock().expect("connections lock poisoned")
    }

    fn unregister(&self, conn: &Arc<Conn>) {
        let mut conns = self.conns();
        // A new connection may already use the same peer address.
        if conns
            .get(&conn.peer)
            .is_some_and(|new| Arc::ptr_eq(new, conn))
        {
            conns.remove(&conn.peer);
        }
    }

    fn register(
        self: &Arc<Sockets>,
        stream: &std::net::TcpStream,
        peer: SocketAddr,
    ) -> io::Result<()> {
        let conn = Arc::new(Conn {
            peer,
            closed: CancellationToken::new(),
            stalled: AtomicBool::new(self.stall_new.load(Ordering::Relaxed)),
            socket: stream.try_clone()?,
        });
        let monitor = TcpStream::from_std(stream.try_clone()?)?;
        self.conns().insert(peer, conn.clone());
        let sockets = self.clone();
        tokio::spawn(async move {
            // Waits for the peer to close its side. The clients send no urgent data, and priority
            // readiness reports the end of the read side without consuming the bytes that the
            // server reads.
            let _ = monitor.ready(Interest::PRIORITY).await;
            sockets.unregister(&conn);
            conn.closed.cancel();
        });
        Ok(())
    }
}

/// The listener that is passed to the server.
pub(crate) struct SwitchedListener(pub(crate) Arc<Sockets>);

impl IntoListener for SwitchedListener {
    type Listener = SwitchedListener;

    fn into_listener(self) -> io::Result<SwitchedListener> {
        // This runs inside the server's runtime, which lives as long as the server.
        let _ = self.0.runtime.set(runtime::Handle::current());
        self.0.open()?;
        Ok(self)
    }
}

impl Listen for SwitchedListener {
    async fn accept(&self) -> io::Result<Stream> {
        let mut listener_state = self.0.listener_state.subscribe();
        loop {
            let current = listener_state.borrow_and_update().clone();
            let accepted = async {
                match current {
                    ListenerState::Open(listener) => listener.accept().await,
                    ListenerState::Closed => std::future::pending().await,
                    ListenerState::Stopped => Err(io::Error::other("the listener is stopped")),
                }
            };
            let (stream, peer) = tokio::select! {
                biased;
                _ = listener_state.changed() => continue,
                accepted = accepted => accepted?,
            };
            stream.set_nodelay(true)?;
            let stream = stream.into_std()?;
            self.0.register(&stream, peer)?;
            return Ok(Stream::Tcp(stream, peer));
        }
    }
}

fn bind_socket(addr: SocketAddr) -> io::Result<TcpSocket> {
    let socket = match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // The reserving and the listening socket share the port. SO_REUSEADDR stays off: with it, the
    // kernel may assign a reserved port to another process.
    socket.set_reuseport(true)?;
    socket.bind(addr)?;
    Ok(socket)
}
