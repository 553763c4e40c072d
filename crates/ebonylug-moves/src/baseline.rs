use std::collections::HashMap;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::LatencyThresholds;
use ebonylug_core::Name;

/// Number of responses after which the thresholds are recomputed from new ones, so that they follow
/// slow changes of the load.
const WINDOW_SAMPLES: u64 = 512;
/// Number of responses before the first thresholds are computed. Until the window is full, they are computed
/// anew each time that the number has doubled, since the first responses may come from few targets.
const MIN_SAMPLES: u64 = 50;
/// The quantile of the base version's latencies above which a response counts as slow.
const SLOW_QUANTILE: f64 = 0.95;

/// Latencies of the base version of each route, from which the thresholds for the responses of a
/// new version are computed.
#[derive(Debug, Default)]
pub struct LatencyBaselines {
    routes: HashMap<Name, RouteLatencies>,
}

#[derive(Debug)]
struct RouteLatencies {
    ttft: Histogram<u64>,
    token_interval: Histogram<u64>,
    thresholds: Option<LatencyThresholds>,
    /// The number of responses at which the thresholds are computed next.
    next_update: u64,
}

impl LatencyBaselines {
    /// Records the latencies of a response of a route's base version.
    pub fn record(&mut self, route: &Name, ttft: Duration, token_interval: Option<Duration>) {
        let route = self
            .routes
            .entry(route.clone())
            .or_insert_with(RouteLatencies::new);
        route.ttft.saturating_record(micros(ttft));
        if let Some(interval) = token_interval {
            route.token_interval.saturating_record(micros(interval));
        }
        let samples = route.ttft.len();
        if samples >= route.next_update {
            route.next_update = (samples * 2).min(WINDOW_SAMPLES);
            route.update_thresholds(samples >= WINDOW_SAMPLES);
        }
    }

    /// Returns the latency thresholds of a route, or `None` until there are enough responses.
    #[must_use]
    pub fn get(&self, route: &Name) -> Option<LatencyThresholds> {
        self.routes.get(route)?.thresholds
    }
}

impl RouteLatencies {
    fn new() -> Self {
        // 1 µs to 1 h with two significant digits.
        let histogram =
            || Histogram::new_with_bounds(1, 3_600_000_000, 2).expect("the bounds are valid");
        RouteLatencies {
            ttft: histogram(),
            token_interval: histogram(),
            thresholds: None,
            next_update: MIN_SAMPLES,
        }
    }

    fn update_thresholds(&mut self, reset: bool) {
        let token_interval = match self.token_interval.len() {
            0 => Duration::MAX,
            _ => Duration::from_micros(self.token_interval.value_at_quantile(SLOW_QUANTILE)),
        };
        self.thresholds = Some(LatencyThresholds {
            ttft: Duration::from_micros(self.ttft.value_at_quantile(SLOW_QUANTILE)),
            token_interval,
        });
        if reset {
            self.ttft.reset();
            self.token_interval.reset();
        }
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
