use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use ebonylug_core::Name;
use smallvec::SmallVec;

/// What may be done again with a request of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Safe,
    /// Runs at most once.
    Once,
    /// A stream of events.
    Stream {
        /// Whether another target may continue the stream.
        resumable: bool,
        /// The longest pause between events of an answer in time.
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

    /// Reports whether answers are streams of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream { .. })
    }
}

/// A route: which requests go to which service, and how.
#[derive(Clone, Debug)]
pub struct Route {
    /// The name of the route.
    pub name: Name,
    /// The host that requests name.
    pub host: Box<str>,
    /// The start of the paths, with a slash at both ends.
    pub prefix: Box<str>,
    /// What may be done again.
    pub kind: RouteKind,
    /// The longest time until the final answer.
    pub timeout: Duration,
    /// The time within which an answer (of a stream: its first event) is in time.
    pub latency_objective: Duration,
    /// How many targets one request may be sent to.
    pub max_attempts: u32,
    /// The rank; 0 is the most urgent.
    pub priority: u8,
    /// Services with their weights.
    pub services: SmallVec<[(Name, u32); 2]>,
    /// Whether requests need no key.
    pub public: bool,
}

impl Route {
    /// Draws a service by weight; `draw` is uniform over all `u64`.
    #[must_use]
    pub fn pick_service(&self, draw: u64) -> Option<&Name> {
        let total: u64 = self.services.iter().map(|(_, w)| u64::from(*w)).sum();
        if total == 0 {
            return self.services.first().map(|(name, _)| name);
        }
        let mut place = draw % total;
        for (name, weight) in &self.services {
            match place.checked_sub(u64::from(*weight)) {
                None => return Some(name),
                Some(rest) => place = rest,
            }
        }
        None
    }
}

/// A service: a set of equal targets.
#[derive(Clone, Debug)]
pub struct Service {
    /// The name of the service.
    pub name: Name,
    /// How long a target that just started stays cold.
    pub cold_time: Duration,
    /// Requests per second that a cold target bears; 0 if it is never cold.
    pub cold_rate: f64,
    /// Connections that a target accepts from all entries.
    pub max_connections: u32,
    /// Concurrent requests of a model engine; 0 for other services.
    pub slots: u32,
}

/// The rate limit of an organisation, in tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Tokens per second.
    pub rate: f64,
    /// Tokens that may be used at once after a pause.
    pub burst: f64,
}

/// A customer with keys.
#[derive(Clone, Debug)]
pub struct Organisation {
    /// The name that targets get to see.
    pub name: Name,
    /// The rank of its requests where it has one of its own.
    pub priority: Option<u8>,
    /// The rate limit, if it has one.
    pub quota: Option<Quota>,
    /// Tokens that a request without a count uses.
    pub default_tokens: u32,
    /// The keys of its callers.
    pub keys: Vec<Box<str>>,
}

/// Bounds on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a request's head.
    pub max_header_bytes: usize,
    /// Bytes of a request's body.
    pub max_body_bytes: usize,
    /// Time to receive a head, and a body that makes no progress.
    pub header_timeout: Duration,
    /// Time that callers may keep a connection idle.
    pub idle_timeout: Duration,
}

/// A configuration as it is decoded.
#[derive(Clone, Debug)]
pub struct RawConfig {
    /// Rises with each configuration.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// All organisations; without any, no request needs a key.
    pub organisations: Vec<Organisation>,
    /// Bounds on requests.
    pub limits: Limits,
}

/// A configuration with its lookups.
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
/// let draft = RawConfig { version: 7, routes: vec![], services: vec![], organisations: vec![], limits };
/// let config = Config::new(draft);
/// assert!(config.route("example", "/orders/17").is_none());
/// ```
#[derive(Clone, Debug)]
pub struct Config {
    /// The configuration's version.
    pub version: u64,
    /// Bounds on requests.
    pub limits: Limits,
    hosts: HashMap<Box<str>, HashMap<Box<str>, Arc<Route>>>,
    services: HashMap<Name, Service>,
    organisations: Vec<Arc<Organisation>>,
    keys: HashMap<Box<str>, usize>,
}

impl Config {
    /// Builds the lookups.
    #[must_use]
    pub fn new(draft: RawConfig) -> Self {
        let mut hosts: HashMap<Box<str>, HashMap<Box<str>, Arc<Route>>> = HashMap::new();
        for route in draft.routes {
            let host = hosts.entry(route.host.to_lowercase().into()).or_default();
            host.insert(route.prefix.clone(), Arc::new(route));
        }
        let mut keys = HashMap::new();
        for (index, organisation) in draft.organisations.iter().enumerate() {
            keys.extend(organisation.keys.iter().map(|key| (key.clone(), index)));
        }
        let named = |service: Service| (service.name.clone(), service);
        Config {
            version: draft.version,
            limits: draft.limits,
            hosts,
            services: draft.services.into_iter().map(named).collect(),
            organisations: draft.organisations.into_iter().map(Arc::new).collect(),
            keys,
        }
    }

    /// Returns the route with the longest prefix that begins `path`, which has no query.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split(':').next().unwrap_or(host);
        let prefixes = match self.hosts.get(host) {
            Some(prefixes) => prefixes,
            None => self.hosts.get(host.to_lowercase().as_str())?,
        };
        // Prefixes end with a slash, so only the starts of the path up to a slash can match.
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(route) = prefixes.get(&path[..=slash]) {
                return Some(route);
            }
            end = slash;
        }
        None
    }

    /// Returns the organisation that holds a key.
    #[must_use]
    pub fn organisation(&self, key: &str) -> Option<&Arc<Organisation>> {
        self.keys.get(key).map(|&index| &self.organisations[index])
    }

    /// Reports whether requests need keys.
    #[must_use]
    pub fn has_keys(&self) -> bool {
        !self.organisations.is_empty()
    }

    /// Returns a service.
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
