use std::time::Instant;

use ebonylug_core::{AttemptId, LoadReport, Outcome, Reason, Refusal, Tokens};

use crate::key::Interned;
use crate::ledger::Stage;
use crate::prefix::Holder;
use crate::target::SentAttempt;
use crate::{Disposition, RequestKey, Router, TargetKey};

/// Weight of a new observation in the mean latency per token of a route.
const LATENCY_GAIN: f64 = 0.1;

impl Router {
    /// Applies the outcome of an attempt.
    ///
    /// Only a refused attempt moves to another target, and only a preempted one is resumed. A
    /// failed attempt, or one with an unknown outcome, is never run again. The `received` tokens of
    /// a preempted attempt are counted from the start of that attempt.
    pub fn apply_outcome(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        outcome: Outcome,
    ) -> Disposition {
        let Some((key, target, sent)) = self.ledger.live_attempt(attempt) else {
            return Disposition::Ignored;
        };
        self.warm_waits.mark_changed(target);
        match outcome {
            Outcome::Refused(refusal, report) => {
                self.targets.record_not_run(target, sent);
                self.handle_refusal(now, key, target, refusal, report.as_ref())
            }
            Outcome::Preempted { received } => {
                self.targets.record_ended(target, sent);
                self.handle_preemption(now, key, target, received)
            }
            Outcome::Answered => {
                self.targets.record_ended(target, sent);
                self.record_latency(now, key, sent);
                self.record_prefix(key, target);
                self.remove_sent(key);
                Disposition::Ended
            }
            Outcome::Failed => {
                self.targets.record_ended(target, sent);
                self.remove_sent(key);
                Disposition::Ended
            }
            Outcome::Unknown => {
                // The attempt may still run, so its work counts as load until a report covers it.
                self.remove_sent(key);
                Disposition::Ended
            }
        }
    }

    fn handle_refusal(
        &mut self,
        now: Instant,
        key: RequestKey,
        target: TargetKey,
        refusal: Refusal,
        report: Option<&LoadReport>,
    ) -> Disposition {
        if let Some(report) = report {
            self.apply_report(now, target, report);
        }
        let entry = self.ledger.entry_mut(key);
        entry.refusals += 1;
        let class = entry.request.tier.class;
        let refusals = entry.refusals;
        let interactive = entry.request.tier.is_interactive();
        let done = Tokens::ZERO;
        self.requeue(now, key, done);
        let scope = match refusal.reason {
            Reason::Quarantined | Reason::Deadline | Reason::Invalid | Reason::Store => {
                self.fail_waiting(key, refusal);
                return Disposition::Shed;
            }
            Reason::Full | Reason::Cold | Reason::Shed | Reason::QueueFull => Some(class),
            Reason::Down
            | Reason::Leaving
            | Reason::ZoneClosed
            | Reason::Stale
            | Reason::Revoked
            | Reason::Incarnation
            | Reason::NoTarget
            | Reason::RetryBudget => None,
        };
        self.targets
            .pause(now, target, scope, refusal.retry_after, &self.settings);
        let entry = self.ledger.entry(key);
        let exhausted = refusals >= self.settings.max_refusals && !entry.has_run;
        if exhausted && !self.is_protected(entry.request.tier) {
            self.fail_waiting(key, Refusal::new(Reason::RetryBudget));
            return Disposition::Shed;
        }
        let free = interactive && refusals <= self.settings.free_refusals;
        if !free && !self.budget.spend(now) {
            self.start_retry_wait(key);
        }
        Disposition::Requeued
    }

    fn handle_preemption(
        &mut self,
        now: Instant,
        key: RequestKey,
        target: TargetKey,
        received: u64,
    ) -> Disposition {
        let entry = self.ledger.entry_mut(key);
        if !entry.may_resume() {
            self.remove_sent(key);
            return Disposition::Ended;
        }
        let generation = self
            .targets
            .get(target)
            .map_or(0, |target| target.generation);
        let cached = entry.input + Tokens(received);
        entry.resume_hint = Some((Holder { target, generation }, cached));
        entry.has_run = true;
        entry.request.offset += received;
        entry.warm_until = None;
        if received > 0 {
            self.record_prefix(key, target);
        }
        self.requeue(now, key, Tokens(received));
        Disposition::Requeued
    }

    /// Returns a request to its previous queue position. Refunds its organisation the cost of the
    /// attempt except for the `done` work.
    fn requeue(&mut self, now: Instant, key: RequestKey, done: Tokens) {
        let (input, output) = self.estimate_cost(&self.ledger.entry(key).request);
        let entry = self.ledger.entry_mut(key);
        if !entry.request.tier.is_interactive() {
            self.batch_in_flight -= 1;
            self.queue.refund(entry, entry.cost - done);
        }
        entry.stage = Stage::Queued;
        entry.input = input;
        entry.output = output;
        entry.cost = input + output;
        self.queue.insert(now, key, entry);
    }

    /// Makes a waiting request ineligible for dispatch until the retry budget allows a retry.
    fn start_retry_wait(&mut self, key: RequestKey) {
        let entry = self.ledger.entry_mut(key);
        self.queue.make_ineligible(entry);
        entry.stage = Stage::RetryWait;
        self.retry_waits.insert(entry.position, key);
    }

    /// Records in the prefix index that a target has computed the prompt of a request.
    fn record_prefix(&mut self, key: RequestKey, target: TargetKey) {
        if let Some(found) = self.targets.get(target) {
            let generation = found.generation;
            let holder = Holder { target, generation };
            let prefix = &self.ledger.entry(key).request.prefix;
            self.chooser.prefixes().insert(prefix, holder, true);
        }
    }

    fn record_latency(&mut self, now: Instant, key: RequestKey, sent: SentAttempt) {
        let entry = self.ledger.entry(key);
        let route = entry.request.route;
        let elapsed = now.saturating_duration_since(sent.at).as_secs_f64();
        let observed = elapsed / sent.cost.as_f64().max(1.0);
        let latency = &mut self.routes[route.index()].token_latency;
        let gain = if *latency > 0.0 { LATENCY_GAIN } else { 1.0 };
        *latency += gain * (observed - *latency);
        if !entry.request.tier.is_interactive() {
            self.queue.record_done(route, entry.cost);
        }
    }
}
