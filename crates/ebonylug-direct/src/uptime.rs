use std::time::Duration;

/// A monotonic clock that keeps running while the machine is suspended.
pub trait Uptime {
    /// Returns the time since the machine started.
    fn uptime(&self) -> Duration;
}

/// Linux's `CLOCK_BOOTTIME`.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemUptime;

impl Uptime for SystemUptime {
    fn uptime(&self) -> Duration {
        let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
        let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
        Duration::new(seconds, nanos)
    }
}
