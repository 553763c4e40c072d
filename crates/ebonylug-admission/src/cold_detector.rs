use ebonylug_core::EngineReport;

/// Detects that a target became cold again without the sidecar being notified.
///
/// There are three indications: a changed engine epoch, counters that decrease, and first tokens
/// at low load that take far longer than expected.
#[derive(Debug)]
pub(crate) struct ColdDetector {
    slow_factor: f64,
    slow_samples: u32,
    last_report: Option<EngineReport>,
    slow_count: u32,
}

impl ColdDetector {
    pub(crate) fn new(slow_factor: f64, slow_samples: u32) -> Self {
        ColdDetector {
            slow_factor,
            slow_samples,
            last_report: None,
            slow_count: 0,
        }
    }

    /// Records an engine report. Returns true if it indicates a restart.
    pub(crate) fn observe_report(&mut self, report: EngineReport) -> bool {
        let last = self.last_report.replace(report);
        last.is_some_and(|last| {
            report.epoch != last.epoch
                || report.hits < last.hits
                || report.prefilled < last.prefilled
        })
    }

    /// Records the relative latency of a first token at low load. Returns true if enough slow ones
    /// in a row indicate that the target is cold.
    pub(crate) fn observe_latency(&mut self, ratio: f64) -> bool {
        if ratio < self.slow_factor {
            self.slow_count = 0;
            return false;
        }
        self.slow_count += 1;
        self.slow_count >= self.slow_samples
    }

    /// Resets the count of slow first tokens at the beginning of a cold start.
    pub(crate) fn reset_latencies(&mut self) {
        self.slow_count = 0;
    }

    /// Resets the whole state after a restart of the target.
    pub(crate) fn reset(&mut self) {
        self.last_report = None;
        self.slow_count = 0;
    }
}
