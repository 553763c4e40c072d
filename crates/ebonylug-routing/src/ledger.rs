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
/// A request is in exactly one [`Stage`], so it cannot have two live attempts. An outcome counts
/// only if it names the live attempt; any other is late, a duplicate, or was overtaken by
/// another event.
#[derive(Debug)]
pub(crate) struct Ledger {
    entries: SlotMap<RequestKey, Entry>,
    keys: HashMap<RequestId, RequestKey>,
    /// The next attempt numbers of ended requests. If a request id is used again, late outcomes of
    /// its earlier attempts must not match a new attempt.
    attempt_numbers: RecentMap<RequestId, u32>,
}

#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) request: Request,
    pub(crate) position: Position,
    pub(crate) stage: Stage,
    /// Tokens to prefill before the first output token if nothing is cached.
    pub(crate) input: Tokens,
    /// Expected remaining output.
    pub(crate) output: Tokens,
    /// Expected work: the sum of `input` and `output`.
    pub(crate) cost: Tokens,
    /// The deadline group in the workload of the route, while a batch request is eligible for
    /// dispatch.
    pub(crate) deadline_group: Option<Instant>,
    /// The number of the next attempt, starting at 0 for a new request id.
    pub(crate) next_attempt: u32,
    /// Number of refusals of its attempts.
    pub(crate) refusals: u32,
    /// The drawn version, and the epoch of the shares at the draw.
    pub(crate) drawn: Option<(VersionKey, u32)>,
    /// Where the request was last preempted, and the number of its tokens that are cached there.
    pub(crate) resume_hint: Option<(Holder, Tokens)>,
    /// The current wait for a target with a warm cache.
    pub(crate) warm_wait: Option<WarmWait>,
    /// The end of the time that the request may wait for a warm cache, set when the wait begins.
    pub(crate) warm_until: Option<Instant>,
    /// Whether the request has run in part, so that it must not be reported as not run.
    pub(crate) has_run: bool,
}

/// The stage of a request that has not ended.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Stage {
    /// Waits for a target.
    Queued,
    /// Waits for the retry budget.
    RetryWait,
    /// Has a live attempt at the target.
    Sent(TargetKey, SentAttempt),
}

impl Ledger {
    /// Creates an empty ledger that keeps the attempt numbers of up to `ended_capacity` ended
    /// requests.
    pub(crate) fn new(ended_capacity: usize) -> Self {
        Ledger {
            entries: SlotMap::with_key(),
            keys: HashMap::new(),
            attempt_numbers: RecentMap::new(ended_capacity),
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

    /// Starts an attempt and makes it the live one.
    pub(crate) fn start(
        &mut self,
        key: RequestKey,
        target: TargetKey,
        sent: SentAttempt,
    ) -> AttemptId {
        let entry = &mut self.entries[key];
        assert!(
            matches!(entry.stage, Stage::Queued),
            "a request that is not queued was dispatched"
        );
        entry.next_attempt = sent.number + 1;
        entry.stage = Stage::Sent(target, sent);
        AttemptId {
            request: entry.request.id,
            number: sent.number,
        }
    }

    /// Returns the request whose live attempt is `id`.
    pub(crate) fn live_attempt(
        &self,
        id: AttemptId,
    ) -> Option<(RequestKey, TargetKey, SentAttempt)> {
        let key = self.find(id.request)?;
        match self.entries[key].stage {
            Stage::Sent(target, sent) if sent.number == id.number => Some((key, target, sent)),
            _ => None,
        }
    }

    /// Removes a request that has ended, and keeps its next attempt number.
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

    /// Returns the number of ended requests whose attempt numbers are kept.
    pub(crate) fn ended_len(&self) -> usize {
        self.attempt_numbers.len()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (RequestKey, &Entry)> {
        self.entries.iter()
    }
}

impl Entry {
    /// Reports whether the request may be resumed after it has run in part.
    pub(crate) fn may_resume(&self) -> bool {
        self.request.repeat == Repeat::Yes
    }
}
