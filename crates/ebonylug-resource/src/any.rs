use std::fmt;

use ebonylug_core::Name;
use serde::de::{MapAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize};

use crate::resource::Parts;
use crate::{
    AvailabilityZone, Kind, Metadata, Move, Organisation, Route, Status, Target, Tier, Version,
};

/// A resource of any kind.
///
/// In JSON, `kind` should stand first: errors in the spec then have their exact position.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(untagged)]
#[allow(
    missing_docs,
    reason = "each variant is the resource type of the same name"
)]
pub enum AnyResource {
    Organisation(Organisation),
    Tier(Tier),
    AvailabilityZone(AvailabilityZone),
    Version(Version),
    Route(Route),
    Target(Target),
    Move(Move),
}

/// Evaluates an expression with the resource inside an [`AnyResource`], whatever its kind.
macro_rules! with_any {
    ($any:expr, $resource:ident => $body:expr) => {
        match $any {
            $crate::AnyResource::Organisation($resource) => $body,
            $crate::AnyResource::Tier($resource) => $body,
            $crate::AnyResource::AvailabilityZone($resource) => $body,
            $crate::AnyResource::Version($resource) => $body,
            $crate::AnyResource::Route($resource) => $body,
            $crate::AnyResource::Target($resource) => $body,
            $crate::AnyResource::Move($resource) => $body,
        }
    };
}

pub(crate) use with_any;

impl AnyResource {
    /// Returns the kind.
    #[must_use]
    pub fn kind(&self) -> Kind {
        with_any!(self, resource => resource.kind())
    }

    /// Returns name, revision and labels.
    #[must_use]
    pub fn metadata(&self) -> &Metadata {
        with_any!(self, resource => &resource.metadata)
    }

    /// Returns the name.
    #[must_use]
    pub fn name(&self) -> &Name {
        &self.metadata().name
    }

    /// Returns the same resource with another status.
    #[must_use]
    pub fn with_status(mut self, status: Status) -> Self {
        with_any!(&mut self, resource => resource.status = status);
        self
    }
}

impl<'de> Deserialize<'de> for AnyResource {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(AnyVisitor)
    }
}

pub(crate) struct AnyVisitor;

impl<'de> Visitor<'de> for AnyVisitor {
    type Value = AnyResource;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a resource")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<AnyResource, A::Error> {
        let mut parts = Parts::default();
        let kind = parts.read_kind(&mut map)?;
        Ok(match kind {
            Kind::Organisation => AnyResource::Organisation(parts.read(map)?),
            Kind::Tier => AnyResource::Tier(parts.read(map)?),
            Kind::AvailabilityZone => AnyResource::AvailabilityZone(parts.read(map)?),
            Kind::Version => AnyResource::Version(parts.read(map)?),
            Kind::Route => AnyResource::Route(parts.read(map)?),
            Kind::Target => AnyResource::Target(parts.read(map)?),
            Kind::Move => AnyResource::Move(parts.read(map)?),
        })
    }
}
