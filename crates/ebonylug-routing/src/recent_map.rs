use std::collections::HashMap;
use std::hash::{BuildHasher, Hash, RandomState};
use std::mem;

/// A map that keeps about the most recently written entries within a fixed bound.
///
/// It consists of two generations. When the young one is full, it becomes the old one, and the
/// former old one is dropped. This costs less than a list in order of use, and a hint that is
/// lost early does no harm.
#[derive(Debug)]
pub(crate) struct RecentMap<K, V, S = RandomState> {
    young: HashMap<K, V, S>,
    old: HashMap<K, V, S>,
    generation_size: usize,
}

impl<K: Eq + Hash + Copy, V: Default + Copy, S: BuildHasher + Default> RecentMap<K, V, S> {
    /// Creates a map that holds at most `bound` entries, at least two.
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

    /// Returns the entry of `key` for writing, which renews it.
    pub(crate) fn touch(&mut self, key: K) -> &mut V {
        if !self.young.contains_key(&key) {
            let value = self.old.remove(&key).unwrap_or_default();
            self.rotate();
            self.young.insert(key, value);
        }
        self.young.get_mut(&key).expect("entry was inserted")
    }

    /// Returns the entry of `key` for writing, if there is one.
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
