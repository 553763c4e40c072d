use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ebonylug_core::Name;

use crate::cold::ColdState;
use crate::health::Health;
use crate::named_limit::NamedLimit;
use crate::overview::TargetOverview;
use crate::reported::ReportedLoad;
use crate::silence::Silence;
use crate::warmth::Warmth;

slotmap::new_key_type! {
    /// Identifies a target in a [`Scheduler`](crate::Scheduler).
    pub struct TargetKey;
}

/// Whether a target accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetState {
    /// Accepts requests.
    Serving,
    /// Is about to stop and gets no new requests.
    Leaving,
}

/// A target as listed by the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The name, which usually changes with each start.
    pub name: Name,
    /// The service that it belongs to.
    pub service: Name,
    /// The address on which it accepts connections.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Name,
    /// The version of its software.
    pub version: Box<str>,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: TargetState,
    /// Remaining time for which it is cold.
    pub cold: Duration,
    /// Start time in milliseconds since the Unix epoch; 0 if unknown.
    pub started_ms: u64,
}

impl Target {
    /// Reports whether all fields except the remaining cold time are equal.
    #[must_use]
    pub fn eq_ignoring_cold(&self, other: &Target) -> bool {
        let cold = other.cold;
        Target {
            cold,
            ..self.clone()
        } == *other
    }
}

/// Weight of a new sample in the moving average of the pace.
const PACE_WEIGHT: f64 = 0.3;
/// Maximum age of a measured pace. By then, the load of the target has changed.
const PACE_MAX_AGE: Duration = Duration::from_secs(4);

/// The scheduler's state of a target.
#[derive(Debug)]
pub(crate) struct TargetRecord {
    pub(crate) info: Target,
    pub(crate) hash: u64,
    /// Whether this entry is the first of its zone to use the target.
    pub(crate) owned: bool,
    /// Requests of this entry in flight.
    pub(crate) requests: u32,
    /// Prompt tokens of this entry's requests that have produced no output yet.
    pub(crate) prefill: u32,
    /// The load that peers report.
    pub(crate) peers: PeerLoad,
    pub(crate) health: Health,
    pub(crate) silence: Silence,
    pub(crate) cold: ColdState,
    pub(crate) warmth: Warmth,
    /// The limit on requests that the target names.
    pub(crate) limit: NamedLimit,
    /// The time until which the target has asked this entry for no requests.
    pub(crate) paused_until: Option<Instant>,
    /// Mean time per unit of work, in seconds; `None` before the first sample.
    pub(crate) pace: Option<f64>,
    /// Time of the last pace sample.
    pub(crate) pace_measured: Option<Instant>,
    /// What the target says about its load.
    pub(crate) reported: ReportedLoad,
}

/// The load of a target, summed over the reports of all reachable peers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PeerLoad {
    /// Requests in flight.
    pub requests: u32,
    /// Prompt tokens of requests that have produced no output yet.
    pub prefill: u32,
    /// Sum of the peers' mean times per unit of work, in seconds.
    pub pace: f64,
    /// Number of peers that report a pace.
    pub paces: u32,
    /// Number of peers that send it only probes, after failures.
    pub unhealthy: u32,
}

impl TargetRecord {
    pub(crate) fn overview(&self, now: Instant, drained: bool) -> TargetOverview {
        let state = match self.info.state {
            TargetState::Leaving => "leaving",
            TargetState::Serving if drained => "drained",
            TargetState::Serving if self.is_paused(now) => "paused",
            TargetState::Serving if self.health.is_unhealthy() || self.health.is_ejected(now) => {
                "resting"
            }
            TargetState::Serving => "serving",
        };
        TargetOverview {
            service: self.info.service.as_str().into(),
            name: self.info.name.as_str().into(),
            zone: self.info.zone.as_str().into(),
            version: self.info.version.clone(),
            state: state.into(),
            own: self.requests,
            all: self.load(),
            slots: self.info.slots,
            reported: self.reported.overview(now),
        }
    }

    pub(crate) fn load(&self) -> u32 {
        self.requests + self.peers.requests
    }

    /// Returns the requests at the target, corrected by its own recent report.
    pub(crate) fn corrected_load(&self, now: Instant) -> u32 {
        self.reported.correct(now, self.requests, self.load())
    }

    /// Returns the slots: the listed ones, or those that the target states if they are fewer or none is listed.
    pub(crate) fn usable_slots(&self) -> u32 {
        let stated = self.reported.slots().unwrap_or(self.info.slots);
        match self.info.slots {
            0 => stated,
            listed => listed.min(stated),
        }
    }

    /// Returns the prompt tokens that the target has yet to process.
    pub(crate) fn backlog(&self) -> u32 {
        self.prefill + self.peers.prefill
    }

    /// Returns the mean time per unit of work over all entries that measured it, in seconds.
    pub(crate) fn shared_pace(&self, now: Instant) -> Option<f64> {
        let own = self.known_pace(now);
        let sum = self.peers.pace + own.unwrap_or(0.0);
        let count = self.peers.paces + u32::from(own.is_some());
        (count > 0).then(|| sum / f64::from(count))
    }

    /// Returns this entry's own measurement: the lasting pace of a target that states its slowness, otherwise
    /// the recent pace.
    pub(crate) fn known_pace(&self, now: Instant) -> Option<f64> {
        match self.reported.slots() {
            Some(_) => self.reported.lasting_pace(now),
            None => self.recent_pace(now),
        }
    }

    /// Returns this entry's own measurement, unless it is older than [`PACE_MAX_AGE`].
    fn recent_pace(&self, now: Instant) -> Option<f64> {
        let time = self.pace_measured?;
        self.pace
            .filter(|_| now.saturating_duration_since(time) < PACE_MAX_AGE)
    }

    pub(crate) fn record_pace(&mut self, now: Instant, pace: f64) {
        self.reported.record_pace(now, pace);
        self.pace_measured = Some(now);
        let mean = self.pace.get_or_insert(pace);
        *mean += (pace - *mean) * PACE_WEIGHT;
    }

    /// Reports whether the target has asked this entry for no requests now.
    pub(crate) fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Reports whether the target may get a request now, apart from its load, if `entries` share it. This
    /// entry's own evidence takes precedence over peers that report the target as unhealthy.
    pub(crate) fn accepts_requests(&self, now: Instant, entries: usize) -> bool {
        let own_evidence = self.health.is_unhealthy() || self.health.responded_recently(now);
        let available = !self.health.is_ejected(now) && (own_evidence || self.peers.unhealthy == 0);
        let probe_allowed = !self.health.is_unhealthy() || self.requests == 0;
        let cold = self.cold.rate;
        let warm = cold.is_none_or(|cold| cold.allows_send(now, entries))
            && self.warmth.allows_send(now, entries);
        let within_limit = self.limit.allows_send(now, entries) && !self.is_paused(now);
        self.info.state == TargetState::Serving
            && available
            && probe_allowed
            && warm
            && within_limit
    }
}
