use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

use ebonylug_core::{EngineReport, Fingerprint};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

use super::cache::{Cache, block_hashes};
use super::chat::ChatRequest;
use super::settings::{EngineFaults, EngineSettings, StallMode};
use crate::lag::Lagged;
use crate::net::Net;
use crate::runs::{RunCounts, count};

/// A model as the engine has loaded it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// The name of the model.
    pub id: Box<str>,
    /// Its version.
    pub version: Box<str>,
}

/// An order to an engine: `{"fence": 3, "load": {"id": "m", "version": "2"}}` or
/// `{"fence": 3, "role": "prefill"}`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineOrder {
    /// The fencing number of the one who gives the order.
    pub fence: u64,
    /// The model to load.
    pub load: Option<LoadedModel>,
    /// The role to take.
    pub role: Option<Box<str>>,
}

/// The state that all requests of an engine share.
pub(super) struct State {
    pub(super) settings: EngineSettings,
    pub(super) net: Arc<Net>,
    inner: Mutex<Inner>,
}

pub(super) struct Inner {
    pub(super) faults: EngineFaults,
    pub(super) runs: RunCounts,
    pub(super) models: Vec<LoadedModel>,
    pub(super) role: Box<str>,
    /// The orders that were applied.
    pub(super) orders: Vec<EngineOrder>,
    pub(super) cache: Cache,
    pub(super) load: Lagged<EngineReport>,
    pub(super) report: EngineReport,
    pub(super) up: bool,
    pub(super) prefilling: u32,
    life: Life,
    /// The end of the cold start.
    warm: Instant,
    /// Requests since the faults were set.
    seen: u64,
    rng: StdRng,
}

/// One life of the engine, from a start to a crash.
#[derive(Clone)]
pub(super) struct Life {
    pub(super) ended: CancellationToken,
    pub(super) slots: Arc<Semaphore>,
}

/// What is to happen to a request.
pub(super) enum Decision {
    Run(Admitted),
    /// The engine answers with an error.
    Fail,
    /// The engine crashes, because it is cold.
    Crash,
    /// The engine is down.
    Down,
    /// The model is not loaded.
    NoModel,
}

/// A request that the engine has taken.
pub(super) struct Admitted {
    pub(super) life: Life,
    pub(super) model: LoadedModel,
    /// Factor on the times of the request.
    pub(super) slowdown: f64,
    /// Whether the connection breaks after half of the answer.
    pub(super) cut: bool,
    pub(super) poison: bool,
}

impl State {
    pub(super) fn new(settings: EngineSettings, net: Arc<Net>) -> Self {
        let now = Instant::now();
        let report = EngineReport {
            epoch: 1,
            ..EngineReport::default()
        };
        let models = settings.models.iter().map(|id| LoadedModel {
            id: id.clone(),
            version: settings.version.clone(),
        });
        let capacity = settings.cache_tokens as usize / settings.cache_block;
        let inner = Inner {
            faults: EngineFaults::default(),
            runs: RunCounts::default(),
            models: models.collect(),
            role: settings.role.clone(),
            orders: Vec::new(),
            cache: Cache::new(capacity, settings.time(settings.cache_lag)),
            load: Lagged::new(settings.time(settings.load_lag), now, report),
            report,
            up: true,
            prefilling: 0,
            life: Life::new(settings.slots),
            warm: match settings.warm_start {
                true => now,
                false => now + settings.time(settings.cold_time),
            },
            seen: 0,
            rng: StdRng::seed_from_u64(settings.seed),
        };
        State {
            settings,
            net,
            inner: Mutex::new(inner),
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("engine lock poisoned")
    }

    /// Decides about a request that has arrived.
    pub(super) fn admit(
        &self,
        request: &ChatRequest,
        attempt: Option<&str>,
        offset: Option<u64>,
    ) -> Decision {
        let mut inner = self.lock();
        if !inner.up {
            return Decision::Down;
        }
        let wanted = request.model.as_deref();
        let mut models = inner.models.iter();
        let Some(model) = models
            .find(|m| wanted.is_none_or(|id| id == &*m.id))
            .cloned()
        else {
            return Decision::NoModel;
        };
        inner.runs.total += 1;
        // A request to resume an attempt that the engine has seen continues it, also from its start.
        let seen = attempt.is_some_and(|attempt| inner.runs.attempts.contains_key(attempt));
        inner
            .runs
            .attempt(attempt, offset.is_some_and(|offset| offset > 0 || seen));
        count(&mut inner.runs.bodies, &request.fingerprint().to_string());
        let load = inner.report.running + inner.report.waiting;
        inner.runs.peak = inner.runs.peak.max(load + 1);
        if Instant::now() < inner.warm {
            inner.runs.cold_peak = inner.runs.cold_peak.max(load + 1);
            if load >= self.settings.cold_streams {
                return Decision::Crash;
            }
        }
        inner.seen += 1;
        let hit = inner.selects(&model, load);
        let (fail_rate, cut_rate) = (inner.faults.fail_rate, inner.faults.cut_rate);
        if hit && inner.rng.random_bool(fail_rate) {
            inner.runs.failed += 1;
            return Decision::Fail;
        }
        let prompt = request.prompt();
        let poison = inner.faults.poison.as_deref();
        Decision::Run(Admitted {
            life: inner.life.clone(),
            model,
            slowdown: if hit { inner.faults.slowdown } else { 1.0 },
            poison: poison.is_some_and(|marker| prompt.contains(marker)),
            cut: hit && inner.rng.random_bool(cut_rate),
        })
    }

    /// Ends the engine's life, and starts the next one after the time down.
    pub(super) fn crash(self: &Arc<State>, spared: Option<SocketAddr>) {
        {
            let mut inner = self.lock();
            if !inner.up {
                return;
            }
            inner.up = false;
            inner.runs.crashes += 1;
            inner.life.ended.cancel();
        }
        self.net.close(spared);
        let state = self.clone();
        let down = self.settings.time(self.settings.down_time);
        self.net.spawn(async move {
            tokio::time::sleep(down).await;
            state.start();
        });
    }

    /// Makes the engine cold without a crash, as an engine that has dropped its caches.
    pub(super) fn make_cold(&self) {
        let mut inner = self.lock();
        inner.cache.clear();
        inner.warm = Instant::now() + self.settings.time(self.settings.cold_time);
    }

    pub(super) fn set_faults(self: &Arc<State>, faults: EngineFaults, caller: Option<SocketAddr>) {
        let (crash, make_cold, stall_mode) = (faults.crash, faults.make_cold, faults.stall_mode);
        {
            let mut inner = self.lock();
            inner.seen = 0;
            inner.faults = EngineFaults {
                crash: false,
                make_cold: false,
                ..faults
            };
        }
        if stall_mode != StallMode::None {
            self.net.silence();
        }
        self.net.silence_new(stall_mode == StallMode::All);
        if make_cold {
            self.make_cold();
        }
        if crash {
            self.crash(caller);
        }
    }

    /// Applies an order, or returns the higher fencing number that forbids it.
    pub(super) fn order(self: &Arc<State>, order: EngineOrder) -> Result<(), u64> {
        let mut inner = self.lock();
        let highest = inner.orders.iter().map(|order| order.fence).max();
        let highest = highest.unwrap_or(0);
        if self.settings.check_fence && order.fence < highest {
            return Err(highest);
        }
        if let Some(role) = &order.role {
            inner.role = role.clone();
        }
        let load = order.load.clone();
        inner.orders.push(order);
        drop(inner);
        if let Some(model) = load {
            let state = self.clone();
            let time = self.settings.time(self.settings.load_time);
            self.net.spawn(async move {
                tokio::time::sleep(time).await;
                state.load(model);
            });
        }
        Ok(())
    }

    /// Puts a loaded model in force. Another version empties the caches.
    fn load(&self, model: LoadedModel) {
        let mut inner = self.lock();
        match inner.models.iter_mut().find(|old| old.id == model.id) {
            Some(old) if *old == model => return,
            Some(old) => *old = model,
            None => {
                inner.models.push(model);
                return;
            }
        }
        inner.report.epoch += 1;
        inner.report.hits = 0;
        inner.report.prefilled = 0;
        inner.cache.clear();
        inner.warm = Instant::now() + self.settings.time(self.settings.cold_time);
        inner.changed();
    }

    fn start(&self) {
        let now = Instant::now();
        {
            let mut inner = self.lock();
            inner.report = EngineReport {
                epoch: inner.report.epoch + 1,
                ..EngineReport::default()
            };
            let report = inner.report;
            inner.load.reset(now, report);
            inner.cache.clear();
            inner.prefilling = 0;
            inner.life = Life::new(self.settings.slots);
            inner.warm = now + self.settings.time(self.settings.cold_time);
            inner.up = true;
        }
        if let Err(error) = self.net.open() {
            tracing::warn!("standin: cannot listen again on {}: {error}", self.net.addr);
        }
    }
}

impl Inner {
    /// Records that the report has changed.
    pub(super) fn changed(&mut self) {
        self.load.push(Instant::now(), self.report);
    }

    /// Looks the leading blocks up in the cache, and stores all.
    pub(super) fn prefix(&mut self, blocks: &[Fingerprint], gaps: f64) -> usize {
        let hits = self.cache.hits(blocks);
        let rng = &mut self.rng;
        let lost = || gaps > 0.0 && rng.random_bool(gaps);
        self.cache.store(Instant::now(), blocks, lost);
        hits
    }

    fn selects(&self, model: &LoadedModel, load: u32) -> bool {
        let faults = &self.faults;
        self.seen > faults.skip_first
            && (faults.load_above == 0 || load > faults.load_above)
            && faults.model.as_ref().is_none_or(|id| *id == model.id)
            && faults.version.as_ref().is_none_or(|v| *v == model.version)
    }
}

impl Life {
    fn new(slots: u32) -> Self {
        Life {
            ended: CancellationToken::new(),
            slots: Arc::new(Semaphore::new(slots as usize)),
        }
    }

    fn is(&self, other: &Life) -> bool {
        Arc::ptr_eq(&self.slots, &other.slots)
    }
}

/// A request's place in the engine's counts, which it leaves when it is dropped.
pub(super) struct InFlight {
    pub(super) state: Arc<State>,
    pub(super) life: Life,
    stage: Stage,
    /// The prompt and the output so far.
    pub(super) tokens: Vec<Box<str>>,
}

#[derive(Clone, Copy, PartialEq)]
enum Stage {
    Waiting,
    Prefill,
    Decode,
    Finished,
    Failed,
}

impl InFlight {
    pub(super) fn take(state: Arc<State>, life: Life, tokens: Vec<Box<str>>) -> Self {
        {
            let mut inner = state.lock();
            inner.report.waiting += 1;
            inner.changed();
        }
        InFlight {
            state,
            life,
            stage: Stage::Waiting,
            tokens,
        }
    }

    /// Begins to run, and returns how many prompt tokens are in the cache and how many streams
    /// share the prefill.
    pub(super) fn prefill(&mut self) -> (u64, u32) {
        let settings = &self.state.settings;
        let size = settings.cache_block;
        let blocks: Vec<_> = block_hashes(&self.tokens, size).collect();
        let mut inner = self.state.lock();
        let hits = (inner.prefix(&blocks, settings.cache_gaps) * size) as u64;
        inner.report.waiting -= 1;
        inner.report.running += 1;
        inner.report.hits += hits;
        inner.report.prefilled += self.tokens.len() as u64 - hits;
        inner.prefilling += 1;
        inner.changed();
        let sharing = inner.prefilling;
        drop(inner);
        self.stage = Stage::Prefill;
        (hits, sharing)
    }

    /// Ends the prefill.
    pub(super) fn decode(&mut self) {
        self.stage = Stage::Decode;
        let mut inner = self.state.lock();
        inner.prefilling -= 1;
    }

    /// Returns the streams that run.
    pub(super) fn running(&self) -> u32 {
        self.state.lock().report.running
    }

    pub(super) fn finish(&mut self) {
        self.leave(Stage::Finished);
    }

    pub(super) fn fail(&mut self) {
        self.leave(Stage::Failed);
    }

    fn leave(&mut self, end: Stage) {
        let stage = std::mem::replace(&mut self.stage, end);
        if matches!(stage, Stage::Finished | Stage::Failed) {
            return;
        }
        let settings = &self.state.settings;
        let blocks: Vec<_> = block_hashes(&self.tokens, settings.cache_block).collect();
        let mut inner = self.state.lock();
        match end {
            Stage::Finished => inner.runs.finished += 1,
            Stage::Failed => inner.runs.failed += 1,
            _ => inner.runs.cancelled += 1,
        }
        if !inner.up || !inner.life.is(&self.life) {
            return;
        }
        match stage {
            Stage::Waiting => inner.report.waiting -= 1,
            _ => inner.report.running -= 1,
        }
        match stage {
            Stage::Prefill => inner.prefilling -= 1,
            // The output that was produced is in the cache, so that it can be resumed.
            Stage::Decode => {
                inner.prefix(&blocks, settings.cache_gaps);
            }
            _ => {}
        }
        inner.changed();
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let crashed = self.life.ended.is_cancelled();
        // A stage that counts as neither finished nor failed counts as cancelled.
        self.leave(if crashed {
            Stage::Failed
        } else {
            Stage::Waiting
        });
    }
}
