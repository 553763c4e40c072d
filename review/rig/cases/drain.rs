//! An entry is stopped while a requester still receives an answer that the engine has completed.

use std::thread;
use std::time::{Duration, Instant};

use super::Outcome;
use crate::engine::{Fleet, Run};
use crate::link::{self, Download};
use crate::record::Record;
use crate::site::Site;

/// The size of the answer. The limit of the settings is 8 MiB.
const ANSWER_BYTES: usize = 6_500_000;
/// The speed of the requester's link, in bytes per second: 10 Mbit/s.
const LINK_BYTES: usize = 1_250_000;
/// The bound `grace_s`.
const GRACE: Duration = Duration::from_secs(8);

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
    let download = Download {
        id: "stock0000000001".into(),
        front: site.machines[0].front(),
        speed: LINK_BYTES,
        size: ANSWER_BYTES,
    };
    let reader = {
        let record = record.clone();
        thread::spawn(move || link::receive(&record, &download))
    };
    thread::sleep(Duration::from_millis(200));
    if record.runs().len() != 1 {
        return Outcome::Unable("the request has not reached an engine".into());
    }
    if trouble {
        record.line("SIGTERM");
        site.machines[0].terminate();
        let sent = Instant::now();
        let ended = site.machines[0].wait_end(GRACE);
        record.line(&format!(
            "the process ended {:.2} s after SIGTERM, by itself: {ended}",
            sent.elapsed().as_secs_f64()
        ));
    }
    let Ok(Ok(received)) = reader.join() else {
        return Outcome::Unable("the requester failed".into());
    };
    let text = format!(
        "{} of {ANSWER_BYTES} bytes of the answer arrived",
        received.len()
    );
    match received == expected {
        true => Outcome::Held(text),
        false => Outcome::Broken(text),
    }
}
