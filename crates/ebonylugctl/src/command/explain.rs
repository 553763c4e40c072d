use crate::arguments::Explain;
use crate::explain::Story;
use crate::{Console, Error, Outcome, Result};

/// Prints the story of a request from log files, or from standard input.
pub fn run(explain: &Explain, console: &mut Console<'_>) -> Result<Outcome> {
    let mut log = String::new();
    if explain.files.is_empty() {
        let unreadable = |error| Error::invalid_input(format!("standard input: {error}"));
        console.input.read_to_string(&mut log).map_err(unreadable)?;
    }
    for file in &explain.files {
        let unreadable = |error| Error::invalid_input(format!("{}: {error}", file.display()));
        log += &std::fs::read_to_string(file).map_err(unreadable)?;
    }
    let story = Story::collect(&explain.request, log.lines());
    console.text(&story.render())?;
    Ok(if story.is_empty() {
        Outcome::Refused
    } else {
        Outcome::Done
    })
}
