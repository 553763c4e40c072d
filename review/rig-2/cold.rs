//! An engine becomes cold again while the platform's store is down.

use super::*;
use std::collections::VecDeque;
use std::net::Shutdown;

/// Requests per second, over all entries.
const RATE: u64 = 120;
const BEFORE: Duration = Duration::from_secs(4);
/// Length of the store's outage.
const OUTAGE: Duration = Duration::from_millis(6_800);
/// When the engine becomes cold, after the start of the outage.
const CHILL: Duration = Duration::from_millis(1_500);
const AFTER: Duration = Duration::from_secs(3);
const ENGINES: usize = 4;
const SLOTS: u32 = 6;
/// Requests that wait in an engine.
const QUEUE: u32 = 36;
const PIECES: u64 = 6;
/// Time in which an engine makes a piece: four tokens of 5.23 ms.
const PIECE_TIME: Duration = Duration::from_millis(21);
/// Time for which an engine stays cold, the requests per second that it then tolerates, and those at which
/// it crashes.
const COLD: Duration = Duration::from_secs(3);
const COLD_RATE: f64 = 11.0;
const CRASH_RATE: usize = 24;
/// The bound of the rule: `cold_overshoot` and `cold_slack`.
const BOUND: f64 = COLD_RATE * 1.5 + 5.0;

#[derive(Default)]
struct State {
    running: u32,
    waiting: u32,
    /// Increases with each start.
    boot: u64,
    up: bool,
    cold_until: Option<Instant>,
    open: Vec<TcpStream>,
    /// Arrivals while cold: when the caller sent the request, and when it arrived.
    cold: Vec<(Instant, Instant)>,
    recent: VecDeque<Instant>,
    crashes: u64,
}

struct Engine {
    name: String,
    address: SocketAddr,
    state: Mutex<State>,
    freed: Condvar,
    sent: Arc<Mutex<BTreeMap<String, Instant>>>,
    record: Arc<Record>,
}

impl Engine {
    /// Accepts connections until the engine crashes.
    fn start(self: &Arc<Self>, listener: TcpListener, cold: bool) {
        let mut state = lock(&self.state);
        state.boot += 1;
        state.up = true;
        state.running = 0;
        state.waiting = 0;
        state.cold_until = cold.then(|| Instant::now() + COLD);
        state.recent.clear();
        let boot = state.boot;
        drop(state);
        self.record
            .add(&format!("{} starts, cold: {cold}", self.name));
        let engine = Arc::clone(self);
        let _ = listener.set_nonblocking(true);
        thread::spawn(move || {
            while engine.is_boot(boot) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        if let Ok(copy) = stream.try_clone() {
                            lock(&engine.state).open.push(copy);
                        }
                        let engine = Arc::clone(&engine);
                        thread::spawn(move || {
                            if let Ok(writer) = stream.try_clone() {
                                let _ = engine.serve(boot, BufReader::new(stream), writer);
                            }
                        });
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
    }

    fn is_boot(&self, boot: u64) -> bool {
        let state = lock(&self.state);
        state.up && state.boot == boot
    }

    /// Ends the process: closes the listener and all connections.
    fn crash(&self) {
        let mut state = lock(&self.state);
        state.up = false;
        state.boot += 1;
        for stream in state.open.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        drop(state);
        self.freed.notify_all();
        self.record.add(&format!("{} crashes", self.name));
    }

    fn serve(
        self: &Arc<Self>,
        boot: u64,
        mut reader: BufReader<TcpStream>,
        mut writer: TcpStream,
    ) -> io::Result<()> {
        while let Some(message) = Message::read(&mut reader)? {
            let id = message.header("request-id").unwrap_or_default().to_owned();
            if message.start.contains(" /health") {
                let until = lock(&self.state).cold_until;
                let left = until.map_or(Duration::ZERO, |until| {
                    until.saturating_duration_since(Instant::now())
                });
                let head = format!(
                    "Instance-Id: {}\r\nCold-Ms: {}\r\n",
                    self.name,
                    left.as_millis()
                );
                writer.write_all(&response("200 OK", &head, ""))?;
                continue;
            }
            if message
                .header("expect-instance")
                .is_some_and(|name| name != self.name)
            {
                let head = format!("Instance-Id: {}\r\n", self.name);
                writer.write_all(&response("421 Misdirected Request", &head, ""))?;
                continue;
            }
            if self.arrive(&id) {
                self.crash();
                lock(&self.state).crashes += 1;
                return Ok(());
            }
            if !self.enter(boot) {
                writer.write_all(&response("503 Service Unavailable", "Not-Run: 1\r\n", ""))?;
                continue;
            }
            let result = self.stream(boot, &id, &mut writer);
            let mut state = lock(&self.state);
            if state.boot == boot {
                state.running = state.running.saturating_sub(1);
            }
            drop(state);
            self.freed.notify_one();
            result?;
        }
        Ok(())
    }

    /// Records an arrival. Returns whether the engine crashes because it is cold and gets too many.
    fn arrive(&self, id: &str) -> bool {
        let now = Instant::now();
        let sent = lock(&self.sent).get(id).copied().unwrap_or(now);
        let mut state = lock(&self.state);
        if state.cold_until.is_none_or(|until| until <= now) {
            return false;
        }
        state.cold.push((sent, now));
        state.recent.push_back(now);
        while state
            .recent
            .front()
            .is_some_and(|time| now - *time > Duration::from_secs(1))
        {
            state.recent.pop_front();
        }
        state.recent.len() > CRASH_RATE
    }

    fn enter(&self, boot: u64) -> bool {
        let mut state = lock(&self.state);
        if state.boot != boot || (state.running >= SLOTS && state.waiting >= QUEUE) {
            return false;
        }
        state.waiting += 1;
        while state.boot == boot && state.running >= SLOTS {
            state = self
                .freed
                .wait(state)
                .unwrap_or_else(std::sync::PoisonError::into_inner);
        }
        if state.boot != boot {
            return false;
        }
        state.waiting -= 1;
        state.running += 1;
        true
    }

    fn stream(&self, boot: u64, id: &str, writer: &mut TcpStream) -> io::Result<()> {
        self.record.add(&format!("run {id} at {}", self.name));
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: {id}\r\n\
             Server-Stamp: {}.{id}\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.name
        );
        writer.write_all(head.as_bytes())?;
        for piece in 1..=PIECES {
            thread::sleep(PIECE_TIME);
            if !self.is_boot(boot) {
                return Err(io::ErrorKind::BrokenPipe.into());
            }
            let text = format!("id: {piece}\ndata: piece {piece}\n\n");
            writer.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        }
        writer.write_all(b"0\r\n\r\n")
    }
}

/// Returns the most requests that were sent and arrived within one second.
fn most_in_second(arrivals: &[(Instant, Instant)]) -> usize {
    let window = Duration::from_secs(1);
    let inside = |start: Instant| {
        let inside =
            |&&(sent, arrived): &&(Instant, Instant)| sent >= start && arrived < start + window;
        arrivals.iter().filter(inside).count()
    };
    arrivals
        .iter()
        .map(|&(sent, _)| inside(sent))
        .max()
        .unwrap_or(0)
}

pub(crate) fn run(site: &Site) -> Result<Verdict> {
    let (store, address) = Store::start()?;
    let zones = ["zone-a", "zone-b"];
    let sent: Arc<Mutex<BTreeMap<String, Instant>>> = Arc::default();
    let mut engines = Vec::new();
    for index in 0..ENGINES {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let engine = Arc::new(Engine {
            name: format!("i-{index}"),
            address: listener.local_addr()?,
            state: Mutex::default(),
            freed: Condvar::new(),
            sent: Arc::clone(&sent),
            record: Arc::clone(&site.record),
        });
        engine.start(listener, false);
        let zone = zones[index % 2];
        let row = server_row(MODEL_SERVICE, engine.address, zone, "ready", 0, 1_000);
        store.put("servers", &engine.name, Some(&row));
        engines.push(engine);
    }
    store.put("op", "config", Some(&config(1, &["key-1"])));
    let hosts: Vec<String> = (11..15).map(|last| format!("127.0.0.{last}")).collect();
    let ports = free_ports(&hosts, 5)?;
    let mut entries = Vec::new();
    for (index, host) in hosts.iter().enumerate() {
        let (name, zone) = (format!("front-{index}"), zones[index % 2]);
        entries.push(Entry::start(
            &site.folder,
            &name,
            zone,
            host,
            &ports,
            &hosts[..3],
            address,
            true,
        )?);
    }
    for entry in &entries {
        entry.wait_ready()?;
    }
    let (whole, other) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let lost = Arc::new(AtomicU64::new(0));
    let started = Instant::now();
    let player = {
        let (store, engine, trouble) = (Arc::clone(&store), Arc::clone(&engines[0]), site.trouble);
        let record = Arc::clone(&site.record);
        thread::spawn(move || {
            let wait = |time: Duration| {
                thread::sleep((started + time).saturating_duration_since(Instant::now()))
            };
            if trouble {
                wait(BEFORE);
                store.down.store(true, Ordering::SeqCst);
                record.add("the store is down");
            }
            wait(BEFORE + CHILL);
            let zone = zones[0];
            let cold = COLD.as_millis() as u64;
            let row = server_row(MODEL_SERVICE, engine.address, zone, "ready", cold, 1_000);
            // A store that is down takes no row of the engine.
            if !trouble {
                store.put("servers", &engine.name, Some(&row));
            }
            lock(&engine.state).cold_until = Some(Instant::now() + COLD);
            record.add(&format!("{} becomes cold", engine.name));
            wait(BEFORE + OUTAGE);
            store.down.store(false, Ordering::SeqCst);
            record.add("the store is back");
        })
    };
    let length = BEFORE + OUTAGE + AFTER;
    let mut callers = Vec::new();
    for number in 0..RATE * length.as_millis() as u64 / 1_000 {
        let due = started + Duration::from_micros(number * 1_000_000 / RATE);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let to = entries[number as usize % entries.len()].callers;
        let record = Arc::clone(&site.record);
        let sent = Arc::clone(&sent);
        let (whole, other, lost) = (Arc::clone(&whole), Arc::clone(&other), Arc::clone(&lost));
        callers.push(thread::spawn(move || {
            let id = format!("{number:016x}");
            let head = format!(
                "POST /notes/{number} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nModel: m\r\n\
                 Token-Counts: 300,24\r\nPrefix-Hash: 5c1e07a2:60,{number:08x}:240\r\n\
                 Deadline-Ms: 3000\r\n"
            );
            record.add(&format!("sent {id}"));
            lock(&sent).insert(id.clone(), Instant::now());
            match call(to, &head, "a shift log", Duration::from_secs(4)) {
                Ok(answer) if answer.status() == 200 => {
                    whole.fetch_add(1, Ordering::SeqCst);
                    record.add(&format!("answered {id}: 200, whole"));
                }
                Ok(answer) => {
                    let counter = if answer.status() == 503 {
                        &other
                    } else {
                        &lost
                    };
                    counter.fetch_add(1, Ordering::SeqCst);
                    record.add(&format!("answered {id}: {}", answer.start));
                }
                Err(error) => {
                    lost.fetch_add(1, Ordering::SeqCst);
                    record.add(&format!("answered {id}: broken off, {error}"));
                }
            }
        }));
    }
    for caller in callers {
        let _ = caller.join();
    }
    let _ = player.join();
    let state = lock(&engines[0].state);
    let most = most_in_second(&state.cold);
    let whole = whole.load(Ordering::SeqCst);
    if whole == 0 || state.cold.is_empty() {
        return Err("nothing to judge".into());
    }
    Ok(Verdict {
        broken: u64::from(most as f64 > BOUND),
        note: format!(
            "FAILBACK: a cold engine got {most} requests in one second, at most {BOUND} are allowed; it crashed {} \
             times because of that; {whole} whole answers, {} refused, {} failed or broken off",
            state.crashes,
            other.load(Ordering::SeqCst),
            lost.load(Ordering::SeqCst)
        ),
    })
}
