use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use ebonylug_core::Fingerprint;
use serde::{Deserialize, Serialize};

/// Maximum number of retained cache events. The oldest are dropped first.
const MAX_EVENTS: usize = 4096;

/// A change of the prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The number of the event since the cache was last cleared, from 1. Dropped events leave gaps.
    pub sequence: u64,
    /// The hash of the block and all blocks before it; see [`block_hashes`].
    pub block: Fingerprint,
    /// Whether the block was stored or evicted.
    pub change: CacheChange,
}

/// The kind of a [`CacheEvent`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// The block was added to the cache.
    Stored,
    /// The block was evicted because the cache was full.
    Evicted,
}

/// Hashes the full blocks of a prompt, each together with all blocks before it. A partial last
/// block is ignored.
///
/// The hash of a block is the fingerprint of the previous block's hash (8 bytes, little endian, 0
/// for the first block) and the block's tokens, each followed by a space.
pub fn block_hashes<'a>(
    tokens: &'a [impl AsRef<str>],
    size: usize,
) -> impl Iterator<Item = Fingerprint> + 'a {
    tokens.chunks_exact(size).scan(0_u64, |hash, block| {
        let mut content = hash.to_le_bytes().to_vec();
        for token in block {
            content.extend_from_slice(token.as_ref().as_bytes());
            content.push(b' ');
        }
        let fingerprint = Fingerprint::of(&content);
        *hash = fingerprint.0;
        Some(fingerprint)
    })
}

/// A prefix cache of blocks with least-recently-used eviction.
pub(super) struct PrefixCache {
    capacity: usize,
    /// The clock value of the last use of each block.
    last_used: HashMap<Fingerprint, u64>,
    /// The blocks by the clock value of their last use.
    lru: BTreeMap<u64, Fingerprint>,
    clock: u64,
    sequence: u64,
    lag: Duration,
    events: VecDeque<(Instant, CacheEvent)>,
}

impl PrefixCache {
    pub(super) fn new(capacity: usize, lag: Duration) -> Self {
        PrefixCache {
            capacity,
            last_used: HashMap::new(),
            lru: BTreeMap::new(),
            clock: 0,
            sequence: 0,
            lag,
            events: VecDeque::new(),
        }
    }

    /// Drops all blocks and events, as a restart of the engine does.
    pub(super) fn clear(&mut self) {
        *self = PrefixCache::new(self.capacity, self.lag);
    }

    /// Returns the number of leading blocks that are in the cache, and marks them as used.
    pub(super) fn look_up(&mut self, blocks: &[Fingerprint]) -> usize {
        let found = blocks.iter().take_while(|b| self.last_used.contains_key(b));
        let found = found.count();
        for block in &blocks[..found] {
            self.touch(*block);
        }
        found
    }

    /// Stores blocks and evicts others as needed. Events for which `drop_event` returns true are
    /// not retained.
    pub(super) fn store(
        &mut self,
        now: Instant,
        blocks: &[Fingerprint],
        mut drop_event: impl FnMut() -> bool,
    ) {
        for block in blocks {
            let new = !self.last_used.contains_key(block);
            self.touch(*block);
            if new {
                self.record_event(now, *block, CacheChange::Stored, drop_event());
            }
        }
        while self.last_used.len() > self.capacity {
            let (_, block) = self
                .lru
                .pop_first()
                .expect("each cached block has an entry in the order of use");
            self.last_used.remove(&block);
            self.record_event(now, block, CacheChange::Evicted, drop_event());
        }
    }

    /// Returns the events with a sequence number above `since` that are at least `lag` old.
    pub(super) fn events(&self, now: Instant, since: u64) -> Vec<CacheEvent> {
        let due = self.events.iter().filter(|(at, _)| *at + self.lag <= now);
        due.map(|(_, event)| *event)
            .filter(|event| event.sequence > since)
            .collect()
    }

    fn touch(&mut self, block: Fingerprint) {
        self.clock += 1;
        if let Some(old) = self.last_used.insert(block, self.clock) {
            self.lru.remove(&old);
        }
        self.lru.insert(self.clock, block);
    }

    fn record_event(
        &mut self,
        now: Instant,
        block: Fingerprint,
        change: CacheChange,
        drop_event: bool,
    ) {
        self.sequence += 1;
        if drop_event {
            return;
        }
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        let event = CacheEvent {
            sequence: self.sequence,
            block,
            change,
        };
        self.events.push_back((now, event));
    }
}
