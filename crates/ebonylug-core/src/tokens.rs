use std::iter::Sum;
use std::ops::{Add, AddAssign, Sub, SubAssign};

use serde::{Deserialize, Serialize};

/// An amount of work in tokens. Addition and subtraction saturate.
///
/// A call to a service that is not a model costs one token.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Tokens(pub u64);

impl Tokens {
    /// No work.
    pub const ZERO: Tokens = Tokens(0);

    /// Returns `self` multiplied by `factor`, rounded down; negative factors give zero.
    #[must_use]
    pub fn scale(self, factor: f64) -> Tokens {
        Tokens((self.0 as f64 * factor) as u64)
    }

    /// Returns the amount as a float, for ratios.
    #[must_use]
    pub fn as_f64(self) -> f64 {
        self.0 as f64
    }
}

impl Add for Tokens {
    type Output = Tokens;

    fn add(self, other: Tokens) -> Tokens {
        Tokens(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Tokens {
    fn add_assign(&mut self, other: Tokens) {
        *self = *self + other;
    }
}

impl Sub for Tokens {
    type Output = Tokens;

    fn sub(self, other: Tokens) -> Tokens {
        Tokens(self.0.saturating_sub(other.0))
    }
}

impl SubAssign for Tokens {
    fn sub_assign(&mut self, other: Tokens) {
        *self = *self - other;
    }
}

impl Sum for Tokens {
    fn sum<I: Iterator<Item = Tokens>>(iter: I) -> Tokens {
        iter.fold(Tokens::ZERO, Add::add)
    }
}
