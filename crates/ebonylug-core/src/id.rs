use std::fmt;
use std::str::FromStr;

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

/// The error for a text that is not an identifier of the expected kind.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a valid {kind}: {text:?}")]
pub struct ParseIdError {
    pub(crate) kind: &'static str,
    pub(crate) text: Box<str>,
}

macro_rules! hex_id {
    ($(#[$doc:meta])* $name:ident, $int:ty, $width:literal, $kind:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub struct $name(pub $int);

        impl $name {
            /// Generates a random identifier.
            pub fn random(rng: &mut impl Rng) -> Self {
                $name(rng.random())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!("{:0", $width, "x}"), self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, ParseIdError> {
                <$int>::from_str_radix(text, 16)
                    .map($name)
                    .map_err(|_| ParseIdError { kind: $kind, text: text.into() })
            }
        }

        impl Serialize for $name {
            fn serialize<S: serde::Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
                s.collect_str(self)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: serde::Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
                let text = std::borrow::Cow::<'de, str>::deserialize(d)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }
    };
}

hex_id!(
    /// Identifies one request of a caller, unique across all entries. Written as 32 hex digits.
    RequestId, u128, "32", "request id"
);
hex_id!(
    /// Identifies one run of a process, from its start to its exit. Written as 16 hex digits.
    ///
    /// A restarted sidecar has lost its records of attempts, so each attempt carries the
    /// incarnation that it was addressed to.
    Incarnation, u64, "16", "incarnation"
);
hex_id!(
    /// A hash of the content of a request that its target sees, which identifies a request that
    /// crashes its targets. Written as 16 hex digits.
    Fingerprint, u64, "16", "fingerprint"
);

impl Fingerprint {
    /// Returns the first 8 bytes of the BLAKE3 hash of `content`.
    #[must_use]
    pub fn of(content: &[u8]) -> Self {
        let hash = blake3::hash(content);
        let prefix: [u8; 8] = hash.as_bytes()[..8].try_into().expect("hash has 32 bytes");
        Fingerprint(u64::from_le_bytes(prefix))
    }
}

macro_rules! counter {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the number that follows this one.
            #[must_use]
            pub fn next(self) -> Self {
                $name(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, ParseIdError> {
                text.parse()
                    .map($name)
                    .map_err(|_| ParseIdError { kind: $kind, text: text.into() })
            }
        }
    };
}

counter!(
    /// The number of an accepted configuration. A process never applies a lower revision than the
    /// active one.
    Revision, "revision"
);
counter!(
    /// A fencing token: each new holder of a lease gets a higher one.
    Fence, "fencing token"
);
