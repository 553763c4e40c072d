use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use ebonylug_core::Tokens;

use crate::Settings;

/// The part of the time to a deadline by which deadlines are grouped, as a divisor.
const GRANULARITY_DIVISOR: u32 = 16;
/// Deadlines are grouped by at least this time.
const MIN_GRANULARITY: Duration = Duration::from_secs(1);
/// How often the throughput and the urgent deadline are computed anew.
const UPDATE_INTERVAL: Duration = Duration::from_millis(250);
/// The throughput is a mean over about this time, in seconds: longer than most requests run,
/// or it would follow single completions.
const THROUGHPUT_WINDOW_S: f64 = 120.0;

/// The waiting batch work by deadline, and how fast this entry gets it done.
///
/// Fair order may starve a deadline, so work whose deadline comes near becomes urgent and is
/// done in order of deadline. It is near if the work up to it needs most of the time that is
/// left. Deadlines are grouped, coarsely if they are far away, so that a review looks at a few
/// hundred groups at most.
#[derive(Debug, Default)]
pub(crate) struct Workload {
    groups: BTreeMap<Instant, DeadlineGroup>,
    start: Option<Instant>,
    updated: Option<Instant>,
    /// Work done since the last review.
    completed: Tokens,
    /// Tokens that were done, and the seconds in which work waited, both fading with time.
    decayed: (f64, f64),
    /// Work with a deadline up to this is urgent.
    urgent_until: Option<Instant>,
}

#[derive(Clone, Copy, Debug, Default)]
struct DeadlineGroup {
    work: Tokens,
    requests: usize,
    latest: Option<Instant>,
}

impl Workload {
    /// Adds waiting work and returns its group, for `remove`.
    pub(crate) fn add(&mut self, now: Instant, deadline: Instant, cost: Tokens) -> Instant {
        let start = *self.start.get_or_insert(now);
        let group = group_start(start, now, deadline);
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
        // Without waiting work the throughput says nothing about the capacity.
        if self.groups.is_empty() {
            self.updated = None;
        }
    }

    /// Counts batch work that was done.
    pub(crate) fn record_done(&mut self, cost: Tokens) {
        self.completed += cost;
    }

    /// Measures the throughput and finds the last urgent deadline, from time to time.
    pub(crate) fn update(&mut self, now: Instant, settings: &Settings) {
        let since = self.updated.map(|at| now.saturating_duration_since(at));
        if since.is_some_and(|since| since < UPDATE_INTERVAL) {
            return;
        }
        let done = std::mem::take(&mut self.completed);
        if let Some(since) = since {
            self.record_throughput(done.as_f64(), since.as_secs_f64());
        }
        self.updated = Some(now);
        self.urgent_until = now.checked_add(settings.urgent_slack);
        let mut work = Tokens::ZERO;
        for (&deadline, group) in &self.groups {
            work += group.work;
            let needed = self.time_for(work).unwrap_or_default();
            if now + needed.mul_f64(settings.urgent_safety) >= deadline {
                self.urgent_until = self.urgent_until.max(group.latest);
            }
        }
    }

    /// Returns the last urgent deadline.
    pub(crate) fn urgent_until(&self) -> Option<Instant> {
        self.urgent_until
    }

    /// Returns how long `work` takes at the measured throughput.
    pub(crate) fn time_for(&self, work: Tokens) -> Option<Duration> {
        let (tokens, seconds) = self.decayed;
        (tokens > 0.0).then(|| bounded_secs(work.as_f64() * seconds / tokens))
    }

    fn record_throughput(&mut self, done: f64, seconds: f64) {
        let decay = (-seconds / THROUGHPUT_WINDOW_S).exp();
        let (tokens, time) = self.decayed;
        self.decayed = (tokens * decay + done, time * decay + seconds);
    }
}

/// Converts seconds to a duration of at most a year, so that additions cannot overflow.
pub(crate) fn bounded_secs(seconds: f64) -> Duration {
    const YEAR: f64 = 365.0 * 86_400.0;
    Duration::from_secs_f64(seconds.clamp(0.0, YEAR))
}

/// Rounds a deadline down to a multiple of a power of two, in seconds since `start`.
fn group_start(start: Instant, now: Instant, deadline: Instant) -> Instant {
    let left = deadline.saturating_duration_since(now);
    let grain = (left / GRANULARITY_DIVISOR).max(MIN_GRANULARITY).as_secs();
    let grain = 1 << grain.ilog2();
    let seconds = deadline.saturating_duration_since(start).as_secs();
    start + Duration::from_secs(seconds / grain * grain)
}
