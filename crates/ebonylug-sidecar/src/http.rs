use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;

use http::{HeaderMap, Method, StatusCode, Uri};

use ebonylug_core::{AttemptId, Offer, Reason, Refusal};
use ebonylug_events::Stamp;
use ebonylug_net::serve::{self, BodyError, HttpResponse, Request};
use ebonylug_net::shutdown::Phase;
use ebonylug_net::wire::{self, RefusalMessage};

use crate::Shared;
use crate::response::ResponseBuffer;
use crate::state::{Attempt, OfferOutcome};
use crate::target::Call;

/// Maximum size of the body of a dispatch.
const MAX_BODY_BYTES: usize = 16 << 20;
/// Timeout for receiving the body of a dispatch.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Handles one HTTP request of an entry, a health check or a metrics scraper.
pub async fn handle(shared: Arc<Shared>, request: Request) -> HttpResponse {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::GET, "/healthz") => serve::text(StatusCode::OK, "ok\n"),
        (&Method::GET, "/readyz") => ready(&shared),
        (&Method::GET, "/metrics") => serve::text(
            StatusCode::OK,
            shared.instruments.render(&shared.state.report()),
        ),
        _ if !is_authorized(&shared, request.headers()) => {
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

fn ready(shared: &Shared) -> HttpResponse {
    if shared.shutdown.phase() == Phase::Running && shared.state.report().up {
        serve::text(StatusCode::OK, "ready\n")
    } else {
        serve::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}

fn is_authorized(shared: &Shared, headers: &HeaderMap) -> bool {
    wire::bearer(headers).is_some_and(|token| shared.settings.key.accepts(token))
}

async fn dispatch(shared: Arc<Shared>, request: Request) -> HttpResponse {
    let (parts, body) = request.into_parts();
    let (offer, method, path) = match read_dispatch(&parts.headers) {
        Ok(dispatch) => dispatch,
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
    let Some(work) = shared.shutdown.begin_work() else {
        return refuse(&shared, Refusal::new(Reason::Leaving));
    };
    let call = Call {
        attempt: offer.attempt,
        method,
        path,
        headers: forwarded_headers(&parts.headers),
        body,
        offset: offer.offset,
    };
    match shared.state.offer(offer, sent_stamp(&parts.headers)) {
        OfferOutcome::Refuse(refusal) => refuse(&shared, refusal),
        OfferOutcome::Expired => problem(
            StatusCode::GONE,
            "the attempt has run and its answer is no longer retained",
        ),
        OfferOutcome::Join(attempt) => stream(&shared, attempt.response, 0),
        OfferOutcome::Run(attempt) => {
            let response = Arc::clone(&attempt.response);
            let runner = Arc::clone(&shared);
            let writer = response.writer();
            // The attempt continues if the entry's connection breaks.
            shared.tasks.spawn(async move {
                runner.run(call, attempt).await;
                drop(writer);
                drop(work);
            });
            stream(&shared, response, 0)
        }
    }
}

fn read_dispatch(headers: &HeaderMap) -> wire::Result<(Offer, Method, Box<str>)> {
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

/// Reads the logical time of a dispatch, or returns 0 if it is missing, which makes the order of the
/// timeline less precise.
fn sent_stamp(headers: &HeaderMap) -> Stamp {
    let stamp = wire::read_text(headers, &wire::STAMP).ok();
    stamp
        .and_then(|stamp| stamp.parse().ok())
        .map_or(Stamp::default(), Stamp)
}

fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let forwarded = headers
        .iter()
        .filter(|(name, _)| !wire::is_hop_by_hop(name));
    forwarded
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

fn resume(shared: &Shared, id: &str, request: &Request) -> HttpResponse {
    let Ok(id) = id.parse::<AttemptId>() else {
        return problem(StatusCode::BAD_REQUEST, "not an attempt id");
    };
    let expected = wire::read_text(request.headers(), &wire::INCARNATION).ok();
    let own = shared.state.report().incarnation.to_string();
    if expected.is_some_and(|expected| expected != own) {
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
    match shared.state.attempt(id) {
        Some(Attempt { response, .. }) => stream(shared, response, offset),
        None if shared.state.was_admitted(id) => {
            problem(StatusCode::GONE, "the answer is no longer retained")
        }
        None => problem(StatusCode::NOT_FOUND, "the attempt was not run"),
    }
}

fn stream(shared: &Shared, response: Arc<ResponseBuffer>, offset: u64) -> HttpResponse {
    match response.frames(offset) {
        Ok(frames) => serve::streaming(frames.take_until(shared.tasks.cancelled())),
        Err(error) => problem(StatusCode::GONE, &error.to_string()),
    }
}

fn refuse(shared: &Shared, refusal: Refusal) -> HttpResponse {
    shared.instruments.record_refusal(refusal.reason);
    let refused = RefusalMessage {
        refusal,
        report: shared.state.report(),
        stamp: shared.state.recorder().stamp(),
    };
    serve::json(StatusCode::CONFLICT, &refused)
}

fn problem(status: StatusCode, detail: &str) -> HttpResponse {
    serve::json(status, &serde_json::json!({ "detail": detail }))
}
