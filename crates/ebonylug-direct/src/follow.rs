//! Follows a table of the platform: reads it whole, then waits for changes.

use std::future::Future;
use std::rc::Rc;
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

    /// Waits for changes after a version, and returns none if there are none for some time.
    fn changes(&self, after: u64) -> impl Future<Output = Result<Rows>>;
}

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

/// Follows a table for ever. `tell` gets rows, with the uptime before the call that read them: the
/// rows are at least as recent.
pub async fn follow<F: Feed>(
    name: &'static str,
    feed: F,
    clock: Rc<dyn Clock>,
    uptime: Rc<dyn Uptime>,
    seed: u64,
    mut tell: impl FnMut(Told, Duration),
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut version = None;
    let mut failures = 0_u32;
    let mut lost = None;
    loop {
        let asked = uptime.uptime();
        let read = match version {
            None => feed.list().await.map(|rows| (rows.version, Told::All(rows.rows))),
            Some(after) => {
                let changes = feed.changes(after).await;
                changes.map(|rows| (rows.version.max(after), Told::Changed(rows.rows)))
            }
        };
        match read {
            Ok((at, told)) => {
                if let Some(since) = lost.take() {
                    let outage = clock.now().saturating_duration_since(since).as_millis();
                    tracing::info!(part = "store", table = name, outage, "store answers again");
                }
                failures = 0;
                version = Some(at);
                tell(told, asked);
            }
            Err(Error::Compacted) => {
                tracing::info!(part = "store", table = name, "history is gone; reading all");
                version = None;
            }
            Err(Error::Failed(error)) => {
                if lost.is_none() {
                    lost = Some(clock.now());
                    tracing::warn!(part = "store", table = name, %error, "store does not answer");
                }
                let pause = (PAUSE * (1 << failures.min(4))).min(MAX_PAUSE);
                failures += 1;
                tokio::time::sleep(pause.mul_f64(rng.random_range(0.5..1.0))).await;
            }
        }
    }
}
