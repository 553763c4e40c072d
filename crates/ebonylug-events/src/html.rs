use std::collections::HashMap;
use std::fmt::{self, Write};

use crate::kind::Category;
use crate::render::clock;
use crate::{Event, Timeline};

/// Width of the column of process names, in pixels.
const NAMES: usize = 200;
/// Distance between two events, in pixels.
const STEP: usize = 28;
/// Height of a lane, in pixels.
const LANE: usize = 44;
/// Height of the row of times above the lanes, in pixels.
const HEAD: usize = 28;
/// Each so many events the time is shown, since the labels are wider than one step.
const TIME_EVERY: usize = 4;

const STYLE: &str = "
body { font: 14px/1.4 system-ui, sans-serif; margin: 1.5em; color: #222; background: #fff }
h1 { font-size: 1.3em }
.scroll { overflow-x: auto; border: 1px solid #ccc }
text { font-size: 12px; fill: #333 }
text.zone { fill: #777; font-size: 11px }
line.lane { stroke: #ddd }
line.cause { stroke: #999; stroke-dasharray: 3 2 }
.request { fill: #2a6fbb; background: #2a6fbb }
.trouble { fill: #c0392b; background: #c0392b }
.move { fill: #8e44ad; background: #8e44ad }
.control { fill: #5f6f5f; background: #5f6f5f }
circle { stroke: #fff; stroke-width: 1.5 }
circle:hover { stroke: #222 }
.key { display: inline-block; width: .8em; height: .8em; border-radius: 50%; margin: 0 .3em 0 1em }
table { border-collapse: collapse; margin-top: 1.5em }
th, td { text-align: left; padding: .15em .9em .15em 0; border-bottom: 1px solid #eee; vertical-align: top }
td.time, td.stamp { font-variant-numeric: tabular-nums }
tr.gap td { color: #c0392b; font-style: italic }
";

impl Timeline {
    /// Renders a page with a lane for each process and a table of all events.
    ///
    /// The events stand in causal order from left to right at even distances; dashed lines lead
    /// from causes to effects. The page needs no other file.
    #[must_use]
    pub fn to_html(&self, title: &str) -> String {
        let mut page = String::new();
        // Writing to a string does not fail.
        let _ = self.write_page(&mut page, title);
        page
    }

    fn write_page(&self, page: &mut String, title: &str) -> fmt::Result {
        let title = escape(title);
        writeln!(page, "<!DOCTYPE html>")?;
        writeln!(page, "<html lang=\"en\"><head><meta charset=\"utf-8\">")?;
        writeln!(
            page,
            "<title>{title}</title>\n<style>{STYLE}</style></head>"
        )?;
        writeln!(page, "<body><h1>{title}</h1>")?;
        self.write_summary(page)?;
        self.write_lanes(page)?;
        self.write_table(page)?;
        writeln!(page, "</body></html>")
    }

    fn write_summary(&self, page: &mut String) -> fmt::Result {
        let (events, processes) = (self.events().len(), self.processes().len());
        write!(
            page,
            "<p>{events} events of {processes} processes in causal order."
        )?;
        for category in [
            Category::Request,
            Category::Failure,
            Category::Move,
            Category::Control,
        ] {
            let class = class(category);
            write!(page, "<span class=\"key {class}\"></span>{class}")?;
        }
        writeln!(page, "</p>")
    }

    fn write_lanes(&self, page: &mut String) -> fmt::Result {
        let processes = self.processes();
        let width = NAMES + STEP * (self.events().len() + 2);
        let height = HEAD + LANE * processes.len();
        writeln!(
            page,
            "<div class=\"scroll\"><svg width=\"{width}\" height=\"{height}\" role=\"img\">"
        )?;
        let mut lanes = HashMap::new();
        for (lane, (zone, process)) in processes.iter().enumerate() {
            let y = HEAD + LANE * lane + LANE / 2;
            lanes.insert(process, y);
            let (zone, process) = (escape(zone.as_str()), escape(process.as_str()));
            writeln!(
                page,
                "<line class=\"lane\" x1=\"0\" y1=\"{y}\" x2=\"{width}\" y2=\"{y}\"/>"
            )?;
            writeln!(page, "<text x=\"8\" y=\"{}\">{process}</text>", y - 4)?;
            writeln!(
                page,
                "<text class=\"zone\" x=\"8\" y=\"{}\">{zone}</text>",
                y + 13
            )?;
        }
        let place = |index: usize, event: &Event| {
            let y = lanes.get(&event.origin.process).copied().unwrap_or(HEAD);
            (NAMES + STEP * (index + 1), y)
        };
        let mut places = HashMap::new();
        for (index, event) in self.events().iter().enumerate() {
            let (x, y) = place(index, event);
            if let Some(cause) = &event.cause
                && let Some((from_x, from_y)) = places.get(cause)
            {
                writeln!(
                    page,
                    "<line class=\"cause\" x1=\"{from_x}\" y1=\"{from_y}\" x2=\"{x}\" y2=\"{y}\"/>"
                )?;
            }
            places.insert(event.reference(), (x, y));
        }
        for (index, event) in self.events().iter().enumerate() {
            let (x, y) = place(index, event);
            if index % TIME_EVERY == 0 {
                writeln!(page, "<text x=\"{x}\" y=\"18\">{}</text>", clock(event.at))?;
            }
            let (class, tip) = (class(event.kind.category()), escape(&tip(event)));
            writeln!(
                page,
                "<circle class=\"{class}\" cx=\"{x}\" cy=\"{y}\" r=\"7\"><title>{tip}</title></circle>"
            )?;
        }
        writeln!(page, "</svg></div>")
    }

    fn write_table(&self, page: &mut String) -> fmt::Result {
        writeln!(
            page,
            "<table><thead><tr><th>time (UTC)</th><th>stamp</th><th>zone</th><th>process</th><th>event</th><th>subject</th></tr></thead><tbody>"
        )?;
        for event in self.events() {
            let missing = self.missing_before(event);
            let zone = escape(event.origin.zone.as_str());
            let process = escape(event.origin.process.as_str());
            if missing > 0 {
                writeln!(
                    page,
                    "<tr class=\"gap\"><td></td><td></td><td>{zone}</td><td>{process}</td><td colspan=\"2\">{missing} events lost</td></tr>"
                )?;
            }
            let (at, stamp) = (clock(event.at), event.stamp);
            let class = class(event.kind.category());
            let kind = escape(&event.kind.to_string());
            let subject = escape(&event.subject.to_string());
            writeln!(
                page,
                "<tr><td class=\"time\">{at}</td><td class=\"stamp\">{stamp}</td><td>{zone}</td><td>{process}</td><td><span class=\"key {class}\"></span>{kind}</td><td>{subject}</td></tr>"
            )?;
        }
        writeln!(page, "</tbody></table>")
    }
}

fn class(category: Category) -> &'static str {
    match category {
        Category::Request => "request",
        Category::Failure => "trouble",
        Category::Move => "move",
        Category::Control => "control",
    }
}

fn tip(event: &Event) -> String {
    let mut tip = format!("{} {}", clock(event.at), event.kind);
    let subject = event.subject.to_string();
    if !subject.is_empty() {
        tip = format!("{tip}\n{subject}");
    }
    if let Some(cause) = &event.cause {
        tip = format!(
            "{tip}\ncaused by event {} of {}",
            cause.sequence, cause.process
        );
    }
    tip
}

/// Escapes text for elements and quoted attributes.
fn escape(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for c in text.chars() {
        match c {
            '&' => escaped.push_str("&amp;"),
            '<' => escaped.push_str("&lt;"),
            '>' => escaped.push_str("&gt;"),
            '"' => escaped.push_str("&quot;"),
            '\'' => escaped.push_str("&#39;"),
            c => escaped.push(c),
        }
    }
    escaped
}
