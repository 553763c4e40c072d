//! Scores and draws the targets that can accept a request.

use smallvec::SmallVec;

use crate::placement::PlacementRequest;
use crate::target::{TargetKey, TargetRecord};

/// A target that can accept the request now.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    pub(crate) key: TargetKey,
    pub(crate) load: u32,
    /// Free slots, weighted by how well this entry knows them.
    pub(crate) free: u32,
    /// Lower is better.
    pub(crate) score: f64,
    /// Whether the target has no free slot, or would process the prompt too late at its speed.
    pub(crate) poor: bool,
}

/// Limits on the pace of a target relative to the mean of its service.
pub(crate) const MIN_RELATIVE_PACE: f64 = 0.3;
pub(crate) const MAX_RELATIVE_PACE: f64 = 4.0;
/// Prompt tokens that delay a target as much as one additional concurrent request.
const TOKENS_PER_REQUEST: f64 = 400.0;

/// Estimates the time until a target responds, in prompt tokens at average speed.
pub(crate) fn score(record: &TargetRecord, request: &PlacementRequest, pace: f64) -> f64 {
    let failure_penalty = 1.0 + 4.0 * record.health.failure_rate();
    let tokens = if request.model {
        f64::from(record.backlog().saturating_add(request.prompt))
    } else {
        0.0
    };
    (tokens + TOKENS_PER_REQUEST * f64::from(record.load() + 1)) * pace * failure_penalty
}

/// Estimates the time until a target that states its slowness has answered, in the unit of [`score`].
/// `load` are the requests there, `speed` the time that work takes relative to the mean of the service.
pub(crate) fn score_reported(
    record: &TargetRecord,
    request: &PlacementRequest,
    load: u32,
    speed: f64,
) -> f64 {
    let failure_penalty = 1.0 + 4.0 * record.health.failure_rate();
    if request.model {
        let tokens = f64::from(record.backlog().saturating_add(request.prompt));
        let requests = TOKENS_PER_REQUEST * f64::from(load + 1);
        return (tokens + requests) * speed * failure_penalty;
    }
    let slots = f64::from(record.usable_slots().max(1));
    let load = f64::from(load);
    let waiting = (load + 1.0 - slots).max(0.0) / slots;
    // Stands for requests of other entries that are not known yet, and that use up the last free slots.
    let unknown = (load / slots).powi(2);
    TOKENS_PER_REQUEST * (1.0 + waiting + unknown) * speed * failure_penalty
}

/// Removes the candidates that are poor, unless all are.
pub(crate) fn drop_poor(candidates: &mut SmallVec<[Candidate; 32]>) {
    if candidates.iter().any(|candidate| !candidate.poor) {
        candidates.retain(|candidate| !candidate.poor);
    }
}

/// Picks a candidate with a probability proportional to its free slots.
pub(crate) fn draw_weighted(candidates: &[Candidate], random: u64) -> Option<&Candidate> {
    let total: u64 = candidates.iter().map(|c| u64::from(c.free)).sum();
    let mut offset = random.checked_rem(total)?;
    candidates.iter().find(|candidate| {
        let free = u64::from(candidate.free);
        let found = offset < free;
        offset = offset.saturating_sub(free);
        found
    })
}
