//! Draining and restoring zones among other operators.

mod common;

use common::{Fake, Reply, problem};
use ebonylugctl::Outcome;
use serde_json::json;

fn zone(revision: u64, state: &str) -> Reply {
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

fn lost() -> Reply {
    problem(
        409,
        "AvailabilityZone/canas-b",
        "metadata.revision",
        "changed",
    )
}

/// Guards against a change that overwrites another operator's, and against one that gives up
/// although the race concerned something else.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_is_tried_again_after_a_race() {
    let fake = Fake::start(|number, _| match number {
        0 => zone(3, "open"),
        1 => lost(),
        2 => zone(4, "open"),
        _ => zone(5, "drained"),
    });
    let ran = fake.run(&["drain", "canas-b"]).await;
    assert_eq!(ran.outcome, Outcome::Done, "{ran:?}");
    assert_eq!(ran.output, "canas-b is drained with revision 5\n");
    let calls = fake.calls();
    let matches: Vec<_> = calls.iter().map(|call| call.header("if-match")).collect();
    assert_eq!(matches, [None, Some("\"3\""), None, Some("\"4\"")]);
    let sent = calls[3].json();
    assert_eq!(sent["spec"]["state"], "drained");
    assert_eq!(sent["metadata"]["labels"]["feed"], "north");
    assert!(sent.get("status").is_none());
}

/// Guards against a second change when another operator wanted the same.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nothing_is_changed_when_the_zone_is_as_wanted() {
    let fake = Fake::start(|number, _| match number {
        0 => zone(3, "drained"),
        1 => lost(),
        _ => zone(4, "open"),
    });
    let ran = fake.run(&["restore", "canas-b"]).await;
    assert_eq!(ran.outcome, Outcome::Done, "{ran:?}");
    assert_eq!(
        ran.output,
        "canas-b is in service since revision 4 or before\n"
    );
    assert_eq!(fake.calls().len(), 3);
}

/// Guards against a command that races for ever.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn races_are_bounded() {
    let fake = Fake::start(|_, call| match call.line.starts_with("GET") {
        true => zone(3, "open"),
        false => lost(),
    });
    let ran = fake.run(&["drain", "canas-b"]).await;
    assert_eq!(ran.outcome, Outcome::Conflict, "{ran:?}");
    assert_eq!(
        ran.errors,
        "AvailabilityZone/canas-b: metadata.revision: changed\n"
    );
    assert_eq!(fake.calls().len(), 10);
}
