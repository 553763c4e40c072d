use std::fmt;

use serde::{Deserialize, Serialize};

/// A share of traffic in steps of 0.01 %.
///
/// Shares are integers, so that all entries compute exactly the same one from a schedule.
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

    /// Creates a share from whole percent; more than 100 is 100.
    #[must_use]
    pub const fn percent(percent: u16) -> Self {
        if percent >= 100 {
            Share::FULL
        } else {
            Share(percent * 100)
        }
    }

    /// Creates a share from a fraction, rounded down; values outside 0 to 1 are clamped.
    #[must_use]
    pub fn from_fraction(fraction: f64) -> Self {
        // The small addition keeps whole steps whole in spite of binary rounding.
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
