use std::time::Duration;

use ebonylug_core::Tokens;
use smallvec::SmallVec;

/// One bucket for each power of two of prompt tokens.
const BUCKETS: usize = 32;

/// Samples that are kept for each bucket. Newer ones replace the oldest.
const SAMPLES: usize = 8;

/// Shorter times come from buffering between the processes, not from the engine.
const MIN_LATENCY: Duration = Duration::from_micros(100);

/// A latency at high load counts as the expected one up to this factor.
///
/// It never raises the expectation: growing up to a tolerated latency, and then learning from that
/// latency, would raise the limit without end.
const NEAR: f64 = 1.25;

/// Lowest share of the expectation that is taken over at high load, where a prompt that happened
/// to be cached cannot be told from a target that has become faster.
const MAX_DROP: f64 = 0.8;

/// The latencies of a target at low load, learned from its own answers.
///
/// The time to the first token is a fixed part plus a part for each prompt token, so a sample
/// `(q, t)` bounds the time for `p` tokens by `t * max(1, p / q)`. The expectation is the median
/// of these bounds over prompts of similar size. A median and not a minimum: a prompt that is
/// found in the cache against expectation is far faster than any other, and would make all later
/// ones look congested.
#[derive(Debug, Default)]
pub(crate) struct Baseline {
    prefill: [Recent; BUCKETS],
    decode: Recent,
}

/// The last few samples, as tokens and seconds.
#[derive(Debug, Default)]
struct Recent {
    samples: SmallVec<[(f64, f64); SAMPLES]>,
    next: usize,
}

impl Baseline {
    /// Returns the expected time to the first token at low load, in seconds.
    pub(crate) fn expected(&self, prompt: Tokens) -> Option<f64> {
        let prompt = prompt.as_f64().max(1.0);
        let similar = self.similar(prompt).map(|sample| bound(sample, prompt));
        median(similar.collect()).or_else(|| {
            self.prefill
                .iter()
                .filter_map(|recent| recent.expected(prompt))
                .reduce(f64::min)
        })
    }

    /// Reports whether times are known for prompts of up to twice or down to half the size.
    ///
    /// For other sizes, the expectation may be far too high to show an overload.
    pub(crate) fn has_similar(&self, prompt: Tokens) -> bool {
        self.similar(prompt.as_f64().max(1.0)).next().is_some()
    }

    /// Records a time to the first token; returns it relative to the expectation.
    pub(crate) fn prefill(&mut self, sample: Duration, prompt: Tokens, low: bool) -> f64 {
        let expected = self.expected(prompt);
        let recent = &mut self.prefill[bucket(prompt)];
        recent.learn(sample, prompt.as_f64().max(1.0), expected, low)
    }

    /// Records a time between tokens; returns it relative to the expectation.
    pub(crate) fn decode(&mut self, sample: Duration, low: bool) -> f64 {
        let expected = self.decode.expected(1.0);
        self.decode.learn(sample, 1.0, expected, low)
    }

    fn similar(&self, prompt: f64) -> impl Iterator<Item = (f64, f64)> {
        let sizes = prompt / 2.0..=prompt * 2.0;
        self.prefill
            .iter()
            .flat_map(|recent| recent.samples.iter().copied())
            .filter(move |(tokens, _)| sizes.contains(tokens))
    }
}

impl Recent {
    fn expected(&self, tokens: f64) -> Option<f64> {
        median(self.samples.iter().map(|s| bound(*s, tokens)).collect())
    }

    fn learn(&mut self, sample: Duration, tokens: f64, expected: Option<f64>, low: bool) -> f64 {
        let seconds = sample.max(MIN_LATENCY).as_secs_f64();
        let ratio = expected.map_or(1.0, |expected| seconds / expected);
        if low {
            self.push((tokens, seconds));
        } else if ratio <= NEAR {
            let least = expected.map_or(seconds, |expected| expected * MAX_DROP);
            let most = expected.unwrap_or(seconds);
            self.push((tokens, seconds.clamp(least, most)));
        }
        ratio
    }

    fn push(&mut self, sample: (f64, f64)) {
        if self.samples.len() < SAMPLES {
            self.samples.push(sample);
            return;
        }
        self.samples[self.next] = sample;
        self.next = (self.next + 1) % SAMPLES;
    }
}

fn bound((tokens, seconds): (f64, f64), prompt: f64) -> f64 {
    seconds * (prompt / tokens).max(1.0)
}

/// Returns the lower median.
fn median(mut values: SmallVec<[f64; 3 * SAMPLES]>) -> Option<f64> {
    values.sort_unstable_by(f64::total_cmp);
    let middle = values.len().checked_sub(1)? / 2;
    Some(values[middle])
}

fn bucket(prompt: Tokens) -> usize {
    (prompt.0.max(1).ilog2() as usize).min(BUCKETS - 1)
}
