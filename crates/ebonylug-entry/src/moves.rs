use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, SystemTime};

use ebonylug_core::{Clock, Fence, Incarnation, Name};
use ebonylug_moves::{
    Actions, Bucket, Capacity, Evidence, LatencyBaselines, MoveSpec, MoveState, MoveStatus, Sample,
    Share, StoreState,
};
use ebonylug_resource::{Document, Move, RouteSpec};
use ebonylug_routing::Router;

/// Maximum age of the evidence that an entry sends to its peers. Each entry sends only its own: the
/// counts of all processes over 60 s take 480 KB at 410 entries. Within this time and with a fanout
/// of 2, an entry exchanges evidence with a fifth of 410 entries. The result of the comparison is
/// sent separately, as the status of the move.
const EVIDENCE_WINDOW: Duration = Duration::from_secs(10);

/// The result of one attempt, as evidence about the version of its target.
#[derive(Clone, Copy, Debug)]
pub struct Observation {
    /// Whether a complete response arrived, without a server error.
    pub success: bool,
    /// Time to the first chunk of the body.
    pub ttft: Option<Duration>,
    /// Mean time between the chunks of the body.
    pub token_interval: Option<Duration>,
    /// Whether the target was in cold start.
    pub cold: bool,
}

/// The moves that this entry executes, with the evidence about their versions.
pub struct Moves {
    clock: Arc<dyn Clock>,
    incarnation: Incarnation,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    evidence: Evidence,
    latencies: LatencyBaselines,
    moves: BTreeMap<Name, MoveState>,
}

impl Moves {
    /// Creates an empty set of moves.
    pub fn new(clock: Arc<dyn Clock>, incarnation: Incarnation) -> Self {
        Moves {
            clock,
            incarnation,
            state: Mutex::default(),
        }
    }

    /// Adopts the active moves of a configuration, and aborts and removes all others.
    pub fn reconcile(&self, document: &Document) {
        let now = self.clock.wall();
        let mut state = self.lock();
        let active = document.all::<ebonylug_resource::MoveSpec>().values();
        let active: BTreeMap<Name, &Arc<Move>> = active
            .filter(|resource| resource.spec.state == ebonylug_resource::MoveState::Active)
            .map(|resource| (resource.name().clone(), resource))
            .collect();
        for (name, active_move) in &mut state.moves {
            if !active.contains_key(name) {
                active_move.abort(now, "the move was withdrawn by an operator");
            }
        }
        state.moves.retain(|name, _| active.contains_key(name));
        for (name, resource) in active {
            let spec = to_move_spec(resource);
            let known = state
                .moves
                .get(&name)
                .is_some_and(|known| *known.spec() == spec);
            if !known {
                state.moves.insert(name, MoveState::new(spec));
            }
        }
    }

    /// Records the result of an attempt of a route at a version. `base` states whether the version
    /// is the base of the route.
    pub fn record(&self, route: &Name, version: &Name, base: bool, observation: Observation) {
        let now = self.clock.wall();
        let mut state = self.lock();
        let sample = match (observation.success, observation.ttft) {
            (false, _) => Sample::failure(),
            (true, None) => Sample::success(),
            (true, Some(ttft)) => {
                if base && !observation.cold {
                    state
                        .latencies
                        .record(route, ttft, observation.token_interval);
                }
                Sample::success().with_latency(
                    ttft,
                    observation.token_interval,
                    state.latencies.get(route),
                )
            }
        };
        // Without a move, versions are not compared, and evidence would only use memory.
        if state.moves.is_empty() {
            return;
        }
        let sample = sample.cold(observation.cold);
        state.evidence.record(
            now,
            self.incarnation,
            version.clone(),
            route.clone(),
            sample,
        );
    }

    /// Merges the evidence and the move statuses of a peer.
    pub fn merge_peer(&self, evidence: &Evidence, statuses: &[MoveStatus]) {
        let now = self.clock.wall();
        let mut state = self.lock();
        state.evidence.merge(evidence);
        for status in statuses {
            if let Some(known) = state.moves.get_mut(&status.name) {
                known.apply_status(now, status);
            }
        }
    }

    /// Returns this entry's recent evidence, to be sent to peers.
    pub fn recent_evidence(&self) -> Evidence {
        let since = self
            .clock
            .wall()
            .checked_sub(EVIDENCE_WINDOW)
            .unwrap_or(SystemTime::UNIX_EPOCH);
        self.lock()
            .evidence
            .since(Bucket::of(since), Some(self.incarnation))
    }

    /// Reports whether there are no moves.
    pub fn is_empty(&self) -> bool {
        self.lock().moves.is_empty()
    }

    /// Returns the status of one move.
    pub fn status(&self, name: &Name) -> Option<MoveStatus> {
        self.lock().moves.get(name).map(MoveState::status)
    }

    /// Returns the statuses of all moves.
    pub fn statuses(&self) -> Vec<MoveStatus> {
        self.lock().moves.values().map(MoveState::status).collect()
    }

    /// Advances all moves and returns the actions to execute for each.
    pub fn tick(
        &self,
        capacity: impl Fn(&MoveSpec) -> Capacity,
        store: StoreState,
        lease: Option<Fence>,
    ) -> Vec<(MoveSpec, Actions)> {
        let now = self.clock.wall();
        // The capacity depends on the fleet, which locks the router, and the router is locked while
        // the shares of moves are applied. It is therefore derived before the moves are locked.
        let specs: Vec<MoveSpec> = self
            .lock()
            .moves
            .values()
            .map(|m| m.spec().clone())
            .collect();
        let capacities: BTreeMap<&Name, Capacity> = specs
            .iter()
            .map(|spec| (&spec.name, capacity(spec)))
            .collect();
        let mut state = self.lock();
        let State {
            evidence, moves, ..
        } = &mut *state;
        let advance = |active_move: &mut MoveState| {
            if let Some(capacity) = capacities.get(&active_move.spec().name) {
                active_move.set_capacity(*capacity);
            }
            let actions = active_move.tick(now, evidence, store, lease);
            (active_move.spec().clone(), actions)
        };
        moves.values_mut().map(advance).collect()
    }

    /// Confirms that a status was written to the store.
    pub fn confirm_write(&self, status: &MoveStatus) {
        if let Some(known) = self.lock().moves.get_mut(&status.name) {
            known.confirm_write(status);
        }
    }

    /// Sets the current traffic shares of all moves on the router.
    pub fn apply_shares(&self, router: &mut Router) {
        for active_move in self.lock().moves.values() {
            set_shares(router, active_move.spec(), active_move.share());
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("moves lock poisoned")
    }
}

/// Assigns `share` of the traffic on the routes of a move to its new version, and the rest to the
/// old one.
pub fn set_shares(router: &mut Router, spec: &MoveSpec, share: Share) {
    let from = router.version_key(&spec.from);
    let to = router.version_key(&spec.to);
    for route in &spec.routes {
        let route = router.route_key(route);
        router.set_shares(
            route,
            &[(from, 1.0 - share.fraction()), (to, share.fraction())],
        );
    }
}

/// Reports whether a version is the base version of a route.
pub fn is_base(document: &Document, route: &Name, version: &Name) -> bool {
    let route = document.get::<RouteSpec>(route.as_str());
    route.is_some_and(|route| route.spec.base == *version)
}

fn to_move_spec(resource: &Move) -> MoveSpec {
    let spec = &resource.spec;
    let mut move_spec = MoveSpec::new(
        resource.name().as_str(),
        spec.route.as_str(),
        spec.from.as_str(),
        spec.to.as_str(),
    )
    .window(spec.start.time(), spec.deadline.time());
    move_spec.revision = resource.metadata.revision;
    move_spec
}
