use std::time::{Duration, SystemTime};

use ebonylug_core::Name;

use crate::likelihood::{Tally, log_ratios};
use crate::strata::tallies;
use crate::{Bucket, Comparison, Evidence, Finding, MoveSpec};

/// Time for which a suspicion holds the share back at least: three buckets.
const HOLD: Duration = Duration::from_secs(6);
/// Fall or rise of the log likelihood ratio that is more than chance.
const CHANGE: f64 = 1.5;
/// Log likelihood ratio above which an episode counts.
const CLEAR: f64 = 4.0;
/// Time in which a vanished suspicion loses most of its weight. An episode takes 10 to 20 s.
const FADE: Duration = Duration::from_secs(120);
/// Weight of vanished suspicions above which the version is bad: three within 20 s.
const LIMIT: f64 = 2.85;
/// Requests of the old version that show whether it did badly too.
const MIN_OLD: u64 = 15;

/// What a suspicion means for the share.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Advice {
    /// The share may rise.
    Free,
    /// The share is held back.
    Hold,
    /// The suspicion came back so often that the version is bad.
    Bad(Finding),
}

/// Holds the share back while a version is suspect, and tries again when the suspicion weakens.
///
/// A version that is bad only at a share above the one at which it is compared becomes suspect
/// at a high share and looks healthy as soon as the share is lowered, again and again. Three
/// such episodes in short order condemn it. A burst does not count: there, the old version does
/// badly too while both are compared.
#[derive(Clone, Debug, Default)]
pub(crate) struct Probe {
    open: Option<Episode>,
    /// The last episode that has ended, until its cause is known.
    ended: Option<Episode>,
    weight: f64,
    counted: Option<SystemTime>,
}

#[derive(Clone, Debug)]
struct Episode {
    began: SystemTime,
    /// The buckets in which the suspicion arose, before the lower share had an effect.
    arose: (Bucket, Bucket),
    /// Whether the share was above the one at which versions are compared.
    high: bool,
    peak: f64,
    low: f64,
    finding: Finding,
}

impl Probe {
    /// Notes the result of a comparison. `high` says that the share is above the one to which a
    /// suspicion lowers it.
    pub(crate) fn note(
        &mut self,
        now: SystemTime,
        judgement: &Comparison,
        high: bool,
        spec: &MoveSpec,
        evidence: &Evidence,
    ) -> Advice {
        let mut advice = Advice::Free;
        if let Comparison::Suspect(finding) = judgement {
            advice = self.doubt(now, finding, high);
        } else if let Some(open) = self.open.take() {
            self.ended = Some(open);
        }
        match self.settle(now, spec, evidence) {
            Some(finding) => Advice::Bad(finding),
            None => advice,
        }
    }

    fn doubt(&mut self, now: SystemTime, finding: &Finding, high: bool) -> Advice {
        let ratio = finding.ratio;
        if let Some(open) = &mut self.open {
            let held = now.duration_since(open.began).unwrap_or_default();
            if held < HOLD || ratio > open.peak - CHANGE && open.low == f64::INFINITY {
                if ratio > open.peak {
                    open.peak = ratio;
                    open.finding = finding.clone();
                }
                return Advice::Hold;
            }
            open.low = open.low.min(ratio);
            if ratio < open.low + CHANGE {
                return Advice::Free;
            }
        }
        let last = Bucket::of(now);
        let next = Episode {
            began: now,
            arose: (Bucket(last.0.saturating_sub(1)), last),
            high,
            peak: ratio,
            low: f64::INFINITY,
            finding: finding.clone(),
        };
        if let Some(former) = self.open.replace(next) {
            self.ended = Some(former);
        }
        Advice::Hold
    }

    /// Counts the last episode when the old version has had enough traffic since it began.
    fn settle(&mut self, now: SystemTime, spec: &MoveSpec, evidence: &Evidence) -> Option<Finding> {
        let ended = self
            .ended
            .take_if(|ended| !ended.high || ended.is_compared(spec, evidence))?;
        if !ended.high || !ended.has_vanished(spec, evidence) {
            return None;
        }
        let since = self.counted.replace(now).unwrap_or(now);
        let passed = now.duration_since(since).unwrap_or_default();
        let fade = passed.as_secs_f64() / FADE.as_secs_f64();
        self.weight = 1.0 + self.weight * (-fade).exp();
        (self.weight > LIMIT).then_some(ended.finding)
    }
}

impl Episode {
    fn is_compared(&self, spec: &MoveSpec, evidence: &Evidence) -> bool {
        self.old(spec, evidence).all >= MIN_OLD
    }

    /// Reports whether the new version did badly beyond chance, and the old one did not.
    fn has_vanished(&self, spec: &MoveSpec, evidence: &Evidence) -> bool {
        let new = self.sum(&spec.to, spec, evidence, self.arose.1);
        let old = self.old(spec, evidence);
        let (usual, worse) = self.finding.measure.priors();
        let ratios = log_ratios(new, old, usual, worse);
        ratios.into_iter().any(|ratio| ratio > CLEAR) && old.rate() <= 0.25 * new.rate()
    }

    fn old(&self, spec: &MoveSpec, evidence: &Evidence) -> Tally {
        self.sum(&spec.from, spec, evidence, Bucket(u64::MAX))
    }

    fn sum(&self, version: &Name, spec: &MoveSpec, evidence: &Evidence, last: Bucket) -> Tally {
        let route = self.finding.route.as_ref();
        let routes = spec.routes.iter();
        routes
            .filter(|r| route.is_none_or(|route| route == *r))
            .flat_map(|route| evidence.totals(version, route, self.arose.0))
            .filter(|(bucket, _)| *bucket <= last)
            .map(|pair| tallies(pair)[self.finding.measure as usize])
            .fold(Tally::default(), Tally::plus)
    }
}
