//! Decides about second attempts of requests whose first attempt is slow.
//!
//! The load condition is single targets that slow down while the service as a whole has free capacity. A
//! second attempt at another target then often answers sooner. If the service as a whole is slow or full, second
//! attempts would only add load, so none is sent.
//!
//! The delay and the conditions are derived from what callers need and from times that this entry has
//! measured. [`Scheduler::select_hedge`](crate::Scheduler::select_hedge) selects the target.

mod credit;
mod samples;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use ebonylug_core::Name;

use crate::config::RouteKind;
use credit::HedgeCredit;
use samples::LatencySamples;

/// The limit on hedges to one service across all entries.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HedgeRule {
    /// Hedges allowed per request; 0 disables them.
    pub share: f64,
}

impl HedgeRule {
    /// Reports whether hedges are allowed at all.
    #[must_use]
    pub fn is_enabled(self) -> bool {
        self.share > 0.0
    }
}

/// Why a slow request gets no second attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum HedgeRefusal {
    /// Too few recent times are known for a delay.
    Samples,
    /// The request, or a part of it, is known from crashes of targets.
    Crashes,
    /// The route allows no further attempt.
    Attempts,
    /// The time left is too short for a second attempt.
    TimeLeft,
    /// The share of hedges is used up.
    Share,
    /// The retry budget is used up.
    RetryBudget,
    /// The service as a whole is slow.
    SlowService,
    /// Versions of the service are being compared.
    Move,
    /// The service has too few free slots, or requests wait for one.
    Capacity,
    /// No other suitable target has a free slot.
    Target,
}

impl HedgeRefusal {
    /// Returns the value of the `cause` label in metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            HedgeRefusal::Samples => "samples",
            HedgeRefusal::Crashes => "crashes",
            HedgeRefusal::Attempts => "attempts",
            HedgeRefusal::TimeLeft => "time_left",
            HedgeRefusal::Share => "share",
            HedgeRefusal::RetryBudget => "retry_budget",
            HedgeRefusal::SlowService => "slow_service",
            HedgeRefusal::Move => "move",
            HedgeRefusal::Capacity => "capacity",
            HedgeRefusal::Target => "target",
        }
    }
}

/// The result of a check whether a second attempt is allowed.
pub type Result<T, E = HedgeRefusal> = std::result::Result<T, E>;

/// A request whose first attempt has no answer at the end of the delay.
#[derive(Clone, Copy, Debug)]
pub struct SlowRequest<'a> {
    /// The service that serves the request.
    pub service: &'a Name,
    /// How it may be repeated.
    pub kind: RouteKind,
    /// The latency objective of its route.
    pub objective: Duration,
    /// Time left until its deadline.
    pub left: Duration,
    /// The number of attempts so far, including the one in progress.
    pub attempts: u32,
    /// The number of attempts that its route allows.
    pub max_attempts: u32,
    /// Whether its content or a part of its prompt is known from crashes of targets.
    pub suspect: bool,
}

/// The hedges of one entry.
///
/// ```
/// use std::time::{Duration, Instant};
/// use ebonylug_core::Name;
/// use ebonylug_dispatch::{Hedging, HedgeRule, RouteKind};
///
/// let (now, service, rule) = (Instant::now(), Name::new("search"), HedgeRule { share: 0.05 });
/// let mut hedging = Hedging::default();
/// for n in 1..=100 {
///     hedging.record_request(now, &service, rule);
///     hedging.record_time(now, &service, RouteKind::Safe, Duration::from_millis(n));
/// }
/// let delay = hedging.delay(now, &service, RouteKind::Safe, Duration::ZERO);
/// assert_eq!(delay, Some(Duration::from_millis(95)));
/// ```
#[derive(Debug, Default)]
pub struct Hedging {
    services: HashMap<Name, ServiceHedges>,
}

#[derive(Debug, Default)]
struct ServiceHedges {
    credit: HedgeCredit,
    answers: LatencySamples,
    streams: LatencySamples,
}

impl ServiceHedges {
    fn samples(&mut self, kind: RouteKind) -> &mut LatencySamples {
        if kind.is_stream() {
            &mut self.streams
        } else {
            &mut self.answers
        }
    }
}

/// The multiple of the usual time that is left to a second attempt before the latency objective. Most attempts
/// end within twice the usual time, also if they find a short queue.
const SECOND_ATTEMPT_TIMES: u32 = 2;

impl Hedging {
    fn service(&mut self, service: &Name) -> &mut ServiceHedges {
        // Avoids a copy of the name for known services.
        if !self.services.contains_key(service) {
            let hedges = ServiceHedges::default();
            self.services.insert(service.clone(), hedges);
        }
        self.services.get_mut(service).expect("inserted above")
    }

    /// Counts a request to a service, which adds to the hedges that this entry may send.
    pub fn record_request(&mut self, now: Instant, service: &Name, rule: HedgeRule) {
        self.service(service).credit.record_request(now, rule);
    }

    /// Records the time from the first send of a request to its first answer.
    pub fn record_time(&mut self, now: Instant, service: &Name, kind: RouteKind, time: Duration) {
        self.service(service).samples(kind).record(now, time);
    }

    /// Records that the first send of a request was cancelled after `time` without an answer. Returns whether
    /// that was slow.
    ///
    /// A time that is longer than usual counts as a sample: the true time is longer as well. A shorter one says
    /// nothing. Without the long ones, the delay would fall with each hedge that wins.
    pub fn record_cancelled(
        &mut self,
        now: Instant,
        service: &Name,
        kind: RouteKind,
        time: Duration,
    ) -> bool {
        let samples = self.service(service).samples(kind);
        let slow = samples
            .quantiles(now)
            .is_some_and(|times| time >= times.upper);
        if slow {
            samples.record(now, time);
        }
        slow
    }

    /// Returns the time after the first send at which a request counts as slow, or `None` if too few times
    /// are known. `objective` is the time left until its latency objective.
    ///
    /// This is the last moment at which a second attempt is likely to meet the objective: a request that may still
    /// be in time without one should not use up the share. While a second attempt can't meet it, it is a high
    /// quantile.
    #[must_use]
    pub fn delay(
        &mut self,
        now: Instant,
        service: &Name,
        kind: RouteKind,
        objective: Duration,
    ) -> Option<Duration> {
        let times = self.service(service).samples(kind).quantiles(now)?;
        let needed = times.median * SECOND_ATTEMPT_TIMES;
        Some(match objective.checked_sub(needed) {
            // The high quantile is useless here: while one of nine targets is slow, it is a time of that target.
            Some(last_moment) => last_moment.max(times.upper),
            None => times.high,
        })
    }

    /// Checks all conditions of a second attempt except those on targets and on the retry budget.
    ///
    /// # Errors
    ///
    /// Returns the first condition that does not hold.
    pub fn check(&mut self, now: Instant, rule: HedgeRule, request: SlowRequest) -> Result<()> {
        let hedges = self.service(request.service);
        let Some(times) = hedges.samples(request.kind).quantiles(now) else {
            return Err(HedgeRefusal::Samples);
        };
        if request.suspect {
            return Err(HedgeRefusal::Crashes);
        }
        if !request.kind.is_idempotent() || request.attempts >= request.max_attempts {
            return Err(HedgeRefusal::Attempts);
        }
        let needed = times.median * SECOND_ATTEMPT_TIMES;
        // A usual attempt takes so long that no second one, sent after a delay, can meet the objective. The slow
        // target is not the exception then, and the service has no room for more work.
        if request.objective < needed {
            return Err(HedgeRefusal::SlowService);
        }
        // In less time, a second attempt would probably be late as well.
        if request.left < needed {
            return Err(HedgeRefusal::TimeLeft);
        }
        if !hedges.credit.is_available(now, rule) {
            return Err(HedgeRefusal::Share);
        }
        Ok(())
    }

    /// Counts a second attempt that is sent.
    pub fn record_hedge(&mut self, now: Instant, service: &Name, rule: HedgeRule) {
        self.service(service).credit.take(now, rule);
    }
}
