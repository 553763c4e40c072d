use ebonylug_core::Tokens;

use crate::recent_map::RecentMap;
use crate::{OrganisationKey, RouteKey, Settings};

/// Weight of a new observation once the mean has settled.
const EWMA_GAIN: f64 = 0.1;

/// Learns how much output the requests of an organisation on a route produce.
///
/// An organisation without observations is estimated from all requests of the route.
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

    /// Learns that a request produced `output`.
    pub(crate) fn record(&mut self, org: OrganisationKey, route: RouteKey, output: Tokens) {
        self.estimates.touch((None, route)).record(output.as_f64());
        self.estimates
            .touch((Some(org), route))
            .record(output.as_f64());
    }

    /// Returns the expected output.
    pub(crate) fn expected(&self, org: OrganisationKey, route: RouteKey) -> Tokens {
        let known = self.estimates.get(&(Some(org), route));
        let estimate = known.or_else(|| self.estimates.get(&(None, route)));
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
        // A plain mean over the first observations, so that the first one does not dominate.
        let gain = EWMA_GAIN.max(1.0 / f64::from(self.count));
        let error = (output - self.mean).abs();
        if self.count > 1 {
            self.deviation += gain * (error - self.deviation);
        }
        self.mean += gain * (output - self.mean);
    }
}
