use std::time::Duration;

/// Tracks when the configuration was last known to be current, which decides whether the API keys in it
/// are accepted.
///
/// Times are uptimes of the machine, from a clock that includes suspension: after a suspension, an
/// entry must not accept keys that were revoked in the meantime.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    max_age: Duration,
    confirmed: Option<Duration>,
}

impl Freshness {
    /// Creates the state before the first confirmation, in which no keys are accepted.
    #[must_use]
    pub fn new(max_age: Duration) -> Self {
        Freshness {
            max_age,
            confirmed: None,
        }
    }

    /// Sets the maximum age of a configuration whose keys are accepted.
    pub fn set_max_age(&mut self, max_age: Duration) {
        self.max_age = max_age;
    }

    /// Records that the active configuration was current at `time`.
    pub fn confirm(&mut self, time: Duration) {
        self.confirmed = self.confirmed.max(Some(time));
    }

    /// Returns the last time at which the configuration was known to be current.
    #[must_use]
    pub fn confirmed(&self) -> Option<Duration> {
        self.confirmed
    }

    /// Returns the time since the configuration was last known to be current.
    #[must_use]
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmed.map(|time| now.saturating_sub(time))
    }

    /// Reports whether keys may be accepted at `now`: the age does not exceed the maximum.
    #[must_use]
    pub fn is_fresh(&self, now: Duration) -> bool {
        self.age(now).is_some_and(|age| age <= self.max_age)
    }
}
