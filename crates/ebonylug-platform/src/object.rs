use std::fmt;
use std::future::Future;
use std::str::FromStr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{Error, Result};

/// The BLAKE3 hash of an object, which identifies it. Written as 64 hex digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct ObjectHash([u8; 32]);

impl ObjectHash {
    /// Hashes the body of an object.
    #[must_use]
    pub fn of(body: &[u8]) -> Self {
        ObjectHash(*blake3::hash(body).as_bytes())
    }
}

impl fmt::Display for ObjectHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        blake3::Hash::from_bytes(self.0).to_hex().fmt(f)
    }
}

impl FromStr for ObjectHash {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        blake3::Hash::from_hex(text)
            .map(|hash| ObjectHash(*hash.as_bytes()))
            .map_err(|error| Error::Invalid(error.to_string().into()))
    }
}

impl From<ObjectHash> for String {
    fn from(hash: ObjectHash) -> String {
        hash.to_string()
    }
}

impl TryFrom<String> for ObjectHash {
    type Error = Error;

    fn try_from(text: String) -> Result<Self> {
        text.parse()
    }
}

/// The object store. Objects are immutable and addressed by their hash.
pub trait ObjectStore: Send + Sync {
    /// Stores an object. Storing it again has no effect.
    ///
    /// # Errors
    ///
    /// Fails if the service does not respond; the call may be retried.
    fn put(&self, body: Bytes) -> impl Future<Output = Result<ObjectHash>> + Send;

    /// Fetches an object and checks its hash.
    ///
    /// # Errors
    ///
    /// [`Error::NotFound`] if there is no such object, [`Error::Invalid`] if the body does not
    /// match the hash.
    fn fetch(&self, hash: ObjectHash) -> impl Future<Output = Result<Bytes>> + Send;
}
