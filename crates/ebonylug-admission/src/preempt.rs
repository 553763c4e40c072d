use std::cmp::Reverse;
use std::time::Instant;

use ebonylug_core::{AttemptId, Tokens};
use smallvec::SmallVec;

use crate::AttemptIds;
use crate::baseline::Baseline;
use crate::stream::Streams;

#[derive(Clone, Copy)]
struct Victim {
    attempt: AttemptId,
    frees: Tokens,
    lost: Tokens,
    rank: u8,
}

impl Victim {
    /// Returns the prefill that is lost for each 1,024 tokens that become free.
    fn rate(&self) -> u64 {
        self.lost.0.saturating_mul(1_024) / self.frees.0.max(1)
    }
}

/// Chooses batch streams that free at least `need` tokens, with little prefill lost.
///
/// At most `room` tokens may be freed. Returns nothing if the streams do not suffice.
pub(crate) fn victims(
    now: Instant,
    streams: &Streams,
    baseline: &Baseline,
    need: Tokens,
    room: Tokens,
) -> Option<AttemptIds> {
    let mut all: SmallVec<[Victim; 32]> = streams
        .iter()
        .filter(|(_, stream)| stream.is_preemptible() && stream.cost <= room)
        .map(|(attempt, stream)| Victim {
            attempt,
            frees: stream.cost,
            lost: stream.lost(now, baseline.expected(stream.prompt)),
            rank: stream.tier.rank,
        })
        .collect();
    // Neither order is best in each case: the smallest losses may add up to more than one large
    // stream loses, and the best rate may free far more than is needed.
    all.sort_by_key(|v| (v.rate(), Reverse(v.rank), Reverse(v.frees), v.attempt));
    let by_rate = collect(&all, need, room);
    all.sort_by_key(|v| (v.lost, Reverse(v.rank), Reverse(v.frees), v.attempt));
    let by_loss = collect(&all, need, room);
    let single = all.iter().find(|v| v.frees >= need);
    let single = single.map(|&v| SmallVec::from_iter([v]));
    let choices = [single, by_rate, by_loss].into_iter().flatten();
    let best = choices.min_by_key(|choice| (lost(choice), choice.len()));
    best.as_deref().map(ids)
}

/// Takes the cheapest streams until they suffice, then leaves out those that are not needed.
fn collect(all: &[Victim], need: Tokens, room: Tokens) -> Option<SmallVec<[Victim; 8]>> {
    let mut chosen = SmallVec::<[Victim; 8]>::new();
    let mut freed = Tokens::ZERO;
    for victim in all {
        if freed >= need {
            break;
        }
        if freed + victim.frees <= room {
            chosen.push(*victim);
            freed += victim.frees;
        }
    }
    if freed < need {
        return None;
    }
    for i in (0..chosen.len()).rev() {
        if freed - chosen[i].frees >= need {
            freed -= chosen[i].frees;
            chosen.remove(i);
        }
    }
    Some(chosen)
}

fn lost(victims: &[Victim]) -> Tokens {
    victims.iter().map(|v| v.lost).sum()
}

fn ids(victims: &[Victim]) -> AttemptIds {
    victims.iter().map(|v| v.attempt).collect()
}
