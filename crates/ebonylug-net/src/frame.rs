//! The framing of responses from a sidecar to an entry.

use bytes::{BufMut, Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use ebonylug_core::End;
use ebonylug_events::Stamp;

use crate::wire::RefusalMessage;

/// The largest frame without its length prefix, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 << 20;

/// The status and headers of the target's response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The HTTP status code.
    pub status: u16,
    /// Names and values of the headers that are forwarded.
    pub headers: Vec<(Box<str>, Box<str>)>,
}

/// The end of a response and its cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tail {
    /// How the attempt ended at the target.
    pub end: End,
    /// Output tokens that this and earlier attempts have delivered.
    pub tokens: u64,
    /// Whether the attempt was preempted.
    pub preempted: bool,
    /// The logical time of the end.
    pub stamp: Stamp,
}

/// One frame of a response.
#[derive(Clone, Debug, PartialEq)]
pub enum Frame {
    /// The target did not receive the request, although the sidecar had admitted it.
    NotRun(RefusalMessage),
    /// The status and headers of the target's response.
    Head(Head),
    /// A part of the response body.
    Data(Bytes),
    /// Shows that the connection works while there is no data.
    KeepAlive,
    /// The end of the response.
    Tail(Tail),
}

/// Why a frame could not be decoded.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The frame is too large.
    #[error("frame cannot be read: {0}")]
    Codec(#[from] std::io::Error),
    /// The content of the frame is not valid JSON of its type.
    #[error("frame is not valid: {0}")]
    Json(#[from] serde_json::Error),
    /// The kind of the frame is unknown.
    #[error("frame has the unknown kind {0}")]
    Kind(u8),
}

/// The result of decoding a frame.
pub type Result<T, E = Error> = std::result::Result<T, E>;

const NOT_RUN: u8 = b'N';
const HEAD: u8 = b'H';
const DATA: u8 = b'D';
const KEEP_ALIVE: u8 = b'K';
const TAIL: u8 = b'T';

impl Frame {
    /// Encodes the frame with its length prefix.
    ///
    /// # Panics
    ///
    /// Panics if kind and content are larger than [`MAX_FRAME_BYTES`]; callers split larger data.
    #[must_use]
    pub fn encode(&self) -> Bytes {
        let (kind, content) = match self {
            Frame::NotRun(refused) => (NOT_RUN, json(refused)),
            Frame::Head(head) => (HEAD, json(head)),
            Frame::Data(data) => (DATA, data.clone()),
            Frame::KeepAlive => (KEEP_ALIVE, Bytes::new()),
            Frame::Tail(tail) => (TAIL, json(tail)),
        };
        let mut body = BytesMut::with_capacity(content.len() + 1);
        body.put_u8(kind);
        body.put(content);
        let mut out = BytesMut::new();
        codec()
            .encode(body.freeze(), &mut out)
            .expect("frame is at most MAX_FRAME_BYTES long");
        out.freeze()
    }
}

/// Decodes frames from a body that arrives in parts.
///
/// ```
/// use ebonylug_net::frame::{Frame, Reader};
///
/// let mut reader = Reader::new();
/// reader.push(&Frame::Data("rope".into()).encode());
/// assert_eq!(reader.next().unwrap(), Some(Frame::Data("rope".into())));
/// assert_eq!(reader.next().unwrap(), None);
/// ```
#[derive(Debug)]
pub struct Reader {
    codec: LengthDelimitedCodec,
    buffer: BytesMut,
}

impl Reader {
    /// Creates a reader with an empty buffer.
    #[must_use]
    pub fn new() -> Self {
        Reader {
            codec: codec(),
            buffer: BytesMut::new(),
        }
    }

    /// Appends a part of the body to the buffer.
    pub fn push(&mut self, part: &[u8]) {
        self.buffer.extend_from_slice(part);
    }

    /// Returns the next frame, or `None` if the buffer holds no complete frame.
    ///
    /// # Errors
    ///
    /// Fails if the frame is too large, of an unknown kind, or has invalid content.
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> Result<Option<Frame>> {
        let Some(mut body) = self.codec.decode(&mut self.buffer)? else {
            return Ok(None);
        };
        if body.is_empty() {
            return Err(Error::Kind(0));
        }
        let kind = body.split_to(1)[0];
        let frame = match kind {
            NOT_RUN => Frame::NotRun(serde_json::from_slice(&body)?),
            HEAD => Frame::Head(serde_json::from_slice(&body)?),
            DATA => Frame::Data(body.freeze()),
            KEEP_ALIVE => Frame::KeepAlive,
            TAIL => Frame::Tail(serde_json::from_slice(&body)?),
            other => return Err(Error::Kind(other)),
        };
        Ok(Some(frame))
    }
}

impl Default for Reader {
    fn default() -> Self {
        Self::new()
    }
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

fn json(value: &impl Serialize) -> Bytes {
    serde_json::to_vec(value)
        .expect("frame content serializes to JSON")
        .into()
}
