use std::fmt::Write;

use ebonylug_core::{Class, Name};
use ebonylug_resource::{
    AnyResource, Condition, Kind, MoveState, OrganisationSpec, RouteKind, RouteSpec, Span, Status,
    TargetKind, ZoneState,
};

/// Placeholder for an empty cell, which keeps the columns distinguishable.
const EMPTY_CELL: &str = "-";

/// Renders resources of one kind as a table with headings, one resource per line.
pub fn resources(kind: Kind, resources: &[AnyResource]) -> String {
    let headings = headings(kind).iter().map(|heading| (*heading).into());
    let mut rows: Vec<Vec<String>> = vec![headings.collect()];
    rows.extend(resources.iter().map(row));
    render(&rows)
}

/// Summarizes the spec of a resource in one line.
pub fn summary(resource: &AnyResource) -> String {
    // The caller prints name and revision, and the status is not part of a change.
    let headings = headings(resource.kind()).iter().zip(row(resource)).skip(2);
    let spec = headings
        .filter(|(heading, cell)| !matches!(**heading, "STATUS" | "MESSAGE") && cell != EMPTY_CELL);
    let parts = spec.map(|(heading, cell)| format!("{}={cell}", heading.to_lowercase()));
    parts.collect::<Vec<_>>().join(" ")
}

fn headings(kind: Kind) -> &'static [&'static str] {
    match kind {
        Kind::Organisation => &["NAME", "REVISION", "WEIGHT", "TOKENS", "TIERS"],
        Kind::Tier => &["NAME", "REVISION", "CLASS", "RANK", "DEADLINE"],
        Kind::AvailabilityZone => &["NAME", "REVISION", "STATE", "STATUS", "MESSAGE"],
        Kind::Version => &["NAME", "REVISION", "KIND", "SERVES", "ARTEFACT"],
        Kind::Route => &[
            "NAME", "REVISION", "TAKES", "BASE", "VERSIONS", "TIER", "DEADLINE",
        ],
        Kind::Target => &[
            "NAME", "REVISION", "ZONE", "KIND", "VERSION", "MODELS", "STATUS", "MESSAGE",
        ],
        Kind::Move => &[
            "NAME", "REVISION", "ROUTE", "FROM", "TO", "START", "DEADLINE", "STATE", "STATUS",
            "MESSAGE",
        ],
    }
}

fn row(resource: &AnyResource) -> Vec<String> {
    let metadata = resource.metadata();
    let mut cells = vec![metadata.name.to_string(), metadata.revision.to_string()];
    cells.extend(match resource {
        AnyResource::Organisation(organisation) => organisation_cells(&organisation.spec),
        AnyResource::Tier(tier) => vec![
            class_name(tier.spec.class).into(),
            tier.spec.rank.to_string(),
            span(tier.spec.deadline),
        ],
        AnyResource::AvailabilityZone(zone) => {
            let state = match zone.spec.state {
                ZoneState::Open => "open",
                ZoneState::Drained => "drained",
            };
            with_status(vec![state.into()], &zone.status)
        }
        AnyResource::Version(version) => vec![
            target_kind_name(version.spec.kind).into(),
            version.spec.serves.to_string(),
            version.spec.artefact.to_string(),
        ],
        AnyResource::Route(route) => route_cells(&route.spec),
        AnyResource::Target(target) => {
            let spec = &target.spec;
            let cells = vec![
                spec.zone.to_string(),
                target_kind_name(spec.kind).into(),
                spec.version.to_string(),
                join_names(&spec.models),
            ];
            with_status(cells, &target.status)
        }
        AnyResource::Move(planned) => {
            let spec = &planned.spec;
            let state = match spec.state {
                MoveState::Active => "active",
                MoveState::Finished => "finished",
                MoveState::Cancelled => "cancelled",
            };
            let cells = vec![
                spec.route.to_string(),
                spec.from.to_string(),
                spec.to.to_string(),
                spec.start.to_string(),
                spec.deadline.to_string(),
                state.into(),
            ];
            with_status(cells, &planned.status)
        }
    });
    cells
}

fn organisation_cells(spec: &OrganisationSpec) -> Vec<String> {
    let tiers = spec
        .tiers
        .iter()
        .map(|(route, tier)| format!("{route}:{tier}"));
    vec![
        spec.weight.to_string(),
        spec.tokens.len().to_string(),
        join(tiers),
    ]
}

fn route_cells(spec: &RouteSpec) -> Vec<String> {
    let takes = match &spec.kind {
        RouteKind::Chat(chat) => format!("chat:{}", chat.model),
        RouteKind::Service(service) => service.prefix.to_string(),
    };
    vec![
        takes,
        spec.base.to_string(),
        join_names(&spec.versions),
        spec.tier.to_string(),
        span(spec.deadline),
    ]
}

/// Appends the reason and the message of the latest condition.
fn with_status(mut cells: Vec<String>, status: &Status) -> Vec<String> {
    let latest = status
        .conditions
        .iter()
        .max_by_key(|condition| condition.time);
    let field = |field: fn(&Condition) -> &str| latest.map_or(EMPTY_CELL, field).to_owned();
    cells.push(field(|condition| &condition.reason));
    cells.push(field(|condition| &condition.message));
    cells
}

fn class_name(class: Class) -> &'static str {
    match class {
        Class::Interactive => "interactive",
        Class::Batch => "batch",
    }
}

fn target_kind_name(kind: TargetKind) -> &'static str {
    match kind {
        TargetKind::Model => "model",
        TargetKind::Service => "service",
    }
}

fn span(span: Option<Span>) -> String {
    span.map_or(EMPTY_CELL.into(), |span| span.to_string())
}

fn join_names(names: &[Name]) -> String {
    join(names.iter().map(ToString::to_string))
}

fn join(items: impl Iterator<Item = String>) -> String {
    let joined = items.collect::<Vec<_>>().join(",");
    if joined.is_empty() {
        EMPTY_CELL.into()
    } else {
        joined
    }
}

/// Renders rows of cells as aligned columns.
pub fn render(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    let mut text = String::new();
    for row in rows {
        let mut line = String::new();
        for (cell, width) in row.iter().zip(&widths) {
            // Writing to a string cannot fail.
            let _ = write!(line, "{cell:width$}  ");
        }
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}
