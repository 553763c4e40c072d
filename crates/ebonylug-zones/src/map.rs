use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use ebonylug_core::{Class, Name, Revision};
use smallvec::SmallVec;

use crate::correlation::OutageCorrelation;
use crate::zone::Zone;
use crate::{MAX_TARGETS, MAX_ZONES, Settings, ZoneShare, ZoneState};

/// State changes returned by [`ZoneMap::tick`].
pub type Changes = SmallVec<[ZoneChange; 4]>;

/// A change of the state of one zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneChange {
    /// Name of the zone that changed.
    pub zone: Name,
    /// State after the change.
    pub state: ZoneState,
}

/// Tracks the state of each availability zone and the share of new work that this process sends
/// to it.
#[derive(Clone, Debug)]
pub struct ZoneMap {
    settings: Settings,
    zones: BTreeMap<Name, Zone>,
    targets: HashMap<Name, TargetRecord>,
    correlation: OutageCorrelation,
    /// Whether every zone is unreachable from this process.
    isolated: bool,
    /// End of the period after an isolation during which no zone is marked unreachable, because
    /// the first reports of the targets arrive spread over time.
    grace_until: Option<Instant>,
}

#[derive(Clone, Debug)]
struct TargetRecord {
    zone: Name,
    last_report: Instant,
}

/// Age up to which a last report counts as evidence of the present state of a zone.
const RECENT_WINDOW: Duration = Duration::from_secs(5);
/// Number of targets that may miss a report at the same time by chance.
const MAX_CHANCE_MISSES: usize = 2;

/// Numbers of targets in a zone, by the age of their last report.
#[derive(Clone, Copy, Debug, Default)]
struct ReportCounts {
    /// Targets whose last report is older than [`Settings::target_timeout`].
    stale: usize,
    /// Targets whose last report arrived within [`RECENT_WINDOW`].
    recent: usize,
    total: usize,
}

impl ZoneMap {
    /// Creates a map without zones.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        ZoneMap {
            settings,
            zones: BTreeMap::new(),
            targets: HashMap::new(),
            correlation: OutageCorrelation::default(),
            isolated: false,
            grace_until: None,
        }
    }

    /// Records a report of a target. To be called also when a target is added, so that a missing
    /// first report is detected.
    ///
    /// Targets above [`MAX_TARGETS`] and zones above [`MAX_ZONES`] are ignored.
    pub fn record_report(&mut self, now: Instant, target: &Name, zone: &Name) {
        if !self.ensure_zone(zone) {
            return;
        }
        if let Some(record) = self.targets.get_mut(target) {
            record.last_report = record.last_report.max(now);
            if record.zone != *zone {
                record.zone = zone.clone();
            }
            return;
        }
        if self.targets.len() < MAX_TARGETS {
            let record = TargetRecord {
                zone: zone.clone(),
                last_report: now,
            };
            self.targets.insert(target.clone(), record);
        }
    }

    /// Removes a target that is leaving or gone, so that it no longer counts as stale in its zone.
    pub fn remove_target(&mut self, target: &Name) {
        self.targets.remove(target);
    }

    /// Takes a zone out of service. Returns `false` if the order is older than the last one that
    /// was applied to the zone.
    pub fn drain(&mut self, now: Instant, zone: &Name, revision: Revision) -> bool {
        let settings = self.settings.clone();
        let Some(zone) = self.accept_revision(zone, revision) else {
            return false;
        };
        if !zone.is_unavailable() {
            zone.mark_lost(now, &settings);
        }
        zone.drained = true;
        true
    }

    /// Returns a zone to service with a gradually rising share. Returns `false` if the order is
    /// older than the last one that was applied to the zone.
    ///
    /// The order may be repeated with each revision: it has no effect on the share of a zone that
    /// is not drained.
    pub fn restore(&mut self, now: Instant, zone: &Name, revision: Revision) -> bool {
        let Some(zone) = self.accept_revision(zone, revision) else {
            return false;
        };
        if zone.drained {
            zone.drained = false;
            zone.start_recovery(now);
        }
        true
    }

    /// Updates the states of all zones from the ages of reports, and returns the zones whose state
    /// has changed. To be called periodically.
    pub fn tick(&mut self, now: Instant) -> Changes {
        let before: Vec<ZoneState> = self.zones.values().map(Zone::state).collect();
        let counts = self.count_reports(now);
        if self.all_unreachable(&counts) {
            self.enter_isolation(now);
        } else {
            self.leave_isolation(now);
            self.update_zones(now, &counts);
        }
        self.correlation.expire(now, &self.settings);
        for zone in self.zones.values_mut() {
            zone.expire_timers(now, &self.settings);
        }
        let changed = self.zones.iter().zip(before);
        changed
            .filter(|((_, zone), before)| zone.state() != *before)
            .map(|((name, zone), _)| ZoneChange {
                zone: name.clone(),
                state: zone.state(),
            })
            .collect()
    }

    /// Returns the share of new work of a class that a zone gets. An unknown zone gets the full
    /// share.
    #[must_use]
    pub fn share(&self, zone: &Name, class: Class, now: Instant) -> ZoneShare {
        let Some(zone) = self.zones.get(zone) else {
            return ZoneShare::FULL;
        };
        let share = zone.share(now, class, &self.settings);
        match class {
            Class::Interactive => share,
            Class::Batch => ZoneShare::new(share.factor() * self.batch_factor(now)),
        }
    }

    /// Returns the state of a zone, or `None` if the zone is unknown.
    #[must_use]
    pub fn state(&self, zone: &Name) -> Option<ZoneState> {
        self.zones.get(zone).map(Zone::state)
    }

    /// Reports whether every zone is unreachable, which means that this process itself has lost its
    /// connections.
    #[must_use]
    pub fn is_isolated(&self) -> bool {
        self.isolated
    }

    /// Returns the zones that repeatedly became unreachable together with `zone`.
    #[must_use]
    pub fn correlated_zones(&self, zone: &Name) -> Vec<Name> {
        self.correlation
            .correlated_with(zone, &self.settings)
            .cloned()
            .collect()
    }

    /// Adds an unknown zone. Returns `false` if [`MAX_ZONES`] is reached.
    fn ensure_zone(&mut self, zone: &Name) -> bool {
        if self.zones.contains_key(zone) {
            return true;
        }
        if self.zones.len() >= MAX_ZONES {
            return false;
        }
        self.zones.insert(zone.clone(), Zone::default());
        true
    }

    /// Returns the zone and stores the revision, unless the revision is older than the stored one.
    fn accept_revision(&mut self, zone: &Name, revision: Revision) -> Option<&mut Zone> {
        if !self.ensure_zone(zone) {
            return None;
        }
        let zone = self.zones.get_mut(zone)?;
        if zone.revision.is_some_and(|last| revision < last) {
            return None;
        }
        zone.revision = Some(revision);
        Some(zone)
    }

    /// Counts the targets of each zone. If all of them are stale and few have reported recently,
    /// one of them is not counted as stale until all have exceeded the sparse timeout.
    fn count_reports(&self, now: Instant) -> BTreeMap<Name, ReportCounts> {
        let mut counts: BTreeMap<Name, ReportCounts> = BTreeMap::new();
        for record in self.targets.values() {
            if !counts.contains_key(&record.zone) {
                counts.insert(record.zone.clone(), ReportCounts::default());
            }
            let count = counts.get_mut(&record.zone).expect("inserted above");
            count.total += 1;
            let age = now.saturating_duration_since(record.last_report);
            count.stale += usize::from(age > self.settings.target_timeout);
            count.recent += usize::from(age <= RECENT_WINDOW);
        }
        for (zone, count) in &mut counts {
            let sparse = count.recent <= MAX_CHANCE_MISSES && count.stale == count.total;
            if sparse && !self.exceeds_sparse_timeout(zone, now) {
                count.stale -= 1;
            }
        }
        counts
    }

    fn exceeds_sparse_timeout(&self, zone: &Name, now: Instant) -> bool {
        let age = |record: &TargetRecord| now.saturating_duration_since(record.last_report);
        self.targets
            .values()
            .filter(|record| record.zone == *zone)
            .all(|record| age(record) > self.settings.sparse_timeout)
    }

    /// Reports whether every zone with targets is unreachable. Drained zones are included, since
    /// their targets still report.
    fn all_unreachable(&self, counts: &BTreeMap<Name, ReportCounts>) -> bool {
        !counts.is_empty() && counts.values().all(|count| self.is_unreachable(*count))
    }

    fn is_unreachable(&self, count: ReportCounts) -> bool {
        // In a zone of up to three targets all must be stale, because one fault often affects two
        // of three.
        let required = (count.total as f64 * self.settings.outage_fraction).ceil() as usize;
        count.total > 0 && count.stale >= required.max(count.total.min(3))
    }

    /// Marks this process as isolated, and reverts the zone outages that were recorded while the
    /// isolation began.
    fn enter_isolation(&mut self, now: Instant) {
        if self.isolated {
            return;
        }
        self.isolated = true;
        let window = self.settings.target_timeout + self.settings.sparse_timeout;
        let recent = |since| now.saturating_duration_since(since) < window;
        let mut reverted = Vec::new();
        for (name, zone) in &mut self.zones {
            if zone.unreachable_since.is_some_and(recent) {
                zone.unreachable_since = None;
                reverted.push(name.clone());
            }
        }
        for zone in self.zones.values_mut() {
            zone.throttled_until = None;
        }
        self.correlation.revert_outages(&reverted);
    }

    fn leave_isolation(&mut self, now: Instant) {
        if self.isolated {
            self.isolated = false;
            self.grace_until = Some(now + self.settings.sparse_timeout);
        }
        if self.grace_until.is_some_and(|end| now >= end) {
            self.grace_until = None;
        }
    }

    fn update_zones(&mut self, now: Instant, counts: &BTreeMap<Name, ReportCounts>) {
        for (name, count) in counts {
            let unreachable = self
                .zones
                .get(name)
                .is_some_and(|zone| zone.unreachable_since.is_some());
            if !unreachable && self.grace_until.is_none() && self.is_unreachable(*count) {
                self.mark_unreachable(now, name);
            }
            if unreachable && self.is_recovered(*count) {
                self.mark_recovering(now, name);
            }
        }
        // A zone that no longer has any targets cannot be unreachable.
        let empty: Vec<Name> = self
            .zones
            .iter()
            .filter(|(name, zone)| zone.unreachable_since.is_some() && !counts.contains_key(*name))
            .map(|(name, _)| name.clone())
            .collect();
        for name in empty {
            self.mark_recovering(now, &name);
        }
    }

    /// Reports whether few enough targets are stale for an unreachable zone to start its recovery.
    fn is_recovered(&self, count: ReportCounts) -> bool {
        count.stale as f64 <= count.total as f64 * self.settings.recovery_fraction
    }

    fn mark_unreachable(&mut self, now: Instant, name: &Name) {
        let Some(zone) = self.zones.get_mut(name) else {
            return;
        };
        if zone.drained {
            // Operators may switch off a drained zone, so its outage says nothing about shared
            // faults.
            zone.unreachable_since = Some(now);
            return;
        }
        zone.mark_lost(now, &self.settings);
        zone.unreachable_since = Some(now);
        self.correlation.record_outage(now, name, &self.settings);
        let correlated: Vec<Name> = self
            .correlation
            .correlated_with(name, &self.settings)
            .cloned()
            .collect();
        for other in correlated {
            if let Some(zone) = self.zones.get_mut(&other) {
                zone.throttled_until = Some(now + self.settings.throttle_time);
            }
        }
    }

    fn mark_recovering(&mut self, now: Instant, name: &Name) {
        if let Some(zone) = self.zones.get_mut(name) {
            zone.unreachable_since = None;
            zone.start_recovery(now);
        }
    }

    /// Returns the factor that is applied to the batch share of the available zones.
    ///
    /// After the loss of a zone, the others reduce batch work by twice the load that they take
    /// over. The factor returns to 1 within [`Settings::batch_ramp`], since a zone may stay drained
    /// for days, and the limits and the preemption of the targets adapt in that time.
    fn batch_factor(&self, now: Instant) -> f64 {
        let all = self.zones.len() as f64;
        let mut factor: f64 = 1.0;
        for zone in self.zones.values().filter(|zone| zone.is_unavailable()) {
            let Some(start) = zone.last_loss else {
                continue;
            };
            let duration = self.settings.batch_ramp.as_secs_f64().max(1e-3);
            let elapsed = now.saturating_duration_since(start).as_secs_f64() / duration;
            factor -= 2.0 / all * (1.0 - elapsed).max(0.0);
        }
        factor.max(0.0)
    }
}
