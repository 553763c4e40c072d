//! A zone that is taken out of service or goes dark, and returns.

use serde::Serialize;

use crate::deployment::Deployment;
use crate::engine::SECOND;
use crate::faults::Fault;
use crate::naive::Naive;
use crate::product::Product;
use crate::random::Random;
use crate::report::{Table, Target};
use crate::tally::Measures;
use crate::workload::arrivals;
use crate::world::{Core, Policy, run};

/// The load as a multiple of the capacity of all zones.
const LOAD: f64 = 1.0;
/// When the zone leaves, when it returns, and when the case ends. The baseline polls the store
/// each 5 s, and the zone leaves between two polls.
const TIMES: [u64; 3] = [82 * SECOND, 142 * SECOND, 222 * SECOND];

/// One case under both policies.
#[derive(Clone, Debug, Serialize)]
pub struct Case {
    /// The deployment.
    pub deployment: &'static str,
    /// The seed.
    pub seed: u64,
    /// Whether the zone goes dark; otherwise it is drained.
    pub dark: bool,
    /// The product.
    pub product: Figures,
    /// The baseline.
    pub naive: Figures,
}

/// What was measured while the zone was away and returned.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    /// Dispatches into the zone by second since it was lost; the last counts all later ones.
    pub into: [u64; 8],
    /// Goodput of the most urgent route, of what was offered: the urgent load fits into the zones
    /// that remain.
    pub urgent: f64,
    /// Goodput of all batch routes.
    pub batch: f64,
    /// Unplanned crashes in the whole case.
    pub crashes: u64,
    /// The measures.
    pub measures: Measures,
}

/// Runs one case. The urgent load fits into the zones that remain.
#[must_use]
pub fn case(deployment: &Deployment, dark: bool, seed: u64) -> Case {
    let mut random = Random::new(seed, 4_000);
    let zone = random.below(deployment.zones.len());
    let faults = if dark {
        [Fault::Dark(zone), Fault::Light(zone)]
    } else {
        [Fault::Drain(zone), Fault::Restore(zone)]
    };
    let faults: Vec<(u64, Fault)> = TIMES.into_iter().zip(faults).collect();
    let jobs = arrivals(deployment, LOAD, TIMES[2], seed);
    let end = TIMES[2] * 4;
    let mut product = Product::new(seed);
    let core = run(
        deployment,
        jobs.clone(),
        faults.clone(),
        end,
        seed,
        &mut product,
    );
    let product = figures::<Product>(&core, product.into_lost_zone);
    let mut naive = Naive::default();
    let core = run(deployment, jobs, faults, end, seed, &mut naive);
    let naive = figures::<Naive>(&core, naive.into_lost_zone);
    Case {
        deployment: deployment.name,
        seed,
        dark,
        product,
        naive,
    }
}

fn figures<P: Policy>(core: &Core<P::Message>, into: [u64; 8]) -> Figures {
    let window = (TIMES[0], TIMES[2]);
    let measures = core.tally.measures(&core.deployment, &core.jobs, window);
    let (mut batch, mut offered) = (0, 0);
    for route in core
        .deployment
        .routes
        .iter()
        .filter(|r| !r.tier.is_interactive())
    {
        if let Some(tier) = measures.tiers.get(route.name) {
            batch += tier.good_tokens;
            offered += tier.offered_tokens;
        }
    }
    let urgent = measures.tiers.get(core.deployment.routes[0].name);
    Figures {
        into,
        urgent: urgent.map_or(1.0, |tier| tier.goodput()),
        batch: batch as f64 / f64::max(offered as f64, 1.0),
        crashes: core.crashes,
        measures,
    }
}

/// Returns the targets of section 1.3 that a set of cases shows.
#[must_use]
pub fn targets(cases: &[Case]) -> Vec<Target> {
    let mut targets = Vec::new();
    for dark in [false, true] {
        let here: Vec<&Case> = cases.iter().filter(|case| case.dark == dark).collect();
        let kind = if dark { "dark" } else { "drained" };
        let late: u64 = here
            .iter()
            .map(|c| c.product.into[3..].iter().sum::<u64>())
            .sum();
        targets.push(Target::at_most(
            format!("{kind} zone: dispatches after 3 s, {} cases", here.len()),
            "0",
            late as f64,
            0.0,
        ));
        for deployment in ["fibras", "scaleward"] {
            let own = here.iter().filter(|case| case.deployment == deployment);
            if let Some(worst) = own.map(|c| c.product.urgent).reduce(f64::min) {
                targets.push(Target::at_least(
                    format!("{deployment}, {kind} zone: urgent goodput, worst seed"),
                    ">= 0.99",
                    worst,
                    0.99,
                ));
            }
        }
        let crashes: u64 = here.iter().map(|case| case.product.crashes).sum();
        targets.push(Target::at_most(
            format!("{kind} zone: engines crashed by overload"),
            "0",
            crashes as f64,
            0.0,
        ));
    }
    targets
}

/// Renders the cases.
#[must_use]
pub fn table(cases: &[Case]) -> Table {
    let mut table = Table::new(&[
        "zone",
        "policy",
        "into 0-1 s",
        "1-2 s",
        "2-3 s",
        "later",
        "urgent mean",
        "urgent worst",
        "batch",
        "crashes",
        "lost",
    ]);
    for deployment in ["fibras", "scaleward"] {
        for dark in [false, true] {
            let here: Vec<&Case> = cases
                .iter()
                .filter(|c| c.deployment == deployment && c.dark == dark)
                .collect();
            if here.is_empty() {
                continue;
            }
            for naive in [false, true] {
                let figures: Vec<&Figures> = here
                    .iter()
                    .map(|c| if naive { &c.naive } else { &c.product })
                    .collect();
                let kind = if dark { "dark" } else { "drained" };
                let policy = if naive { "naive" } else { "product" };
                table.row(row(&format!("{deployment} {kind}"), policy, &figures));
            }
        }
    }
    table
}

fn row(label: &str, policy: &str, figures: &[&Figures]) -> Vec<String> {
    let count = figures.len() as f64;
    let mean =
        |pick: &dyn Fn(&Figures) -> f64| figures.iter().map(|f| pick(f)).sum::<f64>() / count;
    let into = |second: usize| format!("{:.1}", mean(&|f| f.into[second] as f64));
    vec![
        label.into(),
        policy.into(),
        into(0),
        into(1),
        into(2),
        format!("{:.1}", mean(&|f| f.into[3..].iter().sum::<u64>() as f64)),
        format!("{:.4}", mean(&|f| f.urgent)),
        format!(
            "{:.4}",
            figures.iter().map(|f| f.urgent).fold(1.0, f64::min)
        ),
        format!("{:.4}", mean(&|f| f.batch)),
        format!("{:.1}", mean(&|f| f.crashes as f64)),
        format!("{:.1}", mean(&|f| f.measures.lost as f64)),
    ]
}
