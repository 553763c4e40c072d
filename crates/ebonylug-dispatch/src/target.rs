use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ebonylug_core::Name;

use crate::cold::ColdRate;
use crate::health::Health;
use crate::overview::TargetOverview;

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
    pub started_ms: u64,
}

impl Target {
    /// Reports whether nothing but the time that it stays cold has changed.
    #[must_use]
    pub fn eq_ignoring_cold(&self, other: &Target) -> bool {
        let cold = other.cold;
        Target {
            cold,
            ..self.clone()
        } == *other
    }
}

/// Weight of a new sample in the average pace.
const PACE_WEIGHT: f64 = 0.3;
/// Age at which a measured pace is not used any more: a target's load has changed since.
const PACE_AGE: Duration = Duration::from_secs(4);

/// What the scheduler knows of a target.
#[derive(Debug)]
pub(crate) struct Known {
    pub(crate) info: Target,
    pub(crate) hash: u64,
    /// Requests of this entry that were sent and have not ended.
    pub(crate) own: u32,
    /// Prompt tokens of those that have produced nothing yet.
    pub(crate) prefill: u32,
    /// What all other entries say of this target.
    pub(crate) others: PeerLoad,
    pub(crate) health: Health,
    pub(crate) cold: Option<ColdRate>,
    /// Mean time for each unit of work, in seconds; `None` before the first sample.
    pub(crate) pace: Option<f64>,
    /// When the pace was last measured.
    pub(crate) paced: Option<Instant>,
}

/// What all other entries say of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PeerLoad {
    /// Their requests that were sent and have not ended.
    pub requests: u32,
    /// Prompt tokens of those that have produced nothing yet.
    pub prefill: u32,
    /// The sum of their mean times for a unit of work, in seconds.
    pub pace: f64,
    /// How many of them know a pace.
    pub paces: u32,
    /// How many of them give it nothing but trials, after breaks.
    pub unhealthy: u32,
}

impl Known {
    pub(crate) fn overview(&self, now: Instant, drained: bool) -> TargetOverview {
        let state = match self.info.state {
            TargetState::Leaving => "leaving",
            TargetState::Serving if drained => "drained",
            TargetState::Serving if self.health.on_trial() || self.health.rests(now) => "resting",
            TargetState::Serving => "serving",
        };
        TargetOverview {
            service: self.info.service.as_str().into(),
            name: self.info.name.as_str().into(),
            zone: self.info.zone.as_str().into(),
            version: self.info.version.clone(),
            state: state.into(),
            own: self.own,
            all: self.load(),
            slots: self.info.slots,
        }
    }

    pub(crate) fn load(&self) -> u32 {
        self.own + self.others.requests
    }

    /// Returns the prompt tokens that the target has to read.
    pub(crate) fn backlog(&self) -> u32 {
        self.prefill + self.others.prefill
    }

    /// Returns the time for each unit of work, as all entries measured it.
    pub(crate) fn shared_pace(&self, now: Instant) -> Option<f64> {
        let own = self.recent_pace(now);
        let sum = self.others.pace + own.unwrap_or(0.0);
        let count = self.others.paces + u32::from(own.is_some());
        (count > 0).then(|| sum / f64::from(count))
    }

    /// Returns this entry's own measure, unless it is old.
    pub(crate) fn recent_pace(&self, now: Instant) -> Option<f64> {
        let time = self.paced?;
        self.pace
            .filter(|_| now.saturating_duration_since(time) < PACE_AGE)
    }

    pub(crate) fn learn(&mut self, now: Instant, pace: f64) {
        self.paced = Some(now);
        let mean = self.pace.get_or_insert(pace);
        *mean += (pace - *mean) * PACE_WEIGHT;
    }

    pub(crate) fn is_open(&self, now: Instant) -> bool {
        let own = self.health.on_trial() || self.health.has_answered(now);
        let awake = !self.health.rests(now) && (own || self.others.unhealthy == 0);
        let alone = !self.health.on_trial() || self.own == 0;
        let warm = self.cold.is_none_or(|cold| cold.is_open(now));
        self.info.state == TargetState::Serving && awake && alone && warm
    }
}
