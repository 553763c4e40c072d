use std::fmt;
use std::str::FromStr;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::{AnyResource, Collection, Document, Problem, Resource};

/// The kinds of resources, in the order of listings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Kind {
    /// A customer organisation that sends requests.
    Organisation,
    /// A scheduling tier.
    Tier,
    /// An availability zone of the platform.
    AvailabilityZone,
    /// A version of a model or service.
    Version,
    /// A rule that maps requests to versions.
    Route,
    /// An engine or service instance.
    Target,
    /// A planned change of a route's version.
    Move,
}

impl Kind {
    /// All kinds, in order.
    pub const ALL: [Kind; 7] = [
        Kind::Organisation,
        Kind::Tier,
        Kind::AvailabilityZone,
        Kind::Version,
        Kind::Route,
        Kind::Target,
        Kind::Move,
    ];

    /// Returns the name, as in the `kind` field.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Kind::Organisation => "Organisation",
            Kind::Tier => "Tier",
            Kind::AvailabilityZone => "AvailabilityZone",
            Kind::Version => "Version",
            Kind::Route => "Route",
            Kind::Target => "Target",
            Kind::Move => "Move",
        }
    }

    /// Returns the plural in lower case, as in the paths of the resource API.
    #[must_use]
    pub const fn plural(self) -> &'static str {
        match self {
            Kind::Organisation => "organisations",
            Kind::Tier => "tiers",
            Kind::AvailabilityZone => "availabilityzones",
            Kind::Version => "versions",
            Kind::Route => "routes",
            Kind::Target => "targets",
            Kind::Move => "moves",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

impl FromStr for Kind {
    type Err = Problem;

    /// Accepts the name and the plural, ignoring ASCII case.
    fn from_str(text: &str) -> Result<Self, Problem> {
        let matches = |kind: &Kind| {
            text.eq_ignore_ascii_case(kind.as_str()) || text.eq_ignore_ascii_case(kind.plural())
        };
        Kind::ALL
            .into_iter()
            .find(matches)
            .ok_or_else(|| Problem::not_found(&format!("there is no resource kind {text:?}")))
    }
}

/// The desired state of one kind of resource.
///
/// Only the `…Spec` types of this crate are meant to implement this trait.
pub trait Spec: Clone + PartialEq + fmt::Debug + Serialize + DeserializeOwned + 'static {
    /// The kind of resource that this type specifies.
    const KIND: Kind;

    #[doc(hidden)]
    fn collection(document: &Document) -> &Collection<Self>;

    #[doc(hidden)]
    fn collection_mut(document: &mut Document) -> &mut Collection<Self>;

    #[doc(hidden)]
    fn wrap(resource: Resource<Self>) -> AnyResource;
}
