use std::collections::HashMap;

use ebonylug_core::Reason;

use crate::engine::SECOND;
use crate::product::Message;
use crate::tally::Conclusion;
use crate::world::{Core, Node};

/// Time of a transaction.
const TRANSACTION: u64 = 5_000;
/// Time after which a reply counts as lost, or a store that is down is asked again.
const RETRY: u64 = SECOND / 10;

/// A stub of the table with the records of calls that must not be repeated.
///
/// The conditional insert puts the token of the request under its key. A lost reply is resolved
/// by reading the row: the own token means that the insert took effect.
#[derive(Default)]
pub(super) struct Store {
    /// Whether the store does not answer.
    pub(super) down: bool,
    /// The part of the replies that are lost after the write.
    pub(super) lost: f64,
    rows: HashMap<u64, usize>,
}

impl Store {
    /// Inserts the record of a call, or reads it back. The call is enqueued when its own record
    /// is there; a call that was sent again waits for the outcome of the first.
    pub(super) fn ask(&mut self, core: &mut Core<Message>, entry: usize, job: usize) {
        let node = Node::Entry(entry);
        let request = &core.jobs[job];
        let (key, deadline) = (request.content, request.deadline);
        let again = core.now + RETRY;
        if self.down {
            return wait(
                core,
                entry,
                job,
                deadline,
                Conclusion::Refused(Reason::Store),
            );
        }
        let fresh = !self.rows.contains_key(&key);
        let owner = *self.rows.entry(key).or_insert(job);
        if owner == job {
            if fresh && core.random.chance(self.lost) {
                core.timer(again, node, Message::AskStore(job));
            } else {
                core.timer(core.now + TRANSACTION, node, Message::Recorded(job));
            }
            return;
        }
        match core.tally.conclusion(owner) {
            Some((_, Conclusion::Answered)) => core.conclude(job, Conclusion::Answered),
            Some((_, Conclusion::Refused(reason))) => {
                core.conclude(job, Conclusion::Refused(reason));
            }
            _ => wait(core, entry, job, deadline, Conclusion::Unknown),
        }
    }
}

/// Asks again later, or concludes when the deadline is near.
fn wait(core: &mut Core<Message>, entry: usize, job: usize, deadline: u64, end: Conclusion) {
    if core.now + RETRY >= deadline {
        core.conclude(job, end);
    } else {
        let at = core.now + RETRY;
        core.timer(at, Node::Entry(entry), Message::AskStore(job));
    }
}
