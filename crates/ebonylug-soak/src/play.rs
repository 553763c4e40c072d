use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use ebonylug_adapter::standin::Fault as StoreFault;
use ebonylug_dispatch::{Target, TargetState};
use rustix::process::Signal;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use crate::caller::{self, Shared};
use crate::notes::{Change, Notes, Trouble, now};
use crate::proxy::Mode;
use crate::schedule::{Event, Fault, Schedule};
use crate::world::{self, World, lock};
use crate::{Error, Result};

/// Time for all entries to be ready at the start.
const START: Duration = Duration::from_secs(30);
/// The grace of a planned stop, which the settings of the entries state, and time to be seen as ended.
const GRACE: Duration = Duration::from_secs(9);
/// Time after SIGTERM at which the balancer sends no new connections: two questions a second apart.
const BALANCER: Duration = Duration::from_secs(2);
/// Time for which an engine that leaves goes on.
const LEAVES: Duration = Duration::from_secs(5);
/// Time after which the row of an engine that crashed is gone.
const ROW_GONE: Duration = Duration::from_millis(3_600);
/// Time added to a drained zone, so that the bound on it can be checked.
const DRAINED: Duration = Duration::from_secs(5);
/// Time that requests may take after the end of the load.
const REST: Duration = Duration::from_secs(10);

/// Where programs and files are.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program of entries.
    pub entry: PathBuf,
    /// This program, which also plays engines.
    pub soak: PathBuf,
    /// The folder for settings and logs. What it holds is removed.
    pub folder: PathBuf,
}

/// Plays a schedule, and returns what was seen.
///
/// # Errors
///
/// Fails if processes cannot be started. What they do later is noted.
pub async fn play(schedule: &Schedule, options: &Options) -> Result<Notes> {
    world::folder(&options.folder)?;
    let world = World::start(options.clone(), schedule.entries, schedule.engines).await?;
    wait_ready(&world).await?;
    lock(&world.notes).started = now();
    let (asks, mut seen) = mpsc::unbounded_channel();
    let shared = Shared::new(world.open.subscribe(), asks);
    let (stop, stopped) = watch::channel(false);
    let callers: Vec<_> = (0..schedule.callers)
        .map(|number| {
            let seed = schedule
                .seed
                .wrapping_mul(1_000)
                .wrapping_add(number as u64);
            tokio::spawn(caller::run(Arc::clone(&shared), seed, stopped.clone()))
        })
        .collect();
    let begun = Instant::now();
    let events: Vec<_> = schedule
        .events
        .iter()
        .map(|&event| tokio::spawn(cause(Arc::clone(&world), Arc::clone(&shared), begun, event)))
        .collect();
    tokio::time::sleep_until(begun + schedule.length).await;
    stop.send_replace(true);
    for task in callers.into_iter().chain(events) {
        // One that takes longer is aborted with the play; its request is then not judged.
        let _ = tokio::time::timeout(REST, task).await;
    }
    finish(&world).await;
    seen.close();
    let mut notes = std::mem::take(&mut *lock(&world.notes));
    while let Ok(ask) = seen.try_recv() {
        notes.asks.push(ask);
    }
    Ok(notes)
}

/// Stops all entries as planned.
async fn finish(world: &Arc<World>) {
    world.close();
    let stops = (0..world.entries.len()).filter_map(|place| {
        // Entries that were paused at the end go on first.
        world.signal(place, Signal::CONT);
        Some((place, world.signal(place, Signal::TERM)?))
    });
    let stops: Vec<(usize, u32)> = stops.collect();
    let end = Instant::now() + GRACE;
    for (place, start) in stops {
        while world.lives(place, start) && Instant::now() < end {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        if world.lives(place, start) {
            world.overdue(place);
        }
    }
}

/// Waits until all entries have said that they are ready.
async fn wait_ready(world: &World) -> Result<()> {
    let mut open = world.open.subscribe();
    let all = open.wait_for(|open| open.len() == world.entries.len());
    match tokio::time::timeout(START, all).await {
        Ok(_) => Ok(()),
        Err(_) => Err(Error::Start("not all entries are ready".into())),
    }
}

/// Carries an event out at its time, and notes if that cannot be done.
async fn cause(world: Arc<World>, shared: Arc<Shared>, begun: Instant, event: Event) {
    tokio::time::sleep_until(begun + event.at).await;
    if let Err(error) = carry_out(&world, &shared, event).await {
        let seen = format!("the soak could not go on: {error}");
        lock(&world.notes).ends.push((now(), seen));
    }
}

async fn carry_out(world: &Arc<World>, shared: &Shared, event: Event) -> Result<()> {
    let lasts = event.lasts;
    let entry = |number: usize| number % world.entries.len();
    let all: Vec<usize> = (0..world.entries.len()).collect();
    match event.fault {
        Fault::Kill(n) => {
            world.trouble(Trouble::Entry(entry(n)), Duration::from_secs(1));
            world.signal(entry(n), Signal::KILL);
        }
        Fault::Stop(n) => stop(world, entry(n)).await,
        Fault::Pause(n) => {
            world.trouble(Trouble::Entry(entry(n)), lasts);
            world.signal(entry(n), Signal::STOP);
            tokio::time::sleep(lasts).await;
            world.signal(entry(n), Signal::CONT);
        }
        Fault::Reload(n) => {
            let written = world.change_settings(entry(n));
            world.signal(entry(n), Signal::HUP);
            written?;
        }
        Fault::Busy(n) => store(world, &[entry(n)], StoreFault::Unavailable, lasts).await,
        Fault::Reset(n) => store(world, &[entry(n)], StoreFault::Reset, lasts).await,
        Fault::Lost(n) => store(world, &[entry(n)], StoreFault::DropResponse, lasts).await,
        Fault::Silent => store(world, &all, StoreFault::Hang, lasts).await,
        Fault::Slow => {
            let slow = StoreFault::Delay(Duration::from_millis(300));
            store(world, &all, slow, lasts).await;
        }
        Fault::Compact => world.rows.compact(),
        Fault::Crash(n) => crash(world, n).await?,
        Fault::Leave(n) => leave(world, n, true).await?,
        Fault::Vanish(n) => leave(world, n, false).await?,
        Fault::Stall(n) => {
            let engine = world.engine(n);
            world.trouble(Trouble::Engine, lasts);
            engine.handle.signal(Signal::STOP);
            tokio::time::sleep(lasts).await;
            engine.handle.signal(Signal::CONT);
        }
        Fault::Break(n) => harm(world, n, Mode::Reset, lasts).await,
        Fault::Delay(n) => harm(world, n, Mode::Delay(Duration::from_millis(200)), lasts).await,
        // Longer than the time limit of requests, mostly.
        Fault::Mute(n) => harm(world, n, Mode::Mute, lasts * 2).await,
        Fault::OneWay(n) => harm(world, n, Mode::OneWay, lasts * 2).await,
        Fault::Route => {
            let version = world.add_route();
            shared.newest.fetch_max(version, Ordering::Relaxed);
        }
        Fault::Revoke => world.revoke(),
        Fault::Drain(n) => drain(world, n, lasts).await,
    }
    Ok(())
}

async fn stop(world: &Arc<World>, place: usize) {
    let Some(start) = world.signal(place, Signal::TERM) else {
        return;
    };
    let begun = Instant::now();
    tokio::time::sleep(BALANCER).await;
    if world.lives(place, start) {
        world.leave_out(place);
    }
    let from = now();
    tokio::time::sleep_until(begun + GRACE).await;
    if !world.lives(place, start) {
        return;
    }
    let paused = lock(&world.notes)
        .troubles
        .iter()
        .any(|span| span.what == Trouble::Entry(place) && span.to >= from.saturating_sub(2_000));
    if paused {
        // The pause counts against the grace, but it is not the process's fault.
        world.signal(place, Signal::KILL);
    } else {
        world.overdue(place);
    }
}

async fn store(world: &World, places: &[usize], fault: StoreFault, lasts: Duration) {
    for &place in places {
        world.trouble(Trouble::Store(place), lasts);
        world.entries[place].gate.set(fault);
    }
    tokio::time::sleep(lasts).await;
    for &place in places {
        world.entries[place].gate.set(StoreFault::None);
    }
}

async fn harm(world: &World, place: usize, mode: Mode, lasts: Duration) {
    let engine = world.engine(place);
    world.trouble(Trouble::Engine, lasts);
    engine.proxy.set(mode);
    tokio::time::sleep(lasts).await;
    engine.proxy.set(Mode::Pass);
}

async fn crash(world: &Arc<World>, number: usize) -> Result<()> {
    let place = number % world.engine_count();
    let engine = world.engine(place);
    world.trouble(Trouble::Engine, ROW_GONE);
    engine.handle.signal(Signal::KILL);
    world.add_engine(place).await?;
    tokio::time::sleep(ROW_GONE).await;
    world.rows.remove_target(&engine.row.name);
    Ok(())
}

/// Lets an engine leave, with a row that says so or without a row, and another take its place.
async fn leave(world: &Arc<World>, number: usize, notice: bool) -> Result<()> {
    let place = number % world.engine_count();
    let engine = world.engine(place);
    let name = &engine.row.name;
    if notice {
        world.rows.put_target(&Target {
            state: TargetState::Leaving,
            ..engine.row.clone()
        });
    } else {
        world.rows.remove_target(name);
    }
    world.note(Change::Leaves {
        engine: name.to_string(),
    });
    world.add_engine(place).await?;
    tokio::time::sleep(LEAVES).await;
    world.trouble(Trouble::Engine, Duration::from_millis(100));
    engine.handle.signal(Signal::KILL);
    world.rows.remove_target(name);
    Ok(())
}

async fn drain(world: &World, number: usize, lasts: Duration) {
    let zone = world.engine(number).row.zone;
    let engines = world.engines_of(&zone);
    world.rows.drain_zone(&zone);
    world.note(Change::Drained { engines });
    tokio::time::sleep(lasts + DRAINED).await;
    world.rows.restore_zone(&zone);
    world.note(Change::Restored);
}
