use std::collections::BTreeMap;
use std::time::SystemTime;

use ebonylug_core::Name;

use crate::likelihood::Tally;
use crate::{Bucket, Counts, Evidence, Measure, MoveSpec};

/// Requests of the old version that make a group of buckets comparable.
const CONTROL: u64 = 4;
/// Requests of the new version for each of the old one above which nothing is compared. It
/// permits a comparison up to a share of 80 %.
const RATIO: u64 = 4;
/// Requests of the new version that are a group even without comparison.
const ENOUGH: u64 = 8;
/// Buckets that a group spans at most: one minute.
const SPAN: u64 = 30;

/// One or more adjacent buckets that are compared as one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Group {
    pub first: Bucket,
    new: [Tally; 2],
    old: [Tally; 2],
}

/// What is compared by itself: one route, or the sum over all.
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

    /// Reports whether the old version had enough traffic for a comparison. Beside a lot of new
    /// traffic, a few old requests prove nothing: in a burst of 30 % failures, one in four groups
    /// of four has none.
    pub(crate) fn is_comparable(&self) -> bool {
        let [new, old] = [self.new[0].all, self.old[0].all];
        old >= CONTROL && RATIO * old >= new
    }

    fn is_closed(&self, next: Bucket) -> bool {
        let [new, old] = [self.new[0].all, self.old[0].all];
        (new > 0 && old >= CONTROL) || new >= ENOUGH || next.0 >= self.first.0 + SPAN
    }

    fn absorb(&mut self, other: &Group) {
        for i in 0..2 {
            self.new[i] = self.new[i].plus(other.new[i]);
            self.old[i] = self.old[i].plus(other.old[i]);
        }
    }
}

/// Returns the routes of a move and last, if there are several, their sum.
pub(crate) fn strata<'a>(
    spec: &'a MoveSpec,
    evidence: &Evidence,
    now: SystemTime,
) -> Vec<Stratum<'a>> {
    let last = Bucket::of(now);
    let mut strata = Vec::with_capacity(spec.routes.len() + 1);
    let mut sum: BTreeMap<Bucket, Group> = BTreeMap::new();
    for route in &spec.routes {
        let buckets = pairs(spec, evidence, route, last);
        if spec.routes.len() > 1 {
            for bucket in &buckets {
                let same = sum.entry(bucket.first);
                same.and_modify(|g| g.absorb(bucket)).or_insert(*bucket);
            }
        }
        strata.push(Stratum {
            route: Some(route),
            groups: join(buckets),
        });
    }
    if spec.routes.len() > 1 {
        strata.push(Stratum {
            route: None,
            groups: join(sum.into_values()),
        });
    }
    strata
}

/// Returns the buckets of a route since the first request to the new version.
fn pairs(spec: &MoveSpec, evidence: &Evidence, route: &Name, last: Bucket) -> Vec<Group> {
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
        let counts = |found: Option<(Bucket, Counts)>| found.map_or([Tally::default(); 2], tallies);
        pairs.push(Group {
            first: next,
            new: counts(new.next_if(|(bucket, _)| *bucket == next)),
            old: counts(old.next_if(|(bucket, _)| *bucket == next)),
        });
    }
}

/// Joins adjacent buckets until they can be compared.
fn join(buckets: impl IntoIterator<Item = Group>) -> Vec<Group> {
    let mut groups: Vec<Group> = Vec::new();
    for next in buckets {
        match groups.last_mut() {
            Some(last) if !last.is_closed(next.first) => last.absorb(&next),
            _ => groups.push(next),
        }
    }
    groups
}

pub(crate) fn tallies((_, counts): (Bucket, Counts)) -> [Tally; 2] {
    let failures = Tally {
        bad: counts.failures,
        all: counts.eligible(),
    };
    let slowness = Tally {
        bad: counts.slow,
        all: counts.successes,
    };
    [failures, slowness]
}
