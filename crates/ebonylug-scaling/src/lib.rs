//! Decides how many targets each service needs in each availability zone.
//!
//! The load conditions are demand that changes over minutes, such as the wave of a day, and zones that are
//! drained or dark, whose load goes to the others. Bursts of seconds end before a new target serves, so
//! they change nothing.
//!
//! One process at a time decides. It calls [`Scaler::observe`] about once a second for each service and zone,
//! and [`Scaler::decide`] after that. The crate has no I/O and no clock. Orders are absolute numbers, so that
//! an order may be sent again when its answer was lost. `docs/design/scaling.md` gives the reasons.
//!
//! ```
//! use std::time::{Duration, Instant};
//! use ebonylug_core::Name;
//! use ebonylug_scaling::{Load, Scaler, ServiceSpec, ZoneState};
//!
//! let (service, zone) = (Name::new("pool"), Name::new("liberia-a"));
//! let mut scaler = Scaler::default();
//! scaler.set_service(service.clone(), ServiceSpec {
//!     zones: vec![zone.clone()],
//!     min_replicas: 1,
//!     max_replicas: 8,
//!     slots: 6,
//!     boot: Duration::from_secs(20),
//!     warm: Duration::from_secs(10),
//! })?;
//! let start = Instant::now();
//! let mut orders = Vec::new();
//! for second in 0..30 {
//!     let now = start + Duration::from_secs(second);
//!     let load = Load { engines: 2, occupied: 11.0, heard: 4, known: 4, ..Load::default() };
//!     scaler.observe(now, &service, &zone, ZoneState::Serving, load);
//!     orders.extend(scaler.decide(now));
//! }
//! assert_eq!(orders[0].desired, 3);
//! # Ok::<(), ebonylug_scaling::InvalidSpec>(())
//! ```

mod history;
mod load;
mod order;
mod scaler;
mod spec;
mod zone;

pub use load::{Load, ZoneState};
pub use order::{Answer, Order, Orders};
pub use scaler::Scaler;
pub use spec::{InvalidSpec, Result, ServiceSpec};
