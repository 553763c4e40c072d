use ebonylug_core::{Class, Tokens};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;

use crate::headroom::Headroom;
use crate::prefix::{Holder, PrefixIndex};
use crate::target::Target;
use crate::targets::{Group, Targets};
use crate::{RouteKey, Settings, TargetKey, VersionKey};

/// Chooses a target for a request.
///
/// A target that probably holds the prefix is preferred if it is not much busier than the
/// average. Otherwise, a few targets with headroom are sampled at random and the one with the
/// earliest expected completion is chosen. Entries with the same stale reports then spread
/// their requests, instead of all choosing the target that looks best.
#[derive(Debug)]
pub(crate) struct Chooser {
    rng: ChaCha8Rng,
    prefixes: PrefixIndex,
    choices: usize,
    cold_speed: f64,
    affinity_bound: f64,
    affinity_floor: f64,
    block_size: Tokens,
}

/// The requirements of a request on its target.
#[derive(Debug)]
pub(crate) struct Requirements<'a> {
    pub(crate) class: Class,
    pub(crate) route: RouteKey,
    pub(crate) version: VersionKey,
    /// Tokens to prefill before the first output token if nothing is cached.
    pub(crate) input: Tokens,
    /// Expected output tokens.
    pub(crate) output: Tokens,
    pub(crate) prefix: &'a [u64],
    /// Where the last attempt was preempted, and the number of its tokens that are cached there.
    pub(crate) resume_hint: Option<(Holder, Tokens)>,
    /// Targets that serve any of these routes are not chosen, since interactive requests wait for
    /// them.
    pub(crate) excluded_routes: &'a [RouteKey],
}

/// The fraction of a request's cost that a target must have cached for the request to wait for it.
const MIN_CACHED_FRACTION: f64 = 0.5;

/// A target that holds most of the prompt of a request in its cache.
#[derive(Clone, Copy, Debug)]
pub(crate) enum WarmTarget {
    /// The target has headroom.
    Available(Chosen),
    /// The target has no headroom, or is still computing the same prompt.
    Unavailable(TargetKey),
}

/// A target for a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Chosen {
    pub(crate) target: TargetKey,
    /// Input tokens that the target has probably cached.
    pub(crate) cached: Tokens,
}

impl Chooser {
    pub(crate) fn new(settings: &Settings, seed: u64) -> Self {
        Chooser {
            rng: ChaCha8Rng::seed_from_u64(seed),
            prefixes: PrefixIndex::new(settings.hints),
            choices: settings.choices,
            cold_speed: settings.cold_speed,
            affinity_bound: settings.affinity_bound,
            affinity_floor: settings.affinity_floor,
            block_size: settings.block,
        }
    }

    /// Returns a target with headroom, or `None` if there is none.
    pub(crate) fn choose(
        &mut self,
        targets: &Targets,
        requirements: &Requirements<'_>,
    ) -> Option<Chosen> {
        let group = targets.group(requirements.route, requirements.version)?;
        let cached = self.choose_by_affinity(targets, group, requirements);
        cached.or_else(|| self.choose_by_completion(targets, group, requirements))
    }

    /// Returns a target whose cache saves most of the work of a batch request, even if the target
    /// has no headroom.
    pub(crate) fn find_warm(
        &self,
        targets: &Targets,
        requirements: &Requirements<'_>,
    ) -> Option<WarmTarget> {
        let group = targets.group(requirements.route, requirements.version)?;
        let mut unavailable = None;
        for (chosen, confirmed) in self.holders(targets, requirements) {
            let Some(target) = targets.get(chosen.target) else {
                continue;
            };
            let Some(headroom) = headroom_in(group, target, requirements) else {
                continue;
            };
            if headroom.limit == 0 || chosen.cached < requirements.cost().scale(MIN_CACHED_FRACTION)
            {
                continue;
            }
            if confirmed
                && headroom.for_class(requirements.class) >= (requirements.cost() - chosen.cached).0
            {
                return Some(WarmTarget::Available(chosen));
            }
            unavailable = unavailable.or(Some(WarmTarget::Unavailable(chosen.target)));
        }
        unavailable
    }

    /// Returns the index of cached prefixes.
    pub(crate) fn prefixes(&mut self) -> &mut PrefixIndex {
        &mut self.prefixes
    }

    /// Returns the number of blocks in the prefix index.
    pub(crate) fn hint_count(&self) -> usize {
        self.prefixes.len()
    }

    /// Returns the target with headroom that completes the request first, among those that hold its
    /// prefix and are within the affinity bound.
    fn choose_by_affinity(
        &self,
        targets: &Targets,
        group: &Group,
        requirements: &Requirements<'_>,
    ) -> Option<Chosen> {
        let mut best: Option<(f64, Chosen)> = None;
        for (chosen, _) in self.holders(targets, requirements) {
            let Some(target) = targets.get(chosen.target) else {
                continue;
            };
            let Some(headroom) = headroom_in(group, target, requirements) else {
                continue;
            };
            let cost = requirements.cost() - chosen.cached;
            if headroom.for_class(requirements.class) < cost.0
                || !self.within_affinity_bound(group, headroom, cost)
            {
                continue;
            }
            let completion_time = self.completion_time(group, target, headroom, cost);
            if best.is_none_or(|(other, _)| completion_time < other) {
                best = Some((completion_time, chosen));
            }
        }
        best.map(|(_, chosen)| chosen)
    }

    /// Returns the targets that probably hold the longest part of the input in their cache, and
    /// whether each is confirmed to hold it.
    fn holders(
        &self,
        targets: &Targets,
        requirements: &Requirements<'_>,
    ) -> SmallVec<[(Chosen, bool); 4]> {
        let current = |holder: Holder| {
            let target = targets.get(holder.target);
            target.is_some_and(|target| target.generation == holder.generation)
        };
        let max_cached = requirements.input - Tokens(1);
        let mut holders = SmallVec::new();
        if let Some((holder, cached)) = requirements
            .resume_hint
            .filter(|&(holder, _)| current(holder))
        {
            let (target, cached) = (holder.target, cached.min(max_cached));
            holders.push((Chosen { target, cached }, true));
        }
        let (found, blocks) = self.prefixes.longest(requirements.prefix, current);
        let cached = Tokens(self.block_size.0.saturating_mul(blocks as u64)).min(max_cached);
        let chosen = |(target, confirmed)| (Chosen { target, cached }, confirmed);
        holders.extend(found.into_iter().map(chosen));
        holders
    }

    /// Returns the target that completes the request first, among a random sample of those with
    /// headroom.
    fn choose_by_completion(
        &mut self,
        targets: &Targets,
        group: &Group,
        requirements: &Requirements<'_>,
    ) -> Option<Chosen> {
        let cost = requirements.cost();
        let mut best: Option<(f64, TargetKey)> = None;
        for _ in 0..self.choices {
            let start = self.rng.random_range(0..group.members.len());
            let position = group.tree.find(requirements.class, cost.0, start)?;
            let key = group.members[position];
            let target = targets.get(key).expect("members of a group exist");
            let Some(headroom) = headroom_in(group, target, requirements) else {
                continue;
            };
            let completion_time = self.completion_time(group, target, headroom, cost);
            if best.is_none_or(|(other, _)| completion_time < other) {
                best = Some((completion_time, key));
            }
        }
        best.map(|(_, target)| Chosen {
            target,
            cached: Tokens::ZERO,
        })
    }

    /// Reports whether the utilisation of a target, including the request, is within the bound for
    /// prefix affinity.
    fn within_affinity_bound(&self, group: &Group, headroom: Headroom, cost: Tokens) -> bool {
        let total = group.tree.total();
        let average = total.load as f64 / total.limit.max(1) as f64;
        let utilisation = (headroom.load + cost.0) as f64 / headroom.limit.max(1) as f64;
        utilisation <= self.affinity_floor.max(self.affinity_bound * average)
    }

    /// Estimates the time in seconds until a target completes its load and this request.
    fn completion_time(
        &self,
        group: &Group,
        target: &Target,
        headroom: Headroom,
        cost: Tokens,
    ) -> f64 {
        let load = headroom.load.saturating_add(cost.0);
        // Load above the limit preempts batch work, which then has to run again.
        let preempted = load.saturating_sub(headroom.limit);
        let speed = target.rate().unwrap_or(group.rate).max(1.0);
        let rate = if target.is_cold() {
            speed * self.cold_speed
        } else {
            speed
        };
        load.saturating_add(preempted) as f64 / rate
    }
}

impl Requirements<'_> {
    fn cost(&self) -> Tokens {
        self.input + self.output
    }
}

/// Returns the headroom of a target, or `None` if it belongs to another group or serves an
/// excluded route.
fn headroom_in(
    group: &Group,
    target: &Target,
    requirements: &Requirements<'_>,
) -> Option<Headroom> {
    let routes = &target.info.routes;
    if target.info.version != requirements.version
        || routes
            .iter()
            .any(|r| requirements.excluded_routes.contains(r))
    {
        return None;
    }
    let index = routes
        .iter()
        .position(|&route| route == requirements.route)?;
    Some(group.tree.get(target.positions[index]))
}
