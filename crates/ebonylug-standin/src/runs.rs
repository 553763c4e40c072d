use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Counts of the requests that a fake has run since its start. A simulated crash does not reset
/// them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RunCounts {
    /// Accepted requests, regardless of their outcome.
    pub total: u64,
    /// Requests whose complete response was produced.
    pub finished: u64,
    /// Requests whose client disconnected before the response was complete.
    pub cancelled: u64,
    /// Requests that ended with an error response or a truncated response.
    pub failed: u64,
    /// Simulated crashes.
    pub crashes: u64,
    /// Maximum number of requests running or waiting at the same time.
    pub peak: u32,
    /// Maximum number of requests running or waiting at the same time during a cold start,
    /// including the one that crashed the engine.
    pub cold_peak: u32,
    /// Runs by the value of the header `ebonylug-attempt`.
    pub attempts: BTreeMap<Box<str>, u64>,
    /// Runs by request id, which is the attempt id without its number. Runs that resume an earlier
    /// one are not counted.
    pub requests: BTreeMap<Box<str>, u64>,
    /// Runs that resume an earlier one, by request id.
    pub resumed: BTreeMap<Box<str>, u64>,
    /// Runs by the value of the header `Idempotency-Key`.
    pub keys: BTreeMap<Box<str>, u64>,
    /// Runs by the fingerprint of the prompt (engine) or of the body (service).
    pub bodies: BTreeMap<Box<str>, u64>,
}

impl RunCounts {
    /// Returns the highest number of runs of any single attempt, request or key. A value above
    /// 1 means that one of them ran more than once.
    #[must_use]
    pub fn max_count(&self) -> u64 {
        let counts = [&self.attempts, &self.requests, &self.keys];
        let counts = counts.into_iter().flat_map(BTreeMap::values);
        counts.copied().max().unwrap_or(0)
    }

    pub(crate) fn record_attempt(&mut self, attempt: Option<&str>, resumed: bool) {
        let Some(attempt) = attempt else {
            return;
        };
        let request = attempt
            .rsplit_once('-')
            .map_or(attempt, |(request, _)| request);
        let requests = match resumed {
            true => &mut self.resumed,
            false => &mut self.requests,
        };
        count(requests, request);
        count(&mut self.attempts, attempt);
    }
}

pub(crate) fn count(counts: &mut BTreeMap<Box<str>, u64>, key: &str) {
    *counts.entry(key.into()).or_default() += 1;
}
