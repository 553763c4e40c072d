use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use tokio::task::AbortHandle;

use ebonylug_admission::CrashLog;
use ebonylug_core::{Class, Clock, Gate, LoadReport, Name};
use ebonylug_membership::{MemberState, Membership, subset};
use ebonylug_moves::{Capacity, MoveSpec};
use ebonylug_net::client::Client;
use ebonylug_net::key::SharedKey;
use ebonylug_net::rpc::{Instructions, Report, Seen, crash_digest};
use ebonylug_net::tasks::Tasks;
use ebonylug_platform::InstanceRow;
use ebonylug_resource::{
    AvailabilityZoneSpec, Document, OrganisationSpec, RouteSpec, Target, TargetKind, TargetSpec,
    ZoneState,
};
use ebonylug_routing::{Router, TargetInfo, TargetKey, TargetState};
use ebonylug_zones::ZoneMap;

use crate::attempt::Peer;
use crate::dispatcher::Dispatcher;
use crate::view::Current;

/// The shortest time between two reports of one target.
const REPORT_PAUSE: Duration = Duration::from_millis(50);
/// Time in which targets report to an entry that has just started.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Pause before a sidecar that does not answer is asked again.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The targets that this entry knows, with what decides whether they get work.
pub struct Fleet {
    settings: Settings,
    clock: Arc<dyn Clock>,
    current: Arc<Current>,
    dispatcher: Arc<Dispatcher>,
    client: Client,
    tasks: Tasks,
    state: Mutex<State>,
}

/// What a fleet needs of the settings of its entry.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of the entry, which decides its subset of targets.
    pub entry: Name,
    /// The number of targets in the subset.
    pub subset: usize,
    /// The shared key.
    pub key: SharedKey,
}

struct State {
    membership: Membership,
    zones: ZoneMap,
    crashes: CrashLog,
    targets: HashMap<Name, Known>,
    rows: Vec<InstanceRow>,
    /// When the instance list was first read.
    listed: Option<Instant>,
}

/// A target of the subset.
struct Known {
    key: TargetKey,
    zone: Name,
    version: Name,
    routes: Vec<Name>,
    instance: Name,
    data: Box<str>,
    report: Option<LoadReport>,
    watcher: AbortHandle,
}

impl Drop for Known {
    fn drop(&mut self) {
        self.watcher.abort();
    }
}

/// The targets of one version in a move.
#[derive(Default)]
struct Side {
    count: f64,
    limit: f64,
    used: f64,
}

impl Side {
    fn add(&mut self, report: &LoadReport) {
        self.count += 1.0;
        self.limit += report.limit.as_f64();
        self.used += report.used.as_f64();
    }
}

/// The state of one target, for operators.
#[derive(Clone, Debug)]
pub struct Observed {
    /// Whether the target may get work, and why.
    pub member: Option<(MemberState, ebonylug_membership::MemberReason)>,
    /// Its last report.
    pub report: Option<LoadReport>,
}

impl Fleet {
    /// Creates a fleet without targets.
    pub fn new(
        settings: Settings,
        clock: Arc<dyn Clock>,
        current: Arc<Current>,
        dispatcher: Arc<Dispatcher>,
        tasks: Tasks,
    ) -> Arc<Self> {
        Arc::new(Fleet {
            settings,
            clock,
            current,
            dispatcher,
            client: Client::new(),
            tasks,
            state: Mutex::new(State {
                membership: Membership::new(ebonylug_membership::Settings::default()),
                zones: ZoneMap::new(ebonylug_zones::Settings::default()),
                crashes: CrashLog::new(),
                targets: HashMap::new(),
                rows: Vec::new(),
                listed: None,
            }),
        })
    }

    /// Takes over an answer of the platform's instance list.
    pub fn listed(self: &Arc<Self>, rows: Vec<InstanceRow>) {
        let mut state = self.lock();
        state.membership.apply_list(self.clock.now(), &rows);
        state.rows = rows;
        state.listed.get_or_insert(self.clock.now());
        drop(state);
        self.reconcile();
    }

    /// Puts targets, zones, shares and weights of the configuration in force into effect.
    pub fn reconcile(self: &Arc<Self>) {
        let view = self.current.view();
        let document = &view.document;
        let now = self.clock.now();
        let mut state = self.lock();
        self.apply_zones(&mut state, document, now);
        let wanted = self.wanted(&state, document);
        let names: BTreeSet<&Name> = wanted.iter().map(|(target, _)| target.name()).collect();
        let gone: Vec<Name> = state
            .targets
            .keys()
            .filter(|name| !names.contains(name))
            .cloned()
            .collect();
        for name in gone {
            self.remove(&mut state, &name);
        }
        for (target, row) in &wanted {
            self.add(&mut state, document, target, row, now);
        }
        drop(state);
        self.dispatcher
            .update(|router| apply_document(router, document));
    }

    /// Does what time alone makes necessary: silent targets, dark zones, slow returns.
    pub fn tick(&self) {
        let now = self.clock.now();
        let mut state = self.lock();
        let state = &mut *state;
        state.membership.tick(now);
        state.zones.tick(now);
        let document = &self.current.view().document;
        self.dispatcher.update(|router| {
            for zone in document.all::<AvailabilityZoneSpec>().keys() {
                let interactive = state.zones.share(zone, Class::Interactive, now).factor();
                let batch = state.zones.share(zone, Class::Batch, now).factor();
                let key = router.zone_key(zone);
                router.set_zone_factor(key, interactive, batch);
            }
            for known in state.targets.values() {
                let member = state.membership.explain(now, known.instance.as_str());
                let target = target_state(member.map(|(state, _)| state), known.report.as_ref());
                router.set_target_state(known.key, target);
            }
        });
    }

    /// Returns the sidecar of a target, in the subset or not.
    pub fn peer(&self, target: &Name) -> Option<Arc<Peer>> {
        let state = self.lock();
        let row = state
            .rows
            .iter()
            .find(|row| row.target.as_ref() == Some(target))?;
        let (data, control) = (row.data.parse().ok()?, row.control.parse().ok()?);
        let (client, clock) = (self.client.clone(), Arc::clone(&self.clock));
        Some(Arc::new(Peer::new(
            data,
            control,
            &self.settings.key,
            client,
            clock,
        )))
    }

    /// Reports whether a target of the subset has reported.
    pub fn is_heard(&self) -> bool {
        let state = self.lock();
        !state.targets.is_empty() && state.targets.values().any(|known| known.report.is_some())
    }

    /// Reports whether every target has reported, or has had the time to. Before that, a move must
    /// not be refused for lack of capacity.
    pub fn is_settled(&self) -> bool {
        let state = self.lock();
        let Some(listed) = state.listed else {
            return false;
        };
        let heard = state.targets.values().all(|known| known.report.is_some());
        (heard && !state.targets.is_empty()) || self.clock.now() - listed > SETTLE_TIME
    }

    /// Returns what is known about a target.
    pub fn observed(&self, target: &Name) -> Option<Observed> {
        let state = self.lock();
        let known = state.targets.get(target)?;
        Some(Observed {
            member: state
                .membership
                .explain(self.clock.now(), known.instance.as_str()),
            report: known.report.clone(),
        })
    }

    /// Returns the state of a zone.
    pub fn zone(&self, zone: &Name) -> Option<ebonylug_zones::ZoneState> {
        self.lock().zones.state(zone)
    }

    /// Returns what the targets of a move's new version bear, relative to the present load of both
    /// versions. Cold targets count with their present limit, so the share rises as they get warm.
    pub fn capacity(&self, spec: &MoveSpec) -> Capacity {
        let state = self.lock();
        let targets = state.targets.values();
        let (mut old, mut new) = (Side::default(), Side::default());
        for known in targets {
            let Some(report) = known.report.as_ref().filter(|report| report.up) else {
                continue;
            };
            if known.version == spec.to {
                new.add(report);
            } else if known.version == spec.from {
                old.add(report);
            }
        }
        let load = f64::max(old.used + new.used, 1.0);
        let warm = (new.limit / load).min(1.0);
        // Once they are warm, the new targets are expected to bear what the old ones bear.
        let expected = new.count * old.limit / f64::max(old.count, 1.0);
        Capacity {
            warm,
            planned: f64::max(warm, expected / load),
        }
    }

    /// Returns the instances of the last list.
    pub fn rows(&self) -> Vec<InstanceRow> {
        self.lock().rows.clone()
    }

    /// Returns the crashes that this entry knows of.
    pub fn crashes(&self) -> CrashLog {
        self.lock().crashes.clone()
    }

    /// Changes the crash log, for example to merge a peer's or to release a fingerprint.
    pub fn update_crashes<T>(&self, change: impl FnOnce(&mut CrashLog) -> T) -> T {
        change(&mut self.lock().crashes)
    }

    fn apply_zones(&self, state: &mut State, document: &Document, now: Instant) {
        let revision = document.revision();
        for zone in document.all::<AvailabilityZoneSpec>().values() {
            match zone.spec.state {
                ZoneState::Open => state.zones.restore(now, zone.name(), revision),
                ZoneState::Drained => state.zones.drain(now, zone.name(), revision),
            };
        }
    }

    /// Returns the targets of this entry's subset with their instances.
    fn wanted(&self, state: &State, document: &Document) -> Vec<(Arc<Target>, InstanceRow)> {
        let rows: HashMap<&Name, &InstanceRow> = state
            .rows
            .iter()
            .filter_map(|row| Some((row.target.as_ref()?, row)))
            .collect();
        let present: Vec<(Arc<Target>, InstanceRow)> = document
            .all::<TargetSpec>()
            .values()
            .filter_map(|target| Some((Arc::clone(target), (*rows.get(target.name())?).clone())))
            .collect();
        let infos: Vec<ebonylug_membership::TargetInfo> = present
            .iter()
            .map(|(target, _)| {
                ebonylug_membership::TargetInfo::new(
                    target.name().clone(),
                    target.spec.zone.clone(),
                )
            })
            .collect();
        let chosen = subset(&self.settings.entry, &infos, self.settings.subset);
        chosen
            .into_iter()
            .map(|index| present[index].clone())
            .collect()
    }

    fn add(
        self: &Arc<Self>,
        state: &mut State,
        document: &Document,
        target: &Target,
        row: &InstanceRow,
        now: Instant,
    ) {
        let routes = routes_of(document, target);
        if let Some(known) = state.targets.get(target.name()) {
            let same = known.version == target.spec.version
                && known.routes == routes
                && known.data == row.data;
            if same {
                return;
            }
            self.remove(state, target.name());
        }
        let (Ok(data), Ok(control)) = (
            row.data.parse::<SocketAddr>(),
            row.control.parse::<SocketAddr>(),
        ) else {
            tracing::warn!(instance = %row.instance, "fleet: address in the instance list is not valid");
            return;
        };
        let peer = Arc::new(Peer::new(
            data,
            control,
            &self.settings.key,
            self.client.clone(),
            Arc::clone(&self.clock),
        ));
        let key = self.dispatcher.update(|router| {
            let info = TargetInfo {
                name: target.name().clone(),
                zone: router.zone_key(&target.spec.zone),
                version: router.version_key(&target.spec.version),
                routes: routes.iter().map(|route| router.route_key(route)).collect(),
                kind: match target.spec.kind {
                    TargetKind::Model => ebonylug_routing::TargetKind::Model,
                    TargetKind::Service => ebonylug_routing::TargetKind::Service,
                },
            };
            router.add_target(info)
        });
        self.dispatcher.add_peer(key, Arc::clone(&peer));
        state
            .zones
            .record_report(now, target.name(), &target.spec.zone);
        let watch = Arc::clone(self).watch(target.name().clone(), key, peer);
        let known = Known {
            key,
            zone: target.spec.zone.clone(),
            version: target.spec.version.clone(),
            routes,
            instance: row.instance.clone(),
            data: row.data.clone(),
            report: None,
            watcher: self.tasks.spawn(watch),
        };
        state.targets.insert(target.name().clone(), known);
    }

    fn remove(&self, state: &mut State, target: &Name) {
        let Some(known) = state.targets.remove(target) else {
            return;
        };
        state.zones.remove_target(target);
        self.dispatcher
            .update(|router| router.remove_target(known.key));
        self.dispatcher.remove_peer(known.key);
    }

    /// Follows the reports of one target's sidecar and keeps it instructed.
    async fn watch(self: Arc<Self>, target: Name, key: TargetKey, peer: Arc<Peer>) {
        let mut seen = Seen::default();
        loop {
            match peer.link.report(seen).await {
                Ok(report) => {
                    seen = Seen::of(&report);
                    self.dispatcher.report(key, &report.load);
                    self.heard(&target, &report.load);
                    self.instruct(&target, &peer, &report).await;
                    tokio::time::sleep(REPORT_PAUSE).await;
                }
                Err(error) => {
                    tracing::debug!(%target, %error, "fleet: sidecar does not answer");
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    fn heard(&self, target: &Name, report: &LoadReport) {
        let now = self.clock.now();
        let mut state = self.lock();
        let state = &mut *state;
        let Some(known) = state.targets.get_mut(target) else {
            return;
        };
        known.report = Some(report.clone());
        state.zones.record_report(now, target, &known.zone);
        if report.gate == Gate::Leaving {
            state
                .membership
                .record_leave(now, &known.instance, report.incarnation);
        } else {
            state
                .membership
                .record_heartbeat(now, &known.instance, report.incarnation, None);
        }
    }

    /// Brings a sidecar that has an older configuration or lacks known crashes up to date.
    async fn instruct(&self, target: &Name, peer: &Peer, report: &Report) {
        let view = self.current.view();
        let revision = view.document.revision();
        if report.crashes > 0 && report.crashes != crash_digest(&self.crashes()) {
            match peer.link.crashes().await {
                Ok(crashes) => {
                    self.update_crashes(|log| log.merge(&crashes));
                }
                Err(error) => tracing::debug!(%target, %error, "fleet: crashes were not answered"),
            }
        }
        let crashes = self.crashes();
        if report.load.revision >= revision && report.crashes == crash_digest(&crashes) {
            return;
        }
        let Some(resource) = view.document.get::<TargetSpec>(target.as_str()) else {
            return;
        };
        let zone = view
            .document
            .get::<AvailabilityZoneSpec>(resource.spec.zone.as_str());
        let drained = zone.is_some_and(|zone| zone.spec.state == ZoneState::Drained);
        let instructions = Instructions {
            revision,
            gate: if drained {
                Gate::ZoneClosed
            } else {
                Gate::Open
            },
            crashes,
        };
        if let Err(error) = peer.link.instruct(instructions).await {
            tracing::debug!(%target, %error, "fleet: instructions were not answered");
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("fleet lock poisoned")
    }
}

fn routes_of(document: &Document, target: &Target) -> Vec<Name> {
    let routes = document.all::<RouteSpec>().values();
    let serving = routes.filter(|route| route.spec.versions.contains(&target.spec.version));
    serving.map(|route| route.name().clone()).collect()
}

fn target_state(member: Option<MemberState>, report: Option<&LoadReport>) -> TargetState {
    match member {
        Some(MemberState::Leaving | MemberState::Gone) => return TargetState::Leaving,
        Some(MemberState::Unreachable | MemberState::Suspect) => return TargetState::Silent,
        Some(MemberState::Joining | MemberState::Live) | None => {}
    }
    match report {
        None => TargetState::Silent,
        Some(report) if report.gate == Gate::ZoneClosed => TargetState::ZoneClosed,
        Some(report) if report.gate == Gate::Leaving => TargetState::Leaving,
        Some(report) if !report.up => TargetState::Down,
        Some(_) => TargetState::Live,
    }
}

fn apply_document(router: &mut Router, document: &Document) {
    router.set_revision(document.revision());
    for organisation in document.all::<OrganisationSpec>().values() {
        let key = router.organisation_key(organisation.name());
        router.set_weight(key, organisation.spec.weight);
    }
    for route in document.all::<RouteSpec>().values() {
        if document.active_move(route.name().as_str()).is_some() {
            // The driver of the move sets the shares.
            continue;
        }
        let key = router.route_key(route.name());
        let base = router.version_key(&route.spec.base);
        router.set_shares(key, &[(base, 1.0)]);
    }
}
