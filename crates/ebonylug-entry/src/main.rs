//! The process that serves callers and operators.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use bpaf::Bpaf;

use ebonylug_core::SystemClock;
use ebonylug_entry::{Entry, Settings};
use ebonylug_net::logs::Format;
use ebonylug_net::{logs, settings, shutdown};

/// Schedules requests for unlike engines: serves callers and operators
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
            eprintln!("ebonylug-entry: {error}");
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
    let entry = Entry::start(settings, Arc::new(SystemClock), rand::random()).await?;
    shutdown::signal().await?;
    let remaining = entry.stop().await;
    if remaining > 0 {
        return Err(format!(
            "{remaining} requests were still in flight at the end of the drain time"
        )
        .into());
    }
    Ok(())
}
