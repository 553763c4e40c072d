//! Queueing, target selection and admission against the baseline, at several loads.

use serde::Serialize;

use crate::deployment::Deployment;
use crate::engine::SECOND;
use crate::faults::Fault;
use crate::naive::Naive;
use crate::product::{Product, Sample};
use crate::random::SeededRng;
use crate::recorder::Measures;
use crate::report::{Table, Target};
use crate::simulation::{Policy, Simulation, run};
use crate::workload::arrivals;

/// Loads as multiples of the capacity.
pub const LOADS: [f64; 4] = [0.7, 1.0, 1.5, 3.0];

/// Time after the last deadline for requests that are still running. The longest responses take
/// some minutes on an engine that is shared with urgent work.
const DRAIN_TIME_US: u64 = 600 * SECOND;

/// Durations of a case, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct CaseLength {
    /// Time before the measured window, in which the limits adapt.
    pub warm_up: u64,
    /// Duration of the measured window.
    pub window: u64,
}

impl Default for CaseLength {
    fn default() -> Self {
        CaseLength {
            warm_up: 60 * SECOND,
            window: 240 * SECOND,
        }
    }
}

/// One case under both policies.
#[derive(Clone, Debug, Serialize)]
pub struct Case {
    /// Name of the deployment.
    pub deployment: &'static str,
    /// Load as a multiple of the capacity.
    pub load: f64,
    /// Seed of the case.
    pub seed: u64,
    /// Capacity of the model engines in seconds of work per second.
    pub capacity: f64,
    /// Work of the offered batch requests, in seconds per second.
    pub batch_offered: f64,
    /// Results with the product.
    pub product: Figures,
    /// Results with the baseline.
    pub naive: Figures,
}

/// Measures of a case, with the values that depend on the capacity.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    /// Measures of the window.
    pub measures: Measures,
    /// Batch goodput relative to the capacity that urgent work leaves or to the offered batch work,
    /// whichever is less.
    #[serde(rename = "batch_part")]
    pub batch_goodput: f64,
    /// Fraction of the time in which model engines are down or cold, and in which their sidecars
    /// report so.
    #[serde(rename = "cold")]
    pub cold_fractions: [f64; 2],
}

/// Runs one case under both policies.
#[must_use]
pub fn case(deployment: &Deployment, load: f64, length: CaseLength, seed: u64) -> Case {
    let total = length.warm_up + length.window;
    let (capacity, _) = deployment.capacity();
    let jobs = arrivals(deployment, load, total, seed);
    let faults = crash_schedule(deployment, length, seed);
    let batch = jobs.iter().filter(|job| {
        let route = &deployment.routes[job.route];
        !route.tier.is_interactive()
    });
    let work: f64 = batch
        .map(|job| job.work(&deployment.routes[job.route]))
        .sum();
    let batch_offered = work * SECOND as f64 / total as f64;
    let due = jobs.iter().map(|job| job.deadline).max().unwrap_or(total);
    let end = due.max(3 * total) + DRAIN_TIME_US;
    let window = (length.warm_up, total);
    let mut product = Product::new(seed);
    let sim = run(
        deployment,
        jobs.clone(),
        faults.clone(),
        end,
        seed,
        &mut product,
    );
    let [cold, reported, all] = product.cold_samples.map(|samples| samples as f64);
    let mut product = figures::<Product>(&sim, window, capacity, batch_offered);
    product.cold_fractions = [cold / all, reported / all];
    let mut naive = Naive::default();
    let sim = run(deployment, jobs, faults, end, seed, &mut naive);
    let naive = figures::<Naive>(&sim, window, capacity, batch_offered);
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

/// Runs one case under the product and returns the state of its fleet over time.
#[must_use]
pub fn trace(deployment: &Deployment, load: f64, length: CaseLength, seed: u64) -> Vec<Sample> {
    let total = length.warm_up + length.window;
    let jobs = arrivals(deployment, load, total, seed);
    let faults = crash_schedule(deployment, length, seed);
    let mut product = Product::new(seed);
    run(deployment, jobs, faults, total, seed, &mut product);
    product.samples
}

/// Returns the number of reports per target and second at load 1.
#[must_use]
pub fn report_rate(deployment: &Deployment, length: CaseLength, seed: u64) -> f64 {
    let total = length.warm_up + length.window;
    let jobs = arrivals(deployment, 1.0, total, seed);
    let mut product = Product::new(seed);
    run(deployment, jobs, Vec::new(), total, seed, &mut product);
    product.mean_reports() * SECOND as f64 / total as f64
}

/// Returns the crash of one engine each minute, so that every case includes cold starts.
fn crash_schedule(deployment: &Deployment, length: CaseLength, seed: u64) -> Vec<(u64, Fault)> {
    let mut random = SeededRng::new(seed, 500);
    let models = deployment
        .targets
        .iter()
        .filter(|target| matches!(target.kind, crate::engine::EngineKind::Model(_)));
    let models = models.count();
    let mut faults = Vec::new();
    if models < 2 {
        return faults;
    }
    let mut at = length.warm_up + 20 * SECOND;
    while at + 40 * SECOND < length.warm_up + length.window {
        faults.push((at, Fault::Crash(random.index(models))));
        at += 60 * SECOND;
    }
    faults
}

fn figures<P: Policy>(
    sim: &Simulation<P::Message>,
    window: (u64, u64),
    capacity: f64,
    batch_offered: f64,
) -> Figures {
    let mut measures = sim.recorder.measures(&sim.deployment, &sim.jobs, window);
    measures.cold_excess = sim
        .engines
        .iter()
        .map(|e| e.cold_excess())
        .max()
        .unwrap_or(0);
    measures.crashes = sim.crashes;
    let seconds = (window.1 - window.0) as f64 / SECOND as f64;
    let remaining = capacity - measures.urgent_done / seconds;
    let batch_goodput = measures.batch_done / seconds / remaining.min(batch_offered).max(1e-9);
    Figures {
        measures,
        batch_goodput,
        cold_fractions: [0.0; 2],
    }
}

/// Returns the design targets for a set of cases.
#[must_use]
pub fn targets(cases: &[Case]) -> Vec<Target> {
    let mut targets = Vec::new();
    let worst = |name: &str, pick: &dyn Fn(&Case) -> Option<f64>, lowest: bool| {
        let figures = cases
            .iter()
            .filter(|c| c.deployment == name)
            .filter_map(pick);
        let worst = if lowest { f64::min } else { f64::max };
        figures.reduce(worst)
    };
    for name in ["fibras", "scaleward"] {
        let urgent = if name == "fibras" {
            "quotations"
        } else {
            "counter"
        };
        let has_load = |load: f64| move |case: &Case| case.load == load;
        let tier = move |case: &Case, route: &str| {
            let tier = case.product.measures.tiers.get(route);
            tier.map(crate::recorder::RouteMeasures::goodput)
        };
        let mut push = |target: Option<Target>| targets.extend(target);
        let figure = worst(
            name,
            &|c| tier(c, urgent).filter(|_| has_load(3.0)(c)),
            true,
        );
        push(figure.map(|figure| {
            let what = format!("{name}: goodput of {urgent} at 3.0, worst seed");
            Target::at_least(what, ">= 0.99", figure, 0.99)
        }));
        let shed = |c: &Case| Some(c.product.measures.shed_during_batch as f64);
        push(worst(name, &shed, false).map(|figure| {
            let what = format!("{name}: {urgent} shed while batch runs, worst seed");
            Target::at_most(what, "0", figure, 0.0)
        }));
        let batch = |c: &Case| Some(c.product.batch_goodput).filter(|_| has_load(1.0)(c));
        push(worst(name, &batch, true).map(|figure| {
            let what = format!("{name}: batch goodput of the capacity left at 1.0, worst seed");
            Target::at_least(what, ">= 0.95", figure, 0.95)
        }));
        let figure = worst(
            name,
            &|c| tier(c, "drafts").filter(|_| has_load(0.7)(c)),
            true,
        );
        push(figure.map(|figure| {
            let what = format!("{name}: nightly drafts done at 0.7, worst seed");
            Target::at_least(what, "1", figure, 1.0)
        }));
        for load in LOADS {
            let sum = |pick: &dyn Fn(&Case) -> f64| -> f64 {
                let matching = cases
                    .iter()
                    .filter(|c| c.deployment == name && c.load == load);
                matching.map(pick).sum()
            };
            let ratio = sum(&|c| c.product.measures.wasted) / sum(&|c| c.naive.measures.wasted);
            if ratio.is_finite() {
                let what = format!("{name}: wasted prefill of the naive policy's at {load:.1}");
                push(Some(Target::at_most(what, "<= 0.3", ratio, 0.3)));
            }
        }
        let reruns = |c: &Case| Some(c.product.measures.reruns as f64);
        push(worst(name, &reruns, false).map(|figure| {
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

/// Returns tables by route and in total, with means over the seeds.
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
            let matching: Vec<&Case> = cases
                .iter()
                .filter(|c| c.deployment == name && c.load == load)
                .collect();
            if matching.is_empty() {
                continue;
            }
            for naive in [false, true] {
                let figures: Vec<&Figures> = matching
                    .iter()
                    .map(|c| if naive { &c.naive } else { &c.product })
                    .collect();
                let label = format!("{name} {load:.1}");
                let policy = if naive { "naive" } else { "product" };
                tier_rows(&mut tiers, &label, policy, &figures);
                totals.add_row(total_row(&label, policy, &figures));
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
        let mean = |pick: &dyn Fn(&crate::recorder::RouteMeasures) -> f64| {
            tiers().map(pick).sum::<f64>() / count
        };
        table.add_row(vec![
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
            format!("{:.0}", mean(&|t| t.ttft_ms.value_at_quantile(0.5) as f64)),
            format!("{:.0}", mean(&|t| t.ttft_ms.value_at_quantile(0.95) as f64)),
        ]);
    }
}

fn total_row(label: &str, policy: &str, figures: &[&Figures]) -> Vec<String> {
    let count = figures.len() as f64;
    let mean =
        |pick: &dyn Fn(&Figures) -> f64| figures.iter().map(|f| pick(f)).sum::<f64>() / count;
    let max = |pick: &dyn Fn(&Figures) -> f64| figures.iter().map(|f| pick(f)).fold(0.0, f64::max);
    vec![
        label.into(),
        policy.into(),
        format!("{:.3}", mean(&|f| f.batch_goodput)),
        format!("{:.1}", mean(&|f| f.measures.missed_during_batch as f64)),
        format!("{:.1}", mean(&|f| f.measures.shed_during_batch as f64)),
        format!("{:.0}", mean(&|f| f.measures.computed / 1_000.0)),
        format!("{:.0}", mean(&|f| f.measures.wasted / 1_000.0)),
        format!("{:.0}", mean(&|f| f.measures.preemptions as f64)),
        format!("{:.1}", mean(&|f| f.measures.reruns as f64)),
        format!("{:.1}", mean(&|f| f.measures.rerun_orders as f64)),
        format!("{:.1}", mean(&|f| f.measures.lost as f64)),
        format!("{:.0}", max(&|f| f.measures.refused_runs as f64)),
        format!("{:.0}", max(&|f| f.measures.cold_excess as f64)),
        format!("{:.3}", mean(&|f| f.cold_fractions[0])),
        format!("{:.3}", mean(&|f| f.cold_fractions[1])),
        format!("{:.1}", mean(&|f| f.measures.crashes as f64)),
        format!("{:.3}", mean(&|f| f.measures.fairness)),
    ]
}
