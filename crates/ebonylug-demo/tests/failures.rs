//! Failures of connections, targets, sidecars and the store, over real sockets.
//!
//! The tests wait for conditions and never assert how long something takes.

mod common;

use std::collections::BTreeMap;

use common::{SMALL, caller, engine_of, get, operator, reason, small, small_with, until};
use ebonylug_core::Name;
use ebonylug_demo::{Caller, Deployment, DeploymentOptions, Relay};
use ebonylug_standin::{
    ChatRequest, EngineFaults, EngineSettings, PlatformFaults, RunCounts, StallMode,
};
use http::{Method, StatusCode};

/// Counts of runs by request.
type Counts = BTreeMap<Box<str>, u64>;

const PROMPT: &str = "a quotation for 40 m of rope";

/// The text that a streamed answer should carry, as the events of the target.
fn words(prompt: &str, tokens: u64) -> Vec<String> {
    let text = ChatRequest::user(prompt, tokens).output_from(0);
    text.split_inclusive(' ').map(str::to_owned).collect()
}

fn streamed(body: &str) -> Vec<String> {
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

/// Guards against an answer that loses its end when the connection between sidecar and target goes
/// silent in mid-stream.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_silent_target_connection_is_replaced_and_the_answer_resumed() {
    let deployment = small().await;
    let call = {
        let caller = caller(&deployment, 0);
        tokio::spawn(async move { caller.chat("sisal", "quotation", PROMPT, 120, true).await })
    };
    let engines = ["sisal-1", "sisal-2"].map(|target| engine_of(&deployment, target));
    until("the stream has begun", async || {
        engines.iter().any(|engine| engine.report().running > 0)
    })
    .await;
    for engine in engines {
        let silence = EngineFaults {
            stall_mode: StallMode::Open,
            ..EngineFaults::default()
        };
        engine.set_faults(silence).expect("the faults are valid");
    }
    let answer = call
        .await
        .expect("the caller runs")
        .expect("an answer arrives");
    assert_eq!(streamed(&answer.text()), words(PROMPT, 120));
    assert!(answer.text().ends_with("data: [DONE]\n\n"));
    let runs = engines.map(|engine| engine.runs());
    let counts = |pick: fn(&RunCounts) -> &Counts| -> Vec<u64> {
        runs.iter()
            .flat_map(|runs| pick(runs).values().copied())
            .collect()
    };
    assert_eq!(counts(|runs| &runs.requests), [1], "the request ran once");
    assert_eq!(
        counts(|runs| &runs.resumed),
        [1],
        "the rest was a resumption"
    );
}

/// Guards against a request that runs a second time because its connection went silent before the
/// first token: the resumption from token 0 must not look like another request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_connection_that_is_silent_from_the_start_is_resumed() {
    fn slow(target: &Name) -> EngineSettings {
        EngineSettings {
            prefill_rate: 20.0,
            ..common::engine(target)
        }
    }
    let deployment = small_with(slow).await;
    let call = {
        let caller = caller(&deployment, 0);
        tokio::spawn(async move { caller.chat("sisal", "quotation", PROMPT, 8, true).await })
    };
    let engines = ["sisal-1", "sisal-2"].map(|target| engine_of(&deployment, target));
    until("the request has arrived", async || {
        engines.iter().any(|engine| engine.runs().total > 0)
    })
    .await;
    for engine in engines {
        let silence = EngineFaults {
            stall_mode: StallMode::Open,
            ..EngineFaults::default()
        };
        engine.set_faults(silence).expect("the faults are valid");
    }
    let answer = call
        .await
        .expect("the caller runs")
        .expect("an answer arrives");
    assert_eq!(streamed(&answer.text()), words(PROMPT, 8));
    let requests = engines
        .iter()
        .flat_map(|engine| engine.runs().requests.into_values());
    assert_eq!(requests.collect::<Vec<_>>(), [1], "the request ran once");
}

/// Guards against an answer that loses its end when the connection between entry and sidecar goes
/// silent in mid-stream.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_silent_sidecar_connection_is_replaced_and_the_answer_resumed() {
    let mut deployment = small().await;
    let mut relays = Vec::new();
    for target in ["sisal-1", "sisal-2"] {
        let node = deployment.nodes.get_mut(target).expect("the target exists");
        let relay = Relay::start(node.row.data.parse().expect("an address")).await;
        let relay = relay.expect("the relay starts");
        node.row.data = relay.address().to_string().into();
        relays.push(relay);
    }
    deployment.list();
    let caller = caller(&deployment, 0);
    until("requests pass through the relays", async || {
        let answer = caller
            .chat("sisal", "quotation", "a first request", 1, false)
            .await;
        answer.is_ok_and(|answer| answer.status == StatusCode::OK)
            && relays.iter().any(|relay| relay.accepted() > 0)
    })
    .await;
    let call = {
        let caller = caller.clone();
        tokio::spawn(async move { caller.chat("sisal", "quotation", PROMPT, 120, true).await })
    };
    let engines = ["sisal-1", "sisal-2"].map(|target| engine_of(&deployment, target));
    until("the stream has begun", async || {
        engines.iter().any(|engine| engine.report().running > 0)
    })
    .await;
    for relay in &relays {
        relay.silence();
    }
    let answer = call
        .await
        .expect("the caller runs")
        .expect("an answer arrives");
    assert_eq!(streamed(&answer.text()), words(PROMPT, 120));
    let most = engines.iter().map(|engine| engine.runs().max_count()).max();
    assert_eq!(most, Some(1));
    assert!(
        engines
            .iter()
            .all(|engine| engine.runs().resumed.is_empty())
    );
}

/// Guards against a request that is run again, or left without a statement, when its target crashes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_crashed_target_ends_its_streams_with_a_statement() {
    let deployment = small().await;
    let call = {
        let caller = caller(&deployment, 0);
        tokio::spawn(async move { caller.chat("sisal", "quotation", PROMPT, 400, true).await })
    };
    let engines = ["sisal-1", "sisal-2"].map(|target| engine_of(&deployment, target));
    until("the stream has begun", async || {
        engines.iter().any(|engine| engine.report().running > 0)
    })
    .await;
    for engine in engines {
        if engine.report().running > 0 {
            engine.crash();
        }
    }
    let answer = call
        .await
        .expect("the caller runs")
        .expect("an answer arrives");
    assert!(
        answer.text().contains("\"outcome\":\"failed\""),
        "{}",
        answer.text()
    );
    let total: u64 = engines.iter().map(|engine| engine.runs().total).sum();
    assert_eq!(total, 1);
    until("the other target serves", async || {
        let answer = caller(&deployment, 1)
            .chat("sisal", "quotation", "another", 4, false)
            .await;
        answer.is_ok_and(|answer| answer.status == StatusCode::OK)
    })
    .await;
}

/// Guards against a request that is run again when the sidecar that ran it has died.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_dead_sidecar_leaves_its_attempts_unknown() {
    let mut deployment = small().await;
    let call = {
        let caller = caller(&deployment, 0);
        tokio::spawn(async move { caller.chat("sisal", "quotation", PROMPT, 400, false).await })
    };
    let running = |deployment: &ebonylug_demo::Deployment| {
        ["sisal-1", "sisal-2"]
            .into_iter()
            .find(|target| engine_of(deployment, target).report().running > 0)
    };
    until("the request runs", async || running(&deployment).is_some()).await;
    let target = running(&deployment).expect("the request runs");
    let sidecar = deployment
        .nodes
        .get_mut(target)
        .and_then(|node| node.sidecar.take());
    drop(sidecar);
    let answer = call
        .await
        .expect("the caller runs")
        .expect("an answer arrives");
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    assert_eq!(answer.header("ebonylug-outcome"), Some("unknown"));
    let total: u64 = ["sisal-1", "sisal-2"]
        .iter()
        .map(|target| engine_of(&deployment, target).runs().total)
        .sum();
    assert_eq!(total, 1);
}

/// Guards against a planned stop that cuts off requests (P10), of a sidecar and of an entry.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_stop_finishes_what_runs() {
    let mut deployment = small().await;
    let mut calls = Vec::new();
    for index in 0..4 {
        let caller = caller(&deployment, 0);
        let prompt = format!("{index}: {PROMPT}");
        calls.push(tokio::spawn(async move {
            let answer = caller.chat("sisal", "quotation", &prompt, 100, true).await;
            (prompt, answer)
        }));
    }
    let running = |deployment: &ebonylug_demo::Deployment| {
        let engines = ["sisal-1", "sisal-2"].iter();
        engines
            .map(|target| engine_of(deployment, target).report().running)
            .sum::<u32>()
    };
    until("all streams have begun", async || running(&deployment) == 4).await;
    for target in ["sisal-1", "sisal-2"] {
        let sidecar = deployment
            .nodes
            .get_mut(target)
            .and_then(|node| node.sidecar.take());
        let sidecar = sidecar.expect("the sidecar runs");
        calls.push(tokio::spawn(async move {
            assert_eq!(sidecar.stop().await, 0, "attempts were cut off");
            (String::new(), Ok(ebonylug_demo::Answer::default()))
        }));
    }
    let entry = deployment.entries.remove(0);
    assert_eq!(entry.stop().await, 0, "requests were cut off");
    for call in calls {
        let (prompt, answer) = call.await.expect("the task runs");
        if !prompt.is_empty() {
            let answer = answer.expect("an answer arrives");
            assert_eq!(streamed(&answer.text()), words(&prompt, 100));
        }
    }
}

/// Guards against new work in a zone that operators have taken out (P5), and in one that is back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drained_zone_gets_no_new_work() {
    let deployment = small().await;
    let operator = operator(&deployment, 1);
    let zone = |state: &str| {
        format!(
            "{{kind: \"AvailabilityZone\", metadata: {{name: \"canas-b\"}}, spec: {{state: \"{state}\"}}}}"
        )
    };
    let path = "/api/v1/resources/availabilityzones/canas-b";
    let answer = operator
        .send(Method::PUT, path, &[], &zone("drained"))
        .await;
    assert_eq!(answer.expect("the entry answers").status, StatusCode::OK);
    let target = "resources/targets/sisal-2";
    for entry in 0..2 {
        let operator = common::operator(&deployment, entry);
        until("the sidecar refuses", async || {
            reason(&operator, target).await == "ZoneClosed"
        })
        .await;
    }
    let before = engine_of(&deployment, "sisal-2").runs().total;
    for index in 0..20 {
        let prompt = format!("{index}: {PROMPT}");
        let answer = caller(&deployment, index % 2)
            .chat("sisal", "quotation", &prompt, 2, false)
            .await;
        assert_eq!(answer.expect("an answer arrives").status, StatusCode::OK);
    }
    assert_eq!(engine_of(&deployment, "sisal-2").runs().total, before);
    let answer = operator.send(Method::PUT, path, &[], &zone("open")).await;
    assert_eq!(answer.expect("the entry answers").status, StatusCode::OK);
    until("the zone gets work again", async || {
        let answer = caller(&deployment, 0)
            .chat("sisal", "quotation", PROMPT, 2, false)
            .await;
        assert_eq!(answer.expect("an answer arrives").status, StatusCode::OK);
        engine_of(&deployment, "sisal-2").runs().total > before
    })
    .await;
}

/// Guards against two operators who overwrite each other's change.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn of_two_racing_operators_one_wins() {
    let deployment = small().await;
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
    let mut statuses = [first, second].map(|answer| answer.expect("the entry answers").status);
    statuses.sort();
    assert_eq!(statuses, [StatusCode::OK, StatusCode::CONFLICT]);
    // The revision of the loser stays too old, also without a race.
    for entry in 0..2 {
        let late = change(entry).await.expect("the entry answers");
        assert_eq!(late.status, StatusCode::CONFLICT, "entry {entry}");
    }
}

/// Guards against an outage of the store that stops the data path, or a change that is accepted
/// without being committed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_store_outage_stops_changes_and_not_requests() {
    let deployment = small().await;
    deployment.platform.set_faults(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    });
    let answer = caller(&deployment, 0)
        .chat("sisal", "quotation", PROMPT, 4, false)
        .await;
    assert_eq!(answer.expect("an answer arrives").status, StatusCode::OK);
    let path = "/api/v1/resources/availabilityzones/canas-b";
    let body =
        "{kind: \"AvailabilityZone\", metadata: {name: \"canas-b\"}, spec: {state: \"drained\"}}";
    let answer = operator(&deployment, 0)
        .send(Method::PUT, path, &[], body)
        .await;
    assert_eq!(
        answer.expect("the entry answers").status,
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

/// Guards against an entry that serves an old default, or none, when it starts during an outage.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_that_starts_in_an_outage_asks_its_peers() {
    let mut deployment = small().await;
    deployment.platform.set_faults(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    });
    deployment
        .start_entry(2, 7)
        .await
        .expect("the entry starts");
    until(
        "the late entry has the configuration of a peer",
        async || deployment.entries[2].revision().0 == 1,
    )
    .await;
    let late = common::caller(&deployment, 2);
    let ready = late
        .send(Method::GET, "/readyz", &[], "")
        .await
        .expect("the entry answers");
    assert_eq!(
        ready.status,
        StatusCode::SERVICE_UNAVAILABLE,
        "it knows no target before the instance list answers"
    );
    // The instance list answers while the table is down.
    deployment.platform.set_faults(PlatformFaults {
        down: false,
        ..PlatformFaults::default()
    });
    until("the late entry is ready", async || {
        deployment.entries[2].is_ready()
    })
    .await;
}

/// Guards against a request that takes down one target after the other.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_crashes_its_targets_is_quarantined() {
    fn poisoned(target: &Name) -> EngineSettings {
        let mut settings = common::engine(target);
        settings.faults.poison = Some("anthrax".into());
        settings
    }
    let deployment = small_with(poisoned).await;
    let poison = "a quotation with anthrax in it";
    until("the request is refused", async || {
        let answer = caller(&deployment, 0)
            .chat("sisal", "quotation", poison, 8, false)
            .await;
        answer.is_ok_and(|answer| answer.header("ebonylug-reason") == Some("quarantined"))
    })
    .await;
    let crashes = || -> u64 {
        let targets = ["sisal-1", "sisal-2"].iter();
        targets
            .map(|target| engine_of(&deployment, target).runs().crashes)
            .sum()
    };
    let before = crashes();
    until("the innocent are served", async || {
        let answer = caller(&deployment, 1)
            .chat("sisal", "quotation", PROMPT, 4, false)
            .await;
        answer.is_ok_and(|answer| answer.status == StatusCode::OK)
    })
    .await;
    for entry in 0..2 {
        until("both entries refuse it", async || {
            let answer = caller(&deployment, entry)
                .chat("sisal", "quotation", poison, 8, false)
                .await;
            answer.is_ok_and(|answer| answer.header("ebonylug-reason") == Some("quarantined"))
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

/// The options of the small deployment must stay valid.
#[test]
fn the_small_deployment_is_valid() {
    let options = DeploymentOptions {
        resources: SMALL,
        entries: 2,
        engine_settings: common::engine,
        configure_sidecar: |_| {},
        seed: 1,
    };
    assert!(ebonylug_resource::parse_resources(options.resources).is_ok());
}

/// Guards against an answer that skips or repeats tokens after it was preempted twice: the tail of
/// a sidecar counts all tokens of the request, and the entry once added them to those of earlier
/// attempts.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_that_is_preempted_twice_is_whole() {
    /// Fits the stream, and not a long prompt beside it.
    const LIMIT: u64 = 400;
    let options = DeploymentOptions {
        resources: SMALL,
        entries: 1,
        engine_settings: common::engine,
        configure_sidecar: |settings| {
            settings.cold_limit = settings.cold_limit.min(LIMIT);
            settings.ceiling = settings.ceiling.min(LIMIT);
        },
        seed: 1,
    };
    let mut deployment = Deployment::start(options)
        .await
        .expect("the deployment starts");
    // A single engine, so that the stream and the requests that preempt it meet there.
    deployment.nodes.remove("sisal-2");
    deployment.list();
    let caller = caller(&deployment, 0);
    let operator = operator(&deployment, 0);
    until("the entry has dropped the other target", async || {
        reason(&operator, "resources/targets/sisal-2").await == "NotObserved"
    })
    .await;
    let urgent = async |number: usize| {
        let prompt = format!("{number}: urgent");
        let answer = caller.chat("sisal", "quotation", &prompt, 4, false).await;
        assert_eq!(answer.expect("an answer arrives").status, StatusCode::OK);
    };
    until("the target is warm", async || {
        urgent(0).await;
        reason(&operator, "resources/targets/sisal-1").await == "Ready"
    })
    .await;
    let first_tokens = async || {
        let events = get(&operator, "events").await.to_string();
        events.matches("\"first_token\"").count()
    };
    let before = first_tokens().await;
    let batch = Caller::new(deployment.entry_address(0), "molino-demo-token");
    let call = tokio::spawn(async move { batch.chat("sisal", "summary", PROMPT, 900, true).await });
    let resumed = || -> u64 {
        engine_of(&deployment, "sisal-1")
            .runs()
            .resumed
            .values()
            .sum()
    };
    for round in 0..2 {
        // Each earlier round has added the first tokens of its request and of the stream.
        let expected = before + 2 * round + 1;
        until("the stream has begun", async || {
            first_tokens().await >= expected
        })
        .await;
        let other = Caller::new(deployment.entry_address(0), "puertos-demo-token");
        let prompt = format!("{round}: make room {}", "by the quay ".repeat(123));
        let answer = other.chat("sisal", "quotation", &prompt, 20, false).await;
        assert_eq!(answer.expect("an answer arrives").status, StatusCode::OK);
    }
    let answer = call
        .await
        .expect("the caller runs")
        .expect("an answer arrives");
    assert!(resumed() >= 2, "the stream was preempted twice");
    assert_eq!(streamed(&answer.text()), words(PROMPT, 900));
}
