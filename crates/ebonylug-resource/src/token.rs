use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// The BLAKE3 hash of a bearer token, written as 64 hex digits.
///
/// The configuration contains only hashes, so that it discloses no token.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct TokenHash([u8; 32]);

impl TokenHash {
    /// Hashes a bearer token.
    #[must_use]
    pub fn of(token: &str) -> Self {
        TokenHash(*blake3::hash(token.as_bytes()).as_bytes())
    }
}

impl fmt::Display for TokenHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        blake3::Hash::from_bytes(self.0).to_hex().fmt(f)
    }
}

impl fmt::Debug for TokenHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "TokenHash({self})")
    }
}

impl FromStr for TokenHash {
    type Err = String;

    /// Omits the text from the error, since it may be a token given by mistake.
    fn from_str(text: &str) -> Result<Self, String> {
        blake3::Hash::from_hex(text)
            .map(|hash| TokenHash(*hash.as_bytes()))
            .map_err(|_| "not a token hash: 64 hex digits are expected".into())
    }
}

impl From<TokenHash> for String {
    fn from(hash: TokenHash) -> String {
        hash.to_string()
    }
}

impl TryFrom<String> for TokenHash {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        text.parse()
    }
}
