use std::fmt;
use std::time::SystemTime;

use ebonylug_core::Name;
use serde::{Deserialize, Serialize};

use crate::likelihood::{BaselinePrior, Beta, Tally, log_likelihood_ratios};
use crate::ratio_cache::RatioCache;
use crate::strata::{Group, strata};
use crate::{Evidence, MoveSpec};

/// A rate of bad responses by which versions are compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Measure {
    /// Failures among all [eligible](crate::Counts::eligible) requests.
    Failures,
    /// Slow responses among the successful responses of warm targets.
    Slowness,
}

/// The data that shows a new version to be worse.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Finding {
    /// The route, or `None` for the sum over all routes.
    pub route: Option<Name>,
    /// The compared rate.
    pub measure: Measure,
    /// Bad requests and all requests of the new version in the buckets of the finding.
    pub new: (u64, u64),
    /// Bad requests and all requests of the old version in the same buckets.
    pub old: (u64, u64),
    /// The log likelihood ratio, summed over the buckets.
    pub ratio: f64,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let what = match self.measure {
            Measure::Failures => "failed",
            Measure::Slowness => "were slow",
        };
        let (new, old) = (self.new, self.old);
        write!(f, "{} of {} requests {what}", new.0, new.1)?;
        write!(f, ", with the old version {} of {}", old.0, old.1)?;
        match &self.route {
            Some(route) => write!(f, ", on route {route}"),
            None => write!(f, ", over all routes"),
        }
    }
}

/// The result of comparing the two versions of a move.
#[derive(Clone, Debug, PartialEq)]
pub enum Comparison {
    /// There is not enough data yet.
    Inconclusive,
    /// The new version may be worse. Its share is not raised, and is lowered until the old version
    /// has enough traffic for a comparison.
    Suspect(Finding),
    /// The new version is worse.
    Worse(Finding),
    /// The new version is not worse.
    NotWorse,
}

/// Compares two versions by a sequential test on their failures and slow responses.
///
/// For each bucket, or group of buckets if the traffic is low, the test computes the log likelihood
/// ratio of the hypothesis that the new version is worse against the hypothesis that both versions
/// share one rate. The ratios are summed, and the sum restarts from zero when it becomes negative
/// (CUSUM), so that a version that becomes worse late is detected as fast as one that is worse from
/// the start. Each route is tested separately, and so is the sum over all routes.
///
/// Buckets in which the old version has hardly any traffic do not distinguish a worse version from
/// a burst that affects both. They can make a version suspect, but show it to be worse only above
/// the much higher `absolute_threshold`.
#[derive(Clone, Copy, Debug)]
pub struct SequentialTest {
    /// Log likelihood ratio above which the new version is worse.
    pub worse_threshold: f64,
    /// Log likelihood ratio above which the new version is worse even if the old one has too little
    /// traffic for a comparison.
    pub absolute_threshold: f64,
    /// Log likelihood ratio above which the new version is suspect.
    pub suspect_threshold: f64,
    /// Log likelihood ratio that the totals over all buckets of a finding must exceed as well for
    /// the new version to be worse.
    pub total_threshold: f64,
    /// The new version is not worse when the log likelihood ratio falls below the negative of this
    /// value.
    pub accept_threshold: f64,
    /// Maximum log likelihood ratio of one group of buckets. It is less than `worse_threshold`, so
    /// that the crash of one target, which fails many requests at once, does not cause a rollback.
    pub bucket_limit: f64,
    /// A rate of the new version is tolerated up to `tolerance_factor` times the rate of the old
    /// one, plus `tolerance_margin`.
    pub tolerance_factor: f64,
    /// See `tolerance_factor`.
    pub tolerance_margin: f64,
}

impl Default for SequentialTest {
    /// Returns thresholds that, with the priors of [`Measure`], keep the probability of a false
    /// positive in a move of one hour (1,800 buckets, two measures, four hypotheses) well below
    /// 1 %: the test requires a likelihood ratio of e^15.
    fn default() -> Self {
        SequentialTest {
            worse_threshold: 15.0,
            absolute_threshold: 30.0,
            suspect_threshold: 2.5,
            total_threshold: 8.0,
            accept_threshold: 3.0,
            bucket_limit: 8.0,
            tolerance_factor: 2.0,
            tolerance_margin: 0.01,
        }
    }
}

impl SequentialTest {
    /// Compares the versions of a move by the counters up to `now`.
    #[must_use]
    pub fn evaluate(&self, spec: &MoveSpec, evidence: &Evidence, now: SystemTime) -> Comparison {
        self.evaluate_cached(&mut RatioCache::default(), spec, evidence, now)
    }

    pub(crate) fn evaluate_cached(
        &self,
        cache: &mut RatioCache,
        spec: &MoveSpec,
        evidence: &Evidence,
        now: SystemTime,
    ) -> Comparison {
        let strata = strata(spec, evidence, now);
        let mut suspect = None;
        let mut not_worse = true;
        for (index, stratum) in strata.iter().enumerate() {
            for measure in [Measure::Failures, Measure::Slowness] {
                let result = self.test_stratum(cache, index, measure, &stratum.groups);
                let finding = || result.finding(stratum.route.cloned(), measure);
                match result.outcome {
                    Outcome::Worse => return Comparison::Worse(finding()),
                    Outcome::Suspect => suspect = stronger_finding(suspect, finding()),
                    // The last stratum is the sum over all routes, or the only route.
                    Outcome::Inconclusive if index + 1 == strata.len() => not_worse = false,
                    Outcome::Inconclusive | Outcome::NotWorse => {}
                }
            }
        }
        match suspect {
            Some(finding) => Comparison::Suspect(finding),
            None if not_worse => Comparison::NotWorse,
            None => Comparison::Inconclusive,
        }
    }

    fn test_stratum(
        &self,
        cache: &mut RatioCache,
        stratum: usize,
        measure: Measure,
        groups: &[Group],
    ) -> StratumResult {
        let row = 2 * stratum + measure as usize;
        let mut cusums = [Cusum::default(); 2];
        let mut total = 0.0;
        for group in groups {
            let (new, old) = (group.new_tally(measure), group.old_tally(measure));
            if new.total == 0 {
                continue;
            }
            let ratios = cache.ratios(row, group.first, new, old, || {
                self.ratios(measure, new, old, self.bucket_limit)
            });
            let comparable = group.is_comparable();
            for (cusum, ratio) in cusums.iter_mut().zip(ratios) {
                cusum.add(ratio, new, old, comparable);
            }
            total += ratios[0];
        }
        self.decide(measure, &cusums, total)
    }

    /// Reports whether the totals over the groups also show the new version to be worse. In a long
    /// burst, the new version looks worse in some groups by chance; the totals average this out.
    fn confirms(&self, measure: Measure, sum: &RunningSum) -> bool {
        let ratios = self.ratios(measure, sum.new, sum.old, f64::INFINITY);
        ratios.into_iter().any(|ratio| ratio > self.total_threshold)
    }

    fn ratios(&self, measure: Measure, new: Tally, old: Tally, limit: f64) -> [f64; 2] {
        let (baseline, worse) = measure.priors();
        let tolerated = new.rate() <= self.tolerance_factor * old.rate() + self.tolerance_margin;
        let max = if tolerated { 0.0 } else { limit };
        log_likelihood_ratios(new, old, baseline, worse).map(|ratio| ratio.min(max))
    }

    fn decide(&self, measure: Measure, cusums: &[Cusum; 2], total: f64) -> StratumResult {
        let mut result = StratumResult {
            outcome: Outcome::Inconclusive,
            sum: RunningSum::default(),
        };
        if total <= -self.accept_threshold {
            result.outcome = Outcome::NotWorse;
        }
        for cusum in cusums {
            let proven = cusum.comparable.ratio > self.worse_threshold
                && self.confirms(measure, &cusum.comparable);
            let worse = proven || cusum.all_groups.ratio > self.absolute_threshold;
            let sum = if proven || cusum.comparable.ratio > cusum.all_groups.ratio {
                cusum.comparable
            } else {
                cusum.all_groups
            };
            let outcome = match (worse, sum.ratio > self.suspect_threshold) {
                (true, _) => Outcome::Worse,
                (false, true) => Outcome::Suspect,
                (false, false) => continue,
            };
            if outcome > result.outcome || outcome == result.outcome && sum.ratio > result.sum.ratio
            {
                result = StratumResult { outcome, sum };
            }
        }
        result
    }
}

impl Measure {
    /// Returns the prior of a healthy version, and the priors of a moderately worse and of a
    /// clearly worse one.
    ///
    /// A healthy version fails about 1 % of its requests and, by the definition of
    /// [`LatencyThresholds`](crate::LatencyThresholds), is slow in about 5 %.
    pub(crate) fn priors(self) -> (BaselinePrior, [Beta; 2]) {
        let beta = |a, b| Beta { a, b };
        let baseline = |normal| BaselinePrior {
            normal,
            burst: beta(1.0, 1.0),
            burst_weight: 0.05,
        };
        match self {
            Measure::Failures => (baseline(beta(1.0, 99.0)), [beta(2.0, 18.0), beta(1.0, 1.0)]),
            Measure::Slowness => (baseline(beta(2.0, 38.0)), [beta(4.0, 12.0), beta(2.0, 1.0)]),
        }
    }
}

/// A sum of log likelihood ratios since it was last reset to zero, with the tallies behind it.
#[derive(Clone, Copy, Debug, Default)]
struct RunningSum {
    ratio: f64,
    new: Tally,
    old: Tally,
}

impl RunningSum {
    fn add(&mut self, ratio: f64, new: Tally, old: Tally) {
        *self = RunningSum {
            ratio: self.ratio + ratio,
            new: self.new.plus(new),
            old: self.old.plus(old),
        };
        if self.ratio <= 0.0 {
            *self = RunningSum::default();
        }
    }
}

/// The cumulative sums for one hypothesis about the new version.
#[derive(Clone, Copy, Debug, Default)]
struct Cusum {
    /// Sum over comparable groups only. Their tallies are kept apart from those of groups in which
    /// the new version was hit by a burst and the old one had no traffic.
    comparable: RunningSum,
    /// Sum over all groups since the last comparable one that did not show the new version to be
    /// worse.
    all_groups: RunningSum,
}

impl Cusum {
    fn add(&mut self, ratio: f64, new: Tally, old: Tally, comparable: bool) {
        self.all_groups.add(ratio, new, old);
        if !comparable {
            return;
        }
        self.comparable.add(ratio, new, old);
        if ratio <= 0.0 {
            // The versions do not differ here, so what the groups without a comparison show most
            // likely affects both.
            self.all_groups = RunningSum::default();
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Outcome {
    Inconclusive,
    NotWorse,
    Suspect,
    Worse,
}

#[derive(Clone, Copy, Debug)]
struct StratumResult {
    outcome: Outcome,
    sum: RunningSum,
}

impl StratumResult {
    fn finding(&self, route: Option<Name>, measure: Measure) -> Finding {
        Finding {
            route,
            measure,
            new: (self.sum.new.bad, self.sum.new.total),
            old: (self.sum.old.bad, self.sum.old.total),
            ratio: self.sum.ratio,
        }
    }
}

fn stronger_finding(strongest: Option<Finding>, other: Finding) -> Option<Finding> {
    match strongest {
        Some(strongest) if strongest.ratio >= other.ratio => Some(strongest),
        _ => Some(other),
    }
}
