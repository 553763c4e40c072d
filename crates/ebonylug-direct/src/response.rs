use std::convert::Infallible;
use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use ebonylug_dispatch::{Reason, Refusal, RefusalForecast};
use futures_util::Stream;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::{Either, Full, StreamBody};
use hyper::body::Frame;
use serde::Serialize;

/// The frames of a streamed body. An error aborts the connection, so that the caller does not take
/// the response for complete.
type FrameStream = Pin<Box<dyn Stream<Item = Result<Frame<Bytes>, std::io::Error>>>>;

/// The body of a response to a caller.
pub(crate) type Body = Either<Full<Bytes>, StreamBody<FrameStream>>;

/// A response to a caller.
pub(crate) type CallerResponse = Response<Body>;

pub(crate) type Result<T, E = std::io::Error> = std::result::Result<T, E>;

/// Why a request is answered by the entry itself instead of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Rejection {
    /// The request has not run and will not run; the caller may retry.
    Refused(Refusal),
    /// The request is invalid; retrying it unchanged fails again.
    Invalid(StatusCode, &'static str),
    /// The request may have run.
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

    /// Returns the forecast that led to a refusal.
    pub(crate) fn forecast(self) -> Option<RefusalForecast> {
        match self {
            Rejection::Refused(refusal) => refusal.forecast,
            Rejection::Invalid(..) | Rejection::Unknown(..) => None,
        }
    }

    /// Returns the time after which the caller is told to return.
    pub(crate) fn retry_after(self) -> Option<Duration> {
        match self {
            Rejection::Refused(refusal) => Some(refusal.retry_after),
            Rejection::Invalid(..) | Rejection::Unknown(..) => None,
        }
    }

    pub(crate) fn response(self) -> CallerResponse {
        let mut response = plain_text(self.status(), self.reason());
        if let Rejection::Refused(refusal) = self {
            let after = format!("{:.2}", refusal.retry_after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&after) {
                response.headers_mut().insert(header::RETRY_AFTER, value);
            }
        }
        response
    }
}

/// Creates a plain-text response.
pub(crate) fn plain_text(status: StatusCode, text: &'static str) -> CallerResponse {
    let mut response = Response::new(Either::Left(Full::new(Bytes::from_static(text.as_bytes()))));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("text/plain; charset=utf-8");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

/// Creates a successful response with this body.
pub(crate) fn success(body: impl Into<Bytes>) -> CallerResponse {
    let mut response = plain_text(StatusCode::OK, "");
    *response.body_mut() = Either::Left(Full::new(body.into()));
    response
}

/// Creates a successful response with a value as JSON.
pub(crate) fn json(value: &impl Serialize) -> CallerResponse {
    match serde_json::to_vec(value) {
        Ok(bytes) => {
            let mut response = success(bytes);
            let content_type = HeaderValue::from_static("application/json");
            response
                .headers_mut()
                .insert(header::CONTENT_TYPE, content_type);
            response
        }
        Err(error) => {
            tracing::error!(part = "server", %error, "failed to encode a response as JSON");
            plain_text(
                StatusCode::INTERNAL_SERVER_ERROR,
                "an answer cannot be written",
            )
        }
    }
}

/// Creates a streamed body.
pub(crate) fn stream_body<S>(parts: S) -> Body
where
    S: Stream<Item = Result<Bytes>> + 'static,
{
    use futures_util::StreamExt;
    let frames = parts.map(|part| part.map(Frame::data));
    Either::Right(StreamBody::new(Box::pin(frames)))
}

/// The result of an HTTP handler, as hyper expects it.
pub(crate) type HandlerResult = std::result::Result<CallerResponse, Infallible>;
