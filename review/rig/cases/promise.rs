//! An engine runs an order and then answers 503 without `Not-Run`.

use std::thread;
use std::time::Duration;

use super::Outcome;
use crate::engine::{Fleet, Run};
use crate::http;
use crate::record::Record;
use crate::site::{self, Site};

/// Orders that are sent.
const ORDERS: usize = 120;
/// One in this many orders at the failing engine fails: `srv_grey` with x = 0.4, rounded down.
const FAILING: usize = 3;

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let mut site = Site::new(&["liberia-a", "canas-b"]);
    // Three engines, of which one fails a part of its requests.
    let fleet = Fleet::new(&site.store, record, move |engine, request| {
        let id = request.header("request-id").unwrap_or_default();
        let number = usize::from_str_radix(id.trim_start_matches("order"), 16).unwrap_or(0);
        thread::sleep(Duration::from_millis(60));
        match trouble && engine == "i-0000" && number % FAILING == 0 {
            true => Run::Answer(503, b"the order is stored, its confirmation failed".into()),
            false => Run::Answer(200, b"stored".into()),
        }
    });
    for zone in ["liberia-a", "canas-b", "nicoya-c"] {
        fleet.start("desk", zone, "127.0.0.1");
    }
    if let Err(error) = site.start(true) {
        return Outcome::Unable(error);
    }
    thread::sleep(Duration::from_secs(1));
    let mut broken = Vec::new();
    let mut served = 0;
    for number in 0..ORDERS {
        let machine = &site.machines[number % site.machines.len()];
        let id = format!("order{number:011x}");
        let request = site::request("POST /order/2f", &id, 3_000, &[], b"20 coils of sisal rope");
        record.line(&format!("request {id} sent to {}", machine.name));
        let answer = http::call(machine.front(), &request, Duration::from_secs(3));
        let status = answer.ok().flatten().map_or(0, |answer| answer.status());
        record.line(&format!("request {id} answered {status}"));
        let ran = record.runs().iter().any(|ran| ran.request == id);
        served += usize::from(status == 200);
        if ran && matches!(status, 429 | 503 | 408 | 421) {
            broken.push(id);
        }
    }
    if served == 0 {
        return Outcome::Unable("no order was served".into());
    }
    let text = format!(
        "{} of {ORDERS} orders ran and were answered with a promise that they had not; {served} were served",
        broken.len()
    );
    match broken.is_empty() {
        false => Outcome::Broken(text),
        true => Outcome::Held(text),
    }
}
