use std::collections::HashMap;
use std::marker::PhantomData;

use ebonylug_core::Name;

slotmap::new_key_type! {
    /// A target in the router's arena. A key of a removed target never names another one.
    pub struct TargetKey;

    /// A request that the router has accepted and that has not ended.
    pub struct RequestKey;
}

/// A small key that stands for an interned name.
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

/// Maps names to small keys.
///
/// Names are never dropped: they come from the configuration, whose changes are few enough
/// that the table stays small for the life of a process.
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
