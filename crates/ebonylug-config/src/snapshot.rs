use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use ebonylug_core::Revision;
use ebonylug_platform::ObjectHash;
use ebonylug_resource::{Document, Manifest};

use crate::Head;

/// A document with the manifest and sections that it was assembled from, to be served to peers.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot {
    head: Head,
    document: Arc<Document>,
    bodies: BTreeMap<ObjectHash, Bytes>,
}

impl Snapshot {
    /// Creates a snapshot of a document that was committed with a token.
    #[must_use]
    pub fn new(document: Document, token: &str) -> Self {
        let (manifest, sections) = document.split();
        let mut bodies: BTreeMap<_, _> = sections.into_iter().map(|s| (s.hash, s.body)).collect();
        let head = Head {
            revision: manifest.revision,
            hash: manifest.hash(),
            token: token.into(),
        };
        bodies.insert(head.hash, manifest.to_bytes());
        Snapshot {
            head,
            document: Arc::new(document),
            bodies,
        }
    }

    /// Assembles a snapshot from fetched bodies, which include the manifest.
    pub(crate) fn assemble(
        head: Head,
        manifest: &Manifest,
        bodies: BTreeMap<ObjectHash, Bytes>,
    ) -> ebonylug_resource::Result<Self> {
        let document = Document::assemble(manifest, |hash| bodies.get(hash).cloned())?;
        Ok(Snapshot {
            head,
            document: Arc::new(document),
            bodies,
        })
    }

    /// Returns the value of the head row as it was committed.
    #[must_use]
    pub fn head(&self) -> &Head {
        &self.head
    }

    /// Returns the revision of the document.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.head.revision
    }

    /// Returns the assembled document.
    #[must_use]
    pub fn document(&self) -> &Arc<Document> {
        &self.document
    }

    /// Returns the manifest or a section by its hash.
    #[must_use]
    pub fn body(&self, hash: &ObjectHash) -> Option<&Bytes> {
        self.bodies.get(hash)
    }

    /// Returns the hashes of the manifest and all sections.
    pub fn hashes(&self) -> impl Iterator<Item = ObjectHash> {
        self.bodies.keys().copied()
    }
}
