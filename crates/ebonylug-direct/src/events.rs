use bytes::{Bytes, BytesMut};

/// Splits a stream of server-sent events at event boundaries.
///
/// A target may fail in the middle of an event. Only complete events are forwarded, so that another
/// target can resume after the last one.
///
/// ```
/// use ebonylug_direct::EventSplitter;
///
/// let mut splitter = EventSplitter::default();
/// assert!(splitter.push(b"id: 1\ndata: a\n".as_slice().into()).is_none());
/// let events = splitter.push(b"\nid: 2\nda".as_slice().into()).unwrap();
/// assert_eq!(events, "id: 1\ndata: a\n\n");
/// assert!(!splitter.is_empty());
/// ```
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
}

impl EventSplitter {
    /// Adds bytes, and returns the events that they complete.
    pub fn push(&mut self, mut bytes: Bytes) -> Option<Bytes> {
        if !self.partial.is_empty() {
            self.partial.extend_from_slice(&bytes);
            let end = last_end(&self.partial)?;
            return Some(self.partial.split_to(end).freeze());
        }
        // Most chunks hold complete events and are forwarded without a copy.
        let Some(end) = last_end(&bytes) else {
            self.partial.extend_from_slice(&bytes);
            return None;
        };
        let events = bytes.split_to(end);
        self.partial.extend_from_slice(&bytes);
        Some(events)
    }

    /// Returns the size of the incomplete event that is buffered, in bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.partial.len()
    }

    /// Reports whether no incomplete event is buffered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.partial.is_empty()
    }
}

/// The blank line after an event, with the line ending before it.
const EVENT_END: &[u8] = b"\n\n";

/// Returns the position after the last blank line.
fn last_end(bytes: &[u8]) -> Option<usize> {
    let position = bytes
        .windows(EVENT_END.len())
        .rposition(|pair| pair == EVENT_END)?;
    Some(position + EVENT_END.len())
}

/// Splits complete events. Each item ends with its blank line.
pub(crate) fn split_events(mut events: &[u8]) -> impl Iterator<Item = &[u8]> {
    std::iter::from_fn(move || {
        let mut pairs = events.windows(EVENT_END.len());
        let end = pairs.position(|pair| pair == EVENT_END)? + EVENT_END.len();
        let (event, rest) = events.split_at(end);
        events = rest;
        Some(event)
    })
}
