use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use http::StatusCode;
use serde_json::Value;

use ebonylug_standin::ChatRequest;

use crate::{ApiClient, Response};

/// The outcome of one request, as its caller observes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Outcome {
    /// The complete and correct response.
    Answered,
    /// A response that differs from the target's.
    Wrong,
    /// A refusal that states that the request did not run.
    NotRun,
    /// An error that states that the request ran without a complete response.
    Failed,
    /// An error that states that it is unknown whether the request ran.
    Unknown,
    /// The connection was lost without a stated outcome.
    Broken,
}

/// A completed request of the generated load.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// The name of the workload.
    pub workload: &'static str,
    /// The outcome that its caller observed.
    pub outcome: Outcome,
    /// The request id, if the response has one.
    pub request_id: Option<Box<str>>,
    /// The idempotency key of a non-idempotent call.
    pub key: Option<Box<str>>,
    /// The reason of a refusal, if the response states one.
    pub reason: Option<Box<str>>,
    /// Time until the response was complete.
    pub latency: Duration,
}

/// A sequence of similar requests from concurrent callers.
#[derive(Clone, Copy, Debug)]
pub struct Workload {
    /// The name, as shown in the report.
    pub name: &'static str,
    /// The bearer token of the callers.
    pub token: &'static str,
    /// The request to send.
    pub request: RequestKind,
    /// Number of concurrent callers, each of which sends one request at a time.
    pub concurrency: usize,
    /// Pause of a caller after each response.
    pub pause: Duration,
}

/// The type of request of a workload.
#[derive(Clone, Copy, Debug)]
pub enum RequestKind {
    /// A chat completion.
    Chat {
        /// The model name in the body.
        model: &'static str,
        /// The value of the tier header.
        tier: &'static str,
        /// The maximum number of output tokens.
        tokens: u32,
        /// Whether the response is streamed.
        stream: bool,
    },
    /// A non-idempotent call of a plain service.
    ServiceCall {
        /// The path below `/services`.
        path: &'static str,
    },
}

/// A load generator that runs workloads until it is stopped.
pub struct LoadGenerator {
    stopping: Arc<AtomicBool>,
    records: Arc<Mutex<Vec<RequestRecord>>>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl LoadGenerator {
    /// Starts the workloads. Their callers are spread over the entries, and switch to the next
    /// entry after 8 requests or when a request gets no response, as behind a load balancer.
    #[must_use]
    pub fn start(entries: &[SocketAddr], workloads: &[Workload]) -> Self {
        let stopping = Arc::new(AtomicBool::new(false));
        let records = Arc::new(Mutex::new(Vec::new()));
        let next_number = Arc::new(AtomicUsize::new(0));
        let mut tasks = Vec::new();
        for workload in workloads {
            for index in 0..workload.concurrency {
                let run = run_caller(
                    *workload,
                    entries.to_vec(),
                    index,
                    Arc::clone(&next_number),
                    Arc::clone(&stopping),
                    Arc::clone(&records),
                );
                tasks.push(tokio::spawn(run));
            }
        }
        LoadGenerator {
            stopping,
            records,
            tasks,
        }
    }

    /// Returns the number of completed requests.
    #[must_use]
    pub fn completed(&self) -> usize {
        self.records.lock().expect("records lock poisoned").len()
    }

    /// Stops sending, waits for requests in flight, and returns all records.
    pub async fn stop(self) -> Vec<RequestRecord> {
        self.stopping.store(true, Ordering::Relaxed);
        for task in self.tasks {
            // A panic is ignored here, since it is evident from the missing records.
            let _ = task.await;
        }
        std::mem::take(&mut *self.records.lock().expect("records lock poisoned"))
    }
}

async fn run_caller(
    workload: Workload,
    entries: Vec<SocketAddr>,
    index: usize,
    next_number: Arc<AtomicUsize>,
    stopping: Arc<AtomicBool>,
    records: Arc<Mutex<Vec<RequestRecord>>>,
) {
    let mut entry = index;
    while !stopping.load(Ordering::Relaxed) {
        let client = ApiClient::new(entries[entry % entries.len()], workload.token);
        // Callers behind a load balancer also use a connection for several requests.
        for _ in 0..REQUESTS_PER_CONNECTION {
            if stopping.load(Ordering::Relaxed) {
                return;
            }
            let number = next_number.fetch_add(1, Ordering::Relaxed);
            let record = send_request(&client, &workload, number).await;
            let disconnected = record.outcome == Outcome::Broken;
            records.lock().expect("records lock poisoned").push(record);
            tokio::time::sleep(workload.pause).await;
            if disconnected {
                break;
            }
        }
        entry += 1;
    }
}

/// Number of requests that a caller sends to one entry before it switches to the next.
const REQUESTS_PER_CONNECTION: usize = 8;

async fn send_request(client: &ApiClient, workload: &Workload, number: usize) -> RequestRecord {
    let started = Instant::now();
    let (response, correct, key) = match workload.request {
        RequestKind::Chat {
            model,
            tier,
            tokens,
            stream: streamed,
        } => {
            let prompt = format!(
                "{} number {number}: 40 bales of rope for the quay",
                workload.name
            );
            let response = client.chat(model, tier, &prompt, tokens, streamed).await;
            let expected = ChatRequest::user(&prompt, u64::from(tokens)).output_from(0);
            let correct = response
                .as_ref()
                .is_ok_and(|response| completion_text(response, streamed) == Some(expected));
            (response, correct, None)
        }
        RequestKind::ServiceCall { path } => {
            let key = format!("{}-{number}", workload.name);
            let response = client.call_service(path, &key, "{\"bales\":40}").await;
            let correct = response
                .as_ref()
                .is_ok_and(|response| response.status == StatusCode::CREATED);
            (response, correct, Some(key.into()))
        }
    };
    let latency = started.elapsed();
    let response = response.ok();
    let header = |name| {
        response
            .as_ref()
            .and_then(|response| response.header(name))
            .map(Box::from)
    };
    RequestRecord {
        workload: workload.name,
        outcome: classify(response.as_ref(), correct),
        request_id: header("ebonylug-request"),
        key,
        reason: header("ebonylug-reason"),
        latency,
    }
}

fn classify(response: Option<&Response>, correct: bool) -> Outcome {
    let Some(response) = response else {
        return Outcome::Broken;
    };
    match response.header("ebonylug-outcome") {
        Some("not-run") => Outcome::NotRun,
        Some("failed") => Outcome::Failed,
        Some(_) => Outcome::Unknown,
        // The headers of a stream are sent before its outcome is known, so the last event of an
        // incomplete stream states it. A server error of the target itself is forwarded without an
        // outcome header.
        None if response.text().contains("\"outcome\":\"failed\"") => Outcome::Failed,
        None if response.text().contains("\"outcome\":\"unknown\"") => Outcome::Unknown,
        None if response.status.is_server_error() => Outcome::Failed,
        None if correct => Outcome::Answered,
        None => Outcome::Wrong,
    }
}

/// Returns the text of a chat completion, or `None` if it is malformed or incomplete.
fn completion_text(response: &Response, streamed: bool) -> Option<String> {
    if !streamed {
        let body: Value = serde_json::from_slice(&response.body).ok()?;
        return Some(
            body["choices"][0]["message"]["content"]
                .as_str()?
                .to_owned(),
        );
    }
    let body = response.text();
    let events = body
        .split("\n\n")
        .filter_map(|event| event.strip_prefix("data: "));
    let mut content = String::new();
    let mut done = false;
    for event in events {
        if event == "[DONE]" {
            done = true;
            break;
        }
        let event: Value = serde_json::from_str(event).ok()?;
        content.push_str(
            event["choices"][0]["delta"]["content"]
                .as_str()
                .unwrap_or_default(),
        );
    }
    done.then_some(content)
}
