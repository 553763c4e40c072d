//! The prefix cache of a fake engine.

use std::collections::{BTreeMap, HashMap};

/// A prefix cache in limited memory that drops what was not used for the longest time.
#[derive(Clone, Debug)]
pub struct PrefixCache {
    capacity: u64,
    held: u64,
    clock: u64,
    blocks: HashMap<u64, (u64, u64)>,
    order: BTreeMap<u64, u64>,
}

impl PrefixCache {
    /// Creates an empty cache for `capacity` tokens.
    #[must_use]
    pub fn new(capacity: u64) -> Self {
        PrefixCache {
            capacity,
            held: 0,
            clock: 0,
            blocks: HashMap::new(),
            order: BTreeMap::new(),
        }
    }

    /// Returns the tokens of a block if it is held, and marks it as used.
    pub fn get(&mut self, block: u64) -> Option<u64> {
        let (tokens, _) = *self.blocks.get(&block)?;
        self.insert(block, tokens);
        Some(tokens)
    }

    /// Holds a block of `tokens`, and drops others as needed.
    pub fn insert(&mut self, block: u64, tokens: u64) {
        self.clock += 1;
        if let Some((old, stamp)) = self.blocks.insert(block, (tokens, self.clock)) {
            self.order.remove(&stamp);
            self.held -= old;
        }
        self.order.insert(self.clock, block);
        self.held += tokens;
        while self.held > self.capacity {
            let Some((_, oldest)) = self.order.pop_first() else {
                return;
            };
            if let Some((tokens, _)) = self.blocks.remove(&oldest) {
                self.held -= tokens;
            }
        }
    }

    /// Drops everything.
    pub fn clear(&mut self) {
        self.blocks.clear();
        self.order.clear();
        self.held = 0;
    }
}
