//! The targets that the scheduler knows, and which of them are drained.

use std::collections::HashSet;
use std::time::Instant;

use ebonylug_core::Name;
use smallvec::SmallVec;

use super::Scheduler;
use crate::cold::{ColdSource, ColdState};
use crate::hash::stable_hash;
use crate::health::Health;
use crate::named_limit::NamedLimit;
use crate::removed_targets::RemovedTarget;
use crate::reported::ReportedLoad;
use crate::silence::Silence;
use crate::target::{PeerLoad, Target, TargetKey, TargetRecord, TargetState};
use crate::warmth::Warmth;

impl Scheduler {
    /// Sets the entries of this zone by which the targets are divided. `own` is this entry.
    pub fn set_owners(&mut self, own: &Name, others: impl Iterator<Item = u64>) {
        let others: SmallVec<[u64; 16]> = others.collect();
        self.sharing.set_peers(others.len());
        let others = others.into_iter();
        if self.owners.set(stable_hash(own.as_str()), others) {
            for record in self.targets.values_mut() {
                record.owned = self.owners.owns(record.hash);
            }
        }
    }

    /// Sets the availability zones whose targets get no requests. Targets of a zone that is
    /// no longer drained count as cold.
    pub fn set_drained(&mut self, now: Instant, zones: HashSet<Name>) {
        let restored: SmallVec<[TargetKey; 8]> = self
            .targets
            .iter()
            .filter(|(_, record)| {
                let zone = &record.info.zone;
                self.drained.contains(zone) && !zones.contains(zone)
            })
            .map(|(key, _)| key)
            .collect();
        self.drained = zones;
        for key in restored {
            self.limit_cold_rate(now, key, None, ColdSource::Zone);
        }
    }

    /// Adds a target or updates an existing one of the same name.
    pub fn put_target(&mut self, now: Instant, mut info: Target) -> TargetKey {
        let notices = self.notices.of(&info.name, info.started_ms);
        if notices.leaving {
            info.state = TargetState::Leaving;
        }
        let paused_until = notices.paused_until;
        let cold_time = info.cold;
        let key = match self.names.get(&info.name) {
            Some(&key) if self.targets[key].info.service == info.service => {
                let record = &mut self.targets[key];
                if record.info.started_ms != info.started_ms || record.info.address != info.address
                {
                    record.health = Health::default();
                    record.silence = Silence::default();
                    record.limit = NamedLimit::default();
                    record.pace = None;
                    record.reported = ReportedLoad::default();
                    record.warmth.restart();
                }
                record.cold.begin(info.started_ms);
                record.paused_until = paused_until;
                record.info = info;
                key
            }
            _ => {
                let name = info.name.clone();
                self.remove_target(&name);
                let (cold, limit) = match self.removed.take(&name, info.started_ms) {
                    Some(removed) => (removed.cold, removed.limit),
                    None => (ColdState::new(info.started_ms), NamedLimit::default()),
                };
                let until = cold.until;
                let service = info.service.clone();
                let hash = stable_hash(info.name.as_str());
                let key = self.targets.insert(TargetRecord {
                    info,
                    hash,
                    requests: 0,
                    prefill: 0,
                    owned: self.owners.owns(hash),
                    peers: PeerLoad::default(),
                    health: Health::default(),
                    silence: Silence::default(),
                    cold,
                    warmth: Warmth::default(),
                    limit,
                    paused_until,
                    pace: None,
                    pace_measured: None,
                    reported: ReportedLoad::default(),
                });
                self.services.entry(service).or_default().push(key);
                self.names.insert(name, key);
                if let Some(until) = until.filter(|&until| until > now) {
                    self.extend_cold_time(now, key, until);
                }
                key
            }
        };
        self.guard_target(now, key);
        if !cold_time.is_zero() {
            self.limit_cold_rate(now, key, Some(cold_time), ColdSource::Row);
        }
        key
    }

    /// Removes a target. Requests in flight there are not affected. What it has said of being cold and of its
    /// limit is kept.
    pub fn remove_target(&mut self, name: &Name) {
        let Some(key) = self.names.remove(name) else {
            return;
        };
        if let Some(record) = self.targets.remove(key) {
            let removed = RemovedTarget {
                hash: record.hash,
                cold: record.cold,
                limit: record.limit,
            };
            self.removed.keep(key, &record.info, removed);
            if let Some(keys) = self.services.get_mut(&record.info.service) {
                keys.retain(|&other| other != key);
            }
        }
    }

    /// Returns the key of a target, also if it was removed and listed again since it had this key.
    pub(super) fn current_key(&self, key: TargetKey) -> Option<TargetKey> {
        if self.targets.contains_key(key) {
            return Some(key);
        }
        let (name, started_ms) = self.removed.start(key)?;
        let listed = *self.names.get(name)?;
        (self.targets[listed].info.started_ms == *started_ms).then_some(listed)
    }

    /// Returns the names of all targets.
    pub fn names(&self) -> impl Iterator<Item = &Name> {
        self.names.keys()
    }

    /// Returns a target by its key.
    #[must_use]
    pub fn target(&self, key: TargetKey) -> Option<&Target> {
        self.targets.get(key).map(|record| &record.info)
    }

    /// Returns a target by its name.
    #[must_use]
    pub fn find(&self, name: &Name) -> Option<&Target> {
        self.target(*self.names.get(name)?)
    }

    /// Returns the availability zones whose targets get no requests.
    #[must_use]
    pub fn drained(&self) -> &HashSet<Name> {
        &self.drained
    }
}
