//! Failures of connections, targets, sidecars and the store, over real sockets.
//!
//! The tests wait for conditions and do not assert durations.

mod common;

use std::collections::BTreeMap;

use common::{
    SMALL, client, engine_of, first_reason, get, operator, small_deployment, small_deployment_with,
    wait_until,
};
use ebonylug_core::Name;
use ebonylug_demo::{ApiClient, Deployment, DeploymentOptions, Relay};
use ebonylug_standin::{
    ChatRequest, EngineFaults, EngineSettings, PlatformFaults, RunCounts, StallMode,
};
use http::{Method, StatusCode};

/// Run counts by request id.
type CountsById = BTreeMap<Box<str>, u64>;

const PROMPT: &str = "a quotation for 40 m of rope";

/// Returns the expected content of each event of a streamed response.
fn expected_content(prompt: &str, tokens: u64) -> Vec<String> {
    let text = ChatRequest::user(prompt, tokens).output_from(0);
    text.split_inclusive(' ').map(str::to_owned).collect()
}

/// Returns the content of each event of a streamed response.
fn event_content(body: &str) -> Vec<String> {
    let events = body
        .split("\n\n")
        .filter_map(|event| event.strip_prefix("data: "));
    let values = events.filter_map(|event| serde_json::from_str::<serde_json::Value>(event).ok());
    let content = |value: serde_json::Value| {
        value["choices"][0]["delta"]["content"]
            .as_str()
            .map(str::to_owned)
    };
    values.filter_map(content).collect()
}

/// Guards against a truncated response when the connection between sidecar and target stalls
/// mid-stream.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stalled_target_connection_is_replaced_and_the_response_resumed() {
    let deployment = small_deployment().await;
    let call = {
        let client = client(&deployment, 0);
        tokio::spawn(async move { client.chat("sisal", "quotation", PROMPT, 120, true).await })
    };
    let engines = ["sisal-1", "sisal-2"].map(|target| engine_of(&deployment, target));
    wait_until("the stream has begun", async || {
        engines.iter().any(|engine| engine.report().running > 0)
    })
    .await;
    for engine in engines {
        let stalled = EngineFaults {
            stall_mode: StallMode::Open,
            ..EngineFaults::default()
        };
        engine.set_faults(stalled).expect("the faults are valid");
    }
    let response = call
        .await
        .expect("the request task completes")
        .expect("a response arrives");
    assert_eq!(
        event_content(&response.text()),
        expected_content(PROMPT, 120)
    );
    assert!(response.text().ends_with("data: [DONE]\n\n"));
    let runs = engines.map(|engine| engine.runs());
    let counts = |pick: fn(&RunCounts) -> &CountsById| -> Vec<u64> {
        runs.iter()
            .flat_map(|runs| pick(runs).values().copied())
            .collect()
    };
    assert_eq!(counts(|runs| &runs.requests), [1], "the request ran once");
    assert_eq!(
        counts(|runs| &runs.resumed),
        [1],
        "the remaining output was resumed once"
    );
}

/// Guards against a request that runs twice because its connection stalls before the first token.
/// The resumption from token 0 must not count as another request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_connection_that_stalls_before_the_first_token_is_resumed() {
    fn slow_prefill(target: &Name) -> EngineSettings {
        EngineSettings {
            prefill_rate: 20.0,
            ..common::engine_settings(target)
        }
    }
    let deployment = small_deployment_with(slow_prefill).await;
    let call = {
        let client = client(&deployment, 0);
        tokio::spawn(async move { client.chat("sisal", "quotation", PROMPT, 8, true).await })
    };
    let engines = ["sisal-1", "sisal-2"].map(|target| engine_of(&deployment, target));
    wait_until("the request has arrived", async || {
        engines.iter().any(|engine| engine.runs().total > 0)
    })
    .await;
    for engine in engines {
        let stalled = EngineFaults {
            stall_mode: StallMode::Open,
            ..EngineFaults::default()
        };
        engine.set_faults(stalled).expect("the faults are valid");
    }
    let response = call
        .await
        .expect("the request task completes")
        .expect("a response arrives");
    assert_eq!(event_content(&response.text()), expected_content(PROMPT, 8));
    let requests = engines
        .iter()
        .flat_map(|engine| engine.runs().requests.into_values());
    assert_eq!(requests.collect::<Vec<_>>(), [1], "the request ran once");
}

/// Guards against a truncated response when the connection between entry and sidecar stalls
/// mid-stream.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stalled_sidecar_connection_is_replaced_and_the_response_resumed() {
    let mut deployment = small_deployment().await;
    let mut relays = Vec::new();
    for target in ["sisal-1", "sisal-2"] {
        let node = deployment.nodes.get_mut(target).expect("the target exists");
        let relay = Relay::start(node.row.data.parse().expect("an address")).await;
        let relay = relay.expect("the relay starts");
        node.row.data = relay.address().to_string().into();
        relays.push(relay);
    }
    deployment.update_instance_list();
    let client = client(&deployment, 0);
    wait_until("requests pass through the relays", async || {
        let response = client
            .chat("sisal", "quotation", "a first request", 1, false)
            .await;
        response.is_ok_and(|response| response.status == StatusCode::OK)
            && relays.iter().any(|relay| relay.connection_count() > 0)
    })
    .await;
    let call = {
        let client = client.clone();
        tokio::spawn(async move { client.chat("sisal", "quotation", PROMPT, 120, true).await })
    };
    let engines = ["sisal-1", "sisal-2"].map(|target| engine_of(&deployment, target));
    wait_until("the stream has begun", async || {
        engines.iter().any(|engine| engine.report().running > 0)
    })
    .await;
    for relay in &relays {
        relay.stall_connections();
    }
    let response = call
        .await
        .expect("the request task completes")
        .expect("a response arrives");
    assert_eq!(
        event_content(&response.text()),
        expected_content(PROMPT, 120)
    );
    let max_runs = engines.iter().map(|engine| engine.runs().max_count()).max();
    assert_eq!(max_runs, Some(1));
    assert!(
        engines
            .iter()
            .all(|engine| engine.runs().resumed.is_empty())
    );
}

/// Guards against a request that is retried, or ends without a stated outcome, when its target
/// crashes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_target_crash_ends_streams_with_outcome_failed() {
    let deployment = small_deployment().await;
    let call = {
        let client = client(&deployment, 0);
        tokio::spawn(async move { client.chat("sisal", "quotation", PROMPT, 400, true).await })
    };
    let engines = ["sisal-1", "sisal-2"].map(|target| engine_of(&deployment, target));
    wait_until("the stream has begun", async || {
        engines.iter().any(|engine| engine.report().running > 0)
    })
    .await;
    for engine in engines {
        if engine.report().running > 0 {
            engine.crash();
        }
    }
    let response = call
        .await
        .expect("the request task completes")
        .expect("a response arrives");
    assert!(
        response.text().contains("\"outcome\":\"failed\""),
        "{}",
        response.text()
    );
    let total: u64 = engines.iter().map(|engine| engine.runs().total).sum();
    assert_eq!(total, 1);
    wait_until("the other target serves requests", async || {
        let response = client(&deployment, 1)
            .chat("sisal", "quotation", "another", 4, false)
            .await;
        response.is_ok_and(|response| response.status == StatusCode::OK)
    })
    .await;
}

/// Guards against a request that is retried after the sidecar that ran it has crashed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_sidecar_crash_leaves_attempt_outcomes_unknown() {
    let mut deployment = small_deployment().await;
    let call = {
        let client = client(&deployment, 0);
        tokio::spawn(async move { client.chat("sisal", "quotation", PROMPT, 400, false).await })
    };
    let running = |deployment: &ebonylug_demo::Deployment| {
        ["sisal-1", "sisal-2"]
            .into_iter()
            .find(|target| engine_of(deployment, target).report().running > 0)
    };
    wait_until("the request is running", async || {
        running(&deployment).is_some()
    })
    .await;
    let target = running(&deployment).expect("the request is running");
    let sidecar = deployment
        .nodes
        .get_mut(target)
        .and_then(|node| node.sidecar.take());
    drop(sidecar);
    let response = call
        .await
        .expect("the request task completes")
        .expect("a response arrives");
    assert_eq!(response.status, StatusCode::BAD_GATEWAY);
    assert_eq!(response.header("ebonylug-outcome"), Some("unknown"));
    let total: u64 = ["sisal-1", "sisal-2"]
        .iter()
        .map(|target| engine_of(&deployment, target).runs().total)
        .sum();
    assert_eq!(total, 1);
}

/// Guards against a graceful shutdown of a sidecar or an entry that interrupts requests in flight.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_graceful_shutdown_finishes_requests_in_flight() {
    let mut deployment = small_deployment().await;
    let mut calls = Vec::new();
    for index in 0..4 {
        let client = client(&deployment, 0);
        let prompt = format!("{index}: {PROMPT}");
        calls.push(tokio::spawn(async move {
            let response = client.chat("sisal", "quotation", &prompt, 100, true).await;
            (prompt, response)
        }));
    }
    let running = |deployment: &ebonylug_demo::Deployment| {
        let engines = ["sisal-1", "sisal-2"].iter();
        engines
            .map(|target| engine_of(deployment, target).report().running)
            .sum::<u32>()
    };
    wait_until("all streams have begun", async || running(&deployment) == 4).await;
    for target in ["sisal-1", "sisal-2"] {
        let sidecar = deployment
            .nodes
            .get_mut(target)
            .and_then(|node| node.sidecar.take());
        let sidecar = sidecar.expect("the sidecar is running");
        calls.push(tokio::spawn(async move {
            assert_eq!(sidecar.stop().await, 0, "attempts were interrupted");
            (String::new(), Ok(ebonylug_demo::Response::default()))
        }));
    }
    let entry = deployment.entries.remove(0);
    assert_eq!(entry.stop().await, 0, "requests were interrupted");
    for call in calls {
        let (prompt, response) = call.await.expect("the task completes");
        if !prompt.is_empty() {
            let response = response.expect("a response arrives");
            assert_eq!(
                event_content(&response.text()),
                expected_content(&prompt, 100)
            );
        }
    }
}

/// Guards against new requests in a drained zone, and against a reopened zone that gets none.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drained_zone_gets_no_new_requests() {
    let deployment = small_deployment().await;
    let operator = operator(&deployment, 1);
    let zone = |state: &str| {
        format!(
            "{{kind: \"AvailabilityZone\", metadata: {{name: \"canas-b\"}}, spec: {{state: \"{state}\"}}}}"
        )
    };
    let path = "/api/v1/resources/availabilityzones/canas-b";
    let response = operator
        .send(Method::PUT, path, &[], &zone("drained"))
        .await;
    assert_eq!(response.expect("the entry responds").status, StatusCode::OK);
    let target = "resources/targets/sisal-2";
    for entry in 0..2 {
        let operator = common::operator(&deployment, entry);
        wait_until("the entry reports the zone as closed", async || {
            first_reason(&operator, target).await == "ZoneClosed"
        })
        .await;
    }
    let before = engine_of(&deployment, "sisal-2").runs().total;
    for index in 0..20 {
        let prompt = format!("{index}: {PROMPT}");
        let response = client(&deployment, index % 2)
            .chat("sisal", "quotation", &prompt, 2, false)
            .await;
        assert_eq!(response.expect("a response arrives").status, StatusCode::OK);
    }
    assert_eq!(engine_of(&deployment, "sisal-2").runs().total, before);
    let response = operator.send(Method::PUT, path, &[], &zone("open")).await;
    assert_eq!(response.expect("the entry responds").status, StatusCode::OK);
    wait_until("the zone gets requests again", async || {
        let response = client(&deployment, 0)
            .chat("sisal", "quotation", PROMPT, 2, false)
            .await;
        assert_eq!(response.expect("a response arrives").status, StatusCode::OK);
        engine_of(&deployment, "sisal-2").runs().total > before
    })
    .await;
}

/// Guards against lost updates when two operators change a resource concurrently.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn of_two_concurrent_updates_one_is_rejected() {
    let deployment = small_deployment().await;
    let path = "/api/v1/resources/availabilityzones/canas-b";
    let body = "{kind: \"AvailabilityZone\", metadata: {name: \"canas-b\", labels: {by: \"NAME\"}}, spec: {}}";
    let change = |entry: usize| {
        let operator = operator(&deployment, entry);
        let body = body.replace("NAME", &entry.to_string());
        async move {
            operator
                .send(Method::PUT, path, &[("if-match", "\"1\"")], &body)
                .await
        }
    };
    let (first, second) = tokio::join!(change(0), change(1));
    let mut statuses = [first, second].map(|response| response.expect("the entry responds").status);
    statuses.sort();
    assert_eq!(statuses, [StatusCode::OK, StatusCode::CONFLICT]);
    // Revision 1 is now outdated, so an update that expects it is also rejected without a race.
    for entry in 0..2 {
        let late = change(entry).await.expect("the entry responds");
        assert_eq!(late.status, StatusCode::CONFLICT, "entry {entry}");
    }
}

/// Guards against a store outage that stops the data path, and against a change that is accepted
/// without being committed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_store_outage_blocks_changes_but_not_requests() {
    let deployment = small_deployment().await;
    deployment.platform.set_faults(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    });
    let response = client(&deployment, 0)
        .chat("sisal", "quotation", PROMPT, 4, false)
        .await;
    assert_eq!(response.expect("a response arrives").status, StatusCode::OK);
    let path = "/api/v1/resources/availabilityzones/canas-b";
    let body =
        "{kind: \"AvailabilityZone\", metadata: {name: \"canas-b\"}, spec: {state: \"drained\"}}";
    let response = operator(&deployment, 0)
        .send(Method::PUT, path, &[], body)
        .await;
    assert_eq!(
        response.expect("the entry responds").status,
        StatusCode::SERVICE_UNAVAILABLE
    );
    deployment.platform.set_faults(PlatformFaults::default());
    let zone = get(
        &operator(&deployment, 0),
        "resources/availabilityzones/canas-b",
    )
    .await;
    assert_eq!(zone["spec"]["state"], "open");
}

/// Guards against an entry that starts during a store outage and serves with a stale configuration
/// or none.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_that_starts_in_an_outage_asks_its_peers() {
    let mut deployment = small_deployment().await;
    deployment.platform.set_faults(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    });
    deployment
        .start_entry(2, 7)
        .await
        .expect("the entry starts");
    wait_until(
        "the new entry has the configuration of a peer",
        async || deployment.entries[2].revision().0 == 1,
    )
    .await;
    let started = common::client(&deployment, 2);
    let ready = started
        .send(Method::GET, "/readyz", &[], "")
        .await
        .expect("the entry responds");
    assert_eq!(
        ready.status,
        StatusCode::SERVICE_UNAVAILABLE,
        "the entry knows no target until the instance list is available"
    );
    // With the platform available again, the instance list provides the targets.
    deployment.platform.set_faults(PlatformFaults {
        down: false,
        ..PlatformFaults::default()
    });
    wait_until("the new entry is ready", async || {
        deployment.entries[2].is_ready()
    })
    .await;
}

/// Guards against a request that crashes one target after another.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_crashes_its_targets_is_quarantined() {
    fn crash_on_poison(target: &Name) -> EngineSettings {
        let mut settings = common::engine_settings(target);
        settings.faults.poison = Some("anthrax".into());
        settings
    }
    let deployment = small_deployment_with(crash_on_poison).await;
    let poison = "a quotation with anthrax in it";
    wait_until("the request is refused", async || {
        let response = client(&deployment, 0)
            .chat("sisal", "quotation", poison, 8, false)
            .await;
        response.is_ok_and(|response| response.header("ebonylug-reason") == Some("quarantined"))
    })
    .await;
    let crashes = || -> u64 {
        let targets = ["sisal-1", "sisal-2"].iter();
        targets
            .map(|target| engine_of(&deployment, target).runs().crashes)
            .sum()
    };
    let before = crashes();
    wait_until("other requests are served", async || {
        let response = client(&deployment, 1)
            .chat("sisal", "quotation", PROMPT, 4, false)
            .await;
        response.is_ok_and(|response| response.status == StatusCode::OK)
    })
    .await;
    for entry in 0..2 {
        wait_until("both entries refuse it", async || {
            let response = client(&deployment, entry)
                .chat("sisal", "quotation", poison, 8, false)
                .await;
            response.is_ok_and(|response| response.header("ebonylug-reason") == Some("quarantined"))
        })
        .await;
    }
    assert_eq!(
        crashes(),
        before,
        "the quarantined request crashed no further target"
    );
    let quarantine = get(&operator(&deployment, 0), "quarantine").await;
    assert_eq!(quarantine["quarantined"].as_array().map(Vec::len), Some(1));
}

/// Guards against a small deployment whose resources do not parse.
#[test]
fn the_small_deployment_is_valid() {
    let options = DeploymentOptions {
        resources: SMALL,
        entries: 2,
        engine_settings: common::engine_settings,
        configure_sidecar: |_| {},
        seed: 1,
    };
    assert!(ebonylug_resource::parse_resources(options.resources).is_ok());
}

/// Guards against a response that skips or repeats tokens after it was preempted twice. A sidecar
/// counts all tokens of the request, so the entry must not add them to those of earlier attempts.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_response_preempted_twice_is_complete() {
    /// Limit of the target. Large enough for the stream, but not for a long prompt in addition.
    const LIMIT_TOKENS: u64 = 400;
    let options = DeploymentOptions {
        resources: SMALL,
        entries: 1,
        engine_settings: common::engine_settings,
        configure_sidecar: |settings| {
            settings.cold_limit = settings.cold_limit.min(LIMIT_TOKENS);
            settings.ceiling = settings.ceiling.min(LIMIT_TOKENS);
        },
        seed: 1,
    };
    let mut deployment = Deployment::start(options)
        .await
        .expect("the deployment starts");
    // With a single engine, the stream and the requests that preempt it share a target.
    deployment.nodes.remove("sisal-2");
    deployment.update_instance_list();
    let client = client(&deployment, 0);
    let operator = operator(&deployment, 0);
    wait_until("the entry has removed the other target", async || {
        first_reason(&operator, "resources/targets/sisal-2").await == "NotObserved"
    })
    .await;
    let send_urgent = async |number: usize| {
        let prompt = format!("{number}: urgent");
        let response = client.chat("sisal", "quotation", &prompt, 4, false).await;
        assert_eq!(response.expect("a response arrives").status, StatusCode::OK);
    };
    wait_until("the target is warm", async || {
        send_urgent(0).await;
        first_reason(&operator, "resources/targets/sisal-1").await == "Ready"
    })
    .await;
    let first_token_count = async || {
        let events = get(&operator, "events").await.to_string();
        events.matches("\"first_token\"").count()
    };
    let before = first_token_count().await;
    let batch = ApiClient::new(deployment.entry_address(0), "molino-demo-token");
    let call = tokio::spawn(async move { batch.chat("sisal", "summary", PROMPT, 900, true).await });
    let resumed_count = || -> u64 {
        engine_of(&deployment, "sisal-1")
            .runs()
            .resumed
            .values()
            .sum()
    };
    for round in 0..2 {
        // Each earlier round added the first tokens of its request and of the resumed stream.
        let expected = before + 2 * round + 1;
        wait_until("the stream has begun", async || {
            first_token_count().await >= expected
        })
        .await;
        let other = ApiClient::new(deployment.entry_address(0), "puertos-demo-token");
        let prompt = format!("{round}: make room {}", "by the quay ".repeat(123));
        let response = other.chat("sisal", "quotation", &prompt, 20, false).await;
        assert_eq!(response.expect("a response arrives").status, StatusCode::OK);
    }
    let response = call
        .await
        .expect("the request task completes")
        .expect("a response arrives");
    assert!(resumed_count() >= 2, "the stream was preempted twice");
    assert_eq!(
        event_content(&response.text()),
        expected_content(PROMPT, 900)
    );
}
