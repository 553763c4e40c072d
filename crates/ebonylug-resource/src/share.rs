use std::fmt;

use serde::{Deserialize, Serialize};

/// A share of traffic between 0 and 1, with a resolution of one millionth.
///
/// The value is stored as an integer, so that all entries compute the same schedule and the text
/// form of a document is stable.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(into = "f64", try_from = "f64")]
pub struct Share(u32);

impl Share {
    /// No traffic.
    pub const ZERO: Share = Share(0);
    /// All traffic.
    pub const FULL: Share = Share(Self::MILLIONTHS);

    const MILLIONTHS: u32 = 1_000_000;

    /// Creates a share from a fraction. Returns `None` outside 0 to 1.
    #[must_use]
    pub fn new(fraction: f64) -> Option<Self> {
        let valid = (0.0..=1.0).contains(&fraction);
        valid.then(|| Share((fraction * f64::from(Self::MILLIONTHS)).round() as u32))
    }

    /// Creates a share from millionths, capped at one million.
    #[must_use]
    pub const fn from_millionths(millionths: u32) -> Self {
        if millionths > Self::MILLIONTHS {
            Self::FULL
        } else {
            Share(millionths)
        }
    }

    /// Returns the share in millionths.
    #[must_use]
    pub const fn millionths(self) -> u32 {
        self.0
    }

    /// Returns the share as a fraction between 0 and 1.
    #[must_use]
    pub fn as_f64(self) -> f64 {
        f64::from(self.0) / f64::from(Self::MILLIONTHS)
    }

    /// Returns one minus this share.
    #[must_use]
    pub const fn complement(self) -> Self {
        Share(Self::MILLIONTHS - self.0)
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}%",
            f64::from(self.0) / f64::from(Self::MILLIONTHS / 100)
        )
    }
}

impl From<Share> for f64 {
    fn from(share: Share) -> f64 {
        share.as_f64()
    }
}

impl TryFrom<f64> for Share {
    type Error = String;

    fn try_from(fraction: f64) -> Result<Self, String> {
        Share::new(fraction).ok_or_else(|| format!("{fraction} is not between 0 and 1"))
    }
}
