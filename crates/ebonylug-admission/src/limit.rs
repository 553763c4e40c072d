use std::time::{Duration, Instant};

use ebonylug_core::Tokens;

use crate::Settings;
use crate::stream::FirstToken;

/// Weight of a new sample in the moving average of the latency ratios.
const LATENCY_WEIGHT: f64 = 0.15;

/// Upper bound of a sample in the moving average, as a multiple of the ratio that shrinks the
/// limit. A single unexpected cache miss must not shrink the limit.
const MAX_RATIO: f64 = 2.0;

/// Share of the limit that must have been in use for the limit to grow.
const MIN_USED_SHARE: f64 = 0.8;

/// Minimum relative growth of the limit per window. A fixed step alone is too slow at large limits.
const MIN_GROWTH: f64 = 0.02;

/// Weight of a window whose speed is below the estimate. A higher speed replaces the estimate at
/// once.
const SLOWER_WEIGHT: f64 = 0.1;

/// The load inside the target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Load {
    pub(crate) tokens: Tokens,
    pub(crate) streams: u32,
}

impl Load {
    pub(crate) fn min(self, other: Load) -> Load {
        Load {
            tokens: self.tokens.min(other.tokens),
            streams: self.streams.min(other.streams),
        }
    }

    pub(crate) fn max(self, other: Load) -> Load {
        Load {
            tokens: self.tokens.max(other.tokens),
            streams: self.streams.max(other.streams),
        }
    }
}

/// The phase of the limit, which determines how it changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The limit is the load that the target has been observed to handle since its start.
    Cold,
    /// The limit doubles while it is in use.
    SlowStart,
    /// The limit grows by a step, or shrinks by a factor.
    Steady,
}

/// The adaptive limit on the work inside the target, in tokens.
///
/// It grows only on samples from attempts that were admitted after its last change. Otherwise it
/// would double several times before the first response under the new load.
#[derive(Debug)]
pub(crate) struct Limit {
    tokens: Tokens,
    max_streams: u32,
    phase: Phase,
    /// Good samples in the current cold start. Halved by each bad sample and failure.
    good_samples: u32,
    /// Whether there has been a good sample in the current cold start.
    has_good_sample: bool,
    cold_since: Instant,
    changed_at: Instant,
    window: Window,
    /// Streams that are queued inside the target, from its last report.
    waiting: u32,
    prefill_ratio: Option<f64>,
    decode_ratio: Option<f64>,
    rate: f64,
}

/// Observations in the current window. The limit is adjusted when the window is over.
#[derive(Clone, Copy, Debug)]
struct Window {
    opened_at: Instant,
    /// The highest load.
    peak: Tokens,
    /// Whether work was refused because of the limit.
    limited: bool,
    /// Completed work.
    work: Tokens,
}

impl Limit {
    pub(crate) fn new(settings: &Settings, now: Instant) -> Self {
        Limit {
            tokens: settings.cold_limit.min(settings.ceiling),
            max_streams: settings.cold_streams,
            phase: Phase::Cold,
            good_samples: 0,
            has_good_sample: false,
            cold_since: now,
            changed_at: now,
            window: Window::open(now, Tokens::ZERO),
            waiting: 0,
            prefill_ratio: None,
            decode_ratio: None,
            rate: 0.0,
        }
    }

    /// Sets the estimated speed, to keep it across a cold start.
    pub(crate) fn with_rate(mut self, rate: f64) -> Self {
        self.rate = rate;
        self
    }

    pub(crate) fn tokens(&self) -> Tokens {
        self.tokens
    }

    pub(crate) fn rate(&self) -> f64 {
        self.rate
    }

    pub(crate) fn is_cold(&self) -> bool {
        self.phase == Phase::Cold
    }

    /// Returns the start of the last cold start. Attempts admitted earlier give no valid samples.
    pub(crate) fn cold_since(&self) -> Instant {
        self.cold_since
    }

    /// Reports whether a load is low enough to learn the expected latencies from.
    ///
    /// In a cold start, only loads up to the configured limit count. Latencies at the current limit
    /// are a little higher. Learning from them would allow a little more load each time,
    /// indefinitely.
    pub(crate) fn is_low(&self, settings: &Settings, load: Load) -> bool {
        if self.is_cold() {
            return load.tokens <= settings.cold_limit;
        }
        let quarter = Tokens(self.tokens.0 / 4);
        load.streams <= 1 || load.tokens <= quarter.max(settings.floor)
    }

    /// Reports whether a cold target with `load` may get work of `cost`.
    ///
    /// The load may exceed the limit by one request, and only after the first good latency sample.
    pub(crate) fn fits_cold(&self, load: Load, cost: Tokens, reserved: Tokens) -> bool {
        let next = load.tokens + cost + reserved;
        let within = next <= self.tokens && load.streams < self.max_streams;
        let at_limit = load.tokens <= self.tokens && load.streams <= self.max_streams;
        let exceeding =
            self.has_good_sample && at_limit && cost <= self.tokens && reserved == Tokens::ZERO;
        within || exceeding
    }

    /// Records the load after an admission.
    pub(crate) fn record_admission(&mut self, used: Tokens) {
        self.window.peak = self.window.peak.max(used);
    }

    /// Records that work was refused at `load`, which means that the limit is in use.
    pub(crate) fn record_refusal(&mut self, load: Load, cost: Tokens) {
        let fits_alone = cost <= self.tokens;
        self.window.limited |= fits_alone && load.tokens + cost > self.tokens;
    }

    /// Sets the number of streams that are queued inside the target, according to its last report.
    pub(crate) fn set_waiting(&mut self, waiting: u32) {
        self.waiting = waiting;
    }

    /// Records work that the target has completed.
    pub(crate) fn record_work(&mut self, tokens: Tokens) {
        self.window.work += tokens;
    }

    /// Records the latency of a first token, as a ratio to the expected one.
    pub(crate) fn record_first_token(
        &mut self,
        settings: &Settings,
        now: Instant,
        sample: &FirstToken,
        ratio: f64,
    ) {
        if self.is_cold() {
            self.record_cold_sample(settings, now, ratio, sample.min_load);
            return;
        }
        if sample.admitted >= self.changed_at {
            update_average(&mut self.prefill_ratio, settings, ratio);
        }
    }

    /// Records a first token in a cold start whose latency cannot be compared with any baseline.
    ///
    /// It does not raise the limit. If the stream ran alone, it counts towards the end of the cold
    /// start; otherwise a target that is offered only large requests would stay cold.
    pub(crate) fn record_incomparable(&mut self, settings: &Settings, now: Instant, load: Load) {
        if load.streams <= 1 {
            self.record_cold_sample(settings, now, 1.0, Load::default());
        }
    }

    /// Records the time between tokens from the instant `since` on, as a ratio to the expected one.
    pub(crate) fn record_decode(&mut self, settings: &Settings, since: Instant, ratio: f64) {
        if since >= self.changed_at {
            update_average(&mut self.decode_ratio, settings, ratio);
        }
    }

    /// Records that an attempt failed while the target stayed up.
    ///
    /// A cold target that is overloaded responds with errors. With a warm target, the cause is more
    /// likely its version, which the limit does not take into account.
    pub(crate) fn record_failure(&mut self, settings: &Settings) {
        if self.is_cold() {
            self.lower_cold_limit(settings);
        }
    }

    /// Adjusts the limit and opens a new window if the current one is over.
    pub(crate) fn advance(&mut self, settings: &Settings, now: Instant, used: Tokens) {
        let elapsed = now.saturating_duration_since(self.window.opened_at);
        if elapsed < settings.window {
            return;
        }
        self.update_rate(elapsed);
        let highest = match (self.prefill_ratio, self.decode_ratio) {
            (Some(a), Some(b)) => Some(a.max(b)),
            (a, b) => a.or(b),
        };
        match highest.filter(|_| !self.is_cold()) {
            Some(ratio) if ratio > settings.shrink_above => self.shrink(settings, now),
            Some(ratio) if ratio > settings.grow_below => self.phase = Phase::Steady,
            // More work would be queued inside the target, where it cannot be reordered.
            Some(_) if self.waiting > 0 => self.phase = Phase::Steady,
            Some(_) if self.was_used() => self.grow(settings, now),
            _ => {}
        }
        self.window = Window::open(now, used);
    }

    fn record_cold_sample(&mut self, settings: &Settings, now: Instant, ratio: f64, load: Load) {
        if ratio > settings.grow_below {
            self.lower_cold_limit(settings);
            return;
        }
        self.has_good_sample = true;
        self.good_samples += 1;
        self.tokens = self.tokens.max(load.tokens).min(settings.ceiling);
        self.max_streams = self.max_streams.max(load.streams);
        let elapsed = now.saturating_duration_since(self.cold_since);
        if self.good_samples >= settings.warm_samples && elapsed >= settings.warm_time {
            self.phase = Phase::SlowStart;
            self.tokens = settings.clamp_limit(self.tokens);
            self.mark_changed(now);
        }
    }

    fn lower_cold_limit(&mut self, settings: &Settings) {
        let lower = self.tokens.scale(settings.shrink_factor);
        self.tokens = lower.max(settings.cold_limit).min(settings.ceiling);
        self.max_streams = (self.max_streams / 2).max(settings.cold_streams);
        self.good_samples /= 2;
    }

    fn shrink(&mut self, settings: &Settings, now: Instant) {
        let base = self.tokens.min(self.window.peak.max(settings.floor));
        self.tokens = settings.clamp_limit(base.scale(settings.shrink_factor));
        self.phase = Phase::Steady;
        self.mark_changed(now);
    }

    fn grow(&mut self, settings: &Settings, now: Instant) {
        let next = match self.phase {
            Phase::SlowStart => self.tokens.scale(2.0),
            Phase::Steady | Phase::Cold => {
                self.tokens + settings.step.max(self.tokens.scale(MIN_GROWTH))
            }
        };
        self.tokens = settings.clamp_limit(next);
        self.mark_changed(now);
    }

    fn mark_changed(&mut self, now: Instant) {
        self.changed_at = now;
        self.prefill_ratio = None;
        self.decode_ratio = None;
    }

    fn was_used(&self) -> bool {
        self.window.limited || self.window.peak >= self.tokens.scale(MIN_USED_SHARE)
    }

    fn update_rate(&mut self, elapsed: Duration) {
        let speed = self.window.work.as_f64() / elapsed.as_secs_f64();
        if speed > self.rate {
            self.rate = speed;
        } else if self.was_used() {
            self.rate += SLOWER_WEIGHT * (speed - self.rate);
        }
    }
}

impl Window {
    fn open(now: Instant, used: Tokens) -> Self {
        Window {
            opened_at: now,
            peak: used,
            limited: false,
            work: Tokens::ZERO,
        }
    }
}

fn update_average(mean: &mut Option<f64>, settings: &Settings, ratio: f64) {
    let sample = ratio.min(MAX_RATIO * settings.shrink_above);
    let old = mean.unwrap_or(sample.min(settings.shrink_above));
    *mean = Some(old + LATENCY_WEIGHT * (sample - old));
}
