//! Plays random faults against the real programs.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

use bpaf::Bpaf;
use ebonylug_soak::{
    Options, Report, Schedule, ScheduleResult, engine, render_page, run_schedule, shrink,
};
use futures_util::stream::{self, StreamExt};

/// The program of entries, beside this one.
const ENTRY_PROGRAM: &str = "ebonylug-adapter";

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
    Run(#[bpaf(external(run_options))] RunOptions),
}

#[derive(Clone, Debug, Bpaf)]
struct RunOptions {
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
    let outcome = match arguments().run() {
        Arguments::Engine { name, address } => run_engine(&name, address).map(|()| true),
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

fn run_engine(name: &str, address: SocketAddr) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let tasks = tokio::task::LocalSet::new();
    tasks.block_on(&runtime, engine::serve(name, address))?;
    Ok(())
}

/// Plays schedules. Returns whether all promises were kept.
fn run_soak(args: &RunOptions) -> Result<bool> {
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(async {
        tokio::select! {
            passed = run_seeds(args) => passed,
            // Dropping the play kills what it has started.
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

/// Drops events while the same promise is broken.
fn shrink_failure(result: &ScheduleResult, options: &Options) -> Result<Schedule> {
    let guarantee = result.violations[0].guarantee;
    let options = Options {
        folder: options.folder.join("shrink"),
        ..options.clone()
    };
    let fails = |schedule: &Schedule| {
        let history = tokio::runtime::Handle::current().block_on(run_schedule(schedule, &options));
        // A play that cannot be started says nothing about the schedule.
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
