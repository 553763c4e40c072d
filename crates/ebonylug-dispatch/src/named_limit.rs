use std::time::Instant;

use crate::shared_rate::SharedRate;

/// Minimum rate of requests of all entries to a target, in requests per second. Without any, a limit of
/// zero would never be known to have ended.
const MIN_RATE: f64 = 0.25;

/// The limit on requests per second that a target names in its responses. It applies to the sum over all
/// entries, for as long as the responses name it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct NamedLimit {
    /// The time of the latest response, and the limit that it names, in requests per second.
    latest: Option<(Instant, Option<f64>)>,
    /// This entry's share of the limit, while there is one.
    share: Option<SharedRate>,
}

impl NamedLimit {
    /// Records what a response that arrived at `now` names. `phase` is that of [`SharedRate::new`]. Returns
    /// whether the limit has changed.
    pub(crate) fn observe(&mut self, now: Instant, rate: Option<f64>, phase: f64) -> bool {
        let before = self.rate();
        self.latest = Some((now, rate));
        match (&mut self.share, rate) {
            (Some(share), Some(rate)) => share.set_rate(rate.max(MIN_RATE)),
            (share, rate) => {
                *share = rate.map(|rate| SharedRate::new(now, rate.max(MIN_RATE), phase));
            }
        }
        before != rate
    }

    /// Returns the limit in requests per second, if there is one.
    pub(crate) fn rate(&self) -> Option<f64> {
        self.latest.and_then(|(_, rate)| rate)
    }

    /// Reports whether this entry may send a request now, if `entries` share the limit.
    pub(crate) fn allows_send(&self, now: Instant, entries: usize) -> bool {
        let share = self.share.as_ref();
        share.is_none_or(|share| share.allows_send(now, entries))
    }

    pub(crate) fn record_send(&mut self, now: Instant) {
        if let Some(share) = &mut self.share {
            share.record_send(now);
        }
    }
}
