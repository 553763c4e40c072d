use std::fmt;

use ebonylug_core::{AttemptId, Incarnation, Name, RequestId, Revision};
use serde::{Deserialize, Serialize};

use crate::{EventKind, Stamp};

/// The process in which events happen.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Origin {
    /// The name of the process's instance.
    pub process: Name,
    /// Its availability zone.
    pub zone: Name,
    /// The life of the process; a restarted process counts its events anew.
    pub incarnation: Incarnation,
}

/// Refers to one event. It travels on messages, so that an event elsewhere can name its cause.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EventRef {
    /// The process of the event.
    pub process: Name,
    /// The life of this process.
    pub incarnation: Incarnation,
    /// The number of the event within this life.
    pub sequence: u64,
    /// The logical time of the event.
    pub stamp: Stamp,
}

/// What an event is about. All parts are optional.
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
    /// A request of a caller.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestId>,
    /// An attempt to run a request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub attempt: Option<AttemptId>,
    /// A target.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub target: Option<Name>,
    /// An availability zone.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub zone: Option<Name>,
    /// A move of traffic to another version.
    #[serde(rename = "move", skip_serializing_if = "Option::is_none")]
    pub version_move: Option<Name>,
    /// A configuration.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub revision: Option<Revision>,
}

impl Subject {
    /// Creates a subject without parts.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Names a request.
    #[must_use]
    pub fn request(mut self, request: RequestId) -> Self {
        self.request = Some(request);
        self
    }

    /// Names an attempt and its request.
    #[must_use]
    pub fn attempt(mut self, attempt: AttemptId) -> Self {
        self.request = Some(attempt.request);
        self.attempt = Some(attempt);
        self
    }

    /// Names a target.
    #[must_use]
    pub fn target(mut self, target: Name) -> Self {
        self.target = Some(target);
        self
    }

    /// Names an availability zone.
    #[must_use]
    pub fn zone(mut self, zone: Name) -> Self {
        self.zone = Some(zone);
        self
    }

    /// Names a move.
    #[must_use]
    pub fn version_move(mut self, version_move: Name) -> Self {
        self.version_move = Some(version_move);
        self
    }

    /// Names a configuration.
    #[must_use]
    pub fn revision(mut self, revision: Revision) -> Self {
        self.revision = Some(revision);
        self
    }
}

impl fmt::Display for Subject {
    /// Writes the parts as `name=value`. The request is left out beside its attempt.
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

/// Something that happened in a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Where it happened.
    #[serde(flatten)]
    pub origin: Origin,
    /// The number of the event within the life of the process, from 1, without gaps.
    pub sequence: u64,
    /// The logical time, by which events of all processes are ordered.
    pub stamp: Stamp,
    /// The wall-clock time in milliseconds since the Unix epoch. Clocks of processes differ.
    pub at: u64,
    /// The event elsewhere that led to this one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<EventRef>,
    /// What the event is about.
    #[serde(default)]
    pub subject: Subject,
    /// What happened.
    pub kind: EventKind,
}

impl Event {
    /// Refers to this event.
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
