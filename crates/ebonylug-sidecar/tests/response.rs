//! Answers between the task that writes them and the entries that read them.

use std::sync::Arc;

use bytes::Bytes;
use ebonylug_sidecar::response::ResponseBuffer;
use futures_util::StreamExt;

/// Guards against keep-alives for an attempt whose task is gone, which made an entry wait without end
/// when a sidecar died but its HTTP server still had the connection.
#[tokio::test(start_paused = true)]
async fn readers_end_when_the_writer_is_dropped() {
    let answer = Arc::new(ResponseBuffer::new());
    let writer = answer.writer();
    let mut frames = Box::pin(Arc::clone(&answer).frames(0).expect("nothing was dropped"));
    answer.push(Bytes::from_static(b"part")).await;
    assert!(frames.next().await.is_some(), "the part is read");
    assert!(
        frames.next().await.is_some(),
        "a keep-alive is read while the writer lives"
    );
    drop(writer);
    assert!(
        frames.next().await.is_none(),
        "the answer ends without an end frame"
    );
}
