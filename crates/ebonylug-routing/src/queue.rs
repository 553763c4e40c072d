use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use ebonylug_core::{Class, Tier, Tokens};
use smallvec::SmallVec;

use crate::fair_queue::FairQueue;
use crate::key::Interned;
use crate::ledger::Entry;
use crate::workload::Workload;
use crate::{OrganisationKey, RequestKey, RouteKey, Settings};

/// The position of a request in the queue: by tier, then by deadline, then by arrival. A request
/// keeps its position until it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Position {
    pub(crate) tier: Tier,
    pub(crate) deadline: Deadline,
    pub(crate) sequence: u64,
}

/// The position of a batch request among those of its route or organisation: by deadline, then by
/// rank, then by arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct BatchPosition {
    deadline: Deadline,
    rank: u8,
    sequence: u64,
}

/// An optional deadline, ordered so that requests without a deadline come last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Deadline {
    At(Instant),
    Never,
}

/// The priority of the first request of a route among all routes. The lowest value is tried
/// first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RoutePriority {
    rank: u8,
    deadline: Deadline,
    sequence: u64,
}

/// The waiting requests, indexed in several orders.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    routes: Vec<RouteQueue>,
    /// Routes with eligible interactive requests.
    interactive: BTreeSet<RouteKey>,
    /// Routes with eligible batch requests.
    batch: BTreeSet<RouteKey>,
    /// Waiting requests that have not run, and so may be shed.
    sheddable: BTreeMap<Position, RequestKey>,
    deadlines: BTreeSet<(Instant, RequestKey)>,
    len: usize,
    batch_len: usize,
    /// Total expected work of the waiting requests.
    work: Tokens,
    /// Fair-queueing weights that were set; the default is 1.
    weights: BTreeMap<OrganisationKey, u32>,
}

/// The waiting requests of one route that are eligible for dispatch.
#[derive(Debug, Default)]
struct RouteQueue {
    interactive: BTreeMap<Position, RequestKey>,
    batch: BTreeMap<BatchPosition, RequestKey>,
    fair_queue: FairQueue,
    workload: Workload,
}

impl Queue {
    /// Adds a waiting request, eligible for dispatch.
    pub(crate) fn insert(&mut self, now: Instant, key: RequestKey, entry: &mut Entry) {
        self.len += 1;
        self.batch_len += usize::from(!entry.position.tier.is_interactive());
        self.work += entry.cost;
        if !entry.has_run {
            self.sheddable.insert(entry.position, key);
        }
        if let Deadline::At(deadline) = entry.position.deadline {
            self.deadlines.insert((deadline, key));
        }
        self.make_eligible(now, key, entry);
    }

    /// Removes a waiting request, eligible or not.
    pub(crate) fn remove(&mut self, key: RequestKey, entry: &mut Entry) {
        self.len -= 1;
        self.batch_len -= usize::from(!entry.position.tier.is_interactive());
        self.work -= entry.cost;
        self.sheddable.remove(&entry.position);
        if let Deadline::At(deadline) = entry.position.deadline {
            self.deadlines.remove(&(deadline, key));
        }
        self.make_ineligible(entry);
    }

    /// Makes a waiting request eligible for dispatch.
    pub(crate) fn make_eligible(&mut self, now: Instant, key: RequestKey, entry: &mut Entry) {
        let route = entry.request.route;
        let position = entry.position;
        let route_queue = self.route_mut(route);
        match position.tier.class {
            Class::Interactive => {
                route_queue.interactive.insert(position, key);
                self.interactive.insert(route);
            }
            Class::Batch => {
                route_queue.batch.insert(position.batch_position(), key);
                route_queue.fair_queue.insert(
                    entry.request.organisation,
                    position.batch_position(),
                    key,
                );
                if let Deadline::At(deadline) = position.deadline {
                    entry.deadline_group =
                        Some(route_queue.workload.add(now, deadline, entry.cost));
                }
                self.batch.insert(route);
            }
        }
    }

    /// Makes a waiting request ineligible for dispatch. It still counts towards the queue limits.
    pub(crate) fn make_ineligible(&mut self, entry: &mut Entry) {
        let route = entry.request.route;
        let position = entry.position;
        let route_queue = self.route_mut(route);
        match position.tier.class {
            Class::Interactive => {
                route_queue.interactive.remove(&position);
                if route_queue.interactive.is_empty() {
                    self.interactive.remove(&route);
                }
            }
            Class::Batch => {
                route_queue.batch.remove(&position.batch_position());
                route_queue
                    .fair_queue
                    .remove(entry.request.organisation, position.batch_position());
                if let Some(group) = entry.deadline_group.take() {
                    route_queue.workload.remove(group, entry.cost);
                }
                if route_queue.batch.is_empty() {
                    self.batch.remove(&route);
                }
            }
        }
    }

    /// Returns the routes with eligible requests of a class, and their priorities.
    pub(crate) fn route_priorities(
        &self,
        class: Class,
    ) -> SmallVec<[(RoutePriority, RouteKey); 4]> {
        let routes = match class {
            Class::Interactive => &self.interactive,
            Class::Batch => &self.batch,
        };
        let priority = |&route: &RouteKey| Some((self.route_priority(class, route)?, route));
        routes.iter().filter_map(priority).collect()
    }

    /// Returns the priority of a route, or `None` if it has no eligible request of the class.
    pub(crate) fn route_priority(&self, class: Class, route: RouteKey) -> Option<RoutePriority> {
        let route_queue = &self.routes[route.index()];
        match class {
            Class::Interactive => {
                let (position, _) = route_queue.interactive.first_key_value()?;
                Some(RoutePriority {
                    rank: position.tier.rank,
                    deadline: position.deadline,
                    sequence: position.sequence,
                })
            }
            Class::Batch => {
                let (position, _) = route_queue.batch.first_key_value()?;
                let urgent = route_queue.is_urgent(*position);
                Some(RoutePriority {
                    rank: u8::from(!urgent),
                    deadline: if urgent {
                        position.deadline
                    } else {
                        Deadline::Never
                    },
                    sequence: position.sequence,
                })
            }
        }
    }

    /// Returns up to `limit` requests of a route in the order in which to try them.
    pub(crate) fn candidates(
        &self,
        class: Class,
        route: RouteKey,
        limit: usize,
    ) -> SmallVec<[RequestKey; 16]> {
        let route_queue = &self.routes[route.index()];
        match class {
            Class::Interactive => route_queue
                .interactive
                .values()
                .copied()
                .take(limit)
                .collect(),
            Class::Batch => {
                let urgent = route_queue
                    .batch
                    .iter()
                    .take_while(|(p, _)| route_queue.is_urgent(**p));
                urgent
                    .map(|(_, &key)| key)
                    .chain(route_queue.fair_queue.candidates())
                    .take(limit)
                    .collect()
            }
        }
    }

    /// Returns the least urgent waiting request that has not run.
    pub(crate) fn least_urgent(&self) -> Option<(Tier, RequestKey)> {
        let (position, &key) = self.sheddable.last_key_value()?;
        Some((position.tier, key))
    }

    /// Returns the earliest deadline of a waiting request.
    pub(crate) fn first_deadline(&self) -> Option<(Instant, RequestKey)> {
        self.deadlines.first().copied()
    }

    /// Charges an organisation for a dispatched batch request.
    pub(crate) fn charge(&mut self, entry: &Entry) {
        let org = entry.request.organisation;
        let weight = self.weight(org);
        self.route_mut(entry.request.route)
            .fair_queue
            .charge(org, entry.cost, weight);
    }

    /// Refunds an organisation the cost of work that did not run.
    pub(crate) fn refund(&mut self, entry: &Entry, work: Tokens) {
        let org = entry.request.organisation;
        let weight = self.weight(org);
        self.route_mut(entry.request.route)
            .fair_queue
            .refund(org, work, weight);
    }

    pub(crate) fn set_weight(&mut self, org: OrganisationKey, weight: u32) {
        self.weights.insert(org, weight);
    }

    /// Counts completed batch work towards the throughput of the route.
    pub(crate) fn record_done(&mut self, route: RouteKey, cost: Tokens) {
        self.route_mut(route).workload.record_done(cost);
    }

    /// Updates the throughput and the urgent deadlines of each route with batch work.
    pub(crate) fn update_workloads(&mut self, now: Instant, settings: &Settings) {
        for route in &self.batch {
            self.routes[route.index()].workload.update(now, settings);
        }
    }

    /// Returns the eligible batch requests of a route that have a deadline, in deadline order.
    pub(crate) fn by_deadline(
        &self,
        route: RouteKey,
    ) -> impl Iterator<Item = (Instant, RequestKey)> + '_ {
        let batch = self.routes[route.index()].batch.iter();
        batch.map_while(|(position, &key)| match position.deadline {
            Deadline::At(deadline) => Some((deadline, key)),
            Deadline::Never => None,
        })
    }

    pub(crate) fn workload(&self, route: RouteKey) -> &Workload {
        &self.routes[route.index()].workload
    }

    pub(crate) fn batch_routes(&self) -> impl Iterator<Item = RouteKey> + '_ {
        self.batch.iter().copied()
    }

    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn has_batch(&self) -> bool {
        self.batch_len > 0
    }

    pub(crate) fn work(&self) -> Tokens {
        self.work
    }

    fn weight(&self, org: OrganisationKey) -> u32 {
        self.weights.get(&org).copied().unwrap_or(1)
    }

    fn route_mut(&mut self, route: RouteKey) -> &mut RouteQueue {
        if self.routes.len() <= route.index() {
            self.routes
                .resize_with(route.index() + 1, RouteQueue::default);
        }
        &mut self.routes[route.index()]
    }
}

impl RouteQueue {
    fn is_urgent(&self, position: BatchPosition) -> bool {
        match position.deadline {
            Deadline::At(deadline) => Some(deadline) <= self.workload.urgent_until(),
            Deadline::Never => false,
        }
    }
}

impl Position {
    pub(crate) fn batch_position(self) -> BatchPosition {
        BatchPosition {
            deadline: self.deadline,
            rank: self.tier.rank,
            sequence: self.sequence,
        }
    }
}

impl From<Option<Instant>> for Deadline {
    fn from(deadline: Option<Instant>) -> Self {
        deadline.map_or(Deadline::Never, Deadline::At)
    }
}
