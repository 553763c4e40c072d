use std::sync::Arc;

use futures_util::StreamExt;
use tarpc::context::Context;
use tarpc::server::Channel;
use tokio::net::TcpStream;

use ebonylug_admission::CrashLog;
use ebonylug_core::{AttemptId, Incarnation, Revision, RevokeOutcome};
use ebonylug_net::rpc::{
    HEARTBEAT_INTERVAL, Instructions, ReportSummary, SidecarControl, SidecarReport, server_channel,
    write_page,
};

use crate::state::SidecarState;

/// Maximum number of concurrent calls of one connection.
const MAX_CONCURRENT_CALLS: usize = 64;

/// The handler of control calls.
#[derive(Clone)]
struct ControlHandler {
    state: Arc<SidecarState>,
}

/// Serves control calls on one connection until it closes.
pub async fn serve(stream: TcpStream, state: Arc<SidecarState>) {
    let control = ControlHandler { state };
    server_channel(stream)
        .execute(control.serve())
        .for_each_concurrent(MAX_CONCURRENT_CALLS, |call| call)
        .await;
}

impl ControlHandler {
    fn current_report(&self) -> SidecarReport {
        SidecarReport {
            load: self.state.report(),
            crash_digest: self.state.crash_digest(),
            stamp: self.state.recorder().stamp(),
        }
    }
}

impl SidecarControl for ControlHandler {
    async fn report(self, _: Context, seen: ReportSummary) -> SidecarReport {
        let mut changes = self.state.changes();
        let change = async {
            while !seen.is_outdated_by(&self.current_report()) {
                if changes.changed().await.is_err() {
                    return;
                }
            }
        };
        let _ = tokio::time::timeout(HEARTBEAT_INTERVAL, change).await;
        self.current_report()
    }

    async fn revoke(
        self,
        _: Context,
        attempt: AttemptId,
        incarnation: Incarnation,
    ) -> RevokeOutcome {
        self.state.revoke(attempt, incarnation)
    }

    async fn cancel(self, _: Context, attempt: AttemptId) {
        self.state.cancel(attempt);
    }

    async fn crashes(self, _: Context) -> CrashLog {
        self.state.crashes()
    }

    async fn events(self, _: Context, since: u64, limit: usize) -> Box<str> {
        write_page(&self.state.recorder().since(since, limit))
    }

    async fn instruct(self, _: Context, instructions: Instructions) -> Revision {
        self.state.apply_instructions(&instructions)
    }
}
