//! Splits a stream of server-sent events, so that a resumed stream continues at an event boundary.

use bytes::{Bytes, BytesMut};

/// The end of an event.
const END: &[u8] = b"\n\n";

/// Collects the bytes of a stream and gives out whole events.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
}

impl Splitter {
    /// Adds bytes and returns the whole events that are complete now, as one part.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        // An end may be split between two reads.
        let from = self.buffer.len().saturating_sub(END.len() - 1);
        self.buffer.extend_from_slice(bytes);
        let last = self.buffer[from..]
            .windows(END.len())
            .rposition(|w| w == END)?;
        Some(self.buffer.split_to(from + last + END.len()).freeze())
    }

    /// Returns the bytes after the last whole event.
    pub fn rest(self) -> Bytes {
        self.buffer.freeze()
    }
}

/// Counts the events of a part that carry output tokens.
pub fn count_tokens(part: &[u8]) -> u64 {
    let text = String::from_utf8_lossy(part);
    let events = text
        .split("\n\n")
        .filter(|event| event.contains("\"content\""));
    events.count() as u64
}
