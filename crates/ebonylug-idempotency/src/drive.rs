use std::collections::VecDeque;
use std::future::Future;
use std::time::Duration;

use ebonylug_core::{AttemptId, Clock, Reason, Revoked};
use ebonylug_platform::Table;

use crate::{
    Action, Actions, CallOutcome, Destination, Event, JoinOutcome, KeyedCall, SendOutcome,
};

/// How an entry reaches targets on behalf of a [`KeyedCall`].
pub trait Transport: Send + Sync {
    /// Chooses a place for another attempt, within the deadline of the request.
    fn select_target(&self) -> impl Future<Output = Result<Destination, Reason>> + Send;

    /// Sends the request and reads the whole answer, resuming broken connections.
    fn send(
        &self,
        attempt: AttemptId,
        destination: &Destination,
    ) -> impl Future<Output = SendOutcome> + Send;

    /// Reads the whole answer of an attempt that this or another entry has sent.
    fn join(
        &self,
        attempt: AttemptId,
        destination: &Destination,
    ) -> impl Future<Output = JoinOutcome> + Send;

    /// Revokes an attempt; `None` if the sidecar does not answer.
    fn revoke(
        &self,
        attempt: AttemptId,
        destination: &Destination,
    ) -> impl Future<Output = Option<Revoked>> + Send;

    /// Waits.
    fn wait(&self, length: Duration) -> impl Future<Output = ()> + Send;
}

/// Carries out a call to its end. `answer` is called once, as soon as the verdict is known; the
/// record may be completed after that.
///
/// The future may be dropped at any point: the record in the table and the ledger of the target
/// are enough for a repeat at another entry.
pub async fn drive(
    mut call: KeyedCall,
    first: Actions,
    table: &impl Table,
    transport: &impl Transport,
    clock: &(impl Clock + ?Sized),
    answer: impl FnOnce(CallOutcome) + Send,
) {
    let mut answer = Some(answer);
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
            Action::Wait(length) => {
                transport.wait(length).await;
                Event::Elapsed
            }
            Action::Respond(verdict) => {
                if let Some(answer) = answer.take() {
                    answer(verdict);
                }
                continue;
            }
        };
        actions.extend(call.handle(clock.now(), event));
    }
}
