use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Part of the shared budget that is used; the rest covers requests that other entries count in
/// another window.
const USED_PART: f64 = 0.8;

/// The repeated sends that one entry may make to one service.
///
/// The budget over all entries is a share of the requests plus a constant, in each window. An entry
/// uses the share of its own requests and an equal part of the constant, so that the sum holds
/// without any message.
///
/// ```
/// use std::time::{Duration, Instant};
/// use ebonylug_dispatch::RetryBudget;
///
/// let now = Instant::now();
/// let mut budget = RetryBudget::new(0.2, 5.0, Duration::from_secs(10));
/// assert!((0..4).all(|_| budget.take(now)));
/// assert!(!budget.take(now));
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    constant: f64,
    window: Duration,
    requests: VecDeque<(Instant, u32)>,
    repeats: VecDeque<(Instant, u32)>,
}

/// Events are counted together in spans of this length.
const SPAN: Duration = Duration::from_millis(250);

impl RetryBudget {
    /// Creates a budget of `ratio` of the requests plus `constant`, in each `window`.
    #[must_use]
    pub fn new(ratio: f64, constant: f64, window: Duration) -> Self {
        RetryBudget {
            ratio,
            constant,
            window,
            requests: VecDeque::new(),
            repeats: VecDeque::new(),
        }
    }

    /// Changes the constant part, as the number of entries changes.
    pub fn set_constant(&mut self, constant: f64) {
        self.constant = constant;
    }

    /// Counts a request's first send.
    pub fn request(&mut self, now: Instant) {
        count(&mut self.requests, now, self.window);
    }

    /// Takes one repeated send out of the budget, if there is one.
    pub fn take(&mut self, now: Instant) -> bool {
        let requests = total(&mut self.requests, now, self.window);
        let repeats = total(&mut self.repeats, now, self.window);
        let allowed = (self.ratio * f64::from(requests) + self.constant) * USED_PART;
        let granted = f64::from(repeats) + 1.0 <= allowed;
        if granted {
            count(&mut self.repeats, now, self.window);
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
