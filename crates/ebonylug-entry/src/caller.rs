use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use tokio::sync::mpsc;

use ebonylug_core::{Fingerprint, Name, Reason, Refusal, Repeat, RequestId, Tokens};
use ebonylug_idempotency::CallKey;
use ebonylug_net::frame::Head;
use ebonylug_net::serve::{self, BodyError, HttpResponse, Request};
use ebonylug_net::stop::WorkGuard;
use ebonylug_net::wire;
use ebonylug_resource::{Route, RouteKind, TierSpec};
use ebonylug_routing::{Request as Queued, RequestKey};

use crate::Shared;
use crate::attempt::Call;
use crate::dispatcher::{Dispatcher, Job};
use crate::once::{self, Once};
use crate::prompt::{Prefix, Prompt};
use crate::reply::{self, Fate};
use crate::sink::{Part, Sink};
use crate::view::View;

/// Bound on the body of a request, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;
/// Time to receive the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Parts of an answer that wait for a caller who reads slowly.
const PARTS_AHEAD: usize = 16;
/// The path of chat completions.
const CHAT: &str = "/v1/chat/completions";
/// The prefix of paths of plain services.
const SERVICES: &str = "/services";

/// A rejected request: status and explanation.
type Rejected = (StatusCode, Box<str>);

/// A request whose organisation, route and tier are known.
struct Resolved {
    organisation: Name,
    route: Name,
    tier: ebonylug_core::Tier,
    deadline: Option<Duration>,
    repeat: Repeat,
    stream: bool,
    prompt: Tokens,
    max_output: Tokens,
    prefix: Prefix,
    call: Call,
    key: Option<Box<str>>,
}

/// Answers a request of a caller.
pub async fn handle(shared: Arc<Shared>, request: Request) -> HttpResponse {
    let view = shared.current.view();
    let Some(organisation) =
        wire::bearer(request.headers()).and_then(|token| view.organisation(token))
    else {
        return reply::rejected(
            StatusCode::UNAUTHORIZED,
            "the bearer token is missing or not known",
        );
    };
    let organisation = organisation.clone();
    let (parts, body) = request.into_parts();
    let (_, body) = body.replace_body(());
    let body = match serve::collect(body, MAX_BODY_BYTES, BODY_TIMEOUT).await {
        Ok(body) => body,
        Err(error) => return reply::rejected(body_status(error), &error.to_string()),
    };
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let call = Call {
        method: parts.method,
        path: path.into(),
        headers: passed_headers(&parts.headers),
        body,
    };
    match resolve(&view, organisation, &parts.headers, call) {
        Ok(resolved) => submit(&shared, resolved).await,
        Err((status, message)) => reply::rejected(status, &message),
    }
}

fn body_status(error: BodyError) -> StatusCode {
    match error {
        BodyError::TooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
        BodyError::Timeout => StatusCode::REQUEST_TIMEOUT,
        BodyError::Disconnected => StatusCode::BAD_REQUEST,
    }
}

fn passed_headers(headers: &HeaderMap) -> HeaderMap {
    let passed = headers
        .iter()
        .filter(|(name, _)| !wire::is_hop_by_hop(name));
    passed
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

fn resolve(
    view: &View,
    organisation: Name,
    headers: &HeaderMap,
    call: Call,
) -> Result<Resolved, Rejected> {
    let path = call.path.split('?').next().unwrap_or("/");
    if path == CHAT {
        resolve_chat(view, organisation, headers, call)
    } else if path.starts_with("/services/") {
        resolve_service(view, organisation, headers, call)
    } else {
        Err((StatusCode::NOT_FOUND, "there is no such path".into()))
    }
}

fn resolve_chat(
    view: &View,
    organisation: Name,
    headers: &HeaderMap,
    call: Call,
) -> Result<Resolved, Rejected> {
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
    let (tier, deadline) = urgency(view, &organisation, route, headers)?;
    Ok(Resolved {
        organisation,
        route: route.name().clone(),
        tier,
        deadline,
        repeat: Repeat::Yes,
        stream: prompt.stream,
        prompt: prompt.tokens,
        max_output: prompt.max_output,
        prefix: prompt.prefix,
        call,
        key: None,
    })
}

fn resolve_service(
    view: &View,
    organisation: Name,
    headers: &HeaderMap,
    mut call: Call,
) -> Result<Resolved, Rejected> {
    let target_path: Box<str> = call.path[SERVICES.len()..].into();
    let path = target_path.split('?').next().unwrap_or("/");
    let route = view.document.service_route(path).ok_or_else(|| {
        let message = format!("no route serves the path {path:?}");
        (StatusCode::NOT_FOUND, message.into())
    })?;
    let RouteKind::Service(service) = &route.spec.kind else {
        return Err((StatusCode::NOT_FOUND, "the route serves no paths".into()));
    };
    let once = service.is_once(call.method.as_str(), path);
    let key = idempotency_key(headers)?;
    if once && key.is_none() {
        let message =
            "the call may not be repeated, so it needs an Idempotency-Key header; it was not run";
        return Err((StatusCode::BAD_REQUEST, message.into()));
    }
    let (tier, deadline) = urgency(view, &organisation, route, headers)?;
    let route = route.name().clone();
    call.path = target_path;
    Ok(Resolved {
        organisation,
        route,
        tier,
        deadline,
        repeat: if once { Repeat::No } else { Repeat::Yes },
        stream: false,
        prompt: Tokens(1),
        max_output: Tokens::ZERO,
        prefix: Prefix::new(),
        call,
        key,
    })
}

/// Bound on the length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

fn idempotency_key(headers: &HeaderMap) -> Result<Option<Box<str>>, Rejected> {
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

/// Finds tier and deadline: the caller's headers, then the organisation's tier for the route, then
/// the route's own.
fn urgency(
    view: &View,
    organisation: &Name,
    route: &Route,
    headers: &HeaderMap,
) -> Result<(ebonylug_core::Tier, Option<Duration>), Rejected> {
    let invalid = |message: String| (StatusCode::BAD_REQUEST, message.into_boxed_str());
    let asked = match headers.get(wire::TIER) {
        Some(value) => Some(
            value
                .to_str()
                .map_err(|_| invalid("the tier is not valid".into()))?,
        ),
        None => None,
    };
    let own = view
        .document
        .get::<ebonylug_resource::OrganisationSpec>(organisation.as_str())
        .and_then(|organisation| organisation.spec.tiers.get(route.name().as_str()).cloned());
    let name = asked
        .map(Name::new)
        .or(own)
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

async fn submit(shared: &Arc<Shared>, resolved: Resolved) -> HttpResponse {
    let id = RequestId::random(&mut rand::rng());
    let Some(work) = shared.stop.begin() else {
        return reply::fate(id, Fate::NotRun(Refusal::new(Reason::Leaving)));
    };
    let queued = queued(shared, id, &resolved);
    let (sender, parts) = mpsc::channel(PARTS_AHEAD);
    let waiting = match (resolved.repeat, &resolved.key) {
        (Repeat::No, Some(key)) => {
            let key = CallKey::new(&resolved.organisation, key);
            submit_once(shared, queued, key, resolved.call, sender).map(|()| None)
        }
        _ => submit_plain(shared, queued, resolved, sender).map(Some),
    };
    match waiting {
        Ok(waiting) => answer(id, parts, (waiting, work)).await,
        Err(refusal) => reply::fate(id, Fate::NotRun(refusal)),
    }
}

fn submit_plain(
    shared: &Shared,
    queued: Queued,
    resolved: Resolved,
    parts: mpsc::Sender<Part>,
) -> Result<Waiting, Refusal> {
    let job = Job {
        tier: resolved.tier,
        call: Arc::new(resolved.call),
        sink: Sink::new(parts, resolved.stream, shared.settings.stall),
        streamed: resolved.stream,
    };
    let key = shared.dispatcher.enqueue(queued, job)?;
    Ok(Waiting {
        dispatcher: Arc::clone(&shared.dispatcher),
        key,
    })
}

/// Starts a call that may not be repeated. Its task goes on when the caller hangs up, and counts as
/// work in flight of its own.
fn submit_once(
    shared: &Arc<Shared>,
    queued: Queued,
    key: CallKey,
    call: Call,
    parts: mpsc::Sender<Part>,
) -> Result<(), Refusal> {
    let work = shared.stop.begin().ok_or(Refusal::new(Reason::Leaving))?;
    let once = Once {
        queued,
        key,
        call: Arc::new(call),
        parts,
    };
    let shared = Arc::clone(shared);
    shared.tasks.clone().spawn(async move {
        once::run(shared, once).await;
        drop(work);
    });
    Ok(())
}

fn queued(shared: &Shared, id: RequestId, resolved: &Resolved) -> Queued {
    let (route, organisation) = shared.dispatcher.update(|router| {
        (
            router.route_key(&resolved.route),
            router.organisation_key(&resolved.organisation),
        )
    });
    Queued {
        id,
        route,
        organisation,
        tier: resolved.tier,
        prompt: resolved.prompt,
        max_output: resolved.max_output,
        prefix: resolved.prefix.clone(),
        fingerprint: fingerprint(&resolved.call),
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

/// Ends the request when the caller hangs up.
struct Waiting {
    dispatcher: Arc<Dispatcher>,
    key: RequestKey,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.dispatcher.cancel(self.key);
    }
}

async fn answer(
    id: RequestId,
    mut parts: mpsc::Receiver<Part>,
    waiting: (Option<Waiting>, WorkGuard),
) -> HttpResponse {
    let head = match parts.recv().await {
        Some(Part::Head(head)) => head,
        Some(Part::Refused(refusal)) => return reply::fate(id, Fate::NotRun(refusal)),
        Some(Part::Failed) => return reply::fate(id, Fate::Failed),
        Some(Part::Mismatch) => {
            let message = "the Idempotency-Key was used with another request; this one was not run";
            return reply::rejected(StatusCode::UNPROCESSABLE_ENTITY, message);
        }
        // An end without a head is not an answer.
        Some(Part::Unknown | Part::Data(_) | Part::End) | None => {
            return reply::fate(id, Fate::Unknown);
        }
    };
    let body = Body {
        id,
        parts,
        events: is_event_stream(&head),
        ended: false,
        _waiting: waiting,
    };
    let body = futures_util::stream::unfold(body, |mut body| async move {
        let part = body.next().await?;
        Some((part, body))
    });
    let mut answer = serve::streaming(body);
    set_head(&mut answer, &head);
    reply::insert(&mut answer, wire::REQUEST, &id.to_string());
    answer
}

fn is_event_stream(head: &Head) -> bool {
    let kind = head
        .headers
        .iter()
        .find(|(name, _)| &**name == "content-type");
    kind.is_some_and(|(_, kind)| kind.starts_with("text/event-stream"))
}

/// The body of an answer that is passed on as it arrives.
struct Body {
    id: RequestId,
    parts: mpsc::Receiver<Part>,
    /// Whether the answer is a stream of events.
    events: bool,
    ended: bool,
    _waiting: (Option<Waiting>, WorkGuard),
}

impl Body {
    async fn next(&mut self) -> Option<std::io::Result<Bytes>> {
        if self.ended {
            return None;
        }
        let fate = match self.parts.recv().await {
            Some(Part::Data(data)) => return Some(Ok(data)),
            Some(Part::End) => return None,
            Some(Part::Failed) => Fate::Failed,
            Some(Part::Refused(_) | Part::Unknown | Part::Mismatch | Part::Head(_)) | None => {
                Fate::Unknown
            }
        };
        self.ended = true;
        Some(self.broken(fate))
    }

    /// States in a last event that the answer is not whole. Other kinds of answers are broken off,
    /// so that the caller does not take them for whole.
    fn broken(&self, fate: Fate) -> std::io::Result<Bytes> {
        if self.events {
            let event = reply::error_body(fate, Some(self.id));
            Ok(format!("data: {event}\n\n").into())
        } else {
            Err(std::io::Error::other("the answer is not whole"))
        }
    }
}

fn set_head(answer: &mut HttpResponse, head: &Head) {
    *answer.status_mut() = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    for (name, value) in &head.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_str(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            answer.headers_mut().append(name, value);
        }
    }
}
