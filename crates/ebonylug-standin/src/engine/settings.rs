use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{Error, Result, loopback};

/// How a fake engine starts. All times are multiplied by `scale`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// The address to listen on; port 0 chooses a free port.
    pub listen: SocketAddr,
    /// Sent in the header `x-engine` of each answer.
    pub name: Box<str>,
    /// The models that are loaded at the start.
    pub models: Vec<Box<str>>,
    /// The version of these models.
    pub version: Box<str>,
    /// The role at the start; orders change it, and nothing else depends on it.
    pub role: Box<str>,
    /// Factor on all times; 0.01 makes the engine a hundred times faster.
    pub scale: f64,
    /// Prompt tokens per second, shared by the streams in prefill.
    pub prefill_rate: f64,
    /// Output tokens per second of a stream that runs alone.
    pub decode_rate: f64,
    /// By which part each further stream slows all streams down.
    pub batch_penalty: f64,
    /// Streams that run at once; others wait in order of arrival.
    pub slots: u32,
    /// Tokens that the prefix cache holds.
    pub cache_tokens: u64,
    /// Tokens of a block of the prefix cache.
    pub cache_block: usize,
    /// How long `/load` lags behind, in milliseconds.
    pub load_lag: u64,
    /// How long `/cache-events` lags behind, in milliseconds.
    pub cache_lag: u64,
    /// The part of the cache events that is lost, from 0 to 1.
    pub cache_gaps: f64,
    /// How long a cold start lasts, in milliseconds.
    #[serde(rename = "cold")]
    pub cold_time: u64,
    /// Whether the engine is warm when the fake starts. After a crash it is always cold.
    pub warm_start: bool,
    /// Streams that the engine bears in cold start. One more crashes it.
    pub cold_streams: u32,
    /// How long the engine is down after a crash, in milliseconds.
    #[serde(rename = "down")]
    pub down_time: u64,
    /// How long it takes to load a model, in milliseconds.
    pub load_time: u64,
    /// Whether an order with an old fencing number is refused.
    pub check_fence: bool,
    /// Seed of the failures and of the gaps in cache events.
    pub seed: u64,
    /// The faults at the start.
    pub faults: EngineFaults,
}

impl Default for EngineSettings {
    fn default() -> Self {
        EngineSettings {
            listen: loopback(),
            name: "engine".into(),
            models: vec!["standin".into()],
            version: "1".into(),
            role: "mixed".into(),
            scale: 1.0,
            prefill_rate: 8000.0,
            decode_rate: 60.0,
            batch_penalty: 0.05,
            slots: 32,
            cache_tokens: 100_000,
            cache_block: 16,
            load_lag: 500,
            cache_lag: 1000,
            cache_gaps: 0.0,
            cold_time: 0,
            warm_start: false,
            cold_streams: 2,
            down_time: 1000,
            load_time: 0,
            check_fence: true,
            seed: 1,
            faults: EngineFaults::default(),
        }
    }
}

impl EngineSettings {
    /// Returns the time between two output tokens of a stream when `running` streams run.
    #[must_use]
    pub fn token_time(&self, running: u32) -> Duration {
        let others = f64::from(running.saturating_sub(1));
        let seconds = (1.0 + self.batch_penalty * others) / self.decode_rate;
        Duration::from_secs_f64(seconds * self.scale)
    }

    /// Returns the time to compute `tokens` of a prompt when `sharing` streams are in prefill.
    #[must_use]
    pub fn prefill_time(&self, tokens: u64, sharing: u32) -> Duration {
        let seconds = tokens as f64 * f64::from(sharing) / self.prefill_rate;
        Duration::from_secs_f64(seconds * self.scale)
    }

    pub(super) fn check(&self) -> Result<()> {
        check("scale", self.scale >= 0.0, "must not be negative")?;
        check("prefill_rate", self.prefill_rate > 0.0, "must be above 0")?;
        check("decode_rate", self.decode_rate > 0.0, "must be above 0")?;
        let penalty = self.batch_penalty >= 0.0;
        check("batch_penalty", penalty, "must not be negative")?;
        check("slots", self.slots > 0, "must be above 0")?;
        check("cache_block", self.cache_block > 0, "must be above 0")?;
        check("models", !self.models.is_empty(), "must not be empty")?;
        let gaps = (0.0..=1.0).contains(&self.cache_gaps);
        check("cache_gaps", gaps, "must be from 0 to 1")?;
        self.faults.check()
    }

    /// Scales a time in milliseconds.
    pub(super) fn time(&self, ms: u64) -> Duration {
        Duration::from_secs_f64(ms as f64 / 1000.0 * self.scale)
    }
}

/// Which connections are silent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StallMode {
    /// None.
    #[default]
    None,
    /// The connections that are open when this is set, for good. New ones work.
    Open,
    /// The open connections and those that come in while this is set, for good.
    All,
}

/// What goes wrong at an engine. The default is nothing.
///
/// `fail_rate`, `cut_rate` and `slowdown` concern the requests that `after`, `above`, `model`
/// and `version` select.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// The part of the requests that is answered with 500, from 0 to 1.
    pub fail_rate: f64,
    /// The part of the requests whose connection breaks after half of the answer, from 0 to 1.
    pub cut_rate: f64,
    /// Factor on the times of a request.
    pub slowdown: f64,
    /// Selects requests after the first so many since the faults were set.
    #[serde(rename = "after")]
    pub skip_first: u64,
    /// Selects requests that arrive when more than so many streams run or wait.
    #[serde(rename = "above")]
    pub load_above: u32,
    /// Selects requests to this model.
    pub model: Option<Box<str>>,
    /// Selects requests that this version serves.
    pub version: Option<Box<str>>,
    /// A text in the prompt that crashes the engine when the prompt is computed.
    pub poison: Option<Box<str>>,
    /// Connections that are open but silent.
    #[serde(rename = "silence")]
    pub stall_mode: StallMode,
    /// Crashes the engine once, when the faults are set.
    pub crash: bool,
    /// Makes the engine cold once, without a crash, when the faults are set.
    #[serde(rename = "cool")]
    pub make_cold: bool,
}

impl Default for EngineFaults {
    fn default() -> Self {
        EngineFaults {
            fail_rate: 0.0,
            cut_rate: 0.0,
            slowdown: 1.0,
            skip_first: 0,
            load_above: 0,
            model: None,
            version: None,
            poison: None,
            stall_mode: StallMode::None,
            crash: false,
            make_cold: false,
        }
    }
}

impl EngineFaults {
    pub(super) fn check(&self) -> Result<()> {
        let rate = |rate: f64| (0.0..=1.0).contains(&rate);
        check(
            "faults.fail_rate",
            rate(self.fail_rate),
            "must be from 0 to 1",
        )?;
        check(
            "faults.cut_rate",
            rate(self.cut_rate),
            "must be from 0 to 1",
        )?;
        let slowdown = self.slowdown.is_finite() && self.slowdown >= 0.0;
        check("faults.slowdown", slowdown, "must not be negative")
    }
}

pub(crate) fn check(field: &'static str, holds: bool, reason: &str) -> Result<()> {
    match holds {
        true => Ok(()),
        false => Err(Error::Setting {
            field,
            reason: reason.into(),
        }),
    }
}
