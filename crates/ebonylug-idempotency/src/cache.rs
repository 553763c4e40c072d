use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use ebonylug_core::Name;

use crate::CallKey;

/// A cache of values for repeatable calls with an idempotency key, bounded in number and age.
///
/// The loss of a value has no other effect than a second run of a call that may run twice.
#[derive(Debug)]
pub struct CallCache<V> {
    capacity: usize,
    retention: Duration,
    values: HashMap<CallKey, (Instant, V)>,
    /// Keys in the order of insertion. A key occurs once per insertion.
    insertions: VecDeque<(Instant, CallKey)>,
}

impl<V> CallCache<V> {
    /// Creates an empty cache for at most `capacity` keys.
    #[must_use]
    pub fn new(capacity: usize, retention: Duration) -> Self {
        CallCache {
            capacity,
            retention,
            values: HashMap::new(),
            insertions: VecDeque::new(),
        }
    }

    /// Inserts a value, replacing an earlier one for the same key, and evicts old values.
    pub fn insert(&mut self, now: Instant, key: CallKey, value: V) {
        self.values.insert(key.clone(), (now, value));
        self.insertions.push_back((now, key));
        self.evict(now);
    }

    /// Returns the value of a key unless it is older than the retention period.
    #[must_use]
    pub fn get(&self, now: Instant, key: &CallKey) -> Option<&V> {
        let (inserted, value) = self.values.get(key)?;
        (now - *inserted < self.retention).then_some(value)
    }

    /// Returns the number of cached keys, including expired ones that are not evicted yet.
    #[must_use]
    pub fn len(&self) -> usize {
        self.values.len()
    }

    /// Reports whether the cache holds no keys.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.values.is_empty()
    }

    fn evict(&mut self, now: Instant) {
        while let Some((inserted, key)) = self.insertions.front() {
            let current = self.values.get(key).is_some_and(|(at, _)| at == inserted);
            let expired = now - *inserted >= self.retention;
            if current && !expired && self.insertions.len() <= self.capacity {
                break;
            }
            if current {
                self.values.remove(key);
            }
            self.insertions.pop_front();
        }
    }
}

/// Selects the sidecar that caches a key, by rendezvous hashing: entries with the same list of
/// sidecars agree, and the removal of a sidecar reassigns only its own keys.
#[must_use]
pub fn cache_owner<'a>(key: &CallKey, sidecars: &'a [Name]) -> Option<&'a Name> {
    let weight = |sidecar: &&Name| {
        let mut hasher = blake3::Hasher::new();
        hasher.update(key.as_str().as_bytes());
        hasher.update(&[0]);
        hasher.update(sidecar.as_str().as_bytes());
        *hasher.finalize().as_bytes()
    };
    sidecars.iter().max_by_key(weight)
}
