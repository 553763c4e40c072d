use std::time::{Duration, SystemTime};

use ebonylug_core::{Incarnation, Name};
use ebonylug_moves::{Bucket, Comparison, Evidence, MoveSpec, Sample, SequentialTest};
use serde::{Deserialize, Serialize};

/// The versions of a service that may serve a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum VersionFilter {
    /// All versions.
    #[default]
    All,
    /// Only this version.
    Only(Box<str>),
    /// All versions except this one.
    Except(Box<str>),
}

impl VersionFilter {
    /// Reports whether a version may serve the request.
    #[must_use]
    pub fn allows(&self, version: &str) -> bool {
        match self {
            VersionFilter::All => true,
            VersionFilter::Only(only) => **only == *version,
            VersionFilter::Except(excluded) => **excluded != *version,
        }
    }
}

/// The stage of a move of a service to another version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    /// The new version gets a small share of the requests.
    Trial,
    /// The new version gets all requests, and those in flight at the old version finish.
    Switching,
    /// The move is complete, and targets of the old version may stop.
    Completed,
    /// The new version is worse than the old one, or was not proven in time, and gets no requests.
    RolledBack,
}

impl Stage {
    /// Reports whether the move is completed or rolled back.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Stage::Completed | Stage::RolledBack)
    }

    /// Returns the name used in logs.
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

/// Share of the requests that go to the new version during the trial. A worse version may get at most a
/// tenth of all requests, which includes those after the switch.
const TRIAL_SHARE: f64 = 0.05;
/// Share of the window after which the switch begins. A version may degrade late in the window, and a late
/// switch then has sent few requests to it.
const SWITCH_PROGRESS: f64 = 0.8;
/// Share of the window after which the move is completed. The rest is reserved for writing the result.
const COMPLETE_PROGRESS: f64 = 0.9;
/// Minimum responses of the new version before the switch.
const MIN_RESPONSES: u64 = 30;
/// Minimum bad (failed or slow) responses of the new version, over all entries, for a rollback without
/// the sequential test. This limit reacts sooner than the test, which is designed for longer moves.
const ROLLBACK_BAD_RESPONSES: u64 = 8;
/// Minimum share of bad responses of the new version for that rollback.
const ROLLBACK_BAD_SHARE: f64 = 0.15;
/// Minimum ratio of that share to the share of the old versions for that rollback.
const ROLLBACK_BAD_RATIO: f64 = 3.0;

/// A move of a service to another version within a time limit.
///
/// The new version gets a small share of each entry's requests, so the limit on requests to a worse
/// version holds without coordination. Entries share their evidence, and each of them may roll the move
/// back. Near the end of the window, a version that is not worse gets all requests, and the move is
/// completed.
#[derive(Debug)]
pub struct Rollout {
    spec: MoveSpec,
    service: Name,
    version: Box<str>,
    stage: Stage,
    /// Whether the stage is final and the store has it, so that it holds for all entries.
    is_settled: bool,
    process: Incarnation,
    /// Requests of this entry during the trial.
    total_requests: u64,
    /// Those of them that went to the new version.
    trial_requests: u64,
    test: SequentialTest,
}

/// The name under which the evidence of all old versions of a service is aggregated.
const OLD_VERSIONS: &str = "other versions";

impl Rollout {
    /// Starts a move of `service` to `version` that was ordered at `start`, a time of the clock that all
    /// entries share.
    #[must_use]
    pub fn new(
        service: Name,
        version: &str,
        start: SystemTime,
        time_limit: Duration,
        process: Incarnation,
    ) -> Self {
        let spec = MoveSpec::new(service.as_str(), service.as_str(), OLD_VERSIONS, version)
            .window(start, start + time_limit);
        Rollout {
            spec,
            service,
            version: version.into(),
            stage: Stage::Trial,
            is_settled: false,
            process,
            total_requests: 0,
            trial_requests: 0,
            test: SequentialTest::default(),
        }
    }

    /// Returns the service that is moved.
    #[must_use]
    pub fn service(&self) -> &Name {
        &self.service
    }

    /// Returns the version that the service is moved to.
    #[must_use]
    pub fn version(&self) -> &str {
        &self.version
    }

    /// Returns the stage that this entry has reached.
    #[must_use]
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Chooses the versions that may serve a request. A retry never goes to a version on trial.
    pub fn choose_versions(&mut self, is_retry: bool) -> VersionFilter {
        match self.stage {
            Stage::Switching | Stage::Completed => VersionFilter::Only(self.version.clone()),
            Stage::RolledBack => VersionFilter::Except(self.version.clone()),
            Stage::Trial => {
                self.total_requests += 1;
                if is_retry
                    || (self.trial_requests + 1) as f64 > TRIAL_SHARE * self.total_requests as f64
                {
                    return VersionFilter::Except(self.version.clone());
                }
                self.trial_requests += 1;
                VersionFilter::Only(self.version.clone())
            }
        }
    }

    /// Returns the versions that may serve a request for which `earlier` was chosen before the stage changed.
    #[must_use]
    pub fn revise_versions(&self, earlier: &VersionFilter) -> VersionFilter {
        let version = || self.version.clone();
        match self.stage {
            Stage::Switching | Stage::Completed => VersionFilter::Only(version()),
            Stage::Trial if *earlier == VersionFilter::Only(version()) => earlier.clone(),
            Stage::Trial | Stage::RolledBack => VersionFilter::Except(version()),
        }
    }

    /// Adds a response of a target of `version` to the evidence.
    pub fn record(&self, now: SystemTime, evidence: &mut Evidence, version: &str, sample: Sample) {
        let version = if *version == *self.version {
            &self.version
        } else {
            OLD_VERSIONS
        };
        evidence.record(now, self.process, version, self.service.clone(), sample);
    }

    /// Adopts a stage that another entry has reached. The stage never regresses.
    ///
    /// Entries that do not hear each other may end a move differently. Until the store settles it, a rollback goes
    /// before a completion, since it sends nothing to a version that may be bad.
    pub fn apply_stage(&mut self, stage: Stage) {
        self.stage = match (self.stage, stage) {
            (current, _) if self.is_settled => current,
            (Stage::Completed, Stage::RolledBack) => Stage::RolledBack,
            (current, _) if current.is_final() => current,
            (Stage::Switching, Stage::Trial) => Stage::Switching,
            (_, stage) => stage,
        };
    }

    /// Adopts a stage that the store has. A final one holds for all entries, also for one that has ended the move
    /// differently.
    pub fn settle_stage(&mut self, stage: Stage) {
        if stage.is_final() {
            self.stage = stage;
            self.is_settled = true;
        } else {
            self.apply_stage(stage);
        }
    }

    /// Evaluates the evidence of all entries. Returns the new stage if it changed.
    pub fn tick(&mut self, now: SystemTime, evidence: &Evidence) -> Option<Stage> {
        if self.stage.is_final() {
            return None;
        }
        let progress = self.spec.progress(now)?;
        let comparison = self.test.evaluate(&self.spec, evidence, now);
        let worse =
            matches!(comparison, Comparison::Worse(_)) || self.exceeds_failure_limit(evidence);
        let suspect = matches!(comparison, Comparison::Suspect(_));
        let (responses, _) = self.counts(evidence, &self.version);
        let next = match self.stage {
            _ if worse => Stage::RolledBack,
            Stage::Trial if progress >= 1.0 => Stage::RolledBack,
            Stage::Trial
                if progress >= SWITCH_PROGRESS && !suspect && responses >= MIN_RESPONSES =>
            {
                Stage::Switching
            }
            Stage::Switching if progress >= COMPLETE_PROGRESS => Stage::Completed,
            stage => stage,
        };
        let changed = next != self.stage;
        self.stage = next;
        changed.then_some(next)
    }

    /// Reports whether the bad responses of the new version justify a rollback without the sequential
    /// test.
    fn exceeds_failure_limit(&self, evidence: &Evidence) -> bool {
        let (responses, bad) = self.counts(evidence, &self.version);
        let (old_responses, old_bad) = self.counts(evidence, OLD_VERSIONS);
        let share = |bad: u64, responses: u64| bad as f64 / responses.max(1) as f64;
        let bad_share = share(bad, responses);
        bad >= ROLLBACK_BAD_RESPONSES
            && bad_share >= ROLLBACK_BAD_SHARE
            && bad_share >= ROLLBACK_BAD_RATIO * share(old_bad, old_responses)
    }

    /// Returns the number of responses of a version, and how many of them were failures or slow.
    fn counts(&self, evidence: &Evidence, version: &str) -> (u64, u64) {
        let version = Name::new(version);
        let first = Bucket::of(self.spec.start);
        let totals = evidence.totals(&version, &self.service, first);
        totals.fold((0, 0), |(responses, bad), (_, counts)| {
            (
                responses + counts.eligible(),
                bad + counts.failures + counts.slow,
            )
        })
    }
}
