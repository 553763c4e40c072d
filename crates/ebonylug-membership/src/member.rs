use std::time::Instant;

use ebonylug_core::Incarnation;
use ebonylug_platform::{InstanceRow, InstanceState};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::Settings;

/// State of an instance, which decides whether it gets work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Contained in the list, but without a heartbeat so far.
    Joining,
    /// The last heartbeat is recent.
    Live,
    /// A heartbeat is overdue; the instance gets work only if no other instance can take it.
    Suspect,
    /// The heartbeat timeout has passed; the instance gets no new work.
    #[serde(rename = "silent")]
    Unreachable,
    /// Shutting down: the instance gets no new work, and running work continues.
    Leaving,
    /// Removed from the membership.
    Gone,
}

/// Reason for the state of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberReason {
    /// The list contains the instance, and no heartbeat has arrived yet.
    Listed,
    /// Heartbeats arrive, and the list contains the instance.
    #[serde(rename = "heard")]
    Reachable,
    /// Heartbeats arrive, although the list does not contain the instance.
    #[serde(rename = "heard_unlisted")]
    ReachableUnlisted,
    /// The last heartbeat is too old.
    NoHeartbeat,
    /// Heartbeats are missing and the list does not contain the instance, but the list is too old
    /// to remove it.
    ListOutdated,
    /// The instance has sent a leave notice.
    LeaveNotice,
    /// The list marks the instance as leaving.
    ListLeaving,
    /// Heartbeats are missing, and a current list does not contain the instance.
    Removed,
}

/// Maximum number of former incarnations that are kept per instance to detect their delayed
/// messages.
pub(crate) const MAX_RETIRED: usize = 8;

/// State of one instance in the [`Membership`](crate::Membership).
#[derive(Clone, Debug)]
pub struct Member {
    pub(crate) row: InstanceRow,
    /// Whether the last list contains the instance.
    pub(crate) listed: bool,
    pub(crate) incarnation: Option<Incarnation>,
    pub(crate) last_heartbeat: Option<Instant>,
    /// When the instance was added, used in place of a heartbeat until the first one arrives.
    pub(crate) added: Instant,
    /// Incarnations that have left or were replaced by another.
    pub(crate) retired: SmallVec<[Incarnation; 2]>,
    /// Whether the current incarnation has sent a leave notice.
    pub(crate) left: bool,
    /// When the first heartbeat of the current incarnation arrived.
    pub(crate) incarnation_since: Option<Instant>,
    /// Set while the list marks the instance as leaving, and longer if the mark is final.
    pub(crate) list_mark: Option<ListMark>,
    /// State that the last tick returned.
    pub(crate) reported_state: Option<MemberState>,
}

/// The mark of an instance as leaving in the list.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ListMark {
    /// The incarnation that was current when the mark was first read, or `None` if no heartbeat had
    /// arrived by then.
    incarnation: Option<Incarnation>,
    /// Whether the mark cannot be a late one of an earlier incarnation. Such a mark holds for its
    /// incarnation like a leave notice, also if an older list is read afterwards.
    is_final: bool,
}

impl Member {
    pub(crate) fn new(now: Instant, row: InstanceRow) -> Self {
        Member {
            row,
            listed: false,
            incarnation: None,
            last_heartbeat: None,
            added: now,
            retired: SmallVec::new(),
            left: false,
            incarnation_since: None,
            list_mark: None,
            reported_state: None,
        }
    }

    /// Restores the incarnations from the stored notice of an instance. The incarnation that has
    /// left counts as current until a heartbeat of another one arrives.
    pub(crate) fn restore_history(
        &mut self,
        retired: SmallVec<[Incarnation; 2]>,
        left: Option<Incarnation>,
    ) {
        self.retired = retired;
        self.incarnation = left;
        self.left = left.is_some();
    }

    /// Returns the row of the instance list: zone, target and addresses.
    #[must_use]
    pub fn row(&self) -> &InstanceRow {
        &self.row
    }

    /// Returns the current incarnation, or `None` if no message of the instance has arrived.
    #[must_use]
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.incarnation
    }

    pub(crate) fn apply_row(&mut self, now: Instant, row: &InstanceRow, settings: &Settings) {
        self.listed = true;
        if self.row != *row {
            self.row = row.clone();
        }
        match row.state {
            InstanceState::Live => self
                .list_mark
                .take_if(|mark| !mark.is_final || mark.incarnation != self.incarnation),
            // The list lags, so the mark does not apply to a later incarnation.
            InstanceState::Leaving => {
                let is_final = self.incarnation_since.is_some_and(|since| {
                    now.saturating_duration_since(since) > settings.list_validity
                });
                let incarnation = self.incarnation;
                self.list_mark.get_or_insert(ListMark {
                    incarnation,
                    is_final,
                });
                None
            }
        };
    }

    /// Records a heartbeat. Returns `false` if its incarnation is a former one.
    pub(crate) fn record_heartbeat(&mut self, now: Instant, incarnation: Incarnation) -> bool {
        if self.retired.contains(&incarnation) {
            return false;
        }
        if self.incarnation != Some(incarnation) {
            if let Some(old) = self.incarnation.replace(incarnation) {
                self.retire(old);
            }
            self.left = false;
            self.incarnation_since = Some(now);
        }
        let latest = self.last_heartbeat.map_or(now, |last| last.max(now));
        self.last_heartbeat = Some(latest);
        true
    }

    pub(crate) fn record_leave(&mut self, incarnation: Incarnation) {
        match self.incarnation {
            Some(current) if current != incarnation => self.retire(incarnation),
            _ => {
                self.incarnation = Some(incarnation);
                self.left = true;
            }
        }
    }

    /// Derives the state from the recorded messages and the age of the last list.
    pub(crate) fn evaluate(
        &self,
        now: Instant,
        list_age: Option<std::time::Duration>,
        settings: &Settings,
    ) -> (MemberState, MemberReason) {
        let since = self.last_heartbeat.unwrap_or(self.added);
        let elapsed = now.saturating_duration_since(since);
        let list_is_valid = list_age.is_some_and(|age| age <= settings.list_validity);
        let expired = !self.listed && elapsed > settings.removal_timeout;
        if expired && list_is_valid {
            return (MemberState::Gone, MemberReason::Removed);
        }
        if self.left {
            return (MemberState::Leaving, MemberReason::LeaveNotice);
        }
        if self.is_list_leaving() {
            return (MemberState::Leaving, MemberReason::ListLeaving);
        }
        if self.last_heartbeat.is_none() {
            return (MemberState::Joining, MemberReason::Listed);
        }
        if expired {
            return (MemberState::Unreachable, MemberReason::ListOutdated);
        }
        if elapsed > settings.heartbeat_timeout {
            return (MemberState::Unreachable, MemberReason::NoHeartbeat);
        }
        if elapsed > settings.suspect_timeout {
            return (MemberState::Suspect, MemberReason::NoHeartbeat);
        }
        match self.listed {
            true => (MemberState::Live, MemberReason::Reachable),
            false => (MemberState::Live, MemberReason::ReachableUnlisted),
        }
    }

    /// Returns the current incarnation if it has sent a leave notice or the list has marked it as
    /// leaving for good.
    pub(crate) fn left_incarnation(&self) -> Option<Incarnation> {
        let is_final = self.list_mark.is_some_and(|mark| mark.is_final);
        self.incarnation
            .filter(|_| self.left || (is_final && self.is_list_leaving()))
    }

    fn is_list_leaving(&self) -> bool {
        // A mark that was set before any heartbeat applies to whichever incarnation is current.
        self.list_mark
            .is_some_and(|mark| mark.incarnation.is_none() || mark.incarnation == self.incarnation)
    }

    fn retire(&mut self, incarnation: Incarnation) {
        if self.retired.contains(&incarnation) {
            return;
        }
        if self.retired.len() == MAX_RETIRED {
            self.retired.remove(0);
        }
        self.retired.push(incarnation);
    }
}
