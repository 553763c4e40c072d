use std::time::{Duration, Instant};

use crate::gossip::TargetLimit;
use crate::shared_rate::SharedRate;

/// Minimum rate of requests of all entries to a target, in requests per second. Without any, a limit of
/// zero would never be known to have ended.
const MIN_RATE: f64 = 0.25;
/// Time for which an entry tells the others that a target has withdrawn its limit.
const WITHDRAWAL_PERIOD: Duration = Duration::from_secs(10);

/// What one response says about the limit of its target.
#[derive(Clone, Copy, Debug)]
struct Observation {
    /// When the response arrived at the entry that received it, if it is known.
    time: Option<Instant>,
    /// The limit in requests per second, if the response names one.
    rate: Option<f64>,
    /// Whether this entry received the response. If not, another entry has told of it.
    own: bool,
}

/// The limit on requests per second that a target names in its responses. It applies to the sum over all
/// entries, for as long as the responses name it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct NamedLimit {
    /// The latest response.
    latest: Option<Observation>,
    /// When this entry last received a response that withdrew the limit.
    withdrawn: Option<Instant>,
    /// This entry's share of the limit, while there is one.
    share: Option<SharedRate>,
}

impl NamedLimit {
    /// Records what a response that arrived at `now` names. `entries` share the limit, and `phase` is that of
    /// [`SharedRate::new`]. Returns whether the limit has changed.
    pub(crate) fn observe(
        &mut self,
        now: Instant,
        rate: Option<f64>,
        entries: usize,
        phase: f64,
    ) -> bool {
        if rate.is_none() && self.rate().is_some() {
            self.withdrawn = Some(now);
        }
        let own = true;
        let time = Some(now);
        self.apply(now, Observation { time, rate, own }, entries, phase)
    }

    /// Applies what another entry tells, if it is newer. Its message arrived with a delay; while that is not known, it
    /// applies only where nothing else is known. Returns whether the limit has changed.
    pub(crate) fn merge(
        &mut self,
        now: Instant,
        limit: &TargetLimit,
        delay: Option<Duration>,
        entries: usize,
        phase: f64,
    ) -> bool {
        let age = Duration::from_millis(u64::from(limit.age));
        let time = delay.and_then(|delay| now.checked_sub(age + delay));
        if delay.is_some() != time.is_some() || (time.is_none() && limit.rate.is_none()) {
            return false;
        }
        if self.latest.is_some_and(|latest| latest.time >= time) {
            return false;
        }
        let rate = limit.rate;
        let own = false;
        self.apply(now, Observation { time, rate, own }, entries, phase)
    }

    fn apply(&mut self, now: Instant, latest: Observation, entries: usize, phase: f64) -> bool {
        let before = self.rate();
        self.latest = Some(latest);
        match (&mut self.share, latest.rate) {
            (Some(share), Some(rate)) => share.set_rate(now, rate.max(MIN_RATE), entries),
            (share, rate) => {
                *share = rate.map(|rate| SharedRate::new(now, rate.max(MIN_RATE), phase));
            }
        }
        before != latest.rate
    }

    /// Returns the latest response for the other entries, if this entry received it and it names or has
    /// recently withdrawn a limit. `target` is the short hash of the target's name.
    pub(crate) fn news(&self, now: Instant, target: u32) -> Option<TargetLimit> {
        let elapsed = |time: Instant| now.saturating_duration_since(time);
        let latest = self.latest.filter(|latest| latest.own)?;
        let time = latest.time?;
        let withdrawn = self.withdrawn.map(elapsed);
        let is_news = latest.rate.is_some() || withdrawn.is_some_and(|t| t < WITHDRAWAL_PERIOD);
        is_news.then(|| TargetLimit {
            target,
            rate: latest.rate,
            age: u32::try_from(elapsed(time).as_millis()).unwrap_or(u32::MAX),
        })
    }

    /// Returns the limit in requests per second, if there is one.
    pub(crate) fn rate(&self) -> Option<f64> {
        self.latest.and_then(|latest| latest.rate)
    }

    /// Applies the time so far, as [`SharedRate::settle`] does.
    pub(crate) fn settle(&mut self, now: Instant, entries: usize) {
        if let Some(share) = &mut self.share {
            share.settle(now, entries);
        }
    }

    /// Reports whether this entry may send a request now, if `entries` share the limit.
    pub(crate) fn allows_send(&self, now: Instant, entries: usize) -> bool {
        let share = self.share.as_ref();
        share.is_none_or(|share| share.allows_send(now, entries))
    }

    pub(crate) fn record_send(&mut self, now: Instant) {
        if let Some(share) = &mut self.share {
            share.record_send(now);
        }
    }
}
