//! A fake of an entry's resource API, and a way to run commands against it.

#![allow(dead_code, reason = "each test file uses a part")]

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bpaf::{Args, ParseFailure};
use http::{HeaderMap, StatusCode};
use serde_json::{Value, json};

use ebonylug_net::serve::{self, HttpResponse, Request, Server};
use ebonylugctl::{Console, Environment, Outcome, parse, run};

/// A token that must never be shown.
pub const TOKEN: &str = "a-secret-token";

/// A call that the fake has received.
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

/// The status and body of an answer.
pub type Reply = (u16, Value);

/// A fake of an entry on a port of its own.
pub struct Fake {
    server: Server,
    calls: Arc<Mutex<Vec<Call>>>,
}

impl Fake {
    /// Starts a fake that answers with `reply`, which gets the number of the call, from 0.
    pub fn start(reply: impl Fn(usize, &Call) -> Reply + Send + Sync + 'static) -> Fake {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port is free");
        listener.set_nonblocking(true).expect("the listener works");
        let calls: Arc<Mutex<Vec<Call>>> = Arc::default();
        let (seen, reply) = (Arc::clone(&calls), Arc::new(reply));
        let handler = move |request| {
            let (seen, reply) = (Arc::clone(&seen), Arc::clone(&reply));
            async move {
                let call = receive(request).await;
                let number = {
                    let mut seen = seen.lock().unwrap();
                    seen.push(call.clone());
                    seen.len() - 1
                };
                answer(reply(number, &call))
            }
        };
        let server = Server::start(listener, 1, handler).expect("the server starts");
        Fake { server, calls }
    }

    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    pub fn calls(&self) -> Vec<Call> {
        self.calls.lock().unwrap().clone()
    }

    /// Returns method, path and query of each call.
    pub fn lines(&self) -> Vec<String> {
        self.calls().into_iter().map(|call| call.line).collect()
    }

    /// Runs a command against this fake.
    pub async fn run(&self, arguments: &[&str]) -> Ran {
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
        body: String::from_utf8(body.expect("the body is whole").into()).expect("UTF-8"),
    }
}

fn answer((status, body): Reply) -> HttpResponse {
    serve::json(StatusCode::from_u16(status).expect("a status"), &body)
}

/// What became of a command.
#[derive(Debug)]
pub struct Ran {
    pub outcome: Outcome,
    pub output: String,
    pub errors: String,
}

/// Runs a command without a process.
pub async fn run_at(server: SocketAddr, token: &str, arguments: &[&str], input: &str) -> Ran {
    let environment = Environment {
        server: Some(format!("http://{server}").into()),
        token: Some(token.into()),
    };
    run_in(&environment, arguments, input).await
}

/// Runs a command without a process, in any environment.
pub async fn run_in(environment: &Environment, arguments: &[&str], input: &str) -> Ran {
    let arguments = parse(Args::from(arguments)).expect("the arguments are valid");
    let (mut output, mut errors) = (Vec::new(), Vec::new());
    let mut console = Console {
        input: &mut input.as_bytes(),
        output: &mut output,
        errors: &mut errors,
    };
    let outcome = run(&arguments, environment, &mut console).await;
    let text = |bytes| String::from_utf8(bytes).expect("the output is UTF-8");
    Ran {
        outcome,
        output: text(output),
        errors: text(errors),
    }
}

/// Returns what a command line that is not carried out prints.
pub fn refused(arguments: &[&str]) -> String {
    match parse(Args::from(arguments).set_name("ebonylugctl")) {
        Ok(arguments) => panic!("valid: {arguments:?}"),
        Err(failure @ ParseFailure::Stdout(..)) => failure.unwrap_stdout(),
        Err(failure) => failure.unwrap_stderr(),
    }
}

/// A problem as an entry answers it.
pub fn problem(status: u16, resource: &str, field: &str, reason: &str) -> Reply {
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

/// A problem without a resource.
pub fn plain_problem(status: u16, title: &str, detail: &str) -> Reply {
    let kind = "urn:ebonylug:problem:test";
    let body = json!({ "type": kind, "title": title, "status": status, "detail": detail });
    (status, body)
}
