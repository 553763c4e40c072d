//! Admission of work to one target: limits, cold start, preemption, attempts and tombstones.
