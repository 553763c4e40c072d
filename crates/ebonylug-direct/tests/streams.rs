//! Tests of streaming responses that break, and that resume at another target.

mod common;

use common::{
    Harness, ScriptedTarget, Step, chunk, data, event, events, get, run, status, stream_head,
    wait_until,
};
use ebonylug_direct::EventSplitter;

fn complete_stream(events: std::ops::RangeInclusive<u32>) -> String {
    let chunks: String = events.map(|id| chunk(&event(id))).collect();
    stream_head("r1") + &chunks + "0\r\n\r\n"
}

/// Guards against events that are changed, merged or delayed.
#[test]
fn a_stream_is_forwarded_unchanged() {
    run(async {
        let target =
            ScriptedTarget::start("engine-1", vec![Step::Send(complete_stream(1..=5))]).await;
        let harness = Harness::start(&[&target]).await;
        let response = harness.call(&get("plainstream", "r1")).await;
        assert_eq!(status(&response), 200, "{response}");
        assert_eq!(data(&response), events(1..=5));
        assert!(response.ends_with("0\r\n\r\n"), "{response}");
    });
}

/// Guards against missing or duplicate events when a target closes the connection within an event.
#[test]
fn a_broken_stream_resumes_at_another_target() {
    run(async {
        let partial = stream_head("r1") + &chunk(&events(1..=2)) + &chunk("id: 3\nda");
        let script = vec![Step::Close(partial), Step::Send(complete_stream(3..=5))];
        let [first, second] = ScriptedTarget::pair(script).await;
        let harness = Harness::start(&[&first, &second]).await;
        let response = harness.call(&get("stream", "r1")).await;
        assert_eq!(data(&response), events(1..=5));
        assert!(response.ends_with("0\r\n\r\n"), "{response}");
        assert_eq!((first.request_count(), second.request_count()), (1, 1));
        let resumed = [&first, &second]
            .iter()
            .any(|target| target.requests.borrow()[0].contains("x-last-event: 2\r\n"));
        assert!(
            resumed,
            "the second target did not get the id of the last event"
        );
    });
}

/// Guards against the loss of sound events that arrive together with an invalid one: the stream resumes after
/// the last event that the caller received.
#[test]
fn a_stream_resumes_after_the_last_sound_event_of_a_batch() {
    for (sound, batch) in [(1, 2), (2, 2), (4, 2), (3, 3), (5, 6)] {
        run(async {
            let together = events(sound..=sound + batch - 2) + &event(90);
            let before: String = (1..sound).map(|id| chunk(&event(id))).collect();
            let rest = chunk(&events(sound + batch..=12)) + "0\r\n\r\n";
            let spoilt = stream_head("r1") + &before + &chunk(&together) + &rest;
            let next = sound + batch - 1;
            let script = vec![Step::Close(spoilt), Step::Send(complete_stream(next..=12))];
            let [first, second] = ScriptedTarget::pair(script).await;
            let harness = Harness::start(&[&first, &second]).await;
            let response = harness.call(&get("stream", "r1")).await;
            assert_eq!(data(&response), events(1..=12), "batch of {batch}");
            let header = format!("x-last-event: {}\r\n", next - 1);
            let requests = [&first, &second].map(|target| target.requests.borrow()[0].clone());
            let resumed = requests.iter().any(|request| request.contains(&header));
            assert!(resumed, "batch of {batch}: {requests:?}");
        });
    }
}

/// Guards against an aborted response without its head and the sound events, which arrived at the same time as
/// the invalid one.
#[test]
fn the_sound_events_of_a_broken_stream_reach_the_caller() {
    run(async {
        let batch = chunk(&(events(1..=2) + &event(4)));
        let step = Step::Send(stream_head("r1") + &batch);
        let target = ScriptedTarget::start("engine-1", vec![step]).await;
        let harness = Harness::start(&[&target]).await;
        let response = harness.call(&get("plainstream", "r1")).await;
        assert_eq!(status(&response), 200, "{response}");
        assert_eq!(data(&response), events(1..=2));
        assert!(!response.ends_with("0\r\n\r\n"), "{response}");
    });
}

/// Guards against a first event with a wrong id, which would make the stream resume too far.
#[test]
fn a_stream_starts_with_the_first_event_that_the_caller_lacks() {
    for (name, header, wrong, first) in [
        ("a new stream", "", 9, 1),
        ("a new stream, next id", "", 2, 1),
        ("a new stream, id 0", "", 0, 1),
        ("a resumed stream", "x-last-event: 4\r\n", 1, 5),
        ("a resumed stream, same event", "x-last-event: 4\r\n", 4, 5),
        ("a resumed stream, later event", "x-last-event: 4\r\n", 6, 5),
    ] {
        run(async {
            let rest = chunk(&events(first + 1..=12)) + "0\r\n\r\n";
            let spoilt = stream_head("r1") + &chunk(&event(wrong)) + &rest;
            let script = vec![
                Step::Close(spoilt.clone()),
                Step::Send(complete_stream(first..=12)),
            ];
            let [one, two] = ScriptedTarget::pair(script).await;
            let harness = Harness::start(&[&one, &two]).await;
            let request = get("stream", "r1").replace("x-deadline", &format!("{header}x-deadline"));
            let response = harness.call(&request).await;
            assert_eq!(data(&response), events(first..=12), "{name}");
        });
    }
}

/// Guards against a first event with a wrong id on a route whose streams cannot resume.
#[test]
fn a_stream_that_starts_with_a_wrong_id_and_cannot_resume_is_a_failure() {
    run(async {
        let spoilt = stream_head("r1") + &chunk(&events(9..=9)) + "0\r\n\r\n";
        let target = ScriptedTarget::start("engine-1", vec![Step::Send(spoilt)]).await;
        let harness = Harness::start(&[&target]).await;
        let response = harness.call(&get("plainstream", "r1")).await;
        assert_eq!(status(&response), 502, "{response}");
    });
}

/// Guards against a stream that ends early and looks complete to the caller.
#[test]
fn a_broken_stream_that_cannot_resume_is_aborted() {
    let endings = [
        ("closed connection", chunk(&events(1..=2))),
        (
            "end within an event",
            chunk(&events(1..=2)) + &chunk("id: 3\nda") + "0\r\n\r\n",
        ),
        (
            "missing event",
            chunk(&events(1..=2)) + &chunk(&event(4)) + "0\r\n\r\n",
        ),
        (
            "duplicate event",
            chunk(&events(1..=2)) + &chunk(&event(2)) + "0\r\n\r\n",
        ),
    ];
    for (name, body) in endings {
        run(async {
            let step = Step::Close(stream_head("r1") + &body);
            let target = ScriptedTarget::start("engine-1", vec![step]).await;
            let harness = Harness::start(&[&target]).await;
            let response = harness.call(&get("plainstream", "r1")).await;
            assert!(!response.ends_with("0\r\n\r\n"), "{name}: {response}");
            assert_eq!(target.request_count(), 1, "{name}");
        });
    }
}

/// Guards against a successful response without events when a target closes the connection before the first
/// event.
#[test]
fn a_stream_that_breaks_before_its_first_event_is_a_failure() {
    run(async {
        let target = ScriptedTarget::start("engine-1", vec![Step::Close(stream_head("r1"))]).await;
        let harness = Harness::start(&[&target]).await;
        let response = harness.call(&get("plainstream", "r1")).await;
        assert_eq!(status(&response), 502, "{response}");
    });
}

/// Guards against a stream that ends with its connection and looks complete although its target crashed
/// before the first event or within one.
#[test]
fn a_stream_without_length_or_chunks_is_complete_only_after_an_event() {
    let head = stream_head("r1").replace("transfer-encoding: chunked\r\n", "");
    for (name, body, complete) in [
        ("no event", String::new(), false),
        ("end within an event", events(1..=2) + "id: 3\nda", false),
        ("end after an event", events(1..=2), true),
    ] {
        run(async {
            let step = Step::Close(head.clone() + &body);
            let target = ScriptedTarget::start("engine-1", vec![step]).await;
            let harness = Harness::start(&[&target]).await;
            let response = harness.call(&get("plainstream", "r1")).await;
            assert_eq!(
                response.ends_with("0\r\n\r\n"),
                complete,
                "{name}: {response}"
            );
        });
    }
}

/// Guards against a target that continues to generate events after the caller has disconnected.
#[test]
fn a_stream_is_cancelled_when_the_caller_disconnects() {
    run(async {
        let step = Step::Hang(stream_head("r1") + &chunk(&event(1)));
        let target = ScriptedTarget::start("engine-1", vec![step]).await;
        let harness = Harness::start(&[&target]).await;
        let mut stream = harness.connect().await;
        let request = get("stream", "r1");
        tokio::io::AsyncWriteExt::write_all(&mut stream, request.as_bytes())
            .await
            .expect("send the request");
        wait_until("the request arrives", || target.request_count() == 1).await;
        let mut byte = [0];
        let read = tokio::io::AsyncReadExt::read(&mut stream, &mut byte).await;
        assert_eq!(read.ok(), Some(1), "the first byte of the response");
        drop(stream);
        wait_until("the entry closes the connection to the target", || {
            target.disconnects.get() == 1
        })
        .await;
    });
}

/// Guards against a splitter whose result depends on the boundaries of the received parts.
#[test]
fn the_splitter_returns_whole_events_for_any_part_size() {
    let text = events(1..=4) + "id: 5\nda";
    for size in 1..text.len() {
        let mut splitter = EventSplitter::default();
        let mut out = String::new();
        for part in text.as_bytes().chunks(size) {
            if let Some(whole) = splitter.push(bytes::Bytes::copy_from_slice(part)) {
                assert!(whole.ends_with(b"\n\n"), "parts of {size} bytes");
                out += std::str::from_utf8(&whole).expect("UTF-8 events");
            }
        }
        assert_eq!(out, events(1..=4), "parts of {size} bytes");
        assert!(!splitter.is_empty());
    }
}
