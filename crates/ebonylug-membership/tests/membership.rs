//! Rules of membership in virtual time, and the membership against a naive model.
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
    /// The list contains the instance as live, as leaving, or not at all.
    Live,
    Leaving,
    Missing,
    /// A heartbeat or leave notice of an incarnation.
    Beat(u64),
    Leave(u64),
    /// Milliseconds pass without a message.
    Wait(u64),
    /// Seconds pass with a heartbeat every second and without lists.
    Beats(u64, u64),
}

use Step::{Beat, Beats, Leave, Leaving, Live, Missing, Wait};

/// What happens, and the state and reason in the end.
type Rule = (
    &'static str,
    &'static [Step],
    Option<(MemberState, MemberReason)>,
);

/// Guards, row by row, against the failure in its first column.
#[test]
fn rules() {
    use MemberReason as R;
    use MemberState as S;
    let table: &[Rule] = &[
        ("listed only", &[Live], Some((S::Joining, R::Listed))),
        (
            "listed and heard",
            &[Live, Beat(1)],
            Some((S::Live, R::Reachable)),
        ),
        (
            "heard before listed",
            &[Beat(1)],
            Some((S::Live, R::ReachableUnlisted)),
        ),
        (
            "one heartbeat late",
            &[Live, Beat(1), Wait(1_600)],
            Some((S::Suspect, R::NoHeartbeat)),
        ),
        (
            "two heartbeats lost",
            &[Live, Beat(1), Wait(2_600)],
            Some((S::Unreachable, R::NoHeartbeat)),
        ),
        (
            "heard again",
            &[Live, Beat(1), Wait(9_000), Beat(1)],
            Some((S::Live, R::Reachable)),
        ),
        (
            "stale list after a leave notice",
            &[Live, Beat(1), Leave(1), Live, Live],
            Some((S::Leaving, R::LeaveNotice)),
        ),
        (
            "late heartbeat after a leave notice",
            &[Live, Beat(1), Leave(1), Beat(1)],
            Some((S::Leaving, R::LeaveNotice)),
        ),
        (
            "new incarnation after a leave notice",
            &[Live, Beat(1), Leave(1), Beat(2)],
            Some((S::Live, R::Reachable)),
        ),
        (
            "old heartbeat after a new incarnation",
            &[Live, Beat(1), Leave(1), Beat(2), Wait(2_600), Beat(1)],
            Some((S::Unreachable, R::NoHeartbeat)),
        ),
        (
            "leave notice of an old incarnation",
            &[Live, Beat(1), Beat(2), Leave(1)],
            Some((S::Live, R::Reachable)),
        ),
        (
            "leave notice before anything else",
            &[Leave(1), Live, Beat(1)],
            Some((S::Leaving, R::LeaveNotice)),
        ),
        (
            "leave notice crosses with the last heartbeat of its incarnation",
            &[Live, Leave(1), Beat(1), Beat(2), Beat(1)],
            Some((S::Live, R::Reachable)),
        ),
        (
            "list says leaving",
            &[Live, Beat(1), Leaving, Beat(1)],
            Some((S::Leaving, R::ListLeaving)),
        ),
        (
            "list speaks of the former incarnation",
            &[Live, Beat(1), Leaving, Beat(2), Leaving],
            Some((S::Live, R::Reachable)),
        ),
        (
            "list takes the leaving back",
            &[Live, Beat(1), Leaving, Live],
            Some((S::Live, R::Reachable)),
        ),
        (
            "missing in the list but heard",
            &[Live, Beat(1), Missing, Beats(60, 1), Missing],
            Some((S::Live, R::ReachableUnlisted)),
        ),
        (
            "missing and silent",
            &[Live, Beat(1), Missing, Wait(31_000), Missing],
            None,
        ),
        (
            "list is out and the instance silent",
            &[Live, Beat(1), Wait(600_000)],
            Some((S::Unreachable, R::NoHeartbeat)),
        ),
        (
            "list is out after it lacked a silent instance",
            &[Live, Beat(1), Missing, Wait(31_000)],
            Some((S::Unreachable, R::ListOutdated)),
        ),
        (
            "list is out and the instance heard",
            &[Live, Beat(1), Beats(600, 1)],
            Some((S::Live, R::Reachable)),
        ),
        (
            "stale list after removal",
            &[
                Live,
                Beat(1),
                Leave(1),
                Missing,
                Wait(31_000),
                Missing,
                Live,
                Beat(1),
            ],
            Some((S::Leaving, R::LeaveNotice)),
        ),
        (
            "list outage and a leave notice at once",
            &[Live, Beat(1), Wait(60_000), Leave(1), Wait(60_000)],
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
                Beat(life) => {
                    let row = row(1, InstanceState::Live);
                    members.record_heartbeat(now, &name(1), Incarnation(life), Some(&row));
                }
                Leave(life) => members.record_leave(now, &name(1), Incarnation(life)),
                Wait(ms) => now += Duration::from_millis(ms),
                Beats(seconds, life) => {
                    for _ in 0..seconds {
                        now += Duration::from_secs(1);
                        members.record_heartbeat(now, &name(1), Incarnation(life), None);
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

/// Guards against changes that are reported twice or not at all.
#[test]
fn changes_are_reported_once() {
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

/// Guards against growth without bound by instances, incarnations and notices.
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
    for life in 0..1_000 {
        members.record_heartbeat(now, &name(1), Incarnation(life), None);
    }
    assert_eq!(members.state("i-1"), Some(MemberState::Live));
}

#[derive(Clone, Debug)]
enum Op {
    List(Vec<Option<bool>>),
    Beat(usize, u64),
    Leave(usize, u64),
    Wait(u64),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        2 => proptest::collection::vec(proptest::option::of(any::<bool>()), 3).prop_map(Op::List),
        6 => (0..3usize, 0..4u64).prop_map(|(n, i)| Op::Beat(n, i)),
        1 => (0..3usize, 0..4u64).prop_map(|(n, i)| Op::Leave(n, i)),
        3 => (1..4_000u64).prop_map(Op::Wait),
    ]
}

/// Keeps all messages and derives what must hold. Each instance may use four incarnations.
#[derive(Default)]
struct Model {
    /// Incarnations that have left or were replaced by a later one.
    over: BTreeSet<(usize, u64)>,
    current: BTreeMap<usize, u64>,
    heard: BTreeMap<usize, u64>,
    listed: BTreeSet<usize>,
    list: Option<u64>,
}

impl Model {
    fn beat(&mut self, now: u64, n: usize, life: u64) {
        // A leaving incarnation is still heard; one that was replaced is not.
        if self.over.contains(&(n, life)) && self.current.get(&n) != Some(&life) {
            return;
        }
        if let Some(old) = self.current.insert(n, life)
            && old != life
        {
            self.over.insert((n, old));
        }
        self.heard.insert(n, now);
    }

    fn leave(&mut self, n: usize, life: u64) {
        self.over.insert((n, life));
        self.current.entry(n).or_insert(life);
    }

    fn has_left(&self, n: usize) -> bool {
        self.current
            .get(&n)
            .is_some_and(|life| self.over.contains(&(n, *life)))
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
                model.list = Some(now);
            }
            Op::Beat(n, life) => {
                let row = row(n, InstanceState::Live);
                members.record_heartbeat(at, &name(n), Incarnation(life), Some(&row));
                model.beat(now, n, life);
            }
            Op::Leave(n, life) => {
                members.record_leave(at, &name(n), Incarnation(life));
                model.leave(n, life);
            }
            Op::Wait(ms) => now += ms,
        }
        let at = base + Duration::from_millis(now);
        members.tick(at);
        for n in 0..3 {
            let silence = model.heard.get(&n).map(|heard| now - heard);
            let fresh = model.list.is_some_and(|list| now - list <= 30_000);
            let Some((state, _)) = members.explain(at, name(n).as_str()) else {
                // Nobody who is listed or heard lately is lost, unless it has left.
                let protected = silence.is_some_and(|s| s <= 30_000) && !model.has_left(n);
                prop_assert!(!model.listed.contains(&n) && !protected);
                model.heard.remove(&n);
                if !model.has_left(n) {
                    model.current.remove(&n);
                }
                continue;
            };
            let working = matches!(state, MemberState::Live | MemberState::Suspect);
            if model.has_left(n) {
                prop_assert_eq!(state, MemberState::Leaving);
            }
            if working {
                prop_assert!(silence.is_some_and(|silence| silence <= 2_500));
            }
            if state == MemberState::Unreachable {
                prop_assert!(silence.is_some_and(|silence| silence > 2_500));
            }
            let lost = silence.is_some_and(|s| s > 30_000) && !model.listed.contains(&n);
            prop_assert!(
                !(lost && fresh) || model.has_left(n),
                "kept although it is gone"
            );
        }
    }
    Ok(())
}

/// Guards against states that depend on the order in which messages cross.
#[test]
fn the_membership_agrees_with_a_naive_model() {
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
