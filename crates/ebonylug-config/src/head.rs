use ebonylug_core::Revision;
use ebonylug_platform::{Error, ObjectHash, Result, Row};
use serde::{Deserialize, Serialize};

/// The key of the head row, which names the accepted configuration.
pub const HEAD_KEY: &str = "config/head";

/// Number of revisions whose history rows are retained.
///
/// A publisher reads the row of its own revision to resolve a lost response, so the row must not be
/// deleted while it retries. Changes arrive every few minutes, so 64 revisions span hours.
const HISTORY_ROWS: u64 = 64;

/// The value of the head row, and of the history row of each recent revision, stored as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Head {
    /// The revision of the document.
    pub revision: Revision,
    /// The hash of the manifest.
    pub hash: ObjectHash,
    /// Unique to the write, so that a publisher recognises its own commit.
    pub token: Box<str>,
}

impl Head {
    pub(crate) fn parse(row: &Row) -> Result<Self> {
        serde_json::from_str(&row.value)
            .map_err(|error| Error::Invalid(format!("row {}: {error}", row.key).into()))
    }

    pub(crate) fn to_json(&self) -> String {
        serde_json::to_string(self).expect("a head has only string keys")
    }
}

/// Returns the key of the history row of a revision.
pub(crate) fn history_key(revision: Revision) -> String {
    format!("config/history/{:020}", revision.0)
}

/// Returns the revision whose history row is deleted by the commit of `revision`.
pub(crate) fn expired_revision(revision: Revision) -> Option<Revision> {
    revision.0.checked_sub(HISTORY_ROWS).map(Revision)
}
