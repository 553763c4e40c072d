use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use ebonylug_core::{Class, Name, Revision};
use smallvec::SmallVec;

use crate::related::Related;
use crate::zone::Zone;
use crate::{MAX_TARGETS, MAX_ZONES, Settings, ZoneShare, ZoneState};

/// What [`ZoneMap::tick`] has changed.
pub type Changes = SmallVec<[ZoneChange; 4]>;

/// A change of the state of one zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneChange {
    /// The zone.
    pub zone: Name,
    /// Its new state.
    pub state: ZoneState,
}

/// How much new work each availability zone gets from this process.
#[derive(Clone, Debug)]
pub struct ZoneMap {
    settings: Settings,
    zones: BTreeMap<Name, Zone>,
    targets: HashMap<Name, Contact>,
    related: Related,
    /// Whether this process has lost contact with every zone.
    alone: bool,
    /// Until when no zone is found dark, because the first reports after a loss of all contact
    /// do not arrive at once.
    grace: Option<Instant>,
}

#[derive(Clone, Debug)]
struct Contact {
    zone: Name,
    last: Instant,
}

/// Time after which a silent target says nothing about what happens to its zone now.
const RECENT: Duration = Duration::from_secs(5);
/// Targets that may miss a report at the same time by chance.
const FEW: usize = 2;

/// Silent and all targets of a zone.
#[derive(Clone, Copy, Debug, Default)]
struct Census {
    silent: usize,
    /// Targets that were heard within [`RECENT`].
    recent: usize,
    all: usize,
}

impl ZoneMap {
    /// Creates a map without zones.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        ZoneMap {
            settings,
            zones: BTreeMap::new(),
            targets: HashMap::new(),
            related: Related::default(),
            alone: false,
            grace: None,
        }
    }

    /// Notes a report of a target, or the first time that the target is expected to report.
    pub fn record_report(&mut self, now: Instant, target: &Name, zone: &Name) {
        if !self.know(zone) {
            return;
        }
        if let Some(contact) = self.targets.get_mut(target) {
            contact.last = contact.last.max(now);
            if contact.zone != *zone {
                contact.zone = zone.clone();
            }
            return;
        }
        if self.targets.len() < MAX_TARGETS {
            let contact = Contact {
                zone: zone.clone(),
                last: now,
            };
            self.targets.insert(target.clone(), contact);
        }
    }

    /// Removes a target that is leaving or gone, so that its silence says nothing about its zone.
    pub fn remove_target(&mut self, target: &Name) {
        self.targets.remove(target);
    }

    /// Takes a zone out of service. Returns whether the order was applied: one that is older
    /// than the last one is not.
    pub fn drain(&mut self, now: Instant, zone: &Name, revision: Revision) -> bool {
        let settings = self.settings.clone();
        let Some(zone) = self.newer(zone, revision) else {
            return false;
        };
        if !zone.is_missing() {
            zone.lose(now, &settings);
        }
        zone.drained = true;
        true
    }

    /// Returns a zone to service, slowly. Returns whether the order was applied.
    ///
    /// The same order may be repeated with each revision; a zone that was not drained keeps its
    /// work.
    pub fn restore(&mut self, now: Instant, zone: &Name, revision: Revision) -> bool {
        let Some(zone) = self.newer(zone, revision) else {
            return false;
        };
        if zone.drained {
            zone.drained = false;
            zone.give_back(now);
        }
        true
    }

    /// Looks for zones that went dark or returned.
    pub fn tick(&mut self, now: Instant) -> Changes {
        let before: Vec<ZoneState> = self.zones.values().map(Zone::state).collect();
        let census = self.census(now);
        if self.all_unreachable(&census) {
            self.isolate(now);
        } else {
            self.rejoin(now);
            self.compare(now, &census);
        }
        self.related.expire(now, &self.settings);
        for zone in self.zones.values_mut() {
            zone.settle(now, &self.settings);
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

    /// Returns how much new work of a class a zone gets. An unknown zone gets all.
    #[must_use]
    pub fn share(&self, zone: &Name, class: Class, now: Instant) -> ZoneShare {
        let Some(zone) = self.zones.get(zone) else {
            return ZoneShare::FULL;
        };
        let share = zone.share(now, class, &self.settings);
        match class {
            Class::Interactive => share,
            Class::Batch => ZoneShare::new(share.factor() * self.relief(now)),
        }
    }

    /// Returns the state of a zone.
    #[must_use]
    pub fn state(&self, zone: &Name) -> Option<ZoneState> {
        self.zones.get(zone).map(Zone::state)
    }

    /// Reports whether every zone is silent, which means that this process is cut off.
    #[must_use]
    pub fn is_isolated(&self) -> bool {
        self.alone
    }

    /// Returns the zones that went dark together with `zone` repeatedly.
    #[must_use]
    pub fn correlated_zones(&self, zone: &Name) -> Vec<Name> {
        self.related.of(zone, &self.settings).cloned().collect()
    }

    fn know(&mut self, zone: &Name) -> bool {
        if self.zones.contains_key(zone) {
            return true;
        }
        if self.zones.len() >= MAX_ZONES {
            return false;
        }
        self.zones.insert(zone.clone(), Zone::default());
        true
    }

    fn newer(&mut self, zone: &Name, revision: Revision) -> Option<&mut Zone> {
        if !self.know(zone) {
            return None;
        }
        let zone = self.zones.get_mut(zone)?;
        if zone.revision.is_some_and(|last| revision < last) {
            return None;
        }
        zone.revision = Some(revision);
        Some(zone)
    }

    fn census(&self, now: Instant) -> BTreeMap<Name, Census> {
        let mut census: BTreeMap<Name, Census> = BTreeMap::new();
        for contact in self.targets.values() {
            if !census.contains_key(&contact.zone) {
                census.insert(contact.zone.clone(), Census::default());
            }
            let count = census.get_mut(&contact.zone).expect("inserted above");
            count.all += 1;
            let silence = now.saturating_duration_since(contact.last);
            count.silent += usize::from(silence > self.settings.target_timeout);
            count.recent += usize::from(silence <= RECENT);
        }
        for (zone, count) in &mut census {
            let few = count.recent <= FEW && count.silent == count.all;
            if few && !self.is_long_silent(zone, now) {
                count.silent -= 1;
            }
        }
        census
    }

    fn is_long_silent(&self, zone: &Name, now: Instant) -> bool {
        let silence = |c: &Contact| now.saturating_duration_since(c.last);
        self.targets
            .values()
            .filter(|contact| contact.zone == *zone)
            .all(|contact| silence(contact) > self.settings.sparse_timeout)
    }

    /// Drained zones count too: their targets still report.
    fn all_unreachable(&self, census: &BTreeMap<Name, Census>) -> bool {
        !census.is_empty() && census.values().all(|count| self.is_dark(*count))
    }

    fn is_dark(&self, count: Census) -> bool {
        // In a zone of up to three targets all must be silent; two of three are often one fault.
        let most = (count.all as f64 * self.settings.outage_fraction).ceil() as usize;
        count.all > 0 && count.silent >= most.max(count.all.min(3))
    }

    /// Takes back the outages that were the first signs of the isolation.
    fn isolate(&mut self, now: Instant) {
        if self.alone {
            return;
        }
        self.alone = true;
        let window = self.settings.target_timeout + self.settings.sparse_timeout;
        let recent = |dark| now.saturating_duration_since(dark) < window;
        let mut wrong = Vec::new();
        for (name, zone) in &mut self.zones {
            if zone.dark.is_some_and(recent) {
                zone.dark = None;
                wrong.push(name.clone());
            }
        }
        for zone in self.zones.values_mut() {
            zone.caution = None;
        }
        self.related.forget(&wrong);
    }

    fn rejoin(&mut self, now: Instant) {
        if self.alone {
            self.alone = false;
            self.grace = Some(now + self.settings.sparse_timeout);
        }
        if self.grace.is_some_and(|end| now >= end) {
            self.grace = None;
        }
    }

    fn compare(&mut self, now: Instant, census: &BTreeMap<Name, Census>) {
        for (name, count) in census {
            let dark = self.zones.get(name).is_some_and(|zone| zone.dark.is_some());
            if !dark && self.grace.is_none() && self.is_dark(*count) {
                self.darken(now, name);
            }
            if dark && self.is_back(*count) {
                self.lighten(now, name);
            }
        }
        // A zone whose targets have all been removed is not dark any more, only empty.
        let empty: Vec<Name> = self
            .zones
            .iter()
            .filter(|(name, zone)| zone.dark.is_some() && !census.contains_key(*name))
            .map(|(name, _)| name.clone())
            .collect();
        for name in empty {
            self.lighten(now, &name);
        }
    }

    fn is_back(&self, count: Census) -> bool {
        count.silent as f64 <= count.all as f64 * self.settings.recovery_fraction
    }

    fn darken(&mut self, now: Instant, name: &Name) {
        let Some(zone) = self.zones.get_mut(name) else {
            return;
        };
        if zone.drained {
            // Operators switch off what they have drained: no sign of a shared fault.
            zone.dark = Some(now);
            return;
        }
        zone.lose(now, &self.settings);
        zone.dark = Some(now);
        self.related.lost(now, name, &self.settings);
        let related: Vec<Name> = self.related.of(name, &self.settings).cloned().collect();
        for other in related {
            if let Some(zone) = self.zones.get_mut(&other) {
                zone.caution = Some(now + self.settings.throttle_time);
            }
        }
    }

    fn lighten(&mut self, now: Instant, name: &Name) {
        if let Some(zone) = self.zones.get_mut(name) {
            zone.dark = None;
            zone.give_back(now);
        }
    }

    /// Returns the factor of batch work in the zones that remain.
    ///
    /// After a loss, the rest gives up batch work for twice the load that it takes over. The
    /// factor returns to 1 within the relief time: by then, the targets' own limits and
    /// preemption have adapted, and a zone may stay drained for days.
    fn relief(&self, now: Instant) -> f64 {
        let all = self.zones.len() as f64;
        let mut factor: f64 = 1.0;
        for zone in self.zones.values().filter(|zone| zone.is_missing()) {
            let Some(lost) = zone.lost else { continue };
            let length = self.settings.batch_ramp.as_secs_f64().max(1e-3);
            let passed = now.saturating_duration_since(lost).as_secs_f64() / length;
            factor -= 2.0 / all * (1.0 - passed).max(0.0);
        }
        factor.max(0.0)
    }
}
