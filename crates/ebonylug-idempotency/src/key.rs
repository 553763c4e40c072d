use std::fmt;

use ebonylug_core::Name;
use serde::{Deserialize, Serialize};

/// The key of a call's record, built from the organisation and its idempotency key.
///
/// The idempotency key is hashed, since callers may choose any text. The organisation is a part of
/// the row key, so that equal idempotency keys of two organisations do not collide.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CallKey(Box<str>);

impl CallKey {
    /// Creates the key for an organisation's idempotency key.
    #[must_use]
    pub fn new(organisation: &Name, key: &str) -> Self {
        let hash = blake3::hash(key.as_bytes()).to_hex();
        CallKey(format!("call/{organisation}/{hash}").into())
    }

    /// Returns the row key, `call/{organisation}/{hash}`.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// A hash of the method, path and body, by which two requests with the same key are compared.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct RequestHash(blake3::Hash);

impl RequestHash {
    /// Hashes a request. Each part is preceded by its length, so that different splits of the same
    /// bytes have different hashes.
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
