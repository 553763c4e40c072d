//! Command line of the soak test, which runs the real programs under random faults.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

use bpaf::Bpaf;
use ebonylug_soak::{
    Event, Fault, Options, Report, Schedule, ScheduleResult, engine, render_page, run_schedule,
    shrink,
};
use futures_util::stream::{self, StreamExt};

/// File name of the entry program, which is in the same folder as this program.
const ENTRY_PROGRAM: &str = "ebonylug-adapter";

/// Run the real programs under random faults and check their guarantees
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Arguments {
    /// Run as an engine; the soak test starts its engines itself
    #[bpaf(command)]
    Engine {
        /// Name of the engine
        #[bpaf(argument("NAME"))]
        name: String,
        /// Address to listen on
        #[bpaf(argument("ADDRESS"))]
        address: SocketAddr,
        /// Milliseconds for which the engine is cold at first
        #[bpaf(argument("MILLISECONDS"), fallback(0))]
        cold: u64,
    },
    Run(#[bpaf(external(run_options))] RunOptions),
}

#[derive(Clone, Debug, Bpaf)]
struct RunOptions {
    /// Number of seeds to run
    #[bpaf(argument("COUNT"), fallback(1))]
    seeds: u64,
    /// First seed
    #[bpaf(argument("SEED"), fallback(1))]
    first: u64,
    /// Draw the first seed at random
    fresh: bool,
    /// Run seeds for this many minutes instead of a fixed number
    #[bpaf(argument("MINUTES"))]
    minutes: Option<u64>,
    /// Number of schedules to run at the same time
    #[bpaf(argument("COUNT"), fallback(1))]
    jobs: usize,
    /// Seconds of load per seed
    #[bpaf(argument("SECONDS"), fallback(10))]
    length: u64,
    /// Number of entries, at most 200
    #[bpaf(argument("COUNT"))]
    entries: Option<usize>,
    /// Number of engines, at most 200
    #[bpaf(argument("COUNT"))]
    engines: Option<usize>,
    /// Number of callers
    #[bpaf(argument("COUNT"))]
    callers: Option<usize>,
    /// Draw no restores of the store, as seeds recorded before 2026-12-07 did
    no_restores: bool,
    /// Draw no cold engines, as seeds recorded before their addition did
    no_cold: bool,
    /// Run the schedule in a file instead of drawn ones
    #[bpaf(argument("FILE"))]
    schedule: Option<PathBuf>,
    /// Shrink schedules that fail
    shrink: bool,
    /// Path of the entry program
    #[bpaf(argument("FILE"))]
    entry: Option<PathBuf>,
    /// Folder for settings, logs and results
    #[bpaf(argument("FOLDER"), fallback(PathBuf::from("target/soak")))]
    folder: PathBuf,
}

type Result<T, E = Box<dyn std::error::Error>> = std::result::Result<T, E>;

fn main() -> ExitCode {
    let outcome = match arguments().run() {
        Arguments::Engine {
            name,
            address,
            cold,
        } => run_engine(&name, address, Duration::from_millis(cold)).map(|()| true),
        Arguments::Run(args) => run_soak(&args),
    };
    match outcome {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("ebonylug-soak: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run_engine(name: &str, address: SocketAddr, cold: Duration) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let tasks = tokio::task::LocalSet::new();
    tasks.block_on(&runtime, engine::serve(name, address, cold))?;
    Ok(())
}

/// Runs the schedules. Returns whether all guarantees held.
fn run_soak(args: &RunOptions) -> Result<bool> {
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(async {
        tokio::select! {
            passed = run_seeds(args) => passed,
            // Dropping the run kills the processes that it has started.
            _ = tokio::signal::ctrl_c() => Err("interrupted".into()),
        }
    })
}

async fn run_seeds(args: &RunOptions) -> Result<bool> {
    let load_duration = Duration::from_secs(args.length);
    let first_seed = if args.fresh {
        rand::random::<u32>().into()
    } else {
        args.first
    };
    let start = Instant::now();
    let has_next = |seed: &u64| match args.minutes {
        Some(minutes) => start.elapsed() < Duration::from_secs(minutes * 60),
        None => *seed < first_seed + args.seeds,
    };
    let mut report = Report::default();
    if let Some(file) = &args.schedule {
        let schedule = serde_json::from_slice(&std::fs::read(file)?)?;
        report.results.push(run_one(args, schedule).await?);
    } else {
        let seeds = stream::iter((first_seed..).take_while(has_next));
        let results = seeds.map(|seed| {
            let mut schedule = Schedule::draw(seed, load_duration);
            if args.no_restores {
                let is_restore = |event: &Event| matches!(event.fault, Fault::RestoreStore(_));
                schedule.events.retain(|event| !is_restore(event));
            }
            if args.no_cold {
                schedule.remove_cold_engines();
            }
            schedule.entries = args.entries.unwrap_or(schedule.entries);
            schedule.engines = args.engines.unwrap_or(schedule.engines);
            schedule.callers = args.callers.unwrap_or(schedule.callers);
            run_one(args, schedule)
        });
        let mut results = std::pin::pin!(results.buffer_unordered(args.jobs.max(1)));
        while let Some(result) = results.next().await {
            report.results.push(result?);
        }
    }
    print!("{}", report.summary());
    std::fs::write(
        args.folder.join("report.json"),
        serde_json::to_vec_pretty(&report)?,
    )?;
    Ok(report.passed())
}

async fn run_one(args: &RunOptions, schedule: Schedule) -> Result<ScheduleResult> {
    let folder = args.folder.join(format!("seed-{}", schedule.seed));
    let options = create_options(args, &folder)?;
    let history = run_schedule(&schedule, &options).await?;
    let mut result = ScheduleResult::new(schedule, &history);
    std::fs::write(folder.join("notes.json"), serde_json::to_vec(&history)?)?;
    std::fs::write(folder.join("page.html"), render_page(&result, &history))?;
    if !result.violations.is_empty() && args.shrink {
        result.schedule = shrink_failure(&result, &options)?;
    }
    let text = serde_json::to_vec_pretty(&result.schedule)?;
    std::fs::write(folder.join("schedule.json"), text)?;
    println!(
        "seed {}: {} requests, {} events, {} breaches",
        result.schedule.seed,
        history.requests.len(),
        result.schedule.events.len(),
        result.violations.len()
    );
    Ok(result)
}

fn create_options(args: &RunOptions, folder: &Path) -> Result<Options> {
    let soak_program = std::env::current_exe()?;
    let entry_program = match &args.entry {
        Some(entry) => entry.clone(),
        None => soak_program.with_file_name(ENTRY_PROGRAM),
    };
    Ok(Options {
        entry_program,
        soak_program,
        folder: folder.to_owned(),
    })
}

/// Shrinks the schedule while the same guarantee is violated.
fn shrink_failure(result: &ScheduleResult, options: &Options) -> Result<Schedule> {
    let guarantee = result.violations[0].guarantee;
    let options = Options {
        folder: options.folder.join("shrink"),
        ..options.clone()
    };
    let fails = |schedule: &Schedule| {
        let history = tokio::runtime::Handle::current().block_on(run_schedule(schedule, &options));
        // A run that cannot be started does not show whether the schedule fails, and counts as passed.
        history.is_ok_and(|history| {
            let result = ScheduleResult::new(schedule.clone(), &history);
            result
                .violations
                .iter()
                .any(|violation| violation.guarantee == guarantee)
        })
    };
    let schedule = result.schedule.clone();
    Ok(tokio::task::block_in_place(|| shrink(schedule, fails)))
}
