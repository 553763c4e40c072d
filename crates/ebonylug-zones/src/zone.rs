use std::time::{Duration, Instant};

use ebonylug_core::{Class, Revision};
use serde::{Deserialize, Serialize};

use crate::{Settings, ZoneShare};

/// State of an availability zone from the point of view of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ZoneState {
    /// The zone gets its full share of new work.
    Open,
    /// The zone is available again, and its share rises gradually.
    #[serde(rename = "returning")]
    Recovering,
    /// Most targets of the zone have stopped reporting.
    #[serde(rename = "dark")]
    Unreachable,
    /// Operators have taken the zone out of service.
    Drained,
}

/// Upper bound of [`Zone::ramp_factor`].
const MAX_RAMP_FACTOR: u32 = 4;

#[derive(Clone, Debug, Default)]
pub(crate) struct Zone {
    pub drained: bool,
    /// Revision of the last accepted drain or restore.
    pub revision: Option<Revision>,
    /// When the zone was found unreachable; `None` while it is reachable.
    pub unreachable_since: Option<Instant>,
    /// Start of the ramp, until the ramp is complete.
    pub recovering_since: Option<Instant>,
    /// When the zone last became unavailable.
    pub last_loss: Option<Instant>,
    /// Multiplier of the ramp time. Doubles when the zone is lost again within the flap window.
    pub ramp_factor: u32,
    /// Until when batch work is throttled because a correlated zone is unreachable.
    pub throttled_until: Option<Instant>,
}

impl Zone {
    pub(crate) fn state(&self) -> ZoneState {
        if self.drained {
            ZoneState::Drained
        } else if self.unreachable_since.is_some() {
            ZoneState::Unreachable
        } else if self.recovering_since.is_some() {
            ZoneState::Recovering
        } else {
            ZoneState::Open
        }
    }

    pub(crate) fn is_unavailable(&self) -> bool {
        self.drained || self.unreachable_since.is_some()
    }

    /// Records the loss of the zone and cancels its ramp.
    pub(crate) fn mark_lost(&mut self, now: Instant, settings: &Settings) {
        let soon = |loss| now.saturating_duration_since(loss) < settings.flap_window;
        self.ramp_factor = if self.last_loss.is_some_and(soon) {
            (self.ramp_factor * 2).min(MAX_RAMP_FACTOR)
        } else {
            1
        };
        self.last_loss = Some(now);
        self.recovering_since = None;
    }

    /// Starts the ramp, unless the zone is still unavailable for another reason.
    pub(crate) fn start_recovery(&mut self, now: Instant) {
        if !self.is_unavailable() {
            self.recovering_since = Some(now);
        }
    }

    /// Ends a ramp that is complete and a throttling period that has passed.
    pub(crate) fn expire_timers(&mut self, now: Instant, settings: &Settings) {
        let duration = self.ramp_time(settings, Class::Batch);
        let complete = |start| now.saturating_duration_since(start) >= duration;
        if self.recovering_since.is_some_and(complete) {
            self.recovering_since = None;
        }
        if self.throttled_until.is_some_and(|end| now >= end) {
            self.throttled_until = None;
        }
    }

    /// Returns the share of the zone before the reduction of batch work for lost zones.
    pub(crate) fn share(&self, now: Instant, class: Class, settings: &Settings) -> ZoneShare {
        if self.is_unavailable() {
            return ZoneShare::NONE;
        }
        let mut factor = match self.recovering_since {
            Some(start) => self.ramp_share(now, start, class, settings),
            None => 1.0,
        };
        let throttled = self.throttled_until.is_some_and(|end| now < end);
        if throttled && class == Class::Batch {
            factor = factor.min(settings.throttle_share);
        }
        ZoneShare::new(factor)
    }

    /// Returns the share during the ramp. The interactive share rises linearly from `initial_share`
    /// to 1. The batch share starts to rise halfway through that time, and takes as long.
    fn ramp_share(&self, now: Instant, start: Instant, class: Class, settings: &Settings) -> f64 {
        let elapsed = now.saturating_duration_since(start);
        let ramp = self.ramp_time(settings, Class::Interactive);
        let fraction = |elapsed: Duration| {
            if ramp.is_zero() {
                return 1.0;
            }
            elapsed.as_secs_f64() / ramp.as_secs_f64()
        };
        match class {
            Class::Interactive => {
                settings.initial_share + (1.0 - settings.initial_share) * fraction(elapsed)
            }
            Class::Batch if elapsed < ramp / 2 => 0.0,
            Class::Batch => fraction(elapsed - ramp / 2),
        }
    }

    /// Returns the time until the share of a class is full.
    fn ramp_time(&self, settings: &Settings, class: Class) -> Duration {
        let ramp = settings.ramp * self.ramp_factor.max(1);
        match class {
            Class::Interactive => ramp,
            Class::Batch => ramp + ramp / 2,
        }
    }
}
