//! End-to-end tests over real sockets: caller, entry, sidecar and target.

use ebonylug_demo::{ApiClient, Deployment, DeploymentOptions, FIBRAS};
use ebonylug_standin::{Engine, EngineSettings};
use http::Method;

fn engine_settings() -> EngineSettings {
    EngineSettings {
        scale: 0.01,
        ..EngineSettings::default()
    }
}

async fn fibras_deployment() -> Deployment {
    let options = DeploymentOptions {
        resources: FIBRAS,
        entries: 2,
        engine_settings: |_| engine_settings(),
        configure_sidecar: |_| {},
        seed: 1,
    };
    Deployment::start(options)
        .await
        .expect("the deployment starts")
}

/// Guards against losing or changing parts of a response between target and caller.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn responses_match_those_of_the_target() {
    let deployment = fibras_deployment().await;
    let direct = Engine::start(EngineSettings {
        models: vec!["sisal".into()],
        version: "sisal-1".into(),
        ..engine_settings()
    })
    .expect("the engine starts");
    let direct = ApiClient::new(direct.addr, "");
    for entry in 0..2 {
        let client = ApiClient::new(deployment.entry_address(entry), "fibras-demo-token");
        for stream in [false, true] {
            let prompt = format!("{entry} {stream}: a quotation for 40 m of rope");
            let response = client.chat("sisal", "quotation", &prompt, 24, stream).await;
            let response = response.expect("a response arrives");
            let expected = direct.chat("sisal", "quotation", &prompt, 24, stream).await;
            let expected = expected.expect("the target responds");
            assert_eq!(response.status, expected.status);
            assert_eq!(response.text(), expected.text());
        }
    }
}

/// Guards against metrics and health endpoints that are missing, and metrics that do not count
/// requests.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn metrics_count_served_requests() {
    let deployment = fibras_deployment().await;
    let client = ApiClient::new(deployment.entry_address(0), "fibras-demo-token");
    let response = client
        .chat("sisal", "quotation", "a quotation", 4, false)
        .await;
    assert_eq!(response.expect("a response arrives").status, 200);
    let page = async |path: &str| {
        let page = client.send(Method::GET, path, &[], "").await;
        page.expect("the entry responds")
    };
    assert_eq!(page("/healthz").await.status, 200);
    assert_eq!(page("/readyz").await.status, 200);
    let metrics = page("/metrics").await.text();
    let expected =
        "ebonylug_requests_total{outcome=\"answered\",reason=\"\",tier=\"interactive-0\"} 1";
    assert!(metrics.contains(expected), "{metrics}");
    assert!(metrics.contains("ebonylug_revision 1"), "{metrics}");
}

/// Guards against invalid requests that run, or whose response does not state the outcome.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_requests_are_rejected_as_not_run() {
    let deployment = fibras_deployment().await;
    let chat = "/v1/chat/completions";
    let valid_body = "{\"model\":\"sisal\",\"messages\":[]}";
    let (post, token) = (Method::POST, "fibras-demo-token");
    let oversized_body = "x".repeat((16 << 20) + 1);
    let cases = [
        InvalidRequest::new("wrong", &post, chat, valid_body, 401),
        InvalidRequest::new(token, &post, chat, "{\"model\":", 400),
        InvalidRequest::new(token, &post, chat, "{\"messages\":[]}", 400),
        InvalidRequest::new(
            token,
            &post,
            chat,
            "{\"model\":\"none\",\"messages\":[]}",
            404,
        ),
        InvalidRequest::new(token, &post, chat, valid_body, 400).header("ebonylug-tier", "none"),
        InvalidRequest::new(token, &post, chat, valid_body, 400)
            .header("ebonylug-deadline", "soon"),
        InvalidRequest::new(token, &post, "/none", valid_body, 404),
        InvalidRequest::new(token, &Method::GET, chat, "", 405),
        InvalidRequest::new(token, &post, "/services/orders", "{}", 400),
        InvalidRequest::new(token, &post, "/services/orders", &oversized_body, 413)
            .header("idempotency-key", "k"),
    ];
    for case in cases {
        let client = ApiClient::new(deployment.entry_address(0), case.token);
        let response = client
            .send(case.method.clone(), case.path, &case.headers, case.body)
            .await;
        let response = response.expect("the entry responds");
        assert_eq!(
            response.status,
            case.status,
            "{} {:?}: {}",
            case.path,
            case.headers,
            response.text()
        );
        assert_eq!(
            response.header("ebonylug-outcome"),
            Some("not-run"),
            "{}",
            case.path
        );
    }
    let total: u64 = ebonylug_demo::run_counts(&deployment)
        .iter()
        .map(|runs| runs.total)
        .sum();
    assert_eq!(total, 0);
}

/// A request that must be rejected.
struct InvalidRequest<'a> {
    token: &'a str,
    method: &'a Method,
    path: &'a str,
    headers: Vec<(&'a str, &'a str)>,
    body: &'a str,
    status: u16,
}

impl<'a> InvalidRequest<'a> {
    fn new(token: &'a str, method: &'a Method, path: &'a str, body: &'a str, status: u16) -> Self {
        InvalidRequest {
            token,
            method,
            path,
            headers: Vec::new(),
            body,
            status,
        }
    }

    fn header(mut self, name: &'a str, value: &'a str) -> Self {
        self.headers.push((name, value));
        self
    }
}
