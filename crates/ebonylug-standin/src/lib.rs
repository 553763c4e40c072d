//! Small fakes of engines, plain services and the platform, for tests and the demo.
mod engine;
mod error;
mod lag;
mod net;
mod platform;
mod runs;
mod server;
mod service;

pub use engine::{
    CacheChange, CacheEvent, ChatRequest, Engine, EngineFaults, EngineOrder, EngineSettings,
    LoadedModel, Message, Silence, blocks,
};
pub use error::{Error, Result};
pub use platform::{Platform, PlatformFaults, PlatformSettings};
pub use runs::Runs;
pub use service::{Canned, Service, ServiceFaults, ServiceSettings};

use std::net::{Ipv4Addr, SocketAddr};

/// Any free port of the loopback interface.
fn loopback() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}
