use ebonylug_core::Revision;
use ebonylug_platform::{Error, ObjectHash, Result, Row};
use serde::{Deserialize, Serialize};

/// The key of the head row.
pub const HEAD_KEY: &str = "config/head";

/// Number of revisions whose history rows are kept.
///
/// A publisher reads the row of its own revision to resolve a lost reply, so the rows must
/// outlast its tries. Changes arrive every few minutes; 64 of them last for hours.
const HISTORY_ROWS: u64 = 64;

/// The value of the head row, and of the history row of each recent revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Head {
    /// The revision of the document.
    pub revision: Revision,
    /// The hash of the manifest.
    pub hash: ObjectHash,
    /// Unique to the write, so that a publisher recognises its own.
    pub token: Box<str>,
}

impl Head {
    pub(crate) fn read(row: &Row) -> Result<Self> {
        serde_json::from_str(&row.value)
            .map_err(|error| Error::Invalid(format!("row {}: {error}", row.key).into()))
    }

    pub(crate) fn to_text(&self) -> String {
        serde_json::to_string(self).expect("a head has only string keys")
    }
}

/// Returns the key of the history row of a revision.
pub(crate) fn history_key(revision: Revision) -> String {
    format!("config/history/{:020}", revision.0)
}

/// Returns the revision whose history row a commit removes.
pub(crate) fn outdated(revision: Revision) -> Option<Revision> {
    revision.0.checked_sub(HISTORY_ROWS).map(Revision)
}
