//! Executes moves. Every entry applies the traffic shares; only the holder of the lease writes the
//! status and ends a move.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use ebonylug_core::Fence;
use ebonylug_events::{EventKind, Subject};
use ebonylug_moves::{Actions, MoveAction, MoveSpec, MoveStatus, Phase, Share, StoreState};
use ebonylug_platform::{Expect, Table, Transaction};
use ebonylug_resource::{Change, MoveState, Precondition, Resource, RouteSpec};

use crate::Shared;
use crate::moves::set_shares;

/// The interval at which moves advance.
const TICK_INTERVAL: Duration = Duration::from_millis(200);

/// The reason why a status was not written.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error(transparent)]
    Platform(#[from] ebonylug_platform::Error),
    #[error(transparent)]
    Problem(#[from] ebonylug_resource::Problem),
    #[error("a later holder of the lease has written the status")]
    Fenced,
}

type Result<T, E = Error> = std::result::Result<T, E>;

/// The stored status of a move. The fencing token rejects writes of an earlier holder of the lease.
#[derive(Debug, Serialize, Deserialize)]
struct StatusRow {
    fence: Fence,
    status: MoveStatus,
}

/// Advances all moves until the future is dropped.
pub async fn run(shared: Arc<Shared>) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if !shared.fleet.is_startup_complete() {
            continue;
        }
        let lease = shared.leadership.fence();
        // A failed write is requested again on a later tick, so the store is assumed to be up.
        let results = shared
            .moves
            .tick(|spec| shared.fleet.capacity(spec), StoreState::Up, lease);
        for (spec, actions) in &results {
            apply_shares(&shared, spec, actions);
        }
        for (spec, actions) in results {
            execute(&shared, &spec, actions).await;
        }
    }
}

/// Applies share changes before any action that waits for the store, so that a rollback is not
/// delayed.
fn apply_shares(shared: &Shared, spec: &MoveSpec, actions: &Actions) {
    for action in actions {
        if let MoveAction::SetShare(share) = action {
            tracing::info!(name = %spec.name, share = share.fraction(), "move: share changed");
            shared
                .dispatcher
                .update_router(|router| set_shares(router, spec, *share));
            record_share(shared, spec, *share);
        }
    }
}

fn record_share(shared: &Shared, spec: &MoveSpec, share: Share) {
    let kind = if share == Share::ZERO {
        EventKind::MoveLocalRollback
    } else {
        EventKind::MoveShare {
            permille: (share.fraction() * 1_000.0) as u16,
        }
    };
    shared
        .recorder
        .record(kind, Subject::new().version_move(spec.name.clone()));
}

async fn execute(shared: &Shared, spec: &MoveSpec, actions: Actions) {
    for action in actions {
        match action {
            MoveAction::SetShare(_) => {}
            MoveAction::BroadcastStatus(status) => record_phase(shared, spec, &status),
            MoveAction::WriteStatus { status, fence } => {
                if let Err(error) = write_status(shared, spec, &status, fence).await {
                    tracing::warn!(name = %spec.name, %error, "move: status was not written");
                }
            }
            // New versions run beside the old ones on separate targets, so the entry does not load
            // or unload versions.
            MoveAction::LoadVersion { .. }
            | MoveAction::WarmUp { .. }
            | MoveAction::ReleaseVersion { .. } => {}
        }
    }
}

fn record_phase(shared: &Shared, spec: &MoveSpec, status: &MoveStatus) {
    tracing::info!(name = %spec.name, phase = ?status.phase, "move: phase changed");
    let kind = match status.phase {
        Phase::Done => EventKind::MoveDone,
        Phase::RolledBack => EventKind::MoveRolledBack,
        Phase::Refused => EventKind::MoveRefused,
        Phase::Pending | Phase::Ramping | Phase::Watching => return,
    };
    shared
        .recorder
        .record(kind, Subject::new().version_move(spec.name.clone()));
}

/// Writes the status row, and ends the move in the configuration once its status is final.
///
/// Every step is idempotent, so a write whose response was lost is completed by the next one.
async fn write_status(
    shared: &Shared,
    spec: &MoveSpec,
    status: &MoveStatus,
    fence: Fence,
) -> Result<()> {
    let key = format!("status/move/{}", spec.name);
    let current = shared.platform.get(&key).await?;
    let expect = match &current {
        None => Expect::Absent,
        Some(row) => {
            let previous = serde_json::from_str::<StatusRow>(&row.value).ok();
            if previous.is_some_and(|previous| previous.fence > fence) {
                return Err(Error::Fenced);
            }
            Expect::Version(row.version)
        }
    };
    let row = StatusRow {
        fence,
        status: status.clone(),
    };
    let text = serde_json::to_string(&row).expect("a status is plain data");
    let transaction = Transaction::new().expect(&key, expect).put(&key, &text);
    shared.platform.transact(transaction).await?;
    if let Some(state) = final_state(status) {
        end_move(shared, spec, state).await?;
    }
    shared.moves.confirm_write(status);
    Ok(())
}

/// Returns the configured state for a move whose status is final.
fn final_state(status: &MoveStatus) -> Option<MoveState> {
    match status.phase {
        Phase::Done => Some(MoveState::Finished),
        Phase::RolledBack | Phase::Refused => Some(MoveState::Cancelled),
        Phase::Pending | Phase::Ramping | Phase::Watching => None,
    }
}

async fn end_move(shared: &Shared, spec: &MoveSpec, state: MoveState) -> Result<()> {
    let view = shared.current.view();
    let resource = view
        .document
        .get::<ebonylug_resource::MoveSpec>(spec.name.as_str());
    let Some(resource) = resource.filter(|resource| resource.spec.state == MoveState::Active)
    else {
        return Ok(());
    };
    let mut ended: Resource<ebonylug_resource::MoveSpec> = (**resource).clone();
    ended.spec.state = state;
    let mut change =
        Change::put(ended).with_precondition(Precondition::Revision(resource.metadata.revision));
    if state == MoveState::Finished {
        for name in &spec.routes {
            let Some(route) = view.document.get::<RouteSpec>(name.as_str()) else {
                continue;
            };
            let mut moved: Resource<RouteSpec> = (**route).clone();
            moved.spec.base = spec.to.clone();
            let expected = Precondition::Revision(route.metadata.revision);
            change = change.and(Change::put(moved).with_precondition(expected));
        }
    }
    shared.configuration.publish(&change).await?;
    Ok(())
}
