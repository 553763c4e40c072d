use std::time::Duration;

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// A fault or an operator change.
///
/// The number is the index of an entry or of an engine, modulo their count. For a zone, it is the index of an engine
/// in that zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Sends SIGKILL to an entry.
    #[serde(rename = "kill")]
    KillEntry(usize),
    /// Sends SIGTERM to an entry, which is restarted after it has exited.
    #[serde(rename = "stop")]
    StopEntry(usize),
    /// Pauses an entry with SIGSTOP.
    #[serde(rename = "pause")]
    PauseEntry(usize),
    /// Changes the settings of an entry and sends it SIGHUP.
    #[serde(rename = "reload")]
    ReloadEntry(usize),
    /// The store rejects calls of an entry.
    #[serde(rename = "busy")]
    StoreUnavailable(usize),
    /// The store closes an entry's connections without a response.
    #[serde(rename = "reset")]
    StoreReset(usize),
    /// The store executes the calls of an entry, but the responses are lost.
    #[serde(rename = "lost")]
    StoreDropResponse(usize),
    /// The store does not respond to any entry.
    #[serde(rename = "silent")]
    StoreHang,
    /// The store delays its responses to all entries.
    #[serde(rename = "slow")]
    StoreDelay,
    /// The store is away for a moment and comes back with the rows of the event's start. The duration is the age of
    /// this copy.
    #[serde(rename = "restore")]
    RestoreStore(usize),
    /// The store rejects the calls of all entries, and the rows of all engines expire meanwhile. Schedules that are drawn
    /// do not have it.
    #[serde(rename = "lapse")]
    LapseRows(usize),
    /// The store compacts its history.
    #[serde(rename = "compact")]
    CompactStore,
    /// Sends SIGKILL to an engine and starts a replacement.
    #[serde(rename = "crash")]
    KillEngine(usize),
    /// Marks an engine as leaving and starts a replacement. The engine is killed later.
    #[serde(rename = "leave")]
    ShutDownEngine(usize),
    /// Removes the row of an engine without notice and starts a replacement. The engine is killed later.
    #[serde(rename = "vanish")]
    DeregisterEngine(usize),
    /// Pauses an engine with SIGSTOP.
    #[serde(rename = "stall")]
    PauseEngine(usize),
    /// The store rejects the calls of all entries, and engines cannot write their rows.
    #[serde(rename = "away")]
    StoreAway,
    /// Turns an engine cold. The duration is the time until its row says so.
    #[serde(rename = "cold")]
    ChillEngine(usize),
    /// Sends SIGKILL to an engine and starts it again under its name after the duration, cold.
    #[serde(rename = "return")]
    ReturnEngine(usize),
    /// Blocks the connections to the engines of a zone. They are cold when it ends.
    #[serde(rename = "dark")]
    DarkenZone(usize),
    /// Resets the connections to an engine.
    #[serde(rename = "break")]
    ResetConnections(usize),
    /// Delays the data on connections to an engine.
    #[serde(rename = "delay")]
    DelayConnections(usize),
    /// Blocks connections to an engine in both directions.
    #[serde(rename = "mute")]
    BlockConnections(usize),
    /// Blocks only the data that an engine sends.
    #[serde(rename = "one_way")]
    BlockResponses(usize),
    /// Adds a route to the configuration.
    #[serde(rename = "route")]
    AddRoute,
    /// Removes an API key from the configuration.
    #[serde(rename = "revoke")]
    RevokeKey,
    /// Drains a zone and restores it later.
    #[serde(rename = "drain")]
    DrainZone(usize),
}

/// A fault with its start time and duration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Time from the start of the load.
    pub at: Duration,
    /// Duration, for faults that end by themselves.
    #[serde(rename = "lasts")]
    pub duration: Duration,
    /// The fault to apply.
    pub fault: Fault,
}

/// A test run: the seed and size of the load, and the events in the order of their time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// Seed for the requests of the callers.
    pub seed: u64,
    /// Time for which callers send requests.
    #[serde(rename = "length")]
    pub load_duration: Duration,
    /// Number of entries.
    pub entries: usize,
    /// Number of engines, assigned alternately to two zones.
    pub engines: usize,
    /// Number of callers.
    pub callers: usize,
    /// Number of callers that send only short requests, one after the other.
    #[serde(default)]
    pub brisk: usize,
    /// Events, sorted by time.
    pub events: Vec<Event>,
}

impl Schedule {
    /// Draws a schedule, which is determined by the seed and the duration.
    ///
    /// ```
    /// use std::time::Duration;
    /// use ebonylug_soak::Schedule;
    ///
    /// let load_duration = Duration::from_secs(8);
    /// assert_eq!(Schedule::draw(1, load_duration), Schedule::draw(1, load_duration));
    /// assert_ne!(Schedule::draw(1, load_duration), Schedule::draw(2, load_duration));
    /// ```
    #[must_use]
    pub fn draw(seed: u64, load_duration: Duration) -> Self {
        /// Mean time between events.
        const MEAN_INTERVAL: Duration = Duration::from_millis(500);
        /// Separates the draws of restores from the others.
        const RESTORES: u64 = 1 << 63;
        /// Separates the draws of cold engines from the others.
        const COLD: u64 = 1 << 62;
        /// Enough that an engine gets more requests a second than it may get while it is cold.
        const BRISK_CALLERS: usize = 6;
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = load_duration.as_millis() / MEAN_INTERVAL.as_millis();
        let mut events: Vec<Event> = (0..count)
            .map(|_| Event {
                at: load_duration.mul_f64(rng.random_range(0.1..0.9)),
                duration: Duration::from_millis(rng.random_range(200..4_000)),
                fault: Fault::draw(&mut rng),
            })
            .collect();
        // Drawn last and from another generator, so that the other events of a seed do not depend on them.
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ RESTORES);
        for _ in 0..rng.random_range(0..=2) {
            events.push(Event {
                at: load_duration.mul_f64(rng.random_range(0.1..0.7)),
                duration: Duration::from_millis(rng.random_range(500..4_000)),
                fault: Fault::RestoreStore(rng.random_range(0..100)),
            });
        }
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ COLD);
        draw_cold(&mut rng, load_duration, &mut events);
        events.sort_by_key(|event| event.at);
        Schedule {
            seed,
            load_duration,
            entries: 3,
            engines: 6,
            callers: 40,
            brisk: BRISK_CALLERS,
            events,
        }
    }

    /// Reports whether engines can be cold.
    #[must_use]
    pub fn has_cold_engines(&self) -> bool {
        self.events.iter().any(|event| event.fault.is_cold())
    }

    /// Removes the events of cold engines and the callers that are drawn for them.
    pub fn remove_cold_engines(&mut self) {
        self.events.retain(|event| !event.fault.is_cold());
        self.brisk = 0;
    }
}

/// Adds events after which engines are cold, most of them close to another event.
fn draw_cold(rng: &mut impl Rng, load_duration: Duration, events: &mut Vec<Event>) {
    let others = events.len();
    for _ in 0..rng.random_range(1..=3) {
        let near = others > 0 && rng.random_bool(0.6);
        let at = match near {
            true => events[rng.random_range(0..others)].at,
            false => load_duration.mul_f64(rng.random_range(0.1..0.7)),
        };
        let at = at + Duration::from_millis(rng.random_range(0..800));
        let n = rng.random_range(0..100);
        if rng.random_bool(0.3) {
            events.push(Event {
                at: at.saturating_sub(Duration::from_millis(300)),
                duration: Duration::from_millis(rng.random_range(500..4_000)),
                fault: Fault::StoreAway,
            });
        }
        let outage = Duration::from_millis(rng.random_range(300..4_500));
        let notice = Duration::from_millis(rng.random_range(50..350));
        let kind = rng.random_range(0..3);
        let count = if rng.random_bool(0.4) { 3 } else { 1 };
        for n in n..n + count {
            let (duration, fault) = match kind {
                0 => (notice, Fault::ChillEngine(n)),
                1 => (outage, Fault::ReturnEngine(n)),
                _ => (outage, Fault::DarkenZone(n)),
            };
            events.push(Event {
                at,
                duration,
                fault,
            });
        }
    }
}

impl Fault {
    /// Reports whether only schedules with cold engines have the fault.
    fn is_cold(self) -> bool {
        match self {
            Fault::StoreAway
            | Fault::ChillEngine(_)
            | Fault::ReturnEngine(_)
            | Fault::DarkenZone(_) => true,
            Fault::KillEntry(_)
            | Fault::StopEntry(_)
            | Fault::PauseEntry(_)
            | Fault::ReloadEntry(_)
            | Fault::StoreUnavailable(_)
            | Fault::StoreReset(_)
            | Fault::StoreDropResponse(_)
            | Fault::StoreHang
            | Fault::StoreDelay
            | Fault::RestoreStore(_)
            | Fault::LapseRows(_)
            | Fault::CompactStore
            | Fault::KillEngine(_)
            | Fault::ShutDownEngine(_)
            | Fault::DeregisterEngine(_)
            | Fault::PauseEngine(_)
            | Fault::ResetConnections(_)
            | Fault::DelayConnections(_)
            | Fault::BlockConnections(_)
            | Fault::BlockResponses(_)
            | Fault::AddRoute
            | Fault::RevokeKey
            | Fault::DrainZone(_) => false,
        }
    }

    fn draw(rng: &mut impl Rng) -> Self {
        let n = rng.random_range(0..100);
        match rng.random_range(0..22) {
            0 => Fault::KillEntry(n),
            1 | 2 => Fault::StopEntry(n),
            3 => Fault::PauseEntry(n),
            4 => Fault::ReloadEntry(n),
            5 => Fault::StoreUnavailable(n),
            6 => Fault::StoreReset(n),
            7 => Fault::StoreDropResponse(n),
            8 => Fault::StoreHang,
            9 => Fault::StoreDelay,
            10 => Fault::CompactStore,
            11 => Fault::KillEngine(n),
            12 => Fault::ShutDownEngine(n),
            13 => Fault::DeregisterEngine(n),
            14 => Fault::PauseEngine(n),
            15 => Fault::ResetConnections(n),
            16 => Fault::DelayConnections(n),
            17 => Fault::BlockConnections(n),
            18 => Fault::BlockResponses(n),
            19 => Fault::AddRoute,
            20 => Fault::RevokeKey,
            _ => Fault::DrainZone(n),
        }
    }
}
