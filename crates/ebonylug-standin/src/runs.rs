use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// What a fake has run since its start. Crashes do not reset it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RunCounts {
    /// Requests that were taken, whatever became of them.
    pub total: u64,
    /// Requests whose whole answer was produced.
    pub finished: u64,
    /// Requests whose caller hung up before the answer was complete.
    pub cancelled: u64,
    /// Requests that were answered with an error or cut off.
    pub failed: u64,
    /// Crashes.
    pub crashes: u64,
    /// The most requests that ran or waited at once.
    pub peak: u32,
    /// The most requests that ran or waited at once in cold start, including the one that
    /// crashed the engine.
    pub cold_peak: u32,
    /// RunCounts by the header `ebonylug-attempt`.
    pub attempts: BTreeMap<Box<str>, u64>,
    /// RunCounts by request, the part of the attempt before its number. RunCounts that continue an earlier one are not counted.
    pub requests: BTreeMap<Box<str>, u64>,
    /// RunCounts that continue an earlier one, by request.
    pub resumed: BTreeMap<Box<str>, u64>,
    /// RunCounts by the header `Idempotency-Key`.
    pub keys: BTreeMap<Box<str>, u64>,
    /// RunCounts by the fingerprint of the prompt (engine) or of the body (service).
    pub bodies: BTreeMap<Box<str>, u64>,
}

impl RunCounts {
    /// Returns the highest count of runs of one request, attempt or key.
    #[must_use]
    pub fn max_count(&self) -> u64 {
        let counts = [&self.attempts, &self.requests, &self.keys];
        let counts = counts.into_iter().flat_map(BTreeMap::values);
        counts.copied().max().unwrap_or(0)
    }

    pub(crate) fn attempt(&mut self, attempt: Option<&str>, resumed: bool) {
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
