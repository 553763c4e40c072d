use std::fmt;

use ebonylug_core::{AttemptId, Incarnation, Name, RequestId, Revision};
use serde::{Deserialize, Serialize};

use crate::{EventKind, Stamp};

/// The process that records events.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Origin {
    /// The name of the instance that the process runs as.
    pub process: Name,
    /// The availability zone of the process.
    pub zone: Name,
    /// Changes with each start of the process, which resets its sequence numbers.
    pub incarnation: Incarnation,
}

/// A reference to an event. Messages carry it, so that events of other processes can name their
/// cause.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EventRef {
    /// The process that recorded the event.
    pub process: Name,
    /// The incarnation of that process.
    pub incarnation: Incarnation,
    /// The sequence number of the event within the incarnation.
    pub sequence: u64,
    /// The logical time of the event.
    pub stamp: Stamp,
}

/// What an event is about. All fields are optional.
///
/// ```
/// use ebonylug_events::Subject;
///
/// let subject = Subject::new().target("liberia-a-1".into());
/// assert_eq!(subject.to_string(), "target=liberia-a-1");
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Subject {
    /// The request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestId>,
    /// The attempt to run the request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub attempt: Option<AttemptId>,
    /// The target.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub target: Option<Name>,
    /// The availability zone.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub zone: Option<Name>,
    /// The move of traffic to another version.
    #[serde(rename = "move", skip_serializing_if = "Option::is_none")]
    pub version_move: Option<Name>,
    /// The configuration revision.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub revision: Option<Revision>,
}

impl Subject {
    /// Creates an empty subject.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the request.
    #[must_use]
    pub fn request(mut self, request: RequestId) -> Self {
        self.request = Some(request);
        self
    }

    /// Sets the attempt and its request.
    #[must_use]
    pub fn attempt(mut self, attempt: AttemptId) -> Self {
        self.request = Some(attempt.request);
        self.attempt = Some(attempt);
        self
    }

    /// Sets the target.
    #[must_use]
    pub fn target(mut self, target: Name) -> Self {
        self.target = Some(target);
        self
    }

    /// Sets the availability zone.
    #[must_use]
    pub fn zone(mut self, zone: Name) -> Self {
        self.zone = Some(zone);
        self
    }

    /// Sets the move.
    #[must_use]
    pub fn version_move(mut self, version_move: Name) -> Self {
        self.version_move = Some(version_move);
        self
    }

    /// Sets the configuration revision.
    #[must_use]
    pub fn revision(mut self, revision: Revision) -> Self {
        self.revision = Some(revision);
        self
    }
}

impl fmt::Display for Subject {
    /// Writes the fields as `name=value`. The request is omitted if the attempt is set.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let request = self.request.filter(|_| self.attempt.is_none());
        let parts = [
            ("request", request.map(|id| id.to_string())),
            ("attempt", self.attempt.map(|id| id.to_string())),
            ("target", self.target.as_ref().map(Name::to_string)),
            ("zone", self.zone.as_ref().map(Name::to_string)),
            ("move", self.version_move.as_ref().map(Name::to_string)),
            (
                "revision",
                self.revision.map(|revision| revision.to_string()),
            ),
        ];
        let mut space = "";
        for (name, value) in parts {
            if let Some(value) = value {
                write!(f, "{space}{name}={value}")?;
                space = " ";
            }
        }
        Ok(())
    }
}

/// An event recorded by a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// The process that recorded the event.
    #[serde(flatten)]
    pub origin: Origin,
    /// The sequence number within the incarnation of the process, from 1, without gaps.
    pub sequence: u64,
    /// The logical time, which orders the events of all processes.
    pub stamp: Stamp,
    /// The wall-clock time in milliseconds since the Unix epoch. Clocks of processes differ.
    pub at: u64,
    /// The event, often of another process, that caused this one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<EventRef>,
    /// What the event is about.
    #[serde(default)]
    pub subject: Subject,
    /// What happened.
    pub kind: EventKind,
}

impl Event {
    /// Returns a reference to this event, to be sent as the cause of others.
    #[must_use]
    pub fn reference(&self) -> EventRef {
        EventRef {
            process: self.origin.process.clone(),
            incarnation: self.origin.incarnation,
            sequence: self.sequence,
            stamp: self.stamp,
        }
    }
}
