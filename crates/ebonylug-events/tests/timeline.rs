//! Tests for the ordering, filtering and paging of events.

mod common;

use std::collections::HashMap;
use std::time::Duration;

use common::{at, ring, scenario};
use ebonylug_core::{AttemptId, RequestId};
use ebonylug_events::{Event, EventKind, EventRef, EventRing, Filter, Subject, Timeline};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const PROCESSES: usize = 4;

/// Records events of processes whose wall clocks differ and that send each other messages.
/// A step is (process, receiver, whether the process first receives a pending message).
fn history(steps: &[(usize, usize, bool)], skews: [u64; PROCESSES]) -> Vec<Vec<Event>> {
    let mut rings: Vec<EventRing> = (0..PROCESSES)
        .map(|n| ring(&format!("p{n}"), "pnw-west-a", usize::MAX))
        .collect();
    let mut inbox: Vec<Vec<EventRef>> = vec![Vec::new(); PROCESSES];
    for (time, &(process, receiver, receives)) in steps.iter().enumerate() {
        let cause = if receives { inbox[process].pop() } else { None };
        let now = at(time as u64) + Duration::from_millis(skews[process]);
        let subject = Subject::new();
        let reference = rings[process].push(now, EventKind::Dispatched, subject, cause);
        if receiver != process {
            inbox[receiver].push(reference);
        }
    }
    rings
        .iter()
        .map(|ring| ring.since(0, usize::MAX).events)
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(20),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against effects that are ordered before their causes, an order that depends on the
    /// order of the lists, and events that merging loses or duplicates.
    #[test]
    fn causes_come_before_effects(
        steps in prop::collection::vec((0..PROCESSES, 0..PROCESSES, any::<bool>()), 0..80),
        skews in [0..10_000_u64, 0..10_000, 0..10_000, 0..10_000],
        rotation in 0..PROCESSES,
    ) {
        let lists = history(&steps, skews);
        let timeline = Timeline::merge(lists.clone());
        let events = timeline.events();
        prop_assert_eq!(events.len(), steps.len());
        let positions: HashMap<EventRef, usize> =
            events.iter().enumerate().map(|(index, event)| (event.reference(), index)).collect();
        prop_assert_eq!(positions.len(), steps.len());
        for (index, event) in events.iter().enumerate() {
            if let Some(cause) = &event.cause {
                prop_assert!(positions[cause] < index, "{event:?} before its cause");
            }
            let earlier = events[..index].iter().filter(|e| e.origin == event.origin);
            prop_assert_eq!(earlier.count() as u64 + 1, event.sequence);
        }
        let mut twice = [lists.clone(), lists].concat();
        twice.rotate_left(rotation);
        prop_assert_eq!(Timeline::merge(twice), timeline);
    }
}

/// Guards against pages that omit events without counting them as lost, or repeat events.
#[test]
fn ring_pages() {
    let mut ring = ring("entry-1", "liberia-a", 4);
    assert_eq!(ring.since(0, 9).next, 0);
    for n in 0..7 {
        ring.push(at(n), EventKind::RequestQueued, Subject::new(), None);
    }
    // (since, limit) -> (lost, sequences, next); the ring holds 4 to 7.
    let cases: [(u64, usize, u64, &[u64], u64); 7] = [
        (0, 9, 3, &[4, 5, 6, 7], 7),
        (1, 2, 2, &[4, 5], 5),
        (3, 9, 0, &[4, 5, 6, 7], 7),
        (5, 1, 0, &[6], 6),
        (7, 9, 0, &[], 7),
        (0, 0, 3, &[], 3),
        (99, 9, 0, &[], 7),
    ];
    for (since, limit, lost, sequences, next) in cases {
        let page = ring.since(since, limit);
        let read: Vec<u64> = page.events.iter().map(|event| event.sequence).collect();
        assert_eq!(
            (page.lost, &*read, page.next),
            (lost, sequences, next),
            "since {since}"
        );
    }
}

/// Guards against filters that omit events of a request's attempts, or match unrelated events.
#[test]
fn filters() {
    let timeline = Timeline::merge(scenario());
    let none = Filter::default();
    let cases = [
        (none.clone(), 10),
        (
            Filter {
                request: Some(RequestId(0xabc)),
                ..none.clone()
            },
            7,
        ),
        (
            Filter {
                request: Some(RequestId(1)),
                ..none.clone()
            },
            0,
        ),
        (
            Filter {
                version_move: Some("quote-v2".into()),
                ..none.clone()
            },
            2,
        ),
        (
            Filter {
                target: Some("engine-2".into()),
                ..none.clone()
            },
            5,
        ),
        (
            Filter {
                zone: Some("liberia-a".into()),
                ..none.clone()
            },
            5,
        ),
        (
            Filter {
                zone: Some("canas-b".into()),
                target: Some("engine-2".into()),
                ..none
            },
            3,
        ),
    ];
    for (filter, count) in cases {
        let found = timeline.filter(&filter);
        assert_eq!(
            found.events().len(),
            count,
            "{filter:?}\n{}",
            found.to_text()
        );
    }
    let attempt = AttemptId {
        request: RequestId(2),
        number: 0,
    };
    let subject = Subject {
        attempt: Some(attempt),
        ..Subject::new()
    };
    let mut ring = ring("entry-1", "liberia-a", 4);
    ring.push(at(0), EventKind::Dispatched, subject, None);
    let by_request = Filter {
        request: Some(RequestId(2)),
        ..Filter::default()
    };
    assert!(by_request.matches(&ring.since(0, 1).events[0]));
}

/// Guards against lost events that are not reported, and against events that a filter excludes and
/// that are reported as lost.
#[test]
fn gaps() {
    let timeline = Timeline::merge(scenario());
    let missing = |timeline: &Timeline| {
        let events = timeline.events().iter();
        events
            .map(|event| timeline.missing_before(event))
            .sum::<u64>()
    };
    assert_eq!(missing(&timeline), 2);
    let by_target = Filter {
        target: Some("engine-1".into()),
        ..Filter::default()
    };
    assert_eq!(missing(&timeline.filter(&by_target)), 0);
}
