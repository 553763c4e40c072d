/// A beta distribution over the rate of bad answers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Beta {
    pub a: f64,
    pub b: f64,
}

/// What the rate of a healthy version is: calm most of the time, anything during a burst.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Usual {
    pub calm: Beta,
    pub burst: Beta,
    /// The part of the time that is a burst.
    pub bursts: f64,
}

/// Bad answers among all answers of one version in one bucket.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Tally {
    pub bad: u64,
    pub all: u64,
}

impl Tally {
    pub(crate) fn plus(self, other: Tally) -> Tally {
        Tally {
            bad: self.bad + other.bad,
            all: self.all + other.all,
        }
    }

    pub(crate) fn rate(self) -> f64 {
        if self.all == 0 {
            return 0.0;
        }
        self.bad as f64 / self.all as f64
    }
}

impl Beta {
    /// Returns the logarithm of the probability of `tally` when its rate is drawn from `self`.
    fn log_marginal(self, tally: Tally) -> f64 {
        let bad = tally.bad as f64;
        let good = (tally.all - tally.bad.min(tally.all)) as f64;
        ln_beta(self.a + bad, self.b + good) - ln_beta(self.a, self.b)
    }
}

impl Usual {
    fn log_marginal(self, tally: Tally) -> f64 {
        let calm = self.calm.log_marginal(tally) + (1.0 - self.bursts).ln();
        let burst = self.burst.log_marginal(tally) + self.bursts.ln();
        let most = calm.max(burst);
        most + ((calm - most).exp() + (burst - most).exp()).ln()
    }
}

/// Returns the log likelihood ratios of "the new version has its own rate, drawn from one of
/// `worse`" against "both versions share one rate, drawn from `usual`".
///
/// The rates are integrated out. A burst that hits both versions is explained by the shared
/// rate, and when the old version has little traffic, `usual` takes the place of the comparison.
pub(crate) fn log_ratios(new: Tally, old: Tally, usual: Usual, worse: [Beta; 2]) -> [f64; 2] {
    let shared = usual.log_marginal(new.plus(old)) - usual.log_marginal(old);
    worse.map(|worse| worse.log_marginal(new) - shared)
}

fn ln_beta(a: f64, b: f64) -> f64 {
    libm::lgamma(a) + libm::lgamma(b) - libm::lgamma(a + b)
}
