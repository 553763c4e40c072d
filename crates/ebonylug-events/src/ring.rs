use std::collections::VecDeque;
use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

use crate::{Event, EventClock, EventKind, EventRef, Origin, Stamp, Subject};

/// The last events of a process. Old events are overwritten.
///
/// A restarted process starts a new ring. It should observe a stamp of a peer before its first
/// event; otherwise its first events are ordered among the earliest of the whole time line.
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
    clock: EventClock,
    sequence: u64,
    events: VecDeque<Event>,
}

/// A part of a ring.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Events that were asked for and are overwritten. They came before `events`.
    pub lost: u64,
    /// The events in order.
    pub events: Vec<Event>,
    /// The sequence from which the next page follows.
    pub next: u64,
}

impl EventRing {
    /// Creates an empty ring for `capacity` events, at least one.
    #[must_use]
    pub fn new(origin: Origin, capacity: usize) -> Self {
        EventRing {
            origin,
            capacity: capacity.max(1),
            clock: EventClock::new(),
            sequence: 0,
            events: VecDeque::new(),
        }
    }

    /// Returns the stamp that the process's messages carry.
    #[must_use]
    pub fn stamp(&self) -> Stamp {
        self.clock.stamp()
    }

    /// Takes over the stamp of a message that was received.
    pub fn observe(&mut self, stamp: Stamp) {
        self.clock.observe(stamp);
    }

    /// Records an event, which comes after its cause and after all that was observed.
    ///
    /// The returned mark may travel on messages as the cause of events elsewhere.
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
            at: millis(at),
            cause,
            subject,
            kind,
        };
        let mark = event.reference();
        if self.events.len() == self.capacity {
            self.events.pop_front();
        }
        self.events.push_back(event);
        mark
    }

    /// Returns the events with higher numbers than `sequence`, at most `limit`.
    #[must_use]
    pub fn since(&self, sequence: u64, limit: usize) -> Page {
        let overwritten = self.sequence - self.events.len() as u64;
        let lost = overwritten.saturating_sub(sequence);
        let skip = sequence.saturating_sub(overwritten);
        let skip = usize::try_from(skip).unwrap_or(usize::MAX);
        let events: Vec<Event> = self.events.iter().skip(skip).take(limit).cloned().collect();
        // A reader that is ahead has read from an earlier life of the process.
        let start = sequence.clamp(overwritten, self.sequence);
        Page {
            lost,
            next: events.last().map_or(start, |event| event.sequence),
            events,
        }
    }
}

fn millis(at: SystemTime) -> u64 {
    let since = at.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
