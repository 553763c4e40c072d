//! Moves of services to other versions, as one entry sees them.

use std::collections::HashMap;
use std::time::{Duration, SystemTime};

use ebonylug_core::{Incarnation, Name};
use ebonylug_dispatch::{Rollout, RolloutStatus, Stage, VersionFilter};
use ebonylug_moves::{BUCKET_LENGTH, Bucket, Evidence, Sample};

/// A move that an operator has ordered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MoveOrder {
    /// The service.
    pub service: Name,
    /// The new version.
    pub version: Box<str>,
    /// The time limit.
    pub time_limit: Duration,
}

/// A stage of a move that the platform must be told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MoveReport {
    /// The service.
    pub service: Name,
    /// The new version.
    pub version: Box<str>,
    /// The stage.
    pub stage: Stage,
}

/// Buckets of evidence that are told to other entries again and again, so that a lost message does no
/// harm.
const TOLD_BUCKETS: u32 = 3;

/// The moves in force at one entry.
#[derive(Debug)]
pub(crate) struct Moves {
    process: Incarnation,
    rollouts: HashMap<Name, Rollout>,
    evidence: Evidence,
    /// Stages that the platform was told.
    told: HashMap<Name, Stage>,
    /// The agreed time at an uptime of this machine.
    agreed: Option<(Duration, Duration)>,
}

impl Moves {
    pub(crate) fn new(process: Incarnation) -> Self {
        Moves {
            process,
            rollouts: HashMap::new(),
            evidence: Evidence::default(),
            told: HashMap::new(),
            agreed: None,
        }
    }

    /// Sets the agreed time at an uptime. All entries take it from the same clock.
    pub(crate) fn agree(&mut self, uptime: Duration, agreed: Duration) {
        self.agreed = Some((uptime, agreed));
    }

    fn now(&self, uptime: Duration) -> Option<SystemTime> {
        let (at, agreed) = self.agreed?;
        Some(SystemTime::UNIX_EPOCH + agreed + uptime.saturating_sub(at))
    }

    /// Takes over the orders in force.
    pub(crate) fn set_orders(&mut self, uptime: Duration, orders: &[MoveOrder]) {
        let Some(now) = self.now(uptime) else {
            return;
        };
        let ordered = |rollout: &Rollout| {
            let same = |order: &&MoveOrder| order.service == *rollout.service();
            let order = orders.iter().find(same);
            order.is_some_and(|order| *order.version == *rollout.version())
        };
        self.rollouts.retain(|_, rollout| ordered(rollout));
        let kept = &self.rollouts;
        self.told.retain(|service, _| kept.contains_key(service));
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
        }
    }

    /// Chooses the versions for a request to a service.
    pub(crate) fn choose(&mut self, service: &Name, again: bool) -> VersionFilter {
        match self.rollouts.get_mut(service) {
            Some(rollout) => rollout.choose_versions(again),
            None => VersionFilter::All,
        }
    }

    /// Counts an answer of a target.
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

    /// Returns what the other entries are told.
    pub(crate) fn news(&self, uptime: Duration) -> (Vec<RolloutStatus>, Evidence) {
        let moves = self.rollouts.values().map(|rollout| RolloutStatus {
            service: rollout.service().as_str().into(),
            version: rollout.version().into(),
            stage: rollout.stage(),
        });
        let evidence = match self.now(uptime) {
            Some(now) if !self.rollouts.is_empty() => {
                let first = Bucket::of(now - BUCKET_LENGTH * TOLD_BUCKETS);
                self.evidence.since(first, Some(self.process))
            }
            _ => Evidence::default(),
        };
        (moves.collect(), evidence)
    }

    /// Takes over what another entry tells.
    pub(crate) fn hear(&mut self, moves: &[RolloutStatus], evidence: &Evidence) {
        self.evidence.merge(evidence);
        for news in moves {
            let rollout = self.rollouts.get_mut(&*news.service);
            if let Some(rollout) = rollout
                && *rollout.version() == *news.version
            {
                rollout.observe(news.stage);
            }
        }
    }

    /// Takes over a stage that the platform knows.
    pub(crate) fn observe(&mut self, report: &MoveReport) {
        let rollout = self.rollouts.get_mut(&report.service);
        if let Some(rollout) = rollout
            && *rollout.version() == *report.version
        {
            rollout.observe(report.stage);
            self.told.insert(report.service.clone(), report.stage);
        }
    }

    /// Decides by the evidence, and returns stages that the platform must be told.
    pub(crate) fn tick(&mut self, uptime: Duration) -> Vec<MoveReport> {
        let Some(now) = self.now(uptime) else {
            return Vec::new();
        };
        let mut reports = Vec::new();
        for (service, rollout) in &mut self.rollouts {
            if let Some(stage) = rollout.tick(now, &self.evidence) {
                let (stage, version) = (stage.as_str(), rollout.version());
                tracing::info!(part = "moves", %service, version, stage, "stage of a move");
            }
            if self.told.get(service) != Some(&rollout.stage()) {
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
