//! Targets and table of the version moves.

use crate::report::{Table, Target};
use crate::rollout::moves::{Behaviour, Case, Result};

/// Returns the targets of section 1.3 that a set of cases shows.
#[must_use]
pub fn targets(cases: &[Case]) -> Vec<Target> {
    let good: Vec<&Case> = cases
        .iter()
        .filter(|c| c.behaviour == Behaviour::Good)
        .collect();
    let bad: Vec<&Case> = cases
        .iter()
        .filter(|c| c.behaviour != Behaviour::Good)
        .collect();
    let part = |cases: &[&Case], pick: &dyn Fn(&Result) -> bool| {
        let count = cases.iter().filter(|case| pick(&case.product)).count();
        count as f64 / cases.len().max(1) as f64
    };
    let exposed = bad.iter().map(|c| c.product.exposed()).fold(0.0, f64::max);
    let late: u64 = bad.iter().map(|c| c.product.late).sum();
    let (goods, bads) = (good.len(), bad.len());
    vec![
        Target::at_least(
            format!("good moves done in time, {goods} moves, store out for half the window"),
            "1",
            part(&good, &|r| r.in_time),
            1.0,
        ),
        Target::at_least(
            format!("bad moves rolled back, {bads} moves"),
            "1",
            part(&bad, &|r| r.rolled_back),
            1.0,
        ),
        Target::at_most(
            "traffic exposed before the version shows that it is bad, worst".into(),
            "<= 0.05",
            exposed,
            0.05,
        ),
        Target::at_most(
            "requests to a bad version later than 3 s after".into(),
            "0",
            late as f64,
            0.0,
        ),
        Target::at_most(
            "false rollbacks under bursts and cold start".into(),
            "< 0.01",
            part(&good, &|r| r.rolled_back),
            0.0099,
        ),
    ]
}

/// Renders the cases by behaviour.
#[must_use]
pub fn table(cases: &[Case]) -> Table {
    let mut table = Table::new(&[
        "moves",
        "policy",
        "count",
        "in time",
        "rolled back",
        "exposed mean",
        "exposed worst",
        "after 0-3 s",
        "after 3 s",
        "moves late",
        "last s p50",
        "last s max",
    ]);
    let mut kinds: Vec<(&str, Behaviour)> =
        cases.iter().map(|c| (c.deployment, c.behaviour)).collect();
    kinds.sort_unstable();
    kinds.dedup();
    for (deployment, behaviour) in kinds {
        for naive in [false, true] {
            let chosen = cases
                .iter()
                .filter(|c| (c.deployment, c.behaviour) == (deployment, behaviour));
            let results: Vec<Result> = chosen
                .map(|c| if naive { c.naive } else { c.product })
                .collect();
            table.row(row(deployment, behaviour, naive, &results));
        }
    }
    table
}

fn row(deployment: &str, behaviour: Behaviour, naive: bool, results: &[Result]) -> Vec<String> {
    let count = results.len() as f64;
    let sum = |pick: &dyn Fn(&Result) -> f64| results.iter().map(pick).sum::<f64>();
    let mut seconds: Vec<f64> = results.iter().map(|r| r.seconds).collect();
    seconds.sort_unstable_by(f64::total_cmp);
    vec![
        format!("{deployment} {behaviour:?}"),
        if naive { "naive" } else { "product" }.into(),
        format!("{count}"),
        format!("{:.4}", sum(&|r| f64::from(u8::from(r.in_time))) / count),
        format!(
            "{:.4}",
            sum(&|r| f64::from(u8::from(r.rolled_back))) / count
        ),
        format!("{:.4}", sum(&Result::exposed) / count),
        format!(
            "{:.4}",
            results.iter().map(Result::exposed).fold(0.0, f64::max)
        ),
        format!("{:.1}", sum(&|r| r.after as f64) / count),
        format!("{:.1}", sum(&|r| r.late as f64) / count),
        format!("{}", results.iter().filter(|r| r.late > 0).count()),
        format!("{:.1}", seconds[seconds.len() / 2]),
        format!("{:.1}", seconds[seconds.len() - 1]),
    ]
}
