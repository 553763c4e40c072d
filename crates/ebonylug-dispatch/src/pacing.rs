//! How fast one entry sends requests to a service whose targets are nearly full.
//!
//! Entries hear of each other's requests late. While many slots are free this does little harm. When
//! few are free, every entry sees the same few slots, and all of them together send many times more
//! requests than fit; these wait inside the targets, where urgent ones cannot overtake them. On a site
//! with 103 entries and 180 engines of six slots, up to 1,000 requests were sent before anyone heard of
//! them, and quotations waited 1.3 s behind them.
//!
//! Each entry therefore sends at no more than its share of the rate at which slots become free, and of
//! the slots that are free now. Urgent requests are not held back, but use up the share.

use std::time::{Duration, Instant};

/// Time constant of the averages of sends and of requests in flight.
const AVERAGE_TIME: Duration = Duration::from_secs(2);
/// Time that a request holds a slot, while this entry has seen none.
const DEFAULT_HOLD_SECONDS: f64 = 0.5;
/// Free slots that an entry may use before it hears of the others, as a multiple of its equal share.
const FREE_SHARES: f64 = 1.0;
/// The shortest delay between entries that is assumed.
const MIN_DELAY: Duration = Duration::from_millis(100);

/// What an entry knows of the targets of a service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServiceLoad {
    /// Slots that are not in use.
    pub(crate) free: u32,
    /// Slots in use.
    pub(crate) busy: u32,
    /// Slots that stay free for more urgent requests.
    pub(crate) reserved: f64,
    /// Entries that share the targets.
    pub(crate) entries: usize,
    /// Time until what one entry sends is known to the others.
    pub(crate) delay: Duration,
}

/// The rate at which one entry sends requests to one service.
#[derive(Clone, Debug)]
pub(crate) struct Pacer {
    /// Requests that may be sent now. Negative after urgent ones.
    allowance: f64,
    updated: Instant,
    /// Requests of this entry in flight.
    in_flight: u32,
    /// Average of the requests in flight.
    mean_in_flight: f64,
    /// Average of the requests finished per second.
    finish_rate: f64,
}

impl Pacer {
    pub(crate) fn new(now: Instant) -> Self {
        Pacer {
            // The first refill reduces it to the burst.
            allowance: f64::MAX,
            updated: now,
            in_flight: 0,
            mean_in_flight: 0.0,
            finish_rate: 0.0,
        }
    }

    /// Reports whether a request of this rank may be sent now. The most urgent requests are never held
    /// back. Those of the next rank may use the share of the next moments, which holds back only less
    /// urgent ones.
    pub(crate) fn allows_send(&mut self, now: Instant, rank: u8, load: ServiceLoad) -> bool {
        let burst = self.refill(now, load);
        match rank {
            0 => true,
            1 => self.allowance >= 1.0 - burst,
            _ => self.allowance >= 1.0,
        }
    }

    pub(crate) fn record_send(&mut self) {
        self.allowance -= 1.0;
        self.in_flight += 1;
    }

    pub(crate) fn record_finish(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.finish_rate += 1.0 / AVERAGE_TIME.as_secs_f64();
    }

    /// Returns the mean time for which a request holds a slot, in seconds.
    fn hold_seconds(&self) -> f64 {
        if self.finish_rate < 0.5 || self.mean_in_flight < 0.1 {
            return DEFAULT_HOLD_SECONDS;
        }
        self.mean_in_flight / self.finish_rate
    }

    /// Adds the share of the time since the last call, and returns the largest allowance.
    fn refill(&mut self, now: Instant, load: ServiceLoad) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.updated = now;
        let weight = 1.0 - (-elapsed / AVERAGE_TIME.as_secs_f64()).exp();
        self.mean_in_flight += (f64::from(self.in_flight) - self.mean_in_flight) * weight;
        self.finish_rate -= self.finish_rate * weight;
        let delay = load.delay.max(MIN_DELAY).as_secs_f64();
        let freed = f64::from(load.busy) / self.hold_seconds();
        let free = (f64::from(load.free) - load.reserved).max(0.0);
        let rate = (freed + FREE_SHARES * free / delay) / load.entries.max(1) as f64;
        let burst = (rate * delay).max(1.0);
        self.allowance = (self.allowance + rate * elapsed).clamp(-2.0 * burst, burst);
        burst
    }
}
