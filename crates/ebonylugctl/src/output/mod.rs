//! Output formats.

pub mod table;

use std::str::FromStr;

/// The output format of a command.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// Human-readable lines and tables.
    #[default]
    Text,
    /// Machine-readable JSON.
    Json,
}

impl FromStr for Format {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Format::Text),
            "json" => Ok(Format::Json),
            _ => Err("expected text or json"),
        }
    }
}
