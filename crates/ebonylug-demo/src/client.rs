use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use serde_json::json;

use ebonylug_net::client::Client;

use crate::Result;

/// Timeout for the response headers.
const HEADER_TIMEOUT: Duration = Duration::from_secs(60);

/// A complete HTTP response.
#[derive(Clone, Debug, Default)]
pub struct Response {
    /// The HTTP status code.
    pub status: StatusCode,
    /// The response headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

impl Response {
    /// Returns a header value if it is present and visible ASCII.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the body as text, with invalid UTF-8 replaced.
    #[must_use]
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// An HTTP client of one address with one bearer token.
#[derive(Clone, Debug)]
pub struct ApiClient {
    address: SocketAddr,
    token: Box<str>,
    client: Client,
}

impl ApiClient {
    /// Creates a client. It connects with the first request.
    #[must_use]
    pub fn new(address: SocketAddr, token: &str) -> Self {
        ApiClient {
            address,
            token: token.into(),
            client: Client::new(),
        }
    }

    /// Sends a request and receives the complete response.
    ///
    /// # Errors
    ///
    /// Fails if the response headers time out, or the connection is lost before the response is
    /// complete.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<Response> {
        let mut request = Request::new(Full::new(Bytes::from(body.to_owned())));
        *request.method_mut() = method;
        *request.uri_mut() = format!("http://{}{path}", self.address).parse()?;
        let bearer = format!("Bearer {}", self.token);
        let default_headers = [
            ("authorization", bearer.as_str()),
            ("content-type", "application/json"),
        ];
        for (name, value) in default_headers.iter().chain(headers) {
            let name: HeaderName = name.parse()?;
            request
                .headers_mut()
                .insert(name, HeaderValue::from_str(value)?);
        }
        let response = self.client.send(request, HEADER_TIMEOUT).await?;
        let (parts, body) = response.into_parts();
        Ok(Response {
            status: parts.status,
            headers: parts.headers,
            body: body.collect().await?.to_bytes(),
        })
    }

    /// Sends a chat completion request.
    ///
    /// # Errors
    ///
    /// As for [`send`](Self::send).
    pub async fn chat(
        &self,
        model: &str,
        tier: &str,
        prompt: &str,
        tokens: u32,
        stream: bool,
    ) -> Result<Response> {
        let body = json!({
            "model": model,
            "messages": [{ "role": "user", "content": prompt }],
            "max_tokens": tokens,
            "stream": stream,
        });
        let headers = [("ebonylug-tier", tier)];
        self.send(
            Method::POST,
            "/v1/chat/completions",
            &headers,
            &body.to_string(),
        )
        .await
    }

    /// Sends a non-idempotent service call with an idempotency key.
    ///
    /// # Errors
    ///
    /// As for [`send`](Self::send).
    pub async fn call_service(&self, path: &str, key: &str, body: &str) -> Result<Response> {
        let path = format!("/services{path}");
        self.send(Method::POST, &path, &[("idempotency-key", key)], body)
            .await
    }
}
