//! A fake target: a model engine with continuous batching, or a plain service.
//!
//! The model is fluid: streams share the engine, and their speeds change only when a stream
//! starts, ends, or goes from prefill to decoding. Streams in prefill share the prefill rate;
//! when others decode, both get half of the engine. Each decoding stream is slowed by
//! [`Speed::penalty`] for each other one. Above its memory, the engine swaps and slows down by
//! [`SWAP`]; far above, it crashes. A cold engine is slow, slows down strongly with one stream
//! more than it bears, and crashes with two.

use std::collections::VecDeque;

use ebonylug_core::{AttemptId, EngineReport};

use crate::cache::PrefixCache;

/// Microseconds in a second, the unit of virtual time.
pub const SECOND: u64 = 1_000_000;

/// Tokens of one block of the prefix cache.
pub const BLOCK: u64 = 64;

/// The factor on the speed while the streams need more memory than there is.
const SWAP: f64 = 0.2;
/// The multiple of the memory at which the engine crashes.
const CRASH_MEMORY: f64 = 1.3;
/// The factor on the speed of a cold engine.
const COLD_SPEED: f64 = 0.25;
/// The factor on the speed of a cold engine with one stream more than it bears.
const COLD_OVERLOAD: f64 = 0.125;
/// The part of the engine that prefill gets while other streams decode.
const PREFILL_PART: f64 = 0.5;
/// Work below which a phase counts as done.
const DONE: f64 = 1e-6;

/// How fast a model engine is, and what it bears.
#[derive(Clone, Copy, Debug)]
pub struct Speed {
    /// The generation's factor on all rates: 1, 2 or 4.
    pub factor: f64,
    /// Prompt tokens per second at factor 1.
    pub prefill: f64,
    /// Output tokens per second of a lone stream at factor 1.
    pub decode: f64,
    /// The part by which each further stream slows all decoding streams down.
    pub penalty: f64,
    /// Streams that run at once; others wait inside the engine in order of arrival.
    pub slots: usize,
    /// Tokens that the running streams may hold.
    pub memory: u64,
    /// Tokens that the prefix cache holds.
    pub cache: u64,
    /// Streams that the engine bears while it is cold.
    pub cold_streams: usize,
}

impl Speed {
    /// Returns the highest output rate of the engine at factor 1: all slots decode.
    #[must_use]
    pub fn peak(&self) -> f64 {
        let streams = self.slots as f64;
        streams * self.decode / (1.0 + self.penalty * (streams - 1.0))
    }
}

/// What a fake target is.
#[derive(Clone, Copy, Debug)]
pub enum Kind {
    /// A model engine.
    Model(Speed),
    /// A plain service that runs this many calls at once.
    Service {
        /// Calls that run at once; others wait in order of arrival.
        concurrency: usize,
    },
}

/// The work of one attempt.
#[derive(Clone, Debug)]
pub struct Work {
    /// The attempt.
    pub attempt: AttemptId,
    /// Prompt tokens, without those of shared blocks.
    pub own: u64,
    /// Blocks of the prompt that other requests share.
    pub shared: Vec<u64>,
    /// Output tokens, for a service the time of the call in microseconds.
    pub output: u64,
    /// Output tokens that an earlier attempt has produced.
    pub offset: u64,
    /// Whether the request crashes the engine at the end of its prefill.
    pub poison: bool,
    /// Whether the request belongs to a batch tier.
    pub batch: bool,
}

/// One attempt inside the target.
#[derive(Clone, Debug)]
pub struct Stream {
    /// Its work.
    pub work: Work,
    /// Prompt tokens that are still to be computed; nothing once the first token is out.
    prefill: Option<f64>,
    decode: f64,
    produced: f64,
    told: u64,
    computed: f64,
    started: bool,
}

/// What happened inside the target.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineEvent {
    /// The prefill of an attempt has ended.
    FirstToken(AttemptId),
    /// An attempt has its whole answer.
    Done(Ended),
    /// The target crashed; everything inside is lost.
    Crashed,
}

/// An attempt that left the target.
#[derive(Clone, Debug, PartialEq)]
pub struct Ended {
    /// The attempt.
    pub attempt: AttemptId,
    /// Output tokens of this attempt.
    pub produced: u64,
    /// Prompt tokens that were computed for it.
    pub computed: f64,
    /// Whether the engine has begun to work on it.
    pub started: bool,
    /// Whether it belongs to a batch tier.
    pub batch: bool,
}

/// A fake target.
#[derive(Clone, Debug)]
pub struct Engine {
    kind: Kind,
    now: u64,
    up: bool,
    cold_until: u64,
    epoch: u64,
    streams: VecDeque<Stream>,
    cache: PrefixCache,
    hits: f64,
    prefilled: f64,
    /// A factor on the speed, for faults and bad versions.
    pub slow: f64,
    cold_excess: usize,
}

impl Engine {
    /// Creates a target that is up and warm.
    #[must_use]
    pub fn new(kind: Kind) -> Self {
        let cache = match kind {
            Kind::Model(speed) => speed.cache,
            Kind::Service { .. } => 0,
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
            slow: 1.0,
            cold_excess: 0,
        }
    }

    /// Reports whether the target accepts work.
    #[must_use]
    pub fn is_up(&self) -> bool {
        self.up
    }

    /// Reports whether the target is in cold start.
    #[must_use]
    pub fn is_cold(&self) -> bool {
        self.now < self.cold_until
    }

    /// Returns the attempts inside the target.
    #[must_use]
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Reports whether nothing is inside the target.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    /// Returns the highest number of streams above what the cold target bears.
    #[must_use]
    pub fn cold_excess(&self) -> usize {
        self.cold_excess
    }

    /// Returns what the engine tells about itself.
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

    /// Takes an attempt in. The engine has no notion of priority.
    pub fn start(&mut self, work: Work, events: &mut Vec<EngineEvent>) {
        let decode = match self.kind {
            Kind::Model(_) => work.output.saturating_sub(work.offset).max(1),
            Kind::Service { .. } => work.output,
        };
        self.streams.push_back(Stream {
            prefill: None,
            decode: decode as f64,
            produced: 0.0,
            told: 0,
            computed: 0.0,
            started: false,
            work,
        });
        self.fill_slots();
        self.check(events);
    }

    /// Takes an attempt out.
    pub fn cancel(&mut self, attempt: AttemptId) -> Option<Ended> {
        let place = self.place(attempt)?;
        let stream = self.streams.remove(place)?;
        let ended = self.end(&stream);
        self.fill_slots();
        Some(ended)
    }

    /// Reports whether an attempt is inside.
    #[must_use]
    pub fn contains(&self, attempt: AttemptId) -> bool {
        self.place(attempt).is_some()
    }

    /// Returns the output tokens since the last call, by attempt.
    pub fn progress(&mut self) -> Vec<(AttemptId, u64)> {
        let mut progress = Vec::new();
        for stream in &mut self.streams {
            let new = stream.produced as u64 - stream.told;
            if new > 0 {
                stream.told += new;
                progress.push((stream.work.attempt, new));
            }
        }
        progress
    }

    /// Moves the target to `to`.
    pub fn advance(&mut self, to: u64, events: &mut Vec<EngineEvent>) {
        while self.up && self.now < to {
            let next = self.next_event().map_or(to, |next| next.min(to));
            self.work(next);
            self.settle(events);
            self.check(events);
        }
        self.now = self.now.max(to);
    }

    /// Returns when the next phase of a stream ends, if nothing else happens.
    #[must_use]
    pub fn next_event(&self) -> Option<u64> {
        if !self.up || self.streams.is_empty() {
            return None;
        }
        let (prefill, decode) = self.rates();
        let running = self.streams.iter().take(self.slots());
        let time = running
            .map(|s| s.prefill.map_or(s.decode / decode, |left| left / prefill))
            .fold(f64::INFINITY, f64::min);
        let phase = self.now + (time * SECOND as f64).ceil().max(1.0) as u64;
        // A stalled engine is looked at again, so that the end of a cold start is not missed.
        let cold = self.is_cold().then_some(self.cold_until);
        Some(
            phase
                .min(cold.unwrap_or(u64::MAX))
                .min(self.now + 60 * SECOND),
        )
    }

    /// Ends the life of the target; returns what was inside.
    pub fn crash(&mut self) -> Vec<Ended> {
        self.up = false;
        self.cache.clear();
        let streams = std::mem::take(&mut self.streams);
        streams.iter().map(Stream::ended).collect()
    }

    /// Starts the target again, cold for a time.
    pub fn restart(&mut self, cold: u64) {
        self.up = true;
        self.epoch += 1;
        self.hits = 0.0;
        self.prefilled = 0.0;
        self.make_cold(cold);
    }

    /// Makes the target cold without notice: what is inside stays, the cache is lost.
    pub fn make_cold(&mut self, time: u64) {
        if let Kind::Model(_) = self.kind {
            self.cold_until = self.now + time;
            self.cache.clear();
        }
    }

    fn place(&self, attempt: AttemptId) -> Option<usize> {
        self.streams.iter().position(|s| s.work.attempt == attempt)
    }

    fn slots(&self) -> usize {
        match self.kind {
            Kind::Model(speed) => speed.slots,
            Kind::Service { concurrency } => concurrency,
        }
    }

    /// Begins to work on streams that have a slot; looks up what the cache has of their prompts.
    fn fill_slots(&mut self) {
        let slots = self.slots();
        let model = matches!(self.kind, Kind::Model(_));
        for stream in self.streams.iter_mut().take(slots) {
            if stream.started {
                continue;
            }
            stream.started = true;
            if !model {
                continue;
            }
            let work = &stream.work;
            let mut hit = 0;
            for block in &work.shared {
                match self.cache.get(*block) {
                    Some(tokens) => hit += tokens,
                    None => break,
                }
            }
            let shared = work.shared.len() as u64 * BLOCK;
            let own = work.own + work.offset;
            if hit == shared {
                hit += self.cache.get(own_key(work.attempt)).unwrap_or(0).min(own);
            }
            // The last token is computed in any case.
            stream.prefill = Some((shared + own).saturating_sub(hit).max(1) as f64);
            self.hits += hit as f64;
        }
    }

    /// Returns the speed of each stream in prefill and of each one that decodes.
    fn rates(&self) -> (f64, f64) {
        let Kind::Model(speed) = self.kind else {
            return (1.0, SECOND as f64 * self.slow);
        };
        let running = self.streams.iter().take(speed.slots);
        let (mut prefills, mut decodes, mut memory) = (0.0, 0.0, 0.0);
        for stream in running {
            memory += stream.memory();
            if stream.prefill.is_some() {
                prefills += 1.0;
            } else {
                decodes += 1.0;
            }
        }
        let mut factor = speed.factor * self.slow;
        if memory > speed.memory as f64 {
            factor *= SWAP;
        }
        if self.is_cold() {
            factor *= COLD_SPEED;
            if self.streams.len() > speed.cold_streams {
                factor *= COLD_OVERLOAD;
            }
        }
        let (prefill_part, decode_part) = match (prefills > 0.0, decodes > 0.0) {
            (true, true) => (PREFILL_PART, 1.0 - PREFILL_PART),
            _ => (1.0, 1.0),
        };
        let prefill = speed.prefill * prefill_part / f64::max(prefills, 1.0);
        let slowdown = 1.0 + speed.penalty * f64::max(decodes - 1.0, 0.0);
        let decode = speed.decode * decode_part / slowdown;
        (prefill * factor, decode * factor)
    }

    fn work(&mut self, to: u64) {
        let (prefill, decode) = self.rates();
        let seconds = (to - self.now) as f64 / SECOND as f64;
        let slots = self.slots();
        let model = matches!(self.kind, Kind::Model(_));
        for stream in self.streams.iter_mut().take(slots) {
            if let Some(left) = &mut stream.prefill {
                let done = (prefill * seconds).min(*left);
                *left -= done;
                stream.computed += done;
                self.prefilled += done;
            } else {
                let done = (decode * seconds).min(stream.decode);
                stream.decode -= done;
                if model {
                    stream.produced += done;
                }
            }
        }
        self.now = to;
    }

    /// Ends the phases that are done.
    fn settle(&mut self, events: &mut Vec<EngineEvent>) {
        let slots = self.slots();
        let model = matches!(self.kind, Kind::Model(_));
        let mut done = Vec::new();
        let mut poisoned = false;
        for stream in self.streams.iter_mut().take(slots) {
            if stream.prefill.is_some_and(|left| left <= DONE) {
                stream.prefill = None;
                poisoned |= stream.work.poison;
                for block in &stream.work.shared {
                    self.cache.insert(*block, BLOCK);
                }
                events.push(EngineEvent::FirstToken(stream.work.attempt));
            } else if stream.prefill.is_none() && stream.decode <= DONE {
                // Rounding must not lose the last token.
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

    /// Crashes the target if it holds more than it bears.
    fn check(&mut self, events: &mut Vec<EngineEvent>) {
        let Kind::Model(speed) = self.kind else {
            return;
        };
        let crashed = matches!(events.last(), Some(EngineEvent::Crashed));
        if !self.up || crashed {
            return;
        }
        let running = self.streams.iter().take(speed.slots);
        let memory: f64 = running.map(Stream::memory).sum();
        let mut crash = memory > CRASH_MEMORY * speed.memory as f64 && self.streams.len() > 1;
        if self.is_cold() {
            let excess = self.streams.len().saturating_sub(speed.cold_streams);
            self.cold_excess = self.cold_excess.max(excess);
            crash |= excess > 1;
        }
        if crash {
            events.push(EngineEvent::Crashed);
        }
    }

    fn end(&mut self, stream: &Stream) -> Ended {
        if let Kind::Model(_) = self.kind
            && stream.prefill.is_none()
            && stream.started
        {
            let work = &stream.work;
            let tokens = work.own + work.offset + stream.produced as u64;
            self.cache.insert(own_key(work.attempt), tokens);
        }
        stream.ended()
    }
}

impl Stream {
    /// Returns the tokens that the stream holds. Shared blocks lie in the prefix cache.
    fn memory(&self) -> f64 {
        let own = (self.work.own + self.work.offset) as f64;
        (own - self.prefill.unwrap_or(0.0)).max(0.0) + self.produced
    }

    fn ended(&self) -> Ended {
        Ended {
            attempt: self.work.attempt,
            produced: self.produced as u64,
            computed: self.computed,
            started: self.started,
            batch: self.work.batch,
        }
    }
}

/// The key of the part of a prompt that no other request shares.
fn own_key(attempt: AttemptId) -> u64 {
    // Shared blocks have the top bit clear.
    (1 << 63) | attempt.request.0 as u64
}
