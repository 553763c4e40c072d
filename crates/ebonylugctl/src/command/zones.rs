use ebonylug_core::Name;
use ebonylug_resource::{AnyResource, AvailabilityZone, Expected, Kind, ZoneState};

use crate::api::ApiClient;
use crate::{Console, Error, Outcome, Result};

/// Concurrent changes of the zone, such as of its labels, after which the command gives up.
const MAX_RACES: u32 = 4;

/// Takes a zone out of service.
pub async fn drain(api: &ApiClient, zone: &Name, console: &mut Console<'_>) -> Result<Outcome> {
    set(api, zone, ZoneState::Drained, console).await
}

/// Returns a zone to service.
pub async fn restore(api: &ApiClient, zone: &Name, console: &mut Console<'_>) -> Result<Outcome> {
    set(api, zone, ZoneState::Open, console).await
}

async fn set(
    api: &ApiClient,
    name: &Name,
    state: ZoneState,
    console: &mut Console<'_>,
) -> Result<Outcome> {
    let word = match state {
        ZoneState::Open => "in service",
        ZoneState::Drained => "drained",
    };
    let mut races = 0;
    loop {
        let mut zone = zone(api.get(Kind::AvailabilityZone, name).await?)?;
        let revision = zone.metadata.revision;
        if zone.spec.state == state {
            console.line(format_args!(
                "{name} is {word} since revision {revision} or before"
            ))?;
            return Ok(Outcome::Done);
        }
        zone.spec.state = state;
        // The status is what the entry observes, and no part of the change.
        zone.status.conditions.clear();
        let changed = AnyResource::AvailabilityZone(zone);
        match api.put(&changed, Expected::Revision(revision)).await {
            Ok(stored) => {
                let revision = stored.metadata().revision;
                console.line(format_args!("{name} is {word} with revision {revision}"))?;
                return Ok(Outcome::Done);
            }
            // Whoever won may have changed something else; the next read tells.
            Err(error) if error.is_conflict() && races < MAX_RACES => races += 1,
            Err(error) => return Err(error),
        }
    }
}

fn zone(resource: AnyResource) -> Result<AvailabilityZone> {
    match resource {
        AnyResource::AvailabilityZone(zone) => Ok(zone),
        other => {
            let answer = format!("{}/{} in place of a zone", other.kind(), other.name());
            Err(Error::UnexpectedResponse(answer.into()))
        }
    }
}
