//! A small HTTP client for the tests of the fakes.
#![allow(dead_code)] // Each test binary uses another part.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client as Legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde_json::Value;

/// A bound for what must happen at all; no test measures time with it.
const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// An answer with its whole body.
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Answer {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap()
    }

    /// The text of a plain chat completion.
    pub fn content(&self) -> String {
        let content = &self.json()["choices"][0]["message"]["content"];
        content.as_str().unwrap().into()
    }
}

/// A client of one fake.
#[derive(Clone)]
pub struct Client {
    addr: SocketAddr,
    inner: Legacy<HttpConnector, Full<Bytes>>,
}

impl Client {
    pub fn new(addr: SocketAddr) -> Self {
        let inner = Legacy::builder(TokioExecutor::new()).build_http();
        Client { addr, inner }
    }

    /// Returns the head of the answer and its body as it arrives, or `None` if the connection
    /// cannot be made or breaks.
    pub async fn open(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Option<http::Response<Incoming>> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.addr));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body.into())).unwrap();
        let answer = tokio::time::timeout(WAIT_LIMIT, self.inner.request(request));
        answer.await.expect("no answer").ok()
    }

    /// Like `open`, with the whole body.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Option<Answer> {
        let (parts, body) = self.open(method, path, headers, body).await?.into_parts();
        let body = tokio::time::timeout(WAIT_LIMIT, body.collect());
        Some(Answer {
            status: parts.status,
            headers: parts.headers,
            body: body.await.expect("no end of the answer").ok()?.to_bytes(),
        })
    }

    pub async fn get(&self, path: &str) -> Value {
        let answer = self.send(Method::GET, path, &[], "").await;
        answer.expect("the connection breaks").json()
    }

    pub async fn post(&self, path: &str, body: &impl Serialize) -> Option<Answer> {
        let body = serde_json::to_vec(body).unwrap();
        self.send(Method::POST, path, &[], body).await
    }
}

/// Reads the words and the usage of a streamed chat. The flag tells whether `[DONE]` came.
pub fn events(body: &[u8]) -> (String, Value, bool) {
    let (mut text, mut usage, mut done) = (String::new(), Value::Null, false);
    for event in std::str::from_utf8(body).unwrap().split_terminator("\n\n") {
        let data = event.strip_prefix("data: ").unwrap();
        if data == "[DONE]" {
            done = true;
            continue;
        }
        let data: Value = serde_json::from_str(data).unwrap();
        text += data["choices"][0]["delta"]["content"]
            .as_str()
            .unwrap_or("");
        usage = data["usage"].clone();
    }
    (text, usage, done)
}

/// Waits until `holds`; fails if it never does.
pub async fn eventually(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let wait = async {
        while !holds().await {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    let end = tokio::time::timeout(WAIT_LIMIT, wait).await;
    assert!(end.is_ok(), "never happens: {what}");
}
