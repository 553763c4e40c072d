//! Applies the same random events to the admission and a reference model, and compares them after
//! each step.

mod support;

use std::collections::{BTreeMap, HashSet};
use std::time::{Duration, Instant};

use ebonylug_admission::{Action, Admission, CauseStatus, Decision, Settings};
use ebonylug_core::{
    AttemptId, End, EngineReport, Fence, Fingerprint, Gate, Incarnation, LoadReport, Offer, Reason,
    Repeat, RequestId, Revision, RevokeOutcome, Tier, Tokens,
};
use proptest::prelude::*;
use support::{INCARNATION, ms, offer, reason};

const COLD_LIMIT: u64 = 400;
const RETENTION: Duration = ms(60_000);
const RESERVATION: Duration = ms(1_000);
const HEADROOM: Duration = ms(4_000);
const MAX_ATTEMPTS: usize = 48;
const MAX_TOMBSTONES: usize = 4;
/// Factor by which a target is slower while its load is above its capacity.
const OVERLOAD_FACTOR: u32 = 10;

#[derive(Clone, Debug)]
enum Event {
    /// A new request: tier, cost, repeatable, content, defect of its headers, delayed. A delayed
    /// one arrives with a later `Duplicate`, or never.
    New(Tier, u64, Repeat, Option<u64>, u8, bool),
    Duplicate(usize),
    Retry(usize),
    Revoke(usize, Incarnation),
    Progress(usize, u64),
    Finish(usize, End),
    /// All running attempts are answered.
    FinishAll,
    Advance(u64),
    Down,
    Up,
    Restart,
    Gate(Gate),
    Revision,
    Fence,
    Release(u64),
}

fn event() -> impl Strategy<Value = Event> {
    let pick = any::<usize>;
    let flag = prop::bool::weighted;
    let tier = (flag(0.5), 0..2_u8).prop_map(|(interactive, rank)| match interactive {
        true => Tier::interactive(rank),
        false => Tier::batch(rank),
    });
    let cost = prop_oneof![8 => 10..300_u64, 2 => 300..900_u64, 1 => 2_000..9_000_u64];
    let repeat = flag(0.8).prop_map(|yes| if yes { Repeat::Yes } else { Repeat::No });
    let content = prop::option::weighted(0.25, 0..5_u64);
    let end = prop::sample::select(vec![
        End::Answered,
        End::Answered,
        End::Failed,
        End::Cancelled,
    ]);
    let gate = prop::sample::select(vec![Gate::Leaving, Gate::ZoneClosed]);
    let incarnation =
        flag(0.9).prop_map(|current| if current { INCARNATION } else { Incarnation(1) });
    prop_oneof![
        40 => (tier, cost, repeat, content, 0..24_u8, flag(0.1))
            .prop_map(|(a, b, c, d, e, f)| Event::New(a, b, c, d, e, f)),
        8 => pick().prop_map(Event::Duplicate),
        8 => pick().prop_map(Event::Retry),
        5 => (pick(), incarnation).prop_map(|(i, target)| Event::Revoke(i, target)),
        5 => (pick(), 1..200_u64).prop_map(|(i, tokens)| Event::Progress(i, tokens)),
        16 => (pick(), end).prop_map(|(i, end)| Event::Finish(i, end)),
        24 => (1..1_500_u64).prop_map(Event::Advance),
        1 => Just(Event::Advance(61_000)),
        3 => Just(Event::FinishAll),
        2 => Just(Event::Down),
        8 => Just(Event::Up),
        1 => Just(Event::Restart),
        1 => gate.prop_map(Event::Gate),
        5 => Just(Event::Gate(Gate::Open)),
        1 => Just(Event::Revision),
        1 => Just(Event::Fence),
        1 => (0..5_u64).prop_map(Event::Release),
    ]
}

struct Run {
    cost: u64,
    prompt: u64,
    delivered: u64,
    batch: bool,
    preempting: bool,
    exclusive: bool,
    /// The remaining time to the first token at low load.
    remaining: Duration,
}

/// A reservation: request, rank, tokens and expiry.
type Reserved = (RequestId, u8, u64, Instant);

struct Model {
    admission: Admission,
    now: Instant,
    capacity: u64,
    sent: Vec<(Offer, Instant)>,
    ran: HashSet<AttemptId>,
    never_run: HashSet<AttemptId>,
    running: BTreeMap<AttemptId, Run>,
    /// The expiry of the record of each ended attempt.
    ended: Vec<Instant>,
    tombstones: BTreeMap<AttemptId, Instant>,
    reserved: Vec<Reserved>,
    /// The running and offered interactive work, with the time of each offer.
    demand: Vec<(u64, Instant)>,
    revision: Revision,
    fence: Fence,
    epoch: u64,
}

impl Model {
    fn new(capacity: u64) -> Self {
        let settings = Settings::model(INCARNATION)
            .cold_limit(Tokens(COLD_LIMIT))
            .cold_streams(3)
            .limit_range(Tokens(COLD_LIMIT), Tokens(5_000))
            .warm_after(3, ms(200))
            .retention(RETENTION)
            .max_attempts(MAX_ATTEMPTS)
            .max_tombstones(MAX_TOMBSTONES)
            .refusal_capacity(4_096)
            .reservation(RESERVATION, 1_000)
            .headroom(HEADROOM);
        let now = Instant::now();
        Model {
            admission: Admission::new(settings, now),
            now,
            capacity,
            sent: Vec::new(),
            ran: HashSet::new(),
            never_run: HashSet::new(),
            running: BTreeMap::new(),
            ended: Vec::new(),
            tombstones: BTreeMap::new(),
            reserved: Vec::new(),
            demand: Vec::new(),
            revision: Revision(0),
            fence: Fence(0),
            epoch: 0,
        }
    }

    fn step(&mut self, event: &Event) {
        let now = self.now;
        match *event {
            Event::New(tier, cost, repeat, content, defect, delayed) => {
                let request = self.sent.len() as u64;
                let mut o = offer(request.into(), tier, cost - cost / 4);
                o.output = Tokens(cost / 4);
                o.fingerprint = Fingerprint(content.unwrap_or(1_000 + request));
                o.repeat = repeat;
                o.revision = Revision(self.revision.0 - u64::from(defect == 0));
                o.incarnation = if defect == 1 {
                    Incarnation(1)
                } else {
                    INCARNATION
                };
                o.fence = (defect == 2).then(|| Fence(self.fence.0 - 1));
                self.sent.push((o, now));
                if !delayed {
                    self.offer(self.sent.len() - 1);
                }
            }
            Event::Duplicate(i) => self.recent(i).into_iter().for_each(|i| self.offer(i)),
            Event::Retry(i) => {
                let Some(i) = self.recent(i) else { return };
                let mut next = self.sent[i].0.clone();
                next.attempt.number += 1;
                next.revision = self.revision;
                let not_run = self.never_run.contains(&self.sent[i].0.attempt);
                if not_run && self.sent.iter().all(|(o, _)| o.attempt != next.attempt) {
                    self.sent.push((next, now));
                    self.offer(self.sent.len() - 1);
                }
            }
            Event::Revoke(i, to) => self.recent(i).into_iter().for_each(|i| self.revoke(i, to)),
            Event::Progress(i, tokens) => {
                let Some(attempt) = self.pick(i) else { return };
                self.admission.progress(now, attempt, Tokens(tokens));
                let run = self.running.get_mut(&attempt).unwrap();
                run.delivered += tokens;
                run.cost = run.cost.max(run.prompt + run.delivered);
            }
            Event::Finish(i, end) => {
                let Some(attempt) = self.pick(i) else { return };
                self.admission.finish(now, attempt, end);
                self.running.remove(&attempt);
                self.ended.push(now + RETENTION);
            }
            Event::FinishAll => {
                while !self.running.is_empty() {
                    self.step(&Event::Finish(0, End::Answered));
                }
            }
            Event::Advance(millis) => self.advance(ms(millis)),
            Event::Down => {
                self.admission.target_down(now);
                self.reserved.clear();
                self.ended
                    .extend(self.running.keys().map(|_| now + RETENTION));
                self.running.clear();
            }
            Event::Up if self.admission.report(now).up => {}
            Event::Up => {
                self.admission.target_up(now);
                self.restart();
            }
            Event::Restart => self.restart(),
            Event::Gate(gate) => self.admission.set_gate(gate),
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

    fn restart(&mut self) {
        for _ in 0..2 {
            self.epoch += 1;
            let report = EngineReport {
                epoch: self.epoch,
                ..EngineReport::default()
            };
            self.admission.engine_report(self.now, report);
        }
        assert!(self.admission.report(self.now).cold);
    }

    /// Returns the index of an attempt that an entry may still send or revoke.
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
        let status = self.admission.crashes().status(offer.fingerprint);
        let wanted = self.sum(|r| !r.batch && !r.preempting) + offer.cost().0;
        let records_full = self.running.len() + self.ended.len() >= MAX_ATTEMPTS;
        let decision = self.admission.offer(self.now, offer.clone());
        let counted = match reason(&decision) {
            Some(reason) => matches!(reason, Reason::Full | Reason::Cold) && !records_full,
            None => decision.is_admit(),
        };
        if offer.tier.is_interactive() && counted {
            self.demand.push((wanted.min(before.limit.0), self.now));
        }
        match &decision {
            Decision::Join => assert!(
                self.ran.contains(&offer.attempt),
                "joined an attempt that did not run"
            ),
            Decision::Admit { preempt } => {
                preempt
                    .iter()
                    .for_each(|victim| self.preempt(*victim, &offer));
                self.admitted(&offer, &before, status);
            }
            Decision::Refuse(_) => self.refused(&offer, &before, status, reason(&decision)),
        }
    }

    fn admitted(&mut self, offer: &Offer, before: &LoadReport, status: CauseStatus) {
        assert!(self.ran.insert(offer.attempt), "an attempt runs twice");
        assert!(
            !self.never_run.contains(&offer.attempt),
            "an attempt runs after it was reported as not run"
        );
        assert!(before.up && before.gate == Gate::Open);
        assert!(offer.incarnation == INCARNATION && offer.revision >= self.revision);
        assert!(offer.fence.is_none_or(|fence| fence >= self.fence));
        assert!(
            self.running.len() + self.ended.len() < MAX_ATTEMPTS,
            "memory bound"
        );
        assert!(status != CauseStatus::Quarantined);
        assert!(
            self.running.values().all(|r| !r.exclusive),
            "admitted while a suspect runs"
        );
        let exclusive = status == CauseStatus::Suspect;
        assert!(
            !exclusive || self.running.is_empty(),
            "a suspect admitted while others run"
        );
        let (cost, limit, total) = (offer.cost().0, before.limit.0, self.sum(|_| true));
        let batch = !offer.tier.is_interactive();
        if before.cold {
            assert!(
                total <= self.capacity,
                "a cold target got more than one request above its capacity"
            );
            assert!(total <= limit && (cost <= limit || total == 0));
        } else if batch {
            let fits = total + cost + before.reserved.0 <= limit;
            let oversized = total == 0 && self.reservations() == 0;
            assert!(fits || oversized, "batch work was admitted above the limit");
        } else {
            let active = self.sum(|r| !r.preempting);
            assert!(
                active + cost <= limit || active == 0,
                "interactive work was admitted above the limit"
            );
        }
        self.reserved.retain(|r| r.0 != offer.attempt.request);
        let run = Run {
            cost,
            prompt: offer.prompt.0,
            delivered: 0,
            batch: batch && offer.repeat == Repeat::Yes,
            preempting: false,
            exclusive,
            remaining: ms(offer.prompt.0),
        };
        self.running.insert(offer.attempt, run);
    }

    fn preempt(&mut self, victim: AttemptId, by: &Offer) {
        let run = self.running.get_mut(&victim).expect("a victim runs");
        assert!(by.tier.is_interactive() && run.batch && !run.preempting);
        run.preempting = true;
    }

    fn refused(
        &mut self,
        o: &Offer,
        before: &LoadReport,
        status: CauseStatus,
        why: Option<Reason>,
    ) {
        assert!(
            !self.ran.contains(&o.attempt),
            "an attempt was refused after it ran"
        );
        self.never_run.insert(o.attempt);
        let no_capacity = matches!(why, Some(Reason::Full | Reason::Cold));
        let records_full = self.running.len() + self.ended.len() >= MAX_ATTEMPTS;
        if !no_capacity
            || !o.tier.is_interactive()
            || records_full
            || status == CauseStatus::Suspect
        {
            return;
        }
        let (request, rank, cost, limit) =
            (o.attempt.request, o.tier.rank, o.cost().0, before.limit.0);
        let above = |r: &&Reserved| r.0 != request && r.1 < rank && r.3 > self.now;
        let reserved: u64 = self.reserved.iter().filter(above).map(|r| r.2).sum();
        if why == Some(Reason::Full) && self.running.values().all(|r| !r.exclusive) {
            let active = self.sum(|r| !r.preempting);
            let batch = self.sum(|r| r.batch && !r.preempting);
            assert!(
                active - batch + reserved + cost > limit,
                "refused, although preemption would have freed enough"
            );
            assert!(
                batch < cost || active > limit,
                "refused, although preempting batch work alone would have freed enough"
            );
            let empty = active == batch && (batch > 0 || reserved == 0);
            assert!(
                cost <= limit || !empty,
                "an oversized request was refused by a target that can be emptied"
            );
        }
        self.reserved.retain(|r| r.0 != request);
        self.reserved
            .push((request, rank, cost.min(limit), self.now + RESERVATION));
    }

    fn revoke(&mut self, i: usize, incarnation: Incarnation) {
        let (attempt, current) = (self.sent[i].0.attempt, incarnation == INCARNATION);
        let (ran, runs) = (
            self.ran.contains(&attempt),
            self.running.contains_key(&attempt),
        );
        self.tombstones.retain(|_, due| *due > self.now);
        match self.admission.revoke(self.now, attempt, incarnation) {
            RevokeOutcome::NotRun => {
                assert!(current && !ran, "reported as not run, but it ran");
                self.never_run.insert(attempt);
                self.tombstones
                    .entry(attempt)
                    .or_insert(self.now + RETENTION);
                assert!(self.tombstones.len() <= MAX_TOMBSTONES);
            }
            RevokeOutcome::Running => assert!(current && runs),
            RevokeOutcome::Finished => assert!(current && ran && !runs),
            RevokeOutcome::Unknown => assert!(!current || self.tombstones.len() >= MAX_TOMBSTONES),
        }
    }

    /// Advances the time. First tokens arrive when they are due, then the admission ticks.
    fn advance(&mut self, time: Duration) {
        let factor = if self.sum(|_| true) > self.capacity {
            OVERLOAD_FACTOR
        } else {
            1
        };
        let waiting = self
            .running
            .iter()
            .filter(|(_, r)| r.remaining > Duration::ZERO);
        let mut due: Vec<_> = waiting
            .map(|(attempt, r)| (r.remaining * factor, *attempt))
            .collect();
        due.sort();
        due.retain(|(wait, _)| *wait <= time);
        for (wait, attempt) in due {
            self.admission.first_token(self.now + wait, attempt);
        }
        self.running
            .values_mut()
            .for_each(|r| r.remaining = r.remaining.saturating_sub(time / factor));
        self.now += time;
        let interactive = offer(0, Tier::interactive(0), 0);
        for action in self.admission.tick(self.now) {
            if let Action::Preempt(victim) = action {
                self.preempt(victim, &interactive);
            }
        }
        self.ended.retain(|due| *due > self.now);
    }

    fn reservations(&self) -> u64 {
        let live = self.reserved.iter().filter(|r| r.3 > self.now);
        live.map(|r| r.2).sum()
    }

    /// Returns the highest demand, halved for each half-life since then, minus the running work
    /// that cannot be preempted.
    fn headroom(&self) -> u64 {
        let decayed = |&(tokens, at): &(u64, Instant)| {
            let age = (self.now - at).as_secs_f64() / HEADROOM.as_secs_f64();
            tokens as f64 * (-age).exp2()
        };
        let peak = self.demand.iter().map(decayed).fold(0.0, f64::max);
        (peak as u64).saturating_sub(self.sum(|r| !r.batch && !r.preempting))
    }

    fn compare(&self) {
        let report = self.admission.report(self.now);
        assert_eq!(report.used.0, self.sum(|_| true));
        assert_eq!(report.batch.0, self.sum(|r| r.batch && !r.preempting));
        let withheld = self.reservations().max(self.headroom());
        assert_eq!(report.reserved.0, withheld.min(report.limit.0));
        assert!(
            self.admission.record_count() <= MAX_ATTEMPTS + MAX_TOMBSTONES,
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

    /// Guards against attempts that run twice or after a "not run", against overload, and against
    /// interactive work that is refused while batch work runs.
    #[test]
    fn admission_agrees_with_the_reference_model(
        capacity in COLD_LIMIT..3_000,
        events in prop::collection::vec(event(), 1..250),
    ) {
        let mut model = Model::new(capacity);
        [Event::Revision, Event::Fence, Event::Up].iter().for_each(|event| model.step(event));
        events.iter().for_each(|event| model.step(event));
    }
}
