//! Lookups of routes, services and keys in a configuration.

use std::time::Duration;

use ebonylug_core::Name;
use ebonylug_dispatch::{Config, Limits, Organisation, RawConfig, Route, RouteKind};
use smallvec::smallvec;

fn route(host: &str, prefix: &str, services: &[(&str, u32)]) -> Route {
    Route {
        name: Name::new(&format!("{host}{prefix}")),
        host: host.into(),
        prefix: prefix.into(),
        kind: RouteKind::Safe,
        timeout: Duration::from_secs(1),
        latency_objective: Duration::from_millis(300),
        max_attempts: 2,
        priority: 0,
        services: services
            .iter()
            .map(|(name, weight)| (Name::new(name), *weight))
            .collect(),
        public: false,
    }
}

fn config(routes: Vec<Route>, organisations: Vec<Organisation>) -> Config {
    Config::new(RawConfig {
        version: 1,
        routes,
        services: Vec::new(),
        organisations,
        limits: Limits {
            max_header_bytes: 16 << 10,
            max_body_bytes: 1 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
    })
}

/// Guards against a shorter prefix that shadows a longer one, and against a prefix that matches within a
/// path segment.
#[test]
fn the_longest_prefix_of_the_host_wins() {
    let routes = [
        ("a.example", "/x/"),
        ("a.example", "/x/y/"),
        ("b.example", "/"),
    ];
    let config = config(
        routes.map(|(host, prefix)| route(host, prefix, &[])).into(),
        Vec::new(),
    );
    let cases = [
        ("a.example", "/x/1", Some("a.example/x/")),
        ("a.example", "/x/y/1", Some("a.example/x/y/")),
        ("a.example", "/x/y", Some("a.example/x/")),
        ("A.Example:8080", "/x/", Some("a.example/x/")),
        ("a.example", "/xy/1", None),
        ("a.example", "/x", None),
        ("b.example", "/x/1", Some("b.example/")),
        ("c.example", "/x/1", None),
    ];
    for (host, path, expected) in cases {
        let found = config.route(host, path).map(|route| route.name.as_str());
        assert_eq!(found, expected, "{host}{path}");
    }
}

/// Guards against a split that sends requests to a service of weight 0.
#[test]
fn a_split_follows_its_weights() {
    let split = route("a", "/", &[("old", 90), ("new", 10), ("off", 0)]);
    let mut counts = std::collections::BTreeMap::new();
    for draw in 0..1_000 {
        let name = split.pick_service(draw).expect("the route has services");
        *counts.entry(name.as_str()).or_insert(0) += 1;
    }
    assert_eq!(
        counts.into_iter().collect::<Vec<_>>(),
        [("new", 100), ("old", 900)]
    );
}

/// Guards against an API key that grants access as another organisation, and against unknown keys that are
/// accepted.
#[test]
fn a_key_belongs_to_one_organisation() {
    let organisation = |name: &str, key: &str| Organisation {
        name: Name::new(name),
        priority: None,
        quota: None,
        default_tokens: 1,
        keys: vec![key.into()],
    };
    let config = config(
        Vec::new(),
        vec![organisation("mill", "k1"), organisation("quay", "k2")],
    );
    let holder = |key| config.organisation(key).map(|o| o.name.as_str().to_owned());
    assert_eq!(holder("k1").as_deref(), Some("mill"));
    assert_eq!(holder("k2").as_deref(), Some("quay"));
    assert_eq!(holder("k3"), None);
}

/// Guards against a route that selects no service because all weights are 0.
#[test]
fn a_single_service_needs_no_weight() {
    let mut single = route("a", "/", &[]);
    single.services = smallvec![(Name::new("only"), 0)];
    assert_eq!(single.pick_service(7).map(Name::as_str), Some("only"));
}
