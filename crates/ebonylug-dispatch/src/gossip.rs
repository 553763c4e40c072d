use std::collections::HashMap;
use std::time::{Duration, Instant};

use ebonylug_admission::CrashLog;
use ebonylug_core::Name;
use ebonylug_moves::Evidence;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::quota::EntryCounts;
use crate::rollout::Stage;
use crate::target::PeerLoad;

/// An entry that was not heard for this many of its pauses is left out of the load of targets and counts
/// as unheard: three messages in a row may be lost.
const HEARD_PAUSES: u32 = 4;
/// An entry that was not heard for this long is gone. Partitions are shorter, mostly.
const KNOWN: Duration = Duration::from_secs(30);

/// Age up to which the paces that an entry told are used; it tells them again each second or so.
const PACES_AGE: Duration = Duration::from_secs(4);

/// The unit of paces in messages, in seconds.
pub(crate) const PACE_UNIT: f64 = 1e-4;

/// Requests of one entry at one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// The short hash of the target's name.
    pub target: u32,
    /// Requests that were sent and have not ended.
    pub requests: u16,
    /// Prompt tokens of those that have produced nothing yet.
    pub prefill: u32,
    /// Whether the entry gives the target nothing but trials, after breaks.
    #[serde(rename = "resting")]
    pub unhealthy: bool,
}

/// The mean time for a unit of work at one target, as one entry measured it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetPace {
    /// The short hash of the target's name.
    pub target: u32,
    /// The time, in tenths of a millisecond.
    pub pace: u16,
}

/// What an entry tells the others, several times per second. Each message states totals, so that a
/// lost one does no harm.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Gossip {
    /// The name of the entry.
    pub entry: Box<str>,
    /// Its availability zone.
    pub zone: Box<str>,
    /// Drawn at each start.
    pub boot: u64,
    /// Rises with each message of a boot.
    pub sequence: u64,
    /// The version of its configuration.
    pub config: u64,
    /// Milliseconds until the next message at the latest.
    #[serde(rename = "pause")]
    pub interval: u32,
    /// The sender's uptime when it sent the message, in milliseconds.
    pub sent: u64,
    /// The uptime of the sender for which its configuration was last known to be current, in
    /// milliseconds.
    pub confirmed: Option<u64>,
    /// Whether it has stopped.
    pub leaving: bool,
    /// Milliseconds since the boot.
    pub age: u32,
    /// The use of quotas. Organisations may be left out.
    pub usage: Vec<Usage>,
    /// Its requests at targets.
    #[serde(rename = "running")]
    pub loads: Vec<TargetLoad>,
    /// The paces that it has measured lately; left out of most messages, since they change slowly and there are
    /// as many as targets.
    pub paces: Vec<TargetPace>,
    /// The moves in force.
    pub moves: Vec<RolloutStatus>,
    /// Its own recent evidence about versions in a move.
    pub evidence: Evidence,
    /// Crashes of targets that it knows; left out of most messages.
    pub crashes: CrashLog,
}

/// The use of one organisation's quota at one entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The short hash of the organisation's name.
    pub organisation: u32,
    /// Tokens used since the boot.
    pub used: u64,
    /// Tokens that the entry takes to be left, of all entries together.
    pub level: i64,
}

/// How far a move is at one entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutStatus {
    /// The service.
    pub service: Box<str>,
    /// The new version.
    pub version: Box<str>,
    /// How far the move is.
    pub stage: Stage,
}

/// What an accepted message changes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PeerUpdate {
    /// Tokens that were used since the last message, by organisation.
    pub used: SmallVec<[(u32, f64); 8]>,
    /// Whether the entry was not known before.
    pub joined: bool,
    /// The version of the sender's configuration, and this entry's uptime for which the sender knew
    /// that it is current.
    pub confirmed: Option<(u64, Duration)>,
}

/// An entry that is not heard any more, or is heard again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerChange {
    /// The entry.
    pub entry: Name,
    /// Whether it is not heard any more.
    pub lost: bool,
    /// Time since its last message.
    pub silent: Duration,
}

#[derive(Debug)]
struct Peer {
    boot: u64,
    sequence: u64,
    config: u64,
    /// The uptime of this entry for which the other one knew that its configuration is current.
    confirmed: Option<Duration>,
    heard: Instant,
    pause: Duration,
    /// Whether [`Peers::take_changes`] has told that the entry is not heard.
    lost: bool,
    /// The least difference between the time of receipt and the time of sending, in milliseconds.
    offset: i64,
    used: HashMap<u32, u64>,
    running: Vec<TargetLoad>,
    /// The paces that it told last, and when.
    paces: (Vec<TargetPace>, Instant),
}

/// What the other entries have told.
#[derive(Debug, Default)]
pub struct Peers {
    peers: HashMap<Name, Peer>,
    /// Entries that the platform's table lists and that were never heard.
    listed: HashMap<Name, Instant>,
}

impl Peers {
    /// Notes an entry that the platform's table lists.
    pub fn add_listed(&mut self, now: Instant, entry: Name) {
        if !self.peers.contains_key(&entry) {
            self.listed.entry(entry).or_insert(now);
        }
    }

    /// Takes in a message that arrived at `uptime`, unless it is older than one of the same boot.
    ///
    /// A message may have waited in a socket while this machine was suspended. The sender's times
    /// are therefore converted by the least difference between sending and receipt so far.
    pub fn receive(
        &mut self,
        now: Instant,
        uptime: Duration,
        gossip: Gossip,
    ) -> Option<PeerUpdate> {
        let entry = Name::new(&gossip.entry);
        self.listed.remove(&entry);
        if gossip.leaving {
            self.peers.remove(&entry);
            return None;
        }
        let known = self.peers.get_mut(&entry);
        let known = known.filter(|peer| peer.boot == gossip.boot);
        if known
            .as_ref()
            .is_some_and(|peer| peer.sequence >= gossip.sequence)
        {
            return None;
        }
        let difference = millis(uptime) - i64::try_from(gossip.sent).unwrap_or(0);
        let offset = known
            .as_ref()
            .map_or(difference, |peer| peer.offset.min(difference));
        let mut news = PeerUpdate {
            joined: known.is_none(),
            confirmed: gossip.confirmed.map(|time| {
                let time = i64::try_from(time).unwrap_or(0);
                let local = time.saturating_add(offset).max(0);
                (gossip.config, Duration::from_millis(local.unsigned_abs()))
            }),
            ..PeerUpdate::default()
        };
        let known_lost = known.as_ref().is_some_and(|peer| peer.lost);
        let (mut used, mut paces) = match known {
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
            let before = used.insert(usage.organisation, usage.used);
            if !news.joined {
                let before = before.unwrap_or(0);
                news.used
                    .push((usage.organisation, usage.used as f64 - before as f64));
            }
        }
        let peer = Peer {
            offset,
            boot: gossip.boot,
            sequence: gossip.sequence,
            config: gossip.config,
            confirmed: news.confirmed.map(|(_, time)| time),
            heard: now,
            pause: Duration::from_millis(u64::from(gossip.interval)),
            lost: known_lost,
            used,
            running: gossip.loads,
            paces,
        };
        self.peers.insert(entry, peer);
        Some(news)
    }

    /// Forgets entries that were not heard for long.
    pub fn expire(&mut self, now: Instant) {
        let recent = |time: Instant| now.saturating_duration_since(time) < KNOWN;
        self.peers.retain(|_, peer| recent(peer.heard));
        self.listed.retain(|_, time| recent(*time));
    }

    /// Returns the entries that are not heard any more, and those that are heard again, since the last
    /// call.
    pub fn take_changes(&mut self, now: Instant) -> SmallVec<[PeerChange; 2]> {
        let mut changes = SmallVec::new();
        for (name, peer) in &mut self.peers {
            let lost = !peer.is_heard(now);
            if lost != peer.lost {
                peer.lost = lost;
                changes.push(PeerChange {
                    entry: name.clone(),
                    lost,
                    silent: now.saturating_duration_since(peer.heard),
                });
            }
        }
        changes
    }

    /// Returns how many entries may be at work, with this one. Unlike [`Peers::counts`], it looks at none of
    /// them, so that each request and message can ask.
    #[must_use]
    pub fn known_count(&self) -> usize {
        self.peers.len() + self.listed.len() + 1
    }

    /// Returns how many entries there are, with this one.
    #[must_use]
    pub fn counts(&self, now: Instant) -> EntryCounts {
        let heard = self.peers.values().filter(|peer| peer.is_heard(now));
        EntryCounts {
            reachable: heard.count() + 1,
            known: self.known_count(),
        }
    }

    /// Returns the highest version of a configuration that another entry has.
    #[must_use]
    pub fn newest_config(&self) -> u64 {
        let versions = self.peers.values().map(|peer| peer.config);
        versions.max().unwrap_or(0)
    }

    /// Returns the entries that are heard, those whose configuration was confirmed last first.
    #[must_use]
    pub fn reachable_entries(&self, now: Instant) -> Vec<Name> {
        let heard = self.peers.iter().filter(|(_, peer)| peer.is_heard(now));
        let mut names: Vec<(Option<Duration>, &Name)> =
            heard.map(|(name, peer)| (peer.confirmed, name)).collect();
        names.sort_by(|a, b| b.cmp(a));
        names.into_iter().map(|(_, name)| name.clone()).collect()
    }

    /// Returns what all other entries say of each target, by hash of its name.
    #[must_use]
    pub fn loads(&self, now: Instant) -> HashMap<u32, PeerLoad> {
        let mut sums: HashMap<u32, PeerLoad> = HashMap::new();
        for peer in self.peers.values().filter(|peer| peer.is_heard(now)) {
            for running in &peer.running {
                let sum = sums.entry(running.target).or_default();
                sum.requests += u32::from(running.requests);
                sum.prefill = sum.prefill.saturating_add(running.prefill);
                sum.unhealthy += u32::from(running.unhealthy);
            }
            let recent = now.saturating_duration_since(peer.paces.1) < PACES_AGE;
            for paced in peer.paces.0.iter().filter(|_| recent) {
                let sum = sums.entry(paced.target).or_default();
                sum.pace += f64::from(paced.pace) * PACE_UNIT;
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
    fn is_heard(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.heard) < self.pause * HEARD_PAUSES
    }
}
