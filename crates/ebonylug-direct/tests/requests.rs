//! Requests and answers that are not streams, between raw callers and scripted targets.

mod common;

use std::time::Duration;

use common::{
    Act, Scripted, World, answer, config, get, listed, read_answer, read_message, run, status,
    success, until,
};
use ebonylug_core::Name;
use ebonylug_dispatch::{Quota, Target};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// Guards against a request that reaches a target changed, with a key, or with headers that only the
/// system may set.
#[test]
fn a_request_is_passed_on_with_the_systems_headers_only() {
    run(async {
        let target = Scripted::start("engine-1", vec![Act::Send(success("r1", "hello"))]).await;
        let world = World::start(&[&target]).await;
        let request = "POST /safe/a%20b?x=1&y=%2F HTTP/1.1\r\nhost: mill.example\r\nx-id: r1\r\n\
             x-deadline: 8000\r\nauthorization: Bearer key-1\r\nx-organisation: other\r\n\
             x-expected: engine-9\r\nx-reserved: 1\r\nx-own: kept\r\nconnection: x-gone, x-id\r\n\
             x-gone: 1\r\ntransfer-encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n";
        let answer = world.call(request).await;
        assert_eq!(status(&answer), 200, "{answer}");
        assert!(answer.ends_with("hello"), "{answer}");
        let seen = target.seen.borrow()[0].clone();
        assert!(
            seen.starts_with("POST /safe/a%20b?x=1&y=%2F HTTP/1.1\r\n"),
            "{seen}"
        );
        assert!(seen.ends_with("\r\n\r\nabcde"), "{seen}");
        for line in [
            "x-id: r1",
            "x-organisation: ropeworks",
            "x-expected: engine-1",
            "x-own: kept",
        ] {
            assert!(seen.contains(&format!("{line}\r\n")), "{line} in {seen}");
        }
        for part in [
            "key-1",
            "other",
            "engine-9",
            "x-reserved",
            "x-gone",
            "chunked",
        ] {
            assert!(!seen.contains(part), "{part} in {seen}");
        }
        let left = seen
            .lines()
            .find_map(|line| line.strip_prefix("x-deadline: "));
        let left: u64 = left.expect("a deadline").parse().expect("a number");
        assert!(left <= 8_000, "{left}");
    });
}

/// Guards against wrong statuses of requests that no target can serve, and against targets that get
/// them all the same.
#[test]
fn bad_requests_are_answered_without_a_target() {
    run(async {
        let target = Scripted::start("engine-1", vec![Act::Send(success("r1", "x"))]).await;
        let world = World::start(&[&target]).await;
        let big = "x".repeat(5_000);
        let cases = [
            ("no route", get("nowhere", "r1"), 404),
            (
                "no such host",
                get("safe", "r1").replace("mill.example", "quay.example"),
                404,
            ),
            (
                "unknown key",
                get("safe", "r1").replace("key-1", "key-2"),
                401,
            ),
            (
                "no key",
                get("safe", "r1").replace("authorization", "x-nothing"),
                401,
            ),
            ("no id", get("safe", "r1").replace("x-id", "x-nothing"), 400),
            (
                "too large",
                get("safe", "r1").replace("GET", "POST").replace(
                    "\r\n\r\n",
                    &format!("\r\ncontent-length: 5000\r\n\r\n{big}"),
                ),
                413,
            ),
            (
                "two lengths",
                get("safe", "r1").replace(
                    "\r\n\r\n",
                    "\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabcd",
                ),
                400,
            ),
            (
                "a large head",
                get("safe", "r1")
                    .replace("x-id", &format!("x-pad: {}\r\nx-id", "x".repeat(17_000))),
                431,
            ),
            (
                "a huge head",
                get("safe", "r1")
                    .replace("x-id", &format!("x-pad: {}\r\nx-id", "x".repeat(80_000))),
                431,
            ),
        ];
        for (name, request, expected) in cases {
            let answer = world.call(&request).await;
            assert_eq!(status(&answer), expected, "{name}: {answer}");
        }
        assert_eq!(target.count(), 0);
    });
}

/// Guards against an entry that knows nothing yet and answers as if it knew, and against keys that are
/// accepted by a configuration which may be out of date.
#[test]
fn an_entry_that_cannot_know_refuses_as_not_run() {
    run(async {
        let target = Scripted::start("engine-1", vec![Act::Send(success("r1", "x"))]).await;
        let world = World::bare().await;
        assert!(!world.entry.is_ready());
        for request in [get("safe", "r1"), get("nowhere", "r1")] {
            let answer = world.call(&request).await;
            assert_eq!(status(&answer), 503, "{answer}");
            assert!(answer.contains("retry-after: "), "{answer}");
        }
        world.entry.apply_config(config(1, None));
        world.entry.set_targets(vec![target.listed()]);
        let stale = world.call(&get("safe", "r1")).await;
        assert_eq!(status(&stale), 503, "the configuration was never confirmed");
        world.entry.confirm_config(world.time.0.get());
        assert!(world.entry.is_ready());
        assert_eq!(status(&world.call(&get("safe", "r1")).await), 200);
        // The machine was suspended.
        world
            .time
            .0
            .set(world.time.0.get() + Duration::from_secs(5));
        assert!(!world.entry.is_ready());
        assert_eq!(status(&world.call(&get("safe", "r1")).await), 503);
        assert_eq!(
            status(&world.call(&get("public", "r1")).await),
            200,
            "needs no key"
        );
    });
}

/// Guards against a configuration that reverts to an older one.
#[test]
fn an_older_configuration_is_ignored() {
    run(async {
        let world = World::bare().await;
        world.entry.apply_config(config(7, None));
        world.entry.apply_config(config(5, None));
        assert_eq!(world.entry.config().map(|config| config.version), Some(7));
    });
}

/// Guards against a request that may run once and is sent again after a lost answer, and against a
/// refusal that promises too much.
#[test]
fn a_request_that_may_have_run_is_not_sent_again() {
    let broken = [
        ("closed", Act::Close(String::new())),
        (
            "short",
            Act::Close(
                "HTTP/1.1 200 OK\r\nx-id: r1\r\nx-signature: s\r\ncontent-length: 9\r\n\r\nabc"
                    .into(),
            ),
        ),
        ("no answer", Act::Close("<html>".into())),
        ("other id", Act::Send(success("r0", "x"))),
        ("no signature", Act::Send(answer("r1", "200 OK", "", "x"))),
        (
            "encoded",
            Act::Send(answer(
                "r1",
                "200 OK",
                "x-signature: s\r\ncontent-encoding: gzip\r\n",
                "x",
            )),
        ),
    ];
    for (name, act) in broken {
        run(async {
            let first = Scripted::start("engine-1", vec![act.clone()]).await;
            let second = Scripted::start("engine-2", vec![act]).await;
            let world = World::start(&[&first, &second]).await;
            let answer = world.call(&get("once", "r1")).await;
            assert_eq!(status(&answer), 502, "{name}: {answer}");
            assert!(!answer.contains("x-signature"), "{name}: {answer}");
            assert_eq!(first.count() + second.count(), 1, "{name}");
        });
    }
}

/// Guards against a caller who gets a failure although another target could have answered.
#[test]
fn a_safe_request_is_tried_at_a_second_target() {
    let broken = [
        ("closed", Act::Close(String::new())),
        ("other id", Act::Send(success("r0", "x"))),
        (
            "failed",
            Act::Send(answer("r1", "500 Failed", "x-signature: s\r\n", "x")),
        ),
        (
            "not run",
            Act::Send(answer("r1", "503 Full", "x-not-run: 1\r\n", "")),
        ),
        (
            "misdirected",
            Act::Send(answer("r1", "421 Misdirected", "", "")),
        ),
    ];
    for (name, act) in broken {
        run(async {
            let script = vec![act, Act::Send(success("r1", "whole"))];
            let [first, second] = Scripted::pair(script).await;
            let world = World::start(&[&first, &second]).await;
            let answer = world.call(&get("safe", "r1")).await;
            assert_eq!(status(&answer), 200, "{name}: {answer}");
            assert!(answer.ends_with("whole"), "{name}: {answer}");
            assert_eq!((first.count(), second.count()), (1, 1), "{name}");
        });
    }
}

/// Guards against a target's failure that callers get with another status or without its signature.
#[test]
fn a_targets_failure_is_passed_on_unchanged() {
    run(async {
        let failed = answer(
            "r1",
            "500 Failed",
            "x-signature: s\r\nx-other: 1\r\n",
            "why",
        );
        let target = Scripted::start("engine-1", vec![Act::Send(failed)]).await;
        let world = World::start(&[&target]).await;
        let answer = world.call(&get("once", "r1")).await;
        assert_eq!(status(&answer), 500, "{answer}");
        assert!(
            answer.contains("x-signature: s") && answer.ends_with("why"),
            "{answer}"
        );
    });
}

/// Guards against a target's failure that is replaced by one of the entry's own because no second target
/// can be tried, and against a wait for one.
#[test]
fn a_failure_is_kept_if_no_other_target_answers() {
    run(async {
        let failed = answer("r1", "500 Failed", "x-signature: s\r\n", "why");
        let target = Scripted::start("engine-1", vec![Act::Send(failed.clone())]).await;
        let world = World::start(&[&target]).await;
        let alone = world.call(&get("safe", "r1")).await;
        assert_eq!(status(&alone), 500, "{alone}");
        assert_eq!(target.count(), 1);
        let script = vec![Act::Send(failed), Act::Close(String::new())];
        let [first, second] = Scripted::pair(script).await;
        let world = World::start(&[&first, &second]).await;
        let both = world.call(&get("safe", "r1")).await;
        assert_eq!(status(&both), 500, "{both}");
        assert_eq!((first.count(), second.count()), (1, 1));
    });
}

/// Guards against a refusal after proof that nothing ran that does not say so.
#[test]
fn a_request_that_did_not_run_is_refused_as_such() {
    run(async {
        let full = answer("r1", "503 Full", "x-not-run: 1\r\n", "");
        let target = Scripted::start("engine-1", vec![Act::Send(full)]).await;
        let world = World::start(&[&target]).await;
        let answer = world.call(&get("once", "r1")).await;
        assert_eq!(status(&answer), 503, "{answer}");
        assert!(answer.contains("retry-after: "), "{answer}");
        assert_eq!(target.count(), 1);
    });
}

/// Guards against bytes after an answer that are taken for the next one.
#[test]
fn a_connection_with_extra_bytes_is_not_used_again() {
    run(async {
        let extra = success("r1", "one") + &success("r1", "one again");
        let script = vec![Act::Send(extra), Act::Send(success("r2", "two"))];
        let target = Scripted::start("engine-1", script).await;
        let world = World::start(&[&target]).await;
        let first = world.call(&get("once", "r1")).await;
        assert!(first.ends_with("one"), "{first}");
        let second = world.call(&get("once", "r2")).await;
        assert!(second.ends_with("two"), "{second}");
    });
}

/// Guards against an organisation that gets more than its quota, and a refusal without a time.
#[test]
fn requests_beyond_a_quota_are_refused() {
    run(async {
        let target = Scripted::start("engine-1", vec![Act::Send(success("r1", "x"))]).await;
        let world = World::start(&[&target]).await;
        let quota = Quota {
            rate: 1e-3,
            burst: 250.0,
        };
        world.entry.apply_config(config(2, Some(quota)));
        let mut statuses = Vec::new();
        for _ in 0..4 {
            statuses.push(status(&world.call(&get("safe", "r1")).await));
        }
        // Requests count 100 tokens; the one that goes beyond the limit is still let in.
        assert_eq!(statuses, [200, 200, 200, 429]);
        assert_eq!(target.count(), 3);
    });
}

/// Guards against a target that goes on working for a caller who is gone.
#[test]
fn a_target_is_left_when_the_caller_leaves() {
    run(async {
        let target = Scripted::start("engine-1", vec![Act::Hang(String::new())]).await;
        let world = World::start(&[&target]).await;
        let mut stream = world.connect().await;
        stream
            .write_all(get("once", "r1").as_bytes())
            .await
            .expect("the entry reads");
        until("the request arrives", || target.count() == 1).await;
        drop(stream);
        until("the target is left", || target.left.get() == 1).await;
    });
}

/// Guards against a planned stop that cuts off a request, and against a connection that stays open
/// without need.
#[test]
fn a_stop_lets_open_requests_end() {
    run(async {
        let target = Scripted::start("engine-1", vec![Act::Send(success("r1", "late"))]).await;
        let world = World::start(&[&target]).await;
        let mut open = world.connect().await;
        let request = get("safe", "r1");
        let (first, rest) = request.split_at(20);
        open.write_all(first.as_bytes())
            .await
            .expect("the entry reads");
        let stop = ebonylug_direct::server::stop(world.entry.clone(), world.close);
        let stop = tokio::task::spawn_local(stop);
        until("the entry is not ready", || !world.entry.is_ready()).await;
        open.write_all(rest.as_bytes())
            .await
            .expect("the entry reads");
        let answer = common::read_answer(&mut open).await;
        assert!(answer.ends_with("late"), "{answer}");
        assert!(answer.contains("connection: close"), "{answer}");
        stop.await.expect("the entry stops");
        let refused = tokio::net::TcpStream::connect(world.address).await;
        assert!(refused.is_err(), "the listener is closed");
    });
}

/// Guards against connections that callers hold with heads that never end, and against idle ones that are
/// closed by the bound on heads.
#[test]
fn a_head_that_takes_too_long_ends_its_connection() {
    run(async {
        let target = Scripted::start("engine-1", vec![Act::Send(success("r1", "a"))]).await;
        let world = World::start(&[&target]).await;
        let mut stream = world.connect().await;
        // Idle before and after a whole request, for longer than a head may take.
        tokio::time::pause();
        tokio::time::advance(Duration::from_secs(5)).await;
        tokio::time::resume();
        let request = get("safe", "r1");
        stream
            .write_all(request.as_bytes())
            .await
            .expect("it reads");
        assert_eq!(status(&read_answer(&mut stream).await), 200);
        let begin = &request.as_bytes()[..20];
        stream.write_all(begin).await.expect("it reads");
        // The rest never comes: the connection ends without an answer.
        assert_eq!(read_answer(&mut stream).await, "");
        assert_eq!(target.count(), 1);
    });
}

/// A target that reads one request, and is then gone.
async fn fragile(name: &str) -> Target {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    tokio::task::spawn_local(async move {
        let (mut stream, _) = listener.accept().await.expect("the listener works");
        read_message(&mut stream).await;
    });
    Target {
        name: Name::new(name),
        address,
        ..listed()
    }
}

/// Guards against a request that takes down one target after the other: its callers repeat it.
#[test]
fn a_request_that_crashes_targets_is_not_run_any_more() {
    run(async {
        let world = World::start(&[]).await;
        world
            .entry
            .set_targets(vec![fragile("engine-1").await, fragile("engine-2").await]);
        assert_eq!(status(&world.call(&get("safe", "r1")).await), 502);
        // Another request shows that the targets are down.
        let other = get("safe", "r2").replace("/1?", "/2?");
        assert_eq!(status(&world.call(&other).await), 503);
        let sound = Scripted::start("engine-3", vec![Act::Send(success("r4", "a"))]).await;
        world.entry.put_target(sound.listed());
        let refused = world.call(&get("safe", "r3")).await;
        assert_eq!(status(&refused), 503);
        assert!(refused.contains("quarantined"), "{refused}");
        assert_eq!(sound.count(), 0);
        let other = get("safe", "r4").replace("/1?", "/2?");
        assert_eq!(status(&world.call(&other).await), 200);
    });
}
