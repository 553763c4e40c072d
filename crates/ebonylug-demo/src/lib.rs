//! Both sample deployments at small scale, on loopback in one process.
//!
//! [`Deployment`] starts a fake platform, fake targets, and the real sidecars and entries, which
//! communicate over real sockets. The demo and the failure tests are built on it.

mod checks;
mod client;
mod deployment;
mod load_generator;
mod relay;
pub mod scenarios;

pub use checks::{CheckResult, check_guarantees, outcome_summary, run_counts};
pub use client::{ApiClient, Response};
pub use deployment::{
    Deployment, DeploymentOptions, Error, FakeTarget, Node, OPERATOR_TOKEN, Result,
};
pub use ebonylug_standin::{Engine, Service};
pub use load_generator::{LoadGenerator, Outcome, RequestKind, RequestRecord, Workload};
pub use relay::Relay;

/// The sample configuration of the fibras division.
pub const FIBRAS: &str = include_str!("../../../examples/fibras/resources.json5");
/// The sample configuration of Scaleward Kettle Care.
pub const SCALEWARD: &str = include_str!("../../../examples/scaleward/resources.json5");
