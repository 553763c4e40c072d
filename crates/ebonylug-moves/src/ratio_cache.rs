use crate::Bucket;
use crate::likelihood::Tally;

/// Slots per row, a power of two above [`MAX_BUCKETS`](crate::MAX_BUCKETS). A row belongs to one
/// measure of one stratum.
const SLOTS: u64 = 512;

/// Cache of the likelihood ratios of buckets whose counters have not changed.
///
/// The sequential test runs several times per second over hundreds of buckets, of which few change.
/// Without the cache, it spends most of its time in the log-gamma function. The cache is
/// direct-mapped: buckets that map to the same slot replace each other and are computed again.
#[derive(Clone, Debug, Default)]
pub(crate) struct RatioCache {
    rows: Vec<Vec<Slot>>,
}

#[derive(Clone, Copy, Debug)]
struct Slot {
    new: Tally,
    old: Tally,
    ratios: [f64; 2],
}

impl RatioCache {
    /// Returns the ratios of `new` and `old` in a bucket of a row, computed by `compute` if they
    /// are not cached.
    pub(crate) fn ratios(
        &mut self,
        row: usize,
        bucket: Bucket,
        new: Tally,
        old: Tally,
        compute: impl FnOnce() -> [f64; 2],
    ) -> [f64; 2] {
        if self.rows.len() <= row {
            self.rows.resize_with(row + 1, empty_slots);
        }
        let slot = &mut self.rows[row][(bucket.0 % SLOTS) as usize];
        if slot.new != new || slot.old != old {
            *slot = Slot {
                new,
                old,
                ratios: compute(),
            };
        }
        slot.ratios
    }
}

/// Returns empty slots. They are valid entries: without requests of either version, the ratio is
/// zero.
fn empty_slots() -> Vec<Slot> {
    let slot = Slot {
        new: Tally::default(),
        old: Tally::default(),
        ratios: [0.0; 2],
    };
    vec![slot; SLOTS as usize]
}
