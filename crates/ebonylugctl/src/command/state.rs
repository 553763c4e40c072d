use std::fmt::Write;

use ebonylug_dispatch::{DutyOverview, Overview, TargetOverview};

use crate::api::ApiClient;
use crate::arguments::State;
use crate::output::{Format, table};
use crate::{Console, Outcome, Result};

/// Prints the state of an entry: its configuration, targets and moves.
pub async fn show(api: &ApiClient, state: &State, console: &mut Console<'_>) -> Result<Outcome> {
    let overview = api.state().await?;
    match state.output {
        Format::Json => console.json(&overview)?,
        Format::Text => console.text(&render(&overview))?,
    }
    Ok(Outcome::Done)
}

fn render(overview: &Overview) -> String {
    let ready = if overview.ready { "ready" } else { "not ready" };
    let age = match overview.config_age {
        Some(age) => format!("current {age} ms ago"),
        None => "not known to be current".into(),
    };
    let mut text = format!(
        "entry {} in zone {}: {ready}\n\
         configuration {}, {age}\n\
         entries: {} of {} heard\n\
         requests: {} active, {} waiting\n",
        overview.entry,
        overview.zone,
        overview.config,
        overview.reachable,
        overview.known,
        overview.active,
        overview.waiting,
    );
    let mut line = |name, cells: Vec<String>| {
        if !cells.is_empty() {
            let _ = writeln!(text, "{name}: {}", cells.join(", "));
        }
    };
    line(
        "zones that get nothing",
        overview
            .drained
            .iter()
            .map(|zone| zone.to_string())
            .collect(),
    );
    let describe = |m: &ebonylug_dispatch::RolloutStatus| {
        format!("{} to {}: {}", m.service, m.version, m.stage.as_str())
    };
    line("moves", overview.moves.iter().map(describe).collect());
    line(
        "quarantined",
        overview
            .quarantined
            .iter()
            .map(ToString::to_string)
            .collect(),
    );
    line(
        "duties",
        overview.duties.iter().flat_map(describe_duties).collect(),
    );
    let headings = [
        "SERVICE", "TARGET", "ZONE", "VERSION", "STATE", "OWN", "ALL", "SLOTS",
    ];
    let mut rows = vec![headings.map(String::from).to_vec()];
    rows.extend(overview.targets.iter().map(row));
    // Targets of most deployments report nothing.
    if overview.targets.iter().any(|t| t.reported.is_some()) {
        rows[0].push("REPORTED".into());
        let cells = overview.targets.iter().map(report);
        rows[1..]
            .iter_mut()
            .zip(cells)
            .for_each(|(row, cell)| row.push(cell));
    }
    text + &table::render(&rows)
}

/// Describes who holds the duties of one entry at a time, and the usage reports.
fn describe_duties(duties: &DutyOverview) -> Vec<String> {
    let holder = duties.holder.as_deref().unwrap_or("unknown");
    let mut cells = vec![format!("held by {holder}")];
    if let (Some(fence), Some(time)) = (duties.fence, duties.held_ms) {
        cells.push(format!("token {fence} for {time} ms"));
    }
    cells.push(format!("window {} reported", duties.reported));
    if let Some(window) = duties.accepted {
        cells.push(format!("window {window} accepted"));
    }
    let counts = [
        (duties.open as u64, "waiting"),
        (duties.late, "late"),
        (duties.left_out, "left out"),
    ];
    let counts = counts.into_iter().filter(|(count, _)| *count > 0);
    cells.extend(counts.map(|(count, name)| format!("{count} {name}")));
    cells
}

/// Describes what a target last said about its load.
fn report(target: &TargetOverview) -> String {
    let Some(report) = &target.reported else {
        return String::new();
    };
    let mut text = format!("{} running, {} waiting", report.running, report.waiting);
    if let Some(slowness) = report.slowness {
        let _ = write!(text, ", {slowness} % time");
    }
    if let Some(pace) = report.lasting_pace {
        let _ = write!(text, ", {} ms per unit", pace as f64 / 1_000.0);
    }
    let _ = write!(text, ", {} ms ago", report.age);
    text
}

fn row(target: &TargetOverview) -> Vec<String> {
    vec![
        target.service.to_string(),
        target.name.to_string(),
        target.zone.to_string(),
        target.version.to_string(),
        target.state.to_string(),
        target.own.to_string(),
        target.all.to_string(),
        target.slots.to_string(),
    ]
}
