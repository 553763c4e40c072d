//! Forms of output.

pub mod table;

use std::str::FromStr;

/// The form of a command's output.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// Lines and tables for people.
    #[default]
    Text,
    /// JSON for programs.
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
