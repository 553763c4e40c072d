//! Starting moves of versions and waiting for their end.

mod common;

use common::{Call, CommandResult, FakeEntry, Response, plain_problem, problem};
use ebonylugctl::Outcome;
use serde_json::{Value, json};

const MOVE: [&str; 7] = ["move", "assistant", "sisal-2", "--by", "1h", "--name", "m"];

fn route_response() -> Response {
    let body = json!({
        "kind": "Route",
        "metadata": { "name": "assistant", "revision": 1 },
        "spec": {
            "kind": { "chat": { "model": "sisal" } },
            "base": "sisal-1",
            "versions": ["sisal-1", "sisal-2"],
            "tier": "quotation",
        },
    });
    (200, body)
}

fn move_response(state: &str, conditions: &[(&str, &str, &str, u8)]) -> Response {
    let condition = |(kind, reason, message, second): &(&str, &str, &str, u8)| {
        let time = format!("2026-03-01T06:00:{second:02}Z");
        json!({ "type": kind, "reason": reason, "message": message, "time": time })
    };
    let conditions: Vec<Value> = conditions.iter().map(condition).collect();
    let body = json!({
        "kind": "Move",
        "metadata": { "name": "m", "revision": 7 },
        "spec": {
            "route": "assistant", "from": "sisal-1", "to": "sisal-2",
            "start": "2026-03-01T06:00:00Z", "deadline": "2026-03-01T07:00:00Z",
            "canary": 0.01, "state": state,
        },
        "status": { "conditions": conditions },
    });
    (200, body)
}

/// Starts a move and waits for its end. `poll` returns the response to the given poll of the move,
/// counted from 0.
async fn wait(
    extra: &[&str],
    poll: impl Fn(usize) -> Response + Send + Sync + 'static,
) -> (CommandResult, Vec<Call>) {
    let fake = FakeEntry::start(move |number, call| match call.line.as_str() {
        "GET /api/v1/resources/routes/assistant" => route_response(),
        "PUT /api/v1/resources/moves/m" => move_response("active", &[]),
        _ => poll(number - 2),
    });
    let result = fake.run(&[&MOVE[..], &["--wait"], extra].concat()).await;
    (result, fake.calls())
}

/// Guards against a move that overwrites another move of the same name, or starts from a version that
/// does not serve the route.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn creates_a_move() {
    let fake = FakeEntry::start(|_, call| match call.line.as_str() {
        "GET /api/v1/resources/routes/assistant" => route_response(),
        _ => move_response("active", &[]),
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
    let result = fake.run(&[&by[..], &extra].concat()).await;
    assert_eq!(result.outcome, Outcome::Done, "{result:?}");
    assert!(
        result
            .output
            .starts_with("m: assistant from sisal-1 to sisal-2 between"),
        "{result:?}"
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

    // The default name contains the route and the version.
    let result = fake
        .run(&["move", "assistant", "sisal-2", "--by", "1h"])
        .await;
    assert_eq!(result.outcome, Outcome::Done);
    let line = fake.lines().pop().unwrap();
    let digits = line
        .strip_prefix("PUT /api/v1/resources/moves/assistant-sisal-2-")
        .unwrap();
    assert!(
        digits.len() == 14 && digits.bytes().all(|c| c.is_ascii_digit()),
        "{line}"
    );
}

/// Guards against creating moves that cannot be carried out.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_moves_are_not_created() {
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
        let fake = FakeEntry::start(|_, _| route_response());
        let result = fake
            .run(&[&["move", "assistant"], arguments].concat())
            .await;
        assert_eq!(result.outcome, Outcome::Refused, "{result:?}");
        assert!(result.errors.contains(reason), "{result:?}");
        assert_eq!(fake.calls().len(), 1);
    }
}

/// Guards against a wait that misses the end of a move, or reports a wrong outcome or reason.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn final_phases() {
    let phase = |reason, message| move_response("active", &[("Progress", reason, message, 1)]);
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
        // Only the latest phase counts; other conditions are ignored.
        (
            move_response(
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
        // The desired state determines the outcome if no condition shows a final phase.
        (
            move_response("finished", &[("Phase", "Watching", "", 1)]),
            Outcome::Done,
            "m: finished: the route's base is the new version\n",
        ),
        (
            move_response("cancelled", &[]),
            Outcome::RolledBack,
            "m: rolled back: the move was cancelled; the old version keeps the traffic\n",
        ),
        // A final phase in the conditions takes precedence over the desired state.
        (
            move_response("cancelled", &[("Phase", "Refused", "no capacity", 1)]),
            Outcome::MoveRefused,
            "m: refused: no capacity\n",
        ),
    ];
    for (response, outcome, printed) in cases {
        let (result, _) = wait(&[], move |_| response.clone()).await;
        assert_eq!(result.outcome, outcome, "{result:?}");
        let (first, rest) = result.output.split_once('\n').unwrap();
        assert!(first.starts_with("m: assistant from"), "{first}");
        assert_eq!(rest, printed);
    }
}

/// Guards against a wait that ends early, prints a phase or an outage twice, or fails when an entry or
/// the store is temporarily unavailable.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn phases_and_outages() {
    let (result, calls) = wait(&[], |number| match number {
        0 => move_response("active", &[]),
        1 | 2 => move_response("active", &[("Phase", "Ramping", "share 5%", 1)]),
        3 | 4 => plain_problem(503, "Down", "no store"),
        _ => move_response("active", &[("Phase", "Done", "", 9)]),
    })
    .await;
    assert_eq!(result.outcome, Outcome::Done, "{result:?}");
    let printed: Vec<&str> = result.output.lines().skip(1).collect();
    assert_eq!(printed, ["m: ramping: share 5%", "m: finished"]);
    assert_eq!(result.errors, "Down: no store\n");
    assert_eq!(calls.len(), 8);
}

/// Guards against a wait without a timeout, and against waiting for a deleted move.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn failing_waits() {
    let ramping = |_| move_response("active", &[("Phase", "Ramping", "", 1)]);
    let (result, _) = wait(&["--timeout", "700ms"], ramping).await;
    assert_eq!(result.outcome, Outcome::TimedOut, "{result:?}");
    assert!(
        result.errors.contains("m has not ended in time"),
        "{result:?}"
    );

    let (result, _) = wait(&[], |_| plain_problem(404, "Not found", "Move/m")).await;
    assert_eq!(result.outcome, Outcome::Conflict, "{result:?}");
    assert!(result.errors.contains("Move/m was deleted"), "{result:?}");

    let (result, _) = wait(&[], |_| plain_problem(403, "Denied", "")).await;
    assert_eq!(result.outcome, Outcome::Denied, "{result:?}");
}

/// Guards against treating a move that validation rejected as started.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rejected_by_validation() {
    let fake = FakeEntry::start(|_, call| match call.line.as_str() {
        "GET /api/v1/resources/routes/assistant" => route_response(),
        _ => problem(
            422,
            "Move/m",
            "spec.route",
            "move \"other\" is active on the same route",
        ),
    });
    let result = fake.run(&[&MOVE[..], &["--wait"]].concat()).await;
    assert_eq!(result.outcome, Outcome::Refused, "{result:?}");
    assert_eq!(
        result.errors,
        "Move/m: spec.route: move \"other\" is active on the same route\n"
    );
}
