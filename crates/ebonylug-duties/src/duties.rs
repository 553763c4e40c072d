use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use ebonylug_core::{Fingerprint, Name};

use crate::counts::Counts;
use crate::note::{Note, Told};
use crate::time::{Differences, SharedClock, TrueTime, millis};

/// Time after the end of a window before which it is not reported, so that answers of engines that are on
/// their way to the entries and small differences of clocks do no harm.
const SETTLE: Duration = Duration::from_millis(1_000);
/// Time before the bound of a report at which it is no longer created. It covers the write and a call.
const RESERVE: Duration = Duration::from_millis(1_000);
/// Part of the time until a report is due for which counts that have not been told are awaited. The rest
/// suffices for the loss of a holder (`lease_ms` and about a second) at the usual bounds.
const PATIENCE: f64 = 0.55;
/// Part of the expected counts from which on a window is left out rather than reported without them. The
/// side of a partition that has less than half of the load must not report.
const MAX_UNTOLD: f64 = 0.5;
/// Number of windows after the bound for which counts are kept.
const SPARE_WINDOWS: u64 = 2;
/// Number of reports whose hashes are kept. Copies of the store are some seconds old.
const MAX_DIGESTS: usize = 32;
/// Number of hashes in a message.
const TOLD_DIGESTS: usize = 8;

/// The settings of the usage reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Length of a window.
    pub window: Duration,
    /// Time from the end of a window until its report is due.
    pub late: Duration,
    /// Whether other entries may have run before this one, so that windows before its start are unknown.
    pub resuming: bool,
}

/// Whether the report of a window can be created.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Readiness {
    /// The window has not ended, or counts may still be told.
    Wait,
    /// The counts are complete, or all that will be known in time. `untold` is the part of the expected
    /// counts that is missing.
    Ready {
        /// Part of the expected counts that is missing.
        untold: f64,
    },
    /// The window can't be reported within its bound, for this reason.
    LeftOut(&'static str),
}

/// What another entry last told.
#[derive(Clone, Copy, Debug)]
struct Peer {
    boot: u64,
    /// Time of day minus steady time, in milliseconds.
    difference: Option<i64>,
    since: u64,
    holds: bool,
}

/// The counts and the time of one entry.
#[derive(Clone, Debug)]
pub struct Duties {
    settings: Settings,
    name: Name,
    boot: u64,
    clock: SharedClock,
    time: TrueTime,
    difference: Option<i64>,
    counts: Counts,
    peers: HashMap<Name, Peer>,
    /// The peers that were reachable at the last tick, in order.
    reachable: Vec<Name>,
    /// The window of the last tick; 0 before the first one.
    current: u64,
    /// The uptime at the first tick. The window of the start is derived from it again as the estimate of
    /// true time improves.
    started: Option<Duration>,
    reported: u64,
    /// Hashes of the reports, by window, as this entry or another one first knew them.
    digests: BTreeMap<u64, u64>,
    stopped: bool,
}

impl Duties {
    /// Creates the state of an entry that starts. `boot` differs between its starts.
    #[must_use]
    pub fn new(settings: Settings, name: Name, boot: u64) -> Self {
        Duties {
            settings,
            name,
            boot,
            clock: SharedClock::default(),
            time: TrueTime::default(),
            difference: None,
            counts: Counts::default(),
            peers: HashMap::new(),
            reachable: Vec::new(),
            current: 0,
            started: None,
            reported: 0,
            digests: BTreeMap::new(),
            stopped: false,
        }
    }

    /// Returns the settings.
    #[must_use]
    pub fn settings(&self) -> Settings {
        self.settings
    }

    /// Adds the steady time in an answer of the store that arrived at `uptime`.
    pub fn set_steady(&mut self, uptime: Duration, steady: Duration) {
        self.clock.sample(uptime, steady);
    }

    /// Updates the true time and the current window. To be called several times per second. Returns
    /// whether a window has ended since the last call.
    pub fn tick(&mut self, uptime: Duration, wall: Duration, reachable: Vec<Name>) -> bool {
        self.reachable = reachable;
        self.reachable.sort_unstable();
        self.started.get_or_insert(uptime);
        let steady = self.clock.at(uptime);
        self.difference = steady.map(|steady| millis(wall) - steady);
        let mut differences: Differences = self.difference.into_iter().collect();
        let peers = self
            .reachable
            .iter()
            .filter_map(|name| self.peers.get(name));
        differences.extend(peers.filter_map(|peer| peer.difference));
        self.time = steady
            .and_then(|steady| TrueTime::by_median(uptime, steady, &mut differences))
            .unwrap_or_else(|| TrueTime::by_wall(uptime, wall));
        let before = self.current;
        self.advance(uptime);
        let oldest = self.current.saturating_sub(self.kept());
        self.counts.expire(oldest);
        let reachable = &self.reachable;
        self.peers
            .retain(|name, _| reachable.binary_search(name).is_ok());
        self.current != before
    }

    /// Sets the current window. It does not go back by one, because counts of the previous window are
    /// final; it goes back further if the time was wrong.
    fn advance(&mut self, uptime: Duration) {
        let now = self.window_at(self.time.at(uptime));
        if now > self.current || now + 1 < self.current {
            self.current = now;
        }
        let through = if self.stopped { u64::MAX } else { self.current };
        self.counts.finish(&self.name, self.boot, through);
    }

    /// Returns the true time of day since 1970.
    #[must_use]
    pub fn true_time(&self, uptime: Duration) -> Duration {
        self.time.at(uptime)
    }

    /// Counts a request of an organisation, given by its short hash, that an engine begins now.
    pub fn count(&mut self, uptime: Duration, organisation: u32) {
        self.advance(uptime);
        let window = self.current;
        self.counts.add(&self.name, self.boot, window, organisation);
    }

    /// Marks this entry's counts as final, because it has stopped.
    pub fn stop(&mut self) {
        self.stopped = true;
        self.counts.finish(&self.name, self.boot, u64::MAX);
    }

    /// Returns what this entry tells others. `counts` includes its counts.
    #[must_use]
    pub fn note(&self, uptime: Duration, wall: Duration, holds: bool, counts: bool) -> Note {
        let told = || {
            let reports = self.digests.iter().rev().take(TOLD_DIGESTS);
            Told {
                reports: reports.map(|(window, digest)| (*window, *digest)).collect(),
                ..self.counts.told(&self.name, self.boot, self.reported)
            }
        };
        Note {
            steady: self.clock.at(uptime).and_then(|time| time.try_into().ok()),
            wall: millis(wall).unsigned_abs(),
            since: self.since(),
            reported: self.reported,
            holds,
            told: counts.then(told),
        }
    }

    /// Applies what another entry told.
    pub fn receive(&mut self, uptime: Duration, entry: &Name, boot: u64, note: &Note) {
        let steady = note.steady.and_then(|time| i64::try_from(time).ok());
        if let Some(steady) = steady {
            // The sender's estimate is delayed like an answer of the store.
            self.clock
                .sample(uptime, Duration::from_millis(steady.unsigned_abs()));
        }
        let wall = i64::try_from(note.wall).unwrap_or(i64::MAX);
        let peer = Peer {
            boot,
            difference: steady.map(|steady| wall.saturating_sub(steady)),
            since: note.since,
            holds: note.holds,
        };
        self.peers.insert(entry.clone(), peer);
        self.reported = self.reported.max(note.reported);
        if let Some(told) = &note.told {
            for (window, digest) in &told.reports {
                self.is_first_digest(*window, *digest);
            }
            self.counts.merge(entry, boot, self.current, told);
        }
    }

    /// Records a report that the store has. Returns `false` if a window is known to have another one. A store that
    /// came back from an older copy may have a late write of an earlier holder.
    pub(crate) fn record_report(&mut self, window: u64, body: &str) -> bool {
        self.is_first_digest(window, Fingerprint::of(body.as_bytes()).0)
    }

    /// Keeps a hash if there is none for its window. Returns whether the kept one is the same.
    fn is_first_digest(&mut self, window: u64, digest: u64) -> bool {
        let is_same = *self.digests.entry(window).or_insert(digest) == digest;
        while self.digests.len() > MAX_DIGESTS {
            self.digests.pop_first();
        }
        is_same
    }

    /// Records that a window has a report.
    pub fn set_reported(&mut self, window: u64) {
        self.reported = self.reported.max(window);
    }

    /// Returns the highest window known to have a report; 0 if none.
    #[must_use]
    pub fn reported(&self) -> u64 {
        self.reported
    }

    /// Returns the current window.
    #[must_use]
    pub fn current(&self) -> u64 {
        self.current
    }

    /// Returns the peer that told last that it holds the duties, if one did.
    #[must_use]
    pub fn holder(&self) -> Option<&Name> {
        self.peers
            .iter()
            .find(|(_, peer)| peer.holds)
            .map(|(name, _)| name)
    }

    /// Returns the first window that may still get a report.
    #[must_use]
    pub fn next_window(&self, uptime: Duration) -> u64 {
        let now = self.true_time(uptime);
        let bound = self.settings.late.saturating_sub(RESERVE);
        let oldest = self.window_at(now.saturating_sub(bound));
        let first = match self.reported {
            0 => self
                .counts
                .first()
                .map_or(self.first(), |first| first.min(self.first())),
            reported => reported + 1,
        };
        first.max(oldest)
    }

    /// Decides whether a window can be reported.
    #[must_use]
    pub fn readiness(&self, uptime: Duration, window: u64) -> Readiness {
        let now = self.true_time(uptime);
        let end = self.end_of(window);
        if window >= self.current || now < end + SETTLE {
            return Readiness::Wait;
        }
        if now + RESERVE >= end + self.settings.late {
            return Readiness::LeftOut("too late");
        }
        let untold = self.counts.untold(window);
        let told = |name: &Name| {
            let peer = self.peers.get(name);
            peer.is_some_and(|peer| self.counts.is_told(name, peer.boot, window))
        };
        let known = self.is_known(window);
        if known && untold == 0.0 && self.reachable.iter().all(told) {
            return Readiness::Ready { untold };
        }
        if now < end + self.settings.late.mul_f64(PATIENCE) {
            return Readiness::Wait;
        }
        if !known {
            return Readiness::LeftOut("no entry has run since its start");
        }
        if untold > MAX_UNTOLD {
            return Readiness::LeftOut("too many counts are missing");
        }
        Readiness::Ready { untold }
    }

    /// Returns the unreachable entries whose counts an ended window waits for, with their boots.
    #[must_use]
    pub fn silent(&self, uptime: Duration, window: u64) -> Vec<(Name, u64)> {
        if self.readiness(uptime, window) != Readiness::Wait
            || self.true_time(uptime) < self.end_of(window) + SETTLE
        {
            return Vec::new();
        }
        let silent = self.counts.silent(window).into_iter();
        silent
            .filter(|(name, _)| self.reachable.binary_search(name).is_err())
            .collect()
    }

    /// Records that a start of an entry is certain to have ended, so that its last counts are final.
    pub fn end_boot(&mut self, entry: &Name, boot: u64) {
        self.counts.finish(entry, boot, u64::MAX);
    }

    /// Reports whether this entry, or one that it hears, has run since the start of a window. If all
    /// entries were killed, their counts are lost.
    fn is_known(&self, window: u64) -> bool {
        let peers = self
            .reachable
            .iter()
            .filter_map(|name| self.peers.get(name));
        peers
            .map(|peer| peer.since)
            .chain([self.since()])
            .any(|since| since <= window)
    }

    /// Returns the requests of a window by short hash of the organisation's name.
    #[must_use]
    pub fn sum(&self, window: u64) -> BTreeMap<u32, u64> {
        self.counts.sum(window)
    }

    /// Returns the end of a window, since 1970.
    #[must_use]
    pub fn end_of(&self, window: u64) -> Duration {
        let millis = self
            .window_millis()
            .saturating_mul(window.saturating_add(1));
        Duration::from_millis(millis)
    }

    /// Returns the first window in which this entry ran.
    fn first(&self) -> u64 {
        self.started
            .map_or(0, |started| self.window_at(self.time.at(started)))
    }

    /// Returns the first window that this entry knows from its start.
    fn since(&self) -> u64 {
        if self.settings.resuming {
            self.first() + 1
        } else {
            0
        }
    }

    /// Returns the number of windows before the current one whose counts are kept.
    fn kept(&self) -> u64 {
        let late = millis(self.settings.late).unsigned_abs();
        late.div_ceil(self.window_millis()) + SPARE_WINDOWS
    }

    fn window_at(&self, time: Duration) -> u64 {
        millis(time).unsigned_abs() / self.window_millis()
    }

    fn window_millis(&self) -> u64 {
        millis(self.settings.window).unsigned_abs().max(1)
    }
}
