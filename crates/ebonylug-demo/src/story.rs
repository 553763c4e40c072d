//! What the demo does with each sample deployment.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

use http::Method;
use serde_json::{Value, json};

use ebonylug_core::Name;
use ebonylug_events::{Event, Origin, Timeline};
use ebonylug_resource::Timestamp;
use ebonylug_standin::{EngineFaults, EngineSettings};

use crate::deployment::{Deployment, DeploymentOptions, Error, Fake, OPERATOR_TOKEN, Result};
use crate::load::{Call, Load, Stream};
use crate::verdict::{Verdict, judge, summary};
use crate::{Caller, FIBRAS, SCALEWARD};

/// What happened in one deployment.
pub struct Told {
    /// The name of the user.
    pub name: &'static str,
    /// Counts of outcomes.
    pub summary: String,
    /// The verdicts on the promises.
    pub verdicts: Vec<Verdict>,
    /// The events of all processes.
    pub timeline: Timeline,
}

impl Told {
    /// Returns the time line without the events of single requests.
    #[must_use]
    pub fn milestones(&self) -> String {
        let events = self.timeline.events().iter();
        let chosen = events
            .filter(|event| event.subject.request.is_none() && event.subject.attempt.is_none());
        let lines = chosen.map(|event| {
            let Origin { process, .. } = &event.origin;
            format!("  {process}: {} {}\n", event.kind, event.subject)
        });
        lines.collect()
    }
}

/// Time after which a drained zone gets no new work.
const DRAIN_TIME: Duration = Duration::from_secs(3);
/// The length of a move in the demo.
const MOVE_TIME: Duration = Duration::from_secs(9);

/// Quotations, summaries and dispatch orders; a zone is drained and restored, and a target dies.
///
/// # Errors
///
/// Fails if the deployment does not start or an operator's call is refused.
pub async fn fibras() -> Result<Told> {
    let mut deployment = Deployment::start(DeploymentOptions {
        resources: FIBRAS,
        entries: 2,
        engine_settings: engine,
        configure_sidecar: |_| {},
        seed: 1,
    })
    .await?;
    progress("fibras: started");
    let load = Load::start(&entries(&deployment), &FIBRAS_STREAMS);
    wait(4).await;

    set_zone(&deployment, "nicoya-c", "drained").await?;
    progress("fibras: drained nicoya-c");
    tokio::time::sleep(DRAIN_TIME).await;
    let before = zone_runs(&deployment, "nicoya-c");
    wait(3).await;
    let late = zone_runs(&deployment, "nicoya-c") - before;
    set_zone(&deployment, "nicoya-c", "open").await?;
    progress("fibras: restored nicoya-c");
    wait(3).await;

    if let Some(Fake::Engine(engine)) = deployment.nodes.get("sisal-1").map(|node| &node.fake) {
        engine.crash();
    }
    progress("fibras: sisal-1 crashed");
    wait(4).await;

    let sidecar = deployment
        .nodes
        .get_mut("sisal-2")
        .and_then(|node| node.sidecar.take());
    let remaining = match sidecar {
        Some(sidecar) => sidecar.stop().await,
        None => 0,
    };
    progress("fibras: the sidecar of sisal-2 was stopped as planned");
    wait(2).await;

    let records = load.stop().await;
    let mut verdicts = judge(&deployment, &records);
    verdicts.push(Verdict::none(
        "a drained zone gets no new work after 3 s",
        late as usize,
        "requests came later",
    ));
    verdicts.push(Verdict::none(
        "a planned stop cuts off no request",
        remaining,
        "attempts were cut off",
    ));
    verdicts.push(cold(&deployment));
    Ok(Told {
        name: "Cordelería Guanacaste Unida, fibras division",
        summary: summary(&records),
        verdicts,
        timeline: timeline(&deployment).await?,
    })
}

/// Counter answers, nightly drafts, reminders and charges; a good and a bad version move.
///
/// # Errors
///
/// Fails if the deployment does not start or an operator's call is refused.
pub async fn scaleward() -> Result<Told> {
    let deployment = Deployment::start(DeploymentOptions {
        resources: SCALEWARD,
        entries: 2,
        engine_settings: engine,
        configure_sidecar: |_| {},
        seed: 2,
    })
    .await?;
    progress("scaleward: started");
    let load = Load::start(&entries(&deployment), &SCALEWARD_STREAMS);
    wait(2).await;

    start_move(&deployment, "to-kettle-2", "kettle-1", "kettle-2").await?;
    progress("scaleward: the move to kettle-2 has begun");
    let good = end_of_move(&deployment, "to-kettle-2").await?;
    progress(&format!("scaleward: the move to kettle-2 is {good}"));

    for node in deployment.nodes.values() {
        if let (Fake::Engine(engine), Some(target)) = (&node.fake, &node.row.target)
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
    progress("scaleward: the move to a bad kettle-1 has begun");
    let bad = end_of_move(&deployment, "back-to-kettle-1").await?;
    progress(&format!("scaleward: the move to a bad kettle-1 is {bad}"));
    wait(1).await;

    let records = load.stop().await;
    let mut verdicts = judge(&deployment, &records);
    verdicts.push(Verdict {
        promise: "a good version takes over by its deadline",
        kept: good == "finished",
        detail: good,
    });
    verdicts.push(Verdict {
        promise: "a bad version is rolled back",
        kept: bad == "cancelled",
        detail: bad,
    });
    verdicts.push(cold(&deployment));
    Ok(Told {
        name: "Scaleward Kettle Care",
        summary: summary(&records),
        verdicts,
        timeline: timeline(&deployment).await?,
    })
}

const FIBRAS_STREAMS: [Stream; 3] = [
    Stream {
        name: "quotation",
        token: "fibras-demo-token",
        call: chat("sisal", "quotation", 40),
        callers: 6,
        pause: Duration::from_millis(40),
    },
    Stream {
        name: "summary",
        token: "molino-demo-token",
        call: chat("sisal", "summary", 300),
        callers: 8,
        pause: Duration::from_millis(1),
    },
    Stream {
        name: "order",
        token: "puertos-demo-token",
        call: Call::Once { path: "/orders" },
        callers: 3,
        pause: Duration::from_millis(50),
    },
];

const SCALEWARD_STREAMS: [Stream; 4] = [
    Stream {
        name: "counter",
        token: "counter-demo-token",
        call: chat("kettle", "counter", 30),
        callers: 10,
        pause: Duration::from_millis(20),
    },
    Stream {
        name: "nightly",
        token: "nightly-demo-token",
        call: chat("kettle", "nightly", 200),
        callers: 6,
        pause: Duration::from_millis(1),
    },
    Stream {
        name: "snooze",
        token: "portland-demo-token",
        call: Call::Once { path: "/snoozes" },
        callers: 2,
        pause: Duration::from_millis(60),
    },
    Stream {
        name: "charge",
        token: "billing-demo-token",
        call: Call::Once { path: "/charges" },
        callers: 2,
        pause: Duration::from_millis(60),
    },
];

const fn chat(model: &'static str, tier: &'static str, tokens: u32) -> Call {
    Call::Chat {
        model,
        tier,
        tokens,
        stream: true,
    }
}

/// Engines of unlike speed; a crashed one is cold for a while.
fn engine(target: &Name) -> EngineSettings {
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

fn entries(deployment: &Deployment) -> Vec<SocketAddr> {
    (0..deployment.entries.len())
        .map(|index| deployment.entry_address(index))
        .collect()
}

fn operator(deployment: &Deployment) -> Caller {
    Caller::new(deployment.entry_address(0), OPERATOR_TOKEN)
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
            "deadline": Timestamp::new(start + MOVE_TIME),
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
    let answer = operator(deployment)
        .send(Method::PUT, path, &[], &body.to_string())
        .await?;
    if answer.status.is_success() {
        Ok(())
    } else {
        Err(answer.text().into())
    }
}

/// Waits until a move has ended, at most twice its length, and returns the state it ended in.
async fn end_of_move(deployment: &Deployment, name: &str) -> Result<String> {
    let path = format!("/api/v1/resources/moves/{name}");
    for _ in 0..2 * MOVE_TIME.as_secs() * 5 {
        let answer = operator(deployment)
            .send(Method::GET, &path, &[], "")
            .await?;
        let resource: Value = serde_json::from_slice(&answer.body)?;
        match resource["spec"]["state"].as_str() {
            Some("active") | None => {}
            Some(state) => return Ok(state.to_owned()),
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    Ok("not ended".to_owned())
}

async fn timeline(deployment: &Deployment) -> Result<Timeline> {
    let answer = operator(deployment)
        .send(Method::GET, "/api/v1/events", &[], "")
        .await?;
    let mut collected: Value = serde_json::from_slice(&answer.body)?;
    let lists: Vec<Vec<Event>> =
        serde_json::from_value(collected["lists"].take()).map_err(Error::from)?;
    Ok(Timeline::merge(lists))
}

fn zone_runs(deployment: &Deployment, zone: &str) -> u64 {
    let nodes = deployment
        .nodes
        .values()
        .filter(|node| node.row.zone.as_str() == zone);
    nodes
        .map(|node| match &node.fake {
            Fake::Engine(engine) => engine.runs().total,
            Fake::Service(service) => service.runs().total,
        })
        .sum()
}

fn cold(deployment: &Deployment) -> Verdict {
    let above = deployment.nodes.values().filter(|node| match &node.fake {
        Fake::Engine(engine) => engine.runs().cold_peak > engine_cold_bound(),
        Fake::Service(_) => false,
    });
    Verdict::none(
        "a cold target gets no more than it bears",
        above.count(),
        "targets got more",
    )
}

fn engine_cold_bound() -> u32 {
    engine(&Name::new("")).cold_streams + 1
}

async fn wait(seconds: u64) {
    tokio::time::sleep(Duration::from_secs(seconds)).await;
}

fn progress(text: &str) {
    println!("{text}");
}
