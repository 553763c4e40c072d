//! A stand-in of an engine: echoes the request id, signs what it answers, and checks `Expect-Instance`.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{self, Message};
use crate::record::Record;
use crate::store::Store;

/// What an engine does with a request that it runs.
pub enum Run {
    /// Answers with this status and body after the request has run.
    Answer(u16, Vec<u8>),
    /// Sends events with ids from 1 on, one each `gap`.
    Events { count: u32, gap: Duration },
    /// Ends the engine without an answer.
    Crash,
}

type Decide = Arc<dyn Fn(&str, &Message) -> Run + Send + Sync>;

/// Where an engine is, and what its row says.
#[derive(Clone)]
pub struct Place {
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
}

/// One boot of an engine.
struct Boot {
    id: String,
    down: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
}

/// Starts engines and restarts them after a crash.
#[derive(Clone)]
pub struct Fleet {
    store: Store,
    record: Record,
    decide: Decide,
    boots: Arc<AtomicU64>,
    /// Time from a crash until the engine is back.
    restart: Duration,
    /// Time from a crash until its row is removed: three ping intervals.
    lapse: Duration,
}

impl Fleet {
    pub fn new(
        store: &Store,
        record: &Record,
        decide: impl Fn(&str, &Message) -> Run + Send + Sync + 'static,
    ) -> Self {
        Fleet {
            store: store.clone(),
            record: record.clone(),
            decide: Arc::new(decide),
            boots: Arc::default(),
            restart: Duration::from_secs(2),
            lapse: Duration::from_millis(3 * 1_200),
        }
    }

    /// Starts an engine on a free port, and registers it. Returns its id.
    pub fn start(&self, service: &str, zone: &str, ip: &str) -> String {
        let listener = TcpListener::bind((ip, 0)).expect("a free port for an engine");
        let place = Place {
            service: service.into(),
            zone: zone.into(),
            address: listener.local_addr().unwrap(),
        };
        self.boot(listener, place)
    }

    fn boot(&self, listener: TcpListener, place: Place) -> String {
        let number = self.boots.fetch_add(1, Ordering::Relaxed);
        let id = format!("i-{number:04}");
        let boot = Arc::new(Boot {
            id: id.clone(),
            down: AtomicBool::new(false),
            streams: Mutex::default(),
        });
        self.register(&id, &place, "ready");
        let fleet = self.clone();
        thread::spawn(move || {
            listener.set_nonblocking(true).unwrap();
            while !boot.down.load(Ordering::Relaxed) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                stream.set_nonblocking(false).unwrap();
                boot.streams
                    .lock()
                    .unwrap()
                    .push(stream.try_clone().unwrap());
                let (fleet, boot) = (fleet.clone(), Arc::clone(&boot));
                thread::spawn(move || fleet.serve(&boot, stream));
            }
            drop(listener);
            fleet.restart(&boot.id, &place);
        });
        id
    }

    pub fn register(&self, id: &str, place: &Place, state: &str) {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let row = format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":6,"state":"{state}","cold_remaining_ms":0,"sequence":1,"born":{}}}"#,
            place.service,
            place.address,
            place.zone,
            born.as_millis()
        );
        self.store.set("servers", id, Some(&row));
    }

    /// Starts the next boot under a new id, and removes the row of the last one when its pings have been
    /// missing for long enough.
    fn restart(&self, id: &str, place: &Place) {
        thread::sleep(self.restart);
        let listener = loop {
            match TcpListener::bind(place.address) {
                Ok(listener) => break listener,
                Err(_) => thread::sleep(Duration::from_millis(20)),
            }
        };
        self.boot(listener, place.clone());
        thread::sleep(self.lapse.saturating_sub(self.restart));
        self.store.set("servers", id, None);
    }

    fn serve(&self, boot: &Boot, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut rest = Vec::new();
        while let Ok(Some(request)) = http::read(&mut stream, &mut rest) {
            if boot.down.load(Ordering::Relaxed)
                || self.answer(boot, &mut stream, &request).is_none()
            {
                break;
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
    }

    /// Answers a request. Returns `None` if the connection must be closed.
    fn answer(&self, boot: &Boot, stream: &mut TcpStream, request: &Message) -> Option<()> {
        let request_id = request.header("request-id").unwrap_or_default().to_owned();
        let headers = |extra: &[(&'static str, String)]| {
            let mut headers = vec![
                ("Request-Id", request_id.clone()),
                ("Keep-Alive", "timeout=5".into()),
            ];
            headers.extend_from_slice(extra);
            headers
        };
        let misdirected = request
            .header("expect-instance")
            .is_some_and(|expected| expected != boot.id);
        if misdirected || request_id.is_empty() {
            let status = if misdirected {
                "421 Misdirected"
            } else {
                "400 Bad Request"
            };
            let bytes = http::encode(
                &format!("HTTP/1.1 {status}"),
                &headers(&[("Not-Run", "1".into())]),
                b"",
            );
            return stream.write_all(&bytes).ok();
        }
        self.record.run(&boot.id, &request_id, request.path());
        let stamp = ("Server-Stamp", format!("{}.{request_id}", boot.id));
        match (self.decide)(&boot.id, request) {
            Run::Answer(status, body) => {
                self.record.line(&format!(
                    "engine {} request {request_id} answers {status}",
                    boot.id
                ));
                let line = format!("HTTP/1.1 {status} Status");
                stream
                    .write_all(&http::encode(&line, &headers(&[stamp]), &body))
                    .ok()
            }
            Run::Events { count, gap } => {
                let mut head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
                                Transfer-Encoding: chunked\r\n"
                    .to_owned();
                for (name, value) in headers(&[stamp]) {
                    head.push_str(&format!("{name}: {value}\r\n"));
                }
                stream.write_all(format!("{head}\r\n").as_bytes()).ok()?;
                for id in 1..=count {
                    thread::sleep(gap);
                    let event = format!("id: {id}\ndata: piece {id}\n\n");
                    let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                    stream.write_all(chunk.as_bytes()).ok()?;
                }
                stream.write_all(b"0\r\n\r\n").ok()
            }
            Run::Crash => {
                self.record.line(&format!(
                    "engine {} crashes on request {request_id}",
                    boot.id
                ));
                boot.down.store(true, Ordering::Relaxed);
                for open in boot.streams.lock().unwrap().drain(..) {
                    let _ = open.shutdown(Shutdown::Both);
                }
                None
            }
        }
    }
}
