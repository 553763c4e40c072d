//! Checks the fake engine on cases that can be computed by hand.

use ebonylug_core::{AttemptId, RequestId};
use ebonylug_measure::deployment::generation;
use ebonylug_measure::engine::{AttemptWork, Engine, EngineEvent, EngineKind, SECOND};

fn work(job: u128, own_tokens: u64, output: u64) -> AttemptWork {
    AttemptWork {
        attempt: AttemptId {
            request: RequestId(job),
            number: 0,
        },
        own_tokens,
        shared_blocks: Vec::new(),
        output,
        offset: 0,
        poison: false,
        batch: false,
    }
}

/// Runs until the engine is empty; returns the events with their times in milliseconds.
fn run(engine: &mut Engine, from: u64) -> Vec<(u64, EngineEvent)> {
    let mut seen = Vec::new();
    let mut now = from;
    while let Some(next) = engine.next_event() {
        now = now.max(next);
        let mut events = Vec::new();
        engine.advance(now, &mut events);
        seen.extend(events.into_iter().map(|event| (now / 1_000, event)));
    }
    seen
}

/// Guards against prefill and decode rates that differ from the specification.
#[test]
fn a_single_request_takes_its_prefill_and_decode_time() {
    let mut engine = Engine::new(EngineKind::Model(generation(0)));
    engine.start(work(1, 400, 30), &mut Vec::new());
    let seen = run(&mut engine, 0);
    // 400 tokens at 4,000 per second, then 30 tokens at 30 per second.
    assert_eq!(seen[0].0, 100);
    assert!((1_099..=1_101).contains(&seen[1].0), "{seen:?}");
}

/// Guards against a cold engine that is slower than specified within its stream limit, or that does
/// not crash with two streams above it.
#[test]
fn a_cold_engine_is_slow_and_crashes_two_streams_above_its_limit() {
    let mut engine = Engine::new(EngineKind::Model(generation(2)));
    engine.make_cold(15 * SECOND);
    let mut events = Vec::new();
    engine.start(work(1, 400, 30), &mut events);
    engine.start(work(2, 400, 30), &mut events);
    assert!(events.is_empty());
    let seen = run(&mut engine.clone(), 0);
    // Both streams share 4,000 tokens per second.
    assert_eq!(seen[0].0, 200);
    engine.start(work(3, 400, 30), &mut events);
    assert_eq!(engine.cold_excess(), 1);
    assert!(events.is_empty());
    engine.start(work(4, 400, 30), &mut events);
    assert_eq!(events, [EngineEvent::Crashed]);
}
