//! Structured logs through a bounded queue.

use std::io::Write;

use serde::{Deserialize, Serialize};
use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object per line.
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

/// Capacity of the queue in lines; further lines are dropped and counted. At about 300 bytes a line
/// this is a few megabytes.
const MAX_LINES: usize = 8_192;

/// Keeps logging active. Dropping it flushes the queue, for at most one second.
#[derive(Debug)]
pub struct LogGuard {
    dropped: ErrorCounter,
    _worker: WorkerGuard,
}

impl LogGuard {
    /// Returns the number of lines that were dropped because the queue was full.
    #[must_use]
    pub fn dropped_lines(&self) -> usize {
        self.dropped.dropped_lines()
    }
}

/// Starts logging to standard output. The environment variable `EBONYLUG_LOG` sets the levels,
/// `info` by default.
///
/// A separate thread writes the lines from a bounded queue, so that a stalled reader of the output
/// blocks no other thread. A second call has no effect, so that tests may start several entries and
/// sidecars within one process.
pub fn start(format: Format) -> LogGuard {
    let (writer, guard) = non_blocking(std::io::stdout());
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
    guard
}

/// Returns a writer that never blocks, and the guard of its queue to `output`.
pub fn non_blocking(output: impl Write + Send + 'static) -> (NonBlocking, LogGuard) {
    let (writer, worker) = NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_LINES)
        .lossy(true)
        .finish(output);
    let guard = LogGuard {
        dropped: writer.error_counter(),
        _worker: worker,
    };
    (writer, guard)
}
