//! Decisions of an entry that calls its targets itself, with no sidecar on the data path.
//!
//! Several entries share the same targets, and each entry has a small part of a core. An engine
//! serves in order of arrival, so a request that was sent cannot be overtaken. The decisions here
//! therefore keep requests in the entry until a target has a free place, and share what entries
//! know in small messages instead of a call for each request.
//!
//! Nothing in this crate has I/O or reads a clock: each call takes the time.
//!
//! - [`Config`]: the configuration in force, with its lookups.
//! - [`Scheduler`]: which request goes to which target, and when.
//! - [`Quotas`]: the rate limits of organisations over all entries.
//! - [`RetryBudget`]: the share of repeated sends that one entry may use.
//! - [`Freshness`]: whether the configuration is recent enough to trust its keys.
//! - [`Peers`]: what the other entries have told.
//! - [`Rollout`]: a move of a service to another version.
//!
//! # Sums over all entries
//!
//! Quotas, the rate of a cold target and the retry budget bound the sum over all entries, also
//! while entries cannot hear each other. Each of them is split so that the parts of entries that
//! hear nobody add up to the bound.

mod budget;
mod cold;
mod config;
mod crashes;
mod freshness;
mod gossip;
mod hash;
mod health;
mod overview;
mod quota;
mod refusal;
mod rollout;
mod scheduler;
mod settings;
mod subject;
mod target;
mod waiting;

pub use budget::{RetryBudget, RetryRule};
pub use config::{Config, Limits, Organisation, Quota, RawConfig, Route, RouteKind, Service};
pub use crashes::CrashDetector;
pub use freshness::Freshness;
pub use gossip::{
    Gossip, PeerChange, PeerUpdate, Peers, RolloutStatus, TargetLoad, TargetPace, Usage,
};
pub use hash::stable_hash;
pub use health::{HealthChange, Outcome};
pub use overview::{Overview, TargetOverview};
pub use quota::{EntryCounts, Quotas};
pub use refusal::{Reason, Refusal};
pub use rollout::{Rollout, Stage, VersionFilter};
pub use scheduler::{Decision, Placement, PlacementRequest, Scheduler};
pub use settings::SchedulerSettings;
pub use target::{PeerLoad, Target, TargetKey, TargetState};
pub use waiting::WaitKey;
