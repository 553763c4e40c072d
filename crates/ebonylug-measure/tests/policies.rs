//! Checks both policies on short cases, and that results depend only on the seed.

use ebonylug_measure::deployment::Deployment;
use ebonylug_measure::dispatch::{self, CaseLength};
use ebonylug_measure::engine::SECOND;
use ebonylug_measure::faults::Fault;
use ebonylug_measure::naive::Naive;
use ebonylug_measure::product::Product;
use ebonylug_measure::rollout::moves::{self, Behaviour};
use ebonylug_measure::simulation::run;
use ebonylug_measure::soak;
use ebonylug_measure::workload::arrivals;

const SHORT: CaseLength = CaseLength {
    warm_up: 5 * SECOND,
    window: 10 * SECOND,
};

fn text(value: &impl serde::Serialize) -> String {
    serde_json::to_string(value).expect("figures can be serialised")
}

/// Guards against results that depend on anything but the seed.
#[test]
fn results_depend_only_on_the_seed() {
    let deployment = Deployment::scaleward();
    let dispatch = |seed| text(&dispatch::case(&deployment, 1.0, SHORT, seed));
    assert_eq!(dispatch(3), dispatch(3));
    assert_ne!(dispatch(3), dispatch(4));
    let soak = |seed| text(&soak::case(&deployment, seed));
    assert_eq!(soak(3), soak(3));
    let planned = |seed| text(&moves::case(&deployment, Behaviour::Later, seed));
    assert_eq!(planned(3), planned(3));
}

/// Guards against requests that run twice or get lost under random faults with the product.
#[test]
fn the_product_violates_no_invariant_in_soak_cases() {
    for deployment in [Deployment::fibras(), Deployment::scaleward()] {
        for seed in 1..=2 {
            let [product, _] = soak::case(&deployment, seed);
            let violations = soak::violations(&product.measures);
            assert!(
                violations.is_empty(),
                "{} {seed}: {violations:?}",
                deployment.name
            );
        }
    }
}

/// Guards against a soak that cannot detect a policy that runs requests twice.
#[test]
fn the_soak_detects_reruns_by_the_naive_policy() {
    let deployment = Deployment::fibras();
    let naive = (1..=2).map(|seed| soak::case(&deployment, seed)[1].measures.reruns);
    assert!(naive.sum::<u64>() > 0);
}

/// Guards against an engine crash without effect: the naive policy runs requests again, the product
/// reports them as failed.
#[test]
fn a_crash_makes_the_naive_policy_rerun_requests() {
    // With a single engine the retries would find it down and would not run.
    let deployment = Deployment::scaleward();
    let jobs = arrivals(&deployment, 0.7, 10 * SECOND, 1);
    let faults = vec![(6 * SECOND, Fault::Crash(2))];
    let end = 120 * SECOND;
    let window = (0, 10 * SECOND);
    let sim = run(
        &deployment,
        jobs.clone(),
        faults.clone(),
        end,
        1,
        &mut Naive::default(),
    );
    let naive = sim.recorder.measures(&deployment, &sim.jobs, window);
    assert!(naive.reruns > 0);
    let sim = run(&deployment, jobs, faults, end, 1, &mut Product::new(1));
    let product = sim.recorder.measures(&deployment, &sim.jobs, window);
    assert_eq!(product.reruns, 0);
    assert!(product.conclusions["failed"] > 0);
}

/// Guards against dispatches into a lost zone that are not counted.
#[test]
fn dispatches_into_a_drained_zone_are_counted_by_second() {
    let deployment = Deployment::fibras();
    let jobs = arrivals(&deployment, 0.7, 20 * SECOND, 1);
    let faults = vec![(11 * SECOND, Fault::DrainZone(0))];
    let mut naive = Naive::default();
    run(
        &deployment,
        jobs.clone(),
        faults.clone(),
        25 * SECOND,
        1,
        &mut naive,
    );
    // The baseline reads the store at 15 s.
    assert!(
        naive.lost_zone_dispatches[..4]
            .iter()
            .all(|count| *count > 0)
    );
    assert_eq!(naive.lost_zone_dispatches[4..], [0; 4]);
    let mut product = Product::new(1);
    run(&deployment, jobs, faults, 25 * SECOND, 1, &mut product);
    assert_eq!(product.lost_zone_dispatches[3..], [0; 5]);
}

/// Guards against moves that end in the same way for good and bad versions.
#[test]
fn a_good_version_is_moved_and_a_bad_one_rolled_back() {
    let deployment = Deployment::scaleward();
    let good = moves::case(&deployment, Behaviour::Good, 1).product;
    assert!(good.in_time && !good.rolled_back);
    let bad = moves::case(&deployment, Behaviour::AtOnce, 1).product;
    assert!(!bad.in_time && bad.rolled_back);
    assert!(bad.bad_before > 0);
}
