/// Limits and weights of the [`Scheduler`](crate::Scheduler).
#[derive(Clone, Debug)]
pub struct SchedulerSettings {
    /// Share of all slots of a model service that requests of each rank leave free for more urgent
    /// ones. The last value applies to all further ranks.
    pub slot_reserve: [f64; 3],
    /// Requests of the most urgent rank that may queue inside a model engine.
    pub engine_queue: u32,
    /// Requests that may queue inside a target of another kind.
    pub target_queue: u32,
    /// Maximum length of the entry's queue, over all services.
    pub queue_capacity: usize,
    /// Maximum backlog of prompt tokens at a model engine of average speed when a request of each
    /// rank is sent to it. The last value applies to all further ranks.
    pub max_backlog: [u32; 3],
    /// Sampling weights while messages between few entries are frequent.
    pub few_weights: Weights,
    /// Sampling weights when many entries hear of each other late.
    pub many_weights: Weights,
    /// Entries from which messages between them take longer than targets take to fill up.
    pub many_entries: usize,
    /// Factor on the score of targets in other zones.
    pub remote_penalty: f64,
    /// Number of targets sampled per request, of which the best one is selected.
    pub sample_size: u64,
    /// Minimum tokens of a prompt that goes to the best of all targets instead of the best of a sample.
    /// Such prompts are rare, so entries seldom select the same target, and a busy or slow target delays
    /// them most.
    pub long_prompt: u32,
    /// Requests by which the load of a target with a cached prompt may exceed that of the least loaded
    /// target.
    pub affinity_slack: u32,
}

/// Sampling weights of targets in the entry's own zone, relative to those of other zones. Entries of the
/// same zone learn of each other's loads sooner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Weights {
    /// The weight of targets of the zone.
    pub zone: u32,
    /// The weight of targets of the zone that this entry is the first to use.
    pub owner: u32,
}

impl SchedulerSettings {
    /// Returns the sampling weights for this number of entries.
    pub(crate) fn weights(&self, entries: usize) -> Weights {
        if self.has_many(entries) {
            self.many_weights
        } else {
            self.few_weights
        }
    }

    /// Reports whether so many entries pace their sends and divide the targets.
    pub(crate) fn has_many(&self, entries: usize) -> bool {
        entries >= self.many_entries
    }
}

impl Default for SchedulerSettings {
    fn default() -> Self {
        SchedulerSettings {
            slot_reserve: [0.0, 0.03, 0.10],
            engine_queue: 0,
            target_queue: 2,
            max_backlog: [8_000, 5_000, 4_000],
            sample_size: 3,
            long_prompt: 5_000,
            few_weights: Weights { zone: 4, owner: 4 },
            many_weights: Weights {
                zone: 20,
                owner: 4_000,
            },
            many_entries: 48,
            remote_penalty: 1.5,
            queue_capacity: 400,
            affinity_slack: 2,
        }
    }
}
