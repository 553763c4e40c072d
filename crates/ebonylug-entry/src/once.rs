//! Calls that may not be repeated: recorded in the table before they are sent.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::sync::mpsc;

use ebonylug_core::{AttemptId, Name, Offer, Outcome, Reason, Refusal, RequestId, Revoked};
use ebonylug_idempotency::{
    Answer, CallKey, Joined, KeyedCall, Place, RequestHash, Sent, Transport, Verdict, drive,
};
use ebonylug_net::frame::Head;

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
    /// The request.
    pub id: RequestId,
    /// The organisation and its idempotency key.
    pub key: CallKey,
    /// The call, as it is passed to the target.
    pub call: Arc<Call>,
    /// When the answer is of no more use.
    pub deadline: Option<Instant>,
    /// What the router decides.
    pub turns: mpsc::Receiver<Turn>,
    /// Where the answer goes.
    pub parts: mpsc::Sender<Part>,
}

/// Carries out a call to its end, also when its caller hangs up: the record is completed then.
pub async fn run(shared: Arc<Shared>, mut once: Once) {
    let first = match once.turns.recv().await {
        Some(Turn::Place(placed)) => *placed,
        Some(Turn::Refused(refusal)) => {
            return answer(&once.parts, Verdict::NotRun(refusal.reason)).await;
        }
        None => return answer(&once.parts, Verdict::NotRun(Reason::NoTarget)).await,
    };
    let call = &once.call;
    let content = RequestHash::of(call.method.as_str(), &call.path, &call.body);
    let deadline = once
        .deadline
        .unwrap_or_else(|| shared.clock.now() + DEFAULT_DEADLINE);
    let (keyed, actions) = KeyedCall::start(once.key, content, once.id, place(&first), deadline);
    let transport = Carrier {
        shared: Arc::clone(&shared),
        call: Arc::clone(call),
        turns: tokio::sync::Mutex::new(once.turns),
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
