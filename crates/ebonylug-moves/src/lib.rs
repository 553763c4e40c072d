//! Version moves: schedule, evidence, judgement and phases.
