use std::time::Duration;

use ebonylug_core::Name;

/// How a service may be scaled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceSpec {
    /// The zones that have targets of the service.
    pub zones: Vec<Name>,
    /// The minimum number of targets in each zone.
    pub min_replicas: u32,
    /// The maximum number of targets in each zone.
    pub max_replicas: u32,
    /// The requests that one target runs at the same time.
    pub slots: u32,
    /// Time from an order until a new target serves.
    pub boot: Duration,
    /// Time from then until it is as fast as others.
    pub warm: Duration,
}

/// Why a specification cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidSpec {
    /// The minimum is greater than the maximum.
    #[error("min_replicas is greater than max_replicas")]
    Limits,
    /// A target without slots serves nothing.
    #[error("slots must be positive")]
    Slots,
}

/// The result of checking a specification.
pub type Result<T, E = InvalidSpec> = std::result::Result<T, E>;

/// The shortest time for which a lower demand must last before targets are removed. Orders for fewer targets
/// would otherwise follow every pause of callers where targets boot fast.
const MIN_DOWN_WINDOW: Duration = Duration::from_secs(60);

impl ServiceSpec {
    /// Checks the limits.
    ///
    /// # Errors
    ///
    /// Returns an error if no number of targets satisfies them, or if a target has no slots.
    pub fn check(&self) -> Result<()> {
        if self.min_replicas > self.max_replicas {
            return Err(InvalidSpec::Limits);
        }
        if self.slots == 0 {
            return Err(InvalidSpec::Slots);
        }
        Ok(())
    }

    /// Time from an order until its target takes its whole share of the load.
    pub(crate) fn lead_time(&self) -> Duration {
        self.boot + self.warm
    }

    /// Time for which a lower demand must last before targets are removed. A target that is removed and
    /// ordered again is missing for the lead time, so the demand must stay low for longer than that.
    pub(crate) fn down_window(&self) -> Duration {
        (self.lead_time() * 2).max(MIN_DOWN_WINDOW)
    }
}
