use std::fmt;

use serde::{Deserialize, Serialize};

use crate::Kind;

/// The result of an operation on resources.
pub type Result<T, E = Problem> = std::result::Result<T, E>;

/// An error of an operation, in the form of `application/problem+json` (RFC 9457).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Problem {
    /// A URN that identifies the type of problem.
    #[serde(rename = "type")]
    pub kind: Box<str>,
    /// A summary of the type of problem.
    pub title: Box<str>,
    /// The HTTP status code.
    pub status: u16,
    /// The explanation of this occurrence.
    pub detail: Box<str>,
    /// `Kind/name` of the resource, if the problem concerns one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resource: Option<Box<str>>,
    /// The path of the field within the resource, such as `spec.versions[1]`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub field: Option<Box<str>>,
    /// Why the field is not valid.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<Box<str>>,
}

impl Problem {
    fn new(kind: &str, title: &str, status: u16, detail: &str) -> Self {
        Problem {
            kind: format!("urn:ebonylug:problem:{kind}").into(),
            title: title.into(),
            status,
            detail: detail.into(),
            resource: None,
            field: None,
            reason: None,
        }
    }

    /// Returns the problem of a text that cannot be parsed (400).
    #[must_use]
    pub fn malformed(field: &str, reason: &str, detail: &str) -> Self {
        let mut problem = Problem::new("malformed", "The text could not be read", 400, detail);
        problem.field = (!field.is_empty()).then(|| field.into());
        problem.reason = Some(reason.into());
        problem
    }

    /// Returns the problem of an invalid field value (422).
    #[must_use]
    pub fn invalid(kind: Kind, name: &str, field: &str, reason: &str) -> Self {
        let detail = format!("{kind}/{name}: {field}: {reason}");
        let mut problem = Problem::new("invalid", "The change is not valid", 422, &detail);
        problem.resource = Some(format!("{kind}/{name}").into());
        problem.field = Some(field.into());
        problem.reason = Some(reason.into());
        problem
    }

    /// Returns the problem of an edit whose precondition does not hold because of a concurrent
    /// change (409).
    #[must_use]
    pub fn conflict(kind: Kind, name: &str, reason: &str) -> Self {
        let detail = format!("{kind}/{name}: {reason}");
        let mut problem = Problem::new("conflict", "A concurrent change won", 409, &detail);
        problem.resource = Some(format!("{kind}/{name}").into());
        problem.field = Some("metadata.revision".into());
        problem.reason = Some(reason.into());
        problem
    }

    /// Returns the problem of a resource or kind that does not exist (404).
    #[must_use]
    pub fn not_found(detail: &str) -> Self {
        Problem::new("not-found", "Not found", 404, detail)
    }

    /// Returns the problem of a store that does not respond. Nothing was applied (503).
    #[must_use]
    pub fn unavailable(detail: &str) -> Self {
        Problem::new("unavailable", "The store does not answer", 503, detail)
    }

    /// Returns the problem of a change whose outcome is unknown: the response of the store was
    /// lost, and reading back did not resolve it (504).
    #[must_use]
    pub fn unknown(detail: &str) -> Self {
        let title = "It is unknown whether the change was applied";
        Problem::new("unknown", title, 504, detail)
    }

    /// Returns the problem of stored data that is inconsistent or cannot be decoded (500).
    #[must_use]
    pub fn corrupt(detail: &str) -> Self {
        Problem::new("corrupt", "Stored data is not valid", 500, detail)
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.title, self.detail)
    }
}

impl std::error::Error for Problem {}
