use std::time::Duration;

/// Why a request is refused. It has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// No target of the service may be used.
    NoTarget,
    /// The targets are full and the request would wait too long.
    Full,
    /// The organisation is over its quota.
    Quota,
    /// There is no configuration yet.
    NoConfig,
    /// The configuration is too old to trust its keys.
    Stale,
    /// The entry has no memory for the body.
    Memory,
    /// A target proved that it did not run the request, and no further send is allowed.
    Rejected,
    /// Requests with this content have crashed the targets that ran them.
    Quarantined,
}

impl Reason {
    /// Returns the name in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::NoTarget => "no_target",
            Reason::Full => "full",
            Reason::Quota => "quota",
            Reason::NoConfig => "no_config",
            Reason::Stale => "stale_config",
            Reason::Memory => "memory",
            Reason::Rejected => "rejected",
            Reason::Quarantined => "quarantined",
        }
    }
}

/// A refusal: the request has not run and will not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When the caller should come back.
    pub retry_after: Duration,
}
