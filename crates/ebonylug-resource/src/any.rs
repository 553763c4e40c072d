use std::fmt;

use ebonylug_core::Name;
use serde::de::{MapAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize};

use crate::resource::PartialResource;
use crate::{
    AvailabilityZone, Kind, Metadata, Move, Organisation, Route, Status, Target, Tier, Version,
};

/// A resource of any kind.
///
/// In JSON, `kind` should come first. Only then do errors in the spec have their exact position.
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

/// Evaluates an expression with the resource inside an [`AnyResource`] of any kind.
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
    /// Returns the kind of the resource inside.
    #[must_use]
    pub fn kind(&self) -> Kind {
        with_any!(self, resource => resource.kind())
    }

    /// Returns name, revision and labels.
    #[must_use]
    pub fn metadata(&self) -> &Metadata {
        with_any!(self, resource => &resource.metadata)
    }

    /// Returns the name, unique within the kind.
    #[must_use]
    pub fn name(&self) -> &Name {
        &self.metadata().name
    }

    /// Replaces the status.
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
        let mut partial = PartialResource::default();
        let kind = partial.read_kind(&mut map)?;
        Ok(match kind {
            Kind::Organisation => AnyResource::Organisation(partial.read(map)?),
            Kind::Tier => AnyResource::Tier(partial.read(map)?),
            Kind::AvailabilityZone => AnyResource::AvailabilityZone(partial.read(map)?),
            Kind::Version => AnyResource::Version(partial.read(map)?),
            Kind::Route => AnyResource::Route(partial.read(map)?),
            Kind::Target => AnyResource::Target(partial.read(map)?),
            Kind::Move => AnyResource::Move(partial.read(map)?),
        })
    }
}
