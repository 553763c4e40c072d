//! Version moves, and zones that become unavailable and return, against the baseline.

pub mod moves;
pub mod summary;
pub mod zones;
