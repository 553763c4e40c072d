use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

use ebonylug_core::AttemptId;

const BITS_PER_ENTRY: usize = 16;
const HASHES: u64 = 8;
const WORD_BITS: u64 = u64::BITS as u64;

/// Refused attempts, in a Bloom filter with two generations.
///
/// A second copy of a refused offer must be refused as well, since the entry may have moved the
/// request to another target after the first refusal. Under overload there are far more refusals
/// than admissions, so an exact set would need either much memory or an eviction that breaks this
/// guarantee. The filter has no false negatives within the retention period. Its false positives
/// (under 0.1 % at the configured capacity) refuse a new attempt that could have run; the entry
/// retries with the next attempt number.
#[derive(Debug)]
pub(crate) struct Refusals {
    retention: Duration,
    rotated_at: Instant,
    current: Box<[u64]>,
    previous: Box<[u64]>,
}

impl Refusals {
    pub(crate) fn new(capacity: usize, retention: Duration, now: Instant) -> Self {
        let bits = (capacity * BITS_PER_ENTRY).next_power_of_two().max(64);
        let words = bits / WORD_BITS as usize;
        Refusals {
            retention,
            rotated_at: now,
            current: vec![0; words].into(),
            previous: vec![0; words].into(),
        }
    }

    pub(crate) fn insert(&mut self, now: Instant, attempt: AttemptId) {
        self.rotate(now);
        for bit in bits(attempt, self.current.len()) {
            self.current[(bit / WORD_BITS) as usize] |= 1 << (bit % WORD_BITS);
        }
    }

    pub(crate) fn contains(&self, attempt: AttemptId) -> bool {
        let within = |words: &[u64]| {
            bits(attempt, words.len())
                .all(|bit| words[(bit / WORD_BITS) as usize] & (1 << (bit % WORD_BITS)) != 0)
        };
        within(&self.current) || within(&self.previous)
    }

    /// Drops the older generation once the newer one covers the whole retention period.
    pub(crate) fn rotate(&mut self, now: Instant) {
        if now.saturating_duration_since(self.rotated_at) < self.retention {
            return;
        }
        std::mem::swap(&mut self.current, &mut self.previous);
        self.current.fill(0);
        self.rotated_at = now;
    }
}

fn bits(attempt: AttemptId, words: usize) -> impl Iterator<Item = u64> {
    let mut hasher = DefaultHasher::new();
    attempt.hash(&mut hasher);
    let first = hasher.finish();
    first.hash(&mut hasher);
    let second = hasher.finish() | 1;
    let mask = words as u64 * WORD_BITS - 1;
    (0..HASHES).map(move |i| first.wrapping_add(i.wrapping_mul(second)) & mask)
}
