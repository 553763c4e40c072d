use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use ebonylug_core::{Class, LoadReport};
use slotmap::SlotMap;

use crate::headroom::{Headroom, HeadroomTree};
use crate::key::Interned;
use crate::target::{SentAttempt, Target};
use crate::{RouteKey, Settings, TargetInfo, TargetKey, TargetState, VersionKey, ZoneKey};

/// Weight of a new report in the moving average of a group's speed.
const GROUP_RATE_GAIN: f64 = 0.05;

/// The targets of one version on one route, indexed by headroom.
#[derive(Debug, Default)]
pub(crate) struct Group {
    pub(crate) members: Vec<TargetKey>,
    pub(crate) tree: HeadroomTree,
    /// Mean speed in tokens per second, used for members without a reported speed.
    pub(crate) rate: f64,
}

/// All targets in the subset of this entry.
#[derive(Debug, Default)]
pub(crate) struct Targets {
    arena: SlotMap<TargetKey, Target>,
    groups: HashMap<(RouteKey, VersionKey), Group>,
    /// Limit factors for interactive and batch work, by zone.
    zone_factors: Vec<[f64; 2]>,
    /// The ends of the pauses, which can include pauses that a report has cleared since.
    pause_ends: BTreeSet<(Instant, TargetKey)>,
    /// Targets that may be running batch work.
    running_batch: BTreeSet<TargetKey>,
}

impl Targets {
    pub(crate) fn add(&mut self, info: TargetInfo) -> TargetKey {
        let routes = info.routes.clone();
        let version = info.version;
        let key = self.arena.insert(Target::new(info));
        for route in routes {
            let group = self.groups.entry((route, version)).or_default();
            self.arena[key].positions.push(group.members.len());
            group.members.push(key);
        }
        self.reindex(key);
        key
    }

    pub(crate) fn remove(&mut self, key: TargetKey) -> Option<TargetInfo> {
        let target = self.arena.remove(key)?;
        self.running_batch.remove(&key);
        self.pause_ends.retain(|&(_, other)| other != key);
        for (&route, &position) in target.info.routes.iter().zip(&target.positions) {
            self.remove_member(route, target.info.version, position);
        }
        Some(target.info)
    }

    pub(crate) fn get(&self, key: TargetKey) -> Option<&Target> {
        self.arena.get(key)
    }

    pub(crate) fn group(&self, route: RouteKey, version: VersionKey) -> Option<&Group> {
        self.groups.get(&(route, version))
    }

    /// Reports whether batch work may be running at any target.
    pub(crate) fn any_runs_batch(&self) -> bool {
        !self.running_batch.is_empty()
    }

    pub(crate) fn set_state(&mut self, key: TargetKey, state: TargetState) {
        if let Some(target) = self.arena.get_mut(key) {
            target.state = state;
            self.reindex(key);
        }
    }

    pub(crate) fn set_zone_factor(&mut self, zone: ZoneKey, factors: [f64; 2]) {
        if self.zone_factors.len() <= zone.index() {
            self.zone_factors.resize(zone.index() + 1, [1.0; 2]);
        }
        if self.zone_factors[zone.index()] == factors {
            return;
        }
        self.zone_factors[zone.index()] = factors;
        let in_zone =
            |(key, target): (TargetKey, &Target)| (target.info.zone == zone).then_some(key);
        let keys: Vec<TargetKey> = self.arena.iter().filter_map(in_zone).collect();
        for key in keys {
            self.reindex(key);
        }
    }

    /// Applies a report, unless it is not newer than the current one.
    pub(crate) fn apply_report(
        &mut self,
        now: Instant,
        key: TargetKey,
        report: &LoadReport,
        round_trip: Duration,
    ) {
        let Some(target) = self.arena.get_mut(key) else {
            return;
        };
        if !target.apply_report(now, report, round_trip) {
            return;
        }
        let rate = target.rate();
        let version = target.info.version;
        for route in &target.info.routes {
            let group = self
                .groups
                .get_mut(&(*route, version))
                .expect("target has a group");
            if let Some(rate) = rate {
                let gain = if group.rate > 0.0 {
                    GROUP_RATE_GAIN
                } else {
                    1.0
                };
                group.rate += gain * (rate - group.rate);
            }
        }
        self.reindex(key);
    }

    pub(crate) fn record_sent(&mut self, key: TargetKey, sent: SentAttempt) {
        self.update(key, |target| target.record_sent(sent));
    }

    pub(crate) fn record_ended(&mut self, key: TargetKey, sent: SentAttempt) {
        self.update(key, |target| target.record_ended(sent));
    }

    pub(crate) fn record_not_run(&mut self, key: TargetKey, sent: SentAttempt) {
        self.update(key, |target| target.record_not_run(sent));
    }

    /// Pauses dispatch to a target after a refusal. A `class` of `None` means both classes.
    pub(crate) fn pause(
        &mut self,
        now: Instant,
        key: TargetKey,
        class: Option<Class>,
        hint: Option<Duration>,
        settings: &Settings,
    ) {
        let Some(target) = self.arena.get_mut(key) else {
            return;
        };
        let until = target.pause(now, class, hint, settings);
        self.pause_ends.insert((until, key));
        self.reindex(key);
    }

    /// Clears the pauses that have ended.
    pub(crate) fn end_pauses(&mut self, now: Instant) {
        while let Some(&(until, key)) = self.pause_ends.first() {
            if until > now {
                break;
            }
            self.pause_ends.pop_first();
            self.update(key, |target| target.end_pauses(now));
        }
    }

    /// Holds the target of a group with the most headroom for a waiting interactive request.
    /// Returns `None` if no target has any headroom.
    pub(crate) fn hold_max_headroom(
        &mut self,
        route: RouteKey,
        version: VersionKey,
    ) -> Option<TargetKey> {
        let group = self.groups.get(&(route, version))?;
        let key = group.members[group.tree.max_interactive()?];
        self.update(key, |target| target.held = true);
        Some(key)
    }

    /// Releases a target that was held.
    pub(crate) fn release_hold(&mut self, key: TargetKey) {
        self.update(key, |target| target.held = false);
    }

    /// Returns the headroom of a target for batch work, or `None` if it was removed or does not
    /// serve.
    pub(crate) fn batch_headroom(&self, key: TargetKey) -> Option<u64> {
        let headroom = self.headroom(self.arena.get(key)?);
        (headroom.limit > 0).then_some(headroom.batch)
    }

    /// Returns when the next pause ends.
    pub(crate) fn next_pause_end(&self) -> Option<Instant> {
        self.pause_ends.first().map(|&(until, _)| until)
    }

    fn update(&mut self, key: TargetKey, update: impl FnOnce(&mut Target)) {
        if let Some(target) = self.arena.get_mut(key) {
            update(target);
            self.reindex(key);
        }
    }

    /// Updates the indexes after a change of a target.
    fn reindex(&mut self, key: TargetKey) {
        let target = &self.arena[key];
        let headroom = self.headroom(target);
        for (&route, &position) in target.info.routes.iter().zip(&target.positions) {
            let group = self
                .groups
                .get_mut(&(route, target.info.version))
                .expect("target has a group");
            group.tree.set(position, headroom);
        }
        if target.runs_batch() {
            self.running_batch.insert(key);
        } else {
            self.running_batch.remove(&key);
        }
    }

    fn headroom(&self, target: &Target) -> Headroom {
        let factors = self.zone_factors.get(target.info.zone.index());
        target.headroom(factors.copied().unwrap_or([1.0; 2]))
    }

    /// Removes a member of a group and moves the last member to its position.
    fn remove_member(&mut self, route: RouteKey, version: VersionKey, position: usize) {
        let group = self
            .groups
            .get_mut(&(route, version))
            .expect("target has a group");
        group.members.swap_remove(position);
        let last = group.members.len();
        let headroom = group.tree.get(last);
        group.tree.set(last, crate::headroom::Headroom::default());
        let Some(&moved) = group.members.get(position) else {
            if group.members.is_empty() {
                self.groups.remove(&(route, version));
            }
            return;
        };
        group.tree.set(position, headroom);
        let target = &mut self.arena[moved];
        let index = target.info.routes.iter().position(|&r| r == route);
        target.positions[index.expect("member serves the route")] = position;
    }
}
