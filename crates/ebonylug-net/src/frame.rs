//! The framing of answers between sidecar and entry.

use bytes::{BufMut, Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use ebonylug_core::End;
use ebonylug_events::Stamp;

use crate::wire::Refused;

/// The largest frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 << 20;

/// The head of the target's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The status code.
    pub status: u16,
    /// Names and values of the headers that are passed on.
    pub headers: Vec<(Box<str>, Box<str>)>,
}

/// How the answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tail {
    /// The reason.
    pub end: End,
    /// Output tokens that this and earlier attempts have delivered.
    pub tokens: u64,
    /// Whether the end was ordered to make room for other work.
    pub preempted: bool,
    /// The logical time of the end.
    pub stamp: Stamp,
}

/// One frame of an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Frame {
    /// The target did not get the request, although the sidecar had admitted it.
    NotRun(Refused),
    /// The head of the target's answer.
    Head(Head),
    /// A part of the body.
    Data(Bytes),
    /// Nothing new; the connection works.
    KeepAlive,
    /// The answer has ended.
    Tail(Tail),
}

/// Why frames could not be read.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The frame is too large.
    #[error("frame cannot be read: {0}")]
    Codec(#[from] std::io::Error),
    /// The content of a frame is not valid.
    #[error("frame is not valid: {0}")]
    Json(#[from] serde_json::Error),
    /// The kind of a frame is not known.
    #[error("frame has the unknown kind {0}")]
    Kind(u8),
}

/// The result of reading frames.
pub type Result<T, E = Error> = std::result::Result<T, E>;

const NOT_RUN: u8 = b'N';
const HEAD: u8 = b'H';
const DATA: u8 = b'D';
const KEEP_ALIVE: u8 = b'K';
const TAIL: u8 = b'T';

impl Frame {
    /// Encodes the frame with its length.
    ///
    /// # Panics
    ///
    /// Panics if the content is larger than [`MAX_FRAME_BYTES`]; callers split data first.
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
            .expect("frame is within the bound");
        out.freeze()
    }
}

/// Decodes frames from parts of a body.
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
    /// Creates a reader without data.
    #[must_use]
    pub fn new() -> Self {
        Reader {
            codec: codec(),
            buffer: BytesMut::new(),
        }
    }

    /// Adds a part of the body.
    pub fn push(&mut self, part: &[u8]) {
        self.buffer.extend_from_slice(part);
    }

    /// Returns the next whole frame, if there is one.
    ///
    /// # Errors
    ///
    /// Fails if the peer does not keep to the framing.
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
        .expect("frame content is plain data")
        .into()
}
