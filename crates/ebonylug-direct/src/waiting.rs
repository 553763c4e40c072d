//! Requests that wait for a slot at a target.

use std::rc::Rc;
use std::time::Duration;

use ebonylug_dispatch::{
    Caller, Decision, Placement, PlacementRequest, Reason, Refusal, RouteKind, WaitKey, stable_hash,
};
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::entry::Entry;
use crate::request::{BufferedRequest, DEFAULT_DEADLINE};
use crate::slot::{SlotGuard, WaitGuard, Waiter};

/// Part of the latency objective that a request may wait. The rest is left for the target.
const WAIT_SHARE: f64 = 0.7;
/// Callers leave a stream that has not begun after the longest of this time and the two multiples below.
const MIN_PATIENCE: Duration = Duration::from_secs(2);
const PATIENCE_OBJECTIVES: u32 = 4;
const PATIENCE_GAPS: u32 = 8;
/// Part of the latency objective that is left for the target before the caller leaves, and the time in
/// addition that a message between caller and entry may take.
const LEAVE_MARGIN_SHARE: f64 = 0.5;
const LEAVE_MARGIN: Duration = Duration::from_millis(100);
/// Time by which a stated deadline must be below the route's timeout for the caller to count as one that was
/// refused before. The shortest return takes longer, and a message on its way less.
const MIN_RETURN_AGE: Duration = Duration::from_millis(100);

impl Entry {
    /// Returns what admission by forecast needs to know about the caller of a request.
    pub(crate) fn caller(&self, request: &BufferedRequest, model: bool) -> Caller {
        let route = &request.route;
        let time_left = request.deadline.saturating_duration_since(Instant::now());
        let waited = request.arrived.elapsed();
        // The latency objective counts from the caller's first attempt, which the deadline shows.
        let timeout = route.timeout.min(DEFAULT_DEADLINE);
        let age = timeout.saturating_sub(time_left).max(waited);
        let objective = route.latency_objective;
        let leaves = match route.kind {
            RouteKind::Stream { max_gap, .. } => MIN_PATIENCE
                .max(objective * PATIENCE_OBJECTIVES)
                .max(max_gap * PATIENCE_GAPS)
                .saturating_sub(waited)
                .min(time_left),
            RouteKind::Safe | RouteKind::Once => time_left,
        };
        let margin = objective.mul_f64(LEAVE_MARGIN_SHARE) + LEAVE_MARGIN;
        let organisation = request.organisation.as_ref();
        let config = self.config();
        let weight = organisation.zip(config).map(|(o, config)| config.weight(o));
        Caller {
            organisation: organisation.map_or(0, |o| stable_hash(o.name.as_str())),
            weight: weight.unwrap_or(1.0),
            // Calls of plain services cost the same.
            cost: if model {
                request.cost(&self.dialect)
            } else {
                1.0
            },
            in_time: objective.mul_f64(WAIT_SHARE).saturating_sub(age),
            patience: leaves.saturating_sub(margin),
            time_left,
            returning: age.saturating_sub(waited) >= MIN_RETURN_AGE,
        }
    }

    /// Waits for a slot at a target. `place` is that of a request whose slot was revoked.
    pub(crate) async fn acquire_slot(
        self: &Rc<Self>,
        request: PlacementRequest,
        place: Option<WaitKey>,
    ) -> Result<SlotGuard, Refusal> {
        self.record_work();
        let now = self.clock.now();
        let (request, placement, new_place) = {
            let mut state = self.state.borrow_mut();
            state.refresh_peer_loads(now);
            let request = state.with_versions(request);
            let scheduler = &mut state.scheduler;
            let new_place = scheduler.new_place(request.rank);
            let placement = match place {
                Some(place) => scheduler.requeue(now, request.clone(), place),
                None => scheduler.place(now, request.clone()),
            };
            (request, placement, new_place)
        };
        let key = match placement {
            Placement::Send(target) => {
                return Ok(SlotGuard::new(self, target, request, new_place));
            }
            Placement::Refuse(refusal) => return Err(refusal),
            Placement::Wait(key) => key,
        };
        let (sender, receiver) = oneshot::channel();
        let waiter = Waiter { sender, request };
        self.state.borrow_mut().waiters.insert(key, waiter);
        let _guard = WaitGuard {
            entry: Rc::clone(self),
            key,
        };
        if place.is_some() {
            self.dispatch_waiting();
        }
        let refusal = Refusal {
            reason: Reason::Full,
            retry_after: Duration::from_millis(500),
            forecast: None,
        };
        receiver.await.unwrap_or(Err(refusal))
    }

    pub(crate) fn waiting(&self) -> usize {
        self.state.borrow().scheduler.waiting()
    }

    /// Applies the scheduler's decisions about waiting requests.
    pub fn dispatch_waiting(self: &Rc<Self>) {
        self.record_work();
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        if state.scheduler.waiting() == 0 {
            return;
        }
        state.refresh_peer_loads(now);
        state.revise_waiting();
        let mut ready = Vec::new();
        for (key, decision) in state.scheduler.poll(now) {
            ready.push((key, state.waiters.remove(&key), decision));
        }
        drop(state);
        for (key, waiter, decision) in ready {
            let Some(Waiter { sender, request }) = waiter else {
                continue;
            };
            let result = match decision {
                Decision::Send(target) => Ok(SlotGuard::new(self, target, request, key)),
                Decision::Refuse(refusal) => Err(refusal),
            };
            // If the receiver was dropped, the slot guard is dropped as well, which frees the slot.
            let _ = sender.send(result);
        }
    }
}
