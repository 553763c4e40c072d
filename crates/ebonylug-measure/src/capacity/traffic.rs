//! The size of messages, and the control traffic that follows for the size in two years.

use std::time::{Duration, SystemTime};

use bincode::Options;
use ebonylug_admission::{CrashId, CrashLog};
use ebonylug_core::{Fingerprint, Incarnation, LoadReport, Name, Revision};
use ebonylug_moves::{Bucket, Evidence, Sample};
use serde::Serialize;

use super::{instances, load_report, offer};

/// Entries and targets in two years.
pub(super) const FLEET: (f64, f64) = (410.0, 600.0);
/// Targets that one entry keeps in contact with.
pub(super) const SUBSET: f64 = 40.0;
/// Exchanges of an entry with its peers per second: two each half second, and as many that others
/// begin.
pub(super) const EXCHANGES: f64 = 8.0;
/// Bytes of a tarpc request around its arguments, at most: length 4, kind 1, deadline 6, trace 26,
/// call number 5, method 1. Counted from the fields, not measured.
pub(super) const REQUEST: f64 = 43.0;
/// Bytes of a tarpc response around its value, at most: length 4, call number 5, success 1,
/// method 1. Counted from the fields, not measured.
pub(super) const RESPONSE: f64 = 11.0;
/// Bytes of an IPv4 header (20) and a TCP header with time stamps (32). IPv6 has 20 more.
pub(super) const SEGMENT: f64 = 52.0;
/// Payload of a segment on Ethernet.
pub(super) const SEGMENT_PAYLOAD: f64 = 1_448.0;
/// Acknowledgements without data in a call. The request is acknowledged alone because a sidecar
/// holds a report back, and the response because the next request follows after 50 ms, later than
/// the usual 40 ms of delayed acknowledgements.
pub(super) const ACKNOWLEDGEMENTS: f64 = 2.0;
/// The most reports of a target in a second: the entry pauses for 50 ms between two.
pub(super) const MAX_REPORTS: f64 = 20.0;
/// Seconds between two reads of the instance list by an entry, for each of its rows.
pub(super) const LIST_TIME: f64 = 0.07;
/// Crashes that a crash log keeps.
pub(super) const MAX_CRASHES: u64 = 64;

/// Returns the size of a control message as the processes encode it.
pub(super) fn size(message: &impl Serialize) -> f64 {
    let bytes = bincode::DefaultOptions::new().serialize(message);
    bytes.expect("control messages have a binary form").len() as f64
}

pub(super) fn size_json(message: &impl Serialize) -> f64 {
    let bytes = serde_json::to_vec(message);
    bytes.expect("messages are plain data").len() as f64
}

/// Returns the bytes of a call in both directions.
pub(super) fn call(request: f64, response: f64) -> f64 {
    let sent = |bytes: f64| bytes + SEGMENT * (bytes / SEGMENT_PAYLOAD).ceil();
    sent(request + REQUEST) + sent(response + RESPONSE) + ACKNOWLEDGEMENTS * SEGMENT
}

/// The answer of a sidecar: load, number of crashes, and logical time.
pub(super) fn report_answer() -> (LoadReport, u64, u64) {
    (load_report(1, 123_456), 1, 1_800_000_000_000)
}

/// The argument of a report: what the entry has seen, in the order of the fields on the wire.
pub(super) fn report_seen() -> impl Serialize {
    let load = load_report(1, 123_456);
    (
        Some(load.incarnation),
        load.revision,
        load.gate,
        load.up,
        load.cold,
        load.limit,
        load.used,
        1_u64,
    )
}

/// Gossip without the statuses of moves: name, life and revision of the entry, evidence, crashes,
/// an empty list of moves, and logical time.
pub(super) fn gossip(evidence: Evidence, crashes: CrashLog) -> impl Serialize {
    (
        Name::new("entry-410"),
        Incarnation(0x0123_4567_89ab_cdef),
        Revision(250),
        evidence,
        crashes,
        0_u64,
        1_800_000_000_000_u64,
    )
}

/// Evidence of a move of three routes, for buckets of two seconds.
pub(super) fn evidence(entries: usize, buckets: u64) -> Evidence {
    let mut evidence = Evidence::default();
    let start = SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000);
    for entry in 0..entries {
        let process = Incarnation(0x0123_4567_89ab_0000 + entry as u64);
        for bucket in 0..buckets {
            let now = start + Duration::from_secs(2 * bucket);
            for version in ["v6", "v7"] {
                for route in ["quotations", "answers", "summaries"] {
                    let first = Duration::from_millis(240);
                    let sample = Sample::success().with_latency(first, Some(first / 5), None);
                    evidence.record(now, process, version, route, sample);
                }
            }
        }
    }
    evidence
}

pub(super) fn crashes(count: u64) -> CrashLog {
    let mut log = CrashLog::new();
    for epoch in 0..count {
        let id = CrashId {
            incarnation: Incarnation(0x0123_4567_89ab_cdef),
            epoch,
        };
        log.record(id, (0..30).map(|n| Fingerprint(u64::MAX - epoch * 100 - n)));
    }
    log
}

pub(super) fn messages() -> Vec<(String, f64)> {
    vec![
        (
            "offer (header of the data path, JSON)".into(),
            size_json(&offer(1)),
        ),
        ("report, request".into(), size(&report_seen())),
        ("report, response".into(), size(&report_answer())),
        ("crash log, 1 crash of 30 streams".into(), size(&crashes(1))),
        (
            format!("crash log, {MAX_CRASHES} crashes of 30 streams"),
            size(&crashes(MAX_CRASHES)),
        ),
        ("evidence, 1 entry, 60 s".into(), size(&evidence(1, 30))),
        (
            "evidence, 410 entries, 60 s".into(),
            size(&evidence(410, 30)),
        ),
        ("evidence, own counts, 10 s".into(), size(&own(5))),
    ]
}

pub(super) fn own(buckets: u64) -> Evidence {
    let process = Incarnation(0x0123_4567_89ab_0000);
    evidence(1, buckets).since(Bucket(0), Some(process))
}

/// Returns the control traffic of a node, received and sent. In a move, each message carries the
/// sender's own counts of 10 s.
pub(super) fn traffic(reports: f64) -> Vec<(String, f64)> {
    let (entries, targets) = FLEET;
    let report = call(size(&report_seen()), size(&report_answer()));
    let watchers = entries * SUBSET / targets;
    let exchange = |evidence: Evidence, log: u64| {
        let message = size(&gossip(evidence, crashes(log)));
        EXCHANGES * call(message, message)
    };
    // A sidecar that answers on a significant change still answers once in a heartbeat interval.
    let reports = reports.max(1.0);
    let rates = [
        ("heartbeat only", 1.0),
        ("by change", reports),
        ("at most", MAX_REPORTS),
    ];
    let mut rows = Vec::new();
    for (name, rate) in rates {
        rows.push((
            format!("reports, {name} ({rate:.2}/s), entry"),
            rate * SUBSET * report,
        ));
        rows.push((
            format!("reports, {name} ({rate:.2}/s), sidecar"),
            rate * watchers * report,
        ));
    }
    rows.push((
        "gossip without a move, entry".into(),
        exchange(Evidence::default(), 0),
    ));
    rows.push(("gossip in a move, entry".into(), exchange(own(5), 0)));
    rows.push((
        format!("gossip without a move, crash log of {MAX_CRASHES}, entry"),
        exchange(Evidence::default(), MAX_CRASHES),
    ));
    // Each read is a whole list; the request is taken as small as a control request.
    let rows_read = entries + targets;
    let list = size_json(&instances(rows_read as usize));
    rows.push((
        "instance list, entry".into(),
        call(0.0, list) / (LIST_TIME * rows_read),
    ));
    rows
}
