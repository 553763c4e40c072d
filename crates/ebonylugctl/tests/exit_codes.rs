//! Error messages and exit codes.

mod common;

use std::io::Write;
use std::net::SocketAddr;
use std::process::{Command, Stdio};

use common::{FakeEntry, Response, TOKEN, plain_problem, problem, run_at};
use ebonylugctl::Outcome;
use serde_json::json;

/// Guards against an exit code that does not match the kind of error, and against messages that omit
/// the field or the reason.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn error_responses() {
    let cases: [(Response, Outcome, &str); 11] = [
        (
            plain_problem(400, "Bad", "line 1, column 2"),
            Outcome::Refused,
            "Bad: line 1, column 2",
        ),
        (
            plain_problem(401, "Denied", "no token"),
            Outcome::Denied,
            "Denied: no token",
        ),
        (
            plain_problem(403, "Denied", "reading only"),
            Outcome::Denied,
            "Denied: reading only",
        ),
        (
            plain_problem(404, "Not found", "Tier/x"),
            Outcome::Refused,
            "Not found: Tier/x",
        ),
        (
            problem(
                409,
                "Tier/x",
                "metadata.revision",
                "the resource is at revision 4, not 3",
            ),
            Outcome::Conflict,
            "Tier/x: metadata.revision: the resource is at revision 4, not 3",
        ),
        (
            problem(422, "Tier/x", "spec.rank", "must be lower"),
            Outcome::Refused,
            "Tier/x: spec.rank: must be lower",
        ),
        (
            plain_problem(500, "Corrupt", "section"),
            Outcome::NoResponse,
            "Corrupt: section",
        ),
        (
            plain_problem(503, "Down", "no store"),
            Outcome::NoResponse,
            "Down: no store",
        ),
        (
            plain_problem(504, "Unknown", "no reply"),
            Outcome::NoResponse,
            "Unknown: no reply",
        ),
        (
            (502, json!("proxy")),
            Outcome::NoResponse,
            "unexpected answer: status 502",
        ),
        ((200, json!({})), Outcome::NoResponse, "unexpected answer"),
    ];
    for (response, outcome, message) in cases {
        let fake = FakeEntry::start(move |_, _| response.clone());
        let commands: [&[&str]; 5] = [
            &["get", "tiers"],
            &["get", "tier", "x"],
            &["drain", "x"],
            &["move", "x", "y", "--by", "1h"],
            &["events"],
        ];
        for command in commands {
            let result = fake.run(command).await;
            assert_eq!(result.outcome, outcome, "{command:?} {result:?}");
            assert!(result.errors.contains(message), "{command:?} {result:?}");
            assert_eq!(result.output, "");
            assert!(!result.errors.contains(TOKEN));
        }
        let expected = format!("Bearer {TOKEN}");
        let sent = fake.calls();
        assert!(
            sent.iter()
                .all(|call| call.header("authorization") == Some(&expected))
        );
    }
}

/// Guards against a lost response that is reported as if nothing had been changed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_response() {
    // Port 1 is closed, since only privileged processes may listen on it.
    let closed = "127.0.0.1:1".parse().unwrap();
    let result = run_at(closed, TOKEN, &["delete", "tier", "x"], "").await;
    assert_eq!(result.outcome, Outcome::NoResponse);
    assert!(
        result
            .errors
            .contains("cannot connect; nothing was changed"),
        "{result:?}"
    );

    // This listener closes each connection once the request has arrived.
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = tokio::spawn(async move {
        for _ in 0..2 {
            let (stream, _) = listener.accept().await.unwrap();
            stream.readable().await.unwrap();
        }
    });
    let result = run_at(address, TOKEN, &["delete", "tier", "x"], "").await;
    assert_eq!(result.outcome, Outcome::NoResponse);
    assert!(
        result
            .errors
            .contains("not known whether the change was applied"),
        "{result:?}"
    );
    let result = run_at(address, TOKEN, &["get", "tier", "x"], "").await;
    assert_eq!(result.outcome, Outcome::NoResponse);
    assert!(!result.errors.contains("change"), "{result:?}");
    server.await.unwrap();
}

fn run_process(
    server: Option<SocketAddr>,
    arguments: &[&str],
    input: &str,
) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ebonylugctl"));
    command.args(arguments).env_remove("EBONYLUG_SERVER");
    command.env("EBONYLUG_TOKEN", TOKEN);
    if let Some(server) = server {
        command.env("EBONYLUG_SERVER", format!("http://{server}"));
    }
    let streams = command.stdin(Stdio::piped()).stdout(Stdio::piped());
    let mut child = streams.stderr(Stdio::piped()).spawn().unwrap();
    // A command that does not read its input may exit before the input is written.
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    let output = child.wait_with_output().unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8(text).unwrap())
}

/// Guards against a process whose exit code differs from the outcome of its command.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn process_exit_codes() {
    let fake = FakeEntry::start(|_, call| match call.line.as_str() {
        "GET /api/v1/resources/tiers" => (200, json!({ "revision": 3, "items": [] })),
        "GET /api/v1/resources/targets" => plain_problem(503, "Down", "no store"),
        "GET /api/v1/resources/routes" => plain_problem(403, "Denied", "reading only"),
        _ => problem(409, "Tier/x", "metadata.revision", "taken"),
    });
    let address = Some(fake.address());
    let cases: [(Option<SocketAddr>, &[&str], &str, i32); 10] = [
        (None, &["--help"], "", 0),
        (None, &["--version"], "", 0),
        (None, &["hash-token"], "token", 0),
        (None, &["hash-token"], "", 2),
        (None, &["get", "tiers"], "", 2),
        (None, &["other"], "", 2),
        (address, &["get", "tiers"], "", 0),
        (address, &["get", "targets"], "", 1),
        (address, &["delete", "tier", "x"], "", 3),
        (address, &["get", "routes"], "", 7),
    ];
    for (server, arguments, input, code) in cases {
        let run = move || run_process(server, arguments, input);
        let (exit_code, text) = tokio::task::spawn_blocking(run).await.unwrap();
        assert_eq!(exit_code, Some(code), "{arguments:?} {text}");
        assert!(!text.contains(TOKEN), "{arguments:?} {text}");
    }
}

/// Guards against an error when the reader of the output, such as `head`, closes the pipe early.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn closed_pipe() {
    let fake = FakeEntry::start(|_, _| (200, json!({ "revision": 3, "items": [] })));
    let server = format!("http://{}", fake.address());
    let run = move || {
        let mut command = Command::new(env!("CARGO_BIN_EXE_ebonylugctl"));
        command
            .args(["get", "tiers", "--server", &server])
            .env("EBONYLUG_TOKEN", TOKEN);
        let streams = command.stdin(Stdio::null()).stdout(Stdio::piped());
        let mut child = streams.stderr(Stdio::piped()).spawn().unwrap();
        drop(child.stdout.take());
        child.wait_with_output().unwrap()
    };
    let output = tokio::task::spawn_blocking(run).await.unwrap();
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    assert!(output.stderr.is_empty(), "{output:?}");
}
