//! A version turns bad late in a roll-out, while one machine is cut off for two seconds.

use super::*;

/// Requests per second: at each of the first three entries, and at the one that is cut off.
const RATE: u64 = 240;
const CUT_RATE: u64 = 4;
const ENTRIES: usize = 4;
const CUT_ENTRY: usize = ENTRIES - 1;
const WORK: Duration = Duration::from_millis(10);
const SLOTS: u64 = 6;
/// Length of the roll-out. The rest is counted from its order.
const LIMIT: Duration = Duration::from_secs(16);
const BEFORE: Duration = Duration::from_secs(3);
const CUT_FROM: Duration = Duration::from_millis(12_600);
const CUT_UNTIL: Duration = Duration::from_millis(15_900);
/// When the new version turns bad, and the share of its answers that fail then, in percent.
const BAD_FROM: Duration = Duration::from_millis(12_950);
const BAD_SHARE: u64 = 28;
/// Time from the roll-back until the new engines drain.
const DRAIN_AFTER: Duration = Duration::from_secs(8);
const LENGTH: Duration = Duration::from_secs(23);
/// Bounds of the rule.
const ROLLBACK: Duration = Duration::from_secs(5);
const CONTACT: Duration = Duration::from_secs(3);
const BAD_ANSWERS: usize = 50;

/// What engines have seen.
struct World {
    ordered: Instant,
    /// Arrivals at the new version: the request, and when.
    arrivals: Mutex<Vec<(String, Instant)>>,
    /// When the new version gave bad answers.
    bad: Mutex<Vec<Instant>>,
    /// When callers sent requests.
    sent: Mutex<BTreeMap<String, Instant>>,
    record: Arc<Record>,
}

struct Engine {
    name: String,
    new: bool,
    running: AtomicU64,
    answers: AtomicU64,
    world: Arc<World>,
}

impl Engine {
    fn serve(&self, message: &Message, writer: &mut TcpStream) -> io::Result<bool> {
        let id = message.header("request-id").unwrap_or_default();
        let expected = message.header("expect-instance");
        if expected.is_some_and(|name| name != self.name) {
            let head = format!("Instance-Id: {}\r\n", self.name);
            writer.write_all(&response("421 Misdirected Request", &head, ""))?;
            return Ok(true);
        }
        if self.running.fetch_add(1, Ordering::SeqCst) >= 4 * SLOTS {
            self.running.fetch_sub(1, Ordering::SeqCst);
            let head = format!("Not-Run: 1\r\nRequest-Id: {id}\r\n");
            writer.write_all(&response("503 Service Unavailable", &head, ""))?;
            return Ok(true);
        }
        if self.new {
            lock(&self.world.arrivals).push((id.into(), Instant::now()));
            self.world
                .record
                .add(&format!("run {id} at {} (v2)", self.name));
        }
        thread::sleep(WORK);
        self.running.fetch_sub(1, Ordering::SeqCst);
        let is_bad = self.new && self.world.ordered.elapsed() >= BAD_FROM;
        let number = self.answers.fetch_add(1, Ordering::SeqCst);
        let head = format!(
            "Request-Id: {id}\r\nServer-Stamp: {}.{number}\r\n",
            self.name
        );
        if is_bad && number * 37 % 100 < BAD_SHARE {
            lock(&self.world.bad).push(Instant::now());
            writer.write_all(&response("500 Internal Server Error", &head, "failed"))?;
        } else {
            writer.write_all(&response("200 OK", &head, "placed"))?;
        }
        Ok(true)
    }
}

/// Forwards what entries send to each other, so that one of them can be cut off.
fn forward(
    site: &Site,
    hosts: &[String],
    forwarders: &[String],
    port: u16,
) -> Result<Arc<AtomicBool>> {
    let cut = Arc::new(AtomicBool::new(false));
    let mut sockets = Vec::new();
    for host in forwarders {
        sockets.push(Arc::new(std::net::UdpSocket::bind(format!(
            "{host}:{port}"
        ))?));
    }
    let entries: Vec<String> = hosts.iter().map(|host| format!("{host}:{port}")).collect();
    for to in 0..hosts.len() {
        let (sockets, entries, cut) = (sockets.clone(), entries.clone(), Arc::clone(&cut));
        let listener = TcpListener::bind(format!("{}:{port}", forwarders[to]))?;
        let tables = (entries[to].clone(), Arc::clone(&cut));
        thread::spawn(move || {
            let mut buffer = vec![0; 65_536];
            while let Ok((length, from)) = sockets[to].recv_from(&mut buffer) {
                let sender = entries.iter().position(|entry| *entry == from.to_string());
                let Some(sender) = sender else { continue };
                if cut.load(Ordering::SeqCst) && (to == CUT_ENTRY || sender == CUT_ENTRY) {
                    continue;
                }
                let _ = sockets[sender].send_to(&buffer[..length], &entries[to]);
            }
        });
        thread::spawn(move || {
            let (entry, cut) = tables;
            for stream in listener.incoming().flatten() {
                // Who calls can't be told from its address, so during the cut nobody gets tables.
                if cut.load(Ordering::SeqCst) {
                    continue;
                }
                if let Ok(other) = TcpStream::connect(&entry) {
                    pipe(&stream, &other);
                    pipe(&other, &stream);
                }
            }
        });
    }
    site.record.add("the entries talk through forwarders");
    Ok(cut)
}

fn pipe(from: &TcpStream, to: &TcpStream) {
    if let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) {
        thread::spawn(move || {
            let _ = io::copy(&mut from, &mut to);
            let _ = to.shutdown(std::net::Shutdown::Write);
        });
    }
}

/// Drains and removes the new engines some seconds after the store says that they were rolled back.
fn watch_status(store: &Arc<Store>, rows: Vec<(String, String)>, record: &Arc<Record>) {
    let (store, record) = (Arc::clone(store), Arc::clone(record));
    thread::spawn(move || {
        let mut last = String::new();
        loop {
            thread::sleep(Duration::from_millis(20));
            let status = store.text("status", &format!("rollout/{PLAIN_SERVICE}"));
            if status != last {
                record.add(&format!("status of the roll-out: {status}"));
                last = status;
            }
            if last.contains("rolled_back") {
                break;
            }
        }
        thread::sleep(DRAIN_AFTER);
        for (name, row) in &rows {
            store.put("servers", name, Some(&row.replace("ready", "draining")));
        }
        record.add("the engines of v2 drain");
    });
}

fn send(world: &Arc<World>, to: SocketAddr, id: String) {
    let world = Arc::clone(world);
    thread::spawn(move || {
        let head = format!(
            "POST /order/{id} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 1500\r\n\
             Authorization: Bearer key-1\r\n"
        );
        lock(&world.sent).insert(id.clone(), Instant::now());
        let answer = call(to, &head, "two coils", Duration::from_secs(3));
        let text = answer.map_or_else(|error| error.to_string(), |answer| answer.start);
        world.record.add(&format!("answered {id}: {text}"));
    });
}

pub(crate) fn run(site: &Site) -> Result<Verdict> {
    let (store, address) = Store::start()?;
    let zones = ["zone-a", "zone-b"];
    store.put("op", "config", Some(&config(1, &["key-1"])));
    let hosts: Vec<String> = (11..15).map(|last| format!("127.0.0.{last}")).collect();
    let forwarders: Vec<String> = (11..15).map(|last| format!("127.0.1.{last}")).collect();
    let all: Vec<String> = hosts.iter().chain(&forwarders).cloned().collect();
    let ports = free_ports(&all, 5)?;
    let cut = forward(site, &hosts, &forwarders, ports[2])?;
    let cut_store = store.listen_cut(Arc::clone(&cut))?;
    // The order is sent once the entries are ready and have served for some seconds.
    let ordered = Instant::now() + Duration::from_secs(4) + BEFORE;
    let world = Arc::new(World {
        ordered,
        arrivals: Mutex::default(),
        bad: Mutex::default(),
        sent: Mutex::default(),
        record: Arc::clone(&site.record),
    });
    let mut new = Vec::new();
    for index in 0..6 {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let at = listener.local_addr()?;
        let engine = Engine {
            name: format!("i-{index}"),
            new: index >= 3,
            running: AtomicU64::new(0),
            answers: AtomicU64::new(0),
            world: Arc::clone(&world),
        };
        let name = engine.name.clone();
        let row = server_row(
            PLAIN_SERVICE,
            at,
            zones[index % 2],
            "ready",
            0,
            1_000 + index as u64,
        );
        if engine.new {
            new.push((name, row.replace(r#""version":"v1""#, r#""version":"v2""#)));
        } else {
            store.put("servers", &name, Some(&row));
        }
        listen(listener, move |message, writer| {
            engine.serve(&message, writer)
        });
    }
    let mut entries = Vec::new();
    for (index, host) in hosts.iter().enumerate() {
        let name = format!("front-{index}");
        store.place_entry(&name, &format!("{}:{}", forwarders[index], ports[2]));
        let store = if index == CUT_ENTRY {
            cut_store
        } else {
            address
        };
        let zone = zones[index % 2];
        entries.push(Entry::start(
            &site.folder,
            &name,
            zone,
            host,
            &ports,
            &[],
            store,
            true,
        )?);
    }
    for entry in &entries {
        entry.wait_ready()?;
    }
    let addresses: Vec<SocketAddr> = entries.iter().map(|entry| entry.callers).collect();
    let mut cut_time = None;
    let mut is_ordered = false;
    let mut numbers = [0u64; ENTRIES];
    let started = Instant::now();
    if started + Duration::from_secs(1) > ordered {
        return Err("the entries are ready too late".into());
    }
    while Instant::now() < ordered + LENGTH {
        for (index, number) in numbers.iter_mut().enumerate() {
            let rate = if index == CUT_ENTRY { CUT_RATE } else { RATE };
            while started + Duration::from_micros(*number * 1_000_000 / rate) <= Instant::now() {
                send(
                    &world,
                    addresses[index],
                    format!("{index:04x}{number:012x}"),
                );
                *number += 1;
            }
        }
        let since = Instant::now().checked_duration_since(ordered);
        if since.is_some() && !is_ordered {
            is_ordered = true;
            for (name, row) in &new {
                store.put("servers", name, Some(row));
            }
            let limit = LIMIT.as_secs();
            let order =
                format!(r#"{{"service":"{PLAIN_SERVICE}","target":"v2","duration_s":{limit}}}"#);
            store.put("op", &format!("rollout/{PLAIN_SERVICE}"), Some(&order));
            site.record.add("a roll-out to v2 is ordered");
            watch_status(&store, new.clone(), &site.record);
        }
        let is_cut =
            since.is_some_and(|since| site.trouble && since >= CUT_FROM && since < CUT_UNTIL);
        if cut.swap(is_cut, Ordering::SeqCst) != is_cut {
            site.record.add(if is_cut {
                "front-3 is cut off"
            } else {
                "the cut has healed"
            });
            if !is_cut {
                cut_time = Some(Instant::now());
            }
        }
        thread::sleep(Duration::from_millis(1));
    }
    thread::sleep(Duration::from_secs(2));
    let bad = lock(&world.bad);
    if bad.is_empty() {
        return Err("nothing to judge: no bad answers".into());
    }
    // Without that many bad answers, the rule holds.
    let fiftieth = bad.get(BAD_ANSWERS - 1).copied();
    let (arrivals, sent) = (lock(&world.arrivals), lock(&world.sent));
    let touch = cut_time.map(|time| time + CONTACT);
    let late = arrivals.iter().filter(|(id, _)| {
        let in_touch = |time: Instant| match touch {
            Some(touch) if id.starts_with(&format!("{CUT_ENTRY:04x}")) => time > touch,
            _ => true,
        };
        let is_late = |time: Instant| fiftieth.is_some_and(|fiftieth| time > fiftieth + ROLLBACK);
        sent.get(id)
            .is_some_and(|&time| is_late(time) && in_touch(time))
    });
    let late = late.count() as u64;
    let until = ordered + LIMIT;
    let early = arrivals.iter().filter(|(_, time)| *time < until).count();
    let all = sent
        .values()
        .filter(|&&time| time >= ordered && time < until)
        .count();
    Ok(Verdict {
        broken: late,
        note: format!(
            "EXPOSURE: a bad version got {late} requests that were sent more than {} s after its 50th bad answer, by \
             machines in touch; {early} of {all} requests reached it until the time limit, {} in all, {} of its answers were bad",
            ROLLBACK.as_secs(),
            arrivals.len(),
            bad.len()
        ),
    })
}
