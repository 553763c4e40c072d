use std::time::Duration;

use smallvec::SmallVec;

/// Length of the periods over which [`SharedClock`] keeps its best sample. After two of them, a store
/// whose clock restarted is followed again.
const PERIOD: Duration = Duration::from_secs(30);

/// Largest difference of the two middle values of an even number of entries that is averaged. Clocks that
/// differ by more are not both close to true time.
const CLOSE_MILLIS: i64 = 200;

/// The store's steady clock, estimated from the times in its answers.
///
/// An answer can only be delayed, so the sample with the greatest difference to the uptime is the best.
#[derive(Clone, Debug, Default)]
pub struct SharedClock {
    /// Start of the current period.
    start: Duration,
    /// Steady time minus uptime in milliseconds, in the current and in the previous period.
    best: [Option<i64>; 2],
}

impl SharedClock {
    /// Adds the time in an answer that arrived at `uptime`.
    pub fn sample(&mut self, uptime: Duration, steady: Duration) {
        if uptime >= self.start + PERIOD {
            self.best = [None, self.best[0]];
            self.start = uptime;
        }
        let difference = millis(steady) - millis(uptime);
        self.best[0] = self.best[0].max(Some(difference));
    }

    /// Returns the steady time in milliseconds, if it is known.
    #[must_use]
    pub fn at(&self, uptime: Duration) -> Option<i64> {
        let best = self.best[0].max(self.best[1])?;
        Some(millis(uptime) + best)
    }
}

/// The time of day as a difference to the uptime, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrueTime(i64);

impl TrueTime {
    /// Combines the differences between time of day and steady clock of the reachable entries.
    /// `steady` is the steady time at `uptime`. Returns `None` without any difference.
    #[must_use]
    pub fn by_median(uptime: Duration, steady: i64, differences: &mut [i64]) -> Option<Self> {
        differences.sort_unstable();
        let last = differences.len().checked_sub(1)?;
        let (low, high) = (differences[last / 2], differences[last.div_ceil(2)]);
        let middle = if high - low <= CLOSE_MILLIS {
            low + (high - low) / 2
        } else {
            low
        };
        Some(TrueTime(steady + middle - millis(uptime)))
    }

    /// Uses the time of day of this machine, for an entry that knows no steady clock.
    #[must_use]
    pub fn by_wall(uptime: Duration, wall: Duration) -> Self {
        TrueTime(millis(wall) - millis(uptime))
    }

    /// Returns the time since 1970 at an uptime.
    #[must_use]
    pub fn at(self, uptime: Duration) -> Duration {
        let time = millis(uptime) + self.0;
        Duration::from_millis(time.max(0).unsigned_abs())
    }
}

/// A short list of differences, on the stack for most deployments.
pub(crate) type Differences = SmallVec<[i64; 32]>;

pub(crate) fn millis(time: Duration) -> i64 {
    i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
}
