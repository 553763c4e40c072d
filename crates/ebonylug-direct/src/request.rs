use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use ebonylug_core::{CrashCause, CrashCauses, Fingerprint, Name};
use ebonylug_dispatch::{Config, Organisation, Reason, Refusal, Route, RouteKind};
use http::request::Parts;
use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, StatusCode, Uri, header};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body as _, Incoming};
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::dialect::{Dialect, is_hop_by_hop};
use crate::entry::Entry;
use crate::memory::{BodyKind, MemoryShare};
use crate::response::Rejection;

/// Retry delay for a caller while the memory for bodies is exhausted. A body is held while its request
/// waits and runs, which usually takes less than a second. An answer that is read slowly is held for
/// longer, but another entry can serve the caller at once.
const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The deadline of a request without a deadline header.
pub(crate) const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// A caller's request with its complete body.
#[derive(Debug)]
pub(crate) struct BufferedRequest {
    pub(crate) id: HeaderValue,
    pub(crate) route: Arc<Route>,
    pub(crate) organisation: Option<Arc<Organisation>>,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    /// The caller's headers that are forwarded to targets.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// The content and the shared prompt parts, which may make the request crash its targets.
    pub(crate) causes: CrashCauses,
    /// The earlier of the caller's deadline and the route's timeout.
    pub(crate) deadline: Instant,
    pub(crate) arrived: Instant,
    /// Whether the request has been counted as begun by a target.
    pub(crate) begun: Cell<bool>,
    /// Counts the body towards the memory limit until the request is dropped.
    pub(crate) _memory: Option<MemoryShare>,
}

pub(crate) type Result<T, E = Rejection> = std::result::Result<T, E>;

/// The route and the organisation that the head of a request selects.
pub(crate) struct RouteMatch {
    pub(crate) route: Arc<Route>,
    pub(crate) organisation: Option<Arc<Organisation>>,
}

fn reject(status: StatusCode, text: &'static str) -> Rejection {
    Rejection::Invalid(status, text)
}

/// Returns the approximate size of a head on the wire, in bytes.
fn head_size(parts: &Parts) -> usize {
    /// Bytes of a header line besides name and value: a colon, a space and the line ending.
    const LINE_OVERHEAD_BYTES: usize = 4;
    let lines = parts.headers.iter();
    let lines = lines.map(|(name, value)| name.as_str().len() + value.len() + LINE_OVERHEAD_BYTES);
    parts.uri.path().len() + parts.uri.query().map_or(0, str::len) + lines.sum::<usize>()
}

/// Finds the route and the organisation of a request. Rejects requests without a known route or key.
pub(crate) fn resolve(config: &Config, parts: &Parts) -> Result<RouteMatch> {
    if head_size(parts) > config.limits.max_header_bytes {
        let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        return Err(reject(status, "the head is too large"));
    }
    let host = parts
        .headers
        .get(header::HOST)
        .and_then(|host| host.to_str().ok())
        .or_else(|| parts.uri.host())
        .unwrap_or_default();
    let Some(route) = config.route(host, parts.uri.path()) else {
        return Err(reject(StatusCode::NOT_FOUND, "no such route"));
    };
    if route.public || !config.has_keys() {
        return Ok(RouteMatch {
            route: Arc::clone(route),
            organisation: None,
        });
    }
    let key = parts
        .headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.split_once(' '))
        .filter(|(scheme, _)| scheme.eq_ignore_ascii_case("bearer"))
        .map(|(_, key)| key.trim());
    match key.and_then(|key| config.organisation(key)) {
        Some(organisation) => Ok(RouteMatch {
            route: Arc::clone(route),
            organisation: Some(Arc::clone(organisation)),
        }),
        None => Err(reject(StatusCode::UNAUTHORIZED, "unknown key")),
    }
}

/// Reads the body of a request.
pub(crate) async fn read(
    entry: &Rc<Entry>,
    config: &Config,
    parts: Parts,
    body: Incoming,
    matched: RouteMatch,
) -> Result<BufferedRequest> {
    let arrived = Instant::now();
    let dialect = &entry.dialect;
    let Some(id) = parts.headers.get(&dialect.request_id).cloned() else {
        return Err(reject(StatusCode::BAD_REQUEST, "no request id"));
    };
    let requested = header_number(&parts.headers, &dialect.deadline).map(Duration::from_millis);
    let timeout = requested
        .unwrap_or(DEFAULT_DEADLINE)
        .min(matched.route.timeout);
    let limits = config.limits;
    let read = collect(entry, body, limits.max_body_bytes, limits.header_timeout);
    let Ok(read) = tokio::time::timeout(timeout, read).await else {
        return Err(reject(StatusCode::REQUEST_TIMEOUT, "the body is too slow"));
    };
    let (body, memory) = read?;
    let headers = forwarded_headers(dialect, &parts.headers);
    let content = content_fingerprint(&parts.uri, matched.organisation.as_deref(), &body);
    let shared = shared_parts(dialect, &headers).into_iter();
    let shared = shared.map(|id| Fingerprint::of(id.as_bytes()));
    let causes = CrashCause::of_request(content, shared);
    Ok(BufferedRequest {
        id,
        causes,
        headers,
        route: matched.route,
        organisation: matched.organisation,
        method: parts.method,
        uri: parts.uri,
        body,
        deadline: arrived + timeout,
        arrived,
        begun: Cell::new(false),
        _memory: memory,
    })
}

/// Returns the ids of the prompt's parts, in order.
fn part_ids<'a>(dialect: &Dialect, headers: &'a HeaderMap) -> impl Iterator<Item = &'a str> {
    let text = headers.get(&dialect.prompt_parts);
    let text = text.and_then(|text| text.to_str().ok()).unwrap_or_default();
    text.split(',')
        .filter_map(|part| Some(part.trim().split_once(':')?.0))
}

/// Returns the ids of the prompt's parts that other requests may share: all but the last one.
fn shared_parts<'a>(dialect: &Dialect, headers: &'a HeaderMap) -> SmallVec<[&'a str; 4]> {
    let mut ids: SmallVec<[&str; 4]> = part_ids(dialect, headers).collect();
    ids.pop();
    ids
}

/// Returns the fingerprint that identifies repeated requests in crash records.
fn content_fingerprint(uri: &Uri, organisation: Option<&Organisation>, body: &[u8]) -> Fingerprint {
    let path = uri.path_and_query().map_or("", PathAndQuery::as_str);
    let organisation = organisation.map_or("", |organisation| organisation.name.as_str());
    let mut content = Vec::with_capacity(path.len() + organisation.len() + body.len() + 2);
    for part in [path.as_bytes(), organisation.as_bytes(), body] {
        content.extend_from_slice(part);
        content.push(b'\n');
    }
    Fingerprint::of(&content)
}

/// Reads a body of at most `limit` bytes. Each part must arrive within `timeout`.
async fn collect(
    entry: &Rc<Entry>,
    mut body: Incoming,
    limit: usize,
    timeout: Duration,
) -> Result<(Bytes, Option<MemoryShare>)> {
    if body.is_end_stream() {
        return Ok((Bytes::new(), None));
    }
    let mut memory = entry.memory.share(BodyKind::Request);
    let mut buffer = BytesMut::new();
    loop {
        let Ok(frame) = tokio::time::timeout(timeout, body.frame()).await else {
            return Err(reject(StatusCode::REQUEST_TIMEOUT, "the body is too slow"));
        };
        let frame = match frame {
            None => return Ok((buffer.freeze(), Some(memory))),
            Some(Err(_)) => return Err(reject(StatusCode::BAD_REQUEST, "the body broke off")),
            Some(Ok(frame)) => frame,
        };
        let Ok(part) = frame.into_data() else {
            continue;
        };
        if buffer.len() + part.len() > limit {
            return Err(reject(
                StatusCode::PAYLOAD_TOO_LARGE,
                "the body is too large",
            ));
        }
        // Bodies of callers leave a part of the memory to the answers that release them.
        let requests = entry.memory.bodies().requests + part.len();
        let within_share = requests <= entry.bounds.get().body_memory;
        if !within_share || !memory.try_grow(part.len(), entry.memory_limit()) {
            return Err(memory_refusal());
        }
        buffer.extend_from_slice(&part);
    }
}

/// Returns the refusal of a caller while the memory for bodies is exhausted.
pub(crate) fn memory_refusal() -> Rejection {
    Rejection::Refused(Refusal {
        reason: Reason::Memory,
        retry_after: MEMORY_RETRY_AFTER,
        forecast: None,
    })
}

/// Returns the caller's headers that are forwarded to targets. Omits those that the caller's `connection`
/// header lists, except required ones.
fn forwarded_headers(dialect: &Dialect, headers: &HeaderMap) -> HeaderMap {
    let listed: Vec<&str> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(',').map(str::trim))
        .collect();
    // A caller must not be able to remove headers that the system relies on.
    let is_required = |name: &HeaderName| {
        *name == dialect.request_id || *name == dialect.tokens || *name == dialect.prompt_parts
    };
    let mut forwarded = HeaderMap::with_capacity(headers.len() + 3);
    for (name, value) in headers {
        let is_listed = listed
            .iter()
            .any(|text| name.as_str().eq_ignore_ascii_case(text));
        if dialect.forwards(name) && (is_required(name) || !is_listed || *name == header::HOST) {
            forwarded.append(name, value.clone());
        }
    }
    forwarded
}

/// Returns the value of a header as a number.
pub(crate) fn header_number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

impl BufferedRequest {
    /// Counts the request, once, as begun by a target.
    pub(crate) fn count_begun(&self, entry: &Entry) {
        if let Some(organisation) = &self.organisation
            && !self.begun.replace(true)
        {
            entry.count_begun(&organisation.name);
        }
    }

    /// Returns the number of prompt tokens and the maximum number of output tokens, if the caller
    /// states them.
    pub(crate) fn token_counts(&self, dialect: &Dialect) -> Option<(u64, u64)> {
        let text = self.headers.get(&dialect.tokens)?.to_str().ok()?;
        let (prompt, output) = text.split_once(',')?;
        Some((prompt.trim().parse().ok()?, output.trim().parse().ok()?))
    }

    /// Returns the tokens that the request consumes: those that the caller states, or the default of its
    /// organisation.
    pub(crate) fn cost(&self, dialect: &Dialect) -> f64 {
        let default = self.organisation.as_ref().map_or(0, |o| o.default_tokens);
        match self.token_counts(dialect) {
            Some((prompt, output)) => (prompt + output) as f64,
            None => f64::from(default),
        }
    }

    /// Returns the number of prompt tokens, or 0 if the caller does not state it.
    pub(crate) fn prompt_tokens(&self, dialect: &Dialect) -> u32 {
        let (prompt, _) = self.token_counts(dialect).unwrap_or_default();
        u32::try_from(prompt).unwrap_or(u32::MAX)
    }

    /// Returns the hash of the id of the prompt's last part, which is specific to the caller or its
    /// session.
    pub(crate) fn cache_key(&self, dialect: &Dialect) -> Option<u64> {
        let last = part_ids(dialect, &self.headers).last()?;
        Some(ebonylug_dispatch::stable_hash(last))
    }

    /// Returns the ids of the prompt's shared parts for log lines, separated by commas, or `None` if there
    /// are none.
    pub(crate) fn shared_part_ids(&self, dialect: &Dialect) -> Option<String> {
        let ids = shared_parts(dialect, &self.headers);
        (!ids.is_empty()).then(|| ids.join(","))
    }

    /// Returns the id that the first event of the response must have: 1, or the one after the last event that
    /// the caller received. Returns `None` if targets may start anywhere.
    pub(crate) fn first_event_id(&self, dialect: &Dialect) -> Option<u64> {
        let Some(last) = self.headers.get(&dialect.last_event) else {
            return Some(1);
        };
        match self.route.kind {
            RouteKind::Stream {
                resumable: true, ..
            } => last
                .to_str()
                .ok()?
                .trim()
                .parse::<u64>()
                .ok()?
                .checked_add(1),
            RouteKind::Stream { .. } | RouteKind::Safe | RouteKind::Once => None,
        }
    }

    /// Returns the rank of the route, where 0 is the most urgent. The organisation's priority is not
    /// used: every organisation sends requests of all kinds, and the cost of a refusal depends on the
    /// kind. Under high load, ranking by organisation served 0.76 of the requests instead of 0.94.
    pub(crate) fn rank(&self) -> u8 {
        self.route.priority
    }

    /// Creates the request that is sent to a target.
    pub(crate) fn to_target(
        &self,
        dialect: &Dialect,
        target: &Name,
        last_event: Option<&HeaderValue>,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let mut headers = self.headers.clone();
        let left = self.deadline.saturating_duration_since(Instant::now());
        let left = u64::try_from(left.as_millis()).unwrap_or(u64::MAX).max(1);
        headers.insert(&dialect.deadline, HeaderValue::from(left));
        if let Ok(value) = HeaderValue::from_str(target.as_str()) {
            headers.insert(&dialect.expected_target, value);
        }
        if let Some(organisation) = &self.organisation
            && let Ok(value) = HeaderValue::from_str(organisation.name.as_str())
        {
            headers.insert(&dialect.organisation, value);
        }
        if let Some(id) = last_event {
            headers.insert(&dialect.last_event, id.clone());
        }
        *request.headers_mut() = headers;
        request
    }
}

/// Returns the headers of a target's response that are forwarded to the caller.
pub(crate) fn returned_headers(headers: &HeaderMap) -> HeaderMap {
    let mut returned = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        if !is_hop_by_hop(name) && *name != header::CONTENT_LENGTH {
            returned.append(name, value.clone());
        }
    }
    returned
}
