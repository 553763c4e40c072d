use std::convert::Infallible;
use std::pin::Pin;

use bytes::Bytes;
use ebonylug_dispatch::{Reason, Refusal};
use futures_util::Stream;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::{Either, Full, StreamBody};
use hyper::body::Frame;
use serde::Serialize;

/// A streamed body. An error breaks off the connection, so that the answer does not look whole.
type Parts = Pin<Box<dyn Stream<Item = Result<Frame<Bytes>, std::io::Error>>>>;

/// The body of an answer.
pub(crate) type Body = Either<Full<Bytes>, StreamBody<Parts>>;

/// An answer to a caller.
pub(crate) type Answer = Response<Body>;

pub(crate) type Result<T, E = std::io::Error> = std::result::Result<T, E>;

/// Why a request gets no answer of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Rejection {
    /// It has not run and will not run; the caller may come back.
    Refused(Refusal),
    /// It cannot be served as it is.
    Invalid(StatusCode, &'static str),
    /// It may have run.
    Unknown(StatusCode, &'static str),
}

impl Rejection {
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Rejection::Refused(refusal) if refusal.reason == Reason::Quota => {
                StatusCode::TOO_MANY_REQUESTS
            }
            Rejection::Refused(_) => StatusCode::SERVICE_UNAVAILABLE,
            Rejection::Invalid(status, _) | Rejection::Unknown(status, _) => status,
        }
    }

    pub(crate) fn outcome(self) -> &'static str {
        match self {
            Rejection::Refused(_) => "refused",
            Rejection::Invalid(..) => "invalid",
            Rejection::Unknown(..) => "unknown",
        }
    }

    pub(crate) fn reason(self) -> &'static str {
        match self {
            Rejection::Refused(refusal) => refusal.reason.as_str(),
            Rejection::Invalid(_, reason) | Rejection::Unknown(_, reason) => reason,
        }
    }

    pub(crate) fn answer(self) -> Answer {
        let mut answer = own(self.status(), self.reason());
        if let Rejection::Refused(refusal) = self {
            let after = format!("{:.2}", refusal.retry_after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&after) {
                answer.headers_mut().insert(header::RETRY_AFTER, value);
            }
        }
        answer
    }
}

/// Makes an answer of the entry's own.
pub(crate) fn own(status: StatusCode, text: &'static str) -> Answer {
    let mut answer = Response::new(Either::Left(Full::new(Bytes::from_static(text.as_bytes()))));
    *answer.status_mut() = status;
    let kind = HeaderValue::from_static("text/plain; charset=utf-8");
    answer.headers_mut().insert(header::CONTENT_TYPE, kind);
    answer
}

/// Makes a success of the entry's own.
pub(crate) fn page(page: impl Into<Bytes>) -> Answer {
    let mut answer = own(StatusCode::OK, "");
    *answer.body_mut() = Either::Left(Full::new(page.into()));
    answer
}

/// Makes a success with a value as JSON.
pub(crate) fn json(value: &impl Serialize) -> Answer {
    match serde_json::to_vec(value) {
        Ok(bytes) => {
            let mut answer = page(bytes);
            let kind = HeaderValue::from_static("application/json");
            answer.headers_mut().insert(header::CONTENT_TYPE, kind);
            answer
        }
        Err(error) => {
            tracing::error!(part = "server", %error, "an answer cannot be written");
            own(
                StatusCode::INTERNAL_SERVER_ERROR,
                "an answer cannot be written",
            )
        }
    }
}

/// Makes a streamed body.
pub(crate) fn streamed<S>(parts: S) -> Body
where
    S: Stream<Item = Result<Bytes>> + 'static,
{
    use futures_util::StreamExt;
    let frames = parts.map(|part| part.map(Frame::data));
    Either::Right(StreamBody::new(Box::pin(frames)))
}

/// The result of a handler, as the server wants it.
pub(crate) type Served = std::result::Result<Answer, Infallible>;
