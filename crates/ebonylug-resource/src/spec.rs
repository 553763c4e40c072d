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
    Organisation, OrganisationSpec, organisations, "A customer organisation that sends requests.";
    Tier, TierSpec, tiers, "A scheduling tier: request class and rank.";
    AvailabilityZone, AvailabilityZoneSpec, zones, "An availability zone of the platform.";
    Version, VersionSpec, versions, "A version of a model or service.";
    Route, RouteSpec, routes, "A rule that maps requests to versions.";
    Target, TargetSpec, targets, "An engine or service instance behind a sidecar.";
    Move, MoveSpec, moves, "A planned change of the version that serves a route.";
}

/// Bearer tokens, batch weight and tiers of an organisation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct OrganisationSpec {
    /// Weight in the fair sharing of batch capacity among organisations.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Hashes of the bearer tokens that belong to the organisation.
    #[serde(default)]
    pub tokens: Vec<TokenHash>,
    /// Tiers by route that override the route's default tier.
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
    /// Default deadline, for requests without one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline: Option<Span>,
}

impl TierSpec {
    /// Returns class and rank, as attached to each request of the tier.
    #[must_use]
    pub const fn tier(&self) -> ebonylug_core::Tier {
        ebonylug_core::Tier {
            class: self.class,
            rank: self.rank,
        }
    }
}

/// The type of server behind a sidecar.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum TargetKind {
    /// A model server.
    Model,
    /// A plain HTTP service.
    Service,
}

/// Which process rejects orders with an outdated fencing token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum Fencing {
    /// The target checks the fencing token itself.
    Checked,
    /// The target ignores the fencing token; its sidecar checks it instead.
    #[default]
    Ignored,
}

/// The callers whose calls a target accepts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum AllowedCallers {
    /// Only its own sidecar.
    Sidecar,
    /// Any process with network access to the target.
    #[default]
    Any,
}

/// One engine or service instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct TargetSpec {
    /// The availability zone, by name.
    pub zone: Name,
    /// The version that the target runs unless a move loads another one.
    pub version: Name,
    /// Model server or plain service.
    pub kind: TargetKind,
    /// The models that a model server can serve, including the one of its version.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub models: Vec<Name>,
    /// Whether the target checks fencing tokens.
    #[serde(default)]
    pub fencing: Fencing,
    /// The callers whose calls the target accepts.
    #[serde(default)]
    pub calls: AllowedCallers,
}

/// A version of a model or service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct VersionSpec {
    /// Model or service.
    pub kind: TargetKind,
    /// The name of the served model or service.
    pub serves: Name,
    /// What a target loads for this version, such as a path in the weight store.
    pub artefact: Box<str>,
}

/// The requests of a route and the versions that serve them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct RouteSpec {
    /// Which requests the route matches.
    pub kind: RouteKind,
    /// The version that serves the route when no move is active.
    pub base: Name,
    /// All versions that may serve the route, including the base.
    pub versions: Vec<Name>,
    /// The default tier of requests.
    pub tier: Name,
    /// Default deadline that overrides the tier's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline: Option<Span>,
}

/// Which requests a route matches.
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
    /// The path prefix of all calls, such as `/orders`.
    pub prefix: Box<str>,
    /// Calls that must not be repeated and need an `Idempotency-Key`.
    ///
    /// If absent, these are all calls except `GET`, `HEAD`, `OPTIONS` and `TRACE`, so that a call
    /// with effects is not repeatable by default.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub once: Option<Vec<CallPattern>>,
}

impl ServiceRoute {
    /// Reports whether a call must not be repeated and needs an `Idempotency-Key`.
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

/// A set of service calls, by method and path.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct CallPattern {
    /// The methods, in upper case.
    pub methods: Vec<Box<str>>,
    /// The path prefix; calls at or below it match.
    pub path: Box<str>,
}

impl CallPattern {
    /// Reports whether a call is in the set.
    #[must_use]
    pub fn matches(&self, method: &str, path: &str) -> bool {
        self.methods.iter().any(|m| &**m == method) && is_below(path, &self.path)
    }
}

/// Compares whole path segments, so that `/orders` does not match `/orders-archive`.
fn is_below(path: &str, prefix: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    match path.strip_prefix(prefix) {
        Some(rest) => rest.is_empty() || rest.starts_with('/'),
        None => false,
    }
}

/// Whether a zone is open or drained by an operator.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum ZoneState {
    /// In service.
    #[default]
    Open,
    /// Gets no new requests.
    Drained,
}

/// The desired state of an availability zone.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct AvailabilityZoneSpec {
    /// Whether the zone is in service.
    #[serde(default)]
    pub state: ZoneState,
}

/// Whether a move is in progress or has ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum MoveState {
    /// Scheduled or in progress. A route has at most one active move.
    #[default]
    Active,
    /// Complete: the route's base is the new version. Set in the same change as the base.
    Finished,
    /// Cancelled: the old version keeps the traffic.
    Cancelled,
}

/// A planned change of the version that serves a route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct MoveSpec {
    /// The route whose version changes.
    pub route: Name,
    /// The old version, which is the route's base while the move is active.
    pub from: Name,
    /// The new version.
    pub to: Name,
    /// When the new version gets its first traffic.
    pub start: Timestamp,
    /// When the new version must have all the traffic.
    pub deadline: Timestamp,
    /// The traffic share of the new version at the start, until enough of its responses have been
    /// compared.
    pub canary: Share,
    /// The targets that load the new version, in this order.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub loads: Vec<Name>,
    /// Whether the move is in progress or has ended.
    #[serde(default)]
    pub state: MoveState,
}
