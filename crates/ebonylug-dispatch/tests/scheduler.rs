//! Which request goes where, and when.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use ebonylug_core::Name;
use ebonylug_dispatch::{
    Decision, Outcome, PeerLoad, Placement, PlacementRequest, Reason, Scheduler, SchedulerSettings,
    Target, TargetKey, TargetState, VersionFilter, stable_hash,
};
use smallvec::SmallVec;

const SLOTS: u32 = 6;

fn scheduler(seed: u64) -> Scheduler {
    Scheduler::new(SchedulerSettings::default(), Name::new("zone-0"), seed)
}

fn target(number: usize) -> Target {
    Target {
        name: Name::new(&format!("engine-{number}")),
        service: Name::new("pool"),
        address: ([10, 0, 0, 1], 80).into(),
        zone: Name::new(&format!("zone-{}", number % 3)),
        version: "v1".into(),
        slots: SLOTS,
        state: TargetState::Serving,
        cold: Duration::ZERO,
        started_ms: 1,
    }
}

fn ask(rank: u8) -> PlacementRequest {
    PlacementRequest {
        service: Name::new("pool"),
        rank,
        cache_key: None,
        tried: SmallVec::new(),
        max_wait: Duration::from_millis(500),
        retry_after: Duration::from_secs(1),
        model: true,
        prompt: 500,
        versions: VersionFilter::All,
    }
}

fn sent(asked: Placement) -> Option<TargetKey> {
    match asked {
        Placement::Send(key) => Some(key),
        Placement::Wait(_) | Placement::Refuse(_) => None,
    }
}

/// Sends without reading prompts until nothing more is sent; the targets read at once.
fn fill(scheduler: &mut Scheduler, now: Instant, rank: u8) -> Vec<TargetKey> {
    let mut keys = Vec::new();
    let mut request = ask(rank);
    request.max_wait = Duration::ZERO;
    while let Some(key) = sent(scheduler.place(now, request.clone())) {
        scheduler.finish_prefill(key, request.prompt);
        keys.push(key);
    }
    keys
}

/// Guards against less urgent work that takes every slot, so that urgent requests wait behind it.
#[test]
fn less_urgent_work_leaves_slots_free() {
    let now = Instant::now();
    let mut scheduler = scheduler(1);
    for number in 0..10 {
        scheduler.put_target(now, target(number));
    }
    let least = fill(&mut scheduler, now, 2).len();
    let middle = fill(&mut scheduler, now, 1).len();
    let most = fill(&mut scheduler, now, 0).len();
    assert_eq!(least, 54, "a tenth of 60 slots stays free");
    assert_eq!(
        least + middle + most,
        60,
        "no request waits inside an engine"
    );
    assert!(middle > 0 && most > 0);
}

/// Guards against a queue in order of arrival.
#[test]
fn urgent_requests_that_wait_go_first() {
    let now = Instant::now();
    let mut scheduler = scheduler(1);
    let key = scheduler.put_target(now, target(0));
    let running = fill(&mut scheduler, now, 0);
    assert_eq!(running.len(), 6);
    let Placement::Wait(late) = scheduler.place(now, ask(2)) else {
        panic!("the target is full");
    };
    let Placement::Wait(urgent) = scheduler.place(now, ask(0)) else {
        panic!("the target is full");
    };
    scheduler.finish(now, key, Outcome::Answered, None);
    let decisions = scheduler.poll(now);
    assert_eq!(decisions.as_slice(), [(urgent, Decision::Send(key))]);
    let later = now + Duration::from_millis(600);
    let decisions = scheduler.poll(later);
    let [(refused, Decision::Refuse(refusal))] = decisions.as_slice() else {
        panic!("the other request has waited long enough");
    };
    assert_eq!((*refused, refusal.reason), (late, Reason::Full));
    assert!(refusal.retry_after >= Duration::from_millis(500));
}

/// Guards against requests to targets that are about to stop, gone, in a zone that was taken out, of a
/// version that must get nothing, or tried before.
#[test]
fn some_targets_get_nothing() {
    type Case = (
        &'static str,
        fn(&mut Scheduler, Instant, &mut PlacementRequest, TargetKey),
    );
    let cases: [Case; 5] = [
        ("leaving", |scheduler, now, _, _| {
            let state = TargetState::Leaving;
            scheduler.put_target(now, Target { state, ..target(0) });
        }),
        ("gone", |scheduler, _, _, _| {
            scheduler.remove_target(&Name::new("engine-0"));
        }),
        ("zone taken out", |scheduler, now, _, _| {
            scheduler.set_drained(now, HashSet::from([Name::new("zone-0")]));
        }),
        ("version barred", |_, _, ask, _| {
            ask.versions = VersionFilter::Except("v1".into());
        }),
        ("tried", |_, _, ask, key| ask.tried.push(key)),
    ];
    for (name, change) in cases {
        let now = Instant::now();
        let mut scheduler = scheduler(1);
        let key = scheduler.put_target(now, target(0));
        let mut request = ask(0);
        change(&mut scheduler, now, &mut request, key);
        let asked = scheduler.place(now, request);
        assert_eq!(sent(asked), None, "{name}");
    }
}

/// Guards against a request that waits for a service without targets until its patience ends.
#[test]
fn without_targets_the_refusal_comes_at_once() {
    let asked = scheduler(1).place(Instant::now(), ask(0));
    let Placement::Refuse(refusal) = asked else {
        panic!("{asked:?}");
    };
    assert_eq!(refusal.reason, Reason::NoTarget);
}

/// Guards against a cold target that gets the sum of what all entries may send.
#[test]
fn all_entries_together_keep_to_the_rate_of_a_cold_target() {
    let (rate, bound) = (11.0, 11.0 * 1.5 + 5.0);
    for entries in [1, 4, 22] {
        let start = Instant::now();
        let cold = Duration::from_secs(3);
        let mut times = Vec::new();
        for seed in 0..entries {
            let mut scheduler = scheduler(seed as u64 + 1);
            scheduler.set_entries(entries);
            scheduler.set_cold_limit(Name::new("pool"), rate, cold);
            scheduler.put_target(start, Target { cold, ..target(0) });
            for step in 0..300_u32 {
                let now = start + Duration::from_millis(10) * step;
                if let Some(key) = sent(scheduler.place(
                    now,
                    PlacementRequest {
                        max_wait: Duration::ZERO,
                        ..ask(0)
                    },
                )) {
                    times.push(now);
                    scheduler.finish_prefill(key, 500);
                    scheduler.finish(now, key, Outcome::Answered, None);
                }
            }
        }
        times.sort_unstable();
        let second = Duration::from_secs(1);
        for &from in &times {
            let count = times
                .iter()
                .filter(|&&time| time >= from && time < from + second)
                .count();
            assert!(
                count as f64 <= bound,
                "{count} in a second with {entries} entries"
            );
        }
        assert!(
            times.len() as f64 >= rate,
            "{} in 3 s with {entries} entries",
            times.len()
        );
    }
}

/// Guards against a target that failed, came back cold, and gets its usual load at once.
#[test]
fn a_target_that_comes_back_after_breaks_is_taken_to_be_cold() {
    let start = Instant::now();
    let mut scheduler = scheduler(1);
    scheduler.set_cold_limit(Name::new("pool"), 11.0, Duration::from_secs(3));
    let key = scheduler.put_target(start, target(0));
    for _ in 0..2 {
        assert_eq!(sent(scheduler.place(start, ask(0))), Some(key));
        scheduler.finish(start, key, Outcome::Broken, None);
    }
    assert_eq!(sent(scheduler.place(start, ask(0))), None, "it rests");
    let later = start + Duration::from_secs(1);
    assert_eq!(scheduler.poll(later).len(), 1, "one request is a trial");
    assert_eq!(sent(scheduler.place(later, ask(0))), None, "only one");
    scheduler.finish(later, key, Outcome::Answered, None);
    let sends = fill(&mut scheduler, later + Duration::from_millis(200), 0);
    assert!(sends.len() <= 1, "{} requests at once", sends.len());
}

/// Guards against entries that all send to the same target because they share late news: 189 requests
/// of 21 entries in three zones that last heard each other before any of them.
#[test]
fn entries_with_the_same_news_spread_over_the_targets() {
    let now = Instant::now();
    let mut counts: HashMap<u64, u32> = HashMap::new();
    for seed in 0..21 {
        let zone = Name::new(&format!("zone-{}", seed % 3));
        let mut scheduler = Scheduler::new(SchedulerSettings::default(), zone, seed + 1);
        let mut names = HashMap::new();
        for number in 0..60 {
            let key = scheduler.put_target(now, target(number));
            names.insert(key, stable_hash(target(number).name.as_str()));
        }
        for _ in 0..9 {
            let key = sent(scheduler.place(now, ask(0))).expect("targets are free");
            *counts.entry(names[&key]).or_default() += 1;
        }
    }
    // On average three for each target.
    let most = counts.values().max().copied().unwrap_or(0);
    assert!(most <= 2 * SLOTS, "{most} requests at one target");
    assert!(
        counts.len() >= 50,
        "only {} targets were used",
        counts.len()
    );
}

/// Guards against long prompts on slow targets, where reading them delays the events of all others.
#[test]
fn long_prompts_go_to_fast_targets() {
    let now = Instant::now();
    let mut scheduler = scheduler(1);
    let mut fast = HashSet::new();
    for number in 0..12 {
        let key = scheduler.put_target(
            now,
            Target {
                zone: Name::new("zone-0"),
                ..target(number)
            },
        );
        if number % 3 == 0 {
            fast.insert(key);
        }
    }
    let paces: HashMap<u32, PeerLoad> = (0..12)
        .map(|number| {
            let hash = (stable_hash(target(number).name.as_str()) >> 32) as u32;
            let pace = if number % 3 == 0 { 0.01 } else { 0.04 };
            let others = PeerLoad {
                pace,
                paces: 1,
                ..PeerLoad::default()
            };
            (hash, others)
        })
        .collect();
    scheduler.set_peer_loads(&paces);
    let long = PlacementRequest {
        prompt: 3_000,
        ..ask(0)
    };
    let mut on_fast = 0;
    for _ in 0..100 {
        let key = sent(scheduler.place(now, long.clone())).expect("targets are free");
        on_fast += u32::from(fast.contains(&key));
        scheduler.finish_prefill(key, long.prompt);
        scheduler.finish(now, key, Outcome::Answered, None);
    }
    assert!(on_fast >= 60, "{on_fast} of 100 on the fast third");
}

/// Guards against places that stay taken after requests end.
#[test]
fn ended_requests_free_their_places() {
    let now = Instant::now();
    let mut scheduler = scheduler(1);
    scheduler.put_target(now, target(0));
    for _ in 0..100 {
        let keys = fill(&mut scheduler, now, 0);
        assert_eq!(keys.len(), SLOTS as usize);
        for key in keys {
            scheduler.finish(now, key, Outcome::Answered, None);
        }
    }
}

/// Guards against a crashed target that looks idle and draws the requests of all entries: one entry that
/// found it out of reach is enough, but not against an entry that has just been answered.
#[test]
fn a_target_that_one_entry_cannot_reach_is_left_by_all() {
    let now = Instant::now();
    let (mut first, mut second, mut third) = (scheduler(1), scheduler(2), scheduler(3));
    let crashed = first.put_target(now, target(0));
    second.put_target(now, target(0));
    third.put_target(now, target(0));
    assert_eq!(sent(third.place(now, ask(0))), Some(crashed));
    third.finish(now, crashed, Outcome::Answered, None);
    assert_eq!(sent(first.place(now, ask(0))), Some(crashed));
    first.finish(now, crashed, Outcome::Unreachable, None);
    let told: HashMap<u32, PeerLoad> = first
        .local_loads()
        .map(|running| {
            let resting = u32::from(running.unhealthy);
            (
                running.target,
                PeerLoad {
                    unhealthy: resting,
                    ..PeerLoad::default()
                },
            )
        })
        .collect();
    second.set_peer_loads(&told);
    third.set_peer_loads(&told);
    assert_eq!(sent(second.place(now, ask(0))), None);
    assert_eq!(
        sent(third.place(now, ask(0))),
        Some(crashed),
        "it was answered a moment ago"
    );
    let later = now + Duration::from_secs(1);
    assert_eq!(
        sent(first.place(later, ask(0))),
        Some(crashed),
        "a trial after the rest"
    );
}

/// Guards against a new subject that is bound to a target by its hash alone, whatever that target's speed
/// and zone, and against a known subject whose prompt is read again elsewhere.
#[test]
fn only_subjects_that_come_again_are_bound_to_a_target() {
    let now = Instant::now();
    let mut scheduler = scheduler(1);
    let mut near = HashSet::new();
    for number in 0..12 {
        let key = scheduler.put_target(now, target(number));
        if number % 3 == 0 {
            near.insert(key);
        }
    }
    let with = |subject| PlacementRequest {
        cache_key: Some(subject),
        ..ask(0)
    };
    let mut on_near = 0;
    for subject in 0..100 {
        let first = sent(scheduler.place(now, with(subject))).expect("targets are free");
        on_near += u32::from(near.contains(&first));
        scheduler.finish_prefill(first, 500);
        scheduler.finish(now, first, Outcome::Answered, None);
        let again = sent(scheduler.place(now, with(subject))).expect("targets are free");
        assert_eq!(first, again);
        scheduler.finish_prefill(again, 500);
        scheduler.finish(now, again, Outcome::Answered, None);
    }
    assert!(on_near >= 60, "{on_near} of 100 in the own zone");
}

/// Guards against a long prompt at a busy or slow target while a better one is known: its first token then comes
/// after the aim, since reading it takes long anyway.
///
/// Twelve targets of one zone are busy to different degrees, as at the load of a burst; one of them is free.
#[test]
fn a_long_prompt_goes_to_the_best_target() {
    let now = Instant::now();
    let best = Name::new("engine-21");
    for seed in 0..50 {
        let mut scheduler = scheduler(seed);
        let mut others = HashMap::new();
        for number in (0..36).step_by(3) {
            let target = target(number);
            if target.name != best {
                let busy = PeerLoad {
                    requests: 1 + u32::try_from(number % 4).expect("it is small"),
                    prefill: 1_000,
                    ..PeerLoad::default()
                };
                let hash = (stable_hash(target.name.as_str()) >> 32) as u32;
                others.insert(hash, busy);
            }
            scheduler.put_target(now, target);
        }
        scheduler.set_peer_loads(&others);
        let mut long = ask(0);
        long.prompt = 12_000;
        let key = sent(scheduler.place(now, long)).expect("there is room");
        let chosen = scheduler.target(key).map(|target| target.name.clone());
        assert_eq!(chosen.as_ref(), Some(&best), "seed {seed}");
    }
}
