//! Entries as processes, their configuration and the rows of engines.

use super::*;

/// The processes that were started.
pub(crate) static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());
/// The longest time that a case may run.
pub(crate) const LONGEST: Duration = Duration::from_secs(115);

/// Ends a case that takes too long, with all processes that it started.
pub(crate) fn watch() {
    thread::spawn(|| {
        thread::sleep(LONGEST);
        eprintln!("the case takes too long");
        for id in lock(&STARTED).iter() {
            let _ = Command::new("kill")
                .args(["-KILL", &id.to_string()])
                .status();
        }
        std::process::exit(2);
    });
}

/// An entry: the program of the deploy file as a process.
pub(crate) struct Entry {
    pub(crate) child: Child,
    pub(crate) callers: SocketAddr,
    pub(crate) ready: SocketAddr,
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.signal("-CONT");
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Ports that are the same on all machines, and free on each of these hosts.
pub(crate) fn free_ports(hosts: &[String], count: usize) -> Result<Vec<u16>> {
    let mut ports = Vec::new();
    let seed = std::process::id() as u16;
    let mut port = 20_000 + seed % 9_000;
    while ports.len() < count {
        port += 1;
        let free = |host: &String| {
            let address = format!("{host}:{port}");
            TcpListener::bind(&address).is_ok() && std::net::UdpSocket::bind(&address).is_ok()
        };
        if hosts.iter().all(free) {
            ports.push(port);
        }
        if port > 32_000 {
            return Err("no free ports".into());
        }
    }
    Ok(ports)
}

impl Entry {
    /// Starts an entry at a loopback address. Its settings are those of the template in `platform/`, with the
    /// bounds of the site.
    pub(crate) fn start(
        folder: &Path,
        name: &str,
        zone: &str,
        host: &str,
        ports: &[u16],
        seeds: &[String],
        store: SocketAddr,
        first: bool,
    ) -> Result<Entry> {
        let [callers, ready, peers, metrics, control] = ports[..] else {
            return Err("five ports are needed".into());
        };
        let seeds: Vec<String> = seeds
            .iter()
            .map(|seed| format!("\"{seed}:{control}\""))
            .collect();
        let seeds = seeds.join(",");
        let text = format!(
            r#"{{
  "instance": "{name}", "zone": "{zone}",
  "listen": "{host}:{callers}", "ready": "{host}:{ready}", "peers": "{host}:{peers}",
  "seeds": [{seeds}], "metrics": "{host}:{metrics}", "store": "{store}",
  "grace": 8.0, "revocation": 5000, "contact": 3000, "drain": 2000,
  "retries": {{ "ratio": 0.2, "constant": 54, "window": 10 }},
  "hedging": {{ "share": 0 }},
  "quotas": {{ "overshoot": 0.1, "slack": 110000, "window": 8 }},
  "first": {first},
  "responses": {{ "head": 16384, "body": 8388608, "event": 16384 }},
  "memory": 110,
  "duties": {{ "lease": 3000, "window": 5, "late": 10 }}
}}
"#
        );
        let settings = folder.join(format!("{name}.json5"));
        fs::write(&settings, text)?;
        let log = folder.join(format!("{name}.log"));
        let child = Entry::spawn(&settings, &log)?;
        Ok(Entry {
            child,
            callers: format!("{host}:{callers}").parse()?,
            ready: format!("{host}:{ready}").parse()?,
        })
    }

    pub(crate) fn spawn(settings: &Path, log: &Path) -> Result<Child> {
        let output = fs::OpenOptions::new().create(true).append(true).open(log)?;
        let child = Command::new("target/release/ebonylug-adapter")
            .env_clear()
            .env("EBONYLUG_SETTINGS", settings)
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()?;
        lock(&STARTED).push(child.id());
        Ok(child)
    }

    /// Waits until the entry passes the readiness check of the load balancer.
    pub(crate) fn wait_ready(&self) -> Result<()> {
        let end = Instant::now() + Duration::from_secs(15);
        while Instant::now() < end {
            if self.is_ready() {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(100));
        }
        Err("the entry does not become ready".into())
    }

    pub(crate) fn is_ready(&self) -> bool {
        let check = || -> io::Result<u16> {
            let mut stream = TcpStream::connect_timeout(&self.ready, Duration::from_millis(500))?;
            stream.set_read_timeout(Some(Duration::from_millis(500)))?;
            stream
                .write_all(b"GET /-/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")?;
            let answer = Message::read(&mut BufReader::new(stream))?;
            Ok(answer.map_or(0, |answer| answer.status()))
        };
        check().is_ok_and(|status| status == 200)
    }

    pub(crate) fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let _ = Command::new("kill").args([name, &id]).status();
    }
}

pub(crate) const MODEL_SERVICE: &str = "pool";
pub(crate) const PLAIN_SERVICE: &str = "desk";
pub(crate) const HOST: &str = "ropes.example";

/// Returns a configuration with the routes of the site: streams that may be resumed, streams that may not,
/// unsafe and safe requests.
pub(crate) fn config(version: u64, keys: &[&str]) -> String {
    let route = |name: &str, prefix: &str, service: &str, rest: &str| {
        format!(
            r#"{{"name":"{name}","host":"{HOST}","prefix":"/{prefix}/","public":false,"service":"{service}",{rest}}}"#
        )
    };
    let routes = [
        route("quote-draft", "quote", MODEL_SERVICE, r#""kind":"streaming","timeout_ms":5000,"target_latency_ms":600,"priority":0,"max_attempts":2,"sticky":true,"resumable":true,"gap_target_ms":250"#),
        route("shift-summary", "shift", MODEL_SERVICE, r#""kind":"streaming","timeout_ms":3000,"target_latency_ms":1000,"priority":1,"max_attempts":1,"sticky":true,"resumable":false,"gap_target_ms":250"#),
        route("shift-notes", "notes", MODEL_SERVICE, r#""kind":"streaming","timeout_ms":3000,"target_latency_ms":1000,"priority":1,"max_attempts":1,"sticky":true,"resumable":false,"gap_target_ms":250"#)
            .replace(r#""public":false"#, r#""public":true"#),
        route("dispatch-order", "order", PLAIN_SERVICE, r#""kind":"unsafe","timeout_ms":1500,"target_latency_ms":300,"priority":2,"max_attempts":1"#),
        route("stock-lookup", "stock", PLAIN_SERVICE, r#""kind":"safe","timeout_ms":1500,"target_latency_ms":300,"priority":2,"max_attempts":2"#),
    ]
    .join(",");
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    let keys = keys.join(",");
    format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[{{"name":"{MODEL_SERVICE}","max_conns":360,"health_path":"/health","cold_start_s":3.0,"cold_per_s":11.0,"engine":{{"slots":6}}}},{{"name":"{PLAIN_SERVICE}","max_conns":100,"health_path":"/health","cold_start_s":0.0,"cold_per_s":0.0}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"cgu","api_keys":[{keys}],"plain_tokens":200,"unit":"tokens","rate_per_s":0,"burst":0}}]}}"#
    )
}

pub(crate) fn server_row(
    service: &str,
    address: SocketAddr,
    zone: &str,
    state: &str,
    cold_ms: u64,
    born: u64,
) -> String {
    format!(
        r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":6,"state":"{state}","cold_remaining_ms":{cold_ms},"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"sequence":1,"born":{born}}}"#
    )
}
