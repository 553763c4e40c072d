//! Slots that requests hold at targets, and what ends one before its request is sent.
//!
//! A request is sent some time after its target was selected: it may have to connect first. Whatever becomes known of the
//! target meanwhile holds for the request as well.

use std::net::SocketAddr;
use std::time::Instant;

use super::Scheduler;
use crate::placement::{Placement, PlacementRequest};
use crate::queue::WaitKey;
use crate::refusal::Reason;
use crate::rollout::VersionFilter;
use crate::target::{TargetKey, TargetState};

/// A slot at a target.
#[derive(Clone, Copy, Debug)]
pub struct Slot {
    target: TargetKey,
    address: SocketAddr,
    started_ms: u64,
    /// Whether the request counts in the rate of a cold target.
    cold: bool,
    /// Whether the request counts in the limit that the target names.
    limited: bool,
    /// Whether the request counts in the rate of a target that may be cold.
    guarded: bool,
}

/// Why a request must not be sent to the target at which it has a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Revocation {
    /// The target is not listed any more.
    Gone,
    /// The target has started again, or is elsewhere.
    Restarted,
    /// The target is about to stop.
    Leaving,
    /// Its availability zone is drained.
    Drained,
    /// The target wants no requests for a time.
    Paused,
    /// The target is or may be cold, and its rate is used up.
    Cold,
    /// The target names a limit, which is used up.
    Limited,
    /// A move has excluded its version.
    Version,
    /// The request has crashed targets.
    Quarantined,
}

impl Revocation {
    /// Returns the name used in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Revocation::Gone => "gone",
            Revocation::Restarted => "restarted",
            Revocation::Leaving => "leaving",
            Revocation::Drained => "drained",
            Revocation::Paused => "paused",
            Revocation::Cold => "cold",
            Revocation::Limited => "limited",
            Revocation::Version => "version",
            Revocation::Quarantined => "quarantined",
        }
    }
}

impl Slot {
    /// Returns the target.
    #[must_use]
    pub fn target(&self) -> TargetKey {
        self.target
    }
}

impl Scheduler {
    /// Returns the slot that a request has just been given at a target.
    #[must_use]
    pub fn slot(&self, now: Instant, target: TargetKey) -> Option<Slot> {
        let record = self.targets.get(target)?;
        Some(Slot {
            target,
            address: record.info.address,
            started_ms: record.info.started_ms,
            cold: record.cold.rate.is_some_and(|cold| now < cold.until()),
            limited: record.limit.rate().is_some(),
            guarded: record.warmth.is_guarded(),
        })
    }

    /// Checks that nothing has become known since a slot was taken that keeps its request from being sent now. The
    /// request counts in the rates of the target that did not apply then.
    ///
    /// # Errors
    ///
    /// Returns what has become known.
    pub fn confirm(&mut self, now: Instant, slot: &Slot) -> Result<(), Revocation> {
        self.settle_shares(now);
        let entries = self.sharing_entries;
        let Some(record) = self.targets.get_mut(slot.target) else {
            return Err(Revocation::Gone);
        };
        let info = &record.info;
        if info.started_ms != slot.started_ms || info.address != slot.address {
            return Err(Revocation::Restarted);
        }
        if info.state == TargetState::Leaving {
            return Err(Revocation::Leaving);
        }
        if self.drained.contains(&info.zone) {
            return Err(Revocation::Drained);
        }
        if record.is_paused(now) {
            return Err(Revocation::Paused);
        }
        let cold = record.cold.rate.as_mut().filter(|_| !slot.cold);
        let cold = cold.filter(|cold| now < cold.until());
        let warm = slot.guarded || record.warmth.allows_send(now, entries);
        if !warm
            || cold
                .as_ref()
                .is_some_and(|cold| !cold.allows_send(now, entries))
        {
            return Err(Revocation::Cold);
        }
        if !slot.limited && !record.limit.allows_send(now, entries) {
            return Err(Revocation::Limited);
        }
        if let Some(cold) = cold {
            cold.record_send(now);
            self.cold_sends += 1;
        }
        if !slot.guarded {
            record.warmth.record_send(now, entries);
        }
        if !slot.limited {
            record.limit.record_send(now);
        }
        Ok(())
    }

    /// Returns the queued requests.
    pub fn queued(&self) -> impl Iterator<Item = (WaitKey, &PlacementRequest)> {
        self.queue
            .iter()
            .map(|(key, waiter)| (key, &waiter.request))
    }

    /// Replaces the versions that may serve a queued request.
    pub fn set_versions(&mut self, key: WaitKey, versions: VersionFilter) {
        if let Some(waiter) = self.queue.get_mut(key) {
            waiter.request.versions = versions;
        }
    }

    /// Returns the place in the queue of a request that arrives now.
    pub fn new_place(&mut self, rank: u8) -> WaitKey {
        self.queue.next_key(rank)
    }

    /// Queues a request whose slot was revoked at the place that it had.
    pub fn requeue(
        &mut self,
        now: Instant,
        request: PlacementRequest,
        place: WaitKey,
    ) -> Placement {
        if !self.has_target(&request) {
            return Placement::Refuse(self.refusal(Reason::NoTarget, super::NO_TARGET_RETRY_AFTER));
        }
        if let Some(refusal) = self.refuse_paused(now, &request) {
            return Placement::Refuse(refusal);
        }
        let deadline = now + request.max_wait;
        self.queue.insert_at(place, request, deadline);
        Placement::Wait(place)
    }
}
