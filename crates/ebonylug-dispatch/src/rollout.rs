use std::time::{Duration, SystemTime};

use ebonylug_core::{Incarnation, Name};
use ebonylug_moves::{Bucket, Comparison, Evidence, MoveSpec, Sample, SequentialTest};
use serde::{Deserialize, Serialize};

/// Which versions of a service a request may go to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum VersionFilter {
    /// Any.
    #[default]
    All,
    /// Only this one.
    Only(Box<str>),
    /// Any but this one.
    Except(Box<str>),
}

impl VersionFilter {
    /// Reports whether a version is allowed.
    #[must_use]
    pub fn allows(&self, version: &str) -> bool {
        match self {
            VersionFilter::All => true,
            VersionFilter::Only(only) => **only == *version,
            VersionFilter::Except(not) => **not != *version,
        }
    }
}

/// How far a move of a service to another version is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    /// The new version gets a small share.
    Trial,
    /// The new version gets all requests; those at the old one end.
    Switching,
    /// The move is done: targets of the old version may stop.
    Completed,
    /// The new version is bad and gets nothing.
    RolledBack,
}

impl Stage {
    /// Reports whether the move has ended.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Stage::Completed | Stage::RolledBack)
    }

    /// Returns the name in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Stage::Trial => "trial",
            Stage::Switching => "switching",
            Stage::Completed => "completed",
            Stage::RolledBack => "rolled_back",
        }
    }
}

/// Share of a service's requests that a version on trial gets. The bound on what a bad version gets is
/// a tenth, and the switch before the end of the window counts as well.
const TRIAL: f64 = 0.05;
/// Part of the window that has passed when the switch begins. As late as possible: a version may turn
/// bad late, and then few requests have reached it.
const SWITCH_AT: f64 = 0.8;
/// Part of the window that has passed when the move is completed. The rest is for writing that.
const COMPLETE_AT: f64 = 0.9;
/// Answers of the new version without which it is not switched to.
const MIN_ANSWERS: u64 = 30;
/// Failures of the new version, over all entries, that no other evidence outweighs, with the share of
/// its answers that they must be. It acts before the sequential test of longer moves does.
const MAX_BAD: u64 = 8;
/// See [`MAX_BAD`].
const BAD_SHARE: f64 = 0.15;
/// How much higher that share must be than the old version's.
const BAD_FACTOR: f64 = 3.0;

/// A move of a service to another version within a time limit.
///
/// The version gets a small trial share of each entry's requests, so that the bound on what a bad
/// version gets holds without any message. Evidence is shared by all entries, and each of them may
/// find the version bad. Near the end of the window a version that is not worse gets all requests, and
/// the move is completed.
#[derive(Debug)]
pub struct Rollout {
    spec: MoveSpec,
    service: Name,
    version: Box<str>,
    stage: Stage,
    process: Incarnation,
    /// Requests of this entry since the order, and those that went to the new version.
    all: u64,
    new: u64,
    judge: SequentialTest,
}

/// The name under which the old versions of a service are counted together.
const OLD: &str = "other versions";

impl Rollout {
    /// Begins a move of `service` to `version` that was ordered at `start` of the agreed clock.
    #[must_use]
    pub fn new(
        service: Name,
        version: &str,
        start: SystemTime,
        length: Duration,
        process: Incarnation,
    ) -> Self {
        let spec = MoveSpec::new(service.as_str(), service.as_str(), OLD, version)
            .window(start, start + length);
        Rollout {
            spec,
            service,
            version: version.into(),
            stage: Stage::Trial,
            process,
            all: 0,
            new: 0,
            judge: SequentialTest::default(),
        }
    }

    /// Returns the service.
    #[must_use]
    pub fn service(&self) -> &Name {
        &self.service
    }

    /// Returns the new version.
    #[must_use]
    pub fn version(&self) -> &str {
        &self.version
    }

    /// Returns how far the move is.
    #[must_use]
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Chooses the versions for a request. One that is sent again never goes to a version on trial.
    pub fn choose_versions(&mut self, again: bool) -> VersionFilter {
        match self.stage {
            Stage::Switching | Stage::Completed => VersionFilter::Only(self.version.clone()),
            Stage::RolledBack => VersionFilter::Except(self.version.clone()),
            Stage::Trial => {
                self.all += 1;
                if again || (self.new + 1) as f64 > TRIAL * self.all as f64 {
                    return VersionFilter::Except(self.version.clone());
                }
                self.new += 1;
                VersionFilter::Only(self.version.clone())
            }
        }
    }

    /// Counts an answer of a target of some version.
    pub fn record(&self, now: SystemTime, evidence: &mut Evidence, version: &str, sample: Sample) {
        let version = if *version == *self.version {
            &self.version
        } else {
            OLD
        };
        evidence.record(now, self.process, version, self.service.clone(), sample);
    }

    /// Takes over a stage that another entry has reached. A stage never goes back.
    pub fn observe(&mut self, stage: Stage) {
        self.stage = match (self.stage, stage) {
            (own, _) if own.is_final() => own,
            (Stage::Switching, Stage::Trial) => Stage::Switching,
            (_, stage) => stage,
        };
    }

    /// Decides by the evidence of all entries. Returns a stage that was entered.
    pub fn tick(&mut self, now: SystemTime, evidence: &Evidence) -> Option<Stage> {
        if self.stage.is_final() {
            return None;
        }
        let progress = self.spec.progress(now)?;
        let judgement = self.judge.evaluate(&self.spec, evidence, now);
        let bad = matches!(judgement, Comparison::Worse(_)) || self.is_plainly_bad(evidence);
        let suspect = matches!(judgement, Comparison::Suspect(_));
        let (answers, _) = self.counts(evidence, &self.version);
        let next = match self.stage {
            _ if bad => Stage::RolledBack,
            Stage::Trial if progress >= 1.0 => Stage::RolledBack,
            Stage::Trial if progress >= SWITCH_AT && !suspect && answers >= MIN_ANSWERS => {
                Stage::Switching
            }
            Stage::Switching if progress >= COMPLETE_AT => Stage::Completed,
            stage => stage,
        };
        let entered = next != self.stage;
        self.stage = next;
        entered.then_some(next)
    }

    /// Reports whether so many answers of the new version are bad that no test is needed.
    fn is_plainly_bad(&self, evidence: &Evidence) -> bool {
        let (answers, bad) = self.counts(evidence, &self.version);
        let (old_answers, old_bad) = self.counts(evidence, OLD);
        let share = |bad: u64, answers: u64| bad as f64 / answers.max(1) as f64;
        let own = share(bad, answers);
        bad >= MAX_BAD && own >= BAD_SHARE && own >= BAD_FACTOR * share(old_bad, old_answers)
    }

    /// Returns the answers of a version and how many of them were failures or slow.
    fn counts(&self, evidence: &Evidence, version: &str) -> (u64, u64) {
        let version = Name::new(version);
        let first = Bucket::of(self.spec.start);
        let totals = evidence.totals(&version, &self.service, first);
        totals.fold((0, 0), |(answers, bad), (_, counts)| {
            (
                answers + counts.eligible(),
                bad + counts.failures + counts.slow,
            )
        })
    }
}
