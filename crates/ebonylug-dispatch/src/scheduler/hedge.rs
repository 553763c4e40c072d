//! Selects the target of a second attempt while the first one runs.

use std::time::{Duration, Instant};

use super::Scheduler;
use crate::hedging::HedgeRefusal;
use crate::placement::PlacementRequest;
use crate::rollout::VersionFilter;
use crate::target::{TargetKey, TargetRecord};

/// The share of a service's slots that must be free for a second attempt. With a fifth, none of 683 second attempts
/// won in a simulated service of three targets at a load of 0.8.
const MIN_FREE_SHARE: f64 = 0.25;
/// The largest pace of a second model engine, relative to the average of its service. Engines of one service differ
/// by a factor of three; the slowest would hardly answer before the first one.
const MAX_ENGINE_PACE: f64 = 1.5;
/// The rank of second attempts, which leave the reserve of slots to first attempts of all ranks.
const HEDGE_RANK: u8 = 2;

impl Scheduler {
    /// Selects a target with a free slot for a second attempt. `request.tried` must contain the target of
    /// the first one, which has run for `elapsed`. Never queues. [`Scheduler::record_hedge`] must follow if the attempt is sent.
    ///
    /// # Errors
    ///
    /// Returns the condition that does not hold.
    pub fn select_hedge(
        &mut self,
        now: Instant,
        request: &PlacementRequest,
        elapsed: Duration,
    ) -> Result<TargetKey, HedgeRefusal> {
        // A cancelled attempt is no evidence about its version, so hedges would hide a slow version.
        if !matches!(request.versions, VersionFilter::All) {
            return Err(HedgeRefusal::Move);
        }
        if !self.has_hedge_capacity(now, request) {
            return Err(HedgeRefusal::Capacity);
        }
        let keys = self.services.get(&request.service);
        let keys = keys.map_or(&[][..], Vec::as_slice);
        let average = self.average_pace(now, keys);
        // The pace of other targets than engines is the time of a whole answer. A target that takes longer than
        // the first attempt has run is unlikely to answer first.
        let max_pace = if request.model {
            average * MAX_ENGINE_PACE
        } else {
            elapsed.as_secs_f64()
        };
        let mut excluded = request.tried.clone();
        let unsuitable = |key: &&TargetKey| {
            let record = &self.targets[**key];
            let slow = record.shared_pace(now).is_some_and(|pace| pace > max_pace);
            !self.is_hedge_target(now, record) || slow
        };
        excluded.extend(keys.iter().filter(unsuitable).copied());
        let request = PlacementRequest {
            rank: request.rank.max(HEDGE_RANK),
            // The prompt stays with the target that has it in its cache.
            cache_key: None,
            tried: excluded,
            max_wait: Duration::ZERO,
            ..request.clone()
        };
        self.select_target(now, &request)
            .ok_or(HedgeRefusal::Target)
    }

    /// Records that a second attempt is sent to a target.
    pub fn record_hedge(&mut self, now: Instant, key: TargetKey, request: &PlacementRequest) {
        let request = PlacementRequest {
            cache_key: None,
            ..request.clone()
        };
        self.record_send(now, key, &request);
    }

    /// Records that a request was cancelled after `time` at a target, whose pace is at least that.
    pub fn record_cancelled(&mut self, now: Instant, key: TargetKey, time: Duration) {
        if let Some(record) = self.targets.get_mut(key) {
            record.record_pace(now, time.as_secs_f64());
        }
    }

    /// Reports whether a target is in normal operation and has a free slot of its own.
    fn is_hedge_target(&self, now: Instant, record: &TargetRecord) -> bool {
        let cold = record.cold.is_cold(now);
        record.accepts_requests(now, self.sharing_entries)
            && !cold
            && !record.health.is_unhealthy()
            && record.limit.rate().is_none()
            && record.load() < record.info.slots
    }

    /// Reports whether no request of the service waits at this entry, and enough of its slots are free.
    fn has_hedge_capacity(&self, now: Instant, request: &PlacementRequest) -> bool {
        let service = request.service.as_str();
        if self.queue.count_ahead(service, u8::MAX) > 0 {
            return false;
        }
        let (mut free, mut slots) = (0, 0);
        for key in self.services.get(&request.service).into_iter().flatten() {
            let record = &self.targets[*key];
            if self.is_eligible(record, request)
                && record.accepts_requests(now, self.sharing_entries)
            {
                slots += record.info.slots;
                free += record.info.slots.saturating_sub(record.load());
            }
        }
        f64::from(free) >= MIN_FREE_SHARE * f64::from(slots) && free > 0
    }
}
