//! Observations of callers, engines and the test itself. All times are in milliseconds since the Unix epoch.

use ebonylug_adapter::standin::StoreVersion;
use serde::{Deserialize, Serialize};

/// The kind of a request, which decides whether it may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestKind {
    /// May run more than once.
    Safe,
    /// May run at most once.
    Once,
    /// A stream that another engine may resume.
    Resumable,
    /// A stream that may run at most once.
    Stream,
}

impl RequestKind {
    /// All kinds. Callers draw from this array, so its order is part of what a seed determines.
    pub const ALL: [RequestKind; 4] = [
        RequestKind::Safe,
        RequestKind::Once,
        RequestKind::Resumable,
        RequestKind::Stream,
    ];

    /// Returns the name of the route of these requests, which is the first segment of their path.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            RequestKind::Safe => "safe",
            RequestKind::Once => "once",
            RequestKind::Resumable => "resumable",
            RequestKind::Stream => "stream",
        }
    }

    /// Reports whether the request may run more than once.
    #[must_use]
    pub fn is_idempotent(self) -> bool {
        matches!(self, RequestKind::Safe | RequestKind::Resumable)
    }

    /// Reports whether the response is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, RequestKind::Resumable | RequestKind::Stream)
    }
}

/// The outcome of a request for its caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// A complete response with a success status.
    Served {
        /// Difference from the expected response, if any.
        wrong: Option<String>,
    },
    /// A response with another status.
    Status {
        /// The status code.
        code: u16,
        /// Whether the response has the signature of an engine.
        signed: bool,
    },
    /// The connection closed before the response was complete.
    Cut {
        /// Difference of the received part from the expected response, if any.
        wrong: Option<String>,
    },
    /// The caller cancelled the request.
    Left,
    /// The connection closed before the request was sent.
    Unsent,
    /// The entry refused the connection while the load balancer still listed it.
    Refused,
    /// No complete response arrived well after the request timeout.
    Hung,
}

/// A request as observed by its caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRecord {
    /// Request id, unique in a run.
    pub id: u64,
    /// The kind of the request.
    #[serde(rename = "sort")]
    pub kind: RequestKind,
    /// Configuration version that added the route; 0 for routes of the initial version.
    #[serde(rename = "route")]
    pub route_version: u64,
    /// Index of the entry that received the request, and its generation, which counts the starts of its process.
    pub entry: (usize, u32),
    /// Index of the API key.
    pub key: usize,
    /// Time of sending.
    pub sent: u64,
    /// Time at which the outcome was known.
    pub ended: u64,
    /// Outcome for the caller.
    #[serde(rename = "end")]
    pub outcome: Outcome,
}

/// A request that started to run, as observed by an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// Request id.
    pub id: u64,
    /// Name of the engine.
    pub engine: String,
    /// Time at which it started.
    #[serde(rename = "at")]
    pub started: u64,
    /// Number of the event after which the stream resumes; 0 to start at the first one.
    #[serde(rename = "after")]
    pub last_event: u64,
    /// Difference from the request that the caller sent, if any.
    #[serde(rename = "wrong")]
    pub mismatch: Option<String>,
    /// Whether the engine truncates its response on purpose.
    #[serde(rename = "breaks")]
    pub truncated: bool,
    /// Whether the response says that the engine leaves.
    #[serde(rename = "leaves", default)]
    pub leaving: bool,
}

/// A request that reached an engine while it was cold, whether it ran or was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Arrival {
    /// Request id.
    pub id: u64,
    /// Name of the engine.
    pub engine: String,
    /// Time of the arrival.
    pub at: u64,
}

/// A change by the operator or an engine, recorded when the store has acknowledged it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// A new configuration.
    Config {
        /// Version of the configuration.
        version: u64,
    },
    /// An API key was revoked.
    Revoked {
        /// Index of the key.
        key: usize,
    },
    /// An engine is leaving, with or without notice.
    #[serde(rename = "leaves")]
    Leaving {
        /// Name of the engine.
        engine: String,
    },
    /// A zone was drained.
    Drained {
        /// Names of the engines in the zone.
        engines: Vec<String>,
    },
    /// A drained zone was restored.
    Restored,
    /// The store came back from an older copy.
    StoreRestored {
        /// Age of the copy in milliseconds.
        age: u64,
    },
    /// The rows of all engines expired while the store was away.
    RowsExpired,
}

/// The state of an engine's row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RowState {
    /// The engine takes requests.
    Serving,
    /// The row says that the engine leaves.
    Leaving,
    /// The row was removed while the engine ran.
    Removed,
    /// The engine has exited, and its row is removed.
    Exited,
}

/// A write of an engine's row, or its removal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowWrite {
    /// Name of the engine.
    pub engine: String,
    /// The state that was written.
    pub state: RowState,
    /// Time at which the store acknowledged it.
    pub at: u64,
    /// Version of the change.
    pub version: StoreVersion,
}

/// A read of the engines' rows that the store answered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Read {
    /// Index of the entry.
    pub entry: usize,
    /// Time of the answer.
    pub at: u64,
    /// Version whose later changes the answer has; 0 if it has all rows.
    pub after: u64,
    /// Version up to which the answer has the changes.
    pub version: StoreVersion,
}

impl Read {
    /// Reports whether the answer has a change, or a later one of the same row.
    #[must_use]
    pub fn has(&self, change: StoreVersion) -> bool {
        let range = self.after + 1..=self.version.version;
        self.version.era == change.era && range.contains(&change.version)
    }
}

/// The component affected by a fault. Some guarantees hold only while a component is undisturbed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultScope {
    /// The process of an entry, except by a planned stop.
    Entry(usize),
    /// The connection of an entry to the store.
    Store(usize),
    /// An engine, or the connections to it.
    Engine,
}

/// A period during which a fault was active.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FaultWindow {
    /// The affected component.
    #[serde(rename = "what")]
    pub scope: FaultScope,
    /// Start of the period.
    pub from: u64,
    /// End of the period.
    pub to: u64,
}

/// All observations of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    /// Start of the load.
    pub started: u64,
    /// Requests, as observed by callers.
    #[serde(rename = "asks")]
    pub requests: Vec<RequestRecord>,
    /// Executions, as observed by engines.
    #[serde(rename = "runs")]
    pub executions: Vec<Execution>,
    /// Requests that reached cold engines.
    #[serde(rename = "cold", default)]
    pub cold_arrivals: Vec<Arrival>,
    /// Changes with their times.
    pub changes: Vec<(u64, Change)>,
    /// Periods with faults.
    #[serde(rename = "troubles")]
    pub fault_windows: Vec<FaultWindow>,
    /// Writes of engines' rows, in order.
    #[serde(default)]
    pub row_writes: Vec<RowWrite>,
    /// Reads of engines' rows, by entry.
    #[serde(default)]
    pub reads: Vec<Read>,
    /// Unexpected exits of processes and other failures of the run: time and description.
    #[serde(rename = "ends")]
    pub process_failures: Vec<(u64, String)>,
}

/// Returns the time in milliseconds since the Unix epoch.
pub(crate) fn now() -> u64 {
    let time = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    time.map_or(0, |time| {
        u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
    })
}
