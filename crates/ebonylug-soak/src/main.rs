//! Plays random faults against the real programs.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

use bpaf::Bpaf;
use ebonylug_soak::{Options, Played, Report, Schedule, engine, page, play, shrink};
use futures_util::stream::{self, StreamExt};

/// The program of entries, beside this one.
const ENTRY: &str = "ebonylug-adapter";

/// Plays random faults against the real programs and checks their promises
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Arguments {
    /// Be an engine; the soak starts these itself
    #[bpaf(command)]
    Engine {
        /// The name
        #[bpaf(argument("NAME"))]
        name: String,
        /// Where it listens
        #[bpaf(argument("ADDRESS"))]
        address: SocketAddr,
    },
    Run(#[bpaf(external(run))] Run),
}

#[derive(Clone, Debug, Bpaf)]
struct Run {
    /// Play so many seeds
    #[bpaf(argument("COUNT"), fallback(1))]
    seeds: u64,
    /// The first seed
    #[bpaf(argument("SEED"), fallback(1))]
    first: u64,
    /// Draw the first seed anew
    fresh: bool,
    /// Play seeds for so long instead
    #[bpaf(argument("MINUTES"))]
    minutes: Option<u64>,
    /// Play so many schedules at once
    #[bpaf(argument("COUNT"), fallback(1))]
    jobs: usize,
    /// Seconds of load for each seed
    #[bpaf(argument("SECONDS"), fallback(10))]
    length: u64,
    /// Entries, at most 200
    #[bpaf(argument("COUNT"))]
    entries: Option<usize>,
    /// Engines, at most 200
    #[bpaf(argument("COUNT"))]
    engines: Option<usize>,
    /// Callers
    #[bpaf(argument("COUNT"))]
    callers: Option<usize>,
    /// Play the schedule of a file instead
    #[bpaf(argument("FILE"))]
    schedule: Option<PathBuf>,
    /// Make schedules that fail smaller
    shrink: bool,
    /// The program of entries
    #[bpaf(argument("FILE"))]
    entry: Option<PathBuf>,
    /// The folder for settings, logs and results
    #[bpaf(argument("FOLDER"), fallback(PathBuf::from("target/soak")))]
    folder: PathBuf,
}

type Result<T, E = Box<dyn std::error::Error>> = std::result::Result<T, E>;

fn main() -> ExitCode {
    let done = match arguments().run() {
        Arguments::Engine { name, address } => serve(&name, address).map(|()| true),
        Arguments::Run(run) => soak(&run),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("ebonylug-soak: {error}");
            ExitCode::FAILURE
        }
    }
}

fn serve(name: &str, address: SocketAddr) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let tasks = tokio::task::LocalSet::new();
    tasks.block_on(&runtime, engine::serve(name, address))?;
    Ok(())
}

/// Plays schedules. Returns whether all promises were kept.
fn soak(run: &Run) -> Result<bool> {
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(async {
        tokio::select! {
            kept = schedules(run) => kept,
            // Dropping the play kills what it has started.
            _ = tokio::signal::ctrl_c() => Err("interrupted".into()),
        }
    })
}

async fn schedules(run: &Run) -> Result<bool> {
    let length = Duration::from_secs(run.length);
    let first = if run.fresh {
        rand::random::<u32>().into()
    } else {
        run.first
    };
    let begun = Instant::now();
    let goes_on = |seed: &u64| match run.minutes {
        Some(minutes) => begun.elapsed() < Duration::from_secs(minutes * 60),
        None => *seed < first + run.seeds,
    };
    let mut report = Report::default();
    if let Some(file) = &run.schedule {
        let schedule = serde_json::from_slice(&std::fs::read(file)?)?;
        report.played.push(one(run, schedule).await?);
    } else {
        let seeds = stream::iter((first..).take_while(goes_on));
        let plays = seeds.map(|seed| {
            let mut schedule = Schedule::draw(seed, length);
            schedule.entries = run.entries.unwrap_or(schedule.entries);
            schedule.engines = run.engines.unwrap_or(schedule.engines);
            schedule.callers = run.callers.unwrap_or(schedule.callers);
            one(run, schedule)
        });
        let mut plays = std::pin::pin!(plays.buffer_unordered(run.jobs.max(1)));
        while let Some(played) = plays.next().await {
            report.played.push(played?);
        }
    }
    print!("{}", report.text());
    std::fs::write(
        run.folder.join("report.json"),
        serde_json::to_vec_pretty(&report)?,
    )?;
    Ok(report.is_kept())
}

async fn one(run: &Run, schedule: Schedule) -> Result<Played> {
    let folder = run.folder.join(format!("seed-{}", schedule.seed));
    let options = options(run, &folder)?;
    let notes = play(&schedule, &options).await?;
    let mut played = Played::new(schedule, &notes);
    std::fs::write(folder.join("notes.json"), serde_json::to_vec(&notes)?)?;
    std::fs::write(folder.join("page.html"), page(&played, &notes))?;
    if !played.breaches.is_empty() && run.shrink {
        played.schedule = smaller(&played, &options)?;
    }
    let text = serde_json::to_vec_pretty(&played.schedule)?;
    std::fs::write(folder.join("schedule.json"), text)?;
    println!(
        "seed {}: {} requests, {} events, {} breaches",
        played.schedule.seed,
        notes.asks.len(),
        played.schedule.events.len(),
        played.breaches.len()
    );
    Ok(played)
}

fn options(run: &Run, folder: &Path) -> Result<Options> {
    let soak = std::env::current_exe()?;
    let entry = match &run.entry {
        Some(entry) => entry.clone(),
        None => soak.with_file_name(ENTRY),
    };
    Ok(Options {
        entry,
        soak,
        folder: folder.to_owned(),
    })
}

/// Drops events while the same promise is broken.
fn smaller(played: &Played, options: &Options) -> Result<Schedule> {
    let broken = played.breaches[0].promise;
    let options = Options {
        folder: options.folder.join("shrink"),
        ..options.clone()
    };
    let fails = |schedule: &Schedule| {
        let notes = tokio::runtime::Handle::current().block_on(play(schedule, &options));
        // A play that cannot be started says nothing about the schedule.
        notes.is_ok_and(|notes| {
            let played = Played::new(schedule.clone(), &notes);
            played
                .breaches
                .iter()
                .any(|breach| breach.promise == broken)
        })
    };
    let schedule = played.schedule.clone();
    Ok(tokio::task::block_in_place(|| shrink(schedule, fails)))
}
