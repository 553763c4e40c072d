//! Generates the requests of a case from a seed.

use smallvec::SmallVec;

use crate::deployment::{CALL_TIME_US, Deployment, RouteSpec, model_work};
use crate::engine::{BLOCK_TOKENS, SECOND};
use crate::random::SeededRng;

/// Time between the starts of two bursts.
const BURST_INTERVAL_US: u64 = 30 * SECOND;
/// Duration of a burst.
const BURST_LENGTH_US: u64 = 5 * SECOND;
/// Factor on the arrival rate during a burst.
const BURST_FACTOR: f64 = 1.5;
/// Fraction of the case within which all requests of a route arrive that is due at its end.
const EARLY_FRACTION: f64 = 0.6;
/// Maximum number of prompt block hashes sent with a request.
const MAX_PREFIX_BLOCKS: u64 = 32;

/// A request of a case. Times are in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Arrival time.
    pub arrival: u64,
    /// Index of the entry that receives it.
    pub entry: usize,
    /// Index of its route.
    pub route: usize,
    /// Index of its organisation.
    pub organisation: usize,
    /// Prompt tokens outside shared blocks.
    pub own_tokens: u64,
    /// Hashes of the prompt blocks shared with other requests.
    pub shared_blocks: Vec<u64>,
    /// Output tokens; for a service, the duration of the call in microseconds.
    pub output: u64,
    /// Output limit set in the request, in tokens.
    pub max_output: u64,
    /// Time after which the response is useless.
    pub deadline: u64,
    /// Whether it crashes each engine that runs it.
    pub poison: bool,
    /// Hash of the content, for crash attribution and as the key of a call. Equal for a retry by
    /// the caller.
    pub fingerprint: u64,
}

impl Job {
    /// Returns the length of the prompt in tokens.
    #[must_use]
    pub fn prompt(&self) -> u64 {
        self.own_tokens + self.shared_blocks.len() as u64 * BLOCK_TOKENS
    }

    /// Returns the work in seconds of an engine with speed factor 1.
    #[must_use]
    pub fn work(&self, route: &RouteSpec) -> f64 {
        if route.service {
            return self.output as f64 / SECOND as f64;
        }
        model_work(self.own_tokens as f64, self.output as f64)
    }

    /// Returns the prompt and output tokens; a call to a service counts as one.
    #[must_use]
    pub fn tokens(&self, route: &RouteSpec) -> u64 {
        if route.service {
            1
        } else {
            self.prompt() + self.output
        }
    }

    /// Returns the hashes of the first prompt blocks. `id` makes those of unshared blocks unique.
    #[must_use]
    pub fn prefix(&self, id: usize) -> SmallVec<[u64; 8]> {
        let own_blocks = (self.own_tokens / BLOCK_TOKENS).min(MAX_PREFIX_BLOCKS);
        let unique = (0..own_blocks).map(|block| mix((id as u64) << 20 | 1 << 62 | block));
        let shared_blocks = self.shared_blocks.iter().copied();
        shared_blocks
            .chain(unique)
            .take(MAX_PREFIX_BLOCKS as usize)
            .collect()
    }
}

/// Returns the requests that arrive in `length` microseconds, in order of arrival.
#[must_use]
pub fn arrivals(deployment: &Deployment, load: f64, length: u64, seed: u64) -> Vec<Job> {
    let (models, services) = deployment.capacity();
    let mut jobs = Vec::new();
    for (index, route) in deployment.routes.iter().enumerate() {
        let capacity = if route.service { services } else { models };
        let rate = load * route.share * capacity / route.mean_work();
        let mut random = SeededRng::new(seed, index as u64 + 1);
        let is_early = route.due == Some(1.0);
        let (rate, arrival_end) = if is_early {
            (
                rate / EARLY_FRACTION,
                (length as f64 * EARLY_FRACTION) as u64,
            )
        } else {
            (rate, length)
        };
        let mut at = 0;
        loop {
            at += interarrival_time(&mut random, rate, at);
            if at >= arrival_end {
                break;
            }
            jobs.push(draw_job(deployment, index, at, length, &mut random));
        }
    }
    jobs.sort_by_key(|job: &Job| (job.arrival, job.route));
    jobs
}

/// Returns a random time to the next arrival. The rate is higher in bursts and lower between them,
/// so that the mean rate stays the same.
fn interarrival_time(random: &mut SeededRng, rate: f64, at: u64) -> u64 {
    let quiet_factor = (BURST_INTERVAL_US as f64 - BURST_FACTOR * BURST_LENGTH_US as f64)
        / (BURST_INTERVAL_US - BURST_LENGTH_US) as f64;
    let factor = if at % BURST_INTERVAL_US < BURST_LENGTH_US {
        BURST_FACTOR
    } else {
        quiet_factor
    };
    (random.exponential(1.0 / (rate * factor)) * SECOND as f64) as u64 + 1
}

fn draw_job(
    deployment: &Deployment,
    index: usize,
    at: u64,
    length: u64,
    random: &mut SeededRng,
) -> Job {
    let route = &deployment.routes[index];
    let organisation = random.weighted(deployment.organisations.iter().map(|o| o.share));
    let (own_tokens, output) = if route.service {
        (
            1,
            random.uniform(0.5 * CALL_TIME_US, 1.5 * CALL_TIME_US) as u64,
        )
    } else {
        (route.prompt.sample(random), route.output.sample(random))
    };
    let (templates, blocks) = route.templates;
    let template = random.index(templates);
    let shared_blocks = 0..blocks * usize::from(templates > 0);
    let max_output = if route.service {
        1
    } else {
        output.next_power_of_two()
    };
    let deadline = match route.due {
        Some(fraction) => (length as f64 * fraction) as u64,
        None => at + route.base_deadline + route.token_deadline * max_output,
    };
    Job {
        arrival: at,
        entry: random.index(deployment.entries),
        route: index,
        organisation,
        own_tokens,
        shared_blocks: shared_blocks
            .map(|block| mix((index as u64) << 40 | (template as u64) << 20 | block as u64))
            .collect(),
        output,
        max_output,
        deadline,
        poison: false,
        fingerprint: random.next_u64(),
    }
}

/// Hashes a small number to 63 bits; the top bit is clear.
fn mix(number: u64) -> u64 {
    let mut hash = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (hash ^ (hash >> 31)) >> 1
}
