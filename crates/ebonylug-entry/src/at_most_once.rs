//! Calls that must run at most once. They are recorded in the store before they are sent.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::mpsc;

use ebonylug_core::{AttemptId, Name, Offer, Outcome, Reason, Refusal, RevokeOutcome};
use ebonylug_idempotency::{
    CallKey, CallOutcome, Destination, JoinOutcome, KeyedCall, KeyedRequest, Record, RecordState,
    RequestHash, Response, SendOutcome, Transport, drive,
};
use ebonylug_net::frame::Head;
use ebonylug_platform::Table;
use ebonylug_routing::Request;

use crate::Shared;
use crate::attempt::{Call, FetchResult, SidecarClient};
use crate::sink::{ResponsePart, Sink};

/// The time limit of a call without a deadline.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// A decision of the router about a call.
#[derive(Debug)]
pub enum Decision {
    /// Send the call to this target.
    Place(Box<Placement>),
    /// Do not send the call.
    Refused(Refusal),
}

/// The target that the router selected for a call.
#[derive(Clone)]
pub struct Placement {
    /// The attempt whose outcome must be reported to the router.
    pub attempt: AttemptId,
    /// The offer to send to the sidecar.
    pub offer: Offer,
    /// The client for the target's sidecar.
    pub sidecar: Arc<SidecarClient>,
    /// The name of the target.
    pub target: Name,
}

impl std::fmt::Debug for Placement {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Placement({} at {})", self.attempt, self.target)
    }
}

/// A call that must run at most once, so it is never repeated after an unknown outcome.
pub struct AtMostOnceCall {
    /// The request as it is queued at the router.
    pub request: Request,
    /// The key of the call's record: the organisation and its idempotency key.
    pub key: CallKey,
    /// The call to forward to the target.
    pub payload: Arc<Call>,
    /// Where the response is sent.
    pub parts: mpsc::Sender<ResponsePart>,
}

/// Runs a call to completion, even if its caller disconnects, so that its record is completed.
pub async fn run(shared: Arc<Shared>, call: AtMostOnceCall) {
    let content = call.content_hash();
    // A retry of a completed call is served from its record and needs no target.
    if let Some(call_outcome) = recorded_outcome(&shared, &call.key, content).await {
        return send_response(&call.parts, call_outcome).await;
    }
    let decisions = match shared.dispatcher.enqueue_at_most_once(call.request.clone()) {
        Ok(decisions) => decisions,
        Err(refusal) => return send_refusal(&shared, &call, refusal).await,
    };
    let mut decisions = decisions;
    match decisions.recv().await {
        Some(Decision::Place(first)) => run_call(&shared, call, content, *first, decisions).await,
        Some(Decision::Refused(refusal)) => send_refusal(&shared, &call, refusal).await,
        None => send_refusal(&shared, &call, Refusal::new(Reason::NoTarget)).await,
    }
}

/// Returns the recorded outcome of a completed call. If the store does not respond, the call
/// proceeds as usual, which never sends it without a record.
async fn recorded_outcome(
    shared: &Shared,
    key: &CallKey,
    content: RequestHash,
) -> Option<CallOutcome> {
    let row = shared.platform.get(key.as_str()).await.ok()??;
    let record: Record = serde_json::from_str(&row.value).ok()?;
    if record.content != content {
        return Some(CallOutcome::Mismatch);
    }
    match record.state {
        RecordState::Done(Some(response)) => Some(CallOutcome::Response(response)),
        RecordState::Unknown => Some(CallOutcome::Unknown),
        RecordState::Reserved | RecordState::Done(None) | RecordState::NotRun => None,
    }
}

/// Responds to a call that the router refused. The call was not sent, but an earlier request with
/// the same key may have been.
async fn send_refusal(shared: &Shared, call: &AtMostOnceCall, refusal: Refusal) {
    let call_outcome = match recorded_outcome(shared, &call.key, call.content_hash()).await {
        Some(call_outcome) => call_outcome,
        None if may_have_run(shared, &call.key).await => CallOutcome::Unknown,
        None => CallOutcome::NotRun(refusal.reason),
    };
    send_response(&call.parts, call_outcome).await;
}

/// Reports whether an earlier request with the same key may be running or may have run.
async fn may_have_run(shared: &Shared, key: &CallKey) -> bool {
    let row = shared.platform.get(key.as_str()).await.ok().flatten();
    let record = row.and_then(|row| serde_json::from_str::<Record>(&row.value).ok());
    record.is_some_and(|record| !matches!(record.state, RecordState::NotRun))
}

async fn run_call(
    shared: &Arc<Shared>,
    call: AtMostOnceCall,
    content: RequestHash,
    first: Placement,
    decisions: mpsc::Receiver<Decision>,
) {
    let (now, wall) = (shared.clock.now(), shared.clock.wall());
    let request = KeyedRequest {
        key: call.key,
        content,
        id: call.request.id,
        deadline: call.request.deadline.unwrap_or(now + DEFAULT_DEADLINE),
    };
    let (keyed, actions) = KeyedCall::start(request, to_destination(&first), now, wall);
    let transport = SidecarTransport {
        shared: Arc::clone(shared),
        call: call.payload,
        decisions: tokio::sync::Mutex::new(decisions),
        placement: Mutex::new(Some(first)),
        refused: Mutex::new(None),
    };
    let (sender, call_outcome) = tokio::sync::oneshot::channel();
    let clock = Arc::clone(&shared.clock);
    let execution = drive(
        keyed,
        actions,
        &shared.platform,
        &transport,
        &*clock,
        |call_outcome| {
            // The receiver lives until the outcome has been sent.
            let _ = sender.send(call_outcome);
        },
    );
    let response = async {
        let call_outcome = call_outcome.await.unwrap_or(CallOutcome::Unknown);
        transport.report_call_outcome(&call_outcome);
        send_response(&call.parts, call_outcome).await;
    };
    tokio::join!(execution, response);
}

impl AtMostOnceCall {
    fn content_hash(&self) -> RequestHash {
        let payload = &self.payload;
        RequestHash::of(payload.method.as_str(), &payload.path, &payload.body)
    }
}

fn to_destination(placement: &Placement) -> Destination {
    Destination {
        target: placement.target.clone(),
        incarnation: placement.offer.incarnation,
    }
}

async fn send_response(parts: &mpsc::Sender<ResponsePart>, call_outcome: CallOutcome) {
    let last = match call_outcome {
        CallOutcome::Response(response) => {
            let head = Head {
                status: response.status,
                headers: response.headers,
            };
            // A caller that disconnected gets the response from the record when it retries.
            let _ = parts.send(ResponsePart::Head(head)).await;
            let _ = parts.send(ResponsePart::Data(response.body)).await;
            ResponsePart::End
        }
        CallOutcome::NotRun(reason) => ResponsePart::Refused(Refusal::new(reason)),
        CallOutcome::Unknown => ResponsePart::Unknown,
        CallOutcome::Mismatch => ResponsePart::Mismatch,
    };
    let _ = parts.send(last).await;
}

/// Sends the attempts and control calls of one call to sidecars.
struct SidecarTransport {
    shared: Arc<Shared>,
    call: Arc<Call>,
    decisions: tokio::sync::Mutex<mpsc::Receiver<Decision>>,
    /// The current placement, until its outcome is reported to the router.
    placement: Mutex<Option<Placement>>,
    /// The outcome of the current placement if its sidecar refused the attempt.
    refused: Mutex<Option<Outcome>>,
}

impl SidecarTransport {
    /// Reports the outcome of the current placement to the router, at most once.
    fn report(&self, outcome: Outcome) {
        let placement = self
            .placement
            .lock()
            .expect("transport lock poisoned")
            .take();
        if let Some(placement) = placement {
            self.shared
                .dispatcher
                .report_outcome(placement.attempt, outcome);
        }
    }

    fn report_call_outcome(&self, call_outcome: &CallOutcome) {
        let refused = self.refused.lock().expect("transport lock poisoned").take();
        let outcome = match (call_outcome, refused) {
            (CallOutcome::Response(_), _) => Outcome::Answered,
            (_, Some(refused)) => refused,
            (CallOutcome::Unknown, None) => Outcome::Unknown,
            (CallOutcome::NotRun(_) | CallOutcome::Mismatch, None) => Outcome::Failed,
        };
        self.report(outcome);
    }

    fn sidecar(&self, destination: &Destination) -> Option<Arc<SidecarClient>> {
        self.shared.fleet.sidecar(&destination.target)
    }
}

impl Transport for SidecarTransport {
    async fn select_target(&self) -> Result<Destination, Reason> {
        let refused = self.refused.lock().expect("transport lock poisoned").take();
        let revoked = Outcome::Refused(Refusal::new(Reason::Revoked), None);
        self.report(refused.unwrap_or(revoked));
        match self.decisions.lock().await.recv().await {
            Some(Decision::Place(placement)) => {
                let destination = to_destination(&placement);
                *self.placement.lock().expect("transport lock poisoned") = Some(*placement);
                Ok(destination)
            }
            Some(Decision::Refused(refusal)) => Err(refusal.reason),
            None => Err(Reason::NoTarget),
        }
    }

    async fn send(&self, attempt: AttemptId, destination: &Destination) -> SendOutcome {
        let placement = self
            .placement
            .lock()
            .expect("transport lock poisoned")
            .clone();
        let Some(Placement {
            mut offer, sidecar, ..
        }) = placement.filter(|placement| placement.target == destination.target)
        else {
            return SendOutcome::Refused(Reason::NoTarget);
        };
        offer.attempt = attempt;
        let mut sink = Sink::buffering();
        let outcome = sidecar
            .run(&offer, &self.call, self.shared.recorder.stamp(), &mut sink)
            .await;
        match outcome {
            Outcome::Answered => sink
                .into_response()
                .map_or(SendOutcome::Unknown, SendOutcome::Completed),
            Outcome::Refused(refusal, _) => {
                *self.refused.lock().expect("transport lock poisoned") = Some(outcome);
                SendOutcome::Refused(refusal.reason)
            }
            Outcome::Preempted { .. } | Outcome::Failed | Outcome::Unknown => SendOutcome::Unknown,
        }
    }

    async fn join(&self, attempt: AttemptId, destination: &Destination) -> JoinOutcome {
        let Some(sidecar) = self.sidecar(destination) else {
            return JoinOutcome::Unreachable;
        };
        let mut sink = Sink::buffering();
        match sidecar
            .fetch(attempt, destination.incarnation, &mut sink)
            .await
        {
            FetchResult::Complete => sink
                .into_response()
                .map_or(JoinOutcome::Unknown, JoinOutcome::Completed),
            FetchResult::NotSeen => JoinOutcome::NotSeen,
            FetchResult::Incomplete => JoinOutcome::Unknown,
            FetchResult::Unreachable => JoinOutcome::Unreachable,
        }
    }

    async fn revoke(&self, attempt: AttemptId, destination: &Destination) -> Option<RevokeOutcome> {
        let sidecar = self.sidecar(destination)?;
        sidecar
            .link
            .revoke(attempt, destination.incarnation)
            .await
            .ok()
    }

    async fn wait(&self, duration: Duration) {
        tokio::time::sleep(duration).await;
    }
}

impl Sink {
    /// Returns the complete response that was buffered.
    fn into_response(self) -> Option<Response> {
        let (head, body) = self.into_buffered()?;
        Some(Response {
            status: head.status,
            headers: head.headers,
            body,
        })
    }
}
