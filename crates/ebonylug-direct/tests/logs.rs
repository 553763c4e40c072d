//! What an entry writes to its log.

mod common;

use std::io::Write;
use std::sync::{Arc, Mutex};

use common::{Act, Scripted, World, get, run, status, success};

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

/// Guards against keys, bodies and answers in a log, and against a request that fails without a line
/// that names it.
#[test]
fn failures_are_logged_without_secrets() {
    let log = Log::default();
    let writer = log.clone();
    let subscriber = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_max_level(tracing::Level::TRACE)
        .with_writer(move || writer.clone())
        .finish();
    tracing::subscriber::with_default(subscriber, || {
        run(async {
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
    });
    let text = String::from_utf8(log.0.lock().expect("the log").clone()).expect("text");
    let own: Vec<&str> = text
        .lines()
        .filter(|line| line.contains("\"target\":\"ebonylug"))
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
