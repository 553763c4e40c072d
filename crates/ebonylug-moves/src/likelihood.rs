/// A beta distribution over the rate of bad responses.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Beta {
    pub a: f64,
    pub b: f64,
}

/// Prior of the rate of bad responses of a healthy version: a mixture of normal operation and
/// bursts, during which any rate is possible.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BaselinePrior {
    pub normal: Beta,
    pub burst: Beta,
    /// Probability of a burst.
    pub burst_weight: f64,
}

/// Bad responses among all responses of one version in one bucket.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Tally {
    pub bad: u64,
    pub total: u64,
}

impl Tally {
    pub(crate) fn plus(self, other: Tally) -> Tally {
        Tally {
            bad: self.bad + other.bad,
            total: self.total + other.total,
        }
    }

    pub(crate) fn rate(self) -> f64 {
        if self.total == 0 {
            return 0.0;
        }
        self.bad as f64 / self.total as f64
    }
}

impl Beta {
    /// Returns the log marginal likelihood of `tally` when its rate is drawn from `self`.
    fn log_marginal(self, tally: Tally) -> f64 {
        let bad = tally.bad as f64;
        let good = (tally.total - tally.bad.min(tally.total)) as f64;
        ln_beta(self.a + bad, self.b + good) - ln_beta(self.a, self.b)
    }
}

impl BaselinePrior {
    fn log_marginal(self, tally: Tally) -> f64 {
        let normal = self.normal.log_marginal(tally) + (1.0 - self.burst_weight).ln();
        let burst = self.burst.log_marginal(tally) + self.burst_weight.ln();
        let max = normal.max(burst);
        max + ((normal - max).exp() + (burst - max).exp()).ln()
    }
}

/// Returns the log likelihood ratios of the hypotheses that the new version has its own rate, drawn
/// from one of `worse`, against the null hypothesis that both versions share one rate, drawn from
/// `baseline`.
///
/// The rates are integrated out. A burst that affects both versions is explained by the shared
/// rate. When the old version has little traffic, the new one is effectively compared with
/// `baseline`.
pub(crate) fn log_likelihood_ratios(
    new: Tally,
    old: Tally,
    baseline: BaselinePrior,
    worse: [Beta; 2],
) -> [f64; 2] {
    let shared = baseline.log_marginal(new.plus(old)) - baseline.log_marginal(old);
    worse.map(|worse| worse.log_marginal(new) - shared)
}

fn ln_beta(a: f64, b: f64) -> f64 {
    libm::lgamma(a) + libm::lgamma(b) - libm::lgamma(a + b)
}
