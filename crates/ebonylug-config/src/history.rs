use std::collections::VecDeque;
use std::sync::Arc;

use ebonylug_core::Revision;
use ebonylug_resource::{Difference, Document};

/// Number of applied revisions that can be answered with changes.
const CAPACITY: usize = 128;

/// Changes that are kept over all revisions, so that a few large changes cannot use up memory.
const MAX_DIFFERENCES: usize = 2_048;

/// What a watch gets.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchUpdate {
    /// The resources that differ, in order of revisions. May repeat what the watcher has already
    /// seen, if this process skipped a revision; the state of a resource never goes back.
    Delta {
        /// The revision that the watcher has now.
        revision: Revision,
        /// What has changed.
        changes: Vec<Difference>,
    },
    /// The revision asked for is too old: the whole document.
    Full(Arc<Document>),
}

/// The changes of the revisions that this process has applied, bounded.
#[derive(Clone, Debug, Default)]
pub struct History {
    steps: VecDeque<Step>,
    differences: usize,
}

#[derive(Clone, Debug)]
struct Step {
    from: Revision,
    to: Revision,
    differences: Vec<Difference>,
}

impl History {
    /// Records that `newer` replaces `older`.
    pub fn record(&mut self, older: &Document, newer: &Document) {
        let step = Step {
            from: older.revision(),
            to: newer.revision(),
            differences: newer.differences(older),
        };
        self.differences += step.differences.len();
        self.steps.push_back(step);
        while self.steps.len() > CAPACITY || self.differences > MAX_DIFFERENCES {
            let oldest = self.steps.pop_front().expect("bounds are not negative");
            self.differences -= oldest.differences.len();
        }
    }

    /// Answers a watcher that has seen `since`, where `present` is in force.
    #[must_use]
    pub fn update_since(&self, since: Revision, present: &Arc<Document>) -> WatchUpdate {
        // A watcher that has seen a higher revision elsewhere must not go back.
        let revision = since.max(present.revision());
        let complete = self.steps.front().is_some_and(|first| first.from <= since);
        if !complete && since < present.revision() {
            return WatchUpdate::Full(Arc::clone(present));
        }
        let newer = self.steps.iter().filter(|step| step.to > since);
        let changes = newer
            .flat_map(|step| step.differences.iter().cloned())
            .collect();
        WatchUpdate::Delta { revision, changes }
    }
}
