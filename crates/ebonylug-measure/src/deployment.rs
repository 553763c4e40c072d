//! The two deployments at today's sizes, as the cases use them.

use ebonylug_core::{Repeat, Tier};

use crate::engine::{BLOCK, Kind, SECOND, Speed};
use crate::random::Lengths;

/// Mean time of a call to a plain service, in microseconds.
pub const CALL: f64 = 200_000.0;

/// A deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Its name on the command line.
    pub name: &'static str,
    /// Its availability zones.
    pub zones: &'static [&'static str],
    /// The number of entries, spread over the zones.
    pub entries: usize,
    /// The targets.
    pub targets: Vec<TargetSpec>,
    /// The routes.
    pub routes: Vec<RouteSpec>,
    /// The organisations.
    pub organisations: Vec<Organisation>,
}

/// A target of a deployment.
#[derive(Clone, Debug)]
pub struct TargetSpec {
    /// Its name.
    pub name: String,
    /// The index of its zone.
    pub zone: usize,
    /// What it is.
    pub kind: Kind,
}

/// An organisation of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Organisation {
    /// Its name.
    pub name: &'static str,
    /// Its weight in the fair order.
    pub weight: u32,
    /// Its part of the requests.
    pub part: f64,
}

/// A route of a deployment.
#[derive(Clone, Debug)]
pub struct RouteSpec {
    /// Its name.
    pub name: &'static str,
    /// The tier of its requests.
    pub tier: Tier,
    /// Whether its requests may be run again.
    pub repeat: Repeat,
    /// Whether plain services answer it.
    pub service: bool,
    /// The part of the capacity that it needs at load 1.
    pub part: f64,
    /// Prompt tokens that no other request shares.
    pub prompt: Lengths,
    /// Output tokens.
    pub output: Lengths,
    /// Number of shared prompt prefixes, and the blocks of each.
    pub templates: (usize, usize),
    /// The fixed part of the deadline.
    pub patience: u64,
    /// The part of the deadline for each token of the request's own limit.
    pub per_token: u64,
    /// When all requests of the route are due, as a part of the case; overrides the deadline.
    pub due: Option<f64>,
}

impl RouteSpec {
    fn model(name: &'static str, tier: Tier, part: f64, prompt: f64, output: f64) -> Self {
        RouteSpec {
            name,
            tier,
            repeat: Repeat::Yes,
            service: false,
            part,
            prompt: Lengths::from(prompt),
            output: Lengths::from(output),
            templates: (1, 4),
            patience: 5 * SECOND,
            // The slowest generation decodes a lone stream at 30 tokens per second.
            per_token: SECOND / 10,
            due: None,
        }
    }

    fn service(name: &'static str, rank: u8, part: f64) -> Self {
        RouteSpec {
            repeat: Repeat::No,
            service: true,
            templates: (0, 0),
            per_token: 0,
            ..RouteSpec::model(name, Tier::interactive(rank), part, 1.0, 1.0)
        }
    }

    fn patience(mut self, seconds: u64) -> Self {
        self.patience = seconds * SECOND;
        self
    }

    fn due(mut self, part: f64) -> Self {
        self.due = Some(part);
        self
    }

    fn templates(mut self, count: usize, blocks: usize) -> Self {
        self.templates = (count, blocks);
        self
    }

    /// Returns the mean work of a request: seconds of an engine of factor 1, or of a service.
    #[must_use]
    pub fn mean_work(&self) -> f64 {
        if self.service {
            return CALL / SECOND as f64;
        }
        work(self.prompt.mean(), self.output.mean())
    }
}

impl Deployment {
    /// The names of the deployments.
    pub const NAMES: [&str; 5] = ["fibras", "scaleward", "solo-1", "solo-2", "solo-4"];

    /// Returns the deployment with this name.
    #[must_use]
    pub fn named(name: &str) -> Option<Self> {
        match name {
            "fibras" => Some(Deployment::fibras()),
            "scaleward" => Some(Deployment::scaleward()),
            "solo-1" => Some(Deployment::solo("solo-1", 0)),
            "solo-2" => Some(Deployment::solo("solo-2", 1)),
            "solo-4" => Some(Deployment::solo("solo-4", 2)),
            _ => None,
        }
    }

    /// Quotations, answers and summaries on 18 model engines; dispatch orders on 3 services.
    #[must_use]
    pub fn fibras() -> Self {
        let zones: &[&str] = &["liberia-a", "canas-b", "nicoya-c"];
        Deployment {
            name: "fibras",
            zones,
            entries: 3,
            targets: targets(18, 3, zones.len()),
            routes: vec![
                RouteSpec::model("quotations", Tier::interactive(0), 0.20, 100.0, 30.0),
                RouteSpec::model("answers", Tier::interactive(1), 0.10, 60.0, 30.0).patience(15),
                RouteSpec::model("summaries", Tier::batch(0), 0.70, 200.0, 40.0).patience(60),
                RouteSpec::service("orders", 0, 0.30),
            ],
            organisations: organisations(),
        }
    }

    /// Counter questions, nightly drafts and weekly summaries on 9 model engines; charges and
    /// snoozes on 4 services.
    #[must_use]
    pub fn scaleward() -> Self {
        let zones: &[&str] = &["pnw-west-a", "pnw-west-b", "pnw-west-c", "pnw-west-d"];
        Deployment {
            name: "scaleward",
            zones,
            entries: 2,
            targets: targets(9, 4, zones.len()),
            routes: vec![
                RouteSpec::model("counter", Tier::interactive(0), 0.20, 60.0, 30.0),
                RouteSpec::model("drafts", Tier::batch(0), 0.50, 40.0, 40.0)
                    .templates(24, 24)
                    .due(1.0),
                RouteSpec::model("hardness", Tier::batch(1), 0.30, 200.0, 40.0).due(1.5),
                RouteSpec::service("charges", 0, 0.20),
                RouteSpec::service("snoozes", 1, 0.10),
            ],
            organisations: organisations(),
        }
    }

    /// One entry and one engine with the routes of fibras, as the smallest case.
    #[must_use]
    pub fn solo(name: &'static str, number: usize) -> Self {
        let mut solo = Deployment::fibras();
        solo.name = name;
        solo.zones = &["solo"];
        solo.entries = 1;
        solo.routes.retain(|route| !route.service);
        solo.targets = vec![TargetSpec {
            name: "engine-0".into(),
            zone: 0,
            kind: Kind::Model(generation(number)),
        }];
        solo
    }

    /// Returns the capacity in seconds of work per second: of the model engines, and of the
    /// services.
    ///
    /// An engine of factor 1 does one second of work per second when all its slots decode or it
    /// computes prompts at its full prefill rate; shared prefixes are taken as cached. This is
    /// an upper bound: memory, latency limits and empty slots are not subtracted.
    #[must_use]
    pub fn capacity(&self) -> (f64, f64) {
        let part = |kind: Kind| match kind {
            Kind::Model(speed) => (speed.factor, 0.0),
            Kind::Service { concurrency } => (0.0, concurrency as f64),
        };
        let parts = self.targets.iter().map(|target| part(target.kind));
        parts.fold((0.0, 0.0), |a, b| (a.0 + b.0, a.1 + b.1))
    }
}

/// Returns the work of a request in seconds of a model engine of factor 1.
#[must_use]
pub fn work(own: f64, output: f64) -> f64 {
    let speed = generation(0);
    own / speed.prefill + output / speed.peak()
}

/// Returns the speed of a hardware generation; the rates are those of the stand-in's defaults.
#[must_use]
pub fn generation(number: usize) -> Speed {
    let number = number.min(2);
    Speed {
        factor: [1.0, 2.0, 4.0][number],
        prefill: 4_000.0,
        decode: 30.0,
        penalty: 0.05,
        slots: 32,
        memory: [32_768, 49_152, 65_536][number],
        cache: [1_024 * BLOCK, 1_536 * BLOCK, 2_048 * BLOCK][number],
        cold_streams: 2,
    }
}

fn targets(models: usize, services: usize, zones: usize) -> Vec<TargetSpec> {
    let model = |index: usize| TargetSpec {
        name: format!("engine-{index}"),
        zone: index % zones,
        // Each zone has engines of each generation.
        kind: Kind::Model(generation((index / zones + index) % 3)),
    };
    let service = |index: usize| TargetSpec {
        name: format!("service-{index}"),
        zone: index % zones,
        kind: Kind::Service { concurrency: 4 },
    };
    (0..models)
        .map(model)
        .chain((0..services).map(service))
        .collect()
}

/// Five organisations, two of them large. The smallest ask for more than their weight.
fn organisations() -> Vec<Organisation> {
    let organisation = |name, weight, part| Organisation { name, weight, part };
    vec![
        organisation("north", 4, 0.30),
        organisation("harbour", 4, 0.30),
        organisation("mill", 2, 0.10),
        organisation("valley", 1, 0.15),
        organisation("islands", 1, 0.15),
    ]
}
