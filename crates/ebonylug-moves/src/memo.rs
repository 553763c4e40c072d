use crate::Bucket;
use crate::likelihood::Tally;

/// Slots of one stratum: more than the buckets that the judge sees, and a power of two.
const SLOTS: u64 = 512;

/// Ratios of buckets whose counts have not changed since they were computed.
///
/// A judge runs several times per second over hundreds of buckets, of which few change. Without
/// the memo, the logarithms of the gamma function take most of the time. Each bucket has one
/// slot, which it may have to share; then the ratios are computed again.
#[derive(Clone, Debug, Default)]
pub(crate) struct Memo {
    strata: Vec<Vec<Known>>,
}

#[derive(Clone, Copy, Debug)]
struct Known {
    new: Tally,
    old: Tally,
    ratios: [f64; 2],
}

impl Memo {
    /// Returns the ratios of `new` and `old` in a bucket, computed by `ratios` if unknown.
    pub(crate) fn ratios(
        &mut self,
        stratum: usize,
        bucket: Bucket,
        new: Tally,
        old: Tally,
        ratios: impl FnOnce() -> [f64; 2],
    ) -> [f64; 2] {
        if self.strata.len() <= stratum {
            self.strata.resize_with(stratum + 1, empty);
        }
        let known = &mut self.strata[stratum][(bucket.0 % SLOTS) as usize];
        if known.new != new || known.old != old {
            *known = Known {
                new,
                old,
                ratios: ratios(),
            };
        }
        known.ratios
    }
}

/// No requests of either version have the ratio zero, which is what an empty slot says.
fn empty() -> Vec<Known> {
    let known = Known {
        new: Tally::default(),
        old: Tally::default(),
        ratios: [0.0; 2],
    };
    vec![known; SLOTS as usize]
}
