use std::time::{Duration, SystemTime};

use ebonylug_core::Name;
use ebonylug_resource::{
    AnyResource, Expected, Kind, Move, MoveSpec, MoveState, Resource, Route, Timestamp,
};

use crate::api::ApiClient;
use crate::arguments::PlannedMove;
use crate::command::progress::{Phase, Progress, progress};
use crate::{Console, Error, Outcome, Result};

/// Time between two looks at a move.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Time after the deadline for which a move is waited for by default. The last phase is known
/// within seconds, unless the store is down.
const GRACE: Duration = Duration::from_secs(60);

/// Declares a move, and waits for its end if asked to.
pub async fn start(
    api: &ApiClient,
    planned: &PlannedMove,
    console: &mut Console<'_>,
) -> Result<Outcome> {
    let now = SystemTime::now();
    let route = route(api.get(Kind::Route, &planned.route).await?)?;
    let wanted = made(planned, &route, now)?;
    let stored = api
        .put(&AnyResource::Move(wanted), Expected::Absent)
        .await?;
    let stored = moved(stored)?;
    let (name, spec) = (stored.name(), &stored.spec);
    let (from, to) = (&spec.from, &spec.to);
    console.line(format_args!(
        "{name}: {} from {from} to {to} between {} and {}, revision {}",
        spec.route, spec.start, spec.deadline, stored.metadata.revision
    ))?;
    if !planned.wait {
        return Ok(Outcome::Done);
    }
    let until_deadline = spec.deadline.time().duration_since(now).unwrap_or_default();
    let timeout = planned
        .timeout
        .map_or(until_deadline + GRACE, |span| span.0);
    wait(api, &stored, timeout, console).await
}

fn made(planned: &PlannedMove, route: &Route, now: SystemTime) -> Result<Move> {
    let deadline = planned.by.from(now);
    let start = planned
        .start
        .map_or(Timestamp::new(now), |start| start.from(now));
    if deadline.time() <= now {
        return Err(Error::invalid_input(format!("--by: {deadline} has passed")));
    }
    if start >= deadline {
        let reason = format!("--start: {start} is not before the deadline, {deadline}");
        return Err(Error::invalid_input(reason));
    }
    if route.spec.base == planned.to {
        let reason = format!(
            "route {} is already served by {}",
            planned.route, planned.to
        );
        return Err(Error::invalid_input(reason));
    }
    let name = planned
        .name
        .clone()
        .unwrap_or_else(|| default_name(planned, now));
    let spec = MoveSpec {
        route: planned.route.clone(),
        from: route.spec.base.clone(),
        to: planned.to.clone(),
        start,
        deadline,
        canary: planned.canary,
        loads: planned.load.clone(),
        state: MoveState::Active,
    };
    Ok(Resource::new(name.as_str(), spec))
}

/// A name that differs from those of earlier moves, which remain as records.
fn default_name(planned: &PlannedMove, now: SystemTime) -> Name {
    let second: String = Timestamp::new(now)
        .to_string()
        .chars()
        .filter(char::is_ascii_digit)
        .take(14)
        .collect();
    Name::new(&format!("{}-{}-{second}", planned.route, planned.to))
}

async fn wait(
    api: &ApiClient,
    stored: &Move,
    timeout: Duration,
    console: &mut Console<'_>,
) -> Result<Outcome> {
    let mut latest = None;
    let follow = follow(api, stored, &mut latest, console);
    if let Ok(ended) = tokio::time::timeout(timeout, follow).await {
        return ended;
    }
    let name = stored.name();
    let state = latest.map_or("no phase is known".into(), |phase: Phase| phase.to_string());
    console.note(format_args!(
        "ebonylugctl: {name} has not ended in time: {state}"
    ))?;
    Ok(Outcome::TimedOut)
}

/// Shows each phase of a move until its last one.
async fn follow(
    api: &ApiClient,
    stored: &Move,
    latest: &mut Option<Phase>,
    console: &mut Console<'_>,
) -> Result<Outcome> {
    let name = stored.name();
    let mut silent = false;
    loop {
        match api.get(Kind::Move, name).await {
            Ok(resource) => {
                silent = false;
                let progress = progress(&moved(resource)?);
                if let Some(outcome) = show(name, &progress, latest, console)? {
                    return Ok(outcome);
                }
            }
            Err(error) if error.is_not_found() => {
                return Err(Error::Deleted(format!("Move/{name}").into()));
            }
            // The entry may restart or the store be down; the move goes on in the meantime.
            Err(error) if error.is_transient() => {
                if !silent {
                    console.note(&error)?;
                }
                silent = true;
            }
            Err(error) => return Err(error),
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn show(
    name: &Name,
    progress: &Progress,
    latest: &mut Option<Phase>,
    console: &mut Console<'_>,
) -> Result<Option<Outcome>> {
    let Some(phase) = progress.phase else {
        return Ok(None);
    };
    if *latest != Some(phase) {
        match &*progress.message {
            "" => console.line(format_args!("{name}: {phase}"))?,
            message => console.line(format_args!("{name}: {phase}: {message}"))?,
        }
        *latest = Some(phase);
    }
    Ok(phase.outcome())
}

fn route(resource: AnyResource) -> Result<Route> {
    match resource {
        AnyResource::Route(route) => Ok(route),
        other => Err(other_kind(&other, Kind::Route)),
    }
}

fn moved(resource: AnyResource) -> Result<Move> {
    match resource {
        AnyResource::Move(planned) => Ok(planned),
        other => Err(other_kind(&other, Kind::Move)),
    }
}

fn other_kind(other: &AnyResource, expected: Kind) -> Error {
    let answer = format!("{}/{} in place of a {expected}", other.kind(), other.name());
    Error::UnexpectedResponse(answer.into())
}
