use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use ebonylug_core::{Fingerprint, Name};
use ebonylug_dispatch::{Config, Organisation, Reason, Refusal, Route};
use http::request::Parts;
use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, StatusCode, Uri, header};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body as _, Incoming};
use tokio::time::Instant;

use crate::dialect::{Dialect, is_hop_by_hop};
use crate::entry::Entry;
use crate::response::Rejection;

/// When a caller should come back whose body found no memory. Bodies are held for as long as requests
/// wait and run, mostly under a second.
const MEMORY_RETURN: Duration = Duration::from_millis(500);

/// How long a caller waits if it does not say so.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// A request that was read whole.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) id: HeaderValue,
    pub(crate) route: Arc<Route>,
    pub(crate) organisation: Option<Arc<Organisation>>,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    /// The headers that targets get from the caller.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// When the caller, or the route, has waited long enough.
    /// The hash of path, organisation and body.
    pub(crate) content: Fingerprint,
    pub(crate) limit: Instant,
    pub(crate) arrived: Instant,
    pub(crate) _memory: Option<BodyMemory>,
}

/// Bytes of a body that count against the entry's memory.
#[derive(Debug)]
pub(crate) struct BodyMemory {
    bytes: usize,
    entry: Rc<Entry>,
}

impl Drop for BodyMemory {
    fn drop(&mut self) {
        let used = &self.entry.body_bytes;
        used.set(used.get().saturating_sub(self.bytes));
    }
}

pub(crate) type Result<T, E = Rejection> = std::result::Result<T, E>;

/// The route and the organisation of a request, from its head.
pub(crate) struct Resolved {
    pub(crate) route: Arc<Route>,
    pub(crate) organisation: Option<Arc<Organisation>>,
}

fn reject(status: StatusCode, text: &'static str) -> Rejection {
    Rejection::Invalid(status, text)
}

/// Returns about how many bytes a head had on the wire.
fn head_size(parts: &Parts) -> usize {
    /// Bytes of a line beside its name and value: a colon, a space and the line's end.
    const LINE: usize = 4;
    let lines = parts.headers.iter();
    let lines = lines.map(|(name, value)| name.as_str().len() + value.len() + LINE);
    parts.uri.path().len() + parts.uri.query().map_or(0, str::len) + lines.sum::<usize>()
}

/// Finds the route and the organisation of a request.
pub(crate) fn resolve(config: &Config, parts: &Parts) -> Result<Resolved> {
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
        return Ok(Resolved {
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
        Some(organisation) => Ok(Resolved {
            route: Arc::clone(route),
            organisation: Some(Arc::clone(organisation)),
        }),
        None => Err(reject(StatusCode::UNAUTHORIZED, "unknown key")),
    }
}

/// Reads the rest of a request.
pub(crate) async fn read(
    entry: &Rc<Entry>,
    config: &Config,
    parts: Parts,
    body: Incoming,
    resolved: Resolved,
) -> Result<Call> {
    let arrived = Instant::now();
    let dialect = &entry.dialect;
    let Some(id) = parts.headers.get(&dialect.request_id).cloned() else {
        return Err(reject(StatusCode::BAD_REQUEST, "no request id"));
    };
    let asked = number(&parts.headers, &dialect.deadline).map(Duration::from_millis);
    let time = asked
        .unwrap_or(DEFAULT_DEADLINE)
        .min(resolved.route.timeout);
    let limits = config.limits;
    let (body, memory) = collect(entry, body, limits.max_body_bytes, limits.header_timeout).await?;
    Ok(Call {
        id,
        content: content(&parts.uri, resolved.organisation.as_deref(), &body),
        headers: passed(dialect, &parts.headers),
        route: resolved.route,
        organisation: resolved.organisation,
        method: parts.method,
        uri: parts.uri,
        body,
        limit: arrived + time,
        arrived,
        _memory: memory,
    })
}

/// Returns what tells requests apart that may crash their targets.
fn content(uri: &Uri, organisation: Option<&Organisation>, body: &[u8]) -> Fingerprint {
    let path = uri.path_and_query().map_or("", PathAndQuery::as_str);
    let organisation = organisation.map_or("", |organisation| organisation.name.as_str());
    let mut content = Vec::with_capacity(path.len() + organisation.len() + body.len() + 2);
    for part in [path.as_bytes(), organisation.as_bytes(), body] {
        content.extend_from_slice(part);
        content.push(b'\n');
    }
    Fingerprint::of(&content)
}

/// Reads a body of at most `limit` bytes; each part must come within `pause`.
async fn collect(
    entry: &Rc<Entry>,
    mut body: Incoming,
    limit: usize,
    pause: Duration,
) -> Result<(Bytes, Option<BodyMemory>)> {
    if body.is_end_stream() {
        return Ok((Bytes::new(), None));
    }
    let mut memory = BodyMemory {
        bytes: 0,
        entry: Rc::clone(entry),
    };
    let mut whole = BytesMut::new();
    loop {
        let Ok(frame) = tokio::time::timeout(pause, body.frame()).await else {
            return Err(reject(StatusCode::REQUEST_TIMEOUT, "the body is too slow"));
        };
        let frame = match frame {
            None => return Ok((whole.freeze(), Some(memory))),
            Some(Err(_)) => return Err(reject(StatusCode::BAD_REQUEST, "the body broke off")),
            Some(Ok(frame)) => frame,
        };
        let Ok(part) = frame.into_data() else {
            continue;
        };
        if whole.len() + part.len() > limit {
            return Err(reject(
                StatusCode::PAYLOAD_TOO_LARGE,
                "the body is too large",
            ));
        }
        let used = &entry.body_bytes;
        if used.get() + part.len() > entry.bounds.get().body_memory {
            return Err(Rejection::Refused(Refusal {
                reason: Reason::Memory,
                retry_after: MEMORY_RETURN,
            }));
        }
        used.set(used.get() + part.len());
        memory.bytes += part.len();
        whole.extend_from_slice(&part);
    }
}

/// Returns the headers that targets get from a caller.
fn passed(dialect: &Dialect, headers: &HeaderMap) -> HeaderMap {
    let listed: Vec<&str> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(',').map(str::trim))
        .collect();
    // A caller cannot have the headers removed that say what the request is.
    let kept = |name: &HeaderName| {
        *name == dialect.request_id || *name == dialect.tokens || *name == dialect.prompt_parts
    };
    let mut passed = HeaderMap::with_capacity(headers.len() + 3);
    for (name, value) in headers {
        let dropped = listed
            .iter()
            .any(|text| name.as_str().eq_ignore_ascii_case(text));
        if dialect.forwards(name) && (kept(name) || !dropped || *name == header::HOST) {
            passed.append(name, value.clone());
        }
    }
    passed
}

/// Returns the number that a header holds.
pub(crate) fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

impl Call {
    /// Returns the tokens of the prompt and the most tokens of the answer, if the caller says so.
    pub(crate) fn tokens(&self, dialect: &Dialect) -> Option<(u64, u64)> {
        let text = self.headers.get(&dialect.tokens)?.to_str().ok()?;
        let (prompt, answer) = text.split_once(',')?;
        Some((prompt.trim().parse().ok()?, answer.trim().parse().ok()?))
    }

    /// Returns the tokens of the prompt, or 0 if the caller does not say.
    pub(crate) fn prompt(&self, dialect: &Dialect) -> u32 {
        let (prompt, _) = self.tokens(dialect).unwrap_or_default();
        u32::try_from(prompt).unwrap_or(u32::MAX)
    }

    /// Returns the id of the prompt's last part, which is the caller's own or its session's.
    pub(crate) fn subject(&self, dialect: &Dialect) -> Option<u64> {
        let text = self.headers.get(&dialect.prompt_parts)?.to_str().ok()?;
        let last = text.rsplit(',').next()?;
        let (id, _) = last.trim().split_once(':')?;
        Some(ebonylug_dispatch::stable_hash(id))
    }

    /// Returns the rank, 0 for the most urgent. The organisation's own rank is not used: all organisations
    /// send requests of all kinds, what callers lose depends on the kind, and a trial with the
    /// organisations' ranks served 0.76 instead of 0.94 of the requests of a loaded day.
    pub(crate) fn rank(&self) -> u8 {
        self.route.priority
    }

    /// Makes the request for a target.
    pub(crate) fn request(
        &self,
        dialect: &Dialect,
        target: &Name,
        last_event: Option<&HeaderValue>,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let mut headers = self.headers.clone();
        let left = self.limit.saturating_duration_since(Instant::now());
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

/// Returns the headers of a target's answer that callers get.
pub(crate) fn returned(headers: &HeaderMap) -> HeaderMap {
    let mut returned = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        if !is_hop_by_hop(name) && *name != header::CONTENT_LENGTH {
            returned.append(name, value.clone());
        }
    }
    returned
}
