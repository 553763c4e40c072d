use std::time::Duration;

use ebonylug_core::{Incarnation, Tokens};

/// The kind of target that the sidecar serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetKind {
    /// A model engine. Work is measured in tokens.
    Model,
    /// A plain service. Each call costs one token, and the limit is at most the concurrency.
    Service {
        /// Maximum number of concurrent calls.
        concurrency: u32,
    },
}

/// Settings of an [`Admission`](crate::Admission).
///
/// ```
/// use std::time::Duration;
/// use ebonylug_admission::Settings;
/// use ebonylug_core::{Incarnation, Tokens};
///
/// let settings = Settings::model(Incarnation(7))
///     .cold_limit(Tokens(8_192))
///     .retention(Duration::from_secs(300));
/// ```
#[derive(Clone, Debug)]
pub struct Settings {
    pub(crate) incarnation: Incarnation,
    pub(crate) kind: TargetKind,
    pub(crate) cold_limit: Tokens,
    pub(crate) cold_streams: u32,
    pub(crate) cold_probe: Duration,
    pub(crate) warm_samples: u32,
    pub(crate) warm_time: Duration,
    pub(crate) floor: Tokens,
    pub(crate) ceiling: Tokens,
    pub(crate) step: Tokens,
    pub(crate) window: Duration,
    pub(crate) grow_below: f64,
    pub(crate) shrink_above: f64,
    pub(crate) shrink_factor: f64,
    pub(crate) slow_factor: f64,
    pub(crate) slow_samples: u32,
    pub(crate) retention: Duration,
    pub(crate) max_attempts: usize,
    pub(crate) max_tombstones: usize,
    pub(crate) refusal_capacity: usize,
    pub(crate) reservation: Duration,
    pub(crate) max_reservations: usize,
    pub(crate) headroom: Duration,
    pub(crate) batch_share: f64,
    pub(crate) enforce_fences: bool,
}

impl Settings {
    /// Creates the default settings for a model engine.
    #[must_use]
    pub fn model(incarnation: Incarnation) -> Self {
        Settings {
            incarnation,
            kind: TargetKind::Model,
            cold_limit: Tokens(4_096),
            cold_streams: 2,
            cold_probe: Duration::from_secs(2),
            warm_samples: 8,
            warm_time: Duration::from_secs(5),
            floor: Tokens(2_048),
            ceiling: Tokens(4_000_000),
            step: Tokens(1_024),
            window: Duration::from_millis(500),
            // Decoding slows down with the number of streams long before an engine is overloaded,
            // so the limit still grows at twice the latency at low load.
            grow_below: 2.5,
            shrink_above: 3.5,
            shrink_factor: 0.7,
            slow_factor: 8.0,
            // A single slow response may come from one evicted prefix.
            slow_samples: 3,
            // 65,536 attempts in 120 s allow 546 admissions per second. At higher rates, new
            // attempts are refused.
            retention: Duration::from_secs(120),
            max_attempts: 65_536,
            max_tombstones: 16_384,
            refusal_capacity: 262_144,
            reservation: Duration::from_secs(1),
            max_reservations: 16,
            // With bursts half a minute apart, the peak has not yet decayed to a tenth when the
            // next one arrives.
            headroom: Duration::from_secs(10),
            batch_share: 0.0,
            enforce_fences: true,
        }
    }

    /// Creates the default settings for a plain service with bounded concurrency.
    #[must_use]
    pub fn service(incarnation: Incarnation, concurrency: u32) -> Self {
        let concurrency = concurrency.max(1);
        Settings {
            kind: TargetKind::Service { concurrency },
            cold_limit: Tokens(1),
            cold_streams: 1,
            floor: Tokens((concurrency / 4).max(1).into()),
            ceiling: Tokens(concurrency.into()),
            step: Tokens(1),
            // The duration of calls varies with their kind, and their size is not known.
            grow_below: 8.0,
            shrink_above: 16.0,
            slow_factor: 64.0,
            ..Settings::model(incarnation)
        }
    }

    /// Sets the load, in tokens, that a cold target can handle.
    #[must_use]
    pub fn cold_limit(mut self, limit: Tokens) -> Self {
        self.cold_limit = limit;
        self
    }

    /// Sets the number of concurrent streams that a cold target can handle; at least 1.
    #[must_use]
    pub fn cold_streams(mut self, streams: u32) -> Self {
        self.cold_streams = streams.max(1);
        self
    }

    /// Sets how long a cold target must be empty before one request above its limit is admitted.
    ///
    /// Without this probe, a target that is offered only large requests would stay cold.
    #[must_use]
    pub fn cold_probe(mut self, time: Duration) -> Self {
        self.cold_probe = time;
        self
    }

    /// Sets the conditions that end a cold start: the number of first tokens with a good latency,
    /// and the minimum duration.
    #[must_use]
    pub fn warm_after(mut self, samples: u32, time: Duration) -> Self {
        self.warm_samples = samples;
        self.warm_time = time;
        self
    }

    /// Sets the range of the limit. For a service, the ceiling is at most its concurrency.
    #[must_use]
    pub fn limit_range(mut self, floor: Tokens, ceiling: Tokens) -> Self {
        self.floor = floor.max(Tokens(1));
        self.ceiling = match self.kind {
            TargetKind::Model => ceiling,
            TargetKind::Service { concurrency } => ceiling.min(Tokens(concurrency.into())),
        };
        self
    }

    /// Sets the additive growth of the limit per window, in tokens.
    #[must_use]
    pub fn step(mut self, step: Tokens) -> Self {
        self.step = step;
        self
    }

    /// Sets the minimum time between two changes of the limit.
    #[must_use]
    pub fn window(mut self, window: Duration) -> Self {
        self.window = window;
        self
    }

    /// Sets the latency ratios that control the limit, relative to the target's own latencies at
    /// low load. The limit grows up to `grow_below` and shrinks above `shrink_above`.
    #[must_use]
    pub fn tolerance(mut self, grow_below: f64, shrink_above: f64) -> Self {
        self.grow_below = grow_below;
        self.shrink_above = shrink_above.max(grow_below);
        self
    }

    /// Sets the factor by which the limit shrinks, between 0 and 1.
    #[must_use]
    pub fn shrink_factor(mut self, factor: f64) -> Self {
        self.shrink_factor = factor.clamp(0.0, 1.0);
        self
    }

    /// Sets how a cold target is detected without notification: by `samples` first tokens in a row
    /// at low load, each with at least `factor` times the expected latency.
    #[must_use]
    pub fn cold_detection(mut self, factor: f64, samples: u32) -> Self {
        self.slow_factor = factor;
        self.slow_samples = samples.max(1);
        self
    }

    /// Sets how long ended attempts, tombstones and refusals are retained.
    ///
    /// Entries must not offer or revoke an attempt later than this after they first sent it.
    #[must_use]
    pub fn retention(mut self, retention: Duration) -> Self {
        self.retention = retention;
        self
    }

    /// Sets the maximum number of running and ended attempts together.
    #[must_use]
    pub fn max_attempts(mut self, bound: usize) -> Self {
        self.max_attempts = bound;
        self
    }

    /// Sets the maximum number of tombstones. Without space for one, a revoke is answered as
    /// [`RevokeOutcome::Unknown`](ebonylug_core::RevokeOutcome::Unknown).
    #[must_use]
    pub fn max_tombstones(mut self, bound: usize) -> Self {
        self.max_tombstones = bound;
        self
    }

    /// Sets the number of refusals per retention period that the filter is sized for.
    #[must_use]
    pub fn refusal_capacity(mut self, refusals: usize) -> Self {
        self.refusal_capacity = refusals;
        self
    }

    /// Sets how long capacity stays reserved for a refused interactive request, and the maximum
    /// number of reservations.
    #[must_use]
    pub fn reservation(mut self, time: Duration, bound: usize) -> Self {
        self.reservation = time;
        self.max_reservations = bound;
        self
    }

    /// Sets the half-life of the recorded peak of interactive work. Batch work leaves capacity free
    /// for this peak. Zero disables the headroom.
    #[must_use]
    pub fn headroom(mut self, half_life: Duration) -> Self {
        self.headroom = half_life;
        self
    }

    /// Sets the share of the limit, between 0 and 1, that an interactive offer leaves to running
    /// batch work when it preempts.
    ///
    /// A value above 0 lets interactive work be refused while batch work runs.
    #[must_use]
    pub fn batch_share(mut self, share: f64) -> Self {
        self.batch_share = share.clamp(0.0, 1.0);
        self
    }

    /// Sets whether the sidecar rejects outdated fencing tokens on behalf of its target.
    #[must_use]
    pub fn enforce_fences(mut self, enforce: bool) -> Self {
        self.enforce_fences = enforce;
        self
    }

    pub(crate) fn clamp_limit(&self, limit: Tokens) -> Tokens {
        limit.max(self.floor).min(self.ceiling)
    }
}
