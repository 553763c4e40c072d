//! Targets that say in their responses that they leave, or that they want no requests for a time.

mod common;

use common::{
    Harness, ScriptedTarget, Step, get, response, run, status, stream_head, success,
    tick_periodically,
};

/// Guards against requests to a target that has said in any of its responses that it leaves.
#[test]
fn a_target_that_leaves_gets_no_more_requests() {
    let signed = "x-signature: s\r\nx-leaving: 1\r\n";
    let stream = stream_head("r1").replace("x-id", "x-leaving: 1\r\nx-id");
    let cases = [
        ("safe", response("r1", "200 OK", signed, "body")),
        ("once", response("r1", "500 Failed", signed, "body")),
        (
            "once",
            response("r1", "503 Full", "x-not-run: 1\r\nx-leaving: 1\r\n", ""),
        ),
        ("stream", format!("{stream}0\r\n\r\n")),
        ("plainstream", stream),
    ];
    for (route, answer) in cases {
        run(async move {
            let text = answer.clone();
            let target = ScriptedTarget::start("engine-1", vec![Step::Close(answer)]).await;
            let harness = Harness::start(&[&target]).await;
            harness.call(&get(route, "r1")).await;
            let sent = target.request_count();
            let next = harness.call(&get("safe", "r2")).await;
            assert_eq!(status(&next), 503, "{text}");
            assert_eq!(target.request_count(), sent, "{text}");
        });
    }
}

/// Guards against targets that are taken out of use by a response that belongs to another request, and by other
/// values of the header.
#[test]
fn other_responses_do_not_make_a_target_leave() {
    let signed = |value| format!("x-signature: s\r\nx-leaving: {value}\r\n");
    let cases = [
        response("other", "200 OK", &signed("1"), "body"),
        response("r1", "200 OK", &signed("0"), "body"),
        response("r1", "200 OK", &signed("yes"), "body"),
    ];
    for answer in cases {
        run(async move {
            let steps = vec![Step::Close(answer), Step::Send(success("r2", "body"))];
            let target = ScriptedTarget::start("engine-1", steps).await;
            let harness = Harness::start(&[&target]).await;
            harness.call(&get("once", "r1")).await;
            let next = harness.call(&get("safe", "r2")).await;
            assert_eq!(status(&next), 200);
        });
    }
}

/// Guards against requests to a target that has asked for a pause, and against odd values that stop a target or
/// an entry.
#[test]
fn a_target_that_wants_a_pause_gets_no_requests_meanwhile() {
    let cases = [
        ("retry-after: 30\r\n", true),
        ("retry-after: 0.9\r\n", true),
        ("retry-after: 1e300\r\n", true),
        ("retry-after: 0\r\nretry-after: 30\r\n", true),
        ("", false),
        ("retry-after: 0\r\n", false),
        ("retry-after: -5\r\n", false),
        ("retry-after: NaN\r\n", false),
        ("retry-after: soon\r\n", false),
        ("retry-after: Fri, 31 Dec 2027 23:59:59 GMT\r\n", false),
    ];
    for (header, paused) in cases {
        run(async move {
            let refusal = format!("x-not-run: 1\r\n{header}");
            let steps = vec![
                Step::Send(response("r1", "503 Full", &refusal, "")),
                Step::Send(success("r2", "body")),
            ];
            let target = ScriptedTarget::start("engine-1", steps).await;
            let harness = Harness::start(&[&target]).await;
            let refused = harness.call(&get("once", "r1")).await;
            assert_eq!(status(&refused), 503, "{header}");
            let ticker = tick_periodically(&harness.entry);
            let next = harness.call(&get("safe", "r2")).await;
            ticker.abort();
            // A request waits for a target whose pause is short.
            let expected = if !paused || header.contains("0.9") {
                200
            } else {
                503
            };
            assert_eq!(status(&next), expected, "{header}: {next}");
            let count = if expected == 200 { 2 } else { 1 };
            assert_eq!(target.request_count(), count, "{header}");
        });
    }
}
