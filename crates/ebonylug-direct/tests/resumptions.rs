//! Streams that broke off, whose next target does not go on with them.

mod common;

use common::{
    Harness, ScriptedTarget, Step, chunk, data, event, events, get, run, status, stream_head,
};

/// Events that the caller has before the stream breaks off.
const BEFORE: u32 = 3;
/// Events of the whole stream.
const EVENTS: u32 = 5;

const SIGNED: &str = "x-id: r1\r\nx-signature: s\r\n";

/// Statuses that do not go on with a stream that has begun with 200.
const STATUSES: [&str; 27] = [
    "201 Created",
    "202 Accepted",
    "203 Other",
    "204 None",
    "205 Reset",
    "206 Partial",
    "299 Odd",
    "300 Choice",
    "302 Found",
    "304 Same",
    "400 Bad",
    "404 None",
    "408 Late",
    "410 Gone",
    "421 Wrong",
    "429 Many",
    "431 Large",
    "500 Failed",
    "501 None",
    "502 Bad",
    "503 Full",
    "504 Late",
    "599 Odd",
    "600 Odd",
    "999 Odd",
    "000 None",
    "101 Switch",
];

/// Returns the response to a request whose first target breaks off after some events, and whose second one sends
/// these bytes and closes the connection.
async fn resume_with(bytes: String) -> String {
    let first = stream_head("r1") + &chunk(&events(1..=BEFORE)) + &chunk("id: 4\nda");
    let script = vec![Step::Close(first), Step::Close(bytes)];
    let [first, second] = ScriptedTarget::pair(script).await;
    let harness = Harness::start(&[&first, &second]).await;
    let response = harness.call(&get("stream", "r1")).await;
    assert_eq!(first.request_count() + second.request_count(), 2);
    response
}

/// Returns a body in each framing: with a length, with chunks and until the connection is closed.
fn framings(body: &str) -> [String; 3] {
    [
        format!("content-length: {}\r\n\r\n{body}", body.len()),
        match body {
            "" => "transfer-encoding: chunked\r\n\r\n0\r\n\r\n".to_owned(),
            _ => format!("transfer-encoding: chunked\r\n\r\n{}0\r\n\r\n", chunk(body)),
        },
        format!("\r\n{body}"),
    ]
}

/// Guards against an error in the middle of a stream, and against a stream that ends as complete with it.
#[test]
fn an_error_of_the_next_target_does_not_reach_the_stream() {
    let rest = events(BEFORE + 1..=EVENTS);
    let event_stream = "content-type: text/event-stream\r\n";
    for code in STATUSES {
        for body in ["", "failed\n\n", rest.as_str()] {
            for framed in framings(body) {
                check(&format!("{code}\r\n{SIGNED}{event_stream}{framed}"));
            }
        }
        for kind in ["", "content-type: text/plain\r\n"] {
            for extra in ["", "x-not-run: 1\r\n"] {
                for framed in framings("failed\n") {
                    check(&format!("{code}\r\n{SIGNED}{extra}{kind}{framed}"));
                }
            }
        }
    }
}

/// Guards against the same from a target that answers 200.
#[test]
fn a_success_that_is_not_the_rest_does_not_reach_the_stream() {
    let head = format!("200 OK\r\n{SIGNED}");
    let kinds = [
        "content-type: text/event-stream\r\n",
        "content-type: text/plain\r\n",
        "",
    ];
    let bodies = [
        "failed\n\n".to_owned(),
        "{\"error\": \"failed\"}\n\n".to_owned(),
        "data: failed\n\n".to_owned(),
        format!("id: {}\n\n", BEFORE + 1),
        "HTTP/1.1 500 Failed\r\n\r\n\n\n".to_owned(),
        event(1),
        event(BEFORE),
        event(BEFORE + 2),
    ];
    for kind in kinds {
        for body in &bodies {
            for framed in framings(body) {
                check(&format!("{head}{kind}{framed}"));
            }
        }
    }
    // The rest as another type, and the end of a connection in place of the rest.
    for framed in framings(&events(BEFORE + 1..=EVENTS)) {
        check(&format!("{head}content-type: text/plain\r\n{framed}"));
    }
    check(&format!("{head}{}\r\n", kinds[0]));
}

/// Guards against a stream whose last event has arrived and that is broken off because nothing is left.
#[test]
fn a_stream_whose_end_is_missing_is_completed_by_an_empty_rest() {
    run(async {
        let response = resume_with(stream_head("r1") + "0\r\n\r\n").await;
        assert_eq!(data(&response), events(1..=BEFORE));
        assert!(response.ends_with("0\r\n\r\n"), "{response}");
    });
}

/// Guards against a stream that is broken off because the next target writes its type in another way.
#[test]
fn parameters_of_the_media_type_do_not_matter() {
    run(async {
        let rest = chunk(&events(BEFORE + 1..=EVENTS)) + "0\r\n\r\n";
        let head = stream_head("r1").replace("event-stream", "Event-Stream; charset=utf-8");
        let response = resume_with(head + &rest).await;
        assert_eq!(data(&response), events(1..=EVENTS));
    });
}

/// Checks that the caller gets the events before, and a stream that does not look complete.
fn check(answer: &str) {
    run(async {
        let response = resume_with(format!("HTTP/1.1 {answer}")).await;
        let message = format!("{answer:?}: {response}");
        assert_eq!(status(&response), 200, "{message}");
        assert_eq!(data(&response), events(1..=BEFORE), "{message}");
        assert!(!response.ends_with("0\r\n\r\n"), "{message}");
    });
}
