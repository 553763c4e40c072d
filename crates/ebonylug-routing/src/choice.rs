use ebonylug_core::{Class, Tokens};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;

use crate::prefix::{Holder, PrefixIndex};
use crate::room::Room;
use crate::target::Target;
use crate::targets::{Group, Targets};
use crate::{RouteKey, Settings, TargetKey, VersionKey};

/// Chooses a target for a request.
///
/// A target that probably holds the prefix is preferred as long as it is not much busier than
/// the average. Otherwise a few targets with room are drawn at random and the one that will
/// be done first is taken: several entries that see the same stale reports then spread over
/// the targets instead of all taking the one that looks best.
#[derive(Debug)]
pub(crate) struct Chooser {
    rng: ChaCha8Rng,
    prefixes: PrefixIndex,
    choices: usize,
    cold_speed: f64,
    bound: f64,
    floor: f64,
    block: Tokens,
}

/// What a request needs of a target.
#[derive(Debug)]
pub(crate) struct Wanted<'a> {
    pub(crate) class: Class,
    pub(crate) route: RouteKey,
    pub(crate) version: VersionKey,
    /// Tokens that have to be computed before output comes.
    pub(crate) input: Tokens,
    /// Expected output.
    pub(crate) output: Tokens,
    pub(crate) prefix: &'a [u64],
    /// Where an earlier attempt was preempted, and the tokens that are cached there.
    pub(crate) home: Option<(Holder, Tokens)>,
    /// Targets that serve one of these routes are kept for waiting interactive requests.
    pub(crate) barred: &'a [RouteKey],
}

/// Part of a request's cost that must be in a cache for the request to wait for that target.
const WORTH_WAITING: f64 = 0.5;

/// Where a request finds most of its prompt in a cache.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Warm {
    /// At a target with room.
    Now(Chosen),
    /// At a target that has no room, or that is still computing the same prompt.
    Later(TargetKey),
}

/// The chosen target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Chosen {
    pub(crate) target: TargetKey,
    /// Tokens of the input that are probably cached there.
    pub(crate) cached: Tokens,
}

impl Chooser {
    pub(crate) fn new(settings: &Settings, seed: u64) -> Self {
        Chooser {
            rng: ChaCha8Rng::seed_from_u64(seed),
            prefixes: PrefixIndex::new(settings.hints),
            choices: settings.choices,
            cold_speed: settings.cold_speed,
            bound: settings.affinity_bound,
            floor: settings.affinity_floor,
            block: settings.block,
        }
    }

    /// Returns a target with room, or nothing.
    pub(crate) fn choose(&mut self, targets: &Targets, wanted: &Wanted<'_>) -> Option<Chosen> {
        let group = targets.group(wanted.route, wanted.version)?;
        let cached = self.by_affinity(targets, group, wanted);
        cached.or_else(|| self.by_speed(targets, group, wanted))
    }

    /// Looks for a target that saves most of the work of a batch request, whether it is busy or
    /// not.
    pub(crate) fn warm(&self, targets: &Targets, wanted: &Wanted<'_>) -> Option<Warm> {
        let group = targets.group(wanted.route, wanted.version)?;
        let mut later = None;
        for (chosen, known) in self.holders(targets, wanted) {
            let Some(target) = targets.get(chosen.target) else {
                continue;
            };
            let Some(room) = room_in(group, target, wanted) else {
                continue;
            };
            if room.limit == 0 || chosen.cached < wanted.cost().scale(WORTH_WAITING) {
                continue;
            }
            if known && room.of(wanted.class) >= (wanted.cost() - chosen.cached).0 {
                return Some(Warm::Now(chosen));
            }
            later = later.or(Some(Warm::Later(chosen.target)));
        }
        later
    }

    /// The index of cached prefixes.
    pub(crate) fn prefixes(&mut self) -> &mut PrefixIndex {
        &mut self.prefixes
    }

    /// Returns the number of remembered prefix hints.
    pub(crate) fn hints(&self) -> usize {
        self.prefixes.len()
    }

    fn by_affinity(&self, targets: &Targets, group: &Group, wanted: &Wanted<'_>) -> Option<Chosen> {
        let mut best: Option<(f64, Chosen)> = None;
        for (chosen, _) in self.holders(targets, wanted) {
            let Some(target) = targets.get(chosen.target) else {
                continue;
            };
            let Some(room) = room_in(group, target, wanted) else {
                continue;
            };
            let cost = wanted.cost() - chosen.cached;
            if room.of(wanted.class) < cost.0 || !self.in_bound(group, room, cost) {
                continue;
            }
            let time = self.time(group, target, room, cost);
            if best.is_none_or(|(other, _)| time < other) {
                best = Some((time, chosen));
            }
        }
        best.map(|(_, chosen)| chosen)
    }

    /// Returns the targets that probably hold the longest part of the input.
    fn holders(&self, targets: &Targets, wanted: &Wanted<'_>) -> SmallVec<[(Chosen, bool); 4]> {
        let current = |holder: Holder| {
            let target = targets.get(holder.target);
            target.is_some_and(|target| target.generation == holder.generation)
        };
        let most = wanted.input - Tokens(1);
        let mut holders = SmallVec::new();
        if let Some((holder, cached)) = wanted.home.filter(|&(holder, _)| current(holder)) {
            let (target, cached) = (holder.target, cached.min(most));
            holders.push((Chosen { target, cached }, true));
        }
        let (found, blocks) = self.prefixes.longest(wanted.prefix, current);
        let cached = Tokens(self.block.0.saturating_mul(blocks as u64)).min(most);
        let chosen = |(target, known)| (Chosen { target, cached }, known);
        holders.extend(found.into_iter().map(chosen));
        holders
    }

    fn by_speed(
        &mut self,
        targets: &Targets,
        group: &Group,
        wanted: &Wanted<'_>,
    ) -> Option<Chosen> {
        let cost = wanted.cost();
        let mut best: Option<(f64, TargetKey)> = None;
        for _ in 0..self.choices {
            let start = self.rng.random_range(0..group.members.len());
            let place = group.tree.find(wanted.class, cost.0, start)?;
            let key = group.members[place];
            let target = targets.get(key).expect("members of a group exist");
            let Some(room) = room_in(group, target, wanted) else {
                continue;
            };
            let time = self.time(group, target, room, cost);
            if best.is_none_or(|(other, _)| time < other) {
                best = Some((time, key));
            }
        }
        best.map(|(_, target)| Chosen {
            target,
            cached: Tokens::ZERO,
        })
    }

    /// Reports whether a target is not much busier than the average of its group.
    fn in_bound(&self, group: &Group, room: Room, cost: Tokens) -> bool {
        let total = group.tree.total();
        let average = total.load as f64 / total.limit.max(1) as f64;
        let own = (room.load + cost.0) as f64 / room.limit.max(1) as f64;
        own <= self.floor.max(self.bound * average)
    }

    /// Returns when a target will have done its work and this request, in seconds.
    fn time(&self, group: &Group, target: &Target, room: Room, cost: Tokens) -> f64 {
        let load = room.load.saturating_add(cost.0);
        // Work above the limit means that batch work is preempted, and done once more later.
        let preempted = load.saturating_sub(room.limit);
        let known = target.rate().unwrap_or(group.rate).max(1.0);
        let rate = if target.is_cold() {
            known * self.cold_speed
        } else {
            known
        };
        load.saturating_add(preempted) as f64 / rate
    }
}

impl Wanted<'_> {
    fn cost(&self) -> Tokens {
        self.input + self.output
    }
}

/// Returns the room of a target, unless it is of another group or kept for other requests.
fn room_in(group: &Group, target: &Target, wanted: &Wanted<'_>) -> Option<Room> {
    let routes = &target.info.routes;
    if target.info.version != wanted.version || routes.iter().any(|r| wanted.barred.contains(r)) {
        return None;
    }
    let index = routes.iter().position(|&route| route == wanted.route)?;
    Some(group.tree.get(target.places[index]))
}
