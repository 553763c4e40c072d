//! Targets that answer nothing for longer than is usual, and that may have restarted by their next answer.

use std::time::{Duration, Instant};

/// The longest time between two calls of the scheduler that counts as time in which targets could be heard. During a
/// longer one this entry did not run.
const MAX_STEP: Duration = Duration::from_millis(200);
/// The shortest silence that counts as an outage.
const MIN_OUTAGE: Duration = Duration::from_millis(400);
/// How much longer than usual a silence has to be to count as an outage.
const MARGIN: f64 = 4.0;
/// Silences of a service that have to be known before one counts as an outage.
const MIN_SAMPLES: u32 = 8;
/// What remains of the longest silence after each further one.
const DECAY: f64 = 0.9998;
/// The most by which one silence raises the usual one if it counts as an outage.
const MAX_RAISE: f64 = 1.1;

/// Time for which other entries are told that a target has sent something.
const NEWS_TIME: Duration = Duration::from_millis(150);
/// Time from the end of an outage at another entry until this one must have noticed it.
const PEER_LEAD: Duration = Duration::from_millis(200);
/// The least time between two kept signs of other entries. Those kept span more than [`PEER_LEAD`].
const SIGN_INTERVAL: Duration = Duration::from_millis(50);
const PEER_SIGNS: usize = 6;

/// The time in which this entry has run.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RunTime {
    last: Option<Instant>,
    total: Duration,
}

impl RunTime {
    pub(crate) fn advance(&mut self, now: Instant) -> Duration {
        let last = self.last.unwrap_or(now);
        self.total += now.saturating_duration_since(last).min(MAX_STEP);
        self.last = Some(now.max(last));
        self.total
    }

    pub(crate) fn latest(&self) -> Duration {
        self.total
    }

    pub(crate) fn at(&self, now: Instant) -> Duration {
        let step = self.last.map(|last| now.saturating_duration_since(last));
        self.total + step.unwrap_or_default().min(MAX_STEP)
    }
}

/// How long a target has sent nothing to any entry while it had requests.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Silence {
    since: Option<Duration>,
    before: Duration,
    /// When this entry has heard the target.
    heard: Option<Duration>,
    /// When other entries have heard it, latest first.
    peers: [Option<Duration>; PEER_SIGNS],
}

impl Silence {
    /// Records that the target has requests, of this entry or another one.
    pub(crate) fn begin(&mut self, time: Duration) {
        self.since.get_or_insert(time);
    }

    /// Records that the target has no requests.
    pub(crate) fn pause(&mut self, time: Duration) {
        self.before = self.open_length(time);
        self.since = None;
    }

    /// Records that the target has sent something.
    pub(crate) fn end(&mut self, time: Duration) {
        self.before = Duration::ZERO;
        self.since = self.since.map(|_| time);
        self.heard = Some(time);
    }

    /// Records that the target has sent something to another entry. Returns the length of the silence, unless the last
    /// sign is hardly older.
    pub(crate) fn record_peer(&mut self, time: Duration) -> Option<Duration> {
        let last = self.peers[0].map(|last| time.saturating_sub(last));
        if last.is_some_and(|age| age < SIGN_INTERVAL) {
            return None;
        }
        let length = self.recent_length(time);
        self.peers.rotate_right(1);
        self.peers[0] = Some(time);
        Some(length)
    }

    /// Reports whether the target has sent something to this entry of late, which the others are told.
    pub(crate) fn is_news(&self, time: Duration) -> bool {
        let age = self.heard.map(|heard| time.saturating_sub(heard));
        age.is_some_and(|age| age < NEWS_TIME)
    }

    /// Returns the length of the silence, without what other entries have heard just now: after an outage, they may hear
    /// the target before this one does.
    pub(crate) fn length(&self, time: Duration) -> Duration {
        self.length_until(time, time.checked_sub(PEER_LEAD))
    }

    /// Returns the length of the silence since any entry heard the target.
    pub(crate) fn recent_length(&self, time: Duration) -> Duration {
        self.length_until(time, Some(time))
    }

    fn length_until(&self, time: Duration, last: Option<Duration>) -> Duration {
        let is_counted = |sign: &&Duration| last.is_some_and(|last| **sign <= last);
        let sign = self.peers.iter().flatten().find(is_counted);
        let peer = sign.map_or(Duration::MAX, |sign| time.saturating_sub(*sign));
        self.open_length(time).min(peer)
    }

    fn open_length(&self, time: Duration) -> Duration {
        let open = self.since.map(|since| time.saturating_sub(since));
        self.before + open.unwrap_or_default()
    }
}

/// The usual silences of the targets of a service.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct UsualSilence {
    longest: Duration,
    samples: u32,
}

impl UsualSilence {
    pub(crate) fn is_outage(&self, silence: Duration) -> bool {
        self.samples >= MIN_SAMPLES && silence > MIN_OUTAGE.max(self.longest.mul_f64(MARGIN))
    }

    pub(crate) fn record(&mut self, silence: Duration) {
        let raised = match self.is_outage(silence) {
            true => silence.min(self.longest.mul_f64(MAX_RAISE)),
            false => silence,
        };
        self.longest = self.longest.mul_f64(DECAY).max(raised);
        self.samples = self.samples.saturating_add(1);
    }
}
