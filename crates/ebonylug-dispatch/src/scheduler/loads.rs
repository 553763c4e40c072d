//! What entries tell each other and operators about the loads and limits of targets.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use ebonylug_core::Name;
use smallvec::SmallVec;

use super::{Scheduler, send_phase};
use crate::gossip::{PACE_UNIT_SECONDS, TargetLimit, TargetLoad, TargetPace, TargetReport};
use crate::hash::short_hash;
use crate::load_report::LoadReport;
use crate::overview::{ReportSums, TargetOverview};
use crate::target::{PeerLoad, TargetKey};
use crate::waiting::{PeerWaiting, Waiting, service_hash};

/// Unit of [`TargetReport::age`].
const AGE_UNIT: Duration = Duration::from_millis(2);
/// Unit of [`TargetReport::slowness`], in percent.
const SLOWNESS_UNIT: u32 = 4;
/// Age from which a report is not passed on. Older ones have lost most of their weight when they arrive.
const MAX_SHARED_AGE: Duration = Duration::from_millis(150);

impl Scheduler {
    /// Records what a response of a target said about the target's load.
    pub fn record_load_report(&mut self, now: Instant, key: TargetKey, report: LoadReport) {
        let Some(record) = self.targets.get_mut(key) else {
            return;
        };
        if record.reported.record(now, report) && record.reported.is_news(now) {
            let sharing = self.sharing.take(now);
            record.reported.set_sharing(sharing);
        }
        if report.slowness.is_some() {
            self.slowness_reported.insert(record.info.service.clone());
        }
    }

    /// Applies reports that another entry of the zone has just received, and whose message arrived with a delay. While
    /// that is not known, they apply only to targets without a recent report.
    pub fn merge_reports(
        &mut self,
        now: Instant,
        reports: &[TargetReport],
        delay: Option<Duration>,
    ) {
        if reports.is_empty() {
            return;
        }
        for record in self.targets.values_mut() {
            let target = short_hash(record.hash);
            let Some(shared) = reports.iter().find(|report| report.target == target) else {
                continue;
            };
            if delay.is_none() && record.reported.is_fresh(now) {
                continue;
            }
            let age = AGE_UNIT * u32::from(shared.age);
            let Some(time) = now.checked_sub(age + delay.unwrap_or_default()) else {
                continue;
            };
            let report = LoadReport {
                running: u32::from(shared.running),
                waiting: u32::from(shared.waiting),
                slots: record.usable_slots(),
                slowness: Some(u32::from(shared.slowness) * SLOWNESS_UNIT),
            };
            record.reported.merge(time, report);
            if !self.slowness_reported.contains(&record.info.service) {
                self.slowness_reported.insert(record.info.service.clone());
            }
        }
    }

    /// Returns the reports of the last `span` that are worth passing on to the other entries of the zone.
    pub fn local_reports(
        &self,
        now: Instant,
        span: Duration,
    ) -> impl Iterator<Item = TargetReport> {
        self.targets.values().filter_map(move |record| {
            let (report, age) = record.reported.to_share(now)?;
            let small = |number: u32| u8::try_from(number).unwrap_or(u8::MAX);
            (age < span.min(MAX_SHARED_AGE)).then(|| TargetReport {
                target: short_hash(record.hash),
                running: small(report.running),
                waiting: small(report.waiting),
                slowness: small(report.slowness.unwrap_or(100) / SLOWNESS_UNIT),
                age: small((age.as_millis() / AGE_UNIT.as_millis()) as u32),
            })
        })
    }

    /// Reports whether targets of a service state how slow their machines are, which means that they share
    /// them with other work.
    #[must_use]
    pub fn reports_slowness(&self, service: &Name) -> bool {
        self.slowness_reported.contains(service)
    }

    /// Reports whether this entry may have reports of targets to pass on.
    #[must_use]
    pub fn has_reports(&self) -> bool {
        !self.slowness_reported.is_empty()
    }

    /// Records the limit on requests per second that a response of a target names, or that it names none.
    /// Returns whether this is a change.
    pub fn record_limit(&mut self, now: Instant, key: TargetKey, rate: Option<f64>) -> bool {
        self.settle_shares(now);
        let (hash, limit) = if let Some(key) = self.current_key(key) {
            let record = &mut self.targets[key];
            (record.hash, &mut record.limit)
        } else if let Some(removed) = self.removed.get_mut(key) {
            (removed.hash, &mut removed.limit)
        } else {
            return false;
        };
        let phase = send_phase(hash, self.random_state);
        limit.observe(now, rate, self.sharing_entries, phase)
    }

    /// Applies the limits that another entry has read, and whose message arrived with a delay, if that is known.
    /// Returns the targets whose limits have changed.
    pub fn merge_limits(
        &mut self,
        now: Instant,
        limits: &[TargetLimit],
        delay: Option<Duration>,
    ) -> SmallVec<[TargetKey; 2]> {
        self.settle_shares(now);
        let mut changed = SmallVec::new();
        for (key, record) in self.targets.iter_mut().filter(|_| !limits.is_empty()) {
            let target = short_hash(record.hash);
            for limit in limits.iter().filter(|limit| limit.target == target) {
                let phase = send_phase(record.hash, self.random_state);
                let entries = self.sharing_entries;
                if record.limit.merge(now, limit, delay, entries, phase) {
                    changed.push(key);
                }
            }
        }
        changed
    }

    /// Returns the limits that this entry has read from responses itself, for the other entries.
    pub fn local_limits(&self, now: Instant) -> impl Iterator<Item = TargetLimit> {
        let records = self.targets.values();
        records.filter_map(move |record| record.limit.news(now, short_hash(record.hash)))
    }

    /// Returns the limit that a target names, in requests per second.
    #[must_use]
    pub fn named_limit(&self, key: TargetKey) -> Option<f64> {
        self.targets.get(key)?.limit.rate()
    }

    /// Sets the load that peers report for each target, by short hash of its name.
    pub fn set_peer_loads(&mut self, loads: &HashMap<u32, PeerLoad>) {
        let time = self.run_time.latest();
        for record in self.targets.values_mut() {
            record.peers = loads
                .get(&short_hash(record.hash))
                .copied()
                .unwrap_or_default();
            match record.load() {
                0 => record.silence.pause(time),
                _ => record.silence.begin(time),
            }
        }
    }

    /// Sets the requests that wait at other entries.
    pub fn set_peer_waiting(&mut self, waiting: PeerWaiting) {
        self.peer_waiting = waiting;
    }

    /// Returns the requests that wait at this entry, of services whose requests are admitted by a forecast.
    #[must_use]
    pub fn local_waiting(&self) -> Vec<Waiting> {
        let counts = self.queue.counts().into_iter();
        counts
            .filter(|((service, _), _)| self.uses_forecast(service))
            .map(|((service, rank), requests)| Waiting {
                service: service_hash(service),
                rank,
                requests,
            })
            .collect()
    }

    /// Returns the load that this entry puts on targets.
    pub fn local_loads(&self) -> impl Iterator<Item = TargetLoad> {
        self.targets.values().filter_map(|record| {
            let unhealthy = record.health.is_unhealthy();
            (record.requests > 0 || unhealthy).then(|| TargetLoad {
                unhealthy,
                target: short_hash(record.hash),
                requests: u16::try_from(record.requests).unwrap_or(u16::MAX),
                prefill: record.prefill,
            })
        })
    }

    /// Returns the paces of targets that this entry measured itself: lasting ones of targets that state their
    /// slowness, otherwise recent ones.
    pub fn local_paces(&self, now: Instant) -> impl Iterator<Item = TargetPace> {
        self.targets.values().filter_map(move |record| {
            let pace = record.known_pace(now)?;
            Some(TargetPace {
                target: short_hash(record.hash),
                pace: (pace / PACE_UNIT_SECONDS).clamp(1.0, f64::from(u16::MAX)) as u16,
            })
        })
    }

    /// Returns the total slots of each service and the requests of all entries in flight there.
    #[must_use]
    pub fn service_loads(&self) -> BTreeMap<Name, (u32, u32)> {
        let mut services: BTreeMap<Name, (u32, u32)> = BTreeMap::new();
        for record in self.targets.values() {
            let (slots, requests) = services.entry(record.info.service.clone()).or_default();
            *slots += record.info.slots;
            *requests += record.load();
        }
        services
    }

    /// Returns the recent reports of each service whose targets state their slowness.
    #[must_use]
    pub fn report_sums(&self, now: Instant) -> BTreeMap<Name, ReportSums> {
        let mut services: BTreeMap<Name, ReportSums> = BTreeMap::new();
        for record in self.targets.values() {
            let service = &record.info.service;
            if self.reports_slowness(service) {
                let sums = services.entry(service.clone()).or_default();
                record.reported.add_to(sums, now);
            }
        }
        services
    }

    /// Returns the view of all targets that is shown to operators, ordered by service and name.
    #[must_use]
    pub fn overview(&self, now: Instant) -> Vec<TargetOverview> {
        let mut targets: Vec<TargetOverview> = self
            .targets
            .values()
            .map(|record| record.overview(now, self.drained.contains(&record.info.zone)))
            .collect();
        targets.sort();
        targets
    }
}
