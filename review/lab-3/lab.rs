//! Stand-ins of the platform, its store, engines and requesters for the scripts of this review, and the scripts'
//! scenarios. It uses the standard library only, and starts the project's entries as separate processes.
//!
//! Usage: lab CASE FOLDER. `TROUBLE=0` leaves out the disruption. The exit status is 1 if the rule was broken, 0 if it
//! held, and 2 if the case could not run.

mod entry;
mod http;
mod json;
mod store;

mod cleared_part;
mod early;
mod old_key;
mod stale_rows;

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// The result of a scenario: whether the rule was broken, or why the case could not run.
pub type Outcome = Result<bool, String>;

/// The record of a run, with the seconds since its start.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Record {
            file: Mutex::new(File::create(path)?),
            started: Instant::now(),
        })
    }

    /// Returns the time since the start of the run.
    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let seconds = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("no thread panics while it writes");
        let _ = writeln!(file, "{seconds:8.3} {text}");
    }
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: lab CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(&Path::new(folder).join("record.txt")) {
        Ok(record) => std::sync::Arc::new(record),
        Err(error) => {
            eprintln!("cannot write the record: {error}");
            return ExitCode::from(2);
        }
    };
    record.line(&format!("case {case}, trouble {trouble}"));
    let outcome = match case.as_str() {
        "cleared-part" => cleared_part::run(&record, trouble),
        "early" => early::run(&record, trouble),
        "old-key" => old_key::run(&record, trouble),
        "stale-rows" => stale_rows::run(&record, trouble),
        other => Err(format!("no case {other}")),
    };
    let (text, code) = match &outcome {
        Ok(true) => ("the rule was broken".to_owned(), 1),
        Ok(false) => ("the rule held".to_owned(), 0),
        Err(error) => (format!("the case could not run: {error}"), 2),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}

/// A small generator of pseudo-random numbers, so that each run draws the same ones.
pub struct Draw(u64);

impl Draw {
    pub fn new(seed: u64) -> Self {
        Draw(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    /// Returns a number from 0 to below `limit`.
    pub fn below(&mut self, limit: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % limit
    }
}
