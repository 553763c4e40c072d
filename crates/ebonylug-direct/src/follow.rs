//! Follows a table of the platform: reads it whole, then waits for changes.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use ebonylug_core::Clock;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::uptime::Uptime;

/// A row of a table, as a feed tells it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The key.
    pub key: Box<str>,
    /// The value; `None` if the row was removed.
    pub value: Option<Vec<u8>>,
}

/// Rows as of one version of the table.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
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

/// When an answer was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Made {
    /// By the uptime of this machine.
    pub uptime: Duration,
    /// By the store's own clock.
    pub store: Duration,
}

/// How long reads of changes wait.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// The longest time that a read waits for changes. Each read draws its time from the upper half.
    pub wait: Duration,
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
pub enum Told {
    /// All rows: others do not exist.
    All(Vec<Row>),
    /// Changed rows.
    Changed(Vec<Row>),
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
    pub fn note(&mut self, made: Duration, arrived: Duration) -> Duration {
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
pub struct Follower<F> {
    /// The name of the table, for logs.
    pub name: &'static str,
    /// Where rows come from.
    pub feed: F,
    /// How long reads wait.
    pub pace: Pace,
    /// Measures outages.
    pub clock: Arc<dyn Clock>,
    /// Tells when rows were current.
    pub uptime: Box<dyn Uptime>,
    /// Counts a read by its outcome.
    pub count: Box<dyn Fn(&'static str)>,
}

impl<F: Feed> Follower<F> {
    /// Follows the table for ever. `tell` gets rows, with the time for which they are current;
    /// `age` returns the age of what is known from here or elsewhere.
    pub async fn run(
        self,
        seed: u64,
        age: impl Fn() -> Option<Duration>,
        mut tell: impl FnMut(Told, Made),
    ) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut store = StoreClock::default();
        let mut version = None;
        let mut failures = 0_u32;
        let mut lost = None;
        loop {
            let wait = self.pace.wait.mul_f64(rng.random_range(0.5..1.0));
            let read = match version {
                None => self
                    .feed
                    .list()
                    .await
                    .map(|rows| (Told::All as fn(_) -> _, rows)),
                Some(after) => {
                    let changes = self.changes(after, wait, &age).await;
                    changes.map(|rows| (Told::Changed as fn(_) -> _, rows))
                }
            };
            (self.count)(match &read {
                Ok(_) => "answered",
                Err(Error::Compacted) => "compacted",
                Err(Error::Failed(_)) => "failed",
            });
            match read {
                Ok((told, rows)) => {
                    if let Some(since) = lost.take() {
                        let outage = self.clock.now().saturating_duration_since(since);
                        let outage_ms = outage.as_millis() as u64;
                        tracing::info!(
                            part = "store",
                            table = self.name,
                            outage_ms,
                            "store answers again"
                        );
                    }
                    failures = 0;
                    version = Some(rows.version.max(version.unwrap_or(0)));
                    let made = store.note(rows.clock, self.uptime.uptime());
                    let made = Made {
                        uptime: made,
                        store: rows.clock,
                    };
                    tell(told(rows.rows), made);
                    tokio::time::sleep(self.pace.pause).await;
                }
                Err(Error::Compacted) => {
                    tracing::info!(
                        part = "store",
                        table = self.name,
                        "history is gone; reading all"
                    );
                    version = None;
                }
                Err(Error::Failed(error)) => {
                    if lost.is_none() {
                        lost = Some(self.clock.now());
                        tracing::warn!(part = "store", table = self.name, %error, "store does not answer");
                    }
                    let pause = (PAUSE * (1 << failures.min(4))).min(MAX_PAUSE);
                    failures += 1;
                    tokio::time::sleep(pause.mul_f64(rng.random_range(0.5..1.0))).await;
                }
            }
        }
    }

    /// Waits for changes, but not longer than what is known may age.
    async fn changes(
        &self,
        after: u64,
        wait: Duration,
        age: impl Fn() -> Option<Duration>,
    ) -> Result<Rows> {
        let Some(max_age) = self.pace.max_age else {
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
