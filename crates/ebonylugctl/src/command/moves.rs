use std::time::{Duration, SystemTime};

use ebonylug_core::Name;
use ebonylug_resource::{
    AnyResource, Kind, Move, MoveSpec, MoveState, Precondition, Resource, Route, Timestamp,
};

use crate::api::ApiClient;
use crate::arguments::PlannedMove;
use crate::command::progress::{Phase, Progress, progress};
use crate::{Console, Error, Outcome, Result};

/// Interval at which the state of a move is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Time after the deadline of a move until which the command waits by default. The final phase is
/// known within seconds, unless the store is down.
const DEADLINE_GRACE: Duration = Duration::from_secs(60);

/// Creates a move, and waits for its end if `--wait` is given.
pub async fn start(
    api: &ApiClient,
    planned: &PlannedMove,
    console: &mut Console<'_>,
) -> Result<Outcome> {
    let now = SystemTime::now();
    let route = into_route(api.get(Kind::Route, &planned.route).await?)?;
    let desired = build_move(planned, &route, now)?;
    let stored = api
        .put(&AnyResource::Move(desired), Precondition::Absent)
        .await?;
    let stored = into_move(stored)?;
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
        .map_or(until_deadline + DEADLINE_GRACE, |span| span.0);
    wait(api, &stored, timeout, console).await
}

fn build_move(planned: &PlannedMove, route: &Route, now: SystemTime) -> Result<Move> {
    let deadline = planned.by.resolve(now);
    let start = planned
        .start
        .map_or(Timestamp::new(now), |start| start.resolve(now));
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

/// Returns a name that contains the time, since earlier moves of the route remain stored as records.
fn default_name(planned: &PlannedMove, now: SystemTime) -> Name {
    let timestamp: String = Timestamp::new(now)
        .to_string()
        .chars()
        .filter(char::is_ascii_digit)
        .take(14)
        .collect();
    Name::new(&format!("{}-{}-{timestamp}", planned.route, planned.to))
}

async fn wait(
    api: &ApiClient,
    stored: &Move,
    timeout: Duration,
    console: &mut Console<'_>,
) -> Result<Outcome> {
    let mut latest = None;
    let follow = follow(api, stored, &mut latest, console);
    if let Ok(outcome) = tokio::time::timeout(timeout, follow).await {
        return outcome;
    }
    let name = stored.name();
    let state = latest.map_or("no phase is known".into(), |phase: Phase| phase.to_string());
    console.note(format_args!(
        "ebonylugctl: {name} has not ended in time: {state}"
    ))?;
    Ok(Outcome::TimedOut)
}

/// Prints each phase of a move until the move has ended.
async fn follow(
    api: &ApiClient,
    stored: &Move,
    latest: &mut Option<Phase>,
    console: &mut Console<'_>,
) -> Result<Outcome> {
    let name = stored.name();
    let mut outage_reported = false;
    loop {
        match api.get(Kind::Move, name).await {
            Ok(resource) => {
                outage_reported = false;
                let progress = progress(&into_move(resource)?);
                if let Some(outcome) = show_phase(name, &progress, latest, console)? {
                    return Ok(outcome);
                }
            }
            Err(error) if error.is_not_found() => {
                return Err(Error::Deleted(format!("Move/{name}").into()));
            }
            // The entry may be restarting or the store may be down; the move continues meanwhile.
            Err(error) if error.is_transient() => {
                if !outage_reported {
                    console.note(&error)?;
                }
                outage_reported = true;
            }
            Err(error) => return Err(error),
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn show_phase(
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

fn into_route(resource: AnyResource) -> Result<Route> {
    match resource {
        AnyResource::Route(route) => Ok(route),
        other => Err(unexpected_kind(&other, Kind::Route)),
    }
}

fn into_move(resource: AnyResource) -> Result<Move> {
    match resource {
        AnyResource::Move(planned) => Ok(planned),
        other => Err(unexpected_kind(&other, Kind::Move)),
    }
}

fn unexpected_kind(other: &AnyResource, expected: Kind) -> Error {
    let reason = format!("{}/{} in place of a {expected}", other.kind(), other.name());
    Error::UnexpectedResponse(reason.into())
}
