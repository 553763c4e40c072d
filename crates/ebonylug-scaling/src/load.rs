/// Whether a zone gets requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ZoneState {
    /// The zone serves.
    #[default]
    Serving,
    /// Operators have evacuated the zone. Its load goes to the others.
    Drained,
    /// The zone is unreachable. Its load goes to the others.
    Dark,
}

/// The load of one service in one zone, over all entries, in the last second or so.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// The targets that serve, including cold ones.
    pub engines: u32,
    /// The requests that run.
    pub occupied: f64,
    /// The requests that wait for a slot.
    pub queued: f64,
    /// The requests that ended per second after they had run.
    pub completed: f64,
    /// The requests refused per second because all targets were full.
    pub refused: f64,
    /// The requests per second that missed their latency objective.
    pub late: f64,
    /// The entries whose load is included.
    pub heard: u32,
    /// The entries that are known.
    pub known: u32,
}

/// The part of the known entries, in tenths, that must be included in a load. It allows for an entry that is
/// being replaced. Less would show a lower demand than there is.
const MIN_HEARD_TENTHS: u64 = 9;

/// The fraction of late requests above which the targets count as too busy. Callers lose up to seven tenths
/// of the value of a late answer, so a twentieth of late answers costs some hundredths of the value.
const MAX_LATE_FRACTION: f64 = 0.05;
/// The least completed requests per second from which the fraction of late ones is taken.
const MIN_COMPLETED: f64 = 5.0;

impl Load {
    /// Reports whether the numbers are valid and include nearly all entries.
    pub(crate) fn is_complete(&self) -> bool {
        let numbers = [
            self.occupied,
            self.queued,
            self.completed,
            self.refused,
            self.late,
        ];
        let valid = numbers
            .iter()
            .all(|number| number.is_finite() && *number >= 0.0);
        let heard = u64::from(self.heard) * 10 >= u64::from(self.known) * MIN_HEARD_TENTHS;
        valid && self.known > 0 && heard
    }

    /// Returns the slots that all requests would occupy if there were enough of them. A refused request
    /// would have occupied one for as long as a completed one did.
    pub(crate) fn demand(&self) -> f64 {
        let held = if self.completed > 0.0 {
            self.occupied / self.completed
        } else {
            0.0
        };
        // Refusals may be repeated attempts of the same callers, so they at most double the demand.
        let seen = self.occupied + self.queued;
        seen + (self.refused * held).min(seen)
    }

    /// Reports whether too many requests miss their latency objective.
    pub(crate) fn is_late(&self) -> bool {
        self.completed >= MIN_COMPLETED && self.late > self.completed * MAX_LATE_FRACTION
    }
}
