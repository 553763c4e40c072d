//! Bounds on the sum over all entries: quotas, retries, and the age of the configuration.

use std::time::{Duration, Instant};

use ebonylug_core::Name;
use ebonylug_dispatch::{
    Config, EntryCounts, Freshness, Gossip, Limits, Organisation, Peers, Quota, Quotas, RawConfig,
    RetryBudget, RetryRule, TargetPace, Usage,
};

const RATE: f64 = 1_000.0;
const BURST: f64 = 2_000.0;
const TICK: Duration = Duration::from_millis(20);

fn config() -> Config {
    let organisation = Organisation {
        name: Name::new("mill"),
        priority: None,
        quota: Some(Quota {
            rate: RATE,
            burst: BURST,
        }),
        default_tokens: 10,
        keys: Vec::new(),
    };
    Config::new(RawConfig {
        version: 1,
        routes: Vec::new(),
        services: Vec::new(),
        organisations: vec![organisation],
        limits: Limits {
            max_header_bytes: 1,
            max_body_bytes: 1,
            header_timeout: Duration::ZERO,
            idle_timeout: Duration::ZERO,
        },
    })
}

/// Four entries that each ask for `demand` tokens per second, in requests of 50 tokens. Returns the
/// tokens that each has used.
fn play(demand: [f64; 4], heard: impl Fn(usize, usize) -> bool, seconds: u64) -> [f64; 4] {
    let start = Instant::now();
    let mill = Name::new("mill");
    let mut entries: Vec<Quotas> = (0..4).map(|_| Quotas::default()).collect();
    let standing = |own: usize| EntryCounts {
        reachable: (0..4)
            .filter(|&other| other == own || heard(own, other))
            .count(),
        known: 4,
    };
    for (own, quotas) in entries.iter_mut().enumerate() {
        quotas.update(start, &config(), standing(own));
    }
    let mut used = [0.0; 4];
    let mut owed = [0.0; 4];
    let ticks = seconds * 1_000 / TICK.as_millis() as u64;
    for tick in 0..ticks {
        let now = start + TICK * u32::try_from(tick).expect("few ticks");
        for own in 0..4 {
            owed[own] += demand[own] * TICK.as_secs_f64();
            let mut taken = 0.0;
            while owed[own] >= 50.0 {
                owed[own] -= 50.0;
                if entries[own]
                    .take(now, &mill, 50.0, 0, standing(own))
                    .is_ok()
                {
                    taken += 50.0;
                }
            }
            used[own] += taken;
            let hash = entries[own].usage().next().map(|usage| usage.organisation);
            for other in (0..4).filter(|&other| other != own && heard(own, other)) {
                if let Some(hash) = hash {
                    entries[other].record_remote_usage(hash, taken);
                }
            }
        }
    }
    used
}

/// Guards against an organisation that gets its quota at each entry once.
#[test]
fn entries_share_a_quota() {
    let used = play([5_000.0; 4], |_, _| true, 20);
    let total: f64 = used.iter().sum();
    let allowed = RATE * 20.0 + BURST;
    assert!(total <= allowed * 1.1, "{used:?}");
    assert!(total >= allowed * 0.9, "{used:?}");
}

/// Guards against a quota that is lost at entries which an organisation does not use.
#[test]
fn one_entry_may_use_the_whole_quota() {
    let used = play([5_000.0, 0.0, 0.0, 0.0], |_, _| true, 20);
    assert!(used[0] >= RATE * 20.0 * 0.95, "{used:?}");
}

/// Guards against a partition that multiplies a quota.
#[test]
fn a_quota_holds_while_entries_cannot_hear_each_other() {
    let halves = |a: usize, b: usize| (a < 2) == (b < 2);
    let none = |_: usize, _: usize| false;
    for total in [
        play([5_000.0; 4], halves, 20).iter().sum::<f64>(),
        play([5_000.0; 4], none, 20).iter().sum::<f64>(),
    ] {
        assert!(total <= (RATE * 20.0 + BURST) * 1.1, "{total}");
        assert!(total >= RATE * 20.0 * 0.9, "{total}");
    }
}

/// Guards against tokens that stay taken for requests which were never sent.
#[test]
fn tokens_of_unsent_requests_come_back() {
    let now = Instant::now();
    let alone = EntryCounts {
        reachable: 1,
        known: 1,
    };
    let mill = Name::new("mill");
    let mut quotas = Quotas::default();
    quotas.update(now, &config(), alone);
    for _ in 0..1_000 {
        assert!(quotas.take(now, &mill, BURST, 0, alone).is_ok());
        quotas.refund(&mill, BURST);
    }
    assert!(quotas.take(now, &mill, BURST, 0, alone).is_ok());
    assert!(quotas.take(now, &mill, 1.0, 0, alone).is_err());
}

/// Guards against more repeated sends than the budget over all entries allows, in any window.
#[test]
fn retries_stay_within_the_budget_in_each_window() {
    let (ratio, constant, window) = (0.2, 54.0, Duration::from_secs(10));
    let rule = RetryRule {
        ratio,
        constant,
        window,
    };
    let start = Instant::now();
    let mut entries: Vec<RetryBudget> = (0..4)
        .map(|_| RetryBudget::new(rule.per_entry(4)))
        .collect();
    let mut requests: Vec<Instant> = Vec::new();
    let mut repeats: Vec<Instant> = Vec::new();
    for step in 0..4_000_u32 {
        let now = start + Duration::from_millis(10) * step;
        // A burst, then little traffic, then a burst again.
        if step % 1_500 < 500 || step % 20 == 0 {
            let entry = &mut entries[step as usize % 4];
            entry.record_request(now);
            requests.push(now);
        }
        for entry in &mut entries {
            if entry.take(now) {
                repeats.push(now);
            }
        }
    }
    let within = |times: &[Instant], from: Instant| {
        times
            .iter()
            .filter(|&&time| time >= from && time < from + window)
            .count() as f64
    };
    for second in 0..40 {
        let from = start + Duration::from_secs(second);
        let before = from.checked_sub(window).unwrap_or(start);
        let most = within(&requests, from).max(within(&requests, before));
        let allowed = ratio * most + constant;
        assert!(within(&repeats, from) <= allowed, "second {second}");
    }
}

/// Guards against keys that are accepted by an entry which cannot know whether they were taken away.
#[test]
fn keys_need_a_recent_configuration() {
    let second = Duration::from_secs(1);
    let mut freshness = Freshness::new(second * 4);
    assert!(!freshness.is_fresh(second), "nothing is confirmed");
    freshness.confirm(second * 10);
    freshness.confirm(second * 8);
    assert!(freshness.is_fresh(second * 14));
    assert!(!freshness.is_fresh(second * 15));
}

fn message(sequence: u64, sent: u64, confirmed: u64) -> Gossip {
    Gossip {
        entry: "entry-2".into(),
        boot: 1,
        sequence,
        config: 7,
        interval: 150,
        sent,
        confirmed: Some(confirmed),
        usage: vec![Usage {
            organisation: 1,
            used: 100 * sequence,
            level: 0,
        }],
        ..Gossip::default()
    }
}

/// Guards against messages that waited in a suspended machine's socket and look fresh when it wakes.
#[test]
fn a_message_that_waited_does_not_confirm_the_present() {
    let now = Instant::now();
    let mut peers = Peers::default();
    // The sender's clock is 1,000 ms behind; messages take 1 ms.
    let news = peers.receive(now, Duration::from_millis(6_001), message(1, 5_000, 4_900));
    let (version, time) = news
        .expect("the message is new")
        .confirmed
        .expect("it confirms");
    assert_eq!((version, time), (7, Duration::from_millis(5_901)));
    // This machine was suspended for 9 s; the message was sent just before.
    let news = peers.receive(now, Duration::from_millis(15_101), message(2, 5_100, 5_000));
    let (_, time) = news
        .expect("the message is new")
        .confirmed
        .expect("it confirms");
    assert_eq!(time, Duration::from_millis(6_001));
}

/// Guards against use of a quota that is counted twice, or from before a restart.
#[test]
fn totals_are_counted_once() {
    let now = Instant::now();
    let mut peers = Peers::default();
    let mut hear = |gossip: Gossip| {
        let news = peers.receive(now, Duration::from_secs(1), gossip);
        news.map(|news| news.used.iter().map(|(_, tokens)| tokens).sum::<f64>())
    };
    assert_eq!(
        hear(message(3, 0, 0)),
        Some(0.0),
        "the first total is a start"
    );
    assert_eq!(
        hear(message(5, 0, 0)),
        Some(200.0),
        "a lost message does no harm"
    );
    assert_eq!(hear(message(4, 0, 0)), None, "an old message is ignored");
    let restarted = Gossip {
        boot: 2,
        ..message(1, 0, 0)
    };
    assert_eq!(hear(restarted), Some(0.0));
}

/// Guards against an entry that takes the shares of entries that it merely cannot hear.
#[test]
fn silent_entries_stay_known() {
    let start = Instant::now();
    let mut peers = Peers::default();
    peers.receive(start, Duration::from_secs(1), message(1, 0, 0));
    let soon = start + Duration::from_millis(500);
    assert_eq!(
        peers.counts(soon),
        EntryCounts {
            reachable: 2,
            known: 2
        }
    );
    let later = start + Duration::from_secs(5);
    assert_eq!(
        peers.counts(later),
        EntryCounts {
            reachable: 1,
            known: 2
        }
    );
    let leaving = Gossip {
        leaving: true,
        ..message(2, 0, 0)
    };
    peers.receive(later, Duration::from_secs(6), leaving);
    assert_eq!(
        peers.counts(later),
        EntryCounts {
            reachable: 1,
            known: 1
        }
    );
}

/// Guards against an entry that does not notice that its own read of the configuration is dead: another
/// entry has a newer version.
#[test]
fn a_newer_configuration_elsewhere_is_noticed() {
    let now = Instant::now();
    let mut peers = Peers::default();
    assert_eq!(peers.newest_config(), 0);
    peers.receive(now, Duration::from_secs(1), message(1, 0, 0));
    assert_eq!(peers.newest_config(), 7);
}

/// Guards against refusals within a quota after a restart of an entry: the organisation used little
/// before, so the burst is there.
#[test]
fn a_restarted_entry_does_not_refuse_what_a_quota_allows() {
    let now = Instant::now();
    let heard = EntryCounts {
        reachable: 4,
        known: 4,
    };
    let alone = EntryCounts {
        reachable: 1,
        known: 4,
    };
    let mill = Name::new("mill");
    let mut quotas = Quotas::default();
    quotas.update(now, &config(), alone);
    let mut used = 0.0;
    while quotas.take(now + TICK, &mill, 50.0, 0, heard).is_ok() {
        used += 50.0;
    }
    assert!(used >= BURST * 0.9, "{used}");
}

/// Guards against a quota that is refilled by each restart of an entry.
#[test]
fn a_restarted_entry_takes_over_what_is_left() {
    let start = Instant::now();
    let heard = EntryCounts {
        reachable: 2,
        known: 2,
    };
    let mill = Name::new("mill");
    let mut running = Quotas::default();
    running.update(start, &config(), heard);
    let mut now = start + Duration::from_secs(5);
    let begin = now;
    let mut used = 0.0;
    // Each second the second entry restarts; the organisation asks for much more than its quota.
    for _ in 0..8 {
        let mut restarted = Quotas::default();
        restarted.update(now, &config(), heard);
        let usage: Vec<Usage> = running.usage().collect();
        restarted.adopt_levels(now, now - start, &usage);
        for _ in 0..50 {
            now += TICK;
            let hash = usage[0].organisation;
            for _ in 0..10 {
                if running.take(now, &mill, 50.0, 0, heard).is_ok() {
                    used += 50.0;
                    restarted.record_remote_usage(hash, 50.0);
                }
                if restarted.take(now, &mill, 50.0, 0, heard).is_ok() {
                    used += 50.0;
                    running.record_remote_usage(hash, 50.0);
                }
            }
        }
    }
    let allowed = RATE * (now - begin).as_secs_f64() + BURST;
    assert!(used <= allowed * 1.1, "{used} of {allowed}");
}

/// Guards against urgent requests that are refused because less urgent ones of the same organisation use its
/// quota up, and against a quota that is left unused meanwhile.
///
/// The organisation asks for four times its quota, an eighth of that is urgent.
#[test]
fn urgent_requests_go_first_within_a_quota() {
    /// Tokens that each request counts, and requests per tick of each rank.
    const TOKENS: f64 = 10.0;
    const ASKED: [u32; 3] = [1, 3, 4];
    const TICKS: u32 = 1_000;
    let start = Instant::now();
    let mill = Name::new("mill");
    let alone = EntryCounts {
        reachable: 1,
        known: 1,
    };
    let mut quotas = Quotas::default();
    quotas.update(start, &config(), alone);
    let mut served = [0_u32; 3];
    for tick in 0..TICKS {
        let now = start + TICK * tick;
        // The least urgent ones come first.
        for rank in (0..3_u8).rev() {
            for _ in 0..ASKED[usize::from(rank)] {
                let taken = quotas.take(now, &mill, TOKENS, rank, alone);
                served[usize::from(rank)] += u32::from(taken.is_ok());
            }
        }
    }
    assert_eq!(served[0], TICKS, "all urgent requests fit in the quota");
    let tokens = f64::from(served.iter().sum::<u32>()) * TOKENS;
    let quota = RATE * (TICK * TICKS).as_secs_f64();
    assert!(tokens >= quota * 0.95, "{tokens} of {quota}: {served:?}");
}

/// Guards against paces that are lost with each message that leaves them out, and against old ones that stay when
/// an entry measures none any more.
#[test]
fn paces_outlast_the_messages_that_leave_them_out() {
    let start = Instant::now();
    let mut peers = Peers::default();
    let mut tell = |after: u64, paces: Vec<TargetPace>| {
        let now = start + Duration::from_millis(after);
        let gossip = Gossip {
            entry: "entry-2".into(),
            sequence: after + 1,
            interval: 1_000,
            paces,
            ..Gossip::default()
        };
        peers.receive(now, Duration::from_millis(after), gossip);
        let told = peers.loads(now);
        told.get(&7).map_or(0, |others| others.paces)
    };
    let paced = TargetPace {
        target: 7,
        pace: 50,
    };
    assert_eq!(tell(0, vec![paced]), 1);
    assert_eq!(tell(1_000, vec![]), 1);
    assert_eq!(tell(3_900, vec![]), 1);
    assert_eq!(tell(4_100, vec![]), 0);
}
