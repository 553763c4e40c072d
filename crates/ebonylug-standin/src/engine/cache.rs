use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use ebonylug_core::Fingerprint;
use serde::{Deserialize, Serialize};

/// Older cache events are forgotten.
const MAX_EVENTS: usize = 4096;

/// A change of the prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The number of the event since the start of the engine. Lost events leave gaps.
    pub sequence: u64,
    /// The block, hashed together with all blocks before it; see [`block_hashes`].
    pub block: Fingerprint,
    /// What happened to it.
    pub change: CacheChange,
}

/// What happened to a block of the prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// The block is now in the cache.
    Stored,
    /// The block was dropped for others.
    Evicted,
}

/// Hashes the whole blocks of a prompt, each together with all blocks before it.
///
/// The hash of a block is the fingerprint of the hash before it (8 bytes, little endian, 0 at
/// the start) followed by the block's tokens, each followed by a space.
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

/// A prefix cache in blocks; the least recently used block is evicted first.
pub(super) struct Cache {
    capacity: usize,
    used: HashMap<Fingerprint, u64>,
    order: BTreeMap<u64, Fingerprint>,
    clock: u64,
    sequence: u64,
    lag: Duration,
    events: VecDeque<(Instant, CacheEvent)>,
}

impl Cache {
    pub(super) fn new(capacity: usize, lag: Duration) -> Self {
        Cache {
            capacity,
            used: HashMap::new(),
            order: BTreeMap::new(),
            clock: 0,
            sequence: 0,
            lag,
            events: VecDeque::new(),
        }
    }

    /// Forgets all blocks and events, as a restarted engine does.
    pub(super) fn clear(&mut self) {
        *self = Cache::new(self.capacity, self.lag);
    }

    /// Counts the leading blocks that are in the cache, and uses them.
    pub(super) fn hits(&mut self, blocks: &[Fingerprint]) -> usize {
        let found = blocks.iter().take_while(|b| self.used.contains_key(b));
        let found = found.count();
        for block in &blocks[..found] {
            self.touch(*block);
        }
        found
    }

    /// Stores blocks. `lost` decides for each event whether readers ever see it.
    pub(super) fn store(
        &mut self,
        now: Instant,
        blocks: &[Fingerprint],
        mut lost: impl FnMut() -> bool,
    ) {
        for block in blocks {
            let new = !self.used.contains_key(block);
            self.touch(*block);
            if new {
                self.note(now, *block, CacheChange::Stored, lost());
            }
        }
        while self.used.len() > self.capacity {
            let (_, block) = self.order.pop_first().expect("each block has a place");
            self.used.remove(&block);
            self.note(now, block, CacheChange::Evicted, lost());
        }
    }

    /// Returns the events after `since` that are older than the lag.
    pub(super) fn events(&self, now: Instant, since: u64) -> Vec<CacheEvent> {
        let due = self.events.iter().filter(|(at, _)| *at + self.lag <= now);
        due.map(|(_, event)| *event)
            .filter(|event| event.sequence > since)
            .collect()
    }

    fn touch(&mut self, block: Fingerprint) {
        self.clock += 1;
        if let Some(old) = self.used.insert(block, self.clock) {
            self.order.remove(&old);
        }
        self.order.insert(self.clock, block);
    }

    fn note(&mut self, now: Instant, block: Fingerprint, change: CacheChange, lost: bool) {
        self.sequence += 1;
        if lost {
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
