//! Tests of changes to a document: what is accepted, and what a refusal names.

use ebonylug_core::{Name, Revision};
use ebonylug_resource::{
    AnyResource, AvailabilityZoneSpec, Change, Document, Edit, Kind, MoveSpec, Precondition,
    Resource, RouteKind, RouteSpec, Status, TargetSpec, TierSpec, ZoneState, parse_resources,
};
use serde_json::{Value, json};

const BASE: &str = include_str!("base.json5");

fn base() -> Document {
    let resources = parse_resources(BASE).expect("the base file parses");
    let change = Change::put_all(resources);
    Document::empty()
        .apply(&change)
        .expect("the base file is valid")
}

/// Returns one resource of the base file with one value replaced (JSON pointer).
fn edited(kind: Kind, name: &str, pointer: &str, value: &Value) -> AnyResource {
    let resource = base().find(kind, name).expect("resource exists");
    let mut json = serde_json::to_value(&resource).unwrap();
    *json.pointer_mut(pointer).expect("pointer exists") = value.clone();
    serde_json::from_value(json).expect("edited resource parses")
}

/// Guards against references that do not resolve and values that processes cannot act on: each
/// refusal names the field and leaves the document as it was.
#[test]
fn refusals_name_the_field() {
    let text = include_str!("refusals.json5");
    let cases: Vec<(Kind, String, String, Value, String, String)> = json5::from_str(text).unwrap();
    let document = base();
    for (kind, name, pointer, value, field, reason) in cases {
        let change = Change::put_all([edited(kind, &name, &pointer, &value)]);
        let case = format!("{kind}/{name}{pointer} = {value}");
        let problem = document.apply(&change).expect_err(&case);
        assert_eq!(problem.status, 422, "{case}");
        assert_eq!(problem.field.as_deref(), Some(&*field), "{case}: {problem}");
        assert!(
            problem.reason.as_deref().unwrap().contains(&reason),
            "{case}: {problem}"
        );
        assert_eq!(document, base(), "{case}: the document changed");
    }
}

/// Guards against the removal of a resource that others refer to.
#[test]
fn referenced_resources_cannot_be_deleted() {
    let cases = [
        (Kind::Tier, "urgent", "spec.tiers.orders"),
        (Kind::AvailabilityZone, "liberia-a", "spec.zone"),
        (Kind::Version, "quote-v2", "spec.versions[1]"),
        (Kind::Route, "chat", "spec.tiers.chat"),
        (Kind::Target, "engine-1", "spec.loads[0]"),
    ];
    for (kind, name, field) in cases {
        let problem = base().apply(&Change::delete(kind, name)).unwrap_err();
        assert_eq!(
            problem.field.as_deref(),
            Some(field),
            "{kind}/{name}: {problem}"
        );
    }
    let problem = base().apply(&Change::delete(Kind::Tier, "no")).unwrap_err();
    assert_eq!(problem.status, 404);
}

/// Guards against moves that cannot finish: the base and the state change together, and the
/// versions of a finished move may be removed.
#[test]
fn a_move_finishes_with_its_base() {
    let document = base();
    let finished = edited(Kind::Move, "to-v2", "/spec/state", &json!("finished"));
    let route = edited(Kind::Route, "chat", "/spec/base", &json!("quote-v2"));

    let alone = document
        .apply(&Change::put_all([route.clone()]))
        .unwrap_err();
    assert_eq!(alone.field.as_deref(), Some("spec.from"));

    let moved = document.apply(&Change::put_all([route, finished])).unwrap();
    assert!(moved.active_move("chat").is_none());
    let mut spec = moved.get::<RouteSpec>("chat").unwrap().spec.clone();
    spec.versions = vec![Name::new("quote-v2")];
    let mut target = moved.get::<TargetSpec>("engine-1").unwrap().spec.clone();
    target.version = Name::new("quote-v2");
    let change = Change::put(Resource::new("chat", spec))
        .and(Change::put(Resource::new("engine-1", target)))
        .and(Change::delete(Kind::Version, "quote-v1"));
    let cleaned = moved.apply(&change).unwrap();
    assert!(cleaned.get::<MoveSpec>("to-v2").is_some());
}

/// Guards against lost updates between operators, and against changes that apply halfway.
#[test]
fn expectations_are_checked() {
    let document = base();
    let drained = edited(
        Kind::AvailabilityZone,
        "canas-b",
        "/spec/state",
        &json!("drained"),
    );
    let put = Change::put_all([drained]);
    let delete = Change::delete(Kind::Move, "to-v2");
    let fresh = Change::put_all([edited(
        Kind::Tier,
        "urgent",
        "/metadata/name",
        &json!("new"),
    )]);
    let at = |revision| Precondition::Revision(Revision(revision));
    let cases = [
        (&put, Precondition::Any, None),
        (&put, at(1), None),
        (&put, at(2), Some("is at revision 1, not 2")),
        (&put, Precondition::Absent, Some("exists at revision 1")),
        (&delete, at(1), None),
        (&delete, at(7), Some("is at revision 1, not 7")),
        (&fresh, Precondition::Absent, None),
        (&fresh, at(1), Some("does not exist")),
    ];
    for (change, expected, reason) in cases {
        let result = document.apply(&change.clone().with_precondition(expected));
        match (result, reason) {
            (Ok(next), None) => assert_eq!(next.revision(), Revision(2)),
            (Err(problem), Some(reason)) => {
                assert_eq!(problem.status, 409);
                assert!(problem.detail.contains(reason), "{problem}");
            }
            (result, _) => panic!("{change:?} {expected:?}: {result:?}"),
        }
    }
    let half = put.clone().and(delete.with_precondition(at(7)));
    assert!(document.apply(&half).is_err());
    let zone = document.get::<AvailabilityZoneSpec>("canas-b").unwrap();
    assert_eq!(zone.spec.state, ZoneState::Open);
}

/// Guards against conflicts between operators that do not exist: a file applied again leaves
/// unchanged resources at their revision, and a status in the file is not stored.
#[test]
fn unchanged_resources_keep_their_revision() {
    let mut resources = parse_resources(BASE).unwrap();
    let status: Status = serde_json::from_value(json!({"conditions": [{
        "type": "Ready", "reason": "Up", "message": "The zone is up.", "time": "2026-03-01T05:00:00Z",
    }]}))
    .unwrap();
    resources.push(
        edited(
            Kind::AvailabilityZone,
            "canas-b",
            "/spec/state",
            &json!("drained"),
        )
        .with_status(status),
    );
    let next = base().apply(&Change::put_all(resources)).unwrap();
    for kind in Kind::ALL {
        for resource in next.list(kind) {
            let changed = resource.name().as_str() == "canas-b";
            let revision = Revision(if changed { 2 } else { 1 });
            assert_eq!(
                resource.metadata().revision,
                revision,
                "{kind}/{}",
                resource.name()
            );
        }
    }
    let zone = next.get::<AvailabilityZoneSpec>("canas-b").unwrap();
    assert_eq!(zone.status, Status::default());
}

/// Guards against requests that take the wrong route, and against calls with effects that count
/// as repeatable because nobody listed them.
#[test]
fn requests_find_their_route() {
    let document = base();
    assert_eq!(
        document.chat_route("quote").unwrap().name().as_str(),
        "chat"
    );
    assert!(document.chat_route("no").is_none());
    let cases = [
        ("POST", "/orders", Some(("orders", true))),
        ("POST", "/orders/7/lines", Some(("orders", true))),
        ("PUT", "/orders/7", Some(("orders", false))),
        ("GET", "/orders", Some(("orders", false))),
        ("POST", "/orders/archive/3", Some(("archive", true))),
        ("DELETE", "/orders/archive/3", Some(("archive", true))),
        ("HEAD", "/orders/archive", Some(("archive", false))),
        ("POST", "/orders-archive", None),
    ];
    for (method, path, expected) in cases {
        let found = document.service_route(path).map(|route| {
            let RouteKind::Service(service) = &route.spec.kind else {
                panic!("{path} found a chat route");
            };
            (
                route.name().to_string(),
                service.requires_idempotency_key(method, path),
            )
        });
        let expected = expected.map(|(name, once)| (name.to_owned(), once));
        assert_eq!(found, expected, "{method} {path}");
    }
}

/// Guards against an edit whose subject or expectation differs from what was asked for, which
/// the publisher relies on when it retries.
#[test]
fn edits_tell_their_subject() {
    let edit = Edit::Delete(Kind::Tier, Name::new("urgent"), Precondition::Absent);
    assert_eq!(edit.resource_key(), (Kind::Tier, &Name::new("urgent")));
    assert_eq!(edit.precondition(), Precondition::Absent);
    assert_eq!("tiers".parse::<Kind>().unwrap(), Kind::Tier);
    assert_eq!("no".parse::<Kind>().unwrap_err().status, 404);
    let tier = base().get::<TierSpec>("urgent").unwrap().spec.tier();
    assert!(tier.is_interactive());
}

/// Guards against watches that miss an added, changed or removed resource.
#[test]
fn differences_list_every_change() {
    let drained = edited(
        Kind::AvailabilityZone,
        "canas-b",
        "/spec/state",
        &json!("drained"),
    );
    let added = edited(Kind::Tier, "urgent", "/metadata/name", &json!("added"));
    let change = Change::put_all([added, drained]).and(Change::delete(Kind::Move, "to-v2"));
    let next = base().apply(&change).unwrap();
    let found = next.differences(&base());
    let found = found
        .iter()
        .map(|d| (d.kind, d.name.as_str(), d.resource.is_some()));
    let expected = [
        (Kind::Tier, "added", true),
        (Kind::AvailabilityZone, "canas-b", true),
        (Kind::Move, "to-v2", false),
    ];
    assert!(found.eq(expected));
    assert_eq!(next.differences(&next), []);
}
