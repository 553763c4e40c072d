use std::collections::BTreeMap;
use std::time::Instant;

use ebonylug_core::{AttemptId, LoadReport, Name, Reason, Refusal, RequestId, Revision, Tokens};

use crate::budget::RetryBudget;
use crate::choice::Chooser;
use crate::estimate::Estimator;
use crate::key::{Interned, Interner};
use crate::ledger::{Entry, Ledger, Stage};
use crate::prefix::Holder;
use crate::queue::{Position, Queue};
use crate::shares::Shares;
use crate::targets::Targets;
use crate::warm_wait::WarmWaits;
use crate::workload::bounded_secs;
use crate::{
    Action, Actions, AtRisk, Backlog, Cancelled, OrganisationKey, Request, RequestKey, RouteKey,
    Settings, TargetInfo, TargetKey, TargetKind, TargetState, VersionKey, ZoneKey,
};

/// Lower bound on the expected remaining output, as a fraction of the expected total output. It
/// applies to requests that have already produced nearly as much as expected, or more.
const OVERRUN_FRACTION: f64 = 0.25;

/// Queues the requests of an entry and dispatches them to targets.
///
/// See the [crate documentation](crate) for an overview and an example.
#[derive(Debug)]
pub struct Router {
    pub(crate) settings: Settings,
    pub(crate) targets: Targets,
    pub(crate) routes: Vec<Route>,
    pub(crate) queue: Queue,
    pub(crate) ledger: Ledger,
    pub(crate) chooser: Chooser,
    pub(crate) budget: RetryBudget,
    /// Requests that wait for the retry budget, in queue order.
    pub(crate) retry_waits: BTreeMap<Position, RequestKey>,
    /// Batch requests that wait for a target with a warm cache.
    pub(crate) warm_waits: WarmWaits,
    /// Number of batch requests with a live attempt.
    pub(crate) batch_in_flight: usize,
    /// Actions for requests that were shed or aborted since the last `poll`.
    pub(crate) pending: Actions,
    pub(crate) organisations: Interner<OrganisationKey>,
    pub(crate) revision: Revision,
    estimator: Estimator,
    route_names: Interner<RouteKey>,
    versions: Interner<VersionKey>,
    zones: Interner<ZoneKey>,
    /// The sequence number of the last request in order of arrival.
    sequence: u64,
}

/// The state of a route.
#[derive(Debug, Default)]
pub(crate) struct Route {
    pub(crate) kind: TargetKind,
    pub(crate) shares: Shares,
    /// Moving average of the time from dispatch to response, in seconds per token of cost.
    pub(crate) token_latency: f64,
    /// Number of targets that serve the route.
    targets: usize,
}

impl Router {
    /// Creates a router without targets. Decisions are deterministic: they depend only on the
    /// settings, the seed and the events.
    #[must_use]
    pub fn new(settings: Settings, seed: u64) -> Self {
        Router {
            targets: Targets::default(),
            routes: Vec::new(),
            queue: Queue::default(),
            ledger: Ledger::new(settings.capacity),
            chooser: Chooser::new(&settings, seed),
            budget: RetryBudget::new(&settings),
            retry_waits: BTreeMap::new(),
            warm_waits: WarmWaits::default(),
            batch_in_flight: 0,
            pending: Actions::new(),
            organisations: Interner::new(),
            revision: Revision::default(),
            estimator: Estimator::new(&settings),
            route_names: Interner::new(),
            versions: Interner::new(),
            zones: Interner::new(),
            sequence: 0,
            settings,
        }
    }

    /// Interns the name of a route and returns its key.
    pub fn route_key(&mut self, name: &Name) -> RouteKey {
        let key = self.route_names.key(name);
        if self.routes.len() <= key.index() {
            self.routes.resize_with(key.index() + 1, Route::default);
        }
        key
    }

    /// Interns the name of a version and returns its key.
    pub fn version_key(&mut self, name: &Name) -> VersionKey {
        self.versions.key(name)
    }

    /// Interns the name of an availability zone and returns its key.
    pub fn zone_key(&mut self, name: &Name) -> ZoneKey {
        self.zones.key(name)
    }

    /// Interns the name of an organisation and returns its key.
    pub fn organisation_key(&mut self, name: &Name) -> OrganisationKey {
        self.organisations.key(name)
    }

    /// Returns the name that a version key stands for.
    #[must_use]
    pub fn version_name(&self, key: VersionKey) -> &Name {
        self.versions.name(key)
    }

    /// Returns the name that a route key stands for.
    #[must_use]
    pub fn route_name(&self, key: RouteKey) -> &Name {
        self.route_names.name(key)
    }

    /// Adds a target in state [`TargetState::Live`]. It gets no work before its first report.
    pub fn add_target(&mut self, mut info: TargetInfo) -> TargetKey {
        info.routes.sort_unstable();
        info.routes.dedup();
        for route in &info.routes {
            let route = &mut self.routes[route.index()];
            route.targets += 1;
            route.kind = info.kind;
        }
        self.targets.add(info)
    }

    /// Removes a target. Its live attempts stay live until their outcomes are applied.
    pub fn remove_target(&mut self, key: TargetKey) {
        let Some(info) = self.targets.remove(key) else {
            return;
        };
        self.warm_waits.mark_changed(key);
        for route in &info.routes {
            self.routes[route.index()].targets -= 1;
        }
    }

    /// Sets the state of a target, which determines whether it gets new work.
    pub fn set_target_state(&mut self, key: TargetKey, state: TargetState) {
        self.targets.set_state(key, state);
        self.warm_waits.mark_changed(key);
    }

    /// Scales the limits of the targets in a zone by factors for interactive and for batch work.
    ///
    /// Factors are clamped to the range from 0 to 1, and NaN counts as 0. A factor of 0 stops new
    /// work.
    pub fn set_zone_factor(&mut self, zone: ZoneKey, interactive: f64, batch: f64) {
        let valid = |factor: f64| {
            if factor.is_nan() {
                0.0
            } else {
                factor.clamp(0.0, 1.0)
            }
        };
        self.targets
            .set_zone_factor(zone, [interactive, batch].map(valid));
    }

    /// Sets the traffic split between the versions of a route, relative to the sum of the shares.
    /// A version that is not listed gets no work, and no version gets any before the first call.
    ///
    /// A request whose version has no headroom waits, or overflows to the version with the largest
    /// share among those that have had all traffic at some time. The version with the largest share
    /// in the first call counts as one of these.
    pub fn set_shares(&mut self, route: RouteKey, shares: &[(VersionKey, f64)]) {
        self.routes[route.index()].shares.set(shares);
    }

    /// Sets the fair-queueing weight of an organisation for batch work. The default is 1.
    pub fn set_weight(&mut self, organisation: OrganisationKey, weight: u32) {
        self.queue.set_weight(organisation, weight);
    }

    /// Sets the configuration revision that is sent with each offer.
    pub fn set_revision(&mut self, revision: Revision) {
        self.revision = revision;
    }

    /// Applies a load report of a target. A report that is not newer than the last one is ignored.
    pub fn apply_report(&mut self, now: Instant, target: TargetKey, report: &LoadReport) {
        self.targets
            .apply_report(now, target, report, self.settings.round_trip);
        self.warm_waits.mark_changed(target);
    }

    /// Records the output length of a finished request, which improves the cost estimates of the
    /// organisation and the route.
    pub fn record_output(
        &mut self,
        organisation: OrganisationKey,
        route: RouteKey,
        output: Tokens,
    ) {
        self.estimator.record(organisation, route, output);
    }

    /// Records a cache event that reports prefix blocks as present at a target.
    pub fn record_cached(&mut self, target: TargetKey, blocks: &[u64]) {
        let Some(found) = self.targets.get(target) else {
            return;
        };
        let generation = found.generation;
        self.chooser
            .prefixes()
            .insert(blocks, Holder { target, generation }, true);
    }

    /// Records a cache event that reports prefix blocks as evicted at a target.
    pub fn record_evicted(&mut self, target: TargetKey, blocks: &[u64]) {
        self.chooser.prefixes().remove(blocks, target);
    }

    /// Queues a request, or refuses it without running it.
    ///
    /// If the queue is full, waiting requests of lower tiers that have not run are shed to make
    /// room. While batch work waits or runs, an interactive request is never shed, and is accepted
    /// up to [`Settings::ceiling`].
    ///
    /// # Errors
    ///
    /// Returns a refusal if the deadline has passed, no target serves the route, the queue is
    /// full, or a request with the same id has not ended.
    pub fn enqueue(&mut self, now: Instant, mut request: Request) -> Result<RequestKey, Refusal> {
        if self.find(request.id).is_some() {
            return Err(Refusal::new(Reason::Invalid));
        }
        let route = self.routes.get(request.route.index());
        if route.is_none_or(|route| route.targets == 0) {
            return Err(Refusal::new(Reason::NoTarget));
        }
        if request.deadline.is_some_and(|deadline| deadline <= now) {
            return Err(Refusal::new(Reason::Deadline));
        }
        let blocks = match route.map(|route| route.kind) {
            Some(TargetKind::Model) => self.settings.blocks,
            _ => 0,
        };
        request.prefix.truncate(blocks);
        let mut entry = self.new_entry(request);
        self.make_room(&entry)?;
        self.sequence += 1;
        entry.position.sequence = self.sequence;
        let key = self.ledger.insert(entry);
        self.queue.insert(now, key, self.ledger.entry_mut(key));
        Ok(key)
    }

    /// Cancels a request, for example because the client has disconnected.
    pub fn cancel(&mut self, key: RequestKey) -> Cancelled {
        let Some(entry) = self.ledger.get(key) else {
            return Cancelled::Ended;
        };
        let Stage::Sent(target, sent) = entry.stage else {
            self.remove_waiting(key);
            return Cancelled::Waiting;
        };
        let attempt = AttemptId {
            request: entry.request.id,
            number: sent.number,
        };
        self.targets.record_ended(target, sent);
        self.remove_sent(key);
        Cancelled::Sent { attempt, target }
    }

    /// Returns when to call `poll` next if no other event occurs before, or `None` if there is
    /// nothing to wait for.
    #[must_use]
    pub fn next_wake(&self, now: Instant) -> Option<Instant> {
        let pending = (!self.pending.is_empty()).then_some(now);
        let deadline = self.queue.first_deadline().map(|(deadline, _)| deadline);
        let pause = self.targets.next_pause_end();
        let retry = (!self.retry_waits.is_empty()).then(|| self.budget.next_retry(now));
        let warm_wait = self.warm_waits.next_end().map(|(end, _)| end);
        [pending, deadline, pause, retry, warm_wait]
            .into_iter()
            .flatten()
            .min()
    }

    /// Returns the key of the request with this id, if it has not ended.
    #[must_use]
    pub fn find(&self, id: RequestId) -> Option<RequestKey> {
        self.ledger.find(id)
    }

    /// Returns a request, or `None` if it has ended.
    #[must_use]
    pub fn request(&self, key: RequestKey) -> Option<&Request> {
        self.ledger.get(key).map(|entry| &entry.request)
    }

    /// Returns a target, or `None` if it has been removed.
    #[must_use]
    pub fn target(&self, key: TargetKey) -> Option<&TargetInfo> {
        self.targets.get(key).map(|target| &target.info)
    }

    /// Reports whether a target was in cold start according to its last report.
    #[must_use]
    pub fn is_cold(&self, key: TargetKey) -> bool {
        let target = self.targets.get(key);
        target.is_some_and(|target| target.is_cold())
    }

    /// Returns the live attempts at a target, for example to revoke them when its sidecar no
    /// longer responds. Takes time linear in the number of requests.
    #[must_use]
    pub fn attempts_at(&self, target: TargetKey) -> Vec<AttemptId> {
        let attempt = |entry: &Entry| match entry.stage {
            Stage::Sent(at, sent) if at == target => Some(AttemptId {
                request: entry.request.id,
                number: sent.number,
            }),
            _ => None,
        };
        self.ledger
            .iter()
            .filter_map(|(_, entry)| attempt(entry))
            .collect()
    }

    /// Counts the requests that have not ended, by tier. Takes time linear in their number.
    #[must_use]
    pub fn backlog(&self) -> Backlog {
        let mut backlog = Backlog::default();
        for (_, entry) in self.ledger.iter() {
            let tier = entry.request.tier;
            let index = backlog.tiers.binary_search_by_key(&tier, |&(tier, _)| tier);
            let index = index.unwrap_or_else(|index| {
                backlog.tiers.insert(index, (tier, Default::default()));
                index
            });
            let counts = &mut backlog.tiers[index].1;
            if let Stage::Sent(..) = entry.stage {
                counts.sent += 1;
                counts.sent_work += entry.cost;
            } else {
                counts.waiting += 1;
                counts.waiting_work += entry.cost;
            }
        }
        backlog
    }

    /// Returns the waiting batch requests that will probably miss their deadlines, so that their
    /// clients can be notified early.
    ///
    /// The forecast divides the work due up to each deadline by the measured throughput. Before
    /// any work has completed, it uses the reported speed of the targets.
    #[must_use]
    pub fn batch_at_risk(&self, now: Instant) -> Vec<AtRisk> {
        let mut late = Vec::new();
        for route in self.queue.batch_routes() {
            let rate = self.reported_rate(route);
            let mut work = Tokens::ZERO;
            for (deadline, request) in self.queue.by_deadline(route) {
                let entry = self.ledger.entry(request);
                work += entry.cost;
                let measured = self.queue.workload(route).time_for(work);
                let wait = measured.unwrap_or_else(|| bounded_secs(work.as_f64() / rate.max(1.0)));
                let run =
                    bounded_secs(self.routes[route.index()].token_latency * entry.cost.as_f64());
                let expected = (rate > 0.0).then(|| now + wait.max(run));
                if expected.is_none_or(|expected| expected > deadline) {
                    late.push(AtRisk {
                        request,
                        id: entry.request.id,
                        deadline,
                        expected,
                    });
                }
            }
        }
        late
    }

    /// Returns the total number of stored requests, ended request ids, output estimates and prefix
    /// hints, which would grow with the traffic if they were not bounded.
    #[must_use]
    pub fn record_count(&self) -> usize {
        let requests = self.ledger.len() + self.queue.len() + self.ledger.ended_len();
        requests + self.estimator.len() + self.chooser.hint_count()
    }

    /// Reports whether batch work waits here or may run at any target in the subset. Interactive
    /// work must not be shed then.
    pub(crate) fn batch_exists(&self) -> bool {
        self.queue.has_batch() || self.batch_in_flight > 0 || self.targets.any_runs_batch()
    }

    /// Estimates the input and the remaining output of a request, given its offset.
    pub(crate) fn estimate_cost(&self, request: &Request) -> (Tokens, Tokens) {
        if self.routes[request.route.index()].kind == TargetKind::Service {
            return (Tokens::ZERO, Tokens(1));
        }
        let offset = Tokens(request.offset);
        let expected = self.estimator.expected(request.organisation, request.route);
        let remaining = (expected - offset).max(expected.scale(OVERRUN_FRACTION));
        let output = remaining.min(request.max_output - offset).max(Tokens(1));
        (request.prompt + offset, output)
    }

    /// Removes a waiting request from the ledger and from all queues.
    pub(crate) fn remove_waiting(&mut self, key: RequestKey) -> Option<Entry> {
        let mut entry = self.ledger.end(key)?;
        self.queue.remove(key, &mut entry);
        self.retry_waits.remove(&entry.position);
        if let Some(warm_wait) = entry.warm_wait.take() {
            self.warm_waits.remove(key, entry.position, warm_wait);
        }
        if let Some((version, _)) = entry.drawn
            && !entry.has_run
        {
            let route = entry.request.route;
            self.routes[route.index()].shares.undo_draw(version);
        }
        Some(entry)
    }

    /// Removes a request with a live attempt from the ledger.
    pub(crate) fn remove_sent(&mut self, key: RequestKey) {
        if let Some(entry) = self.ledger.end(key) {
            self.batch_in_flight -= usize::from(!entry.request.tier.is_interactive());
        }
    }

    /// Ends a waiting request: aborts it if it has run in part, and otherwise refuses it.
    pub(crate) fn fail_waiting(&mut self, request: RequestKey, refusal: Refusal) {
        let Some(entry) = self.remove_waiting(request) else {
            return;
        };
        let id = entry.request.id;
        self.pending.push(if entry.has_run {
            let reason = refusal.reason;
            Action::Abort {
                request,
                id,
                reason,
            }
        } else {
            Action::Shed {
                request,
                id,
                refusal,
            }
        });
    }

    /// Sheds requests of lower tiers until a new one fits.
    fn make_room(&mut self, entry: &Entry) -> Result<(), Refusal> {
        let tier = entry.request.tier;
        while self.exceeds_limits(entry.cost) {
            match self.queue.least_urgent() {
                Some((least_urgent, key))
                    if least_urgent > tier && !self.is_protected(least_urgent) =>
                {
                    self.fail_waiting(key, Refusal::new(Reason::Shed));
                }
                _ if self.is_protected(tier) && self.queue.len() < self.settings.ceiling => break,
                _ => return Err(Refusal::new(Reason::QueueFull)),
            }
        }
        Ok(())
    }

    /// Reports whether requests of a tier must not be shed, because they are interactive and batch
    /// work exists.
    pub(crate) fn is_protected(&self, tier: ebonylug_core::Tier) -> bool {
        tier.is_interactive() && self.batch_exists()
    }

    fn exceeds_limits(&self, cost: Tokens) -> bool {
        let full = self.queue.len() >= self.settings.capacity;
        let over_work = self.queue.len() > 0 && self.queue.work() + cost > self.settings.work;
        full || over_work
    }

    fn new_entry(&self, request: Request) -> Entry {
        let (input, output) = self.estimate_cost(&request);
        let position = Position {
            tier: request.tier,
            deadline: request.deadline.into(),
            sequence: 0,
        };
        Entry {
            position,
            stage: Stage::Queued,
            input,
            output,
            cost: input + output,
            deadline_group: None,
            next_attempt: 0,
            refusals: 0,
            drawn: None,
            resume_hint: None,
            warm_wait: None,
            warm_until: None,
            has_run: request.offset > 0,
            request,
        }
    }

    /// Returns the total speed of the targets of a route in tokens per second: the mean reported
    /// speed times the number of targets, summed over the versions that have a serving target.
    fn reported_rate(&self, route: RouteKey) -> f64 {
        let shares = &self.routes[route.index()].shares;
        let rate = |version| {
            let group = self.targets.group(route, version);
            let serving = group.filter(|group| group.tree.total().limit > 0);
            serving.map_or(0.0, |group| {
                group.rate.max(1.0) * group.members.len() as f64
            })
        };
        shares.keys().map(rate).sum()
    }
}
