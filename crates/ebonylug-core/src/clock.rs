use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime};

/// A source of monotonic time and of wall-clock time.
///
/// Processes use [`SystemClock`]; tests and simulations use [`ManualClock`].
pub trait Clock: Send + Sync {
    /// Returns the monotonic time, which measures intervals within this process.
    fn now(&self) -> Instant;

    /// Returns the wall-clock time, in which processes exchange deadlines.
    fn wall(&self) -> SystemTime;
}

/// Reads the clocks of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A clock for tests and simulations that advances only by [`advance`](Self::advance).
///
/// Wall-clock time starts one day after the Unix epoch, so that tests can subtract from it.
#[derive(Debug)]
pub struct ManualClock {
    base: Instant,
    elapsed: Mutex<Duration>,
}

impl ManualClock {
    const WALL_START: Duration = Duration::from_secs(86_400);

    /// Creates a clock whose elapsed time is zero.
    #[must_use]
    pub fn new() -> Self {
        ManualClock {
            base: Instant::now(),
            elapsed: Mutex::new(Duration::ZERO),
        }
    }

    /// Advances monotonic and wall-clock time by `step`.
    pub fn advance(&self, step: Duration) {
        let mut elapsed = self.elapsed.lock().expect("clock lock poisoned");
        *elapsed += step;
    }

    /// Returns the sum of all steps since the clock was created.
    pub fn elapsed(&self) -> Duration {
        *self.elapsed.lock().expect("clock lock poisoned")
    }
}

impl Default for ManualClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.base + self.elapsed()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + Self::WALL_START + self.elapsed()
    }
}
