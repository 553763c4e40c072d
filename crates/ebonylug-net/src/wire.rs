//! The HTTP headers of the data path, and the body of a refusal by a sidecar.

use http::{HeaderMap, HeaderName, HeaderValue, header};
use serde::{Deserialize, Serialize};

use ebonylug_core::{LoadReport, Offer, Refusal};
use ebonylug_events::Stamp;

/// The offer of an attempt, as JSON.
pub const OFFER: HeaderName = HeaderName::from_static("ebonylug-offer");
/// The sidecar incarnation that an attempt is addressed to.
pub const INCARNATION: HeaderName = HeaderName::from_static("ebonylug-incarnation");
/// The logical time of a dispatch.
pub const STAMP: HeaderName = HeaderName::from_static("ebonylug-stamp");
/// The method of the call to the target.
pub const METHOD: HeaderName = HeaderName::from_static("ebonylug-method");
/// The path and query of the call to the target.
pub const PATH: HeaderName = HeaderName::from_static("ebonylug-path");
/// The attempt id, forwarded to the target.
pub const ATTEMPT: HeaderName = HeaderName::from_static("ebonylug-attempt");
/// The outcome of the request in responses to callers: `not-run`, `unknown` or `failed`.
pub const OUTCOME: HeaderName = HeaderName::from_static("ebonylug-outcome");
/// The reason of a refusal, in responses to callers.
pub const REASON: HeaderName = HeaderName::from_static("ebonylug-reason");
/// The request id, in responses to callers.
pub const REQUEST: HeaderName = HeaderName::from_static("ebonylug-request");
/// The key of a call that must not run twice.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// The name of the tier that a caller requests.
pub const TIER: HeaderName = HeaderName::from_static("ebonylug-tier");
/// Seconds after which the caller no longer needs the response.
pub const DEADLINE: HeaderName = HeaderName::from_static("ebonylug-deadline");
/// The number of output tokens after which a target resumes a stream.
pub const RESUME: HeaderName = HeaderName::from_static("x-resume-offset");

/// Why a header could not be read.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The request does not contain the header.
    #[error("header {0} is missing")]
    Missing(HeaderName),
    /// The value is not visible ASCII, or not of the expected form.
    #[error("header {0} is not valid")]
    Invalid(HeaderName),
}

/// The result of reading a header.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// The response body of a sidecar that refuses an attempt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RefusalMessage {
    /// The reason and the retry hint.
    pub refusal: Refusal,
    /// The state of the sidecar at the time of the refusal.
    pub report: LoadReport,
    /// The logical time of the refusal.
    pub stamp: Stamp,
}

/// Encodes an offer as the value of [`OFFER`].
///
/// # Panics
///
/// Panics if a name in the offer is not visible ASCII; the resource API rejects such names.
#[must_use]
pub fn offer_header(offer: &Offer) -> HeaderValue {
    let text = serde_json::to_string(offer).expect("an offer serializes to JSON");
    HeaderValue::from_str(&text).expect("names are visible ASCII")
}

/// Reads the offer of an attempt from its headers.
///
/// # Errors
///
/// Fails if the header is missing or not valid.
pub fn read_offer(headers: &HeaderMap) -> Result<Offer> {
    let text = read_text(headers, &OFFER)?;
    serde_json::from_str(text).map_err(|_| Error::Invalid(OFFER))
}

/// Reads a header that must be present and visible ASCII.
///
/// # Errors
///
/// Fails if the header is missing or not visible ASCII.
pub fn read_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<&'a str> {
    let value = headers
        .get(name)
        .ok_or_else(|| Error::Missing(name.clone()))?;
    value.to_str().map_err(|_| Error::Invalid(name.clone()))
}

/// Returns the bearer token of a request, if it has one.
#[must_use]
pub fn bearer(headers: &HeaderMap) -> Option<&str> {
    headers
        .get(header::AUTHORIZATION)?
        .to_str()
        .ok()?
        .strip_prefix("Bearer ")
}

/// Reports whether a head announces the length of its body, or chunks. The end of any other body
/// cannot be told from a closed connection.
#[must_use]
pub fn announces_body(headers: &HeaderMap) -> bool {
    headers.contains_key(header::CONTENT_LENGTH) || headers.contains_key(header::TRANSFER_ENCODING)
}

/// Returns the media type of the value of a `Content-Type` header, without its parameters. Its case
/// has no meaning.
#[must_use]
pub fn media_type(content_type: &str) -> &str {
    content_type.split(';').next().unwrap_or_default().trim()
}

/// Reports whether a header applies to one connection or is internal to ebonylug, and is therefore
/// not forwarded.
#[must_use]
pub fn is_hop_by_hop(name: &HeaderName) -> bool {
    const HOP_BY_HOP: [HeaderName; 9] = [
        header::CONNECTION,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
        header::TE,
        header::TRAILER,
        header::PROXY_AUTHORIZATION,
        header::PROXY_AUTHENTICATE,
        header::HOST,
        header::CONTENT_LENGTH,
    ];
    HOP_BY_HOP.contains(name)
        || name == header::AUTHORIZATION
        || name == header::EXPECT
        || name.as_str() == "keep-alive"
        || name.as_str().starts_with("ebonylug-")
}
