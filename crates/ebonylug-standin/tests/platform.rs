//! Tests of the platform client against the fake platform.

use std::time::Duration;

use ebonylug_platform::{
    Error, Expect, HttpPlatform, InstanceList, InstanceRow, InstanceState, ObjectHash, ObjectStore,
    Table, Transaction,
};
use ebonylug_standin::{
    CannedResponse, Platform, PlatformFaults, PlatformSettings, Service, ServiceSettings,
};

fn start(settings: PlatformSettings) -> (Platform, HttpPlatform) {
    let platform = Platform::start(settings).unwrap();
    let client = HttpPlatform::new(platform.addr).timeout(Duration::from_secs(20));
    (platform, client)
}

fn put(value: &str) -> Transaction {
    Transaction::new().put("a/1", value)
}

/// Guards against a protocol that the client and the fake interpret differently.
#[tokio::test]
async fn round_trip() {
    let (platform, client) = start(PlatformSettings::default());
    let insert = put("x")
        .expect("a/1", Expect::Absent)
        .put("a/ü &=+%", "{}")
        .put("b", "no");
    let committed = client.transact(insert.clone()).await.unwrap();
    let row = client.get("a/ü &=+%").await.unwrap().unwrap();
    assert_eq!((&*row.value, row.version), ("{}", committed.version));
    assert_eq!(client.get("none").await, Ok(None));
    let keys =
        |rows: Vec<ebonylug_platform::Row>| rows.into_iter().map(|r| r.key).collect::<Vec<_>>();
    assert_eq!(keys(client.scan("a/", 9).await.unwrap()).len(), 2);
    assert_eq!(keys(client.scan("a/", 1).await.unwrap()), ["a/1".into()]);
    let conflict = Error::Conflict { key: "a/1".into() };
    assert_eq!(client.transact(insert).await, Err(conflict));

    let hash = client.put("body".into()).await.unwrap();
    assert_eq!(client.fetch(hash).await.unwrap(), "body");
    assert_eq!(
        client.fetch(ObjectHash::of(b"?")).await,
        Err(Error::NotFound)
    );

    let row = InstanceRow {
        instance: "sidecar-1".into(),
        zone: "liberia-a".into(),
        state: InstanceState::Live,
        data: "127.0.0.1:1".into(),
        control: "127.0.0.1:2".into(),
        target: None,
    };
    platform.set_instances(vec![row.clone()]);
    assert_eq!(client.instances().await, Ok(vec![row]));
}

/// Guards against a failure that is reported as "not applied" although the write may have been
/// applied, and vice versa.
#[tokio::test]
async fn faults_map_to_outcomes() {
    struct Case {
        name: &'static str,
        faults: PlatformFaults,
        write: Error,
        applied: bool,
        read: Option<Error>,
    }
    let none = PlatformFaults::default();
    let cases = [
        Case {
            name: "down",
            faults: PlatformFaults {
                down: true,
                ..none.clone()
            },
            write: Error::Unavailable,
            applied: false,
            read: Some(Error::Unavailable),
        },
        Case {
            name: "hang",
            faults: PlatformFaults {
                hang: true,
                ..none.clone()
            },
            write: Error::Unknown,
            applied: false,
            read: Some(Error::Unavailable),
        },
        Case {
            name: "lost response",
            faults: PlatformFaults {
                drop_responses: 1,
                ..none.clone()
            },
            write: Error::Unknown,
            applied: true,
            read: None,
        },
        Case {
            name: "lost request",
            faults: PlatformFaults {
                drop_requests: 1,
                ..none.clone()
            },
            write: Error::Unknown,
            applied: false,
            read: None,
        },
        Case {
            name: "rate limit",
            faults: PlatformFaults {
                rate_limit: Some(0),
                ..none.clone()
            },
            write: Error::Throttled,
            applied: false,
            read: Some(Error::Throttled),
        },
    ];
    for case in cases {
        let (platform, client) = start(PlatformSettings::default());
        let client = match case.faults.hang {
            true => client.timeout(Duration::from_secs(1)),
            false => client,
        };
        platform.set_faults(case.faults);
        assert_eq!(
            client.transact(put("x")).await,
            Err(case.write),
            "{}",
            case.name
        );
        let row = platform.memory().get("a/1").await.unwrap();
        assert_eq!(row.is_some(), case.applied, "{}", case.name);
        assert_eq!(client.get("b").await.err(), case.read, "{}", case.name);
    }
}

/// Guards against a refused connection that is reported as an unknown outcome, and a stopped fake
/// that still listens.
#[tokio::test]
async fn stopped_platform_is_unavailable() {
    let (platform, client) = start(PlatformSettings::default());
    client.transact(put("x")).await.unwrap();
    let addr = platform.addr;
    platform.stop();
    // The old client may still write to its open connection, whose outcome is unknown.
    let client = HttpPlatform::new(addr);
    assert_eq!(client.transact(put("y")).await, Err(Error::Unavailable));
}

/// Guards against a token that is not sent or not checked.
#[tokio::test]
async fn token_is_checked() {
    let (_platform, client) = start(PlatformSettings {
        token: Some("right".into()),
        ..PlatformSettings::default()
    });
    assert!(matches!(client.get("a").await, Err(Error::Invalid(_))));
    assert_eq!(client.clone().token("right").get("a").await, Ok(None));
    let debug = format!("{:?}", client.token("right"));
    assert!(
        !debug.contains("right"),
        "the token is in the debug output: {debug}"
    );
}

/// Guards against unexpected responses that are interpreted as proof that a write was or was not
/// applied.
#[tokio::test]
async fn unexpected_responses() {
    let invalid = || Error::Invalid("".into());
    let cases = [
        (200, "[]", Error::Unknown, None),
        (200, "oops", Error::Unknown, Some(invalid())),
        (400, "no", invalid(), Some(invalid())),
        (404, "", Error::NotFound, Some(Error::NotFound)),
        (
            409,
            "oops",
            Error::Conflict { key: "".into() },
            Some(Error::Conflict { key: "".into() }),
        ),
        (429, "", Error::Throttled, Some(Error::Throttled)),
        (500, "", Error::Unknown, Some(Error::Unavailable)),
        (503, "", Error::Unavailable, Some(Error::Unavailable)),
        (504, "", Error::Unknown, Some(Error::Unavailable)),
    ];
    // The message of `Invalid` is not part of the contract.
    let kind = |error: Error| match error {
        Error::Invalid(_) => invalid(),
        error => error,
    };
    for (status, body, write, read) in cases {
        let canned = CannedResponse {
            status,
            body: body.into(),
            ..CannedResponse::default()
        };
        let paths = ["/table/transact", "/table/rows"];
        let service = Service::start(ServiceSettings {
            responses: paths.map(|path| (path.into(), canned.clone())).into(),
            ..ServiceSettings::default()
        })
        .unwrap();
        let client = HttpPlatform::new(service.addr).timeout(Duration::from_secs(20));
        let result = client.transact(put("x")).await.unwrap_err();
        assert_eq!(kind(result), write, "write, {status} {body}");
        let result = client.get("a").await.err().map(kind);
        assert_eq!(result, read, "read, {status} {body}");
    }
    let service = Service::start(ServiceSettings::default()).unwrap();
    let client = HttpPlatform::new(service.addr).timeout(Duration::from_secs(20));
    // The service echoes the empty request body, which does not match the requested hash.
    let result = client.fetch(ObjectHash::of(b"x")).await.unwrap_err();
    assert_eq!(kind(result), invalid());
}

/// Guards against an instance list that takes effect before `list_lag` has passed.
#[tokio::test]
async fn instance_list_lags() {
    let (platform, client) = start(PlatformSettings {
        list_lag: 3_600_000,
        ..PlatformSettings::default()
    });
    platform.set_instances(vec![InstanceRow {
        instance: "sidecar-1".into(),
        zone: "liberia-a".into(),
        state: InstanceState::Leaving,
        data: "127.0.0.1:1".into(),
        control: "127.0.0.1:2".into(),
        target: None,
    }]);
    assert_eq!(client.instances().await, Ok(Vec::new()));
}
