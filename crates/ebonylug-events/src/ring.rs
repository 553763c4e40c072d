use std::collections::VecDeque;
use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

use crate::{Event, EventKind, EventRef, LamportClock, Origin, Stamp, Subject};

/// The most recent events of a process. When the ring is full, a new event overwrites the oldest.
///
/// A restarted process starts an empty ring. It should observe a timestamp of a peer before its
/// first event; otherwise its first events sort among the earliest of the merged timeline.
///
/// ```
/// use std::time::SystemTime;
/// use ebonylug_core::Incarnation;
/// use ebonylug_events::{EventKind, EventRing, Origin, Subject};
///
/// let origin = Origin {
///     process: "entry-1".into(),
///     zone: "pnw-west-a".into(),
///     incarnation: Incarnation(1),
/// };
/// let mut ring = EventRing::new(origin, 2);
/// for kind in [EventKind::Started, EventKind::Draining, EventKind::Stopped] {
///     ring.push(SystemTime::now(), kind, Subject::new(), None);
/// }
/// let page = ring.since(0, 10);
/// assert_eq!((page.lost, page.events.len()), (1, 2));
/// ```
#[derive(Clone, Debug)]
pub struct EventRing {
    origin: Origin,
    capacity: usize,
    clock: LamportClock,
    sequence: u64,
    events: VecDeque<Event>,
}

/// Consecutive events of a ring.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Number of requested events that have been overwritten. They preceded `events`.
    pub lost: u64,
    /// The events in the order of their sequence numbers.
    pub events: Vec<Event>,
    /// The sequence number to pass to [`EventRing::since`] for the next page.
    pub next: u64,
}

impl EventRing {
    /// Creates an empty ring that holds `capacity` events, at least one.
    #[must_use]
    pub fn new(origin: Origin, capacity: usize) -> Self {
        EventRing {
            origin,
            capacity: capacity.max(1),
            clock: LamportClock::new(),
            sequence: 0,
            events: VecDeque::new(),
        }
    }

    /// Returns the current timestamp, which outgoing messages carry.
    #[must_use]
    pub fn stamp(&self) -> Stamp {
        self.clock.stamp()
    }

    /// Advances the clock to the timestamp of a received message, if that is later.
    pub fn observe(&mut self, stamp: Stamp) {
        self.clock.observe(stamp);
    }

    /// Records an event with a timestamp above those of its cause and of all observed messages.
    ///
    /// Returns a reference that messages may carry as the cause of events in other processes.
    pub fn push(
        &mut self,
        at: SystemTime,
        kind: EventKind,
        subject: Subject,
        cause: Option<EventRef>,
    ) -> EventRef {
        if let Some(cause) = &cause {
            self.clock.observe(cause.stamp);
        }
        self.sequence += 1;
        let event = Event {
            origin: self.origin.clone(),
            sequence: self.sequence,
            stamp: self.clock.tick(),
            at: unix_millis(at),
            cause,
            subject,
            kind,
        };
        let reference = event.reference();
        if self.events.len() == self.capacity {
            self.events.pop_front();
        }
        self.events.push_back(event);
        reference
    }

    /// Returns at most `limit` events with higher sequence numbers than `sequence`.
    #[must_use]
    pub fn since(&self, sequence: u64, limit: usize) -> Page {
        let overwritten = self.sequence - self.events.len() as u64;
        let lost = overwritten.saturating_sub(sequence);
        let skip = sequence.saturating_sub(overwritten);
        let skip = usize::try_from(skip).unwrap_or(usize::MAX);
        let events: Vec<Event> = self.events.iter().skip(skip).take(limit).cloned().collect();
        // A reader beyond the last event has read from an earlier incarnation of the process.
        let start = sequence.clamp(overwritten, self.sequence);
        Page {
            lost,
            next: events.last().map_or(start, |event| event.sequence),
            events,
        }
    }
}

fn unix_millis(at: SystemTime) -> u64 {
    let since = at.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
