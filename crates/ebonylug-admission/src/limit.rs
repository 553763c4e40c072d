use std::time::{Duration, Instant};

use ebonylug_core::Tokens;

use crate::Settings;
use crate::stream::FirstToken;

/// Weight of a new sample in the average latency.
const LATENCY_WEIGHT: f64 = 0.15;

/// Highest relative latency that is averaged, as a multiple of the one that shrinks the limit.
/// One prompt that misses the cache against expectation must not shrink it.
const MAX_RATIO: f64 = 2.0;

/// Part of the limit that must have been in use for the limit to grow.
const USED_SHARE: f64 = 0.8;

/// Least growth of the limit in a steady window; a fixed step alone is too slow at large limits.
const MIN_GROWTH: f64 = 0.02;

/// Weight of a window whose speed is below the estimate; a higher speed is taken over at once.
const SLOWER_WEIGHT: f64 = 0.1;

/// Work inside the target.
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

/// How the limit changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The limit is the load that the target has proved to handle since its start.
    Cold,
    /// The limit doubles.
    SlowStart,
    /// The limit grows by a step.
    Steady,
}

/// The adaptive limit on the work inside the target, in tokens.
///
/// It grows only on evidence from attempts that were admitted after the last change: with a
/// shorter loop, it would double several times before the first answer under the new load.
#[derive(Debug)]
pub(crate) struct Limit {
    value: Tokens,
    streams: u32,
    phase: Phase,
    proofs: u32,
    proved: bool,
    since: Instant,
    changed: Instant,
    window: Window,
    /// Streams that waited inside the target at its last report.
    waiting: u32,
    prefill: Option<f64>,
    decode: Option<f64>,
    rate: f64,
}

#[derive(Clone, Copy, Debug)]
struct Window {
    opened: Instant,
    peak: Tokens,
    short: bool,
    work: Tokens,
}

impl Limit {
    pub(crate) fn new(settings: &Settings, now: Instant) -> Self {
        Limit {
            value: settings.cold_limit.min(settings.ceiling),
            streams: settings.cold_streams,
            phase: Phase::Cold,
            proofs: 0,
            proved: false,
            since: now,
            changed: now,
            window: Window::open(now, Tokens::ZERO),
            waiting: 0,
            prefill: None,
            decode: None,
            rate: 0.0,
        }
    }

    /// Takes over the speed that was estimated before a cold start.
    pub(crate) fn with_rate(mut self, rate: f64) -> Self {
        self.rate = rate;
        self
    }

    pub(crate) fn value(&self) -> Tokens {
        self.value
    }

    pub(crate) fn rate(&self) -> f64 {
        self.rate
    }

    pub(crate) fn is_cold(&self) -> bool {
        self.phase == Phase::Cold
    }

    /// Returns when the last cold start began. Older attempts prove nothing about the target.
    pub(crate) fn since(&self) -> Instant {
        self.since
    }

    /// Reports whether a load is low enough to learn the expected latencies from.
    ///
    /// In a cold start, only the load from the settings counts. Latencies at the load that has
    /// been proved since then are a little higher; learning from them would prove a little more
    /// each time, without end.
    pub(crate) fn is_low(&self, settings: &Settings, load: Load) -> bool {
        if self.is_cold() {
            return load.tokens <= settings.cold_limit;
        }
        let quarter = Tokens(self.value.0 / 4);
        load.streams <= 1 || load.tokens <= quarter.max(settings.floor)
    }

    /// Reports whether a cold target may get `cost` more work beside `load`.
    ///
    /// The load may exceed what the target has proved to handle by one request, and only after
    /// the target has answered at least once.
    pub(crate) fn fits_cold(&self, load: Load, cost: Tokens, reserved: Tokens) -> bool {
        let next = load.tokens + cost + reserved;
        let within = next <= self.value && load.streams < self.streams;
        let at_proof = load.tokens <= self.value && load.streams <= self.streams;
        let beyond = self.proved && at_proof && cost <= self.value && reserved == Tokens::ZERO;
        within || beyond
    }

    /// Records the load after an admission.
    pub(crate) fn admitted(&mut self, used: Tokens) {
        self.window.peak = self.window.peak.max(used);
    }

    /// Records that work was refused beside `load`, which shows that the limit is in use.
    pub(crate) fn refused(&mut self, load: Load, cost: Tokens) {
        let fits_alone = cost <= self.value;
        self.window.short |= fits_alone && load.tokens + cost > self.value;
    }

    /// Records the streams that wait inside the target, as it reports them with a lag.
    pub(crate) fn reported(&mut self, waiting: u32) {
        self.waiting = waiting;
    }

    /// Records work that the target has done.
    pub(crate) fn worked(&mut self, tokens: Tokens) {
        self.window.work += tokens;
    }

    /// Records a first token with its relative latency.
    pub(crate) fn first_token(
        &mut self,
        settings: &Settings,
        now: Instant,
        sample: &FirstToken,
        ratio: f64,
    ) {
        if self.is_cold() {
            self.prove(settings, now, ratio, sample.least);
            return;
        }
        if sample.admitted >= self.changed {
            average(&mut self.prefill, settings, ratio);
        }
    }

    /// Records a first token in a cold start whose latency cannot be compared with another.
    ///
    /// It proves nothing about the load. A single stream counts towards the end of the cold start,
    /// or a target that is offered only large requests would stay cold.
    pub(crate) fn answered(&mut self, settings: &Settings, now: Instant, load: Load) {
        if load.streams <= 1 {
            self.prove(settings, now, 1.0, Load::default());
        }
    }

    /// Records the relative time between tokens, measured from `from`.
    pub(crate) fn between_tokens(&mut self, settings: &Settings, from: Instant, ratio: f64) {
        if from >= self.changed {
            average(&mut self.decode, settings, ratio);
        }
    }

    /// Records that an attempt failed while the target lived on.
    ///
    /// A cold target that is overloaded answers with errors. For a warm target the cause is more
    /// likely its version, which is not judged here.
    pub(crate) fn failed(&mut self, settings: &Settings) {
        if self.is_cold() {
            self.disprove(settings);
        }
    }

    /// Changes the limit when the window is over.
    pub(crate) fn roll(&mut self, settings: &Settings, now: Instant, used: Tokens) {
        let elapsed = now.saturating_duration_since(self.window.opened);
        if elapsed < settings.window {
            return;
        }
        self.estimate_rate(elapsed);
        let pressure = match (self.prefill, self.decode) {
            (Some(a), Some(b)) => Some(a.max(b)),
            (a, b) => a.or(b),
        };
        match pressure.filter(|_| !self.is_cold()) {
            Some(ratio) if ratio > settings.shrink_above => self.shrink(settings, now),
            Some(ratio) if ratio > settings.grow_below => self.phase = Phase::Steady,
            // More work would wait inside the target, where nobody can put urgent work first.
            Some(_) if self.waiting > 0 => self.phase = Phase::Steady,
            Some(_) if self.is_used() => self.grow(settings, now),
            _ => {}
        }
        self.window = Window::open(now, used);
    }

    fn prove(&mut self, settings: &Settings, now: Instant, ratio: f64, load: Load) {
        if ratio > settings.grow_below {
            self.disprove(settings);
            return;
        }
        self.proved = true;
        self.proofs += 1;
        self.value = self.value.max(load.tokens).min(settings.ceiling);
        self.streams = self.streams.max(load.streams);
        let elapsed = now.saturating_duration_since(self.since);
        if self.proofs >= settings.warm_samples && elapsed >= settings.warm_time {
            self.phase = Phase::SlowStart;
            self.value = settings.clamp(self.value);
            self.change(now);
        }
    }

    fn disprove(&mut self, settings: &Settings) {
        let lower = self.value.scale(settings.shrink_factor);
        self.value = lower.max(settings.cold_limit).min(settings.ceiling);
        self.streams = (self.streams / 2).max(settings.cold_streams);
        self.proofs /= 2;
    }

    fn shrink(&mut self, settings: &Settings, now: Instant) {
        let base = self.value.min(self.window.peak.max(settings.floor));
        self.value = settings.clamp(base.scale(settings.shrink_factor));
        self.phase = Phase::Steady;
        self.change(now);
    }

    fn grow(&mut self, settings: &Settings, now: Instant) {
        let next = match self.phase {
            Phase::SlowStart => self.value.scale(2.0),
            Phase::Steady | Phase::Cold => {
                self.value + settings.step.max(self.value.scale(MIN_GROWTH))
            }
        };
        self.value = settings.clamp(next);
        self.change(now);
    }

    fn change(&mut self, now: Instant) {
        self.changed = now;
        self.prefill = None;
        self.decode = None;
    }

    fn is_used(&self) -> bool {
        self.window.short || self.window.peak >= self.value.scale(USED_SHARE)
    }

    fn estimate_rate(&mut self, elapsed: Duration) {
        let speed = self.window.work.as_f64() / elapsed.as_secs_f64();
        if speed > self.rate {
            self.rate = speed;
        } else if self.is_used() {
            self.rate += SLOWER_WEIGHT * (speed - self.rate);
        }
    }
}

impl Window {
    fn open(now: Instant, used: Tokens) -> Self {
        Window {
            opened: now,
            peak: used,
            short: false,
            work: Tokens::ZERO,
        }
    }
}

fn average(mean: &mut Option<f64>, settings: &Settings, ratio: f64) {
    let sample = ratio.min(MAX_RATIO * settings.shrink_above);
    let old = mean.unwrap_or(sample.min(settings.shrink_above));
    *mean = Some(old + LATENCY_WEIGHT * (sample - old));
}
