use std::time::Duration;

/// Tells whether the configuration is recent enough to accept the keys in it.
///
/// Times are durations since the machine started, of a clock that also counts suspension: an entry
/// that was suspended must not accept keys that were revoked meanwhile.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    bound: Duration,
    confirmed: Option<Duration>,
}

impl Freshness {
    /// Creates a state in which nothing is confirmed.
    #[must_use]
    pub fn new(bound: Duration) -> Self {
        Freshness {
            bound,
            confirmed: None,
        }
    }

    /// Changes the age up to which keys are accepted.
    pub fn set_max_age(&mut self, bound: Duration) {
        self.bound = bound;
    }

    /// Notes that the configuration in force was current at `time`.
    pub fn confirm(&mut self, time: Duration) {
        self.confirmed = self.confirmed.max(Some(time));
    }

    /// Returns the last time for which the configuration was known to be current.
    #[must_use]
    pub fn confirmed(&self) -> Option<Duration> {
        self.confirmed
    }

    /// Returns the time since the configuration was last known to be current.
    #[must_use]
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmed.map(|time| now.saturating_sub(time))
    }

    /// Reports whether keys may be accepted at `now`.
    #[must_use]
    pub fn is_fresh(&self, now: Duration) -> bool {
        self.age(now).is_some_and(|age| age <= self.bound)
    }
}
