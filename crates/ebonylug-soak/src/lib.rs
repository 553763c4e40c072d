//! Plays random faults against the real programs and checks their promises.
//!
//! A [`Schedule`] is drawn from a seed: load, changes of the operator, and faults that overlap. [`play`] starts
//! real entries and engines as separate processes on loopback, with a stand-in of the platform, carries the
//! schedule out from outside the programs, and notes what callers and engines see. The [`Ledger`] judges these
//! notes: it knows nothing of processes, so that tests can feed it with broken promises.
//!
//! A schedule that fails is made smaller by [`shrink`], which drops faults while the failure stays.
//!
//! # What is left out
//!
//! Entries use no clock that can be stepped from outside: ages are measured by the time since the machine
//! started. They keep nothing on a disk. Moves between versions are played by the tests of the decisions.

mod caller;
mod checker;
mod cluster;
pub mod engine;
mod history;
mod page;
mod process;
mod proxy;
mod report;
mod runner;
mod schedule;
mod shrink;

pub use checker::{Checker, Guarantee, Violation};
pub use history::{
    Change, Execution, FaultScope, FaultWindow, History, Outcome, RequestKind, RequestRecord,
};
pub use page::render_page;
pub use report::{Report, ScheduleResult};
pub use runner::{Options, run_schedule};
pub use schedule::{Event, Fault, Schedule};
pub use shrink::shrink;

/// Why a schedule could not be played.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A process, file or socket could not be made.
    #[error("{0}: {1}")]
    Setup(Box<str>, std::io::Error),
    /// A process did not do what its start needs.
    #[error("{0}")]
    Start(Box<str>),
}

/// The result of playing a schedule.
pub type Result<T, E = Error> = std::result::Result<T, E>;
