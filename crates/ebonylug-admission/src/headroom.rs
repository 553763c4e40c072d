use std::time::{Duration, Instant};

use ebonylug_core::Tokens;

/// Room that batch work leaves to the interactive work of the next seconds.
///
/// Interactive work comes in bursts. Without this room, batch work fills the target between two
/// bursts and is preempted by each, and its prefill is computed again and again.
#[derive(Debug)]
pub(crate) struct Headroom {
    half_life: Duration,
    peak: Tokens,
    at: Instant,
}

impl Headroom {
    /// Creates the headroom of a target without interactive work. It stays empty if the half-life
    /// is zero.
    pub(crate) fn new(half_life: Duration, now: Instant) -> Self {
        Headroom {
            half_life,
            peak: Tokens::ZERO,
            at: now,
        }
    }

    /// Notes the interactive work that is inside the target, or asks to be.
    pub(crate) fn observe(&mut self, now: Instant, interactive: Tokens) {
        if interactive.as_f64() >= self.decayed(now) {
            self.peak = interactive;
            self.at = now;
        }
    }

    /// Returns the room to leave when `interactive` work is inside the target.
    pub(crate) fn spare(&self, now: Instant, interactive: Tokens) -> Tokens {
        Tokens(self.decayed(now) as u64) - interactive
    }

    /// Returns the highest work that was noted, halved for each half-life since then.
    fn decayed(&self, now: Instant) -> f64 {
        if self.half_life.is_zero() {
            return 0.0;
        }
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.peak.as_f64() * (-passed / self.half_life.as_secs_f64()).exp2()
    }
}
