//! Runs one fake as a process, for manual tests of a deployment.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use ebonylug_standin::{
    Engine, EngineSettings, Platform, PlatformSettings, Result, Service, ServiceSettings, load,
};
use serde::de::DeserializeOwned;

/// Runs a small fake of a platform service, an engine or a plain service. It stops on an
/// interrupt or a termination signal.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Serves the table, the object store and the instance list
    #[bpaf(command)]
    Platform(#[bpaf(external(common))] Common),
    /// Serves the OpenAI protocol as a model engine with continuous batching
    #[bpaf(command)]
    Engine(#[bpaf(external(common))] Common),
    /// Serves orders, charges and snoozes as a plain service
    #[bpaf(command)]
    Service(#[bpaf(external(common))] Common),
}

#[derive(Clone, Debug, Bpaf)]
struct Common {
    /// Address to listen on, in place of the one in the settings; port 0 chooses a free port
    #[bpaf(argument("ADDR"))]
    listen: Option<SocketAddr>,
    /// File of settings: JSON with comments, all settings optional
    #[bpaf(argument("FILE"))]
    settings: Option<PathBuf>,
}

fn main() -> ExitCode {
    let result = match command().run() {
        Command::Platform(common) => platform(&common),
        Command::Engine(common) => engine(&common),
        Command::Service(common) => service(&common),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standin: {error}");
            ExitCode::FAILURE
        }
    }
}

fn platform(common: &Common) -> Result<()> {
    let mut settings: PlatformSettings = common.settings()?;
    settings.listen = common.listen.unwrap_or(settings.listen);
    let platform = Platform::start(settings)?;
    run_until_signal(platform.addr);
    Ok(())
}

fn engine(common: &Common) -> Result<()> {
    let mut settings: EngineSettings = common.settings()?;
    settings.listen = common.listen.unwrap_or(settings.listen);
    let engine = Engine::start(settings)?;
    run_until_signal(engine.addr);
    Ok(())
}

fn service(common: &Common) -> Result<()> {
    let mut settings: ServiceSettings = common.settings()?;
    settings.listen = common.listen.unwrap_or(settings.listen);
    let service = Service::start(settings)?;
    run_until_signal(service.addr);
    Ok(())
}

impl Common {
    fn settings<T: DeserializeOwned + Default>(&self) -> Result<T> {
        self.settings.as_deref().map_or(Ok(T::default()), load)
    }
}

/// Prints the address and blocks until an interrupt or a termination signal arrives.
fn run_until_signal(addr: SocketAddr) {
    println!("standin: listening on {addr}");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime can be built");
    runtime.block_on(async {
        use tokio::signal::unix::{SignalKind, signal};
        let mut terminate =
            signal(SignalKind::terminate()).expect("a signal handler can be installed");
        tokio::select! {
            _ = tokio::signal::ctrl_c() => {}
            _ = terminate.recv() => {}
        }
    });
}
