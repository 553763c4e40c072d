use std::cmp::Reverse;
use std::time::Instant;

use ebonylug_core::{AttemptId, Tokens};
use smallvec::SmallVec;

use crate::AttemptIds;
use crate::baseline::Baseline;
use crate::stream::Streams;

/// A batch stream that may be preempted.
#[derive(Clone, Copy)]
struct Victim {
    attempt: AttemptId,
    /// Tokens that the cancellation frees.
    frees: Tokens,
    /// Tokens whose prefill has to be computed again.
    lost: Tokens,
    rank: u8,
}

impl Victim {
    /// Returns the prefill tokens lost per 1,024 tokens freed.
    fn loss_rate(&self) -> u64 {
        self.lost.0.saturating_mul(1_024) / self.frees.0.max(1)
    }
}

/// Selects batch streams that together free at least `needed` tokens and lose little prefill.
///
/// At most `available` tokens may be freed. Returns `None` if the streams do not suffice.
pub(crate) fn select_victims(
    now: Instant,
    streams: &Streams,
    baseline: &Baseline,
    needed: Tokens,
    available: Tokens,
) -> Option<AttemptIds> {
    let mut candidates: SmallVec<[Victim; 32]> = streams
        .iter()
        .filter(|(_, stream)| stream.is_preemptible() && stream.cost <= available)
        .map(|(attempt, stream)| Victim {
            attempt,
            frees: stream.cost,
            lost: stream.recompute_cost(now, baseline.expected(stream.prompt)),
            rank: stream.tier.rank,
        })
        .collect();
    // Neither order is always best: the smallest losses may add up to more than the loss of one
    // large stream, and the best rate may free far more than is needed.
    candidates.sort_by_key(|v| (v.loss_rate(), Reverse(v.rank), Reverse(v.frees), v.attempt));
    let by_rate = select(&candidates, needed, available);
    candidates.sort_by_key(|v| (v.lost, Reverse(v.rank), Reverse(v.frees), v.attempt));
    let by_loss = select(&candidates, needed, available);
    let single = candidates.iter().find(|v| v.frees >= needed);
    let single = single.map(|&v| SmallVec::from_iter([v]));
    let choices = [single, by_rate, by_loss].into_iter().flatten();
    let best = choices.min_by_key(|choice| (total_lost(choice), choice.len()));
    best.as_deref().map(ids)
}

/// Takes streams in order until they free enough, then drops those that are not needed.
fn select(
    candidates: &[Victim],
    needed: Tokens,
    available: Tokens,
) -> Option<SmallVec<[Victim; 8]>> {
    let mut chosen = SmallVec::<[Victim; 8]>::new();
    let mut freed = Tokens::ZERO;
    for victim in candidates {
        if freed >= needed {
            break;
        }
        if freed + victim.frees <= available {
            chosen.push(*victim);
            freed += victim.frees;
        }
    }
    if freed < needed {
        return None;
    }
    for i in (0..chosen.len()).rev() {
        if freed - chosen[i].frees >= needed {
            freed -= chosen[i].frees;
            chosen.remove(i);
        }
    }
    Some(chosen)
}

fn total_lost(victims: &[Victim]) -> Tokens {
    victims.iter().map(|v| v.lost).sum()
}

fn ids(victims: &[Victim]) -> AttemptIds {
    victims.iter().map(|v| v.attempt).collect()
}
