//! Non-idempotent calls: at most one run for each idempotency key under failures.

mod common;

use common::{client, service_of, small_deployment, wait_until};
use ebonylug_demo::{ApiClient, Deployment, Response};
use ebonylug_standin::{PlatformFaults, ServiceFaults};
use http::StatusCode;

const ORDER: &str = "{\"bales\":40}";

fn run_count(deployment: &Deployment, key: &str) -> u64 {
    service_of(deployment, "orders-1")
        .runs()
        .keys
        .get(key)
        .copied()
        .unwrap_or_default()
}

/// Reports whether a call is in flight at the service, which counts its key only on completion.
fn is_running(deployment: &Deployment) -> bool {
    let runs = service_of(deployment, "orders-1").runs();
    runs.total > runs.finished + runs.cancelled
}

fn set_faults(deployment: &Deployment, faults: ServiceFaults) {
    service_of(deployment, "orders-1").set_faults(faults);
}

fn start_call(client: ApiClient, key: &'static str) -> tokio::task::JoinHandle<Response> {
    tokio::spawn(async move {
        client
            .call_service("/orders", key, ORDER)
            .await
            .expect("a response arrives")
    })
}

fn assert_outcome(response: &Response, status: StatusCode, outcome: &str) {
    assert_eq!(response.status, status, "{}", response.text());
    assert_eq!(
        response.header("ebonylug-outcome"),
        Some(outcome),
        "{}",
        response.text()
    );
}

/// Guards against a call that runs once per entry when its caller retries through several entries.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn retries_through_other_entries_get_the_original_response() {
    let deployment = small_deployment().await;
    set_faults(
        &deployment,
        ServiceFaults {
            delay_ms: 300,
            ..ServiceFaults::default()
        },
    );
    let calls = [0, 1, 0, 1].map(|entry| start_call(client(&deployment, entry), "order-1"));
    let mut bodies = Vec::new();
    for call in calls {
        let response = call.await.expect("the request task completes");
        assert_eq!(response.status, StatusCode::CREATED, "{}", response.text());
        bodies.push(response.text());
    }
    bodies.dedup();
    assert_eq!(bodies.len(), 1, "all responses are equal: {bodies:?}");
    assert_eq!(run_count(&deployment, "order-1"), 1);
    let later = start_call(client(&deployment, 1), "order-1")
        .await
        .expect("the request task completes");
    assert_eq!(
        later.text(),
        bodies[0],
        "the response is stored in the record"
    );
    assert_eq!(run_count(&deployment, "order-1"), 1);
}

/// Guards against a key that is accepted for a call with a different body.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_key_reused_with_another_body_is_rejected() {
    let deployment = small_deployment().await;
    let response = start_call(client(&deployment, 0), "order-2")
        .await
        .expect("the request task completes");
    assert_eq!(response.status, StatusCode::CREATED);
    let other = client(&deployment, 1)
        .call_service("/orders", "order-2", "{\"bales\":41}")
        .await;
    assert_outcome(
        &other.expect("a response arrives"),
        StatusCode::UNPROCESSABLE_ENTITY,
        "not-run",
    );
    assert_eq!(run_count(&deployment, "order-2"), 1);
}

/// Guards against a call that runs although its record may not be in the store.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_do_not_run_while_the_store_is_down() {
    let deployment = small_deployment().await;
    deployment.platform.set_faults(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    });
    let path = "/services/orders";
    let headers = [("idempotency-key", "order-3"), ("ebonylug-deadline", "0.5")];
    let response = client(&deployment, 0)
        .send(http::Method::POST, path, &headers, ORDER)
        .await;
    let response = response.expect("a response arrives");
    assert_outcome(&response, StatusCode::SERVICE_UNAVAILABLE, "not-run");
    assert_eq!(response.header("ebonylug-reason"), Some("store"));
    assert_eq!(run_count(&deployment, "order-3"), 0);
    deployment.platform.set_faults(PlatformFaults::default());
    let response = start_call(client(&deployment, 1), "order-3")
        .await
        .expect("the request task completes");
    assert_eq!(response.status, StatusCode::CREATED);
    assert_eq!(run_count(&deployment, "order-3"), 1);
}

/// Guards against a call that is lost or runs twice when the store's response is lost after the
/// write.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_lost_store_response_is_resolved_by_reading_back() {
    let deployment = small_deployment().await;
    for (index, dropped) in [1, 2, 3].into_iter().enumerate() {
        let key = ["lost-0", "lost-1", "lost-2"][index];
        deployment.platform.set_faults(PlatformFaults {
            drop_responses: dropped,
            ..PlatformFaults::default()
        });
        let response = start_call(client(&deployment, 0), key)
            .await
            .expect("the request task completes");
        assert_eq!(response.status, StatusCode::CREATED, "{}", response.text());
        assert_eq!(run_count(&deployment, key), 1);
    }
}

/// Guards against a call that runs twice because its entry crashed before it returned the response.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_retry_joins_the_attempt_of_a_crashed_entry() {
    let mut deployment = small_deployment().await;
    set_faults(
        &deployment,
        ServiceFaults {
            delay_ms: 1_500,
            ..ServiceFaults::default()
        },
    );
    let first = {
        let client = client(&deployment, 0);
        tokio::spawn(async move { client.call_service("/orders", "order-5", ORDER).await })
    };
    wait_until("the call is running", async || is_running(&deployment)).await;
    drop(deployment.entries.remove(0));
    drop(first);
    let response = start_call(client(&deployment, 0), "order-5")
        .await
        .expect("the request task completes");
    assert_eq!(response.status, StatusCode::CREATED, "{}", response.text());
    assert_eq!(run_count(&deployment, "order-5"), 1);
}

/// Guards against a call of unknown outcome that is reported as not run, or runs again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_unknown_outcome_stays_unknown() {
    let deployment = small_deployment().await;
    set_faults(
        &deployment,
        ServiceFaults {
            crash_after: true,
            ..ServiceFaults::default()
        },
    );
    let response = start_call(client(&deployment, 0), "order-6")
        .await
        .expect("the request task completes");
    assert_outcome(&response, StatusCode::BAD_GATEWAY, "unknown");
    set_faults(&deployment, ServiceFaults::default());
    wait_until("the service is available again", async || {
        client(&deployment, 1)
            .call_service("/orders", "order-7", ORDER)
            .await
            .is_ok_and(|response| response.status == StatusCode::CREATED)
    })
    .await;
    let again = start_call(client(&deployment, 1), "order-6")
        .await
        .expect("the request task completes");
    assert_outcome(&again, StatusCode::BAD_GATEWAY, "unknown");
    assert_eq!(run_count(&deployment, "order-6"), 1);
}

/// Guards against a second run after the sidecar that tracked the first has crashed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_sidecar_crash_leaves_the_call_outcome_unknown() {
    let mut deployment = small_deployment().await;
    set_faults(
        &deployment,
        ServiceFaults {
            delay_ms: 1_500,
            ..ServiceFaults::default()
        },
    );
    let first = start_call(client(&deployment, 0), "order-8");
    wait_until("the call is running", async || is_running(&deployment)).await;
    let sidecar = deployment
        .nodes
        .get_mut("orders-1")
        .and_then(|node| node.sidecar.take());
    drop(sidecar);
    let first = first.await.expect("the request task completes");
    assert_outcome(&first, StatusCode::BAD_GATEWAY, "unknown");
    let again = start_call(client(&deployment, 1), "order-8").await;
    assert_outcome(
        &again.expect("the request task completes"),
        StatusCode::BAD_GATEWAY,
        "unknown",
    );
    assert!(run_count(&deployment, "order-8") <= 1);
    assert_eq!(service_of(&deployment, "orders-1").runs().total, 1);
}
