//! A test fixture: a router with targets, and helpers for requests, reports and expectations.

#![allow(dead_code)]

use std::time::{Duration, Instant};

use ebonylug_core::{
    AttemptId, Fingerprint, Gate, Incarnation, LoadReport, Name, Outcome, Reason, Refusal, Repeat,
    RequestId, Revision, Tier, Tokens,
};
use ebonylug_routing::{
    Action, Dispatch, Disposition, Request, RequestKey, RouteKey, Router, Settings, TargetInfo,
    TargetKey, TargetKind, VersionKey, ZoneKey,
};

pub const URGENT: Tier = Tier::interactive(0);
pub const CHAT: Tier = Tier::interactive(1);
pub const NIGHTLY: Tier = Tier::batch(2);
pub const WEEKLY: Tier = Tier::batch(3);

pub struct Fixture {
    pub router: Router,
    pub route: RouteKey,
    /// A second route, served only by the targets with an even index.
    pub other_route: RouteKey,
    pub versions: [VersionKey; 2],
    pub zones: [ZoneKey; 2],
    pub targets: Vec<TargetKey>,
    pub reports: Vec<LoadReport>,
    pub now: Instant,
    pub kind: TargetKind,
    next_id: u128,
}

pub fn refusal(reason: Reason) -> Outcome {
    Outcome::Refused(Refusal::new(reason), None)
}

impl Fixture {
    /// Creates one target per limit; all run the first version, in alternating zones. Without
    /// targets, no version has a share.
    pub fn new(settings: Settings, seed: u64, limits: &[u64]) -> Self {
        settings.check().expect("settings are valid");
        let mut router = Router::new(settings, seed);
        let mut fixture = Fixture {
            route: router.route_key(&Name::new("chat")),
            other_route: router.route_key(&Name::new("logs")),
            versions: ["v1", "v2"].map(|name| router.version_key(&Name::new(name))),
            zones: ["a", "b"].map(|name| router.zone_key(&Name::new(name))),
            targets: Vec::new(),
            reports: Vec::new(),
            router,
            now: Instant::now() + Duration::from_secs(3_600),
            kind: TargetKind::Model,
            next_id: 0,
        };
        for &limit in limits {
            fixture.add_target(0, limit);
        }
        if !limits.is_empty() {
            fixture.set_shares([1.0, 0.0]);
        }
        fixture
    }

    /// Adds an idle target that runs the given version, and returns its index.
    pub fn add_target(&mut self, version: usize, limit: u64) -> usize {
        let index = self.targets.len();
        let routes = [self.route, self.other_route];
        let key = self.router.add_target(TargetInfo {
            name: Name::new(&format!("engine-{index}")),
            zone: self.zones[index % 2],
            version: self.versions[version],
            routes: routes[..2 - index % 2].into(),
            kind: self.kind,
        });
        self.targets.push(key);
        self.reports.push(LoadReport {
            incarnation: Incarnation(1),
            sequence: 1,
            revision: Revision(1),
            gate: Gate::Open,
            up: true,
            cold: false,
            limit: Tokens(limit),
            used: Tokens::ZERO,
            batch: Tokens::ZERO,
            rate: 1_000.0,
            reserved: Tokens::ZERO,
        });
        self.router
            .apply_report(self.now, key, &self.reports[index]);
        index
    }

    pub fn set_shares(&mut self, shares: [f64; 2]) {
        let [v1, v2] = self.versions;
        let shares = [(v1, shares[0]), (v2, shares[1])];
        self.router.set_shares(self.route, &shares);
        self.router.set_shares(self.other_route, &shares);
    }

    pub fn advance(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
    }

    /// Changes the load report of a target and applies it with the next sequence number.
    pub fn report(&mut self, target: usize, change: impl FnOnce(&mut LoadReport)) {
        let report = &mut self.reports[target];
        report.sequence += 1;
        change(report);
        self.router
            .apply_report(self.now, self.targets[target], report);
    }

    /// Applies a load report with the given used and batch tokens.
    pub fn report_load(&mut self, target: usize, used: u64, batch: u64) {
        self.report(target, |report| {
            report.used = Tokens(used);
            report.batch = Tokens(batch);
        });
    }

    /// Builds a request with a cost of `cost` tokens.
    pub fn request(&mut self, tier: Tier, cost: u64) -> Request {
        self.next_id += 1;
        Request {
            id: RequestId(self.next_id),
            route: self.route,
            organisation: self.router.organisation_key(&Name::new("ropeworks")),
            tier,
            prompt: Tokens(cost - 1),
            max_output: Tokens(1),
            prefix: Default::default(),
            fingerprint: Fingerprint(self.next_id as u64),
            parts: Default::default(),
            deadline: None,
            repeat: Repeat::Yes,
            offset: 0,
        }
    }

    pub fn enqueue(&mut self, request: Request) -> Result<RequestKey, Reason> {
        let accepted = self.router.enqueue(self.now, request);
        accepted.map_err(|refusal| refusal.reason)
    }

    /// Enqueues a request and asserts that it is accepted.
    pub fn submit(&mut self, tier: Tier, cost: u64) -> RequestKey {
        self.submit_for("ropeworks", tier, cost, None)
    }

    /// Enqueues a request of an organisation with a deadline after `seconds`, and asserts that it
    /// is accepted.
    pub fn submit_for(
        &mut self,
        org: &str,
        tier: Tier,
        cost: u64,
        seconds: Option<u64>,
    ) -> RequestKey {
        let mut request = self.request(tier, cost);
        request.organisation = self.router.organisation_key(&Name::new(org));
        request.deadline = seconds.map(|seconds| self.now + Duration::from_secs(seconds));
        self.enqueue(request).expect("the queue has room")
    }

    /// Polls and returns the dispatches. Panics on any other action.
    pub fn dispatches(&mut self) -> Vec<Dispatch> {
        let only_dispatch = |action| match action {
            Action::Dispatch(dispatch) => dispatch,
            other => panic!("expected dispatches only, got {other:?}"),
        };
        let actions = self.router.poll(self.now);
        actions.into_iter().map(only_dispatch).collect()
    }

    /// Polls and asserts that the only action is one dispatch.
    pub fn dispatch(&mut self) -> Dispatch {
        let mut dispatches = self.dispatches();
        assert_eq!(dispatches.len(), 1, "expected one: {dispatches:?}");
        dispatches.remove(0)
    }

    /// Polls and returns the requests that were shed, with the reasons.
    pub fn poll_shed(&mut self) -> Vec<(RequestKey, Reason)> {
        let mut shed = Vec::new();
        for action in self.router.poll(self.now) {
            if let Action::Shed {
                request, refusal, ..
            } = action
            {
                shed.push((request, refusal.reason));
            }
        }
        shed
    }

    pub fn outcome(&mut self, attempt: AttemptId, outcome: Outcome) -> Disposition {
        self.router.apply_outcome(self.now, attempt, outcome)
    }

    pub fn target_index(&self, target: TargetKey) -> usize {
        let found = self.targets.iter().position(|&key| key == target);
        found.expect("target is known")
    }
}
