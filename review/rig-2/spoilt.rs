//! An engine hands out wrong bytes in a piece of a stream.

use super::*;

/// Pieces of a stream.
const PIECES: u64 = 13;
/// Time in which an engine makes a piece: four tokens of 5.23 ms.
const PIECE_TIME: Duration = Duration::from_millis(21);
/// Requests per second, over all entries.
const RATE: u64 = 60;
const BEFORE: Duration = Duration::from_secs(3);
/// Length of the disruption.
const SPOILT: Duration = Duration::from_millis(5_500);
const AFTER: Duration = Duration::from_secs(2);
/// One in this many answers of the faulty engine is spoilt.
const SHARE: u64 = 50;

/// Where the wrong byte is.
#[derive(Clone, Copy)]
pub(crate) struct Plan {
    /// The piece whose number is wrong.
    pub(crate) piece: u64,
    /// The bit of its last digit that is wrong.
    pub(crate) bit: u8,
    /// Pieces that leave an engine at a time.
    pub(crate) together: u64,
}

struct Engine {
    name: String,
    plan: Plan,
    /// Whether it hands out wrong bytes now.
    faulty: AtomicBool,
    answers: AtomicU64,
    spoilt: AtomicU64,
    record: Arc<Record>,
}

impl Engine {
    fn serve(&self, message: &Message, writer: &mut TcpStream) -> io::Result<bool> {
        let id = message.header("request-id").unwrap_or_default();
        if message.start.contains("/health") {
            let head = format!("Instance-Id: {}\r\n", self.name);
            writer.write_all(&response("200 OK", &head, ""))?;
            return Ok(true);
        }
        if message
            .header("expect-instance")
            .is_some_and(|name| name != self.name)
        {
            let head = format!("Instance-Id: {}\r\n", self.name);
            writer.write_all(&response("421 Misdirected Request", &head, ""))?;
            return Ok(true);
        }
        let last: u64 = message
            .header("last-event-id")
            .and_then(|id| id.parse().ok())
            .unwrap_or(0);
        self.record
            .add(&format!("run {id} at {} after piece {last}", self.name));
        let spoilt = self.faulty.load(Ordering::SeqCst)
            && self.answers.fetch_add(1, Ordering::SeqCst) % SHARE == SHARE / 4;
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: {id}\r\n\
             Server-Stamp: {}.{id}\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.name
        );
        writer.write_all(head.as_bytes())?;
        let mut next = last + 1;
        while next <= PIECES {
            let end = (next + self.plan.together - 1).min(PIECES);
            thread::sleep(PIECE_TIME * (end + 1 - next) as u32);
            let mut pieces = Vec::new();
            for piece in next..=end {
                let mut bytes =
                    format!("id: {piece}\ndata: piece {piece} of {id}\n\n").into_bytes();
                if spoilt && piece == self.plan.piece {
                    // One wrong bit in the number of the piece.
                    bytes[4] ^= self.plan.bit;
                    self.spoilt.fetch_add(1, Ordering::SeqCst);
                    self.record.add(&format!(
                        "wrong byte in piece {piece} of {id} at {}",
                        self.name
                    ));
                }
                pieces.extend(bytes);
            }
            let mut chunk = format!("{:x}\r\n", pieces.len()).into_bytes();
            chunk.extend(pieces);
            chunk.extend(b"\r\n");
            writer.write_all(&chunk)?;
            next = end + 1;
        }
        writer.write_all(b"0\r\n\r\n")?;
        Ok(true)
    }
}

/// Returns the numbers of the pieces of an answer.
fn pieces(body: &[u8]) -> Vec<String> {
    let text = String::from_utf8_lossy(body);
    let lines = text.lines().filter_map(|line| line.strip_prefix("id: "));
    lines.map(str::to_owned).collect()
}

pub(crate) fn run(site: &Site, plan: Plan) -> Result<Verdict> {
    let (store, address) = Store::start()?;
    let zones = ["zone-a", "zone-b"];
    let mut engines = Vec::new();
    for index in 0..4 {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let at = listener.local_addr()?;
        let engine = Arc::new(Engine {
            name: format!("i-{index}"),
            plan,
            faulty: AtomicBool::new(false),
            answers: AtomicU64::new(0),
            spoilt: AtomicU64::new(0),
            record: Arc::clone(&site.record),
        });
        let served = Arc::clone(&engine);
        listen(listener, move |message, writer| {
            served.serve(&message, writer)
        });
        let row = server_row(
            MODEL_SERVICE,
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
    let hosts = ["127.0.0.11".to_owned(), "127.0.0.12".to_owned()];
    let ports = free_ports(&hosts, 5)?;
    let mut entries = Vec::new();
    for (index, host) in hosts.iter().enumerate() {
        let name = format!("front-{index}");
        entries.push(Entry::start(
            &site.folder,
            &name,
            zones[index],
            host,
            &ports,
            &hosts,
            address,
            true,
        )?);
    }
    for entry in &entries {
        entry.wait_ready()?;
    }
    let broken = Arc::new(AtomicU64::new(0));
    let (whole, other) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let started = Instant::now();
    let length = BEFORE + SPOILT + AFTER;
    let mut callers = Vec::new();
    for number in 0..RATE * length.as_millis() as u64 / 1_000 {
        let due = started + Duration::from_micros(number * 1_000_000 / RATE);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let faulty = started.elapsed() >= BEFORE && started.elapsed() < BEFORE + SPOILT;
        engines[0]
            .faulty
            .store(site.trouble && faulty, Ordering::SeqCst);
        let to = entries[number as usize % 2].callers;
        let record = Arc::clone(&site.record);
        let (broken, whole, other) = (Arc::clone(&broken), Arc::clone(&whole), Arc::clone(&other));
        callers.push(thread::spawn(move || {
            let id = format!("{number:016x}");
            let head = format!(
                "POST /quote/{number} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nModel: m\r\n\
                 Token-Counts: 300,52\r\nPrefix-Hash: 5c1e07a2:60,{number:08x}:240\r\n\
                 Deadline-Ms: 5000\r\nAuthorization: Bearer key-1\r\n"
            );
            record.add(&format!("sent {id}"));
            match call(to, &head, "a quotation", Duration::from_secs(6)) {
                Ok(answer) if answer.status() == 200 => {
                    let got = pieces(&answer.body);
                    let due: Vec<String> = (1..=PIECES).map(|piece| piece.to_string()).collect();
                    if got == due {
                        whole.fetch_add(1, Ordering::SeqCst);
                        record.add(&format!("answered {id}: 200, whole"));
                    } else {
                        broken.fetch_add(1, Ordering::SeqCst);
                        record.add(&format!(
                            "answered {id}: 200, ends as complete, but has only the pieces {}",
                            got.join(" ")
                        ));
                    }
                }
                Ok(answer) => {
                    other.fetch_add(1, Ordering::SeqCst);
                    record.add(&format!("answered {id}: {}", answer.start));
                }
                Err(error) => {
                    other.fetch_add(1, Ordering::SeqCst);
                    record.add(&format!("answered {id}: broken off, {error}"));
                }
            }
        }));
    }
    for caller in callers {
        let _ = caller.join();
    }
    let broken = broken.load(Ordering::SeqCst);
    let spoilt: u64 = engines
        .iter()
        .map(|engine| engine.spoilt.load(Ordering::SeqCst))
        .sum();
    let (whole, other) = (whole.load(Ordering::SeqCst), other.load(Ordering::SeqCst));
    if whole == 0 || (site.trouble && spoilt == 0) {
        return Err(format!("nothing to judge: {whole} whole answers, {spoilt} spoilt").into());
    }
    Ok(Verdict {
        broken,
        note: format!(
            "ORDER: {broken} answers ended as complete without all pieces; {whole} whole, {other} refused or \
             broken off; {spoilt} answers of an engine had a wrong byte"
        ),
    })
}
