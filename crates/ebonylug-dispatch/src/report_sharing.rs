//! Which reports of targets an entry passes on to the other entries of its zone.
//!
//! Answers the load of many small entries: each sends only a few requests per second to a target, so its own
//! newest report is old, while another entry of the zone has just received one. Each entry passes on what
//! has changed much, at a bounded rate.

use std::time::{Duration, Instant};

use crate::load_report::LoadReport;

/// Bytes per second that an entry spends on reports for all entries of its zone together. It is a sixth of
/// what control traffic may use.
const BYTES_PER_SECOND: f64 = 2_000.0;
/// Size of a report in a message.
const REPORT_BYTES: f64 = 9.0;
/// Reports that may be passed on at once.
const BURST: f64 = 6.0;
/// Time after which a report is passed on though it says the same as the last one. Others stop using a report
/// after 300 ms.
const REPEAT: Duration = Duration::from_millis(100);
/// The change in requests that is worth a report.
const MIN_LOAD_CHANGE: u32 = 2;
/// The change in slowness that is worth a report, in percent.
const MIN_SLOWNESS_CHANGE: u32 = 25;

/// Limits the rate at which an entry passes on reports.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReportSharing {
    allowance: f64,
    updated: Option<Instant>,
    /// Other entries of the zone.
    peers: usize,
}

impl ReportSharing {
    pub(crate) fn set_peers(&mut self, peers: usize) {
        self.peers = peers;
    }

    /// Reports whether a report may be passed on now, and counts it if so.
    pub(crate) fn take(&mut self, now: Instant) -> bool {
        if self.peers == 0 {
            return false;
        }
        let rate = BYTES_PER_SECOND / REPORT_BYTES / self.peers as f64;
        let elapsed = match self.updated.replace(now) {
            Some(updated) => now.saturating_duration_since(updated).as_secs_f64(),
            None => BURST / rate,
        };
        self.allowance = (self.allowance + rate * elapsed).min(BURST);
        let allowed = self.allowance >= 1.0;
        self.allowance -= f64::from(u8::from(allowed));
        allowed
    }
}

/// Reports whether a report says something new. `known` is the last one that entries of the zone passed on,
/// and when the target stated it.
pub(crate) fn is_news(
    known: Option<(Instant, LoadReport)>,
    now: Instant,
    report: LoadReport,
) -> bool {
    let Some((time, known)) = known else {
        return true;
    };
    let load = (known.running + known.waiting).abs_diff(report.running + report.waiting);
    let slowness = known.slowness.unwrap_or(100);
    let slowness = slowness.abs_diff(report.slowness.unwrap_or(100));
    now.saturating_duration_since(time) >= REPEAT
        || load >= MIN_LOAD_CHANGE
        || slowness >= MIN_SLOWNESS_CHANGE
}
