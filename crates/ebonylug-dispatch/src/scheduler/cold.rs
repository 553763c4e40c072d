//! Which targets are cold, and what entries tell each other about it.

use std::time::{Duration, Instant};

use ebonylug_core::Name;
use smallvec::SmallVec;

use super::{Scheduler, send_phase};
use crate::cold::{ColdChange, ColdRate, ColdSource};
use crate::gossip::TargetCold;
use crate::hash::short_hash;
use crate::target::{TargetKey, TargetRecord};

/// The longest time for which a target counts as cold after one report. A faulty target may report any time.
pub(super) const MAX_COLD_TIME: Duration = Duration::from_secs(3_600);

impl Scheduler {
    /// Sets the maximum rate of requests per second to a cold target of a service, and its default cold time.
    /// The rate also applies to targets that are cold now: they may have been listed before it was known.
    pub fn set_cold_limit(&mut self, now: Instant, service: Name, rate: f64, time: Duration) {
        self.settle_shares(now);
        let keys = self.services.get(&service).cloned().unwrap_or_default();
        self.cold_rates.insert(service, (rate, time));
        for key in keys {
            let record = &mut self.targets[key];
            match &mut record.cold.rate {
                // Without a rate, there is no limit.
                cold if rate <= 0.0 => *cold = None,
                Some(cold) => cold.set_rate(now, rate, self.sharing_entries),
                None => {}
            }
            let until = record.cold.until.filter(|&until| until > now);
            if let Some(until) = until {
                self.extend_cold_time(now, key, until);
            }
        }
    }

    /// Limits the send rate to a target that is or may be cold, for `time` or the default cold time.
    pub(super) fn limit_cold_rate(
        &mut self,
        now: Instant,
        key: TargetKey,
        time: Option<Duration>,
        source: ColdSource,
    ) {
        let record = &self.targets[key];
        let limit = self.cold_rates.get(&record.info.service);
        let time = time.or(limit.map(|&(_, default_time)| default_time));
        let left = time.unwrap_or_default().min(MAX_COLD_TIME);
        let was_cold = record.cold.is_cold(now);
        let is_limited = limit.is_none_or(|&(rate, _)| rate > 0.0);
        if !was_cold && is_limited && !left.is_zero() {
            let target = record.info.clone();
            self.cold_changes.push(ColdChange {
                target,
                source,
                left,
            });
        }
        self.extend_cold_time(now, key, now + left);
    }

    pub(super) fn extend_cold_time(&mut self, now: Instant, key: TargetKey, until: Instant) {
        self.settle_shares(now);
        let record = &mut self.targets[key];
        record.cold.until = record.cold.until.max(Some(until));
        let Some(&(rate, _)) = self.cold_rates.get(&record.info.service) else {
            return;
        };
        match &mut record.cold.rate {
            Some(cold) if cold.until() > now => cold.extend(until),
            cold => {
                let phase = send_phase(record.hash, self.random_state);
                *cold = ColdRate::new(now, until, rate, phase);
            }
        }
    }

    /// Limits the send rate to a target that reported that it is cold for `time`.
    pub fn mark_cold(&mut self, now: Instant, key: TargetKey, time: Duration) {
        if time.is_zero() {
            return;
        }
        let until = now + time.min(MAX_COLD_TIME);
        match self.current_key(key) {
            Some(key) => {
                self.targets[key].cold.reported = Some(until);
                self.limit_cold_rate(now, key, Some(time), ColdSource::Response);
            }
            // The row may come back while the target is cold.
            None => {
                if let Some(removed) = self.removed.get_mut(key) {
                    removed.cold.report(until);
                }
            }
        }
    }

    /// Limits the send rate to a target that answers again after an outage. It may have restarted and be cold.
    pub(super) fn mark_restored(&mut self, now: Instant, key: TargetKey) {
        let record = &mut self.targets[key];
        if let Some(&(_, time)) = self.cold_rates.get(&record.info.service) {
            record.cold.restored = Some(now + time);
        }
        self.limit_cold_rate(now, key, None, ColdSource::Outage);
    }

    /// Limits the send rate to targets that another entry knows to be cold. One that has answered this entry
    /// before and after it came back at the other one is not limited: only the network between them has failed.
    pub fn merge_cold(&mut self, now: Instant, reports: &[TargetCold]) {
        if reports.is_empty() {
            return;
        }
        let left = |record: &TargetRecord| {
            let target = short_hash(record.hash);
            let report = reports.iter().find(|report| report.target == target)?;
            let left = Duration::from_millis(u64::from(report.left));
            let limit = self.cold_rates.get(&record.info.service);
            let age = limit.map(|&(_, time)| time.saturating_sub(left));
            let back = now.checked_sub(age.unwrap_or_default()).unwrap_or(now);
            let is_refuted = report.inferred && record.health.refutes_outage(now, back);
            (!is_refuted || record.cold.is_cold(now)).then_some(left)
        };
        let cold: SmallVec<[(TargetKey, Duration); 2]> = self
            .targets
            .iter()
            .filter_map(|(key, record)| Some((key, left(record)?)))
            .collect();
        for (key, left) in cold {
            self.limit_cold_rate(now, key, Some(left), ColdSource::Peer);
        }
    }

    /// Returns the targets that are or may be cold by what this entry has seen itself, for the other entries.
    pub fn local_cold(&self, now: Instant) -> impl Iterator<Item = TargetCold> {
        self.targets.values().filter_map(move |record| {
            let left = |until: Option<Instant>| until?.checked_duration_since(now);
            let reported = left(record.cold.reported);
            let left = reported.or_else(|| left(record.cold.restored))?;
            Some(TargetCold {
                target: short_hash(record.hash),
                left: u32::try_from(left.as_millis()).unwrap_or(u32::MAX),
                inferred: reported.is_none(),
            })
        })
    }

    /// Reports whether a target is or may be cold.
    #[must_use]
    pub fn is_cold(&self, now: Instant, key: TargetKey) -> bool {
        let record = self.targets.get(key);
        let cold = record.and_then(|record| record.cold.rate.as_ref());
        cold.is_some_and(|cold| now < cold.until())
    }

    /// Returns the targets that have become cold since the last call, and the number of requests that this
    /// entry has sent to cold targets since its start.
    pub fn take_cold_changes(&mut self) -> (SmallVec<[ColdChange; 2]>, u64) {
        (std::mem::take(&mut self.cold_changes), self.cold_sends)
    }
}
