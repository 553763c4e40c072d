//! The process beside each target, which admits the requests that the target runs.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use bpaf::Bpaf;

use ebonylug_core::SystemClock;
use ebonylug_net::logs::Format;
use ebonylug_net::{logs, settings, shutdown};
use ebonylug_sidecar::{Settings, Sidecar};

/// Schedules requests for unlike engines: the only way to one target
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// Settings in JSON with comments
    #[bpaf(short, long, argument("FILE"))]
    settings: PathBuf,
    /// Format of log lines: text or json
    #[bpaf(long("log-format"), argument("FORMAT"), fallback(Format::Text))]
    log_format: Format,
    /// Check the settings and exit
    check: bool,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = arguments().run();
    let _log = logs::start(arguments.log_format);
    match run(&arguments).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ebonylug-sidecar: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(arguments: &Arguments) -> Result<(), Box<dyn std::error::Error>> {
    let settings: Settings = settings::load(&arguments.settings)?;
    settings.check()?;
    if arguments.check {
        return Ok(());
    }
    let sidecar = Sidecar::start(settings, Arc::new(SystemClock), rand::random()).await?;
    shutdown::signal().await?;
    let remaining = sidecar.stop().await;
    if remaining > 0 {
        return Err(format!(
            "{remaining} attempts were still in flight at the end of the drain time"
        )
        .into());
    }
    Ok(())
}
