//! A small deployment whose events the tests merge and render.

use std::time::{Duration, SystemTime};

use ebonylug_core::{AttemptId, Incarnation, Reason, RequestId};
use ebonylug_events::{Event, EventKind, EventRing, Origin, Subject};

/// Wall clocks of processes may be wrong by this much in the scenario.
const SKEW: Duration = Duration::from_millis(40);

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

/// A request is refused by one sidecar, runs beside another, and its target crashes; at the same
/// time a move is cut. The second sidecar's clock is behind, and its ring is too small. The
/// second entry's name must be escaped.
pub fn scenario() -> Vec<Vec<Event>> {
    let mut entry = ring("entry-1", "liberia-a", 100);
    let mut other = ring("<entry & \"2\">", "canas-b", 100);
    let mut full = ring("sidecar-1", "liberia-a", 100);
    let mut late = ring("sidecar-2", "canas-b", 3);
    let request = RequestId(0xabc);
    let try_at = |number, target: &str| {
        let attempt = AttemptId { request, number };
        Subject::new().attempt(attempt).target(target.into())
    };
    late.push(at(0) - SKEW, EventKind::Started, Subject::new(), None);
    let canas = Subject::new().target("engine-2".into());
    late.push(at(1) - SKEW, EventKind::TargetCold, canas.clone(), None);

    let queued = Subject::new().request(request);
    entry.push(at(10), EventKind::RequestQueued, queued, None);
    let sent = entry.push(at(11), EventKind::Dispatched, try_at(0, "engine-1"), None);
    let reason = EventKind::Refused {
        reason: Reason::Full,
    };
    let no = full.push(at(12), reason, try_at(0, "engine-1"), Some(sent));
    let sent = entry.push(
        at(13),
        EventKind::Dispatched,
        try_at(1, "engine-2"),
        Some(no),
    );
    let subject = try_at(1, "engine-2");
    late.push(
        at(14) - SKEW,
        EventKind::Admitted,
        subject.clone(),
        Some(sent),
    );
    late.push(at(90) - SKEW, EventKind::FirstToken, subject.clone(), None);
    let crash = late.push(at(95) - SKEW, EventKind::Crash, canas, None);
    entry.push(at(96), EventKind::Unknown, subject, Some(crash.clone()));

    let version = Subject::new().version_move("quote-v2".into());
    let share = EventKind::MoveShare { permille: 125 };
    other.push(at(5), share, version.clone(), None);
    other.push(at(97), EventKind::MoveLocalRollback, version, Some(crash));
    [late, entry, other, full]
        .map(|ring| ring.since(0, 100).events)
        .into()
}
