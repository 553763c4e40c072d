//! Commands that show changes, events and the quarantine.

mod common;

use std::time::{Duration, SystemTime};

use common::{FakeEntry, Response, plain_problem};
use ebonylug_core::{AttemptId, Incarnation, RequestId};
use ebonylug_events::{Event, EventKind, EventRing, Origin, Subject};
use ebonylugctl::Outcome;
use serde_json::{Value, json};

fn tier(name: &str, revision: u64) -> Value {
    json!({
        "kind": "Tier",
        "metadata": { "name": name, "revision": revision },
        "spec": { "class": "interactive", "rank": 1, "deadline": "30s" },
    })
}

fn changes(call: &str) -> Response {
    match call {
        "GET /api/v1/resources/tiers" => (200, json!({ "revision": 5, "items": [] })),
        "GET /api/v1/watch?since=0" => {
            let all = [tier("answer", 2), tier("order", 4)];
            (
                200,
                json!({ "revision": 5, "full": true, "changed": all, "deleted": [] }),
            )
        }
        "GET /api/v1/watch?since=5" => {
            let deleted = json!([{ "kind": "Tier", "name": "answer" }]);
            let changed = [tier("order", 6)];
            (
                200,
                json!({ "revision": 7, "full": false, "changed": changed, "deleted": deleted }),
            )
        }
        // The response of a restarted entry that lags behind.
        "GET /api/v1/watch?since=7" => (
            200,
            json!({ "revision": 6, "full": false, "changed": [], "deleted": [] }),
        ),
        _ => plain_problem(404, "Not found", call),
    }
}

/// Guards against changes that are omitted or shown twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn watch() {
    let fake = FakeEntry::start(|_, call| changes(&call.line));
    let result = fake.run(&["watch", "--limit", "2"]).await;
    assert_eq!(result.outcome, Outcome::Done, "{result:?}");
    let order = "6 Tier/order class=interactive rank=1 deadline=30s\n";
    assert_eq!(result.output, format!("{order}7 Tier/answer deleted\n"));

    let result = fake.run(&["watch", "--since", "0", "--limit", "3"]).await;
    let full = "5 the whole configuration follows\n\
                2 Tier/answer class=interactive rank=1 deadline=30s\n\
                4 Tier/order class=interactive rank=1 deadline=30s\n";
    assert_eq!(result.output, format!("{full}{order}"));

    let result = fake.run(&["watch", "--limit", "2", "-o", "json"]).await;
    let lines = result
        .output
        .lines()
        .map(|line| serde_json::from_str::<Value>(line).unwrap());
    let lines: Vec<Value> = lines.collect();
    assert_eq!(lines[0]["changed"]["metadata"]["name"], "order");
    assert_eq!(
        lines[1]["deleted"],
        json!({ "kind": "Tier", "name": "answer" })
    );
}

/// Guards against a watch that returns to an older revision, which would show changes twice, and
/// against a watch that ends when an entry restarts.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn watch_continues_after_restart() {
    let none = |revision| {
        (
            200,
            json!({ "revision": revision, "full": false, "changed": [], "deleted": [] }),
        )
    };
    let fake = FakeEntry::start(move |number, _| match number {
        0 => none(7),
        1 => plain_problem(503, "Down", "no configuration is in force"),
        2 => none(6),
        _ => (
            200,
            json!({ "revision": 8, "full": false, "changed": [tier("order", 8)], "deleted": [] }),
        ),
    });
    let result = fake.run(&["watch", "--since", "5", "--limit", "1"]).await;
    assert_eq!(result.outcome, Outcome::Done, "{result:?}");
    assert_eq!(result.errors, "Down: no configuration is in force\n");
    let since = |number| format!("GET /api/v1/watch?since={number}");
    assert_eq!(fake.lines(), [5, 7, 7, 7].map(since));
}

fn lists() -> (Vec<Event>, Vec<Event>) {
    let ring = |process: &str, zone: &str| {
        let origin = Origin {
            process: process.into(),
            zone: zone.into(),
            incarnation: Incarnation(1),
        };
        EventRing::new(origin, 100)
    };
    let (mut entry, mut sidecar) = (ring("entry-1", "liberia-a"), ring("i-sisal-2", "canas-b"));
    let time = SystemTime::UNIX_EPOCH + Duration::from_secs(60);
    for request in [RequestId(5), RequestId(6)] {
        let attempt = AttemptId { request, number: 0 };
        let subject = Subject::new().attempt(attempt).target("sisal-2".into());
        let sent = entry.push(time, EventKind::Dispatched, subject.clone(), None);
        // The clock of the sidecar is slow, so only the logical timestamps give the order.
        let admitted = sidecar.push(
            SystemTime::UNIX_EPOCH,
            EventKind::Admitted,
            subject,
            Some(sent),
        );
        let answered = Subject::new().request(request);
        entry.push(time, EventKind::Answered, answered, Some(admitted));
    }
    let move_subject = Subject::new()
        .version_move("m".into())
        .zone("nicoya-c".into());
    entry.push(time, EventKind::MoveDone, move_subject, None);
    (entry.since(0, 100).events, sidecar.since(0, 100).events)
}

fn events() -> FakeEntry {
    FakeEntry::start(|_, call| {
        assert_eq!(call.line, "GET /api/v1/events");
        let (entry, sidecar) = lists();
        (
            200,
            json!({ "lists": [sidecar, entry], "unreachable": ["i-sisal-3", "i-sisal-4"] }),
        )
    })
}

/// Guards against an order that is not causal, filters that do not apply, and unreachable processes
/// that are not reported.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn events_as_text() {
    let fake = events();
    let cases: [&[&str]; 6] = [
        &[],
        &["--request", "00000000000000000000000000000005"],
        &["--move", "m"],
        &["--zone", "canas-b"],
        &["--target", "sisal-2", "--request", "6"],
        &["--target", "none"],
    ];
    let mut text = String::new();
    for case in cases {
        let result = fake.run(&[&["events"], case].concat()).await;
        assert_eq!(result.outcome, Outcome::Done, "{result:?}");
        assert_eq!(
            result.errors,
            "ebonylugctl: no events of i-sisal-3, i-sisal-4: no answer\n"
        );
        text += &format!("== {}\n{}", case.join(" "), result.output);
    }
    insta::assert_snapshot!(text);
}

/// Guards against JSON lines that do not parse, and an HTML page that is not written.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn events_as_json_and_html() {
    let fake = events();
    let result = fake.run(&["events", "-o", "json", "--request", "5"]).await;
    let parsed = result
        .output
        .lines()
        .map(|line| serde_json::from_str::<Event>(line).unwrap());
    let kinds: Vec<EventKind> = parsed.map(|event| event.kind).collect();
    assert_eq!(
        kinds,
        [
            EventKind::Dispatched,
            EventKind::Admitted,
            EventKind::Answered
        ]
    );

    let file = std::env::temp_dir().join(format!("ebonylugctl-{}.html", std::process::id()));
    let path = file.to_str().unwrap();
    let result = fake
        .run(&["events", "--html", path, "--request", "5"])
        .await;
    assert_eq!(
        (result.outcome, result.output.as_str()),
        (Outcome::Done, "")
    );
    let page = std::fs::read_to_string(&file).unwrap();
    std::fs::remove_file(&file).unwrap();
    let title = "Events, request 00000000000000000000000000000005";
    assert!(
        page.contains(title) && page.contains("3 events of 2 processes"),
        "{page}"
    );

    let result = fake
        .run(&["events", "--html", "/nowhere/events.html"])
        .await;
    assert_eq!(result.outcome, Outcome::Refused);
    assert!(result.errors.contains("/nowhere/events.html"), "{result:?}");
}

/// Guards against reporting success for the release of a fingerprint that is not in quarantine.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn quarantine() {
    let fake = FakeEntry::start(|_, call| {
        let left: &[&str] = match call.line.starts_with("DELETE") {
            true => &["00000000000000ab"],
            false => &["00000000000000ab", "00000000000000cd"],
        };
        (200, json!({ "quarantined": left }))
    });
    let result = fake.run(&["quarantine", "list"]).await;
    assert_eq!(result.output, "00000000000000ab\n00000000000000cd\n");
    let result = fake.run(&["quarantine", "list", "-o", "json"]).await;
    let listed: Value = serde_json::from_str(&result.output).unwrap();
    assert_eq!(listed["quarantined"].as_array().unwrap().len(), 2);

    let result = fake.run(&["quarantine", "release", "cd"]).await;
    assert_eq!(
        (result.outcome, &*result.output),
        (Outcome::Done, "00000000000000cd is released\n")
    );
    assert_eq!(
        fake.lines().pop().unwrap(),
        "DELETE /api/v1/quarantine/00000000000000cd"
    );

    let result = fake.run(&["quarantine", "release", "ef"]).await;
    assert_eq!(result.outcome, Outcome::Refused);
    assert!(
        result
            .errors
            .contains("00000000000000ef is not in quarantine"),
        "{result:?}"
    );
    assert!(fake.lines().pop().unwrap().starts_with("GET"));
}
