//! Tests of the text formats: JSON5 files, JSON of the resource API, and stored sections.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, SystemTime};

use ebonylug_core::Name;
use ebonylug_resource::{
    AnyResource, Change, Document, Kind, Manifest, OrganisationSpec, Problem, Resource, Share,
    Span, Timestamp, TokenHash, parse_resources,
};
use proptest::prelude::*;
use serde_json::json;

fn base() -> Document {
    let resources = parse_resources(include_str!("base.json5")).unwrap();
    Document::empty()
        .apply(&Change::put_all(resources))
        .unwrap()
}

/// Splits a document and assembles it again.
fn round_trip(document: &Document) -> Result<Document, Problem> {
    let (manifest, sections) = document.split();
    let bodies: HashMap<_, _> = sections.into_iter().map(|s| (s.hash, s.body)).collect();
    let manifest = Manifest::from_bytes(&manifest.to_bytes())?;
    Document::assemble(&manifest, |hash| bodies.get(hash).cloned())
}

/// Guards against parse errors that an operator cannot locate in a long file.
#[test]
fn errors_name_line_and_column() {
    let cases = [
        ("[", "line 1, column 2: EOF parsing value"),
        (
            "[\n {kind: \"Tier\", metadata: {name: \"t\"},\n",
            "line 3, column 1: EOF parsing object",
        ),
        ("{}", "line 1, column 1: missing field `kind`"),
        ("[] x", "line 1, column 4: trailing characters"),
        (
            "[\n  {kind: \"Tire\"}]",
            "line 2, column 10: [0].kind: unknown variant `Tire`",
        ),
        (
            "{kind: \"Tier\",\n nmae: 1}",
            "line 2, column 2: nmae: unknown field `nmae`",
        ),
        (
            "{kind: \"Tier\", metadata: {name: \"t\"},\n spec: {class: \"batch\",\n   rank: \"high\"}}",
            "line 3, column 10: spec.rank: expected number",
        ),
        (
            "{kind: \"Tier\", metadata: {name: \"t\"},\n spec: {class: \"batch\", rank: 0,\n   dealdine: \"5s\"}}",
            "line 3, column 4: spec.dealdine: unknown field `dealdine`",
        ),
        (
            "{kind: \"Tier\", metadata: {name: \"t\"},\n spec: {class: \"batch\", rank: 0, deadline: \"soon\"}}",
            "line 2, column 44: spec.deadline: \"soon\" is not a duration such as \"30s\"",
        ),
        (
            "{kind: \"Organisation\", metadata: {name: \"o\"}, spec: {\n tokens: [\"secret\"]}}",
            "line 2, column 10: spec.tokens[0]: not a token hash: 64 hex digits are expected",
        ),
        (
            "{kind: \"Tier\", metadata: {name: \"t\"}}",
            "line 1, column 1: missing field `spec`",
        ),
        (
            "{kind: \"Tier\", kind: \"Tier\"}",
            "line 1, column 1: duplicate field `kind`",
        ),
    ];
    for (text, expected) in cases {
        let problem = parse_resources(text).unwrap_err();
        assert_eq!(problem.status, 400, "{text}");
        assert!(
            problem.detail.starts_with(expected),
            "{text}\n{}",
            problem.detail
        );
    }
}

/// Guards against the rejection of resources from clients whose JSON library writes `kind` last.
#[test]
fn kind_may_come_last() {
    let text = r#"{spec: {class: "batch", rank: 1}, metadata: {name: "t"}, kind: "Tier"}"#;
    let [AnyResource::Tier(tier)] = &parse_resources(text).unwrap()[..] else {
        panic!("not a tier");
    };
    assert_eq!(tier.spec.rank, 1);
    let wrong = r#"{spec: {class: "batch"}, metadata: {name: "t"}, kind: "Tier"}"#;
    assert!(
        parse_resources(wrong)
            .unwrap_err()
            .detail
            .contains("spec: missing field `rank`")
    );
}

/// Guards against an accidental change of the stored format, which older processes could not
/// read during a rolling update.
#[test]
fn canonical_form_is_stable() {
    let (manifest, sections) = base().split();
    let bodies = sections
        .iter()
        .map(|s| String::from_utf8(s.body.to_vec()).unwrap());
    let text = bodies.collect::<Vec<_>>().join("\n");
    insta::assert_snapshot!(text);
    insta::assert_snapshot!(manifest.hash().to_string());
    assert_eq!(round_trip(&base()).unwrap(), base());
}

/// Guards against values that change in a round trip through text.
#[test]
fn values_have_one_text_form() {
    let times = [
        ("2026-03-01T06:00:00Z", Ok("2026-03-01T06:00:00Z")),
        ("2026-03-01T06:00:00.250Z", Ok("2026-03-01T06:00:00.250Z")),
        ("2026-03-01T06:00:00.000Z", Ok("2026-03-01T06:00:00Z")),
        (
            "2026-03-01T06:00:00.250999Z",
            Ok("2026-03-01T06:00:00.250Z"),
        ),
        (
            "2026-03-01",
            Err("\"2026-03-01\" is not a UTC time such as \"2026-03-01T06:00:00Z\""),
        ),
        (
            "1772344800",
            Err("\"1772344800\" is not a UTC time such as \"2026-03-01T06:00:00Z\""),
        ),
    ];
    for (text, expected) in times {
        let parsed = text.parse::<Timestamp>().map(|time| time.to_string());
        assert_eq!(parsed, expected.map(String::from).map_err(String::from));
    }
    let late = SystemTime::UNIX_EPOCH + Duration::from_secs(1 << 40);
    assert_eq!(Timestamp::new(late).to_string(), "9999-12-31T23:59:59.999Z");
    assert_eq!("90s".parse::<Span>().unwrap().to_string(), "1m 30s");
    for (fraction, valid) in [
        (0.0, true),
        (0.05, true),
        (1.0, true),
        (1.01, false),
        (-0.1, false),
        (f64::NAN, false),
    ] {
        assert_eq!(Share::new(fraction).is_some(), valid, "{fraction}");
    }
    assert_eq!(Share::new(0.05).unwrap().to_string(), "5%");
    assert_eq!(Share::new(0.05).unwrap().complement().as_f64(), 0.95);
    let token = TokenHash::of("bearer");
    assert_eq!(token.to_string().parse(), Ok(token));
}

/// Guards against a document assembled from sections that are missing, swapped, duplicated, of
/// another kind or newer than the document.
#[test]
fn assemble_checks_every_section() {
    let (manifest, sections) = base().split();
    let bodies: HashMap<_, _> = sections.iter().map(|s| (s.hash, s.body.clone())).collect();
    let missing = Document::assemble(&manifest, |_| None).unwrap_err();
    assert!(missing.detail.contains("is missing"), "{missing}");
    let other = sections[0].body.clone();
    let swapped = Document::assemble(&manifest, |_| Some(other.clone())).unwrap_err();
    assert!(
        swapped.detail.contains("does not match its hash"),
        "{swapped}"
    );
    let mut doubled = manifest.clone();
    doubled.sections.push(doubled.sections[0]);
    let twice = Document::assemble(&doubled, |hash| bodies.get(hash).cloned()).unwrap_err();
    assert!(twice.detail.contains("occurs twice"), "{twice}");
    let mut foreign = manifest.clone();
    foreign.sections[0].kind = Kind::Tier;
    let wrong = Document::assemble(&foreign, |hash| bodies.get(hash).cloned()).unwrap_err();
    assert!(wrong.detail.contains("where Tier is expected"), "{wrong}");
    let mut older = manifest;
    older.revision = ebonylug_core::Revision(0);
    let newer = Document::assemble(&older, |hash| bodies.get(hash).cloned()).unwrap_err();
    assert!(newer.detail.contains("newer than its document"), "{newer}");
}

/// Guards against the transfer of the whole document for a change of one organisation.
///
/// The bound is what a node may receive at 13 KB/s within 5 s, the time in which a change must
/// become active.
#[test]
fn one_change_transfers_little() {
    let organisation = |index: usize, weight| {
        let name = format!("organisation-{index:04}");
        let tokens = (0..2)
            .map(|n| TokenHash::of(&format!("{name}-{n}")))
            .collect();
        let tiers = BTreeMap::new();
        Resource::new(
            &name,
            OrganisationSpec {
                weight,
                tokens,
                tiers,
            },
        )
    };
    let all = (0..6_400).map(|index| AnyResource::Organisation(organisation(index, 1)));
    let before = base().apply(&Change::put_all(all)).unwrap();
    let after = before.apply(&Change::put(organisation(77, 2))).unwrap();
    let present: Vec<_> = before.split().1.into_iter().map(|s| s.hash).collect();
    let (manifest, sections) = after.split();
    let total: usize = sections.iter().map(|s| s.body.len()).sum();
    let missing = sections.iter().filter(|s| !present.contains(&s.hash));
    let missing: Vec<_> = missing.map(|s| s.body.len()).collect();
    let transfer = manifest.to_bytes().len() + missing.iter().sum::<usize>();
    println!(
        "document {total} bytes, manifest {}, sections {missing:?}",
        manifest.to_bytes().len()
    );
    assert_eq!(missing.len(), 1);
    assert!(transfer < 5 * 13_000, "{transfer} bytes");
    assert_eq!(round_trip(&after).unwrap(), after);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a document that loses edits or that cannot be read back, by comparison with
    /// a plain map.
    #[test]
    fn edited_and_assembled_documents_match_a_map(edits in prop::collection::vec((0usize..20, 1u32..1000, any::<bool>()), 0..40)) {
        let mut document = Document::empty();
        let mut model = BTreeMap::new();
        for (index, weight, delete) in edits {
            let name = format!("o{index}");
            let exists = model.contains_key(&Name::new(&name));
            let change = if delete {
                Change::delete(Kind::Organisation, &name)
            } else {
                let spec = json!({ "weight": weight });
                Change::put(Resource::new(&name, serde_json::from_value::<OrganisationSpec>(spec).unwrap()))
            };
            let applied = document.apply(&change);
            prop_assert_eq!(applied.is_ok(), !delete || exists);
            let Ok(next) = applied else { continue };
            if delete {
                model.remove(&Name::new(&name));
            } else {
                model.insert(Name::new(&name), weight);
            }
            document = next;
        }
        let weights = document.all::<OrganisationSpec>().iter().map(|(n, o)| (n.clone(), o.spec.weight));
        prop_assert_eq!(weights.collect::<BTreeMap<_, _>>(), model);
        prop_assert_eq!(round_trip(&document).unwrap(), document);
    }
}
