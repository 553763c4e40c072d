//! The engines of a run: their processes, their rows, and how they become cold.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use ebonylug_core::Name;
use ebonylug_dispatch::{Target, TargetState};
use rustix::process::Signal;
use serde::Deserialize;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::net::TcpStream;

use crate::cluster::{Cluster, SERVICE, SLOTS, lock, zone};
use crate::engine::COLD_TIME;
use crate::history::{Arrival, Execution, FaultScope, RowState, now};
use crate::process::{Handle, Process};
use crate::proxy::{Mode, Proxy};
use crate::rows::ROW_REMOVAL_DELAY;
use crate::{Error, Result};

const ENGINE_PORT: u16 = 7_005;
/// Time between two writes of the row of a cold engine.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// An engine and its proxy. Dropping the proxy resets its connections.
#[derive(Clone)]
pub(crate) struct Engine {
    pub(crate) row: Target,
    pub(crate) proxy: Arc<Proxy>,
    pub(crate) handle: Arc<Handle>,
    /// Address behind the proxy.
    address: SocketAddr,
}

/// A line that an engine writes.
#[derive(Deserialize)]
#[serde(untagged)]
enum EngineLine {
    Execution(Execution),
    Arrival(Arrival),
}

/// Ends an outage of the store when dropped, also one that overlaps it, as the end of a fault does for the entries.
pub(crate) struct Outage<'a>(&'a AtomicBool);

impl Drop for Outage<'_> {
    fn drop(&mut self) {
        self.0.store(false, Ordering::Relaxed);
    }
}

impl Cluster {
    /// Starts an engine and adds its row to the store.
    pub(crate) async fn add_engine(self: &Arc<Self>, index: usize) -> Result<()> {
        let number = {
            let mut last = lock(&self.last_engine);
            // After 255 engines, addresses of engines that have exited are reused.
            *last = last.checked_add(1).unwrap_or(1);
            *last
        };
        let name = format!("engine-{number}");
        let address = SocketAddr::new(self.addresses.engine(number), ENGINE_PORT);
        let handle = self.start_engine(&name, address, Duration::ZERO).await?;
        let setup = |error| Error::Setup("a proxy".into(), error);
        let proxy = Proxy::start(address).await.map_err(setup)?;
        let row = Target {
            name: Name::new(&name),
            service: Name::new(SERVICE),
            address: proxy.address,
            zone: zone(index),
            version: "v1".into(),
            slots: SLOTS,
            state: TargetState::Serving,
            cold: Duration::ZERO,
            started_ms: now(),
        };
        self.write_row(&row, RowState::Serving);
        let engine = Engine {
            row,
            proxy: Arc::new(proxy),
            handle,
            address,
        };
        let mut engines = lock(&self.engines);
        match engines.get_mut(index) {
            Some(current) => *current = engine,
            None => engines.push(engine),
        }
        Ok(())
    }

    /// Starts the process of an engine, which is cold for this time.
    async fn start_engine(
        self: &Arc<Self>,
        name: &str,
        address: SocketAddr,
        cold: Duration,
    ) -> Result<Arc<Handle>> {
        let address_text = address.to_string();
        let cold = cold.as_millis().to_string();
        let arguments = [
            "engine",
            "--name",
            name,
            "--address",
            &address_text,
            "--cold",
            &cold,
        ];
        let mut process = Process::start(&self.options.soak_program, &arguments, None)?;
        let handle = Arc::new(process.handle().try_clone()?);
        let output = process.output();
        let cluster = Arc::clone(self);
        tokio::spawn(async move {
            let Some(output) = output else { return };
            let mut lines = BufReader::new(output).lines();
            while let Ok(Some(line)) = lines.next_line().await {
                let mut history = lock(&cluster.history);
                match serde_json::from_str(&line) {
                    Ok(EngineLine::Execution(execution)) => history.executions.push(execution),
                    Ok(EngineLine::Arrival(arrival)) => history.cold_arrivals.push(arrival),
                    Err(error) => eprintln!("invalid line from an engine: {error}"),
                }
            }
            // The engine exits when it is killed, at the latest when the runtime drops this task.
            let _ = process.wait().await;
        });
        self.wait_for_listener(address).await?;
        Ok(handle)
    }

    /// Waits until something listens on an address.
    async fn wait_for_listener(&self, address: SocketAddr) -> Result<()> {
        const MAX_ATTEMPTS: u32 = 1_000;
        for _ in 0..MAX_ATTEMPTS {
            if TcpStream::connect(address).await.is_ok() {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        Err(Error::Start(format!("nothing listens at {address}").into()))
    }

    /// Returns the current engine at an index, modulo their count. A later replacement does not affect the returned
    /// value.
    pub(crate) fn engine(&self, index: usize) -> Engine {
        let engines = lock(&self.engines);
        engines[index % engines.len()].clone()
    }

    pub(crate) fn engine_count(&self) -> usize {
        lock(&self.engines).len()
    }

    /// Returns the names of the engines in a zone.
    pub(crate) fn engines_in(&self, zone: &Name) -> Vec<String> {
        let engines = lock(&self.engines);
        let engines = engines.iter().filter(|engine| engine.row.zone == *zone);
        engines.map(|engine| engine.row.name.to_string()).collect()
    }

    /// Starts an outage of the store, in which engines do not write their rows.
    pub(crate) fn start_outage(&self) -> Outage<'_> {
        self.store_away.store(true, Ordering::Relaxed);
        Outage(&self.store_away)
    }

    /// Turns an engine cold. Its row says so after a delay.
    pub(crate) async fn chill_engine(self: &Arc<Self>, index: usize, delay: Duration) {
        let engine = self.engine(index);
        self.record_cold(&engine.row.name);
        engine.handle.signal(Signal::USR2);
        self.report_cold(&engine.row.name, delay).await;
    }

    /// Writes the row of a cold engine after a delay and then at each heartbeat, up to the first that says that it is
    /// warm.
    async fn report_cold(self: &Arc<Self>, name: &Name, delay: Duration) {
        tokio::time::sleep(delay).await;
        loop {
            while self.store_away.load(Ordering::Relaxed) {
                tokio::time::sleep(delay.max(Duration::from_millis(50))).await;
            }
            if !self.write_current_row(name) {
                return;
            }
            tokio::time::sleep(HEARTBEAT).await;
        }
    }

    /// Kills an engine and starts it again under its name after this time, cold.
    pub(crate) async fn return_engine(
        self: &Arc<Self>,
        number: usize,
        duration: Duration,
    ) -> Result<()> {
        let index = number % self.engine_count();
        let engine = self.engine(index);
        let name = &engine.row.name;
        if !self.begin_return(name) {
            return Ok(());
        }
        self.record_fault(FaultScope::Engine, duration + Duration::from_secs(1));
        engine.handle.signal(Signal::KILL);
        self.record_exit(name);
        tokio::time::sleep(duration.min(ROW_REMOVAL_DELAY)).await;
        if let Some(rest) = duration.checked_sub(ROW_REMOVAL_DELAY) {
            self.expire_row(name);
            tokio::time::sleep(rest).await;
        }
        // Another event may have replaced it.
        let is_current = self.engine(index).row.name == *name;
        if is_current {
            let handle = self
                .start_engine(name.as_str(), engine.address, COLD_TIME)
                .await?;
            let row = Target {
                started_ms: now(),
                ..engine.row.clone()
            };
            self.restart_engine(
                index,
                Engine {
                    row,
                    handle,
                    ..engine.clone()
                },
            );
        }
        self.end_return(name);
        if is_current {
            self.report_cold(name, notice_delay(number)).await;
        }
        Ok(())
    }

    /// Lists an engine that runs again in place of its previous process, or kills it if it was replaced meanwhile.
    fn restart_engine(&self, index: usize, engine: Engine) {
        let mut engines = lock(&self.engines);
        if engines[index].row.name == engine.row.name {
            self.record_restart(&engine.row);
            engines[index] = engine;
        } else {
            engine.handle.signal(Signal::KILL);
        }
    }

    /// Cuts the engines of a zone off for this time, after which they are cold. Rows expire meanwhile.
    pub(crate) async fn darken_zone(self: &Arc<Self>, number: usize, duration: Duration) {
        let zone = self.engine(number).row.zone;
        let engines: Vec<Engine> = lock(&self.engines)
            .iter()
            .filter(|engine| engine.row.zone == zone)
            .cloned()
            .collect();
        self.record_fault(FaultScope::Engine, duration);
        for engine in &engines {
            engine.proxy.set(Mode::Block);
        }
        tokio::time::sleep(duration.min(ROW_REMOVAL_DELAY)).await;
        if let Some(rest) = duration.checked_sub(ROW_REMOVAL_DELAY) {
            for engine in &engines {
                self.expire_row(&engine.row.name);
            }
            tokio::time::sleep(rest).await;
        }
        let mut reports = tokio::task::JoinSet::new();
        for (offset, engine) in engines.into_iter().enumerate() {
            self.record_cold(&engine.row.name);
            engine.handle.signal(Signal::USR2);
            engine.proxy.set(Mode::Forward);
            let cluster = Arc::clone(self);
            reports.spawn(async move {
                let delay = notice_delay(number + offset);
                cluster.report_cold(&engine.row.name, delay).await;
            });
        }
        // A task that has panicked has printed the reason.
        while reports.join_next().await.is_some() {}
    }
}

/// Time from the return of an engine until its row says that it is cold, at most a heartbeat.
fn notice_delay(number: usize) -> Duration {
    Duration::from_millis(50 + (number * 97 % 1_150) as u64)
}
