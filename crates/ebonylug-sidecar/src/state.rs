use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use ebonylug_admission::{Action, Admission, CrashLog, Decision};
use ebonylug_core::{
    AttemptId, Clock, End, EngineReport, Gate, Incarnation, LoadReport, Name, Offer, Refusal,
    Repeat, RevokeOutcome, Tokens,
};
use ebonylug_events::{EventKind, Origin, Stamp, Subject};
use ebonylug_net::frame::Tail;
use ebonylug_net::record::Recorder;
use ebonylug_net::rpc::{Instructions, crash_digest};

use crate::response::ResponseBuffer;

/// Time for which a finished response is retained, for entries whose connection broke.
const RESPONSE_RETENTION: Duration = Duration::from_secs(30);
/// Maximum total size of the retained responses. Above it, finished ones are evicted, oldest first.
const MAX_RETAINED_BYTES: u64 = 64 << 20;
/// Time without a reader after which a repeatable attempt is cancelled. An entry that lost its
/// connection reconnects sooner.
const ORPHAN_TIMEOUT: Duration = Duration::from_secs(10);

/// An admitted attempt.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The response of the target.
    pub response: Arc<ResponseBuffer>,
    /// Cancels the call to the target.
    pub cancellation: CancellationToken,
    repeat: Repeat,
    preempted: bool,
    ended_at: Option<Instant>,
    /// Start of the current period without a reader.
    unread_since: Option<Instant>,
}

/// The result of an offer.
#[derive(Debug)]
pub enum OfferOutcome {
    /// The attempt was admitted and must be run.
    Run(Attempt),
    /// The attempt was admitted before; its response can be read.
    Join(Attempt),
    /// The attempt was admitted before, and its response is no longer retained.
    Expired,
    /// The attempt was refused and is not run.
    Refuse(Refusal),
}

/// The state of the sidecar: admission, and the responses of admitted attempts.
///
/// Handlers on several threads share it. Each method holds the lock for a short time and does no
/// I/O.
pub struct SidecarState {
    clock: Arc<dyn Clock>,
    recorder: Recorder,
    target: Name,
    state: Mutex<Inner>,
    changed: watch::Sender<u64>,
}

struct Inner {
    admission: Admission,
    attempts: HashMap<AttemptId, Attempt>,
    /// Once set, instructions no longer change the gate.
    draining: bool,
}

impl SidecarState {
    /// Creates a state without attempts.
    pub fn new(
        settings: ebonylug_admission::Settings,
        origin: Origin,
        target: Name,
        clock: Arc<dyn Clock>,
    ) -> Self {
        let admission = Admission::new(settings, clock.now());
        SidecarState {
            recorder: Recorder::new(origin, Arc::clone(&clock)),
            target,
            clock,
            state: Mutex::new(Inner {
                admission,
                attempts: HashMap::new(),
                draining: false,
            }),
            changed: watch::Sender::new(0),
        }
    }

    /// Decides on an offer with the logical time `sent`, and cancels the attempts that it preempts.
    pub fn offer(&self, offer: Offer, sent: Stamp) -> OfferOutcome {
        let now = self.clock.now();
        self.recorder.observe(sent);
        let mut state = self.lock();
        let (attempt, repeat) = (offer.attempt, offer.repeat);
        let outcome = match state.admission.offer(now, offer) {
            Decision::Refuse(refusal) => OfferOutcome::Refuse(refusal),
            Decision::Join => match state.attempts.get(&attempt) {
                Some(attempt) => OfferOutcome::Join(attempt.clone()),
                None => OfferOutcome::Expired,
            },
            Decision::Admit { preempt } => {
                for victim in preempt {
                    state.preempt(victim);
                }
                let admitted = Attempt::new(repeat);
                state.attempts.insert(attempt, admitted.clone());
                OfferOutcome::Run(admitted)
            }
        };
        drop(state);
        match &outcome {
            OfferOutcome::Run(_) => self.record(EventKind::Admitted, attempt),
            OfferOutcome::Refuse(refusal) => self.record(
                EventKind::Refused {
                    reason: refusal.reason,
                },
                attempt,
            ),
            OfferOutcome::Join(_) | OfferOutcome::Expired => {}
        }
        self.notify();
        outcome
    }

    /// Returns an admitted attempt whose response is retained.
    pub fn attempt(&self, attempt: AttemptId) -> Option<Attempt> {
        self.lock().attempts.get(&attempt).cloned()
    }

    /// Reports whether an attempt is running, or ended within the retention period of admission.
    pub fn was_admitted(&self, attempt: AttemptId) -> bool {
        self.lock().admission.was_admitted(attempt)
    }

    /// Records the number of new output tokens of an attempt.
    pub fn progress(&self, attempt: AttemptId, tokens: u64) {
        if tokens > 0 {
            self.lock()
                .admission
                .progress(self.clock.now(), attempt, Tokens(tokens));
        }
    }

    /// Records the first part of a response.
    pub fn first_token(&self, attempt: AttemptId) {
        self.record(EventKind::FirstToken, attempt);
        self.lock().admission.first_token(self.clock.now(), attempt);
    }

    /// Records the end of an attempt and completes its response.
    pub fn finish(&self, attempt: AttemptId, end: End, tokens: u64) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.admission.finish(now, attempt, end);
        if let Some(admitted) = state.attempts.get_mut(&attempt) {
            admitted.ended_at = Some(now);
            let preempted = admitted.preempted && end == End::Cancelled;
            self.record(event_kind(end, preempted, tokens), attempt);
            admitted.response.finish(Tail {
                end,
                tokens,
                preempted,
                stamp: self.recorder.stamp(),
            });
        }
        drop(state);
        self.notify();
    }

    /// Ensures that an attempt that was not run will never run, or returns its state.
    pub fn revoke(&self, attempt: AttemptId, incarnation: Incarnation) -> RevokeOutcome {
        let revoked = self
            .lock()
            .admission
            .revoke(self.clock.now(), attempt, incarnation);
        self.notify();
        revoked
    }

    /// Cancels an attempt whose response is no longer needed. A call that must not be repeated
    /// continues.
    pub fn cancel(&self, attempt: AttemptId) {
        if let Some(admitted) = self.lock().attempts.get(&attempt)
            && admitted.repeat == Repeat::Yes
        {
            admitted.cancellation.cancel();
        }
    }

    /// Applies a load report of the engine.
    pub fn apply_engine_report(&self, report: EngineReport) {
        self.lock()
            .admission
            .engine_report(self.clock.now(), report);
        self.notify();
    }

    /// Records whether the target accepts connections.
    pub fn set_target_up(&self, up: bool) {
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

    /// Applies instructions unless their revision is lower than the active one, and returns the
    /// revision that is active afterwards.
    pub fn apply_instructions(&self, instructions: &Instructions) -> ebonylug_core::Revision {
        let mut state = self.lock();
        let active = state.admission.report(self.clock.now()).revision;
        if instructions.revision < active {
            return active;
        }
        if instructions.revision > active {
            let subject = Subject::new().revision(instructions.revision);
            self.recorder.record(EventKind::RevisionApplied, subject);
        }
        state.admission.set_revision(instructions.revision);
        if !state.draining {
            state.admission.set_gate(instructions.gate);
        }
        state.admission.merge_crashes(&instructions.crashes);
        drop(state);
        self.notify();
        instructions.revision
    }

    /// Returns the crashes that this sidecar has recorded or received.
    pub fn crashes(&self) -> CrashLog {
        self.lock().admission.crashes().clone()
    }

    /// Returns the digest of [`SidecarState::crashes`].
    pub fn crash_digest(&self) -> u64 {
        crash_digest(self.lock().admission.crashes())
    }

    /// Reports whether every response was delivered to a reader up to its end.
    pub fn all_delivered(&self) -> bool {
        let state = self.lock();
        state
            .attempts
            .values()
            .all(|attempt| attempt.response.is_delivered())
    }

    /// Refuses new attempts from now on, because this process is about to stop.
    pub fn drain(&self) {
        let mut state = self.lock();
        self.record_target(EventKind::Draining);
        state.draining = true;
        state.admission.set_gate(Gate::Leaving);
        drop(state);
        self.notify();
    }

    /// Returns the current state of the target and of admission.
    pub fn report(&self) -> LoadReport {
        self.lock().admission.report(self.clock.now())
    }

    /// Subscribes to changes of the state. The value is a counter.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Processes timeouts, retention and delayed preemptions.
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
        state.cancel_orphans(now);
        state.evict_responses(now);
        drop(state);
        self.notify();
    }

    /// Returns the recorder of timeline events.
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

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.state.lock().expect("sidecar lock poisoned")
    }
}

fn event_kind(end: End, preempted: bool, tokens: u64) -> EventKind {
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
            response: Arc::new(ResponseBuffer::new()),
            cancellation: CancellationToken::new(),
            repeat,
            preempted: false,
            ended_at: None,
            unread_since: None,
        }
    }
}

impl Inner {
    fn preempt(&mut self, victim: AttemptId) {
        if let Some(attempt) = self.attempts.get_mut(&victim) {
            attempt.preempted = true;
            attempt.cancellation.cancel();
        }
    }

    /// Cancels repeatable attempts that had no reader for [`ORPHAN_TIMEOUT`].
    fn cancel_orphans(&mut self, now: Instant) {
        for attempt in self.attempts.values_mut() {
            if attempt.ended_at.is_some()
                || attempt.repeat == Repeat::No
                || attempt.response.reader_count() > 0
            {
                attempt.unread_since = None;
                continue;
            }
            let since = *attempt.unread_since.get_or_insert(now);
            if now - since > ORPHAN_TIMEOUT {
                attempt.cancellation.cancel();
            }
        }
    }

    fn evict_responses(&mut self, now: Instant) {
        self.attempts.retain(|_, attempt| {
            attempt
                .ended_at
                .is_none_or(|ended| now - ended < RESPONSE_RETENTION)
        });
        let mut total: u64 = self
            .attempts
            .values()
            .map(|attempt| attempt.response.retained_bytes())
            .sum();
        if total <= MAX_RETAINED_BYTES {
            return;
        }
        let mut finished: Vec<(Instant, AttemptId)> = self
            .attempts
            .iter()
            .filter_map(|(id, attempt)| Some((attempt.ended_at?, *id)))
            .collect();
        finished.sort_unstable();
        for (_, id) in finished {
            if total <= MAX_RETAINED_BYTES {
                return;
            }
            if let Some(attempt) = self.attempts.remove(&id) {
                total -= attempt.response.retained_bytes();
            }
        }
    }
}
