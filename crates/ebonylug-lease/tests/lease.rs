//! Tests of leases: at most one holder at any time, and rising fencing numbers.

mod simulation;

use std::sync::Arc;
use std::time::Duration;

use ebonylug_core::{Clock, Fence, Incarnation, ManualClock, Name};
use ebonylug_lease::{Call, Candidate, LeaseRow, LeaseState, Reply, Settings};
use ebonylug_platform::{Fault, MemoryPlatform, Table, Transaction};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use simulation::{SECOND, Simulation, World};

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400, rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::default()
    })]

    /// Guards against two holders at the same true time and against fencing numbers that do not
    /// rise, under pauses, lost and late writes, outages, wrong wall clocks, and clocks that run
    /// up to 4 % fast or slow. Also against a lease that stays free once the faults end.
    #[test]
    fn at_most_one_holder(seed in any::<u64>(), candidates in 2usize..6, faults in 0u32..500, staggered: bool) {
        let mut settings = Settings::default();
        settings.stagger.interval = Duration::from_millis(200);
        let world = World {
            seed, candidates, settings, staggered, aligned: false, faults, drift: 40, pauses: true,
        };
        let mut simulation = Simulation::new(world);
        simulation.run(300 * SECOND);
        prop_assert!(simulation.trace.overlaps.is_empty(), "{:?}", simulation.trace.overlaps);
        let taken = &simulation.trace.taken;
        prop_assert!(taken.is_sorted_by(|a, b| a.2 < b.2), "{:?}", taken);
        simulation.calm();
        simulation.run(60 * SECOND);
        prop_assert!(simulation.holder().is_some(), "nobody holds the lease after the faults");
        prop_assert!(simulation.trace.overlaps.is_empty(), "{:?}", simulation.trace.overlaps);
    }
}

/// Guards against a simulation that never changes holders and so proves nothing.
#[test]
fn the_simulation_reaches_takeovers() {
    let settings = Settings::default();
    let world = World {
        seed: 1,
        candidates: 4,
        settings,
        staggered: false,
        aligned: false,
        faults: 300,
        drift: 40,
        pauses: true,
    };
    let mut simulation = Simulation::new(world);
    simulation.run(3_000 * SECOND);
    let trace = &simulation.trace;
    let changes = trace
        .taken
        .windows(2)
        .filter(|pair| pair[0].1 != pair[1].1)
        .count();
    println!(
        "taken {}, changes of holder {changes}, conflicts {}",
        trace.taken.len(),
        trace.conflicts
    );
    assert!(changes >= 20 && trace.conflicts > 0);
}

struct Process {
    clock: Arc<ManualClock>,
    candidate: Candidate<MemoryPlatform>,
}

fn process(table: &MemoryPlatform, number: u64, clock: &Arc<ManualClock>) -> Process {
    let name = Name::new(&format!("entry-{number}"));
    let state = LeaseState::new(
        "m",
        name,
        Incarnation(number),
        Settings::default(),
        clock.now(),
    );
    let clock = Arc::clone(clock);
    let candidate = Candidate::new(table.clone(), clock.clone(), state);
    Process { clock, candidate }
}

/// Guards against a step that cannot run on a multi-threaded runtime.
#[test]
fn steps_can_move_between_threads() {
    fn assert_send(_: impl Send) {}
    let clock = Arc::new(ManualClock::new());
    assert_send(process(&MemoryPlatform::new(), 1, &clock).candidate.step());
}

impl Process {
    /// Steps every 100 ms until the lease is taken.
    async fn take(&mut self, limit: Duration) -> Option<ebonylug_lease::Lease> {
        for _ in 0..limit.as_millis() / 100 {
            if let Some(lease) = self.candidate.step().await {
                return Some(lease);
            }
            self.clock.advance(Duration::from_millis(100));
        }
        None
    }
}

async fn row(table: &MemoryPlatform) -> LeaseRow {
    let row = table.get("lease/m").await.unwrap().unwrap();
    serde_json::from_str(&row.value).unwrap()
}

/// Guards against a lease that is taken twice, or is lost, because one reply was lost.
#[tokio::test]
async fn lost_replies_are_read_back() {
    use Fault::{LostCall, LostReply, None as Ok, Unavailable};
    let cases: [&[Fault]; 7] = [
        &[],
        &[LostReply],
        &[Ok, LostReply],
        &[Ok, LostCall],
        &[Ok, Unavailable],
        &[Ok, LostReply, LostReply],
        &[Ok, LostReply, Ok, LostReply, LostCall],
    ];
    for faults in cases {
        let table = MemoryPlatform::new();
        let clock = Arc::new(ManualClock::new());
        let mut first = process(&table, 1, &clock);
        table.inject(faults.iter().copied());
        let lease = first
            .take(Duration::from_secs(3))
            .await
            .expect("takes the lease");
        assert_eq!(
            (lease.fence(), row(&table).await.fence),
            (Fence(1), Fence(1)),
            "{faults:?}"
        );
        assert!(
            first.take(Duration::from_secs(60)).await.is_none(),
            "{faults:?}: taken twice"
        );
        assert!(lease.is_valid(), "{faults:?}: renewed");
    }
}

/// Guards against a holder that acts after a pause, and against a guard of an earlier hold that
/// gives up the present one.
#[tokio::test]
async fn a_paused_holder_takes_a_new_lease() {
    let table = MemoryPlatform::new();
    let clock = Arc::new(ManualClock::new());
    let mut first = process(&table, 1, &clock);
    let old = first.take(Duration::from_secs(1)).await.unwrap();
    clock.advance(Duration::from_secs(9));
    assert!(!old.is_valid());
    let new = first.take(Duration::from_secs(1)).await.unwrap();
    assert_eq!(new.fence(), Fence(2));
    assert!(!old.is_valid());
    drop(old);
    assert!(new.is_valid());
}

/// Guards against a released lease that others wait for, and against a process that takes it
/// back at once although it gave it up.
#[tokio::test]
async fn a_released_lease_is_free_at_once() {
    let table = MemoryPlatform::new();
    let clock = Arc::new(ManualClock::new());
    let (mut first, mut second) = (process(&table, 1, &clock), process(&table, 2, &clock));
    let lease = first.take(Duration::from_secs(1)).await.unwrap();
    first.candidate.release(lease).await;
    assert!(row(&table).await.released);
    assert!(first.take(Duration::from_secs(30)).await.is_none());
    let lease = second.take(Duration::from_secs(1)).await.unwrap();
    assert_eq!(lease.fence(), Fence(2));
    first.candidate.campaign();
    assert!(
        first.take(Duration::from_secs(5)).await.is_none(),
        "held by the other"
    );
}

/// Guards against a dropped guard whose lease is renewed on, and against a release whose write
/// was lost: the others wait for the duration.
#[tokio::test]
async fn a_dropped_guard_gives_up() {
    for (down, waits) in [(false, false), (true, true)] {
        let table = MemoryPlatform::new();
        let clock = Arc::new(ManualClock::new());
        let (mut first, mut second) = (process(&table, 1, &clock), process(&table, 2, &clock));
        let lease = first.take(Duration::from_secs(1)).await.unwrap();
        assert!(second.take(Duration::from_millis(100)).await.is_none());
        drop(lease);
        table.set_down(down);
        let _ = first.candidate.step().await;
        table.set_down(false);
        let early = second.take(Duration::from_secs(5)).await;
        assert_eq!(early.is_none(), waits);
        if early.is_none() {
            assert!(second.take(Duration::from_secs(6)).await.is_some());
        }
    }
}

/// Guards against a lost lease that is revived under its old fencing number by a renewal whose
/// reply was lost before the end.
#[tokio::test]
async fn a_lost_lease_is_not_revived() {
    let table = MemoryPlatform::new();
    let clock = Arc::new(ManualClock::new());
    let mut first = process(&table, 1, &clock);
    let old = first.take(Duration::from_secs(1)).await.unwrap();
    // Retries every 250 to 300 ms from 2.5 s on, beyond the end after 9 s.
    table.inject([Fault::LostCall; 30]);
    let new = first
        .take(Duration::from_secs(20))
        .await
        .expect("takes the lease again");
    assert!(!old.is_valid());
    assert_eq!(new.fence(), Fence(2));
}

/// Guards against a holder that goes on although the row names another, which took the lease too
/// early because of a broken clock or an operator's edit.
#[tokio::test]
async fn a_holder_yields_to_the_row() {
    for faults in [&[][..], &[Fault::LostCall][..]] {
        let table = MemoryPlatform::new();
        let clock = Arc::new(ManualClock::new());
        let mut first = process(&table, 1, &clock);
        let lease = first.take(Duration::from_secs(1)).await.unwrap();
        let mut other = row(&table).await;
        other.process = Incarnation(2);
        other.fence = Fence(2);
        let text = serde_json::to_string(&other).unwrap();
        table
            .transact(Transaction::new().put("lease/m", &text))
            .await
            .unwrap();
        table.inject(faults.iter().copied());
        assert!(first.take(Duration::from_secs(4)).await.is_none());
        assert!(!lease.is_valid(), "{faults:?}");
    }
}

/// Guards against a lease that counts as held once its release has been written.
#[tokio::test]
async fn a_released_lease_is_not_held() {
    let (table, clock) = (MemoryPlatform::new(), ManualClock::new());
    let name = Name::new("entry-1");
    let mut state = LeaseState::new("m", name, Incarnation(1), Settings::default(), clock.now());
    for step in 0..8 {
        if step == 4 {
            state.release(clock.now(), Fence(1));
        }
        let reply = match state.tick(clock.now(), clock.wall()) {
            Some(Call::Read) => Reply::Read(table.get("lease/m").await),
            Some(Call::Write(transaction)) => Reply::Write(table.transact(transaction).await),
            None => continue,
        };
        state.apply_reply(clock.now(), reply);
        let expected = (1..4).contains(&step).then_some(Fence(1));
        assert_eq!(state.fence(clock.now()), expected, "step {step}");
    }
    assert!(row(&table).await.released);
}
