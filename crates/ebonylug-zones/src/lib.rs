//! Drained and dark availability zones and their slow return.
//!
//! A zone gets no new work when operators have drained it, and when most of its targets have
//! fallen silent at once. The second is found by each process itself, from the reports that it
//! receives anyway, because a zone that loses power announces nothing and the store may be in
//! it. The work of the lost zone falls on the others, so their batch work is slowed for a while
//! and interactive work is kept. A zone that returns is given work slowly, since its targets are
//! cold.
//!
//! * A silent target is no silent zone: most targets of the zone must be silent.
//! * If every zone is silent, this process is cut off, and the zones are left as they were.
//! * Zones may share a power feed that nobody documented. Two zones that went dark together
//!   repeatedly are treated as related: when one goes dark, the other gets little batch work for
//!   a short time.
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
//! // An older configuration arrives late and is not applied.
//! assert!(!zones.restore(start, &a, Revision(3)));
//! assert_eq!(zones.share(&a, Class::Interactive, start), ZoneShare::NONE);
//! ```

mod map;
mod related;
mod settings;
mod share;
mod zone;

pub use map::{Changes, ZoneChange, ZoneMap};
pub use settings::{MAX_TARGETS, MAX_ZONES, Settings};
pub use share::ZoneShare;
pub use zone::ZoneState;
