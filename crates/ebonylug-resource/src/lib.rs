//! Resource types, their validation, and the whole configuration as one document.
//!
//! Operators declare the desired state (tiers, versions, zones, routes, moves) and the processes
//! carry it out. The representation of the declarations gives two properties:
//!
//! * **A configuration is accepted only if all of it is valid.** A [`Document`] is immutable;
//!   [`Document::apply`] returns a new one in which every reference resolves, or a [`Problem`]
//!   that names the field and the reason. No process has to handle a route without a version.
//! * **A small change causes a small transfer.** With 6,400 organisations the document has about
//!   1.3 MB. It is stored as sections by kind and hash bucket, each addressed by its hash; a
//!   [`Manifest`] lists them. A process that has the previous document fetches the manifest and
//!   the sections that changed.
//!
//! The status of a resource is not part of the document: it changes without an operator's
//! decision and would otherwise create revisions. The resource API adds it to its responses.
//!
//! ```
//! use ebonylug_resource::{Change, Document, TierSpec, parse_resources};
//!
//! let resources = parse_resources(
//!     r#"[
//!         // A person waits for the response.
//!         { kind: "Tier", metadata: { name: "counter" }, spec: { class: "interactive", rank: 0 } },
//!     ]"#,
//! )?;
//! let document = Document::empty().apply(&Change::put_all(resources))?;
//! assert_eq!(document.revision().0, 1);
//! assert!(document.get::<TierSpec>("counter").is_some());
//! # Ok::<(), ebonylug_resource::Problem>(())
//! ```
//!
//! A rejected change names the invalid field:
//!
//! ```
//! use ebonylug_resource::{Change, Document, parse_resources};
//!
//! let resources = parse_resources(
//!     r#"{
//!         kind: "Target",
//!         metadata: { name: "engine-1" },
//!         spec: { zone: "liberia-a", version: "quote-v1", kind: "model", models: ["quote"] },
//!     }"#,
//! )?;
//! let problem = Document::empty().apply(&Change::put_all(resources)).unwrap_err();
//! assert_eq!(problem.status, 422);
//! assert_eq!(problem.field.as_deref(), Some("spec.zone"));
//! # Ok::<(), ebonylug_resource::Problem>(())
//! ```

mod any;
mod change;
mod difference;
mod document;
mod kind;
mod parse;
mod problem;
mod resource;
mod section;
mod share;
mod spec;
mod time;
mod token;
mod validate;

pub use any::AnyResource;
pub use change::{Change, Edit, Precondition};
pub use difference::Difference;
pub use document::{Collection, Document};
pub use kind::{Kind, Spec};
pub use parse::parse_resources;
pub use problem::{Problem, Result};
pub use resource::{Condition, Metadata, Resource, Status};
pub use section::{Manifest, Section, SectionRef};
pub use share::Share;
pub use spec::{
    AllowedCallers, AvailabilityZone, AvailabilityZoneSpec, CallPattern, ChatRoute, Fencing, Move,
    MoveSpec, MoveState, Organisation, OrganisationSpec, Route, RouteKind, RouteSpec, ServiceRoute,
    Target, TargetKind, TargetSpec, Tier, TierSpec, Version, VersionSpec, ZoneState,
};
pub use time::{Span, Timestamp};
pub use token::TokenHash;
