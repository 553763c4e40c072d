//! The scenarios of the demo, one for each sample deployment.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

use http::Method;
use serde_json::{Value, json};

use ebonylug_core::Name;
use ebonylug_events::{Event, Origin, Timeline};
use ebonylug_resource::Timestamp;
use ebonylug_standin::{EngineFaults, EngineSettings};

use crate::checks::{CheckResult, check_guarantees, outcome_summary};
use crate::deployment::{Deployment, DeploymentOptions, Error, FakeTarget, OPERATOR_TOKEN, Result};
use crate::load_generator::{LoadGenerator, RequestKind, Workload};
use crate::{ApiClient, FIBRAS, SCALEWARD};

/// The results of one scenario.
pub struct ScenarioReport {
    /// The name of the user of the sample deployment.
    pub name: &'static str,
    /// The counts of requests by workload and outcome, one per line.
    pub outcomes: String,
    /// The results of the checks of the guarantees.
    pub checks: Vec<CheckResult>,
    /// The merged events of all processes.
    pub timeline: Timeline,
}

impl ScenarioReport {
    /// Returns the timeline without the events of requests and attempts, one event per line.
    #[must_use]
    pub fn timeline_summary(&self) -> String {
        let events = self.timeline.events().iter();
        let selected = events
            .filter(|event| event.subject.request.is_none() && event.subject.attempt.is_none());
        let lines = selected.map(|event| {
            let Origin { process, .. } = &event.origin;
            format!("  {process}: {} {}\n", event.kind, event.subject)
        });
        lines.collect()
    }
}

/// Time after which a drained zone must get no new requests.
const DRAIN_DEADLINE: Duration = Duration::from_secs(3);
/// Time from the start of a move to its deadline.
const MOVE_DURATION: Duration = Duration::from_secs(9);

/// Runs quotations, summaries and dispatch orders, while a zone is drained and restored, a target
/// crashes and a sidecar is shut down.
///
/// # Errors
///
/// Fails if the deployment does not start or an operator's call is rejected.
pub async fn fibras() -> Result<ScenarioReport> {
    let mut deployment = Deployment::start(DeploymentOptions {
        resources: FIBRAS,
        entries: 2,
        engine_settings,
        configure_sidecar: |_| {},
        seed: 1,
    })
    .await?;
    print_progress("fibras: started");
    let load = LoadGenerator::start(&entry_addresses(&deployment), &FIBRAS_WORKLOADS);
    sleep_seconds(4).await;

    set_zone(&deployment, "nicoya-c", "drained").await?;
    print_progress("fibras: drained nicoya-c");
    tokio::time::sleep(DRAIN_DEADLINE).await;
    let before = zone_run_count(&deployment, "nicoya-c");
    sleep_seconds(3).await;
    let late_requests = zone_run_count(&deployment, "nicoya-c") - before;
    set_zone(&deployment, "nicoya-c", "open").await?;
    print_progress("fibras: restored nicoya-c");
    sleep_seconds(3).await;

    if let Some(FakeTarget::Engine(engine)) = deployment.nodes.get("sisal-1").map(|node| &node.fake)
    {
        engine.crash();
    }
    print_progress("fibras: sisal-1 crashed");
    sleep_seconds(4).await;

    let sidecar = deployment
        .nodes
        .get_mut("sisal-2")
        .and_then(|node| node.sidecar.take());
    let interrupted = match sidecar {
        Some(sidecar) => sidecar.stop().await,
        None => 0,
    };
    print_progress("fibras: the sidecar of sisal-2 was stopped as planned");
    sleep_seconds(2).await;

    let records = load.stop().await;
    let mut checks = check_guarantees(&deployment, &records);
    checks.push(CheckResult::from_violations(
        "a drained zone gets no new work after 3 s",
        late_requests as usize,
        "requests came later",
    ));
    checks.push(CheckResult::from_violations(
        "a planned stop cuts off no request",
        interrupted,
        "attempts were cut off",
    ));
    checks.push(check_cold_load(&deployment));
    Ok(ScenarioReport {
        name: "Cordelería Guanacaste Unida, fibras division",
        outcomes: outcome_summary(&records),
        checks,
        timeline: timeline(&deployment).await?,
    })
}

/// Runs counter questions, nightly drafts, reminders and charges, while a route moves to a working
/// version and then to one whose requests fail.
///
/// # Errors
///
/// Fails if the deployment does not start or an operator's call is rejected.
pub async fn scaleward() -> Result<ScenarioReport> {
    let deployment = Deployment::start(DeploymentOptions {
        resources: SCALEWARD,
        entries: 2,
        engine_settings,
        configure_sidecar: |_| {},
        seed: 2,
    })
    .await?;
    print_progress("scaleward: started");
    let load = LoadGenerator::start(&entry_addresses(&deployment), &SCALEWARD_WORKLOADS);
    sleep_seconds(2).await;

    start_move(&deployment, "to-kettle-2", "kettle-1", "kettle-2").await?;
    print_progress("scaleward: the move to kettle-2 has begun");
    let forward_state = wait_for_move_end(&deployment, "to-kettle-2").await?;
    print_progress(&format!(
        "scaleward: the move to kettle-2 is {forward_state}"
    ));

    for node in deployment.nodes.values() {
        if let (FakeTarget::Engine(engine), Some(target)) = (&node.fake, &node.row.target)
            && target.as_str().starts_with("kettle-")
            && !target.as_str().starts_with("kettle-next")
        {
            let faults = EngineFaults {
                fail_rate: 1.0,
                ..EngineFaults::default()
            };
            engine.set_faults(faults)?;
        }
    }
    start_move(&deployment, "back-to-kettle-1", "kettle-2", "kettle-1").await?;
    print_progress("scaleward: the move to a bad kettle-1 has begun");
    let back_state = wait_for_move_end(&deployment, "back-to-kettle-1").await?;
    print_progress(&format!(
        "scaleward: the move to a bad kettle-1 is {back_state}"
    ));
    sleep_seconds(1).await;

    let records = load.stop().await;
    let mut checks = check_guarantees(&deployment, &records);
    checks.push(CheckResult {
        guarantee: "a good version takes over by its deadline",
        passed: forward_state == "finished",
        detail: forward_state,
    });
    checks.push(CheckResult {
        guarantee: "a bad version is rolled back",
        passed: back_state == "cancelled",
        detail: back_state,
    });
    checks.push(check_cold_load(&deployment));
    Ok(ScenarioReport {
        name: "Scaleward Kettle Care",
        outcomes: outcome_summary(&records),
        checks,
        timeline: timeline(&deployment).await?,
    })
}

const FIBRAS_WORKLOADS: [Workload; 3] = [
    Workload {
        name: "quotation",
        token: "fibras-demo-token",
        request: chat("sisal", "quotation", 40),
        concurrency: 6,
        pause: Duration::from_millis(40),
    },
    Workload {
        name: "summary",
        token: "molino-demo-token",
        request: chat("sisal", "summary", 300),
        concurrency: 8,
        pause: Duration::from_millis(1),
    },
    Workload {
        name: "order",
        token: "puertos-demo-token",
        request: RequestKind::ServiceCall { path: "/orders" },
        concurrency: 3,
        pause: Duration::from_millis(50),
    },
];

const SCALEWARD_WORKLOADS: [Workload; 4] = [
    Workload {
        name: "counter",
        token: "counter-demo-token",
        request: chat("kettle", "counter", 30),
        concurrency: 10,
        pause: Duration::from_millis(20),
    },
    Workload {
        name: "nightly",
        token: "nightly-demo-token",
        request: chat("kettle", "nightly", 200),
        concurrency: 6,
        pause: Duration::from_millis(1),
    },
    Workload {
        name: "snooze",
        token: "portland-demo-token",
        request: RequestKind::ServiceCall { path: "/snoozes" },
        concurrency: 2,
        pause: Duration::from_millis(60),
    },
    Workload {
        name: "charge",
        token: "billing-demo-token",
        request: RequestKind::ServiceCall { path: "/charges" },
        concurrency: 2,
        pause: Duration::from_millis(60),
    },
];

const fn chat(model: &'static str, tier: &'static str, tokens: u32) -> RequestKind {
    RequestKind::Chat {
        model,
        tier,
        tokens,
        stream: true,
    }
}

/// Returns the settings of an engine, with a cold start of 2 s after a crash. The last character of
/// the target's name selects one of three speeds.
fn engine_settings(target: &Name) -> EngineSettings {
    let speed = match target.as_str().bytes().last().unwrap_or_default() % 3 {
        0 => 120.0,
        1 => 240.0,
        _ => 480.0,
    };
    EngineSettings {
        decode_rate: speed,
        prefill_rate: speed * 60.0,
        cold_time: 2_000,
        cold_streams: 4,
        warm_start: true,
        ..EngineSettings::default()
    }
}

fn entry_addresses(deployment: &Deployment) -> Vec<SocketAddr> {
    (0..deployment.entries.len())
        .map(|index| deployment.entry_address(index))
        .collect()
}

fn operator_client(deployment: &Deployment) -> ApiClient {
    ApiClient::new(deployment.entry_address(0), OPERATOR_TOKEN)
}

async fn set_zone(deployment: &Deployment, zone: &str, state: &str) -> Result<()> {
    let path = format!("/api/v1/resources/availabilityzones/{zone}");
    let body = json!({ "kind": "AvailabilityZone", "metadata": { "name": zone }, "spec": { "state": state } });
    put(deployment, &path, &body).await
}

async fn start_move(deployment: &Deployment, name: &str, from: &str, to: &str) -> Result<()> {
    let start = SystemTime::now();
    let body = json!({
        "kind": "Move",
        "metadata": { "name": name },
        "spec": {
            "route": "assistant",
            "from": from,
            "to": to,
            "start": Timestamp::new(start),
            "deadline": Timestamp::new(start + MOVE_DURATION),
            "canary": 0.05,
        },
    });
    put(
        deployment,
        &format!("/api/v1/resources/moves/{name}"),
        &body,
    )
    .await
}

async fn put(deployment: &Deployment, path: &str, body: &Value) -> Result<()> {
    let response = operator_client(deployment)
        .send(Method::PUT, path, &[], &body.to_string())
        .await?;
    if response.status.is_success() {
        Ok(())
    } else {
        Err(response.text().into())
    }
}

/// Waits until a move has ended, at most about twice its duration, and returns its state or
/// `not ended`.
async fn wait_for_move_end(deployment: &Deployment, name: &str) -> Result<String> {
    let path = format!("/api/v1/resources/moves/{name}");
    for _ in 0..2 * MOVE_DURATION.as_secs() * 5 {
        let response = operator_client(deployment)
            .send(Method::GET, &path, &[], "")
            .await?;
        let resource: Value = serde_json::from_slice(&response.body)?;
        match resource["spec"]["state"].as_str() {
            Some("active") | None => {}
            Some(state) => return Ok(state.to_owned()),
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    Ok("not ended".to_owned())
}

async fn timeline(deployment: &Deployment) -> Result<Timeline> {
    let response = operator_client(deployment)
        .send(Method::GET, "/api/v1/events", &[], "")
        .await?;
    let mut collected: Value = serde_json::from_slice(&response.body)?;
    let lists: Vec<Vec<Event>> =
        serde_json::from_value(collected["lists"].take()).map_err(Error::from)?;
    Ok(Timeline::merge(lists))
}

fn zone_run_count(deployment: &Deployment, zone: &str) -> u64 {
    let nodes = deployment
        .nodes
        .values()
        .filter(|node| node.row.zone.as_str() == zone);
    nodes
        .map(|node| match &node.fake {
            FakeTarget::Engine(engine) => engine.runs().total,
            FakeTarget::Service(service) => service.runs().total,
        })
        .sum()
}

fn check_cold_load(deployment: &Deployment) -> CheckResult {
    let overloaded = deployment.nodes.values().filter(|node| match &node.fake {
        FakeTarget::Engine(engine) => engine.runs().cold_peak > max_cold_streams(),
        FakeTarget::Service(_) => false,
    });
    CheckResult::from_violations(
        "a cold target gets no more than it bears",
        overloaded.count(),
        "targets got more",
    )
}

/// Returns the accepted peak of streams at a cold engine: one more than its limit.
fn max_cold_streams() -> u32 {
    engine_settings(&Name::new("")).cold_streams + 1
}

async fn sleep_seconds(seconds: u64) {
    tokio::time::sleep(Duration::from_secs(seconds)).await;
}

fn print_progress(text: &str) {
    println!("{text}");
}
