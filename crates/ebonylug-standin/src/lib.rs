//! Small fakes of engines, plain services and the platform, for tests and the demo.
//!
//! Real engines and a real platform are not available to tests, so the fakes implement their
//! protocols: the [`Engine`] the OpenAI chat protocol, the [`Platform`] the JSON protocol of
//! `ebonylug-platform`, and the [`Service`] plain HTTP. Each fake is a server on a real socket
//! with its own thread, and many of them can run in one process. Failures are injected through
//! [`EngineFaults`], [`PlatformFaults`] and [`ServiceFaults`], which can be set in the settings,
//! through the handles and with `POST /admin/faults`.
//!
//! The output of an engine depends only on the prompt, and each fake counts the requests that it
//! has run ([`RunCounts`]). Tests can therefore compare responses byte for byte and detect a
//! request that ran twice.
//!
//! ```
//! use ebonylug_standin::{Engine, EngineFaults, EngineSettings};
//!
//! # fn main() -> ebonylug_standin::Result<()> {
//! let engine = Engine::start(EngineSettings {
//!     scale: 0.01,
//!     ..EngineSettings::default()
//! })?;
//! println!("engine listening on {}", engine.addr);
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

/// Returns an address that binds to any free port of the loopback interface.
fn loopback_addr() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}
