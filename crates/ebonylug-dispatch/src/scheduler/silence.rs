//! Which targets are in an outage by their silence.

use std::time::{Duration, Instant};

use super::Scheduler;
use crate::hash::short_hash;
use crate::target::{TargetKey, TargetRecord};

impl Scheduler {
    /// Records that a target has sent a part of a response. After an outage it may have restarted and be cold.
    pub fn record_sign(&mut self, now: Instant, key: TargetKey) {
        let time = self.run_time.advance(now);
        let Some(record) = self.targets.get_mut(key) else {
            return;
        };
        let silence = record.silence.length(time);
        let recent = record.silence.recent_length(time);
        record.silence.end(time);
        if silence.is_zero() || !self.cold_rates.contains_key(&record.info.service) {
            return;
        }
        let usual = self.silences.entry(record.info.service.clone());
        let usual = usual.or_default();
        let was_out = usual.is_outage(silence);
        usual.record(recent);
        if was_out {
            self.mark_restored(now, key);
        }
    }

    /// Records which targets have just sent something to another entry.
    pub fn merge_heard(&mut self, now: Instant, heard: &[u32]) {
        let time = self.run_time.advance(now);
        for record in self.targets.values_mut().filter(|_| !heard.is_empty()) {
            if !heard.contains(&short_hash(record.hash)) {
                continue;
            }
            if let Some(silence) = record.silence.record_peer(time) {
                let usual = self.silences.entry(record.info.service.clone());
                usual.or_default().record(silence);
            }
        }
    }

    /// Returns the short hashes of targets that have just sent something, for the other entries.
    pub fn local_heard(&self, now: Instant) -> impl Iterator<Item = u32> {
        let time = self.run_time.at(now);
        let heard = self
            .targets
            .values()
            .filter(move |record| record.silence.is_news(time));
        heard.map(|record| short_hash(record.hash))
    }

    /// Records that this entry runs. Time in which it does not counts little as silence of targets.
    pub fn record_running(&mut self, now: Instant) {
        self.run_time.advance(now);
    }

    /// Reports whether a target has been silent for so long that it gets no more requests until it answers those
    /// that it has.
    pub(super) fn is_silent(&self, now: Instant, record: &TargetRecord) -> bool {
        let silence = record.silence.length(self.run_time.at(now));
        let limit = self.cold_rates.get(&record.info.service);
        record.load() > 0
            && silence > Duration::ZERO
            && limit.is_some_and(|&(rate, _)| rate > 0.0)
            && self
                .silences
                .get(&record.info.service)
                .is_some_and(|usual| usual.is_outage(silence))
    }
}
