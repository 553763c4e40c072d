use std::fmt;

use serde::{Deserialize, Serialize};

/// A logical time: an event that can have influenced another has a lower stamp.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Stamp(pub u64);

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The Lamport clock of a process.
///
/// A message carries the sender's [`stamp`](EventClock::stamp); the receiver
/// [observes](EventClock::observe) it before it records what the message led to.
///
/// ```
/// use ebonylug_events::EventClock;
///
/// let (mut entry, mut sidecar) = (EventClock::new(), EventClock::new());
/// let sent = entry.tick();
/// sidecar.observe(sent);
/// assert!(sidecar.tick() > sent);
/// ```
#[derive(Clone, Debug, Default)]
pub struct EventClock {
    last: Stamp,
}

impl EventClock {
    /// Creates a clock that has seen nothing.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the stamp that the process's messages carry.
    #[must_use]
    pub fn stamp(&self) -> Stamp {
        self.last
    }

    /// Takes over the stamp of a message that was received.
    pub fn observe(&mut self, stamp: Stamp) {
        self.last = self.last.max(stamp);
    }

    /// Moves on to a new event and returns its stamp.
    pub fn tick(&mut self) -> Stamp {
        // A peer's faulty stamp must not stop the process.
        self.last = Stamp(self.last.0.saturating_add(1));
        self.last
    }
}
