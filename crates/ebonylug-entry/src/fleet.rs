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
use ebonylug_net::rpc::{Instructions, ReportSummary, SidecarReport, crash_digest};
use ebonylug_net::tasks::Tasks;
use ebonylug_platform::InstanceRow;
use ebonylug_resource::{
    AvailabilityZoneSpec, Document, OrganisationSpec, RouteSpec, Target, TargetKind, TargetSpec,
    ZoneState,
};
use ebonylug_routing::{Router, TargetInfo, TargetKey, TargetState};
use ebonylug_zones::ZoneMap;

use crate::attempt::SidecarClient;
use crate::dispatcher::Dispatcher;
use crate::view::CurrentConfig;

/// Delay between two report requests to one sidecar.
const REPORT_DELAY: Duration = Duration::from_millis(50);
/// Time for targets to report after the instance list is first read.
const STARTUP_GRACE: Duration = Duration::from_secs(5);
/// Delay before a retry at a sidecar that did not respond.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// The targets in this entry's subset, with the membership and zone state that decides which of
/// them receive requests.
pub struct Fleet {
    settings: Settings,
    clock: Arc<dyn Clock>,
    current: Arc<CurrentConfig>,
    dispatcher: Arc<Dispatcher>,
    client: Client,
    tasks: Tasks,
    state: Mutex<State>,
}

/// The settings of the entry that a fleet uses.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of the entry, from which its subset of targets is derived.
    pub entry: Name,
    /// The maximum number of targets in the subset.
    pub subset: usize,
    /// The key for calls to sidecars.
    pub key: SharedKey,
}

struct State {
    membership: Membership,
    zones: ZoneMap,
    crashes: CrashLog,
    targets: HashMap<Name, TargetRecord>,
    rows: Vec<InstanceRow>,
    /// The time at which the instance list was first read.
    listed_at: Option<Instant>,
}

/// A target in the subset, with its last report.
struct TargetRecord {
    key: TargetKey,
    zone: Name,
    version: Name,
    routes: Vec<Name>,
    instance: Name,
    data_address: Box<str>,
    report: Option<LoadReport>,
    report_task: AbortHandle,
}

impl TargetRecord {
    fn state(&self, membership: &Membership, now: Instant) -> TargetState {
        let member = membership.explain(now, self.instance.as_str());
        target_state(member.map(|(state, _)| state), self.report.as_ref())
    }
}

impl Drop for TargetRecord {
    fn drop(&mut self) {
        self.report_task.abort();
    }
}

/// The aggregated load of all targets of one version in a move.
#[derive(Default)]
struct VersionLoad {
    count: f64,
    limit: f64,
    used: f64,
}

impl VersionLoad {
    fn add(&mut self, report: &LoadReport) {
        self.count += 1.0;
        self.limit += report.limit.as_f64();
        self.used += report.used.as_f64();
    }
}

/// The observed state of one target, as shown to operators.
#[derive(Clone, Debug)]
pub struct TargetStatus {
    /// The membership state of the target's instance, and its reason.
    pub member: Option<(MemberState, ebonylug_membership::MemberReason)>,
    /// The last report, if any.
    pub report: Option<LoadReport>,
}

impl Fleet {
    /// Creates a fleet without targets.
    pub fn new(
        settings: Settings,
        clock: Arc<dyn Clock>,
        current: Arc<CurrentConfig>,
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
                listed_at: None,
            }),
        })
    }

    /// Applies an instance list read from the platform.
    pub fn apply_list(self: &Arc<Self>, rows: Vec<InstanceRow>) {
        let mut state = self.lock();
        state.membership.apply_list(self.clock.now(), &rows);
        state.rows = rows;
        state.listed_at.get_or_insert(self.clock.now());
        drop(state);
        self.reconcile();
    }

    /// Applies the targets, zones, shares and weights of the active configuration.
    pub fn reconcile(self: &Arc<Self>) {
        let view = self.current.view();
        let document = &view.document;
        let now = self.clock.now();
        let mut state = self.lock();
        self.apply_zones(&mut state, document, now);
        let selected = self.select_targets(&state, document);
        let names: BTreeSet<&Name> = selected.iter().map(|(target, _)| target.name()).collect();
        let removed: Vec<Name> = state
            .targets
            .keys()
            .filter(|name| !names.contains(name))
            .cloned()
            .collect();
        for name in removed {
            self.remove_target(&mut state, &name);
        }
        for (target, row) in &selected {
            self.add_target(&mut state, document, target, row, now);
        }
        self.dispatcher.update_router(|router| {
            apply_document(router, document);
            apply_states(router, &state, document, now);
        });
    }

    /// Applies time-based changes: heartbeat timeouts, zone outages and gradual recoveries.
    pub fn tick(&self) {
        let now = self.clock.now();
        let mut state = self.lock();
        let state = &mut *state;
        state.membership.tick(now);
        state.zones.tick(now);
        let document = &self.current.view().document;
        self.dispatcher
            .update_router(|router| apply_states(router, state, document, now));
    }

    /// Returns a client for a target's sidecar, even if the target is outside the subset.
    pub fn sidecar(&self, target: &Name) -> Option<Arc<SidecarClient>> {
        let state = self.lock();
        let row = state
            .rows
            .iter()
            .find(|row| row.target.as_ref() == Some(target))?;
        let (data, control) = (row.data.parse().ok()?, row.control.parse().ok()?);
        let (client, clock) = (self.client.clone(), Arc::clone(&self.clock));
        Some(Arc::new(SidecarClient::new(
            data,
            control,
            &self.settings.key,
            client,
            clock,
        )))
    }

    /// Reports whether at least one target of the subset has sent a report.
    pub fn has_report(&self) -> bool {
        let state = self.lock();
        !state.targets.is_empty() && state.targets.values().any(|record| record.report.is_some())
    }

    /// Reports whether every target has sent a report or the startup grace period is over. Until
    /// then, a move must not be refused for lack of capacity.
    pub fn is_startup_complete(&self) -> bool {
        let state = self.lock();
        let Some(listed_at) = state.listed_at else {
            return false;
        };
        let complete = state.targets.values().all(|record| record.report.is_some());
        (complete && !state.targets.is_empty()) || self.clock.now() - listed_at > STARTUP_GRACE
    }

    /// Returns the observed state of a target in the subset.
    pub fn target_status(&self, target: &Name) -> Option<TargetStatus> {
        let state = self.lock();
        let record = state.targets.get(target)?;
        Some(TargetStatus {
            member: state
                .membership
                .explain(self.clock.now(), record.instance.as_str()),
            report: record.report.clone(),
        })
    }

    /// Returns the state of a zone, if any of its targets is known.
    pub fn zone(&self, zone: &Name) -> Option<ebonylug_zones::ZoneState> {
        self.lock().zones.state(zone)
    }

    /// Returns the capacity of the targets of a move's new version, relative to the current load of
    /// both versions. Cold targets count with their current limit, so the share rises as they warm
    /// up.
    pub fn capacity(&self, spec: &MoveSpec) -> Capacity {
        let state = self.lock();
        let targets = state.targets.values();
        let (mut old, mut new) = (VersionLoad::default(), VersionLoad::default());
        for record in targets {
            let Some(report) = record.report.as_ref().filter(|report| report.up) else {
                continue;
            };
            if record.version == spec.to {
                new.add(report);
            } else if record.version == spec.from {
                old.add(report);
            }
        }
        let load = f64::max(old.used + new.used, 1.0);
        let warm = (new.limit / load).min(1.0);
        // Once warm, each new target is expected to have the average limit of the old ones.
        let expected = new.count * old.limit / f64::max(old.count, 1.0);
        Capacity {
            warm,
            planned: f64::max(warm, expected / load),
        }
    }

    /// Returns the rows of the last instance list.
    pub fn rows(&self) -> Vec<InstanceRow> {
        self.lock().rows.clone()
    }

    /// Returns a copy of the crash log.
    pub fn crashes(&self) -> CrashLog {
        self.lock().crashes.clone()
    }

    /// Runs `change` on the crash log, for example to merge a peer's log or release a fingerprint.
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

    /// Selects the targets of this entry's subset from those that have an instance.
    fn select_targets(
        &self,
        state: &State,
        document: &Document,
    ) -> Vec<(Arc<Target>, InstanceRow)> {
        let rows: HashMap<&Name, &InstanceRow> = state
            .rows
            .iter()
            .filter_map(|row| Some((row.target.as_ref()?, row)))
            .collect();
        let available: Vec<(Arc<Target>, InstanceRow)> = document
            .all::<TargetSpec>()
            .values()
            .filter_map(|target| Some((Arc::clone(target), (*rows.get(target.name())?).clone())))
            .collect();
        let infos: Vec<ebonylug_membership::TargetInfo> = available
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
            .map(|index| available[index].clone())
            .collect()
    }

    fn add_target(
        self: &Arc<Self>,
        state: &mut State,
        document: &Document,
        target: &Target,
        row: &InstanceRow,
        now: Instant,
    ) {
        let routes = routes_of(document, target);
        if let Some(record) = state.targets.get(target.name()) {
            let same = record.version == target.spec.version
                && record.routes == routes
                && record.data_address == row.data;
            if same {
                return;
            }
            self.remove_target(state, target.name());
        }
        let (Ok(data), Ok(control)) = (
            row.data.parse::<SocketAddr>(),
            row.control.parse::<SocketAddr>(),
        ) else {
            tracing::warn!(instance = %row.instance, "fleet: invalid address in the instance list");
            return;
        };
        let sidecar = Arc::new(SidecarClient::new(
            data,
            control,
            &self.settings.key,
            self.client.clone(),
            Arc::clone(&self.clock),
        ));
        let key = self.dispatcher.update_router(|router| {
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
            let key = router.add_target(info);
            // The first report may arrive before the state is derived.
            router.set_target_state(key, TargetState::Unreachable);
            key
        });
        self.dispatcher.add_sidecar(key, Arc::clone(&sidecar));
        state
            .zones
            .record_report(now, target.name(), &target.spec.zone);
        let watch = Arc::clone(self).receive_reports(target.name().clone(), key, sidecar);
        let record = TargetRecord {
            key,
            zone: target.spec.zone.clone(),
            version: target.spec.version.clone(),
            routes,
            instance: row.instance.clone(),
            data_address: row.data.clone(),
            report: None,
            report_task: self.tasks.spawn(watch),
        };
        state.targets.insert(target.name().clone(), record);
    }

    fn remove_target(&self, state: &mut State, target: &Name) {
        let Some(record) = state.targets.remove(target) else {
            return;
        };
        state.zones.remove_target(target);
        self.dispatcher
            .update_router(|router| router.remove_target(record.key));
        self.dispatcher.remove_sidecar(record.key);
    }

    /// Receives the reports of one target's sidecar and sends it instructions when it is outdated.
    async fn receive_reports(
        self: Arc<Self>,
        target: Name,
        key: TargetKey,
        sidecar: Arc<SidecarClient>,
    ) {
        let mut summary = ReportSummary::default();
        loop {
            match sidecar.link.report(summary).await {
                Ok(report) => {
                    summary = ReportSummary::of(&report);
                    self.dispatcher.apply_report(key, &report.load);
                    self.record_report(&target, key, &report.load);
                    self.send_instructions(&target, &sidecar, &report).await;
                    tokio::time::sleep(REPORT_DELAY).await;
                }
                Err(error) => {
                    tracing::debug!(%target, %error, "fleet: sidecar did not respond to a report request");
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    fn record_report(&self, target: &Name, key: TargetKey, report: &LoadReport) {
        let now = self.clock.now();
        let mut state = self.lock();
        let state = &mut *state;
        let record = state.targets.get_mut(target);
        // The target may have been removed and added again since the report arrived.
        let Some(record) = record.filter(|record| record.key == key) else {
            return;
        };
        record.report = Some(report.clone());
        state.zones.record_report(now, target, &record.zone);
        if report.gate == Gate::Leaving {
            state
                .membership
                .record_leave(now, &record.instance, report.incarnation);
        } else {
            state
                .membership
                .record_heartbeat(now, &record.instance, report.incarnation, None);
        }
        let observed = record.state(&state.membership, now);
        self.dispatcher
            .update_router(|router| router.set_target_state(key, observed));
    }

    /// Sends the revision, gate and crash log to a sidecar whose configuration or crash log is
    /// outdated.
    async fn send_instructions(
        &self,
        target: &Name,
        sidecar: &SidecarClient,
        report: &SidecarReport,
    ) {
        let view = self.current.view();
        let revision = view.document.revision();
        if report.crash_digest > 0 && report.crash_digest != crash_digest(&self.crashes()) {
            match sidecar.link.crashes().await {
                Ok(crashes) => {
                    self.update_crashes(|log| log.merge(&crashes));
                }
                Err(error) => {
                    tracing::debug!(%target, %error, "fleet: sidecar did not send its crash log");
                }
            }
        }
        let crashes = self.crashes();
        if report.load.revision >= revision && report.crash_digest == crash_digest(&crashes) {
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
        if let Err(error) = sidecar.link.instruct(instructions).await {
            tracing::debug!(%target, %error, "fleet: sidecar did not confirm its instructions");
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
        Some(MemberState::Unreachable | MemberState::Suspect) => return TargetState::Unreachable,
        Some(MemberState::Joining | MemberState::Live) | None => {}
    }
    match report {
        None => TargetState::Unreachable,
        Some(report) if report.gate == Gate::ZoneClosed => TargetState::ZoneClosed,
        Some(report) if report.gate == Gate::Leaving => TargetState::Leaving,
        Some(report) if !report.up => TargetState::Down,
        Some(_) => TargetState::Live,
    }
}

/// Sets the shares of the zones and the states of the targets.
fn apply_states(router: &mut Router, state: &State, document: &Document, now: Instant) {
    for zone in document.all::<AvailabilityZoneSpec>().keys() {
        let interactive = state.zones.share(zone, Class::Interactive, now).factor();
        let batch = state.zones.share(zone, Class::Batch, now).factor();
        let key = router.zone_key(zone);
        router.set_zone_factor(key, interactive, batch);
    }
    for record in state.targets.values() {
        router.set_target_state(record.key, record.state(&state.membership, now));
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
            // The shares of this route are set by the driver of the move.
            continue;
        }
        let key = router.route_key(route.name());
        let base = router.version_key(&route.spec.base);
        router.set_shares(key, &[(base, 1.0)]);
    }
}
