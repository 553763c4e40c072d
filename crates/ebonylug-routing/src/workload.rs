use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use ebonylug_core::Tokens;

use crate::Settings;

/// Deadlines are grouped with a granularity of the time to the deadline divided by this.
const GRANULARITY_DIVISOR: u32 = 16;
/// The finest granularity with which deadlines are grouped.
const MIN_GRANULARITY: Duration = Duration::from_secs(1);
/// The minimum time between two computations of the throughput and the urgent deadlines.
const UPDATE_INTERVAL: Duration = Duration::from_millis(250);
/// Time constant of the mean throughput. It exceeds the run time of most requests, or the mean
/// would follow single completions.
const THROUGHPUT_WINDOW_S: f64 = 120.0;

/// The waiting batch work of a route by deadline, and the throughput of this entry.
///
/// Fair order alone can miss deadlines, so work becomes urgent, and is then dispatched in
/// deadline order, when the work due up to its deadline needs most of the remaining time.
/// Deadlines are grouped, more coarsely the later they are, so that an update iterates over a
/// few hundred groups at most.
#[derive(Debug, Default)]
pub(crate) struct Workload {
    groups: BTreeMap<Instant, DeadlineGroup>,
    /// When the first work was added. Groups start at multiples of their size after this.
    start: Option<Instant>,
    updated: Option<Instant>,
    /// Work completed since the last update.
    completed: Tokens,
    /// Completed tokens, and the seconds during which work waited, both with exponential decay.
    decayed: (f64, f64),
    /// Work with a deadline up to this time is urgent.
    urgent_until: Option<Instant>,
}

#[derive(Clone, Copy, Debug, Default)]
struct DeadlineGroup {
    work: Tokens,
    requests: usize,
    /// The latest deadline of a request in the group.
    latest: Option<Instant>,
}

impl Workload {
    /// Adds waiting work and returns its deadline group, which `remove` takes.
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
        // Without waiting work, the throughput is no measure of the capacity.
        if self.groups.is_empty() {
            self.updated = None;
        }
    }

    /// Counts completed batch work towards the throughput.
    pub(crate) fn record_done(&mut self, cost: Tokens) {
        self.completed += cost;
    }

    /// Updates the throughput and the last urgent deadline, at most once per [`UPDATE_INTERVAL`].
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

    /// Returns the time up to which deadlines are urgent.
    pub(crate) fn urgent_until(&self) -> Option<Instant> {
        self.urgent_until
    }

    /// Returns how long `work` takes at the measured throughput, or `None` before anything has
    /// completed.
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

/// Converts seconds to a duration of at most one year, so that adding it to an instant cannot
/// overflow.
pub(crate) fn bounded_secs(seconds: f64) -> Duration {
    const YEAR_S: f64 = 365.0 * 86_400.0;
    Duration::from_secs_f64(seconds.clamp(0.0, YEAR_S))
}

/// Returns the start of the group of a deadline: rounded down to a multiple of the granularity
/// since `start`, where the granularity is a power of two in seconds.
fn group_start(start: Instant, now: Instant, deadline: Instant) -> Instant {
    let left = deadline.saturating_duration_since(now);
    let grain = (left / GRANULARITY_DIVISOR).max(MIN_GRANULARITY).as_secs();
    let grain = 1 << grain.ilog2();
    let seconds = deadline.saturating_duration_since(start).as_secs();
    start + Duration::from_secs(seconds / grain * grain)
}
