//! The memory that bodies and table rows take together.
//!
//! The load condition is callers that read slowly, so that their answers accumulate in the process. A body
//! counts from its first byte until its last byte has been written, or its request has been dropped.
//! While the sum is at its limit, new callers are refused. Answers to requests that have been sent already
//! wait at their targets until others have been delivered, since a refusal would no longer be true.
//!
//! The answers that wait may each hold a part of the memory, so that none of them could ever be read
//! whole. The first of them may therefore exceed the limit by one body.
//!
//! The HTTP library holds an answer as [`bytes::Bytes`], whose owner must be [`Send`]. The sums are therefore
//! behind a mutex, although an entry has one thread.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use ebonylug_dispatch::TableKind;
use tokio::sync::Notify;

use crate::read_limits::ResponseLimits;

/// The limit on the sum, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MemoryLimit {
    /// All bodies and rows.
    pub(crate) total: usize,
    /// The bytes beyond it for the first answer that waits.
    pub(crate) overdraft: usize,
}

/// Counts the bytes that bodies and table rows take.
#[derive(Debug, Default)]
pub(crate) struct MemoryBudget {
    usage: Mutex<Usage>,
    /// Notified when bytes are released or a waiting answer is complete.
    released: Notify,
}

#[derive(Debug, Default)]
struct Usage {
    bytes: BodyBytes,
    /// The rows of each table.
    rows: [usize; TableKind::ALL.len()],
    /// The answers that had to wait and are not complete yet.
    waiting: VecDeque<(u64, BodyKind)>,
    next_ticket: u64,
}

/// The bytes of all bodies, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct BodyBytes {
    /// Bodies of callers.
    pub(crate) requests: usize,
    /// Answers that are complete, or whose length is announced.
    pub(crate) answers: usize,
    /// Answers of unknown length that are not complete.
    pub(crate) unsized_answers: usize,
}

/// What a body is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyKind {
    Request,
    Answer,
    UnsizedAnswer,
}

impl BodyBytes {
    fn get_mut(&mut self, kind: BodyKind) -> &mut usize {
        match kind {
            BodyKind::Request => &mut self.requests,
            BodyKind::Answer => &mut self.answers,
            BodyKind::UnsizedAnswer => &mut self.unsized_answers,
        }
    }

    fn sum(self) -> usize {
        self.requests + self.answers + self.unsized_answers
    }
}

impl Usage {
    fn sum(&self) -> usize {
        self.bytes.sum() + self.rows.iter().sum::<usize>()
    }
}

impl MemoryBudget {
    fn usage(&self) -> MutexGuard<'_, Usage> {
        // A panic of another thread leaves the sums consistent.
        self.usage.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reports whether new callers are refused. Answers of unknown length do not count until they are
    /// complete, since a faulty target that sends bytes without end would shut the entry.
    pub(crate) fn is_exhausted(&self, limit: MemoryLimit) -> bool {
        let usage = self.usage();
        let is_sized = |&(_, kind): &(u64, BodyKind)| kind != BodyKind::UnsizedAnswer;
        let full = usage.sum() - usage.bytes.unsized_answers >= limit.total;
        full || usage.waiting.iter().any(is_sized)
    }

    /// Returns the bytes of all bodies.
    pub(crate) fn bodies(&self) -> BodyBytes {
        self.usage().bytes
    }

    /// Returns the bytes of the rows of all tables.
    pub(crate) fn rows(&self) -> usize {
        self.usage().rows.iter().sum()
    }

    /// Returns the number of answers that had to wait and are not complete.
    pub(crate) fn waiting(&self) -> usize {
        self.usage().waiting.len()
    }

    /// Sets the bytes of the rows of a table.
    pub(crate) fn set_rows(&self, table: TableKind, bytes: usize) {
        let index = TableKind::ALL.iter().position(|kind| *kind == table);
        if let Some(index) = index {
            self.usage().rows[index] = bytes;
            self.released.notify_waiters();
        }
    }

    /// Returns a share without bytes.
    pub(crate) fn share(self: &Arc<Self>, kind: BodyKind) -> MemoryShare {
        MemoryShare {
            budget: Arc::clone(self),
            kind,
            bytes: 0,
            ticket: None,
            blocked: false,
        }
    }
}

/// The bytes of one body, which count until the share is dropped.
#[derive(Debug)]
pub(crate) struct MemoryShare {
    budget: Arc<MemoryBudget>,
    kind: BodyKind,
    bytes: usize,
    /// The place among the answers that had to wait.
    ticket: Option<u64>,
    blocked: bool,
}

impl MemoryShare {
    /// Adds bytes unless the sum would exceed its limit, or answers are waiting. Returns whether they were
    /// added.
    pub(crate) fn try_grow(&mut self, bytes: usize, limit: MemoryLimit) -> bool {
        let mut usage = self.budget.usage();
        if usage.sum() + bytes > limit.total || !usage.waiting.is_empty() {
            return false;
        }
        *usage.bytes.get_mut(self.kind) += bytes;
        self.bytes += bytes;
        true
    }

    /// Adds bytes of an answer, and waits until they fit. The first [`ResponseLimits::EXEMPT`] bytes never
    /// wait, so that small answers are delivered whatever else is in memory.
    pub(crate) async fn grow(&mut self, bytes: usize, limit: impl Fn() -> MemoryLimit) {
        let budget = Arc::clone(&self.budget);
        loop {
            let released = budget.released.notified();
            if self.fits(bytes, limit()) {
                self.blocked = false;
                return;
            }
            self.blocked = true;
            released.await;
        }
    }

    /// Adds bytes if they fit. Otherwise, takes a place among the waiting answers.
    fn fits(&mut self, bytes: usize, limit: MemoryLimit) -> bool {
        let mut usage = self.budget.usage();
        let front = usage.waiting.front().map(|(ticket, _)| *ticket);
        let first = self.ticket.is_some() && front == self.ticket;
        let total = limit.total + if first { limit.overdraft } else { 0 };
        let exempt = self.bytes + bytes <= ResponseLimits::EXEMPT;
        if exempt || usage.sum() + bytes <= total {
            *usage.bytes.get_mut(self.kind) += bytes;
            self.bytes += bytes;
            return true;
        }
        if self.ticket.is_none() {
            let ticket = usage.next_ticket;
            usage.next_ticket += 1;
            usage.waiting.push_back((ticket, self.kind));
            self.ticket = Some(ticket);
            // The first answer that waits may use the overdraft at once.
            let first = usage.waiting.len() == 1;
            if first && usage.sum() + bytes <= limit.total + limit.overdraft {
                *usage.bytes.get_mut(self.kind) += bytes;
                self.bytes += bytes;
                return true;
            }
        }
        false
    }

    /// Reports whether the body waits for memory.
    pub(crate) fn is_blocked(&self) -> bool {
        self.blocked
    }

    /// Records that the answer is complete and has this size.
    pub(crate) fn complete(&mut self, bytes: usize) {
        let mut usage = self.budget.usage();
        *usage.bytes.get_mut(self.kind) -= self.bytes;
        self.kind = BodyKind::Answer;
        self.bytes = bytes;
        usage.bytes.answers += bytes;
        self.leave_queue(&mut usage);
        drop(usage);
        self.budget.released.notify_waiters();
    }

    fn leave_queue(&self, usage: &mut Usage) {
        if let Some(ticket) = self.ticket {
            usage.waiting.retain(|(other, _)| *other != ticket);
        }
    }
}

impl Drop for MemoryShare {
    fn drop(&mut self) {
        let mut usage = self.budget.usage();
        *usage.bytes.get_mut(self.kind) -= self.bytes;
        self.leave_queue(&mut usage);
        drop(usage);
        self.budget.released.notify_waiters();
    }
}
