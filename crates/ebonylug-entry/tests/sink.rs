//! Tests for the parts of a response that reach the caller when another attempt continues it.

use std::time::{Duration, Instant};

use bytes::Bytes;
use ebonylug_entry::sink::{ResponsePart, Sink};
use ebonylug_net::frame::Head;
use tokio::sync::mpsc;

fn head(status: u16, content_type: &str) -> Head {
    Head {
        status,
        headers: vec![("content-type".into(), content_type.into())],
    }
}

/// Returns the parts that a caller gets of a stream that is preempted after an event and continued with `next`.
async fn continued(next: Head) -> Vec<ResponsePart> {
    let (sender, mut parts) = mpsc::channel(8);
    let mut sink = Sink::new(sender, true, Duration::from_secs(1));
    let now = Instant::now();
    let first = head(200, "text/event-stream");
    for (head, data) in [(first, "data: 1\n\n"), (next, "data: 2\n\n")] {
        sink.start_attempt(now);
        sink.send_head(head).await.expect("the caller reads");
        let data = Bytes::from_static(data.as_bytes());
        sink.send_data(now, data).await.expect("the caller reads");
        assert!(sink.reset(true));
    }
    sink.finish(ResponsePart::End).await;
    drop(sink);
    let mut received = Vec::new();
    while let Some(part) = parts.recv().await {
        received.push(part);
    }
    received
}

/// Guards against the text of an error in the middle of a stream, which ends as complete.
#[tokio::test]
async fn an_error_does_not_continue_a_preempted_stream() {
    let first = [
        ResponsePart::Head(head(200, "text/event-stream")),
        ResponsePart::Data(Bytes::from_static(b"data: 1\n\n")),
    ];
    for next in [
        head(500, "text/plain"),
        head(503, "text/event-stream"),
        head(204, "text/event-stream"),
        head(200, "text/plain"),
    ] {
        let parts = continued(next.clone()).await;
        assert_eq!(parts[..2], first, "{next:?}");
        assert_eq!(parts[2..], [ResponsePart::Failed], "{next:?}");
    }
    let parts = continued(head(200, "text/event-stream; charset=utf-8")).await;
    let rest = Bytes::from_static(b"data: 2\n\n");
    assert_eq!(parts[2..], [ResponsePart::Data(rest), ResponsePart::End]);
}
