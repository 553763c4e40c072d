#![allow(dead_code, reason = "each test binary uses only some of these")]

use std::time::{Duration, Instant};

use ebonylug_admission::{Admission, CrashId, CrashLog, Decision, Settings};
use ebonylug_core::{
    AttemptId, End, Fingerprint, Incarnation, Name, Offer, Reason, Repeat, RequestId, Revision,
    Tier, Tokens,
};

pub const INCARNATION: Incarnation = Incarnation(7);

pub fn id(request: u128, number: u32) -> AttemptId {
    AttemptId {
        request: RequestId(request),
        number,
    }
}

pub const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn offer(request: u128, tier: Tier, cost: u64) -> Offer {
    Offer {
        attempt: id(request, 0),
        incarnation: INCARNATION,
        revision: Revision(0),
        tier,
        organisation: Name::new("fibras"),
        prompt: Tokens(cost),
        cached: Tokens(0),
        output: Tokens(0),
        fingerprint: Fingerprint(request as u64),
        parts: Default::default(),
        repeat: Repeat::Yes,
        offset: 0,
        fence: None,
    }
}

pub fn reason(decision: &Decision) -> Option<Reason> {
    match decision {
        Decision::Refuse(refusal) => Some(refusal.reason),
        _ => None,
    }
}

/// Returns the admission of a warm target with a fixed limit of 1,000 tokens, and the current time.
pub fn warm(settings: Settings) -> (Admission, Instant) {
    let mut now = Instant::now();
    let settings = settings
        .cold_limit(Tokens(1_000))
        .limit_range(Tokens(1_000), Tokens(1_000))
        .warm_after(1, ms(0));
    let mut admission = Admission::new(settings, now);
    admission.target_up(now);
    let first = offer(u128::MAX, Tier::interactive(0), 100);
    assert!(admission.offer(now, first).is_admit());
    now += ms(100);
    admission.first_token(now, id(u128::MAX, 0));
    admission.finish(now, id(u128::MAX, 0), End::Answered);
    assert!(!admission.report(now).cold);
    (admission, now)
}

/// Returns the log of another sidecar with one crash per slice of fingerprints in flight.
pub fn crash_log(in_flight: &[&[u64]]) -> CrashLog {
    let mut log = CrashLog::new();
    for (epoch, in_flight) in (1..).zip(in_flight) {
        let incarnation = Incarnation(99);
        log.record(
            CrashId { incarnation, epoch },
            in_flight.iter().map(|f| Fingerprint(*f)),
        );
    }
    log
}
