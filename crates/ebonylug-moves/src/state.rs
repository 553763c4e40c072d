use std::time::{Duration, SystemTime};

use ebonylug_core::{Fence, Name};

use crate::ratio_cache::RatioCache;
use crate::spec::{CANARY_SHARE, INITIAL_SHARE};
use crate::suspicion::{ShareAdvice, SuspicionTracker};
use crate::{
    Actions, Capacity, Comparison, Condition, Evidence, Finding, LoadPlan, LoadRate, Measure,
    MoveAction, MoveReason, MoveSpec, MoveStatus, Phase, SequentialTest, Share, StoreState,
    TargetLoad, scheduled_share,
};

/// Fraction of the window until which the share stays at the canary share if the comparison has no
/// result.
const CANARY_END: f64 = 0.4;
/// Minimum fraction of the window that a rise from 0 to 100 % takes, so that a share that was held
/// back does not jump.
const MIN_RISE: f64 = 0.2;
/// Fraction of the window after which a share that was held back must have reached 100 %.
const CATCH_UP_END: f64 = 0.9;
/// Fraction of the window after which the observation period ends and a mere suspicion no longer
/// holds the share back. The rest of the window is for writing the status.
const OBSERVATION_END: f64 = 0.95;
/// Highest share of a suspect version. It leaves the old version enough traffic for a comparison,
/// and the new one enough load that a fault under load still shows.
const MAX_SUSPECT_SHARE: Share = Share::percent(75);
/// Rise of the share per second until a version has regained its share from before a suspicion.
const RECOVERY_PER_S: f64 = 0.05;
/// Interval at which an unconfirmed status is written again.
const WRITE_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// The state of one move at one entry.
///
/// The share is the minimum of the schedule, of the limit from the comparison of both versions and
/// of the capacity of warm targets. A rollback sets it to zero and is final for the move.
///
/// A version with too little traffic for a result stays at the canary share for two fifths of the
/// window. Then the move proceeds, and the reason is recorded: if it were refused instead, a route
/// with little traffic would miss every deadline, and the number of exposed requests is small.
#[derive(Clone, Debug)]
pub struct MoveState {
    spec: MoveSpec,
    test: SequentialTest,
    cache: RatioCache,
    suspicion: SuspicionTracker,
    phase: Phase,
    share: Share,
    /// The highest share so far.
    max_share: Share,
    /// Whether the comparison has shown the new version to be no worse.
    proven: bool,
    conditions: Vec<Condition>,
    capacity: Capacity,
    plan: LoadPlan,
    last_tick: Option<SystemTime>,
    /// Whether this entry has started during an active move.
    resumed: bool,
    /// The phase that was last sent to the peers.
    broadcast_phase: Phase,
    /// Phase and number of conditions of the last status that is known to be in the store.
    confirmed: Option<(Phase, usize)>,
    last_write: Option<SystemTime>,
    /// Whether the unused version has been released, after which no rollback is possible.
    released: bool,
}

impl MoveState {
    /// Creates the state of a move in [`Phase::Pending`], with a share of zero and no warm targets.
    #[must_use]
    pub fn new(spec: MoveSpec) -> Self {
        MoveState {
            spec,
            test: SequentialTest::default(),
            cache: RatioCache::default(),
            suspicion: SuspicionTracker::default(),
            phase: Phase::Pending,
            share: Share::ZERO,
            max_share: Share::ZERO,
            proven: false,
            conditions: Vec::new(),
            capacity: Capacity {
                warm: 0.0,
                planned: 1.0,
            },
            plan: LoadPlan::new(LoadRate::default()),
            last_tick: None,
            resumed: false,
            broadcast_phase: Phase::Pending,
            confirmed: None,
            last_write: None,
            released: false,
        }
    }

    /// Replaces the test that compares the versions.
    #[must_use]
    pub fn with_test(mut self, test: SequentialTest) -> Self {
        self.test = test;
        self
    }

    /// Sets the permitted rate of model loads. This resets the targets of the load plan.
    #[must_use]
    pub fn with_load_rate(mut self, rate: LoadRate) -> Self {
        self.plan = LoadPlan::new(rate);
        self
    }

    /// Sets the capacity of the targets of the new version. Until this is called, the share does
    /// not exceed 1 %.
    pub fn set_capacity(&mut self, capacity: Capacity) {
        self.capacity = capacity;
    }

    /// Replaces the targets that should load the new version.
    pub fn set_targets(&mut self, loads: &[TargetLoad]) {
        self.plan.set_targets(loads);
    }

    /// Refuses the move, for example because [`find_conflict`](crate::find_conflict) has found
    /// another one. This has no effect once the ramp has begun.
    pub fn refuse(&mut self, now: SystemTime, reason: MoveReason, message: &str) {
        if self.phase == Phase::Pending {
            self.add_condition(now, reason, message);
            self.enter(Phase::Refused);
        }
    }

    /// Rolls the move back on behalf of an operator.
    pub fn abort(&mut self, now: SystemTime, message: &str) {
        self.roll_back(now, MoveReason::Operator, message);
    }

    /// Applies a status that was received from a peer or read from the store.
    ///
    /// A rollback is applied immediately. If this entry has just started, the share of an active
    /// move is not ramped up from the start, but set to the share that the schedule, the
    /// comparison and the capacity permit.
    pub fn apply_status(&mut self, now: SystemTime, status: &MoveStatus) {
        if status.name != self.spec.name {
            return;
        }
        if status.phase == Phase::RolledBack {
            let cause = status.conditions.last().map_or("", |c| &c.message);
            self.roll_back(now, MoveReason::PeerReport, cause);
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
            Phase::Ramping | Phase::Watching if self.last_tick.is_none() => self.resumed = true,
            _ => {}
        }
    }

    /// Advances the move to `now` and returns the actions to carry out.
    ///
    /// `lease` is the fencing token if this process holds the lease of the move. Without it, the
    /// share is still computed and the move is still rolled back, but no orders or writes are
    /// returned.
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
            Phase::Done => self.check_done(now, evidence),
            _ => self.advance(now, evidence),
        }
        self.last_tick = Some(now);
        let mut actions = Actions::new();
        if self.share != before {
            actions.push(MoveAction::SetShare(self.share));
        }
        if self.broadcast_phase != self.phase {
            self.broadcast_phase = self.phase;
            actions.push(MoveAction::BroadcastStatus(self.status()));
        }
        if let Some(fence) = lease {
            self.push_orders(now, fence, &mut actions);
            if store == StoreState::Up {
                self.push_write(now, fence, &mut actions);
            }
        }
        actions
    }

    /// Confirms that `status` is in the store, according to the reply to the write or to a later
    /// read.
    pub fn confirm_write(&mut self, status: &MoveStatus) {
        if status.name == self.spec.name {
            self.confirmed = Some((status.phase, status.conditions.len()));
        }
    }

    /// Returns the current share of the new version at this entry.
    #[must_use]
    pub fn share(&self) -> Share {
        self.share
    }

    /// Returns the current phase of the move at this entry.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns the specification of the move.
    #[must_use]
    pub fn spec(&self) -> &MoveSpec {
        &self.spec
    }

    /// Returns the conditions so far, oldest first, at most one per reason.
    #[must_use]
    pub fn conditions(&self) -> &[Condition] {
        &self.conditions
    }

    /// Returns the status for peers and for the store.
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
        if self.phase == Phase::Pending && !self.begin_ramp(now) {
            return;
        }
        let comparison = self.compare(now, evidence);
        if let Comparison::Worse(finding) = &comparison {
            self.roll_back_for(now, finding);
            return;
        }
        let high_share = self.share > MAX_SUSPECT_SHARE;
        let advice = self
            .suspicion
            .update(now, &comparison, high_share, &self.spec, evidence);
        if let ShareAdvice::Worse(finding) = &advice {
            self.roll_back(now, MoveReason::UnderLoad, &finding.to_string());
            return;
        }
        let mut limit = self.comparison_limit(now, progress, &comparison);
        if advice == ShareAdvice::Hold && progress < OBSERVATION_END {
            limit = limit.min(self.share.min(MAX_SUSPECT_SHARE).max(INITIAL_SHARE));
        }
        let wanted = scheduled_share(&self.spec, now).min(limit);
        self.share = wanted
            .min(self.rise_limit(now, progress))
            .min(self.capacity_limit(now));
        self.max_share = self.max_share.max(self.share);
        self.update_phase(now, progress);
    }

    /// Compares the versions of a completed move until the deadline, while the old one is still
    /// warm.
    fn check_done(&mut self, now: SystemTime, evidence: &Evidence) {
        if now >= self.spec.deadline {
            return;
        }
        if let Comparison::Worse(finding) = self.compare(now, evidence) {
            self.roll_back_for(now, &finding);
        }
    }

    fn compare(&mut self, now: SystemTime, evidence: &Evidence) -> Comparison {
        let test = self.test;
        test.evaluate_cached(&mut self.cache, &self.spec, evidence, now)
    }

    /// Begins the ramp, or refuses the move and returns `false` if it is not valid or the capacity
    /// is insufficient.
    fn begin_ramp(&mut self, now: SystemTime) -> bool {
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
        self.add_condition(now, MoveReason::Started, "");
        self.enter(Phase::Ramping);
        true
    }

    /// Returns the highest share that the result of the comparison permits.
    fn comparison_limit(
        &mut self,
        now: SystemTime,
        progress: f64,
        comparison: &Comparison,
    ) -> Share {
        if *comparison == Comparison::NotWorse && !self.proven {
            self.proven = true;
            self.add_condition(now, MoveReason::Proven, "");
        }
        if let Comparison::Suspect(finding) = comparison {
            self.add_condition(now, MoveReason::Suspect, &finding.to_string());
        }
        if self.proven {
            return Share::FULL;
        }
        if progress < CANARY_END {
            return CANARY_SHARE;
        }
        let message = "the move proceeds on schedule";
        self.add_condition(now, MoveReason::TooLittleTraffic, message);
        Share::FULL
    }

    /// Returns the highest share that can be reached from the current one without a jump.
    fn rise_limit(&mut self, now: SystemTime, progress: f64) -> Share {
        let Some(last_tick) = self.last_tick else {
            return if self.resumed {
                Share::FULL
            } else {
                CANARY_SHARE
            };
        };
        let window = self.spec.duration().as_secs_f64();
        let elapsed = now
            .duration_since(last_tick)
            .unwrap_or_default()
            .as_secs_f64()
            / window;
        let share = self.share.fraction();
        let left = CATCH_UP_END - (progress - elapsed);
        let rate = if left > elapsed {
            (1.0 / MIN_RISE).max((1.0 - share) / left)
        } else {
            return Share::FULL;
        };
        // At least one step of a share, so that short tick intervals are not rounded down to zero.
        let step = (elapsed * rate).max(1e-4);
        let recovered = (share + elapsed * window * RECOVERY_PER_S).min(self.max_share.fraction());
        Share::from_fraction(recovered.max(share + step)).max(INITIAL_SHARE)
    }

    fn capacity_limit(&mut self, now: SystemTime) -> Share {
        let warm = Share::from_fraction(self.capacity.warm);
        if warm < scheduled_share(&self.spec, now) {
            let message = format!("warm targets bear {warm}");
            self.add_condition(now, MoveReason::NotEnoughCapacity, &message);
        }
        warm.max(INITIAL_SHARE)
    }

    fn update_phase(&mut self, now: SystemTime, progress: f64) {
        if self.phase == Phase::Ramping && self.share == Share::FULL {
            self.add_condition(now, MoveReason::Complete, "");
            self.enter(Phase::Watching);
            return;
        }
        if self.phase == Phase::Watching && self.share == Share::FULL && progress >= OBSERVATION_END
        {
            self.add_condition(now, MoveReason::Finished, "");
            self.enter(Phase::Done);
        }
        if progress > 1.0 && self.share < Share::FULL {
            let message = format!("the new version has {}", self.share);
            self.add_condition(now, MoveReason::DeadlineMissed, &message);
        }
    }

    fn roll_back_for(&mut self, now: SystemTime, finding: &Finding) {
        let reason = match finding.measure {
            Measure::Failures => MoveReason::Failures,
            Measure::Slowness => MoveReason::Slowness,
        };
        self.roll_back(now, reason, &finding.to_string());
    }

    fn roll_back(&mut self, now: SystemTime, reason: MoveReason, message: &str) {
        let ended = matches!(self.phase, Phase::RolledBack | Phase::Refused);
        if !ended && !self.released {
            self.add_condition(now, reason, message);
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

    fn add_condition(&mut self, now: SystemTime, reason: MoveReason, message: &str) {
        if self.conditions.iter().any(|c| c.reason == reason) {
            return;
        }
        self.conditions.push(Condition {
            reason,
            message: message.into(),
            time: now,
        });
    }

    fn push_orders(&mut self, now: SystemTime, fence: Fence, actions: &mut Actions) {
        if self.phase.is_final() {
            self.push_release(now, fence, actions);
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

    /// Releases the unused version once the final status is in the store. The old version is kept
    /// until the deadline, so that it is still warm if a peer rolls the move back at the same time.
    fn push_release(&mut self, now: SystemTime, fence: Fence, actions: &mut Actions) {
        let kept = self.phase == Phase::Done && now < self.spec.deadline;
        if self.is_confirmed() && !kept && !self.released {
            self.released = true;
            let version = self.unused_version().clone();
            actions.push(MoveAction::ReleaseVersion { version, fence });
        }
    }

    fn unused_version(&self) -> &Name {
        match self.phase {
            Phase::Done => &self.spec.from,
            _ => &self.spec.to,
        }
    }

    fn push_write(&mut self, now: SystemTime, fence: Fence, actions: &mut Actions) {
        let confirmed = self.is_confirmed();
        let recent = self
            .last_write
            .is_some_and(|last| now < last + WRITE_RETRY_INTERVAL);
        if !confirmed && !recent {
            self.last_write = Some(now);
            let status = self.status();
            actions.push(MoveAction::WriteStatus { status, fence });
        }
    }

    fn is_confirmed(&self) -> bool {
        self.confirmed == Some((self.phase, self.conditions.len()))
    }
}
