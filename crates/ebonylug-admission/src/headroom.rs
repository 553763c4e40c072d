use std::time::{Duration, Instant};

use ebonylug_core::Tokens;

/// Capacity that batch work leaves free for the next burst of interactive work.
///
/// Interactive work comes in bursts. Without headroom, batch work fills the target between two
/// bursts and is preempted by each, so its prefill is computed repeatedly.
#[derive(Debug)]
pub(crate) struct Headroom {
    half_life: Duration,
    peak: Tokens,
    peak_at: Instant,
}

impl Headroom {
    /// Creates the headroom of a target without interactive work. A half-life of zero disables
    /// it.
    pub(crate) fn new(half_life: Duration, now: Instant) -> Self {
        Headroom {
            half_life,
            peak: Tokens::ZERO,
            peak_at: now,
        }
    }

    /// Records the interactive work that runs inside the target or has been offered to it.
    pub(crate) fn observe(&mut self, now: Instant, interactive: Tokens) {
        if interactive.as_f64() >= self.decayed(now) {
            self.peak = interactive;
            self.peak_at = now;
        }
    }

    /// Returns the tokens to leave free while `interactive` tokens run inside the target.
    pub(crate) fn remaining(&self, now: Instant, interactive: Tokens) -> Tokens {
        Tokens(self.decayed(now) as u64) - interactive
    }

    /// Returns the recorded peak, halved for each half-life since then.
    fn decayed(&self, now: Instant) -> f64 {
        if self.half_life.is_zero() {
            return 0.0;
        }
        let elapsed = now.saturating_duration_since(self.peak_at).as_secs_f64();
        self.peak.as_f64() * (-elapsed / self.half_life.as_secs_f64()).exp2()
    }
}
