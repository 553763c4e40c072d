use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use ebonylug_core::{AttemptId, Fingerprint, Offer, Repeat, Tier, Tokens};

use crate::limit::Load;

/// Tokens over which the time between tokens is measured.
///
/// Single gaps are useless: tokens that were buffered together arrive at the same instant.
const DECODE_SPAN: u64 = 16;

/// An attempt that runs inside the target.
#[derive(Debug)]
pub(crate) struct Stream {
    pub(crate) tier: Tier,
    pub(crate) cost: Tokens,
    pub(crate) prompt: Tokens,
    pub(crate) cached: Tokens,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) repeat: Repeat,
    pub(crate) admitted: Instant,
    /// The life of the target in which the attempt was admitted.
    pub(crate) epoch: u64,
    /// The lowest and highest load during the prefill, once time has passed.
    range: Option<(Load, Load)>,
    /// Whether nothing may run beside this attempt, because it may crash the target.
    pub(crate) alone: bool,
    first: Option<Instant>,
    delivered: Tokens,
    mark: Instant,
    marked: u64,
    preempting: bool,
}

/// The time to the first token of one attempt.
pub(crate) struct FirstToken {
    pub(crate) admitted: Instant,
    pub(crate) time: Duration,
    pub(crate) prompt: Tokens,
    pub(crate) cached: Tokens,
    /// The lowest load during the prefill.
    pub(crate) least: Load,
    /// The highest load during the prefill.
    pub(crate) most: Load,
}

/// A time between tokens, measured over several tokens.
pub(crate) struct DecodeSample {
    pub(crate) from: Instant,
    pub(crate) gap: Duration,
}

impl Stream {
    pub(crate) fn new(now: Instant, offer: &Offer, cost: Tokens) -> Self {
        Stream {
            tier: offer.tier,
            cost,
            prompt: offer.prompt,
            cached: offer.cached,
            fingerprint: offer.fingerprint,
            repeat: offer.repeat,
            admitted: now,
            epoch: 0,
            range: None,
            alone: false,
            first: None,
            delivered: Tokens::ZERO,
            mark: now,
            marked: 0,
            preempting: false,
        }
    }

    pub(crate) fn is_preemptible(&self) -> bool {
        !self.tier.is_interactive() && self.repeat == Repeat::Yes && !self.preempting
    }

    /// Returns the tokens that must be computed again if the attempt is cancelled now.
    ///
    /// `expected` is the time that its whole prefill takes, in seconds.
    pub(crate) fn lost(&self, now: Instant, expected: Option<f64>) -> Tokens {
        if self.first.is_some() {
            return self.prompt + self.delivered;
        }
        let elapsed = now.saturating_duration_since(self.admitted).as_secs_f64();
        let done = expected.map_or(1.0, |e| (elapsed / e).min(1.0));
        self.prompt.scale(done)
    }

    fn deliver(&mut self, now: Instant, tokens: Tokens) -> Option<DecodeSample> {
        self.delivered += tokens;
        self.marked += tokens.0;
        if self.first.is_none() || self.marked < DECODE_SPAN {
            return None;
        }
        let elapsed = now.saturating_duration_since(self.mark);
        let sample = DecodeSample {
            from: self.mark,
            gap: elapsed.div_f64(self.marked as f64),
        };
        self.mark = now;
        self.marked = 0;
        Some(sample)
    }
}

/// The attempts that run inside the target, with their sums.
#[derive(Debug, Default)]
pub(crate) struct Streams {
    running: BTreeMap<AttemptId, Stream>,
    used: Tokens,
    preempting: Tokens,
    preemptible: Tokens,
    alone: u32,
    /// When the load last changed.
    changed: Option<Instant>,
}

impl Streams {
    pub(crate) fn contains(&self, attempt: AttemptId) -> bool {
        self.running.contains_key(&attempt)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (AttemptId, &Stream)> {
        self.running.iter().map(|(id, stream)| (*id, stream))
    }

    pub(crate) fn len(&self) -> usize {
        self.running.len()
    }

    /// Returns all work inside the target, with streams that are being cancelled.
    pub(crate) fn load(&self) -> Load {
        Load {
            tokens: self.used,
            streams: self.running.len() as u32,
        }
    }

    /// Returns the work that stays when the cancelled streams have ended.
    pub(crate) fn active(&self) -> Tokens {
        self.used - self.preempting
    }

    /// Returns the work that interactive work could still preempt.
    pub(crate) fn preemptible(&self) -> Tokens {
        self.preemptible
    }

    /// Returns the work that cannot be preempted.
    pub(crate) fn interactive(&self) -> Tokens {
        self.used - self.preemptible - self.preempting
    }

    /// Returns the cost of the largest stream.
    pub(crate) fn largest(&self) -> Tokens {
        self.running
            .values()
            .map(|s| s.cost)
            .max()
            .unwrap_or(Tokens::ZERO)
    }

    /// Reports whether an attempt runs that nothing may run beside.
    pub(crate) fn has_alone(&self) -> bool {
        self.alone > 0
    }

    pub(crate) fn insert(&mut self, now: Instant, attempt: AttemptId, stream: Stream) {
        self.settle(now);
        self.used += stream.cost;
        if stream.is_preemptible() {
            self.preemptible += stream.cost;
        }
        self.alone += u32::from(stream.alone);
        self.running.insert(attempt, stream);
    }

    pub(crate) fn remove(&mut self, now: Instant, attempt: AttemptId) -> Option<Stream> {
        self.settle(now);
        let stream = self.running.remove(&attempt)?;
        self.used -= stream.cost;
        if stream.preempting {
            self.preempting -= stream.cost;
        }
        if stream.is_preemptible() {
            self.preemptible -= stream.cost;
        }
        self.alone -= u32::from(stream.alone);
        Some(stream)
    }

    /// Marks a stream as being cancelled. Its tokens stay accounted until it has ended.
    pub(crate) fn preempt(&mut self, attempt: AttemptId) {
        let Some(stream) = self.running.get_mut(&attempt) else {
            return;
        };
        if stream.is_preemptible() {
            self.preemptible -= stream.cost;
            self.preempting += stream.cost;
            stream.preempting = true;
        }
    }

    /// Records the first token of an attempt, unless it was recorded before.
    pub(crate) fn first_token(&mut self, now: Instant, attempt: AttemptId) -> Option<FirstToken> {
        let stream = self.running.get(&attempt)?;
        if stream.first.is_some() {
            return None;
        }
        let load = self.load();
        let (least, most) = match stream.range {
            Some(range) if self.has_passed(now) => widen(range, load),
            Some(range) => range,
            None => (load, load),
        };
        let sample = FirstToken {
            admitted: stream.admitted,
            time: now.saturating_duration_since(stream.admitted),
            prompt: stream.prompt,
            cached: stream.cached,
            least,
            most,
        };
        let stream = self.running.get_mut(&attempt)?;
        stream.first = Some(now);
        stream.mark = now;
        Some(sample)
    }

    /// Records output tokens. With `grow`, output beyond the estimate raises the cost.
    pub(crate) fn progress(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        tokens: Tokens,
        grow: bool,
    ) -> Option<DecodeSample> {
        let stream = self.running.get_mut(&attempt)?;
        let sample = stream.deliver(now, tokens);
        if grow && stream.prompt + stream.delivered > stream.cost {
            self.settle(now);
            let stream = self.running.get_mut(&attempt)?;
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

    /// Extends the ranges by the load since the last change. To be called before each change.
    ///
    /// A load that lasted no time is left out: streams that start or end at the same instant
    /// would otherwise see a low load, although the target was full all the time.
    fn settle(&mut self, now: Instant) {
        if !self.has_passed(now) {
            return;
        }
        let load = self.load();
        for stream in self.running.values_mut().filter(|s| s.first.is_none()) {
            stream.range = Some(
                stream
                    .range
                    .map_or((load, load), |range| widen(range, load)),
            );
        }
        self.changed = Some(now);
    }

    fn has_passed(&self, now: Instant) -> bool {
        self.changed.is_none_or(|changed| now > changed)
    }
}

fn widen((least, most): (Load, Load), load: Load) -> (Load, Load) {
    (least.min(load), most.max(load))
}
