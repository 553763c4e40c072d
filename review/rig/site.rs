//! A small deployment like `cgu-fibras`: its store, its config and its entries.

use std::sync::Arc;
use std::time::Duration;

use crate::entry::{Folder, Machine, Ports};
use crate::store::{Calls, Store};

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "i9n73hh2b9wu3fexd9dn";

/// The config. Its routes are named by their prefixes.
pub const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"quote","host":"ficu95.example","prefix":"/quote/","kind":"streaming","timeout_ms":5000,"target_latency_ms":600,"priority":0,"service":"pool","max_attempts":2,"public":false,"sticky":true,"resumable":true,"gap_target_ms":250},
{"name":"order","host":"ficu95.example","prefix":"/order/","kind":"unsafe","timeout_ms":3000,"target_latency_ms":300,"priority":2,"service":"desk","max_attempts":1,"public":false},
{"name":"stock","host":"ficu95.example","prefix":"/stock/","kind":"safe","timeout_ms":15000,"target_latency_ms":300,"priority":2,"service":"desk","max_attempts":2,"public":false}],
"services":[
{"name":"pool","health_path":"/health","max_conns":360,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":11.0,"engine":{"slots":6,"kv_capacity_tokens":220265}},
{"name":"desk","health_path":"/health","max_conns":100,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"hule930","api_keys":["i9n73hh2b9wu3fexd9dn"],"priority":1,"unit":"tokens","plain_tokens":200,"rate_per_s":156080,"burst":156080}]}"#;

/// The store and the machines with entries, which end when this is dropped.
pub struct Site {
    pub store: Store,
    pub machines: Vec<Machine>,
    /// The calls of each machine to the store.
    pub calls: Vec<Arc<Calls>>,
    _folder: Folder,
}

impl Site {
    /// Sets up machines without starting them: one for each of these zones.
    pub fn new(zones: &[&str]) -> Self {
        let folder = Folder::new();
        let store = Store::new();
        store.set("op", "config", Some(CONFIG));
        let listeners: Vec<_> = zones.iter().map(|_| store.listen("127.0.0.1")).collect();
        let ips: Vec<String> = (0..zones.len())
            .map(|i| format!("127.0.1.{}", i + 1))
            .collect();
        let ports = Ports::find(&ips);
        let machine = |(index, zone): (usize, &&str)| {
            let name = format!("front-{zone}-{}", index + 1);
            let seeds = &ips[..ips.len().min(3)];
            Machine::new(
                &name,
                zone,
                &ips[index],
                ports,
                seeds,
                listeners[index].0,
                &folder.0,
            )
        };
        let machines = zones.iter().enumerate().map(machine).collect();
        Site {
            store,
            machines,
            calls: listeners.into_iter().map(|(_, calls)| calls).collect(),
            _folder: folder,
        }
    }

    /// Starts all machines and waits until they are ready.
    pub fn start(&mut self, first: bool) -> Result<(), String> {
        for machine in &mut self.machines {
            machine.start(first);
        }
        for machine in &self.machines {
            if !machine.wait_ready(Duration::from_secs(10)) {
                return Err(format!("{} is not ready: {}", machine.name, machine.log()));
            }
        }
        Ok(())
    }

    pub fn kill_all(&mut self) {
        for machine in &mut self.machines {
            machine.kill();
        }
    }
}

/// Encodes a request of a requester. The headers that each request has are added.
pub fn request(
    line: &str,
    id: &str,
    deadline_ms: u64,
    extra: &[(&str, String)],
    body: &[u8],
) -> Vec<u8> {
    let mut headers = vec![
        ("Host", HOST.to_owned()),
        ("Request-Id", id.to_owned()),
        ("Deadline-Ms", deadline_ms.to_string()),
        ("Authorization", format!("Bearer {KEY}")),
    ];
    headers.extend_from_slice(extra);
    crate::http::encode(&format!("{line} HTTP/1.1"), &headers, body)
}
