use std::time::Duration;

/// The reason for refusing a request that has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The service has no eligible target.
    NoTarget,
    /// All targets are full, and the request would exceed its maximum wait.
    Full,
    /// The service is short of capacity, and the request is beyond its organisation's share of it.
    OverShare,
    /// The organisation has exceeded its quota.
    Quota,
    /// The entry has not loaded a configuration yet.
    NoConfig,
    /// The configuration is too old to accept its keys.
    Stale,
    /// The memory for request bodies is exhausted.
    Memory,
    /// A target rejected the request without running it, and no retry is allowed.
    Rejected,
    /// Requests with the same content have crashed the targets that ran them.
    Quarantined,
    /// All targets have asked for no requests for longer than the request may wait.
    Paused,
    /// The entry stops before the request could be sent to a target.
    Stopping,
}

impl Reason {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::NoTarget => "no_target",
            Reason::Full => "full",
            Reason::OverShare => "over_share",
            Reason::Quota => "quota",
            Reason::NoConfig => "no_config",
            Reason::Stale => "stale_config",
            Reason::Memory => "memory",
            Reason::Rejected => "rejected",
            Reason::Quarantined => "quarantined",
            Reason::Paused => "paused",
            Reason::Stopping => "stopping",
        }
    }
}

/// A refusal: the request has not run and will not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The reason, which logs and metrics record.
    pub reason: Reason,
    /// Time after which the caller should retry.
    pub retry_after: Duration,
    /// The forecast that led to the refusal, for log lines.
    pub forecast: Option<RefusalForecast>,
}

/// What admission by forecast knew when it refused a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefusalForecast {
    /// Time until the request would have been sent.
    pub wait: Duration,
    /// The organisation's part of the work that was recently asked of the service, in percent.
    pub asked_percent: u8,
    /// The part that its weight gives it while capacity is short, in percent.
    pub fair_percent: u8,
    /// Whether an earlier attempt of the caller was refused.
    pub returning: bool,
}
