//! What an entry tells the other entries, and what it learns from them.

use std::rc::Rc;
use std::time::Duration;

use ebonylug_admission::CrashLog;
use ebonylug_core::Name;
use ebonylug_dispatch::{Gossip, TableKind, TableStamp, TableState};
use smallvec::SmallVec;

use crate::entry::{Entry, millis};
use crate::follow::ReadState;
use crate::peers::Content;

impl Entry {
    pub(crate) fn age(&self) -> Duration {
        self.clock.now().saturating_duration_since(self.started)
    }

    /// Creates the next message to the other entries. [`Content::Quotas`] has the usage that changed within
    /// `span`, [`Content::Paces`] all usage. `duties` adds the counts for duties. Reports of targets are those
    /// of the last `reports`.
    pub(crate) fn next_gossip(
        &self,
        content: Content,
        span: Duration,
        duties: bool,
        reports: Duration,
    ) -> Gossip {
        self.record_work();
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        state.sequence += 1;
        let loads = state.scheduler.local_loads().collect();
        let (moves, evidence) = state.moves.status(self.uptime.uptime());
        Gossip {
            entry: self.name.as_str().into(),
            zone: self.zone.as_str().into(),
            boot: self.boot,
            sequence: state.sequence,
            config: state.config_version(),
            interval: 0,
            tables: self.table_state(),
            sent: millis(self.uptime.uptime()),
            confirmed: state.freshness.confirmed().map(millis),
            // The other entries count this entry's quota usage until its last request has completed.
            leaving: self.stopped.get(),
            entries: u32::try_from(state.peers.own_count()).unwrap_or(u32::MAX),
            age: u32::try_from(self.age().as_millis()).unwrap_or(u32::MAX),
            usage: match content {
                Content::Loads => Vec::new(),
                Content::Quotas => state.quotas.usage(now.checked_sub(span)).collect(),
                Content::Paces | Content::Everything => state.quotas.usage(None).collect(),
            },
            loads,
            waiting: state.scheduler.local_waiting(),
            paces: match content {
                Content::Loads | Content::Quotas => Vec::new(),
                Content::Paces | Content::Everything => state.scheduler.local_paces(now).collect(),
            },
            reports: state.scheduler.local_reports(now, reports).collect(),
            limits: match content {
                Content::Loads => Vec::new(),
                _ => state.scheduler.local_limits(now).collect(),
            },
            // The message that a target is healthy again must not arrive before the one that it may be cold.
            cold: state.scheduler.local_cold(now).collect(),
            warm: state.scheduler.local_warm(now).collect(),
            heard: state.scheduler.local_heard(now).collect(),
            moves,
            evidence,
            crashes: match content {
                Content::Loads => CrashLog::new(),
                Content::Quotas | Content::Paces => state.crashes.recent_changes(now, span),
                Content::Everything => state.crashes.log().clone(),
            },
            duties: match content {
                Content::Loads if !duties => None,
                _ => self.duty_note(duties),
            },
        }
    }

    /// Applies a message of another entry. Returns whether that entry was unknown before.
    pub(crate) fn handle_message(self: &Rc<Self>, mut gossip: Gossip) -> bool {
        self.record_work();
        let now = self.clock.now();
        let own_age = self.age();
        let mut state = self.state.borrow_mut();
        state.moves.merge(&gossip.moves, &gossip.evidence);
        if state.crashes.merge(&gossip.crashes) {
            tracing::info!(part = "crashes", peer = %gossip.entry, "crash records received");
        }
        state.scheduler.merge_heard(now, &gossip.heard);
        state.scheduler.merge_cold(now, &gossip.cold);
        // What a newer message may have changed counts only in the order in which it was sent.
        let sender = gossip.entry.clone();
        let limits = std::mem::take(&mut gossip.limits);
        let reports = std::mem::take(&mut gossip.reports);
        let usage = gossip.usage.clone();
        let warm = std::mem::take(&mut gossip.warm);
        state.row_age.record(now, gossip.tables.targets.version);
        self.receive_duties(&gossip);
        let tables = gossip.tables;
        let Some(update) = state.peers.receive(now, self.uptime.uptime(), gossip) else {
            return false;
        };
        for target in state.scheduler.merge_limits(now, &limits, update.delay) {
            state.log_limit(target, Some(&*sender));
        }
        state.quotas.adopt_levels(now, update.age, &usage);
        state.scheduler.merge_reports(now, &reports, update.delay);
        if let Some(delay) = update.delay {
            state.scheduler.merge_warm(now, &warm, delay);
        }
        let version = state.config_version();
        if let Some((confirmed, time)) = update.confirmed
            && confirmed <= version
        {
            state.confirm_config(own_age, time);
        }
        for (organisation, tokens) in update.used {
            state.quotas.record_remote_usage(organisation, tokens);
        }
        for (organisation, tokens) in update.first_used {
            let quotas = &mut state.quotas;
            quotas.record_first_usage(now, update.age, organisation, tokens);
        }
        state.mark_peers_changed();
        drop(state);
        let own = self.tables.get().targets;
        if let Some(delay) = update.delay
            && tables.reads_targets
            && !own.is_replaced_by(tables.targets)
        {
            self.confirm_message(self.uptime.uptime().saturating_sub(delay));
        }
        if update.tables_changed {
            self.table_news.notify_waiters();
        }
        self.dispatch_waiting();
        update.joined
    }

    /// Records the rows of a table that this entry has, for its messages to the other entries.
    pub(crate) fn set_table_stamp(&self, table: TableKind, stamp: TableStamp) {
        self.record_work();
        if table == TableKind::Targets {
            let now = self.clock.now();
            self.state.borrow_mut().row_age.record(now, stamp.version);
        }
        let mut tables = self.tables.get();
        *tables.stamp_mut(table) = stamp;
        self.tables.set(tables);
    }

    /// Returns the stamp of the rows that this entry has. They are known up to `version`, which may be
    /// later than their last change.
    fn table_stamp(&self, table: TableKind, version: u64) -> TableStamp {
        TableStamp {
            version,
            ..self.tables.get().stamp(table)
        }
    }

    /// Records whether this entry reads a table itself.
    pub(crate) fn set_read_state(&self, table: TableKind, state: ReadState) {
        let mut all = self.reads.get();
        all[table as usize] = state;
        self.reads.set(all);
    }

    /// Reports whether the store did not answer the last read of a table.
    pub(crate) fn is_failing(&self, table: TableKind) -> bool {
        self.reads.get()[table as usize] == ReadState::Failing
    }

    /// Returns what this entry knows of the platform's tables.
    pub(crate) fn table_state(&self) -> TableState {
        let reading = self.reads.get()[TableKind::Targets as usize] == ReadState::Reading;
        TableState {
            failing: self.reads.get().contains(&ReadState::Failing),
            reads_targets: reading && !self.suspensions.get().is_outdated(),
            ..self.tables.get()
        }
    }

    /// Reports whether this entry is one of those that call the store for its availability zone.
    #[must_use]
    pub fn is_reader(&self) -> bool {
        let now = self.clock.now();
        let state = self.state.borrow();
        let failing = self.table_state().failing;
        state.peers.is_reader(now, &self.name, &self.zone, failing)
    }

    /// Returns the entries that have other rows of a table than this one, which knows it up to `version`,
    /// at a later version. Those of this zone come first.
    pub(crate) fn peers_with_newer(&self, table: TableKind, version: u64) -> SmallVec<[Name; 4]> {
        let now = self.clock.now();
        let own = self.table_stamp(table, version);
        let state = self.state.borrow();
        state.peers.with_newer_table(now, table, own, &self.zone)
    }

    /// Reports whether another entry has other rows of a table than this one, which knows it up to
    /// `version`, at a later version.
    pub(crate) fn is_outdated(&self, table: TableKind, version: u64) -> bool {
        let now = self.clock.now();
        let own = self.table_stamp(table, version);
        self.state.borrow().peers.has_newer_table(now, table, own)
    }

    /// Waits until another entry may have a newer table, or the readers may have changed.
    pub(crate) async fn table_news(&self) {
        /// Interval at which entries that are no longer reachable are noticed.
        const CHECK_INTERVAL: Duration = Duration::from_millis(100);
        let _ = tokio::time::timeout(CHECK_INTERVAL, self.table_news.notified()).await;
    }

    /// Returns the number of reachable entries, including this one.
    #[must_use]
    pub fn reachable_entries(&self) -> usize {
        let now = self.clock.now();
        self.state.borrow().peers.counts(now).reachable
    }

    /// Returns the other reachable entries, ordered by the time at which their configuration was last
    /// confirmed, most recent first.
    pub(crate) fn reachable_peers(&self) -> Vec<Name> {
        self.state
            .borrow()
            .peers
            .reachable_entries(self.clock.now())
    }

    /// Adds an entry that the platform's table lists.
    pub(crate) fn add_listed_peer(&self, name: Name) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        state.peers.add_listed(now, name);
        state.mark_peers_changed();
    }

    /// Records that all entries of a list were added. `counted` is whether it was the platform's list.
    pub(crate) fn set_peers_listed(&self, counted: bool) {
        let mut state = self.state.borrow_mut();
        state.peers.set_listed();
        if counted {
            state.peers.set_counted();
        }
        state.mark_peers_changed();
    }
}
