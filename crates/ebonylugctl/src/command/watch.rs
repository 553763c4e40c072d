use std::time::Duration;

use serde::Serialize;

use ebonylug_core::Revision;
use ebonylug_resource::{AnyResource, Kind};

use crate::api::{ApiClient, DeletedResource, WatchResponse};
use crate::arguments::Watch;
use crate::output::{Format, table};
use crate::{Console, Outcome, Result};

/// Calls without an answer after which a watch gives up; an entry that restarts takes less.
const MAX_FAILURES: u32 = 10;
/// Time between calls without an answer.
const PAUSE: Duration = Duration::from_secs(1);

/// One change as a line of JSON.
#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
enum Line<'a> {
    Full(Revision),
    Changed(&'a AnyResource),
    Deleted(&'a DeletedResource),
}

/// Shows changes until the limit is reached, or the process is ended.
pub async fn watch(api: &ApiClient, watch: &Watch, console: &mut Console<'_>) -> Result<Outcome> {
    let mut since = match watch.since {
        Some(since) => since,
        // Any list tells the revision in force; tiers are few.
        None => api.list(Kind::Tier).await?.revision,
    };
    let mut left = watch.limit.unwrap_or(u64::MAX);
    let (mut failures, mut first) = (0, true);
    while left > 0 {
        match api.watch(since).await {
            Ok(changes) => {
                show(&changes, watch.output, &mut left, console)?;
                // Another entry may be behind; its changes are shown when it has caught up.
                since = since.max(changes.revision);
                (failures, first) = (0, false);
            }
            Err(error) if !first && error.is_transient() && failures < MAX_FAILURES => {
                failures += 1;
                console.note(&error)?;
                tokio::time::sleep(PAUSE).await;
            }
            Err(error) => return Err(error),
        }
    }
    Ok(Outcome::Done)
}

fn show(
    changes: &WatchResponse,
    format: Format,
    left: &mut u64,
    console: &mut Console<'_>,
) -> Result<()> {
    let full = changes.full.then_some(Line::Full(changes.revision));
    let changed = changes.changed.iter().map(Line::Changed);
    let deleted = changes.deleted.iter().map(Line::Deleted);
    for line in full.into_iter().chain(changed).chain(deleted) {
        if *left == 0 {
            return Ok(());
        }
        if !matches!(line, Line::Full(_)) {
            *left -= 1;
        }
        match format {
            Format::Json => {
                let text = serde_json::to_string(&line).expect("answers are plain data");
                console.line(text)?;
            }
            Format::Text => console.line(text(&line, changes.revision))?,
        }
    }
    Ok(())
}

fn text(line: &Line<'_>, revision: Revision) -> String {
    match line {
        Line::Full(revision) => format!("{revision} the whole configuration follows"),
        Line::Changed(resource) => {
            let (kind, name) = (resource.kind(), resource.name());
            let summary = table::summary(resource);
            format!("{} {kind}/{name} {summary}", resource.metadata().revision)
        }
        Line::Deleted(DeletedResource { kind, name }) => {
            format!("{revision} {kind}/{name} deleted")
        }
    }
}
