//! Which entry of an availability zone uses a target first.
//!
//! Entries hear of each other's requests late, so two of them that use the same target may both take its
//! last slot. The entries of a zone therefore divide its targets by rendezvous hashing: each target has
//! one owner, which knows nearly all of its load at first hand. Others use it when their own targets are
//! full. A target moves to another owner only when its owner comes or goes.

use crate::hash::mix;

/// The entries of a zone, by the hashes of their names.
#[derive(Clone, Debug, Default)]
pub(crate) struct Owners {
    own: u64,
    others: Vec<u64>,
}

impl Owners {
    /// Sets the entries. Returns whether they have changed.
    pub(crate) fn set(&mut self, own: u64, others: impl Iterator<Item = u64>) -> bool {
        let mut others: Vec<u64> = others.collect();
        others.sort_unstable();
        let changed = own != self.own || others != self.others;
        *self = Owners { own, others };
        changed
    }

    /// Reports whether this entry owns the target with this hash.
    pub(crate) fn owns(&self, target: u64) -> bool {
        let weight = |entry: u64| (mix(entry, target), entry);
        let own = weight(self.own);
        self.others.iter().all(|&other| weight(other) < own)
    }
}
