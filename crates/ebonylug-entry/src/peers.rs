use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_util::StreamExt;
use rand::SeedableRng;
use rand::seq::IteratorRandom;
use rand_chacha::ChaCha8Rng;
use tarpc::context::Context;
use tarpc::server::Channel;
use tokio::net::TcpStream;

use ebonylug_config::Head;
use ebonylug_core::{Incarnation, Name};
use ebonylug_net::key::SharedKey;
use ebonylug_net::rpc::{EntryControl, EntryLink, Gossip, server_channel, write_page};
use ebonylug_platform::{InstanceRow, InstanceState, ObjectHash};

use crate::Shared;

/// The interval between exchanges with peers.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(500);
/// Number of peers to exchange state with in each interval. The number of entries that have an
/// update grows by a factor of about three per interval, so an update reaches 410 entries in about
/// six.
const FANOUT: usize = 2;
/// Maximum number of concurrent calls per connection.
const MAX_CONCURRENT: usize = 64;

/// Links to the other entries.
pub struct Peers {
    own: Name,
    incarnation: Incarnation,
    key: SharedKey,
    links: Mutex<Links>,
}

/// The control address and the link of each entry.
type Links = HashMap<Name, (Box<str>, Arc<EntryLink>)>;

impl Peers {
    /// Creates a set without links.
    pub fn new(own: Name, incarnation: Incarnation, key: SharedKey) -> Self {
        Peers {
            own,
            incarnation,
            key,
            links: Mutex::default(),
        }
    }

    /// Replaces the links with those to the live entries of an instance list, and returns them.
    pub fn apply_list(&self, rows: &[InstanceRow]) -> HashMap<Name, Arc<EntryLink>> {
        let mut links = self.links.lock().expect("peers lock poisoned");
        let entries = rows.iter().filter(|row| {
            row.target.is_none() && row.instance != self.own && row.state == InstanceState::Live
        });
        let mut next = HashMap::new();
        for row in entries {
            let Ok(address) = row.control.parse() else {
                tracing::warn!(instance = %row.instance, "peers: invalid address in the instance list");
                continue;
            };
            let known = links
                .remove(&row.instance)
                .filter(|(control, _)| *control == row.control);
            let link = match known {
                Some((_, link)) => link,
                None => Arc::new(EntryLink::new(address, self.key.clone())),
            };
            next.insert(row.instance.clone(), (row.control.clone(), link));
        }
        *links = next;
        links
            .iter()
            .map(|(name, (_, link))| (name.clone(), Arc::clone(link)))
            .collect()
    }

    /// Returns links to the seed entries, for use before the instance list is available.
    pub fn seeds(&self, addresses: &[SocketAddr]) -> HashMap<Name, Arc<EntryLink>> {
        let link = |address: &SocketAddr| {
            let name = Name::new(&format!("seed {address}"));
            (name, Arc::new(EntryLink::new(*address, self.key.clone())))
        };
        addresses.iter().map(link).collect()
    }

    fn select(&self, rng: &mut ChaCha8Rng) -> Vec<Arc<EntryLink>> {
        let links = self.links.lock().expect("peers lock poisoned");
        links
            .values()
            .map(|(_, link)| Arc::clone(link))
            .sample(rng, FANOUT)
    }
}

/// Exchanges state with randomly selected peers in each interval, until the future is dropped.
pub async fn run(shared: Arc<Shared>, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut interval = tokio::time::interval(GOSSIP_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let selected = shared.peers.select(&mut rng);
        let exchanges = selected.iter().map(|peer| exchange(&shared, peer));
        futures_util::future::join_all(exchanges).await;
    }
}

/// Exchanges state with one peer: sends the local state and merges the reply.
pub async fn exchange(shared: &Shared, peer: &EntryLink) {
    match peer.exchange(local_state(shared)).await {
        Ok(gossip) => merge(shared, &gossip),
        Err(error) => tracing::debug!(%error, "peers: entry did not respond"),
    }
}

fn local_state(shared: &Shared) -> Gossip {
    Gossip {
        entry: shared.peers.own.clone(),
        incarnation: shared.peers.incarnation,
        revision: shared.current.revision(),
        evidence: shared.moves.recent_evidence(),
        crashes: shared.fleet.crashes(),
        moves: shared.moves.statuses(),
        stamp: shared.recorder.stamp(),
    }
}

fn merge(shared: &Shared, gossip: &Gossip) {
    shared.recorder.observe(gossip.stamp);
    shared
        .configuration
        .record_revision(&gossip.entry, gossip.revision);
    shared
        .fleet
        .update_crashes(|log| log.merge(&gossip.crashes));
    shared.moves.merge_peer(&gossip.evidence, &gossip.moves);
}

/// The server side of the control calls between entries.
#[derive(Clone)]
struct Control {
    shared: Arc<Shared>,
}

/// Serves control calls on one connection until it ends.
pub async fn serve(stream: TcpStream, shared: Arc<Shared>) {
    let control = Control { shared };
    server_channel(stream)
        .execute(control.serve())
        .for_each_concurrent(MAX_CONCURRENT, |call| call)
        .await;
}

impl EntryControl for Control {
    async fn exchange(self, _: Context, remote: Gossip) -> Gossip {
        merge(&self.shared, &remote);
        local_state(&self.shared)
    }

    async fn events(self, _: Context, since: u64, limit: usize) -> Box<str> {
        write_page(&self.shared.recorder.since(since, limit))
    }

    async fn head(self, _: Context) -> Option<Head> {
        self.shared.configuration.head()
    }

    async fn body(self, _: Context, hash: ObjectHash) -> Option<Box<str>> {
        self.shared.configuration.body(&hash)
    }
}
