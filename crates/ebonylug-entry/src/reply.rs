use http::{HeaderName, HeaderValue, StatusCode, header};
use serde_json::{Value, json};

use ebonylug_core::{Reason, Refusal, RequestId};
use ebonylug_net::serve::{self, HttpResponse};
use ebonylug_net::wire;

/// Why a caller receives no complete response of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// The request was not run.
    NotRun(Refusal),
    /// The request ran, and its response is incomplete.
    Failed,
    /// Whether the request ran is unknown.
    Unknown,
}

impl RequestError {
    fn outcome(self) -> &'static str {
        match self {
            RequestError::NotRun(_) => "not-run",
            RequestError::Failed => "failed",
            RequestError::Unknown => "unknown",
        }
    }

    fn status(self) -> StatusCode {
        match self {
            RequestError::NotRun(refusal) => refusal_status(refusal.reason),
            RequestError::Failed | RequestError::Unknown => StatusCode::BAD_GATEWAY,
        }
    }

    /// Returns the message shown to the caller.
    #[must_use]
    pub fn message(self) -> String {
        match self {
            RequestError::NotRun(refusal) => {
                format!("the request was not run: {}", describe(refusal.reason))
            }
            RequestError::Failed => "the request ran, but its target gave no whole answer".into(),
            RequestError::Unknown => {
                "it is not known whether the request was run; it will not be run again".into()
            }
        }
    }
}

/// Creates the error response for a request.
#[must_use]
pub fn error_response(request: RequestId, error: RequestError) -> HttpResponse {
    let mut response = json_response(
        error.status(),
        error.outcome(),
        &error_body(error, Some(request)),
    );
    if let RequestError::NotRun(refusal) = error {
        insert(&mut response, wire::REASON, refusal.reason.as_str());
        if let Some(retry_after) = refusal.retry_after {
            insert(
                &mut response,
                header::RETRY_AFTER,
                &retry_after.as_secs().max(1).to_string(),
            );
        }
    }
    insert(&mut response, wire::REQUEST, &request.to_string());
    response
}

/// Creates the error response for a request that was rejected before it was queued.
#[must_use]
pub fn rejection(status: StatusCode, message: &str) -> HttpResponse {
    let outcome = "not-run";
    let mut response = json_response(status, outcome, &error_json(status, outcome, message, None));
    insert(&mut response, wire::REASON, Reason::Invalid.as_str());
    response
}

/// Creates the body of an error response, in the format expected by clients of chat completions.
#[must_use]
pub fn error_body(error: RequestError, request: Option<RequestId>) -> Value {
    error_json(error.status(), error.outcome(), &error.message(), request)
}

/// Sets a header. Values that are not visible ASCII are omitted.
pub fn insert(response: &mut HttpResponse, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
}

fn error_json(
    status: StatusCode,
    outcome: &str,
    message: &str,
    request: Option<RequestId>,
) -> Value {
    json!({
        "error": {
            "message": message,
            "type": status.canonical_reason().unwrap_or("error"),
            "code": status.as_u16(),
            "outcome": outcome,
            "request": request,
        }
    })
}

fn json_response(status: StatusCode, outcome: &str, body: &Value) -> HttpResponse {
    let mut response = serve::json(status, body);
    insert(&mut response, wire::OUTCOME, outcome);
    response
}

fn refusal_status(reason: Reason) -> StatusCode {
    match reason {
        Reason::Invalid => StatusCode::BAD_REQUEST,
        Reason::Quarantined => StatusCode::UNPROCESSABLE_ENTITY,
        Reason::Deadline => StatusCode::GATEWAY_TIMEOUT,
        Reason::Shed | Reason::QueueFull | Reason::RetryBudget => StatusCode::TOO_MANY_REQUESTS,
        Reason::Full
        | Reason::Cold
        | Reason::Down
        | Reason::Leaving
        | Reason::ZoneClosed
        | Reason::Stale
        | Reason::Revoked
        | Reason::Incarnation
        | Reason::NoTarget
        | Reason::Store => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn describe(reason: Reason) -> &'static str {
    match reason {
        Reason::Full => "its target is at its limit",
        Reason::Cold => "its target is in cold start",
        Reason::Down => "its target is down",
        Reason::Leaving => "the process is about to stop",
        Reason::ZoneClosed => "the availability zone was taken out of service",
        Reason::Stale => "its sender had an old configuration",
        Reason::Revoked => "it did not reach its target in time",
        Reason::Incarnation => "the sidecar was restarted",
        Reason::Quarantined => "requests with this content have crashed their targets",
        Reason::Deadline => "its deadline cannot be met",
        Reason::Shed => "the load is too high for its tier",
        Reason::QueueFull => "the queue is full",
        Reason::NoTarget => "no target serves its route",
        Reason::RetryBudget => "too many requests are being tried again",
        Reason::Store => {
            "the platform's store does not answer, and the call may not run without its record"
        }
        Reason::Invalid => "it is not valid",
    }
}
