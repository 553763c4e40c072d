//! Follows a table of the platform: reads it whole, then waits for changes.

use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ebonylug_core::Clock;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::entry::millis;
use crate::uptime::Uptime;

/// A row of a table, as a feed tells it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The key.
    pub key: Box<str>,
    /// The value; `None` if the row was removed.
    pub value: Option<Vec<u8>>,
}

/// Rows as of one version of the table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rows {
    /// The rows, or the changes.
    pub rows: Vec<Row>,
    /// The version that they are as of.
    pub version: u64,
    /// The store's own clock at the answer.
    pub clock: Duration,
}

/// Why a read failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The history that was asked for is not kept any more.
    #[error("the history is not kept any more")]
    Compacted,
    /// No answer, or one that states a failure.
    #[error("{0}")]
    Failed(Box<str>),
}

/// The result of a read.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A table that can be read and followed.
pub trait Feed {
    /// Reads all rows.
    fn list(&self) -> impl Future<Output = Result<Rows>>;

    /// Waits for changes after a version, and returns none if there are none for `wait`.
    fn changes(&self, after: u64, wait: Duration) -> impl Future<Output = Result<Rows>>;
}

/// The copies of tables that other entries have. They serve while the store turns this entry away.
pub trait Fallback {
    /// Keeps what the store has told, for other entries.
    fn record(&self, table: &'static str, told: &TableUpdate, version: u64);

    /// Returns all rows of a copy that is newer than a version, if another entry has one.
    fn fetch_newer(&self, table: &'static str, after: u64) -> impl Future<Output = Option<Rows>>;
}

/// No copies.
impl Fallback for () {
    fn record(&self, _: &'static str, _: &TableUpdate, _: u64) {}

    async fn fetch_newer(&self, _: &'static str, _: u64) -> Option<Rows> {
        None
    }
}

/// When an answer was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timestamp {
    /// By the uptime of this machine.
    pub uptime: Duration,
    /// By the store's own clock.
    pub store: Duration,
}

/// How long reads of changes wait.
#[derive(Clone, Copy, Debug)]
pub struct PollPolicy {
    /// The longest time that a read waits for changes. Each read draws its time from the upper half.
    pub max_wait: Duration,
    /// Time from one answer to the next read, in which changes gather.
    pub pause: Duration,
    /// The age of what is known after which a read that waits is given up and made anew without
    /// waiting.
    pub max_age: Option<Duration>,
}

/// How long a read waits while what is known is too old in spite of reads.
const OLD_WAIT: Duration = Duration::from_secs(1);
/// How often the age of what is known is looked at.
const AGE_CHECK: Duration = Duration::from_millis(250);

/// What a follower is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TableUpdate {
    /// All rows: others do not exist.
    Snapshot(Vec<Row>),
    /// Changed rows.
    Delta(Vec<Row>),
}

/// Pause after a failed read, doubled up to the longest one.
const PAUSE: Duration = Duration::from_millis(100);
/// The longest pause after failed reads. The loss of the store must not outlast it by much.
const MAX_PAUSE: Duration = Duration::from_millis(800);

/// Converts the store's times to uptimes of this machine.
///
/// An answer arrives after it was made, so the least difference between both clocks is the best
/// estimate, and errs by the shortest time that an answer took.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreClock {
    offset: Option<i128>,
}

impl StoreClock {
    /// Notes an answer of the store's time `made` that arrived at `arrived`. Returns the uptime at
    /// which it was made.
    pub fn observe(&mut self, made: Duration, arrived: Duration) -> Duration {
        let nanos = |time: Duration| time.as_nanos() as i128;
        let difference = nanos(arrived) - nanos(made);
        let offset = self
            .offset
            .map_or(difference, |least| least.min(difference));
        self.offset = Some(offset);
        let local = u64::try_from((nanos(made) + offset).max(0)).unwrap_or(u64::MAX);
        Duration::from_nanos(local)
    }
}

/// Follows a table.
pub struct Follower<F, B = ()> {
    /// The name of the table, for logs.
    pub name: &'static str,
    /// Where rows come from.
    pub feed: F,
    /// Where rows come from while the feed fails.
    pub fallback: B,
    /// How long reads wait.
    pub policy: Rc<Cell<PollPolicy>>,
    /// Measures outages.
    pub clock: Arc<dyn Clock>,
    /// Tells when rows were current.
    pub uptime: Box<dyn Uptime>,
}

/// What a follower knows of its table and of the way to it.
#[derive(Debug, Default)]
struct Progress {
    version: Option<u64>,
    failures: u32,
    lost: Option<Instant>,
    store: StoreClock,
}

impl<F: Feed, B: Fallback> Follower<F, B> {
    /// Follows the table for ever. `tell` gets rows, with the time for which they are current unless they
    /// are a copy of another entry; `age` returns the age of what is known from here or elsewhere.
    pub async fn run(
        self,
        seed: u64,
        age: impl Fn() -> Option<Duration>,
        mut tell: impl FnMut(TableUpdate, Option<Timestamp>),
    ) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut progress = Progress::default();
        loop {
            let wait = self
                .policy
                .get()
                .max_wait
                .mul_f64(rng.random_range(0.5..1.0));
            let read = match progress.version {
                None => self.feed.list().await,
                Some(after) => self.changes(after, wait, &age).await,
            };
            match read {
                Ok(rows) => {
                    let (told, made) = self.answered(&mut progress, rows);
                    tell(told, Some(made));
                    tokio::time::sleep(self.policy.get().pause).await;
                }
                Err(Error::Compacted) => {
                    tracing::info!(
                        part = "store",
                        table = self.name,
                        "history is gone; reading all"
                    );
                    progress.version = None;
                }
                Err(Error::Failed(error)) => {
                    let pause = self.failed(&mut progress, &error);
                    if let Some(told) = self.copy(&mut progress).await {
                        tell(told, None);
                    }
                    tokio::time::sleep(pause.mul_f64(rng.random_range(0.5..1.0))).await;
                }
            }
        }
    }

    /// Notes an answer of the store.
    fn answered(&self, progress: &mut Progress, rows: Rows) -> (TableUpdate, Timestamp) {
        if let Some(since) = progress.lost.take() {
            let outage = self.clock.now().saturating_duration_since(since);
            let outage_ms = millis(outage);
            tracing::info!(
                part = "store",
                table = self.name,
                outage_ms,
                "store answers again"
            );
        }
        progress.failures = 0;
        let made = Timestamp {
            uptime: progress.store.observe(rows.clock, self.uptime.uptime()),
            store: rows.clock,
        };
        let told = match progress.version {
            None => TableUpdate::Snapshot(rows.rows),
            Some(_) => TableUpdate::Delta(rows.rows),
        };
        let version = rows.version.max(progress.version.unwrap_or(0));
        progress.version = Some(version);
        self.fallback.record(self.name, &told, version);
        (told, made)
    }

    /// Notes a read that failed, and returns the pause until the next one.
    fn failed(&self, progress: &mut Progress, error: &str) -> Duration {
        if progress.lost.is_none() {
            progress.lost = Some(self.clock.now());
            tracing::warn!(part = "store", table = self.name, %error, "store does not answer");
        }
        let pause = (PAUSE * (1 << progress.failures.min(4))).min(MAX_PAUSE);
        progress.failures += 1;
        pause
    }

    /// Takes a newer copy of another entry, if there is one. The table is then followed from its version.
    async fn copy(&self, progress: &mut Progress) -> Option<TableUpdate> {
        let known = progress.version.unwrap_or(0);
        let rows = self.fallback.fetch_newer(self.name, known).await?;
        if rows.version <= known {
            return None;
        }
        tracing::info!(
            part = "store",
            table = self.name,
            version = rows.version,
            before = known,
            rows = rows.rows.len(),
            "took the copy of another entry"
        );
        progress.version = Some(rows.version);
        let told = TableUpdate::Snapshot(rows.rows);
        self.fallback.record(self.name, &told, rows.version);
        Some(told)
    }

    /// Waits for changes, but not longer than what is known may age.
    async fn changes(
        &self,
        after: u64,
        wait: Duration,
        age: impl Fn() -> Option<Duration>,
    ) -> Result<Rows> {
        let Some(max_age) = self.policy.get().max_age else {
            return self.feed.changes(after, wait).await;
        };
        // Before anything is known, nothing can be too old.
        let old = || age().is_some_and(|age| age >= max_age);
        if old() {
            return self.feed.changes(after, wait.min(OLD_WAIT)).await;
        }
        let aged = async {
            while !old() {
                tokio::time::sleep(AGE_CHECK).await;
            }
        };
        tokio::select! {
            changes = self.feed.changes(after, wait) => changes,
            () = aged => self.feed.changes(after, Duration::ZERO).await,
        }
    }
}
