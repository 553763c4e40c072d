//! Design targets and table of the version moves.

use crate::report::{Table, Target};
use crate::rollout::moves::{Behaviour, Case, MoveResult};

/// Returns the design targets for a set of moves.
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
    let fraction = |cases: &[&Case], pick: &dyn Fn(&MoveResult) -> bool| {
        let count = cases.iter().filter(|case| pick(&case.product)).count();
        count as f64 / cases.len().max(1) as f64
    };
    let exposed = bad
        .iter()
        .map(|c| c.product.exposed_fraction())
        .fold(0.0, f64::max);
    let late: u64 = bad.iter().map(|c| c.product.bad_late).sum();
    let (good_count, bad_count) = (good.len(), bad.len());
    vec![
        Target::at_least(
            format!("good moves done in time, {good_count} moves, store out for half the window"),
            "1",
            fraction(&good, &|r| r.in_time),
            1.0,
        ),
        Target::at_least(
            format!("bad moves rolled back, {bad_count} moves"),
            "1",
            fraction(&bad, &|r| r.rolled_back),
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
            fraction(&good, &|r| r.rolled_back),
            0.0099,
        ),
    ]
}

/// Returns a table of the moves by deployment and behaviour.
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
            let results: Vec<MoveResult> = chosen
                .map(|c| if naive { c.naive } else { c.product })
                .collect();
            table.add_row(table_row(deployment, behaviour, naive, &results));
        }
    }
    table
}

fn table_row(
    deployment: &str,
    behaviour: Behaviour,
    naive: bool,
    results: &[MoveResult],
) -> Vec<String> {
    let count = results.len() as f64;
    let sum = |pick: &dyn Fn(&MoveResult) -> f64| results.iter().map(pick).sum::<f64>();
    let mut seconds: Vec<f64> = results.iter().map(|r| r.last_bad_s).collect();
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
        format!("{:.4}", sum(&MoveResult::exposed_fraction) / count),
        format!(
            "{:.4}",
            results
                .iter()
                .map(MoveResult::exposed_fraction)
                .fold(0.0, f64::max)
        ),
        format!("{:.1}", sum(&|r| r.bad_after as f64) / count),
        format!("{:.1}", sum(&|r| r.bad_late as f64) / count),
        format!("{}", results.iter().filter(|r| r.bad_late > 0).count()),
        format!("{:.1}", seconds[seconds.len() / 2]),
        format!("{:.1}", seconds[seconds.len() - 1]),
    ]
}
