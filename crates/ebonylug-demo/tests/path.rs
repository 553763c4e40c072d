//! The whole path over real sockets: caller, entry, sidecar, target and back.

use ebonylug_demo::{Caller, Deployment, DeploymentOptions, FIBRAS};
use ebonylug_standin::{Engine, EngineSettings};
use http::Method;

fn engine() -> EngineSettings {
    EngineSettings {
        scale: 0.01,
        ..EngineSettings::default()
    }
}

async fn fibras() -> Deployment {
    let options = DeploymentOptions {
        resources: FIBRAS,
        entries: 2,
        engine_settings: |_| engine(),
        configure_sidecar: |_| {},
        seed: 1,
    };
    Deployment::start(options)
        .await
        .expect("the deployment starts")
}

/// Guards against a path that loses or changes parts of an answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_are_those_of_the_target() {
    let deployment = fibras().await;
    let direct = Engine::start(EngineSettings {
        models: vec!["sisal".into()],
        version: "sisal-1".into(),
        ..engine()
    })
    .expect("the engine starts");
    let direct = Caller::new(direct.addr, "");
    for entry in 0..2 {
        let caller = Caller::new(deployment.entry_address(entry), "fibras-demo-token");
        for stream in [false, true] {
            let prompt = format!("{entry} {stream}: a quotation for 40 m of rope");
            let answer = caller.chat("sisal", "quotation", &prompt, 24, stream).await;
            let answer = answer.expect("an answer arrives");
            let expected = direct.chat("sisal", "quotation", &prompt, 24, stream).await;
            let expected = expected.expect("the target answers");
            assert_eq!(answer.status, expected.status);
            assert_eq!(answer.text(), expected.text());
        }
    }
}

/// Guards against metrics and health pages that are not served, or that count nothing.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn metrics_count_what_was_served() {
    let deployment = fibras().await;
    let caller = Caller::new(deployment.entry_address(0), "fibras-demo-token");
    let answer = caller
        .chat("sisal", "quotation", "a quotation", 4, false)
        .await;
    assert_eq!(answer.expect("an answer arrives").status, 200);
    let page = async |path: &str| {
        let page = caller.send(Method::GET, path, &[], "").await;
        page.expect("the entry answers")
    };
    assert_eq!(page("/healthz").await.status, 200);
    assert_eq!(page("/readyz").await.status, 200);
    let metrics = page("/metrics").await.text();
    let answered =
        "ebonylug_requests_total{outcome=\"answered\",reason=\"\",tier=\"interactive-0\"} 1";
    assert!(metrics.contains(answered), "{metrics}");
    assert!(metrics.contains("ebonylug_revision 1"), "{metrics}");
}

/// Guards against bad input that is run, lost, or answered without a clear statement.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bad_input_is_refused_as_not_run() {
    let deployment = fibras().await;
    let chat = "/v1/chat/completions";
    let good = "{\"model\":\"sisal\",\"messages\":[]}";
    let (post, token) = (Method::POST, "fibras-demo-token");
    let large = "x".repeat((16 << 20) + 1);
    let cases = [
        Bad::new("wrong", &post, chat, good, 401),
        Bad::new(token, &post, chat, "{\"model\":", 400),
        Bad::new(token, &post, chat, "{\"messages\":[]}", 400),
        Bad::new(
            token,
            &post,
            chat,
            "{\"model\":\"none\",\"messages\":[]}",
            404,
        ),
        Bad::new(token, &post, chat, good, 400).header("ebonylug-tier", "none"),
        Bad::new(token, &post, chat, good, 400).header("ebonylug-deadline", "soon"),
        Bad::new(token, &post, "/none", good, 404),
        Bad::new(token, &Method::GET, chat, "", 405),
        Bad::new(token, &post, "/services/orders", "{}", 400),
        Bad::new(token, &post, "/services/orders", &large, 413).header("idempotency-key", "k"),
    ];
    for bad in cases {
        let caller = Caller::new(deployment.entry_address(0), bad.token);
        let answer = caller
            .send(bad.method.clone(), bad.path, &bad.headers, bad.body)
            .await;
        let answer = answer.expect("the entry answers");
        assert_eq!(
            answer.status,
            bad.status,
            "{} {:?}: {}",
            bad.path,
            bad.headers,
            answer.text()
        );
        assert_eq!(
            answer.header("ebonylug-outcome"),
            Some("not-run"),
            "{}",
            bad.path
        );
    }
    let total: u64 = ebonylug_demo::runs(&deployment)
        .iter()
        .map(|runs| runs.total)
        .sum();
    assert_eq!(total, 0);
}

/// A request that must be refused.
struct Bad<'a> {
    token: &'a str,
    method: &'a Method,
    path: &'a str,
    headers: Vec<(&'a str, &'a str)>,
    body: &'a str,
    status: u16,
}

impl<'a> Bad<'a> {
    fn new(token: &'a str, method: &'a Method, path: &'a str, body: &'a str, status: u16) -> Self {
        Bad {
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
