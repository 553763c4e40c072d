//! A fake target: a model engine with continuous batching, or a plain service.
//!
//! This is a fluid model: streams share the engine, and their speeds change only when a stream
//! starts, ends, or moves from prefill to decoding. Streams in prefill share the prefill rate; when
//! other streams decode, each group gets half of the engine. Each decoding stream slows the other
//! ones down by [`EngineSpec::batch_penalty`]. Above its memory limit the engine swaps and slows
//! down by `SWAP_FACTOR`; above `CRASH_MEMORY_RATIO` times the limit it crashes. A cold engine is
//! slow, slows down further with one stream more than [`EngineSpec::cold_streams`], and crashes
//! with two.

use std::collections::VecDeque;

use ebonylug_core::{AttemptId, EngineReport};

use crate::cache::PrefixCache;

/// Microseconds per second; virtual time is in microseconds.
pub const SECOND: u64 = 1_000_000;

/// Tokens in a block of the prefix cache.
pub const BLOCK_TOKENS: u64 = 64;

/// Speed factor while the streams need more memory than the engine has.
const SWAP_FACTOR: f64 = 0.2;
/// Multiple of the memory limit above which the engine crashes.
const CRASH_MEMORY_RATIO: f64 = 1.3;
/// Speed factor of a cold engine.
const COLD_FACTOR: f64 = 0.25;
/// Additional speed factor of a cold engine above its stream limit.
const COLD_OVERLOAD_FACTOR: f64 = 0.125;
/// Share of the engine that prefill gets while other streams decode.
const PREFILL_SHARE: f64 = 0.5;
/// Remaining tokens below which a phase counts as complete; absorbs rounding errors.
const WORK_EPSILON: f64 = 1e-6;

/// Speed and limits of a model engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineSpec {
    /// Speed factor of the hardware generation on all rates: 1, 2 or 4.
    pub speed_factor: f64,
    /// Prompt tokens per second at speed factor 1.
    pub prefill_rate: f64,
    /// Output tokens per second of a single stream at speed factor 1.
    pub decode_rate: f64,
    /// Fraction by which each additional decoding stream slows all decoding streams down.
    pub batch_penalty: f64,
    /// Maximum number of running streams; others queue inside the engine in order of arrival.
    pub slots: usize,
    /// Memory limit of the running streams, in tokens.
    pub memory_tokens: u64,
    /// Capacity of the prefix cache, in tokens.
    pub cache_tokens: u64,
    /// Maximum number of streams without a slowdown or crash while the engine is cold.
    pub cold_streams: usize,
}

impl EngineSpec {
    /// Returns the output rate at speed factor 1 when all slots decode, in tokens per second.
    #[must_use]
    pub fn peak_rate(&self) -> f64 {
        let streams = self.slots as f64;
        streams * self.decode_rate / (1.0 + self.batch_penalty * (streams - 1.0))
    }
}

/// The kind of a fake target.
#[derive(Clone, Copy, Debug)]
pub enum EngineKind {
    /// A model engine.
    Model(EngineSpec),
    /// A plain service.
    Service {
        /// Maximum number of running calls; others queue in order of arrival.
        concurrency: usize,
    },
}

/// The work of one attempt at a target.
#[derive(Clone, Debug)]
pub struct AttemptWork {
    /// Identifies the attempt.
    pub attempt: AttemptId,
    /// Prompt tokens outside shared blocks.
    pub own_tokens: u64,
    /// Hashes of the prompt blocks shared with other requests.
    pub shared_blocks: Vec<u64>,
    /// Output tokens; for a service, the duration of the call in microseconds.
    pub output: u64,
    /// Output tokens already produced by an earlier attempt.
    pub offset: u64,
    /// Whether the request crashes the engine at the end of its prefill.
    pub poison: bool,
    /// Whether the request belongs to a batch tier.
    pub batch: bool,
}

/// One attempt inside a target.
#[derive(Clone, Debug)]
pub struct Stream {
    /// The work of the attempt.
    pub work: AttemptWork,
    /// Prompt tokens that are still to be computed; `None` once the first token is out.
    prefill_left: Option<f64>,
    decode_left: f64,
    produced: f64,
    /// Output tokens that [`Engine::progress`] has returned.
    reported: u64,
    computed: f64,
    started: bool,
}

/// An event inside a target.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineEvent {
    /// The prefill of an attempt has ended.
    FirstToken(AttemptId),
    /// An attempt has produced its complete response.
    Done(EndedAttempt),
    /// The target crashed; all attempts inside are lost.
    Crashed,
}

/// An attempt that has left its target.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedAttempt {
    /// Identifies the attempt.
    pub attempt: AttemptId,
    /// Output tokens produced by this attempt.
    pub produced: u64,
    /// Prompt tokens computed for it, without cached ones.
    pub computed: f64,
    /// Whether it had a slot.
    pub started: bool,
    /// Whether it belongs to a batch tier.
    pub batch: bool,
}

/// A fake target.
#[derive(Clone, Debug)]
pub struct Engine {
    kind: EngineKind,
    now: u64,
    up: bool,
    cold_until: u64,
    epoch: u64,
    streams: VecDeque<Stream>,
    cache: PrefixCache,
    /// Prompt tokens found in the cache since the last restart.
    hits: f64,
    /// Prompt tokens computed since the last restart.
    prefilled: f64,
    /// Speed factor for faults and faulty versions; 1 is normal.
    pub speed_factor: f64,
    cold_excess: usize,
}

impl Engine {
    /// Creates a target that is up and warm.
    #[must_use]
    pub fn new(kind: EngineKind) -> Self {
        let cache = match kind {
            EngineKind::Model(spec) => spec.cache_tokens,
            EngineKind::Service { .. } => 0,
        };
        Engine {
            kind,
            now: 0,
            up: true,
            cold_until: 0,
            epoch: 1,
            streams: VecDeque::new(),
            cache: PrefixCache::new(cache),
            hits: 0.0,
            prefilled: 0.0,
            speed_factor: 1.0,
            cold_excess: 0,
        }
    }

    /// Reports whether the target is running.
    #[must_use]
    pub fn is_up(&self) -> bool {
        self.up
    }

    /// Reports whether the target is in its cold start.
    #[must_use]
    pub fn is_cold(&self) -> bool {
        self.now < self.cold_until
    }

    /// Returns the number of attempts inside the target, running and queued.
    #[must_use]
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Reports whether no attempt is inside the target.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    /// Returns the highest number of streams above [`EngineSpec::cold_streams`] while the target
    /// was cold.
    #[must_use]
    pub fn cold_excess(&self) -> usize {
        self.cold_excess
    }

    /// Returns the load and cache statistics that the engine exports.
    #[must_use]
    pub fn report(&self) -> EngineReport {
        let running = self.streams.len().min(self.slots());
        EngineReport {
            epoch: self.epoch,
            running: running as u32,
            waiting: (self.streams.len() - running) as u32,
            hits: self.hits as u64,
            prefilled: self.prefilled as u64,
        }
    }

    /// Adds an attempt. The engine does not support priorities.
    pub fn start(&mut self, work: AttemptWork, events: &mut Vec<EngineEvent>) {
        let decode = match self.kind {
            EngineKind::Model(_) => work.output.saturating_sub(work.offset).max(1),
            EngineKind::Service { .. } => work.output,
        };
        self.streams.push_back(Stream {
            prefill_left: None,
            decode_left: decode as f64,
            produced: 0.0,
            reported: 0,
            computed: 0.0,
            started: false,
            work,
        });
        self.fill_slots();
        self.check_overload(events);
    }

    /// Removes an attempt, or returns `None` if it is not inside.
    pub fn cancel(&mut self, attempt: AttemptId) -> Option<EndedAttempt> {
        let position = self.position(attempt)?;
        let stream = self.streams.remove(position)?;
        let ended = self.end_stream(&stream);
        self.fill_slots();
        Some(ended)
    }

    /// Reports whether an attempt is running or queued inside the target.
    #[must_use]
    pub fn contains(&self, attempt: AttemptId) -> bool {
        self.position(attempt).is_some()
    }

    /// Returns the output tokens of each attempt since the last call.
    pub fn progress(&mut self) -> Vec<(AttemptId, u64)> {
        let mut progress = Vec::new();
        for stream in &mut self.streams {
            let new = stream.produced as u64 - stream.reported;
            if new > 0 {
                stream.reported += new;
                progress.push((stream.work.attempt, new));
            }
        }
        progress
    }

    /// Advances the target to the virtual time `to` and appends the events on the way.
    pub fn advance(&mut self, to: u64, events: &mut Vec<EngineEvent>) {
        while self.up && self.now < to {
            let next = self.next_event().map_or(to, |next| next.min(to));
            self.run_until(next);
            self.finish_phases(events);
            self.check_overload(events);
        }
        self.now = self.now.max(to);
    }

    /// Returns the time at which the next phase of a stream ends if nothing else changes.
    #[must_use]
    pub fn next_event(&self) -> Option<u64> {
        if !self.up || self.streams.is_empty() {
            return None;
        }
        let (prefill, decode) = self.rates();
        let running = self.streams.iter().take(self.slots());
        let time = running
            .map(|s| {
                s.prefill_left
                    .map_or(s.decode_left / decode, |left| left / prefill)
            })
            .fold(f64::INFINITY, f64::min);
        let phase = self.now + (time * SECOND as f64).ceil().max(1.0) as u64;
        // Rates change at the end of a cold start, and a stalled engine is checked at least every
        // 60 s.
        let cold = self.is_cold().then_some(self.cold_until);
        Some(
            phase
                .min(cold.unwrap_or(u64::MAX))
                .min(self.now + 60 * SECOND),
        )
    }

    /// Stops the target and returns the attempts inside.
    pub fn crash(&mut self) -> Vec<EndedAttempt> {
        self.up = false;
        self.cache.clear();
        let streams = std::mem::take(&mut self.streams);
        streams.iter().map(Stream::ended).collect()
    }

    /// Restarts the target; it is cold for `cold` microseconds.
    pub fn restart(&mut self, cold: u64) {
        self.up = true;
        self.epoch += 1;
        self.hits = 0.0;
        self.prefilled = 0.0;
        self.make_cold(cold);
    }

    /// Makes a model engine cold for `time` microseconds. Its streams remain; its cache is cleared.
    pub fn make_cold(&mut self, time: u64) {
        if let EngineKind::Model(_) = self.kind {
            self.cold_until = self.now + time;
            self.cache.clear();
        }
    }

    fn position(&self, attempt: AttemptId) -> Option<usize> {
        self.streams.iter().position(|s| s.work.attempt == attempt)
    }

    fn slots(&self) -> usize {
        match self.kind {
            EngineKind::Model(spec) => spec.slots,
            EngineKind::Service { concurrency } => concurrency,
        }
    }

    /// Starts the streams that have a slot and looks up their prompts in the prefix cache.
    fn fill_slots(&mut self) {
        let slots = self.slots();
        let model = matches!(self.kind, EngineKind::Model(_));
        for stream in self.streams.iter_mut().take(slots) {
            if stream.started {
                continue;
            }
            stream.started = true;
            if !model {
                continue;
            }
            let work = &stream.work;
            let mut cached_tokens = 0;
            for block in &work.shared_blocks {
                match self.cache.get(*block) {
                    Some(tokens) => cached_tokens += tokens,
                    None => break,
                }
            }
            let shared_tokens = work.shared_blocks.len() as u64 * BLOCK_TOKENS;
            let own_tokens = work.own_tokens + work.offset;
            if cached_tokens == shared_tokens {
                cached_tokens += self
                    .cache
                    .get(own_key(work.attempt))
                    .unwrap_or(0)
                    .min(own_tokens);
            }
            // The last prompt token is always computed.
            stream.prefill_left = Some(
                (shared_tokens + own_tokens)
                    .saturating_sub(cached_tokens)
                    .max(1) as f64,
            );
            self.hits += cached_tokens as f64;
        }
    }

    /// Returns the rate of each stream in prefill and of each decoding stream, in tokens per
    /// second.
    fn rates(&self) -> (f64, f64) {
        let EngineKind::Model(spec) = self.kind else {
            return (1.0, SECOND as f64 * self.speed_factor);
        };
        let running = self.streams.iter().take(spec.slots);
        let (mut prefilling, mut decoding, mut memory) = (0.0, 0.0, 0.0);
        for stream in running {
            memory += stream.memory();
            if stream.prefill_left.is_some() {
                prefilling += 1.0;
            } else {
                decoding += 1.0;
            }
        }
        let mut factor = spec.speed_factor * self.speed_factor;
        if memory > spec.memory_tokens as f64 {
            factor *= SWAP_FACTOR;
        }
        if self.is_cold() {
            factor *= COLD_FACTOR;
            if self.streams.len() > spec.cold_streams {
                factor *= COLD_OVERLOAD_FACTOR;
            }
        }
        let (prefill_share, decode_share) = match (prefilling > 0.0, decoding > 0.0) {
            (true, true) => (PREFILL_SHARE, 1.0 - PREFILL_SHARE),
            _ => (1.0, 1.0),
        };
        let prefill = spec.prefill_rate * prefill_share / f64::max(prefilling, 1.0);
        let slowdown = 1.0 + spec.batch_penalty * f64::max(decoding - 1.0, 0.0);
        let decode = spec.decode_rate * decode_share / slowdown;
        (prefill * factor, decode * factor)
    }

    fn run_until(&mut self, to: u64) {
        let (prefill, decode) = self.rates();
        let seconds = (to - self.now) as f64 / SECOND as f64;
        let slots = self.slots();
        let model = matches!(self.kind, EngineKind::Model(_));
        for stream in self.streams.iter_mut().take(slots) {
            if let Some(left) = &mut stream.prefill_left {
                let done = (prefill * seconds).min(*left);
                *left -= done;
                stream.computed += done;
                self.prefilled += done;
            } else {
                let done = (decode * seconds).min(stream.decode_left);
                stream.decode_left -= done;
                if model {
                    stream.produced += done;
                }
            }
        }
        self.now = to;
    }

    /// Emits events for the phases that are complete.
    fn finish_phases(&mut self, events: &mut Vec<EngineEvent>) {
        let slots = self.slots();
        let model = matches!(self.kind, EngineKind::Model(_));
        let mut done = Vec::new();
        let mut poisoned = false;
        for stream in self.streams.iter_mut().take(slots) {
            if stream.prefill_left.is_some_and(|left| left <= WORK_EPSILON) {
                stream.prefill_left = None;
                poisoned |= stream.work.poison;
                for block in &stream.work.shared_blocks {
                    self.cache.insert(*block, BLOCK_TOKENS);
                }
                events.push(EngineEvent::FirstToken(stream.work.attempt));
            } else if stream.prefill_left.is_none() && stream.decode_left <= WORK_EPSILON {
                // Without rounding, floating-point error could lose the last token.
                stream.produced = if model { stream.produced.round() } else { 0.0 };
                done.push(stream.work.attempt);
            }
        }
        if poisoned {
            events.push(EngineEvent::Crashed);
            return;
        }
        for attempt in done {
            if let Some(ended) = self.cancel(attempt) {
                events.push(EngineEvent::Done(ended));
            }
        }
    }

    /// Emits a crash if the streams exceed the memory limit or the limit of a cold engine.
    fn check_overload(&mut self, events: &mut Vec<EngineEvent>) {
        let EngineKind::Model(spec) = self.kind else {
            return;
        };
        let crashed = matches!(events.last(), Some(EngineEvent::Crashed));
        if !self.up || crashed {
            return;
        }
        let running = self.streams.iter().take(spec.slots);
        let memory: f64 = running.map(Stream::memory).sum();
        let mut crash =
            memory > CRASH_MEMORY_RATIO * spec.memory_tokens as f64 && self.streams.len() > 1;
        if self.is_cold() {
            let excess = self.streams.len().saturating_sub(spec.cold_streams);
            self.cold_excess = self.cold_excess.max(excess);
            crash |= excess > 1;
        }
        if crash {
            events.push(EngineEvent::Crashed);
        }
    }

    fn end_stream(&mut self, stream: &Stream) -> EndedAttempt {
        if let EngineKind::Model(_) = self.kind
            && stream.prefill_left.is_none()
            && stream.started
        {
            let work = &stream.work;
            let tokens = work.own_tokens + work.offset + stream.produced as u64;
            self.cache.insert(own_key(work.attempt), tokens);
        }
        stream.ended()
    }
}

impl Stream {
    /// Returns the tokens in memory for the stream. Shared blocks are part of the prefix cache.
    fn memory(&self) -> f64 {
        let own_tokens = (self.work.own_tokens + self.work.offset) as f64;
        (own_tokens - self.prefill_left.unwrap_or(0.0)).max(0.0) + self.produced
    }

    fn ended(&self) -> EndedAttempt {
        EndedAttempt {
            attempt: self.work.attempt,
            produced: self.produced as u64,
            computed: self.computed,
            started: self.started,
            batch: self.work.batch,
        }
    }
}

/// Returns the cache key for the unshared part of a prompt.
fn own_key(attempt: AttemptId) -> u64 {
    // Hashes of shared blocks have the top bit clear.
    (1 << 63) | attempt.request.0 as u64
}
