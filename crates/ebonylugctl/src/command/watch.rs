use std::time::Duration;

use serde::Serialize;

use ebonylug_core::Revision;
use ebonylug_resource::{AnyResource, Kind};

use crate::api::{ApiClient, DeletedResource, WatchResponse};
use crate::arguments::Watch;
use crate::output::{Format, table};
use crate::{Console, Outcome, Result};

/// Consecutive failed calls after which a watch ends. A restarting entry is back before that.
const MAX_FAILURES: u32 = 10;
/// Delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// One line of output. The variant names, in camel case, are the keys of the JSON output.
#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
enum OutputLine<'a> {
    Full(Revision),
    Changed(&'a AnyResource),
    Deleted(&'a DeletedResource),
}

/// Prints changes until the limit is reached or the process is terminated.
pub async fn watch(api: &ApiClient, watch: &Watch, console: &mut Console<'_>) -> Result<Outcome> {
    let mut since = match watch.since {
        Some(since) => since,
        // A list of any kind contains the active revision; there are only few tiers.
        None => api.list(Kind::Tier).await?.revision,
    };
    let mut remaining = watch.limit.unwrap_or(u64::MAX);
    let (mut failures, mut first_call) = (0, true);
    while remaining > 0 {
        match api.watch(since).await {
            Ok(changes) => {
                show(&changes, watch.output, &mut remaining, console)?;
                // A response from an entry that lags behind does not move the watch back. The changes of
                // that entry are shown once it has caught up.
                since = since.max(changes.revision);
                (failures, first_call) = (0, false);
            }
            Err(error) if !first_call && error.is_transient() && failures < MAX_FAILURES => {
                failures += 1;
                console.note(&error)?;
                tokio::time::sleep(RETRY_DELAY).await;
            }
            Err(error) => return Err(error),
        }
    }
    Ok(Outcome::Done)
}

fn show(
    changes: &WatchResponse,
    format: Format,
    remaining: &mut u64,
    console: &mut Console<'_>,
) -> Result<()> {
    let full = changes.full.then_some(OutputLine::Full(changes.revision));
    let changed = changes.changed.iter().map(OutputLine::Changed);
    let deleted = changes.deleted.iter().map(OutputLine::Deleted);
    for line in full.into_iter().chain(changed).chain(deleted) {
        if *remaining == 0 {
            return Ok(());
        }
        if !matches!(line, OutputLine::Full(_)) {
            *remaining -= 1;
        }
        match format {
            Format::Json => {
                let text = serde_json::to_string(&line).expect("responses serialize to JSON");
                console.line(text)?;
            }
            Format::Text => console.line(render(&line, changes.revision))?,
        }
    }
    Ok(())
}

fn render(line: &OutputLine<'_>, revision: Revision) -> String {
    match line {
        OutputLine::Full(revision) => format!("{revision} the whole configuration follows"),
        OutputLine::Changed(resource) => {
            let (kind, name) = (resource.kind(), resource.name());
            let summary = table::summary(resource);
            format!("{} {kind}/{name} {summary}", resource.metadata().revision)
        }
        OutputLine::Deleted(DeletedResource { kind, name }) => {
            format!("{revision} {kind}/{name} deleted")
        }
    }
}
