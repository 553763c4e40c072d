use std::fmt;

use serde::{Deserialize, Serialize};

/// Share of new work that a zone gets: a factor between 0 and 1 that is applied to the work of its
/// targets.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ZoneShare(f64);

impl ZoneShare {
    /// No new work.
    pub const NONE: ZoneShare = ZoneShare(0.0);
    /// All the work that the limits of the targets admit.
    pub const FULL: ZoneShare = ZoneShare(1.0);

    /// Creates a share; values outside 0 to 1 are clamped.
    #[must_use]
    pub fn new(factor: f64) -> Self {
        ZoneShare(factor.clamp(0.0, 1.0))
    }

    /// Returns the share as a factor between 0 and 1.
    #[must_use]
    pub const fn factor(self) -> f64 {
        self.0
    }
}

impl fmt::Display for ZoneShare {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.2}", self.0)
    }
}
