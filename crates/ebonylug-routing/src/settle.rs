use std::time::Instant;

use ebonylug_core::{AttemptId, LoadReport, Outcome, Reason, Refusal, Tokens};

use crate::key::Interned;
use crate::ledger::Stage;
use crate::prefix::Holder;
use crate::target::Send;
use crate::{Disposition, RequestKey, Router, TargetKey};

/// Weight of a new observation in the pace of a route.
const PACE_GAIN: f64 = 0.1;

impl Router {
    /// Settles an attempt. Only a refused attempt moves to another target, and only a
    /// preempted one is resumed; what failed or is unknown is never run again. The tokens that a
    /// preempted attempt has delivered are counted from its own start.
    pub fn apply_outcome(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        outcome: Outcome,
    ) -> Disposition {
        let Some((key, target, send)) = self.ledger.live(attempt) else {
            return Disposition::Ignored;
        };
        self.resting.note(target);
        match outcome {
            Outcome::Refused(refusal, report) => {
                self.targets.withdraw(target, send);
                self.refused(now, key, target, refusal, report.as_ref())
            }
            Outcome::Preempted { received } => {
                self.targets.ended(target, send);
                self.preempted(now, key, target, received)
            }
            Outcome::Answered => {
                self.targets.ended(target, send);
                self.learn_pace(now, key, send);
                self.learn_prefix(key, target);
                self.end_sent(key);
                Disposition::Ended
            }
            Outcome::Failed => {
                self.targets.ended(target, send);
                self.end_sent(key);
                Disposition::Ended
            }
            Outcome::Unknown => {
                // The attempt may still run, so its work stays accounted for until a report.
                self.end_sent(key);
                Disposition::Ended
            }
        }
    }

    fn refused(
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
        let urgent = entry.request.tier.is_interactive();
        let done = Tokens::ZERO;
        self.unsend(now, key, done);
        let scope = match refusal.reason {
            Reason::Quarantined | Reason::Deadline | Reason::Invalid | Reason::Store => {
                self.give_up(key, refusal);
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
            .pause(now, target, scope, refusal.after, &self.settings);
        let entry = self.ledger.entry(key);
        let exhausted = refusals >= self.settings.max_refusals && !entry.ran;
        if exhausted && !self.is_protected(entry.request.tier) {
            self.give_up(key, Refusal::new(Reason::RetryBudget));
            return Disposition::Shed;
        }
        let free = urgent && refusals <= self.settings.free_refusals;
        if !free && !self.budget.spend(now) {
            self.park(key);
        }
        Disposition::Requeued
    }

    fn preempted(
        &mut self,
        now: Instant,
        key: RequestKey,
        target: TargetKey,
        received: u64,
    ) -> Disposition {
        let entry = self.ledger.entry_mut(key);
        if !entry.may_resume() {
            self.end_sent(key);
            return Disposition::Ended;
        }
        let generation = self
            .targets
            .get(target)
            .map_or(0, |target| target.generation);
        let cached = entry.input + Tokens(received);
        entry.home = Some((Holder { target, generation }, cached));
        entry.ran = true;
        entry.request.offset += received;
        entry.patience = None;
        if received > 0 {
            self.learn_prefix(key, target);
        }
        self.unsend(now, key, Tokens(received));
        Disposition::Requeued
    }

    /// Puts a request back at its old position. Of what it was charged, its organisation pays
    /// only for `done`.
    fn unsend(&mut self, now: Instant, key: RequestKey, done: Tokens) {
        let (input, output) = self.estimate(&self.ledger.entry(key).request);
        let entry = self.ledger.entry_mut(key);
        if !entry.request.tier.is_interactive() {
            self.batch_sent -= 1;
            self.queue.refund(entry, entry.cost - done);
        }
        entry.stage = Stage::Queued;
        entry.input = input;
        entry.output = output;
        entry.cost = input + output;
        self.queue.insert(now, key, entry);
    }

    /// Makes a request that waits wait for the retry budget.
    fn park(&mut self, key: RequestKey) {
        let entry = self.ledger.entry_mut(key);
        self.queue.step_back(entry);
        entry.stage = Stage::Parked;
        self.parked.insert(entry.position, key);
    }

    /// Learns that a target has computed the prompt of a request.
    fn learn_prefix(&mut self, key: RequestKey, target: TargetKey) {
        if let Some(known) = self.targets.get(target) {
            let generation = known.generation;
            let holder = Holder { target, generation };
            let prefix = &self.ledger.entry(key).request.prefix;
            self.chooser.prefixes().insert(prefix, holder, true);
        }
    }

    fn learn_pace(&mut self, now: Instant, key: RequestKey, send: Send) {
        let entry = self.ledger.entry(key);
        let route = entry.request.route;
        let took = now.saturating_duration_since(send.at).as_secs_f64();
        let pace = took / send.cost.as_f64().max(1.0);
        let known = &mut self.routes[route.index()].pace;
        let gain = if *known > 0.0 { PACE_GAIN } else { 1.0 };
        *known += gain * (pace - *known);
        if !entry.request.tier.is_interactive() {
            self.queue.done(route, entry.cost);
        }
    }
}
