use std::collections::BTreeMap;
use std::time::{Duration, SystemTime};

use ebonylug_core::{Incarnation, Name};
use serde::{Deserialize, Serialize};

use crate::{Counts, Sample};

/// The length of a bucket. Two buckets fit into the 3 s within which a bad version loses its
/// traffic, and each holds enough requests for a comparison.
pub const BUCKET_LENGTH: Duration = Duration::from_secs(2);
/// Buckets that are kept for one process, version and route. Empty buckets take no room, so a
/// busy series covers ten minutes and a quiet one more.
pub const MAX_BUCKETS: usize = 300;
/// Combinations of process, version and route that are kept: 128 peers, 2 versions, 4 routes.
/// The bound is about 20 MB.
pub const MAX_SERIES: usize = 1_024;

/// The number of a bucket since the Unix epoch.
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

type Cells = BTreeMap<Bucket, Counts>;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    version: Name,
    route: Name,
    process: Incarnation,
}

/// Counts by version, route, process and bucket.
///
/// Only the process itself adds to its counts, and they only grow. Merging takes the maximum of
/// each count, which is idempotent, commutative and associative: repeated and crossed messages
/// change nothing. Each series keeps its newest [`MAX_BUCKETS`] buckets, a rule that does not
/// depend on the order of merges either. Above [`MAX_SERIES`], the series that ended longest ago
/// are dropped.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(into = "Vec<Row>", from = "Vec<Row>")]
pub struct Evidence {
    series: BTreeMap<Key, Cells>,
    totals: BTreeMap<(Name, Name), Cells>,
}

impl Evidence {
    /// Counts one request of this process.
    pub fn record(
        &mut self,
        now: SystemTime,
        process: Incarnation,
        version: impl Into<Name>,
        route: impl Into<Name>,
        sample: Sample,
    ) {
        let key = Key {
            version: version.into(),
            route: route.into(),
            process,
        };
        let bucket = Bucket::of(now);
        let mut one = Counts::default();
        one.add(sample);
        self.change(key, bucket, |cell| cell.plus(one));
        self.drop_series();
    }

    /// Takes over what another process knows.
    pub fn merge(&mut self, other: &Evidence) {
        for (key, cells) in &other.series {
            for (bucket, counts) in cells {
                self.raise(key.clone(), *bucket, *counts);
            }
        }
        self.drop_series();
    }

    /// Returns the counts of the buckets from `first` on, to be sent to peers.
    ///
    /// With `process`, only the counts of that process are returned.
    #[must_use]
    pub fn since(&self, first: Bucket, process: Option<Incarnation>) -> Evidence {
        let mut part = Evidence::default();
        let chosen = self
            .series
            .iter()
            .filter(|(key, _)| process.is_none_or(|process| key.process == process));
        for (key, cells) in chosen {
            for (bucket, counts) in cells.range(first..) {
                part.raise(key.clone(), *bucket, *counts);
            }
        }
        part
    }

    /// Returns the sum over all processes for one version, route and bucket.
    #[must_use]
    pub fn total(&self, version: &Name, route: &Name, bucket: Bucket) -> Counts {
        self.totals
            .get(&(version.clone(), route.clone()))
            .and_then(|cells| cells.get(&bucket))
            .copied()
            .unwrap_or_default()
    }

    /// Returns the sums over all processes for one version and route, from bucket `first` on.
    pub fn totals(
        &self,
        version: &Name,
        route: &Name,
        first: Bucket,
    ) -> impl Iterator<Item = (Bucket, Counts)> + '_ {
        self.totals
            .get(&(version.clone(), route.clone()))
            .into_iter()
            .flat_map(move |cells| cells.range(first..))
            .map(|(bucket, counts)| (*bucket, *counts))
    }

    /// Drops what is known about a version, when no move concerns it any more.
    pub fn remove_version(&mut self, version: &Name) {
        self.series.retain(|key, _| key.version != *version);
        self.totals.retain(|(other, _), _| other != version);
    }

    /// Returns the number of series and of buckets in all series.
    #[must_use]
    pub fn size(&self) -> (usize, usize) {
        let cells = self.series.values().map(BTreeMap::len).sum();
        (self.series.len(), cells)
    }

    fn raise(&mut self, key: Key, bucket: Bucket, counts: Counts) {
        self.change(key, bucket, |cell| cell.max(counts));
    }

    fn change(&mut self, key: Key, bucket: Bucket, change: impl FnOnce(Counts) -> Counts) {
        let total = (key.version.clone(), key.route.clone());
        let cells = self.series.entry(key).or_default();
        let cell = cells.entry(bucket).or_default();
        let raised = change(*cell);
        let growth = raised.minus(*cell);
        *cell = raised;
        let expired = if cells.len() > MAX_BUCKETS {
            cells.pop_first()
        } else {
            None
        };
        let totals = self.totals.entry(total).or_default();
        let sum = totals.entry(bucket).or_default();
        *sum = sum.plus(growth);
        if let Some((bucket, counts)) = expired {
            subtract(totals, bucket, counts);
        }
    }

    fn drop_series(&mut self) {
        while self.series.len() > MAX_SERIES {
            let oldest = self
                .series
                .iter()
                .min_by_key(|(_, cells)| cells.last_key_value().map(|(bucket, _)| *bucket))
                .map(|(key, _)| key.clone());
            let Some(key) = oldest else { return };
            let cells = self.series.remove(&key).unwrap_or_default();
            let total = (key.version, key.route);
            let Some(totals) = self.totals.get_mut(&total) else {
                continue;
            };
            for (bucket, counts) in cells {
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

/// The wire form of one series.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Row {
    version: Name,
    route: Name,
    process: Incarnation,
    cells: Vec<(Bucket, Counts)>,
}

impl From<Evidence> for Vec<Row> {
    fn from(evidence: Evidence) -> Self {
        let rows = evidence.series.into_iter().map(|(key, cells)| Row {
            version: key.version,
            route: key.route,
            process: key.process,
            cells: cells.into_iter().collect(),
        });
        rows.collect()
    }
}

impl From<Vec<Row>> for Evidence {
    fn from(rows: Vec<Row>) -> Self {
        let mut evidence = Evidence::default();
        for row in rows {
            let key = Key {
                version: row.version,
                route: row.route,
                process: row.process,
            };
            for (bucket, counts) in row.cells {
                evidence.raise(key.clone(), bucket, counts);
            }
            evidence.drop_series();
        }
        evidence
    }
}

fn subtract(totals: &mut Cells, bucket: Bucket, counts: Counts) {
    let Some(sum) = totals.get_mut(&bucket) else {
        return;
    };
    *sum = sum.minus(counts);
    if *sum == Counts::default() {
        totals.remove(&bucket);
    }
}
