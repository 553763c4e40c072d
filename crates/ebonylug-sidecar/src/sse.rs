//! Splits a stream of server-sent events at event boundaries, where a resumed stream continues.

use bytes::{Bytes, BytesMut};

/// Terminates an event.
const EVENT_END: &[u8] = b"\n\n";

/// Buffers the bytes of a stream and returns complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
}

impl EventSplitter {
    /// Adds bytes, and returns the events that they complete as one part.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        // A terminator may be split between two reads.
        let from = self.buffer.len().saturating_sub(EVENT_END.len() - 1);
        self.buffer.extend_from_slice(bytes);
        let last = self.buffer[from..]
            .windows(EVENT_END.len())
            .rposition(|w| w == EVENT_END)?;
        Some(self.buffer.split_to(from + last + EVENT_END.len()).freeze())
    }

    /// Returns the bytes after the last complete event.
    pub fn into_rest(self) -> Bytes {
        self.buffer.freeze()
    }
}

/// Returns the number of events of a part that contain output tokens.
pub fn count_tokens(part: &[u8]) -> u64 {
    let text = String::from_utf8_lossy(part);
    let events = text
        .split("\n\n")
        .filter(|event| event.contains("\"content\""));
    events.count() as u64
}
