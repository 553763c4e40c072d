//! Follows a table of the platform's store: reads all rows once, then waits for changes.
//!
//! A few entries of each availability zone wait for changes at the store. The others fetch them from an
//! entry that announces a newer version, so that the calls to the store grow with the changes and the
//! zones, and not with the entries. An entry reads the store itself again when the readers of its zone
//! are lost or failing, or when nobody confirms its rows.

use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ebonylug_core::Clock;
use ebonylug_dispatch::TableKind;
pub use ebonylug_dispatch::{Row, TableUpdate};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::entry::millis;
use crate::facts::{Classify, Facts, Outdated};
pub use crate::fallback::Fallback;
pub use crate::table_cache::PeerTable;
use crate::uptime::Uptime;

/// The rows of a table, or changes to them, up to one version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rows {
    /// All rows, or the changed rows.
    pub rows: Vec<Row>,
    /// The number of the last change of each row in the store, without an era. Empty if unknown.
    pub numbers: Vec<u64>,
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
    /// The store has come back from an older copy. The rows must be read again.
    #[error("the store has come back from an older copy")]
    Restored,
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

    /// Reports whether the store has come back from an older copy between two versions.
    fn is_restored(&self, _before: u64, _after: u64) -> bool {
        false
    }
}

/// Whether an entry reads a table itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReadState {
    /// It has not read the table yet, or others read for it.
    #[default]
    Idle,
    /// The store answered its last read.
    Reading,
    /// The store did not answer its last read.
    Failing,
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
    /// The age of the known rows at which an entry reads the store although others read for it.
    pub max_peer_age: Option<Duration>,
}

/// The maximum wait of a read while the known rows stay older than [`PollPolicy::max_age`].
const STALE_WAIT: Duration = Duration::from_secs(1);
/// Time after which a waiting read is replaced if another entry has a change that it did not deliver. Its
/// connection may be dead. It is longer than a slow answer takes.
const OVERDUE_TIME: Duration = Duration::from_millis(500);
/// Time until an entry whose reads failed tries again while others read for it.
const FAILING_RETRY: Duration = Duration::from_secs(3);
/// Delay after a failed attempt to fetch a change from another entry.
const FETCH_RETRY: Duration = Duration::from_millis(50);
/// The number of attempts of an entry that starts to fetch a table from another one. The store's rows may be older, so
/// one lost call must not decide.
const FIRST_FETCHES: u32 = 2;
/// Interval at which the age of the known rows is checked.
const AGE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

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
    /// The name of the table in logs.
    pub name: &'static str,
    /// The table.
    pub kind: TableKind,
    /// The primary source of rows.
    pub feed: F,
    /// The source of rows while the feed fails.
    pub fallback: B,
    /// Tells how the rows are merged with what is known.
    pub classify: Classify,
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
    /// Whether other entries read for this one since its last read.
    delegated: bool,
    /// When the last read began.
    last_read: Option<tokio::time::Instant>,
    failing_since: Option<Instant>,
    store: StoreClock,
    facts: Facts,
    /// The version of the last rows, also while all rows have to be read again.
    last_version: u64,
    /// Whether the next rows may be those of an older copy.
    restored: bool,
    /// Whether all rows have to be read anew.
    refresh: bool,
    /// The number of suspensions when the last read began.
    suspensions: u64,
}

impl Progress {
    /// Returns the version of the known rows; 0 without rows.
    fn known_version(&self) -> u64 {
        self.version.unwrap_or(0)
    }

    /// Records the version of new rows.
    fn advance(&mut self, version: u64) {
        self.version = Some(version);
        self.last_version = version;
        self.refresh = false;
    }
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
        if let Some(update) = self.fetch_first(&mut progress).await {
            on_update(update, None);
        }
        loop {
            // Rows of an older copy count from now on, but some of them were merged with earlier ones.
            if progress.facts.end_grace(tokio::time::Instant::now()) {
                progress.refresh = true;
            }
            let suspensions = self.fallback.suspensions();
            let woke = progress.suspensions != suspensions;
            if !woke && self.relies_on_peers(&progress, age()) {
                if !progress.delegated && progress.failures == 0 {
                    self.fallback.set_read_state(self.kind, ReadState::Idle);
                }
                progress.delegated = true;
                self.follow_peers(&mut progress, &mut on_update).await;
                continue;
            }
            let mut wait = self
                .policy
                .get()
                .max_wait
                .mul_f64(rng.random_range(0.5..1.0));
            let now = tokio::time::Instant::now();
            if let Some(left) = progress.facts.grace_left(now) {
                wait = wait.min(left);
            }
            progress.last_read = Some(now);
            progress.suspensions = suspensions;
            // Shows at once whether the store answers this entry.
            let at_once = std::mem::take(&mut progress.delegated) || woke;
            let known = progress.version.filter(|_| !progress.refresh);
            let read = async {
                match known {
                    None => self.feed.list().await,
                    Some(after) if at_once => self.feed.changes(after, Duration::ZERO).await,
                    Some(after) => self.changes(after, wait, &age).await,
                }
            };
            let read = tokio::select! {
                biased;
                read = read => read,
                () = self.fallback.suspended(suspensions) => continue,
            };
            match read {
                Ok(rows) => {
                    let (update, timestamp) = self.record_success(&mut progress, rows);
                    on_update(update, Some(timestamp));
                    self.fallback.confirm_read(self.kind, suspensions);
                    if let Some(update) = self.fetch_superseding(&mut progress).await {
                        on_update(update, None);
                    }
                    let pause = tokio::time::sleep(self.policy.get().pause);
                    tokio::select! {
                        () = pause => {}
                        () = self.fallback.suspended(suspensions) => {}
                    }
                }
                Err(Error::Compacted) => {
                    tracing::info!(
                        part = "store",
                        table = self.name,
                        "changes were compacted; reading all rows"
                    );
                    progress.version = None;
                }
                Err(Error::Restored) => {
                    tracing::info!(
                        part = "store",
                        table = self.name,
                        "the store was restored; reading all rows"
                    );
                    progress.restored = progress.version.take().is_some();
                    // The clock of the copy may be another one.
                    progress.store = StoreClock::default();
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

    /// Reports whether other entries read the table for this one now.
    fn relies_on_peers(&self, progress: &Progress, age: Option<Duration>) -> bool {
        let max_age = self.policy.get().max_peer_age;
        let too_old = age.zip(max_age).is_some_and(|(age, max)| age >= max);
        let retry = progress.failures > 0
            && progress
                .last_read
                .is_none_or(|time| time.elapsed() >= FAILING_RETRY);
        let is_known = progress.version.is_some() && !progress.refresh;
        is_known && !too_old && !retry && !self.fallback.is_reader()
    }

    /// Fetches the next change from another entry, or waits until one may have it.
    async fn follow_peers(
        &self,
        progress: &mut Progress,
        on_update: &mut impl FnMut(TableUpdate, Option<Timestamp>),
    ) {
        if !self
            .fallback
            .is_outdated(self.kind, progress.known_version())
        {
            self.fallback.news().await;
            return;
        }
        match self.fetch_fallback(progress).await {
            Some(update) => on_update(update, None),
            None => tokio::time::sleep(FETCH_RETRY).await,
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
        let update = match progress.version.filter(|_| !progress.refresh) {
            None => TableUpdate::Snapshot(rows.rows),
            Some(_) => TableUpdate::Delta(rows.rows),
        };
        let version = rows.version.max(progress.version.unwrap_or(0));
        let update = self.merge(progress, update, version, &rows.numbers);
        progress.advance(version);
        self.fallback.set_read_state(self.kind, ReadState::Reading);
        self.record(progress, &update, version);
        if !update.is_empty() {
            self.fallback.announce();
        }
        (update, timestamp)
    }

    /// Merges an update that is current at `version` with the facts that this entry has acknowledged.
    fn merge(
        &self,
        progress: &mut Progress,
        update: TableUpdate,
        version: u64,
        numbers: &[u64],
    ) -> TableUpdate {
        let now = tokio::time::Instant::now();
        let before = progress.last_version;
        // A store that names no eras may have gone back, too.
        let is_earlier = version < before;
        let is_restored = before > 0 && (is_earlier || self.feed.is_restored(before, version));
        if std::mem::take(&mut progress.restored) || is_restored {
            progress.facts.begin_grace(now);
        }
        let known = || self.fallback.known_rows(self.kind);
        let (update, outdated) = progress
            .facts
            .merge(now, update, numbers, known, self.classify);
        if outdated != Outdated::default() {
            let Outdated { replaced, dropped } = outdated;
            tracing::warn!(
                part = "store",
                table = self.name,
                version,
                before,
                replaced,
                dropped,
                "rows of an older copy do not count"
            );
        }
        update
    }

    /// Records a failed read, and returns the backoff until the next one.
    fn record_failure(&self, progress: &mut Progress, error: &str) -> Duration {
        if progress.failing_since.is_none() {
            progress.failing_since = Some(self.clock.now());
            tracing::warn!(part = "store", table = self.name, %error, "store does not answer");
        }
        self.fallback.set_read_state(self.kind, ReadState::Failing);
        let backoff = (INITIAL_BACKOFF * (1 << progress.failures.min(4))).min(MAX_BACKOFF);
        progress.failures += 1;
        backoff
    }

    /// Fetches the table from another entry that has a newer version. The feed is then followed from
    /// that version.
    async fn fetch_fallback(&self, progress: &mut Progress) -> Option<TableUpdate> {
        let current = progress.known_version();
        let PeerTable {
            update,
            version,
            grace_left,
            numbers,
        } = self.fallback.fetch_newer(self.kind, current).await?;
        let before = progress.last_version;
        // All rows are needed again, but not older ones.
        if version <= current || version < before {
            tracing::info!(
                part = "store",
                table = self.name,
                version,
                before,
                "another entry has an older table"
            );
            return None;
        }
        let rows = update.rows().len();
        // Other entries read for most entries, and each change of the targets arrives this way.
        let rare = self.kind == TableKind::Orders;
        if rare || progress.failures > 0 || progress.version.is_none() {
            tracing::info!(
                part = "store",
                table = self.name,
                version,
                before,
                rows,
                "took the copy of another entry"
            );
        }
        let update = self.merge(progress, update, version, &numbers);
        // The other entry may have left out or kept rows of a copy. All rows are read again when it no longer does.
        if let Some(left) = grace_left {
            let now = tokio::time::Instant::now();
            progress.facts.extend_grace(now, left);
        }
        // Only the store can show that rows which others still keep are gone.
        let refresh = progress.refresh;
        progress.advance(version);
        progress.refresh = refresh;
        self.record(progress, &update, version);
        Some(update)
    }

    /// Records rows so that other entries can fetch them.
    fn record(&self, progress: &Progress, update: &TableUpdate, version: u64) {
        self.fallback.record(self.kind, update, version);
        self.fallback
            .set_numbers(self.kind, progress.facts.order_numbers());
        self.fallback
            .set_grace_end(self.kind, progress.facts.grace_end());
    }

    /// Fetches the first rows from another entry, since only others know what they have acknowledged before the store
    /// came back from an older copy. The feed is then followed from their version.
    async fn fetch_first(&self, progress: &mut Progress) -> Option<TableUpdate> {
        self.fallback.others_heard().await;
        for _ in 0..FIRST_FETCHES {
            if let Some(update) = self.fetch_fallback(progress).await {
                return Some(update);
            }
        }
        None
    }

    /// Fetches numbered rows from another entry that has newer ones than the store, which has come back from an
    /// older copy.
    async fn fetch_superseding(&self, progress: &mut Progress) -> Option<TableUpdate> {
        let table = self.fallback.fetch_superseding(self.kind).await?;
        let rows = progress.facts.newer(table.update.rows(), self.classify);
        if rows.is_empty() {
            return None;
        }
        tracing::warn!(
            part = "store",
            table = self.name,
            rows = rows.len(),
            "the store has older rows than another entry"
        );
        let version = progress.known_version();
        let update = self.merge(progress, TableUpdate::Delta(rows), version, &[]);
        self.record(progress, &update, version);
        Some(update)
    }

    /// Waits for changes until the known rows reach their maximum age, then reads without waiting.
    async fn changes(
        &self,
        after: u64,
        wait: Duration,
        age: impl Fn() -> Option<Duration>,
    ) -> Result<Rows> {
        let max_age = self.policy.get().max_age;
        // Without known rows, there is nothing that could be stale.
        let is_stale = || age().zip(max_age).is_some_and(|(age, max)| age >= max);
        if is_stale() {
            return self.feed.changes(after, wait.min(STALE_WAIT)).await;
        }
        let stale = async {
            if max_age.is_none() {
                return std::future::pending().await;
            }
            while !is_stale() {
                tokio::time::sleep(AGE_CHECK_INTERVAL).await;
            }
        };
        tokio::select! {
            changes = self.feed.changes(after, wait) => changes,
            () = stale => self.feed.changes(after, Duration::ZERO).await,
            () = self.overdue(after) => {
                tracing::info!(part = "store", table = self.name, after, "a change is overdue; reading again");
                self.feed.changes(after, Duration::ZERO).await
            }
        }
    }

    /// Waits until another entry has had a change after `after` for longer than an answer takes.
    async fn overdue(&self, after: u64) {
        loop {
            while !self.fallback.is_outdated(self.kind, after) {
                self.fallback.news().await;
            }
            tokio::time::sleep(OVERDUE_TIME).await;
            if self.fallback.is_outdated(self.kind, after) {
                return;
            }
        }
    }
}
