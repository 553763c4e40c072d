//! Moves of versions and waiting for their end.

mod common;

use common::{Call, Fake, Ran, Reply, plain_problem, problem};
use ebonylugctl::Outcome;
use serde_json::{Value, json};

const MOVE: [&str; 7] = ["move", "assistant", "sisal-2", "--by", "1h", "--name", "m"];

fn route() -> Reply {
    let route = json!({
        "kind": "Route",
        "metadata": { "name": "assistant", "revision": 1 },
        "spec": {
            "kind": { "chat": { "model": "sisal" } },
            "base": "sisal-1",
            "versions": ["sisal-1", "sisal-2"],
            "tier": "quotation",
        },
    });
    (200, route)
}

fn planned(state: &str, conditions: &[(&str, &str, &str, u8)]) -> Reply {
    let condition = |(kind, reason, message, second): &(&str, &str, &str, u8)| {
        let time = format!("2026-03-01T06:00:{second:02}Z");
        json!({ "type": kind, "reason": reason, "message": message, "time": time })
    };
    let conditions: Vec<Value> = conditions.iter().map(condition).collect();
    let planned = json!({
        "kind": "Move",
        "metadata": { "name": "m", "revision": 7 },
        "spec": {
            "route": "assistant", "from": "sisal-1", "to": "sisal-2",
            "start": "2026-03-01T06:00:00Z", "deadline": "2026-03-01T07:00:00Z",
            "canary": 0.01, "state": state,
        },
        "status": { "conditions": conditions },
    });
    (200, planned)
}

/// Starts a move and waits for it. `reply` gets the number of the look at the move, from 0.
async fn wait(
    extra: &[&str],
    reply: impl Fn(usize) -> Reply + Send + Sync + 'static,
) -> (Ran, Vec<Call>) {
    let fake = Fake::start(move |number, call| match call.line.as_str() {
        "GET /api/v1/resources/routes/assistant" => route(),
        "PUT /api/v1/resources/moves/m" => planned("active", &[]),
        _ => reply(number - 2),
    });
    let ran = fake.run(&[&MOVE[..], &["--wait"], extra].concat()).await;
    (ran, fake.calls())
}

/// Guards against a move that overwrites another one of the same name, or starts from a version
/// that does not serve the route.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn declared() {
    let fake = Fake::start(|_, call| match call.line.as_str() {
        "GET /api/v1/resources/routes/assistant" => route(),
        _ => planned("active", &[]),
    });
    let extra = [
        "--start",
        "2100-01-01T00:00:00Z",
        "--canary",
        "0.02",
        "--load",
        "a",
        "--load",
        "b",
    ];
    let by = [
        "move",
        "assistant",
        "sisal-2",
        "--by",
        "2100-01-02T00:00:00Z",
        "--name",
        "m",
    ];
    let ran = fake.run(&[&by[..], &extra].concat()).await;
    assert_eq!(ran.outcome, Outcome::Done, "{ran:?}");
    assert!(
        ran.output
            .starts_with("m: assistant from sisal-1 to sisal-2 between"),
        "{ran:?}"
    );
    let calls = fake.calls();
    assert_eq!(calls.len(), 2);
    assert_eq!(calls[1].line, "PUT /api/v1/resources/moves/m");
    assert_eq!(calls[1].header("if-none-match"), Some("*"));
    let expected = json!({
        "kind": "Move",
        "metadata": { "name": "m", "revision": 0 },
        "spec": {
            "route": "assistant", "from": "sisal-1", "to": "sisal-2",
            "start": "2100-01-01T00:00:00Z", "deadline": "2100-01-02T00:00:00Z",
            "canary": 0.02, "loads": ["a", "b"], "state": "active",
        },
    });
    assert_eq!(calls[1].json(), expected);

    // Without a name, route and version are part of it.
    let ran = fake
        .run(&["move", "assistant", "sisal-2", "--by", "1h"])
        .await;
    assert_eq!(ran.outcome, Outcome::Done);
    let line = fake.lines().pop().unwrap();
    let digits = line
        .strip_prefix("PUT /api/v1/resources/moves/assistant-sisal-2-")
        .unwrap();
    assert!(
        digits.len() == 14 && digits.bytes().all(|c| c.is_ascii_digit()),
        "{line}"
    );
}

/// Guards against moves that cannot be carried out and are declared nevertheless.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refused_before_it_is_declared() {
    let cases: [(&[&str], &str); 3] = [
        (
            &["sisal-2", "--by", "2020-01-01T00:00:00Z"],
            "--by: 2020-01-01T00:00:00Z has passed",
        ),
        (
            &["sisal-2", "--by", "1h", "--start", "2h"],
            "is not before the deadline",
        ),
        (
            &["sisal-1", "--by", "1h"],
            "route assistant is already served by sisal-1",
        ),
    ];
    for (arguments, reason) in cases {
        let fake = Fake::start(|_, _| route());
        let ran = fake
            .run(&[&["move", "assistant"], arguments].concat())
            .await;
        assert_eq!(ran.outcome, Outcome::Refused, "{ran:?}");
        assert!(ran.errors.contains(reason), "{ran:?}");
        assert_eq!(fake.calls().len(), 1);
    }
}

/// Guards against a wait that misses the end of a move, or tells another end or reason.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ends() {
    let phase = |reason, message| planned("active", &[("Progress", reason, message, 1)]);
    let cases = [
        (
            phase("Done", "no bad evidence"),
            Outcome::Done,
            "m: finished: no bad evidence\n",
        ),
        (
            phase("RolledBack", "12 % fail, 1 % before"),
            Outcome::RolledBack,
            "m: rolled back: 12 % fail, 1 % before\n",
        ),
        (
            phase("Refused", "another move is in force"),
            Outcome::MoveRefused,
            "m: refused: another move is in force\n",
        ),
        // The latest phase counts, and conditions about other things do not.
        (
            planned(
                "active",
                &[
                    ("Phase", "RolledBack", "slow", 3),
                    ("Phase", "Done", "", 2),
                    ("Evidence", "Suspect", "", 4),
                ],
            ),
            Outcome::RolledBack,
            "m: rolled back: slow\n",
        ),
        // The desired state tells the end when the conditions do not.
        (
            planned("finished", &[("Phase", "Watching", "", 1)]),
            Outcome::Done,
            "m: finished: the route's base is the new version\n",
        ),
        (
            planned("cancelled", &[]),
            Outcome::RolledBack,
            "m: rolled back: the move was cancelled; the old version keeps the traffic\n",
        ),
        // The conditions tell more than the desired state.
        (
            planned("cancelled", &[("Phase", "Refused", "no capacity", 1)]),
            Outcome::MoveRefused,
            "m: refused: no capacity\n",
        ),
    ];
    for (reply, outcome, shown) in cases {
        let (ran, _) = wait(&[], move |_| reply.clone()).await;
        assert_eq!(ran.outcome, outcome, "{ran:?}");
        let (first, rest) = ran.output.split_once('\n').unwrap();
        assert!(first.starts_with("m: assistant from"), "{first}");
        assert_eq!(rest, shown);
    }
}

/// Guards against a wait that ends early, repeats itself, or gives up when an entry or the store
/// does not answer for a while.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn phases_and_outages() {
    let (ran, calls) = wait(&[], |look| match look {
        0 => planned("active", &[]),
        1 | 2 => planned("active", &[("Phase", "Ramping", "share 5%", 1)]),
        3 | 4 => plain_problem(503, "Down", "no store"),
        _ => planned("active", &[("Phase", "Done", "", 9)]),
    })
    .await;
    assert_eq!(ran.outcome, Outcome::Done, "{ran:?}");
    let shown: Vec<&str> = ran.output.lines().skip(1).collect();
    assert_eq!(shown, ["m: ramping: share 5%", "m: finished"]);
    assert_eq!(ran.errors, "Down: no store\n");
    assert_eq!(calls.len(), 8);
}

/// Guards against a wait without a bound, and against a wait for a move that is gone.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn waits_that_fail() {
    let ramping = |_| planned("active", &[("Phase", "Ramping", "", 1)]);
    let (ran, _) = wait(&["--timeout", "700ms"], ramping).await;
    assert_eq!(ran.outcome, Outcome::TimedOut, "{ran:?}");
    assert!(ran.errors.contains("m has not ended in time"), "{ran:?}");

    let (ran, _) = wait(&[], |_| plain_problem(404, "Not found", "Move/m")).await;
    assert_eq!(ran.outcome, Outcome::Conflict, "{ran:?}");
    assert!(ran.errors.contains("Move/m was deleted"), "{ran:?}");

    let (ran, _) = wait(&[], |_| plain_problem(403, "Denied", "")).await;
    assert_eq!(ran.outcome, Outcome::Denied, "{ran:?}");
}

/// Guards against a refusal by validation that is taken for a move that has begun.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refused_by_validation() {
    let fake = Fake::start(|_, call| match call.line.as_str() {
        "GET /api/v1/resources/routes/assistant" => route(),
        _ => problem(
            422,
            "Move/m",
            "spec.route",
            "move \"other\" is active on the same route",
        ),
    });
    let ran = fake.run(&[&MOVE[..], &["--wait"]].concat()).await;
    assert_eq!(ran.outcome, Outcome::Refused, "{ran:?}");
    assert_eq!(
        ran.errors,
        "Move/m: spec.route: move \"other\" is active on the same route\n"
    );
}
