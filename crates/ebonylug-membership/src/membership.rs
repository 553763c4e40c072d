use std::collections::{BTreeMap, HashSet};
use std::time::Instant;

use ebonylug_core::{Incarnation, Name};
use ebonylug_platform::InstanceRow;
use smallvec::SmallVec;

use crate::member::MAX_RETIRED;
use crate::{MAX_MEMBERS, Member, MemberReason, MemberState, Settings};

/// State changes returned by [`Membership::tick`], ordered by instance.
pub type Changes = Vec<Change>;

/// A change of the state of one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Name of the instance.
    pub instance: Name,
    /// Name of its target, if the instance is a sidecar.
    pub target: Option<Name>,
    /// State after the change.
    pub state: MemberState,
    /// Reason for the state.
    pub reason: MemberReason,
}

/// The known instances and their states.
#[derive(Clone, Debug)]
pub struct Membership {
    settings: Settings,
    members: BTreeMap<Name, Member>,
    /// Incarnations of removed and unknown instances, so that a stale list or a delayed heartbeat
    /// does not make them live again.
    notices: BTreeMap<Name, Notice>,
    /// When the last list was applied.
    last_list: Option<Instant>,
    /// Attempts to add an instance beyond [`MAX_MEMBERS`].
    ignored_count: u64,
}

/// What is kept of an instance that was removed, or that has left before it was added.
#[derive(Clone, Debug)]
struct Notice {
    /// Incarnations that have left or were replaced by another.
    retired: SmallVec<[Incarnation; 2]>,
    /// The last incarnation, if it has sent a leave notice or the list has marked it as leaving for
    /// good.
    left: Option<Incarnation>,
    /// When the notice was stored.
    time: Instant,
}

impl Membership {
    /// Creates a membership without instances.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Membership {
            settings,
            members: BTreeMap::new(),
            notices: BTreeMap::new(),
            last_list: None,
            ignored_count: 0,
        }
    }

    /// Applies a response of the instance list. Not to be called when the list is unavailable: once
    /// the last response is older than [`Settings::list_validity`], no instance is removed.
    pub fn apply_list(&mut self, now: Instant, rows: &[InstanceRow]) {
        let names: HashSet<&Name> = rows.iter().map(|row| &row.instance).collect();
        for (name, member) in &mut self.members {
            member.listed = names.contains(name);
        }
        let settings = self.settings.clone();
        for row in rows {
            if let Some(member) = self.ensure_member(now, &row.instance, Some(row)) {
                member.apply_row(now, row, &settings);
            }
        }
        self.last_list = Some(now);
    }

    /// Records a heartbeat. An unknown instance is added if `row` is given, and is ignored
    /// otherwise. Returns `false` if the heartbeat is not counted, for example because it is a
    /// delayed message of a former incarnation.
    pub fn record_heartbeat(
        &mut self,
        now: Instant,
        instance: &Name,
        incarnation: Incarnation,
        row: Option<&InstanceRow>,
    ) -> bool {
        let notice = self.notices.get(instance);
        if notice.is_some_and(|notice| notice.is_retired(incarnation)) {
            return false;
        }
        match self.ensure_member(now, instance, row) {
            Some(member) => member.record_heartbeat(now, incarnation),
            None => false,
        }
    }

    /// Records the leave notice of an incarnation. The notice of an unknown instance is kept for
    /// [`Settings::notice_retention`].
    pub fn record_leave(&mut self, now: Instant, instance: &Name, incarnation: Incarnation) {
        if let Some(member) = self.members.get_mut(instance) {
            member.record_leave(incarnation);
            return;
        }
        let mut retired = SmallVec::new();
        if let Some(notice) = self.notices.remove(instance) {
            retired = notice.retired;
            retired.extend(notice.left.filter(|left| *left != incarnation));
        }
        retired.retain(|old| *old != incarnation);
        self.store_notice(now, instance, retired, Some(incarnation));
    }

    /// Removes instances that are gone and notices that have expired, and returns the state changes
    /// since the last call.
    pub fn tick(&mut self, now: Instant) -> Changes {
        let mut changes = Changes::new();
        let mut gone = Vec::new();
        let age = self.list_age(now);
        for (name, member) in &mut self.members {
            let (state, reason) = member.evaluate(now, age, &self.settings);
            if member.reported_state != Some(state) {
                member.reported_state = Some(state);
                changes.push(Change {
                    instance: name.clone(),
                    target: member.row.target.clone(),
                    state,
                    reason,
                });
            }
            if state == MemberState::Gone {
                gone.push(name.clone());
            }
        }
        for name in gone {
            self.remove(now, &name);
        }
        let retention = self.settings.notice_retention;
        self.notices
            .retain(|_, notice| now.saturating_duration_since(notice.time) <= retention);
        changes
    }

    /// Returns the state as of the last tick, or the initial state of an instance that was added
    /// since. A leave notice takes effect at once.
    #[must_use]
    pub fn state(&self, instance: &str) -> Option<MemberState> {
        let member = self.members.get(instance)?;
        let now = member.last_heartbeat.unwrap_or(member.added);
        let (state, _) = member.evaluate(now, None, &self.settings);
        match (state, member.reported_state) {
            // Do not wait for the next tick to stop sending work to a leaving instance.
            (MemberState::Leaving, _) | (_, None) => Some(state),
            (_, Some(reported)) => Some(reported),
        }
    }

    /// Returns the state of an instance at `now` and the reason, or `None` if it is unknown.
    #[must_use]
    pub fn explain(&self, now: Instant, instance: &str) -> Option<(MemberState, MemberReason)> {
        let member = self.members.get(instance)?;
        Some(member.evaluate(now, self.list_age(now), &self.settings))
    }

    /// Returns an instance by name.
    #[must_use]
    pub fn member(&self, instance: &str) -> Option<&Member> {
        self.members.get(instance)
    }

    /// Returns all instances in the order of their names.
    pub fn members(&self) -> impl Iterator<Item = (&Name, &Member)> {
        self.members.iter()
    }

    /// Returns the number of attempts to add an instance that failed because [`MAX_MEMBERS`] was
    /// reached.
    #[must_use]
    pub fn ignored_count(&self) -> u64 {
        self.ignored_count
    }

    fn list_age(&self, now: Instant) -> Option<std::time::Duration> {
        self.last_list
            .map(|last| now.saturating_duration_since(last))
    }

    /// Returns the instance, and adds it if it is unknown and `row` is given.
    fn ensure_member(
        &mut self,
        now: Instant,
        instance: &Name,
        row: Option<&InstanceRow>,
    ) -> Option<&mut Member> {
        if !self.members.contains_key(instance) {
            let row = row?;
            if self.members.len() >= MAX_MEMBERS {
                self.ignored_count += 1;
                return None;
            }
            let mut member = Member::new(now, row.clone());
            if let Some(notice) = self.notices.remove(instance) {
                member.restore_history(notice.retired, notice.left);
            }
            self.members.insert(instance.clone(), member);
        }
        self.members.get_mut(instance)
    }

    /// Removes an instance and stores its former incarnations as a notice.
    fn remove(&mut self, now: Instant, instance: &Name) {
        let Some(member) = self.members.remove(instance) else {
            return;
        };
        let left = member.left_incarnation();
        if left.is_some() || !member.retired.is_empty() {
            self.store_notice(now, instance, member.retired, left);
        }
    }

    /// Stores a notice, and evicts the oldest one if there are too many.
    fn store_notice(
        &mut self,
        now: Instant,
        instance: &Name,
        mut retired: SmallVec<[Incarnation; 2]>,
        left: Option<Incarnation>,
    ) {
        if self.notices.len() >= MAX_MEMBERS {
            let oldest = self.notices.iter().min_by_key(|(_, notice)| notice.time);
            if let Some(name) = oldest.map(|(name, _)| name.clone()) {
                self.notices.remove(&name);
            }
        }
        if retired.len() > MAX_RETIRED {
            retired.remove(0);
        }
        let notice = Notice {
            retired,
            left,
            time: now,
        };
        self.notices.insert(instance.clone(), notice);
    }
}

impl Notice {
    fn is_retired(&self, incarnation: Incarnation) -> bool {
        self.left == Some(incarnation) || self.retired.contains(&incarnation)
    }
}
