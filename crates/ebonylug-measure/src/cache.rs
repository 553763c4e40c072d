//! The prefix cache of a fake engine.

use std::collections::{BTreeMap, HashMap};

/// A prefix cache with a bounded number of tokens and LRU eviction.
#[derive(Clone, Debug)]
pub struct PrefixCache {
    capacity: u64,
    used: u64,
    /// Number of uses of all blocks, as a logical time.
    clock: u64,
    /// Size in tokens and last use of each block.
    blocks: HashMap<u64, (u64, u64)>,
    /// Blocks by last use.
    recency: BTreeMap<u64, u64>,
}

impl PrefixCache {
    /// Creates an empty cache for `capacity` tokens.
    #[must_use]
    pub fn new(capacity: u64) -> Self {
        PrefixCache {
            capacity,
            used: 0,
            clock: 0,
            blocks: HashMap::new(),
            recency: BTreeMap::new(),
        }
    }

    /// Returns the size of a cached block in tokens and marks it as most recently used.
    pub fn get(&mut self, block: u64) -> Option<u64> {
        let (tokens, _) = *self.blocks.get(&block)?;
        self.insert(block, tokens);
        Some(tokens)
    }

    /// Inserts a block of `tokens` and evicts the least recently used blocks above the capacity.
    pub fn insert(&mut self, block: u64, tokens: u64) {
        self.clock += 1;
        if let Some((old, last_used)) = self.blocks.insert(block, (tokens, self.clock)) {
            self.recency.remove(&last_used);
            self.used -= old;
        }
        self.recency.insert(self.clock, block);
        self.used += tokens;
        while self.used > self.capacity {
            let Some((_, oldest)) = self.recency.pop_first() else {
                return;
            };
            if let Some((tokens, _)) = self.blocks.remove(&oldest) {
                self.used -= tokens;
            }
        }
    }

    /// Evicts all blocks.
    pub fn clear(&mut self) {
        self.blocks.clear();
        self.recency.clear();
        self.used = 0;
    }
}
