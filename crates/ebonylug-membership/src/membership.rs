use std::collections::{BTreeMap, HashSet};
use std::time::Instant;

use ebonylug_core::{Incarnation, Name};
use ebonylug_platform::InstanceRow;
use smallvec::SmallVec;

use crate::member::MAX_PAST;
use crate::{MAX_MEMBERS, Member, MemberReason, MemberState, Settings};

/// What [`Membership::tick`] has changed, by instance.
pub type Changes = Vec<Change>;

/// A change of the state of one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The instance.
    pub instance: Name,
    /// The target beside it, if it is a sidecar.
    pub target: Option<Name>,
    /// The new state.
    pub state: MemberState,
    /// Why it has that state.
    pub reason: MemberReason,
}

/// The instances that this process knows, and whether they may get work.
#[derive(Clone, Debug)]
pub struct Membership {
    settings: Settings,
    members: BTreeMap<Name, Member>,
    /// Leave notices of removed and unknown instances, so that a stale list or a delayed
    /// heartbeat does not bring them back.
    notices: BTreeMap<Name, Notice>,
    listed: Option<Instant>,
    ignored: u64,
}

#[derive(Clone, Debug)]
struct Notice {
    /// Former incarnations.
    past: SmallVec<[Incarnation; 2]>,
    /// The last incarnation, if it has left.
    left: Option<Incarnation>,
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
            listed: None,
            ignored: 0,
        }
    }

    /// Takes over an answer of the instance list. When the list does not answer, nothing is
    /// called, and nobody is removed once the last answer is old.
    pub fn apply_list(&mut self, now: Instant, rows: &[InstanceRow]) {
        let names: HashSet<&Name> = rows.iter().map(|row| &row.instance).collect();
        for (name, member) in &mut self.members {
            member.listed = names.contains(name);
            if !member.listed {
                member.closing = None;
            }
        }
        for row in rows {
            if let Some(member) = self.know(now, &row.instance, Some(row)) {
                member.list(row);
            }
        }
        self.listed = Some(now);
    }

    /// Notes a sign of life. `row` introduces an instance that the list lacks; without it, an
    /// unknown instance is ignored. Returns whether the incarnation is the present one: a
    /// delayed message of an earlier incarnation is not counted.
    pub fn record_heartbeat(
        &mut self,
        now: Instant,
        instance: &Name,
        incarnation: Incarnation,
        row: Option<&InstanceRow>,
    ) -> bool {
        let notice = self.notices.get(instance);
        if notice.is_some_and(|notice| notice.is_over(incarnation)) {
            return false;
        }
        match self.know(now, instance, row) {
            Some(member) => member.hear(now, incarnation),
            None => false,
        }
    }

    /// Notes that an incarnation of an instance is leaving.
    pub fn record_leave(&mut self, now: Instant, instance: &Name, incarnation: Incarnation) {
        if let Some(member) = self.members.get_mut(instance) {
            member.leave(incarnation);
            return;
        }
        let mut past = SmallVec::new();
        if let Some(notice) = self.notices.remove(instance) {
            past = notice.past;
            past.extend(notice.left.filter(|left| *left != incarnation));
        }
        past.retain(|life| *life != incarnation);
        self.keep_notice(now, instance, past, Some(incarnation));
    }

    /// Removes instances that are gone, and returns what has changed since the last call.
    pub fn tick(&mut self, now: Instant) -> Changes {
        let mut changes = Changes::new();
        let mut gone = Vec::new();
        let age = self.list_age(now);
        for (name, member) in &mut self.members {
            let (state, reason) = member.judge(now, age, &self.settings);
            if member.reported != Some(state) {
                member.reported = Some(state);
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
        let kept = self.settings.notice_retention;
        self.notices
            .retain(|_, notice| now.saturating_duration_since(notice.time) <= kept);
        changes
    }

    /// Returns the state that the last tick reported, or the first impression of an instance
    /// that came since.
    #[must_use]
    pub fn state(&self, instance: &str) -> Option<MemberState> {
        let member = self.members.get(instance)?;
        let now = member.heard.unwrap_or(member.added);
        let (state, _) = member.judge(now, None, &self.settings);
        match (state, member.reported) {
            // Leaving takes effect before the next tick.
            (MemberState::Leaving, _) | (_, None) => Some(state),
            (_, Some(reported)) => Some(reported),
        }
    }

    /// Returns the state of an instance at `now`, with its reason.
    #[must_use]
    pub fn explain(&self, now: Instant, instance: &str) -> Option<(MemberState, MemberReason)> {
        let member = self.members.get(instance)?;
        Some(member.judge(now, self.list_age(now), &self.settings))
    }

    /// Returns what is known about an instance.
    #[must_use]
    pub fn member(&self, instance: &str) -> Option<&Member> {
        self.members.get(instance)
    }

    /// Returns all instances by name.
    pub fn members(&self) -> impl Iterator<Item = (&Name, &Member)> {
        self.members.iter()
    }

    /// Returns how many messages were ignored because the membership is at its bound.
    #[must_use]
    pub fn ignored_count(&self) -> u64 {
        self.ignored
    }

    fn list_age(&self, now: Instant) -> Option<std::time::Duration> {
        self.listed
            .map(|listed| now.saturating_duration_since(listed))
    }

    fn know(
        &mut self,
        now: Instant,
        instance: &Name,
        row: Option<&InstanceRow>,
    ) -> Option<&mut Member> {
        if !self.members.contains_key(instance) {
            let row = row?;
            if self.members.len() >= MAX_MEMBERS {
                self.ignored += 1;
                return None;
            }
            let mut member = Member::new(now, row.clone());
            if let Some(notice) = self.notices.remove(instance) {
                member.resume(notice.past, notice.left);
            }
            self.members.insert(instance.clone(), member);
        }
        self.members.get_mut(instance)
    }

    fn remove(&mut self, now: Instant, instance: &Name) {
        let Some(member) = self.members.remove(instance) else {
            return;
        };
        let left = member.incarnation.filter(|_| member.left);
        if left.is_some() || !member.past.is_empty() {
            self.keep_notice(now, instance, member.past, left);
        }
    }

    fn keep_notice(
        &mut self,
        now: Instant,
        instance: &Name,
        mut past: SmallVec<[Incarnation; 2]>,
        left: Option<Incarnation>,
    ) {
        if self.notices.len() >= MAX_MEMBERS {
            let oldest = self.notices.iter().min_by_key(|(_, notice)| notice.time);
            if let Some(name) = oldest.map(|(name, _)| name.clone()) {
                self.notices.remove(&name);
            }
        }
        if past.len() > MAX_PAST {
            past.remove(0);
        }
        let notice = Notice {
            past,
            left,
            time: now,
        };
        self.notices.insert(instance.clone(), notice);
    }
}

impl Notice {
    fn is_over(&self, incarnation: Incarnation) -> bool {
        self.left == Some(incarnation) || self.past.contains(&incarnation)
    }
}
