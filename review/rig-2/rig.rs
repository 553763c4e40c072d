//! Stand-ins of the platform's store, of engines and of callers, and the cases of the second review.
//!
//! Only the standard library is used, so that `review/build-2.sh` builds it without a network. Each case
//! starts entries as separate processes with the command of the deploy file.

use std::collections::BTreeMap;
use std::fs;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

mod entry;
mod extra;
mod moves;
mod spoilt;
mod store;
mod wire;

use entry::*;
use store::*;
use wire::*;

type Result<T, E = Box<dyn std::error::Error + Send + Sync>> = std::result::Result<T, E>;

/// The record of a case: what was sent, answered and run.
struct Record {
    started: Instant,
    lines: Mutex<Vec<String>>,
}

impl Record {
    fn new() -> Arc<Record> {
        Arc::new(Record {
            started: Instant::now(),
            lines: Mutex::default(),
        })
    }

    fn add(&self, text: &str) {
        let time = self.started.elapsed().as_secs_f64();
        lock(&self.lines).push(format!("{time:8.3} {text}"));
    }

    fn write(&self, path: &Path) -> io::Result<()> {
        fs::write(path, lock(&self.lines).join("\n") + "\n")
    }
}

/// Sends one request on a connection of its own, and returns the answer and whether it is complete.
fn call(address: SocketAddr, head: &str, body: &str, patience: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(patience))?;
    let length = body.len();
    let text = format!("{head}Content-Length: {length}\r\n\r\n{body}");
    stream.write_all(text.as_bytes())?;
    match Message::read(&mut BufReader::new(stream))? {
        Some(message) => Ok(message),
        None => Err(io::ErrorKind::UnexpectedEof.into()),
    }
}

/// The folders and addresses of a case.
struct Site {
    folder: PathBuf,
    record: Arc<Record>,
    /// Whether the disruption is played.
    trouble: bool,
}

/// What a case found.
struct Verdict {
    broken: u64,
    note: String,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, record_path] = &arguments[..] else {
        eprintln!("usage: rig CASE FOLDER RECORD");
        return ExitCode::from(2);
    };
    let record = Record::new();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let site = Site {
        folder: folder.into(),
        record: Arc::clone(&record),
        trouble,
    };
    record.add(&format!("case {case}, disruption {trouble}"));
    watch();
    let result = match case.as_str() {
        "moves" => moves::run(&site),
        "extra" => extra::run(&site),
        "batch" => spoilt::run(
            &site,
            spoilt::Plan {
                piece: 6,
                bit: 0x10,
                together: 2,
            },
        ),
        "first" => spoilt::run(
            &site,
            spoilt::Plan {
                piece: 1,
                bit: 0x08,
                together: 1,
            },
        ),
        _ => Err("unknown case".into()),
    };
    let code = match &result {
        Ok(verdict) => {
            record.add(&verdict.note);
            println!("{}", verdict.note);
            u8::from(verdict.broken > 0)
        }
        Err(error) => {
            record.add(&format!("the case could not run: {error}"));
            eprintln!("the case could not run: {error}");
            2
        }
    };
    if let Err(error) = record.write(Path::new(record_path)) {
        eprintln!("the record was not written: {error}");
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
