//! Names, identifiers, time and messages that every ebonylug crate shares.
//!
//! The crate holds no state and makes no decisions. It defines the types that two or more
//! crates exchange: the entry and the sidecar must agree on what an [`AttemptId`], a
//! [`LoadReport`] or a [`Refusal`] means, although neither depends on the other.
//!
//! # Time
//!
//! Local intervals (timeouts, retention, latencies) use [`std::time::Instant`]. Times that
//! processes exchange (deadlines, schedules) use [`std::time::SystemTime`]. Both come from a
//! [`Clock`], so that tests and simulations run in virtual time:
//!
//! ```
//! use std::time::Duration;
//! use ebonylug_core::{Clock, ManualClock};
//!
//! let clock = ManualClock::new();
//! let start = clock.now();
//! clock.advance(Duration::from_secs(3));
//! assert_eq!(clock.now() - start, Duration::from_secs(3));
//! ```

mod attempt;
mod clock;
mod crash_cause;
mod id;
mod message;
mod name;
mod tier;
mod tokens;

pub use attempt::{AttemptId, End, Outcome, RevokeOutcome};
pub use clock::{Clock, ManualClock, SystemClock};
pub use crash_cause::{CrashCause, CrashCauses};
pub use id::{Fence, Fingerprint, Incarnation, ParseIdError, RequestId, Revision};
pub use message::{EngineReport, Gate, LoadReport, Offer, PromptParts, Reason, Refusal, Repeat};
pub use name::Name;
pub use tier::{Class, Tier};
pub use tokens::Tokens;
