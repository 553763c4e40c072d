use std::collections::HashMap;

use ebonylug_core::Reason;

use crate::engine::SECOND;
use crate::product::Message;
use crate::recorder::Conclusion;
use crate::simulation::{Node, Simulation};

/// Duration of a transaction.
const TRANSACTION_TIME_US: u64 = 5_000;
/// Delay before the store is queried again after a lost response or while it is down.
const RETRY_DELAY_US: u64 = SECOND / 10;

/// A fake of the store table that records calls which must not be repeated.
///
/// A conditional insert stores the token of the request under its key. After a lost response the
/// row is read back: if it contains this request's token, the insert took effect.
#[derive(Default)]
pub(super) struct Store {
    /// Whether the store is unavailable.
    pub(super) down: bool,
    /// Fraction of the responses that are lost after the write.
    pub(super) drop_rate: f64,
    rows: HashMap<u64, usize>,
}

impl Store {
    /// Inserts the record of a call, or reads it back. The call is enqueued when its own record is
    /// stored; a retry by the caller waits for the outcome of the first request.
    pub(super) fn record_call(&mut self, sim: &mut Simulation<Message>, entry: usize, job: usize) {
        let node = Node::Entry(entry);
        let request = &sim.jobs[job];
        let (key, deadline) = (request.fingerprint, request.deadline);
        let retry_at = sim.now + RETRY_DELAY_US;
        if self.down {
            return retry_or_conclude(
                sim,
                entry,
                job,
                deadline,
                Conclusion::Refused(Reason::Store),
            );
        }
        let inserted = !self.rows.contains_key(&key);
        let owner = *self.rows.entry(key).or_insert(job);
        if owner == job {
            if inserted && sim.random.chance(self.drop_rate) {
                sim.set_timer(retry_at, node, Message::QueryStore(job));
            } else {
                sim.set_timer(
                    sim.now + TRANSACTION_TIME_US,
                    node,
                    Message::CallRecorded(job),
                );
            }
            return;
        }
        match sim.recorder.conclusion(owner) {
            Some((_, Conclusion::Answered)) => sim.conclude(job, Conclusion::Answered),
            Some((_, Conclusion::Refused(reason))) => {
                sim.conclude(job, Conclusion::Refused(reason));
            }
            _ => retry_or_conclude(sim, entry, job, deadline, Conclusion::Unknown),
        }
    }
}

/// Schedules a retry, or concludes the request when its deadline is near.
fn retry_or_conclude(
    sim: &mut Simulation<Message>,
    entry: usize,
    job: usize,
    deadline: u64,
    conclusion: Conclusion,
) {
    if sim.now + RETRY_DELAY_US >= deadline {
        sim.conclude(job, conclusion);
    } else {
        let at = sim.now + RETRY_DELAY_US;
        sim.set_timer(at, Node::Entry(entry), Message::QueryStore(job));
    }
}
