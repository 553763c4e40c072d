//! Draining and restoring zones while other operators change them.

mod common;

use common::{FakeEntry, Response, problem};
use ebonylugctl::Outcome;
use serde_json::json;

fn zone(revision: u64, state: &str) -> Response {
    let condition = json!({
        "type": "Serving", "reason": "Open", "message": "", "time": "2026-03-01T06:00:00Z",
    });
    let zone = json!({
        "kind": "AvailabilityZone",
        "metadata": { "name": "canas-b", "revision": revision, "labels": { "feed": "north" } },
        "spec": { "state": state },
        "status": { "conditions": [condition] },
    });
    (200, zone)
}

fn conflict() -> Response {
    problem(
        409,
        "AvailabilityZone/canas-b",
        "metadata.revision",
        "changed",
    )
}

/// Guards against a change that overwrites the change of another operator, and against a command that
/// fails because of a conflict about other fields.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_retries_after_a_conflict() {
    let fake = FakeEntry::start(|number, _| match number {
        0 => zone(3, "open"),
        1 => conflict(),
        2 => zone(4, "open"),
        _ => zone(5, "drained"),
    });
    let result = fake.run(&["drain", "canas-b"]).await;
    assert_eq!(result.outcome, Outcome::Done, "{result:?}");
    assert_eq!(result.output, "canas-b is drained with revision 5\n");
    let calls = fake.calls();
    let matches: Vec<_> = calls.iter().map(|call| call.header("if-match")).collect();
    assert_eq!(matches, [None, Some("\"3\""), None, Some("\"4\"")]);
    let sent = calls[3].json();
    assert_eq!(sent["spec"]["state"], "drained");
    assert_eq!(sent["metadata"]["labels"]["feed"], "north");
    assert!(sent.get("status").is_none());
}

/// Guards against a second change when another operator has already made the same change.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_change_if_the_zone_has_the_desired_state() {
    let fake = FakeEntry::start(|number, _| match number {
        0 => zone(3, "drained"),
        1 => conflict(),
        _ => zone(4, "open"),
    });
    let result = fake.run(&["restore", "canas-b"]).await;
    assert_eq!(result.outcome, Outcome::Done, "{result:?}");
    assert_eq!(
        result.output,
        "canas-b is in service since revision 4 or before\n"
    );
    assert_eq!(fake.calls().len(), 3);
}

/// Guards against unlimited retries after conflicts.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn conflict_retries_are_bounded() {
    let fake = FakeEntry::start(|_, call| match call.line.starts_with("GET") {
        true => zone(3, "open"),
        false => conflict(),
    });
    let result = fake.run(&["drain", "canas-b"]).await;
    assert_eq!(result.outcome, Outcome::Conflict, "{result:?}");
    assert_eq!(
        result.errors,
        "AvailabilityZone/canas-b: metadata.revision: changed\n"
    );
    assert_eq!(fake.calls().len(), 10);
}
