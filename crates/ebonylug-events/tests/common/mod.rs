//! Events of a small deployment for the tests of merging and rendering.

use std::time::{Duration, SystemTime};

use ebonylug_core::{AttemptId, Incarnation, Reason, RequestId};
use ebonylug_events::{Event, EventKind, EventRing, Origin, Subject};

/// How far the wall clock of the second sidecar is behind.
const CLOCK_SKEW: Duration = Duration::from_millis(40);

pub fn ring(process: &str, zone: &str, capacity: usize) -> EventRing {
    let origin = Origin {
        process: process.into(),
        zone: zone.into(),
        incarnation: Incarnation(1),
    };
    EventRing::new(origin, capacity)
}

pub fn at(ms: u64) -> SystemTime {
    // 2026-03-02T09:00:00Z
    SystemTime::UNIX_EPOCH + Duration::from_millis(1_772_442_000_000 + ms)
}

/// Returns the events of two entries and two sidecars. The first sidecar refuses a request, which
/// then runs at the target of the second until that target crashes. At the same time the second
/// entry rolls back a move. The clock of the second sidecar is behind, and its ring is too small
/// for its events. The name of the second entry needs escaping in HTML.
pub fn scenario() -> Vec<Vec<Event>> {
    let mut entry = ring("entry-1", "liberia-a", 100);
    let mut second_entry = ring("<entry & \"2\">", "canas-b", 100);
    let mut first_sidecar = ring("sidecar-1", "liberia-a", 100);
    let mut second_sidecar = ring("sidecar-2", "canas-b", 3);
    let request = RequestId(0xabc);
    let attempt_at = |number, target: &str| {
        let attempt = AttemptId { request, number };
        Subject::new().attempt(attempt).target(target.into())
    };
    second_sidecar.push(at(0) - CLOCK_SKEW, EventKind::Started, Subject::new(), None);
    let engine = Subject::new().target("engine-2".into());
    second_sidecar.push(
        at(1) - CLOCK_SKEW,
        EventKind::TargetCold,
        engine.clone(),
        None,
    );

    let queued = Subject::new().request(request);
    entry.push(at(10), EventKind::RequestQueued, queued, None);
    let sent = entry.push(
        at(11),
        EventKind::Dispatched,
        attempt_at(0, "engine-1"),
        None,
    );
    let reason = EventKind::Refused {
        reason: Reason::Full,
    };
    let refused = first_sidecar.push(at(12), reason, attempt_at(0, "engine-1"), Some(sent));
    let sent = entry.push(
        at(13),
        EventKind::Dispatched,
        attempt_at(1, "engine-2"),
        Some(refused),
    );
    let subject = attempt_at(1, "engine-2");
    second_sidecar.push(
        at(14) - CLOCK_SKEW,
        EventKind::Admitted,
        subject.clone(),
        Some(sent),
    );
    second_sidecar.push(
        at(90) - CLOCK_SKEW,
        EventKind::FirstToken,
        subject.clone(),
        None,
    );
    let crash = second_sidecar.push(at(95) - CLOCK_SKEW, EventKind::Crash, engine, None);
    entry.push(at(96), EventKind::Unknown, subject, Some(crash.clone()));

    let version = Subject::new().version_move("quote-v2".into());
    let share = EventKind::MoveShare { permille: 125 };
    second_entry.push(at(5), share, version.clone(), None);
    second_entry.push(at(97), EventKind::MoveLocalRollback, version, Some(crash));
    [second_sidecar, entry, second_entry, first_sidecar]
        .map(|ring| ring.since(0, 100).events)
        .into()
}
