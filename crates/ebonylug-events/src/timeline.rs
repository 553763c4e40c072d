use std::collections::{BTreeMap, HashSet};

use ebonylug_core::{Incarnation, Name, RequestId};

use crate::{Event, Origin};

/// Selects events. All fields that are set must match; an empty filter matches all events.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Filter {
    /// Matches events of this request and its attempts.
    pub request: Option<RequestId>,
    /// Matches events of this move.
    pub version_move: Option<Name>,
    /// Matches events about this zone and events of processes in it.
    pub zone: Option<Name>,
    /// Matches events of this target.
    pub target: Option<Name>,
}

impl Filter {
    /// Reports whether the filter matches the event.
    #[must_use]
    pub fn matches(&self, event: &Event) -> bool {
        let subject = &event.subject;
        let attempted = subject.attempt.map(|attempt| attempt.request);
        let request = subject.request.or(attempted);
        let in_zone =
            |zone: &Name| subject.zone.as_ref() == Some(zone) || event.origin.zone == *zone;
        self.request.is_none_or(|id| request == Some(id))
            && name_matches(&self.version_move, &subject.version_move)
            && name_matches(&self.target, &subject.target)
            && self.zone.as_ref().is_none_or(in_zone)
    }
}

/// The merged events of several processes in causal order.
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
    /// Number of missing events directly before the event with this key.
    gaps: BTreeMap<EventKey, u64>,
}

type EventKey = (Name, Incarnation, u64);

impl Timeline {
    /// Merges lists of events and removes duplicates.
    ///
    /// Sorts by logical time, then by wall-clock time, then by process, so that each event comes
    /// after its cause and after the earlier events of its process.
    #[must_use]
    pub fn merge(lists: Vec<Vec<Event>>) -> Timeline {
        let mut seen = HashSet::new();
        let mut events: Vec<Event> = lists.into_iter().flatten().collect();
        events.retain(|event| seen.insert(event_key(event)));
        events.sort_by(|a, b| sort_key(a).cmp(&sort_key(b)));
        let gaps = find_gaps(&events);
        Timeline { events, gaps }
    }

    /// Returns the events in causal order.
    #[must_use]
    pub fn events(&self) -> &[Event] {
        &self.events
    }

    /// Returns the number of events of the same process that are missing directly before `event`.
    #[must_use]
    pub fn missing_before(&self, event: &Event) -> u64 {
        self.gaps.get(&event_key(event)).copied().unwrap_or(0)
    }

    /// Returns the events that `filter` matches. The others do not count as missing.
    #[must_use]
    pub fn filter(&self, filter: &Filter) -> Timeline {
        let events = self.events.iter().filter(|event| filter.matches(event));
        let events: Vec<Event> = events.cloned().collect();
        let kept: HashSet<EventKey> = events.iter().map(event_key).collect();
        let gaps = self.gaps.iter().filter(|(key, _)| kept.contains(key));
        let gaps = gaps.map(|(key, missing)| (key.clone(), *missing)).collect();
        Timeline { events, gaps }
    }

    /// Returns the zone and name of each process, in this order.
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

fn event_key(event: &Event) -> EventKey {
    let Origin {
        process,
        incarnation,
        ..
    } = &event.origin;
    (process.clone(), *incarnation, event.sequence)
}

fn sort_key(event: &Event) -> impl Ord + '_ {
    let origin = &event.origin;
    let process = (&origin.process, origin.incarnation);
    (event.stamp, event.at, process, event.sequence)
}

fn find_gaps(events: &[Event]) -> BTreeMap<EventKey, u64> {
    let mut last: BTreeMap<(&Name, Incarnation), u64> = BTreeMap::new();
    let mut gaps = BTreeMap::new();
    for event in events {
        let process = (&event.origin.process, event.origin.incarnation);
        let before = last.insert(process, event.sequence).unwrap_or(0);
        let missing = event.sequence.saturating_sub(before + 1);
        if missing > 0 {
            gaps.insert(event_key(event), missing);
        }
    }
    gaps
}

fn name_matches(wanted: &Option<Name>, actual: &Option<Name>) -> bool {
    wanted.is_none() || wanted == actual
}
