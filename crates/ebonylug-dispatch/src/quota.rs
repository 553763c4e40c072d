use std::collections::HashMap;
use std::time::{Duration, Instant};

use ebonylug_core::Name;

use crate::config::{Config, Quota};
use crate::gossip::Usage;
use crate::hash::{short_hash, stable_hash};

/// Numbers of entries from the point of view of one of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryCounts {
    /// Reachable entries, including this one.
    pub reachable: usize,
    /// Entries that may be running, including this one.
    pub known: usize,
}

impl EntryCounts {
    fn reachable_share(self) -> f64 {
        self.reachable.max(1) as f64 / self.known.max(self.reachable).max(1) as f64
    }
}

/// Rate limits of organisations across all entries.
///
/// Each entry keeps a token bucket per organisation and subtracts both its own usage and the usage that
/// peers report. Each unreachable entry is assumed to use an equal share, so the total holds during a
/// network partition.
#[derive(Debug, Default)]
pub struct Quotas {
    buckets: HashMap<u32, Bucket>,
}

#[derive(Debug)]
struct Bucket {
    quota: Quota,
    /// Available tokens. Negative after a request that exceeded them.
    level: f64,
    refilled: Instant,
    created: Instant,
    /// Tokens that this entry has consumed since its start.
    used: f64,
}

/// Age below which a bucket may lack the usage of peers, because no message has arrived yet.
const STARTUP_PERIOD: Duration = Duration::from_millis(500);
/// Share of the burst that requests of each rank leave for more urgent ones. Doubling these shares
/// serves no more requests.
const BURST_RESERVE: [f64; 3] = [0.0, 0.15, 0.3];
/// Minimum difference in age at which an entry adopts the levels of an older one.
const MIN_AGE_LEAD: Duration = Duration::from_secs(1);

impl Quotas {
    /// Applies the limits of a configuration. Organisations that remain keep their levels.
    pub fn update(&mut self, now: Instant, config: &Config, counts: EntryCounts) {
        let mut buckets = HashMap::new();
        for organisation in config.organisations() {
            let Some(quota) = organisation.quota else {
                continue;
            };
            let hash = organisation_hash(&organisation.name);
            let bucket = match self.buckets.remove(&hash) {
                Some(mut bucket) => {
                    bucket.refill(now, counts);
                    bucket.quota = quota;
                    bucket.level = bucket.level.min(quota.burst);
                    bucket
                }
                None => Bucket {
                    quota,
                    // Reachable entries subtract each other's usage, so they share a single burst.
                    level: quota.burst,
                    refilled: now,
                    created: now,
                    used: 0.0,
                },
            };
            buckets.insert(hash, bucket);
        }
        self.buckets = buckets;
    }

    /// Consumes `tokens` for a request of an organisation. Less urgent requests are refused before the
    /// quota is exhausted, which leaves the rest to more urgent ones.
    ///
    /// # Errors
    ///
    /// Returns the estimated time after which the request would be within the limit.
    pub fn take(
        &mut self,
        now: Instant,
        organisation: &Name,
        tokens: f64,
        rank: u8,
        counts: EntryCounts,
    ) -> Result<(), Duration> {
        let Some(bucket) = self.buckets.get_mut(&organisation_hash(organisation)) else {
            return Ok(());
        };
        bucket.refill(now, counts);
        // A request may exceed the available tokens: the level then becomes negative.
        let reserve =
            bucket.quota.burst * BURST_RESERVE[usize::from(rank).min(BURST_RESERVE.len() - 1)];
        let available = bucket.level - bucket.peer_reserve(now, counts) - reserve;
        if available <= 0.0 {
            let rate = (bucket.quota.rate * counts.reachable_share()).max(1.0);
            let wait = (tokens * 0.5 - available) / rate;
            return Err(Duration::from_secs_f64(wait.clamp(0.05, 10.0)));
        }
        bucket.level -= tokens;
        bucket.used += tokens;
        Ok(())
    }

    /// Returns the tokens of a request that did not run.
    pub fn refund(&mut self, organisation: &Name, tokens: f64) {
        if let Some(bucket) = self.buckets.get_mut(&organisation_hash(organisation)) {
            bucket.level += tokens;
            bucket.used -= tokens;
        }
    }

    /// Subtracts the usage of another entry. `organisation` is the short hash of the name.
    pub fn record_remote_usage(&mut self, organisation: u32, tokens: f64) {
        if let Some(bucket) = self.buckets.get_mut(&organisation) {
            bucket.level = (bucket.level - tokens).max(-bucket.quota.burst);
        }
    }

    /// Adopts the levels of an entry that has run for `age` if this one has just started, since the
    /// quotas may already be exhausted.
    pub fn adopt_levels(&mut self, now: Instant, age: Duration, usage: &[Usage]) {
        for remote in usage {
            let Some(bucket) = self.buckets.get_mut(&remote.organisation) else {
                continue;
            };
            let own_age = now.saturating_duration_since(bucket.created);
            if own_age < STARTUP_PERIOD && age > own_age + MIN_AGE_LEAD {
                bucket.level = bucket.level.min(remote.level as f64);
            }
        }
    }

    /// Returns the usage and level of each quota at this entry.
    pub fn usage(&self) -> impl Iterator<Item = Usage> {
        self.buckets.iter().map(|(&organisation, bucket)| Usage {
            organisation,
            used: bucket.used.max(0.0) as u64,
            level: bucket.level as i64,
        })
    }
}

fn organisation_hash(organisation: &Name) -> u32 {
    short_hash(stable_hash(organisation.as_str()))
}

impl Bucket {
    fn is_starting(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.created) < STARTUP_PERIOD
    }

    /// Returns the tokens of a new bucket that are reserved for entries from which no message has arrived
    /// yet.
    fn peer_reserve(&self, now: Instant, counts: EntryCounts) -> f64 {
        if self.is_starting(now) {
            self.quota.burst * (1.0 - counts.reachable_share())
        } else {
            0.0
        }
    }

    fn refill(&mut self, now: Instant, counts: EntryCounts) {
        let elapsed = now.saturating_duration_since(self.refilled).as_secs_f64();
        let share = counts.reachable_share();
        let capacity = self.quota.burst * if self.is_starting(now) { 1.0 } else { share };
        self.level = (self.level + self.quota.rate * share * elapsed).min(capacity);
        self.refilled = now;
    }
}
