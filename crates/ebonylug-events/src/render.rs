use std::fmt::Write;

use crate::{Event, Timeline};

const MS_PER_DAY: u64 = 86_400_000;

impl Timeline {
    /// Renders a plain-text table with one event per line.
    #[must_use]
    pub fn to_text(&self) -> String {
        let mut rows =
            vec![["time (UTC)", "stamp", "zone", "process", "event", "subject"].map(String::from)];
        for event in self.events() {
            let missing = self.missing_before(event);
            if missing > 0 {
                let origin = &event.origin;
                let gap = format!("({missing} events lost)");
                let (zone, process) = (origin.zone.to_string(), origin.process.to_string());
                rows.push(["".into(), "".into(), zone, process, gap, "".into()]);
            }
            rows.push(row(event));
        }
        let mut widths = [0; 6];
        for row in &rows {
            for (width, cell) in widths.iter_mut().zip(row) {
                *width = (*width).max(cell.chars().count());
            }
        }
        let mut text = String::new();
        for row in &rows {
            let mut line = String::new();
            for (width, cell) in widths.iter().zip(row) {
                // Writing to a string does not fail.
                let _ = write!(line, "{cell:width$}  ");
            }
            text.push_str(line.trim_end());
            text.push('\n');
        }
        text
    }

    /// Renders one JSON object per line.
    #[must_use]
    pub fn to_json_lines(&self) -> String {
        let line = |event: &Event| {
            let json = serde_json::to_string(event).expect("event serializes to JSON");
            json + "\n"
        };
        self.events().iter().map(line).collect()
    }
}

/// Formats the UTC time of day of a Unix time in milliseconds.
pub(crate) fn time_of_day(at: u64) -> String {
    let ms = at % MS_PER_DAY;
    let (hours, minutes) = (ms / 3_600_000, ms / 60_000 % 60);
    format!(
        "{hours:02}:{minutes:02}:{:02}.{:03}",
        ms / 1000 % 60,
        ms % 1000
    )
}

fn row(event: &Event) -> [String; 6] {
    [
        time_of_day(event.at),
        event.stamp.to_string(),
        event.origin.zone.to_string(),
        event.origin.process.to_string(),
        event.kind.to_string(),
        event.subject.to_string(),
    ]
}
