//! The requests of a case, drawn from a seed.

use smallvec::SmallVec;

use crate::deployment::{CALL, Deployment, RouteSpec, work};
use crate::engine::{BLOCK, SECOND};
use crate::random::Random;

/// Time between the starts of two bursts.
const BURST_EVERY: u64 = 30 * SECOND;
/// Length of a burst.
const BURST: u64 = 5 * SECOND;
/// The factor on the rate of arrivals in a burst.
const BURST_FACTOR: f64 = 1.5;
/// The part of a case in which work that is due together arrives.
const EARLY: f64 = 0.6;
/// Block hashes of a prompt that are sent with a request.
const BLOCKS: u64 = 32;

/// A request of a case.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// When it arrives.
    pub at: u64,
    /// The entry at which it arrives.
    pub entry: usize,
    /// The index of its route.
    pub route: usize,
    /// The index of its organisation.
    pub organisation: usize,
    /// Prompt tokens without those of shared blocks.
    pub own: u64,
    /// Shared blocks of the prompt.
    pub shared: Vec<u64>,
    /// Output tokens, or microseconds of a service.
    pub output: u64,
    /// The request's own limit on its output.
    pub max_output: u64,
    /// When the answer is of no more use.
    pub deadline: u64,
    /// Whether it crashes each engine that runs it.
    pub poison: bool,
    /// The content, for crash attribution. A request that is sent again has the same one.
    pub content: u64,
}

impl Job {
    /// Returns the length of the prompt.
    #[must_use]
    pub fn prompt(&self) -> u64 {
        self.own + self.shared.len() as u64 * BLOCK
    }

    /// Returns the work in seconds of an engine of factor 1.
    #[must_use]
    pub fn work(&self, route: &RouteSpec) -> f64 {
        if route.service {
            return self.output as f64 / SECOND as f64;
        }
        work(self.own as f64, self.output as f64)
    }

    /// Returns the tokens of prompt and answer; a call to a service is one.
    #[must_use]
    pub fn tokens(&self, route: &RouteSpec) -> u64 {
        if route.service {
            1
        } else {
            self.prompt() + self.output
        }
    }

    /// Returns the hashes of the prompt's blocks.
    #[must_use]
    pub fn prefix(&self, id: usize) -> SmallVec<[u64; 8]> {
        let own = (self.own / BLOCK).min(BLOCKS);
        let unique = (0..own).map(|block| mix((id as u64) << 20 | 1 << 62 | block));
        let shared = self.shared.iter().copied();
        shared.chain(unique).take(BLOCKS as usize).collect()
    }
}

/// Draws the requests that arrive in `length`, in order of arrival.
#[must_use]
pub fn arrivals(deployment: &Deployment, load: f64, length: u64, seed: u64) -> Vec<Job> {
    let (models, services) = deployment.capacity();
    let mut jobs = Vec::new();
    for (index, route) in deployment.routes.iter().enumerate() {
        let capacity = if route.service { services } else { models };
        let rate = load * route.part * capacity / route.mean_work();
        let mut random = Random::new(seed, index as u64 + 1);
        let early = route.due == Some(1.0);
        let (rate, last) = if early {
            (rate / EARLY, (length as f64 * EARLY) as u64)
        } else {
            (rate, length)
        };
        let mut at = 0;
        loop {
            at += gap(&mut random, rate, at);
            if at >= last {
                break;
            }
            jobs.push(draw(deployment, index, at, length, &mut random));
        }
    }
    jobs.sort_by_key(|job: &Job| (job.at, job.route));
    jobs
}

/// Draws the time to the next arrival. In bursts the rate is higher, and lower between them, so
/// that the mean stays.
fn gap(random: &mut Random, rate: f64, at: u64) -> u64 {
    let calm = (BURST_EVERY as f64 - BURST_FACTOR * BURST as f64) / (BURST_EVERY - BURST) as f64;
    let factor = if at % BURST_EVERY < BURST {
        BURST_FACTOR
    } else {
        calm
    };
    (random.exponential(1.0 / (rate * factor)) * SECOND as f64) as u64 + 1
}

fn draw(deployment: &Deployment, index: usize, at: u64, length: u64, random: &mut Random) -> Job {
    let route = &deployment.routes[index];
    let organisation = random.weighted(deployment.organisations.iter().map(|o| o.part));
    let (own, output) = if route.service {
        (1, random.between(0.5 * CALL, 1.5 * CALL) as u64)
    } else {
        (route.prompt.draw(random), route.output.draw(random))
    };
    let (templates, blocks) = route.templates;
    let template = random.below(templates);
    let shared = 0..blocks * usize::from(templates > 0);
    let max_output = if route.service {
        1
    } else {
        output.next_power_of_two()
    };
    let deadline = match route.due {
        Some(part) => (length as f64 * part) as u64,
        None => at + route.patience + route.per_token * max_output,
    };
    Job {
        at,
        entry: random.below(deployment.entries),
        route: index,
        organisation,
        own,
        shared: shared
            .map(|block| mix((index as u64) << 40 | (template as u64) << 20 | block as u64))
            .collect(),
        output,
        max_output,
        deadline,
        poison: false,
        content: random.seed(),
    }
}

/// Spreads a small number over all bits but the top one.
fn mix(number: u64) -> u64 {
    let mut hash = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (hash ^ (hash >> 31)) >> 1
}
