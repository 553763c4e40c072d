use std::collections::BTreeMap;
use std::time::{Duration, SystemTime};

use ebonylug_core::{Incarnation, Name};
use serde::{Deserialize, Serialize};

use crate::{Counts, Sample};

/// The length of a bucket. It must be shorter than the 3 s within which a bad version loses its
/// traffic, and long enough for a bucket to hold enough requests for a comparison.
pub const BUCKET_LENGTH: Duration = Duration::from_secs(2);
/// Maximum number of buckets per series. Empty buckets are not stored, so a series covers at least
/// ten minutes.
pub const MAX_BUCKETS: usize = 300;
/// Maximum number of series, one for each process, version and route: 128 peers, 2 versions and 4
/// routes. This bounds the memory to about 20 MB.
pub const MAX_SERIES: usize = 1_024;

/// A bucket, identified by its number since the Unix epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Bucket(pub u64);

impl Bucket {
    /// Returns the bucket that contains `time`.
    #[must_use]
    pub fn of(time: SystemTime) -> Self {
        let since = time
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        Bucket(since.as_secs() / BUCKET_LENGTH.as_secs())
    }
}

type Series = BTreeMap<Bucket, Counts>;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SeriesKey {
    version: Name,
    route: Name,
    process: Incarnation,
}

/// Outcome counters by version, route, process and bucket.
///
/// This is a grow-only counter that is replicated between entries: each process increments only its
/// own counters. Merging takes the maximum of each counter, which is idempotent, commutative and
/// associative, so duplicated and reordered messages have no effect. Each series keeps its newest
/// [`MAX_BUCKETS`] buckets, which does not depend on the order of merges either. Above
/// [`MAX_SERIES`], the series with the oldest last bucket are evicted.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(into = "Vec<Row>", from = "Vec<Row>")]
pub struct Evidence {
    series: BTreeMap<SeriesKey, Series>,
    /// Sums over all processes, by version and route.
    totals: BTreeMap<(Name, Name), Series>,
}

impl Evidence {
    /// Counts the outcome of one request at `now`. `process` must be the calling process.
    pub fn record(
        &mut self,
        now: SystemTime,
        process: Incarnation,
        version: impl Into<Name>,
        route: impl Into<Name>,
        sample: Sample,
    ) {
        let key = SeriesKey {
            version: version.into(),
            route: route.into(),
            process,
        };
        let bucket = Bucket::of(now);
        let mut counts = Counts::default();
        counts.add(sample);
        self.update_bucket(key, bucket, |counters| counters.plus(counts));
        self.evict_series();
    }

    /// Merges the counters received from another process.
    pub fn merge(&mut self, other: &Evidence) {
        for (key, buckets) in &other.series {
            for (bucket, counts) in buckets {
                self.merge_bucket(key.clone(), *bucket, *counts);
            }
        }
        self.evict_series();
    }

    /// Returns the counters of the buckets from `first` on, to be sent to peers.
    ///
    /// If `process` is given, only its counters are returned.
    #[must_use]
    pub fn since(&self, first: Bucket, process: Option<Incarnation>) -> Evidence {
        let mut recent = Evidence::default();
        let selected = self
            .series
            .iter()
            .filter(|(key, _)| process.is_none_or(|process| key.process == process));
        for (key, buckets) in selected {
            for (bucket, counts) in buckets.range(first..) {
                recent.merge_bucket(key.clone(), *bucket, *counts);
            }
        }
        recent
    }

    /// Returns the sum over all processes for one version, route and bucket. It is zero for a
    /// bucket without requests.
    #[must_use]
    pub fn total(&self, version: &Name, route: &Name, bucket: Bucket) -> Counts {
        self.totals
            .get(&(version.clone(), route.clone()))
            .and_then(|buckets| buckets.get(&bucket))
            .copied()
            .unwrap_or_default()
    }

    /// Returns the sums over all processes for one version and route, in order of the buckets from
    /// `first` on.
    pub fn totals(
        &self,
        version: &Name,
        route: &Name,
        first: Bucket,
    ) -> impl Iterator<Item = (Bucket, Counts)> + '_ {
        self.totals
            .get(&(version.clone(), route.clone()))
            .into_iter()
            .flat_map(move |buckets| buckets.range(first..))
            .map(|(bucket, counts)| (*bucket, *counts))
    }

    /// Removes all counters of a version that is no longer part of a move.
    pub fn remove_version(&mut self, version: &Name) {
        self.series.retain(|key, _| key.version != *version);
        self.totals.retain(|(other, _), _| other != version);
    }

    /// Returns the number of series and the number of buckets over all series.
    #[must_use]
    pub fn size(&self) -> (usize, usize) {
        let buckets = self.series.values().map(BTreeMap::len).sum();
        (self.series.len(), buckets)
    }

    fn merge_bucket(&mut self, key: SeriesKey, bucket: Bucket, counts: Counts) {
        self.update_bucket(key, bucket, |counters| counters.max(counts));
    }

    fn update_bucket(
        &mut self,
        key: SeriesKey,
        bucket: Bucket,
        update: impl FnOnce(Counts) -> Counts,
    ) {
        let total = (key.version.clone(), key.route.clone());
        let buckets = self.series.entry(key).or_default();
        let counters = buckets.entry(bucket).or_default();
        let updated = update(*counters);
        let added = updated.minus(*counters);
        *counters = updated;
        let expired = if buckets.len() > MAX_BUCKETS {
            buckets.pop_first()
        } else {
            None
        };
        let totals = self.totals.entry(total).or_default();
        let sum = totals.entry(bucket).or_default();
        *sum = sum.plus(added);
        if let Some((bucket, counts)) = expired {
            subtract(totals, bucket, counts);
        }
    }

    fn evict_series(&mut self) {
        while self.series.len() > MAX_SERIES {
            let oldest = self
                .series
                .iter()
                .min_by_key(|(_, buckets)| buckets.last_key_value().map(|(bucket, _)| *bucket))
                .map(|(key, _)| key.clone());
            let Some(key) = oldest else { return };
            let buckets = self.series.remove(&key).unwrap_or_default();
            let total = (key.version, key.route);
            let Some(totals) = self.totals.get_mut(&total) else {
                continue;
            };
            for (bucket, counts) in buckets {
                subtract(totals, bucket, counts);
            }
            if totals.is_empty() {
                self.totals.remove(&total);
            }
        }
    }
}

impl PartialEq for Evidence {
    fn eq(&self, other: &Self) -> bool {
        self.series == other.series
    }
}

/// The serialized form of one series.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Row {
    version: Name,
    route: Name,
    process: Incarnation,
    #[serde(rename = "cells")]
    buckets: Vec<(Bucket, Counts)>,
}

impl From<Evidence> for Vec<Row> {
    fn from(evidence: Evidence) -> Self {
        let rows = evidence.series.into_iter().map(|(key, buckets)| Row {
            version: key.version,
            route: key.route,
            process: key.process,
            buckets: buckets.into_iter().collect(),
        });
        rows.collect()
    }
}

impl From<Vec<Row>> for Evidence {
    fn from(rows: Vec<Row>) -> Self {
        let mut evidence = Evidence::default();
        for row in rows {
            let key = SeriesKey {
                version: row.version,
                route: row.route,
                process: row.process,
            };
            for (bucket, counts) in row.buckets {
                evidence.merge_bucket(key.clone(), bucket, counts);
            }
            evidence.evict_series();
        }
        evidence
    }
}

fn subtract(totals: &mut Series, bucket: Bucket, counts: Counts) {
    let Some(sum) = totals.get_mut(&bucket) else {
        return;
    };
    *sum = sum.minus(counts);
    if *sum == Counts::default() {
        totals.remove(&bucket);
    }
}
