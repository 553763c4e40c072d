use std::collections::VecDeque;
use std::future::Future;
use std::time::Duration;

use ebonylug_core::{AttemptId, Clock, Reason, RevokeOutcome};
use ebonylug_platform::Table;

use crate::{
    Action, Actions, CallOutcome, Destination, Event, JoinOutcome, KeyedCall, SendOutcome,
};

/// The operations on targets that a [`KeyedCall`] needs.
pub trait Transport: Send + Sync {
    /// Selects a target for another attempt, within the deadline of the request.
    fn select_target(&self) -> impl Future<Output = Result<Destination, Reason>> + Send;

    /// Sends the request and reads the complete response, resuming after broken connections.
    fn send(
        &self,
        attempt: AttemptId,
        destination: &Destination,
    ) -> impl Future<Output = SendOutcome> + Send;

    /// Reads the complete response of an attempt that this or another entry has sent.
    fn join(
        &self,
        attempt: AttemptId,
        destination: &Destination,
    ) -> impl Future<Output = JoinOutcome> + Send;

    /// Revokes an attempt; `None` if the sidecar does not respond.
    fn revoke(
        &self,
        attempt: AttemptId,
        destination: &Destination,
    ) -> impl Future<Output = Option<RevokeOutcome>> + Send;

    /// Completes after `duration`.
    fn wait(&self, duration: Duration) -> impl Future<Output = ()> + Send;
}

/// Performs the actions of a call until it has ended. `respond` is called once, as soon as the
/// outcome is known; the record may be completed after that.
///
/// The future may be dropped at any point: a retry at another entry needs only the stored record
/// and the attempt history of the target's sidecar.
pub async fn drive(
    mut call: KeyedCall,
    first: Actions,
    table: &impl Table,
    transport: &impl Transport,
    clock: &(impl Clock + ?Sized),
    respond: impl FnOnce(CallOutcome) + Send,
) {
    let mut respond = Some(respond);
    let mut actions: VecDeque<Action> = first.into_iter().collect();
    while let Some(action) = actions.pop_front() {
        let event = match action {
            Action::Read => Event::Read(table.get(call.key().as_str()).await),
            Action::Write(transaction) => Event::Written(table.transact(transaction).await),
            Action::SelectTarget => Event::TargetSelected(transport.select_target().await),
            Action::Send((attempt, destination)) => {
                Event::Sent(transport.send(attempt, &destination).await)
            }
            Action::Join((attempt, destination)) => {
                Event::Joined(transport.join(attempt, &destination).await)
            }
            Action::Revoke((attempt, destination)) => {
                Event::Revoked(transport.revoke(attempt, &destination).await)
            }
            Action::Wait(duration) => {
                transport.wait(duration).await;
                Event::Elapsed
            }
            Action::Respond(outcome) => {
                if let Some(respond) = respond.take() {
                    respond(outcome);
                }
                continue;
            }
        };
        actions.extend(call.handle(clock.now(), event));
    }
}
