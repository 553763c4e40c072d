use ebonylug_core::Name;
use smallvec::SmallVec;

/// An order for a number of targets of a service in a zone. It replaces the order before it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The service.
    pub service: Name,
    /// The zone.
    pub zone: Name,
    /// The number of targets.
    pub desired: u32,
}

/// The orders of one decision.
pub type Orders = SmallVec<[Order; 8]>;

/// What is known of an order that was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It is in force.
    Accepted,
    /// It may be in force, because its answer was lost.
    Unknown,
    /// It is not in force.
    Rejected,
}
