//! Exchanges what entries know, in datagrams.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bincode::Options;
use ebonylug_core::Name;
use ebonylug_dispatch::Gossip;
use tokio::net::UdpSocket;

use crate::entry::Entry;

/// Time between two messages while loads change. What an entry knows of the others is as old as
/// this, and what all entries send to a target within this time is a guess.
const MIN_INTERVAL: Duration = Duration::from_millis(20);
/// The same for each entry that gets the messages, so that their bytes do not grow with the square of
/// the entries.
const INTERVAL_EACH: Duration = Duration::from_millis(4);
/// Time between two messages while nothing changes; entries that are silent for four of these count
/// as unheard.
const MAX_INTERVAL: Duration = Duration::from_millis(150);
/// Bytes of a datagram.
const MAX_BYTES: usize = 60_000;

/// The other entries, and the socket to talk to them.
pub struct Exchange {
    entry: Rc<Entry>,
    socket: UdpSocket,
    addresses: RefCell<HashMap<Name, SocketAddr>>,
    /// When a message last told the use of quotas.
    quotas: Cell<Option<tokio::time::Instant>>,
}

impl Exchange {
    /// Opens the socket.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be used.
    pub async fn bind(entry: Rc<Entry>, address: SocketAddr) -> std::io::Result<Rc<Self>> {
        let socket = UdpSocket::bind(address).await?;
        Ok(Rc::new(Exchange {
            entry,
            socket,
            addresses: RefCell::default(),
            quotas: Cell::default(),
        }))
    }

    /// Adds another entry that the platform's table lists.
    pub fn add(&self, name: Name, address: SocketAddr) {
        if name == self.entry.settings.name {
            return;
        }
        self.entry.list_peer(name.clone());
        self.addresses.borrow_mut().insert(name, address);
    }

    /// Sends messages for ever.
    pub async fn send(self: Rc<Self>) {
        let mut told = 0;
        let mut silent = Duration::ZERO;
        loop {
            let entries = u32::try_from(self.addresses.borrow().len()).unwrap_or(u32::MAX);
            let pause = INTERVAL_EACH.saturating_mul(entries);
            let pause = pause.clamp(MIN_INTERVAL, MAX_INTERVAL);
            tokio::time::sleep(pause).await;
            silent += pause;
            let changes = self.entry.load_changes();
            if changes == told && silent < MAX_INTERVAL {
                continue;
            }
            told = changes;
            silent = Duration::ZERO;
            self.entry.expire_peers();
            self.entry.pool.expire();
            self.tell().await;
        }
    }

    /// Sends one message to each other entry.
    pub async fn tell(&self) {
        let mut gossip = self.entry.gossip();
        // Quotas change slowly next to loads.
        let quotas = self.quotas.get().is_none_or(|time| time.elapsed() >= MAX_INTERVAL);
        if quotas {
            self.quotas.set(Some(tokio::time::Instant::now()));
        } else {
            gossip.used.clear();
        }
        let bytes = match codec().serialize(&gossip) {
            Ok(bytes) => bytes,
            Err(error) => {
                tracing::error!(part = "peers", %error, "a message cannot be written");
                return;
            }
        };
        let addresses: Vec<SocketAddr> = self.addresses.borrow().values().copied().collect();
        for address in addresses {
            // Each message states totals, so a lost one does no harm.
            if let Err(error) = self.socket.send_to(&bytes, address).await {
                tracing::debug!(part = "peers", %address, %error, "a message was not sent");
            }
        }
    }

    /// Receives messages for ever.
    pub async fn receive(self: Rc<Self>) {
        let mut buffer = vec![0; MAX_BYTES];
        loop {
            let (length, from) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(error) => {
                    tracing::debug!(part = "peers", %error, "cannot receive");
                    continue;
                }
            };
            match codec().deserialize::<Gossip>(&buffer[..length]) {
                Ok(gossip) => self.hear(gossip, from),
                Err(error) => tracing::warn!(part = "peers", %from, %error, "unreadable message"),
            }
        }
    }

    fn hear(&self, gossip: Gossip, from: SocketAddr) {
        let name = Name::new(&gossip.entry);
        if name == self.entry.settings.name {
            return;
        }
        let leaving = gossip.leaving;
        let joined = self.entry.hear(gossip);
        let mut addresses = self.addresses.borrow_mut();
        if leaving {
            addresses.remove(&name);
        } else {
            if joined {
                tracing::info!(part = "peers", peer = %name, address = %from, "entry joined");
            }
            addresses.insert(name, from);
        }
    }
}

fn codec() -> impl Options {
    bincode::DefaultOptions::new().with_limit(MAX_BYTES as u64)
}
