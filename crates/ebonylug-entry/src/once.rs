//! Calls that may not be repeated: recorded in the table before they are sent.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::mpsc;

use ebonylug_core::{AttemptId, Name, Offer, Outcome, Reason, Refusal, Revoked};
use ebonylug_idempotency::{
    Answer, CallKey, Joined, KeyedCall, KeyedRequest, Place, Record, RequestHash, Sent, State,
    Transport, Verdict, drive,
};
use ebonylug_net::frame::Head;
use ebonylug_platform::Table;
use ebonylug_routing::Request;

use crate::Shared;
use crate::attempt::{Call, Fetched, Peer};
use crate::sink::{Part, Sink};

/// Time for a call without a deadline of its own.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// What the router has decided about a call.
#[derive(Debug)]
pub enum Turn {
    /// It may be sent to a target.
    Place(Box<Placed>),
    /// It is not to be sent.
    Refused(Refusal),
}

/// A target that the router has chosen for a call.
#[derive(Clone)]
pub struct Placed {
    /// The router's attempt, whose outcome it waits for.
    pub attempt: AttemptId,
    /// What to tell the sidecar.
    pub offer: Offer,
    /// The sidecar.
    pub peer: Arc<Peer>,
    /// The target.
    pub target: Name,
}

impl std::fmt::Debug for Placed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Placed({} at {})", self.attempt, self.target)
    }
}

/// A call that may not be repeated.
pub struct Once {
    /// What the router needs to know about it.
    pub queued: Request,
    /// The organisation and its idempotency key.
    pub key: CallKey,
    /// The call, as it is passed to the target.
    pub call: Arc<Call>,
    /// Where the answer goes.
    pub parts: mpsc::Sender<Part>,
}

/// Carries out a call to its end, also when its caller hangs up: the record is completed then.
pub async fn run(shared: Arc<Shared>, once: Once) {
    let content = once.content();
    // A repeat of a call that has ended needs no target.
    if let Some(verdict) = recorded(&shared, &once.key, content).await {
        return answer(&once.parts, verdict).await;
    }
    let turns = match shared.dispatcher.enqueue_once(once.queued.clone()) {
        Ok(turns) => turns,
        Err(refusal) => return refuse(&shared, &once, refusal).await,
    };
    let mut turns = turns;
    match turns.recv().await {
        Some(Turn::Place(first)) => carry(&shared, once, content, *first, turns).await,
        Some(Turn::Refused(refusal)) => refuse(&shared, &once, refusal).await,
        None => refuse(&shared, &once, Refusal::new(Reason::NoTarget)).await,
    }
}

/// Returns what the record says of a call that has ended. Without an answer of the table, the call
/// goes its usual way, which does not send it without a record.
async fn recorded(shared: &Shared, key: &CallKey, content: RequestHash) -> Option<Verdict> {
    let row = shared.platform.get(key.as_str()).await.ok()??;
    let record: Record = serde_json::from_str(&row.value).ok()?;
    if record.content != content {
        return Some(Verdict::Mismatch);
    }
    match record.state {
        State::Done(Some(answer)) => Some(Verdict::Answer(answer)),
        State::Unknown => Some(Verdict::Unknown),
        State::Reserved | State::Done(None) | State::NotRun => None,
    }
}

/// Answers a call for which the router has no target. It was not sent, but an earlier request with
/// the same key may have been.
async fn refuse(shared: &Shared, once: &Once, refusal: Refusal) {
    let verdict = match recorded(shared, &once.key, once.content()).await {
        Some(verdict) => verdict,
        None if is_open(shared, &once.key).await => Verdict::Unknown,
        None => Verdict::NotRun(refusal.reason),
    };
    answer(&once.parts, verdict).await;
}

/// Reports whether an attempt of an earlier request with the same key may run or have run.
async fn is_open(shared: &Shared, key: &CallKey) -> bool {
    let row = shared.platform.get(key.as_str()).await.ok().flatten();
    let record = row.and_then(|row| serde_json::from_str::<Record>(&row.value).ok());
    record.is_some_and(|record| !matches!(record.state, State::NotRun))
}

async fn carry(
    shared: &Arc<Shared>,
    once: Once,
    content: RequestHash,
    first: Placed,
    turns: mpsc::Receiver<Turn>,
) {
    let (now, wall) = (shared.clock.now(), shared.clock.wall());
    let request = KeyedRequest {
        key: once.key,
        content,
        id: once.queued.id,
        deadline: once.queued.deadline.unwrap_or(now + DEFAULT_DEADLINE),
    };
    let (keyed, actions) = KeyedCall::start(request, place(&first), now, wall);
    let transport = Carrier {
        shared: Arc::clone(shared),
        call: once.call,
        turns: tokio::sync::Mutex::new(turns),
        placed: Mutex::new(Some(first)),
        refused: Mutex::new(None),
    };
    let (sender, verdict) = tokio::sync::oneshot::channel();
    let clock = Arc::clone(&shared.clock);
    let driven = drive(
        keyed,
        actions,
        &shared.platform,
        &transport,
        &*clock,
        |verdict| {
            // The receiver lives until the verdict is known.
            let _ = sender.send(verdict);
        },
    );
    let told = async {
        let verdict = verdict.await.unwrap_or(Verdict::Unknown);
        transport.settle(&verdict);
        answer(&once.parts, verdict).await;
    };
    tokio::join!(driven, told);
}

impl Once {
    fn content(&self) -> RequestHash {
        let call = &self.call;
        RequestHash::of(call.method.as_str(), &call.path, &call.body)
    }
}

fn place(placed: &Placed) -> Place {
    Place {
        target: placed.target.clone(),
        incarnation: placed.offer.incarnation,
    }
}

async fn answer(parts: &mpsc::Sender<Part>, verdict: Verdict) {
    let last = match verdict {
        Verdict::Answer(answer) => {
            let head = Head {
                status: answer.status,
                headers: answer.headers,
            };
            // A caller that has hung up gets the answer from the record when it asks again.
            let _ = parts.send(Part::Head(head)).await;
            let _ = parts.send(Part::Data(answer.body)).await;
            Part::End
        }
        Verdict::NotRun(reason) => Part::Refused(Refusal::new(reason)),
        Verdict::Unknown => Part::Unknown,
        Verdict::Mismatch => Part::Mismatch,
    };
    let _ = parts.send(last).await;
}

/// Reaches sidecars on behalf of one call.
struct Carrier {
    shared: Arc<Shared>,
    call: Arc<Call>,
    turns: tokio::sync::Mutex<mpsc::Receiver<Turn>>,
    /// The router's present choice, until its outcome is reported.
    placed: Mutex<Option<Placed>>,
    /// What the sidecar of the present choice answered when it refused.
    refused: Mutex<Option<Outcome>>,
}

impl Carrier {
    /// Reports the outcome of the present choice to the router.
    fn report(&self, outcome: Outcome) {
        let placed = self.placed.lock().expect("carrier lock poisoned").take();
        if let Some(placed) = placed {
            self.shared.dispatcher.settle(placed.attempt, outcome);
        }
    }

    fn settle(&self, verdict: &Verdict) {
        let refused = self.refused.lock().expect("carrier lock poisoned").take();
        let outcome = match (verdict, refused) {
            (Verdict::Answer(_), _) => Outcome::Answered,
            (_, Some(refused)) => refused,
            (Verdict::Unknown, None) => Outcome::Unknown,
            (Verdict::NotRun(_) | Verdict::Mismatch, None) => Outcome::Failed,
        };
        self.report(outcome);
    }

    fn peer(&self, place: &Place) -> Option<Arc<Peer>> {
        self.shared.fleet.peer(&place.target)
    }
}

impl Transport for Carrier {
    async fn choose(&self) -> Result<Place, Reason> {
        let refused = self.refused.lock().expect("carrier lock poisoned").take();
        let revoked = Outcome::Refused(Refusal::new(Reason::Revoked), None);
        self.report(refused.unwrap_or(revoked));
        match self.turns.lock().await.recv().await {
            Some(Turn::Place(placed)) => {
                let place = place(&placed);
                *self.placed.lock().expect("carrier lock poisoned") = Some(*placed);
                Ok(place)
            }
            Some(Turn::Refused(refusal)) => Err(refusal.reason),
            None => Err(Reason::NoTarget),
        }
    }

    async fn send(&self, attempt: AttemptId, place: &Place) -> Sent {
        let placed = self.placed.lock().expect("carrier lock poisoned").clone();
        let Some(Placed {
            mut offer, peer, ..
        }) = placed.filter(|placed| placed.target == place.target)
        else {
            return Sent::Refused(Reason::NoTarget);
        };
        offer.attempt = attempt;
        let mut sink = Sink::collecting();
        let outcome = peer
            .run(&offer, &self.call, self.shared.recorder.stamp(), &mut sink)
            .await;
        match outcome {
            Outcome::Answered => sink.into_answer().map_or(Sent::Unknown, Sent::Answered),
            Outcome::Refused(refusal, _) => {
                *self.refused.lock().expect("carrier lock poisoned") = Some(outcome);
                Sent::Refused(refusal.reason)
            }
            Outcome::Preempted { .. } | Outcome::Failed | Outcome::Unknown => Sent::Unknown,
        }
    }

    async fn join(&self, attempt: AttemptId, place: &Place) -> Joined {
        let Some(peer) = self.peer(place) else {
            return Joined::Unreachable;
        };
        let mut sink = Sink::collecting();
        match peer.fetch(attempt, place.incarnation, &mut sink).await {
            Fetched::Whole => sink.into_answer().map_or(Joined::Unknown, Joined::Answered),
            Fetched::NotSeen => Joined::NotSeen,
            Fetched::Gone => Joined::Unknown,
            Fetched::Unreachable => Joined::Unreachable,
        }
    }

    async fn revoke(&self, attempt: AttemptId, place: &Place) -> Option<Revoked> {
        let peer = self.peer(place)?;
        peer.link.revoke(attempt, place.incarnation).await.ok()
    }

    async fn wait(&self, length: Duration) {
        tokio::time::sleep(length).await;
    }
}

impl Sink {
    /// Returns the whole answer that was collected.
    fn into_answer(self) -> Option<Answer> {
        let (head, body) = self.into_held()?;
        Some(Answer {
            status: head.status,
            headers: head.headers,
            body,
        })
    }
}
