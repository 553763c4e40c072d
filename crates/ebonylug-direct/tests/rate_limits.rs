//! Limits that targets name in their responses.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{Harness, ScriptedTarget, Step, config, get, response, run, status};
use ebonylug_core::ManualClock;

/// Returns a signed response of a target that accepts one request per second.
fn limited() -> Step {
    Step::Send(response(
        "r1",
        "200 OK",
        "x-signature: s\r\nx-limit: 1.0\r\n",
        "a",
    ))
}

/// Starts an entry whose time a test sets, with two targets.
async fn start(clock: &Arc<ManualClock>, targets: [&ScriptedTarget; 2]) -> Harness {
    let harness = Harness::with_clock("entry-1", clock.clone()).await;
    harness.entry.apply_config(config(1, None));
    harness.entry.confirm_config(Duration::from_secs(100));
    harness
        .entry
        .set_targets(targets.map(ScriptedTarget::target).into());
    harness
}

/// Guards against a target that gets many times the requests per second that it says it accepts.
#[test]
fn a_target_gets_no_more_requests_than_the_limit_that_it_names() {
    run(async {
        let clock = Arc::new(ManualClock::new());
        let limited = ScriptedTarget::start("engine-1", vec![limited()]).await;
        let other = Step::Send(response("r1", "200 OK", "x-signature: s\r\n", "a"));
        let other = ScriptedTarget::start("engine-2", vec![other]).await;
        let harness = start(&clock, [&limited, &other]).await;
        // Fifteen requests a second for four seconds, after the target has named its limit.
        while limited.request_count() == 0 {
            assert_eq!(status(&harness.call(&get("safe", "r1")).await), 200);
        }
        for _ in 0..60 {
            clock.advance(Duration::from_secs(4) / 60);
            assert_eq!(status(&harness.call(&get("safe", "r1")).await), 200);
        }
        let count = limited.request_count() - 1;
        assert!(count <= 4, "{count} requests in 4 s");
        assert!(
            count >= 2,
            "the target is hardly used: {count} requests in 4 s"
        );
    });
}
