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
    /// Time until what one entry does is known to the others.
    pub delay: Duration,
}

impl EntryCounts {
    fn reachable_share(self) -> f64 {
        self.reachable.max(1) as f64 / self.known.max(self.reachable).max(1) as f64
    }
}

/// How far the usage of an organisation may exceed its quota in any window.
///
/// The allowance covers usage that entries have not heard of yet.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaTolerance {
    /// Fraction of the quota by which the usage of a window may exceed it.
    pub overshoot: f64,
    /// Tokens allowed beyond that fraction.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

impl QuotaTolerance {
    /// Returns the tokens by which the usage of a window may exceed a quota.
    fn tokens(&self, quota: Quota) -> f64 {
        self.overshoot * (quota.rate * self.window.as_secs_f64() + quota.burst) + self.slack
    }
}

/// Rate limits of organisations across all entries.
///
/// Each entry keeps a token bucket per organisation and subtracts both its own usage and the usage that
/// peers report. Each unreachable entry is assumed to use an equal share, so the total holds during a
/// network partition.
///
/// # Usage that is not heard yet
///
/// Every entry may admit one request beyond the tokens that are left, before it hears of the others.
/// With many entries or a small quota this exceeds the tolerance. While fewer tokens are left than
/// that, an entry therefore admits requests at no more than its own share of the rate, so that all
/// entries together do not exceed the rate.
///
/// # Restarts
///
/// A bucket that starts while requests are served does not know what was used before. It starts
/// with part of the tolerance instead of the burst, and adopts the level of an entry that has run for
/// longer.
#[derive(Debug, Default)]
pub struct Quotas {
    buckets: HashMap<u32, Bucket>,
    /// The buckets of organisations without a quota in the current configuration, until they are full.
    removed: HashMap<u32, Bucket>,
    tolerance: QuotaTolerance,
    /// Whether usage before the next configuration may be unknown.
    resuming: bool,
}

#[derive(Debug)]
struct Bucket {
    quota: Quota,
    /// Available tokens. Negative after a request that exceeded them.
    level: f64,
    /// The level at the start, or the one that was adopted.
    initial: f64,
    refilled: Instant,
    created: Instant,
    /// Tokens that this entry has consumed since its start.
    used: f64,
    /// Time of the last request that was admitted.
    changed: Instant,
    /// Whether usage before `created` is unknown.
    unknown: bool,
    /// Mean tokens of recent requests, admitted or not.
    mean_size: f64,
    /// Tokens per second that callers of this entry recently requested, admitted or not.
    demand: f64,
    /// Time of the last update of `demand`.
    requested: Instant,
    /// Time of the next request that this entry admits while tokens are scarce.
    next_share: Option<Instant>,
    /// Position of this entry's first share among those of all entries, from 0 to 1.
    phase: f64,
}

/// Age below which a bucket may lack the usage of peers, because no message has arrived yet.
const STARTUP_PERIOD: Duration = Duration::from_millis(500);
/// Share of the burst that requests of each rank leave for more urgent ones. Doubling these shares
/// serves no more requests.
const BURST_RESERVE: [f64; 3] = [0.0, 0.15, 0.3];
/// Minimum difference in age at which an entry adopts the levels of an older one.
const MIN_AGE_LEAD: Duration = Duration::from_secs(1);
/// Age of another entry from which its usage until it was first heard is not counted.
const MAX_COUNTED_AGE: Duration = Duration::from_secs(8);
/// Part of the tolerance for usage before a restart, and for usage that is not heard yet.
const TOLERANCE_SHARE: f64 = 0.5;
/// The largest part of a burst that is kept for usage that is not heard yet.
const MAX_SCARCE_SHARE: f64 = 0.5;
/// Weight of a new request in the moving average of their sizes.
const SIZE_WEIGHT: f64 = 0.05;
/// Time constant of the moving average of the demand.
const DEMAND_WINDOW: Duration = Duration::from_secs(2);
/// The longest time between two requests of an entry while tokens are scarce.
const MAX_SHARE_INTERVAL: Duration = Duration::from_secs(60);

impl Quotas {
    /// Creates limits for an entry that starts while other entries may already have served requests.
    /// [`Quotas::default`] is for the first start of a system.
    #[must_use]
    pub fn resuming() -> Self {
        Quotas {
            resuming: true,
            ..Quotas::default()
        }
    }

    /// Sets how far quotas may be exceeded.
    pub fn set_tolerance(&mut self, tolerance: QuotaTolerance) {
        self.tolerance = tolerance;
    }

    /// Applies the limits of a configuration. Organisations keep their levels, also those that an earlier
    /// configuration left out. `phase` orders the entries while tokens are scarce, from 0 to 1.
    pub fn update(&mut self, now: Instant, config: &Config, counts: EntryCounts, phase: f64) {
        let mut buckets = HashMap::new();
        for organisation in config.organisations() {
            let Some(quota) = organisation.quota else {
                continue;
            };
            let hash = organisation_hash(&organisation.name);
            let known = self.buckets.remove(&hash);
            let bucket = match known.or_else(|| self.removed.remove(&hash)) {
                Some(mut bucket) => {
                    bucket.refill(now, counts);
                    bucket.quota = quota;
                    bucket.level = bucket.level.min(quota.burst);
                    bucket
                }
                None => {
                    // Reachable entries subtract each other's usage, so they share a single level.
                    let level = if self.resuming {
                        let tolerated = self.tolerance.tokens(quota) * TOLERANCE_SHARE;
                        quota.burst.min(tolerated)
                    } else {
                        quota.burst
                    };
                    Bucket {
                        quota,
                        level,
                        initial: level,
                        refilled: now,
                        created: now,
                        used: 0.0,
                        changed: now,
                        unknown: self.resuming,
                        mean_size: 0.0,
                        demand: 0.0,
                        requested: now,
                        next_share: None,
                        phase,
                    }
                }
            };
            buckets.insert(hash, bucket);
        }
        self.removed
            .extend(std::mem::replace(&mut self.buckets, buckets));
        self.removed.retain(|_, bucket| {
            bucket.refill(now, counts);
            bucket.level < bucket.quota.burst
        });
        // Organisations of later configurations had no quota before.
        self.resuming = false;
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
        bucket.record_demand(now, tokens);
        // A request may exceed the available tokens: the level then becomes negative.
        let reserve =
            bucket.quota.burst * BURST_RESERVE[usize::from(rank).min(BURST_RESERVE.len() - 1)];
        let available = bucket.level - bucket.peer_reserve(now, counts) - reserve;
        let tolerated = self.tolerance.tokens(bucket.quota) * TOLERANCE_SHARE;
        let admitted = if available > bucket.scarce_level(counts, tolerated) {
            bucket.next_share = None;
            true
        } else {
            available > 0.0 && bucket.takes_share(now, tokens, counts)
        };
        if !admitted {
            let rate = (bucket.quota.rate * counts.reachable_share()).max(1.0);
            let wait = (tokens * 0.5 - available) / rate;
            return Err(Duration::from_secs_f64(wait.clamp(0.05, 10.0)));
        }
        bucket.level -= tokens;
        bucket.used += tokens;
        bucket.changed = now;
        Ok(())
    }

    /// Returns the tokens of a request that did not run.
    pub fn refund(&mut self, organisation: &Name, tokens: f64) {
        if let Some(bucket) = self.known_mut(organisation_hash(organisation)) {
            bucket.level += tokens;
            bucket.used -= tokens;
        }
    }

    /// Subtracts the usage of another entry. `organisation` is the short hash of the name.
    pub fn record_remote_usage(&mut self, organisation: u32, tokens: f64) {
        if let Some(bucket) = self.known_mut(organisation) {
            let quota = bucket.quota;
            let max_debt = quota.burst + quota.rate * MAX_COUNTED_AGE.as_secs_f64();
            bucket.level = (bucket.level - tokens).max(-max_debt);
        }
    }

    /// Subtracts all tokens that another entry has consumed since its boot, `age` ago. Tokens that were
    /// consumed before this entry started are part of the levels that it adopts, and old usage no longer
    /// counts.
    pub fn record_first_usage(
        &mut self,
        now: Instant,
        age: Duration,
        organisation: u32,
        tokens: f64,
    ) {
        let Some(bucket) = self.buckets.get(&organisation) else {
            return;
        };
        let own_age = now.saturating_duration_since(bucket.created);
        if age < MAX_COUNTED_AGE && age <= own_age + MIN_AGE_LEAD {
            self.record_remote_usage(organisation, tokens);
        }
    }

    /// Adopts the levels of an entry that has run for `age` if this one has just started, since the
    /// quotas may already be exhausted, or available although this entry cannot know it.
    pub fn adopt_levels(&mut self, now: Instant, age: Duration, usage: &[Usage]) {
        for remote in usage {
            let Some(bucket) = self.buckets.get_mut(&remote.organisation) else {
                continue;
            };
            let own_age = now.saturating_duration_since(bucket.created);
            if age <= own_age + MIN_AGE_LEAD {
                continue;
            }
            if std::mem::take(&mut bucket.unknown) {
                bucket.level = remote.level as f64 - bucket.used;
                bucket.initial = bucket.level;
            } else if own_age < STARTUP_PERIOD {
                bucket.level = bucket.level.min(remote.level as f64);
            }
        }
    }

    /// Returns the bucket of an organisation, also if it has no quota now.
    fn known_mut(&mut self, organisation: u32) -> Option<&mut Bucket> {
        let bucket = self.buckets.get_mut(&organisation);
        bucket.or_else(|| self.removed.get_mut(&organisation))
    }

    /// Returns the usage and level of each quota at this entry that has changed since `since`, or of all.
    pub fn usage(&self, since: Option<Instant>) -> impl Iterator<Item = Usage> {
        let changed = move |bucket: &Bucket| since.is_none_or(|since| bucket.changed >= since);
        let buckets = self
            .buckets
            .iter()
            .filter(move |(_, bucket)| changed(bucket));
        buckets.map(|(&organisation, bucket)| Usage {
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
            self.initial.max(0.0) * (1.0 - counts.reachable_share())
        } else {
            0.0
        }
    }

    /// Updates the averages of size and demand with a request.
    fn record_demand(&mut self, now: Instant, tokens: f64) {
        if self.mean_size == 0.0 {
            self.mean_size = tokens;
        }
        self.mean_size += (tokens - self.mean_size) * SIZE_WEIGHT;
        let window = DEMAND_WINDOW.as_secs_f64();
        let elapsed = now.saturating_duration_since(self.requested).as_secs_f64();
        self.demand = self.demand * (-elapsed / window).exp() + tokens / window;
        self.requested = now;
    }

    /// Returns the level below which entries may exceed the quota by more than `tolerated` tokens before
    /// they hear of each other.
    ///
    /// Until then, the others admit as much as their callers request, which is assumed to be as much as
    /// here, but no more than one request each once the tokens are used up.
    fn scarce_level(&self, counts: EntryCounts, tolerated: f64) -> f64 {
        let others = (counts.known.max(1) - 1) as f64;
        let each = self.mean_size.min(self.demand * counts.delay.as_secs_f64());
        (others * each - tolerated).clamp(0.0, self.quota.burst * MAX_SCARCE_SHARE)
    }

    /// Reports whether a request is within this entry's own share of the rate, and uses up that share.
    fn takes_share(&mut self, now: Instant, tokens: f64, counts: EntryCounts) -> bool {
        let rate = self.quota.rate / counts.known.max(1) as f64;
        let interval = Duration::try_from_secs_f64(tokens / rate.max(f64::MIN_POSITIVE));
        let interval = interval.unwrap_or(Duration::MAX).min(MAX_SHARE_INTERVAL);
        let next = *self
            .next_share
            .get_or_insert_with(|| now + interval.mul_f64(self.phase));
        let allowed = now >= next;
        if allowed {
            self.next_share = Some(now + interval);
        }
        allowed
    }

    fn refill(&mut self, now: Instant, counts: EntryCounts) {
        let elapsed = now.saturating_duration_since(self.refilled).as_secs_f64();
        let share = counts.reachable_share();
        let capacity = self.quota.burst * if self.is_starting(now) { 1.0 } else { share };
        self.level = (self.level + self.quota.rate * share * elapsed).min(capacity);
        self.refilled = now;
    }
}
