//! Tests of the fake engine over real sockets.

mod common;

use common::{Client, eventually, parse_events};
use ebonylug_standin::{ChatRequest, Engine, EngineFaults, EngineSettings, StallMode};
use http::{Method, StatusCode};
use http_body_util::BodyExt;
use serde_json::json;

const CHAT: &str = "/v1/chat/completions";

/// Returns settings in which all times are 0.
fn fast() -> EngineSettings {
    EngineSettings {
        scale: 0.0,
        ..EngineSettings::default()
    }
}

/// Returns settings with a decode rate so low that a long stream does not end within a test.
fn slow_decode() -> EngineSettings {
    EngineSettings {
        decode_rate: 20.0,
        prefill_rate: 1e9,
        ..EngineSettings::default()
    }
}

fn start(settings: EngineSettings) -> (Engine, Client) {
    let engine = Engine::start(settings).unwrap();
    let client = Client::new(engine.addr);
    (engine, client)
}

/// Guards against output that differs between engines, between unstreamed and streamed responses,
/// or between a stream and its resumed part.
#[tokio::test]
async fn output_depends_only_on_the_prompt() {
    let request = ChatRequest::user("summarise the shift log of mill 3", 12);
    let (_a, a) = start(fast());
    let (_b, b) = start(EngineSettings {
        seed: 9,
        batch_penalty: 0.5,
        ..fast()
    });
    for client in [&a, &b] {
        let plain = client.post(CHAT, &request).await.unwrap();
        assert_eq!(plain.content(), request.output_from(0));
        assert_eq!(plain.json()["usage"]["completion_tokens"], 12);
        let body = serde_json::to_vec(&request.clone().streamed()).unwrap();
        for offset in [0, 1, 11, 12] {
            let header = [("x-resume-offset", &*offset.to_string())];
            let response = client.send(Method::POST, CHAT, &header, body.clone()).await;
            let (text, usage, done) = parse_events(&response.unwrap().body);
            assert_eq!(text, request.output_from(offset), "offset {offset}");
            assert_eq!(usage["completion_tokens"], 12 - offset);
            assert!(done);
        }
    }
}

/// Guards against invalid requests that are run instead of rejected.
#[tokio::test]
async fn invalid_requests_are_rejected() {
    let (engine, client) = start(fast());
    let cases = [
        ("{", "0", StatusCode::BAD_REQUEST),
        (r#"{"messages": 1}"#, "0", StatusCode::BAD_REQUEST),
        (
            r#"{"messages": [], "max_tokens": 2}"#,
            "3",
            StatusCode::BAD_REQUEST,
        ),
        (
            r#"{"messages": [], "model": "other"}"#,
            "0",
            StatusCode::NOT_FOUND,
        ),
    ];
    for (body, offset, status) in cases {
        let header = [("x-resume-offset", offset)];
        let response = client
            .send(Method::POST, CHAT, &header, body)
            .await
            .unwrap();
        assert_eq!(response.status, status, "{body}");
        assert!(response.json()["error"]["message"].is_string());
    }
    assert_eq!(engine.runs().total, 0);
}

/// Guards against requests that continue to use the engine after their client has disconnected,
/// whether the response is streamed or not.
#[tokio::test]
async fn disconnecting_cancels_the_request() {
    let (engine, client) = start(slow_decode());
    let request = ChatRequest::user("draft", 1_000_000);
    for (n, request) in [request.clone(), request.streamed()].iter().enumerate() {
        let body = serde_json::to_vec(request).unwrap();
        let sender = client.clone();
        let call =
            tokio::spawn(async move { sender.send(Method::POST, CHAT, &[], body).await.is_some() });
        eventually("the stream runs", async || engine.report().running == 1).await;
        call.abort();
        eventually("the stream ends", async || engine.report().running == 0).await;
        assert_eq!(engine.runs().cancelled, n as u64 + 1);
    }
}

/// Guards against a prefix cache that never hits, never evicts, or does not retain the output that
/// a resumed request needs.
#[tokio::test]
async fn prefix_cache() {
    let (engine, client) = start(EngineSettings {
        cache_tokens: 64,
        cache_block: 4,
        cache_lag: 0,
        cache_gaps: 0.5,
        ..fast()
    });
    let cached = async |request: &ChatRequest, offset: &str| {
        let body = serde_json::to_vec(request).unwrap();
        let header = [("x-resume-offset", offset)];
        let response = client
            .send(Method::POST, CHAT, &header, body)
            .await
            .unwrap();
        let report = engine.report();
        (
            response.json()["usage"]["prompt_tokens_details"]["cached_tokens"].as_u64(),
            report.hits,
        )
    };
    let words = |n: u32| (0..n).map(|n| format!("w{n} ")).collect::<String>();
    // The role counts as a token.
    let long = ChatRequest::user(&words(31), 8);
    assert_eq!(cached(&long, "0").await, (Some(0), 0));
    assert_eq!(cached(&long, "0").await, (Some(32), 32));
    // The resumed request hits the prompt and the output of the previous run.
    assert_eq!(cached(&long, "8").await, (Some(32), 72));
    let other = ChatRequest::user(&words(80).replace('w', "v"), 0);
    assert_eq!(cached(&other, "0").await, (Some(0), 72));
    assert_eq!(cached(&long, "0").await, (Some(0), 72));

    let events = client.get("/cache-events?since=0").await;
    let numbers: Vec<u64> = events["events"]
        .as_array()
        .unwrap()
        .iter()
        .map(|event| event["sequence"].as_u64().unwrap())
        .collect();
    assert!(numbers.is_sorted());
    assert!(
        (numbers.len() as u64) < *numbers.last().unwrap(),
        "no gaps in {numbers:?}"
    );
    let changes = events.to_string();
    assert!(changes.contains("stored") && changes.contains("evicted"));
    let rest = client
        .get(&format!("/cache-events?since={}", events["next"]))
        .await;
    assert_eq!(rest["events"], json!([]));
}

/// Guards against a cold engine that accepts more than `cold_streams`, and a crash that leaves
/// connections, caches or the epoch unchanged.
#[tokio::test]
async fn cold_start_and_crash() {
    let (engine, client) = start(EngineSettings {
        cold_time: 3_600_000,
        cold_streams: 2,
        down_time: 1,
        load_lag: 0,
        ..slow_decode()
    });
    let body = serde_json::to_vec(&ChatRequest::user("draft", 1_000_000).streamed()).unwrap();
    let mut streams = Vec::new();
    for _ in 0..2 {
        let response = client.open(Method::POST, CHAT, &[], body.clone()).await;
        streams.push(response.unwrap().into_body());
    }
    eventually("both run", async || engine.report().running == 2).await;
    assert_eq!(client.get("/load").await["epoch"], 1);
    let third = client.send(Method::POST, CHAT, &[], body.clone()).await;
    assert!(third.is_none());
    for stream in streams {
        assert!(
            stream.collect().await.is_err(),
            "a stream survived the crash"
        );
    }
    let runs = engine.runs();
    assert_eq!((runs.crashes, runs.cold_peak, runs.finished), (1, 3, 0));
    eventually("the engine is up", async || {
        client.send(Method::GET, "/health", &[], "").await.is_some()
    })
    .await;
    let report = client.get("/load").await;
    assert_eq!(
        (&report["epoch"], &report["running"]),
        (&json!(2), &json!(0))
    );
}

/// Guards against token and prefill times that do not depend on the load, by which the product
/// compares engines.
#[test]
fn times_depend_on_the_load() {
    let settings = EngineSettings {
        scale: 0.5,
        decode_rate: 50.0,
        batch_penalty: 0.1,
        prefill_rate: 1000.0,
        ..EngineSettings::default()
    };
    let ms = |time: std::time::Duration| time.as_micros() as f64 / 1000.0;
    for (running, time) in [(0, 10.0), (1, 10.0), (2, 11.0), (11, 20.0)] {
        assert_eq!(ms(settings.token_time(running)), time, "{running} streams");
    }
    for (tokens, sharing, time) in [(0, 1, 0.0), (100, 1, 50.0), (100, 3, 150.0)] {
        assert_eq!(ms(settings.prefill_time(tokens, sharing)), time);
    }
}

/// Guards against more running streams than slots, and a `/load` report without delay.
#[tokio::test]
async fn slots_and_load_lag() {
    let (engine, client) = start(EngineSettings {
        slots: 2,
        load_lag: 3_600_000,
        ..slow_decode()
    });
    let body = serde_json::to_vec(&ChatRequest::user("draft", 1_000_000).streamed()).unwrap();
    let mut streams = Vec::new();
    for _ in 0..3 {
        streams.push(client.open(Method::POST, CHAT, &[], body.clone()).await);
    }
    let load = || (engine.report().running, engine.report().waiting);
    eventually("two run, one waits", async || load() == (2, 1)).await;
    assert_eq!(client.get("/load").await["running"], 0);
    streams.remove(0);
    eventually("the third runs", async || load() == (2, 0)).await;
    assert_eq!(engine.runs().cancelled, 1);
}

/// Guards against a cold start without a crash that does not limit the streams, or that changes
/// the epoch.
#[tokio::test]
async fn cold_start_without_crash() {
    let (engine, client) = start(EngineSettings {
        cold_time: 3_600_000,
        cold_streams: 0,
        warm_start: true,
        decode_rate: 1e6,
        prefill_rate: 1e9,
        ..EngineSettings::default()
    });
    let request = ChatRequest::user("hello", 1);
    assert!(client.post(CHAT, &request).await.is_some());
    let make_cold = EngineFaults {
        make_cold: true,
        ..EngineFaults::default()
    };
    client.post("/admin/faults", &make_cold).await.unwrap();
    assert_eq!((engine.report().epoch, engine.runs().crashes), (1, 0));
    assert!(client.post(CHAT, &request).await.is_none());
    assert_eq!((engine.runs().crashes, engine.runs().cold_peak), (1, 1));
}

/// Guards against engines in one process that interfere with each other.
#[tokio::test]
async fn many_engines_in_one_process() {
    let engines: Vec<_> = (0..40).map(|_| start(fast())).collect();
    let request = ChatRequest::user("hello", 3);
    for (engine, client) in &engines {
        assert_eq!(
            client.post(CHAT, &request).await.unwrap().content(),
            request.output_from(0)
        );
        assert_eq!(engine.runs().total, 1);
    }
}

/// Guards against an engine that accepts connections or loses its port while it is down.
#[tokio::test]
async fn down_engine_refuses_connections() {
    let (engine, client) = start(EngineSettings {
        down_time: 3_600_000,
        ..slow_decode()
    });
    client.get("/health").await;
    let crash = EngineFaults {
        crash: true,
        ..EngineFaults::default()
    };
    let response = client.post("/admin/faults", &crash).await.unwrap();
    assert_eq!(response.status, StatusCode::OK);
    eventually("connections are refused", async || {
        let error = tokio::net::TcpStream::connect(engine.addr).await.err();
        error.is_some_and(|error| error.kind() == std::io::ErrorKind::ConnectionRefused)
    })
    .await;
}

/// Guards against faults that apply to requests that they do not match.
#[tokio::test]
async fn faults_select_requests() {
    let (engine, client) = start(EngineSettings {
        models: vec!["a".into(), "b".into()],
        ..fast()
    });
    let fail = EngineFaults {
        fail_rate: 1.0,
        ..EngineFaults::default()
    };
    let cases = [
        ("at once", fail.clone(), [500, 500, 500]),
        (
            "after",
            EngineFaults {
                skip_first: 2,
                ..fail.clone()
            },
            [200, 200, 500],
        ),
        (
            "above load",
            EngineFaults {
                load_above: 1,
                ..fail.clone()
            },
            [200, 200, 200],
        ),
        (
            "model",
            EngineFaults {
                model: Some("b".into()),
                ..fail.clone()
            },
            [200, 500, 200],
        ),
        (
            "version",
            EngineFaults {
                version: Some("2".into()),
                ..fail
            },
            [200, 200, 200],
        ),
        ("none", EngineFaults::default(), [200, 200, 200]),
    ];
    for (name, faults, expected) in cases {
        engine.set_faults(faults).unwrap();
        for (model, status) in ["a", "b", "a"].into_iter().zip(expected) {
            let mut request = ChatRequest::user("hello", 1);
            request.model = Some(model.into());
            let response = client.post(CHAT, &request).await.unwrap();
            assert_eq!(response.status.as_u16(), status, "{name}, model {model}");
        }
    }
    let cut = EngineFaults {
        cut_rate: 1.0,
        ..EngineFaults::default()
    };
    engine.set_faults(cut).unwrap();
    let request = ChatRequest::user("hello", 8);
    assert!(client.post(CHAT, &request).await.is_none());
    assert!(client.post(CHAT, &request.streamed()).await.is_none());
}

/// Guards against a poisoned prompt that does not crash the engine, and other prompts that do.
#[tokio::test]
async fn poisoned_prompt_crashes() {
    let (engine, client) = start(fast());
    let faults = EngineFaults {
        poison: Some("knot".into()),
        ..EngineFaults::default()
    };
    engine.set_faults(faults).unwrap();
    assert!(
        client
            .post(CHAT, &ChatRequest::user("a bow", 1))
            .await
            .is_some()
    );
    assert!(
        client
            .post(CHAT, &ChatRequest::user("a knot", 1))
            .await
            .is_none()
    );
    assert_eq!(engine.runs().crashes, 1);
}

/// Guards against stalled connections that resume, and new connections that are stalled although
/// only the open ones are selected.
#[tokio::test]
async fn stalled_connections() {
    let (engine, client) = start(slow_decode());
    let body = serde_json::to_vec(&ChatRequest::user("draft", 1_000_000).streamed()).unwrap();
    let response = client.open(Method::POST, CHAT, &[], body).await.unwrap();
    let mut stream = response.into_body();
    stream.frame().await.unwrap().unwrap();
    let stall_open = EngineFaults {
        stall_mode: StallMode::Open,
        ..EngineFaults::default()
    };
    engine.set_faults(stall_open).unwrap();
    engine.set_faults(EngineFaults::default()).unwrap();
    // Frames that were already in flight may still arrive.
    let timeout = std::time::Duration::from_millis(300);
    let mut late = 0;
    while let Ok(frame) = tokio::time::timeout(timeout, stream.frame()).await {
        frame
            .expect("the stream ended")
            .expect("the stream was aborted");
        late += 1;
        assert!(late < 10, "the stream is not stalled");
    }
    Client::new(engine.addr).get("/health").await;

    let stall_all = EngineFaults {
        stall_mode: StallMode::All,
        ..EngineFaults::default()
    };
    engine.set_faults(stall_all).unwrap();
    let new_client = Client::new(engine.addr);
    let health = new_client.get("/health");
    assert!(tokio::time::timeout(timeout, health).await.is_err());
    let admin = new_client
        .post("/admin/faults", &EngineFaults::default())
        .await;
    assert!(admin.is_some(), "the admin endpoint is stalled");
    Client::new(engine.addr).get("/health").await;
}

/// Guards against stale orders that are applied by an engine that checks the fencing token, or
/// rejected by one that does not, and a new version that does not reset the caches and the epoch.
#[tokio::test]
async fn orders_and_fencing() {
    for (check_fence, status, version) in [(true, 409, "2"), (false, 202, "3")] {
        let (engine, client) = start(EngineSettings {
            check_fence,
            ..fast()
        });
        let load = |fence: u64, version: &str| json!({ "fence": fence, "load": { "id": "standin", "version": version } });
        let response = client.post("/orders", &load(5, "2")).await.unwrap();
        assert_eq!(response.status, StatusCode::ACCEPTED);
        eventually("the version is loaded", async || {
            &*engine.models()[0].version == "2"
        })
        .await;
        assert_eq!(engine.report().epoch, 2);
        let response = client.post("/orders", &load(4, "3")).await.unwrap();
        assert_eq!(response.status.as_u16(), status);
        eventually("the expected version is loaded", async || {
            &*engine.models()[0].version == version
        })
        .await;
        let role = json!({ "fence": 6, "role": "prefill" });
        client.post("/orders", &role).await.unwrap();
        assert_eq!(client.get("/v1/models").await["role"], "prefill");
    }
}

/// Guards against runs that are not counted. Tests of the product detect duplicates by these
/// counts.
#[tokio::test]
async fn runs_are_counted() {
    let (engine, client) = start(fast());
    let body = serde_json::to_vec(&ChatRequest::user("hello", 4)).unwrap();
    for (attempt, offset) in [
        ("00ab-0", "0"),
        ("00ab-1", "0"),
        ("00ab-2", "2"),
        ("00cd-0", "0"),
    ] {
        let headers = [("ebonylug-attempt", attempt), ("x-resume-offset", offset)];
        client
            .send(Method::POST, CHAT, &headers, body.clone())
            .await
            .unwrap();
    }
    let runs = client.get("/runs").await;
    assert_eq!(runs["requests"], json!({ "00ab": 2, "00cd": 1 }));
    assert_eq!(runs["resumed"], json!({ "00ab": 1 }));
    assert_eq!(runs["attempts"].as_object().unwrap().len(), 4);
    assert_eq!((engine.runs().max_count(), engine.runs().finished), (2, 4));
}
