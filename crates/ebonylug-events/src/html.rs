use std::collections::HashMap;
use std::fmt::{self, Write};

use crate::kind::Category;
use crate::render::time_of_day;
use crate::{Event, Timeline};

/// Width of the column of process names.
const NAME_WIDTH_PX: usize = 200;
/// Horizontal distance between two events.
const EVENT_STEP_PX: usize = 28;
const LANE_HEIGHT_PX: usize = 44;
/// Height of the row of times above the lanes.
const HEADER_HEIGHT_PX: usize = 28;
/// Number of events per time label, since a label is wider than the distance of two events.
const EVENTS_PER_LABEL: usize = 4;

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
    /// Renders an HTML page with a lane for each process and a table of all events.
    ///
    /// The lanes show the events in causal order from left to right, at equal distances; dashed
    /// lines lead from causes to effects. The page loads no other files.
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
        let width = NAME_WIDTH_PX + EVENT_STEP_PX * (self.events().len() + 2);
        let height = HEADER_HEIGHT_PX + LANE_HEIGHT_PX * processes.len();
        writeln!(
            page,
            "<div class=\"scroll\"><svg width=\"{width}\" height=\"{height}\" role=\"img\">"
        )?;
        let mut lanes = HashMap::new();
        for (lane, (zone, process)) in processes.iter().enumerate() {
            let y = HEADER_HEIGHT_PX + LANE_HEIGHT_PX * lane + LANE_HEIGHT_PX / 2;
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
        let position = |index: usize, event: &Event| {
            let y = lanes
                .get(&event.origin.process)
                .copied()
                .unwrap_or(HEADER_HEIGHT_PX);
            (NAME_WIDTH_PX + EVENT_STEP_PX * (index + 1), y)
        };
        let mut positions = HashMap::new();
        for (index, event) in self.events().iter().enumerate() {
            let (x, y) = position(index, event);
            if let Some(cause) = &event.cause
                && let Some((from_x, from_y)) = positions.get(cause)
            {
                writeln!(
                    page,
                    "<line class=\"cause\" x1=\"{from_x}\" y1=\"{from_y}\" x2=\"{x}\" y2=\"{y}\"/>"
                )?;
            }
            positions.insert(event.reference(), (x, y));
        }
        for (index, event) in self.events().iter().enumerate() {
            let (x, y) = position(index, event);
            if index % EVENTS_PER_LABEL == 0 {
                writeln!(
                    page,
                    "<text x=\"{x}\" y=\"18\">{}</text>",
                    time_of_day(event.at)
                )?;
            }
            let (class, tooltip) = (class(event.kind.category()), escape(&tooltip(event)));
            writeln!(
                page,
                "<circle class=\"{class}\" cx=\"{x}\" cy=\"{y}\" r=\"7\"><title>{tooltip}</title></circle>"
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
            let (at, stamp) = (time_of_day(event.at), event.stamp);
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

fn tooltip(event: &Event) -> String {
    let mut text = format!("{} {}", time_of_day(event.at), event.kind);
    let subject = event.subject.to_string();
    if !subject.is_empty() {
        text = format!("{text}\n{subject}");
    }
    if let Some(cause) = &event.cause {
        text = format!(
            "{text}\ncaused by event {} of {}",
            cause.sequence, cause.process
        );
    }
    text
}

/// Escapes text for HTML elements and quoted attributes.
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
