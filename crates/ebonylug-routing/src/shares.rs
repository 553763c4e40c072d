use ebonylug_core::RequestId;
use smallvec::SmallVec;

use crate::VersionKey;

/// The traffic split between the versions of one route.
///
/// A draw uses the hash of the request id, weighted by the deficit of each version. Hashing
/// alone would deviate from the shares by the square root of the number of requests; with the
/// deficits, the deviation stays within about one request.
#[derive(Debug, Default)]
pub(crate) struct Shares {
    versions: SmallVec<[VersionShare; 2]>,
    epoch: u32,
}

#[derive(Clone, Copy, Debug)]
struct VersionShare {
    key: VersionKey,
    share: f64,
    /// Number of requests by which the version is below its share; negative if it is above.
    deficit: f64,
    /// Whether the version may take requests above its share for which another version has no
    /// headroom. A version that is being rolled out must not, so this is set for a version that
    /// has had all traffic, and for the one with the largest share in the first split.
    takes_overflow: bool,
}

impl Shares {
    /// Sets the shares, relative to their sum. A share that is not finite and positive counts as
    /// zero.
    pub(crate) fn set(&mut self, shares: &[(VersionKey, f64)]) {
        let positive = |share: f64| share.is_finite() && share > 0.0;
        let total: f64 = shares.iter().map(|s| s.1).filter(|&s| positive(s)).sum();
        let mut versions: SmallVec<[VersionShare; 2]> = SmallVec::new();
        for &(key, share) in shares {
            if !positive(share) || versions.iter().any(|v| v.key == key) {
                continue;
            }
            versions.push(self.with_share(key, share / total));
        }
        versions.sort_by_key(|version| version.key);
        let same = versions.len() == self.versions.len()
            && versions
                .iter()
                .zip(&self.versions)
                .all(|(a, b)| a.key == b.key && a.share == b.share);
        if same {
            return;
        }
        let first = self.versions.is_empty();
        self.versions = versions;
        self.epoch += 1;
        if let Some(index) = self.largest().filter(|_| first) {
            self.versions[index].takes_overflow = true;
        }
    }

    /// Returns a number that increases with each change of the shares.
    pub(crate) fn epoch(&self) -> u32 {
        self.epoch
    }

    pub(crate) fn share(&self, key: VersionKey) -> f64 {
        self.versions
            .iter()
            .find(|v| v.key == key)
            .map_or(0.0, |v| v.share)
    }

    pub(crate) fn len(&self) -> usize {
        self.versions.len()
    }

    pub(crate) fn keys(&self) -> impl Iterator<Item = VersionKey> + '_ {
        self.versions.iter().map(|version| version.key)
    }

    /// Draws a version for a request. A version without a share is never drawn.
    pub(crate) fn draw(&mut self, id: RequestId) -> Option<VersionKey> {
        for version in &mut self.versions {
            version.deficit += version.share;
        }
        let total: f64 = self.versions.iter().map(|v| v.deficit.max(0.0)).sum();
        let mut point = unit_hash(id) * total;
        let mut drawn = None;
        for (index, version) in self.versions.iter().enumerate() {
            if version.deficit <= 0.0 {
                continue;
            }
            drawn = Some(index);
            if point < version.deficit {
                break;
            }
            point -= version.deficit;
        }
        // After a change of the shares, all deficits can be zero or negative.
        let index = drawn.or_else(|| self.largest())?;
        self.versions[index].deficit -= 1.0;
        Some(self.versions[index].key)
    }

    /// Reverts a draw whose request was not dispatched.
    pub(crate) fn undo_draw(&mut self, key: VersionKey) {
        if self.share(key) <= 0.0 {
            return;
        }
        for version in &mut self.versions {
            version.deficit -= version.share;
            if version.key == key {
                version.deficit += 1.0;
            }
        }
    }

    /// Returns the version that takes a request for which `from` has no headroom: among the
    /// versions that take overflow, the one with the largest share.
    pub(crate) fn fallback(&self, from: VersionKey) -> Option<VersionKey> {
        let takes_overflow = self
            .versions
            .iter()
            .filter(|version| version.takes_overflow);
        let version = takes_overflow.max_by(|a, b| a.share.total_cmp(&b.share))?;
        (version.key != from).then_some(version.key)
    }

    /// Counts a request that was drawn for `from` towards `to`. The deficit is bounded, or `from`
    /// would get a burst above its share once it has headroom again.
    pub(crate) fn reassign(&mut self, from: VersionKey, to: VersionKey) {
        for version in &mut self.versions {
            if version.key == from {
                version.deficit = (version.deficit + 1.0).min(1.0);
            } else if version.key == to {
                version.deficit = (version.deficit - 1.0).max(-1.0);
            }
        }
    }

    /// Returns a version with a new share and the rest of its previous state, if it has any.
    fn with_share(&self, key: VersionKey, share: f64) -> VersionShare {
        let old = self.versions.iter().find(|v| v.key == key);
        VersionShare {
            key,
            share,
            deficit: old.map_or(0.0, |v| v.deficit),
            takes_overflow: share >= 1.0 || old.is_some_and(|v| v.takes_overflow),
        }
    }

    fn largest(&self) -> Option<usize> {
        (0..self.versions.len()).max_by(|&a, &b| {
            let (a, b) = (self.versions[a], self.versions[b]);
            a.share.total_cmp(&b.share).then(b.key.cmp(&a.key))
        })
    }
}

/// Hashes a request id uniformly to the interval [0, 1), with the finaliser of SplitMix64.
fn unit_hash(id: RequestId) -> f64 {
    let mut hash = (id.0 >> 64) as u64 ^ (id.0 as u64);
    hash = hash.wrapping_add(0x9e37_79b9_7f4a_7c15);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^= hash >> 31;
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}
