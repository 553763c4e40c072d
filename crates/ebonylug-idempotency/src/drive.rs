use std::collections::VecDeque;
use std::future::Future;
use std::time::Duration;

use ebonylug_core::{AttemptId, Clock, Reason, Revoked};
use ebonylug_platform::Table;

use crate::{Action, Actions, Event, Joined, KeyedCall, Place, Sent, Verdict};

/// How an entry reaches targets on behalf of a [`KeyedCall`].
pub trait Transport: Send + Sync {
    /// Chooses a place for another attempt, within the deadline of the request.
    fn choose(&self) -> impl Future<Output = Result<Place, Reason>> + Send;

    /// Sends the request and reads the whole answer, resuming broken connections.
    fn send(&self, attempt: AttemptId, place: &Place) -> impl Future<Output = Sent> + Send;

    /// Reads the whole answer of an attempt that this or another entry has sent.
    fn join(&self, attempt: AttemptId, place: &Place) -> impl Future<Output = Joined> + Send;

    /// Revokes an attempt; `None` if the sidecar does not answer.
    fn revoke(
        &self,
        attempt: AttemptId,
        place: &Place,
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
    answer: impl FnOnce(Verdict) + Send,
) {
    let mut answer = Some(answer);
    let mut actions: VecDeque<Action> = first.into_iter().collect();
    while let Some(action) = actions.pop_front() {
        let event = match action {
            Action::Read => Event::Read(table.get(call.key().as_str()).await),
            Action::Write(transaction) => Event::Written(table.transact(transaction).await),
            Action::Choose => Event::Chosen(transport.choose().await),
            Action::Send((attempt, place)) => Event::Sent(transport.send(attempt, &place).await),
            Action::Join((attempt, place)) => Event::Joined(transport.join(attempt, &place).await),
            Action::Revoke((attempt, place)) => {
                Event::Revoked(transport.revoke(attempt, &place).await)
            }
            Action::Wait(length) => {
                transport.wait(length).await;
                Event::Elapsed
            }
            Action::Finish(verdict) => {
                if let Some(answer) = answer.take() {
                    answer(verdict);
                }
                continue;
            }
        };
        actions.extend(call.handle(clock.now(), event));
    }
}
