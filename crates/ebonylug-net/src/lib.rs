//! Connections between processes, settings, logs and metrics.
//!
//! The crates that make decisions take events and return actions, without I/O. This crate does the
//! I/O and makes no decisions. Each module covers one boundary of a process:
//!
//! - [`settings`]: JSON5 settings files, with errors that name file, line and column.
//! - [`logs`] and [`metrics`]: structured logs and Prometheus metrics.
//! - [`key`]: the shared key and hashes of tokens, compared in constant time and never logged.
//! - [`serve`]: the HTTP server, with limits on headers and bodies.
//! - [`client`]: the HTTP client, with timeouts.
//! - [`wire`]: the HTTP headers of the data path.
//! - [`frame`]: the framing of responses from a sidecar to an entry.
//! - [`rpc`]: control calls, after a handshake with the shared key.
//! - [`record`]: the recorder of timeline events.
//! - [`tasks`]: tasks that are cancelled together.
//! - [`shutdown`]: graceful shutdown.
//!
//! # Why responses are framed
//!
//! An HTTP body either ends or is cut short, and cannot state the cause. The entry must distinguish
//! a complete response from one that was preempted, failed or stalled, since only some of these
//! requests may be run again. The sidecar therefore sends frames: the status and headers of the
//! target's response, data, keep-alives, and an end that states the cause.

pub mod client;
pub mod frame;
pub mod key;
pub mod logs;
pub mod metrics;
pub mod record;
pub mod rpc;
pub mod serve;
pub mod settings;
pub mod shutdown;
pub mod tasks;
pub mod wire;
