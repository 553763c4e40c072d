use std::time::{Duration, Instant};

/// What an attempt showed about its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer of the target.
    Answered,
    /// A whole answer that states a failure of the target.
    Failed,
    /// The target refused and did not run the request.
    Refused,
    /// No connection could be made.
    Unreachable,
    /// A broken connection, bytes that are no answer, or silence.
    Broken,
    /// Nothing is known: the caller left, or the entry gave up for reasons of its own.
    Withdrawn,
}

/// What an outcome changes about a target's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthChange {
    /// The target gets nothing for a while, and then trials.
    Ejected,
    /// The target answers again.
    Restored,
}

impl HealthChange {
    /// Returns the name in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            HealthChange::Ejected => "rests",
            HealthChange::Restored => "returns",
        }
    }
}

/// Weight of a new outcome in the failure rate.
const WEIGHT: f64 = 0.12;
/// A target with a higher failure rate gets requests only as trials. Some services fail one request
/// in seven in good health.
const MAX_FAILURES: f64 = 0.4;
/// Breaks in a row after which a target rests.
const BREAKS: u32 = 2;
/// The first rest, doubled with each further break.
const REST: Duration = Duration::from_millis(250);
/// Time for which an answer outweighs what other entries say of a target: their paths to it may be cut.
const RECENT: Duration = Duration::from_millis(500);
/// The longest rest.
const MAX_REST: Duration = Duration::from_secs(2);

/// Whether a target works, by the outcomes of its requests.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Health {
    rate: f64,
    breaks: u32,
    rest: Option<Instant>,
    /// The last whole answer.
    answered: Option<Instant>,
}

impl Health {
    /// Notes an outcome.
    pub(crate) fn note(&mut self, now: Instant, outcome: Outcome) -> Option<HealthChange> {
        let before = self.on_trial();
        match outcome {
            Outcome::Withdrawn | Outcome::Refused => {}
            Outcome::Answered => {
                self.answered = Some(now);
                self.rate -= self.rate * WEIGHT;
                self.breaks = 0;
                self.rest = None;
            }
            Outcome::Failed => {
                self.rate += (1.0 - self.rate) * WEIGHT;
                self.breaks = 0;
                if self.rate > MAX_FAILURES {
                    self.rest = Some(now + REST);
                }
            }
            Outcome::Broken | Outcome::Unreachable => {
                self.rate += (1.0 - self.rate) * WEIGHT;
                self.breaks += 1;
                // A target that takes no connection needs no second sign.
                if outcome == Outcome::Unreachable {
                    self.breaks = self.breaks.max(BREAKS);
                }
                if self.on_trial() {
                    let doubled = REST * (1 << (self.breaks.min(6) - 1));
                    self.rest = Some(now + doubled.min(MAX_REST));
                }
            }
        }
        match (before, self.on_trial()) {
            (false, true) => Some(HealthChange::Ejected),
            (true, false) => Some(HealthChange::Restored),
            _ => None,
        }
    }

    /// Reports whether the target rests.
    pub(crate) fn rests(&self, now: Instant) -> bool {
        self.rest.is_some_and(|rest| now < rest)
    }

    /// Reports whether the target answered a moment ago, which outweighs what other entries say.
    pub(crate) fn has_answered(&self, now: Instant) -> bool {
        let recent = |time: Instant| now.saturating_duration_since(time) < RECENT;
        self.answered.is_some_and(recent)
    }

    /// Reports whether the target gets one request at a time, as a trial.
    pub(crate) fn on_trial(&self) -> bool {
        self.breaks >= BREAKS || self.rate > MAX_FAILURES
    }

    /// Returns the share of recent outcomes that were failures, from 0 to 1.
    pub(crate) fn failures(&self) -> f64 {
        self.rate
    }
}
