//! Idempotency keys and records of calls that may not be repeated.
