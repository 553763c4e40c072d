//! Decisions about duties that one entry performs at a time, without I/O and without a clock.
//!
//! Load condition: requests are counted at all entries, and any of them may be killed, frozen or cut off
//! while the reports of one window must reach the platform complete, in time and never with two contents.
//!
//! - [`SharedClock`] and [`TrueTime`]: the time of day that all entries agree on.
//! - [`Counts`]: the requests of each window by organisation, of all entries.
//! - [`Duties`]: combines both, and decides when a window can be reported.
//! - [`Reports`]: which report is written to the store, and which is sent.
//!
//! `ebonylug-lease` decides which entry acts.

mod counts;
mod duties;
mod note;
mod reports;
mod time;

pub use counts::Counts;
pub use duties::{Duties, Readiness, Settings};
pub use note::{Note, Told, WindowCounts};
pub use reports::{
    Action, Creation, HEAD_KEY, Loaded, REPORT_PREFIX, Reports, may_send, report_key,
};
pub use time::{SharedClock, TrueTime};
