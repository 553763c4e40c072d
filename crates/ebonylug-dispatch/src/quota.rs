use std::collections::HashMap;
use std::time::{Duration, Instant};

use ebonylug_core::Name;

use crate::config::{Config, Quota};
use crate::gossip::Usage;
use crate::hash::{short, stable_hash};

/// How much of the fleet of entries can be heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryCounts {
    /// Entries that were heard a moment ago, with this one.
    pub reachable: usize,
    /// Entries that may be at work, with this one.
    pub known: usize,
}

impl EntryCounts {
    fn share(self) -> f64 {
        self.reachable.max(1) as f64 / self.known.max(self.reachable).max(1) as f64
    }
}

/// The rate limits of organisations, over all entries.
///
/// Each entry keeps a bucket for each organisation and takes out what it uses and what the others
/// say that they used. Entries that are not heard are assumed to use an equal part each, so that
/// the sum holds while the fleet is partitioned.
#[derive(Debug, Default)]
pub struct Quotas {
    buckets: HashMap<u32, Bucket>,
}

#[derive(Debug)]
struct Bucket {
    quota: Quota,
    level: f64,
    filled: Instant,
    made: Instant,
    /// Tokens that this entry has used since its start.
    used: f64,
}

/// Age up to which a bucket knows little: its entry may not have heard the others yet.
const YOUNG: Duration = Duration::from_millis(500);
/// Part of a burst that requests of a rank leave for more urgent ones. Twice as much serves no more
/// (trials on the grown sites).
const KEPT: [f64; 3] = [0.0, 0.15, 0.3];
/// How much older than this entry another one must be for its levels to be taken over.
const OLDER: Duration = Duration::from_secs(1);

impl Quotas {
    /// Takes over the limits of a configuration. Levels of organisations that stay are kept.
    pub fn update(&mut self, now: Instant, config: &Config, standing: EntryCounts) {
        let mut buckets = HashMap::new();
        for organisation in config.organisations() {
            let Some(quota) = organisation.quota else {
                continue;
            };
            let hash = key(&organisation.name);
            let bucket = match self.buckets.remove(&hash) {
                Some(mut bucket) => {
                    bucket.fill(now, standing);
                    bucket.quota = quota;
                    bucket.level = bucket.level.min(quota.burst);
                    bucket
                }
                None => Bucket {
                    quota,
                    // Entries that hear each other take out what all of them use, so that they use
                    // one burst together.
                    level: quota.burst,
                    filled: now,
                    made: now,
                    used: 0.0,
                },
            };
            buckets.insert(hash, bucket);
        }
        self.buckets = buckets;
    }

    /// Takes `tokens` for a request of an organisation. Less urgent requests are refused a little before the
    /// quota is used up, so that what is left goes to more urgent ones.
    ///
    /// # Errors
    ///
    /// Returns the time after which the request would be within the limit.
    pub fn take(
        &mut self,
        now: Instant,
        organisation: &Name,
        tokens: f64,
        rank: u8,
        standing: EntryCounts,
    ) -> Result<(), Duration> {
        let Some(bucket) = self.buckets.get_mut(&key(organisation)) else {
            return Ok(());
        };
        bucket.fill(now, standing);
        // A request may be larger than what is left: the bucket then owes the rest.
        let kept = bucket.quota.burst * KEPT[usize::from(rank).min(KEPT.len() - 1)];
        let left = bucket.level - bucket.reserved(now, standing) - kept;
        if left <= 0.0 {
            let rate = (bucket.quota.rate * standing.share()).max(1.0);
            let wait = (tokens * 0.5 - left) / rate;
            return Err(Duration::from_secs_f64(wait.clamp(0.05, 10.0)));
        }
        bucket.level -= tokens;
        bucket.used += tokens;
        Ok(())
    }

    /// Gives back tokens of a request that did not run.
    pub fn refund(&mut self, organisation: &Name, tokens: f64) {
        if let Some(bucket) = self.buckets.get_mut(&key(organisation)) {
            bucket.level += tokens;
            bucket.used -= tokens;
        }
    }

    /// Takes out what another entry has used.
    pub fn record_remote_usage(&mut self, organisation: u32, tokens: f64) {
        if let Some(bucket) = self.buckets.get_mut(&organisation) {
            bucket.level = (bucket.level - tokens).max(-bucket.quota.burst);
        }
    }

    /// Takes over the levels of an entry that has run for `age`, if this one has just started: the
    /// quotas may be used up.
    pub fn adopt_levels(&mut self, now: Instant, age: Duration, usage: &[Usage]) {
        for theirs in usage {
            let Some(bucket) = self.buckets.get_mut(&theirs.organisation) else {
                continue;
            };
            let own = now.saturating_duration_since(bucket.made);
            if own < YOUNG && age > own + OLDER {
                bucket.level = bucket.level.min(theirs.level as f64);
            }
        }
    }

    /// Returns what this entry has used.
    pub fn usage(&self) -> impl Iterator<Item = Usage> {
        self.buckets.iter().map(|(&organisation, bucket)| Usage {
            organisation,
            used: bucket.used.max(0.0) as u64,
            level: bucket.level as i64,
        })
    }
}

fn key(organisation: &Name) -> u32 {
    short(stable_hash(organisation.as_str()))
}

impl Bucket {
    fn is_young(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.made) < YOUNG
    }

    /// Returns the part of a young bucket that belongs to entries which were not heard yet.
    fn reserved(&self, now: Instant, standing: EntryCounts) -> f64 {
        if self.is_young(now) {
            self.quota.burst * (1.0 - standing.share())
        } else {
            0.0
        }
    }

    fn fill(&mut self, now: Instant, standing: EntryCounts) {
        let time = now.saturating_duration_since(self.filled).as_secs_f64();
        let share = standing.share();
        let full = self.quota.burst * if self.is_young(now) { 1.0 } else { share };
        self.level = (self.level + self.quota.rate * share * time).min(full);
        self.filled = now;
    }
}
