use std::collections::BTreeMap;
use std::fmt::Write;

use serde::{Deserialize, Serialize};

use crate::ledger::{Breach, Ledger, Promise};
use crate::notes::{End, Notes};
use crate::schedule::Schedule;

/// A schedule that was played, and what became of it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Played {
    /// The schedule.
    pub schedule: Schedule,
    /// How requests ended, by word.
    pub ends: BTreeMap<String, u64>,
    /// How often each promise was checked.
    pub checked: BTreeMap<Promise, u64>,
    /// Broken promises.
    pub breaches: Vec<Breach>,
}

impl Played {
    /// Judges what was seen.
    #[must_use]
    pub fn new(schedule: Schedule, notes: &Notes) -> Self {
        let (breaches, checked) = Ledger::new(notes).judge();
        let mut ends: BTreeMap<String, u64> = BTreeMap::new();
        for ask in &notes.asks {
            *ends.entry(word(&ask.end)).or_default() += 1;
        }
        Played {
            schedule,
            ends,
            checked,
            breaches,
        }
    }
}

fn word(end: &End) -> String {
    match end {
        End::Served { .. } => "served".into(),
        End::Status { code, signed: true } => format!("{code} of an engine"),
        End::Status { code, .. } => code.to_string(),
        End::Cut { .. } => "cut".into(),
        End::Left => "left".into(),
        End::Unsent => "unsent".into(),
        End::Refused => "connection refused".into(),
        End::Hung => "hung".into(),
    }
}

/// All schedules that were played.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Report {
    /// Each of them.
    pub played: Vec<Played>,
}

impl Report {
    /// Returns whether all promises were kept.
    #[must_use]
    pub fn is_kept(&self) -> bool {
        self.played.iter().all(|played| played.breaches.is_empty())
    }

    /// Writes counts and breaches for people.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = String::new();
        let mut ends: BTreeMap<&str, u64> = BTreeMap::new();
        let mut checked: BTreeMap<Promise, (u64, u64)> = BTreeMap::new();
        for played in &self.played {
            for (end, count) in &played.ends {
                *ends.entry(end).or_default() += count;
            }
            for (promise, count) in &played.checked {
                checked.entry(*promise).or_default().0 += count;
            }
            for breach in &played.breaches {
                checked.entry(breach.promise).or_default().1 += 1;
                let seed = played.schedule.seed;
                let _ = writeln!(text, "seed {seed}: {:?}: {}", breach.promise, breach.seen);
            }
        }
        let _ = writeln!(text, "{} schedules", self.played.len());
        for (end, count) in ends {
            let _ = writeln!(text, "  {count:>8} {end}");
        }
        for (promise, (count, broken)) in checked {
            let _ = writeln!(text, "  {promise:?}: checked {count}, broken {broken}");
        }
        text
    }
}
