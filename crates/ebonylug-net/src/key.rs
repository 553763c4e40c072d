//! The shared key, its handshake, and the hashes of tokens.

use std::fmt;
use std::io;

use rand::RngExt;
use serde::Deserialize;
use subtle::ConstantTimeEq;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// The key that all processes of a deployment share.
///
/// Its `Debug` form hides the content, so that it does not appear in logs.
#[derive(Clone, Deserialize)]
#[serde(from = "Box<str>")]
pub struct SharedKey([u8; 32]);

const NONCE_BYTES: usize = 32;
const CONTEXT: &str = "ebonylug control connection v1";

impl SharedKey {
    /// Derives the key from the text in the settings.
    #[must_use]
    pub fn new(text: &str) -> Self {
        SharedKey(blake3::derive_key(CONTEXT, text.as_bytes()))
    }

    /// Returns the bearer token for requests on the data path between processes.
    #[must_use]
    pub fn bearer(&self) -> Box<str> {
        let token = blake3::keyed_hash(&self.0, b"data path");
        token.to_hex().as_str().into()
    }

    /// Reports whether `token` is the bearer token of this key, in constant time.
    #[must_use]
    pub fn accepts(&self, token: &str) -> bool {
        self.bearer().as_bytes().ct_eq(token.as_bytes()).into()
    }

    fn proof(&self, nonce: &[u8; NONCE_BYTES]) -> blake3::Hash {
        blake3::keyed_hash(&self.0, nonce)
    }
}

impl From<Box<str>> for SharedKey {
    fn from(text: Box<str>) -> Self {
        SharedKey::new(&text)
    }
}

impl fmt::Debug for SharedKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SharedKey(..)")
    }
}

/// Proves to the peer that this process has the key: reads a nonce from the peer and sends back the
/// keyed hash of it.
///
/// # Errors
///
/// Returns the error of the connection.
pub async fn prove(
    stream: &mut (impl AsyncRead + AsyncWrite + Unpin),
    key: &SharedKey,
) -> io::Result<()> {
    let mut nonce = [0; NONCE_BYTES];
    stream.read_exact(&mut nonce).await?;
    stream.write_all(key.proof(&nonce).as_bytes()).await
}

/// Verifies that the peer has the key, as the other side of [`prove`].
///
/// # Errors
///
/// Returns `PermissionDenied` if the proof is wrong, or the error of the connection.
pub async fn verify(
    stream: &mut (impl AsyncRead + AsyncWrite + Unpin),
    key: &SharedKey,
) -> io::Result<()> {
    let nonce: [u8; NONCE_BYTES] = rand::rng().random();
    stream.write_all(&nonce).await?;
    let mut proof = [0; blake3::OUT_LEN];
    stream.read_exact(&mut proof).await?;
    // `blake3::Hash` compares in constant time.
    if key.proof(&nonce) == blake3::Hash::from_bytes(proof) {
        Ok(())
    } else {
        Err(io::Error::new(
            io::ErrorKind::PermissionDenied,
            "wrong shared key",
        ))
    }
}

/// Returns the hash of a caller's or operator's token, as stored in settings and resources.
#[must_use]
pub fn token_hash(token: &str) -> Box<str> {
    blake3::hash(token.as_bytes()).to_hex().as_str().into()
}

/// Reports whether two token hashes are equal, in constant time.
#[must_use]
pub fn same_hash(a: &str, b: &str) -> bool {
    a.as_bytes().ct_eq(b.as_bytes()).into()
}
