use std::collections::{BTreeMap, HashMap};

use ebonylug_admission::CrashLog;
use ebonylug_core::{
    AttemptId, Class, End, Fingerprint, Incarnation, Name, Outcome, Reason, Refusal, RequestId,
    Revision, RevokeOutcome, Tokens,
};
use ebonylug_routing::{
    Action, Disposition, OrganisationKey, Request, RouteKey, Router, Settings, TargetInfo,
    TargetKey, TargetKind, TargetState, ZoneKey,
};
use ebonylug_zones::ZoneMap;

use crate::engine::{EngineKind, SECOND};
use crate::product::{AttemptEnd, Message, zone_name};
use crate::recorder::Conclusion;
use crate::simulation::{Node, Path, Simulation, job_of};

/// Interval at which the timeouts of attempts, targets and zones are checked.
const CHECK_INTERVAL_US: u64 = SECOND / 2;
/// Timeout for a sidecar to admit or refuse an attempt.
const ADMISSION_TIMEOUT_US: u64 = 2 * SECOND;
/// Time without a message after which a connection counts as broken.
const CONNECTION_TIMEOUT_US: u64 = 3 * SECOND;
/// Number of revocations of an attempt after which its outcome is unknown.
const MAX_REVOKES: u32 = 4;
/// Time without a report after which a target gets no work.
const REPORT_TIMEOUT_US: u64 = 3 * SECOND;

/// One entry.
pub(super) struct Entry {
    index: usize,
    router: Router,
    targets: Vec<TargetKey>,
    target_indices: HashMap<TargetKey, usize>,
    routes: Vec<RouteKey>,
    organisations: Vec<OrganisationKey>,
    zone_keys: Vec<ZoneKey>,
    zones: ZoneMap,
    sidecars: Vec<SidecarState>,
    in_flight: BTreeMap<AttemptId, Attempt>,
    crashes: CrashLog,
    /// Time of the earliest pending [`Message::Wake`].
    wake_at: Option<u64>,
    /// Targets of the dispatches that the policy has not yet counted.
    pub(super) dispatched: Vec<usize>,
}

/// State of the sidecar of one target, as this entry observes it.
#[derive(Clone, Copy, Default)]
struct SidecarState {
    last_report: u64,
    incarnation: Option<Incarnation>,
    unreachable: bool,
}

/// An attempt that was dispatched and has no outcome yet.
struct Attempt {
    target: usize,
    incarnation: Incarnation,
    /// Time of the dispatch or of the last message about the attempt.
    last_seen: u64,
    started: bool,
    revokes: u32,
}

impl Entry {
    pub(super) fn new(
        sim: &Simulation<Message>,
        index: usize,
        seed: u64,
        revision: Revision,
    ) -> Self {
        let mut router = Router::new(Settings::default(), seed ^ (index as u64) << 32);
        router.set_revision(revision);
        let deployment = &sim.deployment;
        let route = |route: &crate::deployment::RouteSpec| Name::new(route.name);
        let routes: Vec<RouteKey> = deployment
            .routes
            .iter()
            .map(|spec| router.route_key(&route(spec)))
            .collect();
        let mut organisations = Vec::new();
        for organisation in &deployment.organisations {
            let key = router.organisation_key(&Name::new(organisation.name));
            router.set_weight(key, organisation.weight);
            organisations.push(key);
        }
        let zone_keys: Vec<ZoneKey> = deployment
            .zones
            .iter()
            .map(|zone| router.zone_key(&Name::new(zone)))
            .collect();
        let version = router.version_key(&Name::new("v1"));
        let mut zones = ZoneMap::new(ebonylug_zones::Settings::default());
        let mut targets = Vec::new();
        for spec in &deployment.targets {
            let service = matches!(spec.kind, EngineKind::Service { .. });
            let serves = |index: &usize| deployment.routes[*index].service == service;
            let served = (0..routes.len()).filter(serves).map(|index| routes[index]);
            let info = TargetInfo {
                name: Name::new(&spec.name),
                zone: zone_keys[spec.zone],
                version,
                routes: served.collect(),
                kind: if service {
                    TargetKind::Service
                } else {
                    TargetKind::Model
                },
            };
            zones.record_report(sim.instant(), &info.name, &zone_name(sim, spec.zone));
            targets.push(router.add_target(info));
        }
        for route in &routes {
            router.set_shares(*route, &[(version, 1.0)]);
        }
        Entry {
            index,
            router,
            target_indices: targets
                .iter()
                .enumerate()
                .map(|(i, key)| (*key, i))
                .collect(),
            sidecars: vec![SidecarState::default(); targets.len()],
            targets,
            routes,
            organisations,
            zone_keys,
            zones,
            in_flight: BTreeMap::new(),
            crashes: CrashLog::new(),
            wake_at: None,
            dispatched: Vec::new(),
        }
    }

    pub(super) fn enqueue(&mut self, sim: &mut Simulation<Message>, job: usize) {
        let spec = &sim.jobs[job];
        let route = &sim.deployment.routes[spec.route];
        let request = Request {
            id: RequestId(job as u128),
            route: self.routes[spec.route],
            organisation: self.organisations[spec.organisation],
            tier: route.tier,
            prompt: Tokens(spec.prompt()),
            max_output: Tokens(spec.max_output),
            prefix: spec.prefix(job),
            fingerprint: Fingerprint(spec.fingerprint),
            parts: Default::default(),
            deadline: Some(sim.instant_at(spec.deadline)),
            repeat: route.repeat,
            offset: 0,
        };
        if let Err(refusal) = self.router.enqueue(sim.instant(), request) {
            sim.conclude(job, Conclusion::Refused(refusal.reason));
        }
    }

    /// Returns the numbers of queued interactive and batch requests.
    pub(super) fn waiting(&self) -> [usize; 2] {
        let mut waiting = [0; 2];
        for (tier, backlog) in self.router.backlog().tiers {
            waiting[usize::from(!tier.is_interactive())] += backlog.waiting;
        }
        waiting
    }

    pub(super) fn receive(&mut self, sim: &mut Simulation<Message>, message: Message) {
        let now = sim.now;
        match message {
            Message::Refused(attempt, refusal, report) => {
                self.settle(sim, attempt, Outcome::Refused(refusal, Some(report)));
            }
            Message::Started(attempt) => {
                if let Some(in_flight) = self.in_flight.get_mut(&attempt) {
                    in_flight.started = true;
                    in_flight.last_seen = now;
                }
            }
            Message::FirstToken(attempt) if self.in_flight.contains_key(&attempt) => {
                sim.recorder.record_first_token(job_of(attempt), now);
            }
            Message::Ended(attempt, end) => self.settle(sim, attempt, outcome(end)),
            Message::Report(target, report) => {
                let sidecar = &mut self.sidecars[target];
                sidecar.last_report = now;
                sidecar.incarnation = Some(report.incarnation);
                let spec = &sim.deployment.targets[target];
                let zone = zone_name(sim, spec.zone);
                self.zones
                    .record_report(sim.instant(), &Name::new(&spec.name), &zone);
                self.set_unreachable(target, false);
                self.router
                    .apply_report(sim.instant(), self.targets[target], &report);
            }
            Message::KeepAlive(attempts) => {
                for attempt in attempts {
                    if let Some(in_flight) = self.in_flight.get_mut(&attempt) {
                        in_flight.last_seen = now;
                        in_flight.started = true;
                    }
                }
            }
            Message::Revoked(attempt, revoked) => self.apply_revoked(sim, attempt, revoked),
            Message::Crashes(crashes) => self.forward_crashes(sim, &crashes),
            Message::Configure(revision, zone, drained) => {
                self.configure(sim, revision, zone, drained);
            }
            Message::CheckTimeouts => self.check_timeouts(sim),
            Message::Wake if self.wake_at == Some(now) => self.wake_at = None,
            _ => {}
        }
    }

    /// Polls the router and applies its actions.
    pub(super) fn poll(&mut self, sim: &mut Simulation<Message>) {
        for action in self.router.poll(sim.instant()) {
            match action {
                Action::Dispatch(dispatch) => {
                    let target = self.target_indices[&dispatch.target];
                    let in_flight = Attempt {
                        target,
                        incarnation: dispatch.offer.incarnation,
                        last_seen: sim.now,
                        started: false,
                        revokes: 0,
                    };
                    self.in_flight.insert(dispatch.offer.attempt, in_flight);
                    self.dispatched.push(target);
                    let message = Message::Offer(self.index, dispatch.offer);
                    let (from, to) = (Node::Entry(self.index), Node::Target(target));
                    sim.send(from, to, Path::Data, message);
                }
                Action::Shed { id, refusal, .. } => {
                    sim.conclude(id.0 as usize, Conclusion::Refused(refusal.reason));
                }
                Action::Abort { id, .. } => sim.conclude(id.0 as usize, Conclusion::Failed),
            }
        }
        self.schedule(sim);
    }

    fn schedule(&mut self, sim: &mut Simulation<Message>) {
        let Some(next) = self.router.next_wake(sim.instant()) else {
            return;
        };
        let at = sim.virtual_time(next).max(sim.now + 1);
        if self.wake_at.is_none_or(|wake| at < wake) {
            self.wake_at = Some(at);
            sim.set_timer(at, Node::Entry(self.index), Message::Wake);
        }
    }

    fn settle(&mut self, sim: &mut Simulation<Message>, attempt: AttemptId, outcome: Outcome) {
        if self.in_flight.remove(&attempt).is_none() {
            return;
        }
        if let Outcome::Refused(..) = outcome {
            sim.recorder.record_refusal(attempt);
        }
        let job = job_of(attempt);
        let conclusion = match &outcome {
            Outcome::Answered => Conclusion::Answered,
            Outcome::Unknown => Conclusion::Unknown,
            Outcome::Refused(refusal, _) => Conclusion::Refused(refusal.reason),
            Outcome::Failed | Outcome::Preempted { .. } => Conclusion::Failed,
        };
        if outcome == Outcome::Answered {
            let spec = &sim.jobs[job];
            let organisation = self.organisations[spec.organisation];
            let output = Tokens(spec.output);
            self.router
                .record_output(organisation, self.routes[spec.route], output);
        }
        let disposition = self.router.apply_outcome(sim.instant(), attempt, outcome);
        if disposition == Disposition::Ended {
            sim.conclude(job, conclusion);
        }
    }

    fn apply_revoked(
        &mut self,
        sim: &mut Simulation<Message>,
        attempt: AttemptId,
        revoked: RevokeOutcome,
    ) {
        match revoked {
            RevokeOutcome::NotRun => {
                let refusal = Refusal::new(Reason::Revoked);
                self.settle(sim, attempt, Outcome::Refused(refusal, None));
            }
            RevokeOutcome::Unknown => self.settle(sim, attempt, Outcome::Unknown),
            RevokeOutcome::Running => {
                if let Some(in_flight) = self.in_flight.get_mut(&attempt) {
                    in_flight.last_seen = sim.now;
                    in_flight.started = true;
                    in_flight.revokes = 0;
                }
            }
            // The sidecar sends `Message::Ended` next.
            RevokeOutcome::Finished => {}
        }
    }

    /// Revokes attempts whose connection timed out, and marks targets without reports as
    /// unreachable.
    fn check_timeouts(&mut self, sim: &mut Simulation<Message>) {
        sim.set_timer(
            sim.now + CHECK_INTERVAL_US,
            Node::Entry(self.index),
            Message::CheckTimeouts,
        );
        let mut unknown = Vec::new();
        for (attempt, in_flight) in &mut self.in_flight {
            let sidecar = &self.sidecars[in_flight.target];
            let timeout = if in_flight.started {
                CONNECTION_TIMEOUT_US
            } else {
                ADMISSION_TIMEOUT_US
            };
            let restarted = sidecar
                .incarnation
                .is_some_and(|i| i > in_flight.incarnation);
            if sim.now < in_flight.last_seen + timeout && !restarted && in_flight.revokes == 0 {
                continue;
            }
            in_flight.revokes += 1;
            if in_flight.revokes > MAX_REVOKES {
                unknown.push(*attempt);
                continue;
            }
            sim.network.reconnect(self.index, in_flight.target);
            let message = Message::Revoke(self.index, *attempt, in_flight.incarnation);
            let (from, to) = (Node::Entry(self.index), Node::Target(in_flight.target));
            sim.send(from, to, Path::Control, message);
        }
        for attempt in unknown {
            self.settle(sim, attempt, Outcome::Unknown);
        }
        for target in 0..self.targets.len() {
            if sim.now > self.sidecars[target].last_report + REPORT_TIMEOUT_US {
                self.set_unreachable(target, true);
            }
        }
        self.apply_zones(sim);
    }

    fn set_unreachable(&mut self, target: usize, unreachable: bool) {
        let sidecar = &mut self.sidecars[target];
        if sidecar.unreachable != unreachable {
            sidecar.unreachable = unreachable;
            let state = if unreachable {
                TargetState::Unreachable
            } else {
                TargetState::Live
            };
            self.router.set_target_state(self.targets[target], state);
        }
    }

    fn configure(
        &mut self,
        sim: &mut Simulation<Message>,
        revision: Revision,
        zone: usize,
        drained: bool,
    ) {
        self.router.set_revision(revision);
        let name = zone_name(sim, zone);
        if drained {
            self.zones.drain(sim.instant(), &name, revision);
        } else {
            self.zones.restore(sim.instant(), &name, revision);
        }
        self.apply_zones(sim);
    }

    fn apply_zones(&mut self, sim: &Simulation<Message>) {
        let now = sim.instant();
        self.zones.tick(now);
        for (zone, key) in self.zone_keys.iter().enumerate() {
            let name = zone_name(sim, zone);
            let share = |class| self.zones.share(&name, class, now).factor();
            let (urgent, batch) = (share(Class::Interactive), share(Class::Batch));
            self.router.set_zone_factor(*key, urgent, batch);
        }
    }

    /// Forwards new crashes to all sidecars.
    fn forward_crashes(&mut self, sim: &mut Simulation<Message>, crashes: &CrashLog) {
        if !self.crashes.merge(crashes) {
            return;
        }
        for target in 0..self.targets.len() {
            let message = Message::Crashes(Box::new(self.crashes.clone()));
            let (from, to) = (Node::Entry(self.index), Node::Target(target));
            sim.send(from, to, Path::Control, message);
        }
    }
}

fn outcome(end: AttemptEnd) -> Outcome {
    match end.end {
        End::Answered => Outcome::Answered,
        End::Cancelled if end.preempted => Outcome::Preempted {
            received: end.produced,
        },
        End::Cancelled | End::Failed | End::Crashed => Outcome::Failed,
    }
}
