//! Size of messages, and the control traffic that follows for the size expected in two years.

use std::time::{Duration, SystemTime};

use bincode::Options;
use ebonylug_admission::{CrashId, CrashLog};
use ebonylug_core::{Fingerprint, Incarnation, LoadReport, Name, Revision};
use ebonylug_moves::{Bucket, Evidence, Sample};
use serde::Serialize;

use super::{instances, load_report, offer};

/// Numbers of entries and targets in two years.
pub(super) const FLEET_SIZE: (f64, f64) = (410.0, 600.0);
/// Number of targets that one entry is connected to.
pub(super) const SUBSET_SIZE: f64 = 40.0;
/// Gossip exchanges of an entry per second: it starts two each half second, and its peers start as
/// many with it.
pub(super) const EXCHANGES_PER_S: f64 = 8.0;
/// Maximum overhead of a tarpc request around its arguments: length 4, kind 1, deadline 6, trace
/// 26, call number 5, method 1.
pub(super) const REQUEST_OVERHEAD_BYTES: f64 = 43.0;
/// Maximum overhead of a tarpc response around its value: length 4, call number 5, success 1,
/// method 1.
pub(super) const RESPONSE_OVERHEAD_BYTES: f64 = 11.0;
/// An IPv4 header (20) and a TCP header with timestamps (32). IPv6 has 20 more.
pub(super) const SEGMENT_HEADER_BYTES: f64 = 52.0;
/// Payload of a TCP segment on Ethernet.
pub(super) const SEGMENT_PAYLOAD_BYTES: f64 = 1_448.0;
/// TCP acknowledgements without data per call. The request is acknowledged separately because a
/// sidecar delays its report, and the response because the next request follows after 50 ms, later
/// than the usual 40 ms of delayed acknowledgements.
pub(super) const ACKS_PER_CALL: f64 = 2.0;
/// Maximum reports of a target per second: the entry pauses for 50 ms between two.
pub(super) const MAX_REPORTS_PER_S: f64 = 20.0;
/// Time between two reads of the instance list by an entry, for each row in the list.
pub(super) const ROW_READ_INTERVAL_S: f64 = 0.07;
/// Maximum number of crashes in a crash log.
pub(super) const MAX_CRASHES: u64 = 64;

/// Returns the size of a control message in the encoding between processes.
pub(super) fn encoded_bytes(message: &impl Serialize) -> f64 {
    let bytes = bincode::DefaultOptions::new().serialize(message);
    bytes.expect("control messages can be encoded").len() as f64
}

pub(super) fn json_bytes(message: &impl Serialize) -> f64 {
    let bytes = serde_json::to_vec(message);
    bytes.expect("messages can be serialised as JSON").len() as f64
}

/// Returns the bytes of a call in both directions, with all headers.
pub(super) fn call_bytes(request: f64, response: f64) -> f64 {
    let sent = |bytes: f64| bytes + SEGMENT_HEADER_BYTES * (bytes / SEGMENT_PAYLOAD_BYTES).ceil();
    sent(request + REQUEST_OVERHEAD_BYTES)
        + sent(response + RESPONSE_OVERHEAD_BYTES)
        + ACKS_PER_CALL * SEGMENT_HEADER_BYTES
}

/// Returns the response to a report call: load, number of crashes, and logical time.
pub(super) fn report_response() -> (LoadReport, u64, u64) {
    (load_report(1, 123_456), 1, 1_800_000_000_000)
}

/// Returns the argument of a report call: the state last received by the entry, in the order of the
/// fields on the wire.
pub(super) fn report_request() -> impl Serialize {
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

/// Returns a gossip message without statuses of moves: name, incarnation and revision of the entry,
/// evidence, crashes, an empty list of moves, and logical time.
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

/// Returns the evidence of a move of three routes, for buckets of two seconds.
pub(super) fn evidence(entries: usize, buckets: u64) -> Evidence {
    let mut evidence = Evidence::default();
    let start = SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000);
    for entry in 0..entries {
        let process = Incarnation(0x0123_4567_89ab_0000 + entry as u64);
        for bucket in 0..buckets {
            let now = start + Duration::from_secs(2 * bucket);
            for version in ["v6", "v7"] {
                for route in ["quotations", "answers", "summaries"] {
                    let ttft = Duration::from_millis(240);
                    let sample = Sample::success().with_latency(ttft, Some(ttft / 5), None);
                    evidence.record(now, process, version, route, sample);
                }
            }
        }
    }
    evidence
}

/// Returns a crash log with `count` crashes of 30 streams each.
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

/// Returns the sizes of the messages in bytes, by description.
pub(super) fn messages() -> Vec<(String, f64)> {
    vec![
        (
            "offer (header of the data path, JSON)".into(),
            json_bytes(&offer(1)),
        ),
        ("report, request".into(), encoded_bytes(&report_request())),
        ("report, response".into(), encoded_bytes(&report_response())),
        (
            "crash log, 1 crash of 30 streams".into(),
            encoded_bytes(&crashes(1)),
        ),
        (
            format!("crash log, {MAX_CRASHES} crashes of 30 streams"),
            encoded_bytes(&crashes(MAX_CRASHES)),
        ),
        (
            "evidence, 1 entry, 60 s".into(),
            encoded_bytes(&evidence(1, 30)),
        ),
        (
            "evidence, 410 entries, 60 s".into(),
            encoded_bytes(&evidence(410, 30)),
        ),
        (
            "evidence, own counts, 10 s".into(),
            encoded_bytes(&own_evidence(5)),
        ),
    ]
}

/// Returns the evidence that one entry recorded itself, as gossip carries it.
pub(super) fn own_evidence(buckets: u64) -> Evidence {
    let process = Incarnation(0x0123_4567_89ab_0000);
    evidence(1, buckets).since(Bucket(0), Some(process))
}

/// Returns the control traffic of a node, received and sent. In a move, each message carries the
/// counts of 10 s that the sender itself recorded.
pub(super) fn traffic(reports: f64) -> Vec<(String, f64)> {
    let (entries, targets) = FLEET_SIZE;
    let report = call_bytes(
        encoded_bytes(&report_request()),
        encoded_bytes(&report_response()),
    );
    let watchers = entries * SUBSET_SIZE / targets;
    let exchange = |evidence: Evidence, log: u64| {
        let message = encoded_bytes(&gossip(evidence, crashes(log)));
        EXCHANGES_PER_S * call_bytes(message, message)
    };
    // A sidecar that responds on a significant change still responds once in a heartbeat interval.
    let reports = reports.max(1.0);
    let rates = [
        ("heartbeat only", 1.0),
        ("by change", reports),
        ("at most", MAX_REPORTS_PER_S),
    ];
    let mut rows = Vec::new();
    for (name, rate) in rates {
        rows.push((
            format!("reports, {name} ({rate:.2}/s), entry"),
            rate * SUBSET_SIZE * report,
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
    rows.push((
        "gossip in a move, entry".into(),
        exchange(own_evidence(5), 0),
    ));
    rows.push((
        format!("gossip without a move, crash log of {MAX_CRASHES}, entry"),
        exchange(Evidence::default(), MAX_CRASHES),
    ));
    // Each read returns the whole list; the request counts as a minimal control request.
    let rows_read = entries + targets;
    let list = json_bytes(&instances(rows_read as usize));
    rows.push((
        "instance list, entry".into(),
        call_bytes(0.0, list) / (ROW_READ_INTERVAL_S * rows_read),
    ));
    rows
}
