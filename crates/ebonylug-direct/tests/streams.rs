//! Streams that break, and go on at another target.

mod common;

use common::{Act, Scripted, World, chunk, event, get, run, status, stream_head, until};
use ebonylug_direct::EventSplitter;

fn whole(events: std::ops::RangeInclusive<u32>) -> String {
    let chunks: String = events.map(|id| chunk(&event(id))).collect();
    stream_head("r1") + &chunks + "0\r\n\r\n"
}

/// Returns the data of an answer in chunks.
fn data(answer: &str) -> String {
    let mut rest = answer.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    let mut data = String::new();
    while let Some((size, after)) = rest.split_once("\r\n") {
        let size = usize::from_str_radix(size, 16).expect("a chunk's size");
        if size == 0 || after.len() < size {
            break;
        }
        data += &after[..size];
        rest = after[size..].strip_prefix("\r\n").unwrap_or("");
    }
    data
}

fn events(ids: std::ops::RangeInclusive<u32>) -> String {
    ids.map(event).collect()
}

/// Guards against events that are changed, joined or held back.
#[test]
fn a_stream_is_passed_on() {
    run(async {
        let target = Scripted::start("engine-1", vec![Act::Send(whole(1..=5))]).await;
        let world = World::start(&[&target]).await;
        let answer = world.call(&get("plainstream", "r1")).await;
        assert_eq!(status(&answer), 200, "{answer}");
        assert_eq!(data(&answer), events(1..=5));
        assert!(answer.ends_with("0\r\n\r\n"), "{answer}");
    });
}

/// Guards against events that are missing or come twice when a target breaks off in the middle of one.
#[test]
fn a_broken_stream_goes_on_at_another_target() {
    run(async {
        let part = stream_head("r1") + &chunk(&events(1..=2)) + &chunk("id: 3\nda");
        let script = vec![Act::Close(part), Act::Send(whole(3..=5))];
        let [first, second] = Scripted::pair(script).await;
        let world = World::start(&[&first, &second]).await;
        let answer = world.call(&get("stream", "r1")).await;
        assert_eq!(data(&answer), events(1..=5));
        assert!(answer.ends_with("0\r\n\r\n"), "{answer}");
        assert_eq!((first.count(), second.count()), (1, 1));
        let resumed = [&first, &second]
            .iter()
            .any(|target| target.seen.borrow()[0].contains("x-last-event: 2\r\n"));
        assert!(resumed, "the second target does not know where to go on");
    });
}

/// Guards against a stream that ends early and looks whole.
#[test]
fn a_stream_that_cannot_be_resumed_breaks_off() {
    let endings = [
        ("closed", chunk(&events(1..=2))),
        (
            "ends within an event",
            chunk(&events(1..=2)) + &chunk("id: 3\nda") + "0\r\n\r\n",
        ),
        (
            "a gap",
            chunk(&events(1..=2)) + &chunk(&event(4)) + "0\r\n\r\n",
        ),
        (
            "an event twice",
            chunk(&events(1..=2)) + &chunk(&event(2)) + "0\r\n\r\n",
        ),
    ];
    for (name, body) in endings {
        run(async {
            let act = Act::Close(stream_head("r1") + &body);
            let target = Scripted::start("engine-1", vec![act]).await;
            let world = World::start(&[&target]).await;
            let answer = world.call(&get("plainstream", "r1")).await;
            assert!(!answer.ends_with("0\r\n\r\n"), "{name}: {answer}");
            assert_eq!(target.count(), 1, "{name}");
        });
    }
}

/// Guards against a success without any event when a target breaks before its first one.
#[test]
fn a_stream_that_breaks_before_its_first_event_is_a_failure() {
    run(async {
        let target = Scripted::start("engine-1", vec![Act::Close(stream_head("r1"))]).await;
        let world = World::start(&[&target]).await;
        let answer = world.call(&get("plainstream", "r1")).await;
        assert_eq!(status(&answer), 502, "{answer}");
    });
}

/// Guards against a target that goes on generating for a caller who left in the middle.
#[test]
fn a_stream_is_cancelled_when_the_caller_leaves() {
    run(async {
        let act = Act::Hang(stream_head("r1") + &chunk(&event(1)));
        let target = Scripted::start("engine-1", vec![act]).await;
        let world = World::start(&[&target]).await;
        let mut stream = world.connect().await;
        let request = get("stream", "r1");
        tokio::io::AsyncWriteExt::write_all(&mut stream, request.as_bytes())
            .await
            .expect("the entry reads");
        until("the request arrives", || target.count() == 1).await;
        let mut byte = [0];
        let read = tokio::io::AsyncReadExt::read(&mut stream, &mut byte).await;
        assert_eq!(read.ok(), Some(1), "the answer has begun");
        drop(stream);
        until("the target is left", || target.left.get() == 1).await;
    });
}

/// Guards against a splitter that depends on how the bytes are cut.
#[test]
fn the_splitter_gives_whole_events_for_any_cut() {
    let text = events(1..=4) + "id: 5\nda";
    for size in 1..text.len() {
        let mut splitter = EventSplitter::default();
        let mut out = String::new();
        for part in text.as_bytes().chunks(size) {
            if let Some(whole) = splitter.push(bytes::Bytes::copy_from_slice(part)) {
                assert!(whole.ends_with(b"\n\n"), "cut at {size}");
                out += std::str::from_utf8(&whole).expect("text");
            }
        }
        assert_eq!(out, events(1..=4), "cut at {size}");
        assert!(!splitter.is_empty());
    }
}
