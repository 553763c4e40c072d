use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::net::TcpStream;

use ebonylug_admission::CrashLog;
use ebonylug_core::{
    AttemptId, Fingerprint, Gate, Incarnation, LoadReport, Revision, RevokeOutcome, Tokens,
};

use ebonylug_events::{Page, Stamp};

use super::link::{Link, Result, deadline, read_page};
use super::{HEARTBEAT_INTERVAL, transport};
use crate::key::SharedKey;

/// Timeout of a call to which the sidecar responds without waiting.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of a report, which the sidecar delays by up to a heartbeat interval.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);
const _: () = assert!(REPORT_TIMEOUT.as_millis() > HEARTBEAT_INTERVAL.as_millis());

/// Settings that a sidecar enforces. A lower revision than the active one has no effect.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Instructions {
    /// The configuration revision.
    pub revision: Revision,
    /// Whether the sidecar admits new work.
    pub gate: Gate,
    /// The crashes that the entry has recorded.
    pub crashes: CrashLog,
}

/// The state that a sidecar reports to entries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SidecarReport {
    /// The state of the target.
    pub load: LoadReport,
    /// Digest of the crashes that the sidecar has recorded; see [`crash_digest`].
    #[serde(rename = "crashes")]
    pub crash_digest: u64,
    /// The logical time of the report.
    pub stamp: Stamp,
}

/// Returns a 64-bit hash of a crash log, or 0 for an empty one. Processes exchange their logs only
/// while their digests differ.
///
/// # Panics
///
/// Panics if the log cannot be serialized to JSON, which is a bug in its type.
#[must_use]
pub fn crash_digest(log: &CrashLog) -> u64 {
    if log.is_empty() {
        return 0;
    }
    let text = serde_json::to_vec(log).expect("a crash log serializes to JSON");
    Fingerprint::of(&text).0
}

/// The parts of the last report that a caller of [`SidecarControl::report`] has received. The
/// sidecar compares them with its state to decide whether to send a new report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReportSummary {
    incarnation: Option<Incarnation>,
    revision: Revision,
    gate: Gate,
    up: bool,
    cold: bool,
    limit: Tokens,
    used: Tokens,
    #[serde(rename = "crashes")]
    crash_digest: u64,
}

impl ReportSummary {
    /// The change of work or limit, as a fraction of the limit, above which a report is sent.
    const SIGNIFICANT_CHANGE: f64 = 0.25;

    /// Returns the parts of `report` that are compared.
    #[must_use]
    pub fn of(report: &SidecarReport) -> Self {
        let SidecarReport {
            load: report,
            crash_digest,
            ..
        } = report;
        ReportSummary {
            incarnation: Some(report.incarnation),
            revision: report.revision,
            gate: report.gate,
            up: report.up,
            cold: report.cold,
            limit: report.limit,
            used: report.used,
            crash_digest: *crash_digest,
        }
    }

    /// Reports whether `report` differs enough to be sent before the heartbeat is due.
    #[must_use]
    pub fn is_outdated_by(&self, report: &SidecarReport) -> bool {
        let now = ReportSummary::of(report);
        let same_state = ReportSummary {
            limit: self.limit,
            used: self.used,
            ..now
        };
        if *self != same_state {
            return true;
        }
        let change = |a: Tokens, b: Tokens| (a.as_f64() - b.as_f64()).abs();
        let threshold = report.load.limit.as_f64() * Self::SIGNIFICANT_CHANGE;
        change(self.limit, now.limit) > threshold || change(self.used, now.used) > threshold
    }
}

/// The control calls of a sidecar. All are idempotent.
#[tarpc::service]
pub trait SidecarControl {
    /// Returns the state when it differs enough from `seen` or a heartbeat interval has passed.
    async fn report(seen: ReportSummary) -> SidecarReport;
    /// Ensures that an attempt that was not run will never run, or returns its state.
    async fn revoke(attempt: AttemptId, incarnation: Incarnation) -> RevokeOutcome;
    /// Cancels an attempt whose response is no longer needed.
    async fn cancel(attempt: AttemptId);
    /// Returns the crashes that the sidecar has recorded.
    async fn crashes() -> CrashLog;
    /// Returns a page of timeline events. It is JSON, since bincode cannot encode its optional
    /// fields.
    async fn events(since: u64, limit: usize) -> Box<str>;
    /// Applies instructions, and returns the revision that is active afterwards.
    async fn instruct(instructions: Instructions) -> Revision;
}

/// A client of the control calls of a sidecar.
#[derive(Debug)]
pub struct SidecarLink {
    link: Link<SidecarControlClient>,
}

impl SidecarLink {
    /// Creates a link that connects on its first call.
    #[must_use]
    pub fn new(address: SocketAddr, key: SharedKey) -> Self {
        SidecarLink {
            link: Link::new(address, key, new_client),
        }
    }

    /// Waits for a state that differs enough from `seen`, for at most a heartbeat interval.
    ///
    /// # Errors
    ///
    /// Fails if the sidecar does not respond in time.
    pub async fn report(&self, seen: ReportSummary) -> Result<SidecarReport> {
        let call = |client: SidecarControlClient| async move {
            client.report(deadline(REPORT_TIMEOUT), seen).await
        };
        self.link.call(call).await
    }

    /// Revokes an attempt that was addressed to `incarnation`.
    ///
    /// # Errors
    ///
    /// Fails if the sidecar does not respond in time; the outcome of the attempt is then unknown.
    pub async fn revoke(
        &self,
        attempt: AttemptId,
        incarnation: Incarnation,
    ) -> Result<RevokeOutcome> {
        let call = |client: SidecarControlClient| async move {
            client
                .revoke(deadline(CALL_TIMEOUT), attempt, incarnation)
                .await
        };
        self.link.call(call).await
    }

    /// Cancels an attempt.
    ///
    /// # Errors
    ///
    /// Fails if the sidecar does not respond in time.
    pub async fn cancel(&self, attempt: AttemptId) -> Result<()> {
        let call = |client: SidecarControlClient| async move {
            client.cancel(deadline(CALL_TIMEOUT), attempt).await
        };
        self.link.call(call).await
    }

    /// Returns the crashes that the sidecar has recorded.
    ///
    /// # Errors
    ///
    /// Fails if the sidecar does not respond in time.
    pub async fn crashes(&self) -> Result<CrashLog> {
        let call = |client: SidecarControlClient| async move {
            client.crashes(deadline(CALL_TIMEOUT)).await
        };
        self.link.call(call).await
    }

    /// Returns at most `limit` events with higher sequence numbers than `since`.
    ///
    /// # Errors
    ///
    /// Fails if the sidecar does not respond in time.
    pub async fn events(&self, since: u64, limit: usize) -> Result<Page> {
        let call = |client: SidecarControlClient| async move {
            client.events(deadline(CALL_TIMEOUT), since, limit).await
        };
        read_page(&self.link.call(call).await?)
    }

    /// Sends instructions, and returns the revision that is active at the sidecar afterwards.
    ///
    /// # Errors
    ///
    /// Fails if the sidecar does not respond in time.
    pub async fn instruct(&self, instructions: Instructions) -> Result<Revision> {
        let call = |client: SidecarControlClient| async move {
            client.instruct(deadline(CALL_TIMEOUT), instructions).await
        };
        self.link.call(call).await
    }
}

fn new_client(stream: TcpStream) -> SidecarControlClient {
    SidecarControlClient::new(tarpc::client::Config::default(), transport(stream)).spawn()
}
