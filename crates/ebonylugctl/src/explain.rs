//! Explains the outcome of one request from the log lines of all processes.
//!
//! Each line holds a JSON object. Text before the first brace is ignored, so that log files with line
//! prefixes can be read unchanged.

use serde_json::{Map, Value};

/// A parsed log line.
#[derive(Clone, Debug)]
struct LogLine {
    time: Box<str>,
    fields: Map<String, Value>,
}

/// The log lines of one request, sorted by time.
#[derive(Clone, Debug, Default)]
pub struct RequestLog {
    lines: Vec<LogLine>,
}

impl RequestLog {
    /// Collects the lines of `log` whose field `request` is the given id.
    pub fn collect<'a>(request: &str, log: impl IntoIterator<Item = &'a str>) -> Self {
        let mut request_log = RequestLog::default();
        for line in log.into_iter().filter_map(LogLine::parse) {
            if line.text("request") == Some(request) {
                request_log.lines.push(line);
            }
        }
        request_log.lines.sort_by(|a, b| a.time.cmp(&b.time));
        request_log
    }

    /// Reports whether no line belongs to the request.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// Derives the cause of the outcome from the last line, and from failed attempts before it.
    #[must_use]
    pub fn cause(&self) -> String {
        let Some(last) = self.lines.last() else {
            return "no line names this request: it was served in time, or its lines were dropped"
                .into();
        };
        match last.message() {
            "not served" => self.rejection_cause(last),
            "late stream" => late_stream_cause(last),
            "late answer" => {
                let (queue, total) = (last.number("queue_ms"), last.number("total_ms"));
                let target = last.display("target");
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
                let (target, status) = (last.display("target"), last.display("status"));
                format!("the target {target} answered with status {status}")
            }
            "served" | "served stream" => "it was served in time".into(),
            "broken off" => format!("the stream broke: {}", last.display("error")),
            "caller left" => self.disconnect_cause(last),
            _ => format!("the last line says: {}", last.message()),
        }
    }

    /// Renders the lines in order, followed by the cause.
    #[must_use]
    pub fn render(&self) -> String {
        let mut text = String::new();
        for line in &self.lines {
            text += &line.render();
        }
        text + "cause: " + &self.cause() + "\n"
    }

    fn rejection_cause(&self, last: &LogLine) -> String {
        let waited = last.display("waited_ms");
        match last.text("reason").unwrap_or_default() {
            "quota" => format!(
                "the organisation {} is over its quota",
                last.display("organisation")
            ),
            "full" => format!(
                "no target had room for {waited} ms; {} requests waited",
                last.display("queue")
            ),
            "stale_config" => format!(
                "the configuration was {} ms old, too old to accept keys; see the lines of part store",
                last.display("config_age_ms")
            ),
            "no_config" => "the entry had no configuration yet".into(),
            "no_target" => "no target of the service may be used".into(),
            "rejected" | "no_whole_answer" | "no_answer_in_time" => self.failed_attempts(),
            other => other.replace('_', " "),
        }
    }

    fn disconnect_cause(&self, last: &LogLine) -> String {
        let waited = last.display("waited_ms");
        let failed = self.failed_attempts();
        format!("the caller left after {waited} ms; {failed}")
    }

    /// Describes the failed attempts of the request.
    fn failed_attempts(&self) -> String {
        let failed = self
            .lines
            .iter()
            .filter(|line| line.message() == "attempt failed");
        let failures: Vec<String> = failed.map(|line| line.display("failure")).collect();
        if failures.is_empty() {
            return "no attempt failed before".into();
        }
        format!("attempts failed: {}", failures.join(", then "))
    }
}

/// Returns the largest delay of a late stream: queueing, the first event or a pause between events.
fn late_stream_cause(line: &LogLine) -> String {
    let number = |field| line.number(field);
    let (queue, first, pause) = (number("queue_ms"), number("first_ms"), number("pause_ms"));
    let target = line.display("target");
    let first_delay = first.saturating_sub(queue);
    if pause >= queue && pause >= first_delay {
        format!("the target {target} paused for {pause} ms between events")
    } else if queue >= first_delay {
        format!("the request waited {queue} ms for a target with room")
    } else {
        format!("the target {target} took {first_delay} ms to begin")
    }
}

impl LogLine {
    fn parse(text: &str) -> Option<LogLine> {
        let json = &text[text.find('{')?..];
        let fields: Map<String, Value> = serde_json::from_str(json).ok()?;
        let time = fields.get("timestamp")?.as_str()?.into();
        Some(LogLine { time, fields })
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

    /// Formats a field for display; strings are not quoted.
    fn display(&self, field: &str) -> String {
        match self.fields.get(field) {
            Some(Value::String(text)) => text.clone(),
            Some(value) => value.to_string(),
            None => "unknown".into(),
        }
    }

    fn render(&self) -> String {
        let hidden = ["timestamp", "level", "message", "request", "part"];
        let visible = self
            .fields
            .iter()
            .filter(|(name, _)| !hidden.contains(&name.as_str()));
        let fields: Vec<String> = visible
            .map(|(name, _)| format!("{name}={}", self.display(name)))
            .collect();
        format!("{} {}: {}\n", self.time, self.message(), fields.join(" "))
    }
}
