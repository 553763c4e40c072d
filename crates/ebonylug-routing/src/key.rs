use std::collections::HashMap;
use std::marker::PhantomData;

use ebonylug_core::Name;

slotmap::new_key_type! {
    /// Identifies a target of a router. The key of a removed target is never reused.
    pub struct TargetKey;

    /// Identifies a request from its acceptance by the router until it ends.
    pub struct RequestKey;
}

/// An index that identifies an interned name.
pub(crate) trait Interned: Copy {
    fn from_index(index: u32) -> Self;
    fn index(self) -> usize;
}

macro_rules! interned {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub struct $name(u32);

        impl Interned for $name {
            fn from_index(index: u32) -> Self {
                $name(index)
            }

            fn index(self) -> usize {
                self.0 as usize
            }
        }
    };
}

interned!(
    /// The interned name of a route.
    RouteKey
);
interned!(
    /// The interned name of a version.
    VersionKey
);
interned!(
    /// The interned name of an availability zone.
    ZoneKey
);
interned!(
    /// The interned name of an organisation.
    OrganisationKey
);

/// Maps names to index keys.
///
/// Names are never removed: they come from the configuration, which changes so rarely that the
/// table stays small over the lifetime of a process.
#[derive(Debug)]
pub(crate) struct Interner<K> {
    names: Vec<Name>,
    keys: HashMap<Name, u32>,
    marker: PhantomData<K>,
}

impl<K: Interned> Interner<K> {
    pub(crate) fn new() -> Self {
        Interner {
            names: Vec::new(),
            keys: HashMap::new(),
            marker: PhantomData,
        }
    }

    pub(crate) fn key(&mut self, name: &Name) -> K {
        if let Some(&index) = self.keys.get(name) {
            return K::from_index(index);
        }
        let index = u32::try_from(self.names.len()).expect("fewer than 2^32 names");
        self.names.push(name.clone());
        self.keys.insert(name.clone(), index);
        K::from_index(index)
    }

    pub(crate) fn name(&self, key: K) -> &Name {
        &self.names[key.index()]
    }
}
