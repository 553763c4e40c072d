//! Instance membership from the instance list, heartbeats and leave notices, and target subsets.
//!
//! The instance list of the platform lags behind the actual state and has outages, so it cannot
//! decide alone which instances get work. Three sources are combined, in descending order of
//! precedence:
//!
//! 1. A leave notice. The instance gets no new work until a heartbeat of a new incarnation arrives,
//!    whatever an older message or the list says.
//! 2. A heartbeat. An instance that sends heartbeats stays, even if the list does not contain it.
//! 3. The list. It adds instances, and removes those that it does not contain and that send no
//!    heartbeats. While the list is unavailable, no instance is removed.
//!
//! [`subset`] chooses the targets to which an entry connects, since connections between all entries
//! and all targets would cause more control traffic than a node may use.
//!
//! # Example
//!
//! ```
//! use std::time::{Duration, Instant};
//! use ebonylug_core::Incarnation;
//! use ebonylug_membership::{MemberState, Membership, Settings};
//! use ebonylug_platform::{InstanceRow, InstanceState};
//!
//! let start = Instant::now();
//! let list = [InstanceRow {
//!     instance: "i-7".into(),
//!     zone: "liberia-a".into(),
//!     state: InstanceState::Live,
//!     data: "127.0.0.7:9000".into(),
//!     control: "127.0.0.7:9001".into(),
//!     target: Some("engine-7".into()),
//! }];
//! let mut membership = Membership::new(Settings::default());
//! membership.apply_list(start, &list);
//! membership.record_heartbeat(start, &"i-7".into(), Incarnation(1), None);
//! assert_eq!(membership.state("i-7"), Some(MemberState::Live));
//!
//! membership.record_leave(start, &"i-7".into(), Incarnation(1));
//! // The list lags and still contains the instance as live.
//! membership.apply_list(start + Duration::from_secs(1), &list);
//! assert_eq!(membership.state("i-7"), Some(MemberState::Leaving));
//! ```

mod member;
mod membership;
mod settings;
mod subset;

pub use member::{Member, MemberReason, MemberState};
pub use membership::{Change, Changes, Membership};
pub use settings::{MAX_MEMBERS, Settings};
pub use subset::{TargetIndex, TargetInfo, subset};
