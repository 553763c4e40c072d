//! Short cases with random failures, many at a time and some of them twice.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::deployment::Deployment;
use crate::engine::SECOND;
use crate::faults::{self, Fault};
use crate::naive::Naive;
use crate::product::Product;
use crate::random::Random;
use crate::report::{Table, Target};
use crate::tally::Measures;
use crate::workload::{Job, arrivals};
use crate::world::{Policy, run};

/// The time in which requests arrive.
const LENGTH: u64 = 20 * SECOND;
/// The longest time until each caller was told how its request ended. The naive policy makes
/// four attempts of 60 s.
const END: u64 = LENGTH + 600 * SECOND;
/// The load as a multiple of the capacity.
const LOAD: f64 = 0.7;
/// The part of the cases with a request that crashes its targets.
const POISON: f64 = 0.3;

/// One case under one policy.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// The deployment.
    pub deployment: &'static str,
    /// The seed.
    pub seed: u64,
    /// The measures.
    pub measures: Measures,
}

/// Runs one case under both policies: the product first.
#[must_use]
pub fn case(deployment: &Deployment, seed: u64) -> [Outcome; 2] {
    let jobs = jobs(deployment, seed);
    let faults = faults::draw(deployment, LENGTH, seed);
    let product = outcome(deployment, &jobs, &faults, seed, &mut Product::new(seed));
    let naive = outcome(deployment, &jobs, &faults, seed, &mut Naive::default());
    [product, naive]
}

fn outcome<P: Policy>(
    deployment: &Deployment,
    jobs: &[Job],
    faults: &[(u64, Fault)],
    seed: u64,
    policy: &mut P,
) -> Outcome {
    let core = run(
        deployment,
        jobs.to_vec(),
        faults.to_vec(),
        END,
        seed,
        policy,
    );
    let mut measures = core.tally.measures(deployment, &core.jobs, (0, LENGTH));
    measures.crashes = core.crashes;
    let excess = core.engines.iter().map(|engine| engine.cold_excess());
    measures.cold_excess = excess.max().unwrap_or(0);
    Outcome {
        deployment: deployment.name,
        seed,
        measures,
    }
}

fn jobs(deployment: &Deployment, seed: u64) -> Vec<Job> {
    let mut jobs = arrivals(deployment, LOAD, LENGTH, seed);
    let mut random = Random::new(seed, 2_000);
    if random.chance(POISON) {
        let from = random.below(jobs.len());
        let model = |job: &&mut Job| !deployment.routes[job.route].service;
        if let Some(job) = jobs[from..].iter_mut().find(model) {
            job.poison = true;
        }
    }
    jobs
}

/// The rules that no case may break.
#[must_use]
pub fn violations(measures: &Measures) -> Vec<(&'static str, u64)> {
    let rules = [
        ("run twice", measures.twice),
        ("order repeated", measures.twice_orders),
        ("lost", measures.lost),
        ("refusal that ran", measures.refused_runs),
        ("told twice", measures.extra_conclusions),
    ];
    rules.into_iter().filter(|(_, count)| *count > 0).collect()
}

/// Returns the targets of section 1.3 that a set of cases shows.
#[must_use]
pub fn targets(cases: &[[Outcome; 2]]) -> Vec<Target> {
    let sum = |pick: &dyn Fn(&Measures) -> u64| -> f64 {
        cases
            .iter()
            .map(|[product, _]| pick(&product.measures) as f64)
            .sum()
    };
    let count = cases.len();
    let name = |what: &str| format!("{what}, {count} cases");
    vec![
        Target::at_most(name("requests run twice"), "0", sum(&|m| m.twice), 0.0),
        Target::at_most(name("orders repeated"), "0", sum(&|m| m.twice_orders), 0.0),
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

/// Renders the cases: outcomes by kind, and goodput by route.
#[must_use]
pub fn tables(cases: &[[Outcome; 2]]) -> Vec<Table> {
    let mut kinds = Table::new(&["outcome", "product", "naive"]);
    let mut counts: BTreeMap<String, [u64; 2]> = BTreeMap::new();
    let mut routes: BTreeMap<(&str, &str), [[u64; 2]; 2]> = BTreeMap::new();
    let mut sums = [[0_u64; 7]; 2];
    for case in cases {
        for (policy, outcome) in case.iter().enumerate() {
            let measures = &outcome.measures;
            for (kind, count) in &measures.conclusions {
                counts.entry(kind.clone()).or_default()[policy] += count;
            }
            for (route, tier) in &measures.tiers {
                let goodput = &mut routes.entry((outcome.deployment, route)).or_default()[policy];
                goodput[0] += tier.good_tokens;
                goodput[1] += tier.offered_tokens;
            }
            let values = [
                measures.twice,
                measures.twice_orders,
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
        kinds.row(vec![
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
    for (place, name) in names.into_iter().enumerate() {
        let cell = |policy: usize| sums[policy][place].to_string();
        kinds.row(vec![name.into(), cell(0), cell(1)]);
    }
    let mut goodput = Table::new(&["goodput", "product", "naive"]);
    for ((deployment, route), policies) in &routes {
        let cell = |[good, offered]: [u64; 2]| format!("{:.4}", good as f64 / offered as f64);
        goodput.row(vec![
            format!("{deployment} {route}"),
            cell(policies[0]),
            cell(policies[1]),
        ]);
    }
    vec![kinds, goodput]
}
