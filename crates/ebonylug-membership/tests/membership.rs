//! States of instances in virtual time, from fixed message sequences and compared with a reference
//! model.
#![allow(missing_docs)]

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use ebonylug_core::{Incarnation, Name};
use ebonylug_membership::{MAX_MEMBERS, MemberReason, MemberState, Membership, Settings};
use ebonylug_platform::{InstanceRow, InstanceState};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn row(n: usize, state: InstanceState) -> InstanceRow {
    InstanceRow {
        instance: name(n),
        zone: "z".into(),
        state,
        data: format!("127.0.0.1:{n}").into(),
        control: "127.0.0.1:1".into(),
        target: Some(Name::new(&format!("t-{n}"))),
    }
}

fn name(n: usize) -> Name {
    Name::new(&format!("i-{n}"))
}

#[derive(Clone, Copy, Debug)]
enum Step {
    /// A list arrives that contains the instance as live, as leaving, or not at all.
    Live,
    Leaving,
    Missing,
    /// A heartbeat or leave notice of an incarnation arrives.
    Heartbeat(u64),
    Leave(u64),
    /// The given number of milliseconds passes without a message.
    Wait(u64),
    /// The given number of seconds passes with a heartbeat of an incarnation every second and
    /// without lists.
    HeartbeatEverySecond(u64, u64),
}

use Step::{Heartbeat, HeartbeatEverySecond, Leave, Leaving, Live, Missing, Wait};

/// Description, message sequence, and the resulting state and reason.
type Case = (
    &'static str,
    &'static [Step],
    Option<(MemberState, MemberReason)>,
);

/// Guards, case by case, against a wrong state after the message sequence that the case describes.
#[test]
fn states_follow_the_messages() {
    use MemberReason as R;
    use MemberState as S;
    let table: &[Case] = &[
        ("listed only", &[Live], Some((S::Joining, R::Listed))),
        (
            "listed and heartbeat",
            &[Live, Heartbeat(1)],
            Some((S::Live, R::Reachable)),
        ),
        (
            "heartbeat before the list",
            &[Heartbeat(1)],
            Some((S::Live, R::ReachableUnlisted)),
        ),
        (
            "one heartbeat late",
            &[Live, Heartbeat(1), Wait(1_600)],
            Some((S::Suspect, R::NoHeartbeat)),
        ),
        (
            "two heartbeats lost",
            &[Live, Heartbeat(1), Wait(2_600)],
            Some((S::Unreachable, R::NoHeartbeat)),
        ),
        (
            "heartbeat after a timeout",
            &[Live, Heartbeat(1), Wait(9_000), Heartbeat(1)],
            Some((S::Live, R::Reachable)),
        ),
        (
            "stale list after a leave notice",
            &[Live, Heartbeat(1), Leave(1), Live, Live],
            Some((S::Leaving, R::LeaveNotice)),
        ),
        (
            "late heartbeat after a leave notice",
            &[Live, Heartbeat(1), Leave(1), Heartbeat(1)],
            Some((S::Leaving, R::LeaveNotice)),
        ),
        (
            "new incarnation after a leave notice",
            &[Live, Heartbeat(1), Leave(1), Heartbeat(2)],
            Some((S::Live, R::Reachable)),
        ),
        (
            "old heartbeat after a new incarnation",
            &[
                Live,
                Heartbeat(1),
                Leave(1),
                Heartbeat(2),
                Wait(2_600),
                Heartbeat(1),
            ],
            Some((S::Unreachable, R::NoHeartbeat)),
        ),
        (
            "leave notice of an old incarnation",
            &[Live, Heartbeat(1), Heartbeat(2), Leave(1)],
            Some((S::Live, R::Reachable)),
        ),
        (
            "leave notice before any other message",
            &[Leave(1), Live, Heartbeat(1)],
            Some((S::Leaving, R::LeaveNotice)),
        ),
        (
            "leave notice overtakes the last heartbeat of its incarnation",
            &[Live, Leave(1), Heartbeat(1), Heartbeat(2), Heartbeat(1)],
            Some((S::Live, R::Reachable)),
        ),
        (
            "list marks the instance as leaving",
            &[Live, Heartbeat(1), Leaving, Heartbeat(1)],
            Some((S::Leaving, R::ListLeaving)),
        ),
        (
            "list marks the former incarnation as leaving",
            &[Live, Heartbeat(1), Leaving, Heartbeat(2), Leaving],
            Some((S::Live, R::Reachable)),
        ),
        (
            "list marks the instance as live again",
            &[Live, Heartbeat(1), Leaving, Live],
            Some((S::Live, R::Reachable)),
        ),
        (
            "missing in the list but sends heartbeats",
            &[
                Live,
                Heartbeat(1),
                Missing,
                HeartbeatEverySecond(60, 1),
                Missing,
            ],
            Some((S::Live, R::ReachableUnlisted)),
        ),
        (
            "missing in the list and no heartbeats",
            &[Live, Heartbeat(1), Missing, Wait(31_000), Missing],
            None,
        ),
        (
            "list is unavailable and no heartbeats",
            &[Live, Heartbeat(1), Wait(600_000)],
            Some((S::Unreachable, R::NoHeartbeat)),
        ),
        (
            "list is unavailable after it did not contain an instance without heartbeats",
            &[Live, Heartbeat(1), Missing, Wait(31_000)],
            Some((S::Unreachable, R::ListOutdated)),
        ),
        (
            "list is unavailable and heartbeats arrive",
            &[Live, Heartbeat(1), HeartbeatEverySecond(600, 1)],
            Some((S::Live, R::Reachable)),
        ),
        (
            "stale list after removal",
            &[
                Live,
                Heartbeat(1),
                Leave(1),
                Missing,
                Wait(31_000),
                Missing,
                Live,
                Heartbeat(1),
            ],
            Some((S::Leaving, R::LeaveNotice)),
        ),
        (
            "leave notice while the list is unavailable",
            &[Live, Heartbeat(1), Wait(60_000), Leave(1), Wait(60_000)],
            Some((S::Leaving, R::LeaveNotice)),
        ),
    ];
    for (case, steps, expected) in table {
        let mut now = Instant::now();
        let mut members = Membership::new(Settings::default());
        for step in *steps {
            match *step {
                Live => members.apply_list(now, &[row(1, InstanceState::Live)]),
                Leaving => members.apply_list(now, &[row(1, InstanceState::Leaving)]),
                Missing => members.apply_list(now, &[]),
                Heartbeat(incarnation) => {
                    let row = row(1, InstanceState::Live);
                    members.record_heartbeat(now, &name(1), Incarnation(incarnation), Some(&row));
                }
                Leave(incarnation) => members.record_leave(now, &name(1), Incarnation(incarnation)),
                Wait(ms) => now += Duration::from_millis(ms),
                HeartbeatEverySecond(seconds, incarnation) => {
                    for _ in 0..seconds {
                        now += Duration::from_secs(1);
                        members.record_heartbeat(now, &name(1), Incarnation(incarnation), None);
                        members.tick(now);
                    }
                }
            }
            members.tick(now);
        }
        assert_eq!(members.explain(now, "i-1"), *expected, "{case}");
        assert_eq!(
            members.state("i-1"),
            expected.map(|(state, _)| state),
            "{case}"
        );
    }
}

/// Guards against state changes that are returned twice or not at all.
#[test]
fn state_changes_are_returned_once() {
    let mut now = Instant::now();
    let mut members = Membership::new(Settings::default());
    members.apply_list(now, &[row(1, InstanceState::Live)]);
    let mut states = Vec::new();
    for second in 0..100 {
        if (5..10).contains(&second) {
            members.record_heartbeat(now, &name(1), Incarnation(1), None);
        }
        if second % 10 == 0 && second > 20 {
            members.apply_list(now, &[]);
        }
        states.extend(members.tick(now).into_iter().map(|change| change.state));
        now += Duration::from_secs(1);
    }
    use MemberState::{Gone, Joining, Live, Suspect, Unreachable};
    assert_eq!(states, [Joining, Live, Suspect, Unreachable, Gone]);
}

/// Guards against unbounded growth by instances, incarnations and notices.
#[test]
fn membership_is_bounded() {
    let now = Instant::now();
    let mut members = Membership::new(Settings::default());
    for n in 0..2 * MAX_MEMBERS {
        members.record_leave(now, &Name::new(&format!("x-{n}")), Incarnation(1));
        members.apply_list(now, &[row(n, InstanceState::Live)]);
        if n > MAX_MEMBERS + 100 {
            break;
        }
    }
    assert_eq!(members.members().count(), MAX_MEMBERS);
    assert_eq!(members.ignored_count(), 102);
    for incarnation in 0..1_000 {
        members.record_heartbeat(now, &name(1), Incarnation(incarnation), None);
    }
    assert_eq!(members.state("i-1"), Some(MemberState::Live));
}

/// A message or a wait. Indexes and incarnations are small, so that messages meet the same
/// instances.
#[derive(Clone, Debug)]
enum Op {
    /// For each instance: live, leaving, or not in the list.
    List(Vec<Option<bool>>),
    Heartbeat(usize, u64),
    Leave(usize, u64),
    Wait(u64),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        2 => proptest::collection::vec(proptest::option::of(any::<bool>()), 3).prop_map(Op::List),
        6 => (0..3usize, 0..4u64).prop_map(|(n, i)| Op::Heartbeat(n, i)),
        1 => (0..3usize, 0..4u64).prop_map(|(n, i)| Op::Leave(n, i)),
        3 => (1..4_000u64).prop_map(Op::Wait),
    ]
}

/// Reference model, which derives from the messages what must hold. Each instance uses up to four
/// incarnations.
#[derive(Default)]
struct Model {
    /// Incarnations that have left or were replaced by another.
    retired: BTreeSet<(usize, u64)>,
    current: BTreeMap<usize, u64>,
    last_heartbeat: BTreeMap<usize, u64>,
    listed: BTreeSet<usize>,
    last_list: Option<u64>,
}

impl Model {
    fn record_heartbeat(&mut self, now: u64, n: usize, incarnation: u64) {
        // Heartbeats of a leaving incarnation still count; those of a replaced one do not.
        if self.retired.contains(&(n, incarnation)) && self.current.get(&n) != Some(&incarnation) {
            return;
        }
        if let Some(old) = self.current.insert(n, incarnation)
            && old != incarnation
        {
            self.retired.insert((n, old));
        }
        self.last_heartbeat.insert(n, now);
    }

    fn record_leave(&mut self, n: usize, incarnation: u64) {
        self.retired.insert((n, incarnation));
        self.current.entry(n).or_insert(incarnation);
    }

    fn has_left(&self, n: usize) -> bool {
        self.current
            .get(&n)
            .is_some_and(|incarnation| self.retired.contains(&(n, *incarnation)))
    }
}

fn check(ops: Vec<Op>) -> Result<(), TestCaseError> {
    let base = Instant::now();
    let mut members = Membership::new(Settings::default());
    let mut model = Model::default();
    let mut now = 0;
    for op in ops {
        let at = base + Duration::from_millis(now);
        match op {
            Op::List(states) => {
                let rows: Vec<InstanceRow> = states
                    .iter()
                    .enumerate()
                    .filter_map(|(n, state)| {
                        let state = match state {
                            Some(true) => InstanceState::Live,
                            Some(false) => InstanceState::Leaving,
                            None => return None,
                        };
                        Some(row(n, state))
                    })
                    .collect();
                members.apply_list(at, &rows);
                model.listed = (0..3).filter(|n| states[*n].is_some()).collect();
                model.last_list = Some(now);
            }
            Op::Heartbeat(n, incarnation) => {
                let row = row(n, InstanceState::Live);
                members.record_heartbeat(at, &name(n), Incarnation(incarnation), Some(&row));
                model.record_heartbeat(now, n, incarnation);
            }
            Op::Leave(n, incarnation) => {
                members.record_leave(at, &name(n), Incarnation(incarnation));
                model.record_leave(n, incarnation);
            }
            Op::Wait(ms) => now += ms,
        }
        let at = base + Duration::from_millis(now);
        members.tick(at);
        for n in 0..3 {
            let age = model.last_heartbeat.get(&n).map(|last| now - last);
            let fresh = model.last_list.is_some_and(|last| now - last <= 30_000);
            let Some((state, _)) = members.explain(at, name(n).as_str()) else {
                // An instance that is listed or has a recent heartbeat is not removed, unless it
                // has left.
                let protected = age.is_some_and(|age| age <= 30_000) && !model.has_left(n);
                prop_assert!(!model.listed.contains(&n) && !protected);
                model.last_heartbeat.remove(&n);
                if !model.has_left(n) {
                    model.current.remove(&n);
                }
                continue;
            };
            let available = matches!(state, MemberState::Live | MemberState::Suspect);
            if model.has_left(n) {
                prop_assert_eq!(state, MemberState::Leaving);
            }
            if available {
                prop_assert!(age.is_some_and(|age| age <= 2_500));
            }
            if state == MemberState::Unreachable {
                prop_assert!(age.is_some_and(|age| age > 2_500));
            }
            let expired = age.is_some_and(|age| age > 30_000) && !model.listed.contains(&n);
            prop_assert!(
                !(expired && fresh) || model.has_left(n),
                "not removed although it is gone"
            );
        }
    }
    Ok(())
}

/// Guards against states that depend on the interleaving of messages.
#[test]
fn the_membership_agrees_with_the_reference_model() {
    let config = Config {
        cases: 500,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let ops = proptest::collection::vec(op(), 1..80);
    runner
        .run(&ops, check)
        .expect("the membership agrees with the model");
}
