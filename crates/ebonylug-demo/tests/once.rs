//! Calls that may not be repeated: at most one run for each key, whatever fails.

mod common;

use common::{caller, service_of, small, until};
use ebonylug_demo::{Answer, Caller, Deployment};
use ebonylug_standin::{PlatformFaults, ServiceFaults};
use http::StatusCode;

const ORDER: &str = "{\"bales\":40}";

fn runs(deployment: &Deployment, key: &str) -> u64 {
    service_of(deployment, "orders-1")
        .runs()
        .keys
        .get(key)
        .copied()
        .unwrap_or_default()
}

/// The service counts a call when it arrives, and its key when it is applied at the end.
fn is_running(deployment: &Deployment) -> bool {
    let runs = service_of(deployment, "orders-1").runs();
    runs.total > runs.finished + runs.cancelled
}

fn set_faults(deployment: &Deployment, faults: ServiceFaults) {
    service_of(deployment, "orders-1").set_faults(faults);
}

fn start(caller: Caller, key: &'static str) -> tokio::task::JoinHandle<Answer> {
    tokio::spawn(async move {
        caller
            .once("/orders", key, ORDER)
            .await
            .expect("an answer arrives")
    })
}

fn assert_outcome(answer: &Answer, status: StatusCode, outcome: &str) {
    assert_eq!(answer.status, status, "{}", answer.text());
    assert_eq!(
        answer.header("ebonylug-outcome"),
        Some(outcome),
        "{}",
        answer.text()
    );
}

/// Guards against a call that runs once for each entry that it is sent through (P8).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resends_through_other_entries_get_the_answer_of_the_one_run() {
    let deployment = small().await;
    set_faults(
        &deployment,
        ServiceFaults {
            delay_ms: 300,
            ..ServiceFaults::default()
        },
    );
    let calls = [0, 1, 0, 1].map(|entry| start(caller(&deployment, entry), "order-1"));
    let mut bodies = Vec::new();
    for call in calls {
        let answer = call.await.expect("the caller runs");
        assert_eq!(answer.status, StatusCode::CREATED, "{}", answer.text());
        bodies.push(answer.text());
    }
    bodies.dedup();
    assert_eq!(bodies.len(), 1, "all get the same answer: {bodies:?}");
    assert_eq!(runs(&deployment, "order-1"), 1);
    let later = start(caller(&deployment, 1), "order-1")
        .await
        .expect("the caller runs");
    assert_eq!(later.text(), bodies[0], "the answer is kept in the record");
    assert_eq!(runs(&deployment, "order-1"), 1);
}

/// Guards against a key that is taken for the same call with other content.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_key_stands_for_one_content() {
    let deployment = small().await;
    let answer = start(caller(&deployment, 0), "order-2")
        .await
        .expect("the caller runs");
    assert_eq!(answer.status, StatusCode::CREATED);
    let other = caller(&deployment, 1)
        .once("/orders", "order-2", "{\"bales\":41}")
        .await;
    assert_outcome(
        &other.expect("an answer arrives"),
        StatusCode::UNPROCESSABLE_ENTITY,
        "not-run",
    );
    assert_eq!(runs(&deployment, "order-2"), 1);
}

/// Guards against a call that is run although its record may not be in the table (P7, P8).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn without_the_store_nothing_is_run() {
    let deployment = small().await;
    deployment.platform.set_faults(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    });
    let path = "/services/orders";
    let headers = [("idempotency-key", "order-3"), ("ebonylug-deadline", "0.5")];
    let answer = caller(&deployment, 0)
        .send(http::Method::POST, path, &headers, ORDER)
        .await;
    let answer = answer.expect("an answer arrives");
    assert_outcome(&answer, StatusCode::SERVICE_UNAVAILABLE, "not-run");
    assert_eq!(answer.header("ebonylug-reason"), Some("store"));
    assert_eq!(runs(&deployment, "order-3"), 0);
    deployment.platform.set_faults(PlatformFaults::default());
    let answer = start(caller(&deployment, 1), "order-3")
        .await
        .expect("the caller runs");
    assert_eq!(answer.status, StatusCode::CREATED);
    assert_eq!(runs(&deployment, "order-3"), 1);
}

/// Guards against a call that is lost or doubled when the store's reply is lost after the write.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_lost_reply_of_the_store_is_read_back() {
    let deployment = small().await;
    for (index, lost) in [1, 2, 3].into_iter().enumerate() {
        let key = ["lost-0", "lost-1", "lost-2"][index];
        deployment.platform.set_faults(PlatformFaults {
            drop_responses: lost,
            ..PlatformFaults::default()
        });
        let answer = start(caller(&deployment, 0), key)
            .await
            .expect("the caller runs");
        assert_eq!(answer.status, StatusCode::CREATED, "{}", answer.text());
        assert_eq!(runs(&deployment, key), 1);
    }
}

/// Guards against a call that is run again because its entry died with the answer under way.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_resend_joins_the_attempt_of_a_dead_entry() {
    let mut deployment = small().await;
    set_faults(
        &deployment,
        ServiceFaults {
            delay_ms: 1_500,
            ..ServiceFaults::default()
        },
    );
    let first = {
        let caller = caller(&deployment, 0);
        tokio::spawn(async move { caller.once("/orders", "order-5", ORDER).await })
    };
    until("the call runs", async || is_running(&deployment)).await;
    drop(deployment.entries.remove(0));
    drop(first);
    let answer = start(caller(&deployment, 0), "order-5")
        .await
        .expect("the caller runs");
    assert_eq!(answer.status, StatusCode::CREATED, "{}", answer.text());
    assert_eq!(runs(&deployment, "order-5"), 1);
}

/// Guards against an unknown outcome that is reported as not run, or run again (P7, P8).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_unknown_outcome_stays_unknown() {
    let deployment = small().await;
    set_faults(
        &deployment,
        ServiceFaults {
            crash_after: true,
            ..ServiceFaults::default()
        },
    );
    let answer = start(caller(&deployment, 0), "order-6")
        .await
        .expect("the caller runs");
    assert_outcome(&answer, StatusCode::BAD_GATEWAY, "unknown");
    set_faults(&deployment, ServiceFaults::default());
    until("the service is back", async || {
        caller(&deployment, 1)
            .once("/orders", "order-7", ORDER)
            .await
            .is_ok_and(|answer| answer.status == StatusCode::CREATED)
    })
    .await;
    let again = start(caller(&deployment, 1), "order-6")
        .await
        .expect("the caller runs");
    assert_outcome(&again, StatusCode::BAD_GATEWAY, "unknown");
    assert_eq!(runs(&deployment, "order-6"), 1);
}

/// Guards against a second run after the sidecar that knew of the first has died.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_dead_sidecar_leaves_a_call_unknown() {
    let mut deployment = small().await;
    set_faults(
        &deployment,
        ServiceFaults {
            delay_ms: 1_500,
            ..ServiceFaults::default()
        },
    );
    let first = start(caller(&deployment, 0), "order-8");
    until("the call runs", async || is_running(&deployment)).await;
    let sidecar = deployment
        .nodes
        .get_mut("orders-1")
        .and_then(|node| node.sidecar.take());
    drop(sidecar);
    let first = first.await.expect("the caller runs");
    assert_outcome(&first, StatusCode::BAD_GATEWAY, "unknown");
    let again = start(caller(&deployment, 1), "order-8").await;
    assert_outcome(
        &again.expect("the caller runs"),
        StatusCode::BAD_GATEWAY,
        "unknown",
    );
    assert!(runs(&deployment, "order-8") <= 1);
    assert_eq!(service_of(&deployment, "orders-1").runs().total, 1);
}
