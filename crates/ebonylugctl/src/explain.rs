//! The story of one request, from the log lines of all processes.
//!
//! Lines are JSON objects; what stands before the first brace of a line is ignored, so that files with
//! prefixes can be read as they are.

use serde_json::{Map, Value};

/// A line of a log.
#[derive(Clone, Debug)]
struct Line {
    time: Box<str>,
    fields: Map<String, Value>,
}

/// What the log lines tell of one request.
#[derive(Clone, Debug, Default)]
pub struct Story {
    lines: Vec<Line>,
}

impl Story {
    /// Collects the lines about a request.
    pub fn collect<'a>(request: &str, log: impl IntoIterator<Item = &'a str>) -> Self {
        let mut story = Story::default();
        for line in log.into_iter().filter_map(Line::parse) {
            if line.text("request") == Some(request) {
                story.lines.push(line);
            }
        }
        story.lines.sort_by(|a, b| a.time.cmp(&b.time));
        story
    }

    /// Reports whether no line names the request.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// Returns the cause that the last lines tell.
    #[must_use]
    pub fn cause(&self) -> String {
        let Some(last) = self.lines.last() else {
            return "no line names this request: it was served in time, or its lines were dropped"
                .into();
        };
        match last.message() {
            "not served" => self.not_served(last),
            "late stream" => late(last),
            "late answer" => {
                let (queue, total) = (last.number("queue_ms"), last.number("total_ms"));
                let target = last.shown("target");
                if queue > total / 2 {
                    format!("the request waited {queue} ms for a target with room")
                } else {
                    format!(
                        "the target {target} took {} ms to answer",
                        total.saturating_sub(queue)
                    )
                }
            }
            "failed by target" => {
                let (target, status) = (last.shown("target"), last.shown("status"));
                format!("the target {target} answered with status {status}")
            }
            "served" | "served stream" => "it was served in time".into(),
            "broken off" => format!("the stream broke: {}", last.shown("error")),
            "caller left" => self.left(last),
            _ => format!("the last line says: {}", last.message()),
        }
    }

    /// Writes the lines in order, then the cause.
    #[must_use]
    pub fn render(&self) -> String {
        let mut text = String::new();
        for line in &self.lines {
            text += &line.render();
        }
        text + "cause: " + &self.cause() + "\n"
    }

    fn not_served(&self, last: &Line) -> String {
        let waited = last.shown("waited_ms");
        match last.text("reason").unwrap_or_default() {
            "quota" => format!(
                "the organisation {} is over its quota",
                last.shown("organisation")
            ),
            "full" => format!(
                "no target had room for {waited} ms; {} requests waited",
                last.shown("queue")
            ),
            "stale_config" => format!(
                "the configuration was {} ms old, too old to accept keys; see the lines of part store",
                last.shown("config_age_ms")
            ),
            "no_config" => "the entry had no configuration yet".into(),
            "no_target" => "no target of the service may be used".into(),
            "rejected" | "no_whole_answer" | "no_answer_in_time" => self.failures(),
            other => other.replace('_', " "),
        }
    }

    fn left(&self, last: &Line) -> String {
        let waited = last.shown("waited_ms");
        let failed = self.failures();
        format!("the caller left after {waited} ms; {failed}")
    }

    /// Tells the failed attempts of the request.
    fn failures(&self) -> String {
        let failed = self
            .lines
            .iter()
            .filter(|line| line.message() == "attempt failed");
        let failures: Vec<String> = failed.map(|line| line.shown("failure")).collect();
        if failures.is_empty() {
            return "no attempt failed before".into();
        }
        format!("attempts failed: {}", failures.join(", then "))
    }
}

/// Tells what a late stream waited for most.
fn late(line: &Line) -> String {
    let number = |field| line.number(field);
    let (queue, first, pause) = (number("queue_ms"), number("first_ms"), number("pause_ms"));
    let target = line.shown("target");
    let begin = first.saturating_sub(queue);
    if pause >= queue && pause >= begin {
        format!("the target {target} paused for {pause} ms between events")
    } else if queue >= begin {
        format!("the request waited {queue} ms for a target with room")
    } else {
        format!("the target {target} took {begin} ms to begin")
    }
}

impl Line {
    fn parse(text: &str) -> Option<Line> {
        let json = &text[text.find('{')?..];
        let fields: Map<String, Value> = serde_json::from_str(json).ok()?;
        let time = fields.get("timestamp")?.as_str()?.into();
        Some(Line { time, fields })
    }

    fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    fn number(&self, field: &str) -> u64 {
        self.fields.get(field).and_then(Value::as_u64).unwrap_or(0)
    }

    fn message(&self) -> &str {
        self.text("message").unwrap_or_default()
    }

    /// Returns a field as text for people.
    fn shown(&self, field: &str) -> String {
        match self.fields.get(field) {
            Some(Value::String(text)) => text.clone(),
            Some(value) => value.to_string(),
            None => "unknown".into(),
        }
    }

    fn render(&self) -> String {
        let hidden = ["timestamp", "level", "message", "request", "part"];
        let shown = self
            .fields
            .iter()
            .filter(|(name, _)| !hidden.contains(&name.as_str()));
        let fields: Vec<String> = shown
            .map(|(name, _)| format!("{name}={}", self.shown(name)))
            .collect();
        format!("{} {}: {}\n", self.time, self.message(), fields.join(" "))
    }
}
