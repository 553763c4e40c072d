use http::{HeaderName, HeaderValue, StatusCode, header};
use serde_json::{Value, json};

use ebonylug_core::{Reason, Refusal, RequestId};
use ebonylug_net::serve::{self, HttpResponse};
use ebonylug_net::wire;

/// What became of a request that got no answer of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It was not run.
    NotRun(Refusal),
    /// It ran, and its answer is not whole.
    Failed,
    /// It is not known whether it ran.
    Unknown,
}

impl Fate {
    fn word(self) -> &'static str {
        match self {
            Fate::NotRun(_) => "not-run",
            Fate::Failed => "failed",
            Fate::Unknown => "unknown",
        }
    }

    fn status(self) -> StatusCode {
        match self {
            Fate::NotRun(refusal) => refusal_status(refusal.reason),
            Fate::Failed | Fate::Unknown => StatusCode::BAD_GATEWAY,
        }
    }

    /// Returns the explanation for people.
    #[must_use]
    pub fn message(self) -> String {
        match self {
            Fate::NotRun(refusal) => {
                format!("the request was not run: {}", explain(refusal.reason))
            }
            Fate::Failed => "the request ran, but its target gave no whole answer".into(),
            Fate::Unknown => {
                "it is not known whether the request was run; it will not be run again".into()
            }
        }
    }
}

/// Makes the error answer for a request.
#[must_use]
pub fn fate(request: RequestId, fate: Fate) -> HttpResponse {
    let mut answer = answer(fate.status(), fate.word(), &error_body(fate, Some(request)));
    if let Fate::NotRun(refusal) = fate {
        insert(&mut answer, wire::REASON, refusal.reason.as_str());
        if let Some(after) = refusal.retry_after {
            insert(
                &mut answer,
                header::RETRY_AFTER,
                &after.as_secs().max(1).to_string(),
            );
        }
    }
    insert(&mut answer, wire::REQUEST, &request.to_string());
    answer
}

/// Makes the error answer for a request that was rejected before it was queued.
#[must_use]
pub fn rejected(status: StatusCode, message: &str) -> HttpResponse {
    let outcome = "not-run";
    let mut answer = answer(status, outcome, &body(status, outcome, message, None));
    insert(&mut answer, wire::REASON, Reason::Invalid.as_str());
    answer
}

/// Makes the body of an error, in the form that clients of chat completions expect.
#[must_use]
pub fn error_body(fate: Fate, request: Option<RequestId>) -> Value {
    body(fate.status(), fate.word(), &fate.message(), request)
}

/// Adds a header whose value is known to be visible ASCII; other values are left out.
pub fn insert(answer: &mut HttpResponse, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        answer.headers_mut().insert(name, value);
    }
}

fn body(status: StatusCode, outcome: &str, message: &str, request: Option<RequestId>) -> Value {
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

fn answer(status: StatusCode, outcome: &str, body: &Value) -> HttpResponse {
    let mut answer = serve::json(status, body);
    insert(&mut answer, wire::OUTCOME, outcome);
    answer
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

fn explain(reason: Reason) -> &'static str {
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
