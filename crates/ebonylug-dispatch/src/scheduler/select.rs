//! Selects the target of a request.

use std::time::Instant;

use smallvec::SmallVec;

use super::Scheduler;
use crate::choice::{
    Candidate, MAX_RELATIVE_PACE, MIN_RELATIVE_PACE, draw_weighted, drop_poor, score,
    score_reported,
};
use crate::hash::mix;
use crate::pacing::{Pacer, ServiceLoad};
use crate::placement::PlacementRequest;
use crate::target::{TargetKey, TargetRecord, TargetState};

/// Prompt tokens for which as many targets are sampled as for the shortest prompt. Longer prompts are rarer, so
/// entries that sample more targets for them select the same target no more often.
const TOKENS_PER_SAMPLE: u32 = 500;

/// What is known of the load of a target.
struct TargetView {
    /// Requests there.
    load: u32,
    slots: u32,
    /// How long work takes now, as a multiple of the usual time.
    slowness: f64,
}

impl TargetView {
    /// Returns the view, corrected by the target's reports if targets of the service state their slowness.
    fn new(
        now: Instant,
        record: &TargetRecord,
        request: &PlacementRequest,
        reported: bool,
    ) -> Self {
        if !reported {
            return TargetView {
                load: record.load(),
                slots: record.info.slots,
                slowness: 1.0,
            };
        }
        let corrected = record.corrected_load(now);
        TargetView {
            // Few requests of a model engine end while messages travel, so of the two, the figure that lacks
            // requests is the wrong one.
            load: match request.model {
                true => corrected.max(record.load()),
                false => corrected,
            },
            slots: record.usable_slots(),
            slowness: record.reported.slowness(now),
        }
    }
}

impl Scheduler {
    /// Reports whether there is an eligible target, full or not, that the request was not sent to yet.
    #[must_use]
    pub fn has_target(&self, request: &PlacementRequest) -> bool {
        let eligible = |key: &TargetKey| {
            !request.tried.contains(key) && self.is_eligible(&self.targets[*key], request)
        };
        let keys = self.services.get(&request.service);
        keys.is_some_and(|keys| keys.iter().any(eligible))
    }

    pub(super) fn is_eligible(&self, record: &TargetRecord, request: &PlacementRequest) -> bool {
        record.info.state == TargetState::Serving
            && !self.drained.contains(&record.info.zone)
            && request.versions.allows(&record.info.version)
            && record.info.service == request.service
    }

    fn request_limit(
        &self,
        now: Instant,
        record: &TargetRecord,
        slots: u32,
        request: &PlacementRequest,
    ) -> u32 {
        match (request.model, request.rank) {
            (false, _) => slots + self.plain_queue(now, record, request),
            (true, 0) => slots + self.settings.engine_queue,
            (true, _) => slots,
        }
    }

    /// Reports whether the service has more free slots than its reserve for requests of this rank, and
    /// whether this entry may use one of them now.
    fn has_free_slots(&mut self, now: Instant, request: &PlacementRequest) -> bool {
        let reserve = self.settings.slot_reserve[usize::from(request.rank).min(2)];
        if !request.model || reserve <= 0.0 {
            return true;
        }
        let reported = self.reports_slowness(&request.service);
        let (mut free, mut slots) = (0, 0);
        for &key in self.services.get(&request.service).into_iter().flatten() {
            let record = &self.targets[key];
            if self.is_eligible(record, request)
                && record.accepts_requests(now, self.sharing_entries)
            {
                let view = TargetView::new(now, record, request, reported);
                slots += view.slots;
                free += view.slots.saturating_sub(view.load);
            }
        }
        let reserved = reserve * f64::from(slots);
        let ahead = self
            .peer_waiting
            .count_ahead(&request.service, request.rank);
        let has_free = f64::from(free) > reserved + f64::from(ahead);
        if !self.settings.has_many(self.entries) {
            return has_free;
        }
        let load = ServiceLoad {
            free,
            busy: slots - free,
            reserved,
            entries: self.entries,
            delay: self.delay,
        };
        let service = request.service.clone();
        let pacer = self
            .pacers
            .entry(service)
            .or_insert_with(|| Pacer::new(now));
        pacer.allows_send(now, request.rank, load) && has_free
    }

    /// Selects a target with a free slot.
    ///
    /// Entries learn of each other's requests with a delay. If all of them selected the best target,
    /// they would overload it several times over. Therefore a few targets are sampled with a
    /// probability proportional to their free slots, and the best of the sample is selected. The score
    /// scales prompt tokens by the pace of the target, so long prompts go to fast targets.
    ///
    /// Where targets state how slow their machines are, their reports correct the loads, and targets that are
    /// full or too slow for the prompt are left out while there are others.
    ///
    /// A target that this entry recently sent the same cache key to has the prompt in its cache. It is
    /// preferred unless its load is much higher than that of the least loaded candidate.
    pub(super) fn select_target(
        &mut self,
        now: Instant,
        request: &PlacementRequest,
    ) -> Option<TargetKey> {
        if !self.has_free_slots(now, request) {
            self.demand_checks(now, request);
            return None;
        }
        let keys = self.services.get(&request.service)?;
        let reported = self.reports_slowness(&request.service);
        let average = self.average_pace(now, keys);
        let weights = self.settings.weights(self.entries);
        let mut candidates: SmallVec<[Candidate; 32]> = SmallVec::new();
        for &key in keys {
            let record = &self.targets[key];
            let view = TargetView::new(now, record, request, reported);
            let free = self
                .request_limit(now, record, view.slots, request)
                .saturating_sub(view.load);
            if free == 0
                || request.tried.contains(&key)
                || !record.accepts_requests(now, self.sharing_entries)
                || !self.is_eligible(record, request)
                || self.is_silent(now, record)
            {
                continue;
            }
            let pace = record.shared_pace(now).map_or(1.0, |pace| pace / average);
            let pace = (pace * view.slowness).clamp(MIN_RELATIVE_PACE, MAX_RELATIVE_PACE);
            if request.model && f64::from(record.backlog()) * pace > self.max_backlog(request) {
                continue;
            }
            let local = record.info.zone == self.zone;
            let score = if reported {
                score_reported(record, request, view.load, pace)
            } else {
                score(record, request, pace)
            };
            let weight = match (local, record.owned) {
                (false, _) => 1,
                (true, false) => weights.zone,
                (true, true) => weights.owner,
            };
            candidates.push(Candidate {
                key,
                load: view.load,
                free: free * weight,
                poor: reported && self.is_poor(record, request, &view, pace),
                score: score
                    * if local {
                        1.0
                    } else {
                        self.settings.remote_penalty
                    },
            });
        }
        if candidates.is_empty() {
            self.demand_checks(now, request);
            return None;
        }
        drop_poor(&mut candidates);
        if let Some(key) = self.cached_target(now, request, &candidates) {
            return Some(key);
        }
        let by_score = |a: &&Candidate, b: &&Candidate| a.score.total_cmp(&b.score);
        if request.prompt >= self.settings.long_prompt {
            return candidates.iter().min_by(by_score).map(|best| best.key);
        }
        let sampled = (1..=self.sample_size(request, reported))
            .filter_map(|n| draw_weighted(&candidates, mix(self.random_state, n)));
        sampled.min_by(by_score).map(|best| best.key)
    }

    /// Returns the number of targets to sample. Where lasting speeds are known, it grows with the prompt: a slow
    /// target processes a long prompt too late, and a small sample may hold slow ones only.
    fn sample_size(&self, request: &PlacementRequest, reported: bool) -> u64 {
        let factor = match reported {
            true => u64::from(request.prompt / TOKENS_PER_SAMPLE).max(1),
            false => 1,
        };
        self.settings.sample_size * factor
    }

    /// Reports whether another target is to be preferred at any score: this one is known to be full, or would
    /// process the prompt later than a target of average speed may.
    fn is_poor(
        &self,
        record: &TargetRecord,
        request: &PlacementRequest,
        view: &TargetView,
        speed: f64,
    ) -> bool {
        if !request.model {
            return view.load >= view.slots;
        }
        let tokens = record.backlog().saturating_add(request.prompt);
        f64::from(tokens) * speed > self.max_backlog(request)
    }

    fn max_backlog(&self, request: &PlacementRequest) -> f64 {
        f64::from(self.settings.max_backlog[usize::from(request.rank).min(2)])
    }

    pub(super) fn average_pace(&self, now: Instant, keys: &[TargetKey]) -> f64 {
        let paces = keys
            .iter()
            .filter_map(|&key| self.targets[key].shared_pace(now));
        let (sum, count) = paces.fold((0.0, 0), |(sum, count), pace| (sum + pace, count + 1));
        if count == 0 {
            return 1.0;
        }
        (sum / f64::from(count)).max(f64::MIN_POSITIVE)
    }

    /// Returns the target that has the prompt in its cache, unless its load is too high.
    fn cached_target(
        &self,
        now: Instant,
        request: &PlacementRequest,
        candidates: &[Candidate],
    ) -> Option<TargetKey> {
        let key = self.prompts.find(now, request.cache_key?)?;
        let lowest = candidates.iter().map(|c| c.load).min()?;
        let cached = candidates.iter().find(|candidate| candidate.key == key)?;
        (cached.load <= lowest + self.settings.affinity_slack).then_some(key)
    }
}
