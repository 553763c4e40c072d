use std::collections::BTreeMap;

use ebonylug_core::{Class, Name};
use serde::{Deserialize, Serialize};

use crate::{
    AnyResource, Collection, Document, Kind, Resource, Share, Span, Spec, Timestamp, TokenHash,
};

macro_rules! kinds {
    ($($name:ident, $spec:ident, $field:ident, $doc:literal;)*) => {$(
        #[doc = $doc]
        pub type $name = Resource<$spec>;

        impl Spec for $spec {
            const KIND: Kind = Kind::$name;

            fn collection(document: &Document) -> &Collection<Self> {
                &document.$field
            }

            fn collection_mut(document: &mut Document) -> &mut Collection<Self> {
                &mut document.$field
            }

            fn wrap(resource: Resource<Self>) -> AnyResource {
                AnyResource::$name(resource)
            }
        }
    )*};
}

kinds! {
    Organisation, OrganisationSpec, organisations, "A customer of the system.";
    Tier, TierSpec, tiers, "A class of urgency.";
    AvailabilityZone, AvailabilityZoneSpec, zones, "A zone of the platform.";
    Version, VersionSpec, versions, "A version of a model or service.";
    Route, RouteSpec, routes, "A path for requests of one kind.";
    Target, TargetSpec, targets, "An engine or service instance beside a sidecar.";
    Move, MoveSpec, moves, "A planned change of the version that serves a route.";
}

/// Who may send requests, and how much they count.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct OrganisationSpec {
    /// Share of batch capacity relative to other organisations.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Hashes of the bearer tokens that belong to the organisation.
    #[serde(default)]
    pub tokens: Vec<TokenHash>,
    /// Tiers by route, where they differ from the route's own default.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub tiers: BTreeMap<Name, Name>,
}

fn default_weight() -> u32 {
    1
}

/// How requests of a tier are scheduled.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct TierSpec {
    /// Interactive or batch.
    pub class: Class,
    /// Rank within the class; 0 is the most urgent.
    pub rank: u8,
    /// Time until an answer is of no use, for requests that state none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline: Option<Span>,
}

impl TierSpec {
    /// Returns the tier as it travels with a request.
    #[must_use]
    pub const fn tier(&self) -> ebonylug_core::Tier {
        ebonylug_core::Tier {
            class: self.class,
            rank: self.rank,
        }
    }
}

/// What runs behind a sidecar.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum TargetKind {
    /// A language model server.
    Model,
    /// A plain HTTP service.
    Service,
}

/// Whether a target refuses orders with an old fencing number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum Fencing {
    /// The target checks the fencing number itself.
    Checked,
    /// The target ignores the fencing number; its sidecar checks instead.
    #[default]
    Ignored,
}

/// Whose calls a target accepts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum AllowedCallers {
    /// Only those of its sidecar.
    Sidecar,
    /// Those of anybody who can reach it.
    #[default]
    Any,
}

/// One engine or service instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct TargetSpec {
    /// The availability zone.
    pub zone: Name,
    /// The version that the target runs when no move says otherwise.
    pub version: Name,
    /// Model server or plain service.
    pub kind: TargetKind,
    /// The models that a model server can serve, among them its version's.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub models: Vec<Name>,
    /// Whether the target checks fencing numbers.
    #[serde(default)]
    pub fencing: Fencing,
    /// Whose calls the target accepts.
    #[serde(default)]
    pub calls: AllowedCallers,
}

/// A version of a model or service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct VersionSpec {
    /// Model or service.
    pub kind: TargetKind,
    /// The name of the model or service.
    pub serves: Name,
    /// What a target is ordered to load, such as a path in the weight store.
    pub artefact: Box<str>,
}

/// How requests find a version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct RouteSpec {
    /// Which requests the route takes.
    pub kind: RouteKind,
    /// The version that serves the route when no move is active.
    pub base: Name,
    /// All versions that may serve the route, among them the base.
    pub versions: Vec<Name>,
    /// The default tier.
    pub tier: Name,
    /// Default deadline, if it differs from the tier's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline: Option<Span>,
}

/// Which requests a route takes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum RouteKind {
    /// Chat completions that name a model.
    Chat(ChatRoute),
    /// Calls of a service below a path.
    Service(ServiceRoute),
}

impl RouteKind {
    /// Returns the kind of targets that serve the route.
    #[must_use]
    pub const fn target_kind(&self) -> TargetKind {
        match self {
            RouteKind::Chat(_) => TargetKind::Model,
            RouteKind::Service(_) => TargetKind::Service,
        }
    }
}

/// Chat completions that name a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct ChatRoute {
    /// The model name in the request's body.
    pub model: Name,
}

/// Calls of a service below a path.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct ServiceRoute {
    /// The path that all calls share, such as `/orders`.
    pub prefix: Box<str>,
    /// Calls that must not be repeated and need an `Idempotency-Key`.
    ///
    /// If absent, these are all calls except `GET`, `HEAD`, `OPTIONS` and `TRACE`: forgetting to
    /// list a call must not make it repeatable.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub once: Option<Vec<CallPattern>>,
}

impl ServiceRoute {
    /// Reports whether a call must not be repeated.
    #[must_use]
    pub fn requires_idempotency_key(&self, method: &str, path: &str) -> bool {
        match &self.once {
            Some(patterns) => patterns.iter().any(|pattern| pattern.matches(method, path)),
            None => !matches!(method, "GET" | "HEAD" | "OPTIONS" | "TRACE"),
        }
    }

    /// Reports whether the path lies at or below the prefix.
    #[must_use]
    pub fn covers(&self, path: &str) -> bool {
        is_below(path, &self.prefix)
    }
}

/// A set of calls of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct CallPattern {
    /// The methods, in upper case.
    pub methods: Vec<Box<str>>,
    /// The path; calls at or below it match.
    pub path: Box<str>,
}

impl CallPattern {
    /// Reports whether a call is in the set.
    #[must_use]
    pub fn matches(&self, method: &str, path: &str) -> bool {
        self.methods.iter().any(|m| &**m == method) && is_below(path, &self.path)
    }
}

/// Compares whole segments, so that `/orders` does not cover `/orders-archive`.
fn is_below(path: &str, prefix: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    match path.strip_prefix(prefix) {
        Some(rest) => rest.is_empty() || rest.starts_with('/'),
        None => false,
    }
}

/// Whether operators have taken a zone out of service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum ZoneState {
    /// In service.
    #[default]
    Open,
    /// Gets no new work.
    Drained,
}

/// A zone of the platform.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct AvailabilityZoneSpec {
    /// Whether the zone is in service.
    #[serde(default)]
    pub state: ZoneState,
}

/// Whether a move is still to be carried out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum MoveState {
    /// To be carried out. A route has at most one active move.
    #[default]
    Active,
    /// Done: the route's base is the new version. Set in the same change as the base.
    Finished,
    /// Given up: the old version keeps the traffic.
    Cancelled,
}

/// A planned change of the version that serves a route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct MoveSpec {
    /// The route.
    pub route: Name,
    /// The version that serves the route before; the route's base.
    pub from: Name,
    /// The version that is to serve the route afterwards.
    pub to: Name,
    /// When the new version gets its first traffic.
    pub start: Timestamp,
    /// When the new version must have all the traffic.
    pub deadline: Timestamp,
    /// The share at the start, until there is evidence about the new version.
    pub canary: Share,
    /// The targets that are to load the new version, in order.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub loads: Vec<Name>,
    /// Whether the move is still to be carried out.
    #[serde(default)]
    pub state: MoveState,
}
