use std::path::Path;

use serde::de::DeserializeOwned;

use crate::{Error, Result};

/// Reads settings from a file of JSON with comments. Missing settings have their defaults.
///
/// # Errors
///
/// Fails if the file cannot be read or is not valid; the error names the file, line and column.
pub fn load<T: DeserializeOwned>(path: &Path) -> Result<T> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|source| Error::Read {
        path: name.clone().into(),
        source,
    })?;
    json5::from_str(&text).map_err(|error| {
        let (line, column, place) = match error.position() {
            Some(place) => (place.line + 1, place.column + 1, format!(" at {place}")),
            None => (1, 1, String::new()),
        };
        let reason = error.to_string();
        Error::Parse {
            path: name.into(),
            line,
            column,
            reason: reason.strip_suffix(&*place).unwrap_or(&reason).into(),
        }
    })
}
