use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use ebonylug_core::{Incarnation, Revision};
use ebonylug_platform::{Error as StoreError, Expect, ObjectStore, Row, Table, Transaction};
use ebonylug_resource::{Change, Document, Problem, Result};

use crate::head::{HEAD_KEY, Head, expired_revision, history_key};
use crate::source::load;
use crate::{Error, Snapshot, StoreSource};

/// Maximum number of conflicts with changes of other resources before a change is refused. At 250
/// changes per day, more than one conflict is rare.
const MAX_CONFLICTS: usize = 16;

/// Maximum number of calls to commit a head, including those that resolve a lost response.
const MAX_COMMIT_TRIES: usize = 4;

/// Publishes changes of the configuration.
///
/// Any number of publishers may run concurrently, since the store orders their commits.
#[derive(Debug)]
pub struct Publisher<S> {
    source: StoreSource<S>,
    incarnation: Incarnation,
    writes: AtomicU64,
    /// The newest accepted configuration that this process knows.
    latest: Mutex<Option<Arc<Snapshot>>>,
}

/// The accepted configuration that a change is applied to.
struct Base {
    expect: Expect,
    snapshot: Option<Arc<Snapshot>>,
    document: Arc<Document>,
    /// Whether the bodies of the snapshot are in the store.
    is_stored: bool,
}

enum Commit {
    Applied,
    Conflict,
}

impl<S: Table + ObjectStore> Publisher<S> {
    /// Creates a publisher. `incarnation` must be unique among all publishers, since it is a part of
    /// the tokens by which publishers recognise their own commits.
    pub fn new(store: S, incarnation: Incarnation) -> Self {
        Publisher {
            source: StoreSource(store),
            incarnation,
            writes: AtomicU64::new(0),
            latest: Mutex::new(None),
        }
    }

    /// Records an accepted configuration. While the store has only lower revisions, because it came
    /// back from an older copy, changes are applied to this one.
    pub fn record(&self, snapshot: Arc<Snapshot>) {
        let mut latest = self.lock_latest();
        let known = latest.as_ref().map(|known| known.revision());
        if known.is_none_or(|known| known < snapshot.revision()) {
            *latest = Some(snapshot);
        }
    }

    /// Applies a change to the accepted configuration and commits the result.
    ///
    /// After a conflict with a concurrent commit, the change is applied to the document of that
    /// commit, unless a resource of the change was changed in the meantime.
    ///
    /// # Errors
    ///
    /// The status of the [`Problem`] is 404, 409 or 422 as for [`Document::apply`], 409 if another
    /// change of the same resource was accepted first, 503 if nothing was applied because the store
    /// is unavailable or there were too many conflicts, and 504 if the response to the commit was
    /// lost and its outcome could not be read back.
    pub async fn publish(&self, change: &Change) -> Result<Snapshot> {
        let mut first: Option<Arc<Document>> = None;
        for _ in 0..MAX_CONFLICTS {
            let base = self.read_base().await?;
            if let Some(first) = &first {
                check_unchanged(change, first, &base.document)?;
            }
            let next = Snapshot::new(base.document.apply(change)?, &self.token());
            self.store_bodies(&base, &next).await?;
            match self.commit(base.expect, next.head()).await? {
                Commit::Applied => {
                    tracing::info!("config: published revision {}", next.revision());
                    return Ok(next);
                }
                Commit::Conflict => first = first.or(Some(base.document)),
            }
        }
        let detail = "too many concurrent changes; nothing was applied";
        Err(Problem::unavailable(detail))
    }

    /// Applies a change to the accepted configuration without committing the result.
    ///
    /// # Errors
    ///
    /// Same as for [`publish`](Self::publish).
    pub async fn dry_run(&self, change: &Change) -> Result<Document> {
        self.read_base().await?.document.apply(change)
    }

    /// Reads the accepted configuration; `None` if nothing has been published.
    ///
    /// # Errors
    ///
    /// Fails with status 503 if the store is unavailable.
    pub async fn read(&self) -> Result<Option<Arc<Snapshot>>> {
        Ok(self.read_base().await?.snapshot)
    }

    async fn read_base(&self) -> Result<Base> {
        let row = self.store().get(HEAD_KEY).await.map_err(not_applied)?;
        let head = row.as_ref().map(Head::parse).transpose();
        let head = head.map_err(not_applied)?;
        let expect = row.map_or(Expect::Absent, |row| Expect::Version(row.version));
        let known = self.lock_latest().clone();
        let stored_revision = head.as_ref().map_or(Revision(0), |head| head.revision);
        if let Some(known) = known.filter(|known| known.revision() > stored_revision) {
            return Ok(Base {
                expect,
                document: Arc::clone(known.document()),
                snapshot: Some(known),
                is_stored: false,
            });
        }
        let snapshot = match head {
            Some(head) => Some(self.load(head).await?),
            None => None,
        };
        let document = match &snapshot {
            Some(snapshot) => Arc::clone(snapshot.document()),
            None => Arc::new(Document::empty()),
        };
        Ok(Base {
            expect,
            document,
            snapshot,
            is_stored: true,
        })
    }

    async fn load(&self, head: Head) -> Result<Arc<Snapshot>> {
        let cached = self.lock_latest().clone();
        if let Some(cached) = cached.as_ref().filter(|cached| *cached.head() == head) {
            return Ok(Arc::clone(cached));
        }
        let loaded = load(&self.source, head, cached.as_ref()).await;
        let loaded = loaded.map_err(|error| match error {
            Error::Platform(error) => not_applied(error),
            Error::Corrupt(problem) => problem,
        })?;
        let loaded = Arc::new(loaded);
        self.record(Arc::clone(&loaded));
        Ok(loaded)
    }

    /// Stores the bodies that the base lacks. They have no effect before the commit, so an unknown
    /// outcome is handled as a failure.
    async fn store_bodies(&self, base: &Base, next: &Snapshot) -> Result<()> {
        for hash in next.hashes() {
            let stored = base.is_stored
                && base
                    .snapshot
                    .as_ref()
                    .is_some_and(|cached| cached.body(&hash).is_some());
            if let Some(body) = next.body(&hash).filter(|_| !stored) {
                self.store().put(body.clone()).await.map_err(not_applied)?;
            }
        }
        Ok(())
    }

    /// Commits a head. After a lost response, the same transaction is sent again. Its condition
    /// holds only once, so it takes effect at most once, and a delayed first copy cannot take
    /// effect after this function has returned a [`Commit`].
    async fn commit(&self, expect: Expect, head: &Head) -> Result<Commit> {
        let transaction = transaction(expect, head);
        let mut maybe_applied = false;
        for _ in 0..MAX_COMMIT_TRIES {
            match self.store().transact(transaction.clone()).await {
                Ok(_) => return Ok(Commit::Applied),
                Err(StoreError::Conflict { .. }) if !maybe_applied => {
                    return Ok(Commit::Conflict);
                }
                Err(StoreError::Conflict { .. }) => {
                    if let Some(commit) = self.resolve_commit(head).await {
                        return Ok(commit);
                    }
                }
                Err(error @ (StoreError::Unavailable | StoreError::Throttled)) => {
                    if !maybe_applied {
                        return Err(not_applied(error));
                    }
                }
                // Other errors do not prove that the transaction had no effect.
                Err(_) => maybe_applied = true,
            }
        }
        let detail = format!("the store did not confirm revision {}", head.revision);
        Err(Problem::unknown(&detail))
    }

    /// Reads back whose commit created the revision; `None` if the history row is not available.
    async fn resolve_commit(&self, head: &Head) -> Option<Commit> {
        let row: Row = self.store().get(&history_key(head.revision)).await.ok()??;
        let winner = Head::parse(&row).ok()?;
        Some(if winner.token == head.token {
            Commit::Applied
        } else {
            Commit::Conflict
        })
    }

    fn store(&self) -> &S {
        &self.source.0
    }

    fn token(&self) -> String {
        let number = self.writes.fetch_add(1, Ordering::Relaxed);
        format!("{}-{number}", self.incarnation)
    }

    fn lock_latest(&self) -> std::sync::MutexGuard<'_, Option<Arc<Snapshot>>> {
        self.latest.lock().expect("publisher lock poisoned")
    }
}

fn transaction(expect: Expect, head: &Head) -> Transaction {
    let text = head.to_json();
    let transaction = Transaction::new()
        .expect(HEAD_KEY, expect)
        .put(HEAD_KEY, &text)
        .put(&history_key(head.revision), &text);
    match expired_revision(head.revision) {
        Some(revision) => transaction.delete(&history_key(revision)),
        None => transaction,
    }
}

/// Returns a conflict if a resource of the change has different revisions in two documents.
fn check_unchanged(change: &Change, before: &Document, now: &Document) -> Result<()> {
    for edit in &change.edits {
        let (kind, name) = edit.resource_key();
        let revision = |document: &Document| -> Option<Revision> {
            let found = document.find(kind, name.as_str())?;
            Some(found.metadata().revision)
        };
        if revision(before) != revision(now) {
            let reason = "another change of the resource was accepted first";
            return Err(Problem::conflict(kind, name.as_str(), reason));
        }
    }
    Ok(())
}

/// Converts the error of a call that cannot have changed the accepted configuration.
fn not_applied(error: StoreError) -> Problem {
    match error {
        StoreError::Invalid(_) | StoreError::NotFound => Problem::corrupt(&error.to_string()),
        _ => Problem::unavailable("the store does not answer; nothing was applied"),
    }
}
