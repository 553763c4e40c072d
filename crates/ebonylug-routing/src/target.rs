use std::time::{Duration, Instant};

use ebonylug_core::{Class, Gate, Incarnation, LoadReport, Name, Tokens};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::headroom::Headroom;
use crate::{RequestKey, RouteKey, Settings, VersionKey, ZoneKey};

/// Weight of a new report in the moving average of a target's speed.
const RATE_GAIN: f64 = 0.3;

/// Maximum number of former incarnations that are kept per target to detect their late reports.
const MAX_RETIRED: usize = 8;

/// The properties of a target that are fixed for its lifetime.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetInfo {
    /// The name of the target.
    pub name: Name,
    /// The availability zone of the target.
    pub zone: ZoneKey,
    /// The version that the target runs.
    pub version: VersionKey,
    /// The routes that the target serves.
    pub routes: SmallVec<[RouteKey; 4]>,
    /// How the work of the target is counted.
    pub kind: TargetKind,
}

/// The kind of a target, which determines how its work is counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TargetKind {
    /// A model engine: work is counted in tokens of prompt and output.
    #[default]
    Model,
    /// A plain service: each call counts as one token.
    Service,
}

/// The state of a target as seen by this entry. Only a live target gets new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// The target serves.
    #[default]
    Live,
    /// The target or its sidecar is leaving.
    Leaving,
    /// The sidecar has not responded within the allowed time.
    #[serde(rename = "silent")]
    Unreachable,
    /// The availability zone of the target has been taken out of service.
    ZoneClosed,
    /// The target is down.
    Down,
}

/// A target with its last report, and the work of this entry that the report does not reflect.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) info: TargetInfo,
    pub(crate) state: TargetState,
    /// Increases whenever the prefix cache is lost.
    pub(crate) generation: u32,
    /// The position in the group of each route, in the order of `info.routes`.
    pub(crate) positions: SmallVec<[usize; 4]>,
    /// The end of the pause after a refusal, for interactive and for batch work.
    pub(crate) pauses: [Option<Instant>; 2],
    /// Whether the target is held for a waiting interactive request.
    pub(crate) held: bool,
    report: Option<LoadReport>,
    /// Former incarnations, the latest last. Their late reports are discarded.
    retired: SmallVec<[Incarnation; 2]>,
    /// Moving average of the reported speed in tokens per second, or 0 before the first report.
    rate: f64,
    /// Number of refusals since the last report.
    refusals: u32,
    /// The report includes attempts sent up to this time.
    covered_until: Option<Instant>,
    /// Attempts that the report does not include yet.
    unreported: Vec<SentAttempt>,
    /// Total work of `unreported`.
    unreported_work: Work,
    /// Work that the report includes and that has ended since.
    ended_work: Work,
}

/// An attempt at a target, for load accounting.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentAttempt {
    pub(crate) request: RequestKey,
    pub(crate) number: u32,
    pub(crate) class: Class,
    pub(crate) cost: Tokens,
    pub(crate) at: Instant,
}

/// Expected work of several attempts.
#[derive(Clone, Copy, Debug, Default)]
struct Work {
    all: Tokens,
    /// The part of `all` that is batch work.
    batch: Tokens,
}

impl Target {
    pub(crate) fn new(info: TargetInfo) -> Self {
        Target {
            info,
            state: TargetState::Live,
            generation: 0,
            positions: SmallVec::new(),
            pauses: [None; 2],
            held: false,
            report: None,
            retired: SmallVec::new(),
            rate: 0.0,
            refusals: 0,
            covered_until: None,
            unreported: Vec::new(),
            unreported_work: Work::default(),
            ended_work: Work::default(),
        }
    }

    /// Applies a report, and returns `false` if it is not newer than the current one.
    pub(crate) fn apply_report(
        &mut self,
        now: Instant,
        report: &LoadReport,
        round_trip: Duration,
    ) -> bool {
        if self.retired.contains(&report.incarnation) {
            return false;
        }
        if let Some(old) = &self.report {
            let same = old.incarnation == report.incarnation;
            if same && old.sequence >= report.sequence {
                return false;
            }
            if !same {
                if self.retired.len() == MAX_RETIRED {
                    self.retired.remove(0);
                }
                self.retired.push(old.incarnation);
                self.rate = 0.0;
            }
            if !same || (report.cold && !old.cold) {
                self.generation += 1;
            }
        }
        if report.rate.is_finite() && report.rate > 0.0 {
            let gain = if self.rate > 0.0 { RATE_GAIN } else { 1.0 };
            self.rate += gain * (report.rate - self.rate);
        }
        self.advance_coverage(now, round_trip);
        self.pauses = [None; 2];
        self.refusals = 0;
        self.report = Some(report.clone());
        true
    }

    pub(crate) fn report(&self) -> Option<&LoadReport> {
        self.report.as_ref()
    }

    /// Adds a dispatched attempt to the load.
    pub(crate) fn record_sent(&mut self, sent: SentAttempt) {
        self.unreported_work.add(sent);
        self.unreported.push(sent);
    }

    /// Subtracts an attempt that has ended after it ran from the load.
    pub(crate) fn record_ended(&mut self, sent: SentAttempt) {
        if self
            .covered_until
            .is_some_and(|covered_until| sent.at <= covered_until)
        {
            self.ended_work.add(sent);
        } else {
            self.record_not_run(sent);
        }
    }

    /// Subtracts an attempt that did not run from the load. No report has included it, so nothing
    /// is left to subtract once a report covers its time.
    pub(crate) fn record_not_run(&mut self, sent: SentAttempt) {
        let same =
            |other: &SentAttempt| other.request == sent.request && other.number == sent.number;
        if let Some(index) = self.unreported.iter().position(same) {
            let sent = self.unreported.remove(index);
            self.unreported_work.remove(sent);
        }
    }

    /// Pauses dispatch to the target after a refusal, and returns the end of the pause. `hint` is
    /// the delay that the refusal asks for. Without it, the pause doubles with each refusal since
    /// the last report.
    pub(crate) fn pause(
        &mut self,
        now: Instant,
        class: Option<Class>,
        hint: Option<Duration>,
        settings: &Settings,
    ) -> Instant {
        let doubled = settings.backoff.saturating_mul(1 << self.refusals.min(16));
        self.refusals += 1;
        let pause = hint
            .unwrap_or(doubled)
            .clamp(settings.backoff, settings.backoff_max);
        let until = now + pause;
        // A target that refuses interactive work also refuses batch work.
        if class != Some(Class::Batch) {
            self.pauses[0] = self.pauses[0].max(Some(until));
        }
        self.pauses[1] = self.pauses[1].max(Some(until));
        until
    }

    /// Clears the pauses that have ended.
    pub(crate) fn end_pauses(&mut self, now: Instant) {
        for pause in &mut self.pauses {
            *pause = pause.filter(|&until| until > now);
        }
    }

    /// Returns the expected work at the target.
    pub(crate) fn load(&self) -> Tokens {
        let used = self.report.as_ref().map_or(Tokens::ZERO, |r| r.used);
        used + self.unreported_work.all - self.ended_work.all
    }

    /// Returns the part of the load that is batch work and can be preempted.
    pub(crate) fn batch_load(&self) -> Tokens {
        let batch = self.report.as_ref().map_or(Tokens::ZERO, |r| r.batch);
        (batch + self.unreported_work.batch - self.ended_work.batch).min(self.load())
    }

    /// Reports whether batch work may be running at the target.
    pub(crate) fn runs_batch(&self) -> bool {
        self.state != TargetState::Down && self.batch_load() > Tokens::ZERO
    }

    /// Estimates the headroom of the target. `factors` scale the limit for interactive and for
    /// batch work.
    pub(crate) fn headroom(&self, factors: [f64; 2]) -> Headroom {
        let Some(report) = self.serving() else {
            return Headroom::default();
        };
        let load = self.load();
        let interactive_load = load - self.batch_load();
        let available = |index: usize, occupied: Tokens| {
            let limit = report.limit.scale(factors[index]);
            let closed = self.pauses[index].is_some() || factors[index] <= 0.0;
            if self.held || closed || report.limit == Tokens::ZERO {
                0
            } else if occupied == Tokens::ZERO {
                // An idle target takes one request of any size, or a large request would
                // never run on a small or cold target.
                u64::MAX
            } else {
                (limit - occupied).0
            }
        };
        Headroom {
            interactive: available(0, interactive_load),
            batch: available(1, load + report.reserved),
            free: available(0, load),
            load: load.0,
            limit: report.limit.0,
            max_limit: report.limit.0,
        }
    }

    /// Returns the average reported speed in tokens per second, or `None` if none was reported.
    pub(crate) fn rate(&self) -> Option<f64> {
        (self.rate > 0.0).then_some(self.rate)
    }

    pub(crate) fn is_cold(&self) -> bool {
        self.report.as_ref().is_some_and(|report| report.cold)
    }

    /// Returns the last report if the target admits work.
    fn serving(&self) -> Option<&LoadReport> {
        let report = self.report.as_ref()?;
        let serves = self.state == TargetState::Live && report.up && report.gate == Gate::Open;
        serves.then_some(report)
    }

    /// Treats attempts that were sent at least one round trip before `now` as included in the
    /// report.
    fn advance_coverage(&mut self, now: Instant, round_trip: Duration) {
        self.ended_work = Work::default();
        let Some(covered_until) = now.checked_sub(round_trip) else {
            return;
        };
        self.covered_until = Some(covered_until);
        let unreported_work = &mut self.unreported_work;
        self.unreported.retain(|&sent| {
            let covered = sent.at <= covered_until;
            if covered {
                unreported_work.remove(sent);
            }
            !covered
        });
    }
}

impl Work {
    fn add(&mut self, sent: SentAttempt) {
        self.all += sent.cost;
        if sent.class == Class::Batch {
            self.batch += sent.cost;
        }
    }

    fn remove(&mut self, sent: SentAttempt) {
        self.all -= sent.cost;
        if sent.class == Class::Batch {
            self.batch -= sent.cost;
        }
    }
}
