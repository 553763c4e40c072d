use std::time::{Duration, Instant};

use ebonylug_core::{Class, Offer, Reason, Refusal, Tokens};
use smallvec::SmallVec;

use crate::choice::{Chosen, Wanted, Warm};
use crate::key::Interned;
use crate::ledger::{Entry, Stage};
use crate::prefix::Holder;
use crate::resting::Rest;
use crate::target::Send;
use crate::workload::bounded_secs;
use crate::{Action, Actions, Dispatch, RequestKey, RouteKey, Router, TargetKey, VersionKey};

/// Part of the usual time in which a request may be done at best. Only a request that would miss
/// its deadline even then is given up.
const BEST_PACE: f64 = 0.5;

/// The longest time that a batch request waits for a target with a warm cache.
const PATIENCE: Duration = Duration::from_secs(10);

/// The part of its slack that a batch request spends at most on that, as a divisor.
const SLACK_PART: u32 = 4;

/// Requests that line up again after news about the target that they wait for. Without a bound,
/// each answer would try all that wait, also those whose prompt is still being computed.
const MOST_WOKEN: usize = 8;

/// What one pass over the queues has found out. Room only shrinks during a pass, so that what
/// is blocked stays blocked.
#[derive(Debug, Default)]
struct Pass {
    blocked: SmallVec<[(RouteKey, VersionKey); 4]>,
    /// Routes on which interactive requests wait for room.
    waiting: SmallVec<[RouteKey; 4]>,
    /// Interactive requests that found no room, and the targets that are kept for them.
    stuck: SmallVec<[RequestKey; 16]>,
    held: SmallVec<[TargetKey; 16]>,
    /// Whether a request was given up or stands aside, so that the next one of its route is to be
    /// tried.
    dropped: bool,
}

impl Router {
    /// Decides what to do now: sends what fits, and refuses what has expired.
    pub fn poll(&mut self, now: Instant) -> Actions {
        self.expire(now);
        self.targets.wake(now);
        self.release_parked(now);
        self.release_resting(now);
        self.queue.review(now, &self.settings);
        let mut actions = std::mem::take(&mut self.pending);
        let mut pass = Pass::default();
        self.dispatch(now, Class::Interactive, &mut pass, &mut actions);
        for target in pass.held.drain(..) {
            self.targets.release(target);
        }
        pass.blocked.clear();
        self.dispatch(now, Class::Batch, &mut pass, &mut actions);
        // What the dispatch gave up is returned now, or it would wait for the next event.
        actions.append(&mut self.pending);
        actions
    }

    fn expire(&mut self, now: Instant) {
        while let Some((deadline, key)) = self.queue.first_deadline() {
            if deadline > now {
                break;
            }
            self.give_up(key, Refusal::new(Reason::Deadline));
        }
    }

    /// Lets requests go on that have waited for the retry budget, the most urgent first.
    fn release_parked(&mut self, now: Instant) {
        while !self.parked.is_empty() && self.budget.spend(now) {
            let (_, key) = self.parked.pop_first().expect("there is a parked request");
            let entry = self.ledger.entry_mut(key);
            entry.stage = Stage::Queued;
            self.queue.line_up(now, key, entry);
        }
    }

    fn dispatch(&mut self, now: Instant, class: Class, pass: &mut Pass, actions: &mut Actions) {
        let mut turns = self.queue.turns(class);
        while let Some(index) = (0..turns.len()).min_by_key(|&index| turns[index].0) {
            let route = turns[index].1;
            let dispatch = self.dispatch_one(now, class, route, pass);
            let dropped = std::mem::take(&mut pass.dropped);
            match dispatch {
                Some(dispatch) => actions.push(Action::Dispatch(dispatch)),
                None if dropped => {}
                None => {
                    turns.swap_remove(index);
                    continue;
                }
            }
            match self.queue.turn(class, route) {
                Some(turn) => turns[index].0 = turn,
                None => {
                    turns.swap_remove(index);
                }
            }
        }
    }

    /// Sends the first request of a route that has a target, if any.
    ///
    /// A batch request that waits holds up the others for the same version, or a large request
    /// would wait for ever behind small ones. It does not hold up other versions. How far they
    /// may get ahead is limited, or a version with a small share would get most of the traffic
    /// while the others are full. An interactive request that waits keeps one target to itself,
    /// whatever routes the target serves, and the others go on elsewhere.
    fn dispatch_one(
        &mut self,
        now: Instant,
        class: Class,
        route: RouteKey,
        pass: &mut Pass,
    ) -> Option<Dispatch> {
        let versions = self.routes[route.index()].shares.len();
        // Mostly the first request is the one, and the others need not be collected.
        for (skip, most) in [(0, 1), (1, self.settings.lookahead)] {
            let heads = self.queue.heads(class, route, most);
            for key in heads.into_iter().skip(skip) {
                if pass.stuck.contains(&key) {
                    continue;
                }
                if self.is_hopeless(now, key) {
                    self.give_up(key, Refusal::new(Reason::Deadline));
                    pass.dropped = true;
                    return None;
                }
                let dispatch = self.try_one(now, key, pass);
                if dispatch.is_some() || pass.dropped {
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

    /// Reports whether a batch request cannot be done by its deadline even if it is sent now.
    ///
    /// Such a request would take the place of one that can: under overload nearly all batch work
    /// was answered late, since the latest were sent first.
    fn is_hopeless(&self, now: Instant, key: RequestKey) -> bool {
        let entry = self.ledger.entry(key);
        let request = &entry.request;
        let Some(deadline) = request.deadline.filter(|_| !request.tier.is_interactive()) else {
            return false;
        };
        let pace = self.routes[request.route.index()].pace * BEST_PACE;
        now + bounded_secs(pace * entry.cost.as_f64()) > deadline
    }

    /// Sends a request if its version, or the one that takes the overflow, has a target.
    fn try_one(&mut self, now: Instant, key: RequestKey, pass: &mut Pass) -> Option<Dispatch> {
        let drawn = self.version_of(key)?;
        let request = &self.ledger.entry(key).request;
        let (route, class) = (request.route, request.tier.class);
        let fallback = self.routes[route.index()].shares.fallback(drawn);
        for version in [Some(drawn), fallback].into_iter().flatten() {
            if pass.blocked.contains(&(route, version)) {
                continue;
            }
            let warm = match class {
                Class::Interactive => None,
                Class::Batch => self.warm(now, key, version, pass),
            };
            let chosen = match warm {
                Some(Warm::Later(target)) => {
                    self.rest(key, target);
                    pass.dropped = true;
                    return None;
                }
                Some(Warm::Now(chosen)) => Some(chosen),
                None => self.choose(key, version, pass),
            };
            if let Some(chosen) = chosen {
                self.fall_back(key, drawn, version);
                return Some(self.send(now, key, chosen));
            }
            if class == Class::Batch {
                self.block(key, version, pass);
            }
        }
        if class == Class::Interactive {
            self.hold(key, drawn, fallback, pass);
        }
        None
    }

    /// Keeps a target for an interactive request that found no room: the one that will have room
    /// first, since it has the most now and gets nothing more.
    ///
    /// Without it, requests of other routes and smaller ones would take each bit of room. If the
    /// request held up all others instead, one of 5,000 tokens would stop a route whose targets
    /// each have room for 4,000.
    fn hold(
        &mut self,
        key: RequestKey,
        drawn: VersionKey,
        fallback: Option<VersionKey>,
        pass: &mut Pass,
    ) {
        let route = self.ledger.entry(key).request.route;
        pass.stuck.push(key);
        for version in [Some(drawn), fallback].into_iter().flatten() {
            let group = self.targets.group(route, version);
            let total = group.map(|group| group.tree.total()).unwrap_or_default();
            // Without a serving target there is nothing to keep free for interactive requests.
            if total.limit == 0 {
                pass.block(route, version);
                continue;
            }
            // A request above every limit waits for an idle target, which may take long, so it
            // does not hold up the last one.
            let oversized = self.ledger.entry(key).cost.0 > total.largest;
            if oversized && total.limit == total.largest {
                continue;
            }
            if !pass.waiting.contains(&route) {
                pass.waiting.push(route);
            }
            if pass.held.len() >= self.settings.lookahead {
                pass.block(route, version);
                continue;
            }
            match self.targets.hold_widest(route, version) {
                Some(target) => {
                    pass.held.push(target);
                    return;
                }
                None => pass.block(route, version),
            }
        }
    }

    /// Looks for a target with a warm cache that a batch request should wait for, or go to.
    ///
    /// A prompt that is computed once more costs more than the wait, as long as there is time.
    fn warm(
        &mut self,
        now: Instant,
        key: RequestKey,
        version: VersionKey,
        pass: &Pass,
    ) -> Option<Warm> {
        let entry = self.ledger.entry(key);
        let wanted = wanted(entry, version, pass);
        let warm = self.chooser.warm(&self.targets, &wanted)?;
        if let Warm::Now(_) = warm {
            return Some(warm);
        }
        let until = entry.patience.unwrap_or_else(|| {
            let pace = self.routes[entry.request.route.index()].pace;
            let needed = bounded_secs(pace * entry.cost.as_f64());
            let slack = entry.request.deadline.map_or(PATIENCE, |deadline| {
                deadline.saturating_duration_since(now + needed)
            });
            now + PATIENCE.min(slack / SLACK_PART)
        });
        self.ledger.entry_mut(key).patience = Some(until);
        (until > now).then_some(warm)
    }

    /// Lets a batch request stand aside until a target has room.
    fn rest(&mut self, key: RequestKey, target: TargetKey) {
        let entry = self.ledger.entry_mut(key);
        self.queue.step_back(entry);
        let until = entry.patience.expect("who rests has patience");
        let rest = Rest { target, until };
        entry.rest = Some(rest);
        self.resting.insert(key, entry.position, rest);
    }

    /// Lines up the requests whose target has room or whose time for it is over.
    fn release_resting(&mut self, now: Instant) {
        while let Some((end, key)) = self.resting.first_end()
            && end <= now
        {
            self.stop_rest(now, key);
        }
        while let Some(target) = self.resting.pop_news() {
            let room = self.targets.batch_room(target);
            let mut work = 0_u64;
            let waiting: SmallVec<[RequestKey; 16]> = self
                .resting
                .at(target)
                .take(MOST_WOKEN)
                .take_while(|&key| {
                    let fits = room.is_none_or(|room| work < room);
                    work = work.saturating_add(self.ledger.entry(key).output.0);
                    fits
                })
                .collect();
            for key in waiting {
                self.stop_rest(now, key);
            }
        }
    }

    fn stop_rest(&mut self, now: Instant, key: RequestKey) {
        let entry = self.ledger.entry_mut(key);
        if let Some(rest) = entry.rest.take() {
            self.resting.remove(key, entry.position, rest);
            self.queue.line_up(now, key, entry);
        }
    }

    /// Returns the version that was drawn for a request, or draws one.
    fn version_of(&mut self, key: RequestKey) -> Option<VersionKey> {
        let entry = self.ledger.entry_mut(key);
        let shares = &mut self.routes[entry.request.route.index()].shares;
        if let Some((version, epoch)) = entry.drawn {
            // A request that has run in part stays with its version as long as that may be
            // used, so that its answer does not come from two versions.
            let stays = epoch == shares.epoch() || (entry.ran && shares.share(version) > 0.0);
            if stays {
                return Some(version);
            }
            if !entry.ran {
                shares.undo(version);
            }
        }
        let version = shares.draw(entry.request.id)?;
        entry.drawn = Some((version, shares.epoch()));
        Some(version)
    }

    /// Counts a request for another version than the one that was drawn.
    fn fall_back(&mut self, key: RequestKey, drawn: VersionKey, version: VersionKey) {
        if drawn == version {
            return;
        }
        let entry = self.ledger.entry_mut(key);
        let shares = &mut self.routes[entry.request.route.index()].shares;
        shares.fall_back(drawn, version);
        entry.drawn = Some((version, shares.epoch()));
    }

    fn choose(&mut self, key: RequestKey, version: VersionKey, pass: &Pass) -> Option<Chosen> {
        let wanted = wanted(self.ledger.entry(key), version, pass);
        self.chooser.choose(&self.targets, &wanted)
    }

    /// Notes that a version has no room for a batch request.
    fn block(&self, key: RequestKey, version: VersionKey, pass: &mut Pass) {
        let entry = self.ledger.entry(key);
        let route = entry.request.route;
        let group = self.targets.group(route, version);
        let total = group.map(|group| group.tree.total()).unwrap_or_default();
        // A request above every limit waits for an idle target, which may take long, so it
        // holds up nothing.
        if total.limit > 0 && entry.cost.0 > total.largest {
            return;
        }
        pass.block(route, version);
    }

    fn send(&mut self, now: Instant, key: RequestKey, chosen: Chosen) -> Dispatch {
        let entry = self.ledger.entry_mut(key);
        self.queue.remove(key, entry);
        let request = &entry.request;
        if !request.tier.is_interactive() {
            self.batch_sent += 1;
            self.queue.charge(entry);
        }
        if entry.next == 0 {
            self.budget.earn();
        }
        let prompt = entry.input - chosen.cached;
        let send = Send {
            request: key,
            number: entry.next,
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
            .expect("a target with room has a report")
            .incarnation;
        self.chooser
            .prefixes()
            .insert(&request.prefix, holder, false);
        self.targets.sent(chosen.target, send);
        let attempt = self.ledger.start(key, chosen.target, send);
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

fn wanted<'a>(entry: &'a Entry, version: VersionKey, pass: &'a Pass) -> Wanted<'a> {
    let class = entry.request.tier.class;
    Wanted {
        class,
        route: entry.request.route,
        version,
        input: entry.input,
        output: entry.output,
        prefix: &entry.request.prefix,
        home: entry.home,
        barred: match class {
            Class::Batch => &pass.waiting,
            Class::Interactive => &[],
        },
    }
}
