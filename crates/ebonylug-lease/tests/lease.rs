//! Tests that a lease has at most one holder at any time, and that fencing tokens increase.

mod simulation;

use std::sync::Arc;
use std::time::Duration;

use ebonylug_core::{Clock, Fence, Incarnation, ManualClock, Name};
use ebonylug_lease::{Call, Candidate, LeaseRow, LeaseState, Reply, Settings};
use ebonylug_platform::{Fault, MemoryPlatform, Table, Transaction};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use simulation::{SECOND, Scenario, Simulation};

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400, rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::default()
    })]

    /// Guards against two holders at the same true time and against fencing tokens that do not
    /// increase, under pauses, lost and delayed writes, outages, wrong wall clocks, and monotonic
    /// clocks that run up to 4 % fast or slow. Also against a lease that is not acquired after the
    /// faults end.
    #[test]
    fn at_most_one_holder(seed in any::<u64>(), candidates in 2usize..6, faults in 0u32..500, staggered: bool) {
        let mut settings = Settings::default();
        settings.stagger.interval = Duration::from_millis(200);
        let scenario = Scenario {
            seed, candidates, settings, staggered, aligned: false, faults, drift: 40, disruptions: true,
        };
        let mut simulation = Simulation::new(scenario);
        simulation.run(300 * SECOND);
        prop_assert!(simulation.trace.overlaps.is_empty(), "{:?}", simulation.trace.overlaps);
        let acquired = &simulation.trace.acquired;
        prop_assert!(acquired.is_sorted_by(|a, b| a.2 < b.2), "{:?}", acquired);
        simulation.end_faults();
        simulation.run(60 * SECOND);
        prop_assert!(simulation.holder().is_some(), "nobody holds the lease after the faults");
        prop_assert!(simulation.trace.overlaps.is_empty(), "{:?}", simulation.trace.overlaps);
    }
}

/// Guards against a simulation without changes of the holder, which would not test takeovers.
#[test]
fn the_simulation_includes_takeovers() {
    let settings = Settings::default();
    let scenario = Scenario {
        seed: 1,
        candidates: 4,
        settings,
        staggered: false,
        aligned: false,
        faults: 300,
        drift: 40,
        disruptions: true,
    };
    let mut simulation = Simulation::new(scenario);
    simulation.run(3_000 * SECOND);
    let trace = &simulation.trace;
    let changes = trace
        .acquired
        .windows(2)
        .filter(|pair| pair[0].1 != pair[1].1)
        .count();
    println!(
        "acquired {}, changes of holder {changes}, conflicts {}",
        trace.acquired.len(),
        trace.conflicts
    );
    assert!(changes >= 20 && trace.conflicts > 0);
}

struct Process {
    clock: Arc<ManualClock>,
    candidate: Candidate<MemoryPlatform>,
}

fn process(store: &MemoryPlatform, number: u64, clock: &Arc<ManualClock>) -> Process {
    let name = Name::new(&format!("entry-{number}"));
    let state = LeaseState::new(
        "m",
        name,
        Incarnation(number),
        Settings::default(),
        clock.now(),
    );
    let clock = Arc::clone(clock);
    let candidate = Candidate::new(store.clone(), clock.clone(), state);
    Process { clock, candidate }
}

/// Guards against a future of `step` that is not `Send` and cannot run on a multi-threaded runtime.
#[test]
fn steps_can_move_between_threads() {
    fn assert_send(_: impl Send) {}
    let clock = Arc::new(ManualClock::new());
    assert_send(process(&MemoryPlatform::new(), 1, &clock).candidate.step());
}

impl Process {
    /// Steps every 100 ms until the lease is acquired, or until the limit has passed.
    async fn acquire(&mut self, limit: Duration) -> Option<ebonylug_lease::Lease> {
        for _ in 0..limit.as_millis() / 100 {
            if let Some(lease) = self.candidate.step().await {
                return Some(lease);
            }
            self.clock.advance(Duration::from_millis(100));
        }
        None
    }
}

async fn row(store: &MemoryPlatform) -> LeaseRow {
    let row = store.get("lease/m").await.unwrap().unwrap();
    serde_json::from_str(&row.value).unwrap()
}

/// Guards against a lease that is acquired twice, or expires, because replies were lost.
#[tokio::test]
async fn lost_replies_are_verified_by_a_read() {
    use Fault::{DropRequest, DropResponse, None as Ok, Unavailable};
    let cases: [&[Fault]; 7] = [
        &[],
        &[DropResponse],
        &[Ok, DropResponse],
        &[Ok, DropRequest],
        &[Ok, Unavailable],
        &[Ok, DropResponse, DropResponse],
        &[Ok, DropResponse, Ok, DropResponse, DropRequest],
    ];
    for faults in cases {
        let store = MemoryPlatform::new();
        let clock = Arc::new(ManualClock::new());
        let mut first = process(&store, 1, &clock);
        store.inject(faults.iter().copied());
        let lease = first
            .acquire(Duration::from_secs(3))
            .await
            .expect("acquires the lease");
        assert_eq!(
            (lease.fence(), row(&store).await.fence),
            (Fence(1), Fence(1)),
            "{faults:?}"
        );
        assert!(
            first.acquire(Duration::from_secs(60)).await.is_none(),
            "{faults:?}: acquired twice"
        );
        assert!(lease.is_valid(), "{faults:?}: renewed");
    }
}

/// Guards against a holder that continues after a pause beyond the expiry, and against the guard of
/// an expired lease that releases the current one.
#[tokio::test]
async fn a_paused_holder_acquires_a_new_lease() {
    let store = MemoryPlatform::new();
    let clock = Arc::new(ManualClock::new());
    let mut first = process(&store, 1, &clock);
    let old = first.acquire(Duration::from_secs(1)).await.unwrap();
    clock.advance(Duration::from_secs(9));
    assert!(!old.is_valid());
    let new = first.acquire(Duration::from_secs(1)).await.unwrap();
    assert_eq!(new.fence(), Fence(2));
    assert!(!old.is_valid());
    drop(old);
    assert!(new.is_valid());
}

/// Guards against other candidates that wait although the lease was released, and against a process
/// that acquires the lease again without being a candidate.
#[tokio::test]
async fn a_released_lease_is_available_at_once() {
    let store = MemoryPlatform::new();
    let clock = Arc::new(ManualClock::new());
    let (mut first, mut second) = (process(&store, 1, &clock), process(&store, 2, &clock));
    let lease = first.acquire(Duration::from_secs(1)).await.unwrap();
    first.candidate.release(lease).await;
    assert!(row(&store).await.released);
    assert!(first.acquire(Duration::from_secs(30)).await.is_none());
    let lease = second.acquire(Duration::from_secs(1)).await.unwrap();
    assert_eq!(lease.fence(), Fence(2));
    first.candidate.campaign();
    assert!(
        first.acquire(Duration::from_secs(5)).await.is_none(),
        "held by the other process"
    );
}

/// Guards against a dropped guard whose lease is still renewed, and against a wrong wait after a
/// release whose write failed: other candidates then wait for the duration.
#[tokio::test]
async fn a_dropped_guard_releases_the_lease() {
    for (down, waits) in [(false, false), (true, true)] {
        let store = MemoryPlatform::new();
        let clock = Arc::new(ManualClock::new());
        let (mut first, mut second) = (process(&store, 1, &clock), process(&store, 2, &clock));
        let lease = first.acquire(Duration::from_secs(1)).await.unwrap();
        assert!(second.acquire(Duration::from_millis(100)).await.is_none());
        drop(lease);
        store.set_down(down);
        let _ = first.candidate.step().await;
        store.set_down(false);
        let early = second.acquire(Duration::from_secs(5)).await;
        assert_eq!(early.is_none(), waits);
        if early.is_none() {
            assert!(second.acquire(Duration::from_secs(6)).await.is_some());
        }
    }
}

/// Guards against an expired lease that becomes valid again under its old fencing token by a
/// renewal whose reply was lost before the expiry.
#[tokio::test]
async fn an_expired_lease_is_not_extended() {
    let store = MemoryPlatform::new();
    let clock = Arc::new(ManualClock::new());
    let mut first = process(&store, 1, &clock);
    let old = first.acquire(Duration::from_secs(1)).await.unwrap();
    // The retries run every 250 to 300 ms from 2.5 s on, until after the expiry at 9 s.
    store.inject([Fault::DropRequest; 30]);
    let new = first
        .acquire(Duration::from_secs(20))
        .await
        .expect("acquires the lease again");
    assert!(!old.is_valid());
    assert_eq!(new.fence(), Fence(2));
}

/// Guards against a holder that continues although the row names another process, which acquired
/// the lease too early because of a broken clock or an edit by an operator.
#[tokio::test]
async fn a_holder_stops_when_the_row_names_another() {
    for faults in [&[][..], &[Fault::DropRequest][..]] {
        let store = MemoryPlatform::new();
        let clock = Arc::new(ManualClock::new());
        let mut first = process(&store, 1, &clock);
        let lease = first.acquire(Duration::from_secs(1)).await.unwrap();
        let mut other = row(&store).await;
        other.process = Incarnation(2);
        other.fence = Fence(2);
        let text = serde_json::to_string(&other).unwrap();
        store
            .transact(Transaction::new().put("lease/m", &text))
            .await
            .unwrap();
        store.inject(faults.iter().copied());
        assert!(first.acquire(Duration::from_secs(4)).await.is_none());
        assert!(!lease.is_valid(), "{faults:?}");
    }
}

/// Guards against a lease that is considered held after its release has been written.
#[tokio::test]
async fn a_released_lease_is_not_held() {
    let (store, clock) = (MemoryPlatform::new(), ManualClock::new());
    let name = Name::new("entry-1");
    let mut state = LeaseState::new("m", name, Incarnation(1), Settings::default(), clock.now());
    for step in 0..8 {
        if step == 4 {
            state.release(clock.now(), Fence(1));
        }
        let reply = match state.tick(clock.now(), clock.wall()) {
            Some(Call::Read) => Reply::Read(store.get("lease/m").await),
            Some(Call::Write(transaction)) => Reply::Write(store.transact(transaction).await),
            None => continue,
        };
        state.apply_reply(clock.now(), reply);
        let expected = (1..4).contains(&step).then_some(Fence(1));
        assert_eq!(state.fence(clock.now()), expected, "step {step}");
    }
    assert!(row(&store).await.released);
}
