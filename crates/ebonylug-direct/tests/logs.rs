//! Tests of the log lines of an entry.

mod common;

use std::collections::HashSet;
use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use common::{
    Harness, ScriptedTarget, Step, chunk, config, event, get, response, run, status, stream_head,
    success, wait_until,
};
use ebonylug_core::Name;
use ebonylug_direct::peers::Exchange;
use ebonylug_dispatch::{Quota, Target, TargetState};
use serde_json::{Map, Value};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

/// A log in memory. Clones share its content.
#[derive(Clone, Default)]
struct Log(Arc<Mutex<Vec<u8>>>);

impl Write for Log {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("the log").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Runs a test and returns its log.
fn capture_log(test: impl Future<Output = ()>) -> String {
    let log = Log::default();
    let writer = log.clone();
    let subscriber = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_max_level(tracing::Level::TRACE)
        .with_writer(move || writer.clone())
        .finish();
    tracing::subscriber::with_default(subscriber, || run(test));
    let bytes = log.0.lock().expect("the log").clone();
    String::from_utf8(bytes).expect("a UTF-8 log")
}

/// Returns the lines of this crate with level INFO or above. Values that differ between runs are replaced.
fn normalized_lines(log: &str) -> String {
    let mut text = String::new();
    for line in log.lines() {
        let mut line: Map<String, Value> = serde_json::from_str(line).expect("a line of JSON");
        // Log lines of dependencies have no field `part`.
        let own = line.contains_key("part");
        if !own || matches!(line["level"].as_str(), Some("DEBUG" | "TRACE")) {
            continue;
        }
        line.remove("timestamp");
        for (name, value) in &mut line {
            let varies = name.ends_with("_ms") || matches!(&**name, "address" | "error");
            if varies {
                *value = "..".into();
            }
        }
        text += &serde_json::to_string(&line).expect("encode the line");
        text.push('\n');
    }
    text
}

/// Guards against keys, bodies and responses in the log, and against a failed request without exactly one
/// line that contains its id.
#[test]
fn failures_are_logged_without_secrets() {
    let text = capture_log(async {
        let script = vec![
            Step::Close("secret-answer".into()),
            Step::Send(success("r2", "secret-answer")),
        ];
        let target = ScriptedTarget::start("engine-1", script).await;
        let harness = Harness::start(&[&target]).await;
        let body = "\r\ncontent-length: 11\r\n\r\nsecret-body";
        let request = get("once", "r1")
            .replace("GET", "POST")
            .replace("\r\n\r\n", body);
        assert_eq!(status(&harness.call(&request).await), 502);
        assert_eq!(status(&harness.call(&get("once", "r2")).await), 200);
        let unknown = get("once", "r3").replace("key-1", "key-secret");
        assert_eq!(status(&harness.call(&unknown).await), 401);
    });
    let entry_lines: Vec<&str> = text
        .lines()
        .filter(|line| line.contains("\"part\":"))
        .collect();
    for secret in ["key-1", "key-secret", "secret-body", "secret-answer"] {
        assert!(
            !entry_lines.iter().any(|line| line.contains(secret)),
            "{secret} in {entry_lines:#?}"
        );
    }
    for request in ["r1", "r3"] {
        let id_field = format!("\"request\":\"{request}\"");
        let failed = |line: &&&str| line.contains("not served") && line.contains(&id_field);
        assert_eq!(
            entry_lines.iter().filter(failed).count(),
            1,
            "{request} in {entry_lines:#?}"
        );
    }
}

/// Guards against a refused or failed request without a log line, or with one that lacks the reason.
#[test]
fn lines_of_refused_and_failed_requests() {
    let log = capture_log(async {
        let script = vec![
            Step::Close(String::new()),
            Step::Send(response("r2", "503 Unavailable", "x-not-run: 1\r\n", "")),
            Step::Send(response("r3", "500 Error", "x-signature: s\r\n", "")),
        ];
        let target = ScriptedTarget::start("engine-1", script).await;
        let harness = Harness::start(&[&target]).await;
        assert_eq!(status(&harness.call(&get("once", "r1")).await), 502);
        assert_eq!(status(&harness.call(&get("once", "r2")).await), 503);
        assert_eq!(status(&harness.call(&get("safe", "r3")).await), 500);
        assert_eq!(status(&harness.call(&get("nowhere", "r4")).await), 404);
        let healthy = ScriptedTarget::start("engine-2", vec![Step::Send(success("r9", "a"))]).await;
        let healthy_harness = Harness::start(&[&healthy]).await;
        // Of the requests served in time, the sample includes the first and not the second.
        assert_eq!(status(&healthy_harness.call(&get("safe", "r9")).await), 200);
        assert_eq!(status(&healthy_harness.call(&get("safe", "r9")).await), 200);
        let quota = Quota {
            rate: 1e-3,
            burst: 1.0,
        };
        let limited = Harness::unconfigured().await;
        limited.entry.apply_config(config(1, Some(quota)));
        limited.entry.confirm_config(Duration::from_secs(100));
        limited.entry.set_targets(vec![target.target()]);
        // The request that exceeds the quota is still admitted.
        assert_eq!(status(&limited.call(&get("once", "r5")).await), 502);
        assert_eq!(status(&limited.call(&get("once", "r8")).await), 429);
        harness.uptime.0.set(Duration::from_secs(200));
        assert_eq!(status(&harness.call(&get("once", "r6")).await), 503);
        harness.entry.remove_target(&target.name);
        assert_eq!(status(&harness.call(&get("public", "r7")).await), 503);
    });
    insta::assert_snapshot!(normalized_lines(&log));
}

/// Guards against broken streams and disconnected callers without a log line.
#[test]
fn lines_of_streams() {
    let log = capture_log(async {
        for (route, id) in [("stream", "r1"), ("plainstream", "r2")] {
            let partial = stream_head(id) + &chunk(&event(1));
            let target = ScriptedTarget::start("engine-1", vec![Step::Close(partial)]).await;
            let harness = Harness::start(&[&target]).await;
            harness.call(&get(route, id)).await;
        }
        let target = ScriptedTarget::start("engine-1", vec![Step::Hang(String::new())]).await;
        let harness = Harness::start(&[&target]).await;
        let mut caller = harness.connect().await;
        let request = get("safe", "r3");
        caller
            .write_all(request.as_bytes())
            .await
            .expect("send the request");
        wait_until("the request arrives", || target.request_count() == 1).await;
        drop(caller);
        wait_until("the entry closes the connection to the target", || {
            target.disconnects.get() == 1
        })
        .await;
    });
    insta::assert_snapshot!(normalized_lines(&log));
}

/// Guards against a change of the entry's state without a log line.
#[test]
fn lines_of_changes() {
    let log = capture_log(async {
        let target = ScriptedTarget::start("engine-1", vec![]).await;
        let harness = Harness::start(&[&target]).await;
        let leaving = Target {
            state: TargetState::Leaving,
            ..target.target()
        };
        harness.entry.put_target(leaving);
        harness
            .entry
            .set_drained(HashSet::from([Name::new("zone")]));
        harness.entry.set_drained(HashSet::new());
        harness.entry.remove_target(&target.name);
        let mut bounds = harness.bounds;
        bounds.body_memory = 1;
        harness.entry.set_bounds(bounds);
        let unreachable = Target {
            address: unused_address().await,
            ..target.target()
        };
        harness.entry.put_target(unreachable);
        assert_eq!(status(&harness.call(&get("safe", "r1")).await), 503);
    });
    insta::assert_snapshot!(normalized_lines(&log));
}

/// Guards against a peer that becomes unreachable, or reachable again, without a log line.
#[test]
fn lines_of_other_entries() {
    let log = capture_log(async {
        let harness = Harness::with_name("entry-1").await;
        let exchange = bind_exchange(&harness).await;
        spawn_local(Rc::clone(&exchange).run_receiver());
        let other = Harness::with_name("entry-2").await;
        let other_exchange = bind_exchange(&other).await;
        other_exchange.add_peer(
            Name::new("entry-1"),
            exchange.address().expect("local address"),
        );
        let reachable = |count| {
            let entry = Rc::clone(&harness.entry);
            move || {
                entry.tick();
                entry.reachable_entries() == count
            }
        };
        other_exchange.send_due(true).await;
        wait_until("the peer is reachable", reachable(2)).await;
        wait_until("the peer is unreachable", reachable(1)).await;
        other_exchange.send_due(true).await;
        wait_until("the peer is reachable again", reachable(2)).await;
        harness.entry.tick();
    });
    insta::assert_snapshot!(normalized_lines(&log));
}

async fn bind_exchange(harness: &Harness) -> Rc<Exchange> {
    let any = "127.0.0.1:0".parse().expect("an address");
    let exchange = Exchange::bind(Rc::clone(&harness.entry), any).await;
    exchange.expect("a free port")
}

/// Returns a loopback address on which nothing listens.
async fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    listener.local_addr().expect("local address")
}
