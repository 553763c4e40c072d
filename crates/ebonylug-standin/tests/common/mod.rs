//! An HTTP client and helpers for the tests of the fakes.
#![allow(dead_code)] // Each test binary uses a different subset.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client as HyperClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde_json::Value;

/// Timeout for events that must happen eventually. No test measures time with it.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// A response with its buffered body.
pub struct Response {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Response {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap()
    }

    /// Returns the output of an unstreamed chat completion.
    pub fn content(&self) -> String {
        let content = &self.json()["choices"][0]["message"]["content"];
        content.as_str().unwrap().into()
    }
}

/// A client of a single fake.
#[derive(Clone)]
pub struct Client {
    addr: SocketAddr,
    inner: HyperClient<HttpConnector, Full<Bytes>>,
}

impl Client {
    pub fn new(addr: SocketAddr) -> Self {
        let inner = HyperClient::builder(TokioExecutor::new()).build_http();
        Client { addr, inner }
    }

    /// Returns the response with its body as a stream, or `None` if the connection is refused or
    /// aborted.
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
        let response = tokio::time::timeout(WAIT_TIMEOUT, self.inner.request(request));
        response
            .await
            .expect("timed out waiting for the response")
            .ok()
    }

    /// Like `open`, but buffers the body.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Option<Response> {
        let (parts, body) = self.open(method, path, headers, body).await?.into_parts();
        let body = tokio::time::timeout(WAIT_TIMEOUT, body.collect());
        Some(Response {
            status: parts.status,
            headers: parts.headers,
            body: body
                .await
                .expect("timed out waiting for the end of the response")
                .ok()?
                .to_bytes(),
        })
    }

    pub async fn get(&self, path: &str) -> Value {
        let response = self.send(Method::GET, path, &[], "").await;
        response
            .expect("the connection was refused or aborted")
            .json()
    }

    pub async fn post(&self, path: &str, body: &impl Serialize) -> Option<Response> {
        let body = serde_json::to_vec(body).unwrap();
        self.send(Method::POST, path, &[], body).await
    }
}

/// Parses a streamed chat completion. Returns its output, its usage, and whether `[DONE]` arrived.
pub fn parse_events(body: &[u8]) -> (String, Value, bool) {
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

/// Polls `condition` until it holds, and fails after [`WAIT_TIMEOUT`].
pub async fn eventually(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let wait = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    let result = tokio::time::timeout(WAIT_TIMEOUT, wait).await;
    assert!(result.is_ok(), "timed out waiting until {what}");
}
