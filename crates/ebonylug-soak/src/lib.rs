//! Runs the real programs under random faults and checks their guarantees.
//!
//! A [`Schedule`] is drawn from a seed and contains load, operator changes and overlapping faults.
//! [`run_schedule`] starts real entries and engines as separate processes on loopback, with a fake platform. It
//! applies the schedule from outside the programs and records what callers and engines observe as a [`History`].
//! The [`Checker`] verifies the guarantees on this history. It does not depend on processes, so tests can pass it
//! histories that violate a guarantee.
//!
//! [`shrink`] reduces a failing schedule by dropping events for as long as the failure persists.
//!
//! # Limitations
//!
//! Clock steps are not tested, because entries measure ages by the time since boot and use no clock that can be
//! stepped from outside. Disk faults are not tested, because entries store nothing on disk. Moves between versions
//! are covered by the tests of the move logic.

mod addresses;
mod caller;
mod checker;
mod cluster;
pub mod engine;
mod engines;
mod history;
mod page;
mod process;
mod proxy;
mod report;
mod rows;
mod runner;
mod schedule;
mod shrink;

pub use checker::{Checker, Guarantee, Violation};
pub use history::{
    Arrival, Change, Execution, FaultScope, FaultWindow, History, Outcome, Read, RequestKind,
    RequestRecord, RowState, RowWrite,
};
pub use page::render_page;
pub use report::{Report, ScheduleResult};
pub use runner::{Options, run_schedule};
pub use schedule::{Event, Fault, Schedule};
pub use shrink::shrink;

/// An error that prevents a schedule from running.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A process, file or socket could not be created.
    #[error("{0}: {1}")]
    Setup(Box<str>, std::io::Error),
    /// A process did not start as required.
    #[error("{0}")]
    Start(Box<str>),
}

/// A result with this crate's [`Error`].
pub type Result<T, E = Error> = std::result::Result<T, E>;
