use std::collections::VecDeque;
use std::sync::Arc;

use ebonylug_core::Revision;
use ebonylug_resource::{Difference, Document};

/// Maximum number of applied revisions whose changes are retained.
const MAX_STEPS: usize = 128;

/// Maximum number of changed resources over all retained revisions, which bounds the memory used
/// by a few large changes.
const MAX_DIFFERENCES: usize = 2_048;

/// The response to a watch.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchUpdate {
    /// The resources that differ, in order of revisions. If this process skipped a revision, it may
    /// contain changes that the watcher has already seen; the state of a resource never reverts.
    Delta {
        /// The revision of the watcher after these changes.
        revision: Revision,
        /// The changed and deleted resources.
        changes: Vec<Difference>,
    },
    /// The whole document, since the changes after the requested revision are not retained.
    Full(Arc<Document>),
}

/// The changes of recently applied revisions, bounded in number.
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
    /// Records the differences of two consecutively applied documents, and evicts the oldest ones
    /// beyond the limits.
    pub fn record(&mut self, older: &Document, newer: &Document) {
        let step = Step {
            from: older.revision(),
            to: newer.revision(),
            differences: newer.differences(older),
        };
        self.differences += step.differences.len();
        self.steps.push_back(step);
        while self.steps.len() > MAX_STEPS || self.differences > MAX_DIFFERENCES {
            let oldest = self
                .steps
                .pop_front()
                .expect("an empty history is within the limits");
            self.differences -= oldest.differences.len();
        }
    }

    /// Returns the update for a watcher at revision `since`, given the active document.
    #[must_use]
    pub fn update_since(&self, since: Revision, current: &Arc<Document>) -> WatchUpdate {
        // A watcher that got a higher revision from another process must not go back.
        let revision = since.max(current.revision());
        let complete = self.steps.front().is_some_and(|first| first.from <= since);
        if !complete && since < current.revision() {
            return WatchUpdate::Full(Arc::clone(current));
        }
        let newer = self.steps.iter().filter(|step| step.to > since);
        let changes = newer
            .flat_map(|step| step.differences.iter().cloned())
            .collect();
        WatchUpdate::Delta { revision, changes }
    }
}
