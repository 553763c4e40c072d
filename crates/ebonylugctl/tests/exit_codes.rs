//! Refusals of an entry as messages and exit codes.

mod common;

use std::io::Write;
use std::net::SocketAddr;
use std::process::{Command, Stdio};

use common::{Fake, Reply, TOKEN, plain_problem, problem, run_at};
use ebonylugctl::Outcome;
use serde_json::json;

/// Guards against scripts that take one kind of refusal for another, and against operators who are
/// not told the field and the reason.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusals() {
    let cases: [(Reply, Outcome, &str); 11] = [
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
    for (reply, outcome, shown) in cases {
        let fake = Fake::start(move |_, _| reply.clone());
        let commands: [&[&str]; 5] = [
            &["get", "tiers"],
            &["get", "tier", "x"],
            &["drain", "x"],
            &["move", "x", "y", "--by", "1h"],
            &["events"],
        ];
        for command in commands {
            let ran = fake.run(command).await;
            assert_eq!(ran.outcome, outcome, "{command:?} {ran:?}");
            assert!(ran.errors.contains(shown), "{command:?} {ran:?}");
            assert_eq!(ran.output, "");
            assert!(!ran.errors.contains(TOKEN));
        }
        let expected = format!("Bearer {TOKEN}");
        let sent = fake.calls();
        assert!(
            sent.iter()
                .all(|call| call.header("authorization") == Some(&expected))
        );
    }
}

/// Guards against a missing answer that is reported as if nothing had been changed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_answer() {
    // No process may listen on port 1 without privileges.
    let closed = "127.0.0.1:1".parse().unwrap();
    let ran = run_at(closed, TOKEN, &["delete", "tier", "x"], "").await;
    assert_eq!(ran.outcome, Outcome::NoResponse);
    assert!(
        ran.errors.contains("cannot connect; nothing was changed"),
        "{ran:?}"
    );

    // A listener that closes each connection after the request has arrived.
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = tokio::spawn(async move {
        for _ in 0..2 {
            let (stream, _) = listener.accept().await.unwrap();
            stream.readable().await.unwrap();
        }
    });
    let ran = run_at(address, TOKEN, &["delete", "tier", "x"], "").await;
    assert_eq!(ran.outcome, Outcome::NoResponse);
    assert!(
        ran.errors
            .contains("not known whether the change was applied"),
        "{ran:?}"
    );
    let ran = run_at(address, TOKEN, &["get", "tier", "x"], "").await;
    assert_eq!(ran.outcome, Outcome::NoResponse);
    assert!(!ran.errors.contains("change"), "{ran:?}");
    server.await.unwrap();
}

fn process(server: Option<SocketAddr>, arguments: &[&str], input: &str) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ebonylugctl"));
    command.args(arguments).env_remove("EBONYLUG_SERVER");
    command.env("EBONYLUG_TOKEN", TOKEN);
    if let Some(server) = server {
        command.env("EBONYLUG_SERVER", format!("http://{server}"));
    }
    let streams = command.stdin(Stdio::piped()).stdout(Stdio::piped());
    let mut child = streams.stderr(Stdio::piped()).spawn().unwrap();
    // A command that does not read its input may end before it is written.
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    let output = child.wait_with_output().unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8(text).unwrap())
}

/// Guards against a process that does not pass its outcome on as the exit code.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn exit_codes_of_the_process() {
    let fake = Fake::start(|_, call| match call.line.as_str() {
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
        let run = move || process(server, arguments, input);
        let (found, text) = tokio::task::spawn_blocking(run).await.unwrap();
        assert_eq!(found, Some(code), "{arguments:?} {text}");
        assert!(!text.contains(TOKEN), "{arguments:?} {text}");
    }
}

/// Guards against an error when the reader of the output, such as `head`, has seen enough.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn closed_pipe() {
    let fake = Fake::start(|_, _| (200, json!({ "revision": 3, "items": [] })));
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
