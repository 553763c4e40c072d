use std::time::{Duration, Instant};

use ebonylug_core::{Class, Revision};
use serde::{Deserialize, Serialize};

use crate::{Settings, ZoneShare};

/// The state of an availability zone, as this process sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ZoneState {
    /// The zone gets new work.
    Open,
    /// The zone has returned and gets more and more work.
    #[serde(rename = "returning")]
    Recovering,
    /// Most targets of the zone are silent.
    #[serde(rename = "dark")]
    Unreachable,
    /// Operators have taken the zone out of service.
    Drained,
}

/// The longest return is this many times the shortest.
const MAX_DELAY: u32 = 4;

#[derive(Clone, Debug, Default)]
pub(crate) struct Zone {
    pub drained: bool,
    /// Revision of the last accepted drain or restore.
    pub revision: Option<Revision>,
    pub dark: Option<Instant>,
    /// When the zone returned, until the return is complete.
    pub back: Option<Instant>,
    /// When the zone was last lost.
    pub lost: Option<Instant>,
    /// Multiplies the time of the return; it doubles when the zone is lost again soon.
    pub delay: u32,
    /// Until when batch work is little because a related zone is dark.
    pub caution: Option<Instant>,
}

impl Zone {
    pub(crate) fn state(&self) -> ZoneState {
        if self.drained {
            ZoneState::Drained
        } else if self.dark.is_some() {
            ZoneState::Unreachable
        } else if self.back.is_some() {
            ZoneState::Recovering
        } else {
            ZoneState::Open
        }
    }

    pub(crate) fn is_missing(&self) -> bool {
        self.drained || self.dark.is_some()
    }

    /// Notes that the zone gets no work from `now` on.
    pub(crate) fn lose(&mut self, now: Instant, settings: &Settings) {
        let soon = |lost| now.saturating_duration_since(lost) < settings.flap_window;
        self.delay = if self.lost.is_some_and(soon) {
            (self.delay * 2).min(MAX_DELAY)
        } else {
            1
        };
        self.lost = Some(now);
        self.back = None;
    }

    /// Notes that the zone may get work again from `now` on.
    pub(crate) fn give_back(&mut self, now: Instant) {
        if !self.is_missing() {
            self.back = Some(now);
        }
    }

    /// Ends the return when it is complete.
    pub(crate) fn settle(&mut self, now: Instant, settings: &Settings) {
        let length = self.length(settings, Class::Batch);
        let complete = |back| now.saturating_duration_since(back) >= length;
        if self.back.is_some_and(complete) {
            self.back = None;
        }
        if self.caution.is_some_and(|end| now >= end) {
            self.caution = None;
        }
    }

    /// Returns the share that the zone's own state permits.
    pub(crate) fn share(&self, now: Instant, class: Class, settings: &Settings) -> ZoneShare {
        if self.is_missing() {
            return ZoneShare::NONE;
        }
        let mut factor = match self.back {
            Some(back) => self.risen(now, back, class, settings),
            None => 1.0,
        };
        let cautious = self.caution.is_some_and(|end| now < end);
        if cautious && class == Class::Batch {
            factor = factor.min(settings.throttle_share);
        }
        ZoneShare::new(factor)
    }

    /// Rises from `first` to 1. Batch work starts when interactive work has returned by half,
    /// and takes as long again.
    fn risen(&self, now: Instant, back: Instant, class: Class, settings: &Settings) -> f64 {
        let passed = now.saturating_duration_since(back);
        let ramp = self.length(settings, Class::Interactive);
        let part = |passed: Duration| {
            if ramp.is_zero() {
                return 1.0;
            }
            passed.as_secs_f64() / ramp.as_secs_f64()
        };
        match class {
            Class::Interactive => {
                settings.initial_share + (1.0 - settings.initial_share) * part(passed)
            }
            Class::Batch if passed < ramp / 2 => 0.0,
            Class::Batch => part(passed - ramp / 2),
        }
    }

    fn length(&self, settings: &Settings, class: Class) -> Duration {
        let ramp = settings.ramp * self.delay.max(1);
        match class {
            Class::Interactive => ramp,
            Class::Batch => ramp + ramp / 2,
        }
    }
}
