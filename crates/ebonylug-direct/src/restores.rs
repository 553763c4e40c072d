//! What an entry records when the platform's store has come back from an older copy.
//!
//! The copy lacks the last writes, also those of entries. Each kind of fact that only entries write has one writer that
//! knows it, so that not all entries write it again.

use crate::entry::Entry;

/// A kind of fact that only entries write to the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryFact {
    /// The row by which others find an entry. Written by the entry itself.
    Membership,
    /// The stage of a move. Written by the entries that read the store for their availability zone.
    MoveStage,
    /// Crashes with a common cause. Written by the entries that detected them.
    CrashRecord,
}

impl EntryFact {
    fn as_str(self) -> &'static str {
        match self {
            EntryFact::Membership => "membership",
            EntryFact::MoveStage => "move_stage",
            EntryFact::CrashRecord => "crash_record",
        }
    }
}

/// What has happened to the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestoreEvent {
    /// It has come back from an older copy.
    Restored,
    /// This entry writes facts again.
    Rewritten {
        /// Their kind.
        fact: EntryFact,
        /// Their number.
        count: usize,
    },
}

impl Entry {
    /// Counts an event of the platform's store, and logs it.
    pub fn record_restore(&self, event: RestoreEvent) {
        let (label, count) = match event {
            RestoreEvent::Restored => {
                let reader = self.is_reader();
                let holds_duties = self
                    .duty_overview()
                    .is_some_and(|duties| duties.fence.is_some());
                tracing::warn!(
                    part = "store",
                    reader,
                    holds_duties,
                    "the store came back from an older copy; what entries wrote last is lost"
                );
                ("restored", 1)
            }
            RestoreEvent::Rewritten { count: 0, .. } => return,
            RestoreEvent::Rewritten { fact, count } => {
                let fact = fact.as_str();
                tracing::info!(
                    part = "store",
                    fact,
                    count,
                    "writes again what the store lost"
                );
                (fact, count)
            }
        };
        self.instruments.count_restore(label, count);
    }
}
