//! Targets that answer before they have read a long request, and break off.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::{
    Harness, ScriptedTarget, Step, TIMEOUT, chunk, config, event, read_response, run, status,
};
use ebonylug_core::Name;
use ebonylug_direct::Bounds;
use ebonylug_dispatch::Target;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpSocket;

/// Size of a request's body, which is more than the sockets buffer.
const UPLOAD_BYTES: usize = 12 << 20;
/// Receive buffer of the target, in bytes.
const RECEIVE_BYTES: u32 = 4 << 10;

/// How a target ends an answer that it sends early.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// It resets the connection at once.
    ResetAtOnce,
    /// It resets the connection when the answer has arrived.
    Reset,
    /// It sends the end of its side, then resets the connection.
    FinReset,
    /// It sends the end of its side and reads on.
    FinRead,
}

/// Starts a target that sends an answer when it has read the head of a request, and ends it early.
async fn start_target(answer: String, end: End) -> SocketAddr {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket
        .set_recv_buffer_size(RECEIVE_BYTES)
        .expect("set the receive buffer");
    socket
        .bind("127.0.0.1:0".parse().expect("an address"))
        .expect("a free port");
    let listener = socket.listen(16).expect("listen");
    let address = listener.local_addr().expect("local address");
    tokio::task::spawn_local(async move {
        loop {
            let (mut stream, _) = listener.accept().await.expect("accept a connection");
            let answer = answer.clone();
            tokio::task::spawn_local(async move {
                let mut byte = [0; 1024];
                let _ = stream.read(&mut byte).await;
                let _ = stream.write_all(answer.as_bytes()).await;
                if end != End::ResetAtOnce {
                    tokio::time::sleep(Duration::from_millis(30)).await;
                }
                if matches!(end, End::FinReset | End::FinRead) {
                    let _ = stream.shutdown().await;
                    tokio::time::sleep(Duration::from_millis(30)).await;
                }
                if end == End::FinRead {
                    let mut sink = vec![0; 1 << 20];
                    while matches!(stream.read(&mut sink).await, Ok(1..)) {}
                }
                socket2::SockRef::from(&stream)
                    .set_linger(Some(Duration::ZERO))
                    .expect("reset at the close");
            });
        }
    });
    address
}

/// Sends a long request on a route, and returns the response.
async fn upload(address: SocketAddr, route: &str) -> String {
    let harness = Harness::unconfigured().await;
    let mut config = config(1, None);
    config.limits.max_body_bytes = UPLOAD_BYTES;
    harness.entry.apply_config(config);
    harness.entry.confirm_config(Duration::from_secs(100));
    harness.entry.set_bounds(Bounds {
        body_memory: 4 * UPLOAD_BYTES,
        ..harness.bounds
    });
    let unused = ScriptedTarget::start("engine-1", vec![Step::Send(String::new())]).await;
    harness.entry.set_targets(vec![Target {
        name: Name::new("engine-1"),
        address,
        ..unused.target()
    }]);
    let mut stream = harness.connect().await;
    let head = format!(
        "POST /{route}/1 HTTP/1.1\r\nhost: mill.example\r\nx-id: r1\r\nx-deadline: 1500\r\n\
         authorization: Bearer key-1\r\ncontent-length: {UPLOAD_BYTES}\r\n\r\n"
    );
    let send = async {
        stream.write_all(head.as_bytes()).await?;
        stream.write_all(&vec![b'u'; UPLOAD_BYTES]).await
    };
    tokio::time::timeout(TIMEOUT, send)
        .await
        .expect("the entry reads the request")
        .expect("send the request");
    read_response(&mut stream).await
}

const SIGNED: &str = "HTTP/1.1 200 OK\r\nx-id: r1\r\nx-signature: s\r\n";

/// Guards against a part of an answer that looks whole to the caller: an answer without a length ended by a reset,
/// or before its target had read the request.
#[test]
fn an_early_answer_without_length_that_breaks_off_is_not_complete() {
    let body = format!("{SIGNED}\r\npart of the answer");
    let stream = format!(
        "{SIGNED}content-type: text/event-stream\r\n\r\n{}",
        event(1)
    );
    for end in [End::ResetAtOnce, End::Reset, End::FinReset, End::FinRead] {
        for (route, answer) in [
            ("once", &body),
            ("safe", &body),
            ("stream", &stream),
            ("plainstream", &stream),
        ] {
            run(async {
                let target = start_target(answer.clone(), end).await;
                let response = upload(target, route).await;
                let is_complete = match route.ends_with("stream") {
                    true => response.ends_with("0\r\n\r\n"),
                    false => status(&response) == 200,
                };
                assert!(!is_complete, "{route}, {end:?}: {response}");
                assert!(
                    ![408, 421, 429, 503].contains(&status(&response)),
                    "{route}, {end:?}: {response}"
                );
            });
        }
    }
}

/// Guards against the loss of an early answer that states where it ends.
#[test]
fn an_early_answer_with_a_length_is_complete() {
    let body = format!("{SIGNED}content-length: 4\r\n\r\nbody");
    let chunks = chunk(&event(1));
    let stream = format!("{SIGNED}transfer-encoding: chunked\r\n\r\n{chunks}0\r\n\r\n");
    for (route, answer) in [("once", body), ("plainstream", stream)] {
        run(async {
            let target = start_target(answer, End::Reset).await;
            let response = upload(target, route).await;
            assert_eq!(status(&response), 200, "{route}: {response}");
        });
    }
}
