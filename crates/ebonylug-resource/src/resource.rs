use std::collections::BTreeMap;
use std::fmt;
use std::marker::PhantomData;

use ebonylug_core::{Name, Revision};
use serde::de::{DeserializeSeed, Error as _, MapAccess, Visitor};
use serde::ser::SerializeMap;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::{Kind, Spec, Timestamp};

/// The metadata of a resource of any kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Metadata {
    /// The name, unique within the kind.
    pub name: Name,
    /// The revision of the document that last changed the resource. Set by the resource API.
    #[serde(default)]
    pub revision: Revision,
    /// Arbitrary key-value pairs for operators. No process interprets them.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub labels: BTreeMap<Box<str>, Box<str>>,
}

/// One observed condition of a resource.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Condition {
    /// The type of condition, such as `Ready`.
    #[serde(rename = "type")]
    pub kind: Box<str>,
    /// The machine-readable reason, in one word.
    pub reason: Box<str>,
    /// The human-readable reason, as a sentence.
    pub message: Box<str>,
    /// When the condition began.
    pub time: Timestamp,
}

/// The actual state of a resource, as processes observe it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Status {
    /// The observed conditions.
    #[serde(default)]
    pub conditions: Vec<Condition>,
}

/// One declared resource: metadata, desired state and actual state.
///
/// The JSON form has the fields `kind`, `metadata`, `spec` and, unless empty, `status`.
#[derive(Clone, Debug, PartialEq)]
pub struct Resource<S> {
    /// The name, revision and labels.
    pub metadata: Metadata,
    /// The desired state.
    pub spec: S,
    /// The actual state. Not part of a document.
    pub status: Status,
}

impl<S: Spec> Resource<S> {
    /// Creates a resource without labels, at revision 0 until it is stored.
    #[must_use]
    pub fn new(name: &str, spec: S) -> Self {
        Resource {
            metadata: Metadata {
                name: Name::new(name),
                revision: Revision::default(),
                labels: BTreeMap::new(),
            },
            spec,
            status: Status::default(),
        }
    }

    /// Returns the kind of the spec.
    #[must_use]
    pub fn kind(&self) -> Kind {
        S::KIND
    }

    /// Returns the name, unique within the kind.
    #[must_use]
    pub fn name(&self) -> &Name {
        &self.metadata.name
    }
}

impl<S: Spec> Serialize for Resource<S> {
    fn serialize<T: Serializer>(&self, serializer: T) -> Result<T::Ok, T::Error> {
        let has_status = !self.status.conditions.is_empty();
        let mut map = serializer.serialize_map(Some(3 + usize::from(has_status)))?;
        map.serialize_entry("kind", &S::KIND)?;
        map.serialize_entry("metadata", &self.metadata)?;
        map.serialize_entry("spec", &self.spec)?;
        if has_status {
            map.serialize_entry("status", &self.status)?;
        }
        map.end()
    }
}

impl<'de, S: Spec> Deserialize<'de> for Resource<S> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct ResourceVisitor<S>(PhantomData<S>);

        impl<'de, S: Spec> Visitor<'de> for ResourceVisitor<S> {
            type Value = Resource<S>;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "a resource of kind {}", S::KIND)
            }

            fn visit_map<A: MapAccess<'de>>(self, map: A) -> Result<Resource<S>, A::Error> {
                PartialResource::default().read(map)
            }
        }

        deserializer.deserialize_map(ResourceVisitor(PhantomData))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(field_identifier, rename_all = "camelCase")]
pub(crate) enum Field {
    Kind,
    Metadata,
    Spec,
    Status,
}

/// The fields of a resource whose kind has not been read yet.
#[derive(Default)]
pub(crate) struct PartialResource {
    pub(crate) kind: Option<Kind>,
    metadata: Option<Metadata>,
    spec: Option<serde_json::Value>,
    status: Option<Status>,
}

impl PartialResource {
    /// Reads fields up to and including `kind`. A spec that precedes it is buffered, which loses
    /// the position of errors within it.
    pub(crate) fn read_kind<'de, A: MapAccess<'de>>(
        &mut self,
        map: &mut A,
    ) -> Result<Kind, A::Error> {
        while let Some(field) = map.next_key::<Field>()? {
            match field {
                Field::Kind => {
                    let kind = map.next_value()?;
                    self.kind = Some(kind);
                    return Ok(kind);
                }
                Field::Spec => set_once(&mut self.spec, "spec", map.next_value()?)?,
                Field::Metadata => set_once(&mut self.metadata, "metadata", map.next_value()?)?,
                Field::Status => set_once(&mut self.status, "status", map.next_value()?)?,
            }
        }
        Err(A::Error::missing_field("kind"))
    }

    /// Reads the remaining fields. Rejects duplicate and missing ones, and a `kind` other than that of
    /// `S`.
    pub(crate) fn read<'de, S: Spec, A: MapAccess<'de>>(
        mut self,
        mut map: A,
    ) -> Result<Resource<S>, A::Error> {
        let mut spec = None;
        while let Some(field) = map.next_key::<Field>()? {
            match field {
                Field::Kind => {
                    let kind = map.next_value_seed(ExactKind(S::KIND))?;
                    set_once(&mut self.kind, "kind", kind)?;
                }
                Field::Spec => set_once(&mut spec, "spec", map.next_value::<S>()?)?,
                Field::Metadata => set_once(&mut self.metadata, "metadata", map.next_value()?)?,
                Field::Status => set_once(&mut self.status, "status", map.next_value()?)?,
            }
        }
        match (self.spec, &spec) {
            (Some(_), Some(_)) => return Err(A::Error::duplicate_field("spec")),
            (Some(value), None) => {
                let buffered = serde_json::from_value(value);
                spec = Some(buffered.map_err(|error| A::Error::custom(format!("spec: {error}")))?);
            }
            (None, _) => {}
        }
        self.kind.ok_or_else(|| A::Error::missing_field("kind"))?;
        Ok(Resource {
            metadata: self
                .metadata
                .ok_or_else(|| A::Error::missing_field("metadata"))?,
            spec: spec.ok_or_else(|| A::Error::missing_field("spec"))?,
            status: self.status.unwrap_or_default(),
        })
    }
}

/// Sets a field, or rejects it as a duplicate.
fn set_once<T, E: serde::de::Error>(
    slot: &mut Option<T>,
    name: &'static str,
    value: T,
) -> Result<(), E> {
    if slot.is_some() {
        return Err(E::duplicate_field(name));
    }
    *slot = Some(value);
    Ok(())
}

/// Deserializes a kind and rejects all but the expected one.
struct ExactKind(Kind);

impl<'de> DeserializeSeed<'de> for ExactKind {
    type Value = Kind;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Kind, D::Error> {
        let kind = Kind::deserialize(deserializer)?;
        if kind != self.0 {
            let message = format!("kind {kind} where {} is expected", self.0);
            return Err(D::Error::custom(message));
        }
        Ok(kind)
    }
}
