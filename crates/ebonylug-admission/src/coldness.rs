use ebonylug_core::EngineReport;

/// Detects that a target returned to cold without notice.
///
/// There are three signs: another engine epoch, counters that fall back, and first tokens at low
/// load that take far longer than usual.
#[derive(Debug)]
pub(crate) struct Coldness {
    factor: f64,
    samples: u32,
    last: Option<EngineReport>,
    slow: u32,
}

impl Coldness {
    pub(crate) fn new(factor: f64, samples: u32) -> Self {
        Coldness {
            factor,
            samples,
            last: None,
            slow: 0,
        }
    }

    /// Records a report of the engine; returns whether it shows a restart.
    pub(crate) fn observe(&mut self, report: EngineReport) -> bool {
        let last = self.last.replace(report);
        last.is_some_and(|last| {
            report.epoch != last.epoch
                || report.hits < last.hits
                || report.prefilled < last.prefilled
        })
    }

    /// Records a first token at low load; returns whether the target is cold again.
    pub(crate) fn sample(&mut self, ratio: f64) -> bool {
        if ratio < self.factor {
            self.slow = 0;
            return false;
        }
        self.slow += 1;
        self.slow >= self.samples
    }

    /// Forgets the latencies, because the target is known to be cold.
    pub(crate) fn reset(&mut self) {
        self.slow = 0;
    }

    /// Forgets the reports as well, because the target has been restarted.
    pub(crate) fn restart(&mut self) {
        self.last = None;
        self.slow = 0;
    }
}
