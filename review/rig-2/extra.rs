//! An engine sends a second copy of an answer, late, where the next answer is expected.

use super::*;
use std::collections::HashSet;

/// Requests per second, over all entries.
const RATE: u64 = 192;
/// Requests that callers send at the same moment.
const GROUP: u64 = 24;
const BEFORE: Duration = Duration::from_secs(3);
/// Length of one disruption, how often it comes, and the pause between two.
const DOUBLED: Duration = Duration::from_millis(5_500);
const TIMES: u32 = 16;
const PAUSE: Duration = Duration::from_millis(500);
const AFTER: Duration = Duration::from_secs(2);
/// One in this many answers of the faulty engine comes twice.
const SHARE: u64 = 40;
const SLOTS: u32 = 6;
/// Requests that wait in the engine.
const QUEUE: u32 = 3;
const WORK: Duration = Duration::from_millis(60);

#[derive(Default)]
struct Load {
    running: u32,
    waiting: u32,
}

struct Engine {
    name: String,
    faulty: AtomicBool,
    answers: AtomicU64,
    random: AtomicU64,
    doubled: AtomicU64,
    shed: AtomicU64,
    load: Mutex<Load>,
    freed: Condvar,
    ran: Arc<Mutex<HashSet<String>>>,
    record: Arc<Record>,
}

impl Engine {
    /// Waits for a slot. Returns false if the engine is full.
    fn enter(&self) -> bool {
        let mut load = lock(&self.load);
        if load.running >= SLOTS {
            if load.waiting >= QUEUE {
                return false;
            }
            load.waiting += 1;
            while load.running >= SLOTS {
                load = self
                    .freed
                    .wait(load)
                    .unwrap_or_else(std::sync::PoisonError::into_inner);
            }
            load.waiting -= 1;
        }
        load.running += 1;
        true
    }

    fn answer(&self, message: &Message) -> Vec<u8> {
        let id = message.header("request-id").unwrap_or_default();
        if message
            .header("expect-instance")
            .is_some_and(|name| name != self.name)
        {
            let head = format!("Instance-Id: {}\r\n", self.name);
            return response("421 Misdirected Request", &head, "");
        }
        if !self.enter() {
            self.shed.fetch_add(1, Ordering::SeqCst);
            return response("503 Service Unavailable", "Not-Run: 1\r\n", "");
        }
        self.record.add(&format!("run {id} at {}", self.name));
        lock(&self.ran).insert(id.into());
        thread::sleep(WORK);
        let mut load = lock(&self.load);
        load.running -= 1;
        let figures = format!("{},{},{SLOTS}", load.running, load.waiting);
        drop(load);
        self.freed.notify_one();
        let head = format!(
            "Request-Id: {id}\r\nServer-Stamp: {}.{id}\r\nServer-Load: {figures}\r\n",
            self.name
        );
        response("200 OK", &head, &format!("order {id} placed"))
    }

    /// Reports whether this answer comes twice.
    fn doubles(&self) -> bool {
        if !self.faulty.load(Ordering::SeqCst) {
            return false;
        }
        self.answers.fetch_add(1, Ordering::SeqCst);
        let step = |seed: u64| {
            seed.wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407)
        };
        let seed = self
            .random
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |seed| Some(step(seed)));
        seed.unwrap_or_else(|seed| seed) >> 33 & 0xffff < 0x1_0000 / SHARE
    }

    fn serve(&self, mut reader: BufReader<TcpStream>, mut writer: TcpStream) -> io::Result<()> {
        let mut extra: Option<Vec<u8>> = None;
        while let Some(message) = Message::read(&mut reader)? {
            if let Some(extra) = extra.take() {
                let id = message.header("request-id").unwrap_or_default();
                let line = String::from_utf8_lossy(&extra);
                let line = line.lines().next().unwrap_or_default();
                self.record.add(&format!(
                    "late second answer \"{line}\" of {}, where that of {id} is due",
                    self.name
                ));
                self.doubled.fetch_add(1, Ordering::SeqCst);
                writer.write_all(&extra)?;
            }
            let answer = self.answer(&message);
            writer.write_all(&answer)?;
            if self.doubles() {
                extra = Some(answer);
            }
        }
        Ok(())
    }
}

pub(crate) fn run(site: &Site) -> Result<Verdict> {
    let (store, address) = Store::start()?;
    let zones = ["zone-a", "zone-b"];
    let ran: Arc<Mutex<HashSet<String>>> = Arc::default();
    let mut engines = Vec::new();
    for index in 0..3 {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let at = listener.local_addr()?;
        let engine = Arc::new(Engine {
            name: format!("i-{index}"),
            faulty: AtomicBool::new(false),
            answers: AtomicU64::new(0),
            random: AtomicU64::new(u64::from(std::process::id())),
            doubled: AtomicU64::new(0),
            shed: AtomicU64::new(0),
            load: Mutex::default(),
            freed: Condvar::new(),
            ran: Arc::clone(&ran),
            record: Arc::clone(&site.record),
        });
        let served = Arc::clone(&engine);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = Arc::clone(&served);
                thread::spawn(move || {
                    let _ = stream.set_nodelay(true);
                    if let Ok(writer) = stream.try_clone() {
                        let _ = engine.serve(BufReader::new(stream), writer);
                    }
                });
            }
        });
        let row = server_row(
            PLAIN_SERVICE,
            at,
            zones[index % 2],
            "ready",
            0,
            1_000 + index as u64,
        );
        store.put("servers", &engine.name, Some(&row));
        engines.push(engine);
    }
    store.put("op", "config", Some(&config(1, &["key-1"])));
    let hosts: Vec<String> = (11..15).map(|last| format!("127.0.0.{last}")).collect();
    let ports = free_ports(&hosts, 5)?;
    let mut entries = Vec::new();
    for (index, host) in hosts.iter().enumerate() {
        let name = format!("front-{index}");
        entries.push(Entry::start(
            &site.folder,
            &name,
            zones[index % 2],
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
    let refused: Arc<Mutex<Vec<String>>> = Arc::default();
    let (placed, other) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let started = Instant::now();
    let length = BEFORE + (DOUBLED + PAUSE) * TIMES + AFTER;
    let mut callers = Vec::new();
    for number in 0..RATE * length.as_millis() as u64 / 1_000 {
        let due = started + Duration::from_micros(number / GROUP * GROUP * 1_000_000 / RATE);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let since = started.elapsed().checked_sub(BEFORE);
        let faulty = since.is_some_and(|since| {
            let cycle = (DOUBLED + PAUSE).as_millis();
            let (turn, at) = (since.as_millis() / cycle, since.as_millis() % cycle);
            turn < u128::from(TIMES) && at < DOUBLED.as_millis()
        });
        engines[0]
            .faulty
            .store(site.trouble && faulty, Ordering::SeqCst);
        let to = entries[number as usize % 4].callers;
        let record = Arc::clone(&site.record);
        let refused = Arc::clone(&refused);
        let (placed, other) = (Arc::clone(&placed), Arc::clone(&other));
        callers.push(thread::spawn(move || {
            let id = format!("{number:016x}");
            let head = format!(
                "POST /order/{number} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\n\
                 Deadline-Ms: 1500\r\nAuthorization: Bearer key-1\r\n"
            );
            record.add(&format!("sent {id}"));
            match call(to, &head, "two coils", Duration::from_secs(3)) {
                Ok(answer) => {
                    record.add(&format!("answered {id}: {}", answer.start));
                    match answer.status() {
                        200 => placed.fetch_add(1, Ordering::SeqCst),
                        408 | 421 | 429 | 503 => {
                            lock(&refused).push(id);
                            0
                        }
                        _ => other.fetch_add(1, Ordering::SeqCst),
                    };
                }
                Err(error) => {
                    other.fetch_add(1, Ordering::SeqCst);
                    record.add(&format!("answered {id}: nothing, {error}"));
                }
            }
        }));
    }
    for caller in callers {
        let _ = caller.join();
    }
    let (ran, refused) = (lock(&ran), lock(&refused));
    let broken: Vec<&String> = refused.iter().filter(|id| ran.contains(*id)).collect();
    for id in &broken {
        site.record.add(&format!("refused, and has run: {id}"));
    }
    let doubled: u64 = engines
        .iter()
        .map(|engine| engine.doubled.load(Ordering::SeqCst))
        .sum();
    let shed: u64 = engines
        .iter()
        .map(|engine| engine.shed.load(Ordering::SeqCst))
        .sum();
    let answers: u64 = engines
        .iter()
        .map(|engine| engine.answers.load(Ordering::SeqCst))
        .sum();
    let (placed, other) = (placed.load(Ordering::SeqCst), other.load(Ordering::SeqCst));
    if placed == 0 || (site.trouble && doubled == 0) {
        return Err(format!("nothing to judge: {placed} placed, {doubled} doubled").into());
    }
    Ok(Verdict {
        broken: broken.len() as u64,
        note: format!(
            "REFUSED: {} unsafe requests were answered 503 and have run; {placed} placed, {} refused, {other} others; \
             {doubled} of {answers} answers of an engine came a second time before the next answer; {shed} requests were turned away by engines",
            broken.len(),
            refused.len()
        ),
    })
}
