use bytes::{Bytes, BytesMut};

/// Splits a stream of server-sent events at the ends of events.
///
/// A target may stop in the middle of an event. Only whole events are passed on, so that another
/// target can continue after the last one.
///
/// ```
/// use ebonylug_direct::EventSplitter;
///
/// let mut splitter = EventSplitter::default();
/// assert!(splitter.push(b"id: 1\ndata: a\n".as_slice().into()).is_none());
/// let whole = splitter.push(b"\nid: 2\nda".as_slice().into()).unwrap();
/// assert_eq!(whole, "id: 1\ndata: a\n\n");
/// assert!(!splitter.is_empty());
/// ```
#[derive(Debug, Default)]
pub struct EventSplitter {
    rest: BytesMut,
}

impl EventSplitter {
    /// Adds bytes, and returns the whole events that they complete.
    pub fn push(&mut self, mut bytes: Bytes) -> Option<Bytes> {
        if !self.rest.is_empty() {
            self.rest.extend_from_slice(&bytes);
            let end = last_end(&self.rest)?;
            return Some(self.rest.split_to(end).freeze());
        }
        // Most parts hold whole events, and are passed on without a copy.
        let Some(end) = last_end(&bytes) else {
            self.rest.extend_from_slice(&bytes);
            return None;
        };
        let whole = bytes.split_to(end);
        self.rest.extend_from_slice(&bytes);
        Some(whole)
    }

    /// Reports whether no part of an event is left over.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rest.is_empty()
    }
}

/// Returns the place after the last blank line.
fn last_end(bytes: &[u8]) -> Option<usize> {
    let place = bytes.windows(2).rposition(|pair| pair == b"\n\n")?;
    Some(place + 2)
}

/// The ids of whole events.
pub(crate) fn ids(events: &[u8]) -> impl Iterator<Item = &[u8]> {
    events.split(|&byte| byte == b'\n').filter_map(|line| {
        let id = line.strip_prefix(b"id:")?;
        Some(id.trim_ascii())
    })
}

/// Returns the id of an event as a number.
pub(crate) fn number(id: &[u8]) -> Option<u64> {
    std::str::from_utf8(id).ok()?.parse().ok()
}
