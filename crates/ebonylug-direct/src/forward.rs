//! Forwards a request: resolves its route, checks key and quota, tries targets, returns the response.

mod logs;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use ebonylug_core::Name;
use ebonylug_dispatch::{
    Outcome, PlacementRequest, Reason, Refusal, Revocation, RouteKind, TargetKey, VersionFilter,
    WaitKey,
};
use ebonylug_net::wire;
use futures_util::stream;
use http::{Request, Response, StatusCode};
use http_body_util::{Either, Full};
use hyper::body::Incoming;
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::attempt::{self, Failure, OpenResponse};
use crate::entry::{Entry, millis};
use crate::forward::logs::{LogContext, log_rejection};
use crate::head_timeout::HeadState;
use crate::quota_charge::QuotaCharge;
use crate::request::{self, BufferedRequest};
use crate::response::{self, CallerResponse, HandlerResult, Rejection};
use crate::slot::SlotGuard;
use crate::stream::{EventStream, StreamKind};

/// The number of targets that may report that they did not run a request before it is refused.
const MAX_NOT_RUN: u32 = 3;
/// The number of unreachable targets after which a request is refused. A refused connection costs about
/// a millisecond.
const MAX_UNSENT: u32 = 8;
/// The minimum time left before the deadline for another attempt.
const MIN_TIME_LEFT: Duration = Duration::from_millis(30);

/// The minimum mean time until a refused caller retries.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);
/// The maximum mean time until a refused caller retries. Bursts of load last some seconds.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3);

/// Retry delay while there is no configuration yet. An entry starts in about a second.
const NO_CONFIG_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Retry delay while the configuration is stale. The load balancer stops using entries that cannot
/// reach the store after two seconds.
const STALE_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Retry delay if the route has no service.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Retry delay for a quarantined request. It is long because a quarantine does not clear by
/// itself.
const QUARANTINE_RETRY_AFTER: Duration = Duration::from_secs(10);
/// Retry delay at an entry that stops. Another entry can serve the request at once.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Retry delay if the targets reported that they did not run the request. Usually another target has a free slot.
const REJECTED_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Counts a request as active until the guard is dropped.
struct ActiveGuard {
    entry: Rc<Entry>,
    head: Rc<HeadState>,
}

impl ActiveGuard {
    fn new(entry: &Rc<Entry>, head: Rc<HeadState>) -> Self {
        entry.active.set(entry.active.get() + 1);
        head.mark_complete();
        let entry = Rc::clone(entry);
        ActiveGuard { entry, head }
    }
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        self.head.mark_served();
        self.entry.active.set(self.entry.active.get() - 1);
    }
}

/// Handles a request of a caller.
pub(crate) async fn handle(
    entry: Rc<Entry>,
    head: Rc<HeadState>,
    request: Request<Incoming>,
) -> HandlerResult {
    let active = ActiveGuard::new(&entry, head);
    let started = Instant::now();
    let mut context = LogContext::default();
    let mut response = match serve(&entry, request, active, &mut context).await {
        Ok(response) => {
            entry
                .instruments
                .record_first_part(context.kind, started.elapsed());
            response
        }
        Err(rejection) => {
            let (outcome, reason) = (rejection.outcome(), rejection.reason());
            let time = started.elapsed();
            entry
                .instruments
                .record_request(context.kind, outcome, reason, time);
            log_rejection(&entry, &context, rejection, started);
            rejection.response()
        }
    };
    if entry.stopping.get() {
        let close = http::HeaderValue::from_static("close");
        response
            .headers_mut()
            .insert(http::header::CONNECTION, close);
    }
    Ok(response)
}

fn refuse(reason: Reason, retry_after: Duration) -> Rejection {
    Rejection::Refused(Refusal {
        reason,
        retry_after,
        forecast: None,
    })
}

async fn serve(
    entry: &Rc<Entry>,
    request: Request<Incoming>,
    active: ActiveGuard,
    context: &mut LogContext,
) -> request::Result<CallerResponse> {
    let id = request.headers().get(&entry.dialect.request_id);
    context.request = id
        .and_then(|id| id.to_str().ok())
        .unwrap_or_default()
        .into();
    let Some(config) = entry.config().filter(|_| !entry.awaits_peers()) else {
        return Err(refuse(Reason::NoConfig, NO_CONFIG_RETRY_AFTER));
    };
    context.config = config.version;
    let (parts, body) = request.into_parts();
    // A stale configuration may lack a route or key that a newer one has.
    let fresh = entry.is_fresh();
    let matched = match request::resolve(&config, &parts) {
        Ok(matched) => matched,
        Err(_) if !fresh => return Err(refuse(Reason::Stale, STALE_RETRY_AFTER)),
        Err(rejection) => return Err(rejection),
    };
    context.route = Some(matched.route.name.clone());
    context.kind = Some(matched.route.kind);
    context.organisation = matched.organisation.as_ref().map(|o| o.name.clone());
    if matched.organisation.is_some() && !fresh {
        return Err(refuse(Reason::Stale, STALE_RETRY_AFTER));
    }
    let request = tokio::select! {
        request = request::read(entry, &config, parts, body, matched) => request?,
        () = entry.grace_end() => return Err(refuse(Reason::Stopping, STOPPING_RETRY_AFTER)),
    };
    if entry.is_quarantined(&request.causes) {
        return Err(refuse(Reason::Quarantined, QUARANTINE_RETRY_AFTER));
    }
    if entry.is_memory_exhausted() {
        return Err(request::memory_refusal());
    }
    let Some(service) = request.route.pick_service(entry.random()).cloned() else {
        return Err(refuse(Reason::NoTarget, NO_TARGET_RETRY_AFTER));
    };
    let model = config
        .service(service.as_str())
        .is_some_and(|s| s.slots > 0);
    let quota = QuotaCharge::take(entry, &request)?;
    let mut job = ForwardJob {
        entry: Rc::clone(entry),
        request: Rc::new(request),
        service,
        model,
        tried: SmallVec::new(),
        place: None,
        result_target: None,
        sent: 0,
        ran: 0,
        not_run: 0,
        quota,
        queue_time: Duration::ZERO,
        finished: Cell::new(false),
        _active: active,
    };
    let result = tokio::select! {
        // The end of other requests frees slots, which must not be used any more.
        biased;
        () = entry.grace_end() => Err(job.abandon()),
        result = job.run() => result,
    };
    context.attempts = job.tried.len();
    job.finished
        .set(!matches!(result, Ok(TargetResponse::Stream(..))));
    match result? {
        TargetResponse::Complete(head, body) => {
            let failed = head.status.is_server_error();
            if wire::announces_body(&head.headers) {
                entry.record_completed(&job.request.causes);
            }
            let outcome = if failed { "failed_by_target" } else { "served" };
            let time = job.request.arrived.elapsed();
            entry
                .instruments
                .record_request(context.kind, outcome, "", time);
            job.log_response(head.status, context);
            let mut response = Response::new(Either::Left(Full::new(body)));
            *response.status_mut() = head.status;
            *response.headers_mut() = request::returned_headers(&head.headers);
            Ok(response)
        }
        TargetResponse::Stream(opened, events) => Ok(stream_response(job, *opened, events)),
    }
}

fn stream_response(job: ForwardJob, opened: OpenResponse, events: EventStream) -> CallerResponse {
    let mut response = Response::new(Either::Left(Full::default()));
    *response.status_mut() = opened.head.status;
    *response.headers_mut() = request::returned_headers(&opened.head.headers);
    let state = events.into_forwarded(job, opened);
    let parts = stream::unfold(Some(state), |state| async {
        let mut state = state?;
        match state.next().await {
            Some(Ok(bytes)) => Some((Ok(bytes), Some(state))),
            Some(Err(error)) => {
                // An error drops what hyper has buffered, which it writes once the body is pending.
                tokio::task::yield_now().await;
                Some((Err(error), None))
            }
            None => None,
        }
    });
    *response.body_mut() = response::stream_body(parts);
    response
}

/// A request that is being forwarded, with the state of its attempts.
pub(crate) struct ForwardJob {
    pub(crate) entry: Rc<Entry>,
    pub(crate) request: Rc<BufferedRequest>,
    service: Name,
    model: bool,
    tried: SmallVec<[TargetKey; 2]>,
    /// The place in the queue of the latest attempt, which it keeps if its slot is revoked.
    place: Option<WaitKey>,
    /// The target of the latest result of an attempt.
    pub(crate) result_target: Option<TargetKey>,
    /// The number of attempts in which the request may have reached a target.
    sent: u32,
    /// The number of attempts in which the request may have run.
    ran: u32,
    /// The number of attempts in which the request certainly did not run.
    not_run: u32,
    quota: Option<QuotaCharge>,
    /// Time from the arrival until the latest attempt got a slot.
    queue_time: Duration,
    /// Whether the outcome has been recorded. If not, dropping the job records that the caller left.
    finished: Cell<bool>,
    _active: ActiveGuard,
}

impl Drop for ForwardJob {
    fn drop(&mut self) {
        if self.finished.get() {
            return;
        }
        let kind = Some(self.request.route.kind);
        let time = self.request.arrived.elapsed();
        self.entry
            .instruments
            .record_request(kind, "left", "", time);
        tracing::info!(
            part = "request",
            request = self.request.id.to_str().unwrap_or_default(),
            route = %self.request.route.name,
            waited_ms = millis(time),
            attempts = self.tried.len(),
            "caller left"
        );
    }
}

/// A response of a target that can be returned to the caller.
pub(crate) enum TargetResponse {
    Complete(http::response::Parts, Bytes),
    Stream(Box<OpenResponse>, EventStream),
}

impl TargetResponse {
    pub(crate) fn status(&self) -> StatusCode {
        match self {
            TargetResponse::Complete(head, _) => head.status,
            TargetResponse::Stream(opened, _) => opened.head.status,
        }
    }
}

impl ForwardJob {
    pub(crate) fn placement_request(&self) -> PlacementRequest {
        let left = self
            .request
            .deadline
            .saturating_duration_since(Instant::now());
        let waited = self.request.arrived.elapsed();
        let rank = self.request.rank();
        // The rest of the latency objective is left for the target itself. Requests of the most urgent
        // rank may wait beyond the objective, because a late response is still worth serving.
        let fraction = if rank == 0 { 1.5 } else { 0.7 };
        let max_wait = self
            .request
            .route
            .latency_objective
            .mul_f64(fraction)
            .saturating_sub(waited);
        PlacementRequest {
            service: self.service.clone(),
            rank,
            cache_key: self.request.cache_key(&self.entry.dialect),
            tried: self.tried.clone(),
            max_wait: max_wait.min(left),
            retry_after: (left / 4).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
            model: self.model,
            versions: VersionFilter::All,
            caller: Some(self.entry.caller(&self.request, self.model)),
            prompt: if self.model {
                self.request.prompt_tokens(&self.entry.dialect)
            } else {
                0
            },
        }
    }

    /// Sends the request to targets until one returns a response. Retries a server error if the route
    /// allows it.
    async fn run(&mut self) -> request::Result<TargetResponse> {
        self.entry.count_request(&self.service);
        self.entry.count_hedgeable(&self.service);
        let mut failed = None;
        loop {
            match self.send_until_response().await {
                // The server error is returned if no other target gives a response.
                Ok(TargetResponse::Complete(head, body)) if self.is_retryable(&head) => {
                    self.log_failure(&Failure::Failed(head.status));
                    let response = TargetResponse::Complete(head, body);
                    if !self.take_retry() {
                        return Ok(response);
                    }
                    failed = Some(response);
                }
                Ok(response) => return Ok(response),
                Err(rejection) => return failed.ok_or(rejection),
            }
        }
    }

    /// Returns the answer to a request that is still open when the grace period ends.
    fn abandon(&self) -> Rejection {
        let ended = self.ran + self.not_run;
        if self.ran == 0 && self.tried.len() == ended as usize {
            return refuse(Reason::Stopping, STOPPING_RETRY_AFTER);
        }
        Rejection::Unknown(StatusCode::GATEWAY_TIMEOUT, "stopping")
    }

    /// Makes attempts until one returns a complete response or starts a stream.
    async fn send_until_response(&mut self) -> request::Result<TargetResponse> {
        loop {
            let (placement, place) = (self.placement_request(), self.place.take());
            let slot = match self.entry.acquire_slot(placement, place).await {
                Ok(slot) => slot,
                Err(refusal) if self.ran == 0 => return Err(Rejection::Refused(refusal)),
                Err(_) => return Err(bad_gateway()),
            };
            self.queue_time = self.request.arrived.elapsed();
            // Crashes may have been recorded while the request waited.
            if self.is_quarantined() {
                return Err(match self.ran {
                    0 => refuse(Reason::Quarantined, QUARANTINE_RETRY_AFTER),
                    _ => bad_gateway(),
                });
            }
            // Answers may have accumulated while the request waited.
            if self.ran == 0 && self.entry.is_memory_exhausted() {
                return Err(request::memory_refusal());
            }
            self.tried.push(slot.target());
            self.place = Some(slot.place());
            if let Some(quota) = &self.quota {
                // The request is charged even if the target reports that it did not run it. The
                // charge only delays the caller's next request slightly.
                quota.set_used(true);
            }
            match self.attempt_hedged(slot).await {
                Ok(response) => {
                    self.count_run();
                    return Ok(response);
                }
                Err(failure) => {
                    let result = self.handle_failure(&failure).await;
                    if let Some(quota) = &self.quota {
                        quota.set_used(self.sent > 0);
                    }
                    result?;
                }
            }
        }
    }

    /// Counts an attempt in which the request may have run.
    pub(crate) fn count_run(&mut self) {
        self.sent += 1;
        self.ran += 1;
    }

    /// Returns the service that serves the request.
    pub(crate) fn service(&self) -> &Name {
        &self.service
    }

    /// Records that an attempt is made at another target.
    pub(crate) fn add_attempt(&mut self, target: TargetKey) {
        self.tried.push(target);
    }

    /// Logs and counts a failed attempt, and updates the state that decides about retries.
    pub(crate) fn record_failure(&mut self, failure: &Failure) {
        self.log_failure(failure);
        if let Failure::Revoked(_) = failure {
            let target = self.result_target;
            self.tried.retain(|tried| Some(*tried) != target);
            return;
        }
        self.place = None;
        self.sent += u32::from(!matches!(failure, Failure::Unsent(_)));
        if let (Failure::Unknown(_), Some(target)) = (failure, self.result_target) {
            self.entry.record_broken(target, &self.request.causes);
        }
        if failure.may_have_run() {
            self.ran += 1;
        } else {
            self.not_run += 1;
        }
    }

    /// Waits for the check of the last target if its crash may quarantine the request.
    async fn check_last_target(&self) {
        if let Some(&target) = self.tried.last() {
            let causes = &self.request.causes;
            self.entry.check_finished(target, causes).await;
        }
    }

    /// Records a failed attempt. Returns `Ok` if another attempt follows, or the final rejection.
    async fn handle_failure(&mut self, failure: &Failure) -> request::Result<()> {
        self.record_failure(failure);
        self.check_last_target().await;
        let retry = match failure {
            Failure::Late | Failure::Failed(_) => false,
            Failure::Unknown(_) => self.request.route.kind.is_idempotent() && self.take_retry(),
            Failure::Revoked(Revocation::Quarantined) => false,
            Failure::Revoked(_) => self.has_time(),
            Failure::Unsent(_) => self.not_run < MAX_UNSENT && self.has_time(),
            Failure::NotRun(_) => self.not_run < MAX_NOT_RUN && self.take_retry(),
        };
        if retry {
            return Ok(());
        }
        Err(match failure {
            Failure::Revoked(Revocation::Quarantined) if self.ran == 0 => {
                refuse(Reason::Quarantined, QUARANTINE_RETRY_AFTER)
            }
            _ if self.ran == 0 => refuse(Reason::Rejected, REJECTED_RETRY_AFTER),
            Failure::Late => Rejection::Unknown(StatusCode::GATEWAY_TIMEOUT, "no_answer_in_time"),
            _ => bad_gateway(),
        })
    }

    /// Reports whether a response is a server error that may be retried at another target.
    fn is_retryable(&self, head: &http::response::Parts) -> bool {
        head.status.is_server_error() && self.request.route.kind.is_idempotent()
    }

    /// Reports whether the request may be sent to another target, and takes the retry from the budget.
    pub(crate) fn take_retry(&self) -> bool {
        self.sent < self.request.route.max_attempts
            && self.has_time()
            && !self.is_quarantined()
            && self.entry.take_retry(&self.service)
    }

    fn is_quarantined(&self) -> bool {
        self.entry.is_quarantined(&self.request.causes)
    }

    fn has_time(&self) -> bool {
        Instant::now() + MIN_TIME_LEFT < self.request.deadline
    }

    /// Marks the outcome as recorded.
    pub(crate) fn mark_finished(&self) {
        self.finished.set(true);
    }

    /// Returns the number of attempts.
    pub(crate) fn attempts(&self) -> usize {
        self.tried.len()
    }

    /// Resumes the stream at another target, after the last event that was forwarded. Only a response of the
    /// same kind goes on with it.
    pub(crate) async fn resume(
        &mut self,
        last_id: Option<&http::HeaderValue>,
        kind: &StreamKind,
    ) -> Option<OpenResponse> {
        let RouteKind::Stream {
            resumable: true, ..
        } = self.request.route.kind
        else {
            return None;
        };
        self.place = None;
        loop {
            // A request whose slot was revoked has its retry already.
            let place = self.place.take();
            if place.is_none() {
                self.check_last_target().await;
                if !self.take_retry() {
                    return None;
                }
            }
            let placement = self.resume_placement();
            let slot = self.entry.acquire_slot(placement, place).await.ok()?;
            if self.is_quarantined() {
                return None;
            }
            self.place = Some(slot.place());
            self.tried.push(slot.target());
            self.result_target = Some(slot.target());
            let failure = match attempt::open(&self.entry, &self.request, slot, last_id).await {
                Ok(opened) if StreamKind::of(&opened) == *kind => {
                    self.sent += 1;
                    return Some(opened);
                }
                Ok(opened) if opened.head.status.is_success() => {
                    opened.slot.set_outcome(Outcome::Broken);
                    Failure::Unknown("the response does not continue the stream".into())
                }
                Ok(opened) => Failure::Failed(opened.head.status),
                Err(failure) => failure,
            };
            self.record_failure(&failure);
        }
    }

    fn resume_placement(&self) -> PlacementRequest {
        /// A longer interruption of a stream is of little use to the caller.
        const MAX_RESUME_WAIT: Duration = Duration::from_millis(200);
        PlacementRequest {
            max_wait: MAX_RESUME_WAIT,
            rank: 0,
            caller: None,
            ..self.placement_request()
        }
    }
}

/// Sends a request to a target and reads a complete response, or a stream up to its first event.
pub(crate) async fn open_response(
    entry: &Rc<Entry>,
    request: &BufferedRequest,
    slot: SlotGuard,
) -> attempt::Result<TargetResponse> {
    let opened = attempt::open(entry, request, slot, None).await?;
    let is_stream = request.route.kind.is_stream() && opened.head.status.is_success();
    if is_stream {
        let mut opened = opened;
        let events = EventStream::start(entry, request, &mut opened).await?;
        if events.has_begun() {
            request.count_begun(entry);
        }
        return Ok(TargetResponse::Stream(Box::new(opened), events));
    }
    if opened.shows_run(entry) && !request.route.kind.is_stream() {
        request.count_begun(entry);
    }
    let (head, body) = opened.read_body(entry, request).await?;
    Ok(TargetResponse::Complete(head, body))
}

fn bad_gateway() -> Rejection {
    Rejection::Unknown(StatusCode::BAD_GATEWAY, "no_whole_answer")
}
