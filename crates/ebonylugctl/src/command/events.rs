use std::path::Path;

use ebonylug_events::{Filter, Timeline};

use crate::api::ApiClient;
use crate::arguments::Events;
use crate::output::Format;
use crate::{Console, Error, Outcome, Result};

/// Prints the events of all processes in causal order, or writes them to an HTML page.
pub async fn show(api: &ApiClient, events: &Events, console: &mut Console<'_>) -> Result<Outcome> {
    let response = api.events().await?;
    if !response.unreachable.is_empty() {
        let names = response.unreachable.join(", ");
        console.note(format_args!("ebonylugctl: no events of {names}: no answer"))?;
    }
    let timeline = Timeline::merge(response.lists).filter(&filter(events));
    match (&events.html, events.output) {
        (Some(file), _) => write(file, &timeline.to_html(&title(events)))?,
        (None, Format::Text) => console.text(&timeline.to_text())?,
        (None, Format::Json) => console.text(&timeline.to_json_lines())?,
    }
    Ok(Outcome::Done)
}

fn filter(events: &Events) -> Filter {
    Filter {
        request: events.request,
        version_move: events.version_move.clone(),
        zone: events.zone.clone(),
        target: events.target.clone(),
    }
}

fn title(events: &Events) -> String {
    let parts = [
        ("request", events.request.map(|id| id.to_string())),
        (
            "move",
            events.version_move.as_ref().map(ToString::to_string),
        ),
        ("zone", events.zone.as_ref().map(ToString::to_string)),
        ("target", events.target.as_ref().map(ToString::to_string)),
    ];
    let mut title = String::from("Events");
    for (name, value) in parts {
        if let Some(value) = value {
            title = format!("{title}, {name} {value}");
        }
    }
    title
}

fn write(file: &Path, page: &str) -> Result<()> {
    let unwritable = |error| Error::invalid_input(format!("{}: {error}", file.display()));
    std::fs::write(file, page).map_err(unwritable)
}
