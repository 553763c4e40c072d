//! Tells whether an entry gets the changes of the targets' rows, by itself or through others.

use std::time::{Duration, Instant};

/// Age of the last change up to which rows are current, whatever reads fail. Some entry gets them then.
const RECENT: Duration = Duration::from_secs(1);
/// Age of the configuration above which the store answers no entry in reach.
const MAX_CONFIG_AGE: Duration = Duration::from_millis(3_200);

/// The progress of the targets' rows at this entry and at those that it hears.
#[derive(Clone, Copy, Debug, Default)]
pub struct RowAge {
    version: u64,
    changed: Option<Instant>,
    /// Whether this entry was suspended, and nothing has confirmed the rows since.
    outdated: bool,
}

impl RowAge {
    /// Records a version that this entry or another one has read. Only a later one shows that the store answers.
    pub fn record(&mut self, now: Instant, version: u64) {
        if version <= self.version {
            return;
        }
        self.version = version;
        // News that waited in a buffer may be old.
        if !self.outdated {
            self.changed = Some(now);
        }
    }

    /// Records that this entry was suspended. What it knows does not count until [`RowAge::confirm`].
    pub fn suspend(&mut self) {
        self.outdated = true;
        self.changed = None;
    }

    /// Records that a read or a message that was sent after the suspension has confirmed the rows.
    pub fn confirm(&mut self) {
        self.outdated = false;
    }

    /// Reports whether any rows are known.
    #[must_use]
    pub fn has_rows(&self) -> bool {
        self.version > 0
    }

    /// Reports whether rows are known to be current. `reading` is whether the store answered the last read of the rows by
    /// this entry or by another one, `config_age` the time since any entry in reach got the configuration.
    #[must_use]
    pub fn is_current(&self, now: Instant, reading: bool, config_age: Option<Duration>) -> bool {
        if self.outdated {
            return false;
        }
        let age = self.changed.map(|time| now.saturating_duration_since(time));
        if age.is_some_and(|age| age < RECENT) {
            return true;
        }
        let outdated = config_age.is_some_and(|age| age > MAX_CONFIG_AGE);
        reading && !outdated
    }
}
