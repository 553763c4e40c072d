//! Responses in which a target hands out one wrong byte in the framing of the body.

mod common;

use common::{
    Harness, ScriptedTarget, Step, chunk, data, event, events, get, run, status, stream_head,
};

const EVENTS: u32 = 4;
const HEAD: &str =
    "HTTP/1.1 200 OK\r\nx-id: r1\r\nx-signature: s\r\ntransfer-encoding: chunked\r\n\r\n";

/// Returns all one-byte changes of the framing in a chunked body: of the size lines and the line endings.
fn spoilt(parts: &[&str]) -> Vec<String> {
    let values = b"0129af\r\n;:x";
    let mut all = Vec::new();
    for changed in 0..=parts.len() {
        let mut before = String::new();
        for part in &parts[..changed] {
            before += &chunk(part);
        }
        let frame = parts
            .get(changed)
            .map_or("0\r\n\r\n".into(), |part| chunk(part));
        let after: String = parts
            .iter()
            .skip(changed + 1)
            .map(|part| chunk(part))
            .collect();
        let last = if changed < parts.len() {
            "0\r\n\r\n"
        } else {
            ""
        };
        let size = frame.find('\n').expect("the end of a size line") + 1;
        for place in (0..size).chain(frame.len() - 2..frame.len()) {
            for &value in values {
                let mut bytes = frame.as_bytes().to_vec();
                bytes[place] = value;
                let frame = String::from_utf8(bytes).expect("ASCII text");
                all.push(format!("{before}{frame}{after}{last}"));
            }
        }
    }
    all
}

fn answer(route: &str, script: Vec<Step>) -> String {
    let mut response = String::new();
    run(async {
        let [first, second] = ScriptedTarget::pair(script).await;
        let harness = Harness::start(&[&first, &second]).await;
        response = harness.call(&get(route, "r1")).await;
    });
    response
}

/// Guards against a body that ends early or has other bytes, and looks whole, after a wrong byte in its framing.
#[test]
fn a_wrong_byte_in_the_chunks_of_a_body_does_not_shorten_it() {
    let parts = ["a: first", "second, longer than 16 bytes", "third"];
    let whole = parts.concat();
    for body in spoilt(&parts) {
        let response = answer("once", vec![Step::Close(HEAD.to_owned() + &body)]);
        let is_whole = response.ends_with(&format!("\r\n\r\n{whole}"));
        let message = format!("{body:?}: {response}");
        assert!(is_whole || status(&response) == 502, "{message}");
    }
}

/// Guards against the same in a stream.
#[test]
fn a_wrong_byte_in_the_chunks_of_a_stream_does_not_shorten_it() {
    let parts: Vec<String> = (1..=EVENTS).map(event).collect();
    // A small event, since only a size of one digit can become zero.
    for route in ["stream", "plainstream"] {
        let parts: Vec<&str> = parts.iter().map(String::as_str).collect();
        let small = ["id: 1\ndata:\n\n", "id: 2\ndata:\n\n", "id: 3\ndata:\n\n"];
        for (parts, whole) in [
            (&parts[..], events(1..=EVENTS)),
            (&small[..], small.concat()),
        ] {
            for body in spoilt(parts) {
                let close = Step::Close(stream_head("r1") + &body);
                let stop =
                    Step::Send("HTTP/1.1 500 Stop\r\nx-id: r1\r\ncontent-length: 0\r\n\r\n".into());
                let response = answer(route, vec![close, stop]);
                let is_whole = data(&response) == whole;
                let looks_whole = status(&response) == 200 && response.ends_with("0\r\n\r\n");
                assert!(is_whole || !looks_whole, "{route}: {body:?}: {response}");
            }
        }
    }
}
