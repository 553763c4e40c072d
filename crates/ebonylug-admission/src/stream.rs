use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use ebonylug_core::{AttemptId, CrashCause, CrashCauses, Fingerprint, Offer, Repeat, Tier, Tokens};

use crate::limit::Load;

/// Number of tokens over which the time between tokens is averaged.
///
/// Single gaps carry no information, since tokens that were buffered together arrive at the same
/// instant.
const DECODE_SPAN_TOKENS: u64 = 16;

/// An attempt that runs inside the target.
#[derive(Debug)]
pub(crate) struct Stream {
    pub(crate) tier: Tier,
    pub(crate) cost: Tokens,
    pub(crate) prompt: Tokens,
    pub(crate) cached: Tokens,
    pub(crate) fingerprint: Fingerprint,
    /// The content and the prompt parts, which may make the attempt crash the target.
    pub(crate) causes: CrashCauses,
    pub(crate) repeat: Repeat,
    pub(crate) admitted: Instant,
    /// The epoch of the target in which the attempt was admitted.
    pub(crate) epoch: u64,
    /// The lowest and highest load during the prefill. `None` until the load has lasted some time.
    load_range: Option<(Load, Load)>,
    /// Whether no other attempt may run at the same time, because this one may crash the target.
    pub(crate) exclusive: bool,
    first_token: Option<Instant>,
    delivered: Tokens,
    /// Start of the current span, over which the time between tokens is averaged.
    span_start: Instant,
    span_tokens: u64,
    /// Whether the attempt is being cancelled.
    preempting: bool,
}

/// A sample of the time to the first token.
pub(crate) struct FirstToken {
    pub(crate) admitted: Instant,
    pub(crate) time: Duration,
    pub(crate) prompt: Tokens,
    pub(crate) cached: Tokens,
    /// The lowest load during the prefill.
    pub(crate) min_load: Load,
    /// The highest load during the prefill.
    pub(crate) max_load: Load,
}

/// A sample of the time between tokens, averaged over several tokens.
pub(crate) struct DecodeSample {
    pub(crate) since: Instant,
    pub(crate) gap: Duration,
}

/// Returns what may make an attempt crash its target.
pub(crate) fn causes(offer: &Offer) -> CrashCauses {
    CrashCause::of_request(offer.fingerprint, offer.parts.iter().copied())
}

impl Stream {
    pub(crate) fn new(now: Instant, offer: &Offer, cost: Tokens) -> Self {
        Stream {
            tier: offer.tier,
            cost,
            prompt: offer.prompt,
            cached: offer.cached,
            fingerprint: offer.fingerprint,
            causes: causes(offer),
            repeat: offer.repeat,
            admitted: now,
            epoch: 0,
            load_range: None,
            exclusive: false,
            first_token: None,
            delivered: Tokens::ZERO,
            span_start: now,
            span_tokens: 0,
            preempting: false,
        }
    }

    pub(crate) fn is_preemptible(&self) -> bool {
        !self.tier.is_interactive() && self.repeat == Repeat::Yes && !self.preempting
    }

    /// Returns the tokens that must be recomputed if the attempt is cancelled now.
    ///
    /// `expected` is the expected duration of its whole prefill, in seconds.
    pub(crate) fn recompute_cost(&self, now: Instant, expected: Option<f64>) -> Tokens {
        if self.first_token.is_some() {
            return self.prompt + self.delivered;
        }
        let elapsed = now.saturating_duration_since(self.admitted).as_secs_f64();
        let done = expected.map_or(1.0, |e| (elapsed / e).min(1.0));
        self.prompt.scale(done)
    }

    fn record_output(&mut self, now: Instant, tokens: Tokens) -> Option<DecodeSample> {
        self.delivered += tokens;
        self.span_tokens += tokens.0;
        if self.first_token.is_none() || self.span_tokens < DECODE_SPAN_TOKENS {
            return None;
        }
        let elapsed = now.saturating_duration_since(self.span_start);
        let sample = DecodeSample {
            since: self.span_start,
            gap: elapsed.div_f64(self.span_tokens as f64),
        };
        self.span_start = now;
        self.span_tokens = 0;
        Some(sample)
    }
}

/// The attempts that run inside the target, with the sums of their costs.
#[derive(Debug, Default)]
pub(crate) struct Streams {
    streams: BTreeMap<AttemptId, Stream>,
    used: Tokens,
    /// Tokens of the streams that are being cancelled.
    preempting: Tokens,
    preemptible: Tokens,
    /// Number of exclusive attempts.
    exclusive: u32,
    /// The time of the last change of the load.
    changed_at: Option<Instant>,
}

impl Streams {
    pub(crate) fn contains(&self, attempt: AttemptId) -> bool {
        self.streams.contains_key(&attempt)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (AttemptId, &Stream)> {
        self.streams.iter().map(|(id, stream)| (*id, stream))
    }

    pub(crate) fn len(&self) -> usize {
        self.streams.len()
    }

    /// Returns the load inside the target, including streams that are being cancelled.
    pub(crate) fn load(&self) -> Load {
        Load {
            tokens: self.used,
            streams: self.streams.len() as u32,
        }
    }

    /// Returns the tokens of all streams that are not being cancelled.
    pub(crate) fn active(&self) -> Tokens {
        self.used - self.preempting
    }

    /// Returns the tokens that interactive work can still preempt.
    pub(crate) fn preemptible(&self) -> Tokens {
        self.preemptible
    }

    /// Returns the tokens that cannot be preempted and are not being cancelled.
    pub(crate) fn non_preemptible(&self) -> Tokens {
        self.used - self.preemptible - self.preempting
    }

    /// Returns the cost of the largest stream.
    pub(crate) fn largest(&self) -> Tokens {
        self.streams
            .values()
            .map(|s| s.cost)
            .max()
            .unwrap_or(Tokens::ZERO)
    }

    /// Reports whether an exclusive attempt is running.
    pub(crate) fn has_exclusive(&self) -> bool {
        self.exclusive > 0
    }

    pub(crate) fn insert(&mut self, now: Instant, attempt: AttemptId, stream: Stream) {
        self.update_ranges(now);
        self.used += stream.cost;
        if stream.is_preemptible() {
            self.preemptible += stream.cost;
        }
        self.exclusive += u32::from(stream.exclusive);
        self.streams.insert(attempt, stream);
    }

    pub(crate) fn remove(&mut self, now: Instant, attempt: AttemptId) -> Option<Stream> {
        self.update_ranges(now);
        let stream = self.streams.remove(&attempt)?;
        self.used -= stream.cost;
        if stream.preempting {
            self.preempting -= stream.cost;
        }
        if stream.is_preemptible() {
            self.preemptible -= stream.cost;
        }
        self.exclusive -= u32::from(stream.exclusive);
        Some(stream)
    }

    /// Marks a stream as being cancelled. Its tokens count against the limit until it has ended.
    pub(crate) fn mark_preempted(&mut self, attempt: AttemptId) {
        let Some(stream) = self.streams.get_mut(&attempt) else {
            return;
        };
        if stream.is_preemptible() {
            self.preemptible -= stream.cost;
            self.preempting += stream.cost;
            stream.preempting = true;
        }
    }

    /// Records the first token of an attempt. Returns `None` if it was already recorded or the
    /// attempt does not run.
    pub(crate) fn record_first_token(
        &mut self,
        now: Instant,
        attempt: AttemptId,
    ) -> Option<FirstToken> {
        let stream = self.streams.get(&attempt)?;
        if stream.first_token.is_some() {
            return None;
        }
        let load = self.load();
        let (min_load, max_load) = match stream.load_range {
            Some(range) if self.has_elapsed(now) => extend_range(range, load),
            Some(range) => range,
            None => (load, load),
        };
        let sample = FirstToken {
            admitted: stream.admitted,
            time: now.saturating_duration_since(stream.admitted),
            prompt: stream.prompt,
            cached: stream.cached,
            min_load,
            max_load,
        };
        let stream = self.streams.get_mut(&attempt)?;
        stream.first_token = Some(now);
        stream.span_start = now;
        Some(sample)
    }

    /// Records output tokens. With `grow`, output beyond the estimate increases the cost.
    pub(crate) fn record_progress(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        tokens: Tokens,
        grow: bool,
    ) -> Option<DecodeSample> {
        let stream = self.streams.get_mut(&attempt)?;
        let sample = stream.record_output(now, tokens);
        if grow && stream.prompt + stream.delivered > stream.cost {
            self.update_ranges(now);
            let stream = self.streams.get_mut(&attempt)?;
            let actual = stream.prompt + stream.delivered;
            let excess = actual - stream.cost;
            stream.cost = actual;
            self.used += excess;
            if stream.preempting {
                self.preempting += excess;
            }
            if stream.is_preemptible() {
                self.preemptible += excess;
            }
        }
        sample
    }

    /// Extends the load ranges by the load since the last change. Must be called before each change
    /// of the load.
    ///
    /// A load that lasted no time is ignored. Otherwise streams that start or end at the same
    /// instant would record a low load, although the target was full all the time.
    fn update_ranges(&mut self, now: Instant) {
        if !self.has_elapsed(now) {
            return;
        }
        let load = self.load();
        for stream in self
            .streams
            .values_mut()
            .filter(|s| s.first_token.is_none())
        {
            stream.load_range = Some(
                stream
                    .load_range
                    .map_or((load, load), |range| extend_range(range, load)),
            );
        }
        self.changed_at = Some(now);
    }

    fn has_elapsed(&self, now: Instant) -> bool {
        self.changed_at.is_none_or(|changed| now > changed)
    }
}

fn extend_range((min_load, max_load): (Load, Load), load: Load) -> (Load, Load) {
    (min_load.min(load), max_load.max(load))
}
