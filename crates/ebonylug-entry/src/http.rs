use std::sync::Arc;

use http::{Method, StatusCode};

use ebonylug_net::serve::{self, HttpResponse, Request};
use ebonylug_net::shutdown::Phase;

use crate::{Shared, caller, operator};

/// Handles one HTTP request of a caller or operator.
pub async fn handle(shared: Arc<Shared>, request: Request) -> HttpResponse {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/healthz") => serve::text(StatusCode::OK, "ok\n"),
        (&Method::GET, "/readyz") => ready(&shared),
        (&Method::GET, "/metrics") => metrics(&shared),
        (_, path) if path.starts_with(operator::PREFIX) => operator::handle(shared, request).await,
        _ => caller::handle(shared, request).await,
    }
}

fn metrics(shared: &Shared) -> HttpResponse {
    let now = shared.clock.now();
    let (backlog, risk) = shared
        .dispatcher
        .update_router(|router| (router.backlog(), router.batch_at_risk(now).len()));
    let text = shared
        .instruments
        .render(&backlog, risk, shared.current.revision());
    serve::text(StatusCode::OK, text)
}

/// Reports readiness. An entry without a configuration is not ready, as it never serves from an
/// outdated default.
fn ready(shared: &Shared) -> HttpResponse {
    if shared.shutdown.phase() != Phase::Running {
        return serve::text(StatusCode::SERVICE_UNAVAILABLE, "leaving\n");
    }
    if shared.current.revision().0 == 0 {
        return serve::text(StatusCode::SERVICE_UNAVAILABLE, "no configuration\n");
    }
    if !shared.is_ready() {
        return serve::text(StatusCode::SERVICE_UNAVAILABLE, "no target has reported\n");
    }
    serve::text(StatusCode::OK, "ready\n")
}
