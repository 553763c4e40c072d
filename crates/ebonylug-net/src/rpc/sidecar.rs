use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::net::TcpStream;

use ebonylug_admission::CrashLog;
use ebonylug_core::{
    AttemptId, Fingerprint, Gate, Incarnation, LoadReport, Revision, Revoked, Tokens,
};

use ebonylug_events::{Page, Stamp};

use super::link::{Link, Result, deadline, read_page};
use super::{HEARTBEAT_INTERVAL, transport};
use crate::key::SharedKey;

/// Time for a call that is answered at once.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for a report, which the sidecar holds back for up to a heartbeat interval.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);
const _: () = assert!(REPORT_TIMEOUT.as_millis() > HEARTBEAT_INTERVAL.as_millis());

/// What an entry tells a sidecar to enforce. A lower revision than the one in force has no effect.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Instructions {
    /// The configuration revision.
    pub revision: Revision,
    /// Whether new work is admitted.
    pub gate: Gate,
    /// The crashes that the entry knows of.
    pub crashes: CrashLog,
}

/// The state of a sidecar.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SidecarReport {
    /// The state of the target.
    pub load: LoadReport,
    /// Digest of the crashes that the sidecar knows of; see [`crash_digest`].
    pub crashes: u64,
    /// The logical time of the report.
    pub stamp: Stamp,
}

/// Returns a number that differs, all but surely, between two different crash logs, and is 0 for an
/// empty one. Logs are exchanged only while the digests of two processes differ.
///
/// # Panics
///
/// Panics if the log cannot be written as JSON, which is a defect of its type.
#[must_use]
pub fn crash_digest(log: &CrashLog) -> u64 {
    if log.is_empty() {
        return 0;
    }
    let text = serde_json::to_vec(log).expect("a crash log is plain data");
    Fingerprint::of(&text).0
}

/// What a caller of [`SidecarControl::report`] knows already.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReportSummary {
    incarnation: Option<Incarnation>,
    revision: Revision,
    gate: Gate,
    up: bool,
    cold: bool,
    limit: Tokens,
    used: Tokens,
    crashes: u64,
}

impl ReportSummary {
    /// The change of work or limit, as a share of the limit, that is worth a report.
    const SIGNIFICANT: f64 = 0.25;

    /// Notes a report as known.
    #[must_use]
    pub fn of(report: &SidecarReport) -> Self {
        let SidecarReport {
            load: report,
            crashes,
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
            crashes: *crashes,
        }
    }

    /// Reports whether `report` is worth sending before the heartbeat.
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
        let moved = |a: Tokens, b: Tokens| (a.as_f64() - b.as_f64()).abs();
        let bound = report.load.limit.as_f64() * Self::SIGNIFICANT;
        moved(self.limit, now.limit) > bound || moved(self.used, now.used) > bound
    }
}

/// The control calls of a sidecar. All are idempotent.
#[tarpc::service]
pub trait SidecarControl {
    /// Returns the state once it differs enough from `seen` or a heartbeat interval has passed.
    async fn report(seen: ReportSummary) -> SidecarReport;
    /// Makes sure that an attempt that was not run will not be run, or tells what became of it.
    async fn revoke(attempt: AttemptId, incarnation: Incarnation) -> Revoked;
    /// Stops an attempt whose answer nobody waits for.
    async fn cancel(attempt: AttemptId);
    /// Returns the crashes that the sidecar knows of.
    async fn crashes() -> CrashLog;
    /// Returns a page of events of the time line as JSON, whose optional fields the binary form of
    /// other messages cannot express.
    async fn events(since: u64, limit: usize) -> Box<str>;
    /// Puts instructions in force; returns the revision that is in force then.
    async fn instruct(instructions: Instructions) -> Revision;
}

/// A connection to a sidecar's control calls.
#[derive(Debug)]
pub struct SidecarLink {
    link: Link<SidecarControlClient>,
}

impl SidecarLink {
    /// Creates a link that connects when it is first used.
    #[must_use]
    pub fn new(address: SocketAddr, key: SharedKey) -> Self {
        SidecarLink {
            link: Link::new(address, key, client),
        }
    }

    /// Waits for a state that differs enough from `seen`, at most a heartbeat interval.
    ///
    /// # Errors
    ///
    /// Fails if the sidecar does not answer in time.
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
    /// Fails if the sidecar does not answer in time; the attempt's outcome is then unknown.
    pub async fn revoke(&self, attempt: AttemptId, incarnation: Incarnation) -> Result<Revoked> {
        let call = |client: SidecarControlClient| async move {
            client
                .revoke(deadline(CALL_TIMEOUT), attempt, incarnation)
                .await
        };
        self.link.call(call).await
    }

    /// Stops an attempt.
    ///
    /// # Errors
    ///
    /// Fails if the sidecar does not answer in time.
    pub async fn cancel(&self, attempt: AttemptId) -> Result<()> {
        let call = |client: SidecarControlClient| async move {
            client.cancel(deadline(CALL_TIMEOUT), attempt).await
        };
        self.link.call(call).await
    }

    /// Returns the crashes that the sidecar knows of.
    ///
    /// # Errors
    ///
    /// Fails if the sidecar does not answer in time.
    pub async fn crashes(&self) -> Result<CrashLog> {
        let call = |client: SidecarControlClient| async move {
            client.crashes(deadline(CALL_TIMEOUT)).await
        };
        self.link.call(call).await
    }

    /// Returns the events with higher numbers than `since`, at most `limit`.
    ///
    /// # Errors
    ///
    /// Fails if the sidecar does not answer in time.
    pub async fn events(&self, since: u64, limit: usize) -> Result<Page> {
        let call = |client: SidecarControlClient| async move {
            client.events(deadline(CALL_TIMEOUT), since, limit).await
        };
        read_page(&self.link.call(call).await?)
    }

    /// Puts instructions in force and returns the revision that is in force then.
    ///
    /// # Errors
    ///
    /// Fails if the sidecar does not answer in time.
    pub async fn instruct(&self, instructions: Instructions) -> Result<Revision> {
        let call = |client: SidecarControlClient| async move {
            client.instruct(deadline(CALL_TIMEOUT), instructions).await
        };
        self.link.call(call).await
    }
}

fn client(stream: TcpStream) -> SidecarControlClient {
    SidecarControlClient::new(tarpc::client::Config::default(), transport(stream)).spawn()
}
