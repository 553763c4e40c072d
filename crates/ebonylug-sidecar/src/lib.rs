//! The process beside each target: the only way to it.
