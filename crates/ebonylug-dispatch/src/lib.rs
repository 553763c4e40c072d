//! Scheduling for an entry that calls its targets directly, without a sidecar on the data path.
//!
//! Several entries share the same targets, and each entry runs on a fraction of a core. An engine
//! serves requests in order of arrival, so a request that was sent cannot be overtaken. Entries
//! therefore queue requests until a target has a free slot, and exchange their state in small
//! gossip messages instead of one call per request.
//!
//! This crate performs no I/O and reads no clock: callers pass the current time.
//!
//! - [`Config`]: the active configuration and its indexes.
//! - [`Scheduler`]: selects the target of each request and the time of the send.
//! - [`Quotas`]: rate limits of organisations across all entries.
//! - [`RetryBudget`]: one entry's share of the retry budget.
//! - [`Hedging`]: second attempts of requests whose first attempt is slow.
//! - [`Freshness`]: whether the configuration is recent enough to accept its API keys.
//! - [`Peers`]: the last reported state of the other entries.
//! - [`CachedTable`]: the rows of a table of the platform, and what other entries lack of them.
//! - [`CrashDetector`]: requests and prompt parts that crash the targets that run them.
//! - [`Rollout`]: a move of a service to another version.
//! - [`VersionLatencies`]: whether responses take longer than those of the old version.
//!
//! # Limits across entries
//!
//! Quotas, the send rate to a cold target, the limit that a target names and the retry budget limit the
//! total over all entries, including during a network partition. Each limit is split so that the shares of isolated
//! entries add up to the whole.

mod budget;
mod cached_table;
mod choice;
mod cold;
mod config;
mod crashes;
mod fairness;
mod forecast;
mod freshness;
mod gossip;
mod hash;
mod health;
mod hedging;
mod load_report;
mod named_limit;
mod overview;
mod owners;
mod pacing;
mod placement;
mod prompt_cache;
mod queue;
mod quota;
mod readers;
mod refusal;
mod removed_targets;
mod report_sharing;
mod reported;
mod rollout;
mod row_age;
mod scheduler;
mod settings;
mod shared_rate;
mod silence;
mod table_digest;
mod target;
mod target_notices;
mod version_latency;
mod waiting;
mod warmth;

pub use budget::{RetryBudget, RetryRule};
pub use cached_table::{CachedTable, Row, TableUpdate};
pub use cold::{ColdChange, ColdSource};
pub use config::{Config, Limits, Organisation, Quota, RawConfig, Route, RouteKind, Service};
pub use crashes::{CrashDetector, CrashRecord};
pub use ebonylug_admission::CrashLog;
pub use freshness::Freshness;
pub use gossip::{
    Gossip, PeerChange, Peers, RolloutStatus, TargetCold, TargetLimit, TargetLoad, TargetPace,
    TargetReport, TargetWarm, Usage,
};
pub use hash::stable_hash;
pub use health::{HealthChange, Outcome};
pub use hedging::{HedgeRefusal, HedgeRule, Hedging, SlowRequest};
pub use load_report::LoadReport;
pub use overview::{DutyOverview, Overview, ReportOverview, ReportSums, TargetOverview};
pub use placement::{Caller, Decision, Placement, PlacementRequest};
pub use queue::WaitKey;
pub use quota::{EntryCounts, QuotaTolerance, Quotas};
pub use readers::{TableKind, TableStamp, TableState};
pub use refusal::{Reason, Refusal, RefusalForecast};
pub use rollout::{Rollout, Stage, VersionFilter};
pub use row_age::RowAge;
pub use scheduler::{ColdCheck, Revocation, Scheduler, Slot};
pub use settings::{SchedulerSettings, Weights};
pub use table_digest::{RowHash, RowSum, TableDigest};
pub use target::{PeerLoad, Target, TargetKey, TargetState};
pub use version_latency::{ResponseLatency, VersionLatencies};
pub use waiting::{PeerWaiting, Waiting};
