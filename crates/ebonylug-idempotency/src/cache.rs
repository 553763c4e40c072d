use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use ebonylug_core::Name;

use crate::CallKey;

/// What a sidecar remembers of repeatable calls with a key, bounded in number and time.
///
/// Losing an entry costs a second run of a call that may run twice, and nothing else.
#[derive(Debug)]
pub struct CallCache<V> {
    capacity: usize,
    retention: Duration,
    values: HashMap<CallKey, (Instant, V)>,
    /// Keys in the order of insertion. A key that was inserted again occurs twice.
    order: VecDeque<(Instant, CallKey)>,
}

impl<V> CallCache<V> {
    /// Creates an empty memory for at most `capacity` keys.
    #[must_use]
    pub fn new(capacity: usize, retention: Duration) -> Self {
        CallCache {
            capacity,
            retention,
            values: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Remembers a value, in place of an earlier one for the same key.
    pub fn insert(&mut self, now: Instant, key: CallKey, value: V) {
        self.values.insert(key.clone(), (now, value));
        self.order.push_back((now, key));
        self.evict(now);
    }

    /// Returns the value of a key unless it is older than the retention period.
    #[must_use]
    pub fn get(&self, now: Instant, key: &CallKey) -> Option<&V> {
        let (inserted, value) = self.values.get(key)?;
        (now - *inserted < self.retention).then_some(value)
    }

    /// Returns the number of remembered keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.values.len()
    }

    /// Reports whether nothing is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.values.is_empty()
    }

    fn evict(&mut self, now: Instant) {
        while let Some((inserted, key)) = self.order.front() {
            let current = self.values.get(key).is_some_and(|(at, _)| at == inserted);
            let old = now - *inserted >= self.retention;
            if current && !old && self.order.len() <= self.capacity {
                break;
            }
            if current {
                self.values.remove(key);
            }
            self.order.pop_front();
        }
    }
}

/// Chooses the sidecar that remembers a key, by rendezvous hash: entries with the same view of
/// the sidecars agree, and a sidecar that goes moves only its own keys.
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
