//! What an entry writes to its log.

mod common;

use std::collections::HashSet;
use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use common::{
    Act, Scripted, World, answer, chunk, config, event, get, run, status, stream_head, success,
    until,
};
use ebonylug_core::Name;
use ebonylug_direct::peers::Exchange;
use ebonylug_dispatch::{Quota, Target, TargetState};
use serde_json::{Map, Value};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

/// A log that a test reads.
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

/// Plays a test and returns what was logged.
fn logged(play: impl Future<Output = ()>) -> String {
    let log = Log::default();
    let writer = log.clone();
    let subscriber = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_max_level(tracing::Level::TRACE)
        .with_writer(move || writer.clone())
        .finish();
    tracing::subscriber::with_default(subscriber, || run(play));
    let bytes = log.0.lock().expect("the log").clone();
    String::from_utf8(bytes).expect("text")
}

/// Returns the lines of this crate above the level of debugging, without what differs from run to run.
fn lines(log: &str) -> String {
    let mut text = String::new();
    for line in log.lines() {
        let mut line: Map<String, Value> = serde_json::from_str(line).expect("lines are JSON");
        // Lines of libraries name no part.
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
        text += &serde_json::to_string(&line).expect("it was JSON");
        text.push('\n');
    }
    text
}

/// Guards against keys, bodies and answers in a log, and against a request that fails without a line
/// that names it.
#[test]
fn failures_are_logged_without_secrets() {
    let text = logged(async {
        let script = vec![
            Act::Close("secret-answer".into()),
            Act::Send(success("r2", "secret-answer")),
        ];
        let target = Scripted::start("engine-1", script).await;
        let world = World::start(&[&target]).await;
        let body = "\r\ncontent-length: 11\r\n\r\nsecret-body";
        let request = get("once", "r1")
            .replace("GET", "POST")
            .replace("\r\n\r\n", body);
        assert_eq!(status(&world.call(&request).await), 502);
        assert_eq!(status(&world.call(&get("once", "r2")).await), 200);
        let unknown = get("once", "r3").replace("key-1", "key-secret");
        assert_eq!(status(&world.call(&unknown).await), 401);
    });
    let own: Vec<&str> = text
        .lines()
        .filter(|line| line.contains("\"part\":"))
        .collect();
    for secret in ["key-1", "key-secret", "secret-body", "secret-answer"] {
        assert!(
            !own.iter().any(|line| line.contains(secret)),
            "{secret} in {own:#?}"
        );
    }
    for request in ["r1", "r3"] {
        let named = format!("\"request\":\"{request}\"");
        let ended = |line: &&&str| line.contains("not served") && line.contains(&named);
        assert_eq!(own.iter().filter(ended).count(), 1, "{request} in {own:#?}");
    }
}

/// Guards against a decision that leaves no line, or one without what decided it.
#[test]
fn lines_of_refused_and_failed_requests() {
    let log = logged(async {
        let script = vec![
            Act::Close(String::new()),
            Act::Send(answer("r2", "503 Unavailable", "x-not-run: 1\r\n", "")),
            Act::Send(answer("r3", "500 Error", "x-signature: s\r\n", "")),
        ];
        let target = Scripted::start("engine-1", script).await;
        let world = World::start(&[&target]).await;
        assert_eq!(status(&world.call(&get("once", "r1")).await), 502);
        assert_eq!(status(&world.call(&get("once", "r2")).await), 503);
        assert_eq!(status(&world.call(&get("safe", "r3")).await), 500);
        assert_eq!(status(&world.call(&get("nowhere", "r4")).await), 404);
        let sound = Scripted::start("engine-2", vec![Act::Send(success("r9", "a"))]).await;
        let served = World::start(&[&sound]).await;
        // The first one that is served in time is one of the sample, the second one is not.
        assert_eq!(status(&served.call(&get("safe", "r9")).await), 200);
        assert_eq!(status(&served.call(&get("safe", "r9")).await), 200);
        let quota = Quota {
            rate: 1e-3,
            burst: 1.0,
        };
        let poor = World::bare().await;
        poor.entry.apply_config(config(1, Some(quota)));
        poor.entry.confirm_config(Duration::from_secs(100));
        poor.entry.set_targets(vec![target.listed()]);
        // The one that goes beyond the limit is still let in.
        assert_eq!(status(&poor.call(&get("once", "r5")).await), 502);
        assert_eq!(status(&poor.call(&get("once", "r8")).await), 429);
        world.time.0.set(Duration::from_secs(200));
        assert_eq!(status(&world.call(&get("once", "r6")).await), 503);
        world.entry.remove_target(&target.name);
        assert_eq!(status(&world.call(&get("public", "r7")).await), 503);
    });
    insta::assert_snapshot!(lines(&log));
}

/// Guards against streams that break, or callers that leave, without a line.
#[test]
fn lines_of_streams() {
    let log = logged(async {
        for (route, id) in [("stream", "r1"), ("plainstream", "r2")] {
            let begun = stream_head(id) + &chunk(&event(1));
            let target = Scripted::start("engine-1", vec![Act::Close(begun)]).await;
            let world = World::start(&[&target]).await;
            world.call(&get(route, id)).await;
        }
        let target = Scripted::start("engine-1", vec![Act::Hang(String::new())]).await;
        let world = World::start(&[&target]).await;
        let mut caller = world.connect().await;
        let request = get("safe", "r3");
        caller
            .write_all(request.as_bytes())
            .await
            .expect("the entry reads");
        until("the target has it", || target.count() == 1).await;
        drop(caller);
        until("the target is left", || target.left.get() == 1).await;
    });
    insta::assert_snapshot!(lines(&log));
}

/// Guards against a change of what the entry believes that leaves no line.
#[test]
fn lines_of_changes() {
    let log = logged(async {
        let target = Scripted::start("engine-1", vec![]).await;
        let world = World::start(&[&target]).await;
        let leaving = Target {
            state: TargetState::Leaving,
            ..target.listed()
        };
        world.entry.put_target(leaving);
        world.entry.set_drained(HashSet::from([Name::new("zone")]));
        world.entry.set_drained(HashSet::new());
        world.entry.remove_target(&target.name);
        let mut bounds = world.bounds;
        bounds.body_memory = 1;
        world.entry.set_bounds(bounds);
        let gone = Target {
            address: closed().await,
            ..target.listed()
        };
        world.entry.put_target(gone);
        assert_eq!(status(&world.call(&get("safe", "r1")).await), 503);
    });
    insta::assert_snapshot!(lines(&log));
}

/// Guards against entries that are lost or heard again without a line.
#[test]
fn lines_of_other_entries() {
    let log = logged(async {
        let world = World::named("entry-1").await;
        let exchange = bound(&world).await;
        spawn_local(Rc::clone(&exchange).run_receiver());
        let other = World::named("entry-2").await;
        let far = bound(&other).await;
        far.add_peer(
            Name::new("entry-1"),
            exchange.address().expect("it is bound"),
        );
        let heard = |count| {
            let entry = Rc::clone(&world.entry);
            move || {
                entry.tick();
                entry.reachable_entries() == count
            }
        };
        far.send_due(true).await;
        until("the other is heard", heard(2)).await;
        until("the other is lost", heard(1)).await;
        far.send_due(true).await;
        until("the other is heard again", heard(2)).await;
        world.entry.tick();
    });
    insta::assert_snapshot!(lines(&log));
}

async fn bound(world: &World) -> Rc<Exchange> {
    let any = "127.0.0.1:0".parse().expect("an address");
    let exchange = Exchange::bind(Rc::clone(&world.entry), any).await;
    exchange.expect("a port is free")
}

/// Returns an address at which nothing listens.
async fn closed() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    listener.local_addr().expect("it is bound")
}
