//! Slots at targets, and requests that wait for one.

use std::cell::Cell;
use std::rc::Rc;

use ebonylug_core::CrashCause;
use ebonylug_dispatch::{
    Outcome, PlacementRequest, Refusal, ResponseLatency, Revocation, Slot, TargetKey, WaitKey,
};
use ebonylug_moves::Sample;
use tokio::sync::oneshot;

use crate::entry::Entry;

/// Cancels a waiting request when its future is dropped.
pub(crate) struct WaitGuard {
    pub(crate) entry: Rc<Entry>,
    pub(crate) key: WaitKey,
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        let mut state = self.entry.state.borrow_mut();
        state.waiters.remove(&self.key);
        state.scheduler.cancel(self.key);
    }
}

/// A waiting request, and the channel for the decision.
pub(crate) struct Waiter {
    pub(crate) sender: oneshot::Sender<Result<SlotGuard, Refusal>>,
    pub(crate) request: PlacementRequest,
}

/// A slot at a target. Dropping it frees the slot and reports the outcome of the attempt.
pub(crate) struct SlotGuard {
    entry: Rc<Entry>,
    target: TargetKey,
    /// What was known of the target when the slot was taken; `None` if it was not listed any more.
    slot: Option<Slot>,
    /// The request that has the slot.
    request: PlacementRequest,
    /// The place of the request in the queue.
    place: WaitKey,
    /// The state of the moves by which the versions of the request were chosen.
    moves: u64,
    /// Prompt tokens that the target has yet to prefill.
    prompt: Cell<u32>,
    outcome: Cell<Outcome>,
    pace: Cell<Option<f64>>,
    /// Whether the response has been recorded as evidence about the version of the target.
    recorded: Cell<bool>,
}

impl SlotGuard {
    /// Creates the guard of a slot that has just been taken.
    pub(crate) fn new(
        entry: &Rc<Entry>,
        target: TargetKey,
        request: PlacementRequest,
        place: WaitKey,
    ) -> Self {
        let now = entry.clock.now();
        let state = entry.state.borrow();
        let (slot, moves) = (state.scheduler.slot(now, target), state.moves.changes());
        drop(state);
        SlotGuard {
            prompt: Cell::new(request.prompt),
            entry: Rc::clone(entry),
            target,
            slot,
            request,
            place,
            moves,
            outcome: Cell::new(Outcome::Withdrawn),
            pace: Cell::new(None),
            recorded: Cell::new(false),
        }
    }

    pub(crate) fn target(&self) -> TargetKey {
        self.target
    }

    /// Returns the place in the queue that the request keeps if its slot is revoked.
    pub(crate) fn place(&self) -> WaitKey {
        self.place
    }

    /// Checks that nothing has become known since the slot was taken that keeps the request from being sent now.
    pub(crate) fn confirm(&self, causes: &[CrashCause]) -> Result<(), Revocation> {
        let now = self.entry.clock.now();
        let mut state = self.entry.state.borrow_mut();
        if state.crashes.is_quarantined(causes) {
            return Err(Revocation::Quarantined);
        }
        if state.moves.changes() != self.moves
            && let Some(target) = state.scheduler.target(self.target)
            && !state
                .revise_versions(self.request.clone())
                .allows(&target.version)
        {
            return Err(Revocation::Version);
        }
        let slot = self.slot.as_ref().ok_or(Revocation::Gone)?;
        state.scheduler.confirm(now, slot)
    }

    /// Marks the prompt as prefilled.
    pub(crate) fn finish_prefill(&self) {
        let prompt = self.prompt.take();
        if prompt > 0 {
            let mut state = self.entry.state.borrow_mut();
            state.scheduler.finish_prefill(self.target, prompt);
        }
    }

    /// Records that the target has sent a part of a response.
    pub(crate) fn record_sign(&self) {
        let now = self.entry.clock.now();
        let mut state = self.entry.state.borrow_mut();
        state.scheduler.record_sign(now, self.target);
    }

    /// Sets the outcome of the attempt. Without a call, it is [`Outcome::Withdrawn`].
    pub(crate) fn set_outcome(&self, outcome: Outcome) {
        self.outcome.set(outcome);
    }

    /// Records the latencies of a successful response as evidence about the version of the target. `late`
    /// states whether it missed the latency objective of its route, which decides whether it was slow
    /// until enough responses of the old version are known. Later calls have no effect.
    pub(crate) fn record_latency(&self, latency: ResponseLatency, late: bool) {
        if self.recorded.replace(true) {
            return;
        }
        let (now, uptime) = (self.entry.clock.now(), self.entry.uptime.uptime());
        let mut state = self.entry.state.borrow_mut();
        let cold = state.scheduler.is_cold(now, self.target);
        let Some(target) = state.scheduler.target(self.target) else {
            return;
        };
        let (service, version) = (target.service.clone(), target.version.clone());
        let moves = &mut state.moves;
        let slow = match cold {
            true => false,
            false => moves.is_slow(&service, &version, latency).unwrap_or(late),
        };
        let sample = Sample::success().slow(slow).cold(cold);
        moves.record(uptime, &service, &version, sample);
    }

    /// Sets the time per unit of work, in seconds.
    pub(crate) fn set_pace(&self, pace: f64) {
        self.pace.set(Some(pace));
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let now = self.entry.clock.now();
        let mut state = self.entry.state.borrow_mut();
        let (outcome, pace) = (self.outcome.get(), self.pace.get());
        state
            .scheduler
            .finish_prefill(self.target, self.prompt.get());
        let sample = match outcome {
            Outcome::Answered if self.recorded.get() => None,
            Outcome::Answered => Some(Sample::success()),
            Outcome::Failed | Outcome::Broken | Outcome::Unreachable => Some(Sample::failure()),
            Outcome::Refused | Outcome::Withdrawn => None,
        };
        if outcome == Outcome::Unreachable
            && let Some(target) = state.scheduler.target(self.target).cloned()
        {
            state.record_down(now, &target);
        }
        let target = state.scheduler.target(self.target);
        if let (Some(sample), Some(target)) = (sample, target) {
            let (service, version) = (target.service.clone(), target.version.clone());
            let uptime = self.entry.uptime.uptime();
            state.moves.record(uptime, &service, &version, sample);
        }
        let change = state.scheduler.finish(now, self.target, outcome, pace);
        if let Some(change) = change
            && let Some(target) = state.scheduler.target(self.target)
        {
            let change = change.as_str();
            tracing::info!(part = "targets", target = %target.name, service = %target.service, ?outcome, change, "health of a target");
        }
        drop(state);
        self.entry.dispatch_waiting();
    }
}
