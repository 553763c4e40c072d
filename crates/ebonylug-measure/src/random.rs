//! Seeded draws that the cases need.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A stream of draws that depends only on its seed.
#[derive(Clone, Debug)]
pub struct Random(ChaCha8Rng);

impl Random {
    /// Creates the stream number `stream` of a seed.
    #[must_use]
    pub fn new(seed: u64, stream: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(stream);
        Random(rng)
    }

    /// Draws from 0 (included) to 1 (excluded).
    pub fn unit(&mut self) -> f64 {
        self.0.random::<f64>()
    }

    /// Draws from `low` to `high`.
    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.unit()
    }

    /// Draws an index below `count`.
    pub fn below(&mut self, count: usize) -> usize {
        self.0.random_range(0..count.max(1))
    }

    /// Reports true with the given probability.
    pub fn chance(&mut self, probability: f64) -> bool {
        self.unit() < probability
    }

    /// Draws from an exponential distribution.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.unit()).ln()
    }

    /// Draws a seed for a part.
    pub fn seed(&mut self) -> u64 {
        self.0.random()
    }

    /// Draws an index by weight.
    pub fn weighted(&mut self, weights: impl Iterator<Item = f64> + Clone) -> usize {
        let total: f64 = weights.clone().sum();
        let mut left = self.unit() * total;
        let mut last = 0;
        for (index, weight) in weights.enumerate() {
            last = index;
            if left < weight {
                break;
            }
            left -= weight;
        }
        last
    }
}

/// A bounded Pareto distribution: the longest length is `SPREAD` times the shortest.
#[derive(Clone, Copy, Debug)]
pub struct Lengths {
    low: f64,
}

/// The factor between the longest and the shortest request of a route.
const SPREAD: f64 = 100.0;
/// The exponent of the tail.
const ALPHA: f64 = 1.2;

impl Lengths {
    /// Creates the distribution whose shortest length is `low`.
    #[must_use]
    pub const fn from(low: f64) -> Self {
        Lengths { low }
    }

    /// Draws a length in whole tokens.
    pub fn draw(self, random: &mut Random) -> u64 {
        let ratio = 1.0 - SPREAD.powf(-ALPHA);
        let length = self.low * (1.0 - random.unit() * ratio).powf(-1.0 / ALPHA);
        (length as u64).max(1)
    }

    /// Returns the mean length.
    #[must_use]
    pub fn mean(self) -> f64 {
        let tail = 1.0 - SPREAD.powf(1.0 - ALPHA);
        let norm = 1.0 - SPREAD.powf(-ALPHA);
        self.low * ALPHA / (ALPHA - 1.0) * tail / norm
    }
}
