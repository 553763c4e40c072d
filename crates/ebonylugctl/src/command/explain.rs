use crate::arguments::Explain;
use crate::explain::RequestLog;
use crate::{Console, Error, Outcome, Result};

/// Explains the outcome of a request from log files or standard input.
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
    let request_log = RequestLog::collect(&explain.request, log.lines());
    console.text(&request_log.render())?;
    Ok(if request_log.is_empty() {
        Outcome::Refused
    } else {
        Outcome::Done
    })
}
