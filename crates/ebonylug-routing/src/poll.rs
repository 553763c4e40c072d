use std::time::{Duration, Instant};

use ebonylug_core::{Class, Offer, Reason, Refusal, Tokens};
use smallvec::SmallVec;

use crate::choice::{Chosen, Requirements, WarmTarget};
use crate::key::Interned;
use crate::ledger::{Entry, Stage};
use crate::prefix::Holder;
use crate::target::SentAttempt;
use crate::warm_wait::WarmWait;
use crate::workload::bounded_secs;
use crate::{Action, Actions, Dispatch, RequestKey, RouteKey, Router, TargetKey, VersionKey};

/// Best-case latency of a request, as a fraction of the mean. A batch request is shed
/// before its deadline only if it would miss the deadline even at this latency.
const BEST_LATENCY_RATIO: f64 = 0.5;

/// The longest time that a batch request waits for a target with a warm cache.
const MAX_WARM_WAIT: Duration = Duration::from_secs(10);

/// A batch request waits for a warm cache for at most its deadline slack divided by this.
const SLACK_DIVISOR: u32 = 4;

/// Maximum number of requests that become eligible again after a change of the target that they
/// wait for. Without a bound, each response would retry all of them, including those whose prompt
/// is still being computed.
const MAX_RELEASED: usize = 8;

/// The state of one pass over the queues. Headroom only shrinks during a pass, so a version that
/// is blocked stays blocked.
#[derive(Debug, Default)]
struct Pass {
    blocked: SmallVec<[(RouteKey, VersionKey); 4]>,
    /// Routes on which interactive requests wait for headroom.
    waiting_routes: SmallVec<[RouteKey; 4]>,
    /// Interactive requests that found no headroom, and the targets that are held for them.
    unplaced: SmallVec<[RequestKey; 16]>,
    held_targets: SmallVec<[TargetKey; 16]>,
    /// Whether a request was dropped or became ineligible, so that the next request of its route
    /// must be tried.
    head_removed: bool,
}

impl Router {
    /// Returns the actions to take now: dispatches requests that have a target with headroom, and
    /// ends those that have expired or were shed.
    pub fn poll(&mut self, now: Instant) -> Actions {
        self.expire_waiting(now);
        self.targets.end_pauses(now);
        self.release_retry_waits(now);
        self.release_warm_waits(now);
        self.queue.update_workloads(now, &self.settings);
        let mut actions = std::mem::take(&mut self.pending);
        let mut pass = Pass::default();
        self.dispatch(now, Class::Interactive, &mut pass, &mut actions);
        for target in pass.held_targets.drain(..) {
            self.targets.release_hold(target);
        }
        pass.blocked.clear();
        self.dispatch(now, Class::Batch, &mut pass, &mut actions);
        // Requests that were dropped during dispatch are returned now, or their clients would wait
        // until the next event.
        actions.append(&mut self.pending);
        actions
    }

    fn expire_waiting(&mut self, now: Instant) {
        while let Some((deadline, key)) = self.queue.first_deadline() {
            if deadline > now {
                break;
            }
            self.fail_waiting(key, Refusal::new(Reason::Deadline));
        }
    }

    /// Makes requests eligible again as far as the retry budget allows, most urgent first.
    fn release_retry_waits(&mut self, now: Instant) {
        while !self.retry_waits.is_empty() && self.budget.spend(now) {
            let (_, key) = self
                .retry_waits
                .pop_first()
                .expect("retry_waits is not empty");
            let entry = self.ledger.entry_mut(key);
            entry.stage = Stage::Queued;
            self.queue.make_eligible(now, key, entry);
        }
    }

    fn dispatch(&mut self, now: Instant, class: Class, pass: &mut Pass, actions: &mut Actions) {
        let mut routes = self.queue.route_priorities(class);
        while let Some(index) = (0..routes.len()).min_by_key(|&index| routes[index].0) {
            let route = routes[index].1;
            let dispatch = self.dispatch_first(now, class, route, pass);
            let head_removed = std::mem::take(&mut pass.head_removed);
            match dispatch {
                Some(dispatch) => actions.push(Action::Dispatch(dispatch)),
                None if head_removed => {}
                None => {
                    routes.swap_remove(index);
                    continue;
                }
            }
            match self.queue.route_priority(class, route) {
                Some(priority) => routes[index].0 = priority,
                None => {
                    routes.swap_remove(index);
                }
            }
        }
    }

    /// Dispatches the first request of a route that has a target, if any.
    ///
    /// A waiting batch request blocks later ones for the same version, or a large request could
    /// starve behind small ones. It does not block other versions, but the lookahead limits how
    /// far they get ahead, or a version with a small share would get most of the traffic while the
    /// others are full. A waiting interactive request holds one target, on all routes that the
    /// target serves; later requests use the other targets.
    fn dispatch_first(
        &mut self,
        now: Instant,
        class: Class,
        route: RouteKey,
        pass: &mut Pass,
    ) -> Option<Dispatch> {
        let versions = self.routes[route.index()].shares.len();
        // In most cases the first request has a target, so the others are collected only if needed.
        for (skip, limit) in [(0, 1), (1, self.settings.lookahead)] {
            let candidates = self.queue.candidates(class, route, limit);
            for key in candidates.into_iter().skip(skip) {
                if pass.unplaced.contains(&key) {
                    continue;
                }
                if self.will_miss_deadline(now, key) {
                    self.fail_waiting(key, Refusal::new(Reason::Deadline));
                    pass.head_removed = true;
                    return None;
                }
                let dispatch = self.try_dispatch(now, key, pass);
                if dispatch.is_some() || pass.head_removed {
                    return dispatch;
                }
                let blocked = pass.blocked.iter().filter(|(other, _)| *other == route);
                if blocked.count() == versions {
                    return None;
                }
            }
        }
        None
    }

    /// Reports whether a batch request would miss its deadline even if it were dispatched now.
    ///
    /// Such a request would displace one that can still meet its deadline. Under overload, since
    /// the earliest deadlines go first, nearly all batch work would complete late.
    fn will_miss_deadline(&self, now: Instant, key: RequestKey) -> bool {
        let entry = self.ledger.entry(key);
        let request = &entry.request;
        let Some(deadline) = request.deadline.filter(|_| !request.tier.is_interactive()) else {
            return false;
        };
        let token_latency = self.routes[request.route.index()].token_latency * BEST_LATENCY_RATIO;
        now + bounded_secs(token_latency * entry.cost.as_f64()) > deadline
    }

    /// Dispatches a request if its version, or the version that takes the overflow, has a target.
    fn try_dispatch(&mut self, now: Instant, key: RequestKey, pass: &mut Pass) -> Option<Dispatch> {
        let drawn = self.draw_version(key)?;
        let request = &self.ledger.entry(key).request;
        let (route, class) = (request.route, request.tier.class);
        let fallback = self.routes[route.index()].shares.fallback(drawn);
        for version in [Some(drawn), fallback].into_iter().flatten() {
            if pass.blocked.contains(&(route, version)) {
                continue;
            }
            let warm = match class {
                Class::Interactive => None,
                Class::Batch => self.find_warm_target(now, key, version, pass),
            };
            let chosen = match warm {
                Some(WarmTarget::Unavailable(target)) => {
                    self.start_warm_wait(key, target);
                    pass.head_removed = true;
                    return None;
                }
                Some(WarmTarget::Available(chosen)) => Some(chosen),
                None => self.choose(key, version, pass),
            };
            if let Some(chosen) = chosen {
                self.reassign_version(key, drawn, version);
                return Some(self.start_attempt(now, key, chosen));
            }
            if class == Class::Batch {
                self.block_version(key, version, pass);
            }
        }
        if class == Class::Interactive {
            self.hold_target(key, drawn, fallback, pass);
        }
        None
    }

    /// Holds a target for an interactive request that found no headroom: the one with the most
    /// headroom, which is expected to have enough for the request first, since a held target gets
    /// no other work.
    ///
    /// Without the hold, smaller requests and those of other routes would take all headroom as it
    /// is freed. If the request blocked the whole route instead, a request of 5,000 tokens would
    /// stop a route whose targets each have headroom for 4,000.
    fn hold_target(
        &mut self,
        key: RequestKey,
        drawn: VersionKey,
        fallback: Option<VersionKey>,
        pass: &mut Pass,
    ) {
        let route = self.ledger.entry(key).request.route;
        pass.unplaced.push(key);
        for version in [Some(drawn), fallback].into_iter().flatten() {
            let group = self.targets.group(route, version);
            let total = group.map(|group| group.tree.total()).unwrap_or_default();
            // Without a serving target there is no headroom to keep for interactive requests.
            if total.limit == 0 {
                pass.block(route, version);
                continue;
            }
            // A request above every limit waits for an idle target, which can take long, so it
            // does not hold the only serving target.
            let oversized = self.ledger.entry(key).cost.0 > total.max_limit;
            if oversized && total.limit == total.max_limit {
                continue;
            }
            if !pass.waiting_routes.contains(&route) {
                pass.waiting_routes.push(route);
            }
            if pass.held_targets.len() >= self.settings.lookahead {
                pass.block(route, version);
                continue;
            }
            match self.targets.hold_max_headroom(route, version) {
                Some(target) => {
                    pass.held_targets.push(target);
                    return;
                }
                None => pass.block(route, version),
            }
        }
    }

    /// Returns a target with a warm cache that a batch request should use or wait for.
    ///
    /// Prefilling the prompt again costs more than waiting, as long as the deadline allows it.
    fn find_warm_target(
        &mut self,
        now: Instant,
        key: RequestKey,
        version: VersionKey,
        pass: &Pass,
    ) -> Option<WarmTarget> {
        let entry = self.ledger.entry(key);
        let requirements = requirements(entry, version, pass);
        let warm = self.chooser.find_warm(&self.targets, &requirements)?;
        if let WarmTarget::Available(_) = warm {
            return Some(warm);
        }
        let until = entry.warm_until.unwrap_or_else(|| {
            let token_latency = self.routes[entry.request.route.index()].token_latency;
            let needed = bounded_secs(token_latency * entry.cost.as_f64());
            let slack = entry.request.deadline.map_or(MAX_WARM_WAIT, |deadline| {
                deadline.saturating_duration_since(now + needed)
            });
            now + MAX_WARM_WAIT.min(slack / SLACK_DIVISOR)
        });
        self.ledger.entry_mut(key).warm_until = Some(until);
        (until > now).then_some(warm)
    }

    /// Makes a batch request ineligible until a target has headroom or the wait ends.
    fn start_warm_wait(&mut self, key: RequestKey, target: TargetKey) {
        let entry = self.ledger.entry_mut(key);
        self.queue.make_ineligible(entry);
        let until = entry.warm_until.expect("a warm wait has an end");
        let warm_wait = WarmWait { target, until };
        entry.warm_wait = Some(warm_wait);
        self.warm_waits.insert(key, entry.position, warm_wait);
    }

    /// Makes requests eligible again whose target may have headroom or whose wait has ended.
    fn release_warm_waits(&mut self, now: Instant) {
        while let Some((end, key)) = self.warm_waits.next_end()
            && end <= now
        {
            self.end_warm_wait(now, key);
        }
        while let Some(target) = self.warm_waits.pop_changed() {
            let headroom = self.targets.batch_headroom(target);
            let mut work = 0_u64;
            let waiting: SmallVec<[RequestKey; 16]> = self
                .warm_waits
                .waiting_for(target)
                .take(MAX_RELEASED)
                .take_while(|&key| {
                    let fits = headroom.is_none_or(|headroom| work < headroom);
                    work = work.saturating_add(self.ledger.entry(key).output.0);
                    fits
                })
                .collect();
            for key in waiting {
                self.end_warm_wait(now, key);
            }
        }
    }

    fn end_warm_wait(&mut self, now: Instant, key: RequestKey) {
        let entry = self.ledger.entry_mut(key);
        if let Some(warm_wait) = entry.warm_wait.take() {
            self.warm_waits.remove(key, entry.position, warm_wait);
            self.queue.make_eligible(now, key, entry);
        }
    }

    /// Returns the version that was drawn for a request, or draws one if there is none or the
    /// shares have changed since.
    fn draw_version(&mut self, key: RequestKey) -> Option<VersionKey> {
        let entry = self.ledger.entry_mut(key);
        let shares = &mut self.routes[entry.request.route.index()].shares;
        if let Some((version, epoch)) = entry.drawn {
            // A request that has run in part keeps its version while that version has a share,
            // so that its response does not come from two versions.
            let stays = epoch == shares.epoch() || (entry.has_run && shares.share(version) > 0.0);
            if stays {
                return Some(version);
            }
            if !entry.has_run {
                shares.undo_draw(version);
            }
        }
        let version = shares.draw(entry.request.id)?;
        entry.drawn = Some((version, shares.epoch()));
        Some(version)
    }

    /// Counts a request towards another version than the one that was drawn.
    fn reassign_version(&mut self, key: RequestKey, drawn: VersionKey, version: VersionKey) {
        if drawn == version {
            return;
        }
        let entry = self.ledger.entry_mut(key);
        let shares = &mut self.routes[entry.request.route.index()].shares;
        shares.reassign(drawn, version);
        entry.drawn = Some((version, shares.epoch()));
    }

    fn choose(&mut self, key: RequestKey, version: VersionKey, pass: &Pass) -> Option<Chosen> {
        let requirements = requirements(self.ledger.entry(key), version, pass);
        self.chooser.choose(&self.targets, &requirements)
    }

    /// Marks a version as blocked for the rest of the pass, because it has no headroom for a batch
    /// request.
    fn block_version(&self, key: RequestKey, version: VersionKey, pass: &mut Pass) {
        let entry = self.ledger.entry(key);
        let route = entry.request.route;
        let group = self.targets.group(route, version);
        let total = group.map(|group| group.tree.total()).unwrap_or_default();
        // A request above every limit waits for an idle target, which can take long, so it
        // does not block other requests.
        if total.limit > 0 && entry.cost.0 > total.max_limit {
            return;
        }
        pass.block(route, version);
    }

    fn start_attempt(&mut self, now: Instant, key: RequestKey, chosen: Chosen) -> Dispatch {
        let entry = self.ledger.entry_mut(key);
        self.queue.remove(key, entry);
        let request = &entry.request;
        if !request.tier.is_interactive() {
            self.batch_in_flight += 1;
            self.queue.charge(entry);
        }
        if entry.next_attempt == 0 {
            self.budget.earn();
        }
        let prompt = entry.input - chosen.cached;
        let sent = SentAttempt {
            request: key,
            number: entry.next_attempt,
            class: request.tier.class,
            cost: prompt + entry.output,
            at: now,
        };
        let target = self
            .targets
            .get(chosen.target)
            .expect("the chosen target exists");
        let holder = Holder {
            target: chosen.target,
            generation: target.generation,
        };
        let incarnation = target
            .report()
            .expect("a target with headroom has a report")
            .incarnation;
        self.chooser
            .prefixes()
            .insert(&request.prefix, holder, false);
        self.targets.record_sent(chosen.target, sent);
        let attempt = self.ledger.start(key, chosen.target, sent);
        let entry = self.ledger.entry(key);
        let request = &entry.request;
        let offer = Offer {
            attempt,
            incarnation,
            revision: self.revision,
            tier: request.tier,
            organisation: self.organisations.name(request.organisation).clone(),
            prompt,
            cached: chosen.cached.min(entry.input),
            output: entry.output.max(Tokens(1)),
            fingerprint: request.fingerprint,
            parts: request.parts.clone(),
            repeat: request.repeat,
            offset: request.offset,
            fence: None,
        };
        Dispatch {
            request: key,
            target: chosen.target,
            offer,
        }
    }
}

impl Pass {
    fn block(&mut self, route: RouteKey, version: VersionKey) {
        if !self.blocked.contains(&(route, version)) {
            self.blocked.push((route, version));
        }
    }
}

fn requirements<'a>(entry: &'a Entry, version: VersionKey, pass: &'a Pass) -> Requirements<'a> {
    let class = entry.request.tier.class;
    Requirements {
        class,
        route: entry.request.route,
        version,
        input: entry.input,
        output: entry.output,
        prefix: &entry.request.prefix,
        resume_hint: entry.resume_hint,
        excluded_routes: match class {
            Class::Batch => &pass.waiting_routes,
            Class::Interactive => &[],
        },
    }
}
