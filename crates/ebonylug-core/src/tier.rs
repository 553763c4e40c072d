use serde::{Deserialize, Serialize};

/// How the requests of a tier are scheduled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Somebody waits for the answer: scheduled by rank, may preempt batch work.
    Interactive,
    /// Must finish by a deadline: scheduled by deadline slack, may be preempted and resumed.
    Batch,
}

/// A tier as it travels with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Tier {
    /// The class comes first, so that the derived order is the order of urgency.
    pub class: Class,
    /// Rank within the class; 0 is the most urgent.
    pub rank: u8,
}

impl Tier {
    /// Creates an interactive tier.
    #[must_use]
    pub const fn interactive(rank: u8) -> Self {
        Tier {
            class: Class::Interactive,
            rank,
        }
    }

    /// Creates a batch tier.
    #[must_use]
    pub const fn batch(rank: u8) -> Self {
        Tier {
            class: Class::Batch,
            rank,
        }
    }

    /// Reports whether requests of this tier are interactive.
    #[must_use]
    pub const fn is_interactive(self) -> bool {
        matches!(self.class, Class::Interactive)
    }
}
