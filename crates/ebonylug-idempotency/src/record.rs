use bytes::Bytes;
use ebonylug_core::{AttemptId, Incarnation, Name};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::RequestHash;

/// Maximum size of a response body that is stored in a record.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// The sidecar process that an attempt is addressed to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Destination {
    /// The name of the target.
    pub target: Name,
    /// The incarnation of the target's sidecar. A restarted sidecar refuses the attempt.
    pub incarnation: Incarnation,
}

/// A complete response of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// The headers of the response itself, without those of the connection.
    pub headers: Vec<(Box<str>, Box<str>)>,
    /// The body, stored as text if it is UTF-8 and as a list of bytes otherwise.
    #[serde(serialize_with = "write_body", deserialize_with = "read_body")]
    pub body: Bytes,
}

/// The state of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub enum RecordState {
    /// The attempt may be sent, may be running or may have ended.
    Reserved,
    /// The call has run. The response is stored unless its body exceeds [`MAX_BODY_BYTES`].
    Done(Option<Response>),
    /// The attempt has provably not run; another attempt may replace it.
    NotRun,
    /// It is unknown whether the call has run. It never runs again.
    Unknown,
}

/// The value of a call's row, stored as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Record {
    /// The hash of the request. The same key with different content is refused.
    pub content: RequestHash,
    /// The only attempt that may run. Its number is one higher for each attempt that replaces an
    /// earlier one.
    pub attempt: AttemptId,
    /// The sidecar process that the attempt is addressed to.
    #[serde(rename = "place")]
    pub destination: Destination,
    /// The state of the call.
    pub state: RecordState,
    /// Unique to the write, so that an entry recognises its own write after a lost response.
    pub token: Box<str>,
    /// When the key was first used, in milliseconds since the Unix epoch by the wall clock of the
    /// entry that inserted the record.
    pub created: u64,
    /// When the record was last written, in milliseconds since the Unix epoch by the wall clock of
    /// the entry that wrote it.
    pub changed: u64,
}

impl Record {
    pub(crate) fn to_json(&self) -> String {
        serde_json::to_string(self).expect("a record has only string keys")
    }
}

/// The stored form of a response body. Bodies that are not UTF-8 become a list of bytes.
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
