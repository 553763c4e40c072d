use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Part of the shared budget that is used; the rest covers requests that other entries count in
/// another window.
const USED_PART: f64 = 0.8;

/// The bound on repeated sends to one service, over all entries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryRule {
    /// The part of the requests that may be sent again.
    pub ratio: f64,
    /// Sends beyond that part.
    pub constant: f64,
    /// The time over which both are counted.
    pub window: Duration,
}

impl RetryRule {
    /// Returns the part of one of some entries. The sum of all parts is the bound.
    #[must_use]
    pub fn per_entry(self, entries: usize) -> Self {
        RetryRule {
            constant: self.constant / entries.max(1) as f64,
            ..self
        }
    }
}

/// The repeated sends that one entry may make to one service.
///
/// The budget over all entries is a share of the requests plus a constant, in each window. An entry
/// uses the share of its own requests and an equal part of the constant, so that the sum holds
/// without any message.
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
    requests: VecDeque<(Instant, u32)>,
    repeats: VecDeque<(Instant, u32)>,
}

/// Events are counted together in spans of this length.
const SPAN: Duration = Duration::from_millis(250);

impl RetryBudget {
    /// Creates a budget of which nothing is used.
    #[must_use]
    pub fn new(rule: RetryRule) -> Self {
        RetryBudget {
            rule,
            requests: VecDeque::new(),
            repeats: VecDeque::new(),
        }
    }

    /// Changes the rule, as the number of entries or the settings change.
    pub fn set_rule(&mut self, rule: RetryRule) {
        self.rule = rule;
    }

    /// Counts a request's first send.
    pub fn record_request(&mut self, now: Instant) {
        count(&mut self.requests, now, self.rule.window);
    }

    /// Takes one repeated send out of the budget, if there is one.
    pub fn take(&mut self, now: Instant) -> bool {
        let requests = total(&mut self.requests, now, self.rule.window);
        let repeats = total(&mut self.repeats, now, self.rule.window);
        let allowed = (self.rule.ratio * f64::from(requests) + self.rule.constant) * USED_PART;
        let granted = f64::from(repeats) + 1.0 <= allowed;
        if granted {
            count(&mut self.repeats, now, self.rule.window);
        }
        granted
    }
}

fn count(counts: &mut VecDeque<(Instant, u32)>, now: Instant, window: Duration) {
    match counts.back_mut() {
        Some((time, number)) if now.saturating_duration_since(*time) < SPAN => *number += 1,
        _ => counts.push_back((now, 1)),
    }
    total(counts, now, window);
}

fn total(counts: &mut VecDeque<(Instant, u32)>, now: Instant, window: Duration) -> u32 {
    // A span is dropped only when its last event is outside the window.
    while counts
        .front()
        .is_some_and(|(time, _)| now.saturating_duration_since(*time) > window + SPAN)
    {
        counts.pop_front();
    }
    counts.iter().map(|(_, number)| number).sum()
}
