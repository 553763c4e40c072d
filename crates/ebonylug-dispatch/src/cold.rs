use std::time::{Duration, Instant};

use crate::shared_rate::SharedRate;
use crate::target::Target;

/// How an entry has learned that a target is or may be cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdSource {
    /// The row of the target.
    Row,
    /// A response of the target to this entry.
    Response,
    /// A message of another entry.
    Peer,
    /// The target answers again after an outage.
    Outage,
    /// Its availability zone is no longer drained.
    Zone,
}

impl ColdSource {
    /// Returns the name used in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            ColdSource::Row => "row",
            ColdSource::Response => "response",
            ColdSource::Peer => "peer",
            ColdSource::Outage => "outage",
            ColdSource::Zone => "zone",
        }
    }
}

/// A target that counts as cold from now on.
#[derive(Clone, Debug)]
pub struct ColdChange {
    /// The target.
    pub target: Target,
    /// How this entry has learned of it.
    pub source: ColdSource,
    /// Time until the target is warm.
    pub left: Duration,
}

/// What an entry knows of a target's being cold. It applies to one start of the target and ends with its time or
/// the next start, and not with the row of the target.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ColdState {
    /// The latest start of the target, in milliseconds since the Unix epoch.
    started_ms: u64,
    /// This entry's share of the rate.
    pub(crate) rate: Option<ColdRate>,
    /// The time until which the target is or may be cold, also while no rate for cold targets is known.
    pub(crate) until: Option<Instant>,
    /// The time until which the target is cold by its own responses to this entry.
    pub(crate) reported: Option<Instant>,
    /// The time until which the target may be cold, since it has come back from an outage.
    pub(crate) restored: Option<Instant>,
}

impl ColdState {
    /// Creates the state of a start of which nothing is known.
    pub(crate) fn new(started_ms: u64) -> Self {
        ColdState {
            started_ms,
            ..ColdState::default()
        }
    }

    /// Applies a row of the target. Only that of a later start ends what is known.
    pub(crate) fn begin(&mut self, started_ms: u64) {
        if self.ends_with(started_ms) {
            *self = ColdState {
                rate: self.rate,
                ..ColdState::new(started_ms)
            };
        }
    }

    /// Records that the target is cold until a time by its response to this entry.
    pub(crate) fn report(&mut self, until: Instant) {
        self.reported = Some(until);
        self.until = self.until.max(Some(until));
    }

    /// Reports whether `started_ms` is a later start of the target, to which nothing of this applies.
    pub(crate) fn ends_with(&self, started_ms: u64) -> bool {
        started_ms > self.started_ms
    }

    /// Reports whether the target is or may be cold.
    pub(crate) fn is_cold(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }
}

/// Rate limit of one entry for one cold target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ColdRate {
    until: Instant,
    rate: SharedRate,
}

impl ColdRate {
    /// Limits sends until `until` to an equal share of `rate` requests per second among the entries.
    /// `phase` is that of [`SharedRate::new`].
    pub(crate) fn new(now: Instant, until: Instant, rate: f64, phase: f64) -> Option<Self> {
        if rate <= 0.0 || until <= now {
            return None;
        }
        Some(ColdRate {
            until,
            rate: SharedRate::new(now, rate, phase),
        })
    }

    /// Returns the time at which the limit ends.
    pub(crate) fn until(&self) -> Instant {
        self.until
    }

    pub(crate) fn extend(&mut self, until: Instant) {
        self.until = self.until.max(until);
    }

    /// Changes the rate of requests per second of all entries.
    pub(crate) fn set_rate(&mut self, now: Instant, rate: f64, entries: usize) {
        self.rate.set_rate(now, rate, entries);
    }

    /// Applies the time so far, as [`SharedRate::settle`] does.
    pub(crate) fn settle(&mut self, now: Instant, entries: usize) {
        self.rate.settle(now, entries);
    }

    /// Reports whether this entry may send a request now, if `entries` share the rate. Shares are not saved up: when a
    /// target can be used again, all entries would use theirs at once.
    pub(crate) fn allows_send(&self, now: Instant, entries: usize) -> bool {
        now >= self.until || self.rate.allows_send(now, entries)
    }

    pub(crate) fn record_send(&mut self, now: Instant) {
        self.rate.record_send(now);
    }
}
