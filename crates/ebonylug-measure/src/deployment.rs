//! The production deployments at their present size, and single-engine ones.

use ebonylug_core::{Repeat, Tier};

use crate::engine::{BLOCK_TOKENS, EngineKind, EngineSpec, SECOND};
use crate::random::LengthDistribution;

/// Mean duration of a call to a plain service, in microseconds.
pub const CALL_TIME_US: f64 = 200_000.0;

/// Topology and workload of a deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Name on the command line.
    pub name: &'static str,
    /// Names of the availability zones.
    pub zones: &'static [&'static str],
    /// Number of entries, spread over the zones.
    pub entries: usize,
    /// Model engines, followed by plain services.
    pub targets: Vec<TargetSpec>,
    /// Routes with their workload.
    pub routes: Vec<RouteSpec>,
    /// Organisations with their shares of the workload.
    pub organisations: Vec<Organisation>,
}

/// A target of a deployment.
#[derive(Clone, Debug)]
pub struct TargetSpec {
    /// Unique name.
    pub name: String,
    /// Index of its zone.
    pub zone: usize,
    /// Model engine or plain service.
    pub kind: EngineKind,
}

/// An organisation of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Organisation {
    /// Unique name.
    pub name: &'static str,
    /// Weight in fair queueing.
    pub weight: u32,
    /// Share of the requests.
    pub share: f64,
}

/// A route of a deployment.
#[derive(Clone, Debug)]
pub struct RouteSpec {
    /// Unique name.
    pub name: &'static str,
    /// Tier of its requests.
    pub tier: Tier,
    /// Whether its requests may be retried after they ran.
    pub repeat: Repeat,
    /// Whether plain services handle it instead of model engines.
    pub service: bool,
    /// Share of the capacity that it uses at load 1.
    pub share: f64,
    /// Length of the unshared part of the prompt.
    pub prompt: LengthDistribution,
    /// Output length.
    pub output: LengthDistribution,
    /// Number of shared prompt prefixes, and the blocks in each.
    pub templates: (usize, usize),
    /// Fixed part of the deadline, in microseconds.
    pub base_deadline: u64,
    /// Additional deadline for each token of the output limit, in microseconds.
    pub token_deadline: u64,
    /// Time at which all requests of the route are due, as a fraction of the case; overrides the
    /// deadline.
    pub due: Option<f64>,
}

impl RouteSpec {
    fn model(name: &'static str, tier: Tier, share: f64, prompt: f64, output: f64) -> Self {
        RouteSpec {
            name,
            tier,
            repeat: Repeat::Yes,
            service: false,
            share,
            prompt: LengthDistribution::with_min(prompt),
            output: LengthDistribution::with_min(output),
            templates: (1, 4),
            base_deadline: 5 * SECOND,
            // The slowest generation decodes a single stream at 30 tokens per second.
            token_deadline: SECOND / 10,
            due: None,
        }
    }

    fn service(name: &'static str, rank: u8, share: f64) -> Self {
        RouteSpec {
            repeat: Repeat::No,
            service: true,
            templates: (0, 0),
            token_deadline: 0,
            ..RouteSpec::model(name, Tier::interactive(rank), share, 1.0, 1.0)
        }
    }

    fn base_deadline(mut self, seconds: u64) -> Self {
        self.base_deadline = seconds * SECOND;
        self
    }

    fn due(mut self, fraction: f64) -> Self {
        self.due = Some(fraction);
        self
    }

    fn templates(mut self, count: usize, blocks: usize) -> Self {
        self.templates = (count, blocks);
        self
    }

    /// Returns the mean work of a request in seconds of an engine with speed factor 1, or of a
    /// service.
    #[must_use]
    pub fn mean_work(&self) -> f64 {
        if self.service {
            return CALL_TIME_US / SECOND as f64;
        }
        model_work(self.prompt.mean(), self.output.mean())
    }
}

impl Deployment {
    /// Names that [`Deployment::named`] accepts.
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
                RouteSpec::model("answers", Tier::interactive(1), 0.10, 60.0, 30.0)
                    .base_deadline(15),
                RouteSpec::model("summaries", Tier::batch(0), 0.70, 200.0, 40.0).base_deadline(60),
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

    /// One entry and one engine of the given generation with the model routes of fibras, as the
    /// smallest case.
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
            kind: EngineKind::Model(generation(number)),
        }];
        solo
    }

    /// Returns the capacity of the model engines and of the services, in seconds of work per
    /// second.
    ///
    /// An engine with speed factor 1 does one second of work per second when all its slots decode
    /// or it computes prompts at its full prefill rate; shared prefixes count as cached. This is an
    /// upper bound: memory, latency limits and empty slots are not subtracted.
    #[must_use]
    pub fn capacity(&self) -> (f64, f64) {
        let rates = |kind: EngineKind| match kind {
            EngineKind::Model(engine) => (engine.speed_factor, 0.0),
            EngineKind::Service { concurrency } => (0.0, concurrency as f64),
        };
        let capacities = self.targets.iter().map(|target| rates(target.kind));
        capacities.fold((0.0, 0.0), |a, b| (a.0 + b.0, a.1 + b.1))
    }
}

/// Returns the work of a request in seconds of a model engine with speed factor 1.
#[must_use]
pub fn model_work(own_tokens: f64, output: f64) -> f64 {
    let engine = generation(0);
    own_tokens / engine.prefill_rate + output / engine.peak_rate()
}

/// Returns the specification of a hardware generation, from 0 to 2. The rates are the defaults of
/// the stand-in.
#[must_use]
pub fn generation(number: usize) -> EngineSpec {
    let number = number.min(2);
    EngineSpec {
        speed_factor: [1.0, 2.0, 4.0][number],
        prefill_rate: 4_000.0,
        decode_rate: 30.0,
        batch_penalty: 0.05,
        slots: 32,
        memory_tokens: [32_768, 49_152, 65_536][number],
        cache_tokens: [
            1_024 * BLOCK_TOKENS,
            1_536 * BLOCK_TOKENS,
            2_048 * BLOCK_TOKENS,
        ][number],
        cold_streams: 2,
    }
}

fn targets(models: usize, services: usize, zones: usize) -> Vec<TargetSpec> {
    let model = |index: usize| TargetSpec {
        name: format!("engine-{index}"),
        zone: index % zones,
        // Each zone has engines of each generation.
        kind: EngineKind::Model(generation((index / zones + index) % 3)),
    };
    let service = |index: usize| TargetSpec {
        name: format!("service-{index}"),
        zone: index % zones,
        kind: EngineKind::Service { concurrency: 4 },
    };
    (0..models)
        .map(model)
        .chain((0..services).map(service))
        .collect()
}

/// Returns five organisations, two of them large. The smallest send more than their weighted share.
fn organisations() -> Vec<Organisation> {
    let organisation = |name, weight, share| Organisation {
        name,
        weight,
        share,
    };
    vec![
        organisation("north", 4, 0.30),
        organisation("harbour", 4, 0.30),
        organisation("mill", 2, 0.10),
        organisation("valley", 1, 0.15),
        organisation("islands", 1, 0.15),
    ]
}
