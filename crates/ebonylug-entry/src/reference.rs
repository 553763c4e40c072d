use std::collections::HashMap;
use std::time::Duration;

use hdrhistogram::Histogram;

use ebonylug_core::Name;
use ebonylug_moves::LatencyThresholds;

/// Answers after which a new reference is taken, so that it follows slow changes of the load.
const WINDOW: u64 = 512;
/// Answers before the first reference is taken.
const MIN_SAMPLES: u64 = 50;
/// The quantile of the old version's latencies above which an answer counts as slow.
const QUANTILE: f64 = 0.95;

/// Latencies of the version that serves a route, by which the answers of the next are judged.
#[derive(Debug, Default)]
pub struct References {
    routes: HashMap<Name, Route>,
}

#[derive(Debug)]
struct Route {
    first: Histogram<u64>,
    token: Histogram<u64>,
    reference: Option<LatencyThresholds>,
}

impl References {
    /// Records an answer of a route's base version.
    pub fn record(&mut self, route: &Name, first: Duration, token: Option<Duration>) {
        let route = self.routes.entry(route.clone()).or_insert_with(Route::new);
        route.first.saturating_record(micros(first));
        if let Some(token) = token {
            route.token.saturating_record(micros(token));
        }
        let samples = route.first.len();
        if samples >= WINDOW || (route.reference.is_none() && samples >= MIN_SAMPLES) {
            route.renew(samples >= WINDOW);
        }
    }

    /// Returns the reference of a route, once there are enough answers.
    pub fn get(&self, route: &Name) -> Option<LatencyThresholds> {
        self.routes.get(route)?.reference
    }
}

impl Route {
    fn new() -> Self {
        // One microsecond to one hour, two significant digits.
        let histogram =
            || Histogram::new_with_bounds(1, 3_600_000_000, 2).expect("the bounds are valid");
        Route {
            first: histogram(),
            token: histogram(),
            reference: None,
        }
    }

    fn renew(&mut self, reset: bool) {
        let token = match self.token.len() {
            0 => Duration::MAX,
            _ => Duration::from_micros(self.token.value_at_quantile(QUANTILE)),
        };
        self.reference = Some(LatencyThresholds {
            ttft: Duration::from_micros(self.first.value_at_quantile(QUANTILE)),
            token_interval: token,
        });
        if reset {
            self.first.reset();
            self.token.reset();
        }
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
