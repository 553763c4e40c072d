//! Exchanges load, quota usage and other state between entries.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ebonylug_core::Name;
use ebonylug_dispatch::{Gossip, TableKind};
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::entry::Entry;
use crate::follow::Row;
use crate::transport::{Sockets, Transport};

/// The minimum interval between two messages to one entry. Peers' loads are out of date by at least
/// this much, so an entry can only estimate what all entries sent to a target within it.
const MIN_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between two messages to an entry of the same zone, multiplied by the number of such
/// entries, so that the rate at which an entry sends is bounded.
const SAME_ZONE_INTERVAL: Duration = Duration::from_millis(3);
/// Interval between two messages to an entry of another zone, multiplied by the number of all
/// entries. It is longer because traffic between zones is expensive.
const CROSS_ZONE_INTERVAL: Duration = Duration::from_millis(3);
/// Interval between two messages while no load changes, unless the intervals above are longer.
const IDLE_INTERVAL: Duration = Duration::from_millis(150);
/// Interval between two messages with the paces of targets. A pace is used for four seconds after it
/// was measured.
const PACES_INTERVAL: Duration = Duration::from_secs(1);
/// The same for entries of other zones, since most requests go to targets of the entry's own zone.
const CROSS_ZONE_PACES_INTERVAL: Duration = Duration::from_secs(3);
/// Interval between two announcements while no other entry has answered.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(300);

/// The other entries, and the connection to them.
pub struct Exchange {
    entry: Rc<Entry>,
    transport: Box<dyn Transport>,
    peers: RefCell<HashMap<Name, Peer>>,
}

/// The content of a message. Each variant includes the content of those before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Content {
    /// The loads of targets.
    Loads,
    /// The usage of quotas, and recent changes of the crash log.
    Quotas,
    /// The paces of targets.
    Paces,
    /// The whole crash log. For entries that have just started, and repeated in case messages were lost.
    Everything,
}

impl Content {
    /// All variants, in order.
    const ALL: [Content; 4] = [
        Content::Loads,
        Content::Quotas,
        Content::Paces,
        Content::Everything,
    ];
}

/// A message that is due.
#[derive(Clone, Copy, Debug)]
struct Due {
    address: SocketAddr,
    /// Whether the message has the reports of targets, which are worth their bytes within a zone only.
    reports: bool,
    content: Content,
    /// Whether the message has the counts for duties.
    duties: bool,
    /// Time since the last message to the receiver.
    elapsed: Duration,
}

impl Due {
    /// Returns what messages have in common that are encoded once.
    fn kind(&self) -> (Content, bool, bool) {
        (self.content, self.reports, self.duties)
    }
}

/// Another entry.
#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    /// Whether it is in the same zone. False until its first message.
    same_zone: bool,
    /// The version of the loads that was last sent to it.
    load_version: u64,
    /// When the last message was sent to it.
    last_sent: Instant,
    /// When quota usage was last sent to it.
    quotas_sent: Instant,
    /// When the paces of targets were last sent to it.
    paces_sent: Instant,
    /// Whether it gets a message at once, and what it contains at least.
    pending: Option<Content>,
}

impl Exchange {
    /// Opens the socket.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket cannot be bound to the address.
    pub async fn bind(entry: Rc<Entry>, address: SocketAddr) -> std::io::Result<Rc<Self>> {
        let sockets = Sockets::bind(address).await?;
        Ok(Exchange::new(entry, Box::new(sockets)))
    }

    /// Uses another connection to the other entries than sockets.
    #[must_use]
    pub fn new(entry: Rc<Entry>, transport: Box<dyn Transport>) -> Rc<Self> {
        Rc::new(Exchange {
            entry,
            transport,
            peers: RefCell::default(),
        })
    }

    /// Returns the address at which other entries reach this one.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system does not provide the address.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.transport.address()
    }

    /// Adds another entry that the platform's table lists. Ignores this entry itself.
    pub fn add_peer(&self, name: Name, address: SocketAddr) {
        if name == self.entry.name {
            return;
        }
        self.entry.add_listed_peer(name.clone());
        // An address learned from the entry's own messages takes precedence over a listed one.
        let mut peers = self.peers.borrow_mut();
        let peer = peers.entry(name);
        peer.or_insert_with(|| Peer::new(address, false));
    }

    /// Announces this entry at addresses where other entries may listen, until one of them answers.
    pub async fn announce(&self, addresses: &[SocketAddr]) {
        while self.entry.reachable_entries() == 1 {
            let mut gossip =
                self.entry
                    .next_gossip(Content::Everything, Duration::ZERO, false, Duration::ZERO);
            gossip.interval = u32::try_from(ANNOUNCE_INTERVAL.as_millis()).unwrap_or(u32::MAX);
            self.transport.send(&gossip, addresses).await;
            tokio::time::sleep(ANNOUNCE_INTERVAL).await;
        }
    }

    /// Adds all entries of the platform's list. The key of a row is the entry's name, the value its address.
    pub fn add_rows(&self, rows: &[Row]) {
        self.add_all(rows);
        self.entry.set_peers_listed(true);
    }

    /// Adds the entries that another entry can reach. There may be more.
    pub(crate) fn add_reachable(&self, rows: &[Row]) {
        self.add_all(rows);
        self.entry.set_peers_listed(false);
    }

    fn add_all(&self, rows: &[Row]) {
        for row in rows {
            let address = row.value.as_deref().map(String::from_utf8_lossy);
            match address.map(|text| text.parse()) {
                Some(Ok(address)) => self.add_peer(Name::new(&row.key), address),
                _ => {
                    tracing::warn!(part = "peers", key = %row.key, "row holds no valid entry address");
                }
            }
        }
    }

    /// Returns all reachable entries with their addresses, including this one.
    pub(crate) fn reachable_entries(&self) -> Vec<(Name, SocketAddr)> {
        let own = self.address().ok();
        let own = own.map(|address| (self.entry.name.clone(), address));
        self.reachable_peers().into_iter().chain(own).collect()
    }

    /// Returns the other reachable entries, ordered by the time at which their configuration was last
    /// confirmed, most recent first.
    pub(crate) fn reachable_peers(&self) -> Vec<(Name, SocketAddr)> {
        let peers = self.peers.borrow();
        let names = self.entry.reachable_peers().into_iter();
        let reachable = names.filter_map(|name| {
            let address = peers.get(&name)?.address;
            Some((name, address))
        });
        reachable.collect()
    }

    /// Returns the addresses of entries that have other rows of a table than this one, which knows it up to
    /// `version`, at a later version. Those of this zone come first.
    pub(crate) fn peers_with_newer(
        &self,
        table: TableKind,
        version: u64,
    ) -> SmallVec<[SocketAddr; 4]> {
        let peers = self.peers.borrow();
        let names = self.entry.peers_with_newer(table, version);
        names
            .iter()
            .filter_map(|name| Some(peers.get(name)?.address))
            .collect()
    }

    /// Returns the addresses of entries that have a newer configuration than this one.
    pub(crate) fn peers_with_newer_config(&self) -> SmallVec<[SocketAddr; 4]> {
        let peers = self.peers.borrow();
        let names = self.entry.peers_with_newer_config();
        names
            .iter()
            .filter_map(|name| Some(peers.get(name)?.address))
            .collect()
    }

    /// Sends a message to the entries of the same zone soon, since this entry has read a change of a
    /// table that they have not.
    pub(crate) fn announce_change(&self) {
        let mut peers = self.peers.borrow_mut();
        for peer in peers.values_mut().filter(|peer| peer.same_zone) {
            peer.pending.get_or_insert(Content::Loads);
        }
    }

    /// Returns the address of another entry.
    pub(crate) fn address_of(&self, name: &Name) -> Option<SocketAddr> {
        let peers = self.peers.borrow();
        peers.get(name).map(|peer| peer.address)
    }

    pub(crate) fn transport(&self) -> &dyn Transport {
        &*self.transport
    }

    pub(crate) fn entry(&self) -> &Entry {
        &self.entry
    }

    /// Sends messages to the other entries indefinitely.
    pub async fn run_sender(self: Rc<Self>) {
        loop {
            tokio::time::sleep(MIN_INTERVAL).await;
            self.send_due(false).await;
        }
    }

    /// Sends a message to each other entry that is due for one, or to all entries if `all` is set.
    pub async fn send_due(&self, all: bool) {
        let due = self.due(all);
        let entries = self.peers.borrow().len();
        let longest = interval(CROSS_ZONE_INTERVAL, entries).max(IDLE_INTERVAL) + MIN_INTERVAL;
        // Messages with the same content are encoded once.
        let kinds = Content::ALL.into_iter().flat_map(|content| {
            let flags = [(false, false), (false, true), (true, false), (true, true)];
            flags.map(|(reports, duties)| (content, reports, duties))
        });
        for kind in kinds {
            let due = || due.iter().filter(move |due| due.kind() == kind);
            let addresses: SmallVec<[SocketAddr; 8]> = due().map(|due| due.address).collect();
            if addresses.is_empty() {
                continue;
            }
            let (content, reports, duties) = kind;
            let reports = match reports {
                true => due().map(|due| due.elapsed).max().unwrap_or_default(),
                false => Duration::ZERO,
            };
            // The message before this one may be lost.
            let mut gossip = self
                .entry
                .next_gossip(content, longest * 2, duties, reports);
            gossip.interval = u32::try_from(longest.as_millis()).unwrap_or(u32::MAX);
            self.transport.send(&gossip, &addresses).await;
        }
    }

    /// Selects the entries that get a message now, and the content of each message.
    fn due(&self, all: bool) -> SmallVec<[Due; 8]> {
        let now = Instant::now();
        let load_version = self.entry.load_version();
        let repeats_log = self.entry.sends_crash_log();
        let counting = self.entry.take_duty_recipients();
        let has_reports = self.entry.state.borrow().scheduler.has_reports();
        let mut due = SmallVec::new();
        let mut peers = self.peers.borrow_mut();
        let same_zone = peers.values().filter(|peer| peer.same_zone).count();
        let intervals = [
            interval(SAME_ZONE_INTERVAL, same_zone),
            interval(CROSS_ZONE_INTERVAL, peers.len()),
        ];
        for (name, peer) in peers.iter_mut() {
            let (interval, paces_interval) = if peer.same_zone {
                (intervals[0], PACES_INTERVAL)
            } else {
                (intervals[1], CROSS_ZONE_PACES_INTERVAL)
            };
            let idle = interval.max(IDLE_INTERVAL);
            let elapsed = now.duration_since(peer.last_sent);
            let changed = load_version != peer.load_version && elapsed >= interval;
            let pending = peer.pending.take();
            let duties = counting.contains(name);
            if !(all || duties || pending.is_some() || changed || elapsed >= idle) {
                continue;
            }
            peer.last_sent = now;
            peer.load_version = load_version;
            let quotas_due = now.duration_since(peer.quotas_sent) >= idle;
            let content =
                if all || pending == Some(Content::Everything) || (quotas_due && repeats_log) {
                    Content::Everything
                } else if now.duration_since(peer.paces_sent) >= paces_interval.max(idle) {
                    Content::Paces
                } else if quotas_due {
                    Content::Quotas
                } else {
                    Content::Loads
                };
            if content >= Content::Paces {
                peer.paces_sent = now;
            }
            if content >= Content::Quotas {
                peer.quotas_sent = now;
            }
            due.push(Due {
                address: peer.address,
                reports: peer.same_zone && has_reports,
                duties: duties || all,
                content,
                elapsed,
            });
        }
        due
    }

    /// Receives messages from the other entries indefinitely.
    pub async fn run_receiver(self: Rc<Self>) {
        loop {
            let (gossip, from) = self.transport.receive().await;
            self.handle_message(gossip, from);
        }
    }

    fn handle_message(&self, gossip: Gossip, from: SocketAddr) {
        let name = Name::new(&gossip.entry);
        if name == self.entry.name {
            return;
        }
        let leaving = gossip.leaving;
        let same_zone = *gossip.zone == *self.entry.zone.as_str();
        let joined = self.entry.handle_message(gossip);
        let mut peers = self.peers.borrow_mut();
        if leaving {
            peers.remove(&name);
            tracing::info!(part = "peers", peer = %name, "entry left");
            return;
        }
        let peer = peers
            .entry(name.clone())
            .or_insert_with(|| Peer::new(from, same_zone));
        peer.address = from;
        peer.same_zone = same_zone;
        if joined {
            tracing::info!(part = "peers", peer = %name, address = %from, "entry joined");
            // An entry that has just started lacks what the others know.
            peer.pending = Some(Content::Everything);
        }
    }
}

impl Peer {
    fn new(address: SocketAddr, same_zone: bool) -> Self {
        let now = Instant::now();
        Peer {
            address,
            same_zone,
            load_version: 0,
            last_sent: now,
            quotas_sent: now,
            paces_sent: now,
            pending: Some(Content::Everything),
        }
    }
}

/// Returns the interval between two messages to one of several entries.
fn interval(each: Duration, entries: usize) -> Duration {
    let entries = u32::try_from(entries).unwrap_or(u32::MAX);
    each.saturating_mul(entries).max(MIN_INTERVAL)
}
