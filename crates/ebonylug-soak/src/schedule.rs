use std::time::Duration;

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// A fault or a change. Numbers name an entry, an engine place or a zone, and are taken modulo their count.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// An entry gets SIGKILL.
    #[serde(rename = "kill")]
    KillEntry(usize),
    /// An entry gets SIGTERM, and is started again when it has ended.
    #[serde(rename = "stop")]
    StopEntry(usize),
    /// An entry is paused.
    #[serde(rename = "pause")]
    PauseEntry(usize),
    /// An entry gets SIGHUP after its settings have changed.
    #[serde(rename = "reload")]
    ReloadEntry(usize),
    /// The store turns an entry away.
    #[serde(rename = "busy")]
    StoreUnavailable(usize),
    /// The store closes an entry's connections without an answer.
    #[serde(rename = "reset")]
    StoreReset(usize),
    /// The store does what an entry asks, and the answer is lost.
    #[serde(rename = "lost")]
    StoreDropResponse(usize),
    /// The store says nothing to anybody.
    #[serde(rename = "silent")]
    StoreHang,
    /// The store is slow for all.
    #[serde(rename = "slow")]
    StoreDelay,
    /// The store forgets its history.
    #[serde(rename = "compact")]
    CompactStore,
    /// An engine gets SIGKILL, and another starts at its place.
    #[serde(rename = "crash")]
    KillEngine(usize),
    /// An engine leaves with notice, and another starts at its place.
    #[serde(rename = "leave")]
    ShutDownEngine(usize),
    /// The row of an engine is removed without notice; it ends later.
    #[serde(rename = "vanish")]
    DeregisterEngine(usize),
    /// An engine is paused.
    #[serde(rename = "stall")]
    PauseEngine(usize),
    /// The connections to an engine are reset.
    #[serde(rename = "break")]
    ResetConnections(usize),
    /// The connections to an engine are delayed.
    #[serde(rename = "delay")]
    DelayConnections(usize),
    /// The connections to an engine pass nothing.
    #[serde(rename = "mute")]
    BlockConnections(usize),
    /// The connections from an engine pass nothing; those to it do.
    #[serde(rename = "one_way")]
    BlockResponses(usize),
    /// The operator adds a route.
    #[serde(rename = "route")]
    AddRoute,
    /// The operator takes a key away.
    #[serde(rename = "revoke")]
    RevokeKey,
    /// The operator takes a zone out of service.
    #[serde(rename = "drain")]
    DrainZone(usize),
}

/// A fault with its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// When it begins, from the begin of the load.
    pub at: Duration,
    /// How long it lasts, where that has a meaning.
    #[serde(rename = "lasts")]
    pub duration: Duration,
    /// What happens.
    pub fault: Fault,
}

/// What is played: the seed of the load, and events in order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// The seed of the load.
    pub seed: u64,
    /// How long callers send.
    #[serde(rename = "length")]
    pub load_duration: Duration,
    /// Entries.
    pub entries: usize,
    /// Engines, in two zones by turns.
    pub engines: usize,
    /// Callers.
    pub callers: usize,
    /// The events.
    pub events: Vec<Event>,
}

impl Schedule {
    /// Draws a schedule. The same seed and length give the same one.
    ///
    /// ```
    /// use std::time::Duration;
    /// use ebonylug_soak::Schedule;
    ///
    /// let length = Duration::from_secs(8);
    /// assert_eq!(Schedule::draw(1, length), Schedule::draw(1, length));
    /// assert_ne!(Schedule::draw(1, length), Schedule::draw(2, length));
    /// ```
    #[must_use]
    pub fn draw(seed: u64, load_duration: Duration) -> Self {
        /// Mean time between two events.
        const MEAN_INTERVAL: Duration = Duration::from_millis(500);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = load_duration.as_millis() / MEAN_INTERVAL.as_millis();
        let mut events: Vec<Event> = (0..count)
            .map(|_| Event {
                at: load_duration.mul_f64(rng.random_range(0.1..0.9)),
                duration: Duration::from_millis(rng.random_range(200..4_000)),
                fault: Fault::draw(&mut rng),
            })
            .collect();
        events.sort_by_key(|event| event.at);
        Schedule {
            seed,
            load_duration,
            entries: 3,
            engines: 6,
            callers: 40,
            events,
        }
    }
}

impl Fault {
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
