//! Small fakes of engines, plain services and the platform, for tests and the demo.
//!
//! ebonylug may not be tested against real engines or a real platform, so the outside world is
//! met at its protocols: the [`Engine`] speaks the OpenAI chat protocol, the [`Platform`] the
//! JSON protocol of `ebonylug-platform`, and the [`Service`] plain HTTP. Each fake is a server on
//! a real socket with a thread of its own, and many of them run in one process. All that fails
//! in the field fails here on command: see [`EngineFaults`], [`PlatformFaults`] and
//! [`ServiceFaults`], which the settings, the handles and `POST /admin/faults` set.
//!
//! Answers of engines depend on the prompt only, and each fake counts what it has run ([`RunCounts`]).
//! A test can so compare answers byte for byte, and find a request that ran twice.
//!
//! ```
//! use ebonylug_standin::{Engine, EngineFaults, EngineSettings};
//!
//! # fn main() -> ebonylug_standin::Result<()> {
//! let engine = Engine::start(EngineSettings {
//!     scale: 0.01,
//!     ..EngineSettings::default()
//! })?;
//! println!("an engine listens on {}", engine.addr);
//! engine.set_faults(EngineFaults {
//!     slowdown: 3.0,
//!     model: Some("standin".into()),
//!     ..EngineFaults::default()
//! })?;
//! engine.stop();
//! # Ok(())
//! # }
//! ```

mod engine;
mod error;
mod lag;
mod net;
mod platform;
mod runs;
mod server;
mod service;
mod settings_file;

pub use engine::{
    CacheChange, CacheEvent, ChatRequest, Engine, EngineFaults, EngineOrder, EngineSettings,
    LoadedModel, Message, StallMode, block_hashes,
};
pub use error::{Error, Result};
pub use platform::{Platform, PlatformFaults, PlatformSettings};
pub use runs::RunCounts;
pub use service::{CannedResponse, Service, ServiceFaults, ServiceSettings};
pub use settings_file::load;

use std::net::{Ipv4Addr, SocketAddr};

/// Any free port of the loopback interface.
fn loopback() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}
