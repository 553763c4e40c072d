use std::collections::HashMap;
use std::time::{Duration, Instant};

use ebonylug_core::Name;

use crate::config::{Config, Quota};
use crate::hash::{hash_of, short};

/// How much of the fleet of entries can be heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standing {
    /// Entries that were heard a moment ago, with this one.
    pub heard: usize,
    /// Entries that may be at work, with this one.
    pub known: usize,
}

impl Standing {
    fn share(self) -> f64 {
        self.heard.max(1) as f64 / self.known.max(self.heard).max(1) as f64
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
    /// Tokens that this entry has used since its start.
    used: f64,
}

impl Quotas {
    /// Takes over the limits of a configuration. Levels of organisations that stay are kept.
    pub fn update(&mut self, now: Instant, config: &Config, standing: Standing) {
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
                    // All entries start together with an equal part of the burst.
                    level: quota.burst / standing.known.max(1) as f64,
                    filled: now,
                    used: 0.0,
                },
            };
            buckets.insert(hash, bucket);
        }
        self.buckets = buckets;
    }

    /// Takes `tokens` for an organisation.
    ///
    /// # Errors
    ///
    /// Returns the time after which the request would be within the limit.
    pub fn take(
        &mut self,
        now: Instant,
        organisation: &Name,
        tokens: f64,
        standing: Standing,
    ) -> Result<(), Duration> {
        let Some(bucket) = self.buckets.get_mut(&key(organisation)) else {
            return Ok(());
        };
        bucket.fill(now, standing);
        // A request may be larger than what is left: the bucket then owes the rest.
        if bucket.level <= 0.0 {
            let rate = (bucket.quota.rate * standing.share()).max(1.0);
            let wait = (tokens * 0.5 - bucket.level) / rate;
            return Err(Duration::from_secs_f64(wait.clamp(0.05, 10.0)));
        }
        bucket.level -= tokens;
        bucket.used += tokens;
        Ok(())
    }

    /// Gives back tokens of a request that did not run.
    pub fn give_back(&mut self, organisation: &Name, tokens: f64) {
        if let Some(bucket) = self.buckets.get_mut(&key(organisation)) {
            bucket.level += tokens;
            bucket.used -= tokens;
        }
    }

    /// Takes out what another entry has used.
    pub fn used_elsewhere(&mut self, organisation: u32, tokens: f64) {
        if let Some(bucket) = self.buckets.get_mut(&organisation) {
            bucket.level = (bucket.level - tokens).max(-bucket.quota.burst);
        }
    }

    /// Returns what this entry has used, by short hash of the organisation's name.
    pub fn used(&self) -> impl Iterator<Item = (u32, u64)> {
        let used = self.buckets.iter().filter(|(_, bucket)| bucket.used > 0.0);
        used.map(|(&hash, bucket)| (hash, bucket.used as u64))
    }
}

fn key(organisation: &Name) -> u32 {
    short(hash_of(organisation.as_str()))
}

impl Bucket {
    fn fill(&mut self, now: Instant, standing: Standing) {
        let time = now.saturating_duration_since(self.filled).as_secs_f64();
        let share = standing.share();
        let full = self.quota.burst * share;
        self.level = (self.level + self.quota.rate * share * time).min(full);
        self.filled = now;
    }
}
