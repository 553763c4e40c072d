//! Live targets from the instance list, heartbeats and leave notices, and subsets of targets.
