//! Tests of a planned stop while requests are open.

mod common;

use std::cell::RefCell;
use std::io::{Read, Write};
use std::rc::Rc;
use std::time::Duration;

use common::{Harness, ScriptedTarget, Step, get, read_response, run, status, success, wait_until};
use ebonylug_direct::{Bounds, server};
use ebonylug_dispatch::Target;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::spawn_local;

/// A short grace, which ends before requests that wait for a target are refused.
const SHORT_GRACE: Duration = Duration::from_secs(3);
/// A usual grace. New connections are accepted for 2.5 s of it.
const USUAL_GRACE: Duration = Duration::from_secs(8);

/// Sends a request on a connection that was opened before, and records the answer.
fn send(mut stream: TcpStream, request: &str, answers: &Rc<RefCell<Vec<String>>>) {
    let (request, answers) = (request.to_owned(), Rc::clone(answers));
    spawn_local(async move {
        let sent = stream.write_all(request.as_bytes()).await;
        sent.expect("send the request");
        let answer = read_response(&mut stream).await;
        answers.borrow_mut().push(answer);
    });
}

/// Starts an entry with this grace and one target with one slot.
async fn start(target: &ScriptedTarget, grace: Duration) -> Harness {
    let harness = Harness::start(&[target]).await;
    harness.entry.set_bounds(Bounds {
        grace,
        ..harness.bounds
    });
    let target = Target {
        slots: 1,
        ..target.target()
    };
    harness.entry.set_targets(vec![target]);
    harness
}

/// Guards against a stop that cuts requests off with no answer at the end of the grace, among them requests
/// that may not be repeated: they were taken late, and sent to a target or left waiting for one.
#[test]
fn requests_that_are_open_at_the_end_of_the_grace_get_an_answer() {
    run(async {
        let target = ScriptedTarget::start("engine-1", vec![Step::Hang(String::new())]).await;
        let harness = start(&target, SHORT_GRACE).await;
        let answers = Rc::default();
        let mut late = Vec::new();
        for _ in 0..30 {
            late.push(harness.connect().await);
        }
        send(harness.connect().await, &get("once", "early"), &answers);
        wait_until("the target has the request", || target.request_count() == 1).await;
        let Harness { entry, close, .. } = harness;
        let stop = spawn_local(server::stop(Rc::clone(&entry), close));
        tokio::time::sleep(SHORT_GRACE / 30).await;
        let sent = late.len() + 1;
        for (number, stream) in late.into_iter().enumerate() {
            let route = ["once", "safe", "stream"][number % 3];
            let request = get(route, &format!("late-{number}"));
            let request = match number {
                // A body is announced and does not arrive.
                0 => request.replace("\r\n\r\n", "\r\ncontent-length: 9\r\n\r\n"),
                _ => request,
            };
            send(stream, &request, &answers);
        }
        stop.await.expect("stop the entry");

        // The process exits now. The callers, which share its thread, read what it has written.
        for _ in 0..100 {
            tokio::task::yield_now().await;
        }
        let answers = answers.borrow();
        assert_eq!(answers.len(), sent, "requests without an answer");
        for answer in answers.iter() {
            assert!([503, 504].contains(&status(answer)), "{answer}");
        }
        let refused = answers.iter().filter(|answer| status(answer) == 503);
        // A refusal promises that the request has not run.
        assert_eq!(refused.count(), sent - target.request_count());
    });
}

/// A body that does not fit into the buffers of both sockets.
const LARGE_BODY_BYTES: usize = 8_000_000;

/// Guards against a stop that ends while a complete answer is still being written to a slow caller, long before
/// the end of the grace.
#[test]
fn a_stop_waits_until_answers_are_written() {
    let (addresses, address) = std::sync::mpsc::channel();
    let (stop, stopped) = tokio::sync::oneshot::channel();
    // The connections of the entry close when its thread ends, as when a process exits.
    let entry = std::thread::spawn(move || {
        run(async move {
            let body = "b".repeat(LARGE_BODY_BYTES);
            let target =
                ScriptedTarget::start("engine-1", vec![Step::Send(success("r1", &body))]).await;
            let Harness {
                entry,
                close,
                address,
                ..
            } = start(&target, USUAL_GRACE).await;
            addresses.send(address).expect("the caller waits");
            stopped.await.expect("the caller has the head");
            server::stop(entry, close).await;
        });
    });
    let address = address.recv().expect("the entry has started");
    let mut stream = std::net::TcpStream::connect(address).expect("connect to the entry");
    let sent = stream.write_all(get("safe", "r1").as_bytes());
    sent.expect("send the request");
    let mut first = [0; 1_000];
    stream
        .read_exact(&mut first)
        .expect("the start of the answer");
    stop.send(()).expect("the entry waits");
    // Longer than the entry accepts connections.
    std::thread::sleep(USUAL_GRACE * 2 / 5);
    let mut rest = Vec::new();
    // Fails if the entry closed the connection with unsent bytes.
    let read = stream.read_to_end(&mut rest);
    entry.join().expect("the entry has stopped");
    let head = String::from_utf8_lossy(&first);
    let (head, _) = head.split_once("\r\n\r\n").expect("a whole head");
    let received = first.len() + rest.len() - head.len() - 4;
    assert_eq!((received, read.is_ok()), (LARGE_BODY_BYTES, true));
}
