//! Targets whose responses carry numbers that no clock can add.

mod common;

use common::{Harness, ScriptedTarget, Step, get, response, run, status};

/// Guards against a caller who gets no answer, and against an entry whose periodic work ends, because a header
/// of a target overflows a time.
#[test]
fn numbers_that_are_too_large_do_not_matter() {
    let headers = [
        "keep-alive: timeout=18446744073709551615",
        "keep-alive: timeout=99999999999999999999",
        "x-cold: 18446744073709551615",
        "x-cold: -1",
        "x-limit: 1e308",
        "x-limit: 1e-308",
        "x-limit: 1e999",
    ];
    for header in headers {
        run(async move {
            let extra = format!("x-signature: s\r\n{header}\r\n");
            let steps = vec![Step::Send(response("r1", "200 OK", &extra, "body"))];
            let target = ScriptedTarget::start("engine-1", steps).await;
            let harness = Harness::start(&[&target]).await;
            let answer = harness.call(&get("safe", "r1")).await;
            assert_eq!(status(&answer), 200, "{header}: {answer}");
            harness.entry.tick();
        });
    }
}
