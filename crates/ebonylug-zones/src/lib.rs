//! Drained and dark availability zones and their slow return.
