use std::time::{Duration, SystemTime};

use ebonylug_core::Name;
use serde::{Deserialize, Serialize};

/// How far a target is with loading a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadState {
    /// The version is not loaded.
    Missing,
    /// The target loads the version.
    Loading,
    /// The version is loaded and in cold start.
    Cold,
    /// The version is loaded and warm.
    Warm,
}

/// The load state of one target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetLoad {
    /// The target.
    pub target: Name,
    /// Its state.
    pub state: LoadState,
}

/// The rate of model loads that the weight store permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadRate {
    /// Loads that may start at once.
    pub burst: u32,
    /// Time after which one more load may start.
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

/// Time after which an order is repeated to a target that does not load.
const ORDER_RETRY: Duration = Duration::from_secs(60);
/// Time between warm-up orders to the same target.
const WARM_RETRY: Duration = Duration::from_secs(10);
/// Part of the time before the ramp over which loads are spread; the rest is for warming up.
const SPREAD: f64 = 0.8;

/// Spreads orders to load a version over the time before the ramp.
///
/// A token bucket keeps the rate below the weight store's limit at any time. Below that limit,
/// orders are spaced evenly, so that other loads find room.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    rate: LoadRate,
    tokens: f64,
    filled: Option<SystemTime>,
    next: Option<SystemTime>,
    /// When the loads of which ramp should have been ordered.
    goal: Option<(SystemTime, SystemTime)>,
    targets: Vec<Slot>,
}

#[derive(Clone, Debug)]
struct Slot {
    load: TargetLoad,
    ordered: Option<SystemTime>,
    warmed: Option<SystemTime>,
}

impl LoadPlan {
    /// Creates a plan without targets.
    #[must_use]
    pub fn new(rate: LoadRate) -> Self {
        LoadPlan {
            rate,
            tokens: f64::from(rate.burst),
            filled: None,
            next: None,
            goal: None,
            targets: Vec::new(),
        }
    }

    /// Replaces the targets; orders that were given to targets that remain are remembered.
    pub fn set_targets(&mut self, loads: &[TargetLoad]) {
        let old = std::mem::take(&mut self.targets);
        self.targets = loads
            .iter()
            .map(|load| {
                let known = old.iter().find(|slot| slot.load.target == load.target);
                Slot {
                    load: load.clone(),
                    ordered: known.and_then(|slot| slot.ordered),
                    warmed: known.and_then(|slot| slot.warmed),
                }
            })
            .collect();
    }

    /// Returns the next target that should load at `now`, if the rate permits, when all should
    /// have loaded by `start`.
    pub fn next_load(&mut self, now: SystemTime, start: SystemTime) -> Option<Name> {
        self.refill(now);
        let waiting = |slot: &Slot| {
            slot.load.state == LoadState::Missing && passed(slot.ordered, now, ORDER_RETRY)
        };
        let missing = self.targets.iter().filter(|slot| waiting(slot)).count();
        let early = self.next.is_some_and(|next| now < next);
        if missing == 0 || early || self.tokens < 1.0 {
            return None;
        }
        let left = self
            .goal(now, start)
            .duration_since(now)
            .unwrap_or_default();
        let pace = match missing {
            1 => Duration::ZERO,
            _ => left.div_f64(missing as f64),
        };
        let slot = self.targets.iter_mut().find(|slot| waiting(slot))?;
        slot.ordered = Some(now);
        self.tokens -= 1.0;
        self.next = Some(now + pace);
        Some(slot.load.target.clone())
    }

    /// Returns the next loaded target that should be warmed up.
    pub fn next_warm_up(&mut self, now: SystemTime) -> Option<Name> {
        let slot = self.targets.iter_mut().find(|slot| {
            slot.load.state == LoadState::Cold && passed(slot.warmed, now, WARM_RETRY)
        })?;
        slot.warmed = Some(now);
        Some(slot.load.target.clone())
    }

    fn goal(&mut self, now: SystemTime, start: SystemTime) -> SystemTime {
        match self.goal {
            Some((known, goal)) if known == start => goal,
            _ => {
                let left = start.duration_since(now).unwrap_or_default();
                let goal = now + left.mul_f64(SPREAD);
                self.goal = Some((start, goal));
                goal
            }
        }
    }

    fn refill(&mut self, now: SystemTime) {
        let since = self.filled.replace(now).unwrap_or(now);
        let gained = now.duration_since(since).unwrap_or_default();
        let interval = self.rate.interval.as_secs_f64().max(1e-3);
        let full = f64::from(self.rate.burst);
        self.tokens = (self.tokens + gained.as_secs_f64() / interval).min(full);
    }
}

fn passed(since: Option<SystemTime>, now: SystemTime, wait: Duration) -> bool {
    since.is_none_or(|since| now >= since + wait)
}
