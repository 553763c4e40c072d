//! Benchmarks of the product against a naive policy in virtual time.

use bpaf::Bpaf;
use ebonylug_measure::deployment::Deployment;
use ebonylug_measure::rollout::moves::{self, Behaviour};
use ebonylug_measure::rollout::{summary, zones};
use ebonylug_measure::{capacity, dispatch, report, soak};

/// Compares the product's decisions with a naive policy in virtual time.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Queueing, choice of targets and admission at several loads.
    #[bpaf(command)]
    Dispatch {
        /// The number of seeds, from 1 on.
        #[bpaf(argument("N"), fallback(3))]
        seeds: u64,
        /// Runs only this seed.
        #[bpaf(argument("SEED"))]
        seed: Option<u64>,
        /// Runs only this deployment, or only one load of it: fibras, scaleward, fibras:1.5, ...
        #[bpaf(argument("NAME"))]
        case: Option<String>,
        /// Prints the state of the product's fleet every ten seconds.
        trace: bool,
        /// Prints JSON instead of tables.
        json: bool,
    },
    /// Short cases with random failures.
    #[bpaf(command)]
    Soak {
        /// The number of seeds, from 1 on.
        #[bpaf(argument("N"), fallback(1000))]
        seeds: u64,
        /// Runs only this seed.
        #[bpaf(argument("SEED"))]
        seed: Option<u64>,
        /// Runs only this deployment: fibras, scaleward.
        #[bpaf(argument("NAME"))]
        case: Option<String>,
        /// Prints JSON instead of tables.
        json: bool,
    },
    /// Version moves, and zones that leave and return.
    #[bpaf(command)]
    Rollout {
        /// The number of seeds for good versions, from 1 on; each kind of bad version gets a
        /// quarter of them, and zones a tenth.
        #[bpaf(argument("N"), fallback(250))]
        seeds: u64,
        /// Runs only this seed.
        #[bpaf(argument("SEED"))]
        seed: Option<u64>,
        /// Runs only this deployment: fibras, scaleward.
        #[bpaf(argument("NAME"))]
        case: Option<String>,
        /// Prints JSON instead of tables.
        json: bool,
    },
    /// Cost of decisions, memory and control traffic at several sizes.
    #[bpaf(command)]
    Capacity {
        /// Prints JSON instead of tables.
        json: bool,
    },
}

fn main() {
    match command().run() {
        Command::Dispatch {
            seeds,
            seed,
            case,
            trace,
            json,
        } => run_dispatch(seeds, seed, case.as_deref(), trace, json),
        Command::Soak {
            seeds,
            seed,
            case,
            json,
        } => run_soak(seeds, seed, case.as_deref(), json),
        Command::Rollout {
            seeds,
            seed,
            case,
            json,
        } => run_rollout(seeds, seed, case.as_deref(), json),
        Command::Capacity { json } => run_capacity(json),
    }
}

/// Returns the deployment with the given name, or both production deployments without a name.
fn deployments(name: Option<&str>) -> Vec<Deployment> {
    let names = name.map_or(vec!["fibras", "scaleward"], |name| vec![name]);
    let named = |name| {
        Deployment::named(name).unwrap_or_else(|| {
            eprintln!("measure: no case is named {name}");
            std::process::exit(2);
        })
    };
    names.into_iter().map(named).collect()
}

fn run_soak(seeds: u64, seed: Option<u64>, case: Option<&str>, json: bool) {
    let seeds = seed.map_or(1..=seeds, |seed| seed..=seed);
    let mut tasks = Vec::new();
    for deployment in deployments(case) {
        tasks.extend(seeds.clone().map(|seed| (deployment.clone(), seed)));
    }
    let cases =
        ebonylug_measure::parallel(tasks, |(deployment, seed)| soak::case(&deployment, seed));
    let targets = soak::targets(&cases);
    if json {
        let value = serde_json::json!({ "cases": cases, "targets": targets });
        println!("{value:#}");
        return;
    }
    for table in soak::tables(&cases) {
        println!("{table}");
    }
    for [product, _] in &cases {
        for (rule, count) in soak::violations(&product.measures) {
            let (name, seed) = (product.deployment, product.seed);
            println!("violated: {rule} {count}; ebonylug-measure soak --case {name} --seed {seed}");
        }
    }
    println!("{}", report::targets(&targets));
}

fn run_rollout(seeds: u64, seed: Option<u64>, case: Option<&str>, json: bool) {
    let tenth = seed.map_or(1..=seeds.div_ceil(10), |seed| seed..=seed);
    let quarter = seed.map_or(1..=seeds.div_ceil(4), |seed| seed..=seed);
    let seeds = seed.map_or(1..=seeds, |seed| seed..=seed);
    let (mut move_cases, mut zone_cases) = (Vec::new(), Vec::new());
    for deployment in deployments(case) {
        for behaviour in [Behaviour::Good].into_iter().chain(Behaviour::BAD) {
            let seeds = match behaviour {
                Behaviour::Good => seeds.clone(),
                _ => quarter.clone(),
            };
            move_cases.extend(seeds.map(|seed| (deployment.clone(), behaviour, seed)));
        }
        for unreachable in [false, true] {
            zone_cases.extend(
                tenth
                    .clone()
                    .map(|seed| (deployment.clone(), unreachable, seed)),
            );
        }
    }
    let moves = ebonylug_measure::parallel(move_cases, |(deployment, behaviour, seed)| {
        moves::case(&deployment, behaviour, seed)
    });
    let zones = ebonylug_measure::parallel(zone_cases, |(deployment, unreachable, seed)| {
        zones::case(&deployment, unreachable, seed)
    });
    let mut targets = summary::targets(&moves);
    targets.extend(zones::targets(&zones));
    if json {
        let value = serde_json::json!({ "moves": moves, "zones": zones, "targets": targets });
        println!("{value:#}");
        return;
    }
    println!("{}", summary::table(&moves));
    for case in &moves {
        let good = case.behaviour == Behaviour::Good;
        let wrong = good != case.product.in_time || good == case.product.rolled_back;
        if wrong {
            let (name, seed, kind) = (case.deployment, case.seed, case.behaviour);
            println!("wrong: {kind:?}; ebonylug-measure rollout --case {name} --seed {seed}");
        }
    }
    println!("{}", zones::table(&zones));
    println!("{}", report::targets(&targets));
}

fn run_capacity(json: bool) {
    let memory = capacity::memory_slopes();
    let reports = dispatch::report_rate(&Deployment::fibras(), dispatch::CaseLength::default(), 1);
    let report = capacity::measure(memory, reports);
    let targets = capacity::targets(&report);
    if json {
        let value = serde_json::json!({ "report": report, "targets": targets });
        println!("{value:#}");
        return;
    }
    for table in capacity::tables(&report) {
        println!("{table}");
    }
    println!("{}", report::targets(&targets));
}

fn run_dispatch(seeds: u64, seed: Option<u64>, case: Option<&str>, trace: bool, json: bool) {
    let (name, load) = match case.map(|case| case.split_once(':').unwrap_or((case, ""))) {
        Some((name, load)) => (Some(name), load.parse::<f64>().ok()),
        None => (None, None),
    };
    let seeds = seed.map_or(1..=seeds, |seed| seed..=seed);
    let mut tasks = Vec::new();
    for deployment in deployments(name) {
        for at in dispatch::LOADS {
            if load.is_none_or(|load| load == at) {
                tasks.extend(seeds.clone().map(|seed| (deployment.clone(), at, seed)));
            }
        }
    }
    if trace {
        for (deployment, load, seed) in tasks {
            println!("{} {load} seed {seed}", deployment.name);
            for sample in dispatch::trace(&deployment, load, dispatch::CaseLength::default(), seed)
            {
                println!("{sample:?}");
            }
        }
        return;
    }
    let cases: Vec<dispatch::Case> =
        ebonylug_measure::parallel(tasks, |(deployment, load, seed)| {
            dispatch::case(&deployment, load, dispatch::CaseLength::default(), seed)
        });
    let targets = dispatch::targets(&cases);
    if json {
        let value = serde_json::json!({ "cases": cases, "targets": targets });
        println!("{value:#}");
        return;
    }
    for table in dispatch::tables(&cases) {
        println!("{table}");
    }
    println!("{}", report::targets(&targets));
}
