//! Tests of keyed calls: each key runs at most once, and every caller learns the truth.

#[path = "../../ebonylug-config/tests/unreliable/mod.rs"]
mod unreliable;
mod world;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use ebonylug_core::{AttemptId, Clock, Name, Reason, RequestId};
use ebonylug_idempotency::{
    Action, Actions, CallCache, CallKey, CallOutcome, Event, KeyedCall, KeyedRequest,
    MAX_BODY_BYTES, Record, RecordState, RequestHash, Response, Transport, cache_owner, drive,
};
use ebonylug_platform::{Fault, MemoryPlatform, Table, Transaction};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use unreliable::Unreliable;
use world::{Caller, RuntimeClock, World};

const DEADLINE: Duration = Duration::from_secs(4);

fn caller(world: &World, key: &str, content: u8) -> Caller {
    Caller {
        world: world.clone(),
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
    let destination = caller.world.destination(caller.world.draw(2) as usize);
    KeyedCall::start(
        request,
        destination,
        RuntimeClock.now(),
        RuntimeClock.wall(),
    )
}

/// Runs a call to its end and returns what the caller was told.
async fn run(table: &impl Table, caller: &Caller, request: u128) -> Option<CallOutcome> {
    let (call, first) = start(caller, request);
    let mut verdict = None;
    drive(call, first, table, caller, &RuntimeClock, |told| {
        verdict = Some(told);
    })
    .await;
    verdict
}

async fn record(table: &MemoryPlatform, key: &str) -> Record {
    let key = CallKey::new(&Name::new("mill"), key);
    let row = table.get(key.as_str()).await.unwrap().unwrap();
    serde_json::from_str(&row.value).unwrap()
}

/// Carries out the first `steps` actions of a call, as an entry that dies after them.
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
        let event = match action.expect("the call goes on") {
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

fn answered(verdict: &Option<CallOutcome>) -> bool {
    matches!(verdict, Some(CallOutcome::Response(_)))
}

/// Guards against a second run, or a repeat without an answer, when the first entry dies after
/// any step, with and without a restart of the target's sidecar.
#[tokio::test(start_paused = true)]
async fn the_first_entry_dies_after_each_step() {
    // Steps of the first entry: reserve, send, record. Restart; answered, runs.
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
    for (steps, restart, answer, runs) in cases {
        let (world, table) = (World::new(1, 0), MemoryPlatform::new());
        run_steps(&table, &caller(&world, "k", 0), 1, steps).await;
        if restart {
            world.restart(0);
            world.restart(1);
        }
        let case = format!("dies after {steps} steps, restart {restart}");
        let second = run(&table, &caller(&world, "k", 0), 2).await;
        assert_eq!(answered(&second), answer, "{case}: {second:?}");
        assert_eq!(world.runs("k").len(), runs, "{case}");
        if !answer {
            assert_eq!(second, Some(CallOutcome::Unknown), "{case}");
            assert_eq!(
                record(&table, "k").await.state,
                RecordState::Unknown,
                "{case}"
            );
        }
        let third = run(&table, &caller(&world, "k", 0), 3).await;
        assert_eq!(third, second, "{case}: all callers are told the same");
        let other = run(&table, &caller(&world, "k", 1), 4).await;
        assert_eq!(
            other,
            Some(CallOutcome::Mismatch),
            "{case}: the key with other content"
        );
        assert_eq!(world.runs("k").len(), runs, "{case}");
    }
}

/// Guards against a second run by an entry that is slow, not dead: its attempt arrives after
/// another entry has revoked it.
#[tokio::test(start_paused = true)]
async fn a_slow_entry_finds_its_attempt_revoked() {
    let (world, table) = (World::new(1, 0), MemoryPlatform::new());
    let slow = caller(&world, "k", 0);
    let (call, actions) = run_steps(&table, &slow, 1, 1).await;
    let second = run(&table, &caller(&world, "k", 0), 2).await;
    assert_eq!(
        record(&table, "k").await.attempt,
        AttemptId {
            request: RequestId(1),
            number: 1
        }
    );
    let mut first = None;
    drive(call, actions, &table, &slow, &RuntimeClock, |told| {
        first = Some(told);
    })
    .await;
    assert!(answered(&first));
    assert_eq!(first, second);
    assert_eq!(world.runs("k").len(), 1);
    // The takeover keeps the time at which the key was first used, and states its own.
    let record = record(&table, "k").await;
    assert!(
        record.created < record.changed && record.changed < 4_000,
        "{record:?}"
    );
}

/// Guards against a call that is sent without its record, and against a verdict that the fault
/// does not allow, for faults at each call to the store: reserve, record, and retries.
#[tokio::test(start_paused = true)]
async fn faults_at_each_call() {
    use Fault::{LostCall, LostReply, None as Ok, Unavailable};
    let not_run = Some(CallOutcome::NotRun(Reason::Store));
    let unknown = Some(CallOutcome::Unknown);
    // Faults, whether the store is down afterwards, verdict (else the answer), runs.
    let cases: [(&[Fault], bool, Option<CallOutcome>, usize); 11] = [
        (&[], false, None, 1),
        (&[], true, not_run, 0),
        (&[Unavailable], false, None, 1),
        (&[LostCall], false, None, 1),
        (&[LostReply], false, None, 1),
        (&[LostReply, Unavailable, LostCall], false, None, 1),
        (&[LostReply, Ok, Unavailable], false, None, 1),
        (&[LostReply], true, unknown.clone(), 0),
        (&[LostCall], true, unknown, 0),
        (&[Ok, LostReply], false, None, 1),
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
        let (world, inner) = (World::new(1, 0), MemoryPlatform::new());
        inner.inject(faults.iter().copied());
        if down {
            inner.inject([Unavailable; 100]);
        }
        let verdict = run(&inner, &caller(&world, "k", 0), 1).await;
        match expected {
            Some(expected) => assert_eq!(verdict, Some(expected), "{faults:?} {down}"),
            None => assert!(answered(&verdict), "{faults:?}: {verdict:?}"),
        }
        assert_eq!(world.runs("k").len(), runs, "{faults:?}");
        let clean = drain(&inner).await;
        let again = run(&clean, &caller(&world, "k", 0), 2).await;
        assert!(answered(&again), "{faults:?}: the repeat gets {again:?}");
        assert_eq!(world.runs("k").len(), 1, "{faults:?}");
    }
}

/// Uses up the faults that are left.
async fn drain(platform: &MemoryPlatform) -> MemoryPlatform {
    while platform.get("x").await.is_err() {}
    platform.clone()
}

/// Guards against a caller that is told "not run" while the record stays reserved, and against a
/// proven refusal that blocks the key.
#[tokio::test(start_paused = true)]
async fn a_refused_call_can_be_repeated() {
    let (world, table) = (World::new(1, 1_000), MemoryPlatform::new());
    let (mut call, _) = start(&caller(&world, "k", 0), 1);
    let now = RuntimeClock.now();
    let (_, reserve) = start(&caller(&world, "k", 0), 1);
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
    world.set_faults(0);
    assert!(answered(&run(&table, &caller(&world, "k", 0), 2).await));
    assert_eq!(record(&table, "k").await.attempt.number, 1);
}

/// Guards against an outcome "unknown" of one entry that hides the answer which another has.
#[tokio::test(start_paused = true)]
async fn an_answer_replaces_unknown() {
    let (world, table) = (World::new(1, 0), MemoryPlatform::new());
    let first = caller(&world, "k", 0);
    let (call, actions) = run_steps(&table, &first, 1, 2).await;
    world.restart(0);
    world.restart(1);
    assert_eq!(
        run(&table, &caller(&world, "k", 0), 2).await,
        Some(CallOutcome::Unknown)
    );
    let mut told = None;
    drive(call, actions, &table, &first, &RuntimeClock, |verdict| {
        told = Some(verdict);
    })
    .await;
    assert_eq!(run(&table, &caller(&world, "k", 0), 3).await, told);
    assert!(answered(&told));
}

/// Guards against rows that outgrow the table, and against answers that change in it.
#[tokio::test(start_paused = true)]
async fn answers_up_to_the_bound_are_kept() {
    for (length, byte, kept) in [
        (MAX_BODY_BYTES, b'a', true),
        (MAX_BODY_BYTES + 1, b'a', false),
        (9, 0xff, true),
    ] {
        let (world, table) = (World::new(1, 0), MemoryPlatform::new());
        let caller = caller(&world, "k", 0);
        let (mut call, _) = run_steps(&table, &caller, 1, 1).await;
        let answer = Response {
            status: 200,
            headers: vec![],
            body: vec![byte; length].into(),
        };
        let sent = ebonylug_idempotency::SendOutcome::Completed(answer.clone());
        let actions = call.handle(RuntimeClock.now(), Event::Sent(sent));
        assert_eq!(
            actions[0],
            Action::Respond(CallOutcome::Response(answer.clone()))
        );
        let Action::Write(transaction) = actions[1].clone() else {
            panic!("{actions:?}")
        };
        table.transact(transaction).await.unwrap();
        assert_eq!(
            record(&table, "k").await.state,
            RecordState::Done(kept.then_some(answer))
        );
        // The sidecars of this world have no such attempt: without the kept answer, a repeat
        // learns that it is unknown and does not run again.
        let repeat = run(&table, &caller, 2).await;
        assert_eq!(answered(&repeat), kept, "{repeat:?}");
        assert_eq!(world.runs("k"), []);
    }
}

/// Guards against calls of two organisations, or of two requests, that count as one.
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

/// Guards against soft state that grows without bound, answers too late, or loses a key that was
/// inserted again.
#[test]
fn soft_keys_are_bounded() {
    let start = std::time::Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let key = |n: u32| CallKey::new(&Name::new("o"), &n.to_string());
    let mut soft = CallCache::new(3, Duration::from_secs(10));
    for n in 0..4 {
        soft.insert(at(0), key(n), n);
    }
    assert_eq!(
        (
            soft.len(),
            soft.get(at(0), &key(0)),
            soft.get(at(0), &key(1))
        ),
        (3, None, Some(&1))
    );
    soft.insert(at(5), key(1), 9);
    assert_eq!(soft.get(at(10), &key(1)), Some(&9));
    assert_eq!(
        soft.get(at(10), &key(3)),
        None,
        "older than the retention period"
    );
    for second in 0..1_000 {
        soft.insert(at(20 + second), key(1), 1);
    }
    assert_eq!(soft.len(), 1);
}

/// Guards against entries that disagree about the home of a key, and against a restart that
/// moves the keys of other sidecars.
#[test]
fn homes_are_stable() {
    let mut sidecars: Vec<_> = (0..9).map(|n| Name::new(&format!("s{n}"))).collect();
    let keys: Vec<_> = (0..900)
        .map(|n| CallKey::new(&Name::new("o"), &n.to_string()))
        .collect();
    let homes = |sidecars: &[Name]| -> Vec<_> {
        keys.iter()
            .map(|key| cache_owner(key, sidecars).cloned().unwrap())
            .collect()
    };
    let before = homes(&sidecars);
    sidecars.reverse();
    assert_eq!(homes(&sidecars), before);
    let gone = sidecars.remove(4);
    for (old, new) in before.iter().zip(homes(&sidecars)) {
        assert!(*old == gone || *old == new);
    }
    let own = before.iter().filter(|name| **name == gone).count();
    assert!(
        (50..200).contains(&own),
        "{own} of 900 keys at one of 9 sidecars"
    );
    assert_eq!(cache_owner(&keys[0], &[]), None);
}

/// What became of one caller in the random test.
struct Told {
    key: String,
    content: u8,
    caller: Arc<Caller>,
    verdict: Arc<Mutex<Option<CallOutcome>>>,
}

/// Counts of verdicts: answered, not run, unknown, mismatch, none because the entry died.
type Counts = [usize; 5];

async fn chaos(seed: u64, faults: u64) -> Counts {
    let world = World::new(seed, faults);
    let table = Unreliable::new(MemoryPlatform::new(), seed, faults as u32);
    let mut told = Vec::new();
    let mut tasks = Vec::new();
    for number in 0..16u128 {
        let key = format!("k{}", world.draw(3));
        let content = u8::from(world.draw(8) == 0);
        let (verdict, delay) = (Arc::default(), world.draw(3_000));
        let caller = Arc::new(caller(&world, &key, content));
        told.push(Told {
            key,
            content,
            caller: Arc::clone(&caller),
            verdict: Arc::clone(&verdict),
        });
        let (table, slot) = (table.clone(), verdict);
        tasks.push(tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(delay)).await;
            let (call, first) = start(&caller, number);
            let answer = |told| *slot.lock().unwrap() = Some(told);
            drive(call, first, &table, &*caller, &RuntimeClock, answer).await;
        }));
    }
    for _ in 0..6 {
        world.pause(600).await;
        match world.draw(4) {
            0 => world.restart(world.draw(2) as usize),
            _ => tasks[world.draw(16) as usize].abort(),
        }
    }
    for task in tasks {
        let _ = task.await;
    }
    world.set_faults(0);
    table.set_faults(0);
    // Longer than any delayed call.
    tokio::time::sleep(Duration::from_secs(5)).await;
    for number in 0..3u128 {
        let key = format!("k{number}");
        let caller = Arc::new(caller(&world, &key, 0));
        let verdict = run(&table, &caller, 100 + number).await;
        assert!(
            !matches!(verdict, None | Some(CallOutcome::NotRun(_))),
            "no faults, but {verdict:?}"
        );
        told.push(Told {
            key,
            content: 0,
            caller,
            verdict: Arc::new(Mutex::new(verdict)),
        });
    }
    check(&world, &told)
}

fn check(world: &World, told: &[Told]) -> Counts {
    let mut counts = [0; 5];
    let mut answers = std::collections::HashMap::new();
    for Told {
        key,
        content,
        caller,
        verdict,
    } in told
    {
        let runs = world.runs(key);
        assert!(runs.len() <= 1, "{key} ran as {runs:?}");
        let own_ran = || {
            runs.iter()
                .any(|run| caller.sent.lock().unwrap().contains(&run.attempt))
        };
        let index = match verdict.lock().unwrap().clone() {
            Some(CallOutcome::Response(answer)) => {
                assert_eq!(runs.len(), 1, "an answer without a run");
                assert_eq!(runs[0].content, *content, "the answer to other content");
                assert_eq!(answers.entry(key).or_insert(answer.clone()), &answer);
                0
            }
            Some(CallOutcome::NotRun(_)) => {
                assert!(!own_ran(), "told that it was not run, but it was");
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

    /// Guards against a second run, different answers, and a false "not run", with 16 callers of
    /// 3 keys, entries that die at any time, sidecars that restart, and calls that are lost or late.
    #[test]
    fn each_key_runs_at_most_once(seed in any::<u64>(), faults in 0u64..350) {
        in_virtual_time(chaos(seed, faults));
    }
}

/// Guards against a random test that never reaches a verdict.
#[test]
fn the_chaos_reaches_every_verdict() {
    let mut total = [0; 5];
    for seed in 0..50 {
        let counts = in_virtual_time(chaos(seed, 150));
        for (sum, count) in total.iter_mut().zip(counts) {
            *sum += count;
        }
    }
    println!("answered, not run, unknown, mismatch, died: {total:?}");
    assert!(total.iter().all(|&count| count > 0));
}

/// Guards against a row of another format that is taken for a free key.
#[tokio::test(start_paused = true)]
async fn an_unreadable_record_is_unknown() {
    let (world, table) = (World::new(1, 0), MemoryPlatform::new());
    let key = CallKey::new(&Name::new("mill"), "k");
    table
        .transact(Transaction::new().put(key.as_str(), "{}"))
        .await
        .unwrap();
    assert_eq!(
        run(&table, &caller(&world, "k", 0), 1).await,
        Some(CallOutcome::Unknown)
    );
    assert_eq!(world.runs("k"), []);
}
