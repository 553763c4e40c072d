use std::collections::{BTreeMap, HashMap};

use ebonylug_admission::CrashLog;
use ebonylug_core::{
    AttemptId, Class, End, Fingerprint, Incarnation, Name, Outcome, Reason, Refusal, RequestId,
    Revision, Revoked, Tokens,
};
use ebonylug_routing::{
    Action, Disposition, OrganisationKey, Request, RouteKey, Router, Settings, TargetInfo,
    TargetKey, TargetKind, TargetState, ZoneKey,
};
use ebonylug_zones::ZoneMap;

use crate::engine::{Kind, SECOND};
use crate::product::{Message, Tail, zone_name};
use crate::tally::Conclusion;
use crate::world::{Core, Node, Path, job_of};

/// The interval at which silent attempts and zones are looked for.
const WATCH: u64 = SECOND / 2;
/// Time for a sidecar to admit or refuse.
const ADMISSION_TIMEOUT: u64 = 2 * SECOND;
/// Time without a sign of life after which a connection counts as silent.
const SILENCE: u64 = 3 * SECOND;
/// Times that a sidecar is asked what became of an attempt.
const SETTLE_TRIES: u32 = 4;
/// Time without a report after which a target gets no work.
const SILENT_TARGET: u64 = 3 * SECOND;

/// One entry.
pub(super) struct Entry {
    index: usize,
    router: Router,
    targets: Vec<TargetKey>,
    places: HashMap<TargetKey, usize>,
    routes: Vec<RouteKey>,
    organisations: Vec<OrganisationKey>,
    zone_keys: Vec<ZoneKey>,
    zones: ZoneMap,
    contacts: Vec<Contact>,
    live: BTreeMap<AttemptId, Live>,
    crashes: CrashLog,
    wake: Option<u64>,
    /// Targets that were sent an attempt since the list was last read.
    pub(super) dispatched: Vec<usize>,
}

/// What is known of one target's sidecar.
#[derive(Clone, Copy, Default)]
struct Contact {
    reported: u64,
    incarnation: Option<Incarnation>,
    silent: bool,
}

/// An attempt that was sent and has no outcome.
struct Live {
    target: usize,
    incarnation: Incarnation,
    heard: u64,
    began: bool,
    tries: u32,
}

impl Entry {
    pub(super) fn new(core: &Core<Message>, index: usize, seed: u64, revision: Revision) -> Self {
        let mut router = Router::new(Settings::default(), seed ^ (index as u64) << 32);
        router.set_revision(revision);
        let deployment = &core.deployment;
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
            let service = matches!(spec.kind, Kind::Service { .. });
            let serves = |place: &usize| deployment.routes[*place].service == service;
            let served = (0..routes.len()).filter(serves).map(|place| routes[place]);
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
            zones.record_report(core.instant(), &info.name, &zone_name(core, spec.zone));
            targets.push(router.add_target(info));
        }
        for route in &routes {
            router.set_shares(*route, &[(version, 1.0)]);
        }
        Entry {
            index,
            router,
            places: targets
                .iter()
                .enumerate()
                .map(|(i, key)| (*key, i))
                .collect(),
            contacts: vec![Contact::default(); targets.len()],
            targets,
            routes,
            organisations,
            zone_keys,
            zones,
            live: BTreeMap::new(),
            crashes: CrashLog::new(),
            wake: None,
            dispatched: Vec::new(),
        }
    }

    pub(super) fn enqueue(&mut self, core: &mut Core<Message>, job: usize) {
        let spec = &core.jobs[job];
        let route = &core.deployment.routes[spec.route];
        let request = Request {
            id: RequestId(job as u128),
            route: self.routes[spec.route],
            organisation: self.organisations[spec.organisation],
            tier: route.tier,
            prompt: Tokens(spec.prompt()),
            max_output: Tokens(spec.max_output),
            prefix: spec.prefix(job),
            fingerprint: Fingerprint(spec.content),
            deadline: Some(core.at(spec.deadline)),
            repeat: route.repeat,
            offset: 0,
        };
        if let Err(refusal) = self.router.enqueue(core.instant(), request) {
            core.conclude(job, Conclusion::Refused(refusal.reason));
        }
    }

    /// Returns the interactive and batch requests that wait.
    pub(super) fn waiting(&self) -> [usize; 2] {
        let mut waiting = [0; 2];
        for (tier, backlog) in self.router.backlog().tiers {
            waiting[usize::from(!tier.is_interactive())] += backlog.waiting;
        }
        waiting
    }

    pub(super) fn receive(&mut self, core: &mut Core<Message>, message: Message) {
        let now = core.now;
        match message {
            Message::Refused(attempt, refusal, report) => {
                self.settle(core, attempt, Outcome::Refused(refusal, Some(report)));
            }
            Message::Began(attempt) => {
                if let Some(live) = self.live.get_mut(&attempt) {
                    live.began = true;
                    live.heard = now;
                }
            }
            Message::First(attempt) if self.live.contains_key(&attempt) => {
                core.tally.first_token(job_of(attempt), now);
            }
            Message::Tail(attempt, tail) => self.settle(core, attempt, outcome(tail)),
            Message::Report(target, report) => {
                let contact = &mut self.contacts[target];
                contact.reported = now;
                contact.incarnation = Some(report.incarnation);
                let spec = &core.deployment.targets[target];
                let zone = zone_name(core, spec.zone);
                self.zones
                    .record_report(core.instant(), &Name::new(&spec.name), &zone);
                self.hear(target, false);
                self.router
                    .apply_report(core.instant(), self.targets[target], &report);
            }
            Message::Alive(attempts) => {
                for attempt in attempts {
                    if let Some(live) = self.live.get_mut(&attempt) {
                        live.heard = now;
                        live.began = true;
                    }
                }
            }
            Message::Revoked(attempt, revoked) => self.revoked(core, attempt, revoked),
            Message::Crashes(crashes) => self.learn_crashes(core, &crashes),
            Message::Configure(revision, zone, drained) => {
                self.configure(core, revision, zone, drained);
            }
            Message::Watch => self.watch(core),
            Message::Wake if self.wake == Some(now) => self.wake = None,
            _ => {}
        }
    }

    /// Asks the router what to do, and does it.
    pub(super) fn poll(&mut self, core: &mut Core<Message>) {
        for action in self.router.poll(core.instant()) {
            match action {
                Action::Dispatch(dispatch) => {
                    let target = self.places[&dispatch.target];
                    let live = Live {
                        target,
                        incarnation: dispatch.offer.incarnation,
                        heard: core.now,
                        began: false,
                        tries: 0,
                    };
                    self.live.insert(dispatch.offer.attempt, live);
                    self.dispatched.push(target);
                    let message = Message::Offer(self.index, dispatch.offer);
                    let (from, to) = (Node::Entry(self.index), Node::Target(target));
                    core.send(from, to, Path::Data, message);
                }
                Action::Shed { id, refusal, .. } => {
                    core.conclude(id.0 as usize, Conclusion::Refused(refusal.reason));
                }
                Action::Abort { id, .. } => core.conclude(id.0 as usize, Conclusion::Failed),
            }
        }
        self.schedule(core);
    }

    fn schedule(&mut self, core: &mut Core<Message>) {
        let Some(next) = self.router.next_wake(core.instant()) else {
            return;
        };
        let at = core.virtual_time(next).max(core.now + 1);
        if self.wake.is_none_or(|wake| at < wake) {
            self.wake = Some(at);
            core.timer(at, Node::Entry(self.index), Message::Wake);
        }
    }

    fn settle(&mut self, core: &mut Core<Message>, attempt: AttemptId, outcome: Outcome) {
        if self.live.remove(&attempt).is_none() {
            return;
        }
        if let Outcome::Refused(..) = outcome {
            core.tally.refused(attempt);
        }
        let job = job_of(attempt);
        let conclusion = match &outcome {
            Outcome::Answered => Conclusion::Answered,
            Outcome::Unknown => Conclusion::Unknown,
            Outcome::Refused(refusal, _) => Conclusion::Refused(refusal.reason),
            Outcome::Failed | Outcome::Preempted { .. } => Conclusion::Failed,
        };
        if outcome == Outcome::Answered {
            let spec = &core.jobs[job];
            let organisation = self.organisations[spec.organisation];
            let output = Tokens(spec.output);
            self.router
                .record_output(organisation, self.routes[spec.route], output);
        }
        let disposition = self.router.apply_outcome(core.instant(), attempt, outcome);
        if disposition == Disposition::Ended {
            core.conclude(job, conclusion);
        }
    }

    fn revoked(&mut self, core: &mut Core<Message>, attempt: AttemptId, revoked: Revoked) {
        match revoked {
            Revoked::NotRun => {
                let refusal = Refusal::new(Reason::Revoked);
                self.settle(core, attempt, Outcome::Refused(refusal, None));
            }
            Revoked::Unknown => self.settle(core, attempt, Outcome::Unknown),
            Revoked::Running => {
                if let Some(live) = self.live.get_mut(&attempt) {
                    live.heard = core.now;
                    live.began = true;
                    live.tries = 0;
                }
            }
            // The tail follows.
            Revoked::Finished => {}
        }
    }

    /// Looks for attempts whose connection is silent, and for silent targets and zones.
    fn watch(&mut self, core: &mut Core<Message>) {
        core.timer(core.now + WATCH, Node::Entry(self.index), Message::Watch);
        let mut lost = Vec::new();
        for (attempt, live) in &mut self.live {
            let contact = &self.contacts[live.target];
            let timeout = if live.began {
                SILENCE
            } else {
                ADMISSION_TIMEOUT
            };
            let restarted = contact.incarnation.is_some_and(|i| i > live.incarnation);
            if core.now < live.heard + timeout && !restarted && live.tries == 0 {
                continue;
            }
            live.tries += 1;
            if live.tries > SETTLE_TRIES {
                lost.push(*attempt);
                continue;
            }
            core.network.reconnect(self.index, live.target);
            let message = Message::Revoke(self.index, *attempt, live.incarnation);
            let (from, to) = (Node::Entry(self.index), Node::Target(live.target));
            core.send(from, to, Path::Control, message);
        }
        for attempt in lost {
            self.settle(core, attempt, Outcome::Unknown);
        }
        for target in 0..self.targets.len() {
            if core.now > self.contacts[target].reported + SILENT_TARGET {
                self.hear(target, true);
            }
        }
        self.apply_zones(core);
    }

    fn hear(&mut self, target: usize, silent: bool) {
        let contact = &mut self.contacts[target];
        if contact.silent != silent {
            contact.silent = silent;
            let state = if silent {
                TargetState::Silent
            } else {
                TargetState::Live
            };
            self.router.set_target_state(self.targets[target], state);
        }
    }

    fn configure(
        &mut self,
        core: &mut Core<Message>,
        revision: Revision,
        zone: usize,
        drained: bool,
    ) {
        self.router.set_revision(revision);
        let name = zone_name(core, zone);
        if drained {
            self.zones.drain(core.instant(), &name, revision);
        } else {
            self.zones.restore(core.instant(), &name, revision);
        }
        self.apply_zones(core);
    }

    fn apply_zones(&mut self, core: &Core<Message>) {
        let now = core.instant();
        self.zones.tick(now);
        for (zone, key) in self.zone_keys.iter().enumerate() {
            let name = zone_name(core, zone);
            let share = |class| self.zones.share(&name, class, now).factor();
            let (urgent, batch) = (share(Class::Interactive), share(Class::Batch));
            self.router.set_zone_factor(*key, urgent, batch);
        }
    }

    /// Passes crashes that are new on to all sidecars.
    fn learn_crashes(&mut self, core: &mut Core<Message>, crashes: &CrashLog) {
        if !self.crashes.merge(crashes) {
            return;
        }
        for target in 0..self.targets.len() {
            let message = Message::Crashes(Box::new(self.crashes.clone()));
            let (from, to) = (Node::Entry(self.index), Node::Target(target));
            core.send(from, to, Path::Control, message);
        }
    }
}

fn outcome(tail: Tail) -> Outcome {
    match tail.end {
        End::Answered => Outcome::Answered,
        End::Cancelled if tail.preempted => Outcome::Preempted {
            received: tail.produced,
        },
        End::Cancelled | End::Failed | End::Crashed => Outcome::Failed,
    }
}
