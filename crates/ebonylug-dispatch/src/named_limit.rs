use std::time::Instant;

/// The limit on requests per second that a target names in its responses. It applies to the sum over all
/// entries, for as long as the responses name it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct NamedLimit {
    /// The time of the latest response, and the limit that it names, in requests per second.
    latest: Option<(Instant, Option<f64>)>,
}

impl NamedLimit {
    /// Records what a response that arrived at `now` names. Returns whether the limit has changed.
    pub(crate) fn observe(&mut self, now: Instant, rate: Option<f64>) -> bool {
        let before = self.rate();
        self.latest = Some((now, rate));
        before != rate
    }

    /// Returns the limit in requests per second, if there is one.
    pub(crate) fn rate(&self) -> Option<f64> {
        self.latest.and_then(|(_, rate)| rate)
    }
}
