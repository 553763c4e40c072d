use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use smallvec::SmallVec;

use crate::{Fingerprint, ParseIdError};

/// What the requests that crash targets may have in common.
///
/// A request has one content, and a prompt part for each part that other requests may share. Parts come
/// before contents in the order.
///
/// Written as the fingerprint, with `part-` before it for a prompt part:
///
/// ```
/// use ebonylug_core::{CrashCause, Fingerprint};
///
/// let part = CrashCause::PromptPart(Fingerprint(7));
/// assert_eq!(part.to_string(), "part-0000000000000007");
/// assert_eq!("part-7".parse(), Ok(part));
/// assert_eq!("7".parse(), Ok(CrashCause::from(Fingerprint(7))));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum CrashCause {
    /// One part of the prompt, whatever else the request contains.
    PromptPart(Fingerprint),
    /// The whole content of the request.
    Content(Fingerprint),
}

/// The content and the shared prompt parts of a request, which may make it crash its target.
pub type CrashCauses = SmallVec<[CrashCause; 4]>;

/// The prefix of a written prompt part.
const PART_PREFIX: &str = "part-";

impl CrashCause {
    /// Returns the causes of a request with this content and these prompt parts.
    pub fn of_request(
        content: Fingerprint,
        parts: impl IntoIterator<Item = Fingerprint>,
    ) -> CrashCauses {
        let parts = parts.into_iter().map(CrashCause::PromptPart);
        parts.chain([content.into()]).collect()
    }

    /// Reports whether this is the whole content of a request.
    #[must_use]
    pub fn is_content(&self) -> bool {
        matches!(self, CrashCause::Content(_))
    }
}

impl From<Fingerprint> for CrashCause {
    fn from(content: Fingerprint) -> Self {
        CrashCause::Content(content)
    }
}

impl fmt::Display for CrashCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CrashCause::PromptPart(part) => write!(f, "{PART_PREFIX}{part}"),
            CrashCause::Content(content) => content.fmt(f),
        }
    }
}

impl FromStr for CrashCause {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        match text.strip_prefix(PART_PREFIX) {
            Some(part) => part.parse().map(CrashCause::PromptPart),
            None => text.parse().map(CrashCause::Content),
        }
    }
}

impl Serialize for CrashCause {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            return serializer.collect_str(self);
        }
        match self {
            CrashCause::PromptPart(part) => (true, part.0),
            CrashCause::Content(content) => (false, content.0),
        }
        .serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for CrashCause {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            let text = std::borrow::Cow::<'de, str>::deserialize(deserializer)?;
            return text.parse().map_err(serde::de::Error::custom);
        }
        let (is_part, fingerprint) = <(bool, u64)>::deserialize(deserializer)?;
        Ok(match is_part {
            true => CrashCause::PromptPart(Fingerprint(fingerprint)),
            false => CrashCause::Content(Fingerprint(fingerprint)),
        })
    }
}
