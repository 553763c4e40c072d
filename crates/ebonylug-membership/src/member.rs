use std::time::Instant;

use ebonylug_core::Incarnation;
use ebonylug_platform::{InstanceRow, InstanceState};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::Settings;

/// Whether an instance may get work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// In the list, but not heard yet.
    Joining,
    /// Heard lately.
    Live,
    /// A heartbeat is late; the instance still gets work if no other can.
    Suspect,
    /// Not heard for so long that it gets no new work.
    #[serde(rename = "silent")]
    Unreachable,
    /// About to stop: no new work, running work goes on.
    Leaving,
    /// Removed.
    Gone,
}

/// Why an instance has its state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberReason {
    /// The list introduced it.
    Listed,
    /// It is in the list and was heard.
    #[serde(rename = "heard")]
    Reachable,
    /// It was heard although the list lacks it.
    #[serde(rename = "heard_unlisted")]
    ReachableUnlisted,
    /// No heartbeat came in time.
    NoHeartbeat,
    /// It is silent and the list lacks it, but the list is too old to remove it.
    ListOutdated,
    /// It sent a leave notice.
    LeaveNotice,
    /// The list says that it is leaving.
    ListLeaving,
    /// The list lacks it, and it is silent.
    Removed,
}

/// Former incarnations that are remembered, so that their delayed messages are recognised.
pub(crate) const MAX_PAST: usize = 8;

/// One instance, as this process knows it.
#[derive(Clone, Debug)]
pub struct Member {
    pub(crate) row: InstanceRow,
    pub(crate) listed: bool,
    pub(crate) incarnation: Option<Incarnation>,
    pub(crate) heard: Option<Instant>,
    pub(crate) added: Instant,
    /// Incarnations that have left or were replaced.
    pub(crate) past: SmallVec<[Incarnation; 2]>,
    /// The present incarnation has sent a leave notice.
    pub(crate) left: bool,
    /// The incarnation that the list said is leaving.
    pub(crate) closing: Option<Option<Incarnation>>,
    pub(crate) reported: Option<MemberState>,
}

impl Member {
    pub(crate) fn new(now: Instant, row: InstanceRow) -> Self {
        Member {
            row,
            listed: false,
            incarnation: None,
            heard: None,
            added: now,
            past: SmallVec::new(),
            left: false,
            closing: None,
            reported: None,
        }
    }

    /// Takes over what is remembered of an instance that was unknown. The incarnation that has
    /// left counts as present, until another one is heard.
    pub(crate) fn resume(&mut self, past: SmallVec<[Incarnation; 2]>, left: Option<Incarnation>) {
        self.past = past;
        self.incarnation = left;
        self.left = left.is_some();
    }

    /// Returns the row with the zone, the target and the addresses.
    #[must_use]
    pub fn row(&self) -> &InstanceRow {
        &self.row
    }

    /// Returns the incarnation that was heard last.
    #[must_use]
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.incarnation
    }

    pub(crate) fn list(&mut self, row: &InstanceRow) {
        self.listed = true;
        if self.row != *row {
            self.row = row.clone();
        }
        match row.state {
            InstanceState::Live => self.closing = None,
            // A later incarnation is not the one that the lagging list speaks of.
            InstanceState::Leaving if self.closing.is_none() => {
                self.closing = Some(self.incarnation);
            }
            InstanceState::Leaving => {}
        }
    }

    /// Returns whether the heartbeat was that of the present or of a new incarnation.
    pub(crate) fn hear(&mut self, now: Instant, incarnation: Incarnation) -> bool {
        if self.past.contains(&incarnation) {
            return false;
        }
        if self.incarnation != Some(incarnation) {
            if let Some(old) = self.incarnation.replace(incarnation) {
                self.retire(old);
            }
            self.left = false;
        }
        let heard = self.heard.map_or(now, |heard| heard.max(now));
        self.heard = Some(heard);
        true
    }

    pub(crate) fn leave(&mut self, incarnation: Incarnation) {
        match self.incarnation {
            Some(current) if current != incarnation => self.retire(incarnation),
            _ => {
                self.incarnation = Some(incarnation);
                self.left = true;
            }
        }
    }

    pub(crate) fn judge(
        &self,
        now: Instant,
        list_age: Option<std::time::Duration>,
        settings: &Settings,
    ) -> (MemberState, MemberReason) {
        let since = self.heard.unwrap_or(self.added);
        let silence = now.saturating_duration_since(since);
        let fresh = list_age.is_some_and(|age| age <= settings.list_validity);
        let lacking = !self.listed && silence > settings.removal_timeout;
        if lacking && fresh {
            return (MemberState::Gone, MemberReason::Removed);
        }
        if self.left {
            return (MemberState::Leaving, MemberReason::LeaveNotice);
        }
        if self.is_closing() {
            return (MemberState::Leaving, MemberReason::ListLeaving);
        }
        if self.heard.is_none() {
            return (MemberState::Joining, MemberReason::Listed);
        }
        if lacking {
            return (MemberState::Unreachable, MemberReason::ListOutdated);
        }
        if silence > settings.heartbeat_timeout {
            return (MemberState::Unreachable, MemberReason::NoHeartbeat);
        }
        if silence > settings.suspect_timeout {
            return (MemberState::Suspect, MemberReason::NoHeartbeat);
        }
        match self.listed {
            true => (MemberState::Live, MemberReason::Reachable),
            false => (MemberState::Live, MemberReason::ReachableUnlisted),
        }
    }

    fn is_closing(&self) -> bool {
        // An instance that was not heard before the list said so is the one that is leaving.
        self.closing
            .is_some_and(|closing| closing.is_none() || closing == self.incarnation)
    }

    fn retire(&mut self, incarnation: Incarnation) {
        if self.past.contains(&incarnation) {
            return;
        }
        if self.past.len() == MAX_PAST {
            self.past.remove(0);
        }
        self.past.push(incarnation);
    }
}
