use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use ebonylug_core::Tokens;

use crate::Settings;

/// The part of the time to a deadline by which deadlines are grouped, as a divisor.
const GRAIN: u32 = 16;
/// Deadlines are grouped by at least this time.
const MIN_GRAIN: Duration = Duration::from_secs(1);
/// How often the throughput and the urgent deadline are computed anew.
const REVIEW: Duration = Duration::from_millis(250);
/// Weight of a new measurement of the throughput.
const GAIN: f64 = 0.1;

/// The waiting batch work by deadline, and how fast this entry gets it done.
///
/// Fair order may starve a deadline, so work whose deadline comes near becomes urgent and is
/// done in order of deadline. It is near if the work up to it needs most of the time that is
/// left. Deadlines are grouped, coarsely if they are far away, so that a review looks at a few
/// hundred groups at most.
#[derive(Debug, Default)]
pub(crate) struct Workload {
    groups: BTreeMap<Instant, Group>,
    start: Option<Instant>,
    reviewed: Option<Instant>,
    done: Tokens,
    /// Tokens per second; nothing until measured.
    throughput: Option<f64>,
    /// Work with a deadline up to this is urgent.
    horizon: Option<Instant>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Group {
    work: Tokens,
    requests: usize,
    latest: Option<Instant>,
}

impl Workload {
    /// Adds waiting work and returns its group, for `remove`.
    pub(crate) fn add(&mut self, now: Instant, deadline: Instant, cost: Tokens) -> Instant {
        let start = *self.start.get_or_insert(now);
        let group = group_of(start, now, deadline);
        let entry = self.groups.entry(group).or_default();
        entry.work += cost;
        entry.requests += 1;
        entry.latest = entry.latest.max(Some(deadline));
        group
    }

    pub(crate) fn remove(&mut self, group: Instant, cost: Tokens) {
        let Some(entry) = self.groups.get_mut(&group) else {
            return;
        };
        entry.work -= cost;
        entry.requests -= 1;
        if entry.requests == 0 {
            self.groups.remove(&group);
        }
    }

    /// Counts batch work that was done.
    pub(crate) fn done(&mut self, cost: Tokens) {
        self.done += cost;
    }

    /// Measures the throughput and finds the last urgent deadline, from time to time.
    pub(crate) fn review(&mut self, now: Instant, settings: &Settings) {
        let since = self.reviewed.map(|at| now.saturating_duration_since(at));
        if since.is_some_and(|since| since < REVIEW) {
            return;
        }
        self.measure(since);
        self.reviewed = Some(now);
        self.horizon = now.checked_add(settings.urgent_slack);
        let mut work = Tokens::ZERO;
        for (&deadline, group) in &self.groups {
            work += group.work;
            let needed = self.time_for(work).unwrap_or_default();
            if now + needed.mul_f64(settings.urgent_safety) >= deadline {
                self.horizon = self.horizon.max(group.latest);
            }
        }
    }

    /// Returns the last urgent deadline.
    pub(crate) fn horizon(&self) -> Option<Instant> {
        self.horizon
    }

    /// Returns how long `work` takes at the measured throughput.
    pub(crate) fn time_for(&self, work: Tokens) -> Option<Duration> {
        let throughput = self.throughput.filter(|&t| t > 0.0)?;
        Some(bounded_secs(work.as_f64() / throughput))
    }

    fn measure(&mut self, since: Option<Duration>) {
        let done = std::mem::take(&mut self.done);
        let seconds = since.map_or(0.0, |since| since.as_secs_f64());
        // Without waiting work the throughput says nothing about the capacity.
        if seconds <= 0.0 || self.groups.is_empty() {
            return;
        }
        let measured = done.as_f64() / seconds;
        self.throughput = match self.throughput {
            None if done == Tokens::ZERO => None,
            None => Some(measured),
            Some(old) => Some(old + GAIN * (measured - old)),
        };
    }
}

/// Converts seconds to a duration of at most a year, so that additions cannot overflow.
pub(crate) fn bounded_secs(seconds: f64) -> Duration {
    const YEAR: f64 = 365.0 * 86_400.0;
    Duration::from_secs_f64(seconds.clamp(0.0, YEAR))
}

/// Rounds a deadline down to a multiple of a power of two, in seconds since `start`.
fn group_of(start: Instant, now: Instant, deadline: Instant) -> Instant {
    let left = deadline.saturating_duration_since(now);
    let grain = (left / GRAIN).max(MIN_GRAIN).as_secs();
    let grain = 1 << grain.ilog2();
    let seconds = deadline.saturating_duration_since(start).as_secs();
    start + Duration::from_secs(seconds / grain * grain)
}
