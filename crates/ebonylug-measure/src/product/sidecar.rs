use std::collections::BTreeMap;

use ebonylug_admission::{Action, Admission, Decision};
use ebonylug_core::{AttemptId, End, Gate, Incarnation, LoadReport, Revision, Revoked, Tokens};

use crate::engine::{Ended, EngineEvent, SECOND};
use crate::product::{Message, Tail, admission_settings};
use crate::world::{Core, Node, Path, job_of};

/// The shortest time between two reports on change.
const REPORT_PAUSE: u64 = 50_000;
/// The change of work or limit, as a part of the limit, that is worth a report. The rule is that
/// of the control path.
const SIGNIFICANT: f64 = 0.25;
/// The longest time between two reports.
const REPORT_EVERY: u64 = SECOND;
/// The lag of the engine's own report.
const ENGINE_LAG: u64 = SECOND / 2;
/// Time that a finished answer is retained.
const RETENTION: u64 = 30 * SECOND;
/// The interval of keep-alive frames.
const KEEP_ALIVE: u64 = SECOND;

/// The sidecar beside one target.
pub(super) struct Sidecar {
    target: usize,
    incarnation: Incarnation,
    admission: Admission,
    running: BTreeMap<AttemptId, Running>,
    ended: BTreeMap<AttemptId, (u64, Tail)>,
    reported: u64,
    last: Option<LoadReport>,
    due: bool,
    /// Reports that were made.
    pub(super) reports: u64,
    alive: u64,
    engine: Vec<(u64, ebonylug_core::EngineReport)>,
}

struct Running {
    entry: usize,
    told: u64,
}

impl Sidecar {
    pub(super) fn new(
        core: &Core<Message>,
        target: usize,
        incarnation: Incarnation,
        revision: Revision,
    ) -> Self {
        let kind = core.deployment.targets[target].kind;
        let settings = admission_settings(kind, incarnation);
        let mut admission = Admission::new(settings, core.instant());
        admission.set_revision(revision);
        Sidecar {
            target,
            incarnation,
            admission,
            running: BTreeMap::new(),
            ended: BTreeMap::new(),
            reported: 0,
            last: None,
            due: false,
            reports: 0,
            alive: 0,
            engine: Vec::new(),
        }
    }

    /// Cancels what runs, since the next life of the sidecar does not know it.
    pub(super) fn die(&mut self, core: &mut Core<Message>) {
        for attempt in std::mem::take(&mut self.running).into_keys() {
            core.cancel(self.target, job_of(attempt), attempt, false);
        }
    }

    /// Returns the state that entries would see now.
    pub(super) fn load(&self, core: &Core<Message>) -> LoadReport {
        self.admission.report(core.instant())
    }

    pub(super) fn up(&mut self, core: &mut Core<Message>) {
        self.engine.clear();
        self.admission.target_up(core.instant());
        self.report(core);
    }

    pub(super) fn down(&mut self, core: &mut Core<Message>, lost: &[Ended]) {
        self.admission.target_down(core.instant());
        for ended in lost {
            self.tail(core, ended.attempt, End::Crashed, false, ended.produced);
        }
        let crashes = Box::new(self.admission.crashes().clone());
        self.tell_entries(core, &Message::Crashes(crashes));
        self.report(core);
    }

    pub(super) fn receive(&mut self, core: &mut Core<Message>, message: Message) {
        match message {
            Message::Offer(entry, offer) => self.offer(core, entry, offer),
            Message::Revoke(entry, attempt, incarnation) => {
                self.revoke(core, entry, attempt, incarnation);
            }
            Message::Crashes(crashes) => {
                self.admission.merge_crashes(&crashes);
            }
            Message::Configure(revision, zone, drained) => {
                self.admission.set_revision(revision);
                if zone == core.zone(Node::Target(self.target)) {
                    let gate = if drained {
                        Gate::ZoneClosed
                    } else {
                        Gate::Open
                    };
                    self.admission.set_gate(gate);
                }
                self.changed(core);
            }
            Message::ReportDue => {
                self.due = false;
                self.report(core);
            }
            _ => {}
        }
    }

    pub(super) fn engine(&mut self, core: &mut Core<Message>, event: EngineEvent) {
        match event {
            EngineEvent::FirstToken(attempt) => {
                self.admission.first_token(core.instant(), attempt);
                if let Some(running) = self.running.get(&attempt) {
                    self.send(core, running.entry, Message::First(attempt));
                }
            }
            EngineEvent::Done(ended) => {
                self.finish(core, &ended, End::Answered, false);
            }
            EngineEvent::Crashed => {}
        }
        self.changed(core);
    }

    pub(super) fn tick(&mut self, core: &mut Core<Message>) {
        self.progress(core);
        self.read_engine(core);
        self.act(core);
        let oldest = core.now.saturating_sub(RETENTION);
        self.ended.retain(|_, (at, _)| *at >= oldest);
        if core.now >= self.alive + KEEP_ALIVE {
            self.alive = core.now;
            self.keep_alive(core);
        }
        if core.now >= self.reported + REPORT_EVERY {
            self.report(core);
        }
    }

    fn keep_alive(&self, core: &mut Core<Message>) {
        for entry in 0..core.deployment.entries {
            let own = |(attempt, running): (&AttemptId, &Running)| {
                (running.entry == entry).then_some(*attempt)
            };
            let attempts: Vec<AttemptId> = self.running.iter().filter_map(own).collect();
            if !attempts.is_empty() {
                self.send(core, entry, Message::Alive(attempts));
            }
        }
    }

    fn offer(&mut self, core: &mut Core<Message>, entry: usize, offer: ebonylug_core::Offer) {
        let attempt = offer.attempt;
        let (offset, urgent) = (offer.offset, offer.tier.is_interactive());
        core.advance(self.target);
        match self.admission.offer(core.instant(), offer) {
            Decision::Admit { preempt } => {
                for victim in preempt {
                    self.preempt(core, victim);
                }
                self.running.insert(attempt, Running { entry, told: 0 });
                core.start(self.target, job_of(attempt), attempt, offset);
                self.send(core, entry, Message::Began(attempt));
            }
            Decision::Join => {}
            Decision::Refuse(refusal) => {
                if urgent {
                    self.act(core);
                }
                let report = self.admission.report(core.instant());
                self.send(core, entry, Message::Refused(attempt, refusal, report));
            }
        }
        self.changed(core);
    }

    fn revoke(
        &mut self,
        core: &mut Core<Message>,
        entry: usize,
        attempt: AttemptId,
        incarnation: Incarnation,
    ) {
        let revoked = self.admission.revoke(core.instant(), attempt, incarnation);
        let to = Node::Entry(entry);
        let from = Node::Target(self.target);
        core.send(from, to, Path::Control, Message::Revoked(attempt, revoked));
        if revoked == Revoked::Finished {
            let gone = Tail {
                end: End::Failed,
                preempted: false,
                produced: 0,
            };
            let tail = self.ended.get(&attempt).map_or(gone, |(_, tail)| *tail);
            core.send(from, to, Path::Control, Message::Tail(attempt, tail));
        }
    }

    /// Does what the admission asks for without an offer.
    fn act(&mut self, core: &mut Core<Message>) {
        for action in self.admission.tick(core.instant()) {
            if let Action::Preempt(victim) = action {
                self.preempt(core, victim);
            }
        }
    }

    fn preempt(&mut self, core: &mut Core<Message>, victim: AttemptId) {
        if let Some(ended) = core.cancel(self.target, job_of(victim), victim, true) {
            self.finish(core, &ended, End::Cancelled, true);
        }
    }

    fn finish(&mut self, core: &mut Core<Message>, ended: &Ended, end: End, preempted: bool) {
        let now = core.instant();
        let told = self.running.get(&ended.attempt).map_or(0, |r| r.told);
        let rest = ended.produced.saturating_sub(told);
        if rest > 0 {
            self.admission.progress(now, ended.attempt, Tokens(rest));
        }
        self.admission.finish(now, ended.attempt, end);
        self.tail(core, ended.attempt, end, preempted, ended.produced);
    }

    fn tail(
        &mut self,
        core: &mut Core<Message>,
        attempt: AttemptId,
        end: End,
        preempted: bool,
        produced: u64,
    ) {
        let tail = Tail {
            end,
            preempted,
            produced,
        };
        self.ended.insert(attempt, (core.now, tail));
        if let Some(running) = self.running.remove(&attempt) {
            self.send(core, running.entry, Message::Tail(attempt, tail));
        }
    }

    fn progress(&mut self, core: &mut Core<Message>) {
        let now = core.instant();
        for (attempt, tokens) in core.engines[self.target].progress() {
            if let Some(running) = self.running.get_mut(&attempt) {
                running.told += tokens;
                self.admission.progress(now, attempt, Tokens(tokens));
            }
        }
    }

    /// Takes over what the engine told half a second ago.
    fn read_engine(&mut self, core: &mut Core<Message>) {
        let engine = &core.engines[self.target];
        if !engine.is_up() {
            return;
        }
        self.engine.push((core.now, engine.report()));
        let ready = self
            .engine
            .iter()
            .take_while(|(at, _)| at + ENGINE_LAG <= core.now)
            .count();
        if let Some((_, report)) = self.engine.drain(..ready).next_back() {
            self.admission.engine_report(core.instant(), report);
        }
    }

    /// Reports soon, since something has changed.
    fn changed(&mut self, core: &mut Core<Message>) {
        if !self.due && self.is_outdated(core) {
            self.due = true;
            let at = self.reported + REPORT_PAUSE;
            core.timer(at, Node::Target(self.target), Message::ReportDue);
        }
    }

    /// Reports whether the entries should hear of the present state before the next heartbeat.
    fn is_outdated(&self, core: &Core<Message>) -> bool {
        let now = self.load(core);
        let Some(last) = &self.last else {
            return true;
        };
        let state = |r: &LoadReport| (r.incarnation, r.revision, r.gate, r.up, r.cold);
        let bound = now.limit.as_f64() * SIGNIFICANT;
        let moved = |a: Tokens, b: Tokens| (a.as_f64() - b.as_f64()).abs() > bound;
        state(last) != state(&now) || moved(last.limit, now.limit) || moved(last.used, now.used)
    }

    fn report(&mut self, core: &mut Core<Message>) {
        self.reported = core.now;
        self.reports += 1;
        let report = self.load(core);
        debug_assert_eq!(report.incarnation, self.incarnation);
        self.last = Some(report.clone());
        self.tell_entries(core, &Message::Report(self.target, report));
    }

    fn tell_entries(&self, core: &mut Core<Message>, message: &Message) {
        for entry in 0..core.deployment.entries {
            let (from, to) = (Node::Target(self.target), Node::Entry(entry));
            core.send(from, to, Path::Control, message.clone());
        }
    }

    fn send(&self, core: &mut Core<Message>, entry: usize, message: Message) {
        let (from, to) = (Node::Target(self.target), Node::Entry(entry));
        core.send(from, to, Path::Data, message);
    }
}
