use std::path::Path;

use serde::de::DeserializeOwned;

use crate::{Error, Result};

/// Reads settings from a JSON5 file. Missing settings take their defaults.
///
/// # Errors
///
/// Fails if the file cannot be read or is not valid. A parse error names the file, line and
/// column.
pub fn load<T: DeserializeOwned>(path: &Path) -> Result<T> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|source| Error::Read {
        path: name.clone().into(),
        source,
    })?;
    json5::from_str(&text).map_err(|error| {
        let (line, column, suffix) = match error.position() {
            Some(position) => (
                position.line + 1,
                position.column + 1,
                format!(" at {position}"),
            ),
            None => (1, 1, String::new()),
        };
        let reason = error.to_string();
        Error::Parse {
            path: name.into(),
            line,
            column,
            reason: reason.strip_suffix(&*suffix).unwrap_or(&reason).into(),
        }
    })
}
