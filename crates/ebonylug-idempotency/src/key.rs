use std::fmt;

use ebonylug_core::Name;
use serde::{Deserialize, Serialize};

/// The key of a call's record: organisation and idempotency key.
///
/// Callers choose their keys freely, so that the key enters the table as a hash, and two
/// organisations with the same key never meet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CallKey(Box<str>);

impl CallKey {
    /// Creates the key of a call.
    #[must_use]
    pub fn new(organisation: &Name, key: &str) -> Self {
        let hash = blake3::hash(key.as_bytes()).to_hex();
        CallKey(format!("call/{organisation}/{hash}").into())
    }

    /// Returns the key of the row.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// A hash of everything that makes two requests with the same key the same request.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct RequestHash(blake3::Hash);

impl RequestHash {
    /// Hashes a request. The parts are separated, so that they cannot run into each other.
    #[must_use]
    pub fn of(method: &str, path: &str, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in [method.as_bytes(), path.as_bytes(), body] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        RequestHash(hasher.finalize())
    }
}

impl fmt::Debug for RequestHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "RequestHash({})", self.0)
    }
}

impl From<RequestHash> for String {
    fn from(hash: RequestHash) -> String {
        hash.0.to_string()
    }
}

impl TryFrom<String> for RequestHash {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        blake3::Hash::from_hex(&text)
            .map(RequestHash)
            .map_err(|error| error.to_string())
    }
}
