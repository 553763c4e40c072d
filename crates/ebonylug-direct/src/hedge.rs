//! Races a second attempt against a first one that is slow.
//!
//! `ebonylug_dispatch::Hedging` decides when a second attempt is sent. The first good answer wins: a whole
//! answer, or the first event of a stream. The other attempt is dropped at once, which closes its connection and
//! frees its slot with the outcome `Withdrawn`. A failed attempt leaves the other one running.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use ebonylug_core::Name;
use ebonylug_dispatch::{
    HedgeRefusal, HedgeRule, PlacementRequest, RouteKind, SlowRequest, TargetKey,
};
use tokio::time::Instant;

use crate::attempt::{self, Failure};
use crate::entry::{Entry, millis};
use crate::forward::{ForwardJob, TargetResponse, open_response};
use crate::slot::SlotGuard;

impl Entry {
    fn hedge_rule(&self) -> HedgeRule {
        self.bounds.get().hedging
    }

    /// Counts a request in the limit on hedges of a service.
    pub(crate) fn count_hedgeable(&self, service: &Name) {
        let (now, rule) = (self.clock.now(), self.hedge_rule());
        if rule.is_enabled() {
            let mut state = self.state.borrow_mut();
            state.hedging.record_request(now, service, rule);
        }
    }

    /// Takes a slot at a second target, or returns why there is no second attempt.
    fn take_hedge(
        self: &Rc<Self>,
        slow: SlowRequest,
        placement: PlacementRequest,
        elapsed: Duration,
    ) -> Result<SlotGuard, HedgeRefusal> {
        self.record_work();
        let (now, rule) = (self.clock.now(), self.hedge_rule());
        let mut state = self.state.borrow_mut();
        state.hedging.check(now, rule, slow)?;
        state.refresh_peer_loads(now);
        let placement = state.with_versions(placement);
        let target = state.scheduler.select_hedge(now, &placement, elapsed)?;
        drop(state);
        if !self.take_retry(slow.service) {
            return Err(HedgeRefusal::RetryBudget);
        }
        let mut state = self.state.borrow_mut();
        state.hedging.record_hedge(now, slow.service, rule);
        state.scheduler.record_hedge(now, target, &placement);
        let place = state.scheduler.new_place(placement.rank);
        drop(state);
        Ok(SlotGuard::new(self, target, placement, place))
    }
}

/// Measures the time from the first send of a request to its first answer.
struct AnswerTimer {
    entry: Rc<Entry>,
    service: Name,
    kind: RouteKind,
    target: TargetKey,
    sent: Instant,
    ended: bool,
}

impl AnswerTimer {
    fn record_end(&mut self, result: &attempt::Result<TargetResponse>) {
        // A time-out is the lower bound of a time, like a cancelled attempt.
        self.ended = !matches!(result, Err(Failure::Late));
        // Answers that report an error are often much faster than others.
        if result
            .as_ref()
            .is_ok_and(|response| response.status().is_success())
        {
            let now = self.entry.clock.now();
            let mut state = self.entry.state.borrow_mut();
            let time = self.sent.elapsed();
            state
                .hedging
                .record_time(now, &self.service, self.kind, time);
        }
    }
}

impl Drop for AnswerTimer {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let (now, time) = (self.entry.clock.now(), self.sent.elapsed());
        let mut state = self.entry.state.borrow_mut();
        let slow = state
            .hedging
            .record_cancelled(now, &self.service, self.kind, time);
        // The pace of streams is measured per event.
        if slow && !self.kind.is_stream() {
            state.scheduler.record_cancelled(now, self.target, time);
        }
    }
}

/// Whether an attempt of a race is the first or the second one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Racer {
    First,
    Second,
}

impl Racer {
    fn as_str(self) -> &'static str {
        match self {
            Racer::First => "first",
            Racer::Second => "second",
        }
    }
}

impl ForwardJob {
    /// Makes an attempt at the target of `slot`, and a second one at another target if the first is slow and
    /// the conditions allow it.
    pub(crate) async fn attempt_hedged(
        &mut self,
        slot: SlotGuard,
    ) -> attempt::Result<TargetResponse> {
        let target = slot.target();
        self.result_target = Some(target);
        let (entry, request) = (Rc::clone(&self.entry), Rc::clone(&self.request));
        let sent = Instant::now();
        let mut first = pin!(open_response(&entry, &request, slot));
        if !self.is_hedgeable() {
            return first.await;
        }
        let mut timer = AnswerTimer {
            entry: Rc::clone(&entry),
            service: self.service().clone(),
            kind: request.route.kind,
            target,
            sent,
            ended: false,
        };
        if let Some(delay) = self.hedge_delay() {
            tokio::select! {
                biased;
                result = &mut first => {
                    timer.record_end(&result);
                    return result;
                }
                () = tokio::time::sleep_until(sent + delay) => {}
            }
        }
        let second = match self.start_hedge(target, sent) {
            Ok(slot) => slot,
            Err(refusal) => {
                entry.instruments.count_hedge_refusal(refusal);
                let result = first.await;
                timer.record_end(&result);
                return result;
            }
        };
        let second_target = second.target();
        let mut second = pin!(open_response(&entry, &request, second));
        let (racer, result) = tokio::select! {
            biased;
            result = &mut first => {
                timer.record_end(&result);
                (Racer::First, result)
            }
            result = &mut second => (Racer::Second, result),
        };
        let targets = [target, second_target];
        if is_good(&result) {
            // The other attempt may run until its connection is closed, which follows at once.
            self.count_run();
            self.record_winner(Some(racer), targets, sent);
            return result;
        }
        let early = targets[racer as usize];
        let kept = match result {
            Ok(response) => Some(response),
            Err(failure) => {
                self.result_target = Some(early);
                self.record_failure(&failure);
                None
            }
        };
        let (other, later) = match racer {
            Racer::First => (Racer::Second, second.await),
            Racer::Second => {
                let later = first.await;
                timer.record_end(&later);
                (Racer::First, later)
            }
        };
        let winner = is_good(&later).then_some(other);
        self.result_target = Some(targets[other as usize]);
        let result = match (kept, later) {
            (None, later) => later,
            // A server error that was received whole says more than a failure.
            (Some(kept), Err(failure)) => {
                self.record_failure(&failure);
                self.result_target = Some(early);
                Ok(kept)
            }
            (Some(dropped), Ok(response)) => {
                self.result_target = Some(early);
                self.record_failure(&Failure::Failed(dropped.status()));
                self.result_target = Some(targets[other as usize]);
                Ok(response)
            }
        };
        self.record_winner(winner, targets, sent);
        result
    }

    /// Reports whether the request may get a second attempt at all. Only the first attempt of a request is
    /// hedged: after a failure, the request may be what makes targets fail.
    fn is_hedgeable(&self) -> bool {
        let route = &self.request.route;
        self.entry.hedge_rule().is_enabled()
            && self.attempts() == 1
            && route.kind.is_idempotent()
            && route.max_attempts > 1
    }

    fn hedge_delay(&self) -> Option<Duration> {
        let (now, request) = (self.entry.clock.now(), &self.request);
        let objective = request.route.latency_objective;
        let objective = objective.saturating_sub(request.arrived.elapsed());
        let mut state = self.entry.state.borrow_mut();
        state
            .hedging
            .delay(now, self.service(), request.route.kind, objective)
    }

    /// Takes a slot for the second attempt, at the end of the delay.
    fn start_hedge(&mut self, first: TargetKey, sent: Instant) -> Result<SlotGuard, HedgeRefusal> {
        let request = &self.request;
        let left = request.deadline.saturating_duration_since(Instant::now());
        let slow = SlowRequest {
            service: self.service(),
            kind: request.route.kind,
            objective: request.route.latency_objective,
            left,
            attempts: 1,
            max_attempts: request.route.max_attempts,
            suspect: self.entry.is_suspect(&request.causes)
                || self.entry.is_quarantined(&request.causes),
        };
        let slot = self
            .entry
            .take_hedge(slow, self.placement_request(), sent.elapsed())?;
        self.entry.instruments.count_hedge("sent");
        tracing::info!(
            part = "hedge",
            request = request.id.to_str().unwrap_or_default(),
            route = %request.route.name,
            first = self.entry.target_name(first),
            second = self.entry.target_name(slot.target()),
            delay_ms = millis(sent.elapsed()),
            left_ms = millis(left),
            "second attempt sent"
        );
        self.add_attempt(slot.target());
        Ok(slot)
    }

    /// Records which attempt gave the answer, if one did.
    fn record_winner(&mut self, racer: Option<Racer>, targets: [TargetKey; 2], sent: Instant) {
        if let Some(racer) = racer {
            self.result_target = Some(targets[racer as usize]);
        }
        let winner = racer.map_or("none", Racer::as_str);
        self.entry.instruments.count_hedge(match racer {
            Some(Racer::First) => "lost",
            Some(Racer::Second) => "won",
            None => "failed",
        });
        tracing::info!(
            part = "hedge",
            request = self.request.id.to_str().unwrap_or_default(),
            route = %self.request.route.name,
            first = self.entry.target_name(targets[0]),
            second = self.entry.target_name(targets[1]),
            winner,
            time_ms = millis(sent.elapsed()),
            "second attempt ended"
        );
    }
}

/// Reports whether an attempt returned an answer that ends the race.
fn is_good(result: &attempt::Result<TargetResponse>) -> bool {
    matches!(result, Ok(response) if !response.status().is_server_error())
}
