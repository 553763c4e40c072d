//! Many requesters receive large answers at the same time, over links that are slower than the engines'.

use std::thread;
use std::time::Duration;

use super::Outcome;
use crate::engine::{Fleet, Run};
use crate::entry::MEMORY_MB;
use crate::link::{self, Download};
use crate::record::Record;
use crate::site::Site;

/// The size of an answer. The limit of the settings is 8 MiB.
const ANSWER_BYTES: usize = 6_500_000;
/// The speed of a requester's link, in bytes per second: 10 Mbit/s.
const LINK_BYTES: usize = 1_250_000;
/// Requesters that come at once, and as usual.
const BURST: u32 = 24;
const USUAL: u32 = 4;
/// The pause between two requests.
const PAUSE: Duration = Duration::from_millis(100);
/// The most channels that may be closed without an answer.
const MAX_LOST: usize = 3;

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let mut site = Site::new(&["liberia-a", "canas-b"]);
    let body: Vec<u8> = (0..ANSWER_BYTES).map(|i| (i % 251) as u8).collect();
    let expected = body.clone();
    let fleet = Fleet::new(&site.store, record, move |_, _| {
        Run::Answer(200, body.clone())
    });
    for zone in ["liberia-a", "canas-b", "nicoya-c"] {
        fleet.start("desk", zone, "127.0.0.1");
    }
    if let Err(error) = site.start(true) {
        return Outcome::Unable(error);
    }
    thread::sleep(Duration::from_secs(4));
    let front = site.machines[0].front();
    let count = if trouble { BURST } else { USUAL };
    let readers: Vec<_> = (0..count)
        .map(|number| {
            let download = Download {
                id: format!("stock{number:011x}"),
                front,
                speed: LINK_BYTES,
                size: ANSWER_BYTES,
            };
            let record = record.clone();
            thread::spawn(move || {
                thread::sleep(PAUSE * number);
                link::receive(&record, &download)
            })
        })
        .collect();
    // The platform kills a process that exceeds its memory.
    let mut peak = 0;
    while readers.iter().any(|reader| !reader.is_finished()) {
        let memory = site.machines[0].memory();
        peak = peak.max(memory);
        if memory > MEMORY_MB * 1_000_000 {
            record.line(&format!(
                "the platform kills the process, which uses {memory} bytes"
            ));
            site.machines[0].kill();
        }
        thread::sleep(Duration::from_millis(20));
    }
    let answers = readers.into_iter().map(|reader| reader.join());
    let answers: Vec<Vec<u8>> = answers
        .map(|answer| answer.ok().and_then(Result::ok).unwrap_or_default())
        .collect();
    // A request that was refused is not lost.
    let ran = record.runs().len();
    let whole = answers.iter().filter(|answer| **answer == expected).count();
    let lost = ran.saturating_sub(whole);
    let text = format!(
        "{lost} of {ran} requests that ran at sound engines had no whole answer; {MAX_LOST} are allowed; the process used {} MB of {MEMORY_MB} MB at most",
        peak / 1_000_000
    );
    match lost > MAX_LOST {
        true => Outcome::Broken(text),
        false => Outcome::Held(text),
    }
}
