use std::time::{Duration, SystemTime};

use ebonylug_core::Name;

use crate::likelihood::{Tally, log_likelihood_ratios};
use crate::strata::tallies;
use crate::{Bucket, Comparison, Evidence, Finding, MoveSpec};

/// Minimum time for which a suspicion holds the share back: three buckets.
const MIN_HOLD: Duration = Duration::from_secs(6);
/// Change of the log likelihood ratio that is more than random variation.
const MIN_RATIO_CHANGE: f64 = 1.5;
/// Log likelihood ratio above which an episode is counted.
const MIN_EPISODE_RATIO: f64 = 4.0;
/// Time constant of the exponential decay of episode weights. An episode takes 10 to 20 s.
const WEIGHT_DECAY: Duration = Duration::from_secs(120);
/// Total weight of counted episodes above which the version is worse: three within 20 s.
const MAX_WEIGHT: f64 = 2.85;
/// Minimum number of requests of the old version that show whether it was affected too.
const MIN_OLD_REQUESTS: u64 = 15;

/// The effect of the suspicions so far on the share of the new version.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum ShareAdvice {
    /// The share may rise.
    Raise,
    /// The share is held back because of a current suspicion.
    Hold,
    /// The suspicion recurred so often that the version is considered worse.
    Worse(Finding),
}

/// Holds the share back while a version is suspect, and lets it rise again when the suspicion
/// weakens.
///
/// A version that fails only under high load becomes suspect at a high share, at which the old
/// version has too little traffic for a comparison. It looks healthy as soon as the share is
/// lowered, and this repeats. Three such episodes in short succession cause a rollback. A burst is
/// not counted, because it affects the old version as well while both are compared.
#[derive(Clone, Debug, Default)]
pub(crate) struct SuspicionTracker {
    current: Option<Episode>,
    /// The last episode that has ended, until there is enough data to classify it.
    ended: Option<Episode>,
    /// Total weight of the counted episodes as of `last_counted`.
    weight: f64,
    /// When an episode was last counted.
    last_counted: Option<SystemTime>,
}

#[derive(Clone, Debug)]
struct Episode {
    started: SystemTime,
    /// First and last bucket of the onset, before the lower share takes effect.
    onset: (Bucket, Bucket),
    /// Whether the share was above the limit for suspect versions at the onset.
    high_share: bool,
    /// The highest log likelihood ratio, and the finding with it.
    max_ratio: f64,
    /// The lowest ratio since the suspicion weakened, or infinity before.
    min_ratio: f64,
    finding: Finding,
}

impl SuspicionTracker {
    /// Processes the result of a comparison. `high_share` reports whether the share is above the
    /// limit to which a suspicion lowers it.
    pub(crate) fn update(
        &mut self,
        now: SystemTime,
        comparison: &Comparison,
        high_share: bool,
        spec: &MoveSpec,
        evidence: &Evidence,
    ) -> ShareAdvice {
        let mut advice = ShareAdvice::Raise;
        if let Comparison::Suspect(finding) = comparison {
            advice = self.track_suspicion(now, finding, high_share);
        } else if let Some(episode) = self.current.take() {
            self.ended = Some(episode);
        }
        match self.classify_ended(now, spec, evidence) {
            Some(finding) => ShareAdvice::Worse(finding),
            None => advice,
        }
    }

    fn track_suspicion(
        &mut self,
        now: SystemTime,
        finding: &Finding,
        high_share: bool,
    ) -> ShareAdvice {
        let ratio = finding.ratio;
        if let Some(episode) = &mut self.current {
            let held = now.duration_since(episode.started).unwrap_or_default();
            if held < MIN_HOLD
                || ratio > episode.max_ratio - MIN_RATIO_CHANGE
                    && episode.min_ratio == f64::INFINITY
            {
                if ratio > episode.max_ratio {
                    episode.max_ratio = ratio;
                    episode.finding = finding.clone();
                }
                return ShareAdvice::Hold;
            }
            episode.min_ratio = episode.min_ratio.min(ratio);
            if ratio < episode.min_ratio + MIN_RATIO_CHANGE {
                return ShareAdvice::Raise;
            }
        }
        let last = Bucket::of(now);
        let next = Episode {
            started: now,
            onset: (Bucket(last.0.saturating_sub(1)), last),
            high_share,
            max_ratio: ratio,
            min_ratio: f64::INFINITY,
            finding: finding.clone(),
        };
        if let Some(previous) = self.current.replace(next) {
            self.ended = Some(previous);
        }
        ShareAdvice::Hold
    }

    /// Counts the last ended episode if it affected only the new version, as soon as the old one
    /// has had enough traffic since the start of the episode. Returns its finding if the total
    /// weight of counted episodes exceeds the limit.
    fn classify_ended(
        &mut self,
        now: SystemTime,
        spec: &MoveSpec,
        evidence: &Evidence,
    ) -> Option<Finding> {
        let ended = self
            .ended
            .take_if(|ended| !ended.high_share || ended.has_comparison(spec, evidence))?;
        if !ended.high_share || !ended.affects_only_new(spec, evidence) {
            return None;
        }
        let since = self.last_counted.replace(now).unwrap_or(now);
        let elapsed = now.duration_since(since).unwrap_or_default();
        let decay = elapsed.as_secs_f64() / WEIGHT_DECAY.as_secs_f64();
        self.weight = 1.0 + self.weight * (-decay).exp();
        (self.weight > MAX_WEIGHT).then_some(ended.finding)
    }
}

impl Episode {
    fn has_comparison(&self, spec: &MoveSpec, evidence: &Evidence) -> bool {
        self.old_tally(spec, evidence).total >= MIN_OLD_REQUESTS
    }

    /// Reports whether the new version was worse by more than chance while the old one was not
    /// affected.
    fn affects_only_new(&self, spec: &MoveSpec, evidence: &Evidence) -> bool {
        let new = self.sum_tallies(&spec.to, spec, evidence, self.onset.1);
        let old = self.old_tally(spec, evidence);
        let (baseline, worse) = self.finding.measure.priors();
        let ratios = log_likelihood_ratios(new, old, baseline, worse);
        ratios.into_iter().any(|ratio| ratio > MIN_EPISODE_RATIO) && old.rate() <= 0.25 * new.rate()
    }

    fn old_tally(&self, spec: &MoveSpec, evidence: &Evidence) -> Tally {
        self.sum_tallies(&spec.from, spec, evidence, Bucket(u64::MAX))
    }

    fn sum_tallies(
        &self,
        version: &Name,
        spec: &MoveSpec,
        evidence: &Evidence,
        last: Bucket,
    ) -> Tally {
        let route = self.finding.route.as_ref();
        let routes = spec.routes.iter();
        routes
            .filter(|r| route.is_none_or(|route| route == *r))
            .flat_map(|route| evidence.totals(version, route, self.onset.0))
            .filter(|(bucket, _)| *bucket <= last)
            .map(|pair| tallies(pair)[self.finding.measure as usize])
            .fold(Tally::default(), Tally::plus)
    }
}
