use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

use ebonylug_core::{EngineReport, Fingerprint};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

use super::cache::{PrefixCache, block_hashes};
use super::chat::ChatRequest;
use super::settings::{EngineFaults, EngineSettings, StallMode};
use crate::lag::Lagged;
use crate::net::Sockets;
use crate::runs::{RunCounts, count};

/// A loaded model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// The name of the model.
    pub id: Box<str>,
    /// The version of the model.
    pub version: Box<str>,
}

/// An order to an engine: `{"fence": 3, "load": {"id": "m", "version": "2"}}` or
/// `{"fence": 3, "role": "prefill"}`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineOrder {
    /// The fencing token of the sender.
    pub fence: u64,
    /// The model to load.
    pub load: Option<LoadedModel>,
    /// The new role.
    pub role: Option<Box<str>>,
}

/// The state shared by all requests of an engine.
pub(super) struct State {
    pub(super) settings: EngineSettings,
    pub(super) sockets: Arc<Sockets>,
    inner: Mutex<Inner>,
}

pub(super) struct Inner {
    pub(super) faults: EngineFaults,
    pub(super) runs: RunCounts,
    pub(super) models: Vec<LoadedModel>,
    pub(super) role: Box<str>,
    /// The applied orders in order of arrival.
    pub(super) orders: Vec<EngineOrder>,
    pub(super) cache: PrefixCache,
    pub(super) load: Lagged<EngineReport>,
    pub(super) report: EngineReport,
    pub(super) up: bool,
    pub(super) prefilling: u32,
    incarnation: Incarnation,
    /// When the cold start ends.
    warm_at: Instant,
    /// Number of requests since the faults were set.
    request_count: u64,
    rng: StdRng,
}

/// One run of the engine process, from a start to a crash.
#[derive(Clone)]
pub(super) struct Incarnation {
    pub(super) ended: CancellationToken,
    pub(super) slots: Arc<Semaphore>,
}

/// How the engine handles a new request.
pub(super) enum Decision {
    Admit(Admitted),
    /// Responds with an injected error.
    Fail,
    /// Crashes because of too many streams during a cold start.
    Crash,
    /// Aborts the connection because the engine is down.
    Down,
    /// Responds with 404 because the model is not loaded.
    NoModel,
}

/// An admitted request.
pub(super) struct Admitted {
    pub(super) incarnation: Incarnation,
    pub(super) model: LoadedModel,
    /// Factor applied to the prefill and decode times of the request.
    pub(super) slowdown: f64,
    /// Whether the connection is aborted halfway through the output.
    pub(super) cut: bool,
    /// Whether the engine crashes at the end of the prefill.
    pub(super) poison: bool,
}

impl State {
    pub(super) fn new(settings: EngineSettings, sockets: Arc<Sockets>) -> Self {
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
            cache: PrefixCache::new(capacity, settings.scaled(settings.cache_lag)),
            load: Lagged::new(settings.scaled(settings.load_lag), now, report),
            report,
            up: true,
            prefilling: 0,
            incarnation: Incarnation::new(settings.slots),
            warm_at: match settings.warm_start {
                true => now,
                false => now + settings.scaled(settings.cold_time),
            },
            request_count: 0,
            rng: StdRng::seed_from_u64(settings.seed),
        };
        State {
            settings,
            sockets,
            inner: Mutex::new(inner),
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("engine lock poisoned")
    }

    /// Decides how a new request is handled, and counts it.
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
        // A resume request for a known attempt continues that attempt, even from offset 0.
        let seen = attempt.is_some_and(|attempt| inner.runs.attempts.contains_key(attempt));
        inner
            .runs
            .record_attempt(attempt, offset.is_some_and(|offset| offset > 0 || seen));
        count(&mut inner.runs.bodies, &request.fingerprint().to_string());
        let load = inner.report.running + inner.report.waiting;
        inner.runs.peak = inner.runs.peak.max(load + 1);
        if Instant::now() < inner.warm_at {
            inner.runs.cold_peak = inner.runs.cold_peak.max(load + 1);
            if load >= self.settings.cold_streams {
                return Decision::Crash;
            }
        }
        inner.request_count += 1;
        let affected = inner.faults_apply(&model, load);
        let (fail_rate, cut_rate) = (inner.faults.fail_rate, inner.faults.cut_rate);
        if affected && inner.rng.random_bool(fail_rate) {
            inner.runs.failed += 1;
            return Decision::Fail;
        }
        let prompt = request.prompt();
        let poison = inner.faults.poison.as_deref();
        Decision::Admit(Admitted {
            incarnation: inner.incarnation.clone(),
            model,
            slowdown: if affected { inner.faults.slowdown } else { 1.0 },
            poison: poison.is_some_and(|poison_text| prompt.contains(poison_text)),
            cut: affected && inner.rng.random_bool(cut_rate),
        })
    }

    /// Ends the current incarnation, aborts all connections except the one with the peer `except`,
    /// and starts the next incarnation after `down_time`.
    pub(super) fn crash(self: &Arc<State>, except: Option<SocketAddr>) {
        {
            let mut inner = self.lock();
            if !inner.up {
                return;
            }
            inner.up = false;
            inner.runs.crashes += 1;
            inner.incarnation.ended.cancel();
        }
        self.sockets.close(except);
        let state = self.clone();
        let down = self.settings.scaled(self.settings.down_time);
        self.sockets.spawn(async move {
            tokio::time::sleep(down).await;
            state.restart();
        });
    }

    /// Begins a cold start without a crash, as an engine does that has lost its caches.
    pub(super) fn make_cold(&self) {
        let mut inner = self.lock();
        inner.cache.clear();
        inner.warm_at = Instant::now() + self.settings.scaled(self.settings.cold_time);
    }

    pub(super) fn set_faults(self: &Arc<State>, faults: EngineFaults, sender: Option<SocketAddr>) {
        let (crash, make_cold, stall_mode) = (faults.crash, faults.make_cold, faults.stall_mode);
        {
            let mut inner = self.lock();
            inner.request_count = 0;
            inner.faults = EngineFaults {
                crash: false,
                make_cold: false,
                ..faults
            };
        }
        if stall_mode != StallMode::None {
            self.sockets.stall_open();
        }
        self.sockets.stall_new(stall_mode == StallMode::All);
        if make_cold {
            self.make_cold();
        }
        if crash {
            self.crash(sender);
        }
    }

    /// Applies an order, or returns the highest applied fencing token if the order's is stale.
    pub(super) fn apply_order(self: &Arc<State>, order: EngineOrder) -> Result<(), u64> {
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
            let time = self.settings.scaled(self.settings.load_time);
            self.sockets.spawn(async move {
                tokio::time::sleep(time).await;
                state.install_model(model);
            });
        }
        Ok(())
    }

    /// Makes a loaded model available. A changed version clears the prefix cache, resets the
    /// counters of the report with a new epoch, and begins a cold start.
    fn install_model(&self, model: LoadedModel) {
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
        inner.warm_at = Instant::now() + self.settings.scaled(self.settings.cold_time);
        inner.record_report();
    }

    fn restart(&self) {
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
            inner.incarnation = Incarnation::new(self.settings.slots);
            inner.warm_at = now + self.settings.scaled(self.settings.cold_time);
            inner.up = true;
        }
        if let Err(error) = self.sockets.open() {
            tracing::warn!(
                "standin: cannot listen again on {}: {error}",
                self.sockets.addr
            );
        }
    }
}

impl Inner {
    /// Records the current report for `/load`.
    pub(super) fn record_report(&mut self) {
        self.load.push(Instant::now(), self.report);
    }

    /// Returns the number of leading blocks that are in the cache, and stores all blocks.
    pub(super) fn cache_prefix(&mut self, blocks: &[Fingerprint], gaps: f64) -> usize {
        let hits = self.cache.look_up(blocks);
        let rng = &mut self.rng;
        let drop_event = || gaps > 0.0 && rng.random_bool(gaps);
        self.cache.store(Instant::now(), blocks, drop_event);
        hits
    }

    /// Returns whether the failure rates and the slowdown apply to a request.
    fn faults_apply(&self, model: &LoadedModel, load: u32) -> bool {
        let faults = &self.faults;
        self.request_count > faults.skip_first
            && (faults.load_above == 0 || load > faults.load_above)
            && faults.model.as_ref().is_none_or(|id| *id == model.id)
            && faults.version.as_ref().is_none_or(|v| *v == model.version)
    }
}

impl Incarnation {
    fn new(slots: u32) -> Self {
        Incarnation {
            ended: CancellationToken::new(),
            slots: Arc::new(Semaphore::new(slots as usize)),
        }
    }

    fn is_same(&self, other: &Incarnation) -> bool {
        Arc::ptr_eq(&self.slots, &other.slots)
    }
}

/// Counts a request in the report as waiting or running. Dropping it removes the request and
/// records its outcome.
pub(super) struct InFlight {
    pub(super) state: Arc<State>,
    pub(super) incarnation: Incarnation,
    stage: Stage,
    /// The prompt tokens followed by the output tokens so far.
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
    pub(super) fn enqueue(
        state: Arc<State>,
        incarnation: Incarnation,
        tokens: Vec<Box<str>>,
    ) -> Self {
        {
            let mut inner = state.lock();
            inner.report.waiting += 1;
            inner.record_report();
        }
        InFlight {
            state,
            incarnation,
            stage: Stage::Waiting,
            tokens,
        }
    }

    /// Starts the prefill. Returns the number of cached tokens and the number of streams in
    /// prefill.
    pub(super) fn begin_prefill(&mut self) -> (u64, u32) {
        let settings = &self.state.settings;
        let size = settings.cache_block;
        let blocks: Vec<_> = block_hashes(&self.tokens, size).collect();
        let mut inner = self.state.lock();
        let hits = (inner.cache_prefix(&blocks, settings.cache_gaps) * size) as u64;
        inner.report.waiting -= 1;
        inner.report.running += 1;
        inner.report.hits += hits;
        inner.report.prefilled += self.tokens.len() as u64 - hits;
        inner.prefilling += 1;
        inner.record_report();
        let sharing = inner.prefilling;
        drop(inner);
        self.stage = Stage::Prefill;
        (hits, sharing)
    }

    /// Ends the prefill and starts the decode stage.
    pub(super) fn begin_decode(&mut self) {
        self.stage = Stage::Decode;
        let mut inner = self.state.lock();
        inner.prefilling -= 1;
    }

    /// Returns the number of running streams.
    pub(super) fn running(&self) -> u32 {
        self.state.lock().report.running
    }

    pub(super) fn finish(&mut self) {
        self.end(Stage::Finished);
    }

    pub(super) fn fail(&mut self) {
        self.end(Stage::Failed);
    }

    fn end(&mut self, final_stage: Stage) {
        let stage = std::mem::replace(&mut self.stage, final_stage);
        if matches!(stage, Stage::Finished | Stage::Failed) {
            return;
        }
        let settings = &self.state.settings;
        let blocks: Vec<_> = block_hashes(&self.tokens, settings.cache_block).collect();
        let mut inner = self.state.lock();
        match final_stage {
            Stage::Finished => inner.runs.finished += 1,
            Stage::Failed => inner.runs.failed += 1,
            _ => inner.runs.cancelled += 1,
        }
        if !inner.up || !inner.incarnation.is_same(&self.incarnation) {
            return;
        }
        match stage {
            Stage::Waiting => inner.report.waiting -= 1,
            _ => inner.report.running -= 1,
        }
        match stage {
            Stage::Prefill => inner.prefilling -= 1,
            // The produced output is cached, so that a resumed request can reuse it.
            Stage::Decode => {
                inner.cache_prefix(&blocks, settings.cache_gaps);
            }
            _ => {}
        }
        inner.record_report();
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let crashed = self.incarnation.ended.is_cancelled();
        // Every stage other than `Finished` and `Failed` counts as cancelled.
        self.end(if crashed {
            Stage::Failed
        } else {
            Stage::Waiting
        });
    }
}
