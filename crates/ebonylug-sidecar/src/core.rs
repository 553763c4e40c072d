use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use ebonylug_admission::{Action, Admission, CrashLog, Decision};
use ebonylug_core::{
    AttemptId, Clock, End, EngineReport, Gate, Incarnation, LoadReport, Name, Offer, Refusal,
    Repeat, Revoked, Tokens,
};
use ebonylug_events::{EventKind, Origin, Stamp, Subject};
use ebonylug_net::frame::Tail;
use ebonylug_net::record::Recorder;
use ebonylug_net::rpc::{Instructions, crash_digest};

use crate::response::ResponseBuffer;

/// Time that a finished answer is retained for an entry whose connection broke.
const RETENTION: Duration = Duration::from_secs(30);
/// Bound on all retained answers together, in bytes.
const MAX_RETAINED_BYTES: u64 = 64 << 20;
/// Time without a reader after which a repeatable attempt is cancelled. An entry that lost its
/// connection comes back sooner.
const ORPHAN_TIMEOUT: Duration = Duration::from_secs(10);

/// One admitted attempt.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Its answer.
    pub answer: Arc<ResponseBuffer>,
    /// Stops the call to the target.
    pub stop: CancellationToken,
    repeat: Repeat,
    preempted: bool,
    ended: Option<Instant>,
    unread: Option<Instant>,
}

/// What the sidecar decided about an offer.
#[derive(Debug)]
pub enum Verdict {
    /// The attempt is to be run.
    Run(Attempt),
    /// The attempt runs or has run; its answer is to be read.
    Join(Attempt),
    /// The attempt has run, and its answer is no longer retained.
    Gone,
    /// The attempt is not run.
    Refuse(Refusal),
}

/// The state of the sidecar: admission and the answers of admitted attempts.
///
/// Handlers on several threads share it. Each method takes the lock for a short time and makes no
/// I/O.
pub struct Core {
    clock: Arc<dyn Clock>,
    recorder: Recorder,
    target: Name,
    state: Mutex<State>,
    changed: watch::Sender<u64>,
}

struct State {
    admission: Admission,
    attempts: HashMap<AttemptId, Attempt>,
    /// Once set, no instruction opens the gate again.
    leaving: bool,
}

impl Core {
    /// Creates the state of a sidecar that has admitted nothing.
    pub fn new(
        settings: ebonylug_admission::Settings,
        origin: Origin,
        target: Name,
        clock: Arc<dyn Clock>,
    ) -> Self {
        let admission = Admission::new(settings, clock.now());
        Core {
            recorder: Recorder::new(origin, Arc::clone(&clock)),
            target,
            clock,
            state: Mutex::new(State {
                admission,
                attempts: HashMap::new(),
                leaving: false,
            }),
            changed: watch::Sender::new(0),
        }
    }

    /// Decides about an offer that was sent at `sent`; the attempts that make room are stopped.
    pub fn offer(&self, offer: Offer, sent: Stamp) -> Verdict {
        let now = self.clock.now();
        self.recorder.observe(sent);
        let mut state = self.lock();
        let (attempt, repeat) = (offer.attempt, offer.repeat);
        let verdict = match state.admission.offer(now, offer) {
            Decision::Refuse(refusal) => Verdict::Refuse(refusal),
            Decision::Join => match state.attempts.get(&attempt) {
                Some(known) => Verdict::Join(known.clone()),
                None => Verdict::Gone,
            },
            Decision::Admit { preempt } => {
                for victim in preempt {
                    state.preempt(victim);
                }
                let admitted = Attempt::new(repeat);
                state.attempts.insert(attempt, admitted.clone());
                Verdict::Run(admitted)
            }
        };
        drop(state);
        match &verdict {
            Verdict::Run(_) => self.record(EventKind::Admitted, attempt),
            Verdict::Refuse(refusal) => self.record(
                EventKind::Refused {
                    reason: refusal.reason,
                },
                attempt,
            ),
            Verdict::Join(_) | Verdict::Gone => {}
        }
        self.notify();
        verdict
    }

    /// Returns an admitted attempt whose answer is retained.
    pub fn attempt(&self, attempt: AttemptId) -> Option<Attempt> {
        self.lock().attempts.get(&attempt).cloned()
    }

    /// Reports whether an attempt runs or has run, as far as is remembered.
    pub fn has_run(&self, attempt: AttemptId) -> bool {
        self.lock().admission.was_admitted(attempt)
    }

    /// Records new output tokens of an attempt.
    pub fn progress(&self, attempt: AttemptId, tokens: u64) {
        if tokens > 0 {
            self.lock()
                .admission
                .progress(self.clock.now(), attempt, Tokens(tokens));
        }
    }

    /// Records the first sign of an answer.
    pub fn first_token(&self, attempt: AttemptId) {
        self.record(EventKind::FirstToken, attempt);
        self.lock().admission.first_token(self.clock.now(), attempt);
    }

    /// Ends an attempt.
    pub fn finish(&self, attempt: AttemptId, end: End, tokens: u64) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.admission.finish(now, attempt, end);
        if let Some(known) = state.attempts.get_mut(&attempt) {
            known.ended = Some(now);
            let preempted = known.preempted && end == End::Cancelled;
            self.record(end_event(end, preempted, tokens), attempt);
            known.answer.finish(Tail {
                end,
                tokens,
                preempted,
                stamp: self.recorder.stamp(),
            });
        }
        drop(state);
        self.notify();
    }

    /// Makes sure that an attempt is not run, or tells what became of it.
    pub fn revoke(&self, attempt: AttemptId, incarnation: Incarnation) -> Revoked {
        let revoked = self
            .lock()
            .admission
            .revoke(self.clock.now(), attempt, incarnation);
        self.notify();
        revoked
    }

    /// Stops an attempt whose answer nobody waits for. A call that may not be repeated goes on.
    pub fn cancel(&self, attempt: AttemptId) {
        if let Some(known) = self.lock().attempts.get(&attempt)
            && known.repeat == Repeat::Yes
        {
            known.stop.cancel();
        }
    }

    /// Takes over a report of the engine.
    pub fn engine_report(&self, report: EngineReport) {
        self.lock()
            .admission
            .engine_report(self.clock.now(), report);
        self.notify();
    }

    /// Records whether the target accepts connections.
    pub fn set_up(&self, up: bool) {
        let now = self.clock.now();
        let mut state = self.lock();
        if state.admission.report(now).up == up {
            return;
        }
        if up {
            tracing::info!("sidecar: target is up");
            self.record_target(EventKind::TargetUp);
            state.admission.target_up(now);
        } else {
            tracing::warn!("sidecar: target is down");
            self.record_target(EventKind::TargetDown);
            state.admission.target_down(now);
        }
        drop(state);
        self.notify();
    }

    /// Puts instructions in force.
    pub fn instruct(&self, instructions: &Instructions) -> ebonylug_core::Revision {
        let mut state = self.lock();
        let present = state.admission.report(self.clock.now()).revision;
        if instructions.revision < present {
            return present;
        }
        if instructions.revision > present {
            let subject = Subject::new().revision(instructions.revision);
            self.recorder.record(EventKind::RevisionApplied, subject);
        }
        state.admission.set_revision(instructions.revision);
        if !state.leaving {
            state.admission.set_gate(instructions.gate);
        }
        state.admission.merge_crashes(&instructions.crashes);
        drop(state);
        self.notify();
        instructions.revision
    }

    /// Returns the crashes that this sidecar knows of.
    pub fn crashes(&self) -> CrashLog {
        self.lock().admission.crashes().clone()
    }

    /// Returns the digest of the crashes that this sidecar knows of.
    pub fn crash_digest(&self) -> u64 {
        crash_digest(self.lock().admission.crashes())
    }

    /// Reports whether every answer that has ended was handed to a reader.
    pub fn is_read_out(&self) -> bool {
        let state = self.lock();
        state
            .attempts
            .values()
            .all(|attempt| attempt.answer.is_delivered())
    }

    /// Refuses new work from now on, because this process leaves.
    pub fn leave(&self) {
        let mut state = self.lock();
        self.record_target(EventKind::Draining);
        state.leaving = true;
        state.admission.set_gate(Gate::Leaving);
        drop(state);
        self.notify();
    }

    /// Returns the present state.
    pub fn report(&self) -> LoadReport {
        self.lock().admission.report(self.clock.now())
    }

    /// Subscribes to changes of the state.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Does what time alone makes necessary: timeouts, retention, preemption.
    pub fn tick(&self) {
        let now = self.clock.now();
        let mut state = self.lock();
        for action in state.admission.tick(now) {
            match action {
                Action::Preempt(victim) => state.preempt(victim),
                Action::Expire(attempt) => {
                    state.attempts.remove(&attempt);
                }
            }
        }
        state.stop_orphans(now);
        state.drop_old_answers(now);
        drop(state);
        self.notify();
    }

    /// Returns the events of the time line.
    pub fn recorder(&self) -> &Recorder {
        &self.recorder
    }

    fn record(&self, kind: EventKind, attempt: AttemptId) {
        let subject = Subject::new().attempt(attempt).target(self.target.clone());
        self.recorder.record(kind, subject);
    }

    fn record_target(&self, kind: EventKind) {
        self.recorder
            .record(kind, Subject::new().target(self.target.clone()));
    }

    fn notify(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("sidecar lock poisoned")
    }
}

fn end_event(end: End, preempted: bool, tokens: u64) -> EventKind {
    match end {
        End::Answered => EventKind::Answered,
        End::Cancelled if preempted => EventKind::Preempted { received: tokens },
        End::Cancelled => EventKind::Cancelled,
        End::Failed => EventKind::Failed,
        End::Crashed => EventKind::Crash,
    }
}

impl Attempt {
    fn new(repeat: Repeat) -> Self {
        Attempt {
            answer: Arc::new(ResponseBuffer::new()),
            stop: CancellationToken::new(),
            repeat,
            preempted: false,
            ended: None,
            unread: None,
        }
    }
}

impl State {
    fn preempt(&mut self, victim: AttemptId) {
        if let Some(attempt) = self.attempts.get_mut(&victim) {
            attempt.preempted = true;
            attempt.stop.cancel();
        }
    }

    /// Cancels repeatable attempts that no entry reads any more.
    fn stop_orphans(&mut self, now: Instant) {
        for attempt in self.attempts.values_mut() {
            if attempt.ended.is_some()
                || attempt.repeat == Repeat::No
                || attempt.answer.reader_count() > 0
            {
                attempt.unread = None;
                continue;
            }
            let since = *attempt.unread.get_or_insert(now);
            if now - since > ORPHAN_TIMEOUT {
                attempt.stop.cancel();
            }
        }
    }

    fn drop_old_answers(&mut self, now: Instant) {
        self.attempts
            .retain(|_, attempt| attempt.ended.is_none_or(|ended| now - ended < RETENTION));
        let mut total: u64 = self
            .attempts
            .values()
            .map(|a| a.answer.retained_bytes())
            .sum();
        if total <= MAX_RETAINED_BYTES {
            return;
        }
        let mut finished: Vec<(Instant, AttemptId)> = self
            .attempts
            .iter()
            .filter_map(|(id, attempt)| Some((attempt.ended?, *id)))
            .collect();
        finished.sort_unstable();
        for (_, id) in finished {
            if total <= MAX_RETAINED_BYTES {
                return;
            }
            if let Some(attempt) = self.attempts.remove(&id) {
                total -= attempt.answer.retained_bytes();
            }
        }
    }
}
