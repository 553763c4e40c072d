//! Drives the admission and a naive model with the same random events, and compares them after
//! each step. Guards against attempts that run twice or after a "not run", against overload, and
//! against urgent work that is refused while batch work runs.

mod support;

use std::collections::{BTreeMap, HashSet};
use std::time::{Duration, Instant};

use ebonylug_admission::{Action, Admission, Decision, Settings, Verdict};
use ebonylug_core::{
    AttemptId, End, EngineReport, Fence, Fingerprint, Gate, Incarnation, LoadReport, Offer, Reason,
    Repeat, RequestId, Revision, Revoked, Tier, Tokens,
};
use proptest::prelude::*;
use support::{INCARNATION, offer, reason};

const COLD_LIMIT: u64 = 400;
const RETENTION: Duration = Duration::from_secs(60);
const RESERVATION: Duration = Duration::from_secs(1);
const MAX_ATTEMPTS: usize = 48;
const MAX_TOMBSTONES: usize = 4;
/// A target above its capacity takes this many times as long for a first token.
const OVERLOAD: u32 = 10;

#[derive(Clone, Debug)]
enum Event {
    /// A new request; a delayed one arrives with a later `Copy`, or never.
    New {
        tier: Tier,
        cost: u64,
        once: bool,
        content: u64,
        defect: u8,
        delayed: bool,
    },
    Copy(usize),
    Retry(usize),
    Revoke(usize, bool),
    Progress(usize, u64),
    Finish(usize, End),
    Pass(u64),
    Down,
    Up,
    Restart,
    Gate(Gate),
    Revision,
    Fence,
    Release(u64),
}

fn event() -> impl Strategy<Value = Event> {
    let tier = prop::sample::select(vec![
        Tier::interactive(0),
        Tier::interactive(1),
        Tier::batch(0),
        Tier::batch(1),
    ]);
    let cost = prop_oneof![8 => 10..300_u64, 2 => 300..900_u64, 1 => 2_000..9_000_u64];
    let new = (
        tier,
        cost,
        prop::bool::weighted(0.2),
        0..300_u64,
        0..16_u8,
        prop::bool::weighted(0.1),
    );
    let end = prop::sample::select(vec![
        End::Answered,
        End::Answered,
        End::Failed,
        End::Cancelled,
    ]);
    let gate = prop::sample::select(vec![
        Gate::Open,
        Gate::Open,
        Gate::Leaving,
        Gate::ZoneClosed,
    ]);
    prop_oneof![
        30 => new.prop_map(|(tier, cost, once, content, defect, delayed)| {
            Event::New { tier, cost, once, content, defect, delayed }
        }),
        8 => any::<usize>().prop_map(Event::Copy),
        8 => any::<usize>().prop_map(Event::Retry),
        5 => (any::<usize>(), prop::bool::weighted(0.9)).prop_map(|(i, ours)| Event::Revoke(i, ours)),
        5 => (any::<usize>(), 1..200_u64).prop_map(|(i, tokens)| Event::Progress(i, tokens)),
        18 => (any::<usize>(), end).prop_map(|(i, end)| Event::Finish(i, end)),
        24 => (1..1_500_u64).prop_map(Event::Pass),
        1 => Just(Event::Pass(61_000)),
        1 => Just(Event::Down),
        3 => Just(Event::Up),
        1 => Just(Event::Restart),
        2 => gate.prop_map(Event::Gate),
        1 => Just(Event::Revision),
        1 => Just(Event::Fence),
        1 => (0..8_u64).prop_map(Event::Release),
    ]
}

#[derive(Debug)]
struct Run {
    cost: u64,
    prompt: u64,
    delivered: u64,
    preemptible: bool,
    preempting: bool,
    alone: bool,
    admitted: Instant,
    started: bool,
    /// The highest load since the admission.
    peak: u64,
}

struct Model {
    admission: Admission,
    now: Instant,
    capacity: u64,
    sent: Vec<(Offer, Instant)>,
    ran: HashSet<AttemptId>,
    never: HashSet<AttemptId>,
    running: BTreeMap<AttemptId, Run>,
    /// When the memory of ended attempts and of tombstones is over.
    ended: Vec<Instant>,
    tombstones: BTreeMap<AttemptId, Instant>,
    reserved: Vec<(RequestId, u8, u64, Instant)>,
    up: bool,
    gate: Gate,
    revision: Revision,
    fence: Fence,
    epoch: u64,
}

impl Model {
    fn new(capacity: u64) -> Self {
        let settings = Settings::model(INCARNATION)
            .cold_limit(Tokens(COLD_LIMIT))
            .cold_streams(3)
            .limits(Tokens(COLD_LIMIT), Tokens(5_000))
            .warm_after(4, Duration::from_millis(500))
            .retention(RETENTION)
            .max_attempts(MAX_ATTEMPTS)
            .max_tombstones(MAX_TOMBSTONES)
            .refusal_memory(4_096)
            .reservation(RESERVATION, 1_000);
        let now = Instant::now();
        let mut model = Model {
            admission: Admission::new(settings, now),
            now,
            capacity,
            sent: Vec::new(),
            ran: HashSet::new(),
            never: HashSet::new(),
            running: BTreeMap::new(),
            ended: Vec::new(),
            tombstones: BTreeMap::new(),
            reserved: Vec::new(),
            up: false,
            gate: Gate::Open,
            revision: Revision(1),
            fence: Fence(1),
            epoch: 0,
        };
        model.admission.set_revision(model.revision);
        assert!(model.admission.check_fence(model.fence));
        model.step(&Event::Up);
        model
    }

    fn step(&mut self, event: &Event) {
        match *event {
            Event::New {
                tier,
                cost,
                once,
                content,
                defect,
                delayed,
            } => {
                let mut o = offer(self.sent.len() as u128, tier, cost - cost / 4);
                o.output = Tokens(cost / 4);
                o.fingerprint = Fingerprint(content);
                o.repeat = if once { Repeat::No } else { Repeat::Yes };
                o.revision = if defect == 0 {
                    Revision(self.revision.0 - 1)
                } else {
                    self.revision
                };
                o.incarnation = if defect == 1 {
                    Incarnation(1)
                } else {
                    INCARNATION
                };
                o.fence = (defect == 2).then(|| Fence(self.fence.0 - 1));
                self.sent.push((o, self.now));
                if !delayed {
                    self.offer(self.sent.len() - 1);
                }
            }
            Event::Copy(i) => self.recent(i).into_iter().for_each(|i| self.offer(i)),
            Event::Retry(i) => {
                let Some(i) = self.recent(i) else { return };
                let mut next = self.sent[i].0.clone();
                next.attempt.number += 1;
                next.revision = self.revision;
                let moved = self.never.contains(&self.sent[i].0.attempt);
                if moved && self.sent.iter().all(|(o, _)| o.attempt != next.attempt) {
                    self.sent.push((next, self.now));
                    self.offer(self.sent.len() - 1);
                }
            }
            Event::Revoke(i, ours) => self
                .recent(i)
                .into_iter()
                .for_each(|i| self.revoke(i, ours)),
            Event::Progress(i, tokens) => {
                let Some(attempt) = self.pick(i) else { return };
                self.admission.progress(self.now, attempt, Tokens(tokens));
                let run = self.running.get_mut(&attempt).unwrap();
                run.delivered += tokens;
                run.cost = run.cost.max(run.prompt + run.delivered);
                self.note_peak();
            }
            Event::Finish(i, end) => {
                let Some(attempt) = self.pick(i) else { return };
                self.admission.finish(self.now, attempt, end);
                self.end(attempt);
            }
            Event::Pass(millis) => self.pass(Duration::from_millis(millis)),
            Event::Down => {
                self.admission.target_down(self.now);
                self.up = false;
                self.reserved.clear();
                self.running
                    .keys()
                    .copied()
                    .collect::<Vec<_>>()
                    .into_iter()
                    .for_each(|a| self.end(a));
            }
            Event::Up if self.up => {}
            Event::Up => {
                self.admission.target_up(self.now);
                self.up = true;
                self.report_epoch();
            }
            Event::Restart => {
                self.epoch += 1;
                self.report_epoch();
                assert!(self.admission.report(self.now).cold);
            }
            Event::Gate(gate) => {
                self.gate = gate;
                self.admission.set_gate(gate);
            }
            Event::Revision => {
                self.revision = self.revision.next();
                self.admission.set_revision(self.revision);
            }
            Event::Fence => {
                self.fence = self.fence.next();
                assert!(self.admission.check_fence(self.fence));
            }
            Event::Release(content) => self.admission.release(Fingerprint(content)),
        }
        self.compare();
    }

    fn report_epoch(&mut self) {
        let report = EngineReport {
            epoch: self.epoch,
            ..EngineReport::default()
        };
        self.admission.engine_report(self.now, report);
    }

    /// Returns one of the attempts that an entry may still send or revoke.
    fn recent(&self, i: usize) -> Option<usize> {
        let i = i.checked_rem(self.sent.len())?;
        (self.now < self.sent[i].1 + RETENTION).then_some(i)
    }

    fn pick(&self, i: usize) -> Option<AttemptId> {
        let i = i.checked_rem(self.running.len())?;
        self.running.keys().nth(i).copied()
    }

    fn sum(&self, of: impl Fn(&Run) -> bool) -> u64 {
        self.running
            .values()
            .filter(|r| of(r))
            .map(|r| r.cost)
            .sum()
    }

    fn offer(&mut self, i: usize) {
        let offer = self.sent[i].0.clone();
        let before = self.admission.report(self.now);
        let verdict = self.admission.crashes().verdict(offer.fingerprint);
        let decision = self.admission.offer(self.now, offer.clone());
        match &decision {
            Decision::Join => assert!(self.ran.contains(&offer.attempt), "join without a run"),
            Decision::Admit { preempt } => self.admitted(&offer, &before, verdict, preempt),
            Decision::Refuse(_) => self.refused(&offer, &before, verdict, &decision),
        }
    }

    fn admitted(
        &mut self,
        offer: &Offer,
        before: &LoadReport,
        verdict: Verdict,
        preempt: &[AttemptId],
    ) {
        let (attempt, tier) = (offer.attempt, offer.tier);
        assert!(self.ran.insert(attempt), "run twice");
        assert!(!self.never.contains(&attempt), "run after not-run");
        assert!(self.up && self.gate == Gate::Open);
        assert!(offer.incarnation == INCARNATION && offer.revision >= self.revision);
        assert!(offer.fence.is_none_or(|fence| fence >= self.fence));
        assert!(
            self.running.len() + self.ended.len() < MAX_ATTEMPTS,
            "memory bound"
        );
        assert!(verdict != Verdict::Quarantined);
        assert!(self.running.values().all(|r| !r.alone), "beside a suspect");
        let suspect = verdict == Verdict::Suspect;
        assert!(
            !suspect || self.running.is_empty(),
            "a suspect beside others"
        );
        for victim in preempt {
            let run = self.running.get_mut(victim).expect("a victim runs");
            assert!(tier.is_interactive() && run.preemptible && !run.preempting);
            run.preempting = true;
        }
        let (cost, limit, total) = (offer.cost().0, before.limit.0, self.sum(|_| true));
        if before.cold {
            assert!(
                total <= self.capacity,
                "cold: more than one request above the capacity"
            );
            assert!(total <= limit && (cost <= limit || total == 0));
        } else if tier.is_interactive() {
            let active = self.sum(|r| !r.preempting);
            assert!(
                active + cost <= limit || active == 0,
                "interactive above the limit"
            );
        } else {
            let fits = total + cost + before.reserved.0 <= limit;
            assert!(
                fits || (total == 0 && before.reserved.0 == 0),
                "batch above the limit"
            );
        }
        self.reserved.retain(|r| r.0 != attempt.request);
        let run = Run {
            cost,
            prompt: offer.prompt.0,
            delivered: 0,
            preemptible: !tier.is_interactive() && offer.repeat == Repeat::Yes,
            preempting: false,
            alone: suspect,
            admitted: self.now,
            started: false,
            peak: 0,
        };
        self.running.insert(attempt, run);
        self.note_peak();
    }

    fn refused(
        &mut self,
        offer: &Offer,
        before: &LoadReport,
        verdict: Verdict,
        decision: &Decision,
    ) {
        let (attempt, tier, cost) = (offer.attempt, offer.tier, offer.cost().0);
        assert!(!self.ran.contains(&attempt), "a refusal after a run");
        self.never.insert(attempt);
        let full = reason(decision) == Some(Reason::Full);
        let no_room = full || reason(decision) == Some(Reason::Cold);
        let memory = self.running.len() + self.ended.len() >= MAX_ATTEMPTS;
        if !no_room || !tier.is_interactive() || memory || verdict == Verdict::Suspect {
            return;
        }
        let limit = before.limit.0;
        let above = |r: &&(RequestId, u8, u64, Instant)| {
            r.0 != attempt.request && r.1 < tier.rank && r.3 > self.now
        };
        let reserved: u64 = self.reserved.iter().filter(above).map(|r| r.2).sum();
        if full && self.running.values().all(|r| !r.alone) {
            let active = self.sum(|r| !r.preempting);
            let batch = self.sum(|r| r.preemptible && !r.preempting);
            assert!(
                active - batch + reserved + cost > limit,
                "room after preemption"
            );
            assert!(
                batch < cost || active > limit,
                "batch alone would have made room"
            );
            let empty = active == batch && (batch > 0 || reserved == 0);
            assert!(cost <= limit || !empty, "room for one oversized request");
        }
        self.reserved.retain(|r| r.0 != attempt.request);
        self.reserved.push((
            attempt.request,
            tier.rank,
            cost.min(limit),
            self.now + RESERVATION,
        ));
    }

    fn revoke(&mut self, i: usize, ours: bool) {
        let attempt = self.sent[i].0.attempt;
        let incarnation = if ours { INCARNATION } else { Incarnation(1) };
        match self.admission.revoke(self.now, attempt, incarnation) {
            Revoked::NotRun => {
                assert!(ours && !self.ran.contains(&attempt), "false not-run");
                self.never.insert(attempt);
                self.tombstones.retain(|_, due| *due > self.now);
                self.tombstones
                    .entry(attempt)
                    .or_insert(self.now + RETENTION);
                assert!(self.tombstones.len() <= MAX_TOMBSTONES);
            }
            Revoked::Running => assert!(ours && self.running.contains_key(&attempt)),
            Revoked::Finished => {
                assert!(
                    ours && self.ran.contains(&attempt) && !self.running.contains_key(&attempt)
                );
            }
            Revoked::Unknown => assert!(!ours || self.tombstones.len() >= MAX_TOMBSTONES),
        }
    }

    /// Lets time pass: first tokens arrive when they are due, then the admission does its part.
    fn pass(&mut self, time: Duration) {
        let until = self.now + time;
        while let Some((due, attempt)) = self.next_first_token().filter(|(due, _)| *due <= until) {
            self.now = due.max(self.now);
            self.admission.first_token(self.now, attempt);
            self.running.get_mut(&attempt).unwrap().started = true;
        }
        self.now = until;
        for action in self.admission.tick(self.now) {
            if let Action::Preempt(victim) = action {
                let run = self.running.get_mut(&victim).expect("a victim runs");
                assert!(run.preemptible && !run.preempting);
                run.preempting = true;
            }
        }
        self.ended.retain(|due| *due > self.now);
        self.tombstones.retain(|_, due| *due > self.now);
    }

    fn next_first_token(&self) -> Option<(Instant, AttemptId)> {
        let waiting = self.running.iter().filter(|(_, r)| !r.started);
        let due = waiting.map(|(attempt, r)| {
            let slow = if r.peak > self.capacity { OVERLOAD } else { 1 };
            (
                r.admitted + Duration::from_millis(r.prompt) * slow,
                *attempt,
            )
        });
        due.min()
    }

    fn note_peak(&mut self) {
        let total = self.sum(|_| true);
        self.running
            .values_mut()
            .for_each(|r| r.peak = r.peak.max(total));
    }

    fn end(&mut self, attempt: AttemptId) {
        self.running.remove(&attempt).expect("the attempt runs");
        self.ended.push(self.now + RETENTION);
    }

    fn compare(&self) {
        let report = self.admission.report(self.now);
        assert_eq!(report.used.0, self.sum(|_| true));
        assert_eq!(report.batch.0, self.sum(|r| r.preemptible && !r.preempting));
        let live = self.reserved.iter().filter(|r| r.3 > self.now);
        assert_eq!(
            report.reserved.0,
            live.map(|r| r.2).sum::<u64>().min(report.limit.0)
        );
        assert_eq!(
            (report.up, report.gate, report.revision),
            (self.up, self.gate, self.revision)
        );
        assert!(
            self.admission.remembered() <= MAX_ATTEMPTS + MAX_TOMBSTONES,
            "memory bound"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_024,
        rng_seed: prop::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..ProptestConfig::default()
    })]

    #[test]
    fn admission_agrees_with_the_naive_model(
        capacity in COLD_LIMIT..3_000,
        events in prop::collection::vec(event(), 1..250),
    ) {
        let mut model = Model::new(capacity);
        for event in &events {
            model.step(event);
        }
    }
}
