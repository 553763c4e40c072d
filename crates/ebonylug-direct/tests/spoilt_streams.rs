//! Streams in which a target hands out one wrong byte, at each place and with several values.

mod common;

use common::{
    Harness, ScriptedTarget, Step, chunk, data, event, events, get, run, status, stream_head,
};

/// Events of the stream.
const EVENTS: u32 = 5;

/// The wrong values of a byte: each with one wrong bit, and those that have a meaning in a stream.
fn wrong_values(byte: u8) -> Vec<u8> {
    let flipped = (0..7).map(|bit| byte ^ 1 << bit);
    let mut values: Vec<u8> = flipped.chain(*b"\n\r: 0x").collect();
    values.sort_unstable();
    values.dedup();
    values.retain(|&value| value != byte);
    values
}

/// Replaces one byte of ASCII text.
fn spoil(text: &str, place: usize, value: u8) -> String {
    let mut bytes = text.as_bytes().to_vec();
    bytes[place] = value;
    String::from_utf8(bytes).expect("ASCII text")
}

/// Sends a request to a target whose stream is spoilt and which then closes the connection, and to another one
/// that resumes after the events before `spoilt`. Checks that the response is the whole stream, or does not look
/// complete.
fn check(name: &str, body: String, spoilt: u32) {
    run(check_response(name, body, spoilt));
}

async fn check_response(name: &str, body: String, spoilt: u32) {
    let rest: String = (spoilt..=EVENTS).map(|id| chunk(&event(id))).collect();
    let script = vec![
        Step::Close(stream_head("r1") + &body),
        Step::Send(stream_head("r1") + &rest + "0\r\n\r\n"),
    ];
    let [first, second] = ScriptedTarget::pair(script).await;
    let harness = Harness::start(&[&first, &second]).await;
    let response = harness.call(&get("stream", "r1")).await;
    let is_whole = data(&response) == events(1..=EVENTS);
    let looks_whole = status(&response) == 200 && response.ends_with("0\r\n\r\n");
    assert!(is_whole || !looks_whole, "{name}: {body:?}: {response}");
    assert!(is_whole, "{name}: {body:?} was not resumed: {response}");
}

/// Guards against events that reach the caller merged, without their id or data, or twice, after a wrong byte in
/// an event other than in its data.
#[test]
fn a_wrong_byte_in_an_event_does_not_reach_the_caller() {
    for together in [1, 2, EVENTS] {
        for spoilt in [1, 3, EVENTS] {
            let text = event(spoilt);
            let payload = text.find("piece").expect("the data");
            for (place, byte) in text.bytes().enumerate() {
                // The data may be any text, but a line ending in it ends its field.
                let in_data = (payload - 1..text.len() - 2).contains(&place);
                let last = text.len() - 3;
                let mut values = wrong_values(byte);
                values.retain(|&value| !in_data || (value == b'\n' && place != last));
                // How many events arrive together matters for what is forwarded, not for what is detected.
                values.retain(|value| together == 1 || b"\n:0".contains(value));
                for value in values {
                    let body = stream_with(spoilt, &spoil(&text, place, value), together);
                    let name = format!("event {spoilt}, byte {place}, {together} together");
                    check(&name, body, spoilt);
                }
            }
        }
    }
}

/// Returns the chunks of a stream with one changed event, so many events in a chunk.
fn stream_with(changed: u32, text: &str, together: u32) -> String {
    let all: Vec<String> = (1..=EVENTS)
        .map(|id| match id == changed {
            true => text.to_owned(),
            false => event(id),
        })
        .collect();
    let chunks = all.chunks(together as usize);
    let chunks: String = chunks.map(|events| chunk(&events.concat())).collect();
    chunks + "0\r\n\r\n"
}
