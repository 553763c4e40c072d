//! Tests of the fake service over real sockets.

mod common;

use common::{Client, eventually};
use ebonylug_standin::{CannedResponse, Service, ServiceFaults, ServiceSettings};
use http::{Method, StatusCode};
use serde_json::json;

fn start(settings: ServiceSettings) -> (Service, Client) {
    let service = Service::start(settings).unwrap();
    let client = Client::new(service.addr);
    (service, client)
}

/// Guards against bodies that are not stored, and duplicates that are not counted.
#[tokio::test]
async fn stores_and_counts() {
    let (service, client) = start(ServiceSettings::default());
    for path in ["/orders", "/charges", "/snoozes"] {
        let body = json!({ "rope": path }).to_string();
        let mut ids = Vec::new();
        for _ in 0..2 {
            let key = [("idempotency-key", path)];
            let response = client
                .send(Method::POST, path, &key, body.clone())
                .await
                .unwrap();
            assert_eq!(response.status, StatusCode::CREATED);
            ids.push(response.json()["id"].to_string());
        }
        assert_ne!(ids[0], ids[1], "the service must not hide a duplicate");
        let stored = client.get(&format!("{path}/{}", ids[1])).await;
        assert_eq!(stored.to_string(), body);
        assert_eq!(service.runs().keys[path], 2);
    }
    let none = client
        .send(Method::GET, "/orders/99", &[], "")
        .await
        .unwrap();
    assert_eq!(none.status, StatusCode::NOT_FOUND);
    assert_eq!(
        client.get("/runs").await["bodies"]
            .as_object()
            .unwrap()
            .len(),
        3
    );
}

/// Guards against statuses, headers and bodies that are not returned as configured or sent.
#[tokio::test]
async fn echoes_and_canned_responses() {
    let canned = CannedResponse {
        status: 418,
        headers: [("x-shape".into(), "round".into())].into(),
        body: "short".into(),
    };
    let (_service, client) = start(ServiceSettings {
        responses: [("/teapot".into(), canned)].into(),
        ..ServiceSettings::default()
    });
    let response = client.send(Method::GET, "/teapot", &[], "").await.unwrap();
    assert_eq!(
        (response.status.as_u16(), &*response.body),
        (418, &b"short"[..])
    );
    assert_eq!(response.headers["x-shape"], "round");
    let headers = [("x-mill", "3"), ("content-type", "text/csv")];
    let response = client
        .send(Method::PUT, "/any?status=207", &headers, "1;2")
        .await
        .unwrap();
    assert_eq!(
        (response.status.as_u16(), &*response.body),
        (207, &b"1;2"[..])
    );
    assert_eq!(response.headers["x-mill"], "3");
    assert_eq!(response.headers["content-type"], "text/csv");
}

/// Guards against a fault that occurs before the effect of a request instead of after it, or vice
/// versa.
#[tokio::test]
async fn faults_before_and_after_the_effect() {
    let none = ServiceFaults::default();
    let cases = [
        (
            "fail",
            ServiceFaults {
                fail_next: 1,
                ..none.clone()
            },
            Some(500),
            0,
        ),
        (
            "crash before",
            ServiceFaults {
                crash_before: true,
                ..none.clone()
            },
            None,
            0,
        ),
        (
            "crash after",
            ServiceFaults {
                crash_after: true,
                ..none.clone()
            },
            None,
            1,
        ),
        (
            "slow",
            ServiceFaults {
                delay_ms: 1,
                ..none
            },
            Some(201),
            1,
        ),
    ];
    for (name, faults, status, applied) in cases {
        let (service, client) = start(ServiceSettings {
            down_time: 1,
            ..ServiceSettings::default()
        });
        client.post("/admin/faults", &faults).await.unwrap();
        let response = client.post("/charges", &json!({ "cents": 1 })).await;
        assert_eq!(
            response.map(|response| response.status.as_u16()),
            status,
            "{name}"
        );
        eventually("the service is up", async || {
            client.send(Method::GET, "/health", &[], "").await.is_some()
        })
        .await;
        let stored = client
            .send(Method::GET, "/charges/1", &[], "")
            .await
            .unwrap();
        let expected = if applied == 1 { 200 } else { 404 };
        assert_eq!(stored.status, expected, "{name}");
        assert_eq!(service.runs().bodies.len(), applied, "{name}");
    }
}

/// Guards against a hanging request that is answered, or that is applied although the service
/// hangs before the effect.
#[tokio::test]
async fn hanging_requests() {
    let none = ServiceFaults::default();
    let cases = [
        (
            ServiceFaults {
                hang: true,
                ..none.clone()
            },
            0,
        ),
        (
            ServiceFaults {
                hang_after: true,
                ..none.clone()
            },
            1,
        ),
    ];
    for (faults, applied) in cases {
        let (service, client) = start(ServiceSettings::default());
        service.set_faults(faults);
        let body = json!({});
        let call = client.post("/orders", &body);
        let timeout = std::time::Duration::from_millis(300);
        assert!(tokio::time::timeout(timeout, call).await.is_err());
        assert_eq!(service.runs().bodies.len(), applied);
        service.set_faults(none.clone());
        assert_eq!(client.get("/load").await["epoch"], 1);
    }
}
