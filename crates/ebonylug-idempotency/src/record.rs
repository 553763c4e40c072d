use bytes::Bytes;
use ebonylug_core::{AttemptId, Incarnation, Name};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::RequestHash;

/// Largest body of an answer that is kept in a record.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// Where an attempt runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Destination {
    /// The target.
    pub target: Name,
    /// The life of the target's sidecar that the attempt is addressed to.
    pub incarnation: Incarnation,
}

/// A whole answer of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// The headers that belong to the answer itself.
    pub headers: Vec<(Box<str>, Box<str>)>,
    /// The body.
    #[serde(serialize_with = "write_body", deserialize_with = "read_body")]
    pub body: Bytes,
}

/// What has become of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub enum RecordState {
    /// The attempt may be sent, may be running or may have ended.
    Reserved,
    /// The call has run. The answer is kept unless its body is larger than [`MAX_BODY_BYTES`].
    Done(Option<Response>),
    /// The attempt is proven not to have run; another may take its place.
    NotRun,
    /// It cannot be known whether the call has run. It never runs again.
    Unknown,
}

/// The row of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Record {
    /// What the call is. The same key with other content is refused.
    pub content: RequestHash,
    /// The only attempt that may run. Its number rises with each takeover.
    pub attempt: AttemptId,
    /// Where the attempt runs.
    #[serde(rename = "place")]
    pub destination: Destination,
    /// What has become of it.
    pub state: RecordState,
    /// Unique to the write, so that an entry recognises its own after a lost reply.
    pub token: Box<str>,
    /// When the key was first used, in milliseconds since 1970 by the wall clock of an entry.
    pub created: u64,
    /// When the record was last written.
    pub changed: u64,
}

impl Record {
    pub(crate) fn to_text(&self) -> String {
        serde_json::to_string(self).expect("a record has only string keys")
    }
}

/// Bodies are text in most cases; others are stored as a list of numbers.
#[derive(Serialize, Deserialize)]
#[serde(untagged)]
enum Body<'a> {
    Text(std::borrow::Cow<'a, str>),
    Binary(Vec<u8>),
}

fn write_body<S: Serializer>(body: &Bytes, serializer: S) -> Result<S::Ok, S::Error> {
    let body = match std::str::from_utf8(body) {
        Ok(text) => Body::Text(text.into()),
        Err(_) => Body::Binary(body.to_vec()),
    };
    body.serialize(serializer)
}

fn read_body<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Bytes, D::Error> {
    Ok(match Body::deserialize(deserializer)? {
        Body::Text(text) => Bytes::from(text.into_owned()),
        Body::Binary(bytes) => bytes.into(),
    })
}
