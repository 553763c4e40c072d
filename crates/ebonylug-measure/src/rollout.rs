//! Version moves, and zones that become unavailable and recover, against the baseline.

pub mod moves;
pub mod summary;
pub mod zones;
