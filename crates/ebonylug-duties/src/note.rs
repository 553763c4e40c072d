use serde::{Deserialize, Serialize};

/// What an entry tells the others about duties.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Note {
    /// The sender's reading of the store's steady clock in milliseconds, if it has one.
    pub steady: Option<u64>,
    /// The sender's time of day, in milliseconds since 1970.
    pub wall: u64,
    /// The first window that the sender knows from its start.
    pub since: u64,
    /// The highest window that the sender knows to have a report; 0 if none.
    pub reported: u64,
    /// Whether the sender holds the duties.
    pub holds: bool,
    /// The sender's counts. Only in messages to entries that may hold the duties.
    pub told: Option<Told>,
}

/// Cumulative counts of windows that are not reported yet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    /// Counts of windows before this one are final.
    pub through: u64,
    /// The counts of windows in which requests began.
    pub windows: Vec<WindowCounts>,
    /// The last reports that the sender knows: their windows, and hashes of their bodies.
    pub reports: Vec<(u64, u64)>,
}

/// The counts of one window.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCounts {
    /// The number of the window.
    pub window: u64,
    /// Requests begun, by short hash of the organisation's name.
    pub counts: Vec<(u32, u32)>,
}
