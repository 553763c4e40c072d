//! Moves of services to new versions, from the point of view of one entry.

use std::collections::HashMap;
use std::time::{Duration, SystemTime};

use ebonylug_core::{Incarnation, Name};
use ebonylug_dispatch::{
    ResponseLatency, Rollout, RolloutStatus, Stage, VersionFilter, VersionLatencies,
};
use ebonylug_moves::{BUCKET_LENGTH, Bucket, Evidence, Sample};

/// A move that an operator has requested.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MoveOrder {
    /// The service to move.
    pub service: Name,
    /// The version to move to.
    pub version: Box<str>,
    /// The maximum duration of the move.
    pub time_limit: Duration,
}

/// The stage of a move, for the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MoveReport {
    /// The service that moves.
    pub service: Name,
    /// The version that it moves to.
    pub version: Box<str>,
    /// The stage that the move has reached.
    pub stage: Stage,
}

/// The number of recent evidence buckets in each message to other entries. Buckets are sent
/// repeatedly, so that a lost message does no harm.
const SHARED_BUCKETS: u32 = 3;

/// The active moves of one entry.
#[derive(Debug)]
pub(crate) struct Moves {
    process: Incarnation,
    rollouts: HashMap<Name, Rollout>,
    evidence: Evidence,
    latencies: VersionLatencies,
    /// The last stage that the platform has confirmed, by service.
    reported: HashMap<Name, Stage>,
    /// An uptime of this machine and the shared time at that uptime.
    shared_time: Option<(Duration, Duration)>,
    /// Increases when a move begins, ends or reaches another stage.
    changes: u64,
}

impl Moves {
    pub(crate) fn new(process: Incarnation) -> Self {
        Moves {
            process,
            rollouts: HashMap::new(),
            evidence: Evidence::default(),
            latencies: VersionLatencies::default(),
            reported: HashMap::new(),
            shared_time: None,
            changes: 0,
        }
    }

    /// Sets the shared time at an uptime. All entries take it from the store's clock.
    pub(crate) fn set_shared_time(&mut self, uptime: Duration, time: Duration) {
        self.shared_time = Some((uptime, time));
    }

    fn now(&self, uptime: Duration) -> Option<SystemTime> {
        let (at, time) = self.shared_time?;
        Some(SystemTime::UNIX_EPOCH + time + uptime.saturating_sub(at))
    }

    /// Starts moves that were ordered, and drops those that are no longer ordered. Has no effect before
    /// the shared time is known.
    pub(crate) fn set_orders(&mut self, uptime: Duration, orders: &[MoveOrder]) {
        let Some(now) = self.now(uptime) else {
            return;
        };
        let is_ordered = |rollout: &Rollout| {
            let matches = |order: &&MoveOrder| order.service == *rollout.service();
            let order = orders.iter().find(matches);
            order.is_some_and(|order| *order.version == *rollout.version())
        };
        let before = self.rollouts.len();
        self.rollouts.retain(|_, rollout| is_ordered(rollout));
        self.changes += u64::from(self.rollouts.len() != before);
        let kept = &self.rollouts;
        self.reported
            .retain(|service, _| kept.contains_key(service));
        for order in orders {
            if self.rollouts.contains_key(&order.service) {
                continue;
            }
            tracing::info!(
                part = "moves",
                service = %order.service,
                version = %order.version,
                length_ms = order.time_limit.as_millis() as u64,
                "move begins"
            );
            let service = order.service.clone();
            let rollout = Rollout::new(
                service.clone(),
                &order.version,
                now,
                order.time_limit,
                self.process,
            );
            self.rollouts.insert(service, rollout);
            self.changes += 1;
        }
    }

    /// Chooses the versions for a request to a service. `retry` marks a retried request.
    pub(crate) fn choose_versions(&mut self, service: &Name, retry: bool) -> VersionFilter {
        match self.rollouts.get_mut(service) {
            Some(rollout) => rollout.choose_versions(retry),
            None => VersionFilter::All,
        }
    }

    /// Returns the versions that may serve a request to a service for which `earlier` was chosen before.
    pub(crate) fn revise_versions(&self, service: &Name, earlier: &VersionFilter) -> VersionFilter {
        match self.rollouts.get(service) {
            Some(rollout) => rollout.revise_versions(earlier),
            None => VersionFilter::All,
        }
    }

    /// Returns a number that changes when the versions that may serve requests do.
    pub(crate) fn changes(&self) -> u64 {
        self.changes
    }

    /// Compares the latencies of a response with those of the old version, which they become part of if
    /// `version` is not on trial. Returns `None` until enough responses of the old version are known.
    pub(crate) fn is_slow(
        &mut self,
        service: &Name,
        version: &str,
        latency: ResponseLatency,
    ) -> Option<bool> {
        let rollout = self.rollouts.get(service);
        let on_trial = rollout.is_some_and(|rollout| {
            *rollout.version() == *version && rollout.stage() != Stage::Completed
        });
        if !on_trial {
            self.latencies.record_old(service, latency);
        }
        self.latencies.is_slow(service, latency)
    }

    /// Records the result of a request as evidence.
    pub(crate) fn record(
        &mut self,
        uptime: Duration,
        service: &Name,
        version: &str,
        sample: Sample,
    ) {
        let Some(now) = self.now(uptime) else {
            return;
        };
        if let Some(rollout) = self.rollouts.get(service) {
            rollout.record(now, &mut self.evidence, version, sample);
        }
    }

    /// Returns the status and the recent evidence of all moves, for messages to other entries.
    pub(crate) fn status(&self, uptime: Duration) -> (Vec<RolloutStatus>, Evidence) {
        let moves = self.rollouts.values().map(|rollout| RolloutStatus {
            service: rollout.service().as_str().into(),
            version: rollout.version().into(),
            stage: rollout.stage(),
        });
        let evidence = match self.now(uptime) {
            Some(now) if !self.rollouts.is_empty() => {
                let first = Bucket::of(now - BUCKET_LENGTH * SHARED_BUCKETS);
                self.evidence.since(first, Some(self.process))
            }
            _ => Evidence::default(),
        };
        (moves.collect(), evidence)
    }

    /// Merges the status and evidence from another entry's message.
    pub(crate) fn merge(&mut self, moves: &[RolloutStatus], evidence: &Evidence) {
        self.evidence.merge(evidence);
        for status in moves {
            let rollout = self.rollouts.get_mut(&*status.service);
            if let Some(rollout) = rollout
                && *rollout.version() == *status.version
            {
                let before = rollout.stage();
                rollout.apply_stage(status.stage);
                self.changes += u64::from(rollout.stage() != before);
            }
        }
    }

    /// Adopts a stage that the platform has stored.
    pub(crate) fn apply_report(&mut self, report: &MoveReport) {
        let rollout = self.rollouts.get_mut(&report.service);
        if let Some(rollout) = rollout
            && *rollout.version() == *report.version
        {
            let before = rollout.stage();
            rollout.settle_stage(report.stage);
            self.changes += u64::from(rollout.stage() != before);
            self.reported.insert(report.service.clone(), report.stage);
        }
    }

    /// Forgets the stages that the platform has confirmed, because its store may have lost them. Returns their number.
    pub(crate) fn forget_reports(&mut self) -> usize {
        std::mem::take(&mut self.reported).len()
    }

    /// Advances the moves by their evidence. Returns the stages that the platform has not confirmed.
    pub(crate) fn tick(&mut self, uptime: Duration) -> Vec<MoveReport> {
        let Some(now) = self.now(uptime) else {
            return Vec::new();
        };
        let mut reports = Vec::new();
        for (service, rollout) in &mut self.rollouts {
            if let Some(stage) = rollout.tick(now, &self.evidence) {
                let (stage, version) = (stage.as_str(), rollout.version());
                tracing::info!(part = "moves", %service, version, stage, "stage of a move");
                self.changes += 1;
            }
            if self.reported.get(service) != Some(&rollout.stage()) {
                reports.push(MoveReport {
                    service: service.clone(),
                    version: rollout.version().into(),
                    stage: rollout.stage(),
                });
            }
        }
        reports
    }
}
