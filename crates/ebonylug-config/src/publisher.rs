use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use ebonylug_core::{Incarnation, Revision};
use ebonylug_platform::{Error as StoreError, Expect, ObjectStore, Row, Table, Transaction};
use ebonylug_resource::{Change, Document, Problem, Result};

use crate::head::{HEAD_KEY, Head, history_key, outdated};
use crate::source::load;
use crate::{Error, Snapshot, StoreSource};

/// Races that a change may lose to changes of other resources before it is refused. With 250
/// changes per day, losing more than one is already rare.
const MAX_RACES: usize = 16;

/// Tries to find out whether a commit took effect after its reply was lost.
const MAX_TRIES: usize = 4;

/// Publishes changes of the configuration.
///
/// Any number of publishers may run at the same time: the table orders their commits.
#[derive(Debug)]
pub struct Publisher<S> {
    source: StoreSource<S>,
    process: Incarnation,
    writes: AtomicU64,
    latest: Mutex<Option<Arc<Snapshot>>>,
}

/// The configuration that a change is based on.
struct Base {
    expect: Expect,
    snapshot: Option<Arc<Snapshot>>,
    document: Arc<Document>,
}

enum Commit {
    Won,
    Lost,
}

impl<S: Table + ObjectStore> Publisher<S> {
    /// Creates a publisher. `process` must differ from that of any other publisher, since it is
    /// part of the tokens by which publishers recognise their own commits.
    pub fn new(store: S, process: Incarnation) -> Self {
        Publisher {
            source: StoreSource(store),
            process,
            writes: AtomicU64::new(0),
            latest: Mutex::new(None),
        }
    }

    /// Applies a change to the accepted configuration and commits the result.
    ///
    /// A change that loses a race is applied again to the winner's document, unless the winner
    /// has changed one of the same resources.
    ///
    /// # Errors
    ///
    /// The status of the [`Problem`] tells what happened: 404, 409 and 422 as for
    /// [`Document::apply`], 503 if the store does not answer and nothing was applied, and 504 if
    /// the reply to the commit was lost and the store did not answer any more.
    pub async fn publish(&self, change: &Change) -> Result<Snapshot> {
        let mut first: Option<Arc<Document>> = None;
        for _ in 0..MAX_RACES {
            let base = self.base().await?;
            if let Some(first) = &first {
                check_untouched(change, first, &base.document)?;
            }
            let next = Snapshot::new(base.document.apply(change)?, &self.token());
            self.store_bodies(&base, &next).await?;
            match self.commit(base.expect, next.head()).await? {
                Commit::Won => {
                    tracing::info!("config: published revision {}", next.revision());
                    return Ok(next);
                }
                Commit::Lost => first = first.or(Some(base.document)),
            }
        }
        let detail = "too many concurrent changes; nothing was applied";
        Err(Problem::unavailable(detail))
    }

    /// Applies a change to the accepted configuration without committing the result.
    ///
    /// # Errors
    ///
    /// As for [`publish`](Self::publish).
    pub async fn dry_run(&self, change: &Change) -> Result<Document> {
        self.base().await?.document.apply(change)
    }

    /// Reads the accepted configuration; `None` if nothing has been published.
    ///
    /// # Errors
    ///
    /// Fails with status 503 if the store does not answer.
    pub async fn read(&self) -> Result<Option<Arc<Snapshot>>> {
        Ok(self.base().await?.snapshot)
    }

    async fn base(&self) -> Result<Base> {
        let row = self.store().get(HEAD_KEY).await.map_err(not_applied)?;
        let Some(row) = row else {
            return Ok(Base {
                expect: Expect::Absent,
                snapshot: None,
                document: Arc::new(Document::empty()),
            });
        };
        let head = Head::read(&row).map_err(not_applied)?;
        let snapshot = self.load(head).await?;
        Ok(Base {
            expect: Expect::Version(row.version),
            document: Arc::clone(snapshot.document()),
            snapshot: Some(snapshot),
        })
    }

    async fn load(&self, head: Head) -> Result<Arc<Snapshot>> {
        let known = self.lock_latest().clone();
        if let Some(known) = known.as_ref().filter(|known| *known.head() == head) {
            return Ok(Arc::clone(known));
        }
        let loaded = load(&self.source, head, known.as_ref()).await;
        let loaded = loaded.map_err(|error| match error {
            Error::Platform(error) => not_applied(error),
            Error::Corrupt(problem) => problem,
        })?;
        let loaded = Arc::new(loaded);
        *self.lock_latest() = Some(Arc::clone(&loaded));
        Ok(loaded)
    }

    /// Stores the bodies that the base lacks. They have no effect until the commit, so an unclear
    /// outcome is the same as a failure.
    async fn store_bodies(&self, base: &Base, next: &Snapshot) -> Result<()> {
        for hash in next.hashes() {
            let stored = base
                .snapshot
                .as_ref()
                .is_some_and(|known| known.body(&hash).is_some());
            if let Some(body) = next.body(&hash).filter(|_| !stored) {
                self.store().put(body.clone()).await.map_err(not_applied)?;
            }
        }
        Ok(())
    }

    /// Commits a head. After a lost reply the same transaction is sent again: its condition
    /// holds only once, so it takes effect at most once, and a delayed first copy cannot take
    /// effect after this function has returned a definite answer.
    async fn commit(&self, expect: Expect, head: &Head) -> Result<Commit> {
        let transaction = transaction(expect, head);
        let mut unsure = false;
        for _ in 0..MAX_TRIES {
            match self.store().transact(transaction.clone()).await {
                Ok(_) => return Ok(Commit::Won),
                Err(StoreError::Conflict { .. }) if !unsure => {
                    return Ok(Commit::Lost);
                }
                Err(StoreError::Conflict { .. }) => {
                    if let Some(commit) = self.read_back(head).await {
                        return Ok(commit);
                    }
                }
                Err(error @ (StoreError::Unavailable | StoreError::Throttled)) => {
                    if !unsure {
                        return Err(not_applied(error));
                    }
                }
                // Anything else does not prove that the transaction had no effect.
                Err(_) => unsure = true,
            }
        }
        let detail = format!("the store did not confirm revision {}", head.revision);
        Err(Problem::unknown(&detail))
    }

    /// Finds out whose commit made the revision; `None` if the store does not tell.
    async fn read_back(&self, head: &Head) -> Option<Commit> {
        let row: Row = self.store().get(&history_key(head.revision)).await.ok()??;
        let winner = Head::read(&row).ok()?;
        Some(if winner.token == head.token {
            Commit::Won
        } else {
            Commit::Lost
        })
    }

    fn store(&self) -> &S {
        &self.source.0
    }

    fn token(&self) -> String {
        let number = self.writes.fetch_add(1, Ordering::Relaxed);
        format!("{}-{number}", self.process)
    }

    fn lock_latest(&self) -> std::sync::MutexGuard<'_, Option<Arc<Snapshot>>> {
        self.latest.lock().expect("publisher lock poisoned")
    }
}

fn transaction(expect: Expect, head: &Head) -> Transaction {
    let text = head.to_text();
    let transaction = Transaction::new()
        .expect(HEAD_KEY, expect)
        .put(HEAD_KEY, &text)
        .put(&history_key(head.revision), &text);
    match outdated(head.revision) {
        Some(revision) => transaction.delete(&history_key(revision)),
        None => transaction,
    }
}

/// Refuses a change if one of its resources was changed between two documents.
fn check_untouched(change: &Change, before: &Document, now: &Document) -> Result<()> {
    for edit in &change.edits {
        let (kind, name) = edit.subject();
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

/// Reports an error of a call that could not have changed the accepted configuration.
fn not_applied(error: StoreError) -> Problem {
    match error {
        StoreError::Invalid(_) | StoreError::NotFound => Problem::corrupt(&error.to_string()),
        _ => Problem::unavailable("the store does not answer; nothing was applied"),
    }
}
