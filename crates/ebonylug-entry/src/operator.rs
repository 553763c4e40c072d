use std::sync::Arc;
use std::time::Duration;

use http::{HeaderMap, Method, StatusCode, Uri, header};
use serde::Serialize;

use ebonylug_config::WatchUpdate;
use ebonylug_core::{CrashCause, Name, Revision};
use ebonylug_net::key::same_hash;
use ebonylug_net::serve::{self, HttpResponse, Request};
use ebonylug_net::wire;
use ebonylug_resource::{
    AnyResource, Change, Difference, Document, Edit, Kind, Precondition, Problem, TokenHash,
    parse_resources,
};

use crate::settings::Role;
use crate::{Shared, reply, status, timeline};

/// The path prefix of the resource API.
pub const PREFIX: &str = "/api/v1/";
/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Timeout for receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after which a watch returns without changes.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);

type Result<T, E = Problem> = std::result::Result<T, E>;

/// A list of resources at a revision of the configuration.
#[derive(Debug, Serialize)]
struct List {
    revision: Revision,
    items: Vec<AnyResource>,
}

/// The response to a watch.
#[derive(Debug, Serialize)]
struct Watch {
    revision: Revision,
    /// Whether `changed` contains the complete configuration because `since` is too old.
    full: bool,
    changed: Vec<AnyResource>,
    deleted: Vec<Deleted>,
}

#[derive(Debug, Serialize)]
struct Deleted {
    kind: Kind,
    name: Name,
}

/// Authenticates and handles a request to the resource API.
pub async fn handle(shared: Arc<Shared>, request: Request) -> HttpResponse {
    let Some(role) = authenticate(&shared, request.headers()) else {
        let problem = denied(401, "the bearer token is missing or not known");
        return problem_response(&problem);
    };
    if role < Role::Admin && request.method() != Method::GET {
        return problem_response(&denied(403, "the token permits reading only"));
    }
    match route(&shared, request).await {
        Ok(response) => response,
        Err(problem) => problem_response(&problem),
    }
}

fn problem_response(problem: &Problem) -> HttpResponse {
    let status = StatusCode::from_u16(problem.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let body = serde_json::to_vec(problem).unwrap_or_default();
    serve::bytes(status, "application/problem+json", body.into())
}

fn denied(status: u16, detail: &str) -> Problem {
    Problem {
        kind: "urn:ebonylug:problem:denied".into(),
        title: "The operation is not permitted".into(),
        status,
        detail: detail.into(),
        resource: None,
        field: None,
        reason: None,
    }
}

/// Returns the role of the bearer token. All operators are compared, so that the time does not
/// reveal the position of a match.
fn authenticate(shared: &Shared, headers: &HeaderMap) -> Option<Role> {
    let token = TokenHash::of(wire::bearer(headers)?).to_string();
    let operators = shared.settings.operators.iter();
    operators
        .filter(|operator| same_hash(&operator.token.to_string(), &token))
        .map(|operator| operator.role)
        .max()
}

async fn route(shared: &Arc<Shared>, request: Request) -> Result<HttpResponse> {
    let (parts, body) = request.into_parts();
    let (_, body) = body.replace_body(());
    let path = parts.uri.path().strip_prefix(PREFIX).unwrap_or_default();
    let segments: Vec<&str> = path.split('/').collect();
    let (method, query) = (&parts.method, Query::of(&parts.uri)?);
    let expected = precondition(&parts.headers)?;
    match (method, segments.as_slice()) {
        (&Method::GET, ["resources", plural]) => list(shared, kind(plural)?),
        (&Method::GET, ["resources", plural, name]) => get(shared, kind(plural)?, name),
        (&Method::PUT, ["resources", plural, name]) => {
            let text = read_text(body).await?;
            let change = parse_put(kind(plural)?, name, &text)?.with_precondition(expected);
            apply(shared, &change, query.dry_run).await
        }
        (&Method::DELETE, ["resources", plural, name]) => {
            let change = Change::delete(kind(plural)?, name).with_precondition(expected);
            apply(shared, &change, query.dry_run).await
        }
        (&Method::POST, ["apply"]) => {
            let change = Change::put_all(parse_resources(&read_text(body).await?)?)
                .with_precondition(expected);
            apply(shared, &change, query.dry_run).await
        }
        (&Method::GET, ["watch"]) => watch(shared, query.since).await,
        (&Method::GET, ["events"]) => Ok(serve::json(
            StatusCode::OK,
            &timeline::collect(shared).await,
        )),
        (&Method::GET, ["quarantine"]) => Ok(quarantine(shared)),
        (&Method::DELETE, ["quarantine", cause]) => release(shared, cause),
        _ => Err(Problem::not_found("there is no such path")),
    }
}

fn kind(plural: &str) -> Result<Kind> {
    let found = Kind::ALL.into_iter().find(|kind| kind.plural() == plural);
    found.ok_or_else(|| Problem::not_found(&format!("there is no kind {plural:?}")))
}

async fn read_text(body: xitca_web::body::RequestBody) -> Result<String> {
    let bytes = serve::collect(body, MAX_BODY_BYTES, BODY_TIMEOUT).await;
    let bytes = bytes.map_err(|error| Problem::malformed("", "body", &error.to_string()))?;
    String::from_utf8(bytes.into())
        .map_err(|_| Problem::malformed("", "body", "the body is not UTF-8"))
}

fn precondition(headers: &HeaderMap) -> Result<Precondition> {
    if headers
        .get(header::IF_NONE_MATCH)
        .is_some_and(|value| value == "*")
    {
        return Ok(Precondition::Absent);
    }
    let Some(value) = headers.get(header::IF_MATCH) else {
        return Ok(Precondition::Any);
    };
    let revision = value
        .to_str()
        .ok()
        .and_then(|tag| tag.trim_matches('"').parse().ok());
    let problem = || {
        Problem::malformed(
            "If-Match",
            "not a revision",
            "If-Match must be an ETag of this API",
        )
    };
    revision.map(Precondition::Revision).ok_or_else(problem)
}

fn parse_put(kind: Kind, name: &str, text: &str) -> Result<Change> {
    let mut resources = parse_resources(text)?;
    let (Some(resource), true) = (resources.pop(), resources.is_empty()) else {
        return Err(Problem::malformed(
            "",
            "one resource is expected",
            "the body must hold one resource",
        ));
    };
    if resource.kind() != kind || resource.name().as_str() != name {
        let detail = format!("the body is {}/{}", resource.kind(), resource.name());
        return Err(Problem::malformed(
            "metadata.name",
            "differs from the path",
            &detail,
        ));
    }
    Ok(Change::put_all([resource]))
}

fn list(shared: &Shared, kind: Kind) -> Result<HttpResponse> {
    let view = shared.current.view();
    let items = view.document.list(kind);
    let items = items
        .into_iter()
        .map(|item| status::with_status(shared, item))
        .collect();
    let revision = view.document.revision();
    Ok(serve::json(StatusCode::OK, &List { revision, items }))
}

fn get(shared: &Shared, kind: Kind, name: &str) -> Result<HttpResponse> {
    let view = shared.current.view();
    let found = view.document.find(kind, name);
    let found =
        found.ok_or_else(|| Problem::not_found(&format!("{kind}/{name} does not exist")))?;
    Ok(resource_response(shared, found))
}

fn resource_response(shared: &Shared, found: AnyResource) -> HttpResponse {
    let tag = format!("\"{}\"", found.metadata().revision);
    let mut response = serve::json(StatusCode::OK, &status::with_status(shared, found));
    reply::insert(&mut response, header::ETAG, &tag);
    response
}

async fn apply(shared: &Shared, change: &Change, dry_run: bool) -> Result<HttpResponse> {
    let document = if dry_run {
        Arc::new(shared.configuration.dry_run(change).await?)
    } else {
        shared.configuration.publish(change).await?
    };
    Ok(change_response(shared, &document, change))
}

/// Returns the resource for a single edit, and a list for several edits.
fn change_response(shared: &Shared, document: &Document, change: &Change) -> HttpResponse {
    let subjects = change.edits.iter().map(Edit::resource_key);
    let items: Vec<AnyResource> = subjects
        .filter_map(|(kind, name)| document.find(kind, name.as_str()))
        .collect();
    match <[AnyResource; 1]>::try_from(items) {
        Ok([item]) if change.edits.len() == 1 => resource_response(shared, item),
        Ok(item) => list_response(document, item.into()),
        Err(items) => list_response(document, items),
    }
}

fn list_response(document: &Document, items: Vec<AnyResource>) -> HttpResponse {
    let revision = document.revision();
    serve::json(StatusCode::OK, &List { revision, items })
}

async fn watch(shared: &Shared, since: Revision) -> Result<HttpResponse> {
    let mut changes = shared.configuration.changes();
    let newer = changes.wait_for(|revision| *revision > since);
    // After a timeout, the response contains the unchanged revision.
    let _ = tokio::time::timeout(WATCH_TIMEOUT, newer).await;
    let unavailable = || Problem::unavailable("no configuration is in force");
    let changes = shared
        .configuration
        .changes_since(since)
        .ok_or_else(unavailable)?;
    Ok(serve::json(StatusCode::OK, &watch_response(changes)))
}

fn watch_response(changes: WatchUpdate) -> Watch {
    match changes {
        WatchUpdate::Full(document) => Watch {
            revision: document.revision(),
            full: true,
            changed: Kind::ALL
                .into_iter()
                .flat_map(|kind| document.list(kind))
                .collect(),
            deleted: Vec::new(),
        },
        WatchUpdate::Delta { revision, changes } => {
            let mut watch = Watch {
                revision,
                full: false,
                changed: Vec::new(),
                deleted: Vec::new(),
            };
            for Difference {
                kind,
                name,
                resource,
            } in changes
            {
                match resource {
                    Some(resource) => watch.changed.push(resource),
                    None => watch.deleted.push(Deleted { kind, name }),
                }
            }
            watch
        }
    }
}

fn quarantine(shared: &Shared) -> HttpResponse {
    let crashes = shared.fleet.crashes();
    let quarantined: Vec<_> = crashes.quarantined().collect();
    serve::json(
        StatusCode::OK,
        &serde_json::json!({ "quarantined": quarantined }),
    )
}

fn release(shared: &Shared, cause: &str) -> Result<HttpResponse> {
    let cause: CrashCause = cause
        .parse()
        .map_err(|error| Problem::malformed("cause", "not a fingerprint", &format!("{error}")))?;
    shared.fleet.update_crashes(|log| log.release(cause));
    tracing::info!(%cause, "entry: operator released a cause of crashes from quarantine");
    Ok(quarantine(shared))
}

/// The query parameters of the resource API.
struct Query {
    dry_run: bool,
    since: Revision,
}

impl Query {
    fn of(uri: &Uri) -> Result<Self> {
        let value = |name: &str| {
            let pairs = uri.query().unwrap_or_default().split('&');
            let mut pairs = pairs.filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
        };
        let since = value("since").map(str::parse).transpose();
        let problem = |_| Problem::malformed("since", "not a revision", "since must be a revision");
        Ok(Query {
            dry_run: value("dryRun") == Some("true"),
            since: since.map_err(problem)?.unwrap_or_default(),
        })
    }
}
