//! A fake of the resource API of an entry, and helpers that run commands in process.

#![allow(dead_code, reason = "no test file uses all helpers")]

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bpaf::{Args, ParseFailure};
use http::{HeaderMap, StatusCode};
use serde_json::{Value, json};

use ebonylug_net::serve::{self, HttpResponse, Request, Server};
use ebonylugctl::{Console, Environment, Outcome, parse, run};

/// A token that no output may contain.
pub const TOKEN: &str = "a-secret-token";

/// A request that the fake has received.
#[derive(Clone, Debug)]
pub struct Call {
    /// Method, path and query, such as `GET /api/v1/watch?since=3`.
    pub line: String,
    pub headers: HeaderMap,
    pub body: String,
}

impl Call {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).expect("the body is JSON")
    }
}

/// Status and body of a response.
pub type Response = (u16, Value);

/// A fake of an entry that listens on its own port.
pub struct FakeEntry {
    server: Server,
    calls: Arc<Mutex<Vec<Call>>>,
}

impl FakeEntry {
    /// Starts a fake that responds with the result of `respond`, whose first argument is the number
    /// of the call, starting at 0.
    pub fn start(respond: impl Fn(usize, &Call) -> Response + Send + Sync + 'static) -> FakeEntry {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port is free");
        listener
            .set_nonblocking(true)
            .expect("the listener can be configured");
        let calls: Arc<Mutex<Vec<Call>>> = Arc::default();
        let (recorded, respond) = (Arc::clone(&calls), Arc::new(respond));
        let handler = move |request| {
            let (recorded, respond) = (Arc::clone(&recorded), Arc::clone(&respond));
            async move {
                let call = receive(request).await;
                let number = {
                    let mut recorded = recorded.lock().unwrap();
                    recorded.push(call.clone());
                    recorded.len() - 1
                };
                to_http(respond(number, &call))
            }
        };
        let server = Server::start(listener, 1, handler).expect("the server starts");
        FakeEntry { server, calls }
    }

    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    pub fn calls(&self) -> Vec<Call> {
        self.calls.lock().unwrap().clone()
    }

    /// Returns the method, path and query of each call in order.
    pub fn lines(&self) -> Vec<String> {
        self.calls().into_iter().map(|call| call.line).collect()
    }

    /// Runs a command against this fake.
    pub async fn run(&self, arguments: &[&str]) -> CommandResult {
        run_at(self.address(), TOKEN, arguments, "").await
    }
}

async fn receive(request: Request) -> Call {
    let (parts, body) = request.into_parts();
    let (_, body) = body.replace_body(());
    let body = serve::collect(body, 1 << 20, Duration::from_secs(10)).await;
    Call {
        line: format!("{} {}", parts.method, parts.uri),
        headers: parts.headers,
        body: String::from_utf8(body.expect("the request body is complete").into())
            .expect("the request body is UTF-8"),
    }
}

fn to_http((status, body): Response) -> HttpResponse {
    serve::json(
        StatusCode::from_u16(status).expect("the status code is valid"),
        &body,
    )
}

/// The outcome of a command and what it printed.
#[derive(Debug)]
pub struct CommandResult {
    pub outcome: Outcome,
    pub output: String,
    pub errors: String,
}

/// Runs a command in process, against the entry at `server`.
pub async fn run_at(
    server: SocketAddr,
    token: &str,
    arguments: &[&str],
    input: &str,
) -> CommandResult {
    let environment = Environment {
        server: Some(format!("http://{server}").into()),
        token: Some(token.into()),
    };
    run_in(&environment, arguments, input).await
}

/// Runs a command in process, with the given environment variables.
pub async fn run_in(environment: &Environment, arguments: &[&str], input: &str) -> CommandResult {
    let arguments = parse(Args::from(arguments)).expect("the arguments are valid");
    let (mut output, mut errors) = (Vec::new(), Vec::new());
    let mut console = Console {
        input: &mut input.as_bytes(),
        output: &mut output,
        errors: &mut errors,
    };
    let outcome = run(&arguments, environment, &mut console).await;
    let text = |bytes| String::from_utf8(bytes).expect("the output is UTF-8");
    CommandResult {
        outcome,
        output: text(output),
        errors: text(errors),
    }
}

/// Returns the text that is printed for arguments that do not parse to a command: help or an error.
pub fn parse_failure(arguments: &[&str]) -> String {
    match parse(Args::from(arguments).set_name("ebonylugctl")) {
        Ok(arguments) => panic!("valid: {arguments:?}"),
        Err(failure @ ParseFailure::Stdout(..)) => failure.unwrap_stdout(),
        Err(failure) => failure.unwrap_stderr(),
    }
}

/// Returns a problem about a field of a resource, as an entry reports it.
pub fn problem(status: u16, resource: &str, field: &str, reason: &str) -> Response {
    let body = json!({
        "type": "urn:ebonylug:problem:test",
        "title": "A title",
        "status": status,
        "detail": format!("{resource}: {field}: {reason}"),
        "resource": resource,
        "field": field,
        "reason": reason,
    });
    (status, body)
}

/// Returns a problem without a resource.
pub fn plain_problem(status: u16, title: &str, detail: &str) -> Response {
    let kind = "urn:ebonylug:problem:test";
    let body = json!({ "type": kind, "title": title, "status": status, "detail": detail });
    (status, body)
}
