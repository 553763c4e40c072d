use serde::{Deserialize, Serialize};

/// How the requests of a tier are scheduled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// A caller waits for the response: scheduled by rank, may preempt batch work.
    Interactive,
    /// Must finish by a deadline: scheduled by deadline slack, may be preempted and resumed.
    Batch,
}

/// The tier of a request, as messages carry it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Tier {
    /// How requests are scheduled. The first field, so that the derived order is the order of
    /// urgency.
    pub class: Class,
    /// Rank within the class; 0 is the most urgent.
    pub rank: u8,
}

impl Tier {
    /// Creates a tier of class [`Class::Interactive`].
    #[must_use]
    pub const fn interactive(rank: u8) -> Self {
        Tier {
            class: Class::Interactive,
            rank,
        }
    }

    /// Creates a tier of class [`Class::Batch`].
    #[must_use]
    pub const fn batch(rank: u8) -> Self {
        Tier {
            class: Class::Batch,
            rank,
        }
    }

    /// Reports whether the class is [`Class::Interactive`].
    #[must_use]
    pub const fn is_interactive(self) -> bool {
        matches!(self.class, Class::Interactive)
    }
}
