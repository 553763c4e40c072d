use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use serde_json::json;

use ebonylug_net::client::Client;

use crate::Result;

/// Time for the head of an answer.
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);

/// A whole answer.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Answer {
    /// Returns a header as text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the body as text.
    #[must_use]
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A caller of one entry with one token.
#[derive(Clone, Debug)]
pub struct Caller {
    address: SocketAddr,
    token: Box<str>,
    client: Client,
}

impl Caller {
    /// Creates a caller.
    #[must_use]
    pub fn new(address: SocketAddr, token: &str) -> Self {
        Caller {
            address,
            token: token.into(),
            client: Client::new(),
        }
    }

    /// Sends a request and receives the whole answer.
    ///
    /// # Errors
    ///
    /// Fails if there is no answer, or it breaks off.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<Answer> {
        let mut request = Request::new(Full::new(Bytes::from(body.to_owned())));
        *request.method_mut() = method;
        *request.uri_mut() = format!("http://{}{path}", self.address).parse()?;
        let bearer = format!("Bearer {}", self.token);
        let own = [
            ("authorization", bearer.as_str()),
            ("content-type", "application/json"),
        ];
        for (name, value) in own.iter().chain(headers) {
            let name: HeaderName = name.parse()?;
            request
                .headers_mut()
                .insert(name, HeaderValue::from_str(value)?);
        }
        let response = self.client.send(request, HEAD_TIMEOUT).await?;
        let (parts, body) = response.into_parts();
        Ok(Answer {
            status: parts.status,
            headers: parts.headers,
            body: body.collect().await?.to_bytes(),
        })
    }

    /// Sends a chat completion.
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
    ) -> Result<Answer> {
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

    /// Sends a call of a plain service that may not be repeated.
    ///
    /// # Errors
    ///
    /// As for [`send`](Self::send).
    pub async fn once(&self, path: &str, key: &str, body: &str) -> Result<Answer> {
        let path = format!("/services{path}");
        self.send(Method::POST, &path, &[("idempotency-key", key)], body)
            .await
    }
}
