//! Follows a table of the platform's store: reads all rows once, then long-polls for changes.

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

/// A row of a table, or the removal of one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The key.
    pub key: Box<str>,
    /// The value, or `None` if the row was removed.
    pub value: Option<Vec<u8>>,
}

/// The rows of a table, or changes to them, up to one version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rows {
    /// All rows, or the changed rows.
    pub rows: Vec<Row>,
    /// The version of the table that includes these rows.
    pub version: u64,
    /// The time of the store's clock when it sent the response.
    pub clock: Duration,
}

/// Why a read failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The store no longer keeps the requested changes.
    #[error("the requested changes have been compacted")]
    Compacted,
    /// The store did not respond, or responded with an error.
    #[error("{0}")]
    Failed(Box<str>),
}

/// The result of a read.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A table that can be read and polled for changes.
pub trait Feed {
    /// Reads all rows.
    fn list(&self) -> impl Future<Output = Result<Rows>>;

    /// Waits up to `wait` for changes after a version. Returns no rows if there are none.
    fn changes(&self, after: u64, wait: Duration) -> impl Future<Output = Result<Rows>>;
}

/// A source of tables while reads from the store fail, such as the other entries.
pub trait Fallback {
    /// Records an update of a table, so that other entries can fetch it.
    fn record(&self, table: &'static str, update: &TableUpdate, version: u64);

    /// Returns all rows of a table if another entry has a version after `after`.
    fn fetch_newer(&self, table: &'static str, after: u64) -> impl Future<Output = Option<Rows>>;
}

/// A fallback without tables.
impl Fallback for () {
    fn record(&self, _: &'static str, _: &TableUpdate, _: u64) {}

    async fn fetch_newer(&self, _: &'static str, _: u64) -> Option<Rows> {
        None
    }
}

/// The time at which the store sent a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timestamp {
    /// The time as an uptime of this machine.
    pub uptime: Duration,
    /// The time of the store's clock.
    pub store: Duration,
}

/// The timing of reads for changes.
#[derive(Clone, Copy, Debug)]
pub struct PollPolicy {
    /// The maximum time that a read waits for changes. Each read waits for a random time between half
    /// of this and all of it.
    pub max_wait: Duration,
    /// Delay between a response and the next read, in which changes accumulate.
    pub pause: Duration,
    /// The age of the known rows at which a waiting read is cancelled and replaced by one that does
    /// not wait.
    pub max_age: Option<Duration>,
}

/// The maximum wait of a read while the known rows stay older than [`PollPolicy::max_age`].
const STALE_WAIT: Duration = Duration::from_secs(1);
/// Interval at which the age of the known rows is checked.
const AGE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// An update of a followed table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TableUpdate {
    /// All rows of the table. Rows that are not included do not exist.
    Snapshot(Vec<Row>),
    /// The changed and removed rows.
    Delta(Vec<Row>),
}

/// The initial delay after a failed read. It doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// The maximum delay after failed reads. It bounds how long the entry takes to notice that the store
/// answers again.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Converts the store's times to uptimes of this machine.
///
/// A response arrives after it was sent, so the smallest observed difference between both clocks is
/// the best estimate of their offset. Its error is the transit time of the fastest response.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreClock {
    /// The smallest difference so far between uptime and the store's time, in nanoseconds.
    offset: Option<i128>,
}

impl StoreClock {
    /// Updates the offset with a response that was sent at the store's time `sent` and arrived at the uptime
    /// `arrived`. Returns the uptime at which it was sent.
    pub fn observe(&mut self, sent: Duration, arrived: Duration) -> Duration {
        let nanos = |time: Duration| time.as_nanos() as i128;
        let difference = nanos(arrived) - nanos(sent);
        let offset = self
            .offset
            .map_or(difference, |smallest| smallest.min(difference));
        self.offset = Some(offset);
        let local = u64::try_from((nanos(sent) + offset).max(0)).unwrap_or(u64::MAX);
        Duration::from_nanos(local)
    }
}

/// Follows one table.
pub struct Follower<F, B = ()> {
    /// The name of the table, used for the fallback and in logs.
    pub name: &'static str,
    /// The primary source of rows.
    pub feed: F,
    /// The source of rows while the feed fails.
    pub fallback: B,
    /// The timing of reads. It may change while the follower runs.
    pub policy: Rc<Cell<PollPolicy>>,
    /// Measures the length of outages.
    pub clock: Arc<dyn Clock>,
    /// Measures when responses arrive.
    pub uptime: Box<dyn Uptime>,
}

/// The state of a follower.
#[derive(Debug, Default)]
struct Progress {
    version: Option<u64>,
    failures: u32,
    failing_since: Option<Instant>,
    store: StoreClock,
}

impl<F: Feed, B: Fallback> Follower<F, B> {
    /// Follows the table indefinitely. `on_update` receives each update with the time at which it was
    /// current, or `None` if it comes from the fallback. `age` returns the age of the known rows, which
    /// other sources may have confirmed as well.
    pub async fn run(
        self,
        seed: u64,
        age: impl Fn() -> Option<Duration>,
        mut on_update: impl FnMut(TableUpdate, Option<Timestamp>),
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
                    let (update, timestamp) = self.record_success(&mut progress, rows);
                    on_update(update, Some(timestamp));
                    tokio::time::sleep(self.policy.get().pause).await;
                }
                Err(Error::Compacted) => {
                    tracing::info!(
                        part = "store",
                        table = self.name,
                        "changes were compacted; reading all rows"
                    );
                    progress.version = None;
                }
                Err(Error::Failed(error)) => {
                    let backoff = self.record_failure(&mut progress, &error);
                    if let Some(update) = self.fetch_fallback(&mut progress).await {
                        on_update(update, None);
                    }
                    tokio::time::sleep(backoff.mul_f64(rng.random_range(0.5..1.0))).await;
                }
            }
        }
    }

    /// Records a successful read, and returns its update.
    fn record_success(&self, progress: &mut Progress, rows: Rows) -> (TableUpdate, Timestamp) {
        if let Some(since) = progress.failing_since.take() {
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
        let timestamp = Timestamp {
            uptime: progress.store.observe(rows.clock, self.uptime.uptime()),
            store: rows.clock,
        };
        let update = match progress.version {
            None => TableUpdate::Snapshot(rows.rows),
            Some(_) => TableUpdate::Delta(rows.rows),
        };
        let version = rows.version.max(progress.version.unwrap_or(0));
        progress.version = Some(version);
        self.fallback.record(self.name, &update, version);
        (update, timestamp)
    }

    /// Records a failed read, and returns the backoff until the next one.
    fn record_failure(&self, progress: &mut Progress, error: &str) -> Duration {
        if progress.failing_since.is_none() {
            progress.failing_since = Some(self.clock.now());
            tracing::warn!(part = "store", table = self.name, %error, "store does not answer");
        }
        let backoff = (INITIAL_BACKOFF * (1 << progress.failures.min(4))).min(MAX_BACKOFF);
        progress.failures += 1;
        backoff
    }

    /// Fetches the table from the fallback if it has a newer version. The feed is then followed from
    /// that version.
    async fn fetch_fallback(&self, progress: &mut Progress) -> Option<TableUpdate> {
        let current = progress.version.unwrap_or(0);
        let rows = self.fallback.fetch_newer(self.name, current).await?;
        if rows.version <= current {
            return None;
        }
        tracing::info!(
            part = "store",
            table = self.name,
            version = rows.version,
            before = current,
            rows = rows.rows.len(),
            "took the copy of another entry"
        );
        progress.version = Some(rows.version);
        let update = TableUpdate::Snapshot(rows.rows);
        self.fallback.record(self.name, &update, rows.version);
        Some(update)
    }

    /// Waits for changes until the known rows reach their maximum age, then reads without waiting.
    async fn changes(
        &self,
        after: u64,
        wait: Duration,
        age: impl Fn() -> Option<Duration>,
    ) -> Result<Rows> {
        let Some(max_age) = self.policy.get().max_age else {
            return self.feed.changes(after, wait).await;
        };
        // Without known rows, there is nothing that could be stale.
        let is_stale = || age().is_some_and(|age| age >= max_age);
        if is_stale() {
            return self.feed.changes(after, wait.min(STALE_WAIT)).await;
        }
        let stale = async {
            while !is_stale() {
                tokio::time::sleep(AGE_CHECK_INTERVAL).await;
            }
        };
        tokio::select! {
            changes = self.feed.changes(after, wait) => changes,
            () = stale => self.feed.changes(after, Duration::ZERO).await,
        }
    }
}
