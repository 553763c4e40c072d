//! Queueing and choice of targets in an entry, with the attempt ledger and the retry budget.
