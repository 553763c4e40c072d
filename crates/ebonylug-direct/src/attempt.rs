use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use ebonylug_dispatch::Outcome;
use http::response::Parts;
use http::{HeaderValue, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::entry::Entry;
use crate::grant::Grant;
use crate::pool::{Error, PooledConnection};
use crate::request::{Call, number};

/// Bytes of an answer that is not a stream.
const MAX_ANSWER: usize = 8 << 20;

/// An answer whose head has arrived.
pub(crate) struct Opened {
    pub(crate) head: Parts,
    pub(crate) body: Incoming,
    pub(crate) connection: PooledConnection,
    pub(crate) grant: Grant,
    /// When the request was sent.
    pub(crate) sent: Instant,
}

/// What became of an attempt that gave no answer to pass on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// The request did not reach the target.
    Unsent(Box<str>),
    /// The target states that it did not run the request.
    NotRun(StatusCode),
    /// The request may have run.
    Unknown(Box<str>),
    /// The target states a failure of its own.
    Failed(StatusCode),
    /// The time limit passed; the request may have run.
    Late,
}

impl Failure {
    /// Reports whether the request may have run.
    pub(crate) fn may_have_run(&self) -> bool {
        !matches!(self, Failure::Unsent(_) | Failure::NotRun(_))
    }

    /// Returns the name in metrics.
    pub(crate) fn cause(&self) -> &'static str {
        match self {
            Failure::Unsent(_) => "unsent",
            Failure::NotRun(_) => "not_run",
            Failure::Unknown(_) => "unknown",
            Failure::Failed(_) => "failed",
            Failure::Late => "late",
        }
    }
}

pub(crate) type Result<T, E = Failure> = std::result::Result<T, E>;

/// Sends a request to a target and waits for the head of the answer.
pub(crate) async fn open(
    entry: &Rc<Entry>,
    call: &Call,
    grant: Grant,
    last_event: Option<&HeaderValue>,
) -> Result<Opened> {
    let target = grant.target();
    let Some(info) = entry.target(target) else {
        return Err(Failure::Unsent("the target is gone".into()));
    };
    let dialect = &entry.dialect;
    let acquired =
        tokio::time::timeout_at(call.limit, entry.pool.acquire(target, info.address)).await;
    let mut connection = match acquired {
        Ok(Ok(connection)) => connection,
        Ok(Err(error)) => {
            grant.note(Outcome::Unreachable);
            return Err(Failure::Unsent(error.to_string().into()));
        }
        Err(_) => return Err(Failure::Unsent("no connection in time".into())),
    };
    let request = call.request(dialect, &info.name, last_event);
    let sent = Instant::now();
    let response = match tokio::time::timeout_at(call.limit, connection.send(request)).await {
        Ok(Ok(response)) => response,
        Ok(Err(error @ (Error::Unsent | Error::Connect(_)))) => {
            return Err(Failure::Unsent(error.to_string().into()));
        }
        Ok(Err(error)) => {
            // A reused connection may fail only because the target has just closed it.
            if !connection.is_reused() {
                grant.note(Outcome::Broken);
            }
            return Err(Failure::Unknown(error.to_string().into()));
        }
        Err(_) => {
            grant.note(Outcome::Broken);
            return Err(Failure::Late);
        }
    };
    let (head, body) = response.into_parts();
    if let Some(cold) = number(&head.headers, &dialect.cold_time) {
        entry.note_cold(target, Duration::from_millis(cold));
    }
    let echoed = head.headers.get(&dialect.request_id);
    if echoed.is_some_and(|id| *id != call.id) {
        grant.note(Outcome::Broken);
        return Err(Failure::Unknown("an answer to another request".into()));
    }
    let misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
    if misdirected || head.headers.contains_key(&dialect.not_run) {
        grant.note(if misdirected {
            Outcome::Broken
        } else {
            Outcome::Refused
        });
        let failure = Failure::NotRun(head.status);
        finish(entry, body, connection).await;
        return Err(failure);
    }
    let sound = head.headers.contains_key(&dialect.signature)
        && !head.headers.contains_key(header::CONTENT_ENCODING);
    if head.status.is_success() && !(sound && echoed.is_some()) {
        grant.note(Outcome::Broken);
        return Err(Failure::Unknown(
            "an answer without a valid signature".into(),
        ));
    }
    Ok(Opened {
        head,
        body,
        connection,
        grant,
        sent,
    })
}

/// Reads what is left of a short answer, so that its connection can be used again.
async fn finish(entry: &Entry, body: Incoming, connection: PooledConnection) {
    const REST_TIME: Duration = Duration::from_millis(20);
    if let Ok(Ok(_)) = tokio::time::timeout(REST_TIME, collect(body)).await {
        entry.release_connection(connection);
    }
}

impl Opened {
    /// Reads the whole body of an answer that is not a stream.
    pub(crate) async fn whole(self, entry: &Entry, call: &Call) -> Result<(Parts, Bytes)> {
        let Opened {
            head,
            body,
            connection,
            grant,
            sent,
        } = self;
        match tokio::time::timeout_at(call.limit, collect(body)).await {
            Ok(Ok(bytes)) => {
                grant.set_slow(sent.elapsed() > call.route.latency_objective);
                let failed = head.status.is_server_error();
                grant.note(if failed {
                    Outcome::Failed
                } else {
                    Outcome::Answered
                });
                if !failed {
                    grant.set_pace(sent.elapsed().as_secs_f64());
                }
                entry.release_connection(connection);
                Ok((head, bytes))
            }
            Ok(Err(error)) => {
                grant.note(Outcome::Broken);
                Err(Failure::Unknown(error))
            }
            Err(_) => {
                grant.note(Outcome::Broken);
                Err(Failure::Late)
            }
        }
    }
}

async fn collect(mut body: Incoming) -> std::result::Result<Bytes, Box<str>> {
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| error.to_string())?;
        let Ok(part) = frame.into_data() else {
            continue;
        };
        if whole.len() + part.len() > MAX_ANSWER {
            return Err("the answer is too large".into());
        }
        whole.extend_from_slice(&part);
    }
    Ok(whole.freeze())
}
