//! Tests for the response buffer between its writer and its readers.

use std::sync::Arc;

use bytes::Bytes;
use ebonylug_sidecar::response::ResponseBuffer;
use futures_util::StreamExt;

/// Guards against keep-alive frames for an attempt whose task was dropped. They made an entry wait
/// forever when a sidecar died while its HTTP server still held the connection.
#[tokio::test(start_paused = true)]
async fn readers_end_when_the_writer_is_dropped() {
    let response = Arc::new(ResponseBuffer::new());
    let writer = response.writer();
    let mut frames = Box::pin(
        Arc::clone(&response)
            .frames(0)
            .expect("nothing was dropped"),
    );
    response.push(Bytes::from_static(b"part")).await;
    assert!(frames.next().await.is_some(), "the part is received");
    assert!(
        frames.next().await.is_some(),
        "a keep-alive frame is received while the writer exists"
    );
    drop(writer);
    assert!(
        frames.next().await.is_none(),
        "the stream ends without a tail frame"
    );
}
