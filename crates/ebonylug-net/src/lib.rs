//! Connections between the processes, settings, logs and metrics.
//!
//! Decision crates take events and return actions; this crate is where events come from and where
//! actions go. It contains no policy. Each module covers one boundary of a process:
//!
//! - [`settings`]: files in JSON with comments, with errors that name file, line and column.
//! - [`logs`] and [`metrics`]: set up once in `main`.
//! - [`key`]: tokens and the shared key, compared in constant time and never logged.
//! - [`serve`]: the HTTP server, with limits on heads and bodies.
//! - [`client`]: the HTTP client with deadlines.
//! - [`wire`]: the headers of the data path.
//! - [`frame`]: the framing of answers between sidecar and entry.
//! - [`rpc`]: control messages, after a handshake with the shared key.
//! - [`record`]: the events of the time line.
//! - [`tasks`]: tasks that end with their process.
//! - [`stop`]: the order of steps of a planned stop.
//!
//! # Why answers are framed
//!
//! An HTTP body ends or breaks off; it cannot say why. The entry must tell a whole answer from one
//! that was preempted, failed, or went silent, since only some of these may be run again. The
//! sidecar therefore sends frames: the head of the target's answer, data, keep-alives, and an end
//! that states the reason.

pub mod client;
pub mod frame;
pub mod key;
pub mod logs;
pub mod metrics;
pub mod record;
pub mod rpc;
pub mod serve;
pub mod settings;
pub mod stop;
pub mod tasks;
pub mod wire;
