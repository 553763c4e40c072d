//! Queueing, choice of targets and admission against the baseline, at several loads.

use serde::Serialize;

use crate::deployment::Deployment;
use crate::engine::SECOND;
use crate::faults::Fault;
use crate::naive::Naive;
use crate::product::{Product, Sample};
use crate::random::Random;
use crate::report::{Table, Target};
use crate::tally::Measures;
use crate::workload::arrivals;
use crate::world::{Core, Policy, run};

/// The loads, as multiples of the capacity.
pub const LOADS: [f64; 4] = [0.7, 1.0, 1.5, 3.0];

/// Time after the last deadline in which requests that run at their deadline end. The longest answers
/// take some minutes on an engine that is shared with urgent work.
const LAST_ANSWERS: u64 = 600 * SECOND;

/// The length of a case.
#[derive(Clone, Copy, Debug)]
pub struct Length {
    /// Time before the measured window, in which the limits adapt.
    pub warm_up: u64,
    /// The measured window.
    pub window: u64,
}

impl Default for Length {
    fn default() -> Self {
        Length {
            warm_up: 60 * SECOND,
            window: 240 * SECOND,
        }
    }
}

/// One case under both policies.
#[derive(Clone, Debug, Serialize)]
pub struct Case {
    /// The deployment.
    pub deployment: &'static str,
    /// The load as a multiple of the capacity.
    pub load: f64,
    /// The seed.
    pub seed: u64,
    /// The capacity of the model engines in seconds of work per second.
    pub capacity: f64,
    /// Work that batch requests offered, per second.
    pub batch_offered: f64,
    /// The product.
    pub product: Figures,
    /// The baseline.
    pub naive: Figures,
}

/// The measures of a case, with the figures that need the capacity.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    /// The measures.
    pub measures: Measures,
    /// Batch goodput as a part of the capacity that urgent work leaves, or of what was offered,
    /// whichever is less.
    pub batch_part: f64,
    /// The part of the time that model engines are down or cold, and the part that their
    /// sidecars take them for so.
    pub cold: [f64; 2],
}

/// Runs one case.
#[must_use]
pub fn case(deployment: &Deployment, load: f64, length: Length, seed: u64) -> Case {
    let total = length.warm_up + length.window;
    let (capacity, _) = deployment.capacity();
    let jobs = arrivals(deployment, load, total, seed);
    let faults = restarts(deployment, length, seed);
    let batch = jobs.iter().filter(|job| {
        let route = &deployment.routes[job.route];
        !route.tier.is_interactive()
    });
    let work: f64 = batch
        .map(|job| job.work(&deployment.routes[job.route]))
        .sum();
    let batch_offered = work * SECOND as f64 / total as f64;
    let due = jobs.iter().map(|job| job.deadline).max().unwrap_or(total);
    let end = due.max(3 * total) + LAST_ANSWERS;
    let window = (length.warm_up, total);
    let mut product = Product::new(seed);
    let core = run(
        deployment,
        jobs.clone(),
        faults.clone(),
        end,
        seed,
        &mut product,
    );
    let [cold, taken, all] = product.cold_looks.map(|looks| looks as f64);
    let mut product = figures::<Product>(&core, window, capacity, batch_offered);
    product.cold = [cold / all, taken / all];
    let mut naive = Naive::default();
    let core = run(deployment, jobs, faults, end, seed, &mut naive);
    let naive = figures::<Naive>(&core, window, capacity, batch_offered);
    Case {
        deployment: deployment.name,
        load,
        seed,
        capacity,
        batch_offered,
        product,
        naive,
    }
}

/// Runs one case under the product alone and returns the state of its fleet over time.
#[must_use]
pub fn trace(deployment: &Deployment, load: f64, length: Length, seed: u64) -> Vec<Sample> {
    let total = length.warm_up + length.window;
    let jobs = arrivals(deployment, load, total, seed);
    let faults = restarts(deployment, length, seed);
    let mut product = Product::new(seed);
    run(deployment, jobs, faults, total, seed, &mut product);
    product.samples
}

/// Returns the number of reports of a target per second at load 1.
#[must_use]
pub fn report_rate(deployment: &Deployment, length: Length, seed: u64) -> f64 {
    let total = length.warm_up + length.window;
    let jobs = arrivals(deployment, 1.0, total, seed);
    let mut product = Product::new(seed);
    run(deployment, jobs, Vec::new(), total, seed, &mut product);
    product.reports() * SECOND as f64 / total as f64
}

/// Crashes one engine each minute, so that a cold start is part of each case.
fn restarts(deployment: &Deployment, length: Length, seed: u64) -> Vec<(u64, Fault)> {
    let mut random = Random::new(seed, 500);
    let models = deployment
        .targets
        .iter()
        .filter(|target| matches!(target.kind, crate::engine::Kind::Model(_)));
    let models = models.count();
    let mut faults = Vec::new();
    if models < 2 {
        return faults;
    }
    let mut at = length.warm_up + 20 * SECOND;
    while at + 40 * SECOND < length.warm_up + length.window {
        faults.push((at, Fault::Crash(random.below(models))));
        at += 60 * SECOND;
    }
    faults
}

fn figures<P: Policy>(
    core: &Core<P::Message>,
    window: (u64, u64),
    capacity: f64,
    batch_offered: f64,
) -> Figures {
    let mut measures = core.tally.measures(&core.deployment, &core.jobs, window);
    measures.cold_excess = core
        .engines
        .iter()
        .map(|e| e.cold_excess())
        .max()
        .unwrap_or(0);
    measures.crashes = core.crashes;
    let seconds = (window.1 - window.0) as f64 / SECOND as f64;
    let left = capacity - measures.urgent_done / seconds;
    let batch_part = measures.batch_done / seconds / left.min(batch_offered).max(1e-9);
    Figures {
        measures,
        batch_part,
        cold: [0.0; 2],
    }
}

/// Returns the targets of section 1.3 that a set of cases shows.
#[must_use]
pub fn targets(cases: &[Case]) -> Vec<Target> {
    let mut targets = Vec::new();
    let worst = |name: &str, pick: &dyn Fn(&Case) -> Option<f64>, low: bool| {
        let figures = cases
            .iter()
            .filter(|c| c.deployment == name)
            .filter_map(pick);
        let worst = if low { f64::min } else { f64::max };
        figures.reduce(worst)
    };
    for name in ["fibras", "scaleward"] {
        let urgent = if name == "fibras" {
            "quotations"
        } else {
            "counter"
        };
        let at = |load: f64| move |case: &Case| case.load == load;
        let tier = move |case: &Case, route: &str| {
            let tier = case.product.measures.tiers.get(route);
            tier.map(crate::tally::Tier::goodput)
        };
        let mut push = |target: Option<Target>| targets.extend(target);
        let figure = worst(name, &|c| tier(c, urgent).filter(|_| at(3.0)(c)), true);
        push(figure.map(|figure| {
            let what = format!("{name}: goodput of {urgent} at 3.0, worst seed");
            Target::at_least(what, ">= 0.99", figure, 0.99)
        }));
        let shed = |c: &Case| Some(c.product.measures.shed_beside_batch as f64);
        push(worst(name, &shed, false).map(|figure| {
            let what = format!("{name}: {urgent} shed while batch runs, worst seed");
            Target::at_most(what, "0", figure, 0.0)
        }));
        let part = |c: &Case| Some(c.product.batch_part).filter(|_| at(1.0)(c));
        push(worst(name, &part, true).map(|figure| {
            let what = format!("{name}: batch goodput of the capacity left at 1.0, worst seed");
            Target::at_least(what, ">= 0.95", figure, 0.95)
        }));
        let figure = worst(name, &|c| tier(c, "drafts").filter(|_| at(0.7)(c)), true);
        push(figure.map(|figure| {
            let what = format!("{name}: nightly drafts done at 0.7, worst seed");
            Target::at_least(what, "1", figure, 1.0)
        }));
        for load in LOADS {
            let sum = |pick: &dyn Fn(&Case) -> f64| -> f64 {
                let here = cases
                    .iter()
                    .filter(|c| c.deployment == name && c.load == load);
                here.map(pick).sum()
            };
            let ratio = sum(&|c| c.product.measures.wasted) / sum(&|c| c.naive.measures.wasted);
            if ratio.is_finite() {
                let what = format!("{name}: wasted prefill of the naive policy's at {load:.1}");
                push(Some(Target::at_most(what, "<= 0.3", ratio, 0.3)));
            }
        }
        let twice = |c: &Case| Some(c.product.measures.twice as f64);
        push(worst(name, &twice, false).map(|figure| {
            Target::at_most(format!("{name}: requests run twice"), "0", figure, 0.0)
        }));
        let lost = |c: &Case| Some(c.product.measures.lost as f64);
        push(
            worst(name, &lost, false)
                .map(|figure| Target::at_most(format!("{name}: requests lost"), "0", figure, 0.0)),
        );
        let refused = |c: &Case| Some(c.product.measures.refused_runs as f64);
        push(
            worst(name, &refused, false).map(|figure| {
                Target::at_most(format!("{name}: refusals that ran"), "0", figure, 0.0)
            }),
        );
        let excess = |c: &Case| Some(c.product.measures.cold_excess as f64);
        push(worst(name, &excess, false).map(|figure| {
            let what = format!("{name}: excess streams at a cold target");
            Target::at_most(what, "<= 1", figure, 1.0)
        }));
    }
    targets
}

/// Renders the cases: means over the seeds.
#[must_use]
pub fn tables(cases: &[Case]) -> Vec<Table> {
    let mut tables = Vec::new();
    let mut tiers = Table::new(&[
        "case", "policy", "route", "goodput", "refused", "late", "failed", "p50 ms", "p95 ms",
    ]);
    let mut totals = Table::new(&[
        "case",
        "policy",
        "batch/left",
        "missed+batch",
        "shed+batch",
        "computed k",
        "wasted k",
        "preempted",
        "twice",
        "orders",
        "lost",
        "refused ran",
        "cold excess",
        "cold",
        "taken for cold",
        "crashes",
        "fairness",
    ]);
    for name in Deployment::NAMES {
        for load in LOADS {
            let here: Vec<&Case> = cases
                .iter()
                .filter(|c| c.deployment == name && c.load == load)
                .collect();
            if here.is_empty() {
                continue;
            }
            for naive in [false, true] {
                let figures: Vec<&Figures> = here
                    .iter()
                    .map(|c| if naive { &c.naive } else { &c.product })
                    .collect();
                let label = format!("{name} {load:.1}");
                let policy = if naive { "naive" } else { "product" };
                tier_rows(&mut tiers, &label, policy, &figures);
                totals.row(total_row(&label, policy, &figures));
            }
        }
    }
    tables.push(tiers);
    tables.push(totals);
    tables
}

fn tier_rows(table: &mut Table, label: &str, policy: &str, figures: &[&Figures]) {
    let count = figures.len() as f64;
    for route in figures[0].measures.tiers.keys() {
        let tiers = || figures.iter().filter_map(|f| f.measures.tiers.get(route));
        let mean =
            |pick: &dyn Fn(&crate::tally::Tier) -> f64| tiers().map(pick).sum::<f64>() / count;
        table.row(vec![
            label.into(),
            policy.into(),
            (*route).into(),
            format!("{:.4}", mean(&|t| t.goodput())),
            format!(
                "{:.4}",
                mean(&|t| t.refused as f64 / t.offered.max(1) as f64)
            ),
            format!("{:.4}", mean(&|t| t.late as f64 / t.offered.max(1) as f64)),
            format!(
                "{:.4}",
                mean(&|t| t.failed as f64 / t.offered.max(1) as f64)
            ),
            format!("{:.0}", mean(&|t| t.first.value_at_quantile(0.5) as f64)),
            format!("{:.0}", mean(&|t| t.first.value_at_quantile(0.95) as f64)),
        ]);
    }
}

fn total_row(label: &str, policy: &str, figures: &[&Figures]) -> Vec<String> {
    let count = figures.len() as f64;
    let mean =
        |pick: &dyn Fn(&Figures) -> f64| figures.iter().map(|f| pick(f)).sum::<f64>() / count;
    let most = |pick: &dyn Fn(&Figures) -> f64| figures.iter().map(|f| pick(f)).fold(0.0, f64::max);
    vec![
        label.into(),
        policy.into(),
        format!("{:.3}", mean(&|f| f.batch_part)),
        format!("{:.1}", mean(&|f| f.measures.missed_beside_batch as f64)),
        format!("{:.1}", mean(&|f| f.measures.shed_beside_batch as f64)),
        format!("{:.0}", mean(&|f| f.measures.computed / 1_000.0)),
        format!("{:.0}", mean(&|f| f.measures.wasted / 1_000.0)),
        format!("{:.0}", mean(&|f| f.measures.preemptions as f64)),
        format!("{:.1}", mean(&|f| f.measures.twice as f64)),
        format!("{:.1}", mean(&|f| f.measures.twice_orders as f64)),
        format!("{:.1}", mean(&|f| f.measures.lost as f64)),
        format!("{:.0}", most(&|f| f.measures.refused_runs as f64)),
        format!("{:.0}", most(&|f| f.measures.cold_excess as f64)),
        format!("{:.3}", mean(&|f| f.cold[0])),
        format!("{:.3}", mean(&|f| f.cold[1])),
        format!("{:.1}", mean(&|f| f.measures.crashes as f64)),
        format!("{:.3}", mean(&|f| f.measures.fairness)),
    ]
}
