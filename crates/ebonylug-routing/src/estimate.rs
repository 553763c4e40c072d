use ebonylug_core::Tokens;

use crate::recent_map::RecentMap;
use crate::{OrganisationKey, RouteKey, Settings};

/// Weight of a new observation in the moving averages, after the first observations.
const EWMA_GAIN: f64 = 0.1;

/// Estimates the output length of requests by organisation and route.
///
/// The estimate for an organisation without observations is that of all requests of the route.
#[derive(Debug)]
pub(crate) struct Estimator {
    estimates: RecentMap<(Option<OrganisationKey>, RouteKey), Estimate>,
    initial: f64,
    margin: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Estimate {
    mean: f64,
    deviation: f64,
    count: u32,
}

impl Estimator {
    pub(crate) fn new(settings: &Settings) -> Self {
        Estimator {
            estimates: RecentMap::new(settings.estimates),
            initial: settings.initial_output.as_f64(),
            margin: settings.output_margin,
        }
    }

    /// Adds an observed output length to the estimates.
    pub(crate) fn record(&mut self, org: OrganisationKey, route: RouteKey, output: Tokens) {
        self.estimates.touch((None, route)).record(output.as_f64());
        self.estimates
            .touch((Some(org), route))
            .record(output.as_f64());
    }

    /// Returns the mean output plus the configured margin, or the initial value before any
    /// observation.
    pub(crate) fn expected(&self, org: OrganisationKey, route: RouteKey) -> Tokens {
        let specific = self.estimates.get(&(Some(org), route));
        let estimate = specific.or_else(|| self.estimates.get(&(None, route)));
        let output = estimate.map_or(self.initial, |e| e.mean + self.margin * e.deviation);
        Tokens(output.ceil() as u64)
    }

    pub(crate) fn len(&self) -> usize {
        self.estimates.len()
    }
}

impl Estimate {
    fn record(&mut self, output: f64) {
        self.count = self.count.saturating_add(1);
        // The first observations have equal weight, so that the very first one does not dominate.
        let gain = EWMA_GAIN.max(1.0 / f64::from(self.count));
        let error = (output - self.mean).abs();
        if self.count > 1 {
            self.deviation += gain * (error - self.deviation);
        }
        self.mean += gain * (output - self.mean);
    }
}
