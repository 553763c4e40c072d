//! Request scheduler for unlike engines.
