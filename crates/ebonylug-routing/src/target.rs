use std::time::{Duration, Instant};

use ebonylug_core::{Class, Gate, LoadReport, Name, Tokens};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::headroom::Headroom;
use crate::{RequestKey, RouteKey, Settings, VersionKey, ZoneKey};

/// Weight of a new report in the learned speed.
const RATE_GAIN: f64 = 0.3;

/// What does not change while a target exists.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetInfo {
    /// The name of the target.
    pub name: Name,
    /// The availability zone that the target is in.
    pub zone: ZoneKey,
    /// The version that the target runs.
    pub version: VersionKey,
    /// The routes that the target serves.
    pub routes: SmallVec<[RouteKey; 4]>,
    /// Whether the target is a model engine or a plain service.
    pub kind: TargetKind,
}

/// The kind of a target decides how work is counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TargetKind {
    /// A model engine: work is counted in tokens of prompt and output.
    #[default]
    Model,
    /// A plain service: each call counts one token.
    Service,
}

/// Whether a target may get work, as far as this entry knows. Only a live one gets any.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// The target serves.
    #[default]
    Live,
    /// The target or its sidecar is leaving.
    Leaving,
    /// Nothing has been heard from the sidecar for too long.
    Silent,
    /// The availability zone of the target was taken out.
    ZoneClosed,
    /// The target is down.
    Down,
}

/// A target with the last report, and the own work that this report cannot reflect.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) info: TargetInfo,
    pub(crate) state: TargetState,
    /// Rises when the prefix cache is lost.
    pub(crate) generation: u32,
    /// Position in the group of each route, in the order of `info.routes`.
    pub(crate) positions: SmallVec<[usize; 4]>,
    /// Until when no work of a class is sent after a refusal: interactive, batch.
    pub(crate) pauses: [Option<Instant>; 2],
    /// Whether the target is kept for an interactive request that waits.
    pub(crate) held: bool,
    report: Option<LoadReport>,
    /// The incarnation before the present one, whose late reports are discarded.
    prev_incarnation: Option<ebonylug_core::Incarnation>,
    rate: f64,
    refusals: u32,
    /// Attempts that were sent up to this time are part of the report.
    covered_until: Option<Instant>,
    unreported: Vec<SentAttempt>,
    /// Work of `unseen`.
    unreported_work: Work,
    /// Work that the report contains and that has ended since.
    ended_work: Work,
}

/// An attempt at the target, for accounting.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentAttempt {
    pub(crate) request: RequestKey,
    pub(crate) number: u32,
    pub(crate) class: Class,
    pub(crate) cost: Tokens,
    pub(crate) at: Instant,
}

#[derive(Clone, Copy, Debug, Default)]
struct Work {
    all: Tokens,
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
            prev_incarnation: None,
            rate: 0.0,
            refusals: 0,
            covered_until: None,
            unreported: Vec::new(),
            unreported_work: Work::default(),
            ended_work: Work::default(),
        }
    }

    /// Applies a report, unless it is older than the present one.
    pub(crate) fn apply_report(
        &mut self,
        now: Instant,
        report: &LoadReport,
        round_trip: Duration,
    ) -> bool {
        if self.prev_incarnation == Some(report.incarnation) {
            return false;
        }
        if let Some(old) = &self.report {
            let same = old.incarnation == report.incarnation;
            if same && old.sequence >= report.sequence {
                return false;
            }
            if !same {
                self.prev_incarnation = Some(old.incarnation);
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

    /// Accounts for an attempt that is being sent.
    pub(crate) fn record_sent(&mut self, send: SentAttempt) {
        self.unreported_work.add(send);
        self.unreported.push(send);
    }

    /// Accounts for an attempt that has ended after it ran.
    pub(crate) fn record_ended(&mut self, send: SentAttempt) {
        if self
            .covered_until
            .is_some_and(|covered_until| send.at <= covered_until)
        {
            self.ended_work.add(send);
        } else {
            self.record_not_run(send);
        }
    }

    /// Accounts for an attempt that did not run: no report has contained it.
    pub(crate) fn record_not_run(&mut self, send: SentAttempt) {
        let same =
            |other: &SentAttempt| other.request == send.request && other.number == send.number;
        if let Some(index) = self.unreported.iter().position(same) {
            let send = self.unreported.remove(index);
            self.unreported_work.remove(send);
        }
    }

    /// Stops sending after a refusal and returns until when.
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
        // What is refused to interactive work is refused to batch work all the more.
        if class != Some(Class::Batch) {
            self.pauses[0] = self.pauses[0].max(Some(until));
        }
        self.pauses[1] = self.pauses[1].max(Some(until));
        until
    }

    /// Ends the pauses that are over.
    pub(crate) fn end_pauses(&mut self, now: Instant) {
        for pause in &mut self.pauses {
            *pause = pause.filter(|&until| until > now);
        }
    }

    /// Returns the expected work inside the target.
    pub(crate) fn load(&self) -> Tokens {
        let used = self.report.as_ref().map_or(Tokens::ZERO, |r| r.used);
        used + self.unreported_work.all - self.ended_work.all
    }

    /// Returns the part of the load that could be preempted.
    pub(crate) fn batch_load(&self) -> Tokens {
        let batch = self.report.as_ref().map_or(Tokens::ZERO, |r| r.batch);
        (batch + self.unreported_work.batch - self.ended_work.batch).min(self.load())
    }

    /// Reports whether batch work may be running here.
    pub(crate) fn runs_batch(&self) -> bool {
        self.state != TargetState::Down && self.batch_load() > Tokens::ZERO
    }

    /// Returns the room that the sidecar probably has. `factors` scale the limit for
    /// interactive and batch work.
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
                // A target without work takes one request of any size, or a large request
                // would never run on a small or cold target.
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

    /// Returns the learned speed in tokens per second, or nothing if none is known.
    pub(crate) fn rate(&self) -> Option<f64> {
        (self.rate > 0.0).then_some(self.rate)
    }

    pub(crate) fn is_cold(&self) -> bool {
        self.report.as_ref().is_some_and(|report| report.cold)
    }

    /// Returns the report if the target admits work.
    fn serving(&self) -> Option<&LoadReport> {
        let report = self.report.as_ref()?;
        let serves = self.state == TargetState::Live && report.up && report.gate == Gate::Open;
        serves.then_some(report)
    }

    /// Counts what was sent more than a round trip ago as part of the report.
    fn advance_coverage(&mut self, now: Instant, round_trip: Duration) {
        self.ended_work = Work::default();
        let Some(covered_until) = now.checked_sub(round_trip) else {
            return;
        };
        self.covered_until = Some(covered_until);
        let unreported_work = &mut self.unreported_work;
        self.unreported.retain(|&send| {
            let seen = send.at <= covered_until;
            if seen {
                unreported_work.remove(send);
            }
            !seen
        });
    }
}

impl Work {
    fn add(&mut self, send: SentAttempt) {
        self.all += send.cost;
        if send.class == Class::Batch {
            self.batch += send.cost;
        }
    }

    fn remove(&mut self, send: SentAttempt) {
        self.all -= send.cost;
        if send.class == Class::Batch {
            self.batch -= send.cost;
        }
    }
}
