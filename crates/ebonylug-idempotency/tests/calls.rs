//! Tests of keyed calls: each key runs at most once, and every reported outcome is correct.

#[path = "../../ebonylug-config/tests/faulty/mod.rs"]
mod faulty;
mod simulation;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use ebonylug_core::{AttemptId, Clock, Name, Reason, RequestId};
use ebonylug_idempotency::{
    Action, Actions, CallCache, CallKey, CallOutcome, Event, KeyedCall, KeyedRequest,
    MAX_BODY_BYTES, Record, RecordState, RequestHash, Response, Transport, cache_owner, drive,
};
use ebonylug_platform::{Fault, MemoryPlatform, Table, Transaction};
use faulty::FaultyPlatform;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use simulation::{Caller, RuntimeClock, Simulation};

const DEADLINE: Duration = Duration::from_secs(4);

fn caller(simulation: &Simulation, key: &str, content: u8) -> Caller {
    Caller {
        simulation: simulation.clone(),
        key: key.into(),
        content,
        deadline: RuntimeClock.now() + DEADLINE,
        sent: Arc::default(),
    }
}

fn start(caller: &Caller, request: u128) -> (KeyedCall, Actions) {
    let request = KeyedRequest {
        key: CallKey::new(&Name::new("mill"), &caller.key),
        content: RequestHash::of("POST", "/orders", &[caller.content]),
        id: RequestId(request),
        deadline: caller.deadline,
    };
    let destination = caller
        .simulation
        .destination(caller.simulation.draw(2) as usize);
    KeyedCall::start(
        request,
        destination,
        RuntimeClock.now(),
        RuntimeClock.wall(),
    )
}

/// Runs a call to its end and returns the outcome that was reported to the caller.
async fn run(table: &impl Table, caller: &Caller, request: u128) -> Option<CallOutcome> {
    let (call, first) = start(caller, request);
    let mut outcome = None;
    drive(call, first, table, caller, &RuntimeClock, |result| {
        outcome = Some(result);
    })
    .await;
    outcome
}

async fn record(table: &MemoryPlatform, key: &str) -> Record {
    let key = CallKey::new(&Name::new("mill"), key);
    let row = table.get(key.as_str()).await.unwrap().unwrap();
    serde_json::from_str(&row.value).unwrap()
}

/// Performs the first `steps` actions of a call, as an entry that crashes after them.
async fn run_steps(
    table: &MemoryPlatform,
    caller: &Caller,
    request: u128,
    steps: usize,
) -> (KeyedCall, Actions) {
    let (mut call, mut actions) = start(caller, request);
    for _ in 0..steps {
        let action = actions
            .iter()
            .find(|a| !matches!(a, Action::Respond(_)))
            .cloned();
        let event = match action.expect("the call has further actions") {
            Action::Write(transaction) => Event::Written(table.transact(transaction).await),
            Action::Send((attempt, destination)) => {
                Event::Sent(caller.send(attempt, &destination).await)
            }
            action => panic!("unexpected {action:?}"),
        };
        actions = call.handle(RuntimeClock.now(), event);
    }
    (call, actions)
}

fn is_response(outcome: &Option<CallOutcome>) -> bool {
    matches!(outcome, Some(CallOutcome::Response(_)))
}

/// Guards against a second run, or a retry without a response, when the first entry crashes after
/// any step, with and without a restart of the target's sidecar.
#[tokio::test(start_paused = true)]
async fn the_first_entry_crashes_after_each_step() {
    // Number of steps of the first entry (reserve, send, record), whether the sidecars restart,
    // whether the retry gets a response, number of runs.
    let cases = [
        (0, false, true, 1),
        (1, false, true, 1),
        (2, false, true, 1),
        (3, false, true, 1),
        (0, true, true, 1),
        (1, true, false, 0),
        (2, true, false, 1),
        (3, true, true, 1),
    ];
    for (steps, restart, response, runs) in cases {
        let (simulation, table) = (Simulation::new(1, 0), MemoryPlatform::new());
        run_steps(&table, &caller(&simulation, "k", 0), 1, steps).await;
        if restart {
            simulation.restart(0);
            simulation.restart(1);
        }
        let case = format!("crash after {steps} steps, restart {restart}");
        let second = run(&table, &caller(&simulation, "k", 0), 2).await;
        assert_eq!(is_response(&second), response, "{case}: {second:?}");
        assert_eq!(simulation.runs("k").len(), runs, "{case}");
        if !response {
            assert_eq!(second, Some(CallOutcome::Unknown), "{case}");
            assert_eq!(
                record(&table, "k").await.state,
                RecordState::Unknown,
                "{case}"
            );
        }
        let third = run(&table, &caller(&simulation, "k", 0), 3).await;
        assert_eq!(third, second, "{case}: all callers get the same outcome");
        let other = run(&table, &caller(&simulation, "k", 1), 4).await;
        assert_eq!(
            other,
            Some(CallOutcome::Mismatch),
            "{case}: the key with different content"
        );
        assert_eq!(simulation.runs("k").len(), runs, "{case}");
    }
}

/// Guards against a second run by an entry that is slow but has not crashed: its attempt arrives
/// after another entry has revoked it.
#[tokio::test(start_paused = true)]
async fn a_slow_entry_finds_its_attempt_revoked() {
    let (simulation, table) = (Simulation::new(1, 0), MemoryPlatform::new());
    let slow = caller(&simulation, "k", 0);
    let (call, actions) = run_steps(&table, &slow, 1, 1).await;
    let second = run(&table, &caller(&simulation, "k", 0), 2).await;
    assert_eq!(
        record(&table, "k").await.attempt,
        AttemptId {
            request: RequestId(1),
            number: 1
        }
    );
    let mut first = None;
    drive(call, actions, &table, &slow, &RuntimeClock, |outcome| {
        first = Some(outcome);
    })
    .await;
    assert!(is_response(&first));
    assert_eq!(first, second);
    assert_eq!(simulation.runs("k").len(), 1);
    // The second attempt keeps the time of the first use of the key and updates that of the change.
    let record = record(&table, "k").await;
    assert!(
        record.created < record.changed && record.changed < 4_000,
        "{record:?}"
    );
}

/// Guards against a call that is sent without its record, and against an outcome that contradicts
/// the fault, for faults at each call to the store: reserve, record, and retries.
#[tokio::test(start_paused = true)]
async fn faults_at_each_call() {
    use Fault::{DropRequest, DropResponse, None as Ok, Unavailable};
    let not_run = Some(CallOutcome::NotRun(Reason::Store));
    let unknown = Some(CallOutcome::Unknown);
    // Faults, whether the store is down afterwards, the outcome if it is not a response, number of
    // runs.
    let cases: [(&[Fault], bool, Option<CallOutcome>, usize); 11] = [
        (&[], false, None, 1),
        (&[], true, not_run, 0),
        (&[Unavailable], false, None, 1),
        (&[DropRequest], false, None, 1),
        (&[DropResponse], false, None, 1),
        (&[DropResponse, Unavailable, DropRequest], false, None, 1),
        (&[DropResponse, Ok, Unavailable], false, None, 1),
        (&[DropResponse], true, unknown.clone(), 0),
        (&[DropRequest], true, unknown, 0),
        (&[Ok, DropResponse], false, None, 1),
        (
            &[
                Ok,
                Unavailable,
                Unavailable,
                Unavailable,
                Unavailable,
                Unavailable,
            ],
            false,
            None,
            1,
        ),
    ];
    for (faults, down, expected, runs) in cases {
        let (simulation, inner) = (Simulation::new(1, 0), MemoryPlatform::new());
        inner.inject(faults.iter().copied());
        if down {
            inner.inject([Unavailable; 100]);
        }
        let outcome = run(&inner, &caller(&simulation, "k", 0), 1).await;
        match expected {
            Some(expected) => assert_eq!(outcome, Some(expected), "{faults:?} {down}"),
            None => assert!(is_response(&outcome), "{faults:?}: {outcome:?}"),
        }
        assert_eq!(simulation.runs("k").len(), runs, "{faults:?}");
        let clean = exhaust_faults(&inner).await;
        let again = run(&clean, &caller(&simulation, "k", 0), 2).await;
        assert!(is_response(&again), "{faults:?}: the retry gets {again:?}");
        assert_eq!(simulation.runs("k").len(), 1, "{faults:?}");
    }
}

/// Makes calls until no injected faults are left.
async fn exhaust_faults(platform: &MemoryPlatform) -> MemoryPlatform {
    while platform.get("x").await.is_err() {}
    platform.clone()
}

/// Guards against a reported "not run" while the record stays reserved, and against a proven
/// refusal that blocks the key.
#[tokio::test(start_paused = true)]
async fn a_refused_call_can_be_retried() {
    let (simulation, table) = (Simulation::new(1, 1_000), MemoryPlatform::new());
    let (mut call, _) = start(&caller(&simulation, "k", 0), 1);
    let now = RuntimeClock.now();
    let (_, reserve) = start(&caller(&simulation, "k", 0), 1);
    let Action::Write(transaction) = reserve[0].clone() else {
        panic!("{reserve:?}")
    };
    let committed = table.transact(transaction).await;
    call.handle(now, Event::Written(committed));
    let actions = call.handle(
        now,
        Event::Sent(ebonylug_idempotency::SendOutcome::Refused(Reason::Full)),
    );
    assert_eq!(actions[..], [Action::SelectTarget]);
    let actions = call.handle(now, Event::TargetSelected(Err(Reason::NoTarget)));
    let Action::Write(transaction) = actions[0].clone() else {
        panic!("{actions:?}")
    };
    let committed = table.transact(transaction).await;
    let actions = call.handle(now, Event::Written(committed));
    assert_eq!(
        actions[..],
        [Action::Respond(CallOutcome::NotRun(Reason::NoTarget))]
    );
    assert_eq!(record(&table, "k").await.state, RecordState::NotRun);
    simulation.set_faults(0);
    assert!(is_response(
        &run(&table, &caller(&simulation, "k", 0), 2).await
    ));
    assert_eq!(record(&table, "k").await.attempt.number, 1);
}

/// Guards against an outcome "unknown" of one entry that hides the response received by another.
#[tokio::test(start_paused = true)]
async fn a_response_replaces_unknown() {
    let (simulation, table) = (Simulation::new(1, 0), MemoryPlatform::new());
    let first = caller(&simulation, "k", 0);
    let (call, actions) = run_steps(&table, &first, 1, 2).await;
    simulation.restart(0);
    simulation.restart(1);
    assert_eq!(
        run(&table, &caller(&simulation, "k", 0), 2).await,
        Some(CallOutcome::Unknown)
    );
    let mut outcome = None;
    drive(call, actions, &table, &first, &RuntimeClock, |result| {
        outcome = Some(result);
    })
    .await;
    assert_eq!(run(&table, &caller(&simulation, "k", 0), 3).await, outcome);
    assert!(is_response(&outcome));
}

/// Guards against rows of excessive size, and against responses that differ after storage.
#[tokio::test(start_paused = true)]
async fn responses_up_to_the_limit_are_stored() {
    for (length, byte, stored) in [
        (MAX_BODY_BYTES, b'a', true),
        (MAX_BODY_BYTES + 1, b'a', false),
        (9, 0xff, true),
    ] {
        let (simulation, table) = (Simulation::new(1, 0), MemoryPlatform::new());
        let caller = caller(&simulation, "k", 0);
        let (mut call, _) = run_steps(&table, &caller, 1, 1).await;
        let response = Response {
            status: 200,
            headers: vec![],
            body: vec![byte; length].into(),
        };
        let sent = ebonylug_idempotency::SendOutcome::Completed(response.clone());
        let actions = call.handle(RuntimeClock.now(), Event::Sent(sent));
        assert_eq!(
            actions[0],
            Action::Respond(CallOutcome::Response(response.clone()))
        );
        let Action::Write(transaction) = actions[1].clone() else {
            panic!("{actions:?}")
        };
        table.transact(transaction).await.unwrap();
        assert_eq!(
            record(&table, "k").await.state,
            RecordState::Done(stored.then_some(response))
        );
        // The sidecars of this simulation have no such attempt: without the stored response, a
        // retry gets the outcome unknown and does not run the call again.
        let retry = run(&table, &caller, 2).await;
        assert_eq!(is_response(&retry), stored, "{retry:?}");
        assert_eq!(simulation.runs("k"), []);
    }
}

/// Guards against collisions between the keys of two organisations or the hashes of two requests.
#[test]
fn keys_and_contents_differ() {
    let (a, b) = (Name::new("a"), Name::new("b"));
    assert_ne!(CallKey::new(&a, "k"), CallKey::new(&b, "k"));
    assert_ne!(CallKey::new(&a, "k"), CallKey::new(&a, "l"));
    let first = RequestHash::of("POST", "/a", b"b");
    for (method, path, body) in [("PUT", "/a", "b"), ("POST", "/ab", ""), ("POST", "/a", "c")] {
        assert_ne!(first, RequestHash::of(method, path, body.as_bytes()));
    }
}

/// Guards against a cache that grows without bound, returns expired values, or loses a key that
/// was inserted again.
#[test]
fn the_cache_is_bounded() {
    let start = std::time::Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let key = |n: u32| CallKey::new(&Name::new("o"), &n.to_string());
    let mut cache = CallCache::new(3, Duration::from_secs(10));
    for n in 0..4 {
        cache.insert(at(0), key(n), n);
    }
    assert_eq!(
        (
            cache.len(),
            cache.get(at(0), &key(0)),
            cache.get(at(0), &key(1))
        ),
        (3, None, Some(&1))
    );
    cache.insert(at(5), key(1), 9);
    assert_eq!(cache.get(at(10), &key(1)), Some(&9));
    assert_eq!(
        cache.get(at(10), &key(3)),
        None,
        "older than the retention period"
    );
    for second in 0..1_000 {
        cache.insert(at(20 + second), key(1), 1);
    }
    assert_eq!(cache.len(), 1);
}

/// Guards against entries that disagree about the owner of a key, and against the removal of a
/// sidecar that reassigns the keys of others.
#[test]
fn cache_owners_are_stable() {
    let mut sidecars: Vec<_> = (0..9).map(|n| Name::new(&format!("s{n}"))).collect();
    let keys: Vec<_> = (0..900)
        .map(|n| CallKey::new(&Name::new("o"), &n.to_string()))
        .collect();
    let owners = |sidecars: &[Name]| -> Vec<_> {
        keys.iter()
            .map(|key| cache_owner(key, sidecars).cloned().unwrap())
            .collect()
    };
    let before = owners(&sidecars);
    sidecars.reverse();
    assert_eq!(owners(&sidecars), before);
    let gone = sidecars.remove(4);
    for (old, new) in before.iter().zip(owners(&sidecars)) {
        assert!(*old == gone || *old == new);
    }
    let own = before.iter().filter(|name| **name == gone).count();
    assert!(
        (50..200).contains(&own),
        "{own} of 900 keys at one of 9 sidecars"
    );
    assert_eq!(cache_owner(&keys[0], &[]), None);
}

/// One caller of the random test with its outcome.
struct CallRecord {
    key: String,
    content: u8,
    caller: Arc<Caller>,
    outcome: Arc<Mutex<Option<CallOutcome>>>,
}

/// Counts of outcomes: response, not run, unknown, mismatch, none because the entry crashed.
type Counts = [usize; 5];

async fn run_random(seed: u64, faults: u64) -> Counts {
    let simulation = Simulation::new(seed, faults);
    let table = FaultyPlatform::new(MemoryPlatform::new(), seed, faults as u32);
    let mut records = Vec::new();
    let mut tasks = Vec::new();
    for number in 0..16u128 {
        let key = format!("k{}", simulation.draw(3));
        let content = u8::from(simulation.draw(8) == 0);
        let (outcome, delay) = (Arc::default(), simulation.draw(3_000));
        let caller = Arc::new(caller(&simulation, &key, content));
        records.push(CallRecord {
            key,
            content,
            caller: Arc::clone(&caller),
            outcome: Arc::clone(&outcome),
        });
        let (table, slot) = (table.clone(), outcome);
        tasks.push(tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(delay)).await;
            let (call, first) = start(&caller, number);
            let respond = |outcome| *slot.lock().unwrap() = Some(outcome);
            drive(call, first, &table, &*caller, &RuntimeClock, respond).await;
        }));
    }
    for _ in 0..6 {
        simulation.random_delay(600).await;
        match simulation.draw(4) {
            0 => simulation.restart(simulation.draw(2) as usize),
            _ => tasks[simulation.draw(16) as usize].abort(),
        }
    }
    for task in tasks {
        let _ = task.await;
    }
    simulation.set_faults(0);
    table.set_faults(0);
    // Longer than any delayed call.
    tokio::time::sleep(Duration::from_secs(5)).await;
    for number in 0..3u128 {
        let key = format!("k{number}");
        let caller = Arc::new(caller(&simulation, &key, 0));
        let outcome = run(&table, &caller, 100 + number).await;
        assert!(
            !matches!(outcome, None | Some(CallOutcome::NotRun(_))),
            "no faults, but {outcome:?}"
        );
        records.push(CallRecord {
            key,
            content: 0,
            caller,
            outcome: Arc::new(Mutex::new(outcome)),
        });
    }
    check(&simulation, &records)
}

fn check(simulation: &Simulation, records: &[CallRecord]) -> Counts {
    let mut counts = [0; 5];
    let mut responses = std::collections::HashMap::new();
    for CallRecord {
        key,
        content,
        caller,
        outcome,
    } in records
    {
        let runs = simulation.runs(key);
        assert!(runs.len() <= 1, "{key} ran as {runs:?}");
        let own_ran = || {
            runs.iter()
                .any(|run| caller.sent.lock().unwrap().contains(&run.attempt))
        };
        let index = match outcome.lock().unwrap().clone() {
            Some(CallOutcome::Response(response)) => {
                assert_eq!(runs.len(), 1, "a response without a run");
                assert_eq!(runs[0].content, *content, "the response to other content");
                assert_eq!(responses.entry(key).or_insert(response.clone()), &response);
                0
            }
            Some(CallOutcome::NotRun(_)) => {
                assert!(!own_ran(), "reported as not run, but it was run");
                1
            }
            Some(CallOutcome::Unknown) => 2,
            Some(CallOutcome::Mismatch) => {
                assert!(!own_ran(), "other content was run");
                3
            }
            None => 4,
        };
        counts[index] += 1;
    }
    counts
}

fn in_virtual_time<T>(future: impl Future<Output = T>) -> T {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_time().start_paused(true).build().unwrap();
    runtime.block_on(future)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000, rng_seed: RngSeed::Fixed(13), failure_persistence: None, ..ProptestConfig::default()
    })]

    /// Guards against a second run, different responses, and a false "not run", with 16 callers of
    /// 3 keys, entries that crash at any time, sidecars that restart, and calls that are lost or
    /// late.
    #[test]
    fn each_key_runs_at_most_once(seed in any::<u64>(), faults in 0u64..350) {
        in_virtual_time(run_random(seed, faults));
    }
}

/// Guards against a random test that does not reach every outcome.
#[test]
fn the_random_test_reaches_every_outcome() {
    let mut total = [0; 5];
    for seed in 0..50 {
        let counts = in_virtual_time(run_random(seed, 150));
        for (sum, count) in total.iter_mut().zip(counts) {
            *sum += count;
        }
    }
    println!("response, not run, unknown, mismatch, crashed: {total:?}");
    assert!(total.iter().all(|&count| count > 0));
}

/// Guards against a row of an unknown format that is treated as an unused key.
#[tokio::test(start_paused = true)]
async fn an_unreadable_record_is_unknown() {
    let (simulation, table) = (Simulation::new(1, 0), MemoryPlatform::new());
    let key = CallKey::new(&Name::new("mill"), "k");
    table
        .transact(Transaction::new().put(key.as_str(), "{}"))
        .await
        .unwrap();
    assert_eq!(
        run(&table, &caller(&simulation, "k", 0), 1).await,
        Some(CallOutcome::Unknown)
    );
    assert_eq!(simulation.runs("k"), []);
}
