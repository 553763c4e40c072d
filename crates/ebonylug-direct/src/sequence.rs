//! Checks that the events of a stream are valid and continue without a gap.
//!
//! A faulty target may spoil any byte of its response. A wrong byte in a line ending merges two events, and one
//! in the name of a field hides an id or data from the caller. An event is therefore forwarded only if it
//! has one id and data, and no unknown field; the bytes of its data cannot be checked.

use crate::dialect::Dialect;

/// Fields of server-sent events other than `id` and `data`.
const OTHER_FIELDS: [&[u8]; 2] = [b"event", b"retry"];

/// Why an event is not forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum InvalidEvent {
    #[error("events are missing or out of order")]
    OutOfOrder,
    #[error("an event has an invalid id")]
    InvalidId,
    #[error("an event has several ids")]
    SeveralIds,
    #[error("an event has no id")]
    NoId,
    #[error("an event has no data")]
    NoData,
    #[error("an event has an unknown field")]
    UnknownField,
}

pub(crate) type Result<T, E = InvalidEvent> = std::result::Result<T, E>;

/// The ids of the events that a stream has had, over all its targets.
#[derive(Debug)]
pub(crate) struct EventSequence {
    /// The id that the next event must have. `None` if the first event may have any id.
    next: Option<u64>,
    last: Option<u64>,
    count: u32,
}

/// The fields of an event that are read.
#[derive(Default)]
struct Fields<'a> {
    id: Option<&'a [u8]>,
    has_data: bool,
    /// Whether a line other than a comment was read.
    has_any: bool,
}

impl EventSequence {
    /// Creates a sequence whose first event must have this id, if any.
    pub(crate) fn new(first: Option<u64>) -> Self {
        EventSequence {
            next: first,
            last: None,
            count: 0,
        }
    }

    /// Accepts an event. Returns `false` if the block is a comment or empty, so that callers ignore it.
    ///
    /// # Errors
    ///
    /// Returns an error if the event is invalid or does not follow the last one. The sequence is unchanged
    /// then.
    pub(crate) fn accept(&mut self, event: &[u8], dialect: &Dialect) -> Result<bool> {
        let fields = Fields::parse(event, dialect)?;
        let id = match (fields.id, fields.has_data) {
            (None, false) => return Ok(false),
            (None, true) => return Err(InvalidEvent::NoId),
            (Some(_), false) => return Err(InvalidEvent::NoData),
            (Some(id), true) => parse_id(id).ok_or(InvalidEvent::InvalidId)?,
        };
        if self.next.is_some_and(|next| next != id) {
            return Err(InvalidEvent::OutOfOrder);
        }
        self.last = Some(id);
        self.next = Some(id.saturating_add(1));
        self.count += 1;
        Ok(true)
    }

    /// Returns the id of the last accepted event.
    pub(crate) fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns the number of accepted events.
    pub(crate) fn count(&self) -> u32 {
        self.count
    }
}

impl<'a> Fields<'a> {
    fn parse(event: &'a [u8], dialect: &Dialect) -> Result<Self> {
        let mut fields = Fields::default();
        let lines = event.split(|&byte| byte == b'\n');
        for line in lines.filter(|line| !line.is_empty()) {
            let (name, value) = split_line(line);
            match name {
                // A comment after a field may be the start of an event whose predecessor has lost its end.
                b"" if fields.has_any => return Err(InvalidEvent::UnknownField),
                b"" => continue,
                b"id" => {
                    if fields.id.replace(value).is_some() {
                        return Err(InvalidEvent::SeveralIds);
                    }
                }
                b"data" => fields.has_data = true,
                _ if OTHER_FIELDS.contains(&name) || dialect.allows_field(name) => {}
                _ => return Err(InvalidEvent::UnknownField),
            }
            fields.has_any = true;
        }
        Ok(fields)
    }
}

/// Splits a line into the name and the value of its field.
fn split_line(line: &[u8]) -> (&[u8], &[u8]) {
    let Some(colon) = line.iter().position(|&byte| byte == b':') else {
        return (line, b"");
    };
    let value = &line[colon + 1..];
    (&line[..colon], value.strip_prefix(b" ").unwrap_or(value))
}

/// Parses an id in its only valid form: decimal digits without a sign or leading zeros.
fn parse_id(id: &[u8]) -> Option<u64> {
    let is_canonical =
        id.iter().all(u8::is_ascii_digit) && (id.len() == 1 || id.first() != Some(&b'0'));
    if !is_canonical {
        return None;
    }
    std::str::from_utf8(id).ok()?.parse().ok()
}
