use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// A value that readers see as it was some time ago.
pub(crate) struct Lagged<T> {
    lag: Duration,
    /// The values in order of time. The first one is what readers see, or nothing older exists.
    history: VecDeque<(Instant, T)>,
}

impl<T: Copy> Lagged<T> {
    pub(crate) fn new(lag: Duration, now: Instant, value: T) -> Self {
        Lagged {
            lag,
            history: VecDeque::from([(now, value)]),
        }
    }

    /// Records a change.
    pub(crate) fn push(&mut self, now: Instant, value: T) {
        self.history.push_back((now, value));
        self.prune(now);
    }

    /// Forgets the past, as a restarted process does.
    pub(crate) fn reset(&mut self, now: Instant, value: T) {
        self.history.clear();
        self.history.push_back((now, value));
    }

    /// Returns the value of `lag` ago.
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
