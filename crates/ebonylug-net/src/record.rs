//! The recorder of timeline events of one process.

use std::sync::{Arc, Mutex, MutexGuard};

use ebonylug_core::Clock;
use ebonylug_events::{EventKind, EventRing, Origin, Page, Stamp, Subject};

/// Number of events that a process keeps. At 9 requests per second and four events for each, these
/// are the last two minutes; with little traffic they are hours.
const MAX_EVENTS: usize = 4_096;

/// Records the events of a process, from all of its threads.
pub struct Recorder {
    clock: Arc<dyn Clock>,
    ring: Mutex<EventRing>,
}

impl Recorder {
    /// Creates a recorder without events, which stamps events with the time of `clock`.
    #[must_use]
    pub fn new(origin: Origin, clock: Arc<dyn Clock>) -> Self {
        Recorder {
            clock,
            ring: Mutex::new(EventRing::new(origin, MAX_EVENTS)),
        }
    }

    /// Records an event and returns its stamp, which messages that the event causes carry.
    pub fn record(&self, kind: EventKind, subject: Subject) -> Stamp {
        let now = self.clock.wall();
        self.lock().push(now, kind, subject, None).stamp
    }

    /// Returns the current stamp, which outgoing messages carry.
    #[must_use]
    pub fn stamp(&self) -> Stamp {
        self.lock().stamp()
    }

    /// Advances the logical clock to the stamp of a received message, if that is later.
    pub fn observe(&self, stamp: Stamp) {
        self.lock().observe(stamp);
    }

    /// Returns at most `limit` events with higher sequence numbers than `sequence`.
    #[must_use]
    pub fn since(&self, sequence: u64, limit: usize) -> Page {
        self.lock().since(sequence, limit)
    }

    fn lock(&self) -> MutexGuard<'_, EventRing> {
        self.ring.lock().expect("recorder lock poisoned")
    }
}
