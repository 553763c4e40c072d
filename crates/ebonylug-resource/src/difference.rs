use std::collections::BTreeMap;
use std::sync::Arc;

use ebonylug_core::Name;
use serde::{Deserialize, Serialize};

use crate::document::with_kind;
use crate::{AnyResource, Document, Kind, Resource, Spec};

/// One resource that differs between two documents.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Difference {
    /// The kind of the resource.
    pub kind: Kind,
    /// The name of the resource.
    pub name: Name,
    /// The resource in the newer document; `None` if it was removed.
    pub resource: Option<AnyResource>,
}

impl Document {
    /// Lists the resources that were added, changed or removed since an older document, sorted by
    /// kind and name.
    #[must_use]
    pub fn differences(&self, older: &Document) -> Vec<Difference> {
        let of_kind = |kind| with_kind!(kind, S => compare::<S>(self.all::<S>(), older.all::<S>()));
        Kind::ALL.into_iter().flat_map(of_kind).collect()
    }
}

type Resources<S> = BTreeMap<Name, Arc<Resource<S>>>;

fn compare<S: Spec>(newer: &Resources<S>, older: &Resources<S>) -> Vec<Difference> {
    let mut changed = BTreeMap::new();
    for (name, resource) in newer {
        if older.get(name) != Some(resource) {
            changed.insert(name, Some(S::wrap((**resource).clone())));
        }
    }
    for name in older.keys().filter(|name| !newer.contains_key(*name)) {
        changed.insert(name, None);
    }
    let difference = |(name, resource): (&Name, _)| Difference {
        kind: S::KIND,
        name: name.clone(),
        resource,
    };
    changed.into_iter().map(difference).collect()
}
