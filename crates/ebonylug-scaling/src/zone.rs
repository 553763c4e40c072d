use std::time::{Duration, Instant};

use crate::history::{History, Sample};
use crate::load::{Load, ZoneState};
use crate::order::Answer;
use crate::spec::ServiceSpec;

/// Age from which on an observation is not used. Entries report several times a second, so an older one
/// means that they or the store cannot be reached.
const MAX_AGE: Duration = Duration::from_secs(3);
/// Age up to which the last load of a zone counts as what others get when it is lost. A zone is known to be
/// dark only after its entries have been silent for some seconds.
const MAX_LOST_AGE: Duration = Duration::from_secs(30);
/// Time for which a higher demand must last before targets are ordered. Bursts of callers last two to three
/// seconds, and a target that is ordered for one comes too late for it.
const UP_WINDOW: Duration = Duration::from_secs(5);
/// Time over which the level of the demand is taken. A burst is less than half of it.
const LEVEL_WINDOW: Duration = Duration::from_secs(8);
/// The shortest and the longest time over which the trend of the demand is taken.
const TREND_WINDOWS: (Duration, Duration) = (Duration::from_secs(20), Duration::from_secs(120));
/// The demand that a trend may add, as a multiple of the demand.
const MAX_TREND: f64 = 1.0;
/// Standard deviations of a Poisson load that the slots leave room for. A request then finds a free slot
/// in 97 of 100 cases.
const HEADROOM: f64 = 2.0;
/// Standard deviations down to which targets are kept. Two more than [`HEADROOM`], so that chance does not turn
/// an order back.
const KEPT_HEADROOM: f64 = 4.0;
/// The smallest occupancy that late requests may lower the limit to. Targets that are late at less are late
/// for another reason than their load.
const MIN_OCCUPANCY: f64 = 0.4;
/// Factor by which late requests lower the allowed occupancy.
const OCCUPANCY_STEP: f64 = 0.9;
/// Number of down windows after which a lowered occupancy is forgotten.
const OCCUPANCY_MEMORY: u32 = 10;
/// The fraction of the targets that one step down removes, at least one target.
const DOWN_FRACTION: f64 = 0.1;
/// Time after which an order without a confirmation is sent again.
const RESEND_TIME: Duration = Duration::from_secs(2);

/// An order of the zone, as far as it is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct LastOrder {
    desired: u32,
    /// When the number was first ordered.
    at: Instant,
    /// When it was last returned for sending.
    sent: Instant,
    confirmed: bool,
}

/// The state of one service in one zone.
#[derive(Clone, Debug, Default)]
pub(crate) struct Zone {
    pub(crate) state: ZoneState,
    /// When the state last changed.
    changed: Option<Instant>,
    observed: Option<Instant>,
    engines: u32,
    history: History,
    order: Option<LastOrder>,
    /// The wanted number of targets without the limits, and when it last changed.
    wanted: Option<(u32, Instant)>,
    /// The demand that the loss of another zone brings, until it is observed.
    floor: Option<(f64, Instant)>,
    /// The occupancy above which requests were late, and when it was last lowered.
    occupancy: Option<(f64, Instant)>,
}

impl Zone {
    /// Records an observation. Returns the demand that other zones get because this one was lost.
    pub(crate) fn observe(
        &mut self,
        now: Instant,
        spec: &ServiceSpec,
        state: ZoneState,
        load: Load,
    ) -> Option<f64> {
        let age = self.observed.map(|at| now.saturating_duration_since(at));
        let gap = age.is_some_and(|age| age > MAX_AGE);
        let known = age.is_some_and(|age| age <= MAX_LOST_AGE);
        let mut lost = None;
        if self.state != state || self.changed.is_none() {
            if state != ZoneState::Serving && self.state == ZoneState::Serving && known {
                lost = Some(self.expected_demand(now)).filter(|demand| *demand > 0.0);
            }
            self.state = state;
            self.changed = Some(now);
            self.history.clear();
            self.floor = None;
        } else if gap {
            self.history.clear();
        }
        if state == ZoneState::Serving {
            if !load.is_complete() {
                return lost;
            }
            self.observed = Some(now);
            self.engines = load.engines;
            self.record(now, spec, load);
        } else {
            self.observed = Some(now);
        }
        lost
    }

    fn record(&mut self, now: Instant, spec: &ServiceSpec, load: Load) {
        let demand = load.demand();
        self.lower_occupancy(now, spec, load);
        let (shortest, longest) = TREND_WINDOWS;
        let window = spec.lead_time().clamp(shortest, longest);
        let steady = self.history.median_demand(now, LEVEL_WINDOW, demand);
        let trend = self.history.increase(now, window) * spec.lead_time().as_secs_f64();
        let expected = steady + trend.min(steady * MAX_TREND);
        let sample = Sample {
            at: now,
            demand,
            need: self.need(expected, HEADROOM, spec),
            keep: self.need(expected, KEPT_HEADROOM, spec),
        };
        self.history.push(sample, spec.down_window());
    }

    /// Lowers the allowed occupancy while requests are late although all ordered targets serve.
    fn lower_occupancy(&mut self, now: Instant, spec: &ServiceSpec, load: Load) {
        let memory = spec.down_window() * OCCUPANCY_MEMORY;
        self.occupancy = self
            .occupancy
            .filter(|(_, at)| now.saturating_duration_since(*at) < memory);
        let ordered = self.order.map_or(0, |order| order.desired);
        let recent = |at: Instant| now.saturating_duration_since(at) < spec.lead_time();
        let warming = self.order.is_some_and(|order| recent(order.at))
            || self.occupancy.is_some_and(|(_, at)| recent(at));
        if !load.is_late() || load.engines < ordered || load.engines == 0 || warming {
            return;
        }
        let capacity = f64::from(load.engines) * f64::from(spec.slots);
        let occupancy = (load.demand() / capacity).min(1.0) * OCCUPANCY_STEP;
        let before = self.occupancy.map_or(1.0, |(occupancy, _)| occupancy);
        if occupancy >= MIN_OCCUPANCY && occupancy < before {
            self.occupancy = Some((occupancy, now));
        }
    }

    /// Returns the number of targets for a demand, without the limits of the specification.
    fn need(&self, demand: f64, headroom: f64, spec: &ServiceSpec) -> u32 {
        let occupancy = self.occupancy.map_or(1.0, |(occupancy, _)| occupancy);
        let slots = (demand + headroom * demand.sqrt()).max(demand / occupancy);
        // Saturates.
        (slots / f64::from(spec.slots)).ceil() as u32
    }

    fn floor(&self, now: Instant) -> f64 {
        self.floor
            .filter(|(_, until)| now < *until)
            .map_or(0.0, |(demand, _)| demand)
    }

    /// Returns the demand, with that of lost zones.
    fn expected_demand(&self, now: Instant) -> f64 {
        self.history.last_demand().max(self.floor(now))
    }

    /// Adds the demand of a lost zone, which is observed here only after its callers have come.
    pub(crate) fn add_lost(&mut self, now: Instant, demand: f64, until: Instant) {
        self.floor = Some((self.expected_demand(now) + demand, until));
    }

    /// Reports whether the load of the zone is known.
    pub(crate) fn is_fresh(&self, now: Instant) -> bool {
        let age = self.observed.map(|at| now.saturating_duration_since(at));
        age.is_some_and(|age| age <= MAX_AGE)
    }

    /// Returns the wanted number of targets, without the limits of the specification, or `None` if the
    /// observations do not suffice for an order.
    ///
    /// The limits do not affect later results. Otherwise, targets that a zone has in place of another one
    /// that is at its maximum would count as its own and be ordered again.
    pub(crate) fn update_wanted(&mut self, now: Instant, spec: &ServiceSpec) -> Option<u32> {
        let wanted = self.wanted_now(now, spec)?;
        if self.wanted.is_none_or(|(before, _)| before != wanted) {
            self.wanted = Some((wanted, now));
        }
        Some(wanted)
    }

    fn wanted_now(&self, now: Instant, spec: &ServiceSpec) -> Option<u32> {
        match self.state {
            ZoneState::Dark => None,
            ZoneState::Drained => {
                let since = now.saturating_duration_since(self.changed?);
                (since >= spec.down_window()).then_some(spec.min_replicas)
            }
            ZoneState::Serving => self.wanted_serving(now, spec),
        }
    }

    fn wanted_serving(&self, now: Instant, spec: &ServiceSpec) -> Option<u32> {
        let current = match self.wanted {
            Some((wanted, _)) => wanted,
            // Targets that another process has ordered appear within the boot time.
            None if self.history.covers(now, spec.boot) => self.engines,
            None => return None,
        };
        let floor = self.need(self.floor(now), HEADROOM, spec);
        let up = self.history.lowest_need(now, UP_WINDOW)?.max(floor);
        if up > current {
            return Some(up);
        }
        let down = self.history.highest_keep(now, spec.down_window());
        let Some(down) = down.map(|keep| keep.max(floor)) else {
            return Some(current);
        };
        let settled = self
            .wanted
            .is_none_or(|(_, at)| now.saturating_duration_since(at) >= spec.boot);
        if down >= current || !settled {
            return Some(current);
        }
        let step = (f64::from(current) * DOWN_FRACTION).ceil() as u32;
        Some(down.max(current - step.min(current)))
    }

    /// Returns whether the order must be sent now, and records that it is.
    pub(crate) fn order(&mut self, now: Instant, desired: u32, spec: &ServiceSpec) -> bool {
        match &mut self.order {
            Some(order) if order.desired == desired => {
                let waited = now.saturating_duration_since(order.sent);
                // Targets that do not come may mean that the order was lost after it had been confirmed.
                let missing = self.state == ZoneState::Serving && self.engines != desired;
                let resend = match order.confirmed {
                    true => missing && waited >= spec.lead_time() * 2 + RESEND_TIME,
                    false => waited >= RESEND_TIME,
                };
                if resend {
                    order.sent = now;
                }
                resend
            }
            None if desired == self.engines => false,
            _ => {
                self.order = Some(LastOrder {
                    desired,
                    at: now,
                    sent: now,
                    confirmed: false,
                });
                true
            }
        }
    }

    /// Records an order that another process has sent.
    pub(crate) fn restore(&mut self, desired: u32, at: Instant) {
        self.order = Some(LastOrder {
            desired,
            at,
            sent: at,
            confirmed: true,
        });
        self.wanted = Some((desired, at));
    }

    /// Records the answer to an order.
    pub(crate) fn record_answer(&mut self, desired: u32, answer: Answer) {
        if let Some(order) = &mut self.order
            && order.desired == desired
        {
            order.confirmed = answer == Answer::Accepted;
        }
    }
}
