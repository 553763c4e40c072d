use std::time::{Duration, Instant};

use super::HedgeRule;
use crate::budget::RecentCount;

/// Time for which unused credit is kept. It is the usual window of the retry budget, so that a burst of hedges
/// is limited by the requests of about the same time.
const KEEP_TIME: Duration = Duration::from_secs(10);

/// The hedges that one entry may send to one service.
///
/// Each request of the entry earns a share of a hedge, and each hedge costs a whole one. Hence, all entries
/// together send at most that share of all requests, whether or not they hear of each other. A window as in
/// [`RetryBudget`](crate::RetryBudget) would never allow a hedge at an entry with few requests per window.
#[derive(Debug, Default)]
pub(super) struct HedgeCredit {
    credit: f64,
    requests: RecentCount,
}

impl HedgeCredit {
    pub(super) fn record_request(&mut self, now: Instant, rule: HedgeRule) {
        self.requests.record(now, KEEP_TIME);
        self.credit += rule.share;
        self.limit(now, rule);
    }

    pub(super) fn is_available(&mut self, now: Instant, rule: HedgeRule) -> bool {
        self.limit(now, rule);
        rule.is_enabled() && self.credit >= 1.0
    }

    pub(super) fn take(&mut self, now: Instant, rule: HedgeRule) {
        self.limit(now, rule);
        self.credit = (self.credit - 1.0).max(0.0);
    }

    /// Reduces the credit to what the requests of the last [`KEEP_TIME`] earn, or to one hedge.
    fn limit(&mut self, now: Instant, rule: HedgeRule) {
        let recent = f64::from(self.requests.count(now, KEEP_TIME));
        self.credit = self.credit.min((rule.share * recent).max(1.0));
    }
}
