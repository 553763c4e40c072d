use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{Error, Result, loopback_addr};

/// Settings of a fake engine. All times are multiplied by `scale`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// The address to listen on. Port 0 selects a free port.
    pub listen: SocketAddr,
    /// The name of the engine, sent in the header `x-engine` of chat responses.
    pub name: Box<str>,
    /// The names of the models that are loaded at start.
    pub models: Vec<Box<str>>,
    /// The version of the models loaded at start.
    pub version: Box<str>,
    /// The role at start. Orders change it. It is reported, but has no effect.
    pub role: Box<str>,
    /// Factor applied to all times: 0.01 makes the engine a hundred times faster.
    pub scale: f64,
    /// Prompt tokens per second, divided among the streams in prefill.
    pub prefill_rate: f64,
    /// Output tokens per second of a single running stream.
    pub decode_rate: f64,
    /// Fraction by which each additional stream increases the time per token of all streams.
    pub batch_penalty: f64,
    /// Maximum number of concurrent streams. Further ones wait in order of arrival.
    pub slots: u32,
    /// Capacity of the prefix cache in tokens.
    pub cache_tokens: u64,
    /// Size of a block of the prefix cache in tokens.
    pub cache_block: usize,
    /// Delay of the load that `/load` reports, in milliseconds.
    pub load_lag: u64,
    /// Delay of the events that `/cache-events` reports, in milliseconds.
    pub cache_lag: u64,
    /// Fraction of the cache events that are dropped, from 0 to 1.
    pub cache_gaps: f64,
    /// Duration of a cold start, in milliseconds.
    #[serde(rename = "cold")]
    pub cold_time: u64,
    /// Whether the engine is warm when the fake starts. After a crash, it always starts cold.
    pub warm_start: bool,
    /// Maximum number of streams during a cold start. One more crashes the engine.
    pub cold_streams: u32,
    /// Time between a crash and the restart, in milliseconds.
    #[serde(rename = "down")]
    pub down_time: u64,
    /// Time to load a model, in milliseconds.
    pub load_time: u64,
    /// Whether orders with a stale fencing token are rejected.
    pub check_fence: bool,
    /// Seed of the random failures and of the gaps in cache events.
    pub seed: u64,
    /// The faults at start.
    pub faults: EngineFaults,
}

impl Default for EngineSettings {
    fn default() -> Self {
        EngineSettings {
            listen: loopback_addr(),
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
    /// Returns the time per output token of each stream while `running` streams run.
    #[must_use]
    pub fn token_time(&self, running: u32) -> Duration {
        let others = f64::from(running.saturating_sub(1));
        let seconds = (1.0 + self.batch_penalty * others) / self.decode_rate;
        Duration::from_secs_f64(seconds * self.scale)
    }

    /// Returns the prefill time of `tokens` prompt tokens while `sharing` streams are in prefill.
    #[must_use]
    pub fn prefill_time(&self, tokens: u64, sharing: u32) -> Duration {
        let seconds = tokens as f64 * f64::from(sharing) / self.prefill_rate;
        Duration::from_secs_f64(seconds * self.scale)
    }

    pub(super) fn validate(&self) -> Result<()> {
        validate("scale", self.scale >= 0.0, "must not be negative")?;
        validate("prefill_rate", self.prefill_rate > 0.0, "must be above 0")?;
        validate("decode_rate", self.decode_rate > 0.0, "must be above 0")?;
        let penalty = self.batch_penalty >= 0.0;
        validate("batch_penalty", penalty, "must not be negative")?;
        validate("slots", self.slots > 0, "must be above 0")?;
        validate("cache_block", self.cache_block > 0, "must be above 0")?;
        validate("models", !self.models.is_empty(), "must not be empty")?;
        let gaps = (0.0..=1.0).contains(&self.cache_gaps);
        validate("cache_gaps", gaps, "must be from 0 to 1")?;
        self.faults.validate()
    }

    /// Multiplies a time in milliseconds by `scale`.
    pub(super) fn scaled(&self, ms: u64) -> Duration {
        Duration::from_secs_f64(ms as f64 / 1000.0 * self.scale)
    }
}

/// Which connections are stalled. A stalled connection stays open, but no more bytes are sent on
/// it, except responses of the admin endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StallMode {
    /// No further connections. Those that are already stalled stay stalled.
    #[default]
    None,
    /// The connections that are open when this is set. They stay stalled until they close; new ones
    /// work.
    Open,
    /// The open connections and those accepted while this is set. They stay stalled until they
    /// close.
    All,
}

/// Faults that an engine injects. The default is none.
///
/// `fail_rate`, `cut_rate` and `slowdown` apply only to requests that match all of `skip_first`,
/// `load_above`, `model` and `version`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Fraction of the requests that are answered with 500, from 0 to 1.
    pub fail_rate: f64,
    /// Fraction of the requests whose connection is aborted halfway through the output, from 0 to
    /// 1.
    pub cut_rate: f64,
    /// Factor applied to the prefill and decode times of a request.
    pub slowdown: f64,
    /// Matches all requests except the first `skip_first` since the faults were set.
    #[serde(rename = "after")]
    pub skip_first: u64,
    /// Matches requests that arrive while more than `load_above` streams run or wait. 0 matches
    /// all.
    #[serde(rename = "above")]
    pub load_above: u32,
    /// Matches requests for this model.
    pub model: Option<Box<str>>,
    /// Matches requests that this version of a model serves.
    pub version: Option<Box<str>>,
    /// Text that crashes the engine at the end of the prefill of a prompt that contains it.
    pub poison: Option<Box<str>>,
    /// The connections to stall.
    #[serde(rename = "silence")]
    pub stall_mode: StallMode,
    /// Crashes the engine once when the faults are set.
    pub crash: bool,
    /// Begins a cold start without a crash once when the faults are set.
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
    pub(super) fn validate(&self) -> Result<()> {
        let rate = |rate: f64| (0.0..=1.0).contains(&rate);
        validate(
            "faults.fail_rate",
            rate(self.fail_rate),
            "must be from 0 to 1",
        )?;
        validate(
            "faults.cut_rate",
            rate(self.cut_rate),
            "must be from 0 to 1",
        )?;
        let slowdown = self.slowdown.is_finite() && self.slowdown >= 0.0;
        validate("faults.slowdown", slowdown, "must not be negative")
    }
}

pub(crate) fn validate(field: &'static str, valid: bool, reason: &str) -> Result<()> {
    match valid {
        true => Ok(()),
        false => Err(Error::Setting {
            field,
            reason: reason.into(),
        }),
    }
}
