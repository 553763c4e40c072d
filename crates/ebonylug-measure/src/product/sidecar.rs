use std::collections::BTreeMap;

use ebonylug_admission::{Action, Admission, Decision};
use ebonylug_core::{
    AttemptId, End, Gate, Incarnation, LoadReport, Revision, RevokeOutcome, Tokens,
};

use crate::engine::{EndedAttempt, EngineEvent, SECOND};
use crate::product::{AttemptEnd, Message, admission_settings};
use crate::simulation::{Node, Path, Simulation, job_of};

/// Minimum time between two reports on change.
const MIN_REPORT_INTERVAL_US: u64 = 50_000;
/// Change of the load or the limit, as a fraction of the limit, that triggers a report. The control
/// path uses the same rule.
const SIGNIFICANT_CHANGE: f64 = 0.25;
/// Maximum time between two reports.
const MAX_REPORT_INTERVAL_US: u64 = SECOND;
/// Delay of the engine's own statistics.
const ENGINE_LAG_US: u64 = SECOND / 2;
/// Time for which the end of an attempt is retained.
const RETENTION_US: u64 = 30 * SECOND;
/// Interval between keep-alive frames.
const KEEP_ALIVE_INTERVAL_US: u64 = SECOND;

/// The sidecar of one target.
pub(super) struct Sidecar {
    target: usize,
    incarnation: Incarnation,
    admission: Admission,
    running: BTreeMap<AttemptId, RunningAttempt>,
    /// Time and kind of the end of each attempt that is still retained.
    finished: BTreeMap<AttemptId, (u64, AttemptEnd)>,
    reported_at: u64,
    last_report: Option<LoadReport>,
    report_pending: bool,
    /// Number of reports sent.
    pub(super) report_count: u64,
    last_keep_alive: u64,
    /// Engine statistics, with their times, that are not yet passed to the admission controller.
    engine_reports: Vec<(u64, ebonylug_core::EngineReport)>,
}

struct RunningAttempt {
    entry: usize,
    /// Output tokens passed to the admission controller.
    reported: u64,
}

impl Sidecar {
    pub(super) fn new(
        sim: &Simulation<Message>,
        target: usize,
        incarnation: Incarnation,
        revision: Revision,
    ) -> Self {
        let kind = sim.deployment.targets[target].kind;
        let settings = admission_settings(kind, incarnation);
        let mut admission = Admission::new(settings, sim.instant());
        admission.set_revision(revision);
        Sidecar {
            target,
            incarnation,
            admission,
            running: BTreeMap::new(),
            finished: BTreeMap::new(),
            reported_at: 0,
            last_report: None,
            report_pending: false,
            report_count: 0,
            last_keep_alive: 0,
            engine_reports: Vec::new(),
        }
    }

    /// Cancels the running attempts, since the next incarnation of the sidecar has no record of
    /// them.
    pub(super) fn stop(&mut self, sim: &mut Simulation<Message>) {
        for attempt in std::mem::take(&mut self.running).into_keys() {
            sim.cancel(self.target, job_of(attempt), attempt, false);
        }
    }

    /// Returns the load report that entries would receive now.
    pub(super) fn load_report(&self, sim: &Simulation<Message>) -> LoadReport {
        self.admission.report(sim.instant())
    }

    pub(super) fn target_up(&mut self, sim: &mut Simulation<Message>) {
        self.engine_reports.clear();
        self.admission.target_up(sim.instant());
        self.report(sim);
    }

    pub(super) fn target_down(&mut self, sim: &mut Simulation<Message>, lost: &[EndedAttempt]) {
        self.admission.target_down(sim.instant());
        for ended in lost {
            self.end_attempt(sim, ended.attempt, End::Crashed, false, ended.produced);
        }
        let crashes = Box::new(self.admission.crashes().clone());
        self.broadcast(sim, &Message::Crashes(crashes));
        self.report(sim);
    }

    pub(super) fn receive(&mut self, sim: &mut Simulation<Message>, message: Message) {
        match message {
            Message::Offer(entry, offer) => self.offer(sim, entry, offer),
            Message::Revoke(entry, attempt, incarnation) => {
                self.revoke(sim, entry, attempt, incarnation);
            }
            Message::Crashes(crashes) => {
                self.admission.merge_crashes(&crashes);
            }
            Message::Configure(revision, zone, drained) => {
                self.admission.set_revision(revision);
                if zone == sim.zone(Node::Target(self.target)) {
                    let gate = if drained {
                        Gate::ZoneClosed
                    } else {
                        Gate::Open
                    };
                    self.admission.set_gate(gate);
                }
                self.schedule_report(sim);
            }
            Message::ReportDue => {
                self.report_pending = false;
                self.report(sim);
            }
            _ => {}
        }
    }

    pub(super) fn on_engine_event(&mut self, sim: &mut Simulation<Message>, event: EngineEvent) {
        match event {
            EngineEvent::FirstToken(attempt) => {
                self.admission.first_token(sim.instant(), attempt);
                if let Some(running) = self.running.get(&attempt) {
                    self.send(sim, running.entry, Message::FirstToken(attempt));
                }
            }
            EngineEvent::Done(ended) => {
                self.finish(sim, &ended, End::Answered, false);
            }
            EngineEvent::Crashed => {}
        }
        self.schedule_report(sim);
    }

    pub(super) fn tick(&mut self, sim: &mut Simulation<Message>) {
        self.progress(sim);
        self.apply_engine_report(sim);
        self.apply_actions(sim);
        let oldest = sim.now.saturating_sub(RETENTION_US);
        self.finished.retain(|_, (at, _)| *at >= oldest);
        if sim.now >= self.last_keep_alive + KEEP_ALIVE_INTERVAL_US {
            self.last_keep_alive = sim.now;
            self.keep_alive(sim);
        }
        if sim.now >= self.reported_at + MAX_REPORT_INTERVAL_US {
            self.report(sim);
        }
    }

    fn keep_alive(&self, sim: &mut Simulation<Message>) {
        for entry in 0..sim.deployment.entries {
            let own = |(attempt, running): (&AttemptId, &RunningAttempt)| {
                (running.entry == entry).then_some(*attempt)
            };
            let attempts: Vec<AttemptId> = self.running.iter().filter_map(own).collect();
            if !attempts.is_empty() {
                self.send(sim, entry, Message::KeepAlive(attempts));
            }
        }
    }

    fn offer(&mut self, sim: &mut Simulation<Message>, entry: usize, offer: ebonylug_core::Offer) {
        let attempt = offer.attempt;
        let (offset, interactive) = (offer.offset, offer.tier.is_interactive());
        sim.advance(self.target);
        match self.admission.offer(sim.instant(), offer) {
            Decision::Admit { preempt } => {
                for victim in preempt {
                    self.preempt(sim, victim);
                }
                self.running
                    .insert(attempt, RunningAttempt { entry, reported: 0 });
                sim.start(self.target, job_of(attempt), attempt, offset);
                self.send(sim, entry, Message::Started(attempt));
            }
            // The attempt was admitted earlier and never runs again.
            Decision::Join => {}
            Decision::Refuse(refusal) => {
                if interactive {
                    self.apply_actions(sim);
                }
                let report = self.admission.report(sim.instant());
                self.send(sim, entry, Message::Refused(attempt, refusal, report));
            }
        }
        self.schedule_report(sim);
    }

    fn revoke(
        &mut self,
        sim: &mut Simulation<Message>,
        entry: usize,
        attempt: AttemptId,
        incarnation: Incarnation,
    ) {
        let revoked = self.admission.revoke(sim.instant(), attempt, incarnation);
        let to = Node::Entry(entry);
        let from = Node::Target(self.target);
        sim.send(from, to, Path::Control, Message::Revoked(attempt, revoked));
        if revoked == RevokeOutcome::Finished {
            let not_retained = AttemptEnd {
                end: End::Failed,
                preempted: false,
                produced: 0,
            };
            let end = self
                .finished
                .get(&attempt)
                .map_or(not_retained, |(_, end)| *end);
            sim.send(from, to, Path::Control, Message::Ended(attempt, end));
        }
    }

    /// Applies the actions of the admission controller that no offer triggers.
    fn apply_actions(&mut self, sim: &mut Simulation<Message>) {
        for action in self.admission.tick(sim.instant()) {
            if let Action::Preempt(victim) = action {
                self.preempt(sim, victim);
            }
        }
    }

    fn preempt(&mut self, sim: &mut Simulation<Message>, victim: AttemptId) {
        if let Some(ended) = sim.cancel(self.target, job_of(victim), victim, true) {
            self.finish(sim, &ended, End::Cancelled, true);
        }
    }

    fn finish(
        &mut self,
        sim: &mut Simulation<Message>,
        ended: &EndedAttempt,
        end: End,
        preempted: bool,
    ) {
        let now = sim.instant();
        let reported = self.running.get(&ended.attempt).map_or(0, |r| r.reported);
        let unreported = ended.produced.saturating_sub(reported);
        if unreported > 0 {
            self.admission
                .progress(now, ended.attempt, Tokens(unreported));
        }
        self.admission.finish(now, ended.attempt, end);
        self.end_attempt(sim, ended.attempt, end, preempted, ended.produced);
    }

    fn end_attempt(
        &mut self,
        sim: &mut Simulation<Message>,
        attempt: AttemptId,
        end: End,
        preempted: bool,
        produced: u64,
    ) {
        let end = AttemptEnd {
            end,
            preempted,
            produced,
        };
        self.finished.insert(attempt, (sim.now, end));
        if let Some(running) = self.running.remove(&attempt) {
            self.send(sim, running.entry, Message::Ended(attempt, end));
        }
    }

    fn progress(&mut self, sim: &mut Simulation<Message>) {
        let now = sim.instant();
        for (attempt, tokens) in sim.engines[self.target].progress() {
            if let Some(running) = self.running.get_mut(&attempt) {
                running.reported += tokens;
                self.admission.progress(now, attempt, Tokens(tokens));
            }
        }
    }

    /// Passes the engine statistics of half a second ago to the admission controller.
    fn apply_engine_report(&mut self, sim: &mut Simulation<Message>) {
        let engine = &sim.engines[self.target];
        if !engine.is_up() {
            return;
        }
        self.engine_reports.push((sim.now, engine.report()));
        let ready = self
            .engine_reports
            .iter()
            .take_while(|(at, _)| at + ENGINE_LAG_US <= sim.now)
            .count();
        if let Some((_, report)) = self.engine_reports.drain(..ready).next_back() {
            self.admission.engine_report(sim.instant(), report);
        }
    }

    /// Schedules a report if the load has changed significantly.
    fn schedule_report(&mut self, sim: &mut Simulation<Message>) {
        if !self.report_pending && self.has_significant_change(sim) {
            self.report_pending = true;
            let at = self.reported_at + MIN_REPORT_INTERVAL_US;
            sim.set_timer(at, Node::Target(self.target), Message::ReportDue);
        }
    }

    /// Reports whether the load differs enough from the last report to send one before the next
    /// heartbeat.
    fn has_significant_change(&self, sim: &Simulation<Message>) -> bool {
        let now = self.load_report(sim);
        let Some(last) = &self.last_report else {
            return true;
        };
        let state = |r: &LoadReport| (r.incarnation, r.revision, r.gate, r.up, r.cold);
        let threshold = now.limit.as_f64() * SIGNIFICANT_CHANGE;
        let differs = |a: Tokens, b: Tokens| (a.as_f64() - b.as_f64()).abs() > threshold;
        state(last) != state(&now) || differs(last.limit, now.limit) || differs(last.used, now.used)
    }

    fn report(&mut self, sim: &mut Simulation<Message>) {
        self.reported_at = sim.now;
        self.report_count += 1;
        let report = self.load_report(sim);
        debug_assert_eq!(report.incarnation, self.incarnation);
        self.last_report = Some(report.clone());
        self.broadcast(sim, &Message::Report(self.target, report));
    }

    fn broadcast(&self, sim: &mut Simulation<Message>, message: &Message) {
        for entry in 0..sim.deployment.entries {
            let (from, to) = (Node::Target(self.target), Node::Entry(entry));
            sim.send(from, to, Path::Control, message.clone());
        }
    }

    fn send(&self, sim: &mut Simulation<Message>, entry: usize, message: Message) {
        let (from, to) = (Node::Target(self.target), Node::Entry(entry));
        sim.send(from, to, Path::Data, message);
    }
}
