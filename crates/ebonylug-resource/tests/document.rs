//! Tests of changes to a document: which are accepted, and which field a rejection names.

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

/// Returns a resource of the base file with the value at a JSON pointer replaced.
fn edited(kind: Kind, name: &str, pointer: &str, value: &Value) -> AnyResource {
    let resource = base().find(kind, name).expect("resource exists");
    let mut json = serde_json::to_value(&resource).unwrap();
    *json.pointer_mut(pointer).expect("pointer exists") = value.clone();
    serde_json::from_value(json).expect("edited resource parses")
}

/// Guards against accepting references that do not resolve, or invalid values. Each rejection names
/// the field and leaves the document unchanged.
#[test]
fn rejections_name_the_field() {
    let text = include_str!("rejections.json5");
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

/// Guards against deletion of a resource that others refer to.
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

/// Guards against moves that cannot be finished. The route's base and the move's state change
/// together, and the versions of a finished move may be deleted.
#[test]
fn a_move_finishes_together_with_its_base() {
    let document = base();
    let finished = edited(Kind::Move, "to-v2", "/spec/state", &json!("finished"));
    let route = edited(Kind::Route, "chat", "/spec/base", &json!("quote-v2"));

    let rejected = document
        .apply(&Change::put_all([route.clone()]))
        .unwrap_err();
    assert_eq!(rejected.field.as_deref(), Some("spec.from"));

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

/// Guards against lost updates between operators, and against changes that apply only in part.
#[test]
fn preconditions_are_checked() {
    let document = base();
    let drained = edited(
        Kind::AvailabilityZone,
        "canas-b",
        "/spec/state",
        &json!("drained"),
    );
    let put = Change::put_all([drained]);
    let delete = Change::delete(Kind::Move, "to-v2");
    let create = Change::put_all([edited(
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
        (&create, Precondition::Absent, None),
        (&create, at(1), Some("does not exist")),
    ];
    for (change, precondition, reason) in cases {
        let result = document.apply(&change.clone().with_precondition(precondition));
        match (result, reason) {
            (Ok(next), None) => assert_eq!(next.revision(), Revision(2)),
            (Err(problem), Some(reason)) => {
                assert_eq!(problem.status, 409);
                assert!(problem.detail.contains(reason), "{problem}");
            }
            (result, _) => panic!("{change:?} {precondition:?}: {result:?}"),
        }
    }
    let partial = put.clone().and(delete.with_precondition(at(7)));
    assert!(document.apply(&partial).is_err());
    let zone = document.get::<AvailabilityZoneSpec>("canas-b").unwrap();
    assert_eq!(zone.spec.state, ZoneState::Open);
}

/// Guards against spurious conflicts between operators. Applying a file again leaves unchanged
/// resources at their revision, and a status in the file is not stored.
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

/// Guards against requests that match the wrong route, and against calls with effects that are
/// repeatable because the route does not list them.
#[test]
fn requests_match_their_route() {
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

/// Guards against an edit that reports another key or precondition than it was given, which the
/// publisher relies on when it retries, and against a plural that is not recognised as its kind.
#[test]
fn edits_report_key_and_precondition() {
    let edit = Edit::Delete(Kind::Tier, Name::new("urgent"), Precondition::Absent);
    assert_eq!(edit.resource_key(), (Kind::Tier, &Name::new("urgent")));
    assert_eq!(edit.precondition(), Precondition::Absent);
    assert_eq!("tiers".parse::<Kind>().unwrap(), Kind::Tier);
    assert_eq!("no".parse::<Kind>().unwrap_err().status, 404);
    let tier = base().get::<TierSpec>("urgent").unwrap().spec.tier();
    assert!(tier.is_interactive());
}

/// Guards against watches that miss an added, changed or deleted resource.
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
