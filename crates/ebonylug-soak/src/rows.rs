//! What the operator and the engines write to the store, and a store that comes back from an older copy.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, UNIX_EPOCH};

use ebonylug_adapter::standin::Fault as StoreFault;
use ebonylug_core::Name;
use ebonylug_dispatch::{Target, TargetState};

use crate::cluster::{Cluster, lock};
use crate::engine::COLD_TIME;
use crate::history::{Change, FaultScope, Read, RowState, RowWrite, now};

/// Time for which the store is away before it comes back from a copy.
const AWAY: Duration = Duration::from_millis(400);
/// Time after which the row of an engine that has exited is removed.
pub(crate) const ROW_REMOVAL_DELAY: Duration = Duration::from_millis(3_600);
/// Table of the engines.
const TABLE: &str = "servers";

/// The current rows of the operator and the engines, which they write again after a restore.
#[derive(Debug, Default)]
pub(crate) struct Rows {
    engines: BTreeMap<Name, (Target, RowState)>,
    /// The time until which each engine is cold that ever was, in milliseconds since the Unix epoch.
    cold_until: BTreeMap<Name, u64>,
    /// Engines that have exited and will start again.
    returning: BTreeSet<Name>,
    drained_zones: BTreeSet<Name>,
}

impl Rows {
    /// Returns the time for which an engine is still cold.
    fn cold_left(&self, name: &Name) -> Duration {
        let until = self.cold_until.get(name).copied().unwrap_or(0);
        Duration::from_millis(until.saturating_sub(now()))
    }
}

impl Cluster {
    /// Writes the row of an engine, or removes it, and records the version.
    pub(crate) fn write_row(&self, row: &Target, state: RowState) {
        // Held while writing, so that a row that is written again is the current one.
        let mut rows = lock(&self.rows);
        rows.engines.insert(row.name.clone(), (row.clone(), state));
        self.put_row(&rows, row, state);
    }

    /// Writes the row of an engine in its current state, unless it has exited or its row was removed. Returns whether
    /// the row says that the engine is cold.
    pub(crate) fn write_current_row(&self, name: &Name) -> bool {
        let rows = lock(&self.rows);
        let Some((row, state)) = rows.engines.get(name) else {
            return false;
        };
        match state {
            RowState::Serving | RowState::Leaving => {
                self.put_row(&rows, row, *state);
                !rows.cold_left(name).is_zero()
            }
            RowState::Removed | RowState::Exited => false,
        }
    }

    /// Removes the row of an engine that is silent and will write it again.
    pub(crate) fn expire_row(&self, name: &Name) {
        let rows = lock(&self.rows);
        if rows.engines.contains_key(name) {
            self.store.remove_target(name);
        }
    }

    fn put_row(&self, rows: &Rows, row: &Target, state: RowState) {
        let row = &Target {
            cold: rows.cold_left(&row.name),
            ..row.clone()
        };
        let version = match state {
            RowState::Serving => self.store.put_target(row),
            RowState::Leaving => self.store.put_target(&Target {
                state: TargetState::Leaving,
                ..row.clone()
            }),
            RowState::Removed | RowState::Exited => self.store.remove_target(&row.name),
        };
        lock(&self.history).row_writes.push(RowWrite {
            engine: row.name.to_string(),
            state,
            at: now(),
            version,
        });
    }

    /// Records that an engine has exited. Its row stays until it is removed.
    pub(crate) fn record_exit(&self, name: &Name) {
        if let Some((_, state)) = lock(&self.rows).engines.get_mut(name) {
            *state = RowState::Exited;
        }
    }

    /// Records that an engine is cold from now on.
    pub(crate) fn record_cold(&self, name: &Name) {
        let until = now() + u64::try_from(COLD_TIME.as_millis()).unwrap_or(0);
        lock(&self.rows).cold_until.insert(name.clone(), until);
    }

    /// Records that an engine runs again, cold. Its row is not written yet.
    pub(crate) fn record_restart(&self, row: &Target) {
        let mut rows = lock(&self.rows);
        rows.engines
            .insert(row.name.clone(), (row.clone(), RowState::Serving));
        drop(rows);
        self.record_cold(&row.name);
    }

    /// Marks an engine that will start again. Returns false if it is marked or does not serve.
    pub(crate) fn begin_return(&self, name: &Name) -> bool {
        let mut rows = lock(&self.rows);
        let serves = rows.engines.get(name);
        let serves = serves.is_some_and(|(_, state)| *state == RowState::Serving);
        serves && rows.returning.insert(name.clone())
    }

    pub(crate) fn end_return(&self, name: &Name) {
        lock(&self.rows).returning.remove(name);
    }

    /// Drains a zone, or restores it.
    pub(crate) fn set_drained(&self, zone: &Name, drained: bool) {
        let mut rows = lock(&self.rows);
        if drained {
            rows.drained_zones.insert(zone.clone());
            self.store.drain_zone(zone);
        } else {
            rows.drained_zones.remove(zone);
            self.store.restore_zone(zone);
        }
    }

    /// Takes the store away for a moment and brings it back with the rows that it has now, after this time. The
    /// number selects how the store is away, and the delays after which the operator and the engines write again.
    pub(crate) async fn restore_store(self: &Arc<Self>, number: usize, age: Duration) {
        let copy = self.store.copy();
        tokio::time::sleep(age).await;
        let outage = self.start_outage();
        let fault = match number % 3 {
            0 => StoreFault::Reset,
            1 => StoreFault::Unavailable,
            _ => StoreFault::Silence,
        };
        for (index, entry) in self.entries.iter().enumerate() {
            self.record_fault(FaultScope::Store(index), AWAY);
            entry.fault_switch.set(fault);
        }
        self.store.restore(&copy);
        let age = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        self.record_change(Change::StoreRestored { age });
        if fault != StoreFault::Silence {
            self.store.disconnect();
        }
        tokio::time::sleep(AWAY).await;
        drop(outage);
        for entry in &self.entries {
            entry.fault_switch.set(StoreFault::None);
        }
        self.write_again(number).await;
    }

    /// Takes the store away for this time. The rows of all engines expire meanwhile; those of engines that still run
    /// and have rows are written again, each after its own delay.
    pub(crate) async fn lapse_rows(self: &Arc<Self>, number: usize, duration: Duration) {
        let outage = self.start_outage();
        for (index, entry) in self.entries.iter().enumerate() {
            self.record_fault(FaultScope::Store(index), duration);
            entry.fault_switch.set(StoreFault::Unavailable);
        }
        self.store.disconnect();
        for name in lock(&self.rows).engines.keys() {
            self.store.remove_target(name);
        }
        self.record_change(Change::RowsExpired);
        tokio::time::sleep(duration).await;
        drop(outage);
        for entry in &self.entries {
            entry.fault_switch.set(StoreFault::None);
        }
        self.write_again(number).await;
    }

    /// Writes again what the operator and the engines wrote, each after its own delay.
    async fn write_again(self: &Arc<Self>, number: usize) {
        let delay = move |index: usize| {
            Duration::from_millis(50 + ((number + 1) * 97 + index * 131) as u64 % 900)
        };
        let names: Vec<Name> = lock(&self.rows).engines.keys().cloned().collect();
        let mut writes = tokio::task::JoinSet::new();
        let cluster = Arc::clone(self);
        writes.spawn(async move {
            tokio::time::sleep(delay(0)).await;
            cluster.publish();
            let zones = lock(&cluster.rows).drained_zones.clone();
            for zone in ["east", "west"].map(Name::new) {
                cluster.set_drained(&zone, zones.contains(&zone));
            }
        });
        for (index, name) in names.into_iter().enumerate() {
            let cluster = Arc::clone(self);
            writes.spawn(async move {
                tokio::time::sleep(delay(index + 1)).await;
                cluster.write_engine_again(&name).await;
            });
        }
        // A task that has panicked has printed the reason.
        while writes.join_next().await.is_some() {}
    }

    async fn write_engine_again(&self, name: &Name) {
        let current = || lock(&self.rows).engines.get(name).cloned();
        if let Some((_, RowState::Exited)) = current() {
            // The engine cannot write; its row expires if the copy has it.
            tokio::time::sleep(ROW_REMOVAL_DELAY).await;
        }
        if let Some((row, state)) = current() {
            self.write_row(&row, state);
        }
    }

    /// Moves the reads that the store has answered to the history.
    pub(crate) fn record_reads(&self) {
        for (index, entry) in self.entries.iter().enumerate() {
            let reads = entry.fault_switch.take_reads();
            let reads = reads.into_iter().filter(|read| *read.table == *TABLE);
            lock(&self.history).reads.extend(reads.map(|read| {
                let time = read.time.duration_since(UNIX_EPOCH).unwrap_or_default();
                Read {
                    entry: index,
                    at: u64::try_from(time.as_millis()).unwrap_or(u64::MAX),
                    after: read.after,
                    version: read.version,
                }
            }));
        }
    }
}
