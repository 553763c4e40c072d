use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use ebonylug_dispatch::{Outcome, ResponseLatency, Revocation, TargetKey};
use ebonylug_net::wire;
use http::response::Parts;
use http::{HeaderMap, HeaderValue, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use tokio::time::Instant;

use crate::entry::Entry;
use crate::notices;
use crate::pool::{Error, PooledConnection};
use crate::read_limits::{self, BodyBuffer, ResponseLimits};
use crate::request::{BufferedRequest, header_number};
use crate::server_load;
use crate::slot::SlotGuard;

/// The maximum size of the body of a response that reports that the request did not run.
const MAX_NOT_RUN_BYTES: usize = 32 << 10;

/// A response whose head has arrived.
pub(crate) struct OpenResponse {
    pub(crate) head: Parts,
    pub(crate) body: Incoming,
    pub(crate) connection: PooledConnection,
    pub(crate) slot: SlotGuard,
    /// When the request was sent.
    pub(crate) sent: Instant,
    /// Whether the end of the body can be told from a closed connection.
    is_framed: bool,
}

/// Why an attempt returned no response for the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// The request did not reach the target.
    Unsent(Box<str>),
    /// The request was not sent, since something became known after the target was selected.
    Revoked(Revocation),
    /// The target reported that it did not run the request.
    NotRun(StatusCode),
    /// The request may have run.
    Unknown(Box<str>),
    /// The target reported a failure of its own.
    Failed(StatusCode),
    /// The deadline passed. The request may have run.
    Late,
}

impl Failure {
    /// Reports whether the request may have run.
    pub(crate) fn may_have_run(&self) -> bool {
        !matches!(
            self,
            Failure::Unsent(_) | Failure::Revoked(_) | Failure::NotRun(_)
        )
    }

    /// Returns the value of the `cause` label in metrics.
    pub(crate) fn cause(&self) -> &'static str {
        match self {
            Failure::Unsent(_) => "unsent",
            Failure::Revoked(_) => "revoked",
            Failure::NotRun(_) => "not_run",
            Failure::Unknown(_) => "unknown",
            Failure::Failed(_) => "failed",
            Failure::Late => "late",
        }
    }
}

pub(crate) type Result<T, E = Failure> = std::result::Result<T, E>;

/// Sends a request to a target and waits for the head of the response.
pub(crate) async fn open(
    entry: &Rc<Entry>,
    request: &BufferedRequest,
    slot: SlotGuard,
    last_event: Option<&HeaderValue>,
) -> Result<OpenResponse> {
    let target = slot.target();
    let Some(info) = entry.target(target) else {
        return Err(Failure::Revoked(Revocation::Gone));
    };
    let dialect = &entry.dialect;
    let acquired =
        tokio::time::timeout_at(request.deadline, entry.pool.acquire(target, info.address)).await;
    let mut connection = match acquired {
        Ok(Ok(connection)) => connection,
        Ok(Err(error)) => {
            slot.set_outcome(Outcome::Unreachable);
            return Err(Failure::Unsent(error.to_string().into()));
        }
        Err(_) => return Err(Failure::Unsent("no connection before the deadline".into())),
    };
    slot.confirm(&request.causes).map_err(Failure::Revoked)?;
    let outgoing = request.to_target(dialect, &info.name, last_event);
    let sent = Instant::now();
    let max_head = entry.bounds.get().responses.head;
    let send = connection.send(outgoing, max_head);
    let response = match tokio::time::timeout_at(request.deadline, send).await {
        Ok(Ok(response)) => response,
        Ok(Err(error @ (Error::Unsent | Error::Connect(_)))) => {
            return Err(Failure::Unsent(error.to_string().into()));
        }
        Ok(Err(error)) => {
            // A reused connection may fail merely because the target closed it while it was idle.
            if !connection.is_reused() || matches!(error, Error::Malformed(_)) {
                slot.set_outcome(Outcome::Broken);
            }
            return Err(Failure::Unknown(error.to_string().into()));
        }
        Err(_) => {
            slot.set_outcome(Outcome::Broken);
            return Err(Failure::Late);
        }
    };
    slot.record_sign();
    let (head, body) = response.into_parts();
    if !is_valid_status(&head) {
        slot.set_outcome(Outcome::Broken);
        let error = format!("the status {} is invalid", head.status.as_u16());
        return Err(Failure::Unknown(error.into()));
    }
    if let Some(cold) = header_number(&head.headers, &dialect.cold_time) {
        entry.mark_cold(target, Duration::from_millis(cold));
    }
    let echoed = head.headers.get(&dialect.request_id);
    if echoed.is_some_and(|id| *id != request.id) {
        slot.set_outcome(Outcome::Broken);
        return Err(Failure::Unknown(
            "the response belongs to another request".into(),
        ));
    }
    if echoed.is_none() {
        // A copy of this response may follow, and could not be told from one to the next request.
        connection.close_after_use();
    }
    // Another start of the target may be listed by now, under the same key.
    if entry
        .target(target)
        .is_some_and(|listed| listed.started_ms == info.started_ms)
    {
        record_limit(entry, target, &head);
        server_load::record(entry, target, &head);
    }
    notices::record(entry, &info, &head);
    let misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
    let says_not_run = head.headers.contains_key(&dialect.not_run);
    if misdirected || (says_not_run && !head.status.is_success()) {
        slot.set_outcome(if misdirected {
            Outcome::Broken
        } else {
            Outcome::Refused
        });
        let failure = Failure::NotRun(head.status);
        drain(entry, body, connection).await;
        return Err(failure);
    }
    if is_promise(head.status) && !request.route.kind.is_idempotent() {
        slot.set_outcome(Outcome::Failed);
        return Err(Failure::Failed(head.status));
    }
    let is_valid = head.headers.contains_key(&dialect.signature)
        && !says_not_run
        && !head.headers.contains_key(header::CONTENT_ENCODING);
    if head.status.is_success() && !(is_valid && echoed.is_some()) {
        slot.set_outcome(Outcome::Broken);
        return Err(Failure::Unknown(
            "the response has no valid signature".into(),
        ));
    }
    // A response without a body, such as one with the status 204, ends with its head.
    let is_framed = wire::announces_body(&head.headers) || body.is_end_stream();
    Ok(OpenResponse {
        head,
        is_framed,
        body,
        connection,
        slot,
        sent,
    })
}

/// Records the limit that a response names. Only a signed response without a limit withdraws it.
fn record_limit(entry: &Entry, target: TargetKey, head: &Parts) {
    let dialect = &entry.dialect;
    match head.headers.get(&dialect.rate_limit) {
        Some(value) => match parse_rate(value) {
            Some(rate) => entry.record_limit(target, Some(rate)),
            None => tracing::debug!(part = "targets", ?value, "limit is no number"),
        },
        None if head.headers.contains_key(&dialect.signature) => entry.record_limit(target, None),
        None => {}
    }
}

fn parse_rate(value: &HeaderValue) -> Option<f64> {
    let rate: f64 = value.to_str().ok()?.trim().parse().ok()?;
    (rate.is_finite() && rate >= 0.0).then_some(rate)
}

/// Reports whether callers take a status for the promise that the request has not run and never will. Targets
/// that fail use some of these as well, after they have run a request.
fn is_promise(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Reports whether a status ends a request and fits the head. A wrong byte may turn another status into 204,
/// and hyper then drops the body.
fn is_valid_status(head: &Parts) -> bool {
    match head.status.as_u16() {
        204 => !has_body_fields(&head.headers),
        status => (200..600).contains(&status),
    }
}

fn has_body_fields(headers: &HeaderMap) -> bool {
    let length = headers.get(header::CONTENT_LENGTH);
    length.is_some_and(|length| length != "0") || headers.contains_key(header::TRANSFER_ENCODING)
}

/// Reads the rest of a short response, so that its connection can be reused. If that takes
/// too long, the connection is closed.
async fn drain(entry: &Entry, body: Incoming, connection: PooledConnection) {
    const DRAIN_TIMEOUT: Duration = Duration::from_millis(20);
    let limits = ResponseLimits {
        body: MAX_NOT_RUN_BYTES,
        ..entry.bounds.get().responses
    };
    let Ok(mut buffer) = new_buffer(entry, limits, &body) else {
        return;
    };
    let read = collect(entry, &mut buffer, body);
    if let Ok(Ok(())) = tokio::time::timeout(DRAIN_TIMEOUT, read).await {
        entry.release_connection(connection);
    }
}

impl OpenResponse {
    /// Reports whether the end of the body can be told from a closed connection.
    pub(crate) fn is_framed(&self) -> bool {
        self.is_framed
    }

    /// Reports whether a body that has ended is complete.
    pub(crate) fn has_whole_body(&self) -> bool {
        self.is_framed() || self.connection.is_complete()
    }

    /// Reports whether the response shows that the request ran: the target has signed it.
    pub(crate) fn shows_run(&self, entry: &Entry) -> bool {
        self.head.headers.contains_key(&entry.dialect.signature)
    }

    /// Reads the whole body of a response that is not a stream.
    pub(crate) async fn read_body(
        self,
        entry: &Entry,
        request: &BufferedRequest,
    ) -> Result<(Parts, Bytes)> {
        let OpenResponse {
            head,
            body,
            connection,
            slot,
            sent,
            is_framed,
        } = self;
        let buffer = new_buffer(entry, entry.bounds.get().responses, &body);
        let mut buffer = buffer.map_err(|error| {
            slot.set_outcome(Outcome::Broken);
            Failure::Unknown(error.to_string().into())
        })?;
        let read = collect(entry, &mut buffer, body);
        let read = tokio::time::timeout_at(request.deadline, read).await;
        let is_whole = is_framed || connection.is_complete();
        match read {
            Ok(Ok(())) if !is_whole => {
                slot.set_outcome(Outcome::Broken);
                Err(Failure::Unknown("the connection broke off".into()))
            }
            Ok(Ok(())) => {
                let failed = head.status.is_server_error();
                slot.set_outcome(if failed {
                    Outcome::Failed
                } else {
                    Outcome::Answered
                });
                if !failed {
                    let time = sent.elapsed();
                    slot.set_pace(time.as_secs_f64());
                    let late = time > request.route.latency_objective;
                    slot.record_latency(ResponseLatency::of_response(time), late);
                }
                entry.release_connection(connection);
                Ok((head, buffer.into_bytes()))
            }
            Ok(Err(error)) => {
                slot.set_outcome(Outcome::Broken);
                Err(Failure::Unknown(error))
            }
            Err(_) => {
                // The target is not at fault if this entry had no memory for the body.
                if !buffer.is_blocked() {
                    slot.set_outcome(Outcome::Broken);
                }
                Err(Failure::Late)
            }
        }
    }
}

/// Returns an empty buffer for a body.
fn new_buffer(
    entry: &Entry,
    limits: ResponseLimits,
    body: &Incoming,
) -> read_limits::Result<BodyBuffer> {
    let length = body.size_hint().exact();
    let length = length.map(|length| usize::try_from(length).unwrap_or(usize::MAX));
    BodyBuffer::new(limits, length, &entry.memory)
}

/// Reads a whole body.
async fn collect(
    entry: &Entry,
    buffer: &mut BodyBuffer,
    mut body: Incoming,
) -> std::result::Result<(), Box<str>> {
    let limit = || entry.memory_limit();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| error.to_string())?;
        if let Ok(part) = frame.into_data() {
            let pushed = buffer.push(&part, limit).await;
            pushed.map_err(|error| error.to_string())?;
        }
    }
    Ok(())
}
