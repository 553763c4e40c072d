//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A request that an engine began to work on.
#[derive(Clone, Debug)]
pub struct Ran {
    pub at: f64,
    pub engine: String,
    pub request: String,
}

/// The record. Clones share it.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    shared: Arc<Mutex<(File, Vec<Ran>)>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("create the record");
        Record {
            started: Instant::now(),
            shared: Arc::new(Mutex::new((file, Vec::new()))),
        }
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let mut shared = self.shared.lock().unwrap();
        let _ = writeln!(shared.0, "{:8.3} {text}", self.now());
    }

    /// Records that an engine begins to work on a request.
    pub fn run(&self, engine: &str, request: &str, path: &str) {
        self.line(&format!("engine {engine} request {request} runs {path}"));
        self.shared.lock().unwrap().1.push(Ran {
            at: self.now(),
            engine: engine.into(),
            request: request.into(),
        });
    }

    pub fn runs(&self) -> Vec<Ran> {
        self.shared.lock().unwrap().1.clone()
    }
}
