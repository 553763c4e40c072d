use std::fmt::Write;

use crate::notes::{End, Notes, Trouble};
use crate::report::Played;

/// Width of the drawing, in pixels.
const WIDTH: f64 = 1_000.0;
/// Height of a bar for one request.
const UNIT: f64 = 2.0;
/// Time of one bar, in milliseconds.
const BAR: u64 = 250;

/// Draws load, faults and what callers got over time, as one page.
#[must_use]
pub fn page(played: &Played, notes: &Notes) -> String {
    let seed = played.schedule.seed;
    let end = notes.asks.iter().map(|ask| ask.ended).max();
    let length = end
        .unwrap_or(notes.started)
        .saturating_sub(notes.started)
        .max(BAR);
    let x = |at: u64| at.saturating_sub(notes.started) as f64 / length as f64 * WIDTH;
    let mut drawn = bars(notes, &x, length);
    let mut y = 220.0;
    for span in &notes.troubles {
        let (left, right) = (x(span.from), x(span.to));
        let name = match span.what {
            Trouble::Entry(place) => format!("entry {place}"),
            Trouble::Store(place) => format!("store for entry {place}"),
            Trouble::Engine => "engines".into(),
        };
        let width = (right - left).max(2.0);
        let _ = write!(
            drawn,
            "<rect x='{left:.1}' y='{y:.1}' width='{width:.1}' height='10' fill='#c66'/>\
             <text x='{:.1}' y='{:.1}' font-size='10'>{name}</text>",
            right + 4.0,
            y + 9.0
        );
        y += 13.0;
    }
    let mut breaches = String::new();
    for breach in &played.breaches {
        let seen = breach.seen.replace('&', "&amp;").replace('<', "&lt;");
        let _ = write!(breaches, "<li>{:?}: {seen}</li>", breach.promise);
    }
    format!(
        "<!doctype html><meta charset='utf-8'><title>Soak, seed {seed}</title>\
         <h1>Seed {seed}</h1><p>Requests by the time of their end: \
         <b style='color:#4a4'>served</b>, <b style='color:#aa4'>refused</b>, \
         <b style='color:#a44'>other</b>; below, what was harmed.</p>\
         <svg width='{:.0}' height='{y:.0}' xmlns='http://www.w3.org/2000/svg'>{drawn}</svg>\
         <ul>{breaches}</ul>",
        WIDTH + 160.0
    )
}

fn bars(notes: &Notes, x: &impl Fn(u64) -> f64, length: u64) -> String {
    let mut drawn = String::new();
    for bar in 0..length.div_ceil(BAR) {
        let from = notes.started + bar * BAR;
        let asks = notes.asks.iter();
        let asks = asks.filter(|ask| ask.ended >= from && ask.ended < from + BAR);
        let mut counts = [0_u32; 3];
        for ask in asks {
            counts[match &ask.end {
                End::Served { .. } => 0,
                End::Status {
                    code: 429 | 503,
                    signed: false,
                } => 1,
                _ => 2,
            }] += 1;
        }
        let mut y = 210.0;
        for (count, colour) in counts.into_iter().zip(["#4a4", "#aa4", "#a44"]) {
            let height = f64::from(count) * UNIT;
            y -= height;
            let width = (x(from + BAR) - x(from) - 1.0).max(1.0);
            let _ = write!(
                drawn,
                "<rect x='{:.1}' y='{y:.1}' width='{width:.1}' height='{height:.1}' fill='{colour}'/>",
                x(from)
            );
        }
    }
    drawn
}
