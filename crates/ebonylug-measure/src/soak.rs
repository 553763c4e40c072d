//! Many short cases with random faults.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::deployment::Deployment;
use crate::engine::SECOND;
use crate::faults::{self, Fault};
use crate::naive::Naive;
use crate::product::Product;
use crate::random::SeededRng;
use crate::recorder::Measures;
use crate::report::{Table, Target};
use crate::simulation::{Policy, run};
use crate::workload::{Job, arrivals};

/// Period in which requests arrive.
const ARRIVAL_TIME_US: u64 = 20 * SECOND;
/// Time limit for the conclusion of each request. The naive policy makes four attempts of 60 s
/// each.
const MAX_TIME_US: u64 = ARRIVAL_TIME_US + 600 * SECOND;
/// Load as a multiple of the capacity.
const LOAD: f64 = 0.7;
/// Fraction of the cases with a poison request, which crashes its targets.
const POISON_FRACTION: f64 = 0.3;

/// Result of one case under one policy.
#[derive(Clone, Debug, Serialize)]
pub struct PolicyResult {
    /// Name of the deployment.
    pub deployment: &'static str,
    /// Seed of the case.
    pub seed: u64,
    /// Measures over all requests.
    pub measures: Measures,
}

/// Runs one case under both policies; the product is first.
#[must_use]
pub fn case(deployment: &Deployment, seed: u64) -> [PolicyResult; 2] {
    let jobs = jobs(deployment, seed);
    let faults = faults::draw(deployment, ARRIVAL_TIME_US, seed);
    let product = run_policy(deployment, &jobs, &faults, seed, &mut Product::new(seed));
    let naive = run_policy(deployment, &jobs, &faults, seed, &mut Naive::default());
    [product, naive]
}

fn run_policy<P: Policy>(
    deployment: &Deployment,
    jobs: &[Job],
    faults: &[(u64, Fault)],
    seed: u64,
    policy: &mut P,
) -> PolicyResult {
    let sim = run(
        deployment,
        jobs.to_vec(),
        faults.to_vec(),
        MAX_TIME_US,
        seed,
        policy,
    );
    let mut measures = sim
        .recorder
        .measures(deployment, &sim.jobs, (0, ARRIVAL_TIME_US));
    measures.crashes = sim.crashes;
    let excess = sim.engines.iter().map(|engine| engine.cold_excess());
    measures.cold_excess = excess.max().unwrap_or(0);
    PolicyResult {
        deployment: deployment.name,
        seed,
        measures,
    }
}

fn jobs(deployment: &Deployment, seed: u64) -> Vec<Job> {
    let mut jobs = arrivals(deployment, LOAD, ARRIVAL_TIME_US, seed);
    let mut random = SeededRng::new(seed, 2_000);
    if random.chance(POISON_FRACTION) {
        let from = random.index(jobs.len());
        let model = |job: &&mut Job| !deployment.routes[job.route].service;
        if let Some(job) = jobs[from..].iter_mut().find(model) {
            job.poison = true;
        }
    }
    jobs
}

/// Returns the invariants that a case violated, with the number of violations.
#[must_use]
pub fn violations(measures: &Measures) -> Vec<(&'static str, u64)> {
    let rules = [
        ("run twice", measures.reruns),
        ("order repeated", measures.rerun_orders),
        ("lost", measures.lost),
        ("refusal that ran", measures.refused_runs),
        ("told twice", measures.extra_conclusions),
    ];
    rules.into_iter().filter(|(_, count)| *count > 0).collect()
}

/// Returns the design targets for a set of cases.
#[must_use]
pub fn targets(cases: &[[PolicyResult; 2]]) -> Vec<Target> {
    let sum = |pick: &dyn Fn(&Measures) -> u64| -> f64 {
        cases
            .iter()
            .map(|[product, _]| pick(&product.measures) as f64)
            .sum()
    };
    let count = cases.len();
    let name = |what: &str| format!("{what}, {count} cases");
    vec![
        Target::at_most(name("requests run twice"), "0", sum(&|m| m.reruns), 0.0),
        Target::at_most(name("orders repeated"), "0", sum(&|m| m.rerun_orders), 0.0),
        Target::at_most(name("requests lost"), "0", sum(&|m| m.lost), 0.0),
        Target::at_most(
            name("refusals that ran"),
            "0",
            sum(&|m| m.refused_runs),
            0.0,
        ),
        Target::at_most(
            name("callers told twice"),
            "0",
            sum(&|m| m.extra_conclusions),
            0.0,
        ),
    ]
}

/// Returns tables of the outcomes by kind and of the goodput by route.
#[must_use]
pub fn tables(cases: &[[PolicyResult; 2]]) -> Vec<Table> {
    let mut kinds = Table::new(&["outcome", "product", "naive"]);
    let mut counts: BTreeMap<String, [u64; 2]> = BTreeMap::new();
    let mut routes: BTreeMap<(&str, &str), [[u64; 2]; 2]> = BTreeMap::new();
    let mut sums = [[0_u64; 7]; 2];
    for case in cases {
        for (policy, result) in case.iter().enumerate() {
            let measures = &result.measures;
            for (kind, count) in &measures.conclusions {
                counts.entry(kind.clone()).or_default()[policy] += count;
            }
            for (route, tier) in &measures.tiers {
                let goodput = &mut routes.entry((result.deployment, route)).or_default()[policy];
                goodput[0] += tier.good_tokens;
                goodput[1] += tier.offered_tokens;
            }
            let values = [
                measures.reruns,
                measures.rerun_orders,
                measures.lost,
                measures.refused_runs,
                measures.extra_conclusions,
                measures.crashes,
                u64::from(measures.cold_excess > 1),
            ];
            for (sum, value) in sums[policy].iter_mut().zip(values) {
                *sum += value;
            }
        }
    }
    for (kind, count) in &counts {
        kinds.add_row(vec![
            kind.clone(),
            count[0].to_string(),
            count[1].to_string(),
        ]);
    }
    let names = [
        "run twice",
        "orders repeated",
        "lost",
        "refusals that ran",
        "told twice",
        "unplanned crashes",
        "cold excess > 1, also by silent cold",
    ];
    for (row, name) in names.into_iter().enumerate() {
        let cell = |policy: usize| sums[policy][row].to_string();
        kinds.add_row(vec![name.into(), cell(0), cell(1)]);
    }
    let mut goodput = Table::new(&["goodput", "product", "naive"]);
    for ((deployment, route), policies) in &routes {
        let cell = |[good, offered]: [u64; 2]| format!("{:.4}", good as f64 / offered as f64);
        goodput.add_row(vec![
            format!("{deployment} {route}"),
            cell(policies[0]),
            cell(policies[1]),
        ]);
    }
    vec![kinds, goodput]
}
