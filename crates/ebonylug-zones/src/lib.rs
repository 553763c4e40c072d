//! Load shares for drained, unreachable and recovering availability zones.
//!
//! A zone gets no new work while it is drained by operators, and while most of its targets have
//! stopped reporting at the same time. Each process detects the second case by itself, from the
//! reports that it receives, because a zone that loses power cannot announce its outage and the
//! store may be located in it. The other zones take over the work of the lost zone: their batch
//! work is reduced for a while, and interactive work is not. The share of a recovering zone rises
//! gradually, since its targets are cold.
//!
//! * A single stale target does not make its zone unreachable: most targets must be stale.
//! * If every zone is unreachable, this process is isolated, and the zone states are left as they
//!   are.
//! * Zones may share a power feed that is not documented. Two zones that repeatedly became
//!   unreachable together are treated as correlated: when one becomes unreachable, batch work in
//!   the other is throttled for a short time.
//!
//! # Example
//!
//! ```
//! use std::time::{Duration, Instant};
//! use ebonylug_core::{Class, Name, Revision};
//! use ebonylug_zones::{Settings, ZoneMap, ZoneShare};
//!
//! let start = Instant::now();
//! let mut zones = ZoneMap::new(Settings::default());
//! let (a, b): (Name, Name) = ("liberia-a".into(), "canas-b".into());
//! zones.record_report(start, &"engine-1".into(), &a);
//! zones.record_report(start, &"engine-2".into(), &b);
//!
//! zones.drain(start, &a, Revision(4));
//! assert_eq!(zones.share(&a, Class::Interactive, start), ZoneShare::NONE);
//! assert_eq!(zones.share(&b, Class::Interactive, start), ZoneShare::FULL);
//!
//! // A configuration with an older revision is not applied.
//! assert!(!zones.restore(start, &a, Revision(3)));
//! assert_eq!(zones.share(&a, Class::Interactive, start), ZoneShare::NONE);
//! ```

mod correlation;
mod map;
mod settings;
mod share;
mod zone;

pub use map::{Changes, ZoneChange, ZoneMap};
pub use settings::{MAX_TARGETS, MAX_ZONES, Settings};
pub use share::ZoneShare;
pub use zone::ZoneState;
