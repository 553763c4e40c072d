use std::time::{Duration, SystemTime};

use ebonylug_core::{Fence, Name};

use crate::memo::Memo;
use crate::probe::{Advice, Probe};
use crate::spec::{CANARY, FIRST};
use crate::{
    Actions, Capacity, Comparison, Condition, Evidence, Finding, LoadPlan, LoadRate, Measure,
    MoveAction, MoveReason, MoveSpec, MoveStatus, Phase, SequentialTest, Share, StoreState,
    TargetLoad, scheduled_share,
};

/// Part of the window until which the share stays at the canary share without evidence.
const UNPROVEN_UNTIL: f64 = 0.4;
/// Part of the window that a rise from 0 to 100 % takes at least, so that a share that was held
/// back does not jump.
const RISE: f64 = 0.2;
/// Part of the window at which a share that was held back must be at 100 %.
const CAUGHT_UP_AT: f64 = 0.9;
/// Part of the window at which watching ends, and until which a suspicion without proof holds
/// the share back. The rest is for writing the status.
const DONE_AT: f64 = 0.95;
/// The highest share of a suspect version. The old one gets enough to compare with, and the load
/// of the new one stays so high that a fault under load does not vanish.
const PROBE: Share = Share::percent(75);
/// Share per second by which a version returns to a share that it had before a suspicion.
const RETURN: f64 = 0.05;
/// Time after which an unconfirmed status is written again.
const WRITE_RETRY: Duration = Duration::from_secs(1);

/// One move at one entry.
///
/// The share is the minimum of the schedule, of what the evidence permits and of the capacity of
/// warm targets. A cut to zero is final for the move.
///
/// A version with too little traffic to tell stays at the canary share for two fifths of the
/// window. Then the move proceeds, and the reason is recorded: a refusal would let a quiet route
/// miss every deadline, and few requests are exposed by definition.
#[derive(Clone, Debug)]
pub struct MoveState {
    spec: MoveSpec,
    judge: SequentialTest,
    memo: Memo,
    probe: Probe,
    phase: Phase,
    share: Share,
    /// The highest share so far.
    reached: Share,
    proven: bool,
    conditions: Vec<Condition>,
    capacity: Capacity,
    plan: LoadPlan,
    ticked: Option<SystemTime>,
    resumed: bool,
    announced: Phase,
    confirmed: Option<(Phase, usize)>,
    tried: Option<SystemTime>,
    released: bool,
}

impl MoveState {
    /// Creates the state of a move that this process has not seen before.
    #[must_use]
    pub fn new(spec: MoveSpec) -> Self {
        MoveState {
            spec,
            judge: SequentialTest::default(),
            memo: Memo::default(),
            probe: Probe::default(),
            phase: Phase::Pending,
            share: Share::ZERO,
            reached: Share::ZERO,
            proven: false,
            conditions: Vec::new(),
            capacity: Capacity {
                warm: 0.0,
                planned: 1.0,
            },
            plan: LoadPlan::new(LoadRate::default()),
            ticked: None,
            resumed: false,
            announced: Phase::Pending,
            confirmed: None,
            tried: None,
            released: false,
        }
    }

    /// Sets the thresholds of the comparison.
    #[must_use]
    pub fn with_test(mut self, judge: SequentialTest) -> Self {
        self.judge = judge;
        self
    }

    /// Sets the rate of model loads.
    #[must_use]
    pub fn with_load_rate(mut self, rate: LoadRate) -> Self {
        self.plan = LoadPlan::new(rate);
        self
    }

    /// Sets what the targets of the new version bear. Until it is called, only the first canary
    /// share is given.
    pub fn set_capacity(&mut self, capacity: Capacity) {
        self.capacity = capacity;
    }

    /// Sets the targets that should load the new version.
    pub fn set_targets(&mut self, loads: &[TargetLoad]) {
        self.plan.set_targets(loads);
    }

    /// Refuses the move, for example because of [`find_conflict`](crate::find_conflict). It has no
    /// effect once the ramp has begun.
    pub fn refuse(&mut self, now: SystemTime, reason: MoveReason, message: &str) {
        if self.phase == Phase::Pending {
            self.note(now, reason, message);
            self.enter(Phase::Refused);
        }
    }

    /// Cuts the share to zero on the order of an operator.
    pub fn abort(&mut self, now: SystemTime, message: &str) {
        self.cut(now, MoveReason::Operator, message);
    }

    /// Takes over the status that a peer or the table has.
    ///
    /// A rollback is taken over at once. The share of a move under way continues where the
    /// others are, which matters to an entry that has just started.
    pub fn apply_status(&mut self, now: SystemTime, status: &MoveStatus) {
        if status.name != self.spec.name {
            return;
        }
        if status.phase == Phase::RolledBack {
            let cause = status.conditions.last().map_or("", |c| &c.message);
            self.cut(now, MoveReason::PeerReport, cause);
        }
        if self.phase.is_final() {
            return;
        }
        self.proven |= status.proven;
        match status.phase {
            Phase::Refused if self.phase == Phase::Pending => {
                self.conditions.clone_from(&status.conditions);
                self.enter(Phase::Refused);
            }
            Phase::Done => {
                self.conditions.clone_from(&status.conditions);
                self.enter(Phase::Done);
            }
            Phase::Ramping | Phase::Watching if self.ticked.is_none() => self.resumed = true,
            _ => {}
        }
    }

    /// Advances the move to `now` and returns what is to be done.
    ///
    /// `lease` is the fencing number if this process holds the move's lease. Without it, the
    /// share is still computed and cut, but nothing is ordered or written.
    pub fn tick(
        &mut self,
        now: SystemTime,
        evidence: &Evidence,
        store: StoreState,
        lease: Option<Fence>,
    ) -> Actions {
        let before = self.share;
        match self.phase {
            Phase::RolledBack | Phase::Refused => {}
            Phase::Done => self.review(now, evidence),
            _ => self.advance(now, evidence),
        }
        self.ticked = Some(now);
        let mut actions = Actions::new();
        if self.share != before {
            actions.push(MoveAction::SetShare(self.share));
        }
        if self.announced != self.phase {
            self.announced = self.phase;
            actions.push(MoveAction::BroadcastStatus(self.status()));
        }
        if let Some(fence) = lease {
            self.order(now, fence, &mut actions);
            if store == StoreState::Up {
                self.write(now, fence, &mut actions);
            }
        }
        actions
    }

    /// Confirms that `status` is in the table, by the reply to the write or by reading it back.
    pub fn confirm_write(&mut self, status: &MoveStatus) {
        if status.name == self.spec.name {
            self.confirmed = Some((status.phase, status.conditions.len()));
        }
    }

    /// Returns the share of the new version.
    #[must_use]
    pub fn share(&self) -> Share {
        self.share
    }

    /// Returns the phase.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns the move.
    #[must_use]
    pub fn spec(&self) -> &MoveSpec {
        &self.spec
    }

    /// Returns the observations so far, oldest first.
    #[must_use]
    pub fn conditions(&self) -> &[Condition] {
        &self.conditions
    }

    /// Returns the status for peers and for the table.
    #[must_use]
    pub fn status(&self) -> MoveStatus {
        MoveStatus {
            name: self.spec.name.clone(),
            phase: self.phase,
            share: self.share,
            proven: self.proven,
            conditions: self.conditions.clone(),
        }
    }

    fn advance(&mut self, now: SystemTime, evidence: &Evidence) {
        let Some(progress) = self.spec.progress(now) else {
            return;
        };
        if self.phase == Phase::Pending && !self.begin(now) {
            return;
        }
        let judgement = self.compare(now, evidence);
        if let Comparison::Worse(finding) = &judgement {
            self.cut_by(now, finding);
            return;
        }
        let high = self.share > PROBE;
        let advice = self.probe.note(now, &judgement, high, &self.spec, evidence);
        if let Advice::Bad(finding) = &advice {
            self.cut(now, MoveReason::UnderLoad, &finding.to_string());
            return;
        }
        let mut permitted = self.permitted(now, progress, &judgement);
        if advice == Advice::Hold && progress < DONE_AT {
            permitted = permitted.min(self.share.min(PROBE).max(FIRST));
        }
        let wanted = scheduled_share(&self.spec, now).min(permitted);
        self.share = wanted.min(self.rise(now, progress)).min(self.bearable(now));
        self.reached = self.reached.max(self.share);
        self.progress(now, progress);
    }

    /// Judges a version that is done, as long as the old one is kept.
    fn review(&mut self, now: SystemTime, evidence: &Evidence) {
        if now >= self.spec.deadline {
            return;
        }
        if let Comparison::Worse(finding) = self.compare(now, evidence) {
            self.cut_by(now, &finding);
        }
    }

    fn compare(&mut self, now: SystemTime, evidence: &Evidence) -> Comparison {
        let judge = self.judge;
        judge.evaluate_cached(&mut self.memo, &self.spec, evidence, now)
    }

    fn begin(&mut self, now: SystemTime) -> bool {
        if let Err(error) = self.spec.validate() {
            self.refuse(now, MoveReason::Invalid, &error.to_string());
            return false;
        }
        if self.capacity.planned < 1.0 {
            let percent = self.capacity.planned * 100.0;
            let message = format!("the targets of the new version bear {percent:.0} % of the load");
            self.refuse(now, MoveReason::NotEnoughCapacity, &message);
            return false;
        }
        self.note(now, MoveReason::Started, "");
        self.enter(Phase::Ramping);
        true
    }

    /// Returns the share that the evidence permits.
    fn permitted(&mut self, now: SystemTime, progress: f64, judgement: &Comparison) -> Share {
        if *judgement == Comparison::NotWorse && !self.proven {
            self.proven = true;
            self.note(now, MoveReason::Proven, "");
        }
        if let Comparison::Suspect(finding) = judgement {
            self.note(now, MoveReason::Suspect, &finding.to_string());
        }
        if self.proven {
            return Share::FULL;
        }
        if progress < UNPROVEN_UNTIL {
            return CANARY;
        }
        let message = "the move proceeds on schedule";
        self.note(now, MoveReason::TooLittleTraffic, message);
        Share::FULL
    }

    /// Returns the share that can be reached from the present one without a jump.
    fn rise(&mut self, now: SystemTime, progress: f64) -> Share {
        let Some(ticked) = self.ticked else {
            return if self.resumed { Share::FULL } else { CANARY };
        };
        let window = self.spec.duration().as_secs_f64();
        let passed = now.duration_since(ticked).unwrap_or_default().as_secs_f64() / window;
        let share = self.share.fraction();
        let left = CAUGHT_UP_AT - (progress - passed);
        let pace = if left > passed {
            (1.0 / RISE).max((1.0 - share) / left)
        } else {
            return Share::FULL;
        };
        // At least one step, so that short intervals between ticks do not round down to nothing.
        let step = (passed * pace).max(1e-4);
        let again = (share + passed * window * RETURN).min(self.reached.fraction());
        Share::from_fraction(again.max(share + step)).max(FIRST)
    }

    fn bearable(&mut self, now: SystemTime) -> Share {
        let warm = Share::from_fraction(self.capacity.warm);
        if warm < scheduled_share(&self.spec, now) {
            let message = format!("warm targets bear {warm}");
            self.note(now, MoveReason::NotEnoughCapacity, &message);
        }
        warm.max(FIRST)
    }

    fn progress(&mut self, now: SystemTime, progress: f64) {
        if self.phase == Phase::Ramping && self.share == Share::FULL {
            self.note(now, MoveReason::Complete, "");
            self.enter(Phase::Watching);
            return;
        }
        if self.phase == Phase::Watching && self.share == Share::FULL && progress >= DONE_AT {
            self.note(now, MoveReason::Finished, "");
            self.enter(Phase::Done);
        }
        if progress > 1.0 && self.share < Share::FULL {
            let message = format!("the new version has {}", self.share);
            self.note(now, MoveReason::DeadlineMissed, &message);
        }
    }

    fn cut_by(&mut self, now: SystemTime, finding: &Finding) {
        let reason = match finding.measure {
            Measure::Failures => MoveReason::Failures,
            Measure::Slowness => MoveReason::Slowness,
        };
        self.cut(now, reason, &finding.to_string());
    }

    fn cut(&mut self, now: SystemTime, reason: MoveReason, message: &str) {
        let over = matches!(self.phase, Phase::RolledBack | Phase::Refused);
        if !over && !self.released {
            self.note(now, reason, message);
            self.enter(Phase::RolledBack);
        }
    }

    fn enter(&mut self, phase: Phase) {
        self.phase = phase;
        match phase {
            Phase::Done => self.share = Share::FULL,
            Phase::RolledBack | Phase::Refused => self.share = Share::ZERO,
            Phase::Pending | Phase::Ramping | Phase::Watching => {}
        }
    }

    fn note(&mut self, now: SystemTime, reason: MoveReason, message: &str) {
        if self.conditions.iter().any(|c| c.reason == reason) {
            return;
        }
        self.conditions.push(Condition {
            reason,
            message: message.into(),
            time: now,
        });
    }

    fn order(&mut self, now: SystemTime, fence: Fence, actions: &mut Actions) {
        if self.phase.is_final() {
            self.release(now, fence, actions);
            return;
        }
        let version = self.spec.to.clone();
        if let Some(target) = self.plan.next_load(now, self.spec.start) {
            let version = version.clone();
            actions.push(MoveAction::LoadVersion {
                target,
                version,
                fence,
            });
        }
        if let Some(target) = self.plan.next_warm_up(now) {
            actions.push(MoveAction::WarmUp {
                target,
                version,
                fence,
            });
        }
    }

    /// Releases the unused version when its end is in the table. The old version is kept until
    /// the deadline, so that a peer's rollback that crossed with the end still finds it warm.
    fn release(&mut self, now: SystemTime, fence: Fence, actions: &mut Actions) {
        let kept = self.phase == Phase::Done && now < self.spec.deadline;
        if self.is_confirmed() && !kept && !self.released {
            self.released = true;
            let version = self.unused().clone();
            actions.push(MoveAction::ReleaseVersion { version, fence });
        }
    }

    fn unused(&self) -> &Name {
        match self.phase {
            Phase::Done => &self.spec.from,
            _ => &self.spec.to,
        }
    }

    fn write(&mut self, now: SystemTime, fence: Fence, actions: &mut Actions) {
        let confirmed = self.is_confirmed();
        let recent = self.tried.is_some_and(|tried| now < tried + WRITE_RETRY);
        if !confirmed && !recent {
            self.tried = Some(now);
            let status = self.status();
            actions.push(MoveAction::WriteStatus { status, fence });
        }
    }

    fn is_confirmed(&self) -> bool {
        self.confirmed == Some((self.phase, self.conditions.len()))
    }
}
