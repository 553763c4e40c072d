use std::collections::BTreeMap;
use std::fmt;
use std::time::SystemTime;

use ebonylug_core::Name;
use serde::{Deserialize, Serialize};

use crate::likelihood::{Beta, Tally, log_ratio};
use crate::{Bucket, Counts, Evidence, MoveSpec};

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
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// The route, or `None` if the sum over all routes shows it.
    pub route: Option<Name>,
    /// What was compared.
    pub measure: Measure,
    /// Bad and all requests of the new version in the buckets that show it.
    pub new: (u64, u64),
    /// Bad and all requests of the old version in the same buckets.
    pub old: (u64, u64),
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
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Judgement {
    /// The evidence does not suffice yet.
    Continue,
    /// The new version may be worse: its share is not raised, and is lowered so far that the
    /// old version has enough traffic to compare with.
    Suspect(Finding),
    /// The new version is worse.
    Bad(Finding),
    /// The new version is not worse.
    Good,
}

/// Compares two versions by a sequential test on their failures and slow answers.
///
/// For each bucket, the log likelihood ratio of "the new version is worse" against "both share
/// one rate" is added up, starting again from zero whenever it becomes negative (the CUSUM
/// scheme), so that a version that turns bad late is found as fast as one that is bad at once.
/// Each route is tested by itself and together with the others.
///
/// Buckets in which the old version has hardly any traffic prove nothing about a burst. They
/// raise suspicion, but decide only at the much higher threshold `absolute`.
#[derive(Clone, Copy, Debug)]
pub struct Judge {
    /// Log likelihood ratio above which the new version is bad.
    pub bad: f64,
    /// The same when the old version has no traffic to compare with.
    pub absolute: f64,
    /// Log likelihood ratio above which the new version is suspect.
    pub suspect: f64,
    /// Negative log likelihood ratio below which the new version is good.
    pub good: f64,
    /// The most that one bucket may add. It is less than `bad`, so that one crashed target,
    /// which fails many requests in one moment, does not condemn its version.
    pub limit: f64,
    /// Requests of the old version that make a bucket comparable.
    pub control: u64,
    /// A rate of the new version up to `factor` times the old one's plus `margin` is tolerated.
    pub factor: f64,
    /// See `factor`.
    pub margin: f64,
}

impl Default for Judge {
    /// With the priors of [`Measure`], a ratio of e^13 bounds the chance of a false alarm in a
    /// move of an hour (1,800 buckets, two measures, four hypotheses) well below 1 %.
    fn default() -> Self {
        Judge {
            bad: 13.0,
            absolute: 30.0,
            suspect: 4.0,
            good: 3.0,
            limit: 7.0,
            control: 3,
            factor: 2.0,
            margin: 0.01,
        }
    }
}

impl Judge {
    /// Compares the versions of a move by the evidence up to `now`.
    #[must_use]
    pub fn judge(&self, spec: &MoveSpec, evidence: &Evidence, now: SystemTime) -> Judgement {
        let window = Bucket::of(spec.start)..=Bucket::of(now);
        let mut pooled = Pairs::new();
        let mut strata: Vec<(Option<Name>, Pairs)> = Vec::new();
        for route in &spec.routes {
            let mut pairs = Pairs::new();
            let new = evidence.totals(&spec.to, route);
            for (bucket, new) in new.filter(|(bucket, _)| window.contains(bucket)) {
                let old = evidence.total(&spec.from, route, bucket);
                pairs.insert(bucket, (new, old));
                let sum = pooled.entry(bucket).or_default();
                *sum = (sum.0.plus(new), sum.1.plus(old));
            }
            strata.push((Some(route.clone()), pairs));
        }
        if spec.routes.len() > 1 {
            strata.push((None, pooled));
        }
        self.combine(&strata)
    }

    fn combine(&self, strata: &[(Option<Name>, Pairs)]) -> Judgement {
        let mut suspect = None;
        let mut good = true;
        for (index, (route, pairs)) in strata.iter().enumerate() {
            for measure in [Measure::Failures, Measure::Slowness] {
                let trial = self.run(measure, pairs);
                let finding = || trial.finding(route.clone(), measure);
                match trial.outcome {
                    Outcome::Bad => return Judgement::Bad(finding()),
                    Outcome::Suspect => suspect = Some(finding()),
                    // The last stratum is the sum over all routes, or the only route.
                    Outcome::Open if index + 1 == strata.len() => good = false,
                    Outcome::Open | Outcome::Good => {}
                }
            }
        }
        match suspect {
            Some(finding) => Judgement::Suspect(finding),
            None if good => Judgement::Good,
            None => Judgement::Continue,
        }
    }

    fn run(&self, measure: Measure, pairs: &Pairs) -> Trial {
        let (usual, worse) = measure.priors();
        let mut cusum = worse.map(|_| Cusum::default());
        let mut sum = 0.0;
        for (new, old) in pairs.values() {
            let (new, old) = (measure.tally(new), measure.tally(old));
            if new.all == 0 {
                continue;
            }
            let tolerated = new.rate() <= self.factor * old.rate() + self.margin;
            for (i, worse) in worse.into_iter().enumerate() {
                let ratio = log_ratio(new, old, usual, worse).min(self.limit);
                let ratio = if tolerated { ratio.min(0.0) } else { ratio };
                cusum[i].add(ratio, new, old, old.all >= self.control);
                if i == 0 {
                    sum += ratio;
                }
            }
        }
        self.decide(&cusum, sum)
    }

    fn decide(&self, cusum: &[Cusum; 2], sum: f64) -> Trial {
        let mut trial = Trial {
            outcome: Outcome::Open,
            new: Tally::default(),
            old: Tally::default(),
        };
        if sum <= -self.good {
            trial.outcome = Outcome::Good;
        }
        for c in cusum {
            let bad = c.compared > self.bad || c.any > self.absolute;
            let suspect = c.compared.max(c.any) > self.suspect;
            let outcome = match (bad, suspect) {
                (true, _) => Outcome::Bad,
                (false, true) if trial.outcome != Outcome::Bad => Outcome::Suspect,
                _ => continue,
            };
            trial = Trial {
                outcome,
                new: c.new,
                old: c.old,
            };
        }
        trial
    }
}

type Pairs = BTreeMap<Bucket, (Counts, Counts)>;

impl Measure {
    /// Returns the usual rate, then a moderately and a clearly worse one.
    ///
    /// A healthy version fails about 1 % and, by the definition of the reference, is slow in
    /// about 5 %. The usual rates are spread widely, since bursts raise them for a while.
    fn priors(self) -> (Beta, [Beta; 2]) {
        match self {
            Measure::Failures => (
                Beta { a: 0.1, b: 9.9 },
                [Beta { a: 2.0, b: 18.0 }, Beta { a: 2.0, b: 2.0 }],
            ),
            Measure::Slowness => (
                Beta { a: 0.5, b: 9.5 },
                [Beta { a: 4.0, b: 12.0 }, Beta { a: 3.0, b: 2.0 }],
            ),
        }
    }

    fn tally(self, counts: &Counts) -> Tally {
        match self {
            Measure::Failures => Tally {
                bad: counts.failures,
                all: counts.judged(),
            },
            Measure::Slowness => Tally {
                bad: counts.slow,
                all: counts.answers,
            },
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Cusum {
    /// Sum over comparable buckets.
    compared: f64,
    /// Sum over all buckets since a comparable one spoke for the new version.
    any: f64,
    new: Tally,
    old: Tally,
}

impl Cusum {
    fn add(&mut self, ratio: f64, new: Tally, old: Tally, comparable: bool) {
        self.new = self.new.plus(new);
        self.old = self.old.plus(old);
        self.any = (self.any + ratio).max(0.0);
        if comparable {
            self.compared = (self.compared + ratio).max(0.0);
            if ratio <= 0.0 {
                // Both versions do alike, so what was seen without comparison hit both.
                self.any = 0.0;
            }
        }
        if self.any == 0.0 && self.compared == 0.0 {
            self.new = Tally::default();
            self.old = Tally::default();
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Open,
    Good,
    Suspect,
    Bad,
}

#[derive(Clone, Copy, Debug)]
struct Trial {
    outcome: Outcome,
    new: Tally,
    old: Tally,
}

impl Trial {
    fn finding(&self, route: Option<Name>, measure: Measure) -> Finding {
        Finding {
            route,
            measure,
            new: (self.new.bad, self.new.all),
            old: (self.old.bad, self.old.all),
        }
    }
}
