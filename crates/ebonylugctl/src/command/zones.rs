use ebonylug_core::Name;
use ebonylug_resource::{AnyResource, AvailabilityZone, Kind, Precondition, ZoneState};

use crate::api::ApiClient;
use crate::{Console, Error, Outcome, Result};

/// Number of retries after a conflict with a concurrent change of the zone, such as of its labels.
const MAX_CONFLICT_RETRIES: u32 = 4;

/// Takes a zone out of service.
pub async fn drain(api: &ApiClient, zone: &Name, console: &mut Console<'_>) -> Result<Outcome> {
    set_state(api, zone, ZoneState::Drained, console).await
}

/// Returns a zone to service.
pub async fn restore(api: &ApiClient, zone: &Name, console: &mut Console<'_>) -> Result<Outcome> {
    set_state(api, zone, ZoneState::Open, console).await
}

async fn set_state(
    api: &ApiClient,
    name: &Name,
    state: ZoneState,
    console: &mut Console<'_>,
) -> Result<Outcome> {
    let state_text = match state {
        ZoneState::Open => "in service",
        ZoneState::Drained => "drained",
    };
    let mut conflicts = 0;
    loop {
        let mut zone = into_zone(api.get(Kind::AvailabilityZone, name).await?)?;
        let revision = zone.metadata.revision;
        if zone.spec.state == state {
            console.line(format_args!(
                "{name} is {state_text} since revision {revision} or before"
            ))?;
            return Ok(Outcome::Done);
        }
        zone.spec.state = state;
        // The status is observed by the entry and is not part of the change.
        zone.status.conditions.clear();
        let changed = AnyResource::AvailabilityZone(zone);
        match api.put(&changed, Precondition::Revision(revision)).await {
            Ok(stored) => {
                let revision = stored.metadata().revision;
                console.line(format_args!(
                    "{name} is {state_text} with revision {revision}"
                ))?;
                return Ok(Outcome::Done);
            }
            // The concurrent change may concern other fields, so the zone is read again.
            Err(error) if error.is_conflict() && conflicts < MAX_CONFLICT_RETRIES => conflicts += 1,
            Err(error) => return Err(error),
        }
    }
}

fn into_zone(resource: AnyResource) -> Result<AvailabilityZone> {
    match resource {
        AnyResource::AvailabilityZone(zone) => Ok(zone),
        other => {
            let reason = format!("{}/{} in place of a zone", other.kind(), other.name());
            Err(Error::UnexpectedResponse(reason.into()))
        }
    }
}
