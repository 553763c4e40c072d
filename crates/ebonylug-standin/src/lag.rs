use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// A value that is read with a fixed delay: readers see its state of `lag` ago.
pub(crate) struct Lagged<T> {
    lag: Duration,
    /// The recorded values in order of time, never empty. Readers see the first one, which is the
    /// latest that is at least `lag` old, or the oldest if none is.
    history: VecDeque<(Instant, T)>,
}

impl<T: Copy> Lagged<T> {
    pub(crate) fn new(lag: Duration, now: Instant, value: T) -> Self {
        Lagged {
            lag,
            history: VecDeque::from([(now, value)]),
        }
    }

    /// Records a new value.
    pub(crate) fn push(&mut self, now: Instant, value: T) {
        self.history.push_back((now, value));
        self.prune(now);
    }

    /// Drops the history, as a restart of the process does.
    pub(crate) fn reset(&mut self, now: Instant, value: T) {
        self.history.clear();
        self.history.push_back((now, value));
    }

    /// Returns the value as of `lag` ago.
    pub(crate) fn get(&mut self, now: Instant) -> T {
        self.prune(now);
        self.history[0].1
    }

    fn prune(&mut self, now: Instant) {
        while let Some((at, _)) = self.history.get(1)
            && *at + self.lag <= now
        {
            self.history.pop_front();
        }
    }
}
