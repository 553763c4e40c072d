//! What an entry shows to operators and to whoever collects metrics.

use ebonylug_dispatch::Overview;

use crate::entry::{Entry, millis};
use crate::instruments::Levels;

impl Entry {
    /// Counts a call of the store: `read` or `write`, with its outcome.
    pub fn count_store_call(&self, table: &'static str, call: &'static str, outcome: &'static str) {
        let uptime = self.uptime.uptime();
        self.instruments.called(uptime, table, call, outcome);
    }

    /// Returns what is in force.
    #[must_use]
    pub fn overview(&self) -> Overview {
        let now = self.clock.now();
        let ready = self.is_ready();
        let mut state = self.state.borrow_mut();
        state.refresh(now);
        let standing = state.peers.counts(now);
        let drained = state.scheduler.drained().iter();
        Overview {
            entry: self.name.as_str().into(),
            zone: self.zone.as_str().into(),
            ready,
            config: state.config.as_ref().map_or(0, |config| config.version),
            config_age: state.freshness.age(self.uptime.uptime()).map(millis),
            reachable: standing.reachable,
            known: standing.known,
            waiting: state.scheduler.waiting(),
            active: self.active.get(),
            drained: drained.map(|zone| zone.as_str().into()).collect(),
            targets: state.scheduler.overview(now),
            moves: state.moves.news(self.uptime.uptime()).0,
            quarantined: state.crashes.log().quarantined().collect(),
        }
    }

    /// Writes all metrics in the text format. `dropped` is the number of log lines that were dropped.
    #[must_use]
    pub fn metrics(&self, dropped: usize) -> String {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        state.refresh(now);
        let standing = state.peers.counts(now);
        let levels = Levels {
            uptime: self.uptime.uptime(),
            services: state.scheduler.service_loads(),
            waiting: state.scheduler.waiting(),
            active: self.active.get(),
            config_version: state.config.as_ref().map_or(0, |config| config.version),
            config_age: state.freshness.age(self.uptime.uptime()),
            heard: standing.reachable,
            known: standing.known,
            dropped,
        };
        drop(state);
        self.instruments.render(&levels)
    }
}
