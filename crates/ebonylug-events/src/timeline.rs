use std::collections::{BTreeMap, HashSet};

use ebonylug_core::{Incarnation, Name, RequestId};

use crate::{Event, Origin};

/// Selects events. All parts that are set must match; an empty filter selects all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Filter {
    /// Events of this request and its attempts.
    pub request: Option<RequestId>,
    /// Events of this move.
    pub version_move: Option<Name>,
    /// Events about this zone, and events of processes in it.
    pub zone: Option<Name>,
    /// Events of this target.
    pub target: Option<Name>,
}

impl Filter {
    /// Reports whether the event is selected.
    #[must_use]
    pub fn matches(&self, event: &Event) -> bool {
        let subject = &event.subject;
        let attempted = subject.attempt.map(|attempt| attempt.request);
        let request = subject.request.or(attempted);
        let in_zone =
            |zone: &Name| subject.zone.as_ref() == Some(zone) || event.origin.zone == *zone;
        self.request.is_none_or(|id| request == Some(id))
            && is(&self.version_move, &subject.version_move)
            && is(&self.target, &subject.target)
            && self.zone.as_ref().is_none_or(in_zone)
    }
}

/// The events of many processes in causal order.
///
/// ```
/// use std::time::SystemTime;
/// use ebonylug_core::Incarnation;
/// use ebonylug_events::{EventKind, EventRing, Origin, Subject, Timeline};
///
/// let ring = |process: &str| {
///     let origin = Origin {
///         process: process.into(),
///         zone: "canas-b".into(),
///         incarnation: Incarnation(1),
///     };
///     EventRing::new(origin, 100)
/// };
/// let (mut entry, mut sidecar) = (ring("entry"), ring("sidecar"));
/// let now = SystemTime::now();
/// let sent = entry.push(now, EventKind::Dispatched, Subject::new(), None);
/// sidecar.push(now, EventKind::Admitted, Subject::new(), Some(sent));
///
/// // The order of the lists does not matter.
/// let lists = vec![sidecar.since(0, 100).events, entry.since(0, 100).events];
/// let timeline = Timeline::merge(lists);
/// assert_eq!(timeline.events()[0].kind, EventKind::Dispatched);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Timeline {
    events: Vec<Event>,
    /// Numbers of missing events directly before the event with this key.
    gaps: BTreeMap<Key, u64>,
}

type Key = (Name, Incarnation, u64);

impl Timeline {
    /// Merges lists of events. An event that occurs several times is kept once.
    ///
    /// The order is by logical time, then by wall-clock time, then by process, so that each
    /// event comes after its cause and after the earlier events of its process.
    #[must_use]
    pub fn merge(lists: Vec<Vec<Event>>) -> Timeline {
        let mut seen = HashSet::new();
        let mut events: Vec<Event> = lists.into_iter().flatten().collect();
        events.retain(|event| seen.insert(key(event)));
        events.sort_by(|a, b| rank(a).cmp(&rank(b)));
        let gaps = gaps(&events);
        Timeline { events, gaps }
    }

    /// Returns the events in order.
    #[must_use]
    pub fn events(&self) -> &[Event] {
        &self.events
    }

    /// Returns how many events of the same process are missing directly before this one.
    #[must_use]
    pub fn missing_before(&self, event: &Event) -> u64 {
        self.gaps.get(&key(event)).copied().unwrap_or(0)
    }

    /// Keeps the events that `filter` selects. What is left out does not count as missing.
    #[must_use]
    pub fn filter(&self, filter: &Filter) -> Timeline {
        let events = self.events.iter().filter(|event| filter.matches(event));
        let events: Vec<Event> = events.cloned().collect();
        let kept: HashSet<Key> = events.iter().map(key).collect();
        let gaps = self.gaps.iter().filter(|(key, _)| kept.contains(key));
        let gaps = gaps.map(|(key, missing)| (key.clone(), *missing)).collect();
        Timeline { events, gaps }
    }

    /// Returns the processes, ordered by zone and name.
    #[must_use]
    pub fn processes(&self) -> Vec<(Name, Name)> {
        let origin = |event: &Event| {
            let Origin { zone, process, .. } = event.origin.clone();
            (zone, process)
        };
        let mut processes: Vec<_> = self.events.iter().map(origin).collect();
        processes.sort();
        processes.dedup();
        processes
    }
}

fn key(event: &Event) -> Key {
    let Origin {
        process,
        incarnation,
        ..
    } = &event.origin;
    (process.clone(), *incarnation, event.sequence)
}

fn rank(event: &Event) -> impl Ord + '_ {
    let origin = &event.origin;
    let process = (&origin.process, origin.incarnation);
    (event.stamp, event.at, process, event.sequence)
}

fn gaps(events: &[Event]) -> BTreeMap<Key, u64> {
    let mut last: BTreeMap<(&Name, Incarnation), u64> = BTreeMap::new();
    let mut gaps = BTreeMap::new();
    for event in events {
        let process = (&event.origin.process, event.origin.incarnation);
        let before = last.insert(process, event.sequence).unwrap_or(0);
        let missing = event.sequence.saturating_sub(before + 1);
        if missing > 0 {
            gaps.insert(key(event), missing);
        }
    }
    gaps
}

fn is(wanted: &Option<Name>, actual: &Option<Name>) -> bool {
    wanted.is_none() || wanted == actual
}
