//! Drives the router and a reference model with the same generated events, and compares them after
//! each event. The model is a list of requests and a list of attempts; it recomputes the
//! headroom of a target from all attempts each time.

mod common;

use std::time::{Duration, Instant};

use common::{CHAT, Fixture, NIGHTLY, URGENT, WEEKLY};
use ebonylug_core::{
    Gate, Incarnation, LoadReport, Outcome, Reason, Refusal, Repeat, Tier, Tokens,
};
use ebonylug_routing::{
    Action, Cancelled, Dispatch, Disposition, RequestKey, Settings, TargetState,
};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const TIERS: [Tier; 4] = [URGENT, CHAT, NIGHTLY, WEEKLY];
const CAPACITY: usize = 6;
const CEILING: usize = 9;
const HINTS: usize = 32;
const ESTIMATES: usize = 16;

/// An event. Indexes are taken modulo the number of existing items.
#[derive(Clone, Debug)]
enum Event {
    /// Tier, cost, deadline in milliseconds, and whether the request may be repeated.
    Enqueue(usize, u64, Option<u64>, bool),
    /// Any attempt that was ever sent, and an outcome. Many outcomes are late or duplicates, or
    /// were overtaken by another event.
    Outcome(usize, usize),
    /// Target; used, batch and limit; and the kind of report.
    Report(usize, [u64; 3], usize),
    State(usize, usize),
    /// A target to remove, and the version of its replacement.
    Replace(usize, usize),
    /// Zone, and the factors for interactive and batch work.
    Zone(usize, [usize; 2]),
    Shares(usize),
    Cancel(usize),
    Advance(u64),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Waiting,
    /// Has a live attempt, with this index.
    Live(usize),
    Ended,
}

struct Record {
    key: RequestKey,
    tier: Tier,
    /// Whether the request is for the second route, which only targets with an even index serve.
    other_route: bool,
    repeat: Repeat,
    state: State,
    next_attempt: u32,
    offset: u64,
    cost: u64,
    deadline: Option<Instant>,
}

struct Attempt {
    dispatch: Dispatch,
    record: usize,
    target: usize,
    class: usize,
    at: Instant,
    end: Option<(usize, AttemptEnd)>,
}

#[derive(Clone, Copy, PartialEq)]
enum AttemptEnd {
    NotRun,
    Ran,
    Unknown,
}

struct TargetModel {
    version: usize,
    state: TargetState,
    removed: bool,
    /// Step and time of the last report that was not discarded.
    reported: (usize, Instant),
    /// Step, time and class of the last refusal.
    refused: Option<(usize, Instant, usize)>,
}

struct Model {
    fixture: Fixture,
    records: Vec<Record>,
    attempts: Vec<Attempt>,
    targets: Vec<TargetModel>,
    factors: [[f64; 2]; 2],
    shares: [f64; 2],
    /// Mean latency from dispatch to response in seconds per token, on the main and the other
    /// route.
    token_latency: [f64; 2],
    step: usize,
    log: String,
}

impl Model {
    fn new() -> Self {
        let settings = Settings {
            capacity: CAPACITY,
            ceiling: CEILING,
            hints: HINTS,
            estimates: ESTIMATES,
            max_refusals: 4,
            retry_burst: 3.0,
            ..Settings::default()
        };
        let mut model = Model {
            fixture: Fixture::new(settings, 11, &[]),
            records: Vec::new(),
            attempts: Vec::new(),
            targets: Vec::new(),
            factors: [[1.0; 2]; 2],
            shares: [1.0, 0.0],
            token_latency: [0.0; 2],
            step: 0,
            log: String::new(),
        };
        for version in [0, 0, 1] {
            model.add_target(version);
        }
        model.fixture.set_shares(model.shares);
        model
    }

    fn add_target(&mut self, version: usize) {
        self.fixture.add_target(version, 400);
        self.targets.push(TargetModel {
            version,
            state: TargetState::Live,
            removed: false,
            reported: (self.step, self.fixture.now),
            refused: None,
        });
    }

    fn apply(&mut self, event: &Event) {
        self.step += 1;
        let count = self.targets.len();
        match *event {
            Event::Enqueue(tier, cost, due, repeat) => self.enqueue(TIERS[tier], cost, due, repeat),
            Event::Outcome(index, kind) if !self.attempts.is_empty() => {
                self.outcome(index % self.attempts.len(), kind);
            }
            Event::Report(target, load, kind) => self.report(target % count, load, kind),
            Event::State(target, state) => {
                use TargetState::{Down, Leaving, Live, Unreachable, ZoneClosed};
                let state = [Live, Leaving, Unreachable, ZoneClosed, Down][state];
                let key = self.fixture.targets[target % count];
                self.targets[target % count].state = state;
                self.fixture.router.set_target_state(key, state);
            }
            Event::Replace(target, version) => {
                let key = self.fixture.targets[target % count];
                self.targets[target % count].removed = true;
                self.fixture.router.remove_target(key);
                self.add_target(version);
            }
            Event::Zone(zone, factors) => {
                self.factors[zone] = factors.map(|index| [0.0, 0.5, 1.0][index]);
                let [interactive, batch] = self.factors[zone];
                let key = self.fixture.zones[zone];
                self.fixture.router.set_zone_factor(key, interactive, batch);
            }
            Event::Shares(index) => {
                self.shares = [[1.0, 0.0], [0.9, 0.1], [0.5, 0.5], [0.0, 1.0]][index];
                self.fixture.set_shares(self.shares);
            }
            Event::Cancel(index) if !self.records.is_empty() => {
                self.cancel(index % self.records.len());
            }
            Event::Advance(millis) => self.fixture.advance(millis),
            Event::Outcome(..) | Event::Cancel(_) => {}
        }
        self.poll();
    }

    fn enqueue(&mut self, tier: Tier, cost: u64, due: Option<u64>, repeat: bool) {
        let mut request = self.fixture.request(tier, cost);
        let repeat = if repeat { Repeat::Yes } else { Repeat::No };
        let other_route = cost.is_multiple_of(3);
        if other_route {
            request.route = self.fixture.other_route;
        }
        request.prefix = (0..cost / 64).collect();
        request.repeat = repeat;
        let deadline = due.map(|millis| self.fixture.now + Duration::from_millis(millis));
        request.deadline = deadline;
        let waiting = self.count(|record| record.state == State::Waiting);
        let batch = self.has_batch();
        let serves = |index: usize| {
            !self.targets[index].removed && (!other_route || index.is_multiple_of(2))
        };
        let served = (0..self.targets.len()).any(serves);
        match self.fixture.enqueue(request) {
            Ok(key) => {
                let (state, next_attempt, offset) = (State::Waiting, 0, 0);
                self.records.push(Record {
                    key,
                    tier,
                    other_route,
                    repeat,
                    state,
                    next_attempt,
                    offset,
                    cost,
                    deadline,
                });
            }
            Err(Reason::NoTarget) => assert!(!served),
            Err(reason) => {
                assert_eq!(reason, Reason::QueueFull);
                assert!(waiting >= CAPACITY, "refused with {waiting} waiting");
                let protected = tier.is_interactive() && batch && waiting < CEILING;
                assert!(
                    !protected,
                    "interactive work was refused while batch work exists"
                );
            }
        }
    }

    fn outcome(&mut self, index: usize, kind: usize) {
        let attempt = &self.attempts[index];
        let (record, target, class) = (attempt.record, attempt.target, attempt.class);
        let id = attempt.dispatch.offer.attempt;
        let live = self.records[record].state == State::Live(index);
        let mut new_report = self.fixture.reports[target].clone();
        new_report.sequence += 1;
        let new_report = (kind == 1 && live && !self.targets[target].removed).then_some(new_report);
        let refused = |reason| Outcome::Refused(Refusal::new(reason), new_report.clone());
        let (outcome, end) = match kind {
            0 | 1 => (refused(Reason::Full), AttemptEnd::NotRun),
            2 => (refused(Reason::Quarantined), AttemptEnd::NotRun),
            3 => (Outcome::Preempted { received: 7 }, AttemptEnd::Ran),
            4 => (Outcome::Unknown, AttemptEnd::Unknown),
            5 => (Outcome::Failed, AttemptEnd::Ran),
            _ => (Outcome::Answered, AttemptEnd::Ran),
        };
        let disposition = self.fixture.outcome(id, outcome);
        if !live {
            assert_eq!(
                disposition,
                Disposition::Ignored,
                "outcome of an old attempt"
            );
            return;
        }
        self.attempts[index].end = Some((self.step, end));
        if let Some(report) = new_report {
            self.accept_report(target, report);
        }
        if kind <= 1 {
            self.targets[target].refused = Some((self.step, self.fixture.now, class));
        }
        if kind >= 6 {
            let attempt = &self.attempts[index];
            let elapsed = (self.fixture.now - attempt.at).as_secs_f64();
            let token_latency = elapsed / attempt.dispatch.offer.cost().as_f64();
            let latency = &mut self.token_latency[usize::from(self.records[record].other_route)];
            let gain = if *latency > 0.0 { 0.1 } else { 1.0 };
            *latency += gain * (token_latency - *latency);
        }
        let record = &mut self.records[record];
        // A request that is shed counts as waiting until the next poll returns it.
        let resumed = kind == 3 && record.repeat == Repeat::Yes;
        let is_waiting = kind <= 2 || resumed;
        record.offset += if resumed { 7 } else { 0 };
        record.state = if is_waiting {
            State::Waiting
        } else {
            State::Ended
        };
        assert_eq!(
            is_waiting,
            disposition != Disposition::Ended,
            "{kind}: {disposition:?}"
        );
    }

    fn report(&mut self, target: usize, [used, batch, limit]: [u64; 3], kind: usize) {
        let mut report = self.fixture.reports[target].clone();
        // Kind 5 repeats the last sequence number, like a report that arrives late.
        report.sequence += u64::from(kind != 5);
        report.used = Tokens(used);
        report.batch = Tokens(batch.min(used));
        report.limit = Tokens(limit);
        report.gate = [Gate::Open, Gate::Leaving, Gate::ZoneClosed, Gate::Open][kind.min(3)];
        report.up = kind != 3;
        if kind == 4 {
            // A new incarnation, whose sequence numbers start again.
            report.incarnation = Incarnation(report.incarnation.0 + 1);
            report.sequence = 1;
        }
        let key = self.fixture.targets[target];
        self.fixture
            .router
            .apply_report(self.fixture.now, key, &report);
        if kind != 5 {
            self.accept_report(target, report);
        }
    }

    fn accept_report(&mut self, target: usize, report: LoadReport) {
        self.fixture.reports[target] = report;
        self.targets[target].reported = (self.step, self.fixture.now);
    }

    fn cancel(&mut self, index: usize) {
        let record = &mut self.records[index];
        let expected = match record.state {
            State::Waiting => Cancelled::Waiting,
            State::Ended => Cancelled::Ended,
            State::Live(index) => {
                let attempt = &mut self.attempts[index];
                attempt.end = Some((self.step, AttemptEnd::Ran));
                Cancelled::Sent {
                    attempt: attempt.dispatch.offer.attempt,
                    target: attempt.dispatch.target,
                }
            }
        };
        record.state = State::Ended;
        assert_eq!(self.fixture.router.cancel(record.key), expected);
    }

    fn poll(&mut self) {
        let mut shed = false;
        for action in self.fixture.router.poll(self.fixture.now) {
            self.log.push_str(&format!("{action:?}\n"));
            match action {
                Action::Dispatch(dispatch) => self.dispatched(dispatch),
                Action::Shed {
                    request, refusal, ..
                } => {
                    self.check_deadline(request, refusal.reason);
                    let record = self.end(request);
                    assert_eq!(
                        record.offset, 0,
                        "a request that ran in part was reported as not run"
                    );
                    // These reasons concern the request itself and do not depend on the load.
                    let load_independent =
                        matches!(refusal.reason, Reason::Deadline | Reason::Quarantined);
                    shed |= record.tier.is_interactive() && !load_independent;
                }
                Action::Abort {
                    request, reason, ..
                } => {
                    self.check_deadline(request, reason);
                    assert!(self.end(request).offset > 0);
                    assert_ne!(reason, Reason::Shed, "a request that ran in part was shed");
                }
            }
        }
        assert!(
            !shed || !self.has_batch(),
            "interactive work was shed while batch work exists"
        );
        self.compare();
    }

    /// Checks that a request that is ended because of its deadline can no longer meet it; for batch
    /// work, not even at twice the usual speed.
    fn check_deadline(&self, key: RequestKey, reason: Reason) {
        if reason != Reason::Deadline {
            return;
        }
        let record = &self.records[self.find(key)];
        let token_latency = self.token_latency[usize::from(record.other_route)] / 2.0;
        let best_case = if record.tier.is_interactive() {
            Duration::ZERO
        } else {
            Duration::from_secs_f64(token_latency * (record.cost + record.offset) as f64)
        };
        let deadline = record
            .deadline
            .expect("a request that is late has a deadline");
        assert!(
            self.fixture.now + best_case >= deadline,
            "the request could still meet its deadline"
        );
    }

    fn end(&mut self, key: RequestKey) -> &Record {
        let index = self.find(key);
        let record = &mut self.records[index];
        assert_eq!(
            record.state,
            State::Waiting,
            "only a waiting request is shed or aborted"
        );
        record.state = State::Ended;
        record
    }

    fn dispatched(&mut self, dispatch: Dispatch) {
        let target = self.fixture.target_index(dispatch.target);
        let index = self.find(dispatch.request);
        let record = &self.records[index];
        let class = usize::from(!record.tier.is_interactive());
        assert_eq!(
            record.state,
            State::Waiting,
            "only a waiting request is dispatched"
        );
        assert_eq!(
            dispatch.offer.attempt.number, record.next_attempt,
            "attempt numbers increase by one"
        );
        assert_eq!(dispatch.offer.offset, record.offset);
        assert!(
            record.offset == 0 || record.repeat == Repeat::Yes,
            "only a repeatable request is resumed"
        );
        assert!(
            !record.other_route || target.is_multiple_of(2),
            "the target does not serve the route"
        );
        self.check_target(target, class, dispatch.offer.cost());
        self.records[index].next_attempt += 1;
        self.records[index].state = State::Live(self.attempts.len());
        self.attempts.push(Attempt {
            dispatch,
            record: index,
            target,
            class,
            at: self.fixture.now,
            end: None,
        });
    }

    /// Checks that a target may get work of a class and cost.
    fn check_target(&self, target: usize, class: usize, cost: Tokens) {
        let (model, report) = (&self.targets[target], &self.fixture.reports[target]);
        let factor = self.factors[target % 2][class];
        assert!(
            !model.removed && model.state == TargetState::Live,
            "dispatched to a target that is not live"
        );
        assert!(
            report.gate == Gate::Open && report.up,
            "dispatched to a closed target"
        );
        assert!(factor > 0.0, "dispatched to a closed zone");
        assert!(
            self.shares[model.version] > 0.0,
            "dispatched to a version without a share"
        );
        if let Some((step, at, refused)) = model.refused
            && step >= model.reported.0
            && class >= refused
        {
            let pause = Settings::default().backoff;
            assert!(
                self.fixture.now >= at + pause,
                "dispatched during the pause after a refusal"
            );
        }
        let occupied = self.occupied(target, class);
        let limit = report.limit.scale(factor);
        let fits = occupied == Tokens::ZERO || occupied + cost <= limit;
        assert!(fits, "{cost:?} beside {occupied:?} at a limit of {limit:?}");
    }

    /// Computes the load that limits a class: that of the report, corrected by what the report does
    /// not reflect.
    fn occupied(&self, target: usize, class: usize) -> Tokens {
        let (model, report) = (&self.targets[target], &self.fixture.reports[target]);
        let covered = model.reported.1 - Settings::default().round_trip;
        let (mut unreported, mut ended) = ([Tokens::ZERO; 2], [Tokens::ZERO; 2]);
        for attempt in self
            .attempts
            .iter()
            .filter(|attempt| attempt.target == target)
        {
            let cost = attempt.dispatch.offer.cost();
            match attempt.end {
                None | Some((_, AttemptEnd::Unknown)) if attempt.at > covered => {
                    unreported[attempt.class] += cost;
                }
                Some((step, AttemptEnd::Ran))
                    if attempt.at <= covered && step > model.reported.0 =>
                {
                    ended[attempt.class] += cost;
                }
                _ => {}
            }
        }
        let all = report.used + unreported[0] + unreported[1] - (ended[0] + ended[1]);
        let preemptible = (report.batch + unreported[1] - ended[1]).min(all);
        [all - preemptible, all + report.reserved][class]
    }

    /// Compares the waiting and the live requests, and checks that memory is bounded.
    fn compare(&self) {
        let backlog = self.fixture.router.backlog();
        for tier in TIERS {
            let counts = backlog.tiers.iter().find(|(other, _)| *other == tier);
            let counts = counts.map(|(_, counts)| *counts).unwrap_or_default();
            let in_tier = |record: &Record| record.tier == tier && record.state != State::Ended;
            let is_waiting = |record: &Record| in_tier(record) && record.state == State::Waiting;
            assert_eq!(counts.waiting, self.count(is_waiting), "{tier:?} waiting");
            assert_eq!(
                counts.waiting + counts.sent,
                self.count(in_tier),
                "{tier:?} in total"
            );
        }
        let open = self.count(|record| record.state != State::Ended);
        let records = self.fixture.router.record_count();
        let bound = 2 * open + CAPACITY + HINTS + ESTIMATES;
        assert!(records <= bound, "{records} records, {open} requests");
    }

    fn find(&self, key: RequestKey) -> usize {
        let index = self.records.iter().position(|record| record.key == key);
        index.expect("request is known")
    }

    fn count(&self, filter: impl Fn(&Record) -> bool) -> usize {
        self.records.iter().filter(|record| filter(record)).count()
    }

    fn has_batch(&self) -> bool {
        self.count(|record| !record.tier.is_interactive() && record.state != State::Ended) > 0
    }

    /// Adds open targets, answers each attempt, and checks that no request remains.
    fn finish(&mut self) {
        for version in [0, 0, 1, 1] {
            self.add_target(version);
        }
        self.apply(&Event::Shares(2));
        self.apply(&Event::Zone(0, [2, 2]));
        self.apply(&Event::Zone(1, [2, 2]));
        for _ in 0..4 * CEILING {
            self.apply(&Event::Advance(2_000));
            for index in 0..self.attempts.len() {
                self.outcome(index, 6);
            }
        }
        assert_eq!(
            self.count(|record| record.state != State::Ended),
            0,
            "requests remain after all attempts were answered"
        );
    }
}

fn event() -> impl Strategy<Value = Event> {
    let due = prop_oneof![Just(None), (1..2_000_u64).prop_map(Some)];
    let enqueue = (0..4_usize, 1..600_u64, due, any::<bool>());
    let load = [0..500_u64, 0..500_u64, 0..800_u64];
    prop_oneof![
        8 => enqueue.prop_map(|(tier, cost, due, repeat)| Event::Enqueue(tier, cost, due, repeat)),
        8 => (0..99_usize, 0..9_usize).prop_map(|(index, kind)| Event::Outcome(index, kind)),
        4 => (0..9_usize, load, 0..14_usize).prop_map(|(t, load, kind)| Event::Report(t, load, kind)),
        1 => (0..9_usize, 0..5_usize).prop_map(|(target, state)| Event::State(target, state)),
        1 => (0..9_usize, 0..2_usize).prop_map(|(target, version)| Event::Replace(target, version)),
        1 => (0..2_usize, [0..3_usize, 0..3_usize]).prop_map(|(zone, f)| Event::Zone(zone, f)),
        1 => (0..4_usize).prop_map(Event::Shares),
        1 => (0..99_usize).prop_map(Event::Cancel),
        4 => (1..400_u64).prop_map(Event::Advance),
    ]
}

proptest! {
    #![proptest_config(Config {
        cases: 400,
        rng_seed: RngSeed::Fixed(20),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against violations of the rules that the model asserts, and against decisions that
    /// depend on anything but the events and the seed.
    #[test]
    fn router_agrees_with_the_reference_model(events in vec(event(), 1..150)) {
        let run = || {
            let mut model = Model::new();
            events.iter().for_each(|event| model.apply(event));
            model.finish();
            model.log
        };
        prop_assert_eq!(run(), run());
    }
}
