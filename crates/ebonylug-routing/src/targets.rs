use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use ebonylug_core::{Class, LoadReport};
use slotmap::SlotMap;

use crate::key::Interned;
use crate::room::{Room, RoomTree};
use crate::target::{Send, Target};
use crate::{RouteKey, Settings, TargetInfo, TargetKey, TargetState, VersionKey, ZoneKey};

/// Weight of a new report in the mean speed of a group.
const MEAN_GAIN: f64 = 0.05;

/// The targets of one version on one route, indexed by room.
#[derive(Debug, Default)]
pub(crate) struct Group {
    pub(crate) members: Vec<TargetKey>,
    pub(crate) tree: RoomTree,
    /// Mean speed, for members whose own speed is not known yet.
    pub(crate) rate: f64,
}

/// All targets of the entry's subset.
#[derive(Debug, Default)]
pub(crate) struct Targets {
    arena: SlotMap<TargetKey, Target>,
    groups: HashMap<(RouteKey, VersionKey), Group>,
    /// Factors for interactive and batch work, by zone.
    zones: Vec<[f64; 2]>,
    /// Ends of pauses.
    timers: BTreeSet<(Instant, TargetKey)>,
    /// Targets that run batch work.
    with_batch: BTreeSet<TargetKey>,
}

impl Targets {
    pub(crate) fn add(&mut self, info: TargetInfo) -> TargetKey {
        let routes = info.routes.clone();
        let version = info.version;
        let key = self.arena.insert(Target::new(info));
        for route in routes {
            let group = self.groups.entry((route, version)).or_default();
            self.arena[key].places.push(group.members.len());
            group.members.push(key);
        }
        self.refresh(key);
        key
    }

    pub(crate) fn remove(&mut self, key: TargetKey) -> Option<TargetInfo> {
        let target = self.arena.remove(key)?;
        self.with_batch.remove(&key);
        self.timers.retain(|&(_, other)| other != key);
        for (&route, &place) in target.info.routes.iter().zip(&target.places) {
            self.leave(route, target.info.version, place);
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
    pub(crate) fn run_batch(&self) -> bool {
        !self.with_batch.is_empty()
    }

    pub(crate) fn set_state(&mut self, key: TargetKey, state: TargetState) {
        if let Some(target) = self.arena.get_mut(key) {
            target.state = state;
            self.refresh(key);
        }
    }

    pub(crate) fn set_zone_factor(&mut self, zone: ZoneKey, factors: [f64; 2]) {
        if self.zones.len() <= zone.index() {
            self.zones.resize(zone.index() + 1, [1.0; 2]);
        }
        if self.zones[zone.index()] == factors {
            return;
        }
        self.zones[zone.index()] = factors;
        let inside =
            |(key, target): (TargetKey, &Target)| (target.info.zone == zone).then_some(key);
        let keys: Vec<TargetKey> = self.arena.iter().filter_map(inside).collect();
        for key in keys {
            self.refresh(key);
        }
    }

    /// Applies a report, unless it is older than the present one.
    pub(crate) fn apply(
        &mut self,
        now: Instant,
        key: TargetKey,
        report: &LoadReport,
        round_trip: Duration,
    ) {
        let Some(target) = self.arena.get_mut(key) else {
            return;
        };
        if !target.apply(now, report, round_trip) {
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
                let gain = if group.rate > 0.0 { MEAN_GAIN } else { 1.0 };
                group.rate += gain * (rate - group.rate);
            }
        }
        self.refresh(key);
    }

    pub(crate) fn sent(&mut self, key: TargetKey, send: Send) {
        self.change(key, |target| target.sent(send));
    }

    pub(crate) fn ended(&mut self, key: TargetKey, send: Send) {
        self.change(key, |target| target.ended(send));
    }

    pub(crate) fn withdraw(&mut self, key: TargetKey, send: Send) {
        self.change(key, |target| target.withdraw(send));
    }

    /// Stops sending to a target after a refusal; `class` is nothing if it concerns both.
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
        self.timers.insert((until, key));
        self.refresh(key);
    }

    /// Ends the pauses that are over.
    pub(crate) fn wake(&mut self, now: Instant) {
        while let Some(&(until, key)) = self.timers.first() {
            if until > now {
                break;
            }
            self.timers.pop_first();
            self.change(key, |target| target.wake(now));
        }
    }

    /// Keeps the target with the most room in a group for an interactive request that waits;
    /// returns it, or nothing if none has any room.
    pub(crate) fn hold_widest(
        &mut self,
        route: RouteKey,
        version: VersionKey,
    ) -> Option<TargetKey> {
        let group = self.groups.get(&(route, version))?;
        let key = group.members[group.tree.widest()?];
        self.change(key, |target| target.held = true);
        Some(key)
    }

    /// Gives back a target that was kept.
    pub(crate) fn release(&mut self, key: TargetKey) {
        self.change(key, |target| target.held = false);
    }

    /// Returns the room of a target for batch work, or nothing if the target is gone or closed.
    pub(crate) fn batch_room(&self, key: TargetKey) -> Option<u64> {
        let room = self.room(self.arena.get(key)?);
        (room.limit > 0).then_some(room.batch)
    }

    /// Returns when the next pause ends.
    pub(crate) fn next_wake(&self) -> Option<Instant> {
        self.timers.first().map(|&(until, _)| until)
    }

    fn change(&mut self, key: TargetKey, change: impl FnOnce(&mut Target)) {
        if let Some(target) = self.arena.get_mut(key) {
            change(target);
            self.refresh(key);
        }
    }

    /// Brings the indexes up to date with a target.
    fn refresh(&mut self, key: TargetKey) {
        let target = &self.arena[key];
        let room = self.room(target);
        for (&route, &place) in target.info.routes.iter().zip(&target.places) {
            let group = self
                .groups
                .get_mut(&(route, target.info.version))
                .expect("target has a group");
            group.tree.set(place, room);
        }
        if target.runs_batch() {
            self.with_batch.insert(key);
        } else {
            self.with_batch.remove(&key);
        }
    }

    fn room(&self, target: &Target) -> Room {
        let factors = self.zones.get(target.info.zone.index());
        target.room(factors.copied().unwrap_or([1.0; 2]))
    }

    /// Removes a member of a group; the last member takes its place.
    fn leave(&mut self, route: RouteKey, version: VersionKey, place: usize) {
        let group = self
            .groups
            .get_mut(&(route, version))
            .expect("target has a group");
        group.members.swap_remove(place);
        let last = group.members.len();
        let room = group.tree.get(last);
        group.tree.set(last, crate::room::Room::default());
        let Some(&moved) = group.members.get(place) else {
            if group.members.is_empty() {
                self.groups.remove(&(route, version));
            }
            return;
        };
        group.tree.set(place, room);
        let target = &mut self.arena[moved];
        let index = target.info.routes.iter().position(|&r| r == route);
        target.places[index.expect("member serves the route")] = place;
    }
}
