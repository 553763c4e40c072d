use std::time::Duration;

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// A fault or a change. Numbers name an entry, an engine place or a zone, and are taken modulo their count.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// An entry gets SIGKILL.
    Kill(usize),
    /// An entry gets SIGTERM, and is started again when it has ended.
    Stop(usize),
    /// An entry is paused.
    Pause(usize),
    /// An entry gets SIGHUP after its settings have changed.
    Reload(usize),
    /// The store turns an entry away.
    Busy(usize),
    /// The store closes an entry's connections without an answer.
    Reset(usize),
    /// The store does what an entry asks, and the answer is lost.
    Lost(usize),
    /// The store says nothing to anybody.
    Silent,
    /// The store is slow for all.
    Slow,
    /// The store forgets its history.
    Compact,
    /// An engine gets SIGKILL, and another starts at its place.
    Crash(usize),
    /// An engine leaves with notice, and another starts at its place.
    Leave(usize),
    /// The row of an engine is removed without notice; it ends later.
    Vanish(usize),
    /// An engine is paused.
    Stall(usize),
    /// The connections to an engine are reset.
    Break(usize),
    /// The connections to an engine are delayed.
    Delay(usize),
    /// The connections to an engine pass nothing.
    Mute(usize),
    /// The connections from an engine pass nothing; those to it do.
    OneWay(usize),
    /// The operator adds a route.
    Route,
    /// The operator takes a key away.
    Revoke,
    /// The operator takes a zone out of service.
    Drain(usize),
}

/// A fault with its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// When it begins, from the begin of the load.
    pub at: Duration,
    /// How long it lasts, where that has a meaning.
    pub lasts: Duration,
    /// What happens.
    pub fault: Fault,
}

/// What is played: the seed of the load, and events in order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// The seed of the load.
    pub seed: u64,
    /// How long callers send.
    pub length: Duration,
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
    pub fn draw(seed: u64, length: Duration) -> Self {
        /// Mean time between two events.
        const GAP: Duration = Duration::from_millis(500);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = length.as_millis() / GAP.as_millis();
        let mut events: Vec<Event> = (0..count)
            .map(|_| Event {
                at: length.mul_f64(rng.random_range(0.1..0.9)),
                lasts: Duration::from_millis(rng.random_range(200..4_000)),
                fault: Fault::draw(&mut rng),
            })
            .collect();
        events.sort_by_key(|event| event.at);
        Schedule {
            seed,
            length,
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
            0 => Fault::Kill(n),
            1 | 2 => Fault::Stop(n),
            3 => Fault::Pause(n),
            4 => Fault::Reload(n),
            5 => Fault::Busy(n),
            6 => Fault::Reset(n),
            7 => Fault::Lost(n),
            8 => Fault::Silent,
            9 => Fault::Slow,
            10 => Fault::Compact,
            11 => Fault::Crash(n),
            12 => Fault::Leave(n),
            13 => Fault::Vanish(n),
            14 => Fault::Stall(n),
            15 => Fault::Break(n),
            16 => Fault::Delay(n),
            17 => Fault::Mute(n),
            18 => Fault::OneWay(n),
            19 => Fault::Route,
            20 => Fault::Revoke,
            _ => Fault::Drain(n),
        }
    }
}
