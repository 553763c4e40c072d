use std::time::{Duration, SystemTime};

use ebonylug_core::Name;
use serde::{Deserialize, Serialize};

/// Load state of a version at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadState {
    /// The version is not loaded.
    Missing,
    /// The target is loading the version.
    Loading,
    /// The version is loaded and in cold start.
    Cold,
    /// The version is loaded and warm.
    Warm,
}

/// The load state of one target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetLoad {
    /// The name of the target.
    pub target: Name,
    /// The load state of the new version at the target.
    pub state: LoadState,
}

/// The rate of model loads that the weight store permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadRate {
    /// Number of loads that may start at the same time.
    pub burst: u32,
    /// Time after which another load may start.
    #[serde(rename = "every")]
    pub interval: Duration,
}

impl Default for LoadRate {
    fn default() -> Self {
        LoadRate {
            burst: 2,
            interval: Duration::from_secs(10),
        }
    }
}

/// Time after which the order is repeated to a target that has not begun to load.
const LOAD_RETRY: Duration = Duration::from_secs(60);
/// Time between two warm-up orders to the same target.
const WARM_UP_RETRY: Duration = Duration::from_secs(10);
/// Fraction of the time before the start over which loads are spread. The rest is for warm-up.
const SPREAD_FRACTION: f64 = 0.8;

/// Spreads orders to load a version over the time before the start of a move.
///
/// A token bucket enforces the rate limit of the weight store. Below the limit, orders are spaced
/// evenly, so that loads of other versions are not delayed.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    rate: LoadRate,
    tokens: f64,
    refilled: Option<SystemTime>,
    /// The earliest time of the next order, which spaces orders evenly.
    next_order: Option<SystemTime>,
    /// Start of the move, and the time by which all loads should be ordered.
    deadline: Option<(SystemTime, SystemTime)>,
    targets: Vec<PlannedTarget>,
}

#[derive(Clone, Debug)]
struct PlannedTarget {
    load: TargetLoad,
    /// When the target was last ordered to load the version.
    ordered: Option<SystemTime>,
    /// When the target was last ordered to warm up.
    warmed: Option<SystemTime>,
}

impl LoadPlan {
    /// Creates a plan without targets.
    #[must_use]
    pub fn new(rate: LoadRate) -> Self {
        LoadPlan {
            rate,
            tokens: f64::from(rate.burst),
            refilled: None,
            next_order: None,
            deadline: None,
            targets: Vec::new(),
        }
    }

    /// Replaces the targets. The times of earlier orders are kept for targets that remain.
    pub fn set_targets(&mut self, loads: &[TargetLoad]) {
        let old = std::mem::take(&mut self.targets);
        self.targets = loads
            .iter()
            .map(|load| {
                let previous = old
                    .iter()
                    .find(|planned| planned.load.target == load.target);
                PlannedTarget {
                    load: load.clone(),
                    ordered: previous.and_then(|planned| planned.ordered),
                    warmed: previous.and_then(|planned| planned.warmed),
                }
            })
            .collect();
    }

    /// Returns the next target to which an order to load should be sent at `now`, if the rate
    /// permits. All targets should be loaded and warm by `start`.
    pub fn next_load(&mut self, now: SystemTime, start: SystemTime) -> Option<Name> {
        self.refill(now);
        let is_due = |planned: &PlannedTarget| {
            planned.load.state == LoadState::Missing
                && has_elapsed(planned.ordered, now, LOAD_RETRY)
        };
        let missing = self
            .targets
            .iter()
            .filter(|planned| is_due(planned))
            .count();
        let early = self.next_order.is_some_and(|next| now < next);
        if missing == 0 || early || self.tokens < 1.0 {
            return None;
        }
        let left = self
            .order_deadline(now, start)
            .duration_since(now)
            .unwrap_or_default();
        let spacing = match missing {
            1 => Duration::ZERO,
            _ => left.div_f64(missing as f64),
        };
        let planned = self.targets.iter_mut().find(|planned| is_due(planned))?;
        planned.ordered = Some(now);
        self.tokens -= 1.0;
        self.next_order = Some(now + spacing);
        Some(planned.load.target.clone())
    }

    /// Returns the next cold target that should be warmed up at `now`.
    pub fn next_warm_up(&mut self, now: SystemTime) -> Option<Name> {
        let planned = self.targets.iter_mut().find(|planned| {
            planned.load.state == LoadState::Cold && has_elapsed(planned.warmed, now, WARM_UP_RETRY)
        })?;
        planned.warmed = Some(now);
        Some(planned.load.target.clone())
    }

    fn order_deadline(&mut self, now: SystemTime, start: SystemTime) -> SystemTime {
        match self.deadline {
            Some((planned_start, deadline)) if planned_start == start => deadline,
            _ => {
                let left = start.duration_since(now).unwrap_or_default();
                let deadline = now + left.mul_f64(SPREAD_FRACTION);
                self.deadline = Some((start, deadline));
                deadline
            }
        }
    }

    fn refill(&mut self, now: SystemTime) {
        let since = self.refilled.replace(now).unwrap_or(now);
        let elapsed = now.duration_since(since).unwrap_or_default();
        let interval = self.rate.interval.as_secs_f64().max(1e-3);
        let burst = f64::from(self.rate.burst);
        self.tokens = (self.tokens + elapsed.as_secs_f64() / interval).min(burst);
    }
}

fn has_elapsed(since: Option<SystemTime>, now: SystemTime, wait: Duration) -> bool {
    since.is_none_or(|since| now >= since + wait)
}
