use std::collections::HashMap;
use std::time::Instant;

use ebonylug_core::{AttemptId, Repeat, RequestId, Tokens};
use slotmap::SlotMap;

use crate::prefix::Holder;
use crate::queue::Position;
use crate::recent_map::RecentMap;
use crate::target::SentAttempt;
use crate::warm_wait::WarmWait;
use crate::{Request, RequestKey, TargetKey, VersionKey};

/// Every request that has not ended, with its live attempt.
///
/// A request is in exactly one [`Stage`], so that it cannot have two live attempts. An outcome
/// counts only if it names the live attempt; all others are late, duplicates, or crossed.
#[derive(Debug)]
pub(crate) struct Ledger {
    entries: SlotMap<RequestKey, Entry>,
    keys: HashMap<RequestId, RequestKey>,
    /// The next attempt numbers of requests that have ended. If one comes again, its late
    /// outcomes must not match a new attempt.
    attempt_numbers: RecentMap<RequestId, u32>,
}

#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) request: Request,
    pub(crate) position: Position,
    pub(crate) stage: Stage,
    /// Tokens that have to be computed before output comes, without any cache hit.
    pub(crate) input: Tokens,
    /// Expected output that is still to come.
    pub(crate) output: Tokens,
    /// Expected work: `input` and `output`.
    pub(crate) cost: Tokens,
    /// The group of the deadline while the request waits, for batch requests.
    pub(crate) deadline_group: Option<Instant>,
    /// The number of the next attempt.
    pub(crate) next_attempt: u32,
    pub(crate) refusals: u32,
    /// The version that was drawn, and the epoch of the shares at the time.
    pub(crate) drawn: Option<(VersionKey, u32)>,
    /// Where the request was preempted, and the tokens that are cached there.
    pub(crate) resume_hint: Option<(Holder, Tokens)>,
    /// The target that the request waits for, while it stands aside.
    pub(crate) warm_wait: Option<WarmWait>,
    /// Until when the request may wait for a target with a warm cache, once that has begun.
    pub(crate) warm_until: Option<Instant>,
    /// The request has run in part and must not be reported as not run.
    pub(crate) has_run: bool,
}

/// Where a request is in its life.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Stage {
    /// It waits for a target.
    Queued,
    /// It waits for the retry budget.
    RetryWait,
    /// It was sent, and the outcome is not known.
    Sent(TargetKey, SentAttempt),
}

impl Ledger {
    pub(crate) fn new(ended_len: usize) -> Self {
        Ledger {
            entries: SlotMap::with_key(),
            keys: HashMap::new(),
            attempt_numbers: RecentMap::new(ended_len),
        }
    }

    pub(crate) fn find(&self, id: RequestId) -> Option<RequestKey> {
        self.keys.get(&id).copied()
    }

    pub(crate) fn insert(&mut self, mut entry: Entry) -> RequestKey {
        let id = entry.request.id;
        entry.next_attempt = self.attempt_numbers.get(&id).copied().unwrap_or(0);
        let key = self.entries.insert(entry);
        self.keys.insert(id, key);
        key
    }

    pub(crate) fn get(&self, key: RequestKey) -> Option<&Entry> {
        self.entries.get(key)
    }

    pub(crate) fn entry(&self, key: RequestKey) -> &Entry {
        &self.entries[key]
    }

    pub(crate) fn entry_mut(&mut self, key: RequestKey) -> &mut Entry {
        &mut self.entries[key]
    }

    /// Starts an attempt, which becomes the live one.
    pub(crate) fn start(
        &mut self,
        key: RequestKey,
        target: TargetKey,
        send: SentAttempt,
    ) -> AttemptId {
        let entry = &mut self.entries[key];
        assert!(
            matches!(entry.stage, Stage::Queued),
            "a request with a live attempt was sent"
        );
        entry.next_attempt = send.number + 1;
        entry.stage = Stage::Sent(target, send);
        AttemptId {
            request: entry.request.id,
            number: send.number,
        }
    }

    /// Returns the request whose live attempt is `id`.
    pub(crate) fn live_attempt(
        &self,
        id: AttemptId,
    ) -> Option<(RequestKey, TargetKey, SentAttempt)> {
        let key = self.find(id.request)?;
        match self.entries[key].stage {
            Stage::Sent(target, send) if send.number == id.number => Some((key, target, send)),
            _ => None,
        }
    }

    /// Forgets a request that has ended.
    pub(crate) fn end(&mut self, key: RequestKey) -> Option<Entry> {
        let entry = self.entries.remove(key)?;
        self.keys.remove(&entry.request.id);
        if entry.next_attempt > 0 {
            *self.attempt_numbers.touch(entry.request.id) = entry.next_attempt;
        }
        Some(entry)
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the number of ended requests that are remembered.
    pub(crate) fn ended_len(&self) -> usize {
        self.attempt_numbers.len()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (RequestKey, &Entry)> {
        self.entries.iter()
    }
}

impl Entry {
    /// Reports whether the request may be resumed after it ran in part.
    pub(crate) fn may_resume(&self) -> bool {
        self.request.repeat == Repeat::Yes
    }
}
