use std::fmt::Write;

use crate::history::{FaultScope, History, Outcome};
use crate::report::ScheduleResult;

/// Width of the chart.
const WIDTH_PX: f64 = 1_000.0;
/// Height that each request adds to a bar.
const REQUEST_HEIGHT_PX: f64 = 2.0;
/// Time covered by a bar.
const BAR_MS: u64 = 250;

/// Renders an HTML page with a chart of outcomes and faults over time, and a list of violations.
#[must_use]
pub fn render_page(result: &ScheduleResult, history: &History) -> String {
    let seed = result.schedule.seed;
    let end = history.requests.iter().map(|request| request.ended).max();
    let length = end
        .unwrap_or(history.started)
        .saturating_sub(history.started)
        .max(BAR_MS);
    let x = |at: u64| at.saturating_sub(history.started) as f64 / length as f64 * WIDTH_PX;
    let mut shapes = draw_bars(history, &x, length);
    let mut y = 220.0;
    for window in &history.fault_windows {
        let (left, right) = (x(window.from), x(window.to));
        let name = match window.scope {
            FaultScope::Entry(index) => format!("entry {index}"),
            FaultScope::Store(index) => format!("store for entry {index}"),
            FaultScope::Engine => "engines".into(),
        };
        let width = (right - left).max(2.0);
        let _ = write!(
            shapes,
            "<rect x='{left:.1}' y='{y:.1}' width='{width:.1}' height='10' fill='#c66'/>\
             <text x='{:.1}' y='{:.1}' font-size='10'>{name}</text>",
            right + 4.0,
            y + 9.0
        );
        y += 13.0;
    }
    let mut violations = String::new();
    for violation in &result.violations {
        let details = violation.details.replace('&', "&amp;").replace('<', "&lt;");
        let _ = write!(violations, "<li>{:?}: {details}</li>", violation.guarantee);
    }
    format!(
        "<!doctype html><meta charset='utf-8'><title>Soak, seed {seed}</title>\
         <h1>Seed {seed}</h1><p>Requests by the time of their end: \
         <b style='color:#4a4'>served</b>, <b style='color:#aa4'>refused</b>, \
         <b style='color:#a44'>other</b>; below, what was harmed.</p>\
         <svg width='{:.0}' height='{y:.0}' xmlns='http://www.w3.org/2000/svg'>{shapes}</svg>\
         <ul>{violations}</ul>",
        WIDTH_PX + 160.0
    )
}

fn draw_bars(history: &History, x: &impl Fn(u64) -> f64, length: u64) -> String {
    let mut shapes = String::new();
    for bar in 0..length.div_ceil(BAR_MS) {
        let from = history.started + bar * BAR_MS;
        let requests = history.requests.iter();
        let requests =
            requests.filter(|request| request.ended >= from && request.ended < from + BAR_MS);
        let mut counts = [0_u32; 3];
        for request in requests {
            counts[match &request.outcome {
                Outcome::Served { .. } => 0,
                Outcome::Status {
                    code: 429 | 503,
                    signed: false,
                } => 1,
                _ => 2,
            }] += 1;
        }
        let mut y = 210.0;
        for (count, colour) in counts.into_iter().zip(["#4a4", "#aa4", "#a44"]) {
            let height = f64::from(count) * REQUEST_HEIGHT_PX;
            y -= height;
            let width = (x(from + BAR_MS) - x(from) - 1.0).max(1.0);
            let _ = write!(
                shapes,
                "<rect x='{:.1}' y='{y:.1}' width='{width:.1}' height='{height:.1}' fill='{colour}'/>",
                x(from)
            );
        }
    }
    shapes
}
