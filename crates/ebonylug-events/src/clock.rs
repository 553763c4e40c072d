use std::fmt;

use serde::{Deserialize, Serialize};

/// A Lamport timestamp: an event that can have influenced another has a lower one.
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
/// A message carries the sender's [`stamp`](LamportClock::stamp); the receiver
/// [observes](LamportClock::observe) it before it records events that the message causes.
///
/// ```
/// use ebonylug_events::LamportClock;
///
/// let (mut entry, mut sidecar) = (LamportClock::new(), LamportClock::new());
/// let sent = entry.tick();
/// sidecar.observe(sent);
/// assert!(sidecar.tick() > sent);
/// ```
#[derive(Clone, Debug, Default)]
pub struct LamportClock {
    last: Stamp,
}

impl LamportClock {
    /// Creates a clock at time 0.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the current timestamp, which outgoing messages carry.
    #[must_use]
    pub fn stamp(&self) -> Stamp {
        self.last
    }

    /// Advances the clock to the timestamp of a received message, if that is later.
    pub fn observe(&mut self, stamp: Stamp) {
        self.last = self.last.max(stamp);
    }

    /// Advances the clock for a new event and returns the timestamp of the event.
    pub fn tick(&mut self) -> Stamp {
        // Saturates, so that an invalid timestamp from a peer cannot cause an overflow panic.
        self.last = Stamp(self.last.0.saturating_add(1));
        self.last
    }
}
