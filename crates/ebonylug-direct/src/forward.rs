//! The life of one request: route, key, quota, targets, answer.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use ebonylug_core::Name;
use ebonylug_dispatch::{PlacementRequest, Reason, Refusal, RouteKind, TargetKey, VersionFilter};
use futures_util::stream;
use http::{Request, Response, StatusCode};
use http_body_util::{Either, Full};
use hyper::body::Incoming;
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::attempt::{self, Failure, Opened};
use crate::entry::{Entry, millis};
use crate::head_timeout::HeadState;
use crate::request::{self, Call};
use crate::response::{self, CallerResponse, HandlerResult, Rejection};
use crate::stream::EventStream;

/// Targets that may state that they did not run a request until it is refused.
const MAX_UNRUN: u32 = 3;
/// Targets that may be out of reach until a request is refused. Each costs a millisecond if it refuses
/// connections.
const MAX_UNSENT: u32 = 8;
/// Time that must be left for a send to make sense.
const MIN_LEFT: Duration = Duration::from_millis(30);

/// Shortest and longest mean time until a refused caller comes back. Bursts last some seconds.
const MIN_RETURN: Duration = Duration::from_millis(300);
const MAX_RETURN: Duration = Duration::from_secs(3);

/// When callers should come back if there is no configuration yet. An entry starts in about a second.
const NO_CONFIG_RETURN: Duration = Duration::from_millis(500);
/// The same if the configuration is too old. Entries that cannot reach the store are out of rotation
/// after two seconds.
const STALE_RETURN: Duration = Duration::from_secs(1);
/// The same if the route leads to no service.
const NO_TARGET_RETURN: Duration = Duration::from_secs(1);
/// The same if requests like it crash targets, which does not pass by itself.
const QUARANTINE_RETURN: Duration = Duration::from_secs(10);
/// The same if a target did not run the request. Another one has room, mostly.
const REJECTED_RETURN: Duration = Duration::from_millis(300);

/// Counts a request as active until it is dropped.
struct Active {
    entry: Rc<Entry>,
    head: Rc<HeadState>,
}

impl Active {
    fn new(entry: &Rc<Entry>, head: Rc<HeadState>) -> Self {
        entry.active.set(entry.active.get() + 1);
        head.mark_complete();
        let entry = Rc::clone(entry);
        Active { entry, head }
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        self.head.mark_served();
        self.entry.active.set(self.entry.active.get() - 1);
    }
}

/// What is known of a request, for its line in the log.
#[derive(Default)]
struct Trace {
    request: String,
    route: Option<Name>,
    kind: Option<RouteKind>,
    organisation: Option<Name>,
    config: u64,
    attempts: usize,
}

/// Answers a request of a caller.
pub(crate) async fn handle(
    entry: Rc<Entry>,
    head: Rc<HeadState>,
    request: Request<Incoming>,
) -> HandlerResult {
    let active = Active::new(&entry, head);
    let begun = Instant::now();
    let mut trace = Trace::default();
    let mut answer = match serve(&entry, request, active, &mut trace).await {
        Ok(answer) => {
            entry
                .instruments
                .record_first_part(trace.kind, begun.elapsed());
            answer
        }
        Err(rejection) => {
            let (outcome, reason) = (rejection.outcome(), rejection.reason());
            let time = begun.elapsed();
            entry
                .instruments
                .record_request(trace.kind, outcome, reason, time);
            tell(&entry, &trace, rejection, begun);
            rejection.response()
        }
    };
    if entry.stopping.get() {
        let close = http::HeaderValue::from_static("close");
        answer.headers_mut().insert(http::header::CONNECTION, close);
    }
    Ok(answer)
}

/// Logs why a request was not served.
fn tell(entry: &Entry, trace: &Trace, rejection: Rejection, begun: Instant) {
    let config_age = entry.config_age().unwrap_or(Duration::MAX);
    tracing::info!(
        part = "request",
        request = trace.request,
        route = trace.route.as_ref().map(Name::as_str),
        organisation = trace.organisation.as_ref().map(Name::as_str),
        status = rejection.status().as_u16(),
        reason = rejection.reason(),
        waited_ms = millis(begun.elapsed()),
        attempts = trace.attempts,
        config = trace.config,
        config_age_ms = millis(config_age),
        queue = entry.waiting(),
        "not served"
    );
}

fn refuse(reason: Reason, after: Duration) -> Rejection {
    Rejection::Refused(Refusal {
        reason,
        retry_after: after,
    })
}

async fn serve(
    entry: &Rc<Entry>,
    request: Request<Incoming>,
    active: Active,
    trace: &mut Trace,
) -> request::Result<CallerResponse> {
    let id = request.headers().get(&entry.dialect.request_id);
    trace.request = id
        .and_then(|id| id.to_str().ok())
        .unwrap_or_default()
        .into();
    let Some(config) = entry.config() else {
        return Err(refuse(Reason::NoConfig, NO_CONFIG_RETURN));
    };
    trace.config = config.version;
    let (parts, body) = request.into_parts();
    // A newer configuration may know what an old one does not.
    let fresh = entry.is_fresh();
    let resolved = match request::resolve(&config, &parts) {
        Ok(resolved) => resolved,
        Err(_) if !fresh => return Err(refuse(Reason::Stale, STALE_RETURN)),
        Err(rejection) => return Err(rejection),
    };
    trace.route = Some(resolved.route.name.clone());
    trace.kind = Some(resolved.route.kind);
    trace.organisation = resolved.organisation.as_ref().map(|o| o.name.clone());
    if resolved.organisation.is_some() && !fresh {
        return Err(refuse(Reason::Stale, STALE_RETURN));
    }
    let call = request::read(entry, &config, parts, body, resolved).await?;
    if entry.is_quarantined(call.content) {
        return Err(refuse(Reason::Quarantined, QUARANTINE_RETURN));
    }
    let Some(service) = call.route.pick_service(entry.draw()).cloned() else {
        return Err(refuse(Reason::NoTarget, NO_TARGET_RETURN));
    };
    let model = config
        .service(service.as_str())
        .is_some_and(|s| s.slots > 0);
    let quota = take_quota(entry, &call)?;
    let mut job = Job {
        entry: Rc::clone(entry),
        call,
        service,
        model,
        tried: SmallVec::new(),
        sent: 0,
        ran: 0,
        unrun: 0,
        quota,
        queue: Duration::ZERO,
        ended: Cell::new(false),
        _active: active,
    };
    let begun = job.first().await;
    trace.attempts = job.tried.len();
    job.ended.set(!matches!(begun, Ok(Begun::Stream(..))));
    match begun? {
        Begun::Whole(head, body) => {
            let failed = head.status.is_server_error();
            entry.note_finished(job.call.content);
            let outcome = if failed { "failed_by_target" } else { "served" };
            let time = job.call.arrived.elapsed();
            entry
                .instruments
                .record_request(trace.kind, outcome, "", time);
            job.tell_whole(head.status, trace);
            let mut answer = Response::new(Either::Left(Full::new(body)));
            *answer.status_mut() = head.status;
            *answer.headers_mut() = request::returned(&head.headers);
            Ok(answer)
        }
        Begun::Stream(opened, events) => Ok(stream_answer(job, *opened, events)),
    }
}

fn stream_answer(job: Job, opened: Opened, first: EventStream) -> CallerResponse {
    let mut answer = Response::new(Either::Left(Full::default()));
    *answer.status_mut() = opened.head.status;
    *answer.headers_mut() = request::returned(&opened.head.headers);
    let state = first.with(job, opened);
    let parts = stream::unfold(Some(state), |state| async {
        let mut state = state?;
        match state.next().await {
            Some(Ok(bytes)) => Some((Ok(bytes), Some(state))),
            Some(Err(error)) => Some((Err(error), None)),
            None => None,
        }
    });
    *answer.body_mut() = response::stream_body(parts);
    answer
}

fn take_quota(entry: &Rc<Entry>, call: &Call) -> request::Result<Option<Spent>> {
    let Some(organisation) = &call.organisation else {
        return Ok(None);
    };
    let tokens = match call.tokens(&entry.dialect) {
        Some((prompt, answer)) => (prompt + answer) as f64,
        None => f64::from(organisation.default_tokens),
    };
    let name = organisation.name.clone();
    entry
        .take_quota(&name, tokens, call.rank())
        .map_err(Rejection::Refused)?;
    Ok(Some(Spent {
        entry: Rc::clone(entry),
        organisation: name,
        tokens,
        kept: Cell::new(false),
    }))
}

/// Tokens of an organisation's quota. They go back if the request was sent to no target.
struct Spent {
    entry: Rc<Entry>,
    organisation: Name,
    tokens: f64,
    kept: Cell<bool>,
}

impl Drop for Spent {
    fn drop(&mut self) {
        if !self.kept.get() {
            self.entry.give_back_quota(&self.organisation, self.tokens);
        }
    }
}

/// A request on its way through its attempts.
pub(crate) struct Job {
    pub(crate) entry: Rc<Entry>,
    pub(crate) call: Call,
    service: Name,
    model: bool,
    tried: SmallVec<[TargetKey; 2]>,
    /// Targets that got the request, or may have.
    sent: u32,
    /// Attempts that may have run.
    ran: u32,
    /// Attempts that did not run.
    unrun: u32,
    quota: Option<Spent>,
    /// Time from the arrival to the last send.
    queue: Duration,
    /// Whether the entry knows how the request ended.
    ended: Cell<bool>,
    _active: Active,
}

impl Drop for Job {
    fn drop(&mut self) {
        if self.ended.get() {
            return;
        }
        let kind = Some(self.call.route.kind);
        let time = self.call.arrived.elapsed();
        self.entry
            .instruments
            .record_request(kind, "left", "", time);
        tracing::info!(
            part = "request",
            request = self.call.id.to_str().unwrap_or_default(),
            route = %self.call.route.name,
            waited_ms = millis(time),
            attempts = self.tried.len(),
            "caller left"
        );
    }
}

/// An answer that can be passed on.
enum Begun {
    Whole(http::response::Parts, Bytes),
    Stream(Box<Opened>, EventStream),
}

impl Job {
    fn ask(&self) -> PlacementRequest {
        let left = self.call.limit.saturating_duration_since(Instant::now());
        let waited = self.call.arrived.elapsed();
        let rank = self.call.rank();
        // What is left of the aim is for the target itself. The most urgent requests are worth
        // serving late.
        let part = if rank == 0 { 1.5 } else { 0.7 };
        let patience = self
            .call
            .route
            .latency_objective
            .mul_f64(part)
            .saturating_sub(waited);
        PlacementRequest {
            service: self.service.clone(),
            rank,
            cache_key: self.call.subject(&self.entry.dialect),
            tried: self.tried.clone(),
            max_wait: patience.min(left),
            retry_after: (left / 4).clamp(MIN_RETURN, MAX_RETURN),
            model: self.model,
            versions: VersionFilter::All,
            prompt: if self.model {
                self.call.prompt(&self.entry.dialect)
            } else {
                0
            },
        }
    }

    /// Runs attempts until one gives an answer.
    async fn first(&mut self) -> request::Result<Begun> {
        self.entry.count_request(&self.service);
        let mut failed = None;
        loop {
            match self.attempt().await {
                // A target's failure is the answer if no other target gives one.
                Ok(Begun::Whole(head, body)) if self.is_worth_another(&head) => {
                    self.note(&Failure::Failed(head.status));
                    let answer = Begun::Whole(head, body);
                    if !self.may_repeat() {
                        return Ok(answer);
                    }
                    failed = Some(answer);
                }
                Ok(begun) => return Ok(begun),
                Err(rejection) => return failed.ok_or(rejection),
            }
        }
    }

    /// Sends to targets until one gives a whole answer or begins a stream.
    async fn attempt(&mut self) -> request::Result<Begun> {
        loop {
            let grant = match self.entry.grant(self.ask()).await {
                Ok(grant) => grant,
                Err(refusal) if self.ran == 0 => return Err(Rejection::Refused(refusal)),
                Err(_) => return Err(bad_gateway()),
            };
            self.queue = self.call.arrived.elapsed();
            self.tried.push(grant.target());
            if let Some(quota) = &self.quota {
                // A request that a target did not run counts all the same: the caller's next one
                // is then a little later.
                quota.kept.set(true);
            }
            let begun = match attempt::open(&self.entry, &self.call, grant, None).await {
                Ok(opened) => self.begin(opened).await,
                Err(failure) => Err(failure),
            };
            match begun {
                Ok(begun) => {
                    self.sent += 1;
                    self.ran += 1;
                    return Ok(begun);
                }
                Err(failure) => self.after(&failure)?,
            }
        }
    }

    async fn begin(&self, opened: Opened) -> attempt::Result<Begun> {
        let stream = self.call.route.kind.is_stream() && opened.head.status.is_success();
        if stream {
            let mut opened = opened;
            let events = EventStream::first(&mut opened, self.call.limit).await?;
            return Ok(Begun::Stream(Box::new(opened), events));
        }
        let (head, body) = opened.whole(&self.entry, &self.call).await?;
        Ok(Begun::Whole(head, body))
    }

    /// Logs a whole answer that is a target's failure or late, and a sample of the others.
    fn tell_whole(&self, status: StatusCode, trace: &Trace) {
        let message = match self.call.arrived.elapsed() {
            _ if status.is_server_error() => "failed by target",
            time if time > self.call.route.latency_objective => "late answer",
            _ if self.entry.is_sampled() => "served",
            _ => return,
        };
        tracing::info!(
            part = "request",
            request = trace.request,
            route = %self.call.route.name,
            target = self.target(),
            status = status.as_u16(),
            queue_ms = millis(self.queue),
            total_ms = millis(self.call.arrived.elapsed()),
            attempts = self.tried.len(),
            config = trace.config,
            "{message}"
        );
    }

    /// Returns the name of the last target.
    fn target(&self) -> Option<String> {
        self.entry.target_name(*self.tried.last()?)
    }

    /// Logs and counts a failed attempt.
    fn note(&self, failure: &Failure) {
        self.entry.instruments.count_failure(failure.cause());
        tracing::info!(
            part = "attempt",
            request = self.call.id.to_str().unwrap_or_default(),
            route = %self.call.route.name,
            target = self.target(),
            ?failure,
            ran = failure.may_have_run(),
            attempts = self.tried.len(),
            left_ms = millis(self.call.limit.saturating_duration_since(Instant::now())),
            "attempt failed"
        );
    }

    /// Logs and counts a failed attempt, and what it means for further ones.
    fn fail(&mut self, failure: &Failure) {
        self.note(failure);
        self.sent += u32::from(!matches!(failure, Failure::Unsent(_)));
        if let (Failure::Unknown(_), Some(&target)) = (failure, self.tried.last()) {
            self.entry.note_broken(target, self.call.content);
        }
        if failure.may_have_run() {
            self.ran += 1;
        } else {
            self.unrun += 1;
        }
    }

    /// Decides what follows a failed attempt: `Ok` for another one, or the final answer.
    fn after(&mut self, failure: &Failure) -> request::Result<()> {
        self.fail(failure);
        let again = match failure {
            Failure::Late | Failure::Failed(_) => false,
            Failure::Unknown(_) => self.call.route.kind.is_idempotent() && self.may_repeat(),
            Failure::Unsent(_) => self.unrun < MAX_UNSENT && self.has_time(),
            Failure::NotRun(_) => self.unrun < MAX_UNRUN && self.may_repeat(),
        };
        if again {
            return Ok(());
        }
        Err(match failure {
            _ if self.ran == 0 => refuse(Reason::Rejected, REJECTED_RETURN),
            Failure::Late => Rejection::Unknown(StatusCode::GATEWAY_TIMEOUT, "no_answer_in_time"),
            _ => bad_gateway(),
        })
    }

    /// Reports whether a target's failure should be tried again elsewhere.
    fn is_worth_another(&self, head: &http::response::Parts) -> bool {
        head.status.is_server_error() && self.call.route.kind.is_idempotent()
    }

    /// Reports whether another target may get the request, and takes that out of the budget.
    pub(crate) fn may_repeat(&self) -> bool {
        self.sent < self.call.route.max_attempts
            && self.has_time()
            && !self.entry.is_quarantined(self.call.content)
            && self.entry.take_retry(&self.service)
    }

    fn has_time(&self) -> bool {
        Instant::now() + MIN_LEFT < self.call.limit
    }

    /// Notes that the end of the request is known.
    pub(crate) fn end(&self) {
        self.ended.set(true);
    }

    /// Returns the number of targets that the request was sent to.
    pub(crate) fn attempts(&self) -> usize {
        self.tried.len()
    }

    /// Opens the stream at another target, after the last event that was passed on.
    pub(crate) async fn resume(&mut self, last: Option<&http::HeaderValue>) -> Option<Opened> {
        let RouteKind::Stream {
            resumable: true, ..
        } = self.call.route.kind
        else {
            return None;
        };
        while self.may_repeat() {
            let grant = self.entry.grant(self.ask_again()).await.ok()?;
            self.tried.push(grant.target());
            let failure = match attempt::open(&self.entry, &self.call, grant, last).await {
                Ok(opened) if opened.head.status.is_success() => {
                    self.sent += 1;
                    return Some(opened);
                }
                Ok(opened) => Failure::Failed(opened.head.status),
                Err(failure) => failure,
            };
            self.fail(&failure);
        }
        None
    }

    fn ask_again(&self) -> PlacementRequest {
        /// A stream that broke is worth little after a longer pause.
        const RESUME_PATIENCE: Duration = Duration::from_millis(200);
        PlacementRequest {
            max_wait: RESUME_PATIENCE,
            rank: 0,
            ..self.ask()
        }
    }
}

fn bad_gateway() -> Rejection {
    Rejection::Unknown(StatusCode::BAD_GATEWAY, "no_whole_answer")
}
