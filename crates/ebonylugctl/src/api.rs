//! A client of the resource API that each entry serves.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use ebonylug_core::{CrashCause, Name, Revision};
use ebonylug_dispatch::Overview;
use ebonylug_events::Event;
use ebonylug_net::client::{self, Client};
use ebonylug_resource::{AnyResource, Kind, Precondition, Problem};

use crate::connection::Server;
use crate::{Error, Result};

/// Timeout of a call. A change may need several calls to the platform's store, each of up to 2 s.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout of a watch, which is a long poll: the entry delays the response for up to 20 s.
const WATCH_TIMEOUT: Duration = Duration::from_secs(45);
/// Limit on the size of a response body. The whole configuration of 6,400 organisations takes about
/// 1.3 MB; the largest response holds the events of a few hundred processes.
const MAX_BODY_BYTES: usize = 256 << 20;

/// Resources at one revision of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ResourceList {
    /// The revision of the configuration.
    pub revision: Revision,
    pub items: Vec<AnyResource>,
}

/// The changes since a revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WatchResponse {
    /// The active revision.
    pub revision: Revision,
    /// Whether `changed` holds the whole configuration, because the requested revision is too old.
    pub full: bool,
    /// The created or replaced resources.
    pub changed: Vec<AnyResource>,
    /// The deleted resources.
    pub deleted: Vec<DeletedResource>,
}

/// Identifies a deleted resource.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeletedResource {
    pub kind: Kind,
    pub name: Name,
}

/// The events that all processes have recorded.
#[derive(Clone, Debug, Deserialize)]
pub struct EventLists {
    /// One list per process.
    pub lists: Vec<Vec<Event>>,
    /// The processes that did not respond.
    #[serde(default)]
    pub unreachable: Vec<Box<str>>,
}

/// The requests that are rejected because they crash targets.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Quarantined {
    /// The contents and prompt parts whose requests are refused.
    pub quarantined: Vec<CrashCause>,
}

/// Whether a change is published or only validated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Publish,
    DryRun,
}

impl Mode {
    pub fn of(dry_run: bool) -> Self {
        if dry_run { Mode::DryRun } else { Mode::Publish }
    }

    fn query(self) -> &'static str {
        match self {
            Mode::Publish => "",
            Mode::DryRun => "?dryRun=true",
        }
    }
}

/// A client of the resource API.
pub struct ApiClient {
    server: Server,
    authorization: Option<HeaderValue>,
    client: Client,
}

impl ApiClient {
    pub fn new(server: Server, authorization: HeaderValue) -> Self {
        ApiClient {
            authorization: Some(authorization),
            ..ApiClient::without_token(server)
        }
    }

    /// Creates a client that sends no token, for calls that need no authorization.
    pub fn without_token(server: Server) -> Self {
        ApiClient {
            server,
            authorization: None,
            client: Client::new(),
        }
    }

    pub async fn list(&self, kind: Kind) -> Result<ResourceList> {
        self.read(&format!("resources/{}", kind.plural()), CALL_TIMEOUT)
            .await
    }

    pub async fn get(&self, kind: Kind, name: &Name) -> Result<AnyResource> {
        self.read(&path(kind, name), CALL_TIMEOUT).await
    }

    pub async fn put(&self, resource: &AnyResource, expected: Precondition) -> Result<AnyResource> {
        let body = serde_json::to_vec(resource).expect("resources serialize to JSON");
        let path = path(resource.kind(), resource.name());
        let call = self.call(Method::PUT, &path, body.into(), expected);
        parse(&self.send(call, CALL_TIMEOUT).await?)
    }

    pub async fn delete(&self, kind: Kind, name: &Name, mode: Mode) -> Result<()> {
        let path = path(kind, name) + mode.query();
        let call = self.call(Method::DELETE, &path, Bytes::new(), Precondition::Any);
        self.send(call, CALL_TIMEOUT).await?;
        Ok(())
    }

    /// Creates or replaces the resources in `text` atomically.
    pub async fn apply(&self, text: String, mode: Mode) -> Result<ResourceList> {
        let path = format!("apply{}", mode.query());
        let call = self.call(Method::POST, &path, text.into(), Precondition::Any);
        let response: Value = parse(&self.send(call, CALL_TIMEOUT).await?)?;
        // The response to a single resource is the resource itself, otherwise a list.
        if response.get("items").is_some() {
            return serde_json::from_value(response).map_err(|error| unexpected_response(&error));
        }
        let item: AnyResource =
            serde_json::from_value(response).map_err(|error| unexpected_response(&error))?;
        Ok(ResourceList {
            revision: item.metadata().revision,
            items: vec![item],
        })
    }

    /// Waits for changes after a revision. If there are none, the response is empty and arrives when
    /// the long poll ends.
    pub async fn watch(&self, since: Revision) -> Result<WatchResponse> {
        self.read(&format!("watch?since={since}"), WATCH_TIMEOUT)
            .await
    }

    pub async fn events(&self) -> Result<EventLists> {
        self.read("events", CALL_TIMEOUT).await
    }

    /// Returns the state of an entry on the platform: its configuration, targets and moves.
    pub async fn state(&self) -> Result<Overview> {
        self.read("state", CALL_TIMEOUT).await
    }

    pub async fn quarantined(&self) -> Result<Quarantined> {
        self.read("quarantine", CALL_TIMEOUT).await
    }

    pub async fn release(&self, cause: CrashCause) -> Result<Quarantined> {
        let path = format!("quarantine/{cause}");
        let call = self.call(Method::DELETE, &path, Bytes::new(), Precondition::Any);
        parse(&self.send(call, CALL_TIMEOUT).await?)
    }

    async fn read<T: DeserializeOwned>(&self, path: &str, timeout: Duration) -> Result<T> {
        let call = self.call(Method::GET, path, Bytes::new(), Precondition::Any);
        parse(&self.send(call, timeout).await?)
    }

    fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        expected: Precondition,
    ) -> Request<Full<Bytes>> {
        let mut call = Request::builder()
            .method(method)
            .uri(format!("{}/api/v1/{path}", self.server))
            .header(header::CONTENT_TYPE, "application/json");
        if let Some(authorization) = &self.authorization {
            call = call.header(header::AUTHORIZATION, authorization);
        }
        call = match expected {
            Precondition::Any => call,
            Precondition::Absent => call.header(header::IF_NONE_MATCH, "*"),
            Precondition::Revision(revision) => {
                call.header(header::IF_MATCH, format!("\"{revision}\""))
            }
        };
        call.body(Full::new(body))
            .expect("names are valid URL path segments")
    }

    async fn send(&self, call: Request<Full<Bytes>>, timeout: Duration) -> Result<Bytes> {
        let change = call.method() != Method::GET && call.uri().query() != Some("dryRun=true");
        let no_response = |reason| Error::NoResponse {
            server: self.server,
            reason,
            change,
        };
        let response = self.client.send(call, timeout).await.map_err(no_response)?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_BODY_BYTES).collect();
        let body = match tokio::time::timeout(CALL_TIMEOUT, body).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(error)) => {
                return Err(no_response(client::Error::Lost(error.to_string().into())));
            }
            Err(_) => return Err(no_response(client::Error::Timeout)),
        };
        if status.is_success() {
            return Ok(body);
        }
        Err(parse_problem(status, &body))
    }
}

fn path(kind: Kind, name: &Name) -> String {
    format!("resources/{}/{name}", kind.plural())
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|error| unexpected_response(&error))
}

fn unexpected_response(error: &serde_json::Error) -> Error {
    Error::UnexpectedResponse(error.to_string().into())
}

/// Parses the body of an error response. A body that is not a problem document does not come from an
/// entry, but for example from a proxy.
fn parse_problem(status: StatusCode, body: &[u8]) -> Error {
    match serde_json::from_slice::<Problem>(body) {
        Ok(problem) => problem.into(),
        Err(_) => Error::UnexpectedResponse(format!("status {status} without a problem").into()),
    }
}
