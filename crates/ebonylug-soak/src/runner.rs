use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use ebonylug_adapter::standin::Fault as StoreFault;
use rustix::process::Signal;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use crate::caller::{self, Pace, SharedState};
use crate::cluster::{self, Cluster, lock};
use crate::history::{Change, FaultScope, History, RowState, now};
use crate::proxy::Mode;
use crate::rows::ROW_REMOVAL_DELAY;
use crate::schedule::{Event, Fault, Schedule};
use crate::{Error, Result};

/// Time within which all entries must be ready.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for a planned stop: the `grace` of 8 s in the settings of the entries, and time to detect the exit.
const STOP_TIMEOUT: Duration = Duration::from_secs(9);
/// Time from SIGTERM until the load balancer stops opening connections: two readiness checks, one second apart.
const BALANCER_DELAY: Duration = Duration::from_secs(2);
/// Minimum time for which a leaving engine keeps running.
const LEAVE_DURATION: Duration = Duration::from_secs(5);
/// Time added to the drain of a zone. It equals the time after which the zone must not receive requests, so that
/// the zone stays drained while this is checked.
const DRAIN_EXTENSION: Duration = Duration::from_secs(5);
/// Time that each caller and event has to finish after the end of the load.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(10);

/// Paths of the programs and files of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// The entry program.
    pub entry_program: PathBuf,
    /// The soak program, which also runs as the engines.
    pub soak_program: PathBuf,
    /// Folder for settings and logs. Its previous contents are removed.
    pub folder: PathBuf,
}

/// Runs a schedule and returns the history of the run.
///
/// # Errors
///
/// Fails if the processes cannot be started. Later failures are recorded in the history.
pub async fn run_schedule(schedule: &Schedule, options: &Options) -> Result<History> {
    cluster::create_empty_folder(&options.folder)?;
    let cluster = Cluster::start(options.clone(), schedule).await?;
    wait_ready(&cluster).await?;
    lock(&cluster.history).started = now();
    let (records, mut received) = mpsc::unbounded_channel();
    let shared = SharedState::new(cluster.available.subscribe(), records);
    let (stop, stopped) = watch::channel(false);
    let callers: Vec<_> = (0..schedule.callers + schedule.brisk)
        .map(|number| {
            let pace = match number < schedule.callers {
                true => Pace::Mixed,
                false => Pace::Brisk,
            };
            let seed = schedule
                .seed
                .wrapping_mul(1_000)
                .wrapping_add(number as u64);
            tokio::spawn(caller::run(
                Arc::clone(&shared),
                seed,
                pace,
                stopped.clone(),
            ))
        })
        .collect();
    let start = Instant::now();
    let events: Vec<_> = schedule
        .events
        .iter()
        .map(|&event| {
            tokio::spawn(run_event(
                Arc::clone(&cluster),
                Arc::clone(&shared),
                start,
                event,
            ))
        })
        .collect();
    tokio::time::sleep_until(start + schedule.load_duration).await;
    stop.send_replace(true);
    for task in callers.into_iter().chain(events) {
        // A task that takes longer is abandoned, and its request is not checked.
        let _ = tokio::time::timeout(COMPLETION_TIMEOUT, task).await;
    }
    stop_entries(&cluster).await;
    received.close();
    cluster.record_reads();
    let mut history = std::mem::take(&mut *lock(&cluster.history));
    while let Ok(record) = received.try_recv() {
        history.requests.push(record);
    }
    Ok(history)
}

/// Stops all entries with SIGTERM.
async fn stop_entries(cluster: &Arc<Cluster>) {
    cluster.stop_restarts();
    let stops = (0..cluster.entries.len()).filter_map(|index| {
        // Resume entries that are still paused.
        cluster.signal(index, Signal::CONT);
        Some((index, cluster.signal(index, Signal::TERM)?))
    });
    let stops: Vec<(usize, u32)> = stops.collect();
    let end = Instant::now() + STOP_TIMEOUT;
    for (index, generation) in stops {
        while cluster.is_running(index, generation) && Instant::now() < end {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        if cluster.is_running(index, generation) {
            cluster.kill_overdue(index);
        }
    }
}

/// Waits until all entries report that they are ready.
async fn wait_ready(cluster: &Cluster) -> Result<()> {
    let mut available = cluster.available.subscribe();
    let all = available.wait_for(|available| available.len() == cluster.entries.len());
    match tokio::time::timeout(START_TIMEOUT, all).await {
        Ok(_) => Ok(()),
        Err(_) => Err(Error::Start("not all entries became ready in time".into())),
    }
}

/// Applies an event at its time. Records a failure to do so.
async fn run_event(cluster: Arc<Cluster>, shared: Arc<SharedState>, start: Instant, event: Event) {
    tokio::time::sleep_until(start + event.at).await;
    if let Err(error) = apply_fault(&cluster, &shared, event).await {
        let details = format!("the soak could not go on: {error}");
        lock(&cluster.history)
            .process_failures
            .push((now(), details));
    }
}

async fn apply_fault(cluster: &Arc<Cluster>, shared: &SharedState, event: Event) -> Result<()> {
    let duration = event.duration;
    let entry = |number: usize| number % cluster.entries.len();
    let all: Vec<usize> = (0..cluster.entries.len()).collect();
    match event.fault {
        Fault::KillEntry(n) => {
            cluster.record_fault(FaultScope::Entry(entry(n)), Duration::from_secs(1));
            cluster.signal(entry(n), Signal::KILL);
        }
        Fault::StopEntry(n) => stop_entry(cluster, entry(n)).await,
        Fault::PauseEntry(n) => {
            cluster.record_fault(FaultScope::Entry(entry(n)), duration);
            cluster.signal(entry(n), Signal::STOP);
            tokio::time::sleep(duration).await;
            cluster.signal(entry(n), Signal::CONT);
        }
        Fault::ReloadEntry(n) => {
            let written = cluster.change_settings(entry(n));
            cluster.signal(entry(n), Signal::HUP);
            written?;
        }
        Fault::StoreUnavailable(n) => {
            inject_store_fault(cluster, &[entry(n)], StoreFault::Unavailable, duration).await;
        }
        Fault::StoreReset(n) => {
            inject_store_fault(cluster, &[entry(n)], StoreFault::Reset, duration).await;
        }
        Fault::StoreDropResponse(n) => {
            inject_store_fault(cluster, &[entry(n)], StoreFault::DropResponse, duration).await;
        }
        Fault::StoreHang => {
            let _outage = cluster.start_outage();
            inject_store_fault(cluster, &all, StoreFault::Hang, duration).await;
        }
        Fault::StoreAway => {
            let _outage = cluster.start_outage();
            cluster.store.disconnect();
            inject_store_fault(cluster, &all, StoreFault::Unavailable, duration).await;
        }
        Fault::ChillEngine(n) => cluster.chill_engine(n, duration).await,
        Fault::ReturnEngine(n) => cluster.return_engine(n, duration).await?,
        Fault::DarkenZone(n) => cluster.darken_zone(n, duration).await,
        Fault::StoreDelay => {
            let delay = StoreFault::Delay(Duration::from_millis(300));
            inject_store_fault(cluster, &all, delay, duration).await;
        }
        Fault::RestoreStore(n) => cluster.restore_store(n, duration).await,
        Fault::LapseRows(n) => cluster.lapse_rows(n, duration).await,
        Fault::CompactStore => cluster.store.compact(),
        Fault::KillEngine(n) => crash_engine(cluster, n).await?,
        Fault::ShutDownEngine(n) => remove_engine(cluster, n, true, duration).await?,
        Fault::DeregisterEngine(n) => remove_engine(cluster, n, false, duration).await?,
        Fault::PauseEngine(n) => {
            let engine = cluster.engine(n);
            cluster.record_fault(FaultScope::Engine, duration);
            engine.handle.signal(Signal::STOP);
            tokio::time::sleep(duration).await;
            engine.handle.signal(Signal::CONT);
        }
        Fault::ResetConnections(n) => inject_proxy_fault(cluster, n, Mode::Reset, duration).await,
        Fault::DelayConnections(n) => {
            inject_proxy_fault(
                cluster,
                n,
                Mode::Delay(Duration::from_millis(200)),
                duration,
            )
            .await;
        }
        // Doubled, so that most blocks last longer than the request timeout.
        Fault::BlockConnections(n) => {
            inject_proxy_fault(cluster, n, Mode::Block, duration * 2).await;
        }
        Fault::BlockResponses(n) => {
            inject_proxy_fault(cluster, n, Mode::BlockResponses, duration * 2).await;
        }
        Fault::AddRoute => {
            let version = cluster.add_route();
            shared.newest_route.fetch_max(version, Ordering::Relaxed);
        }
        Fault::RevokeKey => cluster.revoke_key(),
        Fault::DrainZone(n) => drain_zone(cluster, n, duration).await,
    }
    Ok(())
}

async fn stop_entry(cluster: &Arc<Cluster>, index: usize) {
    let Some(generation) = cluster.signal(index, Signal::TERM) else {
        return;
    };
    let start = Instant::now();
    tokio::time::sleep(BALANCER_DELAY).await;
    if cluster.is_running(index, generation) {
        cluster.remove_available(index);
    }
    let from = now();
    tokio::time::sleep_until(start + STOP_TIMEOUT).await;
    if !cluster.is_running(index, generation) {
        return;
    }
    let paused = lock(&cluster.history).fault_windows.iter().any(|window| {
        window.scope == FaultScope::Entry(index) && window.to >= from.saturating_sub(2_000)
    });
    if paused {
        // The pause has used up part of the time for the stop, so a late exit is no violation.
        cluster.signal(index, Signal::KILL);
    } else {
        cluster.kill_overdue(index);
    }
}

async fn inject_store_fault(
    cluster: &Cluster,
    indexes: &[usize],
    fault: StoreFault,
    duration: Duration,
) {
    for &index in indexes {
        cluster.record_fault(FaultScope::Store(index), duration);
        cluster.entries[index].fault_switch.set(fault);
    }
    tokio::time::sleep(duration).await;
    for &index in indexes {
        cluster.entries[index].fault_switch.set(StoreFault::None);
    }
}

async fn inject_proxy_fault(cluster: &Cluster, index: usize, mode: Mode, duration: Duration) {
    let engine = cluster.engine(index);
    cluster.record_fault(FaultScope::Engine, duration);
    engine.proxy.set(mode);
    tokio::time::sleep(duration).await;
    engine.proxy.set(Mode::Forward);
}

async fn crash_engine(cluster: &Arc<Cluster>, number: usize) -> Result<()> {
    let index = number % cluster.engine_count();
    let engine = cluster.engine(index);
    cluster.record_fault(FaultScope::Engine, ROW_REMOVAL_DELAY);
    engine.handle.signal(Signal::KILL);
    cluster.record_exit(&engine.row.name);
    cluster.add_engine(index).await?;
    tokio::time::sleep(ROW_REMOVAL_DELAY).await;
    cluster.write_row(&engine.row, RowState::Exited);
    Ok(())
}

/// Lets an engine leave, and starts a replacement. Kills the engine later. It says in its responses that it leaves;
/// with notice, its row says so as well, or says nothing at each third engine, and without notice it is removed.
async fn remove_engine(
    cluster: &Arc<Cluster>,
    number: usize,
    notice: bool,
    duration: Duration,
) -> Result<()> {
    let index = number % cluster.engine_count();
    let engine = cluster.engine(index);
    let name = &engine.row.name;
    let silent_row = notice && number.is_multiple_of(3);
    engine.handle.signal(Signal::USR1);
    if silent_row {
        // Only the responses tell.
    } else if notice {
        cluster.write_row(&engine.row, RowState::Leaving);
    } else {
        cluster.write_row(&engine.row, RowState::Removed);
    }
    if !silent_row {
        cluster.record_change(Change::Leaving {
            engine: name.to_string(),
        });
    }
    cluster.add_engine(index).await?;
    tokio::time::sleep(duration.max(LEAVE_DURATION)).await;
    cluster.record_fault(FaultScope::Engine, Duration::from_millis(100));
    engine.handle.signal(Signal::KILL);
    cluster.write_row(&engine.row, RowState::Exited);
    Ok(())
}

async fn drain_zone(cluster: &Cluster, number: usize, duration: Duration) {
    let zone = cluster.engine(number).row.zone;
    let engines = cluster.engines_in(&zone);
    cluster.set_drained(&zone, true);
    cluster.record_change(Change::Drained { engines });
    tokio::time::sleep(duration + DRAIN_EXTENSION).await;
    cluster.set_drained(&zone, false);
    cluster.record_change(Change::Restored);
}
