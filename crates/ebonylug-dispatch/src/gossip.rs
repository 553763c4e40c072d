use std::collections::HashMap;
use std::time::{Duration, Instant};

use ebonylug_admission::CrashLog;
use ebonylug_core::Name;
use ebonylug_duties::Note;
use ebonylug_moves::Evidence;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::hash::stable_hash;
use crate::quota::EntryCounts;
use crate::readers::TableState;
use crate::rollout::Stage;
use crate::target::PeerLoad;
use crate::waiting::{PeerWaiting, Waiting};

/// Number of message intervals without a message after which an entry counts as unreachable and its load
/// is ignored. Three consecutive messages may be lost.
const REACHABLE_INTERVALS: u32 = 4;
/// Time without a message after which an entry is removed. Most partitions are shorter.
const PEER_RETENTION: Duration = Duration::from_secs(30);
/// Time for which the shares of a removed entry in rates stay its own. It may run, and not hear this one either.
const SHARE_RETENTION: Duration = Duration::from_secs(600);

/// Maximum age of the paces that an entry reported. Entries report them about once per second.
const PACE_MAX_AGE: Duration = Duration::from_secs(4);

/// Time from the first message of a boot until the sender's times are used. The first messages may have waited in
/// a buffer while this machine was suspended, and all read after that are equally late. By then, at least one
/// message has arrived without a wait, since entries send several times per second.
const SETTLING_TIME: Duration = Duration::from_millis(500);

/// The number of entries assumed while the list of entries is unknown.
const UNLISTED_ENTRIES: usize = 128;
/// The number of entries that are assumed to share rates until the platform's list, or an entry that has read it, tells
/// how many there are.
const UNCOUNTED_ENTRIES: usize = 512;
/// Shares left to an entry that is listed and was never heard. It may not know this one, and divide by too few.
const UNHEARD_SHARES: usize = 4;

/// Unit of [`TargetPace::pace`].
pub(crate) const PACE_UNIT_SECONDS: f64 = 1e-4;

/// The load that one entry puts on one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// The short hash of the target's name.
    pub target: u32,
    /// Requests in flight.
    pub requests: u16,
    /// Prompt tokens of requests that have produced no output yet.
    pub prefill: u32,
    /// Whether the entry sends the target only probes, after failures.
    #[serde(rename = "resting")]
    pub unhealthy: bool,
}

/// The mean time per unit of work at one target, measured by one entry. A unit of work is an event of a
/// stream, or a whole request otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetPace {
    /// The short hash of the target's name.
    pub target: u32,
    /// The time, in tenths of a millisecond.
    pub pace: u16,
}

/// What a response of a target said about its limit on requests.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetLimit {
    /// The short hash of the target's name.
    pub target: u32,
    /// The requests per second that the target accepts from all entries together. `None` if it has
    /// withdrawn its limit.
    pub rate: Option<f64>,
    /// Time since the response arrived, in milliseconds.
    pub age: u32,
}

/// What a response of a target said about its load, for the entries of the same zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetReport {
    /// The short hash of the target's name.
    pub target: u32,
    /// Requests that the target runs.
    pub running: u8,
    /// Requests that wait inside the target.
    pub waiting: u8,
    /// How long work takes on the target's machine, in units of 4 % of the usual time.
    pub slowness: u8,
    /// Time since the response arrived, in units of 2 ms.
    pub age: u8,
}

/// What an entry has seen of a target's being cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetCold {
    /// The short hash of the target's name.
    pub target: u32,
    /// Time until the target is warm, in milliseconds.
    pub left: u32,
    /// Whether no response says so, but the target has come back from an outage.
    pub inferred: bool,
}

/// A check of an entry that has shown that a target is warm.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetWarm {
    /// The short hash of the target's name.
    pub target: u32,
    /// Time since the check, in milliseconds.
    pub age: u16,
}

/// The state that an entry sends to its peers several times per second. Messages carry totals, so a
/// lost message is harmless.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Gossip {
    /// The name of the entry.
    pub entry: Box<str>,
    /// Its availability zone.
    pub zone: Box<str>,
    /// Random number chosen at each start of the entry.
    pub boot: u64,
    /// Sequence number, which increases with each message of a boot.
    pub sequence: u64,
    /// The version of its configuration; 0 if it has none.
    pub config: u64,
    /// Maximum time until the next message, in milliseconds.
    #[serde(rename = "pause")]
    pub interval: u32,
    /// What the entry knows of the platform's tables.
    pub tables: TableState,
    /// The sender's uptime when it sent the message, in milliseconds.
    pub sent: u64,
    /// The sender's uptime at which its configuration was last known to be current, in milliseconds.
    pub confirmed: Option<u64>,
    /// Whether the entry has stopped.
    pub leaving: bool,
    /// The number of entries that it knows of by itself, see [`Peers::own_count`].
    pub entries: u32,
    /// Time since the boot, in milliseconds.
    pub age: u32,
    /// Quota usage. May omit organisations.
    pub usage: Vec<Usage>,
    /// The load that the entry puts on targets.
    #[serde(rename = "running")]
    pub loads: Vec<TargetLoad>,
    /// Requests that wait for a slot at this entry.
    pub waiting: Vec<Waiting>,
    /// Recently measured paces. Omitted from most messages, since they change slowly and there is one
    /// per target.
    pub paces: Vec<TargetPace>,
    /// The short hashes of the targets that have just sent something.
    pub heard: Vec<u32>,
    /// What targets have just said about their loads. Only in messages within a zone.
    pub reports: Vec<TargetReport>,
    /// Limits of targets that the entry has read from responses. Omitted from most messages.
    pub limits: Vec<TargetLimit>,
    /// Targets that are or may be cold by what the entry has seen itself.
    pub cold: Vec<TargetCold>,
    /// The entry's recent checks of targets that are warm.
    pub warm: Vec<TargetWarm>,
    /// The active moves.
    pub moves: Vec<RolloutStatus>,
    /// The entry's own recent evidence about versions in a move.
    pub evidence: Evidence,
    /// Crashes of targets: those that the entry has recently changed, and from time to time all known ones.
    pub crashes: CrashLog,
    /// Time and counts for the duties of one entry at a time. Only where a duty is configured.
    pub duties: Option<Note>,
}

/// One organisation's quota usage at one entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The short hash of the organisation's name.
    pub organisation: u32,
    /// Tokens consumed since the boot.
    pub used: u64,
    /// The entry's estimate of the remaining tokens across all entries.
    pub level: i64,
}

/// The progress of a move at one entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutStatus {
    /// The service.
    pub service: Box<str>,
    /// The new version.
    pub version: Box<str>,
    /// The stage that the entry has reached.
    pub stage: Stage,
}

/// The changes that an accepted message brings.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PeerUpdate {
    /// Tokens consumed since the previous message, by short hash of the organisation's name.
    pub used: SmallVec<[(u32, f64); 8]>,
    /// Tokens consumed since the boot, of organisations that no earlier message of this boot contained.
    pub first_used: SmallVec<[(u32, f64); 8]>,
    /// Time since the boot.
    pub age: Duration,
    /// How much later than the fastest message of the boot this one arrived. `None` until the boot has been heard for
    /// some time.
    pub delay: Option<Duration>,
    /// Whether the sender, or its current boot, was unknown before.
    pub joined: bool,
    /// Whether what the sender knows of the tables differs from its previous message.
    pub tables_changed: bool,
    /// The version of the sender's configuration, and the time at which the sender last knew it to be
    /// current, as an uptime of this entry.
    pub confirmed: Option<(u64, Duration)>,
}

/// A change in whether another entry is reachable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerChange {
    /// The entry.
    pub entry: Name,
    /// Whether the entry became unreachable. If not, it became reachable again.
    pub unreachable: bool,
    /// Time since the last message of the entry.
    pub message_age: Duration,
}

#[derive(Debug)]
pub(crate) struct Peer {
    /// The hash of its name, by which entries are ranked.
    pub(crate) hash: u64,
    pub(crate) zone: Name,
    pub(crate) tables: TableState,
    boot: u64,
    sequence: u64,
    config: u64,
    /// The number of entries that it knows of by itself.
    entries: usize,
    /// Time at which the peer last knew its configuration to be current, as an uptime of this entry.
    confirmed: Option<Duration>,
    /// When the first message of the boot arrived.
    first_message: Instant,
    last_message: Instant,
    interval: Duration,
    /// Whether [`Peers::take_changes`] last reported the peer as unreachable.
    unreachable: bool,
    /// The smallest difference between receive and send time so far, in milliseconds.
    offset: i64,
    /// Tokens that the peer has consumed since its boot, by short hash of the organisation's name.
    used: HashMap<u32, u64>,
    loads: Vec<TargetLoad>,
    waiting: Vec<Waiting>,
    /// The last reported paces and the time of the report.
    paces: (Vec<TargetPace>, Instant),
}

/// The last reported state of the other entries.
#[derive(Debug, Default)]
pub struct Peers {
    pub(crate) peers: HashMap<Name, Peer>,
    /// Entries that the platform lists and that have not sent a message, with the time of the listing.
    listed: HashMap<Name, Instant>,
    /// Entries that may run and are not heard: those that were listed and have not sent a message, and those that
    /// were removed without having left.
    absent: HashMap<Name, Absent>,
    /// Whether no list of entries has been read yet.
    unlisted: bool,
    /// Whether neither the platform's list nor an entry that has read it has told how many entries there are.
    uncounted: bool,
}

#[derive(Clone, Copy, Debug)]
struct Absent {
    /// The time of the last message, or of the listing.
    since: Instant,
    /// Whether it has ever been heard.
    heard: bool,
}

impl Peers {
    /// Assumes many entries until [`Peers::set_listed`] and [`Peers::set_counted`] are called. Limits are split among
    /// all entries, and one that has just started does not know how many there are.
    #[must_use]
    pub fn unlisted() -> Self {
        Peers {
            unlisted: true,
            uncounted: true,
            ..Peers::default()
        }
    }

    /// Records that all entries of a list were added. It may be that of another entry, which names only those that
    /// it can reach.
    pub fn set_listed(&mut self) {
        self.unlisted = false;
    }

    /// Records that all entries of the platform's list were added.
    pub fn set_counted(&mut self) {
        self.uncounted = false;
    }

    /// Adds an entry that the platform lists but that has not sent a message yet.
    pub fn add_listed(&mut self, now: Instant, entry: Name) {
        if self.peers.contains_key(&entry) {
            return;
        }
        let absent = self.absent.entry(entry.clone());
        let unheard = Absent {
            since: now,
            heard: false,
        };
        absent.or_insert(unheard).since = now;
        self.listed.entry(entry).or_insert(now);
    }

    /// Processes a message received at `uptime`. Ignores a message that is not newer than the last one
    /// of the same boot.
    ///
    /// A message may have waited in a socket buffer while this machine was suspended. The sender's
    /// times are therefore converted by the smallest difference between send and receive time so far, and
    /// are not used until the boot has been heard for some time.
    pub fn receive(
        &mut self,
        now: Instant,
        uptime: Duration,
        gossip: Gossip,
    ) -> Option<PeerUpdate> {
        let entry = Name::new(&gossip.entry);
        self.listed.remove(&entry);
        self.absent.remove(&entry);
        if gossip.leaving {
            self.peers.remove(&entry);
            return None;
        }
        let previous = self.peers.get_mut(&entry);
        let previous = previous.filter(|peer| peer.boot == gossip.boot);
        if previous
            .as_ref()
            .is_some_and(|peer| peer.sequence >= gossip.sequence)
        {
            return None;
        }
        let difference = millis(uptime) - i64::try_from(gossip.sent).unwrap_or(0);
        let offset = previous
            .as_ref()
            .map_or(difference, |peer| peer.offset.min(difference));
        let first_message = previous.as_ref().map_or(now, |peer| peer.first_message);
        let is_settled = now.saturating_duration_since(first_message) >= SETTLING_TIME;
        let mut update = PeerUpdate {
            joined: previous.is_none(),
            tables_changed: previous
                .as_ref()
                .is_none_or(|peer| peer.tables != gossip.tables),
            age: Duration::from_millis(u64::from(gossip.age)),
            delay: is_settled.then(|| Duration::from_millis(difference.abs_diff(offset))),
            confirmed: gossip.confirmed.filter(|_| is_settled).map(|time| {
                let time = i64::try_from(time).unwrap_or(0);
                let local = time.saturating_add(offset).max(0);
                (gossip.config, Duration::from_millis(local.unsigned_abs()))
            }),
            ..PeerUpdate::default()
        };
        let hash = previous
            .as_ref()
            .map_or_else(|| stable_hash(entry.as_str()), |peer| peer.hash);
        let was_unreachable = previous.as_ref().is_some_and(|peer| peer.unreachable);
        let (mut used, mut paces) = match previous {
            Some(peer) => (
                std::mem::take(&mut peer.used),
                (std::mem::take(&mut peer.paces.0), peer.paces.1),
            ),
            None => (HashMap::new(), (Vec::new(), now)),
        };
        if !gossip.paces.is_empty() {
            paces = (gossip.paces, now);
        }
        for usage in &gossip.usage {
            let total = usage.used as f64;
            match used.insert(usage.organisation, usage.used) {
                Some(before) => update
                    .used
                    .push((usage.organisation, total - before as f64)),
                None => update.first_used.push((usage.organisation, total)),
            }
        }
        let peer = Peer {
            hash,
            zone: Name::new(&gossip.zone),
            tables: gossip.tables,
            offset,
            boot: gossip.boot,
            sequence: gossip.sequence,
            config: gossip.config,
            entries: usize::try_from(gossip.entries).unwrap_or(usize::MAX),
            confirmed: update.confirmed.map(|(_, time)| time),
            first_message,
            last_message: now,
            interval: Duration::from_millis(u64::from(gossip.interval)),
            unreachable: was_unreachable,
            used,
            loads: gossip.loads,
            waiting: gossip.waiting,
            paces,
        };
        self.uncounted &= peer.entries == 0;
        self.peers.insert(entry, peer);
        Some(update)
    }

    /// Removes entries that have sent no message for longer than the retention time.
    pub fn expire(&mut self, now: Instant) {
        let recent = |time: Instant| now.saturating_duration_since(time) < PEER_RETENTION;
        for (name, peer) in self.peers.extract_if(|_, peer| !recent(peer.last_message)) {
            let absent = Absent {
                since: peer.last_message,
                heard: true,
            };
            self.absent.insert(name, absent);
        }
        let keeps_share = |time: Instant| now.saturating_duration_since(time) < SHARE_RETENTION;
        self.absent.retain(|_, entry| keeps_share(entry.since));
        self.listed.retain(|_, time| recent(*time));
    }

    /// Returns the entries that became unreachable or reachable since the last call.
    pub fn take_changes(&mut self, now: Instant) -> SmallVec<[PeerChange; 2]> {
        let mut changes = SmallVec::new();
        for (name, peer) in &mut self.peers {
            let unreachable = !peer.is_reachable(now);
            if unreachable != peer.unreachable {
                peer.unreachable = unreachable;
                changes.push(PeerChange {
                    entry: name.clone(),
                    unreachable,
                    message_age: now.saturating_duration_since(peer.last_message),
                });
            }
        }
        changes
    }

    /// Returns the number of known entries, including this one. Unlike [`Peers::counts`], it takes
    /// constant time and is cheap enough for each request and message.
    #[must_use]
    pub fn known_count(&self) -> usize {
        let known = self.peers.len() + self.listed.len() + 1;
        if self.unlisted {
            known.max(UNLISTED_ENTRIES)
        } else {
            known
        }
    }

    /// Returns the number of entries that this one knows of by itself, for the other entries. It is 0 until an entry
    /// can know. What others tell is not part of it, or the count would never fall.
    #[must_use]
    pub fn own_count(&self) -> usize {
        if self.uncounted {
            0
        } else {
            1 + self.peers.len() + self.absent.len()
        }
    }

    /// Returns the number of entries by which to divide what all of them share, so that the parts add up to no more
    /// than the whole. Entries that do not hear each other count each other, and one that has just started uses what
    /// the others know.
    #[must_use]
    pub fn sharing_count(&self) -> usize {
        let unheard = self.absent.values().filter(|entry| !entry.heard).count();
        let known = 1 + self.peers.len() + self.absent.len();
        let known = known + unheard * (UNHEARD_SHARES - 1);
        let least = if self.uncounted { UNCOUNTED_ENTRIES } else { 1 };
        known.max(self.running_count()).max(least)
    }

    /// Returns the number of entries that may run, by what this one and those that it hears know.
    fn running_count(&self) -> usize {
        let told = self.peers.values().map(|peer| peer.entries).max();
        let known = 1 + self.peers.len() + self.absent.len();
        known.max(told.unwrap_or(0))
    }

    /// Returns the longest time between two messages of a peer.
    #[must_use]
    pub fn longest_interval(&self) -> Duration {
        let intervals = self.peers.values().map(|peer| peer.interval);
        intervals.max().unwrap_or_default()
    }

    /// Returns the numbers of reachable entries and of those that may run, including this one.
    #[must_use]
    pub fn counts(&self, now: Instant) -> EntryCounts {
        let start = (1, Duration::ZERO);
        let (reachable, delay) = self
            .reachable(now)
            .fold(start, |(count, delay), (_, peer)| {
                (count + 1, delay.max(peer.interval))
            });
        EntryCounts {
            reachable,
            known: self.running_count().max(self.known_count()),
            delay,
        }
    }

    /// Reports whether each entry that the platform lists has sent a message, and at least one has.
    #[must_use]
    pub fn has_heard_all(&self) -> bool {
        !self.unlisted && self.listed.is_empty() && !self.peers.is_empty()
    }

    /// Returns the reachable peers with a configuration after this version, in the order of their ranks.
    #[must_use]
    pub fn with_newer_config(&self, now: Instant, version: u64) -> SmallVec<[&Name; 4]> {
        let peers = self.peers.iter();
        let newer = peers.filter(|(_, peer)| peer.config > version && peer.is_reachable(now));
        let mut ranked: SmallVec<[(u64, &Name); 4]> =
            newer.map(|(name, peer)| (peer.hash, name)).collect();
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, name)| name).collect()
    }

    /// Returns the highest configuration version of any peer, or 0.
    #[must_use]
    pub fn newest_config(&self) -> u64 {
        let versions = self.peers.values().map(|peer| peer.config);
        versions.max().unwrap_or(0)
    }

    /// Returns the reachable peers and their names, in any order.
    pub(crate) fn reachable(&self, now: Instant) -> impl Iterator<Item = (&Name, &Peer)> {
        let peers = self.peers.iter();
        peers.filter(move |(_, peer)| peer.is_reachable(now))
    }

    /// Returns the hashes of the names of the reachable peers in a zone.
    pub fn reachable_in_zone(&self, now: Instant, zone: &Name) -> impl Iterator<Item = u64> {
        let peers = self
            .reachable(now)
            .filter(move |(_, peer)| peer.zone == *zone);
        peers.map(|(_, peer)| peer.hash)
    }

    /// Returns the reachable peers, ordered by the time at which their configuration was last confirmed,
    /// most recent first.
    #[must_use]
    pub fn reachable_entries(&self, now: Instant) -> Vec<Name> {
        let mut names: Vec<(Option<Duration>, &Name)> = self
            .reachable(now)
            .map(|(name, peer)| (peer.confirmed, name))
            .collect();
        names.sort_by(|a, b| b.cmp(a));
        names.into_iter().map(|(_, name)| name.clone()).collect()
    }

    /// Returns the requests that wait at all reachable peers.
    #[must_use]
    pub fn waiting(&self, now: Instant) -> PeerWaiting {
        let mut sums = PeerWaiting::default();
        for (_, peer) in self.reachable(now) {
            sums.add(&peer.waiting);
        }
        sums
    }

    /// Returns the load of each target summed over all reachable peers, by short hash of its name.
    #[must_use]
    pub fn loads(&self, now: Instant) -> HashMap<u32, PeerLoad> {
        let mut sums: HashMap<u32, PeerLoad> = HashMap::new();
        for (_, peer) in self.reachable(now) {
            for load in &peer.loads {
                let sum = sums.entry(load.target).or_default();
                sum.requests += u32::from(load.requests);
                sum.prefill = sum.prefill.saturating_add(load.prefill);
                sum.unhealthy += u32::from(load.unhealthy);
            }
            let recent = now.saturating_duration_since(peer.paces.1) < PACE_MAX_AGE;
            for pace in peer.paces.0.iter().filter(|_| recent) {
                let sum = sums.entry(pace.target).or_default();
                sum.pace += f64::from(pace.pace) * PACE_UNIT_SECONDS;
                sum.paces += 1;
            }
        }
        sums
    }
}

fn millis(time: Duration) -> i64 {
    i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
}

impl Peer {
    pub(crate) fn is_reachable(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_message) < self.interval * REACHABLE_INTERVALS
    }
}
