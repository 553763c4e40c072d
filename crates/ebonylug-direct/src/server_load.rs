//! Decodes what a response of a target says about the target's load.

use ebonylug_dispatch::{LoadReport, TargetKey};
use http::response::Parts;
use http::{HeaderMap, HeaderName, HeaderValue};

use crate::entry::Entry;

/// The largest valid number of requests or slots. A target with more would not be one machine.
const MAX_COUNT: u32 = 10_000;
/// The largest valid slowness in percent.
const MAX_SLOWNESS: u32 = 100_000;

/// Records the load that the head of a response reports. Ignores an invalid report.
pub(crate) fn record(entry: &Entry, target: TargetKey, head: &Parts) {
    if let Some(report) = read(&head.headers, &entry.dialect.server_load) {
        entry.record_load_report(target, report);
    }
}

/// Returns the report of a response that has exactly one header of this name, if it is valid: the running and
/// waiting requests, the slots, and possibly the slowness, as decimal numbers separated by commas.
#[must_use]
pub fn read(headers: &HeaderMap, name: &HeaderName) -> Option<LoadReport> {
    let mut values = headers.get_all(name).iter();
    let value = values.next()?;
    let report = parse(value).filter(|_| values.next().is_none());
    if report.is_none() {
        tracing::debug!(part = "targets", ?value, "invalid load report");
    }
    report
}

fn parse(value: &HeaderValue) -> Option<LoadReport> {
    let mut figures = value.to_str().ok()?.split(',').map(str::trim);
    let running = count(figures.next()?)?;
    let waiting = count(figures.next()?)?;
    let slots = count(figures.next()?).filter(|&slots| slots > 0)?;
    let slowness = match figures.next() {
        Some(text) => Some(number(text).filter(|s| (1..=MAX_SLOWNESS).contains(s))?),
        None => None,
    };
    figures.next().is_none().then_some(LoadReport {
        running,
        waiting,
        slots,
        slowness,
    })
}

fn count(text: &str) -> Option<u32> {
    number(text).filter(|&number| number <= MAX_COUNT)
}

/// Returns a number that consists of decimal digits. Parsing an integer would also accept a sign.
fn number(text: &str) -> Option<u32> {
    let digits = text.bytes().all(|byte| byte.is_ascii_digit());
    text.parse().ok().filter(|_| digits)
}
