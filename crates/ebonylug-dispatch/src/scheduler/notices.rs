//! Targets that have asked this entry for no more requests.

use std::time::{Duration, Instant};

use super::Scheduler;
use super::cold::MAX_COLD_TIME;
use crate::placement::PlacementRequest;
use crate::refusal::{Reason, Refusal};
use crate::target::{Target, TargetKey, TargetState};

/// The longest pause that a target can ask for at once. A faulty target may name any time.
const MAX_PAUSE: Duration = MAX_COLD_TIME;
/// Part of a pause over which the returns of refused callers are spread.
const RETURN_SPREAD: f64 = 0.5;

impl Scheduler {
    /// Records that a target has said that it is about to stop. `info` is the target to which the request was
    /// sent, since another start of it may be listed by now. Returns whether this is news.
    pub fn mark_leaving(&mut self, info: &Target) -> bool {
        if self.notices.of(&info.name, info.started_ms).leaving {
            return false;
        }
        let name = &info.name;
        self.notices
            .update(name, info.started_ms, |notices| notices.leaving = true);
        if let Some(listed) = self.listed(info) {
            self.targets[listed].info.state = TargetState::Leaving;
        }
        true
    }

    /// Records that a target wants no requests of this entry for `time`, as [`Scheduler::mark_leaving`] does.
    /// Another pause can end later, but not sooner.
    pub fn pause(&mut self, now: Instant, info: &Target, time: Duration) {
        let until = now + time.min(MAX_PAUSE);
        let notices = self.notices.update(&info.name, info.started_ms, |notices| {
            notices.paused_until = notices.paused_until.max(Some(until));
        });
        if let Some(listed) = self.listed(info) {
            self.targets[listed].paused_until = notices.paused_until;
        }
    }

    /// Returns the key of the target with this name, unless another start of it is listed.
    fn listed(&self, info: &Target) -> Option<TargetKey> {
        let key = *self.names.get(&info.name)?;
        (self.targets[key].info.started_ms == info.started_ms).then_some(key)
    }

    /// Refuses a request whose targets are all paused for longer than it may wait.
    pub(super) fn refuse_paused(
        &mut self,
        now: Instant,
        request: &PlacementRequest,
    ) -> Option<Refusal> {
        let mut earliest: Option<Instant> = None;
        for &key in self.services.get(&request.service)? {
            let record = &self.targets[key];
            if request.tried.contains(&key) || !self.is_eligible(record, request) {
                continue;
            }
            let until = record.paused_until.filter(|&until| now < until)?;
            earliest = Some(earliest.map_or(until, |earliest| earliest.min(until)));
        }
        let left = earliest?.saturating_duration_since(now);
        if left <= request.max_wait {
            return None;
        }
        let spread = RETURN_SPREAD * self.random_unit();
        Some(Refusal {
            reason: Reason::Paused,
            retry_after: left.mul_f64(1.0 + spread),
            forecast: None,
        })
    }
}
