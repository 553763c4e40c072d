use std::collections::BTreeMap;
use std::future::Future;
use std::sync::Arc;

use bytes::Bytes;
use ebonylug_platform::{ObjectHash, ObjectStore, Table};
use ebonylug_resource::{Manifest, Problem};

use crate::{HEAD_KEY, Head, Snapshot};

/// An error of fetching a configuration.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// A call to the source failed.
    #[error(transparent)]
    Platform(#[from] ebonylug_platform::Error),
    /// The source sent a body that is invalid or does not match its hash or revision.
    #[error(transparent)]
    Corrupt(#[from] Problem),
}

/// The result of fetching a configuration.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A source of the configuration: the store or a peer.
pub trait Source: Send + Sync {
    /// Reads the head; `None` if nothing has been published, or the peer has no configuration.
    ///
    /// # Errors
    ///
    /// Fails if the source does not respond.
    fn head(&self) -> impl Future<Output = ebonylug_platform::Result<Option<Head>>> + Send;

    /// Reads the manifest or a section.
    ///
    /// # Errors
    ///
    /// Fails with [`NotFound`](ebonylug_platform::Error::NotFound) if a peer has activated another
    /// revision in the meantime.
    fn body(
        &self,
        hash: ObjectHash,
    ) -> impl Future<Output = ebonylug_platform::Result<Bytes>> + Send;
}

/// The platform's table and object store as a source.
#[derive(Clone, Debug)]
pub struct StoreSource<S>(pub S);

impl<S: Table + ObjectStore> Source for StoreSource<S> {
    async fn head(&self) -> ebonylug_platform::Result<Option<Head>> {
        let row = self.0.get(HEAD_KEY).await?;
        row.as_ref().map(Head::parse).transpose()
    }

    async fn body(&self, hash: ObjectHash) -> ebonylug_platform::Result<Bytes> {
        self.0.fetch(hash).await
    }
}

/// Fetches the configuration of a source if its revision is higher than the known one. Only the
/// manifest and the sections that the known one lacks are transferred, and every hash is checked.
///
/// # Errors
///
/// Fails if the source does not respond, or sends a body that is invalid or does not match its
/// hash.
pub async fn fetch(
    source: &impl Source,
    known: Option<&Arc<Snapshot>>,
) -> Result<Option<Snapshot>> {
    let Some(head) = source.head().await? else {
        return Ok(None);
    };
    if known.is_some_and(|known| known.revision() >= head.revision) {
        return Ok(None);
    }
    load(source, head, known).await.map(Some)
}

/// Fetches the configuration of a head.
pub(crate) async fn load(
    source: &impl Source,
    head: Head,
    known: Option<&Arc<Snapshot>>,
) -> Result<Snapshot> {
    let bytes = body(source, head.hash).await?;
    let manifest = Manifest::from_bytes(&bytes)?;
    if manifest.revision != head.revision {
        let detail = format!("the manifest of revision {} names another", head.revision);
        return Err(Problem::corrupt(&detail).into());
    }
    let mut bodies = BTreeMap::from([(head.hash, bytes)]);
    for section in &manifest.sections {
        let hash = section.hash;
        let bytes = match known.and_then(|known| known.body(&hash)) {
            Some(bytes) => bytes.clone(),
            None => body(source, hash).await?,
        };
        bodies.insert(hash, bytes);
    }
    Ok(Snapshot::assemble(head, &manifest, bodies)?)
}

async fn body(source: &impl Source, hash: ObjectHash) -> Result<Bytes> {
    let bytes = source.body(hash).await?;
    if ObjectHash::of(&bytes) != hash {
        let detail = format!("body {hash} does not match its hash");
        return Err(Problem::corrupt(&detail).into());
    }
    Ok(bytes)
}
