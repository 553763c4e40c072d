use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use ebonylug_core::{Name, Revision};
use ebonylug_platform::ObjectHash;
use serde::{Deserialize, Serialize};

use crate::document::with_kind;
use crate::{Document, Kind, Problem, Resource, Result, Spec};

/// Returns the number of sections over which the resources of a kind are distributed.
///
/// A change of one resource transfers the manifest, which grows with the number of sections, and
/// one section, which shrinks with it. 64 sections keep both near 20 KB at 6,400 organisations.
const fn bucket_count(kind: Kind) -> u8 {
    match kind {
        Kind::Organisation => 64,
        Kind::Target => 16,
        _ => 1,
    }
}

/// A reference from a manifest to one section.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct SectionRef {
    /// The kind of the section's resources.
    pub kind: Kind,
    /// The hash bucket of their names.
    pub bucket: u8,
    /// The hash of the section's body.
    pub hash: ObjectHash,
}

/// A part of a document in its stored and transferred form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Section {
    /// The hash of the body.
    pub hash: ObjectHash,
    /// The resources as canonical JSON.
    pub body: Bytes,
}

/// The list of a document's sections. Its hash identifies the whole document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Manifest {
    /// The revision of the document.
    pub revision: Revision,
    /// The non-empty sections, by kind and bucket.
    pub sections: Vec<SectionRef>,
}

impl Manifest {
    /// Returns the canonical JSON form.
    #[must_use]
    pub fn to_bytes(&self) -> Bytes {
        canonical_json(self)
    }

    /// Returns the hash of the canonical form. The head row of the store refers to it.
    #[must_use]
    pub fn hash(&self) -> ObjectHash {
        ObjectHash::of(&self.to_bytes())
    }

    /// Parses the canonical form.
    ///
    /// # Errors
    ///
    /// A [`Problem`] with status 500 if the body is not a manifest.
    pub fn from_bytes(body: &[u8]) -> Result<Self> {
        serde_json::from_slice(body)
            .map_err(|error| Problem::corrupt(&format!("manifest: {error}")))
    }
}

impl Document {
    /// Splits the document into a manifest and the sections that it lists.
    ///
    /// Equal documents give equal bytes, since maps are ordered and numbers have one text form.
    #[must_use]
    pub fn split(&self) -> (Manifest, Vec<Section>) {
        let mut refs = Vec::new();
        let mut bodies = Vec::new();
        for kind in Kind::ALL {
            let sections = with_kind!(kind, S => self.sections::<S>());
            for (bucket, body) in sections {
                let hash = ObjectHash::of(&body);
                refs.push(SectionRef { kind, bucket, hash });
                bodies.push(Section { hash, body });
            }
        }
        let manifest = Manifest {
            revision: self.revision,
            sections: refs,
        };
        (manifest, bodies)
    }

    /// Assembles a document from its sections. `body` returns the body of a section by its hash.
    ///
    /// References are not validated again, since the document was valid when it was accepted.
    ///
    /// # Errors
    ///
    /// A [`Problem`] with status 500 if a body is missing, does not match its hash, or does not fit
    /// the kind or revision in the manifest.
    pub fn assemble(
        manifest: &Manifest,
        mut body: impl FnMut(&ObjectHash) -> Option<Bytes>,
    ) -> Result<Document> {
        let mut document = Document {
            revision: manifest.revision,
            ..Document::default()
        };
        for section in &manifest.sections {
            let hash = &section.hash;
            let bytes = body(hash)
                .ok_or_else(|| Problem::corrupt(&format!("section {hash} is missing")))?;
            if ObjectHash::of(&bytes) != *hash {
                let detail = format!("section {hash} does not match its hash");
                return Err(Problem::corrupt(&detail));
            }
            with_kind!(section.kind, S => document.add_section::<S>(&bytes))?;
        }
        Ok(document)
    }

    fn sections<S: Spec>(&self) -> BTreeMap<u8, Bytes> {
        let mut grouped: BTreeMap<u8, Vec<&Resource<S>>> = BTreeMap::new();
        for resource in self.all::<S>().values() {
            let bucket = bucket(S::KIND, resource.name());
            grouped.entry(bucket).or_default().push(resource);
        }
        let encode = |(bucket, resources)| (bucket, canonical_json(&resources));
        grouped.into_iter().map(encode).collect()
    }

    fn add_section<S: Spec>(&mut self, body: &[u8]) -> Result<()> {
        let resources: Vec<Resource<S>> = serde_json::from_slice(body)
            .map_err(|error| Problem::corrupt(&format!("section of {}: {error}", S::KIND)))?;
        let revision = self.revision;
        let collection = Arc::make_mut(S::collection_mut(self));
        for resource in resources {
            let name = resource.name().clone();
            if resource.metadata.revision > revision {
                let detail = format!("{}/{name} is newer than its document", S::KIND);
                return Err(Problem::corrupt(&detail));
            }
            if collection
                .insert(name.clone(), Arc::new(resource))
                .is_some()
            {
                let detail = format!("{}/{name} occurs twice", S::KIND);
                return Err(Problem::corrupt(&detail));
            }
        }
        Ok(())
    }
}

fn bucket(kind: Kind, name: &Name) -> u8 {
    blake3::hash(name.as_str().as_bytes()).as_bytes()[0] % bucket_count(kind)
}

fn canonical_json<T: Serialize>(value: &T) -> Bytes {
    let text = serde_json::to_vec(value);
    text.expect("resources have only string keys and finite numbers")
        .into()
}
