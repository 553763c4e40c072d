//! What callers, engines and the soak itself have seen. All times are in milliseconds since the Unix epoch.

use serde::{Deserialize, Serialize};

/// What may be repeated of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestKind {
    /// It may run more than once.
    Safe,
    /// It may run once at most.
    Once,
    /// A stream that another engine may continue.
    Resumable,
    /// A stream that may run once at most.
    Stream,
}

impl RequestKind {
    /// All of them.
    pub const ALL: [RequestKind; 4] = [
        RequestKind::Safe,
        RequestKind::Once,
        RequestKind::Resumable,
        RequestKind::Stream,
    ];

    /// Returns the first part of the path of such requests.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            RequestKind::Safe => "safe",
            RequestKind::Once => "once",
            RequestKind::Resumable => "resumable",
            RequestKind::Stream => "stream",
        }
    }

    /// Reports whether such a request may run more than once.
    #[must_use]
    pub fn is_idempotent(self) -> bool {
        matches!(self, RequestKind::Safe | RequestKind::Resumable)
    }

    /// Reports whether the answer is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, RequestKind::Resumable | RequestKind::Stream)
    }
}

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// A whole answer with success, and whether it is the engine's answer to this request.
    Served {
        /// What is wrong with the answer.
        wrong: Option<String>,
    },
    /// An answer with another status; whether it came from an engine.
    Status {
        /// The status.
        code: u16,
        /// Whether it has the signature of an engine.
        signed: bool,
    },
    /// The connection ended before the answer was whole; what came of a stream until then.
    Cut {
        /// What is wrong with the part that came.
        wrong: Option<String>,
    },
    /// The caller left.
    Left,
    /// The connection was closed before the request was sent.
    Unsent,
    /// The entry refused the connection, though the balancer still sends new ones.
    Refused,
    /// No whole answer came long after the time limit.
    Hung,
}

/// A request as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRecord {
    /// The id, unique in a play.
    pub id: u64,
    /// What may be repeated.
    #[serde(rename = "sort")]
    pub kind: RequestKind,
    /// The version that its route came with; 0 for routes of the first one.
    #[serde(rename = "route")]
    pub route_version: u64,
    /// The entry that it was sent to, and the number of that entry's start.
    pub entry: (usize, u32),
    /// The number of the key.
    pub key: usize,
    /// When it was sent.
    pub sent: u64,
    /// When it ended.
    pub ended: u64,
    /// How it ended.
    #[serde(rename = "end")]
    pub outcome: Outcome,
}

/// A request that began to run, as an engine saw it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// The id of the request.
    pub id: u64,
    /// The name of the engine.
    pub engine: String,
    /// When it began.
    #[serde(rename = "at")]
    pub started: u64,
    /// The event after which a stream goes on; 0 for the first.
    #[serde(rename = "after")]
    pub last_event: u64,
    /// What differs from what the caller sent.
    #[serde(rename = "wrong")]
    pub mismatch: Option<String>,
    /// Whether the engine breaks its answer off.
    #[serde(rename = "breaks")]
    pub truncated: bool,
}

/// What the operator or an engine has changed, with the time of the store's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// A configuration.
    Config {
        /// Its version.
        version: u64,
    },
    /// A key was taken away.
    Revoked {
        /// The number of the key.
        key: usize,
    },
    /// An engine leaves, with notice or without.
    #[serde(rename = "leaves")]
    Leaving {
        /// The name of the engine.
        engine: String,
    },
    /// A zone gets nothing.
    Drained {
        /// The engines of the zone.
        engines: Vec<String>,
    },
    /// The zone is taken back.
    Restored,
}

/// What was harmed, for the promises that hold only without disturbance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultScope {
    /// The process of an entry, other than by a planned stop.
    Entry(usize),
    /// An entry's way to the store.
    Store(usize),
    /// An engine, or the way to it.
    Engine,
}

/// A time in which something was harmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FaultWindow {
    /// What.
    #[serde(rename = "what")]
    pub scope: FaultScope,
    /// The begin.
    pub from: u64,
    /// The end.
    pub to: u64,
}

/// Everything that was seen in a play.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    /// The begin.
    pub started: u64,
    /// Requests.
    #[serde(rename = "asks")]
    pub requests: Vec<RequestRecord>,
    /// Runs.
    #[serde(rename = "runs")]
    pub executions: Vec<Execution>,
    /// Changes.
    pub changes: Vec<(u64, Change)>,
    /// Disturbances.
    #[serde(rename = "troubles")]
    pub fault_windows: Vec<FaultWindow>,
    /// Processes that did not end as planned: the time, and what happened.
    #[serde(rename = "ends")]
    pub process_failures: Vec<(u64, String)>,
}

/// Returns the time.
pub(crate) fn now() -> u64 {
    let time = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    time.map_or(0, |time| {
        u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
    })
}
