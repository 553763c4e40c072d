use std::time::{Duration, Instant};

/// The result of an attempt, as evidence about the health of its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The target returned a complete response.
    Answered,
    /// The target returned a complete response that reports its own failure.
    Failed,
    /// The target refused the request without running it.
    Refused,
    /// The connection could not be established.
    Unreachable,
    /// The connection broke, the response was malformed, or the target did not respond in time.
    Broken,
    /// The attempt ended without evidence: the caller disconnected, or the entry cancelled it.
    Withdrawn,
}

/// A change of a target's health state that an outcome caused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthChange {
    /// The target became unhealthy: it gets no requests for a backoff period and then one probe at a
    /// time.
    Ejected,
    /// The target became healthy again.
    Restored,
}

impl HealthChange {
    /// Returns the name used in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            HealthChange::Ejected => "rests",
            HealthChange::Restored => "returns",
        }
    }
}

/// Weight of a new outcome in the moving average of the failure rate.
const EWMA_WEIGHT: f64 = 0.12;
/// Failure rate above which a target is unhealthy. Some healthy services fail one request in seven.
const MAX_FAILURE_RATE: f64 = 0.4;
/// Consecutive connection failures after which a target is unhealthy.
const CONNECTION_FAILURE_THRESHOLD: u32 = 2;
/// Initial ejection time, doubled with each further connection failure.
const BASE_EJECTION: Duration = Duration::from_millis(250);
/// Time for which a response overrides peers that report the target as unhealthy, since only their
/// network paths to it may have failed.
const RECENT_RESPONSE: Duration = Duration::from_millis(500);
/// Time that messages of other entries may take.
const MESSAGE_TIME: Duration = Duration::from_millis(200);
/// Maximum ejection time.
const MAX_EJECTION: Duration = Duration::from_secs(2);

/// Passive health check of a target, based on the outcomes of its requests.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Health {
    failure_rate: f64,
    connection_failures: u32,
    ejected_until: Option<Instant>,
    /// Time of the last successful response.
    last_response: Option<Instant>,
    /// Time of the first of the successful responses that are at most [`RECENT_RESPONSE`] apart.
    first_response: Option<Instant>,
}

impl Health {
    /// Updates the state with an outcome and returns the resulting change, if any.
    pub(crate) fn record(&mut self, now: Instant, outcome: Outcome) -> Option<HealthChange> {
        let was_unhealthy = self.is_unhealthy();
        match outcome {
            Outcome::Withdrawn | Outcome::Refused => {}
            Outcome::Answered => {
                if !self.responded_recently(now) {
                    self.first_response = Some(now);
                }
                self.last_response = Some(now);
                self.failure_rate -= self.failure_rate * EWMA_WEIGHT;
                self.connection_failures = 0;
                self.ejected_until = None;
            }
            Outcome::Failed => {
                self.failure_rate += (1.0 - self.failure_rate) * EWMA_WEIGHT;
                self.connection_failures = 0;
                if self.failure_rate > MAX_FAILURE_RATE {
                    self.ejected_until = Some(now + BASE_EJECTION);
                }
            }
            Outcome::Broken | Outcome::Unreachable => {
                self.failure_rate += (1.0 - self.failure_rate) * EWMA_WEIGHT;
                self.connection_failures += 1;
                // One refused connection is sufficient evidence.
                if outcome == Outcome::Unreachable {
                    self.connection_failures =
                        self.connection_failures.max(CONNECTION_FAILURE_THRESHOLD);
                }
                if self.is_unhealthy() {
                    let doubled = BASE_EJECTION * (1 << (self.connection_failures.min(6) - 1));
                    self.ejected_until = Some(now + doubled.min(MAX_EJECTION));
                }
            }
        }
        match (was_unhealthy, self.is_unhealthy()) {
            (false, true) => Some(HealthChange::Ejected),
            (true, false) => Some(HealthChange::Restored),
            _ => None,
        }
    }

    /// Reports whether the target gets no requests at all.
    pub(crate) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Reports whether the target responded within [`RECENT_RESPONSE`], which overrides reports of peers.
    pub(crate) fn responded_recently(&self, now: Instant) -> bool {
        let recent = |time: Instant| now.saturating_duration_since(time) < RECENT_RESPONSE;
        self.last_response.is_some_and(recent)
    }

    /// Reports whether the target has responded recently and did so already before `time`, at which it has come back
    /// from an outage at another entry. Its first responses after an outage of its own show nothing.
    pub(crate) fn refutes_outage(&self, now: Instant, time: Instant) -> bool {
        let before = |first: Instant| first + MESSAGE_TIME <= time;
        self.responded_recently(now) && self.first_response.is_some_and(before)
    }

    /// Reports whether the target gets at most one request at a time, as a probe.
    pub(crate) fn is_unhealthy(&self) -> bool {
        self.connection_failures >= CONNECTION_FAILURE_THRESHOLD
            || self.failure_rate > MAX_FAILURE_RATE
    }

    /// Returns the moving average of the failure rate, from 0 to 1.
    pub(crate) fn failure_rate(&self) -> f64 {
        self.failure_rate
    }
}
