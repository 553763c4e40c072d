//! What an entry has acknowledged of the rows of a table, and how rows that arrive later are merged with it.
//!
//! A later version does not make a row newer. After the store has come back from an older copy, it sends rows from
//! before facts that the entry has already acted on: a target that serves although it has said that it leaves, an
//! earlier configuration, a zone that is still in service. Each kind of row says what goes before the rows of a
//! copy:
//!
//! | kind of row | newest is | until |
//! | --- | --- | --- |
//! | [`Fact::Numbered`] | the value with the highest number | always |
//! | [`Fact::Order`] | the row with the higher number in the store, otherwise what the entry knew before the restore | [`RESTORE_GRACE`] after it |
//! | [`Fact::Life`] | the later start, and the later stage of one start | the target's next start for a target that leaves; otherwise as above |
//! | [`Fact::Plain`] | what the store sends | |

use std::cmp::Ordering;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

use ebonylug_dispatch::{Row, TableUpdate};
use smallvec::SmallVec;
use tokio::time::Instant;

/// Time after a restore in which rows of an older copy do not replace what the entry knew. What operators and
/// targets wrote since the copy was made is written again meanwhile.
pub const RESTORE_GRACE: Duration = Duration::from_secs(10);
/// Time for which targets that are gone are remembered. Copies of the store are some seconds old.
const GONE_RETENTION: Duration = Duration::from_secs(120);

/// How the value of a row is merged with what an entry knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fact {
    /// The writer numbers the values of the row.
    Numbered(u64),
    /// An order of the operator, which holds until it is changed or removed.
    Order,
    /// A target at one point of its life.
    Life(Life),
    /// The row is invalid, or nothing has to outlast it.
    Plain,
}

/// Returns the kind of a row that has a value.
pub type Classify = fn(&Row) -> Fact;

/// A point in the life of a target. Later points are greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Life {
    /// Start time in milliseconds since the Unix epoch; 0 if unknown.
    pub started_ms: u64,
    /// The stage within this start.
    pub stage: LifeStage,
}

/// The stages between two starts of a target. None of them is followed by an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LifeStage {
    /// The target is listed and accepts requests.
    Serving,
    /// The target is listed and is about to stop.
    Leaving,
    /// The target is no longer listed.
    Gone,
}

/// What is known of a target.
#[derive(Debug)]
struct KnownTarget {
    life: Life,
    /// The row in which this start of the target said that it leaves.
    leaving: Option<Row>,
    /// When the row was removed, or replaced by that of an earlier start.
    gone: Option<Instant>,
}

/// The facts of one table that an entry has acknowledged.
#[derive(Debug, Default)]
pub(crate) struct Facts {
    numbered: SmallVec<[(Row, u64); 1]>,
    targets: HashMap<Box<str>, KnownTarget>,
    /// The numbers of the last changes of orders, where they are known.
    orders: HashMap<Box<str>, u64>,
    /// When the rows of the last older copy become valid.
    grace_end: Option<Instant>,
}

/// The rows of an older copy that do not count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Outdated {
    /// Rows that were replaced by what the entry knew.
    pub(crate) replaced: usize,
    /// Rows that do not count at all, as those of targets that are gone.
    pub(crate) dropped: usize,
}

impl Facts {
    /// Records that the store has come back from an older copy.
    pub(crate) fn begin_grace(&mut self, now: Instant) {
        self.grace_end = Some(now + RESTORE_GRACE);
    }

    /// Records that another entry goes on merging rows with those of an older copy for `left`.
    pub(crate) fn extend_grace(&mut self, now: Instant, left: Duration) {
        self.grace_end = self.grace_end.max(Some(now + left.min(RESTORE_GRACE)));
    }

    /// Returns when the rows of the last older copy become valid.
    pub(crate) fn grace_end(&self) -> Option<Instant> {
        self.grace_end
    }

    /// Returns the time until the rows of the copy become valid, or `None` if they are.
    pub(crate) fn grace_left(&self, now: Instant) -> Option<Duration> {
        let left = self.grace_end?.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Ends a grace period that is over. Returns whether there was one, so that all rows must be read again.
    pub(crate) fn end_grace(&mut self, now: Instant) -> bool {
        let is_over = self.grace_end.is_some() && self.grace_left(now).is_none();
        if is_over {
            self.grace_end = None;
        }
        is_over
    }

    /// Merges an update with what is known, and records what it says. `known` are the rows before it.
    pub(crate) fn merge(
        &mut self,
        now: Instant,
        update: TableUpdate,
        numbers: &[u64],
        known: impl FnOnce() -> Vec<Row>,
        classify: Classify,
    ) -> (TableUpdate, Outdated) {
        let mut outdated = Outdated::default();
        let merges = matches!(update, TableUpdate::Snapshot(_)) && self.grace_left(now).is_some();
        let known = if merges { known() } else { Vec::new() };
        let known = self.record_orders(&update, numbers, known, classify);
        let update = match update {
            TableUpdate::Snapshot(rows) => {
                let rows = self.replace_numbered(rows, classify);
                let rows = if merges {
                    self.merge_copy(rows, known, classify, &mut outdated)
                } else {
                    self.record_missing(now, &rows);
                    rows
                };
                TableUpdate::Snapshot(self.record_all(now, rows, classify, &mut outdated))
            }
            TableUpdate::Delta(rows) => {
                TableUpdate::Delta(self.record_all(now, rows, classify, &mut outdated))
            }
        };
        (update, outdated)
    }

    /// Records the numbers of orders that count. Returns `known` without the orders that have changed since.
    ///
    /// A store that has come back from a copy gives the numbers after that of the copy out again. So the change of a row
    /// with the higher number is the later one, whether or not the store still has the other one.
    fn record_orders(
        &mut self,
        update: &TableUpdate,
        numbers: &[u64],
        mut known: Vec<Row>,
        classify: Classify,
    ) -> Vec<Row> {
        if matches!(update, TableUpdate::Snapshot(_)) {
            let keys: HashSet<&str> = known.iter().map(|row| &*row.key).collect();
            self.orders.retain(|key, _| keys.contains(&**key));
        }
        for (index, row) in update.rows().iter().enumerate() {
            if row.value.is_none() {
                self.orders.remove(&row.key);
                continue;
            }
            if classify(row) != Fact::Order {
                continue;
            }
            let number = numbers.get(index).copied().filter(|number| *number > 0);
            let before = self.orders.get(&row.key).copied();
            if known.iter().any(|known| known.key == row.key) {
                if before
                    .zip(number)
                    .is_none_or(|(before, number)| number <= before)
                {
                    continue;
                }
                known.retain(|known| known.key != row.key);
            }
            match number {
                Some(number) => self.orders.insert(row.key.clone(), number),
                None => self.orders.remove(&row.key),
            };
        }
        known
    }

    /// Returns the numbers of the last changes of orders, by key.
    pub(crate) fn order_numbers(&self) -> &HashMap<Box<str>, u64> {
        &self.orders
    }

    /// Returns the numbered rows of another entry's table that are newer than those known here.
    pub(crate) fn newer(&self, rows: &[Row], classify: Classify) -> Vec<Row> {
        let is_newer = |row: &&Row| match classify(row) {
            Fact::Numbered(found) => self.number(&row.key).is_none_or(|known| known < found),
            Fact::Order | Fact::Life(_) | Fact::Plain => false,
        };
        rows.iter().filter(is_newer).cloned().collect()
    }

    /// Replaces the rows of an older copy by what was known before.
    fn merge_copy(
        &mut self,
        copied: Vec<Row>,
        known: Vec<Row>,
        classify: Classify,
        outdated: &mut Outdated,
    ) -> Vec<Row> {
        let is_order = |row: &&Row| classify(row) == Fact::Order;
        let mut rows: Vec<Row> = known.iter().filter(is_order).cloned().collect();
        let orders: HashSet<&str> = rows.iter().map(|row| &*row.key).collect();
        let (replaced, copied): (Vec<Row>, Vec<Row>) = copied
            .into_iter()
            .partition(|row| orders.contains(&*row.key));
        outdated.replaced += rows.iter().filter(|row| !replaced.contains(row)).count();
        let known: HashMap<&str, &Row> = known.iter().map(|row| (&*row.key, row)).collect();
        // A target that the copy lacks writes its row again if it still runs.
        for row in copied {
            let target = self.targets.get(&row.key);
            match (classify(&row), target) {
                (Fact::Life(life), Some(target)) if target.life > life => {
                    match known.get(&*row.key) {
                        Some(&kept) if target.life.stage < LifeStage::Gone => {
                            outdated.replaced += 1;
                            rows.push(kept.clone());
                        }
                        _ => outdated.dropped += 1,
                    }
                }
                _ => rows.push(row),
            }
        }
        rows
    }

    /// Records that targets which a whole table lacks are gone.
    fn record_missing(&mut self, now: Instant, rows: &[Row]) {
        let listed: HashSet<&str> = rows.iter().map(|row| &*row.key).collect();
        for (key, target) in &mut self.targets {
            if !listed.contains(&**key) {
                target.remove(now);
            }
        }
        self.forget_gone(now);
    }

    fn forget_gone(&mut self, now: Instant) {
        self.targets.retain(|_, target| !target.is_forgotten(now));
    }

    /// Replaces older values of numbered rows in a whole table, and adds those that it lacks.
    fn replace_numbered(&self, mut rows: Vec<Row>, classify: Classify) -> Vec<Row> {
        rows.retain(|row| match classify(row) {
            Fact::Numbered(found) => self.number(&row.key).is_none_or(|known| known <= found),
            Fact::Order | Fact::Life(_) | Fact::Plain => true,
        });
        let is_missing = |kept: &&Row| rows.iter().all(|row| row.key != kept.key);
        let numbered = self.numbered.iter().map(|(row, _)| row);
        let missing: SmallVec<[Row; 1]> = numbered.filter(is_missing).cloned().collect();
        rows.extend(missing);
        rows
    }

    fn record_all(
        &mut self,
        now: Instant,
        rows: Vec<Row>,
        classify: Classify,
        outdated: &mut Outdated,
    ) -> Vec<Row> {
        let rows = rows.into_iter();
        rows.filter_map(|row| self.record(now, row, classify, outdated))
            .collect()
    }

    /// Records a row that was listed, changed or removed. Returns the row that counts, or `None` if an earlier
    /// one does.
    fn record(
        &mut self,
        now: Instant,
        row: Row,
        classify: Classify,
        outdated: &mut Outdated,
    ) -> Option<Row> {
        if row.value.is_none() {
            if let Some(target) = self.targets.get_mut(&row.key) {
                target.remove(now);
                self.forget_gone(now);
            }
            return Some(row);
        }
        match classify(&row) {
            Fact::Numbered(found) => {
                if self.number(&row.key).is_some_and(|known| known > found) {
                    outdated.dropped += 1;
                    return None;
                }
                self.numbered.retain(|(kept, _)| kept.key != row.key);
                self.numbered.push((row.clone(), found));
                Some(row)
            }
            Fact::Life(life) => {
                let known = self.targets.get(&row.key);
                let is_earlier = known.is_some_and(|known| known.life.started_ms > life.started_ms);
                if is_earlier && self.grace_left(now).is_some() {
                    outdated.dropped += 1;
                    return None;
                }
                let (row, is_outdated) = self.record_life(now, row, life);
                outdated.replaced += usize::from(is_outdated);
                Some(row)
            }
            Fact::Order | Fact::Plain => Some(row),
        }
    }

    /// Records the row of a target. Returns the row that counts, and whether it is an earlier one: a target that has
    /// said that it leaves does not serve again before its next start.
    fn record_life(&mut self, now: Instant, row: Row, life: Life) -> (Row, bool) {
        let known = self.targets.get_mut(&row.key);
        if let Some(known) = known.filter(|known| !known.is_forgotten(now))
            && let Some(left) = known.left_by(life)
        {
            known.life.stage = LifeStage::Leaving;
            known.gone = match life.started_ms < known.life.started_ms {
                true => known.gone.or(Some(now)),
                false => None,
            };
            return (left, true);
        }
        let leaving = (life.stage == LifeStage::Leaving).then(|| row.clone());
        let target = KnownTarget {
            life,
            leaving,
            gone: None,
        };
        self.targets.insert(row.key.clone(), target);
        (row, false)
    }

    fn number(&self, key: &str) -> Option<u64> {
        let kept = self.numbered.iter().find(|(row, _)| &*row.key == key);
        kept.map(|&(_, number)| number)
    }
}

impl KnownTarget {
    fn remove(&mut self, now: Instant) {
        self.life.stage = LifeStage::Gone;
        self.gone.get_or_insert(now);
    }

    fn is_forgotten(&self, now: Instant) -> bool {
        let age = self.gone.map(|time| now.saturating_duration_since(time));
        age.is_some_and(|age| age >= GONE_RETENTION)
    }

    /// Returns the row in which the target said that it leaves, if `life` is an earlier point.
    fn left_by(&self, life: Life) -> Option<Row> {
        let is_earlier = match life.started_ms.cmp(&self.life.started_ms) {
            Ordering::Less => true,
            // Starts of unknown time cannot be told apart.
            Ordering::Equal => life.stage < LifeStage::Leaving && life.started_ms > 0,
            Ordering::Greater => false,
        };
        self.leaving.clone().filter(|_| is_earlier)
    }
}
