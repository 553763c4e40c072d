use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use ebonylug_core::Name;
use smallvec::SmallVec;

/// How requests of a route may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Requests may run more than once.
    Safe,
    /// Requests run at most once.
    Once,
    /// Responses are streams of events.
    Stream {
        /// Whether another target may resume the stream.
        resumable: bool,
        /// Maximum gap between events of a response that counts as in time.
        max_gap: Duration,
    },
}

impl RouteKind {
    /// Reports whether a request of this kind may run more than once.
    #[must_use]
    pub fn is_idempotent(self) -> bool {
        match self {
            RouteKind::Safe => true,
            RouteKind::Once => false,
            RouteKind::Stream { resumable, .. } => resumable,
        }
    }

    /// Reports whether responses are streams of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream { .. })
    }
}

/// A route, which maps requests to services.
#[derive(Clone, Debug)]
pub struct Route {
    /// The name of the route.
    pub name: Name,
    /// The host of the requests, in any letter case.
    pub host: Box<str>,
    /// The path prefix, which starts and ends with a slash.
    pub prefix: Box<str>,
    /// How requests may be repeated.
    pub kind: RouteKind,
    /// Maximum time until the final response.
    pub timeout: Duration,
    /// Time within which a response, or the first event of a stream, counts as in time.
    pub latency_objective: Duration,
    /// Maximum number of targets that one request is sent to.
    pub max_attempts: u32,
    /// The rank; 0 is the most urgent.
    pub priority: u8,
    /// Services and their weights.
    pub services: SmallVec<[(Name, u32); 2]>,
    /// Whether requests are accepted without an API key.
    pub public: bool,
}

impl Route {
    /// Picks a service by weight, or the first one if all weights are 0. `draw` is uniformly distributed
    /// over `u64`.
    #[must_use]
    pub fn pick_service(&self, draw: u64) -> Option<&Name> {
        let total: u64 = self.services.iter().map(|(_, w)| u64::from(*w)).sum();
        if total == 0 {
            return self.services.first().map(|(name, _)| name);
        }
        let mut offset = draw % total;
        for (name, weight) in &self.services {
            match offset.checked_sub(u64::from(*weight)) {
                None => return Some(name),
                Some(remaining) => offset = remaining,
            }
        }
        None
    }
}

/// A service, which is a set of equivalent targets.
#[derive(Clone, Debug)]
pub struct Service {
    /// The name of the service.
    pub name: Name,
    /// Time for which a target stays cold after its start.
    pub cold_time: Duration,
    /// Maximum requests per second to a cold target; 0 if targets are never cold.
    pub cold_rate: f64,
    /// The path of the targets' health check, which tells whether they are cold; empty if there is none.
    pub health_path: Box<str>,
    /// Maximum connections of a target over all entries.
    pub max_connections: u32,
    /// Maximum concurrent requests of a model engine; 0 for other services.
    pub slots: u32,
}

/// The rate limit of an organisation, in tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Tokens per second.
    pub rate: f64,
    /// Maximum tokens that may be consumed at once.
    pub burst: f64,
}

/// A customer, identified by its API keys.
#[derive(Clone, Debug)]
pub struct Organisation {
    /// The name that is forwarded to targets.
    pub name: Name,
    /// The rank of its requests, if it differs from that of the route.
    pub priority: Option<u8>,
    /// The rate limit, if it has one.
    pub quota: Option<Quota>,
    /// Tokens that a request consumes if it does not state a count.
    pub default_tokens: u32,
    /// The API keys of its callers.
    pub keys: Vec<Box<str>>,
}

/// Limits on requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of the request line and headers, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of the body, in bytes.
    pub max_body_bytes: usize,
    /// Time limit for receiving the headers, and for a body that makes no progress.
    pub header_timeout: Duration,
    /// Maximum time for which callers may keep a connection idle.
    pub idle_timeout: Duration,
}

/// A decoded configuration without indexes.
#[derive(Clone, Debug)]
pub struct RawConfig {
    /// The version, which increases with each configuration.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// All organisations. If there are none, no request needs an API key.
    pub organisations: Vec<Organisation>,
    /// Limits on requests and connections.
    pub limits: Limits,
}

/// A configuration with indexes for lookups by host, path, key and name.
///
/// ```
/// # use std::time::Duration;
/// # use ebonylug_dispatch::{Config, Limits, RawConfig};
/// let limits = Limits {
///     max_header_bytes: 16 << 10,
///     max_body_bytes: 4 << 20,
///     header_timeout: Duration::from_secs(3),
///     idle_timeout: Duration::from_secs(15),
/// };
/// let raw = RawConfig { version: 7, routes: vec![], services: vec![], organisations: vec![], limits };
/// let config = Config::new(raw);
/// assert!(config.route("example", "/orders/17").is_none());
/// ```
#[derive(Clone, Debug)]
pub struct Config {
    /// The configuration's version.
    pub version: u64,
    /// Limits on requests and connections.
    pub limits: Limits,
    hosts: HashMap<Box<str>, HashMap<Box<str>, Arc<Route>>>,
    services: HashMap<Name, Service>,
    organisations: Vec<Arc<Organisation>>,
    keys: HashMap<Box<str>, usize>,
    /// The weight of organisations without a quota: the mean of the others.
    even_weight: f64,
}

impl Config {
    /// Builds the indexes.
    #[must_use]
    pub fn new(raw: RawConfig) -> Self {
        let mut hosts: HashMap<Box<str>, HashMap<Box<str>, Arc<Route>>> = HashMap::new();
        for route in raw.routes {
            let host = hosts.entry(route.host.to_lowercase().into()).or_default();
            host.insert(route.prefix.clone(), Arc::new(route));
        }
        let mut keys = HashMap::new();
        for (index, organisation) in raw.organisations.iter().enumerate() {
            keys.extend(organisation.keys.iter().map(|key| (key.clone(), index)));
        }
        let rates = raw.organisations.iter().filter_map(|o| o.quota);
        let (sum, count) = rates.fold((0.0, 0), |(sum, count), quota| {
            (sum + quota.rate, count + 1)
        });
        let by_name = |service: Service| (service.name.clone(), service);
        Config {
            version: raw.version,
            limits: raw.limits,
            hosts,
            services: raw.services.into_iter().map(by_name).collect(),
            organisations: raw.organisations.into_iter().map(Arc::new).collect(),
            keys,
            even_weight: if sum > 0.0 {
                sum / f64::from(count)
            } else {
                1.0
            },
        }
    }

    /// Returns an organisation's weight while capacity is short: the rate of its quota, or an even share.
    #[must_use]
    pub fn weight(&self, organisation: &Organisation) -> f64 {
        let rate = organisation.quota.map(|quota| quota.rate);
        rate.filter(|&rate| rate > 0.0).unwrap_or(self.even_weight)
    }

    /// Returns the route with the longest prefix of `path`, which must not contain a query.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split(':').next().unwrap_or(host);
        let prefixes = match self.hosts.get(host) {
            Some(prefixes) => prefixes,
            None => self.hosts.get(host.to_lowercase().as_str())?,
        };
        // Prefixes end with a slash, so only parts of the path up to a slash can match.
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(route) = prefixes.get(&path[..=slash]) {
                return Some(route);
            }
            end = slash;
        }
        None
    }

    /// Returns the organisation that an API key belongs to.
    #[must_use]
    pub fn organisation(&self, key: &str) -> Option<&Arc<Organisation>> {
        self.keys.get(key).map(|&index| &self.organisations[index])
    }

    /// Reports whether the configuration has organisations, so that requests need API keys.
    #[must_use]
    pub fn has_keys(&self) -> bool {
        !self.organisations.is_empty()
    }

    /// Returns the service with a name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Returns all organisations.
    #[must_use]
    pub fn organisations(&self) -> &[Arc<Organisation>] {
        &self.organisations
    }
}
