//! Targets that write an earlier answer once more on a kept connection.

mod common;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use common::{Harness, get, read_message, response, run, status, success, unreachable_target};
use ebonylug_core::Name;
use ebonylug_dispatch::Target;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

/// When a target writes the copy of its first answer on a connection.
#[derive(Clone, Copy, Debug)]
enum Copy {
    /// Behind the answer itself.
    AtOnce,
    /// Where the next answer is due.
    Late,
}

/// A target that does not run the first request, and writes its answer to it twice.
struct CopyingTarget {
    address: SocketAddr,
    /// The ids of the requests that ran.
    ran: Rc<RefCell<Vec<String>>>,
}

impl CopyingTarget {
    async fn start(first: String, copy: Copy) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("local address");
        let ran: Rc<RefCell<Vec<String>>> = Rc::default();
        let target = CopyingTarget {
            address,
            ran: Rc::clone(&ran),
        };
        tokio::task::spawn_local(async move {
            let mut first = Some(first);
            loop {
                let (stream, _) = listener.accept().await.expect("accept a connection");
                tokio::task::spawn_local(serve(stream, first.take(), copy, Rc::clone(&ran)));
            }
        });
        target
    }
}

/// Answers the requests of a connection. Only the first answer of the first connection comes twice.
async fn serve(
    mut stream: TcpStream,
    mut first: Option<String>,
    copy: Copy,
    ran: Rc<RefCell<Vec<String>>>,
) {
    let mut late = String::new();
    while let Some(request) = read_message(&mut stream).await {
        let answer = if let Some(first) = first.take() {
            match copy {
                Copy::AtOnce => first.repeat(2),
                Copy::Late => {
                    late.clone_from(&first);
                    first
                }
            }
        } else {
            let id = request.lines().find_map(|line| line.strip_prefix("x-id: "));
            let id = id.expect("the id of the request");
            ran.borrow_mut().push(id.to_owned());
            std::mem::take(&mut late) + &success(id, &format!("answer to {id}"))
        };
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Guards against a refusal, an error or an answer that belongs to an earlier request on the connection.
#[test]
fn a_copy_of_an_earlier_answer_is_not_the_answer_to_the_next_request() {
    let statuses = [
        "200 OK",
        "204 No Content",
        "400 Bad Request",
        "404 Not Found",
        "408 Request Timeout",
        "413 Too Large",
        "421 Misdirected Request",
        "429 Too Many Requests",
        "500 Internal Server Error",
        "502 Bad Gateway",
        "503 Service Unavailable",
        "504 Gateway Timeout",
    ];
    for code in statuses {
        for not_run in ["x-not-run: 1\r\n", ""] {
            for signature in ["x-signature: s\r\n", ""] {
                for id in ["x-id: r1\r\n", ""] {
                    for copy in [Copy::AtOnce, Copy::Late] {
                        let first = response("r1", code, &format!("{not_run}{signature}"), "first");
                        let first = first.replace("x-id: r1\r\n", id);
                        check(&first, copy);
                    }
                }
            }
        }
    }
}

fn check(first: &str, copy: Copy) {
    for route in ["once", "safe"] {
        run(check_route(first, copy, route));
    }
}

async fn check_route(first: &str, copy: Copy, route: &str) {
    let target = CopyingTarget::start(first.to_owned(), copy).await;
    let harness = Harness::start(&[]).await;
    harness.entry.set_targets(vec![Target {
        address: target.address,
        name: Name::new("engine-1"),
        ..unreachable_target()
    }]);
    harness.call(&get("once", "r1")).await;
    let second = harness.call(&get(route, "r2")).await;
    let message = format!("{route}, {copy:?}: {first:?}: {second}");
    let has_run = target.ran.borrow().iter().any(|id| id == "r2");
    let is_promise = [408, 421, 429, 503].contains(&status(&second));
    assert!(!(has_run && is_promise), "{message}");
    let is_own = second.ends_with("\r\n\r\nanswer to r2");
    assert!(is_own || status(&second) == 502, "{message}");
}
