use std::time::{Duration, Instant};

use ebonylug_core::Tokens;

/// One bucket for each power of two of prompt tokens.
const BUCKETS: usize = 32;

/// Shorter times come from buffering between the processes, not from the engine.
const MIN_LATENCY: Duration = Duration::from_micros(100);

/// The best latencies of a target, learned from its own answers.
///
/// The time to the first token is a fixed part plus a part for each prompt token. For such a
/// function, a point `(q, t)` bounds the time for `p` tokens by `t * max(1, p / q)`. The lowest
/// bound over a few remembered points gives the expected time for any prompt, without a fit that
/// a single outlier could spoil.
#[derive(Debug)]
pub(crate) struct Baseline {
    window: Duration,
    points: [Option<Point>; BUCKETS],
    decode: Option<Best>,
}

#[derive(Clone, Copy, Debug)]
struct Point {
    tokens: f64,
    best: Best,
}

#[derive(Clone, Copy, Debug)]
struct Best {
    seconds: f64,
    at: Instant,
}

impl Baseline {
    pub(crate) fn new(window: Duration) -> Self {
        Baseline {
            window,
            points: [None; BUCKETS],
            decode: None,
        }
    }

    /// Returns the expected time to the first token at low load, in seconds.
    pub(crate) fn expected(&self, prompt: Tokens) -> Option<f64> {
        let prompt = prompt.as_f64().max(1.0);
        self.points
            .iter()
            .flatten()
            .map(|p| p.best.seconds * (prompt / p.tokens).max(1.0))
            .reduce(f64::min)
    }

    /// Records a time to the first token; returns it relative to the expectation.
    pub(crate) fn prefill(
        &mut self,
        now: Instant,
        sample: Duration,
        prompt: Tokens,
        low: bool,
    ) -> f64 {
        let seconds = sample.max(MIN_LATENCY).as_secs_f64();
        if low {
            self.expire_points(now);
        }
        let ratio = self.expected(prompt).map_or(1.0, |best| seconds / best);
        if ratio <= 1.0 {
            self.points[bucket(prompt)] = Some(Point {
                tokens: prompt.as_f64().max(1.0),
                best: Best { seconds, at: now },
            });
        }
        ratio
    }

    /// Records a time between tokens; returns it relative to the best.
    pub(crate) fn decode(&mut self, now: Instant, sample: Duration, low: bool) -> f64 {
        let seconds = sample.max(MIN_LATENCY).as_secs_f64();
        let window = self.window;
        let best = self
            .decode
            .filter(|b| !low || now.saturating_duration_since(b.at) < window);
        let ratio = best.map_or(1.0, |best| seconds / best.seconds);
        if ratio <= 1.0 {
            self.decode = Some(Best { seconds, at: now });
        }
        ratio
    }

    /// Forgets everything: the target may be another version or have empty caches.
    pub(crate) fn reset(&mut self) {
        *self = Baseline::new(self.window);
    }

    /// Drops old points, so that a target that became slower for good gets a new baseline.
    ///
    /// Only a sample at low load may do so; otherwise a congested target would be taken for a
    /// slow one, and its limit would grow without end.
    fn expire_points(&mut self, now: Instant) {
        for point in &mut self.points {
            *point = point.filter(|p| now.saturating_duration_since(p.best.at) < self.window);
        }
    }
}

fn bucket(prompt: Tokens) -> usize {
    (prompt.0.max(1).ilog2() as usize).min(BUCKETS - 1)
}
