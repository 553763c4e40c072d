use std::time::{Duration, Instant, SystemTime};

use ebonylug_core::{AttemptId, Reason, RequestId, Revoked};
use ebonylug_platform::{Committed, Error, Expect, Row, Transaction};
use smallvec::{SmallVec, smallvec};

use crate::{CallKey, Destination, MAX_BODY_BYTES, Record, RecordState, RequestHash, Response};

/// Wait before a call to the store or a target is repeated.
const RETRY: Duration = Duration::from_millis(100);

/// How long a repeat waits for an attempt that its target has not seen, before it revokes it.
/// Longer than the way from the store through the entry to the target.
const GRACE: Duration = Duration::from_millis(500);

/// Age of a record after which "not seen" proves nothing. Sidecars remember ended attempts for at
/// least 120 s; the rest is for the wall clocks of two entries to differ.
const HORIZON: Duration = Duration::from_secs(60);

/// Tries to record an outcome that the caller has been told already.
const RECORD_TRIES: u32 = 5;

/// What the owner of a [`KeyedCall`] is to do. Each action but `Finish` is answered by an event.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read the row of the key; answered by [`Event::Read`].
    Read,
    /// Apply a transaction; answered by [`Event::Written`].
    Write(Transaction),
    /// Choose a place for another attempt; answered by [`Event::TargetSelected`].
    SelectTarget,
    /// Send the request as this attempt; answered by [`Event::Sent`].
    Send((AttemptId, Destination)),
    /// Read the whole answer of an attempt at its target; answered by [`Event::Joined`].
    Join((AttemptId, Destination)),
    /// Revoke an attempt at its target; answered by [`Event::Revoked`].
    Revoke((AttemptId, Destination)),
    /// Wait; answered by [`Event::Elapsed`].
    Wait(Duration),
    /// Respond to the caller. Happens once; actions may follow to complete the record.
    Respond(CallOutcome),
}

/// The next actions.
pub type Actions = SmallVec<[Action; 2]>;

/// What the caller is told.
#[derive(Clone, Debug, PartialEq)]
pub enum CallOutcome {
    /// The answer of the one run.
    Response(Response),
    /// The call was not run on behalf of this caller, and nothing is left that could run it.
    NotRun(Reason),
    /// It is unknown whether the call was run. It will not be run again.
    Unknown,
    /// The key was used with other content (422). This content was not run.
    Mismatch,
}

/// How an attempt ended for the entry that sent it.
#[derive(Clone, Debug, PartialEq)]
pub enum SendOutcome {
    /// The whole answer arrived.
    Completed(Response),
    /// The sidecar refused: the attempt was not run.
    Refused(Reason),
    /// It is unknown whether the attempt was run, or it ran without a whole answer.
    Unknown,
}

/// What a target tells about an attempt of another entry.
#[derive(Clone, Debug, PartialEq)]
pub enum JoinOutcome {
    /// The whole answer.
    Completed(Response),
    /// The sidecar has not seen the attempt, or has refused it.
    NotSeen,
    /// The sidecar cannot tell: it has restarted since, or the answer is not retained any more.
    Unknown,
    /// The sidecar does not answer.
    Unreachable,
}

/// What has happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// After [`Action::Read`].
    Read(Result<Option<Row>, Error>),
    /// After [`Action::Write`].
    Written(Result<Committed, Error>),
    /// After [`Action::SelectTarget`]; an error if no target takes the call in time.
    TargetSelected(Result<Destination, Reason>),
    /// After [`Action::Send`].
    Sent(SendOutcome),
    /// After [`Action::Join`].
    Joined(JoinOutcome),
    /// After [`Action::Revoke`]; `None` if the sidecar does not answer.
    Revoked(Option<Revoked>),
    /// After [`Action::Wait`].
    Elapsed,
}

/// A request with an idempotency key, as it arrived at an entry.
#[derive(Clone, Debug)]
pub struct KeyedRequest {
    /// Organisation and idempotency key.
    pub key: CallKey,
    /// What the request is.
    pub content: RequestHash,
    /// Unique to this request at this entry, also among repeats with the same key.
    pub id: RequestId,
    /// When the caller must have been answered.
    pub deadline: Instant,
}

/// One call with an idempotency key at one entry.
#[derive(Clone, Debug)]
pub struct KeyedCall {
    request: KeyedRequest,
    /// The same moment on both clocks, to state times in the record.
    began: (Instant, SystemTime),
    /// Number of the latest write, for tokens.
    writes: u32,
    /// The record as this entry knows it, with the version of its row.
    known: Option<(u64, Record)>,
    pending: Option<Pending>,
    /// What to do after a wait.
    resume: Option<Action>,
    /// Whether the grace for an attempt that its target has not seen is over.
    graced: bool,
    finished: bool,
}

/// A write whose effect is not known yet.
#[derive(Clone, Debug)]
struct Pending {
    record: Record,
    expect: Expect,
    purpose: Purpose,
    /// A reply was lost: the write may have been applied, or may still be.
    unsure: bool,
    tries: u32,
}

#[derive(Clone, Debug, PartialEq)]
enum Purpose {
    /// To send the attempt afterwards.
    Reserve,
    /// To tell the caller afterwards.
    Settle(CallOutcome),
    /// The caller has been told.
    Complete,
}

impl KeyedCall {
    /// Starts a call for which the entry has chosen a place. `wall` is stated in the record.
    #[must_use]
    pub fn start(
        request: KeyedRequest,
        destination: Destination,
        now: Instant,
        wall: SystemTime,
    ) -> (Self, Actions) {
        let mut call = KeyedCall {
            request,
            began: (now, wall),
            writes: 0,
            known: None,
            pending: None,
            resume: None,
            graced: false,
            finished: false,
        };
        let actions = call.reserve(now, destination);
        (call, actions)
    }

    /// Returns the key.
    #[must_use]
    pub fn key(&self) -> &CallKey {
        &self.request.key
    }

    /// Takes an event and returns what to do next. Without actions, the call has ended.
    pub fn handle(&mut self, now: Instant, event: Event) -> Actions {
        match event {
            Event::Written(Ok(committed)) => self.won(committed.version),
            Event::Written(Err(error)) => self.write_failed(now, &error),
            Event::Read(Ok(row)) => self.read(now, row.as_ref()),
            Event::Read(Err(_)) => self.read_failed(now),
            Event::TargetSelected(Ok(destination)) => self.reserve(now, destination),
            Event::TargetSelected(Err(reason)) => self.give_up(now, reason),
            Event::Sent(sent) => self.sent(now, sent),
            Event::Joined(joined) => self.joined(now, joined),
            Event::Revoked(revoked) => self.revoked(now, revoked),
            Event::Elapsed => self.resume.take().into_iter().collect(),
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
            Purpose::Reserve,
        )
    }

    /// Changes the state of the known record.
    fn record(&mut self, now: Instant, state: RecordState, purpose: Purpose) -> Actions {
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
        purpose: Purpose,
    ) -> Actions {
        let token = format!("{}-{}", self.request.id, self.writes);
        self.writes += 1;
        let version = self.known.as_ref().map(|(version, _)| *version);
        let changed = self.wall_millis(now);
        let created = self
            .known
            .as_ref()
            .map_or(changed, |(_, record)| record.created);
        self.pending = Some(Pending {
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
            unsure: false,
            tries: 0,
        });
        smallvec![self.transaction()]
    }

    fn transaction(&self) -> Action {
        let pending = self.pending.as_ref().expect("a write is pending");
        let key = self.request.key.as_str();
        let transaction = Transaction::new().expect(key, pending.expect);
        Action::Write(transaction.put(key, &pending.record.to_text()))
    }

    /// The pending write is in force.
    fn won(&mut self, version: u64) -> Actions {
        let pending = self.pending.take().expect("a write is pending");
        let attempt = (pending.record.attempt, pending.record.destination.clone());
        self.known = Some((version, pending.record));
        self.graced = false;
        match pending.purpose {
            Purpose::Reserve => smallvec![Action::Send(attempt)],
            Purpose::Settle(verdict) => self.finish(verdict),
            Purpose::Complete => Actions::new(),
        }
    }

    fn write_failed(&mut self, now: Instant, error: &Error) -> Actions {
        let pending = self.pending.as_mut().expect("a write is pending");
        pending.tries += 1;
        match error {
            // Another write has changed the row, or this one has and its reply was lost.
            Error::Conflict { .. } => return smallvec![Action::Read],
            Error::Unavailable | Error::Throttled => {}
            _ => pending.unsure = true,
        }
        let (unsure, tries) = (pending.unsure, pending.tries);
        let again = self.transaction();
        match &self.pending.as_ref().expect("a write is pending").purpose {
            Purpose::Reserve if now + RETRY < self.request.deadline => self.wait(RETRY, again),
            // A reservation that may be in the table can be taken over by another entry.
            Purpose::Reserve if unsure => self.finish(CallOutcome::Unknown),
            Purpose::Reserve => self.finish(CallOutcome::NotRun(Reason::Store)),
            Purpose::Settle(verdict) => {
                let verdict = verdict.clone();
                self.complete_later(verdict, again)
            }
            Purpose::Complete if tries < RECORD_TRIES => self.wait(RETRY, again),
            Purpose::Complete => Actions::new(),
        }
    }

    /// Tells the caller and goes on trying to record the outcome.
    fn complete_later(&mut self, verdict: CallOutcome, write: Action) -> Actions {
        let pending = self.pending.as_mut().expect("a write is pending");
        pending.purpose = Purpose::Complete;
        let mut actions = self.finish(verdict);
        actions.extend(self.wait(RETRY, write));
        actions
    }

    fn read(&mut self, now: Instant, row: Option<&Row>) -> Actions {
        let parse = |row: &Row| Some((row.version, serde_json::from_str(&row.value).ok()?));
        let present: Option<(u64, Record)> = row.and_then(parse);
        if row.is_some() && present.is_none() {
            tracing::error!(
                "idempotency: row {} is not valid",
                self.request.key.as_str()
            );
            return self.finish(CallOutcome::Unknown);
        }
        let pending = self.pending.take();
        let own = |record: &Record| {
            pending
                .as_ref()
                .is_some_and(|p| p.record.token == record.token)
        };
        if let Some((version, record)) = &present
            && own(record)
        {
            let version = *version;
            self.pending = pending;
            return self.won(version);
        }
        let attempt = |known: &Option<(u64, Record)>| known.as_ref().map(|(_, r)| r.attempt);
        if attempt(&self.known) != attempt(&present) {
            self.graced = false;
        }
        self.known = present;
        match pending {
            Some(pending) if pending.purpose == Purpose::Complete => self.complete(now, pending),
            _ => self.follow(),
        }
    }

    /// Another entry has changed the row before the outcome was recorded. A whole answer is
    /// better than what the other entry knew, if it is about the same attempt.
    fn complete(&mut self, now: Instant, lost: Pending) -> Actions {
        let answered = matches!(lost.record.state, RecordState::Done(_));
        let record = self.known.as_ref().map(|(_, record)| record);
        let worse = record.is_some_and(|record| {
            record.attempt == lost.record.attempt && !matches!(record.state, RecordState::Done(_))
        });
        if answered && worse && lost.tries < RECORD_TRIES {
            let actions = self.record(now, lost.record.state, Purpose::Complete);
            let pending = self.pending.as_mut().expect("a write is pending");
            pending.tries = lost.tries;
            return actions;
        }
        Actions::new()
    }

    /// Does what the record in the table says.
    fn follow(&mut self) -> Actions {
        let Some((_, record)) = &self.known else {
            return smallvec![Action::SelectTarget];
        };
        if record.content != self.request.content {
            return self.finish(CallOutcome::Mismatch);
        }
        let attempt = (record.attempt, record.destination.clone());
        match &record.state {
            RecordState::Done(Some(answer)) => {
                let answer = answer.clone();
                self.finish(CallOutcome::Response(answer))
            }
            RecordState::Reserved | RecordState::Done(None) => smallvec![Action::Join(attempt)],
            RecordState::NotRun => smallvec![Action::SelectTarget],
            RecordState::Unknown => self.finish(CallOutcome::Unknown),
        }
    }

    /// The row exists or a reply was lost, so that the call cannot be said not to have run.
    fn read_failed(&mut self, now: Instant) -> Actions {
        if !self.finished && now + RETRY < self.request.deadline {
            return self.wait(RETRY, Action::Read);
        }
        self.finish(CallOutcome::Unknown)
    }

    /// No target takes another attempt.
    fn give_up(&mut self, now: Instant, reason: Reason) -> Actions {
        let verdict = CallOutcome::NotRun(reason);
        match &self.known {
            Some((_, record)) if record.state == RecordState::Reserved => {
                self.record(now, RecordState::NotRun, Purpose::Settle(verdict))
            }
            _ => self.finish(verdict),
        }
    }

    fn sent(&mut self, now: Instant, sent: SendOutcome) -> Actions {
        match sent {
            SendOutcome::Completed(answer) => self.answered(now, answer),
            SendOutcome::Refused(_) => smallvec![Action::SelectTarget],
            SendOutcome::Unknown => self.record(
                now,
                RecordState::Unknown,
                Purpose::Settle(CallOutcome::Unknown),
            ),
        }
    }

    fn answered(&mut self, now: Instant, answer: Response) -> Actions {
        let kept = Some(answer.clone()).filter(|answer| answer.body.len() <= MAX_BODY_BYTES);
        let mut actions = self.finish(CallOutcome::Response(answer));
        actions.extend(self.record(now, RecordState::Done(kept), Purpose::Complete));
        actions
    }

    fn joined(&mut self, now: Instant, joined: JoinOutcome) -> Actions {
        let (_, record) = self.known.as_ref().expect("a joined attempt has a record");
        let attempt = (record.attempt, record.destination.clone());
        let ran = matches!(record.state, RecordState::Done(_));
        match joined {
            JoinOutcome::Completed(answer) if ran => self.finish(CallOutcome::Response(answer)),
            JoinOutcome::Completed(answer) => self.answered(now, answer),
            // It ran, but its answer is nowhere any more.
            JoinOutcome::NotSeen | JoinOutcome::Unknown if ran => self.finish(CallOutcome::Unknown),
            // The sidecar may have forgotten that it ran.
            JoinOutcome::NotSeen if self.is_old(now) => self.record(
                now,
                RecordState::Unknown,
                Purpose::Settle(CallOutcome::Unknown),
            ),
            JoinOutcome::NotSeen if self.graced => smallvec![Action::Revoke(attempt)],
            JoinOutcome::NotSeen => {
                self.graced = true;
                self.wait(GRACE, Action::Join(attempt))
            }
            JoinOutcome::Unknown => smallvec![Action::Revoke(attempt)],
            JoinOutcome::Unreachable if now + RETRY < self.request.deadline => {
                self.wait(RETRY, Action::Read)
            }
            // The first entry may still reach the target, so that nothing is recorded.
            JoinOutcome::Unreachable => self.finish(CallOutcome::Unknown),
        }
    }

    fn revoked(&mut self, now: Instant, revoked: Option<Revoked>) -> Actions {
        let (_, record) = self.known.as_ref().expect("a revoked attempt has a record");
        let attempt = (record.attempt, record.destination.clone());
        match revoked {
            Some(Revoked::NotRun) if self.is_old(now) => self.record(
                now,
                RecordState::Unknown,
                Purpose::Settle(CallOutcome::Unknown),
            ),
            Some(Revoked::NotRun) => smallvec![Action::SelectTarget],
            Some(Revoked::Running | Revoked::Finished) if now < self.request.deadline => {
                self.wait(RETRY, Action::Join(attempt))
            }
            None if now + RETRY < self.request.deadline => self.wait(RETRY, Action::Read),
            Some(Revoked::Unknown) => self.record(
                now,
                RecordState::Unknown,
                Purpose::Settle(CallOutcome::Unknown),
            ),
            Some(Revoked::Running | Revoked::Finished) | None => self.finish(CallOutcome::Unknown),
        }
    }

    /// Reports whether the target's sidecar may have forgotten the attempt of the record.
    fn is_old(&self, now: Instant) -> bool {
        let changed = self.known.as_ref().map_or(0, |(_, record)| record.changed);
        let age = self.wall_millis(now).saturating_sub(changed);
        Duration::from_millis(age) > HORIZON
    }

    fn wall_millis(&self, now: Instant) -> u64 {
        let (began, wall) = self.began;
        let since = (wall + (now - began)).duration_since(SystemTime::UNIX_EPOCH);
        u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
    }

    fn wait(&mut self, length: Duration, then: Action) -> Actions {
        self.resume = Some(then);
        smallvec![Action::Wait(length)]
    }

    fn finish(&mut self, verdict: CallOutcome) -> Actions {
        if self.finished {
            return Actions::new();
        }
        self.finished = true;
        smallvec![Action::Respond(verdict)]
    }
}
