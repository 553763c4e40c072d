//! Seeded random numbers for the benchmark cases.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A random number generator whose sequence depends only on the seed and the stream number.
#[derive(Clone, Debug)]
pub struct SeededRng(ChaCha8Rng);

impl SeededRng {
    /// Creates the generator for stream `stream` of a seed. Streams of one seed are independent.
    #[must_use]
    pub fn new(seed: u64, stream: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(stream);
        SeededRng(rng)
    }

    /// Returns a uniform value in `[0, 1)`.
    pub fn unit(&mut self) -> f64 {
        self.0.random::<f64>()
    }

    /// Returns a uniform value in `[low, high)`.
    pub fn uniform(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.unit()
    }

    /// Returns a uniform index below `count`; 0 if `count` is 0.
    pub fn index(&mut self, count: usize) -> usize {
        self.0.random_range(0..count.max(1))
    }

    /// Returns true with the given probability.
    pub fn chance(&mut self, probability: f64) -> bool {
        self.unit() < probability
    }

    /// Returns an exponentially distributed value with the given mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.unit()).ln()
    }

    /// Returns a uniform 64-bit value.
    pub fn next_u64(&mut self) -> u64 {
        self.0.random()
    }

    /// Returns an index with a probability proportional to its weight.
    pub fn weighted(&mut self, weights: impl Iterator<Item = f64> + Clone) -> usize {
        let total: f64 = weights.clone().sum();
        let mut remaining = self.unit() * total;
        let mut last = 0;
        for (index, weight) in weights.enumerate() {
            last = index;
            if remaining < weight {
                break;
            }
            remaining -= weight;
        }
        last
    }
}

/// A bounded Pareto distribution of lengths in tokens: the maximum is `MAX_MIN_RATIO` times the
/// minimum.
#[derive(Clone, Copy, Debug)]
pub struct LengthDistribution {
    min: f64,
}

/// Ratio of the longest to the shortest request of a route.
const MAX_MIN_RATIO: f64 = 100.0;
/// Shape parameter of the Pareto distribution.
const TAIL_EXPONENT: f64 = 1.2;

impl LengthDistribution {
    /// Creates the distribution whose shortest length is `min` tokens.
    #[must_use]
    pub const fn with_min(min: f64) -> Self {
        LengthDistribution { min }
    }

    /// Returns a random length in whole tokens, at least 1.
    pub fn sample(self, random: &mut SeededRng) -> u64 {
        let ratio = 1.0 - MAX_MIN_RATIO.powf(-TAIL_EXPONENT);
        let length = self.min * (1.0 - random.unit() * ratio).powf(-1.0 / TAIL_EXPONENT);
        (length as u64).max(1)
    }

    /// Returns the mean length in tokens.
    #[must_use]
    pub fn mean(self) -> f64 {
        let tail = 1.0 - MAX_MIN_RATIO.powf(1.0 - TAIL_EXPONENT);
        let norm = 1.0 - MAX_MIN_RATIO.powf(-TAIL_EXPONENT);
        self.min * TAIL_EXPONENT / (TAIL_EXPONENT - 1.0) * tail / norm
    }
}
