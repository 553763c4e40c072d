//! Runs both sample deployments for about 30 s and checks their guarantees.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use ebonylug_demo::scenarios;
use ebonylug_net::logs;

/// Runs both sample deployments on loopback, injects failures and judges the promises
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// Write the time line as one HTML page
    #[bpaf(argument("FILE"))]
    html: Option<PathBuf>,
    /// Show log lines of the processes
    verbose: bool,
}

/// Bound on the duration of both scenarios.
const TIMEOUT: Duration = Duration::from_secs(120);

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = arguments().run();
    let _log = arguments.verbose.then(|| logs::start(logs::Format::Text));
    match tokio::time::timeout(TIMEOUT, run(&arguments)).await {
        Ok(Ok(true)) => ExitCode::SUCCESS,
        Ok(Ok(false)) => {
            eprintln!("ebonylug-demo: a promise was broken");
            ExitCode::FAILURE
        }
        Ok(Err(error)) => {
            eprintln!("ebonylug-demo: {error}");
            ExitCode::FAILURE
        }
        Err(_) => {
            eprintln!("ebonylug-demo: not finished in time");
            ExitCode::FAILURE
        }
    }
}

async fn run(arguments: &Arguments) -> ebonylug_demo::Result<bool> {
    let (fibras, scaleward) = tokio::try_join!(scenarios::fibras(), scenarios::scaleward())?;
    let mut passed = true;
    for report in [&fibras, &scaleward] {
        println!("\n{}\n{}", report.name, report.outcomes);
        for check in &report.checks {
            passed &= check.passed;
            println!("{check}");
        }
    }
    println!(
        "\ntime line of the fibras division, without requests\n{}",
        fibras.timeline_summary()
    );
    println!(
        "time line of Scaleward, without requests\n{}",
        scaleward.timeline_summary()
    );
    if let Some(path) = &arguments.html {
        std::fs::write(path, scaleward.timeline.to_html("Scaleward Kettle Care"))?;
        println!("time line written to {}", path.display());
    }
    Ok(passed)
}
