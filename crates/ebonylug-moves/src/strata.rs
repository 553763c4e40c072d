use std::collections::BTreeMap;
use std::time::SystemTime;

use ebonylug_core::Name;

use crate::likelihood::Tally;
use crate::{Bucket, Counts, Evidence, Measure, MoveSpec};

/// Minimum number of requests of the old version in a comparable group.
const MIN_OLD_REQUESTS: u64 = 4;
/// Maximum ratio of requests of the new version to requests of the old one in a comparable group.
/// It permits a comparison up to a share of 80 %.
const MAX_TRAFFIC_RATIO: u64 = 4;
/// Number of requests of the new version that complete a group even if it is not comparable.
const FULL_GROUP_REQUESTS: u64 = 8;
/// Maximum number of buckets that a group spans: one minute.
const MAX_GROUP_BUCKETS: u64 = 30;

/// One or more consecutive buckets whose counters are added up for the comparison.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Group {
    pub first: Bucket,
    /// Tallies of the new version, indexed by [`Measure`].
    new: [Tally; 2],
    /// Tallies of the old version, indexed by [`Measure`].
    old: [Tally; 2],
}

/// A stratum of the comparison: one route, or the sum over all routes.
#[derive(Clone, Debug)]
pub(crate) struct Stratum<'a> {
    pub route: Option<&'a Name>,
    pub groups: Vec<Group>,
}

impl Group {
    pub(crate) fn new_tally(&self, measure: Measure) -> Tally {
        self.new[measure as usize]
    }

    pub(crate) fn old_tally(&self, measure: Measure) -> Tally {
        self.old[measure as usize]
    }

    /// Reports whether the old version had enough traffic for a comparison. A few requests of the
    /// old version are no basis for comparison with much traffic of the new one: in a burst of 30 %
    /// failures, about one in four groups of four requests has no failure.
    pub(crate) fn is_comparable(&self) -> bool {
        let [new, old] = [self.new[0].total, self.old[0].total];
        old >= MIN_OLD_REQUESTS && MAX_TRAFFIC_RATIO * old >= new
    }

    fn is_complete(&self, next: Bucket) -> bool {
        let [new, old] = [self.new[0].total, self.old[0].total];
        (new > 0 && old >= MIN_OLD_REQUESTS)
            || new >= FULL_GROUP_REQUESTS
            || next.0 >= self.first.0 + MAX_GROUP_BUCKETS
    }

    fn merge(&mut self, other: &Group) {
        for i in 0..2 {
            self.new[i] = self.new[i].plus(other.new[i]);
            self.old[i] = self.old[i].plus(other.old[i]);
        }
    }
}

/// Returns one stratum per route and, if there are several routes, their sum as the last one.
pub(crate) fn strata<'a>(
    spec: &'a MoveSpec,
    evidence: &Evidence,
    now: SystemTime,
) -> Vec<Stratum<'a>> {
    let last = Bucket::of(now);
    let mut strata = Vec::with_capacity(spec.routes.len() + 1);
    let mut sum: BTreeMap<Bucket, Group> = BTreeMap::new();
    for route in &spec.routes {
        let buckets = paired_buckets(spec, evidence, route, last);
        if spec.routes.len() > 1 {
            for bucket in &buckets {
                let entry = sum.entry(bucket.first);
                entry.and_modify(|g| g.merge(bucket)).or_insert(*bucket);
            }
        }
        strata.push(Stratum {
            route: Some(route),
            groups: group_buckets(buckets),
        });
    }
    if spec.routes.len() > 1 {
        strata.push(Stratum {
            route: None,
            groups: group_buckets(sum.into_values()),
        });
    }
    strata
}

/// Returns the buckets of a route since the first request to the new version, with the tallies of
/// both versions.
fn paired_buckets(spec: &MoveSpec, evidence: &Evidence, route: &Name, last: Bucket) -> Vec<Group> {
    let mut new = evidence
        .totals(&spec.to, route, Bucket::of(spec.start))
        .take_while(|(bucket, _)| *bucket <= last)
        .peekable();
    let Some((first, _)) = new.peek().copied() else {
        return Vec::new();
    };
    let mut old = evidence
        .totals(&spec.from, route, first)
        .take_while(|(bucket, _)| *bucket <= last)
        .peekable();
    let mut pairs = Vec::new();
    loop {
        let next = match (new.peek(), old.peek()) {
            (Some((a, _)), Some((b, _))) => *a.min(b),
            (Some((bucket, _)), None) | (None, Some((bucket, _))) => *bucket,
            (None, None) => return pairs,
        };
        let tallies_or_zero =
            |found: Option<(Bucket, Counts)>| found.map_or([Tally::default(); 2], tallies);
        pairs.push(Group {
            first: next,
            new: tallies_or_zero(new.next_if(|(bucket, _)| *bucket == next)),
            old: tallies_or_zero(old.next_if(|(bucket, _)| *bucket == next)),
        });
    }
}

/// Merges consecutive buckets until they can be compared.
fn group_buckets(buckets: impl IntoIterator<Item = Group>) -> Vec<Group> {
    let mut groups: Vec<Group> = Vec::new();
    for next in buckets {
        match groups.last_mut() {
            Some(last) if !last.is_complete(next.first) => last.merge(&next),
            _ => groups.push(next),
        }
    }
    groups
}

/// Returns the tallies of a bucket, indexed by [`Measure`].
pub(crate) fn tallies((_, counts): (Bucket, Counts)) -> [Tally; 2] {
    let failures = Tally {
        bad: counts.failures,
        total: counts.eligible(),
    };
    let slowness = Tally {
        bad: counts.slow,
        total: counts.successes,
    };
    [failures, slowness]
}
