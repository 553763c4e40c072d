//! Loads settings files in JSON5.

use std::path::Path;
use std::time::Duration;

use serde::de::{DeserializeOwned, Error as _};
use serde::{Deserialize, Deserializer};

/// Why a settings file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file cannot be read.
    #[error("{file}: cannot be read: {source}")]
    Read {
        /// The path as given.
        file: Box<str>,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The text is not valid JSON5, or a field is unknown or has the wrong type.
    #[error("{file}:{line}:{column}: {reason}")]
    Parse {
        /// The path as given.
        file: Box<str>,
        /// The line, from 1.
        line: usize,
        /// The column, from 1.
        column: usize,
        /// The message of the parser.
        reason: Box<str>,
    },
}

/// The result of loading settings.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Reads and parses a settings file.
///
/// # Errors
///
/// [`Error::Read`] if the file cannot be read, [`Error::Parse`] with the position if its content
/// is not valid.
pub fn load<T: DeserializeOwned>(path: &Path) -> Result<T> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|source| Error::Read {
        file: file.clone().into(),
        source,
    })?;
    parse(&file, &text)
}

/// Parses the text of a settings file; only errors use `file`.
///
/// ```
/// #[derive(Debug, serde::Deserialize)]
/// struct Settings { workers: usize }
///
/// let text = "{\n  // one for each core\n  workers: 'many',\n}";
/// let error = ebonylug_net::settings::parse::<Settings>("entry.json5", text).unwrap_err();
/// assert!(error.to_string().starts_with("entry.json5:3:"));
/// ```
///
/// # Errors
///
/// [`Error::Parse`] with the position of the first error.
pub fn parse<T: DeserializeOwned>(file: &str, text: &str) -> Result<T> {
    json5::from_str(text).map_err(|error| {
        let position = error.position();
        Error::Parse {
            file: file.into(),
            line: position.map_or(1, |p| p.line + 1),
            column: position.map_or(1, |p| p.column + 1),
            reason: error.to_string().into(),
        }
    })
}

/// A setting that is out of range.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {reason}")]
pub struct InvalidSetting {
    /// The name of the setting.
    pub field: &'static str,
    /// What its value must be.
    pub reason: &'static str,
}

/// Checks ranges that types do not express. Each item states whether the range holds, the name of
/// the setting, and what its value must be.
///
/// # Errors
///
/// [`InvalidSetting`] with the first setting that is out of range.
pub fn check(
    ranges: &[(bool, &'static str, &'static str)],
) -> std::result::Result<(), InvalidSetting> {
    match ranges.iter().find(|(valid, ..)| !valid) {
        None => Ok(()),
        Some(&(_, field, reason)) => Err(InvalidSetting { field, reason }),
    }
}

/// Deserializes a duration in seconds, which may have a fraction.
///
/// # Errors
///
/// Fails if the value is not a number, is negative, or is too large for a `Duration`.
pub fn seconds<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> std::result::Result<Duration, D::Error> {
    let seconds = f64::deserialize(deserializer)?;
    Duration::try_from_secs_f64(seconds).map_err(D::Error::custom)
}
