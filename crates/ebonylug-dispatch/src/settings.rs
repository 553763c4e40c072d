/// What the scheduler may use of a target.
#[derive(Clone, Debug)]
pub struct SchedulerSettings {
    /// For each rank, the part of all slots of a model service that must be free, so that more
    /// urgent requests find a free one. The last one holds for all further ranks.
    pub reserve: [f64; 3],
    /// Requests of the most urgent rank that may wait in a model engine.
    pub beyond: u32,
    /// Requests that may wait in a target of another kind.
    pub queued: u32,
    /// Requests that wait, over all services.
    pub capacity: usize,
    /// For each rank, the prompt tokens that a model engine of average speed may have to read when a
    /// request is sent to it. The last one holds for all further ranks.
    pub backlog: [u32; 3],
    /// How much more often a target in the entry's own zone is drawn. The entries of a zone know each
    /// other's loads sooner than those of other zones.
    pub near: u32,
    /// How much worse a target in another zone is taken to be.
    pub far: f64,
    /// Targets that are drawn, of which the best one is taken.
    pub choices: u64,
    /// Tokens from which on a prompt goes to the best target instead of the best of some drawn. Such prompts
    /// are rare, so that entries seldom take the same target, and a busy or slow target delays them most.
    pub long_prompt: u32,
    /// How much busier than the least busy target the target with a warm cache may be, in requests.
    pub affinity: u32,
}

impl Default for SchedulerSettings {
    fn default() -> Self {
        SchedulerSettings {
            reserve: [0.0, 0.03, 0.10],
            beyond: 0,
            queued: 2,
            backlog: [8_000, 5_000, 4_000],
            choices: 3,
            long_prompt: 5_000,
            near: 4,
            far: 1.5,
            capacity: 400,
            affinity: 2,
        }
    }
}
