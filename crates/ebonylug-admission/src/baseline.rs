use std::time::Duration;

use ebonylug_core::Tokens;
use smallvec::SmallVec;

/// Number of prompt size buckets, one per power of two.
const BUCKETS: usize = 32;

/// Samples kept per bucket. A new sample replaces the oldest.
const BUCKET_SAMPLES: usize = 8;

/// Floor for latency samples. Shorter times come from buffering between processes.
const MIN_LATENCY: Duration = Duration::from_micros(100);

/// Highest ratio to the expected latency at which a sample at high load updates the baseline.
///
/// Such a sample never raises the expectation. Otherwise the limit would grow up to the tolerated
/// latency, the baseline would learn that latency, and the limit would grow again, indefinitely.
const MAX_LEARNED_RATIO: f64 = 1.25;

/// Lowest ratio to the expected latency at which a sample at high load is recorded; lower samples
/// are raised to it. At high load, a prompt that happened to be cached looks the same as a target
/// that has become faster.
const MIN_LEARNED_RATIO: f64 = 0.8;

/// Latencies of a target at low load, learned from its own responses.
///
/// The time to the first token is a fixed part plus a part per prompt token, so a sample `(q, t)`
/// bounds the time for `p` tokens by `t * max(1, p / q)`. The expectation is the median of these
/// bounds over prompts of similar size. A minimum would not work: an unexpected cache hit is far
/// faster than any other prompt, and would make all later ones look congested.
#[derive(Debug, Default)]
pub(crate) struct Baseline {
    prefill: [SampleRing; BUCKETS],
    decode: SampleRing,
}

/// A ring buffer of samples, as pairs of tokens and seconds.
#[derive(Debug, Default)]
struct SampleRing {
    samples: SmallVec<[(f64, f64); BUCKET_SAMPLES]>,
    next: usize,
}

impl Baseline {
    /// Returns the expected time to the first token at low load, in seconds.
    pub(crate) fn expected(&self, prompt: Tokens) -> Option<f64> {
        let prompt = prompt.as_f64().max(1.0);
        let similar = self
            .similar(prompt)
            .map(|sample| upper_bound(sample, prompt));
        median(similar.collect()).or_else(|| {
            self.prefill
                .iter()
                .filter_map(|ring| ring.expected(prompt))
                .reduce(f64::min)
        })
    }

    /// Reports whether there are samples of prompts between half and twice this size.
    ///
    /// For other sizes, the expectation may be far too high to detect an overload.
    pub(crate) fn has_similar(&self, prompt: Tokens) -> bool {
        self.similar(prompt.as_f64().max(1.0)).next().is_some()
    }

    /// Records a time to the first token and returns its ratio to the expected time.
    pub(crate) fn record_prefill(
        &mut self,
        sample: Duration,
        prompt: Tokens,
        low_load: bool,
    ) -> f64 {
        let expected = self.expected(prompt);
        let ring = &mut self.prefill[bucket(prompt)];
        ring.update(sample, prompt.as_f64().max(1.0), expected, low_load)
    }

    /// Records a time between tokens and returns its ratio to the expected time.
    pub(crate) fn record_decode(&mut self, sample: Duration, low_load: bool) -> f64 {
        let expected = self.decode.expected(1.0);
        self.decode.update(sample, 1.0, expected, low_load)
    }

    fn similar(&self, prompt: f64) -> impl Iterator<Item = (f64, f64)> {
        let sizes = prompt / 2.0..=prompt * 2.0;
        self.prefill
            .iter()
            .flat_map(|ring| ring.samples.iter().copied())
            .filter(move |(tokens, _)| sizes.contains(tokens))
    }
}

impl SampleRing {
    fn expected(&self, tokens: f64) -> Option<f64> {
        median(
            self.samples
                .iter()
                .map(|s| upper_bound(*s, tokens))
                .collect(),
        )
    }

    fn update(
        &mut self,
        sample: Duration,
        tokens: f64,
        expected: Option<f64>,
        low_load: bool,
    ) -> f64 {
        let seconds = sample.max(MIN_LATENCY).as_secs_f64();
        let ratio = expected.map_or(1.0, |expected| seconds / expected);
        if low_load {
            self.push((tokens, seconds));
        } else if ratio <= MAX_LEARNED_RATIO {
            let min = expected.map_or(seconds, |expected| expected * MIN_LEARNED_RATIO);
            let max = expected.unwrap_or(seconds);
            self.push((tokens, seconds.clamp(min, max)));
        }
        ratio
    }

    fn push(&mut self, sample: (f64, f64)) {
        if self.samples.len() < BUCKET_SAMPLES {
            self.samples.push(sample);
            return;
        }
        self.samples[self.next] = sample;
        self.next = (self.next + 1) % BUCKET_SAMPLES;
    }
}

fn upper_bound((tokens, seconds): (f64, f64), prompt: f64) -> f64 {
    seconds * (prompt / tokens).max(1.0)
}

/// Returns the lower median, or `None` without values.
fn median(mut values: SmallVec<[f64; 3 * BUCKET_SAMPLES]>) -> Option<f64> {
    values.sort_unstable_by(f64::total_cmp);
    let middle = values.len().checked_sub(1)? / 2;
    Some(values[middle])
}

fn bucket(prompt: Tokens) -> usize {
    (prompt.0.max(1).ilog2() as usize).min(BUCKETS - 1)
}
