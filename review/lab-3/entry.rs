//! The project's entries as processes, and the platform that starts them.

use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// What `deploy/system.toml` names as the program and the template of its settings.
const PROGRAM: &str = "target/release/ebonylug-adapter";
const TEMPLATE: &str = "platform/entry.json5";

/// What differs between the deployments of the cases.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    pub memory_mb: u64,
    pub quota_slack: u64,
}

/// One machine with an entry.
pub struct Entry {
    pub name: String,
    ip: Ipv4Addr,
    settings: PathBuf,
    process: Option<Child>,
}

impl Entry {
    /// Writes the settings of a machine. `number` selects its loopback address.
    pub fn new(
        folder: &Path,
        number: u8,
        name: &str,
        store: SocketAddr,
        deployment: Deployment,
        first: bool,
    ) -> std::io::Result<Self> {
        let entry = Entry {
            name: name.to_owned(),
            ip: Ipv4Addr::new(127, 0, 33, number),
            settings: folder.join(format!("{name}.json5")),
            process: None,
        };
        let template = std::fs::read_to_string(TEMPLATE)?;
        std::fs::write(
            &entry.settings,
            entry.fill(&template, store, deployment, first),
        )?;
        Ok(entry)
    }

    /// Fills in the template with the bounds of a small deployment, as the platform does.
    fn fill(
        &self,
        template: &str,
        store: SocketAddr,
        deployment: Deployment,
        first: bool,
    ) -> String {
        let ip = self.ip;
        let quoted = |text: String| format!("\"{text}\"");
        let values = [
            ("node_name|json", quoted(self.name.clone())),
            ("zone|json", quoted("liberia-a".to_owned())),
            ("listen.front|json", quoted(format!("{ip}:8221"))),
            ("listen.ready|json", quoted(format!("{ip}:8224"))),
            ("ip", ip.to_string()),
            ("internal_ports.0", "7600".to_owned()),
            (
                "seed_addrs|json",
                r#"["127.0.33.1:8229","127.0.33.2:8229","127.0.33.3:8229"]"#.to_owned(),
            ),
            ("provider.address|json", quoted(store.to_string())),
            ("bounds.grace_s", "8".to_owned()),
            ("bounds.revoke_ms", "5000".to_owned()),
            ("bounds.contact_ms", "3000".to_owned()),
            ("bounds.drain_ms", "2000".to_owned()),
            ("bounds.retry_budget_ratio", "0.2".to_owned()),
            ("bounds.budget_slack", "54".to_owned()),
            ("bounds.budget_window_s", "10".to_owned()),
            ("bounds.quota_overshoot", "0.1".to_owned()),
            ("bounds.quota_slack", deployment.quota_slack.to_string()),
            ("bounds.quota_window_s", "8".to_owned()),
            ("bootstrap", first.to_string()),
            ("limits.memory_mb", deployment.memory_mb.to_string()),
        ];
        let mut text = template.to_owned();
        // Sections for values that are missing, and those of the contracts that are not in force.
        for (name, is_present) in [
            ("bounds.quota_overshoot", true),
            ("bounds.quota_slack", true),
            ("bounds.quota_window_s", true),
            ("bounds.lease_ms", false),
            ("bounds.report_window_s", false),
            ("bounds.usage_late_s", false),
        ] {
            let (start, end) = (format!("{{{{^{name}}}}}"), format!("{{{{/{name}}}}}"));
            if let (Some(from), Some(to)) = (text.find(&start), text.find(&end)) {
                let inner = text[from + start.len()..to].to_owned();
                let kept = if is_present { "" } else { &inner };
                text.replace_range(from..to + end.len(), kept);
            }
        }
        let cloud = ("{{#cloud_api.address}}", "{{/cloud_api.address}}");
        if let (Some(from), Some(to)) = (text.find(cloud.0), text.find(cloud.1)) {
            text.replace_range(from..to + cloud.1.len(), "");
        }
        for (name, value) in values {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        // What is left has no value.
        while let (Some(from), Some(to)) = (text.find("{{"), text.find("}}")) {
            text.replace_range(from..to + 2, "");
        }
        text
    }

    /// Starts the process.
    pub fn start(&mut self) -> std::io::Result<()> {
        let process = Command::new(PROGRAM)
            .env_clear()
            .env("EBONYLUG_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()?;
        self.process = Some(process);
        Ok(())
    }

    /// Returns the address for requesters.
    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), 8221)
    }

    /// Asks whether the entry is ready.
    pub fn is_ready(&self) -> bool {
        let ask = || -> std::io::Result<bool> {
            let address = SocketAddr::new(IpAddr::V4(self.ip), 8224);
            let wait = Duration::from_millis(500);
            let mut stream = TcpStream::connect_timeout(&address, wait)?;
            stream.set_read_timeout(Some(wait))?;
            stream
                .write_all(b"GET /-/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")?;
            let mut answer = String::new();
            stream.read_to_string(&mut answer)?;
            Ok(answer.starts_with("HTTP/1.1 200"))
        };
        ask().unwrap_or(false)
    }

    /// Waits until the entry is ready.
    pub fn await_ready(&self, limit: Duration) -> Result<(), String> {
        let end = Instant::now() + limit;
        while !self.is_ready() {
            if Instant::now() > end {
                return Err(format!("{} isn't ready", self.name));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    /// Returns the memory of the process that is no file's, in bytes.
    pub fn memory(&self) -> u64 {
        let Some(process) = &self.process else {
            return 0;
        };
        let path = format!("/proc/{}/status", process.id());
        let status = std::fs::read_to_string(path).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("RssAnon:"));
        let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
        kib.unwrap_or(0) * 1024
    }

    /// Kills the process, as a loss of power or the platform does.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Stops the process by SIGTERM and waits until it has ended.
    pub fn terminate(&mut self) {
        const SIGTERM: i32 = 15;
        self.signal(SIGTERM);
        if let Some(mut process) = self.process.take() {
            let _ = process.wait();
        }
    }

    /// Freezes the process, or wakes it.
    pub fn freeze(&self, is_frozen: bool) {
        const SIGCONT: i32 = 18;
        const SIGSTOP: i32 = 19;
        self.signal(if is_frozen { SIGSTOP } else { SIGCONT });
    }

    fn signal(&self, signal: i32) {
        unsafe extern "C" {
            fn kill(process: i32, signal: i32) -> i32;
        }
        if let Some(process) = &self.process {
            // SAFETY: the process is a child that has not been waited for, so its id is not used again.
            unsafe { kill(process.id() as i32, signal) };
        }
    }

    /// Reports whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let process = self.process.as_mut();
        process.is_some_and(|process| process.try_wait().is_ok_and(|status| status.is_some()))
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}
