use std::collections::HashMap;
use std::hash::{BuildHasher, Hash, RandomState};
use std::mem;

/// A bounded map that approximates eviction of the least recently written entries.
///
/// It consists of two generations. When the young generation is full, it replaces the old one.
/// This is cheaper than an exact LRU list, and the early eviction of a hint is harmless.
#[derive(Debug)]
pub(crate) struct RecentMap<K, V, S = RandomState> {
    young: HashMap<K, V, S>,
    old: HashMap<K, V, S>,
    generation_size: usize,
}

impl<K: Eq + Hash + Copy, V: Default + Copy, S: BuildHasher + Default> RecentMap<K, V, S> {
    /// Creates a map that holds at most `bound` entries, but never fewer than two.
    pub(crate) fn new(bound: usize) -> Self {
        RecentMap {
            young: HashMap::default(),
            old: HashMap::default(),
            generation_size: (bound / 2).max(1),
        }
    }

    pub(crate) fn get(&self, key: &K) -> Option<&V> {
        self.young.get(key).or_else(|| self.old.get(key))
    }

    /// Returns the value of `key`, inserting the default if there is none, and moves it to the
    /// young generation.
    pub(crate) fn touch(&mut self, key: K) -> &mut V {
        if !self.young.contains_key(&key) {
            let value = self.old.remove(&key).unwrap_or_default();
            self.rotate();
            self.young.insert(key, value);
        }
        self.young.get_mut(&key).expect("entry was inserted")
    }

    /// Returns the value of `key` without moving it to the young generation.
    pub(crate) fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        match self.young.get_mut(key) {
            Some(value) => Some(value),
            None => self.old.get_mut(key),
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    fn rotate(&mut self) {
        if self.young.len() < self.generation_size {
            return;
        }
        mem::swap(&mut self.young, &mut self.old);
        self.young.clear();
    }
}
