//! Tests for the output formats of a timeline.

mod common;

use common::scenario;
use ebonylug_events::{Event, Timeline};

/// Guards against unintended changes of the output that operators and scripts read.
#[test]
fn snapshots() {
    let timeline = Timeline::merge(scenario());
    insta::assert_snapshot!("text", timeline.to_text());
    insta::assert_snapshot!("json_lines", timeline.to_json_lines());
    insta::assert_snapshot!("html", timeline.to_html("Quotation <abc>"));
}

/// Guards against JSON lines that cannot be deserialized.
#[test]
fn json_lines_round_trip() {
    let timeline = Timeline::merge(scenario());
    let lines = timeline.to_json_lines();
    let events: Vec<Event> = lines
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    assert_eq!(Timeline::merge(vec![events]), timeline);
}

/// Guards against a page that loads other resources, does not escape text, or leaves elements
/// unclosed.
#[test]
fn page_is_self_contained() {
    let page = Timeline::merge(scenario()).to_html("<script>alert(1)</script>");
    for forbidden in [
        "http:", "https:", "src=", "href=", "url(", "@import", "<script",
    ] {
        assert!(!page.contains(forbidden), "{forbidden}");
    }
    assert!(page.contains("&lt;entry &amp; &quot;2&quot;&gt;"));
    let mut open: Vec<&str> = Vec::new();
    for tag in page
        .split('<')
        .skip(2)
        .map(|part| part.split_once('>').unwrap().0)
    {
        let name = tag
            .trim_start_matches('/')
            .split([' ', '/'])
            .next()
            .unwrap();
        match tag {
            _ if tag.ends_with('/') || name == "meta" => {}
            _ if tag.starts_with('/') => assert_eq!(open.pop(), Some(name), "{tag}"),
            _ => open.push(name),
        }
    }
    assert!(open.is_empty(), "{open:?}");
    assert_eq!(page.matches("<circle").count(), 10);
    assert_eq!(page.matches("class=\"lane\"").count(), 4);
}

/// Guards against panics while rendering an empty timeline.
#[test]
fn empty_timeline() {
    let timeline = Timeline::merge(Vec::new());
    assert_eq!(timeline.to_text().lines().count(), 1);
    assert_eq!(timeline.to_json_lines(), "");
    assert!(timeline.to_html("").contains("0 events of 0 processes"));
}
