use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Share of the budget that entries use. The rest allows for requests that other entries count in a
/// different window.
const USED_SHARE: f64 = 0.8;

/// The limit on retries to one service across all entries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryRule {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed per window in addition to `ratio`.
    pub constant: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

impl RetryRule {
    /// Returns the share of one entry, so that the shares of all entries add up to this rule.
    #[must_use]
    pub fn per_entry(self, entries: usize) -> Self {
        RetryRule {
            constant: self.constant / entries.max(1) as f64,
            ..self
        }
    }
}

/// The retries that one entry may make to one service.
///
/// In each window, the budget of all entries is a ratio of the requests plus a constant. An entry
/// uses the ratio of its own requests and an equal share of the constant, so the total holds without
/// coordination.
///
/// ```
/// use std::time::{Duration, Instant};
/// use ebonylug_dispatch::{RetryBudget, RetryRule};
///
/// let now = Instant::now();
/// let rule = RetryRule { ratio: 0.2, constant: 5.0, window: Duration::from_secs(10) };
/// let mut budget = RetryBudget::new(rule);
/// assert!((0..4).all(|_| budget.take(now)));
/// assert!(!budget.take(now));
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    rule: RetryRule,
    requests: RecentCount,
    retries: RecentCount,
}

/// The number of events in a sliding window.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentCount {
    counts: VecDeque<(Instant, u32)>,
}

/// Events within this time share one count.
const COUNT_SPAN: Duration = Duration::from_millis(250);

impl RetryBudget {
    /// Creates an unused budget.
    #[must_use]
    pub fn new(rule: RetryRule) -> Self {
        RetryBudget {
            rule,
            requests: RecentCount::default(),
            retries: RecentCount::default(),
        }
    }

    /// Replaces the rule when the number of entries or the settings change.
    pub fn set_rule(&mut self, rule: RetryRule) {
        self.rule = rule;
    }

    /// Counts the first send of a request, which adds to the budget.
    pub fn record_request(&mut self, now: Instant) {
        self.requests.record(now, self.rule.window);
    }

    /// Consumes one retry and returns `true`, or returns `false` if the budget is exhausted.
    pub fn take(&mut self, now: Instant) -> bool {
        let requests = self.requests.count(now, self.rule.window);
        let retries = self.retries.count(now, self.rule.window);
        let allowed = (self.rule.ratio * f64::from(requests) + self.rule.constant) * USED_SHARE;
        let granted = f64::from(retries) + 1.0 <= allowed;
        if granted {
            self.retries.record(now, self.rule.window);
        }
        granted
    }
}

impl RecentCount {
    pub(crate) fn record(&mut self, now: Instant, window: Duration) {
        match self.counts.back_mut() {
            Some((time, events)) if now.saturating_duration_since(*time) < COUNT_SPAN => {
                *events += 1;
            }
            _ => self.counts.push_back((now, 1)),
        }
        self.count(now, window);
    }

    /// Removes expired counts, and returns the number of events in the window.
    pub(crate) fn count(&mut self, now: Instant, window: Duration) -> u32 {
        // Expires a count only after its last event has left the window.
        while self
            .counts
            .front()
            .is_some_and(|(time, _)| now.saturating_duration_since(*time) > window + COUNT_SPAN)
        {
            self.counts.pop_front();
        }
        self.counts.iter().map(|(_, events)| events).sum()
    }
}
