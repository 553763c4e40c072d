//! Exchanges what entries know, in datagrams.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bincode::Options;
use ebonylug_admission::CrashLog;
use ebonylug_core::Name;
use ebonylug_dispatch::Gossip;
use smallvec::SmallVec;
use tokio::net::UdpSocket;
use tokio::time::Instant;

use crate::entry::Entry;
use crate::follow::Row;

/// The shortest time between two messages to one entry while loads change. What an entry knows of the
/// others is as old as this, and what all send to a target within this time is a guess.
const MIN_PAUSE: Duration = Duration::from_millis(20);
/// Time between two messages to an entry of the same zone, for each such entry, so that what an entry
/// sends has a bound.
const NEAR_PAUSE: Duration = Duration::from_millis(3);
/// The same for all entries and those of other zones. Bytes between zones are dear.
const FAR_PAUSE: Duration = Duration::from_millis(5);
/// Time between two messages while nothing changes, unless the pauses above are longer.
const QUIET_PAUSE: Duration = Duration::from_millis(150);
/// Time between two messages with the paces of targets. A pace is used for four seconds after it was measured.
const PACES_PAUSE: Duration = Duration::from_secs(1);
/// Time between two messages to addresses at which nobody was heard yet.
const GREET_PAUSE: Duration = Duration::from_millis(300);
/// Bytes of a datagram.
const MAX_BYTES: usize = 60_000;

/// The other entries, and the socket to talk to them.
pub struct Exchange {
    entry: Rc<Entry>,
    socket: UdpSocket,
    peers: RefCell<HashMap<Name, Peer>>,
}

/// What a message holds. Each kind holds what the ones before it do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Content {
    /// Loads.
    Loads,
    /// The use of quotas, and at times the known crashes.
    Quotas,
    /// The paces of targets.
    Paces,
}

/// Another entry.
#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    /// Whether it is in the same zone; not known before its first message.
    near: bool,
    /// The state of loads that it was told.
    changes: u64,
    told: Instant,
    /// When it was told the use of quotas.
    quotas: Instant,
    /// When it was told the paces of targets.
    paces: Instant,
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
            peers: RefCell::default(),
        }))
    }

    /// Returns the address of the socket.
    ///
    /// # Errors
    ///
    /// Fails if the operating system does not tell it.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Adds another entry that the platform's table lists.
    pub fn add_peer(&self, name: Name, address: SocketAddr) {
        if name == self.entry.name {
            return;
        }
        self.entry.list_peer(name.clone());
        // What it says of itself goes before what is listed.
        let mut peers = self.peers.borrow_mut();
        let peer = peers.entry(name);
        peer.or_insert_with(|| Peer::new(address, false));
    }

    /// Makes this entry known at addresses where other entries may be, until one of them is heard.
    pub async fn announce(&self, addresses: &[SocketAddr]) {
        while self.entry.reachable_entries() == 1 {
            let mut gossip = self.entry.gossip(Content::Paces, true);
            gossip.interval = u32::try_from(GREET_PAUSE.as_millis()).unwrap_or(u32::MAX);
            self.send_to(&gossip, addresses).await;
            tokio::time::sleep(GREET_PAUSE).await;
        }
    }

    /// Adds the other entries that rows list: the key is the name, the value the address.
    pub fn add_rows(&self, rows: &[Row]) {
        for row in rows {
            let address = row.value.as_deref().map(String::from_utf8_lossy);
            match address.map(|text| text.parse()) {
                Some(Ok(address)) => self.add_peer(Name::new(&row.key), address),
                _ => tracing::warn!(part = "peers", key = %row.key, "a row names no entry"),
            }
        }
    }

    /// Returns the entries that are heard, with their addresses, and this one.
    pub(crate) fn entries(&self) -> Vec<(Name, SocketAddr)> {
        let own = self.address().ok();
        let own = own.map(|address| (self.entry.name.clone(), address));
        self.others().into_iter().chain(own).collect()
    }

    /// Returns the other entries that are heard, those with the newest configuration first.
    pub(crate) fn others(&self) -> Vec<(Name, SocketAddr)> {
        let peers = self.peers.borrow();
        let names = self.entry.sources().into_iter();
        let known = names.filter_map(|name| {
            let address = peers.get(&name)?.address;
            Some((name, address))
        });
        known.collect()
    }

    /// Sends messages for ever.
    pub async fn run_sender(self: Rc<Self>) {
        loop {
            tokio::time::sleep(MIN_PAUSE).await;
            self.send_due(false).await;
        }
    }

    /// Sends a message to each other entry that is due for one, or to all.
    pub async fn send_due(&self, all: bool) {
        let due = self.due(all);
        let Some(widest) = due.iter().map(|(_, content)| *content).max() else {
            return;
        };
        let entries = self.peers.borrow().len();
        let longest = pause(FAR_PAUSE, entries).max(QUIET_PAUSE) + MIN_PAUSE;
        let crashes = all || self.entry.tells_crashes();
        let mut gossip = self.entry.gossip(widest, crashes);
        gossip.interval = u32::try_from(longest.as_millis()).unwrap_or(u32::MAX);
        // What is left out of one message is left out of all that follow.
        for content in [Content::Paces, Content::Quotas, Content::Loads] {
            if content < Content::Paces {
                gossip.paces.clear();
            }
            if content < Content::Quotas {
                gossip.usage.clear();
                gossip.crashes = CrashLog::new();
            }
            let due = due.iter().filter(|(_, due)| *due == content);
            let addresses: SmallVec<[SocketAddr; 8]> = due.map(|(address, _)| *address).collect();
            self.send_to(&gossip, &addresses).await;
        }
    }

    /// Chooses the entries that get a message now, and what it holds.
    fn due(&self, all: bool) -> SmallVec<[(SocketAddr, Content); 8]> {
        let now = Instant::now();
        let changes = self.entry.load_changes();
        let mut due = SmallVec::new();
        let mut peers = self.peers.borrow_mut();
        let near = peers.values().filter(|peer| peer.near).count();
        let pauses = [pause(NEAR_PAUSE, near), pause(FAR_PAUSE, peers.len())];
        for peer in peers.values_mut() {
            let pause = if peer.near { pauses[0] } else { pauses[1] };
            let quiet = pause.max(QUIET_PAUSE);
            let silent = now.duration_since(peer.told);
            let changed = changes != peer.changes && silent >= pause;
            if !(all || changed || silent >= quiet) {
                continue;
            }
            peer.told = now;
            peer.changes = changes;
            let content = if all || now.duration_since(peer.paces) >= PACES_PAUSE.max(quiet) {
                Content::Paces
            } else if now.duration_since(peer.quotas) >= quiet {
                Content::Quotas
            } else {
                Content::Loads
            };
            if content >= Content::Paces {
                peer.paces = now;
            }
            if content >= Content::Quotas {
                peer.quotas = now;
            }
            due.push((peer.address, content));
        }
        due
    }

    async fn send_to(&self, gossip: &Gossip, addresses: &[SocketAddr]) {
        if addresses.is_empty() {
            return;
        }
        let bytes = match codec().serialize(gossip) {
            Ok(bytes) => bytes,
            Err(error) => {
                tracing::error!(part = "peers", %error, "a message cannot be written");
                return;
            }
        };
        for address in addresses {
            // Each message states totals, so a lost one does no harm.
            if let Err(error) = self.socket.send_to(&bytes, address).await {
                tracing::debug!(part = "peers", %address, %error, "a message was not sent");
            }
        }
    }

    /// Receives messages for ever.
    pub async fn run_receiver(self: Rc<Self>) {
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
        if name == self.entry.name {
            return;
        }
        let leaving = gossip.leaving;
        let near = *gossip.zone == *self.entry.zone.as_str();
        let joined = self.entry.hear(gossip);
        let mut peers = self.peers.borrow_mut();
        if leaving {
            peers.remove(&name);
            tracing::info!(part = "peers", peer = %name, "entry left");
            return;
        }
        if joined {
            tracing::info!(part = "peers", peer = %name, address = %from, "entry joined");
        }
        let peer = peers.entry(name).or_insert_with(|| Peer::new(from, near));
        peer.address = from;
        peer.near = near;
    }
}

impl Peer {
    fn new(address: SocketAddr, near: bool) -> Self {
        let now = Instant::now();
        Peer {
            address,
            near,
            changes: 0,
            told: now,
            quotas: now,
            paces: now,
        }
    }
}

/// Returns the pause between messages to each of some entries.
fn pause(each: Duration, entries: usize) -> Duration {
    let entries = u32::try_from(entries).unwrap_or(u32::MAX);
    each.saturating_mul(entries).max(MIN_PAUSE)
}

fn codec() -> impl Options {
    bincode::DefaultOptions::new().with_limit(MAX_BYTES as u64)
}
