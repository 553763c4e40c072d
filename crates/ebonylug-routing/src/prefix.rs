use std::hash::{BuildHasherDefault, Hasher};

use smallvec::SmallVec;

use crate::TargetKey;
use crate::recent_map::RecentMap;

/// Maximum number of targets stored for each block.
const HOLDERS_PER_BLOCK: usize = 2;

/// Maps prefix blocks to the targets that probably hold them in their cache.
///
/// The index is a hint: it is built from dispatches and from cache events, which arrive late
/// and may be lost. A block hash covers the whole prefix up to its block, so a gap in the
/// middle does no harm.
#[derive(Debug)]
pub(crate) struct PrefixIndex {
    blocks: RecentMap<u64, Holders, BuildHasherDefault<BlockHasher>>,
}

/// A target and the generation of its cache, which increases whenever the cache is lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Holder {
    pub(crate) target: TargetKey,
    pub(crate) generation: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct Holders([Option<(Holder, bool)>; HOLDERS_PER_BLOCK]);

/// Uses block hashes unchanged, since they are already uniform.
#[derive(Debug, Default)]
pub(crate) struct BlockHasher(u64);

impl PrefixIndex {
    pub(crate) fn new(bound: usize) -> Self {
        PrefixIndex {
            blocks: RecentMap::new(bound),
        }
    }

    /// Adds a holder of a prefix. A holder that is not `confirmed` is still computing the prefix.
    pub(crate) fn insert(&mut self, prefix: &[u64], holder: Holder, confirmed: bool) {
        for &block in prefix {
            self.blocks.touch(block).insert(holder, confirmed);
        }
    }

    /// Removes a target from the holders of the blocks.
    pub(crate) fn remove(&mut self, blocks: &[u64], target: TargetKey) {
        for block in blocks {
            if let Some(holders) = self.blocks.get_mut(block) {
                holders.remove(target);
            }
        }
    }

    /// Returns the accepted holders of the longest cached part of the prefix, each with whether it
    /// is confirmed, and the length of this part in blocks.
    pub(crate) fn longest(
        &self,
        prefix: &[u64],
        accept: impl Fn(Holder) -> bool,
    ) -> (SmallVec<[(TargetKey, bool); HOLDERS_PER_BLOCK]>, usize) {
        for (index, block) in prefix.iter().enumerate().rev() {
            let Some(Holders(holders)) = self.blocks.get(block) else {
                continue;
            };
            let accepted = holders
                .iter()
                .flatten()
                .filter(|(holder, _)| accept(*holder));
            let targets: SmallVec<[(TargetKey, bool); HOLDERS_PER_BLOCK]> = accepted
                .map(|(h, confirmed)| (h.target, *confirmed))
                .collect();
            if !targets.is_empty() {
                return (targets, index + 1);
            }
        }
        (SmallVec::new(), 0)
    }

    pub(crate) fn len(&self) -> usize {
        self.blocks.len()
    }
}

impl Holders {
    /// Puts the holder first and drops the least recently added one.
    fn insert(&mut self, holder: Holder, confirmed: bool) {
        let [first, second] = self.0;
        let confirmed = confirmed || self.0.contains(&Some((holder, true)));
        let other = match first {
            Some((first, _)) if first.target == holder.target => second,
            first => first,
        };
        self.0 = [Some((holder, confirmed)), other];
    }

    fn remove(&mut self, target: TargetKey) {
        for slot in &mut self.0 {
            if slot.is_some_and(|(holder, _)| holder.target == target) {
                *slot = None;
            }
        }
    }
}

impl Hasher for BlockHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for &byte in bytes {
            self.0 = self.0.rotate_left(8) ^ u64::from(byte);
        }
    }

    fn write_u64(&mut self, value: u64) {
        self.0 = value;
    }
}
