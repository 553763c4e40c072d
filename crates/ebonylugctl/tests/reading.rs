//! Commands that show something: changes, events, quarantine.

mod common;

use std::time::{Duration, SystemTime};

use common::{Fake, Reply, plain_problem};
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

fn changes(call: &str) -> Reply {
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
        // A restarted entry that is behind.
        "GET /api/v1/watch?since=7" => (
            200,
            json!({ "revision": 6, "full": false, "changed": [], "deleted": [] }),
        ),
        _ => plain_problem(404, "Not found", call),
    }
}

/// Guards against changes that are left out or shown twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn watch() {
    let fake = Fake::start(|_, call| changes(&call.line));
    let ran = fake.run(&["watch", "--limit", "2"]).await;
    assert_eq!(ran.outcome, Outcome::Done, "{ran:?}");
    let order = "6 Tier/order class=interactive rank=1 deadline=30s\n";
    assert_eq!(ran.output, format!("{order}7 Tier/answer deleted\n"));

    let ran = fake.run(&["watch", "--since", "0", "--limit", "3"]).await;
    let full = "5 the whole configuration follows\n\
                2 Tier/answer class=interactive rank=1 deadline=30s\n\
                4 Tier/order class=interactive rank=1 deadline=30s\n";
    assert_eq!(ran.output, format!("{full}{order}"));

    let ran = fake.run(&["watch", "--limit", "2", "-o", "json"]).await;
    let lines = ran
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

/// Guards against a watch that goes back to an older revision, which would show changes twice, and
/// against one that ends when an entry restarts.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn watch_outlives_a_restart() {
    let none = |revision| {
        (
            200,
            json!({ "revision": revision, "full": false, "changed": [], "deleted": [] }),
        )
    };
    let fake = Fake::start(move |number, _| match number {
        0 => none(7),
        1 => plain_problem(503, "Down", "no configuration is in force"),
        2 => none(6),
        _ => (
            200,
            json!({ "revision": 8, "full": false, "changed": [tier("order", 8)], "deleted": [] }),
        ),
    });
    let ran = fake.run(&["watch", "--since", "5", "--limit", "1"]).await;
    assert_eq!(ran.outcome, Outcome::Done, "{ran:?}");
    assert_eq!(ran.errors, "Down: no configuration is in force\n");
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
    let at = SystemTime::UNIX_EPOCH + Duration::from_secs(60);
    for request in [RequestId(5), RequestId(6)] {
        let attempt = AttemptId { request, number: 0 };
        let subject = Subject::new().attempt(attempt).target("sisal-2".into());
        let sent = entry.push(at, EventKind::Dispatched, subject.clone(), None);
        // The clock of the sidecar is behind, so only the logical time shows the order.
        let admitted = sidecar.push(
            SystemTime::UNIX_EPOCH,
            EventKind::Admitted,
            subject,
            Some(sent),
        );
        let asked = Subject::new().request(request);
        entry.push(at, EventKind::Answered, asked, Some(admitted));
    }
    let moved = Subject::new()
        .version_move("m".into())
        .zone("nicoya-c".into());
    entry.push(at, EventKind::MoveDone, moved, None);
    (entry.since(0, 100).events, sidecar.since(0, 100).events)
}

fn events() -> Fake {
    Fake::start(|_, call| {
        assert_eq!(call.line, "GET /api/v1/events");
        let (entry, sidecar) = lists();
        (
            200,
            json!({ "lists": [sidecar, entry], "unreachable": ["i-sisal-3", "i-sisal-4"] }),
        )
    })
}

/// Guards against an order that is not causal, filters that do not work, and processes that are
/// missing without a note.
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
        let ran = fake.run(&[&["events"], case].concat()).await;
        assert_eq!(ran.outcome, Outcome::Done, "{ran:?}");
        assert_eq!(
            ran.errors,
            "ebonylugctl: no events of i-sisal-3, i-sisal-4: no answer\n"
        );
        text += &format!("== {}\n{}", case.join(" "), ran.output);
    }
    insta::assert_snapshot!(text);
}

/// Guards against lines that programs cannot read, and a page that is not written.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn events_for_programs_and_browsers() {
    let fake = events();
    let ran = fake.run(&["events", "-o", "json", "--request", "5"]).await;
    let parsed = ran
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
    let ran = fake
        .run(&["events", "--html", path, "--request", "5"])
        .await;
    assert_eq!((ran.outcome, ran.output.as_str()), (Outcome::Done, ""));
    let page = std::fs::read_to_string(&file).unwrap();
    std::fs::remove_file(&file).unwrap();
    let title = "Events, request 00000000000000000000000000000005";
    assert!(
        page.contains(title) && page.contains("3 events of 2 processes"),
        "{page}"
    );

    let ran = fake
        .run(&["events", "--html", "/nowhere/events.html"])
        .await;
    assert_eq!(ran.outcome, Outcome::Refused);
    assert!(ran.errors.contains("/nowhere/events.html"), "{ran:?}");
}

/// Guards against a release of the wrong fingerprint that looks as if it had worked.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn quarantine() {
    let fake = Fake::start(|_, call| {
        let left: &[&str] = match call.line.starts_with("DELETE") {
            true => &["00000000000000ab"],
            false => &["00000000000000ab", "00000000000000cd"],
        };
        (200, json!({ "quarantined": left }))
    });
    let ran = fake.run(&["quarantine", "list"]).await;
    assert_eq!(ran.output, "00000000000000ab\n00000000000000cd\n");
    let ran = fake.run(&["quarantine", "list", "-o", "json"]).await;
    let listed: Value = serde_json::from_str(&ran.output).unwrap();
    assert_eq!(listed["quarantined"].as_array().unwrap().len(), 2);

    let ran = fake.run(&["quarantine", "release", "cd"]).await;
    assert_eq!(
        (ran.outcome, &*ran.output),
        (Outcome::Done, "00000000000000cd is released\n")
    );
    assert_eq!(
        fake.lines().pop().unwrap(),
        "DELETE /api/v1/quarantine/00000000000000cd"
    );

    let ran = fake.run(&["quarantine", "release", "ef"]).await;
    assert_eq!(ran.outcome, Outcome::Refused);
    assert!(
        ran.errors.contains("00000000000000ef is not in quarantine"),
        "{ran:?}"
    );
    assert!(fake.lines().pop().unwrap().starts_with("GET"));
}
