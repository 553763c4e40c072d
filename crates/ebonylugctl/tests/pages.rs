//! Consistency of the pages for operators with the software. Operators copy the examples.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

use common::parse_failure;
use ebonylug_core::Reason;
use ebonylug_net::settings;
use ebonylug_resource::{Change, Document, Kind, parse_resources};

const OPERATIONS: &str = include_str!("../../../docs/OPERATIONS.md");

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Guards against examples of resources that are not valid.
#[test]
fn examples_of_resources() {
    let blocks = OPERATIONS.split("```json5\n").skip(1);
    let blocks = blocks.map(|rest| rest.split_once("```").expect("the block is closed").0);
    let mut change = Change::default();
    for block in blocks {
        let resources = parse_resources(block).unwrap_or_else(|error| panic!("{error}\n{block}"));
        change = change.and(Change::put_all(resources));
    }
    let document = Document::empty()
        .apply(&change)
        .expect("the examples are valid");
    for kind in Kind::ALL {
        assert!(
            !document.list(kind).is_empty(),
            "there is no example of {kind}"
        );
    }
}

/// Guards against exit codes that differ from those in the help.
#[test]
fn exit_codes() {
    let help = parse_failure(&["--help"]);
    let codes = help
        .lines()
        .skip_while(|line| !line.starts_with("Exit codes"))
        .skip(1);
    let mut count = 0;
    for line in codes.filter(|line| !line.is_empty()) {
        let (code, meaning) = line
            .split_once("  ")
            .expect("the line has a code and a meaning");
        assert!(
            OPERATIONS.contains(&format!("| {code} | {meaning} |")),
            "{line}"
        );
        count += 1;
    }
    assert_eq!(count, 8);
}

/// Guards against refusal reasons that the page does not list.
#[test]
fn refusal_reasons() {
    let reasons = [
        Reason::Full,
        Reason::Cold,
        Reason::Down,
        Reason::Leaving,
        Reason::ZoneClosed,
        Reason::Stale,
        Reason::Revoked,
        Reason::Incarnation,
        Reason::Quarantined,
        Reason::Deadline,
        Reason::Shed,
        Reason::QueueFull,
        Reason::NoTarget,
        Reason::RetryBudget,
        Reason::Store,
        Reason::Invalid,
    ];
    let word = |reason: &Reason| {
        serde_json::to_value(reason)
            .unwrap()
            .as_str()
            .unwrap()
            .to_owned()
    };
    let words: BTreeSet<String> = reasons.iter().map(word).collect();
    let table = OPERATIONS
        .split_once("| `ebonylug-reason` |")
        .expect("the page has a table of reasons")
        .1;
    let rows = table
        .lines()
        .skip(2)
        .map_while(|line| line.strip_prefix("| `"));
    let listed: BTreeSet<String> = rows
        .map(|row| row.split_once('`').unwrap().0.to_owned())
        .collect();
    assert_eq!(listed, words);
}

/// Returns the defaults by field, from the settings table below `heading`.
fn defaults(heading: &str) -> BTreeMap<&'static str, &'static str> {
    let section = OPERATIONS
        .split_once(heading)
        .expect("the page has the section")
        .1;
    let rows = section
        .lines()
        .skip_while(|line| !line.starts_with('|'))
        .skip(2);
    let cells = rows.map_while(|line| line.strip_prefix("| `"));
    let cells = cells.map(|row| {
        let (field, rest) = row.split_once("` | ").expect("the row starts with a field");
        (
            field,
            rest.split_once(" |").expect("the row contains a default").0,
        )
    });
    cells.collect()
}

/// Guards against fields and defaults on the page that differ from those of an entry.
#[test]
fn settings_of_an_entry() {
    let required = r#"{instance: "e", zone: "z", listen: "127.0.0.1:1", control: "127.0.0.1:2",
        key: "k", platform: "127.0.0.1:3", operators: []}"#;
    let loaded: ebonylug_entry::Settings = settings::parse("entry", required).unwrap();
    let expected = [
        ("subset", loaded.subset.to_string()),
        ("lag", loaded.lag.as_secs_f64().to_string()),
        ("bound", loaded.bound.as_secs_f64().to_string()),
        ("stall", loaded.stall.as_secs_f64().to_string()),
        ("workers", loaded.workers.to_string()),
    ];
    let listed = defaults("### Entry");
    compare(&listed, &expected);
    assert_eq!(
        listed
            .values()
            .filter(|value| **value == "required")
            .count(),
        7
    );
}

/// Guards against fields and defaults on the page that differ from those of a sidecar.
#[test]
fn settings_of_a_sidecar() {
    let required = r#"{instance: "i", zone: "z", target: "t", kind: "model",
        address: "127.0.0.1:1", data: "127.0.0.1:2", control: "127.0.0.1:3", key: "k"}"#;
    let loaded: ebonylug_sidecar::Settings = settings::parse("sidecar", required).unwrap();
    let expected = [
        ("coldLimit", loaded.cold_limit.to_string()),
        ("coldAttempts", loaded.cold_attempts.to_string()),
        ("ceiling", loaded.ceiling.to_string()),
        ("silence", loaded.silence.as_secs_f64().to_string()),
        ("lag", loaded.lag.as_secs_f64().to_string()),
        ("bound", loaded.bound.as_secs_f64().to_string()),
        ("workers", loaded.workers.to_string()),
    ];
    let listed = defaults("### Sidecar");
    compare(&listed, &expected);
    assert_eq!(
        listed
            .values()
            .filter(|value| **value == "required")
            .count(),
        8
    );
}

fn compare(listed: &BTreeMap<&str, &str>, expected: &[(&str, String)]) {
    let optional = listed.iter().filter(|(_, value)| **value != "required");
    let optional: BTreeMap<&str, String> = optional
        .map(|(field, value)| (*field, (*value).to_owned()))
        .collect();
    assert_eq!(optional, expected.iter().cloned().collect());
}

/// Guards against links to missing files and sections.
#[test]
fn links() {
    for page in ["README.md", "docs/OPERATIONS.md", "docs/GLOSSARY.md"] {
        let path = root().join(page);
        let text = std::fs::read_to_string(&path).expect("the page exists");
        let sections = |text: &str| -> BTreeSet<String> {
            let titles = text.lines().filter_map(|line| line.split_once("# "));
            titles
                .map(|(_, title)| title.to_lowercase().replace(' ', "-"))
                .collect()
        };
        for link in text.split("](").skip(1) {
            let link = link.split_once(')').expect("the link is closed").0;
            match link.strip_prefix('#') {
                Some(section) => assert!(sections(&text).contains(section), "{page}: {link}"),
                None => {
                    let target = path.parent().unwrap().join(link);
                    assert!(target.exists(), "{page}: {link}");
                }
            }
        }
    }
}

/// Guards against commands on the page that the command line rejects.
#[test]
fn commands() {
    let mut count = 0;
    for line in OPERATIONS
        .lines()
        .filter_map(|line| line.strip_prefix("    "))
    {
        let Some((_, command)) = line.split_once("ebonylugctl ") else {
            continue;
        };
        let command = command.split(['#', '|', '<']).next().unwrap_or_default();
        let arguments: Vec<&str> = command.split_whitespace().collect();
        let parsed = ebonylugctl::parse(bpaf::Args::from(arguments.as_slice()));
        assert!(parsed.is_ok(), "{line}: {parsed:?}");
        count += 1;
    }
    assert!(count > 20, "{count}");
}
