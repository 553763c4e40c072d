//! The measures on tiny cases that can be counted by hand.

use ebonylug_core::{AttemptId, Reason, RequestId};
use ebonylug_measure::deployment::Deployment;
use ebonylug_measure::engine::{Ended, SECOND};
use ebonylug_measure::report::Target;
use ebonylug_measure::tally::{Conclusion, Measures, Tally, jain};
use ebonylug_measure::workload::Job;
use ebonylug_measure::{capacity, soak};

const QUOTATIONS: usize = 0;
const SUMMARIES: usize = 2;
const ORDERS: usize = 3;

fn job(route: usize, content: u64) -> Job {
    Job {
        at: SECOND,
        entry: 0,
        route,
        organisation: 0,
        own: 100,
        shared: vec![7],
        output: 10,
        max_output: 16,
        deadline: 5 * SECOND,
        poison: false,
        content,
    }
}

fn attempt(job: usize, number: u32) -> AttemptId {
    AttemptId {
        request: RequestId(job as u128),
        number,
    }
}

fn ended(attempt: AttemptId, computed: f64) -> Ended {
    Ended {
        attempt,
        produced: 0,
        computed,
        started: true,
        batch: false,
    }
}

fn run(tally: &mut Tally, job: usize, computed: f64) {
    tally.started(job, attempt(job, 0), false);
    tally.stopped(job, &ended(attempt(job, 0), computed), false);
}

fn measures(tally: &Tally, jobs: &[Job]) -> Measures {
    tally.measures(&Deployment::fibras(), jobs, (0, 10 * SECOND))
}

/// Guards against a policy that runs a request again and is not found out.
#[test]
fn a_second_run_is_counted_unless_the_first_was_preempted() {
    let jobs = [job(QUOTATIONS, 1), job(QUOTATIONS, 2)];
    let mut tally = Tally::new(2);
    for (index, preempted) in [(0, false), (1, true)] {
        tally.started(index, attempt(index, 0), false);
        tally.stopped(index, &ended(attempt(index, 0), 50.0), preempted);
        tally.started(index, attempt(index, 1), false);
        tally.stopped(index, &ended(attempt(index, 1), 164.0), false);
        tally.conclude(index, 2 * SECOND, Conclusion::Answered);
    }
    let measures = measures(&tally, &jobs);
    assert_eq!(measures.twice, 1);
    assert_eq!(measures.twice_orders, 0);
    assert_eq!(soak::violations(&measures), [("run twice", 1)]);
}

/// Guards against a call that was sent again under the same key and ran twice.
#[test]
fn two_requests_with_one_key_that_both_run_are_a_repeated_order() {
    let jobs = [job(ORDERS, 9), job(ORDERS, 9)];
    let mut tally = Tally::new(2);
    for index in 0..2 {
        tally.started(index, attempt(index, 0), false);
        tally.conclude(index, 2 * SECOND, Conclusion::Answered);
    }
    assert_eq!(measures(&tally, &jobs).twice_orders, 1);
}

/// Guards against a caller without an answer that is not noticed.
#[test]
fn a_request_without_a_conclusion_is_lost() {
    let jobs = [job(QUOTATIONS, 1), job(QUOTATIONS, 2)];
    let mut tally = Tally::new(2);
    tally.conclude(0, 2 * SECOND, Conclusion::Failed);
    let measures = measures(&tally, &jobs);
    assert_eq!(measures.lost, 1);
    assert_eq!(measures.tiers["quotations"].failed, 2);
}

/// Guards against a refusal that says "not run" although the request ran.
#[test]
fn a_refusal_after_a_run_is_counted_by_request_and_by_attempt() {
    let jobs = [job(QUOTATIONS, 1)];
    let mut tally = Tally::new(1);
    tally.started(0, attempt(0, 0), false);
    tally.refused(attempt(0, 0));
    tally.refused(attempt(0, 1));
    tally.conclude(0, 2 * SECOND, Conclusion::Refused(Reason::Full));
    assert_eq!(measures(&tally, &jobs).refused_runs, 2);
}

/// Guards against two answers to one caller.
#[test]
fn a_second_conclusion_is_counted_and_not_taken() {
    let jobs = [job(QUOTATIONS, 1)];
    let mut tally = Tally::new(1);
    assert!(tally.conclude(0, 2 * SECOND, Conclusion::Answered));
    assert!(!tally.conclude(0, 3 * SECOND, Conclusion::Failed));
    let measures = measures(&tally, &jobs);
    assert_eq!(measures.extra_conclusions, 1);
    assert_eq!(measures.tiers["quotations"].good, 1);
}

/// Guards against late answers that count as goodput, and tokens that are counted wrongly.
#[test]
fn goodput_counts_tokens_of_answers_within_the_deadline() {
    let mut jobs = [job(QUOTATIONS, 1), job(QUOTATIONS, 2)];
    jobs[1].own = 318;
    let mut tally = Tally::new(2);
    tally.conclude(0, 5 * SECOND, Conclusion::Answered);
    tally.conclude(1, 5 * SECOND + 1, Conclusion::Answered);
    let measures = measures(&tally, &jobs);
    let tier = &measures.tiers["quotations"];
    assert_eq!((tier.good, tier.late), (1, 1));
    // 100 + 64 + 10 tokens of 174 + 392.
    assert!((tier.goodput() - 174.0 / 566.0).abs() < 1e-9);
}

/// Guards against prefill that is not recognised as wasted.
#[test]
fn wasted_prefill_is_what_served_no_answer_or_was_computed_before() {
    let jobs = [job(QUOTATIONS, 1), job(QUOTATIONS, 2), job(QUOTATIONS, 3)];
    let mut tally = Tally::new(3);
    // Computed once, with the shared block.
    run(&mut tally, 0, 164.0);
    tally.conclude(0, 2 * SECOND, Conclusion::Answered);
    // The shared block again, and 30 tokens twice after a preemption.
    run(&mut tally, 1, 194.0);
    tally.conclude(1, 2 * SECOND, Conclusion::Answered);
    // Served no answer.
    run(&mut tally, 2, 80.0);
    tally.conclude(2, 2 * SECOND, Conclusion::Failed);
    let measures = measures(&tally, &jobs);
    assert_eq!(measures.wasted, 64.0 + 30.0 + 80.0);
}

/// Guards against urgent requests that are shed while batch work runs and do not appear.
#[test]
fn urgent_requests_that_fail_beside_batch_work_are_counted() {
    let jobs = [job(QUOTATIONS, 1), job(SUMMARIES, 2), job(QUOTATIONS, 3)];
    let mut tally = Tally::new(3);
    tally.conclude(0, 2 * SECOND, Conclusion::Refused(Reason::Deadline));
    tally.started(1, attempt(1, 0), true);
    tally.conclude(2, 2 * SECOND, Conclusion::Refused(Reason::Deadline));
    let measures = measures(&tally, &jobs);
    assert_eq!(measures.missed_beside_batch, 1);
    assert_eq!(measures.shed_beside_batch, 1);
}

/// Guards against an index that does not tell fair from unfair.
#[test]
fn jain_is_one_for_equal_parts_and_one_nth_for_a_single_winner() {
    assert!((jain([2.0, 2.0, 2.0].into_iter()) - 1.0).abs() < 1e-9);
    assert!((jain([6.0, 0.0, 0.0].into_iter()) - 1.0 / 3.0).abs() < 1e-9);
}

/// Guards against a line that does not fit points on it, and a residual that hides a bend.
#[test]
fn a_slope_has_no_residual_on_a_line_and_one_beside_it() {
    let line = capacity::Slope::fit("line", vec![(1.0, 3.0), (2.0, 5.0), (3.0, 7.0)]);
    assert!((line.slope - 2.0).abs() < 1e-9 && (line.base - 1.0).abs() < 1e-9);
    assert!(line.residual < 1e-9);
    let bent = capacity::Slope::fit("bent", vec![(1.0, 0.0), (2.0, 0.0), (3.0, 9.0)]);
    assert!(bent.residual > 0.1);
}

/// Guards against a bound that is compared in the wrong direction.
#[test]
fn targets_are_met_up_to_their_bound() {
    assert!(Target::at_least(String::new(), "", 0.99, 0.99).met);
    assert!(!Target::at_least(String::new(), "", 0.989, 0.99).met);
    assert!(Target::at_most(String::new(), "", 0.0, 0.0).met);
    assert!(!Target::at_most(String::new(), "", 1.0, 0.0).met);
}
