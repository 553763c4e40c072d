use std::fmt;
use std::time::SystemTime;

use ebonylug_core::Name;
use serde::{Deserialize, Serialize};

use crate::likelihood::{Beta, Tally, Usual, log_ratios};
use crate::memo::Memo;
use crate::strata::{Group, strata};
use crate::{Evidence, MoveSpec};

/// What is compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Measure {
    /// Failures among all judged requests.
    Failures,
    /// Slow answers among the answers of warm targets.
    Slowness,
}

/// Where and how the new version is worse.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Finding {
    /// The route, or `None` if the sum over all routes shows it.
    pub route: Option<Name>,
    /// What was compared.
    pub measure: Measure,
    /// Bad and all requests of the new version in the buckets that show it.
    pub new: (u64, u64),
    /// Bad and all requests of the old version in the same buckets.
    pub old: (u64, u64),
    /// The log likelihood ratio.
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

/// The result of a comparison.
#[derive(Clone, Debug, PartialEq)]
pub enum Comparison {
    /// The evidence does not suffice yet.
    Inconclusive,
    /// The new version may be worse: its share is not raised, and is lowered so far that the
    /// old version has enough traffic to compare with.
    Suspect(Finding),
    /// The new version is worse.
    Worse(Finding),
    /// The new version is not worse.
    NotWorse,
}

/// Compares two versions by a sequential test on their failures and slow answers.
///
/// For each bucket (or several, if the traffic is low), the log likelihood ratio of "the new version is worse" against "both share
/// one rate" is added up, starting again from zero whenever it becomes negative (the CUSUM
/// scheme), so that a version that turns bad late is found as fast as one that is bad at once.
/// Each route is tested by itself and together with the others.
///
/// Buckets in which the old version has hardly any traffic prove nothing about a burst. They
/// raise suspicion, but decide only at the much higher threshold `absolute_threshold`.
#[derive(Clone, Copy, Debug)]
pub struct SequentialTest {
    /// Log likelihood ratio above which the new version is bad.
    pub worse_threshold: f64,
    /// The same when the old version has no traffic to compare with.
    pub absolute_threshold: f64,
    /// Log likelihood ratio above which the new version is suspect.
    pub suspect_threshold: f64,
    /// Log likelihood ratio that the sum over the buckets must exceed for the version to be bad.
    pub total_threshold: f64,
    /// Negative log likelihood ratio below which the new version is good.
    pub accept_threshold: f64,
    /// The most that one bucket may add. It is less than `worse_threshold`, so that one crashed target,
    /// which fails many requests in one moment, does not condemn its version.
    pub bucket_limit: f64,
    /// A rate of the new version up to `tolerance_factor` times the old one's plus `tolerance_margin` is tolerated.
    pub tolerance_factor: f64,
    /// See `tolerance_factor`.
    pub tolerance_margin: f64,
}

impl Default for SequentialTest {
    /// With the priors of [`Measure`], a ratio of e^15 bounds the chance of a false alarm in a
    /// move of an hour (1,800 buckets, two measures, four hypotheses) well below 1 %.
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
    /// Compares the versions of a move by the evidence up to `now`.
    #[must_use]
    pub fn evaluate(&self, spec: &MoveSpec, evidence: &Evidence, now: SystemTime) -> Comparison {
        self.evaluate_cached(&mut Memo::default(), spec, evidence, now)
    }

    pub(crate) fn evaluate_cached(
        &self,
        memo: &mut Memo,
        spec: &MoveSpec,
        evidence: &Evidence,
        now: SystemTime,
    ) -> Comparison {
        let strata = strata(spec, evidence, now);
        let mut suspect = None;
        let mut good = true;
        for (index, stratum) in strata.iter().enumerate() {
            for measure in [Measure::Failures, Measure::Slowness] {
                let trial = self.run(memo, index, measure, &stratum.groups);
                let finding = || trial.finding(stratum.route.cloned(), measure);
                match trial.outcome {
                    Outcome::Bad => return Comparison::Worse(finding()),
                    Outcome::Suspect => suspect = stronger(suspect, finding()),
                    // The last stratum is the sum over all routes, or the only route.
                    Outcome::Open if index + 1 == strata.len() => good = false,
                    Outcome::Open | Outcome::Good => {}
                }
            }
        }
        match suspect {
            Some(finding) => Comparison::Suspect(finding),
            None if good => Comparison::NotWorse,
            None => Comparison::Inconclusive,
        }
    }

    fn run(&self, memo: &mut Memo, stratum: usize, measure: Measure, groups: &[Group]) -> Trial {
        let stratum = 2 * stratum + measure as usize;
        let mut cusum = [Cusum::default(); 2];
        let mut sum = 0.0;
        for group in groups {
            let (new, old) = (group.new_tally(measure), group.old_tally(measure));
            if new.all == 0 {
                continue;
            }
            let ratios = memo.ratios(stratum, group.first, new, old, || {
                self.ratios(measure, new, old, self.bucket_limit)
            });
            let comparable = group.is_comparable();
            for (cusum, ratio) in cusum.iter_mut().zip(ratios) {
                cusum.add(ratio, new, old, comparable);
            }
            sum += ratios[0];
        }
        self.decide(measure, &cusum, sum)
    }

    /// Reports whether the sum over the groups shows it too. In a long burst, chance alone makes
    /// the new version look worse in some groups; the sum evens that out.
    fn confirms(&self, measure: Measure, run: &Run) -> bool {
        let ratios = self.ratios(measure, run.new, run.old, f64::INFINITY);
        ratios.into_iter().any(|ratio| ratio > self.total_threshold)
    }

    fn ratios(&self, measure: Measure, new: Tally, old: Tally, limit: f64) -> [f64; 2] {
        let (usual, worse) = measure.priors();
        let tolerated = new.rate() <= self.tolerance_factor * old.rate() + self.tolerance_margin;
        let most = if tolerated { 0.0 } else { limit };
        log_ratios(new, old, usual, worse).map(|ratio| ratio.min(most))
    }

    fn decide(&self, measure: Measure, cusum: &[Cusum; 2], sum: f64) -> Trial {
        let mut trial = Trial {
            outcome: Outcome::Open,
            run: Run::default(),
        };
        if sum <= -self.accept_threshold {
            trial.outcome = Outcome::Good;
        }
        for c in cusum {
            let proven =
                c.compared.sum > self.worse_threshold && self.confirms(measure, &c.compared);
            let bad = proven || c.any.sum > self.absolute_threshold;
            let run = if proven || c.compared.sum > c.any.sum {
                c.compared
            } else {
                c.any
            };
            let outcome = match (bad, run.sum > self.suspect_threshold) {
                (true, _) => Outcome::Bad,
                (false, true) => Outcome::Suspect,
                (false, false) => continue,
            };
            if outcome > trial.outcome || outcome == trial.outcome && run.sum > trial.run.sum {
                trial = Trial { outcome, run };
            }
        }
        trial
    }
}

impl Measure {
    /// Returns the usual rate, then a moderately and a clearly worse one.
    ///
    /// A healthy version fails about 1 % and, by the definition of the reference, is slow in
    /// about 5 %.
    pub(crate) fn priors(self) -> (Usual, [Beta; 2]) {
        let beta = |a, b| Beta { a, b };
        let usual = |calm| Usual {
            calm,
            burst: beta(1.0, 1.0),
            bursts: 0.05,
        };
        match self {
            Measure::Failures => (usual(beta(1.0, 99.0)), [beta(2.0, 18.0), beta(1.0, 1.0)]),
            Measure::Slowness => (usual(beta(2.0, 38.0)), [beta(4.0, 12.0), beta(2.0, 1.0)]),
        }
    }
}

/// A sum of ratios since it was last zero, with the requests that it is made of.
#[derive(Clone, Copy, Debug, Default)]
struct Run {
    sum: f64,
    new: Tally,
    old: Tally,
}

impl Run {
    fn add(&mut self, ratio: f64, new: Tally, old: Tally) {
        *self = Run {
            sum: self.sum + ratio,
            new: self.new.plus(new),
            old: self.old.plus(old),
        };
        if self.sum <= 0.0 {
            *self = Run::default();
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Cusum {
    /// Comparable groups only. Their requests are kept apart from those of other groups, in
    /// which the new version met a burst and the old one had no traffic.
    compared: Run,
    /// All groups since a comparable one spoke for the new version.
    any: Run,
}

impl Cusum {
    fn add(&mut self, ratio: f64, new: Tally, old: Tally, comparable: bool) {
        self.any.add(ratio, new, old);
        if !comparable {
            return;
        }
        self.compared.add(ratio, new, old);
        if ratio <= 0.0 {
            // Both versions do alike, so what was seen without comparison hit both.
            self.any = Run::default();
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Outcome {
    Open,
    Good,
    Suspect,
    Bad,
}

#[derive(Clone, Copy, Debug)]
struct Trial {
    outcome: Outcome,
    run: Run,
}

impl Trial {
    fn finding(&self, route: Option<Name>, measure: Measure) -> Finding {
        Finding {
            route,
            measure,
            new: (self.run.new.bad, self.run.new.all),
            old: (self.run.old.bad, self.run.old.all),
            ratio: self.run.sum,
        }
    }
}

fn stronger(known: Option<Finding>, other: Finding) -> Option<Finding> {
    match known {
        Some(known) if known.ratio >= other.ratio => Some(known),
        _ => Some(other),
    }
}
