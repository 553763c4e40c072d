//! A zone is evacuated while the entries that read the store's tables restart.

use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use super::Outcome;
use crate::engine::{Fleet, Run};
use crate::http;
use crate::record::Record;
use crate::site::{self, Site};

/// The bound `evacuate_ms`.
const EVACUATE: Duration = Duration::from_secs(5);
/// Time from the kill until the operator's change, and until the processes start again.
const CHANGE_AFTER: Duration = Duration::from_millis(200);
const RESTART_AFTER: Duration = Duration::from_millis(500);
/// The pause of the usual requests at each machine: 30 requests per second, as in `cgu-fibras`.
const USUAL_PAUSE: Duration = Duration::from_millis(30);
/// The zone that is evacuated.
const EVACUATED: &str = "nicoya-c";
/// Requests that are sent to each machine that was not killed, after the bound has passed.
const REQUESTS: usize = 150;

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let zones = ["liberia-a", "canas-b", EVACUATED];
    let mut site = Site::new(&zones.repeat(3));
    let fleet = Fleet::new(&site.store, record, |_, _| {
        thread::sleep(Duration::from_millis(5));
        Run::Answer(200, b"in stock".into())
    });
    let evacuated = zones.map(|zone| fleet.start("desk", zone, "127.0.0.1"))[2].clone();
    if let Err(error) = site.start(true) {
        return Outcome::Unable(error);
    }
    // The usual traffic at each machine.
    for machine in &site.machines {
        let (front, name) = (machine.front(), machine.name.clone());
        thread::spawn(move || {
            for number in 0.. {
                let id = format!("usual-{name}-{number}");
                let request = site::request("GET /stock/7", &id, 3_000, &[], b"");
                // Fails while the machine is down.
                let _ = http::call(front, &request, Duration::from_secs(3));
                thread::sleep(USUAL_PAUSE);
            }
        });
    }
    // Once the reads of the first seconds have ended, two entries of each zone wait at the store.
    thread::sleep(Duration::from_secs(14));
    let reads = |index: usize| site.calls[index].waiting.load(Ordering::SeqCst) > 0;
    let readers: Vec<usize> = (0..site.machines.len())
        .filter(|&index| reads(index))
        .collect();
    let others: Vec<usize> = (0..site.machines.len())
        .filter(|index| !readers.contains(index))
        .collect();
    record.line(&format!(
        "entries that read the store: {readers:?}; others: {others:?}"
    ));
    if readers.is_empty() || others.is_empty() {
        return Outcome::Unable("the entries do not share their reads".into());
    }
    let killed = Instant::now();
    if trouble {
        for &index in &readers {
            site.machines[index].kill();
            record.line(&format!("{} is killed", site.machines[index].name));
        }
        thread::sleep(CHANGE_AFTER.saturating_sub(killed.elapsed()));
    }
    site.store
        .set("op", &format!("evacuate/{EVACUATED}"), Some("{}"));
    let change = Instant::now();
    record.line(&format!(
        "the store acknowledges the evacuation of {EVACUATED}"
    ));
    if trouble {
        thread::sleep(RESTART_AFTER.saturating_sub(killed.elapsed()));
        for &index in &readers {
            site.machines[index].start(false);
        }
        record.line("the processes start again");
        for machine in &site.machines {
            if !machine.wait_ready(Duration::from_secs(5)) {
                return Outcome::Unable(format!("{} is not ready", machine.name));
            }
        }
        record.line("all entries are ready");
    }
    thread::sleep(EVACUATE.saturating_sub(change.elapsed()));
    let after = record.now();
    let mut served = 0;
    for number in 0..REQUESTS * others.len() {
        let machine = &site.machines[others[number % others.len()]];
        let id = format!("stock{number:011x}");
        let request = site::request("GET /stock/7", &id, 3_000, &[], b"");
        record.line(&format!("request {id} sent to {}", machine.name));
        let answer = http::call(machine.front(), &request, Duration::from_secs(3));
        let status = answer.ok().flatten().map_or(0, |answer| answer.status());
        record.line(&format!("request {id} answered {status}"));
        served += usize::from(status == 200);
        thread::sleep(Duration::from_millis(10));
    }
    if served == 0 {
        return Outcome::Unable("no request was served".into());
    }
    let runs = record.runs();
    let late = runs
        .iter()
        .filter(|ran| ran.at > after && ran.request.starts_with("stock"));
    let broken = late.filter(|ran| ran.engine == evacuated).count();
    let text = format!(
        "{broken} of {} requests reached the zone later than 5 s after the ack, all from machines that were never killed",
        REQUESTS * others.len()
    );
    match broken {
        0 => Outcome::Held(text),
        _ => Outcome::Broken(text),
    }
}
