//! Which targets are checked while their rows may be missing.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use super::{Scheduler, send_phase};
use crate::gossip::TargetWarm;
use crate::hash::short_hash;
use crate::placement::PlacementRequest;
use crate::target::TargetKey;

/// Interval between two checks of an entry in place of owners.
const SUBSTITUTE_INTERVAL: Duration = Duration::from_millis(125);

/// A check of whether a target is cold. It says nothing of another start of the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdCheck {
    /// The target.
    pub target: TargetKey,
    /// Where it is.
    pub address: SocketAddr,
    started_ms: u64,
}

impl Scheduler {
    /// Sets whether the rows of targets are known to be current. While they are not, targets that may be cold get the
    /// rate of a cold one, unless a check has just shown that they are warm.
    pub fn set_rows_current(&mut self, now: Instant, current: bool) {
        if current && self.rows_current {
            return;
        }
        self.rows_current = current;
        let keys: SmallVec<[TargetKey; 64]> = self.targets.keys().collect();
        for key in keys {
            self.guard_target(now, key);
        }
    }

    /// Limits a target that may be cold while rows may be missing.
    pub(super) fn guard_target(&mut self, now: Instant, key: TargetKey) {
        self.settle_shares(now);
        let record = &mut self.targets[key];
        match self.cold_rates.get(&record.info.service) {
            Some(&(rate, _)) if !self.rows_current && rate > 0.0 => {
                let phase = send_phase(record.hash, self.random_state);
                record.warmth.guard(now, rate, self.sharing_entries, phase);
            }
            _ => record.warmth.release(),
        }
    }

    /// Reports whether the rows of targets are known to be current.
    #[must_use]
    pub fn has_current_rows(&self) -> bool {
        self.rows_current
    }

    /// Marks the targets that a request could use if they were known to be warm. Those that are full are none.
    pub(super) fn demand_checks(&mut self, now: Instant, request: &PlacementRequest) {
        if self.rows_current {
            return;
        }
        for key in self
            .services
            .get(&request.service)
            .cloned()
            .unwrap_or_default()
        {
            let record = &self.targets[key];
            let has_room = record.load() < record.usable_slots();
            if has_room && self.is_eligible(record, request) && !record.cold.is_cold(now) {
                self.targets[key].warmth.demand(now);
            }
        }
    }

    /// Returns the targets that this entry checks now. Each check ends with [`Scheduler::end_check`].
    pub fn take_checks(&mut self, now: Instant) -> SmallVec<[ColdCheck; 8]> {
        let mut due = SmallVec::new();
        if self.rows_current {
            return due;
        }
        // Many entries may miss the check of one owner at the same time.
        let substituted = self.substitute_check;
        let age = substituted.map(|time| now.saturating_duration_since(time));
        let mut may_substitute = age.is_none_or(|age| age >= SUBSTITUTE_INTERVAL);
        for (key, record) in &mut self.targets {
            // Each zone has an owner. The one of the target's zone checks first.
            let first = record.owned && record.info.zone == self.zone;
            let is_due = record.owned || may_substitute;
            if !is_due || record.cold.is_cold(now) || !record.warmth.needs_check(now, first) {
                continue;
            }
            if !record.owned {
                self.substitute_check = Some(now);
                may_substitute = false;
            }
            record.warmth.start_check(now);
            due.push(ColdCheck {
                target: key,
                address: record.info.address,
                started_ms: record.info.started_ms,
            });
        }
        due
    }

    /// Records what a check of a target has shown: the time for which it stays cold, zero if it is warm, or `None` if
    /// it has not answered. Ignored if the target has started again, or is elsewhere.
    pub fn end_check(&mut self, now: Instant, check: &ColdCheck, cold: Option<Duration>) {
        let key = check.target;
        let time = cold.filter(|time| !time.is_zero());
        if let Some(record) = self.targets.get_mut(key) {
            let info = &record.info;
            if info.started_ms != check.started_ms || info.address != check.address {
                return;
            }
            record.warmth.end_check(now, cold == Some(Duration::ZERO));
            if time.is_some() {
                record.warmth.refute();
            }
        }
        if let Some(time) = time {
            self.mark_cold(now, key, time);
        }
    }

    /// Forgets the checks so far, because this entry was suspended.
    pub fn forget_checks(&mut self) {
        for record in self.targets.values_mut() {
            record.warmth.refute();
        }
    }

    /// Applies checks of another entry, whose message arrived with a delay.
    pub fn merge_warm(&mut self, now: Instant, checks: &[TargetWarm], delay: Duration) {
        if checks.is_empty() {
            return;
        }
        for record in self.targets.values_mut() {
            let target = short_hash(record.hash);
            let check = checks.iter().find(|check| check.target == target);
            let age = check.map(|check| Duration::from_millis(u64::from(check.age)));
            if let Some(time) = age.and_then(|age| now.checked_sub(age + delay)) {
                record.warmth.merge(time);
            }
        }
    }

    /// Returns this entry's checks that show that targets are warm, for the other entries.
    pub fn local_warm(&self, now: Instant) -> impl Iterator<Item = TargetWarm> {
        self.targets.values().filter_map(move |record| {
            let age = record.warmth.own_proof(now)?;
            Some(TargetWarm {
                target: short_hash(record.hash),
                age: u16::try_from(age.as_millis()).unwrap_or(u16::MAX),
            })
        })
    }
}
