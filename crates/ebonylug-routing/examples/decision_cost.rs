//! Benchmarks the CPU time of a routing decision for several numbers of targets.
//!
//! A decision is one `enqueue` and the `poll` that dispatches the request. It is measured at
//! about 0.8 of the targets' limit, and with a deep queue in front of full targets, where each
//! decision follows an outcome that frees headroom. The router runs on a virtual clock; only
//! the duration of the calls is measured with the system clock.
//!
//! Run with `cargo run --release -p ebonylug-routing --example decision_cost`. Arguments
//! replace the default numbers of targets, which are 40, 100, 300 and 600.

use std::collections::VecDeque;
use std::hint::black_box;
use std::time::{Duration, Instant};

use ebonylug_core::{
    AttemptId, Fingerprint, Gate, Incarnation, LoadReport, Name, Outcome, Repeat, RequestId,
    Revision, Tier, Tokens,
};
use ebonylug_routing::{
    Action, OrganisationKey, Request, RouteKey, Router, Settings, TargetInfo, TargetKind,
};

/// Number of measured decisions per case.
const DECISIONS: usize = 100_000;
/// Number of requests that a target holds at its limit.
const SLOTS_PER_TARGET: usize = 50;
/// Tokens of prompt and output of each request.
const REQUEST_TOKENS: u64 = 1_000;
const ORGANISATIONS: usize = 100;
/// Number of requests that wait behind the full targets.
const QUEUE_DEPTH: usize = 4_000;

struct Bench {
    router: Router,
    route: RouteKey,
    organisations: Vec<OrganisationKey>,
    now: Instant,
    next_id: u64,
    sent: VecDeque<AttemptId>,
}

fn main() {
    println!("targets  decision at 0.8 (mean, p99)  decision behind a deep queue (mean, p99)");
    let chosen: Vec<usize> = std::env::args()
        .skip(1)
        .flat_map(|arg| arg.parse())
        .collect();
    let sizes = if chosen.is_empty() {
        vec![40, 100, 300, 600]
    } else {
        chosen
    };
    for targets in sizes {
        let (mean, tail) = Bench::new(targets).at_part_load(targets);
        let (deep_mean, deep_tail) = Bench::new(targets).behind_deep_queue(targets);
        println!(
            "{targets:7}  {mean:8.2} us {tail:8.2} us        {deep_mean:8.2} us {deep_tail:8.2} us"
        );
    }
}

impl Bench {
    fn new(targets: usize) -> Self {
        let mut router = Router::new(Settings::default(), 1);
        let now = Instant::now();
        let route = router.route_key(&Name::new("chat"));
        let old = router.version_key(&Name::new("v1"));
        let new = router.version_key(&Name::new("v2"));
        for index in 0..targets {
            let info = TargetInfo {
                name: Name::new(&format!("engine-{index}")),
                zone: router.zone_key(&Name::new(&format!("zone-{}", index % 8))),
                version: if index % 4 == 0 { new } else { old },
                routes: [route].into_iter().collect(),
                kind: TargetKind::Model,
            };
            let key = router.add_target(info);
            router.apply_report(now, key, &idle_report(index));
        }
        router.set_shares(route, &[(old, 0.75), (new, 0.25)]);
        let name = |index| Name::new(&format!("organisation-{index}"));
        let organisations = (0..ORGANISATIONS).map(|i| router.organisation_key(&name(i)));
        Bench {
            organisations: organisations.collect(),
            router,
            route,
            now,
            next_id: 0,
            sent: VecDeque::new(),
        }
    }

    /// Returns the mean and the 99th percentile of the decision time at 0.8 of the targets' limit,
    /// in microseconds.
    fn at_part_load(mut self, targets: usize) -> (f64, f64) {
        let mut costs = Vec::with_capacity(DECISIONS);
        let running = targets * SLOTS_PER_TARGET * 4 / 5;
        for _ in 0..running + DECISIONS {
            self.now += Duration::from_micros(200);
            if self.sent.len() >= running {
                self.complete_oldest();
            }
            let request = self.request();
            let start = Instant::now();
            self.enqueue(request);
            let actions = black_box(self.router.poll(self.now));
            costs.push(start.elapsed());
            self.record_sent(&actions);
        }
        summary(costs.split_off(running))
    }

    /// Returns the mean and the 99th percentile of the decision time behind a deep queue, in
    /// microseconds.
    fn behind_deep_queue(mut self, targets: usize) -> (f64, f64) {
        let mut costs = Vec::with_capacity(DECISIONS);
        for index in 0..targets * SLOTS_PER_TARGET + QUEUE_DEPTH {
            let mut request = self.request();
            if index < targets * SLOTS_PER_TARGET {
                request.tier = Tier::interactive(0);
            }
            self.enqueue(request);
            let actions = self.router.poll(self.now);
            self.record_sent(&actions);
        }
        for _ in 0..DECISIONS {
            self.now += Duration::from_micros(200);
            self.complete_oldest();
            let request = self.request();
            let start = Instant::now();
            self.enqueue(request);
            let actions = black_box(self.router.poll(self.now));
            costs.push(start.elapsed());
            self.record_sent(&actions);
        }
        summary(costs)
    }

    fn enqueue(&mut self, request: Request) {
        // A full queue refuses requests; these decisions are measured as well.
        let _ = black_box(self.router.enqueue(self.now, request));
    }

    fn complete_oldest(&mut self) {
        if let Some(attempt) = self.sent.pop_front() {
            self.router
                .apply_outcome(self.now, attempt, Outcome::Answered);
        }
    }

    fn record_sent(&mut self, actions: &[Action]) {
        for action in actions {
            if let Action::Dispatch(dispatch) = action {
                self.sent.push_back(dispatch.offer.attempt);
            }
        }
    }

    fn request(&mut self) -> Request {
        self.next_id += 1;
        // Half of the requests are batch work. The prefix has 8 blocks, which all requests of an
        // organisation share.
        let organisation = self.next_id as usize * 7 % ORGANISATIONS;
        let batch = self.next_id.is_multiple_of(2);
        let block =
            |index: u64| (organisation as u64 * 64 + index).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        Request {
            id: RequestId(u128::from(self.next_id) << 64 | u128::from(self.next_id)),
            route: self.route,
            organisation: self.organisations[organisation],
            tier: if batch {
                Tier::batch(2)
            } else {
                Tier::interactive(0)
            },
            prompt: Tokens(REQUEST_TOKENS - 256),
            max_output: Tokens(256),
            prefix: (0..8).map(block).collect(),
            fingerprint: Fingerprint(self.next_id),
            parts: Default::default(),
            deadline: Some(self.now + Duration::from_secs(if batch { 36_000 } else { 600 })),
            repeat: Repeat::Yes,
            offset: 0,
        }
    }
}

fn idle_report(index: usize) -> LoadReport {
    LoadReport {
        incarnation: Incarnation(1),
        sequence: 1,
        revision: Revision(1),
        gate: Gate::Open,
        up: true,
        cold: false,
        limit: Tokens(REQUEST_TOKENS * SLOTS_PER_TARGET as u64),
        used: Tokens::ZERO,
        batch: Tokens::ZERO,
        rate: 500.0 + (index % 3) as f64 * 500.0,
        reserved: Tokens::ZERO,
    }
}

fn summary(mut costs: Vec<Duration>) -> (f64, f64) {
    let total: Duration = costs.iter().sum();
    costs.sort_unstable();
    let micros = |duration: Duration| duration.as_secs_f64() * 1e6;
    let mean = micros(total) / costs.len() as f64;
    (mean, micros(costs[costs.len() * 99 / 100]))
}
