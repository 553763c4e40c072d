//! The time line's events of one process.

use std::sync::{Arc, Mutex, MutexGuard};

use ebonylug_core::Clock;
use ebonylug_events::{EventKind, EventRing, Origin, Page, Stamp, Subject};

/// Events that one process keeps. At 9 requests a second and four events for each, the ring holds
/// the last two minutes; quiet processes keep hours.
const CAPACITY: usize = 4_096;

/// Records events; handlers on several threads share it.
pub struct Recorder {
    clock: Arc<dyn Clock>,
    ring: Mutex<EventRing>,
}

impl Recorder {
    /// Creates a recorder without events.
    #[must_use]
    pub fn new(origin: Origin, clock: Arc<dyn Clock>) -> Self {
        Recorder {
            clock,
            ring: Mutex::new(EventRing::new(origin, CAPACITY)),
        }
    }

    /// Records an event and returns its stamp, for messages that follow from it.
    pub fn record(&self, kind: EventKind, subject: Subject) -> Stamp {
        let now = self.clock.wall();
        self.lock().push(now, kind, subject, None).stamp
    }

    /// Returns the stamp that messages carry.
    #[must_use]
    pub fn stamp(&self) -> Stamp {
        self.lock().stamp()
    }

    /// Takes over the stamp of a message that was received.
    pub fn observe(&self, stamp: Stamp) {
        self.lock().observe(stamp);
    }

    /// Returns the events with higher numbers than `sequence`, at most `limit`.
    #[must_use]
    pub fn since(&self, sequence: u64, limit: usize) -> Page {
        self.lock().since(sequence, limit)
    }

    fn lock(&self) -> MutexGuard<'_, EventRing> {
        self.ring.lock().expect("recorder lock poisoned")
    }
}
