//! Version moves, and zones that leave and return, against the baseline.

pub mod moves;
pub mod summary;
pub mod zones;
