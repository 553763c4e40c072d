use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;

use http::{HeaderMap, Method, StatusCode, Uri};

use ebonylug_core::{AttemptId, Offer, Reason, Refusal};
use ebonylug_events::Stamp;
use ebonylug_net::serve::{self, BodyError, HttpResponse as Reply, Request};
use ebonylug_net::stop::Phase;
use ebonylug_net::wire::{self, Refused};

use crate::Shared;
use crate::core::{Attempt, Verdict};
use crate::response::ResponseBuffer;
use crate::target::Call;

/// Bound on the body of a request, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;
/// Time to receive the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Answers one request on the data path.
pub async fn handle(shared: Arc<Shared>, request: Request) -> Reply {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::GET, "/healthz") => serve::text(StatusCode::OK, "ok\n"),
        (&Method::GET, "/readyz") => ready(&shared),
        (&Method::GET, "/metrics") => serve::text(
            StatusCode::OK,
            shared.instruments.render(&shared.core.report()),
        ),
        _ if !is_peer(&shared, request.headers()) => {
            problem(StatusCode::UNAUTHORIZED, "wrong shared key")
        }
        (&Method::POST, "/dispatch") => dispatch(shared, request).await,
        (&Method::GET, path) => match path.strip_prefix("/attempts/") {
            Some(id) => resume(&shared, id, &request),
            None => problem(StatusCode::NOT_FOUND, "no such path"),
        },
        _ => problem(StatusCode::NOT_FOUND, "no such path"),
    }
}

fn ready(shared: &Shared) -> Reply {
    if shared.stop.phase() == Phase::Running && shared.core.report().up {
        serve::text(StatusCode::OK, "ready\n")
    } else {
        serve::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}

fn is_peer(shared: &Shared, headers: &HeaderMap) -> bool {
    wire::bearer(headers).is_some_and(|token| shared.settings.key.accepts(token))
}

async fn dispatch(shared: Arc<Shared>, request: Request) -> Reply {
    let (parts, body) = request.into_parts();
    let (offer, method, path) = match read_head(&parts.headers) {
        Ok(head) => head,
        Err(error) => return problem(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    let (_, body) = body.replace_body(());
    let body = match serve::collect(body, MAX_BODY_BYTES, BODY_TIMEOUT).await {
        Ok(body) => body,
        Err(BodyError::TooLarge(_)) => {
            return problem(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
        }
        Err(error) => return problem(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    let Some(work) = shared.stop.begin() else {
        return refuse(&shared, Refusal::new(Reason::Leaving));
    };
    let call = Call {
        attempt: offer.attempt,
        method,
        path,
        headers: passed_headers(&parts.headers),
        body,
        offset: offer.offset,
    };
    match shared.core.offer(offer, sent(&parts.headers)) {
        Verdict::Refuse(refusal) => refuse(&shared, refusal),
        Verdict::Gone => problem(
            StatusCode::GONE,
            "the attempt has run and its answer is no longer retained",
        ),
        Verdict::Join(attempt) => stream(&shared, attempt.answer, 0),
        Verdict::Run(attempt) => {
            let answer = Arc::clone(&attempt.answer);
            let runner = Arc::clone(&shared);
            let writer = answer.writer();
            // The attempt runs on, whatever becomes of the entry's connection.
            shared.tasks.spawn(async move {
                runner.run(call, attempt).await;
                drop(writer);
                drop(work);
            });
            stream(&shared, answer, 0)
        }
    }
}

fn read_head(headers: &HeaderMap) -> wire::Result<(Offer, Method, Box<str>)> {
    let offer = wire::read_offer(headers)?;
    let method = wire::read_text(headers, &wire::METHOD)?;
    let method = method
        .parse()
        .map_err(|_| wire::Error::Invalid(wire::METHOD))?;
    let path = wire::read_text(headers, &wire::PATH)?;
    let uri: Uri = path.parse().map_err(|_| wire::Error::Invalid(wire::PATH))?;
    if uri.authority().is_some() || !path.starts_with('/') {
        return Err(wire::Error::Invalid(wire::PATH));
    }
    Ok((offer, method, path.into()))
}

/// Reads the logical time of a dispatch; without it, the time line is less precise.
fn sent(headers: &HeaderMap) -> Stamp {
    let stamp = wire::read_text(headers, &wire::STAMP).ok();
    stamp
        .and_then(|stamp| stamp.parse().ok())
        .map_or(Stamp::default(), Stamp)
}

fn passed_headers(headers: &HeaderMap) -> HeaderMap {
    let passed = headers
        .iter()
        .filter(|(name, _)| !wire::is_hop_by_hop(name));
    passed
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

fn resume(shared: &Shared, id: &str, request: &Request) -> Reply {
    let Ok(id) = id.parse::<AttemptId>() else {
        return problem(StatusCode::BAD_REQUEST, "not an attempt id");
    };
    let addressed = wire::read_text(request.headers(), &wire::INCARNATION).ok();
    let own = shared.core.report().incarnation.to_string();
    if addressed.is_some_and(|addressed| addressed != own) {
        return problem(
            StatusCode::GONE,
            "the attempt was addressed to an earlier incarnation",
        );
    }
    let offset = request
        .uri()
        .query()
        .and_then(|query| query.strip_prefix("offset="));
    let Ok(offset) = offset.unwrap_or("0").parse() else {
        return problem(StatusCode::BAD_REQUEST, "not an offset");
    };
    match shared.core.attempt(id) {
        Some(Attempt { answer, .. }) => stream(shared, answer, offset),
        None if shared.core.has_run(id) => {
            problem(StatusCode::GONE, "the answer is no longer retained")
        }
        None => problem(StatusCode::NOT_FOUND, "the attempt was not run"),
    }
}

fn stream(shared: &Shared, answer: Arc<ResponseBuffer>, offset: u64) -> Reply {
    match answer.frames(offset) {
        Ok(frames) => serve::streaming(frames.take_until(shared.tasks.cancelled())),
        Err(gone) => problem(StatusCode::GONE, &gone.to_string()),
    }
}

fn refuse(shared: &Shared, refusal: Refusal) -> Reply {
    shared.instruments.refused(refusal.reason);
    let refused = Refused {
        refusal,
        report: shared.core.report(),
        stamp: shared.core.recorder().stamp(),
    };
    serve::json(StatusCode::CONFLICT, &refused)
}

fn problem(status: StatusCode, detail: &str) -> Reply {
    serve::json(status, &serde_json::json!({ "detail": detail }))
}
