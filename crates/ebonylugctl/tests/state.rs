//! The state of an entry on the platform, as the entry reports it.

mod common;

use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use common::run_in;
use ebonylug_core::{ManualClock, Name};
use ebonylug_direct::{
    Bounds, Dialect, Entry, MoveOrder, ResponseLimits, Settings, Uptime, server,
};
use ebonylug_dispatch::{
    Config, HedgeRule, Limits, QuotaTolerance, RawConfig, RetryRule, Target, TargetState,
};
use ebonylugctl::{Environment, Outcome};
use http::HeaderName;

/// An uptime that does not advance.
struct FixedUptime;

impl Uptime for FixedUptime {
    fn uptime(&self) -> Duration {
        Duration::from_secs(100)
    }
}

fn dialect() -> Dialect {
    let name = HeaderName::from_static("x-any");
    Dialect {
        request_id: name.clone(),
        deadline: name.clone(),
        expected_target: name.clone(),
        organisation: name.clone(),
        tokens: name.clone(),
        prompt_parts: name.clone(),
        last_event: name.clone(),
        signature: name.clone(),
        not_run: name.clone(),
        cold_time: name.clone(),
        leaving: name.clone(),
        rate_limit: name.clone(),
        server_load: name,
        event_fields: Vec::new(),
        reserved: Vec::new(),
        ready_path: "/ready".into(),
    }
}

fn target(name: &str, zone: &str, version: &str, state: TargetState) -> Target {
    Target {
        name: Name::new(name),
        service: Name::new("pool"),
        address: "127.0.0.1:1".parse().expect("the address is valid"),
        zone: Name::new(zone),
        version: version.into(),
        slots: 6,
        state,
        cold: Duration::ZERO,
        started_ms: 1,
    }
}

/// Returns an entry during a move, with a drained zone that gets no requests.
fn entry() -> Rc<Entry> {
    let settings = Settings {
        name: Name::new("front-1"),
        zone: Name::new("west"),
        resuming: false,
        bounds: Bounds {
            key_age: Duration::from_secs(4),
            retries: RetryRule {
                ratio: 0.2,
                constant: 54.0,
                window: Duration::from_secs(10),
            },
            hedging: HedgeRule::default(),
            quotas: QuotaTolerance::default(),
            grace: Duration::from_secs(8),
            body_memory: 1 << 20,
            responses: ResponseLimits::default(),
        },
    };
    let clock = Arc::new(ManualClock::new());
    let entry = Entry::new(settings, dialect(), clock, Box::new(FixedUptime), 1);
    entry.apply_config(Config::new(RawConfig {
        version: 17,
        routes: Vec::new(),
        services: Vec::new(),
        organisations: Vec::new(),
        limits: Limits {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4_000,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
    }));
    entry.confirm_config(Duration::from_millis(99_600));
    entry.set_shared_time(Duration::from_secs(100), Duration::from_secs(5));
    entry.set_targets(vec![
        target("engine-2", "east", "v2", TargetState::Serving),
        target("engine-1", "west", "v1", TargetState::Serving),
        target("engine-3", "west", "v1", TargetState::Leaving),
    ]);
    entry.set_drained(HashSet::from([Name::new("east")]));
    entry.set_orders(&[MoveOrder {
        service: Name::new("pool"),
        version: "v2".into(),
        time_limit: Duration::from_secs(60),
    }]);
    entry
}

/// Guards against an entry whose state is incomplete or needs a token to be read.
#[test]
fn entry_state() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime can be built");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let any = "127.0.0.1:0".parse().expect("the address is valid");
        let listener = server::listen(any).expect("a port is free");
        let address = listener.local_addr().expect("the listener is bound");
        tokio::task::spawn_local(server::serve_metrics(entry(), listener, || 0));
        let environment = Environment {
            server: Some(format!("http://{address}").into()),
            token: None,
        };
        let result = run_in(&environment, &["state"], "").await;
        assert_eq!(result.outcome, Outcome::Done, "{}", result.errors);
        insta::assert_snapshot!(result.output);
        let json = run_in(&environment, &["state", "-o", "json"], "").await;
        insta::assert_snapshot!("state_as_json", json.output);
    });
}
