use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use tokio::sync::mpsc;

use ebonylug_core::{Fingerprint, Name, PromptParts, Reason, Refusal, Repeat, RequestId, Tokens};
use ebonylug_idempotency::CallKey;
use ebonylug_net::frame::Head;
use ebonylug_net::serve::{self, BodyError, HttpResponse, Request};
use ebonylug_net::shutdown::WorkGuard;
use ebonylug_net::wire;
use ebonylug_resource::{Route, RouteKind, TierSpec};
use ebonylug_routing::{Request as RoutingRequest, RequestKey};

use crate::Shared;
use crate::at_most_once::{self, AtMostOnceCall};
use crate::attempt::Call;
use crate::dispatcher::{Dispatcher, Job};
use crate::prompt::{Prefix, Prompt};
use crate::reply::{self, RequestError};
use crate::sink::{ResponsePart, Sink};
use crate::view::ConfigView;

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 16 << 20;
/// Timeout for receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of response parts queued for a slow reader.
const MAX_PENDING_PARTS: usize = 16;
/// The path that serves chat completions.
const CHAT_PATH: &str = "/v1/chat/completions";
/// The path prefix of service routes; removed before a call is forwarded.
const SERVICES_PREFIX: &str = "/services";

/// The status and message for a request that is rejected before it is queued.
type Rejection = (StatusCode, Box<str>);

/// A request with its organisation, route and tier resolved.
struct ResolvedRequest {
    organisation: Name,
    route: Name,
    tier: ebonylug_core::Tier,
    deadline: Option<Duration>,
    repeat: Repeat,
    stream: bool,
    prompt_tokens: Tokens,
    max_output: Tokens,
    prefix: Prefix,
    parts: PromptParts,
    call: Call,
    key: Option<Box<str>>,
}

/// Authenticates, resolves and queues a caller's request, and returns the response.
pub async fn handle(shared: Arc<Shared>, request: Request) -> HttpResponse {
    let view = shared.current.view();
    let Some(organisation) =
        wire::bearer(request.headers()).and_then(|token| view.organisation(token))
    else {
        return reply::rejection(
            StatusCode::UNAUTHORIZED,
            "the bearer token is missing or not known",
        );
    };
    let organisation = organisation.clone();
    let (parts, body) = request.into_parts();
    let (_, body) = body.replace_body(());
    let body = match serve::collect(body, MAX_BODY_BYTES, BODY_TIMEOUT).await {
        Ok(body) => body,
        Err(error) => return reply::rejection(body_status(error), &error.to_string()),
    };
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let call = Call {
        method: parts.method,
        path: path.into(),
        headers: forwarded_headers(&parts.headers),
        body,
    };
    match resolve(&view, organisation, &parts.headers, call) {
        Ok(resolved) => submit(&shared, resolved).await,
        Err((status, message)) => reply::rejection(status, &message),
    }
}

fn body_status(error: BodyError) -> StatusCode {
    match error {
        BodyError::TooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
        BodyError::Timeout => StatusCode::REQUEST_TIMEOUT,
        BodyError::Disconnected => StatusCode::BAD_REQUEST,
    }
}

fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let forwarded = headers
        .iter()
        .filter(|(name, _)| !wire::is_hop_by_hop(name));
    forwarded
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

fn resolve(
    view: &ConfigView,
    organisation: Name,
    headers: &HeaderMap,
    call: Call,
) -> Result<ResolvedRequest, Rejection> {
    let path = call.path.split('?').next().unwrap_or("/");
    if path == CHAT_PATH {
        resolve_chat(view, organisation, headers, call)
    } else if path.starts_with("/services/") {
        resolve_service(view, organisation, headers, call)
    } else {
        Err((StatusCode::NOT_FOUND, "there is no such path".into()))
    }
}

fn resolve_chat(
    view: &ConfigView,
    organisation: Name,
    headers: &HeaderMap,
    call: Call,
) -> Result<ResolvedRequest, Rejection> {
    if call.method != Method::POST {
        return Err((
            StatusCode::METHOD_NOT_ALLOWED,
            "chat completions are posted".into(),
        ));
    }
    let prompt = Prompt::parse(&call.body).map_err(|error| {
        let message = format!("the body is not a chat completion: {error}");
        (StatusCode::BAD_REQUEST, message.into())
    })?;
    let route = view.document.chat_route(&prompt.model).ok_or_else(|| {
        let message = format!("no route serves the model {:?}", prompt.model);
        (StatusCode::NOT_FOUND, message.into())
    })?;
    let (tier, deadline) = resolve_tier(view, &organisation, route, headers)?;
    Ok(ResolvedRequest {
        organisation,
        route: route.name().clone(),
        tier,
        deadline,
        repeat: Repeat::Yes,
        stream: prompt.stream,
        prompt_tokens: prompt.tokens,
        max_output: prompt.max_output,
        prefix: prompt.prefix,
        parts: prompt.parts,
        call,
        key: None,
    })
}

fn resolve_service(
    view: &ConfigView,
    organisation: Name,
    headers: &HeaderMap,
    mut call: Call,
) -> Result<ResolvedRequest, Rejection> {
    let target_path: Box<str> = call.path[SERVICES_PREFIX.len()..].into();
    let path = target_path.split('?').next().unwrap_or("/");
    let route = view.document.service_route(path).ok_or_else(|| {
        let message = format!("no route serves the path {path:?}");
        (StatusCode::NOT_FOUND, message.into())
    })?;
    let RouteKind::Service(service) = &route.spec.kind else {
        return Err((StatusCode::NOT_FOUND, "the route serves no paths".into()));
    };
    let at_most_once = service.requires_idempotency_key(call.method.as_str(), path);
    let key = idempotency_key(headers)?;
    if at_most_once && key.is_none() {
        let message =
            "the call may not be repeated, so it needs an Idempotency-Key header; it was not run";
        return Err((StatusCode::BAD_REQUEST, message.into()));
    }
    let (tier, deadline) = resolve_tier(view, &organisation, route, headers)?;
    let route = route.name().clone();
    call.path = target_path;
    Ok(ResolvedRequest {
        organisation,
        route,
        tier,
        deadline,
        repeat: if at_most_once {
            Repeat::No
        } else {
            Repeat::Yes
        },
        stream: false,
        prompt_tokens: Tokens(1),
        max_output: Tokens::ZERO,
        prefix: Prefix::new(),
        parts: PromptParts::new(),
        call,
        key,
    })
}

/// Maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 256;

fn idempotency_key(headers: &HeaderMap) -> Result<Option<Box<str>>, Rejection> {
    let Some(value) = headers.get(wire::IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    let valid = value
        .to_str()
        .ok()
        .filter(|key| !key.is_empty() && key.len() <= MAX_KEY_BYTES);
    match valid {
        Some(key) => Ok(Some(key.into())),
        None => Err((
            StatusCode::BAD_REQUEST,
            "the Idempotency-Key must have 1 to 256 visible ASCII characters".into(),
        )),
    }
}

/// Resolves the tier and deadline of a request.
///
/// The tier comes from the caller's header, else from the organisation's setting for the route,
/// else from the route. The deadline comes from the caller's header, else from the route, else from
/// the tier.
fn resolve_tier(
    view: &ConfigView,
    organisation: &Name,
    route: &Route,
    headers: &HeaderMap,
) -> Result<(ebonylug_core::Tier, Option<Duration>), Rejection> {
    let invalid = |message: String| (StatusCode::BAD_REQUEST, message.into_boxed_str());
    let requested = match headers.get(wire::TIER) {
        Some(value) => Some(
            value
                .to_str()
                .map_err(|_| invalid("the tier is not valid".into()))?,
        ),
        None => None,
    };
    let organisation_tier = view
        .document
        .get::<ebonylug_resource::OrganisationSpec>(organisation.as_str())
        .and_then(|organisation| organisation.spec.tiers.get(route.name().as_str()).cloned());
    let name = requested
        .map(Name::new)
        .or(organisation_tier)
        .unwrap_or_else(|| route.spec.tier.clone());
    let tier = view.document.get::<TierSpec>(name.as_str());
    let tier = tier.ok_or_else(|| invalid(format!("there is no tier {:?}", name.as_str())))?;
    let deadline = match headers.get(wire::DEADLINE) {
        Some(value) => Some(
            seconds(value)
                .ok_or_else(|| invalid("the deadline is not a number of seconds".into()))?,
        ),
        None => route
            .spec
            .deadline
            .or(tier.spec.deadline)
            .map(|span| span.0),
    };
    Ok((tier.spec.tier(), deadline))
}

fn seconds(value: &HeaderValue) -> Option<Duration> {
    let seconds: f64 = value.to_str().ok()?.parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

async fn submit(shared: &Arc<Shared>, resolved: ResolvedRequest) -> HttpResponse {
    let id = RequestId::random(&mut rand::rng());
    let Some(work) = shared.shutdown.begin_work() else {
        return reply::error_response(id, RequestError::NotRun(Refusal::new(Reason::Leaving)));
    };
    let request = routing_request(shared, id, &resolved);
    let (sender, parts) = mpsc::channel(MAX_PENDING_PARTS);
    let guard = match (resolved.repeat, &resolved.key) {
        (Repeat::No, Some(key)) => {
            let key = CallKey::new(&resolved.organisation, key);
            submit_at_most_once(shared, request, key, resolved.call, sender).map(|()| None)
        }
        _ => submit_repeatable(shared, request, resolved, sender).map(Some),
    };
    match guard {
        Ok(guard) => respond(id, parts, (guard, work)).await,
        Err(refusal) => reply::error_response(id, RequestError::NotRun(refusal)),
    }
}

fn submit_repeatable(
    shared: &Shared,
    request: RoutingRequest,
    resolved: ResolvedRequest,
    parts: mpsc::Sender<ResponsePart>,
) -> Result<CancelOnDrop, Refusal> {
    let job = Job {
        tier: resolved.tier,
        call: Arc::new(resolved.call),
        sink: Sink::new(parts, resolved.stream, shared.settings.stall),
        streamed: resolved.stream,
    };
    let key = shared.dispatcher.enqueue(request, job)?;
    Ok(CancelOnDrop {
        dispatcher: Arc::clone(&shared.dispatcher),
        key,
    })
}

/// Starts a call that must not be repeated. Its task continues after the caller disconnects, and
/// counts as separate work in flight.
fn submit_at_most_once(
    shared: &Arc<Shared>,
    request: RoutingRequest,
    key: CallKey,
    call: Call,
    parts: mpsc::Sender<ResponsePart>,
) -> Result<(), Refusal> {
    let work = shared
        .shutdown
        .begin_work()
        .ok_or(Refusal::new(Reason::Leaving))?;
    let call = AtMostOnceCall {
        request,
        key,
        payload: Arc::new(call),
        parts,
    };
    let shared = Arc::clone(shared);
    shared.tasks.clone().spawn(async move {
        at_most_once::run(shared, call).await;
        drop(work);
    });
    Ok(())
}

fn routing_request(shared: &Shared, id: RequestId, resolved: &ResolvedRequest) -> RoutingRequest {
    let (route, organisation) = shared.dispatcher.update_router(|router| {
        (
            router.route_key(&resolved.route),
            router.organisation_key(&resolved.organisation),
        )
    });
    RoutingRequest {
        id,
        route,
        organisation,
        tier: resolved.tier,
        prompt: resolved.prompt_tokens,
        max_output: resolved.max_output,
        prefix: resolved.prefix.clone(),
        fingerprint: fingerprint(&resolved.call),
        parts: resolved.parts.clone(),
        deadline: resolved.deadline.map(|time| shared.clock.now() + time),
        repeat: resolved.repeat,
        offset: 0,
    }
}

fn fingerprint(call: &Call) -> Fingerprint {
    let mut content = Vec::with_capacity(call.path.len() + call.body.len() + 1);
    content.extend_from_slice(call.path.as_bytes());
    content.push(b'\n');
    content.extend_from_slice(&call.body);
    Fingerprint::of(&content)
}

/// Cancels the request when dropped, which happens when the caller disconnects.
struct CancelOnDrop {
    dispatcher: Arc<Dispatcher>,
    key: RequestKey,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        self.dispatcher.cancel(self.key);
    }
}

async fn respond(
    id: RequestId,
    mut parts: mpsc::Receiver<ResponsePart>,
    guards: (Option<CancelOnDrop>, WorkGuard),
) -> HttpResponse {
    let head = match parts.recv().await {
        Some(ResponsePart::Head(head)) => head,
        Some(ResponsePart::Refused(refusal)) => {
            return reply::error_response(id, RequestError::NotRun(refusal));
        }
        Some(ResponsePart::Failed) => return reply::error_response(id, RequestError::Failed),
        Some(ResponsePart::Mismatch) => {
            let message = "the Idempotency-Key was used with another request; this one was not run";
            return reply::rejection(StatusCode::UNPROCESSABLE_ENTITY, message);
        }
        // A body or an end without a head is not a valid response.
        Some(ResponsePart::Unknown | ResponsePart::Data(_) | ResponsePart::End) | None => {
            return reply::error_response(id, RequestError::Unknown);
        }
    };
    let body = ResponseBody {
        id,
        parts,
        event_stream: is_event_stream(&head),
        ended: false,
        _guards: guards,
    };
    let body = futures_util::stream::unfold(body, |mut body| async move {
        let part = body.next().await?;
        Some((part, body))
    });
    let mut response = serve::streaming(body);
    set_head(&mut response, &head);
    reply::insert(&mut response, wire::REQUEST, &id.to_string());
    response
}

fn is_event_stream(head: &Head) -> bool {
    let kind = head
        .headers
        .iter()
        .find(|(name, _)| &**name == "content-type");
    kind.is_some_and(|(_, kind)| kind.starts_with("text/event-stream"))
}

/// A response body that is forwarded as it arrives.
struct ResponseBody {
    id: RequestId,
    parts: mpsc::Receiver<ResponsePart>,
    /// Whether the response is a stream of server-sent events.
    event_stream: bool,
    ended: bool,
    _guards: (Option<CancelOnDrop>, WorkGuard),
}

impl ResponseBody {
    async fn next(&mut self) -> Option<std::io::Result<Bytes>> {
        if self.ended {
            return None;
        }
        let error = match self.parts.recv().await {
            Some(ResponsePart::Data(data)) => return Some(Ok(data)),
            Some(ResponsePart::End) => return None,
            Some(ResponsePart::Failed) => RequestError::Failed,
            Some(
                ResponsePart::Refused(_)
                | ResponsePart::Unknown
                | ResponsePart::Mismatch
                | ResponsePart::Head(_),
            )
            | None => RequestError::Unknown,
        };
        self.ended = true;
        Some(self.incomplete(error))
    }

    /// Reports that the response is incomplete: as a final event in an event stream. Other bodies
    /// are aborted, so that the caller does not take them for complete.
    fn incomplete(&self, error: RequestError) -> std::io::Result<Bytes> {
        if self.event_stream {
            let event = reply::error_body(error, Some(self.id));
            Ok(format!("data: {event}\n\n").into())
        } else {
            Err(std::io::Error::other("the response is incomplete"))
        }
    }
}

fn set_head(response: &mut HttpResponse, head: &Head) {
    *response.status_mut() = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    for (name, value) in &head.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_str(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
}
