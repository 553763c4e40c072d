//! Engines reject long requests before they are in, keep the channel and read on later. The platform kills a process
//! whose memory exceeds the machine's limit.

use std::io::{BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::entry::{Deployment, Entry};
use crate::store::Store;
use crate::{Draw, Outcome, Record, http};

/// The machines, as those of cgu-fibras.
const DEPLOYMENT: Deployment = Deployment {
    memory_mb: 110,
    quota_slack: 110_000,
};
const POOL_ENGINES: usize = 18;
const DESK_ENGINES: usize = 3;
const ENTRIES: u8 = 2;
/// Requesters at each entry. Each sends one request after the other.
const REQUESTERS: u64 = 24;
/// Below `max_body_bytes`.
const BODY_BYTES: usize = 4_000_000;
/// Part of the requests that engines reject, in percent: the dose of `srv_grey` in the site file.
const REJECTED_PERCENT: u64 = 45;
/// Time after which an engine reads the rest of a request that it has rejected.
const READ_DELAY: Duration = Duration::from_secs(5);
/// Length of the disruption, as in the site file.
const LENGTH: Duration = Duration::from_secs(4);
/// Time between two disruptions. The third comes within the limit of a script.
const PAUSE: Duration = Duration::from_secs(6);
const ROUNDS: u32 = 4;
/// Ends of a process that count, and the machines on which they have to occur.
const ENDS: u32 = 3;
const MACHINES: usize = 2;

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"draft","host":"h.example","prefix":"/draft/","kind":"streaming","timeout_ms":5000,"target_latency_ms":600,"priority":0,"service":"pool","max_attempts":2,"public":true,"sticky":true,"resumable":true,"gap_target_ms":250},
{"name":"order","host":"h.example","prefix":"/order/","kind":"unsafe","timeout_ms":3000,"target_latency_ms":300,"priority":2,"service":"desk","max_attempts":1,"public":true,"sticky":false}],
"services":[{"name":"pool","health_path":"/health","max_conns":360,"cold_start_s":0,"cold_per_s":0,"engine":{"slots":6}},
{"name":"desk","health_path":"/health","max_conns":100,"cold_start_s":0,"cold_per_s":0}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]}"#;

/// What the engines and the requesters share.
struct Shared {
    record: Arc<Record>,
    /// Whether engines answer before they have read a request that they reject.
    early: AtomicBool,
    stop: AtomicBool,
    requests: AtomicU64,
    rejected: AtomicU64,
    read_early: AtomicU64,
}

pub fn run(record: &Arc<Record>, trouble: bool) -> Outcome {
    let error = |error: std::io::Error| error.to_string();
    let folder = std::env::temp_dir().join(format!("review-early-{}", std::process::id()));
    std::fs::create_dir_all(&folder).map_err(error)?;
    let shared = Arc::new(Shared {
        record: Arc::clone(record),
        early: AtomicBool::new(false),
        stop: AtomicBool::new(false),
        requests: AtomicU64::new(0),
        rejected: AtomicU64::new(0),
        read_early: AtomicU64::new(0),
    });
    let store = Store::start().map_err(error)?;
    store.put("op", "config", CONFIG);
    for number in 0..POOL_ENGINES + DESK_ENGINES {
        let service = if number < POOL_ENGINES {
            "pool"
        } else {
            "desk"
        };
        start_engine(&store, &shared, number, service).map_err(error)?;
    }
    let entries = (1..=ENTRIES).map(|number| {
        let name = format!("front-{number}");
        Entry::new(&folder, number, &name, store.address, DEPLOYMENT, true)
    });
    let entries = entries
        .collect::<std::io::Result<Vec<_>>>()
        .map_err(error)?;
    let entries: Arc<Vec<Mutex<Entry>>> = Arc::new(entries.into_iter().map(Mutex::new).collect());
    let lock = |index: usize| {
        entries[index]
            .lock()
            .expect("no thread panics with an entry")
    };
    for index in 0..entries.len() {
        lock(index).start().map_err(error)?;
    }
    for index in 0..entries.len() {
        lock(index).await_ready(Duration::from_secs(10))?;
    }
    record.line("entries are ready");
    let mut requesters = Vec::new();
    for index in 0..entries.len() {
        let front = lock(index).front();
        for number in 0..REQUESTERS {
            let shared = Arc::clone(&shared);
            let draw = Draw::new(1 + number + 100 * index as u64);
            requesters.push(std::thread::spawn(move || request(&shared, front, draw)));
        }
    }
    let limit = DEPLOYMENT.memory_mb << 20;
    let mut ends = vec![0; entries.len()];
    let mut peaks = vec![0; entries.len()];
    let is_broken = |ends: &[u32]| ends.iter().filter(|&&count| count >= ENDS).count() >= MACHINES;
    for round in 0..ROUNDS {
        for (is_early, length) in [(false, PAUSE), (trouble, LENGTH)] {
            shared.early.store(is_early, Ordering::Relaxed);
            record.line(&format!("round {round}: engines answer early: {is_early}"));
            let end = Instant::now() + length;
            while Instant::now() < end && !is_broken(&ends) {
                std::thread::sleep(Duration::from_millis(10));
                for index in 0..entries.len() {
                    let mut entry = lock(index);
                    let memory = entry.memory();
                    peaks[index] = memory.max(peaks[index]);
                    if memory > limit || entry.has_ended() {
                        ends[index] += 1;
                        let name = &entry.name;
                        let mb = memory >> 20;
                        record.line(&format!(
                            "{name} uses {mb} MiB of {} and is killed: end {}",
                            DEPLOYMENT.memory_mb, ends[index]
                        ));
                        entry.kill();
                        entry.start().map_err(error)?;
                    }
                }
            }
        }
    }
    shared.stop.store(true, Ordering::Relaxed);
    for requester in requesters {
        let _ = requester.join();
    }
    for index in 0..entries.len() {
        lock(index).kill();
    }
    let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    record.line(&format!(
        "sent {}, rejected by engines {}, of these before they were in {}",
        count(&shared.requests),
        count(&shared.rejected),
        count(&shared.read_early)
    ));
    let peaks: Vec<u64> = peaks.iter().map(|bytes| bytes >> 20).collect();
    record.line(&format!("peaks in MiB {peaks:?}, ends {ends:?}"));
    let _ = std::fs::remove_dir_all(&folder);
    Ok(is_broken(&ends))
}

fn start_engine(
    store: &Store,
    shared: &Arc<Shared>,
    number: usize,
    service: &str,
) -> std::io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    http::set_small_window(&listener);
    let address = listener.local_addr()?;
    let id = format!("i-{number:08x}");
    let row = format!(
        r#"{{"service":"{service}","address":"{address}","zone":"liberia-a","version":"v1","slots":6,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":1796674294529}}"#
    );
    store.put("servers", &id, &row);
    let shared = Arc::clone(shared);
    http::serve(listener, move |stream| {
        let mut draw = Draw::new(stream.peer_addr().map_or(1, |peer| u64::from(peer.port())));
        let _ = serve(&shared, &id, stream, &mut draw);
    });
    Ok(())
}

fn serve(shared: &Shared, id: &str, stream: TcpStream, draw: &mut Draw) -> std::io::Result<()> {
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::with_capacity(8 << 10, stream);
    while let Some(head) = http::read_head(&mut reader)? {
        let request = head.get("request-id").unwrap_or_default().to_owned();
        let is_rejected = draw.below(100) < REJECTED_PERCENT;
        let is_early = is_rejected && shared.early.load(Ordering::Relaxed);
        if !is_early {
            skip(&mut reader, head.length())?;
        }
        let answer = if is_rejected {
            shared.rejected.fetch_add(1, Ordering::Relaxed);
            format!(
                "HTTP/1.1 503 X\r\nRequest-Id: {request}\r\nNot-Run: 1\r\nKeep-Alive: timeout=15\r\nContent-Length: 0\r\n\r\n"
            )
        } else {
            let body = "id: 1\ndata: done\n\n";
            format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nServer-Stamp: stamp.{id}\r\nContent-Type: text/event-stream\r\nKeep-Alive: timeout=15\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            )
        };
        writer.write_all(answer.as_bytes())?;
        if is_early {
            shared.read_early.fetch_add(1, Ordering::Relaxed);
            std::thread::sleep(READ_DELAY);
            skip(&mut reader, head.length())?;
        }
    }
    Ok(())
}

fn skip(reader: &mut impl Read, length: usize) -> std::io::Result<()> {
    let mut part = reader.take(length as u64);
    std::io::copy(&mut part, &mut std::io::sink())?;
    Ok(())
}

fn request(shared: &Shared, front: std::net::SocketAddr, mut draw: Draw) {
    let body = vec![b'x'; BODY_BYTES];
    while !shared.stop.load(Ordering::Relaxed) {
        let number = shared.requests.fetch_add(1, Ordering::Relaxed);
        let path = ["/draft/a", "/draft/b", "/order/a"][draw.below(3) as usize];
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {number:016x}\r\nDeadline-Ms: 5000\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
        );
        let answer = http::call(front, &head, &body, Duration::from_secs(6));
        let text = match answer {
            Ok((head, _)) => head.status().to_string(),
            Err(error) => error.kind().to_string(),
        };
        shared
            .record
            .line(&format!("request {number:016x} to {front}{path}: {text}"));
        std::thread::sleep(Duration::from_millis(draw.below(300)));
    }
}
