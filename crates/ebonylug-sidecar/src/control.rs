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

use crate::core::Core;

/// Maximum number of concurrent calls of one connection.
const MAX_CONCURRENT_CALLS: usize = 64;

/// The handler of control calls.
#[derive(Clone)]
struct ControlHandler {
    core: Arc<Core>,
}

/// Serves control calls on one connection until it closes.
pub async fn serve(stream: TcpStream, core: Arc<Core>) {
    let control = ControlHandler { core };
    server_channel(stream)
        .execute(control.serve())
        .for_each_concurrent(MAX_CONCURRENT_CALLS, |call| call)
        .await;
}

impl ControlHandler {
    fn current_report(&self) -> SidecarReport {
        SidecarReport {
            load: self.core.report(),
            crashes: self.core.crash_digest(),
            stamp: self.core.recorder().stamp(),
        }
    }
}

impl SidecarControl for ControlHandler {
    async fn report(self, _: Context, seen: ReportSummary) -> SidecarReport {
        let mut changes = self.core.changes();
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
        self.core.revoke(attempt, incarnation)
    }

    async fn cancel(self, _: Context, attempt: AttemptId) {
        self.core.cancel(attempt);
    }

    async fn crashes(self, _: Context) -> CrashLog {
        self.core.crashes()
    }

    async fn events(self, _: Context, since: u64, limit: usize) -> Box<str> {
        write_page(&self.core.recorder().since(since, limit))
    }

    async fn instruct(self, _: Context, instructions: Instructions) -> Revision {
        self.core.apply_instructions(&instructions)
    }
}
