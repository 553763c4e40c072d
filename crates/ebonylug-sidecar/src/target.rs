use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Response, Uri, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use tokio::net::TcpStream;

use ebonylug_core::{AttemptId, End};
use ebonylug_net::client::{self, Client};
use ebonylug_net::frame::Head;
use ebonylug_net::wire;

use crate::core::{Attempt, Core};
use crate::events::{self, Splitter};
use crate::response::ResponseBuffer;
use crate::settings::{Settings, TargetKind};

/// Time to find out whether a target still accepts connections.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// New connections that are tried for one attempt after its connection has gone silent.
const MAX_RESUMES: u32 = 2;

/// The call of one attempt to the target.
#[derive(Clone, Debug)]
pub struct Call {
    /// The attempt, whose id the target receives.
    pub attempt: AttemptId,
    /// The method.
    pub method: Method,
    /// The path and query.
    pub path: Box<str>,
    /// The headers that are passed on.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Output tokens that an earlier attempt has delivered.
    pub offset: u64,
}

/// How a call to the target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// The call reached its end.
    At(End),
    /// No connection could be made: the target did not get the call.
    NotRun,
}

enum Step {
    Ended(Ended),
    /// The connection has gone silent.
    Silent,
}

/// Runs calls to one target.
pub struct Caller {
    settings: Arc<Settings>,
    client: Client,
    core: Arc<Core>,
}

impl Caller {
    /// Creates a caller for the target in the settings.
    pub fn new(settings: Arc<Settings>, core: Arc<Core>) -> Self {
        Caller {
            settings,
            client: Client::new(),
            core,
        }
    }

    /// Runs a call to its end, writing the answer as it arrives.
    ///
    /// A streamed answer of a model whose connection goes silent is resumed on a new connection
    /// from the last whole event. Other calls are not repeated, since they may have run.
    /// `tokens` counts the output tokens that were delivered, with those of earlier attempts.
    pub async fn run(&self, call: &Call, attempt: &Attempt, tokens: &mut u64) -> Ended {
        for resume in 0..=MAX_RESUMES {
            let step = tokio::select! {
                step = self.attempt(call, &attempt.answer, tokens, resume > 0) => step,
                () = attempt.stop.cancelled() => return Ended::At(End::Cancelled),
            };
            match step {
                Step::Ended(ended) => return ended,
                Step::Silent if !self.can_resume(call) => break,
                Step::Silent => {
                    tracing::warn!(attempt = %call.attempt, tokens = *tokens, "target: connection is silent");
                }
            }
        }
        Ended::At(End::Failed)
    }

    fn can_resume(&self, call: &Call) -> bool {
        self.settings.kind == TargetKind::Model && is_stream(call)
    }

    async fn attempt(
        &self,
        call: &Call,
        answer: &ResponseBuffer,
        tokens: &mut u64,
        fresh: bool,
    ) -> Step {
        let request = self.request(call, *tokens, fresh);
        let wait = self.settings.silence;
        let sent = if fresh {
            self.client.send_unpooled(request, wait).await
        } else {
            self.client.send(request, wait).await
        };
        match sent {
            Ok(response) => self.receive(call, response, answer, tokens).await,
            Err(client::Error::Connect) if fresh => Step::Ended(Ended::At(End::Crashed)),
            Err(client::Error::Connect) => Step::Ended(Ended::NotRun),
            Err(client::Error::Timeout) => Step::Silent,
            Err(client::Error::Lost(_)) => Step::Ended(Ended::At(self.broken().await)),
        }
    }

    fn request(&self, call: &Call, tokens: u64, again: bool) -> Request<Full<Bytes>> {
        let uri = format!("http://{}{}", self.settings.address, call.path);
        let mut request = Request::new(Full::new(call.body.clone()));
        *request.method_mut() = call.method.clone();
        // The path was checked when the dispatch was received.
        *request.uri_mut() = uri.parse::<Uri>().unwrap_or_default();
        *request.headers_mut() = call.headers.clone();
        let headers = request.headers_mut();
        headers.insert(wire::ATTEMPT, text(&call.attempt.to_string()));
        // Also before the first token, so that the target does not take the call for another one.
        if tokens > 0 || again {
            headers.insert(wire::RESUME, text(&tokens.to_string()));
        }
        request
    }

    async fn receive(
        &self,
        call: &Call,
        response: Response<Incoming>,
        answer: &ResponseBuffer,
        tokens: &mut u64,
    ) -> Step {
        let (parts, mut body) = response.into_parts();
        if !answer.has_head() {
            answer.set_head(head(parts.status.as_u16(), &parts.headers));
        }
        let streamed = is_event_stream(&parts.headers);
        let mut splitter = Splitter::default();
        let mut started = false;
        loop {
            let frame = match tokio::time::timeout(self.settings.silence, body.frame()).await {
                Err(_) => return Step::Silent,
                Ok(None) => break,
                Ok(Some(Err(_))) => return Step::Ended(Ended::At(self.broken().await)),
                Ok(Some(Ok(frame))) => frame,
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if !started {
                started = true;
                self.core.first_token(call.attempt);
            }
            if !streamed {
                answer.push(data).await;
            } else if let Some(part) = splitter.push(&data) {
                let new = events::count_tokens(&part);
                *tokens += new;
                self.core.progress(call.attempt, new);
                answer.push(part).await;
            }
        }
        let rest = splitter.rest();
        if !rest.is_empty() {
            answer.push(rest).await;
        }
        // A whole answer with a server error is passed on like any other.
        Step::Ended(Ended::At(End::Answered))
    }

    /// Tells a crashed target from one that broke a single connection.
    async fn broken(&self) -> End {
        if is_up(self.settings.address).await {
            End::Failed
        } else {
            End::Crashed
        }
    }
}

/// Reports whether a target accepts connections.
pub async fn is_up(address: std::net::SocketAddr) -> bool {
    let connect = TcpStream::connect(address);
    matches!(
        tokio::time::timeout(PROBE_TIMEOUT, connect).await,
        Ok(Ok(_))
    )
}

fn head(status: u16, headers: &HeaderMap) -> Head {
    let passed = headers
        .iter()
        .filter(|(name, _)| !wire::is_hop_by_hop(name));
    let headers = passed
        .filter_map(|(name, value)| Some((name.as_str().into(), value.to_str().ok()?.into())))
        .collect();
    Head { status, headers }
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    let kind = headers.get(header::CONTENT_TYPE);
    kind.is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"))
}

fn is_stream(call: &Call) -> bool {
    #[derive(serde::Deserialize)]
    struct Body {
        #[serde(default)]
        stream: bool,
    }
    serde_json::from_slice(&call.body).is_ok_and(|body: Body| body.stream)
}

fn text(value: &str) -> HeaderValue {
    HeaderValue::from_str(value).expect("ids and numbers are visible ASCII")
}
