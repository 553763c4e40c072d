//! A request that crashes engines is stopped, all entries are killed at once, and the request comes again.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use super::Outcome;
use crate::engine::{Fleet, Run};
use crate::http::{self, Message};
use crate::record::Record;
use crate::site::{self, Site};

/// The bound `contact_ms`.
const CONTACT: f64 = 3.0;
/// The most retries of the rule.
const MAX_RETRIES: usize = 3;
/// The pause between two tries of the requester that comes again.
const PAUSE: Duration = Duration::from_secs(4);
const BODY: &[u8] = b"the specification that crashes engines";
const PATH: &str = "/quote/2f";

fn is_poison(request: &Message) -> bool {
    request.body == BODY
}

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let mut site = Site::new(&["liberia-a", "liberia-a", "canas-b", "nicoya-c"]);
    let fleet = Fleet::new(&site.store, record, |_, request| match is_poison(request) {
        true => Run::Crash,
        false => Run::Events {
            count: 5,
            gap: Duration::from_millis(20),
        },
    });
    for number in 0..18 {
        let zone = ["liberia-a", "canas-b", "nicoya-c"][number % 3];
        fleet.start("pool", zone, "127.0.0.1");
    }
    if let Err(error) = site.start(true) {
        return Outcome::Unable(error);
    }
    thread::sleep(Duration::from_secs(4));
    let sender = Sender {
        record: record.clone(),
        next: Arc::default(),
    };
    // The requests of others, which are served throughout.
    let fronts: Vec<_> = site
        .machines
        .iter()
        .map(|machine| machine.front())
        .collect();
    let others = sender.clone();
    thread::spawn(move || {
        for number in 0.. {
            others.other(fronts[number % fronts.len()], number);
            thread::sleep(Duration::from_millis(60));
        }
    });
    // The request comes until it is refused twice in a row: it is known everywhere.
    if !sender.until_refused(&site) {
        return Outcome::Unable("the request was never refused before the disruption".into());
    }
    let third = crashes(record).get(2).copied();
    if trouble {
        for _ in 0..2 {
            record.line("all entries are killed");
            site.kill_all();
            thread::sleep(Duration::from_millis(500));
            if let Err(error) = site.start(false) {
                return Outcome::Unable(error);
            }
            record.line("all entries are ready");
            thread::sleep(Duration::from_secs(5));
            sender.until_refused(&site);
        }
    } else {
        for _ in 0..2 {
            thread::sleep(Duration::from_secs(5));
            sender.until_refused(&site);
        }
    }
    let all = crashes(record);
    let Some(third) = third.or(all.get(2).copied()) else {
        return Outcome::Held(format!("it has crashed {} engines", all.len()));
    };
    let late: Vec<_> = runs(record)
        .into_iter()
        .filter(|(at, _)| *at > third + CONTACT)
        .collect();
    let mut tries: Vec<&String> = late.iter().map(|(_, request)| request).collect();
    tries.dedup();
    let text = format!(
        "later than {CONTACT} s after the third crash, {} tries of the request reached engines, {} times in all; {MAX_RETRIES} are allowed; it has crashed {} engines",
        tries.len(),
        late.len(),
        all.len()
    );
    match tries.len() > MAX_RETRIES {
        true => Outcome::Broken(text),
        false => Outcome::Held(text),
    }
}

/// Returns the time and the id of each run of the request.
fn runs(record: &Record) -> Vec<(f64, String)> {
    let runs = record.runs().into_iter();
    let poison = runs.filter(|ran| ran.request.starts_with("bad"));
    poison.map(|ran| (ran.at, ran.request)).collect()
}

/// Returns the times at which the request has crashed an engine.
fn crashes(record: &Record) -> Vec<f64> {
    runs(record).into_iter().map(|(at, _)| at).collect()
}

#[derive(Clone)]
struct Sender {
    record: Record,
    next: Arc<AtomicU64>,
}

impl Sender {
    /// Sends the request to the machines in turn until two of them have refused it.
    fn until_refused(&self, site: &Site) -> bool {
        let mut refused = 0;
        for _ in 0..8 {
            let number = self.next.fetch_add(1, Ordering::Relaxed) as usize;
            let machine = &site.machines[number % site.machines.len()];
            let id = format!("bad{number:013x}");
            let prompt = [
                ("Model", "m".to_owned()),
                ("Token-Counts", "1460,80".to_owned()),
                (
                    "Prefix-Hash",
                    "5c1e07a2:800,91bd3f06:410,e4402b7d:250".to_owned(),
                ),
            ];
            let request = site::request(&format!("POST {PATH}"), &id, 5_000, &prompt, BODY);
            self.record
                .line(&format!("request {id} sent to {}", machine.name));
            let answer = http::call(machine.front(), &request, Duration::from_secs(5));
            let status = answer.ok().flatten().map_or(0, |answer| answer.status());
            self.record.line(&format!("request {id} answered {status}"));
            refused = if status == 503 { refused + 1 } else { 0 };
            if refused == 2 {
                return true;
            }
            thread::sleep(PAUSE);
        }
        false
    }

    /// Sends a request that engines serve.
    fn other(&self, front: std::net::SocketAddr, number: usize) {
        let id = format!("good{number:012x}");
        let prompt = [
            ("Model", "m".to_owned()),
            ("Token-Counts", "860,20".to_owned()),
            ("Prefix-Hash", format!("5c1e07a2:800,{number:08x}:60")),
        ];
        let body = format!("specification {number}");
        let request = site::request("POST /quote/2f", &id, 5_000, &prompt, body.as_bytes());
        let answer = http::call(front, &request, Duration::from_secs(5));
        let status = answer.ok().flatten().map_or(0, |answer| answer.status());
        if status != 200 {
            self.record.line(&format!("request {id} answered {status}"));
        }
    }
}
