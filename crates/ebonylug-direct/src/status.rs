//! The state and metrics that an entry exposes to operators.

use ebonylug_dispatch::Overview;

use crate::entry::{Entry, millis};
use crate::instruments::GaugeValues;

impl Entry {
    /// Counts a call to the store. `call` is `read` or `write`.
    pub fn count_store_call(&self, table: &'static str, call: &'static str, outcome: &'static str) {
        let uptime = self.uptime.uptime();
        self.instruments
            .count_store_call(uptime, table, call, outcome);
    }

    /// Returns the latest version of the store at which this entry or another one knows a table.
    #[must_use]
    pub fn latest_table_version(&self) -> u64 {
        let others = self.state.borrow().peers.latest_table_version();
        self.table_state().latest_version().max(others)
    }

    /// Returns the entry's current state for operators.
    #[must_use]
    pub fn overview(&self) -> Overview {
        let now = self.clock.now();
        let ready = self.is_ready();
        let mut state = self.state.borrow_mut();
        state.refresh_peer_loads(now);
        let counts = state.peers.counts(now);
        let drained = state.scheduler.drained().iter();
        Overview {
            entry: self.name.as_str().into(),
            zone: self.zone.as_str().into(),
            ready,
            config: state.config_version(),
            config_age: state.freshness.age(self.uptime.uptime()).map(millis),
            tables: self.table_state(),
            reachable: counts.reachable,
            known: counts.known,
            waiting: state.scheduler.waiting(),
            active: self.active.get(),
            drained: drained.map(|zone| zone.as_str().into()).collect(),
            targets: state.scheduler.overview(now),
            moves: state.moves.status(self.uptime.uptime()).0,
            quarantined: state.crashes.log().quarantined().collect(),
            duties: self.duty_overview(),
        }
    }

    /// Renders all metrics in the Prometheus text format. `dropped` is the number of dropped log lines.
    #[must_use]
    pub fn metrics(&self, dropped: usize) -> String {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        state.refresh_peer_loads(now);
        let counts = state.peers.counts(now);
        let values = GaugeValues {
            uptime: self.uptime.uptime(),
            services: state.scheduler.service_loads(),
            reports: state.scheduler.report_sums(now),
            waiting: state.scheduler.waiting(),
            active: self.active.get(),
            config_version: state.config_version(),
            config_age: state.freshness.age(self.uptime.uptime()),
            tables: self.table_state(),
            reachable: counts.reachable,
            known: counts.known,
            dropped,
            duties: self.duty_overview(),
            bodies: self.memory.bodies(),
            rows: self.memory.rows(),
            waiting_answers: self.memory.waiting(),
        };
        drop(state);
        self.instruments.render(&values)
    }
}
