//! Typed events, bounded rings and the causal time line over all processes.
