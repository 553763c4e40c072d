use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ebonylug_core::Name;

use crate::cold::ColdRate;
use crate::health::Health;

slotmap::new_key_type! {
    /// The key of a target in a [`Scheduler`](crate::Scheduler).
    pub struct TargetKey;
}

/// Whether a target takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetState {
    /// It does.
    Serving,
    /// It is about to stop.
    Leaving,
}

/// A target as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The name, new with most starts.
    pub name: Name,
    /// The service that it belongs to.
    pub service: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Name,
    /// The version of its software.
    pub version: Box<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: TargetState,
    /// How much longer it is cold.
    pub cold: Duration,
    /// When it started, in milliseconds since the Unix epoch; 0 if not known.
    pub born: u64,
}

/// Weight of a new sample in the average pace.
const PACE_WEIGHT: f64 = 0.1;

/// What the scheduler knows of a target.
#[derive(Debug)]
pub(crate) struct Known {
    pub(crate) info: Target,
    pub(crate) hash: u64,
    /// Requests of this entry that were sent and have not ended.
    pub(crate) own: u32,
    /// The same of all other entries.
    pub(crate) others: u32,
    pub(crate) health: Health,
    pub(crate) cold: Option<ColdRate>,
    /// Mean time for each unit of work, in seconds; `None` before the first sample.
    pub(crate) pace: Option<f64>,
}

impl Known {
    pub(crate) fn load(&self) -> u32 {
        self.own + self.others
    }

    pub(crate) fn learn(&mut self, pace: f64) {
        let mean = self.pace.get_or_insert(pace);
        *mean += (pace - *mean) * PACE_WEIGHT;
    }

    pub(crate) fn is_open(&self, now: Instant) -> bool {
        let awake = !self.health.rests(now);
        let alone = !self.health.on_trial() || self.own == 0;
        let warm = self.cold.is_none_or(|cold| cold.is_open(now));
        self.info.state == TargetState::Serving && awake && alone && warm
    }
}
