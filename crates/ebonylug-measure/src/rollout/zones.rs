//! A zone that is drained or becomes unreachable, and recovers.

use serde::Serialize;

use crate::deployment::Deployment;
use crate::engine::SECOND;
use crate::faults::Fault;
use crate::naive::Naive;
use crate::product::Product;
use crate::random::SeededRng;
use crate::recorder::Measures;
use crate::report::{Table, Target};
use crate::simulation::{Policy, Simulation, run};
use crate::workload::arrivals;

/// Load as a multiple of the capacity of all zones.
const LOAD: f64 = 1.0;
/// Times of the loss of the zone, of its recovery and of the end of the case. The baseline polls the
/// store every 5 s, and the zone is lost between two polls.
const TIMES_US: [u64; 3] = [82 * SECOND, 142 * SECOND, 222 * SECOND];

/// One case under both policies.
#[derive(Clone, Debug, Serialize)]
pub struct Case {
    /// Name of the deployment.
    pub deployment: &'static str,
    /// Seed of the case.
    pub seed: u64,
    /// Whether the zone becomes unreachable; otherwise it is drained.
    #[serde(rename = "dark")]
    pub unreachable: bool,
    /// Results with the product.
    pub product: Figures,
    /// Results with the baseline.
    pub naive: Figures,
}

/// Results from the loss of the zone to the end of the case.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    /// Dispatches into the zone, by seconds since its loss. The last element counts all later ones.
    #[serde(rename = "into")]
    pub dispatches: [u64; 8],
    /// Goodput of the most urgent route as a fraction of the offered tokens.
    #[serde(rename = "urgent")]
    pub urgent_goodput: f64,
    /// Goodput of all batch routes as a fraction of the offered tokens.
    #[serde(rename = "batch")]
    pub batch_goodput: f64,
    /// Target crashes in the whole case that no fault injected.
    pub crashes: u64,
    /// Measures from the loss of the zone to the end of the case.
    pub measures: Measures,
}

/// Runs one case. The urgent load fits into the remaining zones.
#[must_use]
pub fn case(deployment: &Deployment, unreachable: bool, seed: u64) -> Case {
    let mut random = SeededRng::new(seed, 4_000);
    let zone = random.index(deployment.zones.len());
    let faults = if unreachable {
        [Fault::ZoneUnreachable(zone), Fault::ZoneReachable(zone)]
    } else {
        [Fault::DrainZone(zone), Fault::RestoreZone(zone)]
    };
    let faults: Vec<(u64, Fault)> = TIMES_US.into_iter().zip(faults).collect();
    let jobs = arrivals(deployment, LOAD, TIMES_US[2], seed);
    let end = TIMES_US[2] * 4;
    let mut product = Product::new(seed);
    let sim = run(
        deployment,
        jobs.clone(),
        faults.clone(),
        end,
        seed,
        &mut product,
    );
    let product = figures::<Product>(&sim, product.lost_zone_dispatches);
    let mut naive = Naive::default();
    let sim = run(deployment, jobs, faults, end, seed, &mut naive);
    let naive = figures::<Naive>(&sim, naive.lost_zone_dispatches);
    Case {
        deployment: deployment.name,
        seed,
        unreachable,
        product,
        naive,
    }
}

fn figures<P: Policy>(sim: &Simulation<P::Message>, dispatches: [u64; 8]) -> Figures {
    let window = (TIMES_US[0], TIMES_US[2]);
    let measures = sim.recorder.measures(&sim.deployment, &sim.jobs, window);
    let (mut batch, mut offered) = (0, 0);
    for route in sim
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
    let urgent = measures.tiers.get(sim.deployment.routes[0].name);
    Figures {
        dispatches,
        urgent_goodput: urgent.map_or(1.0, |tier| tier.goodput()),
        batch_goodput: batch as f64 / f64::max(offered as f64, 1.0),
        crashes: sim.crashes,
        measures,
    }
}

/// Returns the design targets for a set of cases.
#[must_use]
pub fn targets(cases: &[Case]) -> Vec<Target> {
    let mut targets = Vec::new();
    for unreachable in [false, true] {
        let matching: Vec<&Case> = cases
            .iter()
            .filter(|case| case.unreachable == unreachable)
            .collect();
        let kind = if unreachable { "dark" } else { "drained" };
        let late: u64 = matching
            .iter()
            .map(|c| c.product.dispatches[3..].iter().sum::<u64>())
            .sum();
        targets.push(Target::at_most(
            format!(
                "{kind} zone: dispatches after 3 s, {} cases",
                matching.len()
            ),
            "0",
            late as f64,
            0.0,
        ));
        for deployment in ["fibras", "scaleward"] {
            let same = matching.iter().filter(|case| case.deployment == deployment);
            if let Some(worst) = same.map(|c| c.product.urgent_goodput).reduce(f64::min) {
                targets.push(Target::at_least(
                    format!("{deployment}, {kind} zone: urgent goodput, worst seed"),
                    ">= 0.99",
                    worst,
                    0.99,
                ));
            }
        }
        let crashes: u64 = matching.iter().map(|case| case.product.crashes).sum();
        targets.push(Target::at_most(
            format!("{kind} zone: engines crashed by overload"),
            "0",
            crashes as f64,
            0.0,
        ));
    }
    targets
}

/// Returns a table of the cases by deployment and kind of loss.
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
        for unreachable in [false, true] {
            let matching: Vec<&Case> = cases
                .iter()
                .filter(|c| c.deployment == deployment && c.unreachable == unreachable)
                .collect();
            if matching.is_empty() {
                continue;
            }
            for naive in [false, true] {
                let figures: Vec<&Figures> = matching
                    .iter()
                    .map(|c| if naive { &c.naive } else { &c.product })
                    .collect();
                let kind = if unreachable { "dark" } else { "drained" };
                let policy = if naive { "naive" } else { "product" };
                table.add_row(table_row(&format!("{deployment} {kind}"), policy, &figures));
            }
        }
    }
    table
}

fn table_row(label: &str, policy: &str, figures: &[&Figures]) -> Vec<String> {
    let count = figures.len() as f64;
    let mean =
        |pick: &dyn Fn(&Figures) -> f64| figures.iter().map(|f| pick(f)).sum::<f64>() / count;
    let into = |second: usize| format!("{:.1}", mean(&|f| f.dispatches[second] as f64));
    vec![
        label.into(),
        policy.into(),
        into(0),
        into(1),
        into(2),
        format!(
            "{:.1}",
            mean(&|f| f.dispatches[3..].iter().sum::<u64>() as f64)
        ),
        format!("{:.4}", mean(&|f| f.urgent_goodput)),
        format!(
            "{:.4}",
            figures.iter().map(|f| f.urgent_goodput).fold(1.0, f64::min)
        ),
        format!("{:.4}", mean(&|f| f.batch_goodput)),
        format!("{:.1}", mean(&|f| f.crashes as f64)),
        format!("{:.1}", mean(&|f| f.measures.lost as f64)),
    ]
}
