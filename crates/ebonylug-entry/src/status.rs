use std::time::SystemTime;

use ebonylug_core::{Gate, LoadReport};
use ebonylug_membership::MemberState;
use ebonylug_moves::MoveStatus;
use ebonylug_resource::{AnyResource, Condition, Status, Timestamp};
use ebonylug_zones::ZoneState;

use crate::Shared;
use crate::fleet::Observed;

/// Adds what this entry observes to a resource.
pub fn observe(shared: &Shared, resource: AnyResource) -> AnyResource {
    let conditions = match &resource {
        AnyResource::Target(target) => vec![target_condition(
            shared.fleet.observed(target.name()),
            shared.clock.wall(),
        )],
        AnyResource::AvailabilityZone(zone) => {
            vec![zone_condition(
                shared.fleet.zone(zone.name()),
                shared.clock.wall(),
            )]
        }
        AnyResource::Move(planned) => match shared.moves.status(planned.name()) {
            Some(status) => move_conditions(&status),
            None => return resource,
        },
        _ => return resource,
    };
    resource.with_status(Status { conditions })
}

/// Makes a condition.
pub fn condition(kind: &str, reason: &str, message: &str, time: SystemTime) -> Condition {
    Condition {
        kind: kind.into(),
        reason: reason.into(),
        message: message.into(),
        time: Timestamp::new(time),
    }
}

/// The first condition tells the phase, the others how it came about.
fn move_conditions(status: &MoveStatus) -> Vec<Condition> {
    let phase = format!("{:?}", status.phase);
    let share = format!(
        "{} % of the traffic goes to the new version",
        status.share.fraction() * 100.0
    );
    let time = status
        .conditions
        .last()
        .map_or(SystemTime::UNIX_EPOCH, |last| last.time);
    let mut conditions = vec![condition("Phase", &phase, &share, time)];
    conditions.extend(status.conditions.iter().map(|observed| {
        let reason = format!("{:?}", observed.reason);
        condition("Progress", &reason, &observed.message, observed.time)
    }));
    conditions
}

fn target_condition(observed: Option<Observed>, now: SystemTime) -> Condition {
    let Some(observed) = observed else {
        let message = "the target is not in the subset of this entry, or not in the instance list";
        return condition("Ready", "NotObserved", message, now);
    };
    let (reason, message) = match (observed.member, &observed.report) {
        (Some((MemberState::Leaving, _)), _) => (
            "Leaving",
            "the target leaves and gets no new work".to_owned(),
        ),
        (Some((MemberState::Gone | MemberState::Unreachable | MemberState::Suspect, _)), _)
        | (_, None) => (
            "Silent",
            "nothing was heard of the sidecar for too long".to_owned(),
        ),
        (_, Some(report)) => target_reason(report),
    };
    condition("Ready", reason, &message, now)
}

fn target_reason(report: &LoadReport) -> (&'static str, String) {
    let load = format!("{} of {} tokens in use", report.used.0, report.limit.0);
    match report {
        LoadReport {
            gate: Gate::ZoneClosed,
            ..
        } => ("ZoneClosed", "the zone was taken out of service".to_owned()),
        LoadReport {
            gate: Gate::Leaving,
            ..
        } => ("Leaving", "the sidecar leaves".to_owned()),
        LoadReport { up: false, .. } => {
            ("Down", "the target does not accept connections".to_owned())
        }
        LoadReport { cold: true, .. } => ("Cold", load),
        _ => ("Ready", load),
    }
}

fn zone_condition(state: Option<ZoneState>, now: SystemTime) -> Condition {
    let (reason, message) = match state {
        Some(state) => zone_reason(state),
        None => (
            "NotObserved",
            "no target of the zone is known to this entry",
        ),
    };
    condition("Serving", reason, message, now)
}

fn zone_reason(state: ZoneState) -> (&'static str, &'static str) {
    match state {
        ZoneState::Open => ("Open", "the zone gets new work"),
        ZoneState::Drained => ("Drained", "operators have taken the zone out of service"),
        ZoneState::Unreachable => ("Dark", "most targets of the zone are silent"),
        ZoneState::Recovering => (
            "Returning",
            "the share of the zone rises as its targets get warm",
        ),
    }
}
