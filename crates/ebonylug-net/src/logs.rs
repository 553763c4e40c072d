//! Sets up structured logs.

use std::io::Write;

use serde::{Deserialize, Serialize};
use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// How log lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

impl std::str::FromStr for Format {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Format::Text),
            "json" => Ok(Format::Json),
            _ => Err("expected text or json"),
        }
    }
}

/// Lines that wait for a reader who is too slow; further ones are dropped and counted. At about 300
/// bytes a line this is a few megabytes.
const MAX_LINES: usize = 8_192;

/// The log of a process. Dropping it writes what waits, for at most a second.
#[derive(Debug)]
pub struct LogGuard {
    dropped: ErrorCounter,
    _worker: WorkerGuard,
}

impl LogGuard {
    /// Returns the number of lines that were dropped because nobody read fast enough.
    #[must_use]
    pub fn dropped_lines(&self) -> usize {
        self.dropped.dropped_lines()
    }
}

/// Starts logging to standard output. The environment variable `EBONYLUG_LOG` sets levels, `info` by
/// default.
///
/// Lines go through a bounded queue to a thread, so that a reader who stalls holds up nothing. A second
/// call has no effect, so that tests may start several processes in one.
pub fn start(format: Format) -> LogGuard {
    let (writer, log) = non_blocking(std::io::stdout());
    let filter = EnvFilter::try_from_env("EBONYLUG_LOG").unwrap_or_else(|_| EnvFilter::new("info"));
    let base = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(writer);
    let _ = match format {
        Format::Text => base.try_init(),
        Format::Json => base
            .json()
            .flatten_event(true)
            .with_target(false)
            .try_init(),
    };
    log
}

/// Makes a writer that never blocks, and the log that counts its drops.
pub fn non_blocking(output: impl Write + Send + 'static) -> (NonBlocking, LogGuard) {
    let (writer, worker) = NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_LINES)
        .lossy(true)
        .finish(output);
    let log = LogGuard {
        dropped: writer.error_counter(),
        _worker: worker,
    };
    (writer, log)
}
