//! What a target says about its own load, and what this entry learns from it.
//!
//! Answers the load of many small entries that share targets on shared machines: entries hear of each
//! other's requests 27 to 80 ms late, machines slow down by 2.5 times for 0.6 s, and the lasting speeds of
//! targets differ by 3 times. A report is newer than what entries tell, but old reports mislead, and a target
//! may lie. All figures are therefore bounded and lose weight with age.

use std::time::{Duration, Instant};

use crate::load_report::LoadReport;
use crate::overview::{ReportOverview, ReportSums};
use crate::report_sharing::is_news;

/// Age of a report from which it is not used. It is half of the time for which a machine is slow: an older
/// report of a slow machine is more often wrong than right.
const MAX_AGE: Duration = Duration::from_millis(300);
/// Time in which the weight of reported requests halves. What other entries tell is about as old.
const LOAD_HALF_LIFE: Duration = Duration::from_millis(80);
/// Time constant with which the difference of the slowness from its usual value decays.
const SLOWNESS_TIME: Duration = Duration::from_millis(150);
/// Limits on the momentary slowness, so that a wrong figure neither attracts nor repels all requests.
const MIN_SLOWNESS: f64 = 0.5;
const MAX_SLOWNESS: f64 = 4.0;
/// Weight of a new sample in the lasting pace. Slowness changes many times per second, and a sample contains
/// what is left of it.
const LASTING_WEIGHT: f64 = 0.1;
/// Maximum age of the lasting pace. The speed of a machine changes when the target is moved, which is a restart.
const LASTING_MAX_AGE: Duration = Duration::from_secs(120);

/// A report, and what this entry has done since.
#[derive(Clone, Copy, Debug)]
struct Newest {
    report: LoadReport,
    /// When the target stated it.
    time: Instant,
    /// Requests that this entry has sent since.
    sent: u32,
    /// Requests of this entry that have ended since.
    finished: u32,
}

/// The newest report of a target, and its lasting pace.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReportedLoad {
    newest: Option<Newest>,
    /// Whether this entry received the newest report itself and passes it on.
    sharing: bool,
    /// The last report that this entry or another one of the zone passed on, and when the target stated it.
    shared: Option<(Instant, LoadReport)>,
    /// Mean time per unit of work at the usual slowness, in seconds.
    lasting: Option<f64>,
    samples: u32,
    measured: Option<Instant>,
}

impl ReportedLoad {
    /// Records a report that the target stated at `time`, unless a newer one is known. Returns whether it is
    /// the newest.
    pub(crate) fn record(&mut self, time: Instant, report: LoadReport) -> bool {
        if self.newest.is_some_and(|newest| newest.time > time) {
            return false;
        }
        self.newest = Some(Newest {
            report,
            time,
            sent: 0,
            finished: 0,
        });
        self.sharing = false;
        true
    }

    /// Records a report that another entry of the zone has received.
    pub(crate) fn merge(&mut self, time: Instant, report: LoadReport) {
        if self.shared.is_none_or(|(shared, _)| shared < time) {
            self.shared = Some((time, report));
        }
        self.record(time, report);
    }

    /// Reports whether the newest report says something that the other entries of the zone do not know.
    pub(crate) fn is_news(&self, now: Instant) -> bool {
        let newest = self
            .newest
            .filter(|newest| newest.report.slowness.is_some());
        newest.is_some_and(|newest| is_news(self.shared, now, newest.report))
    }

    /// Sets whether the newest report is passed on.
    pub(crate) fn set_sharing(&mut self, sharing: bool) {
        self.sharing = sharing;
        if let Some(newest) = self.newest.filter(|_| sharing) {
            self.shared = Some((newest.time, newest.report));
        }
    }

    /// Returns the newest report and its age, if this entry passes it on.
    pub(crate) fn to_share(&self, now: Instant) -> Option<(LoadReport, Duration)> {
        let newest = self.newest.filter(|_| self.sharing)?;
        Some((newest.report, now.saturating_duration_since(newest.time)))
    }

    pub(crate) fn record_send(&mut self) {
        if let Some(newest) = &mut self.newest {
            newest.sent += 1;
        }
    }

    pub(crate) fn record_finish(&mut self) {
        if let Some(newest) = &mut self.newest {
            newest.finished += 1;
        }
    }

    /// Records a time per unit of work that was just measured, in seconds.
    pub(crate) fn record_pace(&mut self, now: Instant, pace: f64) {
        // The time of a request that waited inside the target says little about the target's speed.
        let queued = |(newest, _): (Newest, _)| newest.report.waiting * 2 >= newest.report.slots;
        if self.slots().is_none() || self.fresh(now).is_some_and(queued) {
            return;
        }
        let pace = pace / self.slowness(now);
        self.samples += 1;
        let weight = (1.0 / f64::from(self.samples)).max(LASTING_WEIGHT);
        let mean = self.lasting.get_or_insert(pace);
        *mean += (pace - *mean) * weight;
        self.measured = Some(now);
    }

    /// Returns the mean time per unit of work at the usual slowness, in seconds.
    pub(crate) fn lasting_pace(&self, now: Instant) -> Option<f64> {
        let time = self.measured?;
        self.lasting
            .filter(|_| now.saturating_duration_since(time) < LASTING_MAX_AGE)
    }

    /// Returns how long work takes now, as a multiple of the usual time. It is 1 without a recent report.
    pub(crate) fn slowness(&self, now: Instant) -> f64 {
        let Some((newest, age)) = self.fresh(now) else {
            return 1.0;
        };
        let slowness = f64::from(newest.report.slowness.unwrap_or(100)) / 100.0;
        let excess = slowness.clamp(MIN_SLOWNESS, MAX_SLOWNESS) - 1.0;
        1.0 + excess * (-age.as_secs_f64() / SLOWNESS_TIME.as_secs_f64()).exp()
    }

    /// Corrects the requests at the target. `own` are those of this entry in flight, `sum` those of all entries
    /// as far as they are known.
    pub(crate) fn correct(&self, now: Instant, own: u32, sum: u32) -> u32 {
        let Some((newest, age)) = self.fresh(now) else {
            return sum;
        };
        let reported = newest.report.running + newest.report.waiting + newest.sent;
        let reported = reported.saturating_sub(newest.finished).max(own);
        let weight = 0.5_f64.powf(age.as_secs_f64() / LOAD_HALF_LIFE.as_secs_f64());
        let mean = f64::from(reported) * weight + f64::from(sum) * (1.0 - weight);
        // A target that reports too little gets at most twice the requests that entries know of.
        (mean.round() as u32).max(own).max(sum.div_ceil(2))
    }

    /// Returns the slots that the target states, if it has stated its slowness too.
    pub(crate) fn slots(&self) -> Option<u32> {
        let report = self.newest?.report;
        report.slowness.map(|_| report.slots)
    }

    /// Returns the newest report, as shown to operators.
    pub(crate) fn overview(&self, now: Instant) -> Option<ReportOverview> {
        let newest = self.newest?;
        let age = now.saturating_duration_since(newest.time);
        let lasting = self.lasting_pace(now);
        Some(ReportOverview {
            running: newest.report.running,
            waiting: newest.report.waiting,
            slots: newest.report.slots,
            slowness: newest.report.slowness,
            age: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            lasting_pace: lasting.map(|pace| (pace * 1e6).round() as u64),
        })
    }

    /// Adds the newest report to the sums of a service, if it is recent.
    pub(crate) fn add_to(&self, sums: &mut ReportSums, now: Instant) {
        if let Some((newest, _)) = self.fresh(now) {
            sums.targets += 1;
            sums.running += newest.report.running;
            sums.waiting += newest.report.waiting;
            sums.slowness += newest.report.slowness.unwrap_or(100);
        }
    }

    /// Reports whether the newest report is recent and states the slowness.
    pub(crate) fn is_fresh(&self, now: Instant) -> bool {
        self.fresh(now).is_some()
    }

    /// Returns the newest report and its age, if the report is recent and states the slowness.
    fn fresh(&self, now: Instant) -> Option<(Newest, Duration)> {
        let newest = self.newest?;
        let age = now.saturating_duration_since(newest.time);
        (age < MAX_AGE && newest.report.slowness.is_some()).then_some((newest, age))
    }
}
