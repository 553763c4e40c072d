use std::time::{Duration, Instant, SystemTime};

use ebonylug_core::{AttemptId, Reason, RequestId, RevokeOutcome};
use ebonylug_platform::{Committed, Error, Expect, Row, Transaction};
use smallvec::{SmallVec, smallvec};

use crate::{CallKey, Destination, MAX_BODY_BYTES, Record, RecordState, RequestHash, Response};

/// Delay before a failed call to the store or a target is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// How long a retry waits before it revokes an attempt that its target has not seen. Longer than
/// an attempt takes from the reservation in the store through the entry to the target.
const REVOKE_DELAY: Duration = Duration::from_millis(500);

/// Maximum age of a record for which "not seen" proves that its attempt has not run. Sidecars
/// retain their records of ended attempts for at least 120 s; the difference allows for clock skew
/// between two entries.
const MAX_PROOF_AGE: Duration = Duration::from_secs(60);

/// Maximum number of tries to record an outcome after the response to the caller.
const MAX_RECORD_TRIES: u32 = 5;

/// An operation that the owner of a [`KeyedCall`] performs. The result of each action except
/// `Respond` is returned to the call as an event.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read the row of the key; followed by [`Event::Read`].
    Read,
    /// Apply a transaction; followed by [`Event::Written`].
    Write(Transaction),
    /// Select a target for another attempt; followed by [`Event::TargetSelected`].
    SelectTarget,
    /// Send the request as this attempt; followed by [`Event::Sent`].
    Send((AttemptId, Destination)),
    /// Read the complete response of an attempt from its target; followed by [`Event::Joined`].
    Join((AttemptId, Destination)),
    /// Revoke an attempt at its target; followed by [`Event::Revoked`].
    Revoke((AttemptId, Destination)),
    /// Wait for this time; followed by [`Event::Elapsed`].
    Wait(Duration),
    /// Respond to the caller. Returned once per call; actions that complete the record may follow.
    Respond(CallOutcome),
}

/// The actions to perform next, in order.
pub type Actions = SmallVec<[Action; 2]>;

/// The outcome of a call that is reported to the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum CallOutcome {
    /// The response of the only run.
    Response(Response),
    /// The call was not run on behalf of this caller, and cannot run on its behalf later.
    NotRun(Reason),
    /// It is unknown whether the call was run. It will not be run again.
    Unknown,
    /// The key was used with different content (422). This content was not run.
    Mismatch,
}

/// The outcome of an attempt for the entry that sent it.
#[derive(Clone, Debug, PartialEq)]
pub enum SendOutcome {
    /// The complete response was received.
    Completed(Response),
    /// The sidecar refused: the attempt was not run.
    Refused(Reason),
    /// It is unknown whether the attempt was run, or it ran but its response is incomplete.
    Unknown,
}

/// The state of an attempt of this or another entry, as its target reports it.
#[derive(Clone, Debug, PartialEq)]
pub enum JoinOutcome {
    /// The complete response.
    Completed(Response),
    /// The sidecar has not seen the attempt, or has refused it.
    NotSeen,
    /// The state is unknown: the sidecar has restarted since, or no longer retains the response.
    Unknown,
    /// The sidecar does not respond.
    Unreachable,
}

/// The result of an [`Action`].
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The result of [`Action::Read`]; `None` if there is no row.
    Read(Result<Option<Row>, Error>),
    /// The result of [`Action::Write`].
    Written(Result<Committed, Error>),
    /// The result of [`Action::SelectTarget`]; an error if no target accepts the call in time.
    TargetSelected(Result<Destination, Reason>),
    /// The result of [`Action::Send`].
    Sent(SendOutcome),
    /// The result of [`Action::Join`].
    Joined(JoinOutcome),
    /// The result of [`Action::Revoke`]; `None` if the sidecar does not respond.
    Revoked(Option<RevokeOutcome>),
    /// The time of [`Action::Wait`] has elapsed.
    Elapsed,
}

/// A request with an idempotency key, as received by an entry.
#[derive(Clone, Debug)]
pub struct KeyedRequest {
    /// The organisation and its idempotency key.
    pub key: CallKey,
    /// The hash of the method, path and body.
    pub content: RequestHash,
    /// Unique to this request at this entry, also among retries with the same key.
    pub id: RequestId,
    /// The time by which the caller needs a response.
    pub deadline: Instant,
}

/// The state machine of one call with an idempotency key at one entry.
#[derive(Clone, Debug)]
pub struct KeyedCall {
    request: KeyedRequest,
    /// The start of the call on both clocks, from which the times in the record are computed.
    started: (Instant, SystemTime),
    /// Number of writes so far, which makes the tokens unique.
    writes: u32,
    /// The version of the row and the record, as this entry last read or wrote them.
    known: Option<(u64, Record)>,
    pending: Option<PendingWrite>,
    /// The action to perform after a wait.
    after_wait: Option<Action>,
    /// Whether the wait of [`REVOKE_DELAY`] has been started for the current attempt, so that it
    /// may be revoked if its target still has not seen it.
    delay_started: bool,
    responded: bool,
}

/// A write whose result is pending.
#[derive(Clone, Debug)]
struct PendingWrite {
    record: Record,
    expect: Expect,
    purpose: WritePurpose,
    /// A response was lost: the write may have been applied, or may still be applied.
    maybe_applied: bool,
    tries: u32,
}

#[derive(Clone, Debug, PartialEq)]
enum WritePurpose {
    /// The attempt is sent after the write.
    Reserve,
    /// The caller gets this outcome after the write.
    Respond(CallOutcome),
    /// The caller has its response; the write only completes the record.
    Complete,
}

impl KeyedCall {
    /// Starts a call for which the entry has selected a target. `wall` is the wall-clock time at
    /// `now`, from which the times in the record are computed.
    #[must_use]
    pub fn start(
        request: KeyedRequest,
        destination: Destination,
        now: Instant,
        wall: SystemTime,
    ) -> (Self, Actions) {
        let mut call = KeyedCall {
            request,
            started: (now, wall),
            writes: 0,
            known: None,
            pending: None,
            after_wait: None,
            delay_started: false,
            responded: false,
        };
        let actions = call.reserve(now, destination);
        (call, actions)
    }

    /// Returns the key of the call's record.
    #[must_use]
    pub fn key(&self) -> &CallKey {
        &self.request.key
    }

    /// Handles the result of the previous action and returns the next actions. The call has ended
    /// if there are none.
    pub fn handle(&mut self, now: Instant, event: Event) -> Actions {
        match event {
            Event::Written(Ok(committed)) => self.write_applied(committed.version),
            Event::Written(Err(error)) => self.handle_write_error(now, &error),
            Event::Read(Ok(row)) => self.handle_read(now, row.as_ref()),
            Event::Read(Err(_)) => self.handle_read_error(now),
            Event::TargetSelected(Ok(destination)) => self.reserve(now, destination),
            Event::TargetSelected(Err(reason)) => self.selection_failed(now, reason),
            Event::Sent(sent) => self.handle_sent(now, sent),
            Event::Joined(joined) => self.handle_joined(now, joined),
            Event::Revoked(revoked) => self.handle_revoked(now, revoked),
            Event::Elapsed => self.after_wait.take().into_iter().collect(),
        }
    }

    fn reserve(&mut self, now: Instant, destination: Destination) -> Actions {
        let attempt = match &self.known {
            Some((_, record)) => AttemptId {
                request: record.attempt.request,
                number: record.attempt.number + 1,
            },
            None => AttemptId {
                request: self.request.id,
                number: 0,
            },
        };
        self.write(
            now,
            attempt,
            destination,
            RecordState::Reserved,
            WritePurpose::Reserve,
        )
    }

    /// Writes the known record with another state.
    fn set_state(&mut self, now: Instant, state: RecordState, purpose: WritePurpose) -> Actions {
        let (_, record) = self.known.as_ref().expect("an attempt has a record");
        let (attempt, destination) = (record.attempt, record.destination.clone());
        self.write(now, attempt, destination, state, purpose)
    }

    fn write(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        destination: Destination,
        state: RecordState,
        purpose: WritePurpose,
    ) -> Actions {
        let token = format!("{}-{}", self.request.id, self.writes);
        self.writes += 1;
        let version = self.known.as_ref().map(|(version, _)| *version);
        let changed = self.wall_ms(now);
        let created = self
            .known
            .as_ref()
            .map_or(changed, |(_, record)| record.created);
        self.pending = Some(PendingWrite {
            record: Record {
                content: self.request.content,
                attempt,
                destination,
                state,
                token: token.into(),
                created,
                changed,
            },
            expect: version.map_or(Expect::Absent, Expect::Version),
            purpose,
            maybe_applied: false,
            tries: 0,
        });
        smallvec![self.write_action()]
    }

    fn write_action(&self) -> Action {
        let pending = self.pending.as_ref().expect("a write is pending");
        let key = self.request.key.as_str();
        let transaction = Transaction::new().expect(key, pending.expect);
        Action::Write(transaction.put(key, &pending.record.to_json()))
    }

    /// Continues after the pending write has been applied.
    fn write_applied(&mut self, version: u64) -> Actions {
        let pending = self.pending.take().expect("a write is pending");
        let attempt = (pending.record.attempt, pending.record.destination.clone());
        self.known = Some((version, pending.record));
        self.delay_started = false;
        match pending.purpose {
            WritePurpose::Reserve => smallvec![Action::Send(attempt)],
            WritePurpose::Respond(outcome) => self.respond(outcome),
            WritePurpose::Complete => Actions::new(),
        }
    }

    fn handle_write_error(&mut self, now: Instant, error: &Error) -> Actions {
        let pending = self.pending.as_mut().expect("a write is pending");
        pending.tries += 1;
        match error {
            // Another write has changed the row, or this one has and its response was lost.
            Error::Conflict { .. } => return smallvec![Action::Read],
            Error::Unavailable | Error::Throttled => {}
            _ => pending.maybe_applied = true,
        }
        let (maybe_applied, tries) = (pending.maybe_applied, pending.tries);
        let retry = self.write_action();
        match &self.pending.as_ref().expect("a write is pending").purpose {
            WritePurpose::Reserve if now + RETRY_DELAY < self.request.deadline => {
                self.wait(RETRY_DELAY, retry)
            }
            // Another entry can take over a reservation that may have been stored.
            WritePurpose::Reserve if maybe_applied => self.respond(CallOutcome::Unknown),
            WritePurpose::Reserve => self.respond(CallOutcome::NotRun(Reason::Store)),
            WritePurpose::Respond(outcome) => {
                let outcome = outcome.clone();
                self.respond_and_retry(outcome, retry)
            }
            WritePurpose::Complete if tries < MAX_RECORD_TRIES => self.wait(RETRY_DELAY, retry),
            WritePurpose::Complete => Actions::new(),
        }
    }

    /// Responds to the caller and continues to retry the write of the outcome.
    fn respond_and_retry(&mut self, outcome: CallOutcome, write: Action) -> Actions {
        let pending = self.pending.as_mut().expect("a write is pending");
        pending.purpose = WritePurpose::Complete;
        let mut actions = self.respond(outcome);
        actions.extend(self.wait(RETRY_DELAY, write));
        actions
    }

    fn handle_read(&mut self, now: Instant, row: Option<&Row>) -> Actions {
        let parse = |row: &Row| Some((row.version, serde_json::from_str(&row.value).ok()?));
        let current: Option<(u64, Record)> = row.and_then(parse);
        if row.is_some() && current.is_none() {
            tracing::error!(
                "idempotency: row {} is not a valid record",
                self.request.key.as_str()
            );
            return self.respond(CallOutcome::Unknown);
        }
        let pending = self.pending.take();
        let is_own = |record: &Record| {
            pending
                .as_ref()
                .is_some_and(|p| p.record.token == record.token)
        };
        if let Some((version, record)) = &current
            && is_own(record)
        {
            let version = *version;
            self.pending = pending;
            return self.write_applied(version);
        }
        let attempt = |known: &Option<(u64, Record)>| known.as_ref().map(|(_, r)| r.attempt);
        if attempt(&self.known) != attempt(&current) {
            self.delay_started = false;
        }
        self.known = current;
        match pending {
            Some(pending) if pending.purpose == WritePurpose::Complete => {
                self.retry_completion(now, pending)
            }
            _ => self.act_on_record(),
        }
    }

    /// Writes the outcome again after another entry has changed the row. A complete response
    /// replaces the state that the other entry recorded, if both concern the same attempt.
    fn retry_completion(&mut self, now: Instant, superseded: PendingWrite) -> Actions {
        let completed = matches!(superseded.record.state, RecordState::Done(_));
        let record = self.known.as_ref().map(|(_, record)| record);
        let incomplete = record.is_some_and(|record| {
            record.attempt == superseded.record.attempt
                && !matches!(record.state, RecordState::Done(_))
        });
        if completed && incomplete && superseded.tries < MAX_RECORD_TRIES {
            let actions = self.set_state(now, superseded.record.state, WritePurpose::Complete);
            let pending = self.pending.as_mut().expect("a write is pending");
            pending.tries = superseded.tries;
            return actions;
        }
        Actions::new()
    }

    /// Returns the action that the state of the known record requires.
    fn act_on_record(&mut self) -> Actions {
        let Some((_, record)) = &self.known else {
            return smallvec![Action::SelectTarget];
        };
        if record.content != self.request.content {
            return self.respond(CallOutcome::Mismatch);
        }
        let attempt = (record.attempt, record.destination.clone());
        match &record.state {
            RecordState::Done(Some(response)) => {
                let response = response.clone();
                self.respond(CallOutcome::Response(response))
            }
            RecordState::Reserved | RecordState::Done(None) => smallvec![Action::Join(attempt)],
            RecordState::NotRun => smallvec![Action::SelectTarget],
            RecordState::Unknown => self.respond(CallOutcome::Unknown),
        }
    }

    /// Retries the read or reports the outcome as unknown. Since the row exists or a response was
    /// lost, the call cannot be reported as not run.
    fn handle_read_error(&mut self, now: Instant) -> Actions {
        if !self.responded && now + RETRY_DELAY < self.request.deadline {
            return self.wait(RETRY_DELAY, Action::Read);
        }
        self.respond(CallOutcome::Unknown)
    }

    /// Reports the call as not run, because no target accepts another attempt.
    fn selection_failed(&mut self, now: Instant, reason: Reason) -> Actions {
        let outcome = CallOutcome::NotRun(reason);
        match &self.known {
            Some((_, record)) if record.state == RecordState::Reserved => {
                self.set_state(now, RecordState::NotRun, WritePurpose::Respond(outcome))
            }
            _ => self.respond(outcome),
        }
    }

    fn handle_sent(&mut self, now: Instant, sent: SendOutcome) -> Actions {
        match sent {
            SendOutcome::Completed(response) => self.handle_completed(now, response),
            SendOutcome::Refused(_) => smallvec![Action::SelectTarget],
            SendOutcome::Unknown => self.set_state(
                now,
                RecordState::Unknown,
                WritePurpose::Respond(CallOutcome::Unknown),
            ),
        }
    }

    fn handle_completed(&mut self, now: Instant, response: Response) -> Actions {
        let stored =
            Some(response.clone()).filter(|response| response.body.len() <= MAX_BODY_BYTES);
        let mut actions = self.respond(CallOutcome::Response(response));
        actions.extend(self.set_state(now, RecordState::Done(stored), WritePurpose::Complete));
        actions
    }

    fn handle_joined(&mut self, now: Instant, joined: JoinOutcome) -> Actions {
        let (_, record) = self.known.as_ref().expect("a joined attempt has a record");
        let attempt = (record.attempt, record.destination.clone());
        let ran = matches!(record.state, RecordState::Done(_));
        match joined {
            JoinOutcome::Completed(response) if ran => {
                self.respond(CallOutcome::Response(response))
            }
            JoinOutcome::Completed(response) => self.handle_completed(now, response),
            // It ran, but its response is no longer available.
            JoinOutcome::NotSeen | JoinOutcome::Unknown if ran => {
                self.respond(CallOutcome::Unknown)
            }
            // The sidecar may have run the attempt and evicted its record since.
            JoinOutcome::NotSeen if self.is_expired(now) => self.set_state(
                now,
                RecordState::Unknown,
                WritePurpose::Respond(CallOutcome::Unknown),
            ),
            JoinOutcome::NotSeen if self.delay_started => smallvec![Action::Revoke(attempt)],
            JoinOutcome::NotSeen => {
                self.delay_started = true;
                self.wait(REVOKE_DELAY, Action::Join(attempt))
            }
            JoinOutcome::Unknown => smallvec![Action::Revoke(attempt)],
            JoinOutcome::Unreachable if now + RETRY_DELAY < self.request.deadline => {
                self.wait(RETRY_DELAY, Action::Read)
            }
            // Nothing is recorded, since the first entry may still reach the target.
            JoinOutcome::Unreachable => self.respond(CallOutcome::Unknown),
        }
    }

    fn handle_revoked(&mut self, now: Instant, revoked: Option<RevokeOutcome>) -> Actions {
        let (_, record) = self.known.as_ref().expect("a revoked attempt has a record");
        let attempt = (record.attempt, record.destination.clone());
        match revoked {
            Some(RevokeOutcome::NotRun) if self.is_expired(now) => self.set_state(
                now,
                RecordState::Unknown,
                WritePurpose::Respond(CallOutcome::Unknown),
            ),
            Some(RevokeOutcome::NotRun) => smallvec![Action::SelectTarget],
            Some(RevokeOutcome::Running | RevokeOutcome::Finished)
                if now < self.request.deadline =>
            {
                self.wait(RETRY_DELAY, Action::Join(attempt))
            }
            None if now + RETRY_DELAY < self.request.deadline => {
                self.wait(RETRY_DELAY, Action::Read)
            }
            Some(RevokeOutcome::Unknown) => self.set_state(
                now,
                RecordState::Unknown,
                WritePurpose::Respond(CallOutcome::Unknown),
            ),
            Some(RevokeOutcome::Running | RevokeOutcome::Finished) | None => {
                self.respond(CallOutcome::Unknown)
            }
        }
    }

    /// Reports whether the record is so old that the target's sidecar may have evicted its own
    /// record of the attempt.
    fn is_expired(&self, now: Instant) -> bool {
        let changed = self.known.as_ref().map_or(0, |(_, record)| record.changed);
        let age = self.wall_ms(now).saturating_sub(changed);
        Duration::from_millis(age) > MAX_PROOF_AGE
    }

    fn wall_ms(&self, now: Instant) -> u64 {
        let (started, wall) = self.started;
        let since = (wall + (now - started)).duration_since(SystemTime::UNIX_EPOCH);
        u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
    }

    fn wait(&mut self, duration: Duration, then: Action) -> Actions {
        self.after_wait = Some(then);
        smallvec![Action::Wait(duration)]
    }

    fn respond(&mut self, outcome: CallOutcome) -> Actions {
        if self.responded {
            return Actions::new();
        }
        self.responded = true;
        smallvec![Action::Respond(outcome)]
    }
}
