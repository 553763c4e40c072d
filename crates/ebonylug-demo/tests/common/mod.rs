//! A small deployment for the failure tests.

// Each test program uses only some of the functions.
#![allow(dead_code)]

use std::time::Duration;

use ebonylug_core::Name;
use ebonylug_demo::{
    ApiClient, Deployment, DeploymentOptions, Engine, FakeTarget, OPERATOR_TOKEN, Service,
};
use ebonylug_standin::EngineSettings;
use http::Method;
use serde_json::Value;

/// Two engines in two zones, and one order service.
pub const SMALL: &str = include_str!("small.json5");
/// Bound on waiting for a condition, far above the duration of any step.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

pub fn engine_settings(_: &Name) -> EngineSettings {
    EngineSettings {
        decode_rate: 200.0,
        warm_start: true,
        down_time: 300,
        ..EngineSettings::default()
    }
}

pub async fn small_deployment() -> Deployment {
    small_deployment_with(engine_settings).await
}

pub async fn small_deployment_with(engine_settings: fn(&Name) -> EngineSettings) -> Deployment {
    let options = DeploymentOptions {
        resources: SMALL,
        entries: 2,
        engine_settings,
        configure_sidecar: |_| {},
        seed: 1,
    };
    Deployment::start(options)
        .await
        .expect("the deployment starts")
}

pub fn client(deployment: &Deployment, entry: usize) -> ApiClient {
    ApiClient::new(deployment.entry_address(entry), "fibras-demo-token")
}

pub fn operator(deployment: &Deployment, entry: usize) -> ApiClient {
    ApiClient::new(deployment.entry_address(entry), OPERATOR_TOKEN)
}

pub fn engine_of<'a>(deployment: &'a Deployment, target: &str) -> &'a Engine {
    match &deployment
        .nodes
        .get(target)
        .expect("the target exists")
        .fake
    {
        FakeTarget::Engine(engine) => engine,
        FakeTarget::Service(_) => panic!("{target} is a service"),
    }
}

pub fn service_of<'a>(deployment: &'a Deployment, target: &str) -> &'a Service {
    match &deployment
        .nodes
        .get(target)
        .expect("the target exists")
        .fake
    {
        FakeTarget::Service(service) => service,
        FakeTarget::Engine(_) => panic!("{target} is an engine"),
    }
}

/// Polls until `condition` holds. Panics after the timeout; `what` describes the condition.
pub async fn wait_until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let wait = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, wait)
        .await
        .unwrap_or_else(|_| panic!("timed out waiting until {what}"));
}

/// Fetches a path of the resource API as JSON.
pub async fn get(operator: &ApiClient, path: &str) -> Value {
    let response = operator
        .send(Method::GET, &format!("/api/v1/{path}"), &[], "")
        .await;
    let response = response.expect("the entry responds");
    serde_json::from_slice(&response.body).expect("the response is JSON")
}

/// Returns the reason of a resource's first condition.
pub async fn first_reason(operator: &ApiClient, path: &str) -> String {
    let resource = get(operator, path).await;
    resource["status"]["conditions"][0]["reason"]
        .as_str()
        .unwrap_or_default()
        .to_owned()
}
