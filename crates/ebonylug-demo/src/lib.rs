//! Both sample deployments in small, on loopback in one process.
//!
//! [`Deployment`] starts the platform's stand-in, fakes of the targets, and the real sidecars and
//! entries, which talk over real sockets. The demo and the tests of failures are built on it.

mod client;
mod deployment;
mod load;
mod relay;
pub mod story;
mod verdict;

pub use client::{Answer, Caller};
pub use deployment::{Deployment, DeploymentOptions, Error, Fake, Node, OPERATOR_TOKEN, Result};
pub use ebonylug_standin::{Engine, Service};
pub use load::{Call, Load, Record, Seen, Stream};
pub use relay::Relay;
pub use verdict::{Verdict, judge, runs, summary};

/// The sample configuration of the fibras division.
pub const FIBRAS: &str = include_str!("../../../examples/fibras/resources.json5");
/// The sample configuration of Scaleward Kettle Care.
pub const SCALEWARD: &str = include_str!("../../../examples/scaleward/resources.json5");
