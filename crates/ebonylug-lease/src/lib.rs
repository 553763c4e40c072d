//! Leases with fencing numbers in the table service.
