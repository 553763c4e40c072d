//! Small deployments for the tests of failures.

#![allow(dead_code)]

use std::time::Duration;

use ebonylug_core::Name;
use ebonylug_demo::{Caller, Deployment, DeploymentOptions, Engine, Fake, OPERATOR_TOKEN, Service};
use ebonylug_standin::EngineSettings;
use http::Method;
use serde_json::Value;

/// Two engines in two zones, and one order service.
pub const SMALL: &str = include_str!("small.json5");
/// Bound on waiting for a condition; it is far above what any step needs.
const WAIT: Duration = Duration::from_secs(30);

pub fn engine(_: &Name) -> EngineSettings {
    EngineSettings {
        decode_rate: 200.0,
        warm_start: true,
        down_time: 300,
        ..EngineSettings::default()
    }
}

pub async fn small() -> Deployment {
    small_with(engine).await
}

pub async fn small_with(engine: fn(&Name) -> EngineSettings) -> Deployment {
    let options = DeploymentOptions {
        resources: SMALL,
        entries: 2,
        engine_settings: engine,
        configure_sidecar: |_| {},
        seed: 1,
    };
    Deployment::start(options)
        .await
        .expect("the deployment starts")
}

pub fn caller(deployment: &Deployment, entry: usize) -> Caller {
    Caller::new(deployment.entry_address(entry), "fibras-demo-token")
}

pub fn operator(deployment: &Deployment, entry: usize) -> Caller {
    Caller::new(deployment.entry_address(entry), OPERATOR_TOKEN)
}

pub fn engine_of<'a>(deployment: &'a Deployment, target: &str) -> &'a Engine {
    match &deployment
        .nodes
        .get(target)
        .expect("the target exists")
        .fake
    {
        Fake::Engine(engine) => engine,
        Fake::Service(_) => panic!("{target} is a service"),
    }
}

pub fn service_of<'a>(deployment: &'a Deployment, target: &str) -> &'a Service {
    match &deployment
        .nodes
        .get(target)
        .expect("the target exists")
        .fake
    {
        Fake::Service(service) => service,
        Fake::Engine(_) => panic!("{target} is an engine"),
    }
}

/// Waits until `condition` holds.
pub async fn until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let wait = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(WAIT, wait)
        .await
        .unwrap_or_else(|_| panic!("waited in vain until {what}"));
}

/// Reads a resource as JSON.
pub async fn get(operator: &Caller, path: &str) -> Value {
    let answer = operator
        .send(Method::GET, &format!("/api/v1/{path}"), &[], "")
        .await;
    let answer = answer.expect("the entry answers");
    serde_json::from_slice(&answer.body).expect("the answer is JSON")
}

/// Returns the reason of a resource's first condition.
pub async fn reason(operator: &Caller, path: &str) -> String {
    let resource = get(operator, path).await;
    resource["status"]["conditions"][0]["reason"]
        .as_str()
        .unwrap_or_default()
        .to_owned()
}
