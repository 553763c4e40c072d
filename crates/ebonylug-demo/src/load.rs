use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use http::StatusCode;
use serde_json::Value;

use ebonylug_standin::ChatRequest;

use crate::{Answer, Caller};

/// What became of one request, as its caller saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Seen {
    /// The whole and right answer.
    Answered,
    /// An answer that is not the target's.
    Wrong,
    /// A refusal that says the request was not run.
    NotRun,
    /// A statement that the request ran without a whole answer.
    Failed,
    /// A statement that it is not known whether the request ran.
    Unknown,
    /// The connection broke: no outcome.
    Broken,
}

/// One request of the load.
#[derive(Clone, Debug)]
pub struct Record {
    /// The name of the stream of requests.
    pub stream: &'static str,
    /// What became of it.
    pub seen: Seen,
    /// The request id, if the entry gave one.
    pub request: Option<Box<str>>,
    /// The idempotency key of a call that may not be repeated.
    pub key: Option<Box<str>>,
    /// The reason of a refusal.
    pub reason: Option<Box<str>>,
    /// Time to the whole answer.
    pub time: Duration,
}

/// A stream of like requests.
#[derive(Clone, Copy, Debug)]
pub struct Stream {
    /// The name, for the report.
    pub name: &'static str,
    /// The bearer token.
    pub token: &'static str,
    /// What is requested.
    pub call: Call,
    /// Callers that send one request after the other.
    pub callers: usize,
    /// Pause of a caller after each answer.
    pub pause: Duration,
}

/// What a stream requests.
#[derive(Clone, Copy, Debug)]
pub enum Call {
    /// A chat completion.
    Chat {
        /// The model.
        model: &'static str,
        /// The tier.
        tier: &'static str,
        /// Output tokens.
        tokens: u32,
        /// Whether the answer is streamed.
        stream: bool,
    },
    /// A call of a plain service that may not be repeated.
    Once {
        /// The path below `/services`.
        path: &'static str,
    },
}

/// Streams of requests that run until they are stopped.
pub struct Load {
    stopping: Arc<AtomicBool>,
    records: Arc<Mutex<Vec<Record>>>,
    callers: Vec<tokio::task::JoinHandle<()>>,
}

impl Load {
    /// Starts the streams. Their callers spread over the entries and change to the next one when a
    /// request gets no answer, as behind a balancer.
    #[must_use]
    pub fn start(entries: &[SocketAddr], streams: &[Stream]) -> Self {
        let stopping = Arc::new(AtomicBool::new(false));
        let records = Arc::new(Mutex::new(Vec::new()));
        let numbers = Arc::new(AtomicUsize::new(0));
        let mut callers = Vec::new();
        for stream in streams {
            for index in 0..stream.callers {
                let run = run(
                    *stream,
                    entries.to_vec(),
                    index,
                    Arc::clone(&numbers),
                    Arc::clone(&stopping),
                    Arc::clone(&records),
                );
                callers.push(tokio::spawn(run));
            }
        }
        Load {
            stopping,
            records,
            callers,
        }
    }

    /// Returns the number of requests that have ended.
    #[must_use]
    pub fn ended(&self) -> usize {
        self.records.lock().expect("records lock poisoned").len()
    }

    /// Stops sending, waits for the answers that are due, and returns all records.
    pub async fn stop(self) -> Vec<Record> {
        self.stopping.store(true, Ordering::Relaxed);
        for caller in self.callers {
            // A caller that has panicked shows in the records that it lacks.
            let _ = caller.await;
        }
        std::mem::take(&mut *self.records.lock().expect("records lock poisoned"))
    }
}

async fn run(
    stream: Stream,
    entries: Vec<SocketAddr>,
    index: usize,
    numbers: Arc<AtomicUsize>,
    stopping: Arc<AtomicBool>,
    records: Arc<Mutex<Vec<Record>>>,
) {
    let mut entry = index;
    while !stopping.load(Ordering::Relaxed) {
        let caller = Caller::new(entries[entry % entries.len()], stream.token);
        // Several requests over one connection, as callers behind a balancer send them.
        for _ in 0..REQUESTS_PER_CONNECTION {
            if stopping.load(Ordering::Relaxed) {
                return;
            }
            let number = numbers.fetch_add(1, Ordering::Relaxed);
            let record = send(&caller, &stream, number).await;
            let broken = record.seen == Seen::Broken;
            records.lock().expect("records lock poisoned").push(record);
            tokio::time::sleep(stream.pause).await;
            if broken {
                break;
            }
        }
        entry += 1;
    }
}

/// Requests that a caller sends to one entry before it turns to the next.
const REQUESTS_PER_CONNECTION: usize = 8;

async fn send(caller: &Caller, stream: &Stream, number: usize) -> Record {
    let began = Instant::now();
    let (answer, right, key) = match stream.call {
        Call::Chat {
            model,
            tier,
            tokens,
            stream: streamed,
        } => {
            let prompt = format!(
                "{} number {number}: 40 bales of rope for the quay",
                stream.name
            );
            let answer = caller.chat(model, tier, &prompt, tokens, streamed).await;
            let expected = ChatRequest::user(&prompt, u64::from(tokens)).output_from(0);
            let right = answer
                .as_ref()
                .is_ok_and(|answer| text(answer, streamed) == Some(expected));
            (answer, right, None)
        }
        Call::Once { path } => {
            let key = format!("{}-{number}", stream.name);
            let answer = caller.once(path, &key, "{\"bales\":40}").await;
            let right = answer
                .as_ref()
                .is_ok_and(|answer| answer.status == StatusCode::CREATED);
            (answer, right, Some(key.into()))
        }
    };
    let time = began.elapsed();
    let answer = answer.ok();
    let header = |name| {
        answer
            .as_ref()
            .and_then(|answer| answer.header(name))
            .map(Box::from)
    };
    Record {
        stream: stream.name,
        seen: seen(answer.as_ref(), right),
        request: header("ebonylug-request"),
        key,
        reason: header("ebonylug-reason"),
        time,
    }
}

fn seen(answer: Option<&Answer>, right: bool) -> Seen {
    let Some(answer) = answer else {
        return Seen::Broken;
    };
    match answer.header("ebonylug-outcome") {
        Some("not-run") => Seen::NotRun,
        Some("failed") => Seen::Failed,
        Some(_) => Seen::Unknown,
        // A server error of the target itself is passed on.
        // A stream that has begun states in its last event that it is not whole.
        None if answer.text().contains("\"outcome\":\"failed\"") => Seen::Failed,
        None if answer.text().contains("\"outcome\":\"unknown\"") => Seen::Unknown,
        None if answer.status.is_server_error() => Seen::Failed,
        None if right => Seen::Answered,
        None => Seen::Wrong,
    }
}

/// Returns the text of a chat completion.
fn text(answer: &Answer, streamed: bool) -> Option<String> {
    if !streamed {
        let body: Value = serde_json::from_slice(&answer.body).ok()?;
        return Some(
            body["choices"][0]["message"]["content"]
                .as_str()?
                .to_owned(),
        );
    }
    let body = answer.text();
    let events = body
        .split("\n\n")
        .filter_map(|event| event.strip_prefix("data: "));
    let mut whole = String::new();
    let mut done = false;
    for event in events {
        if event == "[DONE]" {
            done = true;
            break;
        }
        let event: Value = serde_json::from_str(event).ok()?;
        whole.push_str(
            event["choices"][0]["delta"]["content"]
                .as_str()
                .unwrap_or_default(),
        );
    }
    done.then_some(whole)
}
