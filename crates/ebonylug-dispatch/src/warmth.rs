//! Limits a target that may have become cold without this entry's knowledge.
//!
//! While no entry in reach gets the targets' rows, no row can say that a target is cold. Each target then gets the
//! rate of a cold one, in equal shares of all entries, unless a check has just shown that it is warm.

use std::time::{Duration, Instant};

use crate::shared_rate::SharedRate;

/// Time for which a check shows that a target is warm. A target that becomes cold just after a check gets its usual
/// requests for this time, so it bounds how many more than the cold rate one second may have.
const PROOF_TIME: Duration = Duration::from_millis(300);
/// Age of a proof at which a target in use is checked again, so that the next proof arrives in time.
const RENEWAL_AGE: Duration = Duration::from_millis(180);
/// Time for which a target that more requests could use is checked.
const DEMAND_TIME: Duration = Duration::from_millis(400);
/// Time for which an entry waits for the check of the one that owns the target. It covers a message.
const OWNER_TIME: Duration = Duration::from_millis(150);
/// Time after which a check without a result no longer prevents the next one.
const CHECK_TIME: Duration = Duration::from_millis(500);

/// What an entry knows of a target's being warm while rows may be missing.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Warmth {
    /// This entry's share of the rate, while rows may be missing.
    guard: Option<SharedRate>,
    /// The time of the latest check that showed that the target is warm.
    proven: Option<Instant>,
    /// Whether this entry has made that check.
    own: bool,
    /// When requests last needed more than this entry's share.
    demanded: Option<Instant>,
    /// Since when requests have needed more than this entry's share without a check that shows that the target
    /// is warm.
    unmet: Option<Instant>,
    /// When this entry's latest check began, until it ends.
    checking: Option<Instant>,
}

impl Warmth {
    /// Starts to limit sends to a share of `rate` requests per second among the entries. `phase` is that of
    /// [`SharedRate::new`].
    pub(crate) fn guard(&mut self, now: Instant, rate: f64, entries: usize, phase: f64) {
        match &mut self.guard {
            Some(share) => share.set_rate(now, rate, entries),
            guard => *guard = Some(SharedRate::new(now, rate, phase)),
        }
    }

    /// Applies the time so far, as [`SharedRate::settle`] does.
    pub(crate) fn settle(&mut self, now: Instant, entries: usize) {
        if let Some(share) = &mut self.guard {
            share.settle(now, entries);
        }
    }

    /// Ends the limit.
    pub(crate) fn release(&mut self) {
        *self = Warmth::default();
    }

    /// Reports whether requests count in the rate.
    pub(crate) fn is_guarded(&self) -> bool {
        self.guard.is_some()
    }

    fn is_proven(&self, now: Instant) -> bool {
        let age = |time| now.saturating_duration_since(time);
        self.proven.is_some_and(|time| age(time) < PROOF_TIME)
    }

    /// Reports whether no other entry has checked the target though this one needs it.
    fn is_unmet(&self, now: Instant) -> bool {
        let waited = |since| now.saturating_duration_since(since) >= OWNER_TIME;
        !self.is_proven(now) && self.unmet.is_some_and(waited)
    }

    /// Reports whether this entry may send a request now, if `entries` share the rate.
    pub(crate) fn allows_send(&self, now: Instant, entries: usize) -> bool {
        let share = self.guard.as_ref();
        share.is_none_or(|share| self.is_proven(now) || share.allows_send(now, entries))
    }

    pub(crate) fn record_send(&mut self, now: Instant, entries: usize) {
        if let Some(share) = &mut self.guard {
            if !share.allows_send(now, entries) {
                self.demanded = Some(now);
            }
            share.record_send(now);
        }
    }

    /// Records that a request could use the target if it were known to be warm.
    pub(crate) fn demand(&mut self, now: Instant) {
        let age = |time| now.saturating_duration_since(time);
        let lasting = self.demanded.is_some_and(|time| age(time) < DEMAND_TIME);
        self.demanded = Some(now);
        if self.is_proven(now) || !lasting {
            self.unmet = None;
        }
        if !self.is_proven(now) {
            self.unmet.get_or_insert(now);
        }
    }

    /// Reports whether a check by this entry is due. The entry that owns the target checks it before the others.
    pub(crate) fn needs_check(&self, now: Instant, owned: bool) -> bool {
        let within = |time: Option<Instant>, limit| {
            time.is_some_and(|t| now.saturating_duration_since(t) < limit)
        };
        self.guard.is_some()
            && within(self.demanded, DEMAND_TIME)
            && !within(self.proven, RENEWAL_AGE)
            && (owned || self.is_unmet(now))
            && !within(self.checking, CHECK_TIME)
    }

    /// Records the start of a check.
    pub(crate) fn start_check(&mut self, now: Instant) {
        self.checking = Some(now);
    }

    /// Records the end of a check.
    pub(crate) fn end_check(&mut self, now: Instant, warm: bool) {
        self.checking = None;
        if warm {
            self.proven = Some(now);
            self.own = true;
            self.unmet = None;
        }
    }

    /// Records that another entry's check has shown at `time` that the target is warm.
    pub(crate) fn merge(&mut self, time: Instant) {
        if self.guard.is_some() && self.proven.is_none_or(|proven| proven < time) {
            self.proven = Some(time);
            self.own = false;
            self.unmet = None;
        }
    }

    /// Forgets what was known of an earlier start.
    pub(crate) fn restart(&mut self) {
        *self = Warmth {
            guard: self.guard,
            demanded: self.demanded,
            ..Warmth::default()
        };
    }

    /// Forgets the proof, since the target is cold.
    pub(crate) fn refute(&mut self) {
        self.proven = None;
    }

    /// Returns the age of this entry's own proof, if it is of use to others.
    pub(crate) fn own_proof(&self, now: Instant) -> Option<Duration> {
        let proven = self.proven.filter(|_| self.own && self.is_proven(now))?;
        Some(now.saturating_duration_since(proven))
    }
}
