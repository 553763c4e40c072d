//! Checks the measures on small cases that can be counted by hand.

use ebonylug_core::{AttemptId, Reason, RequestId};
use ebonylug_measure::deployment::Deployment;
use ebonylug_measure::engine::{EndedAttempt, SECOND};
use ebonylug_measure::recorder::{Conclusion, Measures, Recorder, jain};
use ebonylug_measure::report::Target;
use ebonylug_measure::workload::Job;
use ebonylug_measure::{capacity, soak};

const QUOTATIONS: usize = 0;
const SUMMARIES: usize = 2;
const ORDERS: usize = 3;

fn job(route: usize, fingerprint: u64) -> Job {
    Job {
        arrival: SECOND,
        entry: 0,
        route,
        organisation: 0,
        own_tokens: 100,
        shared_blocks: vec![7],
        output: 10,
        max_output: 16,
        deadline: 5 * SECOND,
        poison: false,
        fingerprint,
    }
}

fn attempt(job: usize, number: u32) -> AttemptId {
    AttemptId {
        request: RequestId(job as u128),
        number,
    }
}

fn ended(attempt: AttemptId, computed: f64) -> EndedAttempt {
    EndedAttempt {
        attempt,
        produced: 0,
        computed,
        started: true,
        batch: false,
    }
}

fn run(recorder: &mut Recorder, job: usize, computed: f64) {
    recorder.record_start(job, attempt(job, 0), false);
    recorder.record_stop(job, &ended(attempt(job, 0), computed), false);
}

fn measures(recorder: &Recorder, jobs: &[Job]) -> Measures {
    recorder.measures(&Deployment::fibras(), jobs, (0, 10 * SECOND))
}

/// Guards against reruns of a request that are not counted.
#[test]
fn a_second_run_is_counted_unless_the_first_was_preempted() {
    let jobs = [job(QUOTATIONS, 1), job(QUOTATIONS, 2)];
    let mut recorder = Recorder::new(2);
    for (index, preempted) in [(0, false), (1, true)] {
        recorder.record_start(index, attempt(index, 0), false);
        recorder.record_stop(index, &ended(attempt(index, 0), 50.0), preempted);
        recorder.record_start(index, attempt(index, 1), false);
        recorder.record_stop(index, &ended(attempt(index, 1), 164.0), false);
        recorder.conclude(index, 2 * SECOND, Conclusion::Answered);
    }
    let measures = measures(&recorder, &jobs);
    assert_eq!(measures.reruns, 1);
    assert_eq!(measures.rerun_orders, 0);
    assert_eq!(soak::violations(&measures), [("run twice", 1)]);
}

/// Guards against a call that runs again when its caller retries it with the same key, without being
/// counted.
#[test]
fn a_call_that_runs_in_two_requests_is_counted_as_rerun() {
    let jobs = [job(ORDERS, 9), job(ORDERS, 9)];
    let mut recorder = Recorder::new(2);
    for index in 0..2 {
        recorder.record_start(index, attempt(index, 0), false);
        recorder.conclude(index, 2 * SECOND, Conclusion::Answered);
    }
    assert_eq!(measures(&recorder, &jobs).rerun_orders, 1);
}

/// Guards against requests without a conclusion that are not counted.
#[test]
fn a_request_without_a_conclusion_is_lost() {
    let jobs = [job(QUOTATIONS, 1), job(QUOTATIONS, 2)];
    let mut recorder = Recorder::new(2);
    recorder.conclude(0, 2 * SECOND, Conclusion::Failed);
    let measures = measures(&recorder, &jobs);
    assert_eq!(measures.lost, 1);
    assert_eq!(measures.tiers["quotations"].failed, 2);
}

/// Guards against requests that ran and are refused as not run, without being counted.
#[test]
fn a_refusal_after_a_run_is_counted_by_request_and_by_attempt() {
    let jobs = [job(QUOTATIONS, 1)];
    let mut recorder = Recorder::new(1);
    recorder.record_start(0, attempt(0, 0), false);
    recorder.record_refusal(attempt(0, 0));
    recorder.record_refusal(attempt(0, 1));
    recorder.conclude(0, 2 * SECOND, Conclusion::Refused(Reason::Full));
    assert_eq!(measures(&recorder, &jobs).refused_runs, 2);
}

/// Guards against a second conclusion for one caller that replaces the first or is not counted.
#[test]
fn a_second_conclusion_is_counted_and_does_not_replace_the_first() {
    let jobs = [job(QUOTATIONS, 1)];
    let mut recorder = Recorder::new(1);
    assert!(recorder.conclude(0, 2 * SECOND, Conclusion::Answered));
    assert!(!recorder.conclude(0, 3 * SECOND, Conclusion::Failed));
    let measures = measures(&recorder, &jobs);
    assert_eq!(measures.extra_conclusions, 1);
    assert_eq!(measures.tiers["quotations"].good, 1);
}

/// Guards against late responses that count as goodput, and against wrong token counts.
#[test]
fn goodput_counts_tokens_of_responses_within_the_deadline() {
    let mut jobs = [job(QUOTATIONS, 1), job(QUOTATIONS, 2)];
    jobs[1].own_tokens = 318;
    let mut recorder = Recorder::new(2);
    recorder.conclude(0, 5 * SECOND, Conclusion::Answered);
    recorder.conclude(1, 5 * SECOND + 1, Conclusion::Answered);
    let measures = measures(&recorder, &jobs);
    let tier = &measures.tiers["quotations"];
    assert_eq!((tier.good, tier.late), (1, 1));
    // 100 + 64 + 10 tokens of 174 + 392.
    assert!((tier.goodput() - 174.0 / 566.0).abs() < 1e-9);
}

/// Guards against wasted prefill that is not counted.
#[test]
fn unused_and_recomputed_prompt_tokens_are_wasted_prefill() {
    let jobs = [job(QUOTATIONS, 1), job(QUOTATIONS, 2), job(QUOTATIONS, 3)];
    let mut recorder = Recorder::new(3);
    // Computed once, with the shared block.
    run(&mut recorder, 0, 164.0);
    recorder.conclude(0, 2 * SECOND, Conclusion::Answered);
    // The shared block again, and 30 tokens twice after a preemption.
    run(&mut recorder, 1, 194.0);
    recorder.conclude(1, 2 * SECOND, Conclusion::Answered);
    // Contributed to no response.
    run(&mut recorder, 2, 80.0);
    recorder.conclude(2, 2 * SECOND, Conclusion::Failed);
    let measures = measures(&recorder, &jobs);
    assert_eq!(measures.wasted, 64.0 + 30.0 + 80.0);
}

/// Guards against urgent requests that are shed while batch work runs, without being counted.
#[test]
fn urgent_requests_shed_during_batch_work_are_counted() {
    let jobs = [job(QUOTATIONS, 1), job(SUMMARIES, 2), job(QUOTATIONS, 3)];
    let mut recorder = Recorder::new(3);
    recorder.conclude(0, 2 * SECOND, Conclusion::Refused(Reason::Deadline));
    recorder.record_start(1, attempt(1, 0), true);
    recorder.conclude(2, 2 * SECOND, Conclusion::Refused(Reason::Deadline));
    let measures = measures(&recorder, &jobs);
    assert_eq!(measures.missed_during_batch, 1);
    assert_eq!(measures.shed_during_batch, 1);
}

/// Guards against an index that does not distinguish fair from unfair distributions.
#[test]
fn jain_index_is_one_for_equal_values_and_one_nth_for_a_single_value() {
    assert!((jain([2.0, 2.0, 2.0].into_iter()) - 1.0).abs() < 1e-9);
    assert!((jain([6.0, 0.0, 0.0].into_iter()) - 1.0 / 3.0).abs() < 1e-9);
}

/// Guards against a fit that does not match points on a line, and against a residual that is zero
/// although points deviate from the line.
#[test]
fn a_fit_has_a_residual_only_for_points_off_the_line() {
    let line = capacity::Slope::fit("line", vec![(1.0, 3.0), (2.0, 5.0), (3.0, 7.0)]);
    assert!((line.slope - 2.0).abs() < 1e-9 && (line.intercept - 1.0).abs() < 1e-9);
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
