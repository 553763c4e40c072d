//! Sets up structured logs.

use serde::{Deserialize, Serialize};
use tracing_subscriber::EnvFilter;

/// How log lines are written to standard error.
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

/// Starts logging. The environment variable `EBONYLUG_LOG` sets levels, `info` by default.
///
/// A second call has no effect, so that tests may start several processes in one.
pub fn start(format: Format) {
    let filter = EnvFilter::try_from_env("EBONYLUG_LOG").unwrap_or_else(|_| EnvFilter::new("info"));
    let base = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    let _ = match format {
        Format::Text => base.try_init(),
        Format::Json => base.json().try_init(),
    };
}
