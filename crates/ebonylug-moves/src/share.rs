use std::fmt;

use serde::{Deserialize, Serialize};

/// A share of traffic in steps of 0.01 %.
///
/// Shares are integers, so that all entries compute exactly the same share from a schedule.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Share(u16);

impl Share {
    /// No traffic.
    pub const ZERO: Share = Share(0);
    /// All traffic.
    pub const FULL: Share = Share(10_000);

    /// Creates a share from a whole percentage. Values above 100 are clamped to 100.
    #[must_use]
    pub const fn percent(percent: u16) -> Self {
        if percent >= 100 {
            Share::FULL
        } else {
            Share(percent * 100)
        }
    }

    /// Creates a share from a fraction, rounded down. Values outside 0 to 1 are clamped.
    #[must_use]
    pub fn from_fraction(fraction: f64) -> Self {
        // The offset keeps binary rounding from lowering an exact multiple of 0.01 % by one step.
        Share((fraction.clamp(0.0, 1.0) * 10_000.0 + 1e-6) as u16)
    }

    /// Returns the share as a fraction between 0 and 1.
    #[must_use]
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / 10_000.0
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.2} %", self.fraction() * 100.0)
    }
}
