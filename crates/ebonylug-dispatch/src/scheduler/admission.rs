//! Admission by forecast, for the services that [`Scheduler::uses_forecast`] names.
//!
//! Handles bursts of load beyond the capacity of a service. Within a rank, requests that can be in time go first,
//! in fair order of organisations; callers that were refused before get what remains.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use ebonylug_core::Name;
use smallvec::SmallVec;

use super::Scheduler;
use crate::fairness::{Demand, FairShares};
use crate::forecast::{Forecast, SlotUse};
use crate::placement::{Caller, Decision, Placement, PlacementRequest};
use crate::queue::{WaitKey, Waiter};
use crate::refusal::{Reason, Refusal, RefusalForecast};
use crate::target::TargetRecord;

/// Callers honour a time to return of up to this part of their time left.
const RETURN_SHARE: f64 = 1.0 / 3.0;
/// Part of that time over which returns are spread that the forecast finds no room for.
const RETURN_SPREAD: f64 = 0.3;
/// Time that a return takes on its way, which the caller subtracts from its time left.
const RETURN_MARGIN: f64 = 0.95;
/// The shortest time to return.
const MIN_RETURN: Duration = Duration::from_millis(100);
/// Factor by which the forecast of a waiting returning caller must exceed its time left for a refusal. Averages
/// vary by a third over a burst, and a refusal of a request that was held costs more than one at once.
const REFUSAL_MARGIN: f64 = 1.5;
/// The same for a request that can be in time. One entry sees few of the slots that become free, so its forecast
/// of a short wait is rough, and holding the request for part of its latency objective costs little.
const TIMELY_MARGIN: f64 = 4.0;

/// What admission by forecast knows of one service.
#[derive(Debug)]
pub(crate) struct Admission {
    pub(crate) forecast: Forecast,
    shares: HashMap<u8, FairShares>,
    demand: Demand,
}

impl Admission {
    fn new(now: Instant) -> Self {
        Admission {
            forecast: Forecast::new(now),
            shares: HashMap::new(),
            demand: Demand::new(now),
        }
    }
}

/// The classes of queued requests within a rank, in the order in which they are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Class {
    /// Can be in time.
    Timely,
    /// Was refused before, so that it is late.
    Returning,
    /// Is beyond the share of its organisation.
    Excess,
}

impl Class {
    fn of(caller: Option<Caller>, excess: bool) -> Self {
        match caller {
            _ if excess => Class::Excess,
            Some(caller) if caller.returning => Class::Returning,
            _ => Class::Timely,
        }
    }
}

/// A queued request in the order in which requests are sent.
#[derive(Clone, Copy, Debug)]
struct Position {
    key: WaitKey,
    class: Class,
    returning: bool,
    organisation: u64,
    work: f64,
    /// Virtual start time.
    start: f64,
}

impl Position {
    fn new(key: WaitKey, waiter: &Waiter) -> Self {
        let caller = waiter.request.caller;
        let returning = caller.is_some_and(|caller| caller.returning);
        Position {
            key,
            class: Class::of(caller, waiter.excess),
            returning,
            organisation: caller.map_or(0, |caller| caller.organisation),
            work: work(&waiter.request),
            start: 0.0,
        }
    }

    /// Returns the group of requests that is sent before those of higher groups: requests beyond the share of
    /// their organisation come last of all.
    fn group(&self) -> (bool, u8, Class) {
        (self.class == Class::Excess, self.key.rank, self.class)
    }
}

fn work(request: &PlacementRequest) -> f64 {
    let Some(caller) = request.caller else {
        return 0.0;
    };
    caller.cost.max(1.0) / caller.weight.max(f64::MIN_POSITIVE)
}

impl Scheduler {
    pub(super) fn place_by_forecast(
        &mut self,
        now: Instant,
        request: PlacementRequest,
    ) -> Placement {
        let (service, rank) = (request.service.clone(), request.rank);
        let admission = self.admission(now, &service);
        admission.forecast.record_arrival(now, rank);
        let ready = admission.forecast.is_ready(now);
        let mut excess = 0.0;
        if let Some(caller) = request.caller {
            let demand = &mut admission.demand;
            demand.record(now, caller.organisation, caller.cost, caller.weight);
            excess = demand.excess(caller.organisation);
        }
        let excess = ready && self.random_unit_below(excess);
        let class = Class::of(request.caller, excess);
        let held_back = ready && self.is_short(&service, &request, class);
        if !held_back
            && self.queue.count_ahead(service.as_str(), rank) == 0
            && let Some(key) = self.send_now(now, &request)
        {
            return Placement::Send(key);
        }
        if self.queue.len() >= self.settings.queue_capacity {
            return Placement::Refuse(self.refuse_by_forecast(now, &request, excess));
        }
        let Some(caller) = request.caller.filter(|_| ready) else {
            if request.max_wait.is_zero() {
                return Placement::Refuse(self.refusal(Reason::Full, request.retry_after));
            }
            let deadline = now + request.max_wait;
            return Placement::Wait(self.queue.insert(request, deadline));
        };
        if caller.patience.is_zero() {
            return Placement::Refuse(self.refuse_by_forecast(now, &request, excess));
        }
        let limit = if caller.returning {
            caller.patience
        } else {
            caller.in_time
        };
        let key = self.queue.insert(request, now + limit);
        if let Some(waiter) = self.queue.get_mut(key) {
            waiter.excess = excess;
        }
        let slots = self.slot_use(&service);
        let position = self.position(&service, key);
        if position == 0
            && !held_back
            && let Some(waiter) = self.queue.remove(key)
        {
            // All that wait let it go first.
            if let Some(target) = self.send_now(now, &waiter.request) {
                return Placement::Send(target);
            }
            self.queue.reinsert(key, waiter);
        }
        let forecast = &mut self.admission(now, &service).forecast;
        let (wait, margin) = match class {
            Class::Timely => (forecast.wait(now, rank, position, slots), TIMELY_MARGIN),
            _ => (
                forecast.late_wait(now, rank, position, slots),
                REFUSAL_MARGIN,
            ),
        };
        if wait <= limit.mul_f64(margin) {
            return Placement::Wait(key);
        }
        match self.queue.remove(key) {
            Some(waiter) => {
                Placement::Refuse(self.refuse_by_forecast(now, &waiter.request, waiter.excess))
            }
            None => Placement::Wait(key),
        }
    }

    /// Decides about the queued requests of one service.
    pub(super) fn poll_by_forecast(
        &mut self,
        now: Instant,
        service: &Name,
        decisions: &mut SmallVec<[(WaitKey, Decision); 4]>,
    ) {
        let slots = self.slot_use(service);
        // Ranks from this one on find no target.
        let mut full = None;
        let mut ahead = 0;
        for position in self.fair_order(service) {
            let key = position.key;
            let Some(waiter) = self.queue.remove(key) else {
                continue;
            };
            let blocked = full.is_some_and(|rank| rank <= key.rank);
            let held_back = !blocked && self.is_short(service, &waiter.request, position.class);
            let chosen = if blocked || held_back {
                None
            } else {
                self.send_now(now, &waiter.request)
            };
            if let Some(target) = chosen {
                decisions.push((key, Decision::Send(target)));
                continue;
            }
            if !blocked && !held_back && waiter.request.tried.is_empty() {
                full = Some(key.rank);
            }
            let left = waiter.deadline.saturating_duration_since(now);
            let forecast = &mut self.admission(now, service).forecast;
            let hopeless = position.class > Class::Timely
                && forecast.is_ready(now)
                && forecast.late_wait(now, key.rank, ahead, slots) > left.mul_f64(REFUSAL_MARGIN);
            if left.is_zero() || hopeless {
                let refusal = self.refuse_by_forecast(now, &waiter.request, waiter.excess);
                decisions.push((key, Decision::Refuse(refusal)));
            } else {
                ahead += 1;
                self.queue.reinsert(key, waiter);
            }
        }
    }

    /// Reports whether a request of this class must leave the free slots of its service to others. Returning
    /// callers leave twice the reserve of their rank free for requests that can be in time. Requests beyond the
    /// share of their organisation leave at least that of the least urgent rank.
    fn is_short(&self, service: &Name, request: &PlacementRequest, class: Class) -> bool {
        let reserves = &self.settings.slot_reserve;
        let rank = usize::from(request.rank).min(reserves.len() - 1);
        let reserve = match class {
            Class::Timely => return false,
            Class::Returning => 2.0 * reserves[rank],
            Class::Excess => reserves[reserves.len() - 1].max(2.0 * reserves[rank]),
        };
        if reserve <= 0.0 || !request.model {
            return false;
        }
        let keys = self.services.get(service).into_iter().flatten();
        // Requests inside full targets take free slots of others, where they would better be.
        let (load, slots) = keys.fold((0, 0), |(load, slots), &key| {
            let record = &self.targets[key];
            (load + record.load(), slots + record.info.slots)
        });
        f64::from(load) > (1.0 - reserve) * f64::from(slots)
    }

    /// Returns how many requests may queue inside a target that is no model engine. Where requests are
    /// admitted by a forecast, only as many as can still be in time at the pace of the target.
    pub(super) fn plain_queue(
        &self,
        now: Instant,
        record: &TargetRecord,
        request: &PlacementRequest,
    ) -> u32 {
        if !self.uses_forecast(&request.service) {
            return self.settings.target_queue;
        }
        let lasting = record.reported.lasting_pace(now);
        let pace = lasting.or_else(|| record.shared_pace(now));
        let (Some(caller), Some(pace)) = (request.caller, pace) else {
            return self.settings.target_queue;
        };
        let pace = (pace * record.reported.slowness(now)).max(f64::MIN_POSITIVE);
        let left = (caller.in_time.as_secs_f64() - pace).max(0.0);
        let slots = record.usable_slots();
        // The conversion saturates.
        let most = self.settings.target_queue;
        most.min((left * f64::from(slots) / pace) as u32)
    }

    /// Sets whether the configuration has no service whose targets are cold after their start.
    pub fn set_all_warm(&mut self, all_warm: bool) {
        self.all_warm = all_warm;
    }

    /// Reports whether requests of a service are admitted by a forecast. The forecast takes each slot that
    /// becomes free as usable, which does not hold for cold targets: it is used where the configuration has no
    /// cold targets, or where targets state how slow their machines are.
    #[must_use]
    pub fn uses_forecast(&self, service: &Name) -> bool {
        self.all_warm || self.reports_slowness(service)
    }

    /// Draws whether an event of this probability happens. Draws nothing for the certain case.
    fn random_unit_below(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.random_unit() < probability
    }

    /// Returns the services with queued requests to which admission by forecast applies.
    pub(super) fn forecast_services(&self) -> SmallVec<[Name; 2]> {
        let mut services: SmallVec<[Name; 2]> = SmallVec::new();
        for (_, waiter) in self.queue.iter() {
            let service = &waiter.request.service;
            if self.uses_forecast(service) && !services.contains(service) {
                services.push(service.clone());
            }
        }
        services
    }

    /// Records a request that is sent, in the rates and in the share of its organisation.
    pub(super) fn charge_share(&mut self, now: Instant, request: &PlacementRequest) {
        let admission = self.admission(now, &request.service);
        admission.forecast.record_send(now);
        let shares = admission.shares.entry(request.rank).or_default();
        if let Some(caller) = request.caller {
            shares.charge(caller.organisation, work(request));
        }
    }

    fn admission(&mut self, now: Instant, service: &Name) -> &mut Admission {
        let admission = self.admissions.entry(service.clone());
        admission.or_insert_with(|| Admission::new(now))
    }

    /// Returns the queued requests of a service in the order in which they are sent: by rank, requests that can
    /// be in time before returning callers, in fair order of organisations.
    fn fair_order(&self, service: &Name) -> Vec<Position> {
        let waiters = self.queue.iter();
        let waiters = waiters.filter(|(_, waiter)| waiter.request.service == *service);
        let mut order: Vec<Position> = waiters
            .map(|(key, waiter)| Position::new(key, waiter))
            .collect();
        order.sort_by_key(|p| (p.group(), !p.returning, p.key.sequence));
        let mut starts: HashMap<(u8, u64), f64> = HashMap::new();
        let shares = self.admissions.get(service).map(|a| &a.shares);
        for position in &mut order {
            let (rank, organisation) = (position.key.rank, position.organisation);
            let start = starts.entry((rank, organisation)).or_insert_with(|| {
                let shares = shares.and_then(|shares| shares.get(&rank));
                shares.map_or(0.0, |shares| shares.start(organisation))
            });
            position.start = *start;
            *start += position.work;
        }
        order.sort_by(|a, b| {
            let by_group = a.group().cmp(&b.group());
            by_group
                .then(a.start.total_cmp(&b.start))
                .then(a.key.cmp(&b.key))
        });
        order
    }

    /// Returns how many queued requests of its service are sent before a queued request.
    fn position(&self, service: &Name, key: WaitKey) -> usize {
        let order = self.fair_order(service);
        let position = order.iter().position(|position| position.key == key);
        position.unwrap_or(order.len())
    }

    fn slot_use(&self, service: &Name) -> SlotUse {
        let keys = self.services.get(service).into_iter().flatten();
        let records = keys.map(|&key| &self.targets[key]);
        SlotUse {
            busy: records.map(|r| r.load().min(r.info.slots)).sum(),
            entries: self.entries,
        }
    }

    /// Refuses a request, and reserves the room for its return.
    fn refuse_by_forecast(
        &mut self,
        now: Instant,
        request: &PlacementRequest,
        excess: bool,
    ) -> Refusal {
        let Some(caller) = request.caller else {
            return self.refusal(Reason::Full, request.retry_after);
        };
        let slots = self.slot_use(&request.service);
        let waiting = self
            .queue
            .count_ahead(request.service.as_str(), request.rank);
        let longest = caller.time_left.mul_f64(RETURN_SHARE * RETURN_MARGIN);
        let forecast = &mut self.admission(now, &request.service).forecast;
        if !forecast.is_ready(now) {
            return self.refusal(Reason::Full, request.retry_after);
        }
        let promised = forecast.promise(now, request.rank, waiting, slots, longest);
        let retry_after = match promised {
            Some(time) => time.max(MIN_RETURN),
            None => longest.mul_f64(1.0 - RETURN_SPREAD * self.random_unit()),
        };
        let forecast = &mut self.admission(now, &request.service).forecast;
        let wait = forecast.late_wait(now, request.rank, waiting, slots);
        let demand = &self.admission(now, &request.service).demand;
        let (asked, fair) = demand.shares(caller.organisation);
        Refusal {
            reason: if excess {
                Reason::OverShare
            } else {
                Reason::Full
            },
            retry_after,
            forecast: Some(RefusalForecast {
                wait,
                asked_percent: (asked * 100.0) as u8,
                fair_percent: (fair * 100.0) as u8,
                returning: caller.returning,
            }),
        }
    }
}
