use std::fmt;
use std::io::{Read, Write};

use serde::Serialize;

use crate::Result;

/// The standard streams of a command.
pub struct Console<'a> {
    /// Standard input.
    pub input: &'a mut dyn Read,
    /// Standard output.
    pub output: &'a mut dyn Write,
    /// Standard error.
    pub errors: &'a mut dyn Write,
}

impl Console<'_> {
    /// Writes a line and flushes it, so that a reader sees the progress of a long command.
    pub(crate) fn line(&mut self, line: impl fmt::Display) -> Result<()> {
        writeln!(self.output, "{line}")?;
        self.output.flush()?;
        Ok(())
    }

    /// Writes text that contains its own line breaks.
    pub(crate) fn text(&mut self, text: &str) -> Result<()> {
        self.output.write_all(text.as_bytes())?;
        self.output.flush()?;
        Ok(())
    }

    /// Writes a value as indented JSON.
    pub(crate) fn json(&mut self, value: &impl Serialize) -> Result<()> {
        let text = serde_json::to_string_pretty(value).expect("responses serialize to JSON");
        self.line(text)
    }

    /// Writes a note to standard error, which keeps it out of output that programs parse.
    pub(crate) fn note(&mut self, note: impl fmt::Display) -> Result<()> {
        writeln!(self.errors, "{note}")?;
        Ok(())
    }
}

impl fmt::Debug for Console<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Console")
    }
}
