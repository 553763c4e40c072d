//! Shares of capacity between organisations.
//!
//! Handles the load in which one organisation sends many times its share of the requests while all slots
//! are in use. Start-time fair queueing by tokens of work: the organisation whose next request has the
//! lowest start time is served first, so an organisation that sends less than its share waits for one slot
//! only, whatever the others send. What an organisation asks beyond its share also leaves free slots to the
//! others, because with many entries hardly two requests meet in one entry's queue. While capacity is free, nobody is held back.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Organisations of which start times are kept before those that no longer matter are removed.
const MAX_FLOWS: usize = 256;

/// The virtual start times of organisations, for one rank of one service.
#[derive(Debug, Default)]
pub(crate) struct FairShares {
    /// Virtual start time of the request that was sent last.
    virtual_time: f64,
    starts: HashMap<u64, f64>,
}

impl FairShares {
    /// Returns the virtual start time of an organisation's next request.
    pub(crate) fn start(&self, organisation: u64) -> f64 {
        let start = self.starts.get(&organisation).copied();
        start.unwrap_or_default().max(self.virtual_time)
    }

    /// Charges an organisation for a request that is sent. `work` is its cost divided by the weight.
    pub(crate) fn charge(&mut self, organisation: u64, work: f64) {
        let start = self.start(organisation);
        self.virtual_time = start;
        self.starts.insert(organisation, start + work);
        if self.starts.len() > MAX_FLOWS {
            // The others would start at the virtual time anyway.
            self.starts.retain(|_, start| *start > self.virtual_time);
        }
    }
}

/// Time constant of the demand. A flood counts after a few seconds, and chance groups of requests do not.
const DEMAND_TIME: Duration = Duration::from_secs(5);
/// Time between two removals of organisations that ask no more.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(1);
/// Requests below which an organisation counts as silent.
const MIN_REQUESTS: f64 = 0.2;
/// Factor on the fair share up to which an organisation counts as within it, since entries measure alone.
const SHARE_MARGIN: f64 = 1.25;
/// Standard deviations by which the demand must exceed the share, since an entry sees few requests of each
/// organisation.
const SHARE_DEVIATIONS: f64 = 3.0;

/// The recent demand of one organisation.
#[derive(Debug)]
struct Flow {
    work: f64,
    requests: f64,
    weight: f64,
    updated: Instant,
}

impl Flow {
    fn decay(&mut self, now: Instant) {
        let factor = decay(now, self.updated);
        self.work *= factor;
        self.requests *= factor;
        self.updated = now;
    }
}

fn decay(now: Instant, updated: Instant) -> f64 {
    let elapsed = now.saturating_duration_since(updated).as_secs_f64();
    (-elapsed / DEMAND_TIME.as_secs_f64()).exp()
}

/// What organisations have recently asked of a service at this entry, in tokens of work.
#[derive(Debug)]
pub(crate) struct Demand {
    flows: HashMap<u64, Flow>,
    total: f64,
    weights: f64,
    updated: Instant,
    cleaned: Instant,
}

impl Demand {
    pub(crate) fn new(now: Instant) -> Self {
        Demand {
            flows: HashMap::new(),
            total: 0.0,
            weights: 0.0,
            updated: now,
            cleaned: now,
        }
    }

    pub(crate) fn record(&mut self, now: Instant, organisation: u64, cost: f64, weight: f64) {
        self.total = self.total * decay(now, self.updated) + cost;
        self.updated = now;
        let flow = self.flows.entry(organisation).or_insert_with(|| Flow {
            work: 0.0,
            requests: 0.0,
            weight: 0.0,
            updated: now,
        });
        self.weights += weight - flow.weight;
        flow.weight = weight;
        flow.decay(now);
        flow.work += cost;
        flow.requests += 1.0;
        if now.saturating_duration_since(self.cleaned) >= CLEANUP_INTERVAL {
            self.cleaned = now;
            self.flows.retain(|_, flow| {
                flow.decay(now);
                flow.requests >= MIN_REQUESTS
            });
            self.weights = self.flows.values().map(|flow| flow.weight).sum();
        }
    }

    /// Returns an organisation's part of the demand, and its part of the weights.
    pub(crate) fn shares(&self, organisation: u64) -> (f64, f64) {
        let Some(flow) = self.flows.get(&organisation) else {
            return (0.0, 1.0);
        };
        let fair = flow.weight / self.weights.max(f64::MIN_POSITIVE);
        (flow.work / self.total.max(f64::MIN_POSITIVE), fair)
    }

    /// Returns the part of an organisation's requests that is beyond its share.
    pub(crate) fn excess(&self, organisation: u64) -> f64 {
        let Some(flow) = self.flows.get(&organisation) else {
            return 0.0;
        };
        let (asked, fair) = self.shares(organisation);
        let deviation = SHARE_DEVIATIONS / flow.requests.max(1.0).sqrt();
        let allowed = fair * SHARE_MARGIN;
        if asked * (1.0 - deviation) <= allowed {
            return 0.0;
        }
        1.0 - allowed / asked
    }
}
